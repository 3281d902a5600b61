//! The watch on the list of backends.

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

/// How long a watch may wait for news.
const WAIT: Duration = Duration::from_secs(20);
/// Past this an answer that may not wait is not coming.
const SILENCE: Duration = Duration::from_secs(2);
const LONGEST: usize = 4 << 20;

/// What the watch has to tell.
pub enum News {
    List(Scope, List),
    /// A call failed, and why. The old list stands.
    Failed(String),
}

type Connection = SendRequest<Empty<Bytes>>;

/// Asks for what changed since the list that is held, or for the whole list if none is, and so on. Whatever fails,
/// the old list stands and the next call comes on a new connection, when the pace allows.
/// `callers`: how many gateways are believed to call, where somebody tells.
pub async fn watch(
    address: SocketAddr,
    held: Option<u64>,
    mut pace: Pace,
    callers: Rc<Cell<Option<u32>>>,
    tell: impl Fn(News),
) {
    let follow = |pace: &mut Pace| callers.get().into_iter().for_each(|n| pace.shared_by(n));
    follow(&mut pace);
    let mut rev = held;
    let mut connection = None;
    sleep(pace.first()).await;
    loop {
        let began = Instant::now();
        follow(&mut pace);
        match call(address, &mut connection, rev).await {
            // Changes apply to a list that is held, and only forwards.
            Ok(list) if list.all || rev.is_some_and(|r| list.rev >= r) => {
                if rev.replace(list.rev) == Some(list.rev) {
                    sleep(pace.unchanged(began.elapsed(), WAIT)).await;
                } else {
                    pace.answered();
                }
                let scope = if list.all { Scope::Full } else { Scope::Changes };
                tell(News::List(scope, list));
            }
            // It runs back: another service answers. The whole list is wanted, and it is dear.
            Ok(_) => {
                rev = None;
                sleep(pace.failed()).await;
            }
            Err(what) => {
                tell(News::Failed(what));
                connection = None;
                sleep(pace.failed()).await;
            }
        }
    }
}

async fn call(address: SocketAddr, kept: &mut Option<Connection>, rev: Option<u64>) -> Result<List, String> {
    let (path, wait) = match rev {
        None => ("/v1/endpoints".to_string(), Duration::ZERO),
        Some(r) => (format!("/v1/endpoints?since={r}&timeout_ms={}", WAIT.as_millis()), WAIT),
    };
    let answer = timeout(wait + SILENCE, exchange(address, kept, path)).await;
    answer.map_err(|_| "silent".to_string())?
}

async fn exchange(address: SocketAddr, kept: &mut Option<Connection>, path: String) -> Result<List, String> {
    let mut connection = match kept.take().filter(|c| c.is_ready()) {
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
    let body = Limited::new(answer.into_body(), LONGEST).collect().await.map_err(|e| e.to_string())?;
    let list = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    *kept = Some(connection);
    Ok(list)
}

async fn connect(address: SocketAddr) -> Result<Connection, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (connection, io) = http1::handshake(TokioIo::new(stream)).await?;
    // Ends when the sending half is dropped.
    tokio::task::spawn_local(io);
    Ok(connection)
}
