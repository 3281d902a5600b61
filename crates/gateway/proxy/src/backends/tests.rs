use super::*;
use crate::fronts::Budget;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, Uri};
use interface::Ending;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// Protocol on which only status 200 is a success.
struct Plain;

impl UpstreamProtocol for Plain {
    fn set_attempt_headers(&self, headers: &mut HeaderMap, wait: Duration, _: &Name) {
        headers
            .insert("request-timeout", HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())).unwrap());
    }

    fn read(&self, _: &Outgoing, _: &Name, answer: Response<Content>) -> Outcome {
        Outcome::without_answer(if answer.status() == 200 { Ending::Success } else { Ending::Failure })
    }
}

fn outgoing(body: usize) -> Outgoing {
    Outgoing {
        method: Method::POST,
        uri: Uri::from_static("/api?x=1"),
        headers: [("host", "origin.svc"), ("request-id", "9b1f03aa5c7e2d41"), ("idempotency-key", "k")]
            .into_iter()
            .map(|(n, v)| (HeaderName::from_static(n), HeaderValue::from_static(v)))
            .collect(),
        body: RefCell::new(Upload::Buffered(Bytes::from(vec![b'x'; body]), Budget::new(0).reserve())),
        ..Outgoing::default()
    }
}

impl Backends {
    fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.table.borrow().get(name).filter(|backend| backend.ready).and_then(|backend| backend.address)
    }
}

fn backends(address: SocketAddr) -> Rc<Backends> {
    backends_with(address, None)
}

fn backends_with(address: SocketAddr, unacknowledged_timeout: Option<Duration>) -> Rc<Backends> {
    let second = Duration::from_secs(1);
    let (connect_timeout, keepalive) = (5 * second, 10 * second);
    let limits = Limits {
        max_connections: 10,
        connect_timeout,
        keepalive,
        unacknowledged_timeout,
        response_pause_timeout: None,
        relay_overtime: None,
    };
    let backends = Backends::new(&limits, Box::new(Plain));
    let backend = Backend { address: Some(address), boot_ms: 0, ready: true, idle: Vec::new() };
    backends.table.borrow_mut().insert("s-1".into(), backend);
    backends
}

/// A new backend starts at the address of an old one, which discovery has not yet reported as gone.
#[test]
fn a_backend_whose_address_has_a_new_owner_is_gone() {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let backends = backends(address);
    let target = |uid: &str, boot_ms: u64| {
        let text = format!(r#"{{"uid":"{uid}","endpoint":"{address}","state":"Ready","boot_ms":{boot_ms}}}"#);
        serde_json::from_str::<Target>(&text).unwrap()
    };
    assert!(backends.update(Scope::Changes, &[target("s-1", 0)]).is_empty());
    assert_eq!(backends.update(Scope::Changes, &[target("s-2", 5)]), ["s-1".into()]);
    assert_eq!((backends.address(&"s-1".into()), backends.address(&"s-2".into())), (None, Some(address)));
    // The old backend's entry again, as in a full list: the later start wins, whatever the order.
    assert_eq!(backends.update(Scope::Full, &[target("s-1", 0), target("s-2", 5)]), ["s-1".into()]);
    assert_eq!(backends.update(Scope::Full, &[target("s-2", 5), target("s-1", 0)]), ["s-1".into()]);
    assert_eq!(backends.update(Scope::Full, &[target("s-2", 5), target("s-3", 5)]), Vec::<Name>::new());
}

async fn attempt(backends: &Backends, request: &Outgoing) -> (Ending, Rc<Progress>) {
    let progress = Rc::default();
    let deadline = Instant::now() + Duration::from_secs(20);
    let address = backends.address(&"s-1".into()).unwrap();
    match backends.attempt(&"s-1".into(), address, request, deadline, &progress).await {
        ExchangeResult::Complete(outcome) => (outcome.ending, progress),
        ExchangeResult::Streaming(..) => panic!("no response in these tests is long"),
    }
}

/// The computed size of a request is the number of bytes that reach the backend. If it were too large, an executed request
/// would count as unwritten.
#[tokio::test]
async fn the_size_of_a_request_is_what_is_written() {
    for body in [0, 5, MAX_BUFFERED_RESPONSE_BYTES, 3 << 20] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (backends, request) = (backends(listener.local_addr().unwrap()), outgoing(body));
        let backend = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
            loop {
                let n = stream.read(&mut buffer).await.unwrap();
                got.extend_from_slice(&buffer[..n]);
                let head = got.windows(4).position(|w| w == b"\r\n\r\n");
                if head.is_some_and(|h| got.len() == h + 4 + body) {
                    break;
                }
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            got.len()
        };
        let ((ending, progress), got) = tokio::join!(attempt(&backends, &request), backend);
        assert_eq!(
            (ending, progress.execution_start.get(), progress.written.get()),
            (Ending::Success, got, got)
        );
    }
}

/// Only requests that a live machine always acknowledges are limited; a connection changes between both kinds of requests.
#[tokio::test]
async fn the_time_without_an_acknowledgement_is_limited_for_short_requests_only() {
    const LONG: usize = 64 << 10;
    let timeout = Duration::from_millis(700);
    for (bodies, expected) in
        [(vec![5], Some(timeout)), (vec![5, LONG], None), (vec![LONG, 5], Some(timeout)), (vec![LONG], None)]
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backends = backends_with(listener.local_addr().unwrap(), Some(timeout));
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            for body in &bodies {
                let mut request = Vec::new();
                while !request.ends_with(&b"x".repeat(*body)) || !request.windows(4).any(|w| w == b"\r\n\r\n")
                {
                    stream.read_buf(&mut request).await.unwrap();
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            }
            stream
        };
        let ask = async {
            for body in &bodies {
                assert_eq!(attempt(&backends, &outgoing(*body)).await.0, Ending::Success);
            }
        };
        let ((), _stream) = tokio::join!(ask, serve);
        let connection = backends.table.borrow_mut().get_mut("s-1").unwrap().idle.pop().unwrap();
        assert_eq!(connection.io.into_parts().io.unacknowledged_timeout(), expected, "{bodies:?}");
        assert_eq!(backends.connects.get(), 1, "all on one connection");
    }
}

/// A connection breaks while only part of the request is written, so the backend has not executed it.
#[tokio::test]
async fn a_request_broken_before_its_last_byte_never_ran() {
    let socket = TcpSocket::new_v4().unwrap();
    // Small buffers, so that the rest of the body cannot be written.
    socket.set_recv_buffer_size(2048).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let backends = backends(listener.local_addr().unwrap());
    let request = outgoing(64 << 20);
    let backend = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 100]).await.unwrap();
    };
    let ((ending, progress), ()) = tokio::join!(attempt(&backends, &request), backend);
    assert_eq!(ending, Ending::Unreachable);
    assert!(progress.written.get() > 0 && !progress.may_have_run());
}
