//! Server of the planner: connections of forwarders on one address, `GET /planner/state` on another.

use super::{lease_config, nonce, random_bytes, read_key, receive};
use bytes::Bytes;
use granitehub::{Settings, Time};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use operator::{Allowances, Planner as PlannerTable};
use plan::wire::{Link, Message, Side};
use plan::{Planner, PlannerState};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// A forwarder that sends nothing for this long is disconnected; it may connect again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A forwarder that does not accept a grant within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Connections allowed beyond one for each seat: closing ones, and peers that are not forwarders.
const SPARE_CONNECTIONS: usize = 16;
const HTTP_HEADER_TIMEOUT: Duration = Duration::from_secs(2);

struct Shared {
    planner: RefCell<Planner>,
    key: Vec<u8>,
    version: u8,
    started: Instant,
    connections: Cell<usize>,
    max_connections: usize,
    reports: Cell<u64>,
    /// Number of peers disconnected because of an invalid message.
    dropped: Cell<u64>,
    /// Number of reports that caused a panic outside of a single customer's state.
    panics: Cell<u64>,
}

impl Shared {
    fn now(&self) -> Time {
        self.started.elapsed().as_nanos() as Time
    }
}

/// Listens on both addresses and serves until `stop` completes.
pub async fn run(
    table: &PlannerTable,
    allowances: &Allowances,
    settings: &Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let config = lease_config(allowances, settings)?;
    let max_connections = usize::from(config.seats) + SPARE_CONNECTIONS;
    let planner = Planner::new(config, nonce()?, table.max_customers)?;
    let shared = Rc::new(Shared {
        planner: RefCell::new(planner),
        key: read_key(&table.key_file)?,
        version: allowances.version,
        started: Instant::now(),
        connections: Cell::new(0),
        max_connections,
        reports: Cell::new(0),
        dropped: Cell::new(0),
        panics: Cell::new(0),
    });
    let forwarders = bind(table.listen).await?;
    let operators = bind(table.state).await?;
    tracing::info!("planning on {}, state on {}", local_address(&forwarders), local_address(&operators));
    let for_operators = shared.clone();
    tokio::select! {
        () = stop => {}
        () = accept(forwarders, shared.clone(), |stream, shared| async move { serve_forwarder(stream, &shared).await }) => {}
        () = accept(operators, for_operators, |stream, shared| async move { serve_state(stream, shared).await }) => {}
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
}

fn local_address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|e| e.to_string(), |a| a.to_string())
}

/// Counts an open connection until it is dropped.
struct ConnectionSlot(Rc<Shared>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    shared: Rc<Shared>,
    serve: impl Fn(TcpStream, Rc<Shared>) -> F,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A connection beyond the limit is closed immediately.
        if shared.connections.get() >= shared.max_connections {
            continue;
        }
        shared.connections.set(shared.connections.get() + 1);
        let slot = ConnectionSlot(shared.clone());
        let connection = serve(stream, shared.clone());
        spawn_local(async move {
            connection.await;
            drop(slot);
        });
    }
}

async fn serve_forwarder(stream: TcpStream, shared: &Rc<Shared>) {
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().map_or_else(|e| e.to_string(), |a| a.to_string());
    let Ok(random) = random_bytes() else { return };
    let link = RefCell::new(Link::new(Side::Planner, &shared.key, random, shared.version));
    let (mut read, mut write) = stream.into_split();
    let hello = link.borrow().hello();
    if write.write_all(&hello).await.is_err() {
        return;
    }
    while let Ok(Some(received)) = timeout(IDLE_TIMEOUT, receive(&mut read, &link)).await {
        let messages = match received {
            Ok(messages) => messages,
            Err(error) => {
                shared.dropped.set(shared.dropped.get() + 1);
                tracing::warn!(%peer, cause = %error, "{peer} is disconnected: {error}");
                return;
            }
        };
        for message in messages {
            let Message::Report(report) = message else { continue };
            shared.reports.set(shared.reports.get() + 1);
            let handle = || shared.planner.borrow_mut().handle(shared.now(), &report);
            let Ok(answer) = catch_unwind(AssertUnwindSafe(handle)) else {
                // The planner contains a panic on a single customer's state; here only this peer is disconnected.
                shared.panics.set(shared.panics.get() + 1);
                tracing::warn!(%peer, "{peer} is disconnected: its report caused a panic");
                return;
            };
            match answer {
                Ok(grant) => {
                    let frame = link.borrow_mut().seal(&Message::Grant(grant));
                    if !matches!(timeout(WRITE_TIMEOUT, write.write_all(&frame)).await, Ok(Ok(()))) {
                        return;
                    }
                }
                Err(error) => {
                    shared.dropped.set(shared.dropped.get() + 1);
                    tracing::warn!(%peer, cause = %error, "{peer} is disconnected: {error}");
                    return;
                }
            }
        }
    }
}

async fn serve_state(stream: TcpStream, shared: Rc<Shared>) {
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        async move {
            let mut answer = Response::new(Full::new(Bytes::new()));
            if request.uri().path() == "/planner/state" {
                let now = shared.now();
                let mut planner = shared.planner.borrow_mut();
                let panics = planner.panics() + shared.panics.get();
                *answer.body_mut() = Full::new(Bytes::from(state_json(&planner.state(now), panics, &shared)));
                answer
                    .headers_mut()
                    .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
            } else {
                *answer.status_mut() = StatusCode::NOT_FOUND;
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HTTP_HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let _ = timeout(IDLE_TIMEOUT, connection).await;
}

fn state_json(state: &PlannerState, panics: u64, shared: &Shared) -> String {
    let customers = state.customers.iter().map(|c| {
        serde_json::json!({
            "customer": &*c.customer, "plan": c.plan, "leases": c.leases,
            "outstanding": {"quota": c.outstanding[0], "ceiling": c.outstanding[1], "slots": c.outstanding[2]},
            "left": {"quota": c.level[0], "ceiling": c.level[1], "slots": c.level[2]},
            "allowed": {"quota": c.depth[0], "ceiling": c.depth[1], "slots": c.depth[2]},
        })
    });
    let customers: Vec<_> = customers.collect();
    serde_json::json!({
        "epoch": state.instance.epoch, "nonce": format!("{:016x}", state.instance.nonce), "seats": state.seats,
        "lent": state.lent, "alive": state.alive, "reports": shared.reports.get(),
        "dropped": shared.dropped.get(), "panics": panics, "customers": customers,
    })
    .to_string()
}
