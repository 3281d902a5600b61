//! Watches the list of backends at the discovery service by long polling.

use background::Pace;
use bytes::Bytes;
use granitehub::Scope;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use proxy::list::List;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long the service may hold a call until the list changes.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of an answer, beyond the time for which the service may hold the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer's body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Result of a call to the discovery service.
pub enum Update {
    List(Scope, List),
    /// A call failed, with the reason. The previous list remains in use.
    Failed(String),
}

type Connection = SendRequest<Empty<Bytes>>;

/// Polls continually for the changes since the known revision, or for the whole list if there is none. After a failure the
/// previous list remains in use and the next call uses a new connection, after a delay given by `pace`. `callers` is the
/// estimated number of gateways that call the service, if it is known.
pub async fn watch(
    address: SocketAddr,
    known_revision: Option<u64>,
    mut pace: Pace,
    callers: Rc<Cell<Option<u32>>>,
    notify: impl Fn(Update),
) {
    let update_pace = |pace: &mut Pace| callers.get().into_iter().for_each(|n| pace.shared_by(n));
    update_pace(&mut pace);
    let mut rev = known_revision;
    let mut connection = None;
    sleep(pace.first()).await;
    loop {
        let started = Instant::now();
        update_pace(&mut pace);
        match call(address, &mut connection, rev).await {
            // Changes apply only to a known list, and only forwards.
            Ok(list) if list.all || rev.is_some_and(|r| list.rev >= r) => {
                if rev.replace(list.rev) == Some(list.rev) {
                    sleep(pace.unchanged(started.elapsed(), LONG_POLL_TIMEOUT)).await;
                } else {
                    pace.answered();
                }
                let scope = if list.all { Scope::Full } else { Scope::Changes };
                notify(Update::List(scope, list));
            }
            // The revision went backwards, so another service answers. The next call fetches the whole list, which is
            // expensive, and therefore backs off.
            Ok(_) => {
                rev = None;
                sleep(pace.failed()).await;
            }
            Err(error) => {
                notify(Update::Failed(error));
                connection = None;
                sleep(pace.failed()).await;
            }
        }
    }
}

async fn call(address: SocketAddr, idle: &mut Option<Connection>, rev: Option<u64>) -> Result<List, String> {
    let (path, wait) = match rev {
        None => ("/v1/endpoints".to_string(), Duration::ZERO),
        Some(r) => (
            format!("/v1/endpoints?since={r}&timeout_ms={}", LONG_POLL_TIMEOUT.as_millis()),
            LONG_POLL_TIMEOUT,
        ),
    };
    let answer = timeout(wait + RESPONSE_TIMEOUT, exchange(address, idle, path)).await;
    answer.map_err(|_| "no answer in time".to_string())?
}

async fn exchange(address: SocketAddr, idle: &mut Option<Connection>, path: String) -> Result<List, String> {
    let mut connection = match idle.take().filter(|c| c.is_ready()) {
        Some(connection) => connection,
        None => connect(address).await.map_err(|e| e.to_string())?,
    };
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let answer = connection.send_request(request).await.map_err(|e| e.to_string())?;
    if answer.status() != 200 {
        return Err(format!("status {}", answer.status()));
    }
    let body = Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await.map_err(|e| e.to_string())?;
    let list = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    *idle = Some(connection);
    Ok(list)
}

async fn connect(address: SocketAddr) -> Result<Connection, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (connection, io) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends when the request sender is dropped.
    tokio::task::spawn_local(io);
    Ok(connection)
}
