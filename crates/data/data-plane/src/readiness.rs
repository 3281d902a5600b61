//! The readiness endpoint, which reports whether new clients should connect to this gateway.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const PATH: &str = "/-/readiness";
/// Maximum age of a connection; checks are sent once per second.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(10);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Serves readiness checks until the process ends.
pub async fn serve(listener: TcpListener, is_ready: Rc<dyn Fn() -> bool>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let is_ready = is_ready.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = status(&request, &*is_ready);
                async { Ok::<_, Infallible>(response) }
            });
            let mut http = http1::Builder::new();
            let connection =
                http.max_buf_size(MAX_HEAD_BYTES).serve_connection(TokioIo::new(stream), service);
            // Errors of a connection concern only its client.
            let _ = timeout(MAX_CONNECTION_AGE, connection).await;
        });
    }
}

fn status(request: &Request<Incoming>, is_ready: &dyn Fn() -> bool) -> StatusCode {
    match request.uri().path() {
        PATH if request.method() != Method::GET => StatusCode::METHOD_NOT_ALLOWED,
        PATH if is_ready() => StatusCode::OK,
        PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}
