//! The second address: status, figures, maintenance by hand. It asks the engine and decides nothing.

use crate::api::Api;
use crate::fleet::Fleet;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use proxy::driver::Driver;
use proxy::fronts::http1::Server;
use proxy::handover::Link;
use serde::Deserialize;
use serde_json::json;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};
use tracing::info;

/// The most callers at once; their descriptors are kept back from clients and backends. For one more the oldest goes.
pub const CALLERS: usize = 16;
/// How long a call may take to come, and then to be read.
const CALL_TIME: Duration = Duration::from_secs(5);
const LONGEST: usize = 4 << 10;
const HEAD_BYTES: usize = 8 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// The operators' HTTP interface.
pub struct Admin {
    pub driver: Rc<Driver>,
    pub server: Rc<Server<Api>>,
    /// The classes' names, in the settings' order.
    pub classes: Vec<String>,
    pub link: Rc<Link>,
    pub fleet: Option<Rc<Fleet>>,
}

#[derive(Deserialize)]
struct Call {
    target: String,
}

type Reply = (StatusCode, String);

impl Admin {
    /// Serves operators' calls for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        // The oldest first. A caller whose call is whole is answered at once, so that who is old has not said any.
        let callers: RefCell<VecDeque<AbortHandle>> = RefCell::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let mut callers = callers.borrow_mut();
            callers.retain(|c| !c.is_finished());
            while callers.len() >= CALLERS {
                callers.pop_front().inspect(AbortHandle::abort);
            }
            callers.push_back(spawn_local(self.clone().caller(stream)).abort_handle());
        }
    }

    async fn caller(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let admin = self.clone();
            async move {
                let (status, text) = admin.answer(request).await;
                let mut reply = Response::new(Full::new(Bytes::from(text)));
                *reply.status_mut() = status;
                reply
                    .headers_mut()
                    .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
                Ok::<_, Infallible>(reply)
            }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .timer(TokioTimer::new())
            .header_read_timeout(CALL_TIME)
            .max_buf_size(HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // Whatever it is, it is the caller's.
        let _ = timeout(2 * CALL_TIME, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let wanted = match request.uri().path() {
            "/status" | "/status/metrics" | "/status/fleet" => Method::GET,
            "/maintenance/enter" | "/maintenance/exit" => Method::POST,
            _ => return no(StatusCode::NOT_FOUND, "no such call"),
        };
        if *request.method() != wanted {
            return no(StatusCode::METHOD_NOT_ALLOWED, &format!("{wanted} is wanted"));
        }
        match request.uri().path() {
            "/status" if self.server.takes_clients() => {
                (StatusCode::OK, json!({"serving": true}).to_string())
            }
            "/status" => no(StatusCode::SERVICE_UNAVAILABLE, "takes no clients"),
            "/status/fleet" => match &self.fleet {
                Some(fleet) => (StatusCode::OK, fleet.status().to_string()),
                None => no(StatusCode::NOT_FOUND, "no view of the fleet is kept: [fleet] is absent"),
            },
            "/status/metrics" => (StatusCode::OK, self.figures()),
            path => {
                let enter = path == "/maintenance/enter";
                let body = Limited::new(request.into_body(), LONGEST).collect();
                match timeout(CALL_TIME, body).await {
                    Ok(Ok(body)) => self.maintenance(enter, &body.to_bytes()),
                    Ok(Err(_)) => no(StatusCode::PAYLOAD_TOO_LARGE, &format!("{LONGEST} bytes at most")),
                    Err(_) => no(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
                }
            }
        }
    }

    fn maintenance(&self, enter: bool, body: &[u8]) -> Reply {
        let Ok(Call { target }) = serde_json::from_slice(body) else {
            return no(StatusCode::BAD_REQUEST, r#"{"target":"ID"} is wanted"#);
        };
        let change = || {
            if enter {
                self.driver.ban(&target)
            } else {
                self.driver.unban(&target)
            }
        };
        let (done, kept) = self.link.change(&self.driver, change);
        match done {
            Err(never) => no(StatusCode::NOT_FOUND, &format!("{target}: {never}")),
            Ok(changed) => {
                let what = if enter { "taken out by hand" } else { "put back by hand" };
                info!(target, changed, "maintenance: {target} {what}");
                match kept {
                    Ok(()) => (StatusCode::OK, json!({"target": target, "changed": changed}).to_string()),
                    Err(e) => no(StatusCode::INTERNAL_SERVER_ERROR, &format!("{what} here, not kept: {e}")),
                }
            }
        }
    }

    fn figures(&self) -> String {
        let totals = self.driver.totals();
        let calls = self.classes.iter().zip(&totals.answers).map(|(name, c)| {
            (name.clone(), json!({"success": c.served, "busy": c.refused, "failure": c.failed}))
        });
        let calls: serde_json::Map<_, _> = calls.collect();
        json!({
            "calls": calls,
            "inflight": self.server.in_flight(),
            "backend_calls": totals.attempts,
            "hosts_listed": totals.listed,
            "hosts_down": totals.down,
        })
        .to_string()
    }
}

fn no(status: StatusCode, why: &str) -> Reply {
    (status, json!({"error": why}).to_string())
}
