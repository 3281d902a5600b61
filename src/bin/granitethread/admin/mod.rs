//! Admin interface for operators: status, metrics and manual maintenance. It makes no decisions of its own.

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

/// Maximum number of concurrent callers; their descriptors are reserved. A further caller replaces the oldest one.
pub const MAX_CALLERS: usize = 16;
/// Timeout of a call's headers, and of its body.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 4 << 10;
const MAX_HEADER_BYTES: usize = 8 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// HTTP interface for operators.
pub struct Admin {
    pub driver: Rc<Driver>,
    pub server: Rc<Server<Api>>,
    /// Class names in the order of the settings.
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
    /// Serves operators' calls until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        // Oldest first. A complete call is answered immediately, so an old caller has not sent a complete one.
        let callers: RefCell<VecDeque<AbortHandle>> = RefCell::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let mut callers = callers.borrow_mut();
            callers.retain(|c| !c.is_finished());
            while callers.len() >= MAX_CALLERS {
                callers.pop_front().inspect(AbortHandle::abort);
            }
            callers.push_back(spawn_local(self.clone().serve_connection(stream)).abort_handle());
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
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
            .header_read_timeout(CALL_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // Errors of the connection concern only the caller.
        let _ = timeout(2 * CALL_TIMEOUT, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let expected = match request.uri().path() {
            "/status" | "/status/metrics" | "/status/fleet" => Method::GET,
            "/maintenance/enter" | "/maintenance/exit" => Method::POST,
            _ => return error_reply(StatusCode::NOT_FOUND, "no such call"),
        };
        if *request.method() != expected {
            return error_reply(StatusCode::METHOD_NOT_ALLOWED, &format!("{expected} is wanted"));
        }
        match request.uri().path() {
            "/status" if self.server.takes_clients() => {
                (StatusCode::OK, json!({"serving": true}).to_string())
            }
            "/status" => error_reply(StatusCode::SERVICE_UNAVAILABLE, "takes no clients"),
            "/status/fleet" => match &self.fleet {
                Some(fleet) => (StatusCode::OK, fleet.status().to_string()),
                None => error_reply(StatusCode::NOT_FOUND, "no view of the fleet is kept: [fleet] is absent"),
            },
            "/status/metrics" => (StatusCode::OK, self.metrics()),
            path => {
                let enter = path == "/maintenance/enter";
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
                match timeout(CALL_TIMEOUT, body).await {
                    Ok(Ok(body)) => self.maintenance(enter, &body.to_bytes()),
                    Ok(Err(_)) => {
                        error_reply(StatusCode::PAYLOAD_TOO_LARGE, &format!("{MAX_BODY_BYTES} bytes at most"))
                    }
                    Err(_) => error_reply(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
                }
            }
        }
    }

    fn maintenance(&self, enter: bool, body: &[u8]) -> Reply {
        let Ok(Call { target }) = serde_json::from_slice(body) else {
            return error_reply(StatusCode::BAD_REQUEST, r#"{"target":"ID"} is wanted"#);
        };
        let change = || {
            if enter {
                self.driver.ban(&target)
            } else {
                self.driver.unban(&target)
            }
        };
        let (result, saved) = self.link.change(&self.driver, change);
        match result {
            Err(error) => error_reply(StatusCode::NOT_FOUND, &format!("{target}: {error}")),
            Ok(changed) => {
                let action = if enter { "taken out by hand" } else { "put back by hand" };
                info!(target, changed, "maintenance: {target} {action}");
                match saved {
                    Ok(()) => (StatusCode::OK, json!({"target": target, "changed": changed}).to_string()),
                    Err(e) => error_reply(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        &format!("{action} here, not kept: {e}"),
                    ),
                }
            }
        }
    }

    fn metrics(&self) -> String {
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

fn error_reply(status: StatusCode, error: &str) -> Reply {
    (status, json!({"error": error}).to_string())
}
