//! The readiness address: whether new clients do well to come here.

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
/// A reading comes each second; a connection lasts so long at the most.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(10);

pub async fn serve(listener: TcpListener, ready: Rc<dyn Fn() -> bool>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let ready = ready.clone();
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let status = match request.uri().path() {
                    PATH if request.method() != Method::GET => StatusCode::METHOD_NOT_ALLOWED,
                    PATH if ready() => StatusCode::OK,
                    PATH => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::NOT_FOUND,
                };
                let mut reply = Response::new(Full::new(Bytes::new()));
                *reply.status_mut() = status;
                async { Ok::<_, Infallible>(reply) }
            });
            let mut http = http1::Builder::new();
            let http = http.max_buf_size(8 << 10).serve_connection(TokioIo::new(stream), service);
            // Errors are the caller's.
            let _ = timeout(MAX_CONNECTION_AGE, http).await;
        });
    }
}
