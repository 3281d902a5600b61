//! HTTP server for the calls of backends and operators (`PROTOCOL.md`). Each call is declared in [`CALLS`] with its handler.

mod body;
mod callers;

use crate::driver::Driver;
use body::Body;
use bytes::Bytes;
use callers::{Caller, Callers};
use control_node::Reply;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use registry::Heartbeat;
use serde::Deserialize;
use sockets::detect_dead_peer;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Time limit between two frames of a body, and for closing a connection that has reached its maximum age.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a whole body: 8 MiB at 2 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(35);
/// Age at which a caller's connection is shut down gracefully.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);
/// Time limit for closing a connection that is evicted for another one.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Upper limit on a backend's remaining warmup, in milliseconds.
const MAX_WARMUP_MS: f64 = 3.6e6;

type HttpResponse = Response<Full<Bytes>>;
type Handler =
    for<'a> fn(&'a Rc<CallServer>, &'a str, Body) -> Pin<Box<dyn Future<Output = HttpResponse> + 'a>>;

/// A call of the protocol.
struct Call {
    method: Method,
    /// A path that ends in `/` is followed by an instance name.
    path: &'static str,
    handler: Handler,
}

const REPLACE_PATH: &str = "/-/Configuration.Replace";
const READ_PATH: &str = "/-/Configuration.Read";

