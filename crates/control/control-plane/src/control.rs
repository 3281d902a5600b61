//! Calls of backends and operators. Each is declared in [`CALLS`] beside its handler.

use crate::driver::Driver;
use bytes::{Bytes, BytesMut};
use control_node::Reply as Said;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use registry::Heartbeat;
use serde::Deserialize;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The largest body of a call, and the most bytes of bodies that are held at once: one more is told to come later.
const MAX_BODY_BYTES: usize = 8 << 20;
const MAX_HELD_BODY_BYTES: usize = 24 << 20;
/// How long a call may rest while it comes, and how long it may take in all: 8 MiB at 2 Mbit/s.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_TIMEOUT: Duration = Duration::from_secs(35);
/// How long a caller keeps its connection.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);
/// The most callers at once.
const MAX_CALLERS: usize = 256;

type Reply = Response<Full<Bytes>>;
type Handler = for<'a> fn(&'a Rc<CallServer>, &'a str, Body) -> Pin<Box<dyn Future<Output = Reply> + 'a>>;

/// A call: its method, its path, of which a trailing `/` stands for a name behind it, its handler.
struct Call {
    method: Method,
    path: &'static str,
    handler: Handler,
}

const CALLS: [Call; 4] = [
    Call {
        method: Method::POST,
        path: "/-/Instances.Heartbeat/",
        handler: |c, id, body| Box::pin(c.heartbeat(id, body)),
    },
    Call {
        method: Method::POST,
        path: "/-/Instances.Deregister/",
        handler: |c, id, _| Box::pin(c.deregister(id)),
    },
    Call {
        method: Method::POST,
        path: "/-/Configuration.Replace",
        handler: |c, _, body| Box::pin(c.replace(body)),
    },
    Call { method: Method::GET, path: "/-/Configuration.Read", handler: |c, _, _| Box::pin(c.read()) },
];

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HeartbeatBody {
    address: String,
    node_info: NodeInfo,
    status: Status,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NodeInfo {
    target_service: String,
    #[serde(default)]
    config_version: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    capacity_slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    state: String,
    #[serde(default)]
    call_sequence: u64,
    #[serde(default)]
    warmup_left_ms: f64,
}

pub struct CallServer {
    driver: Rc<Driver>,
    /// Where operators are sent on to at another prompter.
    port: u16,
    callers: Cell<usize>,
    /// Bytes of bodies.
    held_body_bytes: Rc<Cell<usize>>,
}

/// A call's body, counted among all that are held for as long as it is.
struct Body {
    bytes: Bytes,
    held: Rc<Cell<usize>>,
    counted: usize,
}

impl Body {
    async fn collect(driver: &Driver, held: Rc<Cell<usize>>, mut body: Incoming) -> Result<Body, Reply> {
        let mut whole = Body { bytes: Bytes::new(), held, counted: 0 };
        let mut all = BytesMut::new();
        loop {
            let frame = match timeout(READ_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(error_reply(StatusCode::BAD_REQUEST, "it is cut short")),
                Ok(None) => break,
                Err(_) => return Err(error_reply(StatusCode::REQUEST_TIMEOUT, "it did not come")),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if all.len() + bytes.len() > MAX_BODY_BYTES {
                return Err(error_reply(StatusCode::PAYLOAD_TOO_LARGE, "it is too long"));
            }
            if whole.held.get() + driver.node().change_body_bytes() + bytes.len() > MAX_HELD_BODY_BYTES {
                return Err(unavailable());
            }
            whole.held.set(whole.held.get() + bytes.len());
            whole.counted += bytes.len();
            all.extend_from_slice(&bytes);
        }
        whole.bytes = all.freeze();
        Ok(whole)
    }

    /// Counted elsewhere from now on.
    fn release(mut self) -> Bytes {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.counted);
    }
}

impl CallServer {
    pub fn new(driver: Rc<Driver>, port: u16) -> Rc<Self> {
        Rc::new(CallServer { driver, port, callers: Cell::new(0), held_body_bytes: Rc::default() })
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.callers.get() < MAX_CALLERS => {
                    spawn_local(self.clone().serve_caller(stream));
                }
                Ok(_) => {}
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve_caller(self: Rc<Self>, stream: TcpStream) {
        self.callers.set(self.callers.get() + 1);
        if process::net::detect_dead_peer(&stream).is_ok() {
            let service = service_fn(|request| async { Ok::<_, Infallible>(self.dispatch(request).await) });
            let http =
                http1::Builder::new().max_buf_size(16 << 10).serve_connection(TokioIo::new(stream), service);
            let mut http = std::pin::pin!(http);
            // Errors are the caller's. One that has been there for long is let go behind its next answer.
            if timeout(MAX_CONNECTION_AGE, http.as_mut()).await.is_err() {
                http.as_mut().graceful_shutdown();
                let _ = timeout(READ_TIMEOUT, http).await;
            }
        }
        self.callers.set(self.callers.get() - 1);
    }

    async fn dispatch(self: &Rc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let named = |c: &&Call| match c.path.strip_suffix('/') {
            Some(_) => path.strip_prefix(c.path).is_some_and(|id| !id.is_empty() && !id.contains('/')),
            None => path == c.path,
        };
        let Some(call) = CALLS.iter().find(named) else {
            return error_reply(StatusCode::NOT_FOUND, "no such call");
        };
        if head.method != call.method {
            return error_reply(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted");
        }
        let body = match timeout(
            BODY_TIMEOUT,
            Body::collect(&self.driver, self.held_body_bytes.clone(), body),
        )
        .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(reply)) => return reply,
            Err(_) => return error_reply(StatusCode::REQUEST_TIMEOUT, "it did not come"),
        };
        (call.handler)(self, path.strip_prefix(call.path).unwrap_or_default(), body).await
    }

    // ---- Backends ----

    async fn heartbeat(&self, id: &str, body: Body) -> Reply {
        let beat: HeartbeatBody = match serde_json::from_slice(&body.bytes) {
            Ok(beat) => beat,
            Err(e) => return error_reply(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if beat.address.parse::<SocketAddr>().is_err() {
            return error_reply(StatusCode::BAD_REQUEST, "its address is none");
        }
        let fact = Heartbeat {
            instance: id.into(),
            service: beat.node_info.target_service,
            address: beat.address,
            zone: beat.node_info.zone,
            version: beat.node_info.config_version,
            slots: beat.node_info.capacity_slots,
            draining: beat.status.state == "draining",
            warmup_left_ms: beat.status.warmup_left_ms.clamp(0.0, 3.6e6) as u32,
            sequence: beat.status.call_sequence,
        };
        drop(body);
        let said = self.driver.call(|p, now, call| p.heartbeat(now, call, fact)).await;
        self.answer(said, "")
    }

    async fn deregister(&self, id: &str) -> Reply {
        let said = self.driver.call(|p, now, call| p.deregister(now, call, id)).await;
        self.answer(said, "")
    }

    // ---- Operators ----

    async fn replace(&self, body: Body) -> Reply {
        let said = self.driver.call(|p, now, call| p.replace_configuration(now, call, body.release())).await;
        self.answer(said, "/-/Configuration.Replace")
    }

    async fn read(&self) -> Reply {
        let said = self.driver.call(|p, now, call| p.read_configuration(now, call)).await;
        self.answer(said, "/-/Configuration.Read")
    }

    /// In the protocol's words. `path`: of the call, at whoever leads.
    fn answer(&self, said: Option<Said>, path: &str) -> Reply {
        match said {
            Some(Said::Acknowledged) => json(StatusCode::OK, "{}"),
            Some(Said::Invalid(why)) => error_reply(StatusCode::BAD_REQUEST, &why.to_string()),
            Some(Said::Conflict { current }) => {
                error_reply(StatusCode::PRECONDITION_FAILED, &format!("{current:08x} stands"))
            }
            Some(Said::Current(Some(c))) => json(StatusCode::OK, c.body.clone()),
            Some(Said::Current(None)) => error_reply(StatusCode::NOT_FOUND, "there is none yet"),
            Some(Said::Redirect(name)) => self.redirect(&name, path).unwrap_or_else(unavailable),
            Some(Said::Unavailable) | None => unavailable(),
        }
    }

    fn redirect(&self, name: &str, path: &str) -> Option<Reply> {
        let address = SocketAddr::new(name.parse::<IpAddr>().ok()?, self.port);
        let location = HeaderValue::try_from(format!("http://{address}{path}")).ok()?;
        let mut reply = json(StatusCode::TEMPORARY_REDIRECT, "{}");
        reply.headers_mut().insert(LOCATION, location);
        Some(reply)
    }
}

fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn error_reply(status: StatusCode, why: &str) -> Reply {
    json(status, serde_json::json!({ "errorText": why }).to_string())
}

/// Nothing is known, or nobody can say now: another may.
fn unavailable() -> Reply {
    let mut reply = error_reply(StatusCode::SERVICE_UNAVAILABLE, "nobody can say now");
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    reply
}
