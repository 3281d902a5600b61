//! The planner's sockets: forwarders on one address, `GET /planner/state` on the other.

use super::{key, nonce, random, receive, terms};
use bytes::Bytes;
use granitehub::{Settings, Time};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use operator::{Allowances, Planner as Own};
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

/// A forwarder that says nothing for so long, or takes no grant, is dropped; it may connect again.
const SILENCE: Duration = Duration::from_secs(10);
const WRITE: Duration = Duration::from_secs(1);
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Connections beyond one for each seat, for those that are on their way out or are no forwarders.
const SPARE: usize = 16;
const HTTP_TIME: Duration = Duration::from_secs(2);

struct Shared {
    planner: RefCell<Planner>,
    key: Vec<u8>,
    version: u8,
    started: Instant,
    connections: Cell<usize>,
    most: usize,
    reports: Cell<u64>,
    /// Peers that were dropped for what they said.
    dropped: Cell<u64>,
    /// Reports that led to a panic outside of one customer's figures.
    panics: Cell<u64>,
}

impl Shared {
    fn now(&self) -> Time {
        self.started.elapsed().as_nanos() as Time
    }
}

/// Listens on both addresses, and serves until `stop`.
pub async fn run(
    own: &Own,
    all: &Allowances,
    s: &Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let terms = terms(all, s)?;
    let most = usize::from(terms.seats) + SPARE;
    let planner = Planner::new(terms, nonce()?, own.most_customers)?;
    let shared = Rc::new(Shared {
        planner: RefCell::new(planner),
        key: key(&own.key_file)?,
        version: all.version,
        started: Instant::now(),
        connections: Cell::new(0),
        most,
        reports: Cell::new(0),
        dropped: Cell::new(0),
        panics: Cell::new(0),
    });
    let forwarders = bind(own.listen).await?;
    let people = bind(own.state).await?;
    tracing::info!("planning on {}, state on {}", local(&forwarders), local(&people));
    let for_people = shared.clone();
    tokio::select! {
        () = stop => {}
        () = accept(forwarders, shared.clone(), |stream, s| async move { forwarder(stream, &s).await }) => {}
        () = accept(people, for_people, |stream, s| async move { person(stream, s).await }) => {}
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
}

fn local(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|e| e.to_string(), |a| a.to_string())
}

/// A connection's place.
struct Place(Rc<Shared>);

impl Drop for Place {
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
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Beyond the bound a connection is closed at once.
        if shared.connections.get() >= shared.most {
            continue;
        }
        shared.connections.set(shared.connections.get() + 1);
        let place = Place(shared.clone());
        let serving = serve(stream, shared.clone());
        spawn_local(async move {
            serving.await;
            drop(place);
        });
    }
}

async fn forwarder(stream: TcpStream, shared: &Rc<Shared>) {
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().map_or_else(|e| e.to_string(), |a| a.to_string());
    let Ok(random) = random() else { return };
    let link = RefCell::new(Link::new(Side::Planner, &shared.key, random, shared.version));
    let (mut read, mut write) = stream.into_split();
    let hello = link.borrow().hello();
    if write.write_all(&hello).await.is_err() {
        return;
    }
    while let Ok(Some(got)) = timeout(SILENCE, receive(&mut read, &link)).await {
        let messages = match got {
            Ok(messages) => messages,
            Err(fault) => {
                shared.dropped.set(shared.dropped.get() + 1);
                tracing::warn!(%peer, cause = %fault, "{peer} is dropped: {fault}");
                return;
            }
        };
        for message in messages {
            let Message::Report(report) = message else { continue };
            shared.reports.set(shared.reports.get() + 1);
            let handle = || shared.planner.borrow_mut().handle(shared.now(), &report);
            let Ok(answer) = catch_unwind(AssertUnwindSafe(handle)) else {
                // One customer's figures are dealt with inside; this peer alone goes.
                shared.panics.set(shared.panics.get() + 1);
                tracing::warn!(%peer, "{peer} is dropped: its report led to a panic");
                return;
            };
            match answer {
                Ok(grant) => {
                    let frame = link.borrow_mut().seal(&Message::Grant(grant));
                    if !matches!(timeout(WRITE, write.write_all(&frame)).await, Ok(Ok(()))) {
                        return;
                    }
                }
                Err(refused) => {
                    shared.dropped.set(shared.dropped.get() + 1);
                    tracing::warn!(%peer, cause = %refused, "{peer} is dropped: {refused}");
                    return;
                }
            }
        }
    }
}

async fn person(stream: TcpStream, shared: Rc<Shared>) {
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        async move {
            let mut answer = Response::new(Full::new(Bytes::new()));
            if request.uri().path() == "/planner/state" {
                let now = shared.now();
                let mut planner = shared.planner.borrow_mut();
                let panics = planner.panics() + shared.panics.get();
                *answer.body_mut() = Full::new(Bytes::from(json(&planner.state(now), panics, &shared)));
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
        .header_read_timeout(HTTP_TIME)
        .serve_connection(TokioIo::new(stream), service);
    let _ = timeout(SILENCE, connection).await;
}

fn json(state: &PlannerState, panics: u64, shared: &Shared) -> String {
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