const CALLS: [Call; 4] = [
    Call {
        method: Method::POST,
        path: "/-/Instances.Heartbeat/",
        handler: |server, id, body| Box::pin(server.heartbeat(id, body)),
    },
    Call {
        method: Method::POST,
        path: "/-/Instances.Deregister/",
        handler: |server, id, _| Box::pin(server.deregister(id)),
    },
    Call {
        method: Method::POST,
        path: REPLACE_PATH,
        handler: |server, _, body| Box::pin(server.replace_configuration(body)),
    },
    Call {
        method: Method::GET,
        path: READ_PATH,
        handler: |server, _, _| Box::pin(server.read_configuration()),
    },
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

impl HeartbeatBody {
    fn into_heartbeat(self, id: &str) -> Heartbeat {
        Heartbeat {
            instance: id.into(),
            service: self.node_info.target_service,
            address: self.address,
            zone: self.node_info.zone,
            version: self.node_info.config_version,
            slots: self.node_info.capacity_slots,
            draining: self.status.state == "draining",
            warmup_left_ms: self.status.warmup_left_ms.clamp(0.0, MAX_WARMUP_MS) as u32,
            sequence: self.status.call_sequence,
        }
    }
}

/// The server of the calls.
pub struct CallServer {
    driver: Rc<Driver>,
    /// The port to which operators are redirected on another control node.
    port: u16,
    callers: Rc<Callers>,
    /// Total bytes of the bodies that this server holds.
    held_body_bytes: Rc<Cell<usize>>,
}

impl CallServer {
    /// `port`: the port on which every control node serves calls.
    pub fn new(driver: Rc<Driver>, port: u16) -> Rc<Self> {
        Rc::new(CallServer { driver, port, callers: Rc::default(), held_body_bytes: Rc::default() })
    }

    /// Serves callers until the process exits.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(caller) = self.callers.admit(Instant::now()) {
                        spawn_local(self.clone().serve_caller(stream, caller));
                    }
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn serve_caller(self: Rc<Self>, stream: TcpStream, caller: Caller) {
        if detect_dead_peer(&stream).is_err() {
            return;
        }
        let service = service_fn(|request| async {
            caller.begin_request();
            let response = self.dispatch(request).await;
            caller.end_request(Instant::now());
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        let connection = builder.max_buf_size(MAX_HEAD_BYTES).serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        // Connection errors are the caller's. A connection at its maximum age is closed after its next response.
        let closing_timeout = tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(MAX_CONNECTION_AGE) => READ_TIMEOUT,
            () = caller.evicted() => EVICTION_TIMEOUT,
        };
        connection.as_mut().graceful_shutdown();
        let _ = timeout(closing_timeout, connection).await;
    }

    async fn dispatch(self: &Rc<Self>, request: Request<Incoming>) -> HttpResponse {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let Some(call) = CALLS.iter().find(|call| call.matches(&path)) else {
            return error_response(StatusCode::NOT_FOUND, "no such call");
        };
        if head.method != call.method {
            return error_response(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted");
        }
        let collect_body = Body::collect(&self.driver, self.held_body_bytes.clone(), body);
        let body = match timeout(BODY_TIMEOUT, collect_body).await {
            Ok(Ok(body)) => body,
            Ok(Err(response)) => return response,
            Err(_) => return error_response(StatusCode::REQUEST_TIMEOUT, "it did not come"),
        };
        (call.handler)(self, path.strip_prefix(call.path).unwrap_or_default(), body).await
    }

    // ---- Backends ----

    async fn heartbeat(&self, id: &str, body: Body) -> HttpResponse {
        let heartbeat: HeartbeatBody = match serde_json::from_slice(body.bytes()) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if heartbeat.address.parse::<SocketAddr>().is_err() {
            return error_response(StatusCode::BAD_REQUEST, "its address is none");
        }
        let heartbeat = heartbeat.into_heartbeat(id);
        drop(body);
        let reply = self.driver.call(|node, now, call| node.heartbeat(now, call, heartbeat)).await;
        self.response(reply, "")
    }

    async fn deregister(&self, id: &str) -> HttpResponse {
        let reply = self.driver.call(|node, now, call| node.deregister(now, call, id)).await;
        self.response(reply, "")
    }

    // ---- Operators ----

    async fn replace_configuration(&self, body: Body) -> HttpResponse {
        let reply =
            self.driver.call(|node, now, call| node.replace_configuration(now, call, body.release())).await;
        self.response(reply, REPLACE_PATH)
    }

    async fn read_configuration(&self) -> HttpResponse {
        let reply = self.driver.call(|node, now, call| node.read_configuration(now, call)).await;
        self.response(reply, READ_PATH)
    }

    /// Converts the node's reply to a response of the protocol. `path`: the path to which a redirect leads.
    fn response(&self, reply: Option<Reply>, path: &str) -> HttpResponse {
        match reply {
            Some(Reply::Acknowledged) => json_response(StatusCode::OK, "{}"),
            Some(Reply::Invalid(reason)) => error_response(StatusCode::BAD_REQUEST, &reason.to_string()),
            Some(Reply::Conflict { current }) => {
                error_response(StatusCode::PRECONDITION_FAILED, &format!("{current:08x} stands"))
            }
            Some(Reply::Current(Some(current))) => json_response(StatusCode::OK, current.body.clone()),
            Some(Reply::Current(None)) => error_response(StatusCode::NOT_FOUND, "there is none yet"),
            Some(Reply::Redirect(leader)) => self.redirect(&leader, path).unwrap_or_else(unavailable),
            Some(Reply::Unavailable) | None => unavailable(),
        }
    }

    fn redirect(&self, leader: &str, path: &str) -> Option<HttpResponse> {
        let address = SocketAddr::new(leader.parse::<IpAddr>().ok()?, self.port);
        let location = HeaderValue::try_from(format!("http://{address}{path}")).ok()?;
        let mut response = json_response(StatusCode::TEMPORARY_REDIRECT, "{}");
        response.headers_mut().insert(LOCATION, location);
        Some(response)
    }
}

impl Call {
    fn matches(&self, path: &str) -> bool {
        if !self.path.ends_with('/') {
            return path == self.path;
        }
        path.strip_prefix(self.path).is_some_and(|name| !name.is_empty() && !name.contains('/'))
    }
}

fn json_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    json_response(status, serde_json::json!({ "errorText": reason }).to_string())
}

/// Returns the response for a request that this node cannot decide now; another node may be able to.
fn unavailable() -> HttpResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "nobody can say now");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    response
}
