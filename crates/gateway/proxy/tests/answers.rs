//! Matching of responses to requests, and retries, over real sockets: a gateway's driver and connections against scripted
//! backends. The decision module of these tests retries every request, safe or not, so what prevents a wrong retry is the
//! driver and the engine.

use engine::Timing;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Response, Uri};
use interface::{
    Action, Allowance, Class, Effect, Ending, Event, Group, Module, Name, Plan, RequestId, Scope, Settings,
    Time,
};
use lifecycle::upstream::{Echo, ExecutionStart};
use proxy::backends::{Backends, Content, Limits, Outcome, Outgoing, Served, Upload, UpstreamProtocol};
use proxy::driver::{Answer, Config, Driver, Incoming};
use proxy::fronts::Budget;
use proxy::list::{List, State, Target};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

const MS: Time = 1_000_000;
const UNSAFE: usize = 0;
const SAFE: usize = 1;
/// Larger than the socket buffers between two ends.
const LARGE: usize = 8 << 20;
/// Silence of a backend within its answer.
const SILENCE: Duration = Duration::from_millis(600);
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(400);

/// Module that sends each request up to three times and then rejects it.
#[derive(Default)]
struct AlwaysRetry(HashMap<RequestId, u32>);

impl Module for AlwaysRetry {
    fn handle(&mut self, _: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        for event in events {
            let id = match event {
                Event::Request(r) => r.id,
                Event::AttemptEnd(e) if !e.last => e.id,
                _ => continue,
            };
            let send_count = self.0.entry(id).or_default();
            *send_count += 1;
            out.push(match *send_count {
                1..=3 => Action::Send { id, server: "s-1".into(), attempt_deadline: 0 },
                _ => Action::Reject { id, advice: 0 },
            });
        }
    }
}

/// Protocol on which responses echo `attempt-id`, and `not-executed` means that a request was not executed.
struct EchoProtocol;

impl UpstreamProtocol for EchoProtocol {
    fn set_attempt_headers(&self, _: &mut HeaderMap, _: Duration, _: &Name) {}

    fn execution_start(&self) -> ExecutionStart {
        ExecutionStart::FullHead
    }

    fn echo(&self, request: &Outgoing, head: &Parts) -> Echo {
        match (head.headers.get("attempt-id"), request.headers.get("attempt-id")) {
            (Some(id), Some(own)) if id == own => Echo::Same,
            (Some(_), _) => Echo::Other,
            (None, _) => Echo::Missing { is_rejection: head.headers.contains_key("not-executed") },
        }
    }

    fn read(&self, _: &Outgoing, _: &Name, answer: Response<Content>) -> Outcome {
        let (head, content) = answer.into_parts();
        let mut outcome = Outcome::without_answer(match head.status {
            s if s.is_success() => Ending::Success,
            _ if head.headers.contains_key("not-executed") => Ending::Overloaded,
            _ => Ending::Failure,
        });
        let served = Some(Served { status: head.status, headers: head.headers, content });
        match outcome.ending {
            Ending::Success => outcome.served = served,
            Ending::Failure => outcome.failure = served,
            _ => {}
        }
        outcome
    }
}

struct Gateway {
    driver: Rc<Driver>,
    next: Cell<RequestId>,
}

impl Gateway {
    fn before(listener: &TcpListener) -> Self {
        let second = Duration::from_secs(1);
        let limits = Limits {
            max_connections: 9,
            connect_timeout: second,
            keepalive: 60 * second,
            unacknowledged_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            response_pause_timeout: None,
            relay_overtime: Some(Duration::ZERO),
        };
        let class = |name, effect| Class::new(name, 1000 * MS, 9000 * MS, effect, Group::All);
        let settings = Settings {
            classes: vec![class("unsafe", Effect::Unsafe), class("safe", Effect::Safe)],
            plans: vec![Plan::new("p", 0.0, 0.0)],
            max_attempts: 3,
            ..Settings::default()
        };
        let driver = Driver::new(Config {
            settings,
            seed: 1,
            timing: Timing { way_back: 0, module_grace: MS, key_margin: 0, min_batch_interval: 0 },
            module: Box::new(|_, _| Ok(Box::new(AlwaysRetry::default()) as Box<dyn Module>)),
            backends: Backends::new(&limits, Box::new(EchoProtocol)),
            zones: Vec::new(),
            pools: Box::new(|_| 1),
        })
        .expect("sound settings");
        let target = Target {
            uid: "s-1".into(),
            endpoint: listener.local_addr().expect("it listens").to_string(),
            az: String::new(),
            model: String::new(),
            pod_group: 0,
            state: State::Ready,
            capacity_hint: 1.0,
            boot_ms: 0,
        };
        driver.apply_list(Scope::Full, List { rev: 1, all: true, targets: vec![target] });
        let running = driver.clone();
        spawn_local(async move { running.run().await });
        Gateway { driver, next: Cell::new(1) }
    }

    /// Returns the answer to a client that sends `name` as its attempt id and waits for `wait`.
    async fn request_with_timeout(
        &self,
        wait: Time,
        class: usize,
        name: &'static str,
        body: usize,
    ) -> String {
        let id = self.next.replace(self.next.get() + 1);
        let request = engine::Incoming {
            id,
            class,
            plan: 0,
            customer: "c".into(),
            timeout: wait,
            body_pending: false,
            units: 1.0,
            spread: 1,
            repeat: false,
            pool: 0,
            allowance: Allowance::Unknown,
        };
        let mut headers = HeaderMap::new();
        headers.insert("attempt-id", name.parse().expect("a value"));
        let outgoing = Outgoing {
            method: Method::POST,
            uri: Uri::from_static("/"),
            headers,
            body: RefCell::new(Upload::Buffered(vec![b'x'; body].into(), Budget::new(0).reserve())),
            at_most_once: class == UNSAFE,
            ..Outgoing::default()
        };
        let incoming = Incoming { request, arrived: Instant::now(), outgoing };
        match self.driver.submit(incoming).expect("its id is free").await {
            Answer::Served(served) => {
                let body = match served.content {
                    Content::Complete(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
                    Content::Stream(_) => "a stream".into(),
                };
                format!("{} {body}", served.status.as_u16())
            }
            Answer::Refused { .. } => "refused".into(),
            Answer::Rejected(status) => status.to_string(),
            Answer::Failed { late: true } => "late".into(),
            Answer::Failed { late: false } => "failed".into(),
        }
    }

    async fn request(&self, class: usize, name: &'static str, body: usize) -> String {
        self.request_with_timeout(9000 * MS, class, name, body).await
    }
}

/// Backend side of a connection.
struct BackendConnection(TcpStream);

impl BackendConnection {
    async fn accept(listener: &TcpListener) -> Self {
        BackendConnection(listener.accept().await.expect("a connection").0)
    }

    async fn read_byte(&mut self) -> u8 {
        self.0.read_u8().await.expect("a byte")
    }

    /// Reads the head of the next request and returns its id.
    async fn read_head(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.read_byte().await);
        }
        let head = String::from_utf8(head).expect("text");
        let id = head.lines().find_map(|l| l.strip_prefix("attempt-id: "));
        id.expect("an id").to_string()
    }

    /// Reads a request with a body of `body` bytes and returns its id.
    async fn read_request(&mut self, body: usize) -> String {
        let id = self.read_head().await;
        self.0.read_exact(&mut vec![0; body]).await.expect("a body");
        id
    }

    async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("it reads");
    }

    fn reset(self) {
        self.0.set_zero_linger().expect("it can be set");
    }
}

fn answer(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

/// Returns a listener with a small receive buffer.
fn listen_with_small_buffer() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2048).expect("it can be set");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    socket.listen(8).expect("it listens")
}

/// Runs a script of client and backend to its end.
fn run_script<T>(script: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let script = async { timeout(Duration::from_secs(20), script).await.expect("it ends") };
    LocalSet::new().block_on(&runtime, script)
}

#[test]
fn bytes_behind_an_answer_reach_nobody_and_cost_no_request_whether_they_come_at_once_or_later() {
    run_script(async {
        let listener = listen().await;
        let gateway = Gateway::before(&listener);
        let (received, mut backend) = tokio::join!(gateway.request(UNSAFE, "a", 3), async {
            let mut backend = BackendConnection::accept(&listener).await;
            assert_eq!(backend.read_request(3).await, "a");
            backend.send(&(answer("a", "one") + &answer("a", "one"))).await;
            backend
        });
        assert_eq!(received, "200 one");
        let (received, mut second) = tokio::join!(gateway.request(UNSAFE, "b", 3), async {
            let mut backend = BackendConnection::accept(&listener).await;
            assert_eq!(backend.read_request(3).await, "b");
            backend.send(&answer("b", "two")).await;
            backend
        });
        assert_eq!(received, "200 two");
        assert_eq!(backend.0.read(&mut [0]).await.unwrap_or(0), 0, "the first is closed");
        // Late, but before the connection is reused.
        second.send(&answer("b", "two")).await;
        let (received, _third) = tokio::join!(gateway.request(UNSAFE, "c", 3), async {
            let mut backend = BackendConnection::accept(&listener).await;
            assert_eq!(backend.read_request(3).await, "c");
            backend.send(&answer("c", "three")).await;
            backend
        });
        assert_eq!(received, "200 three");
    });
}

#[test]
fn a_connection_without_surplus_is_kept() {
    run_script(async {
        let listener = listen().await;
        let gateway = Gateway::before(&listener);
        let (received, ()) = tokio::join!(
            async { [gateway.request(UNSAFE, "a", 3).await, gateway.request(SAFE, "b", 0).await] },
            async {
                let mut backend = BackendConnection::accept(&listener).await;
                for (id, body) in [("a", 3), ("b", 0)] {
                    assert_eq!(backend.read_request(body).await, id);
                    backend.send("HTTP/1.1 102 Processing\r\n\r\n").await;
                    backend.send(&answer(id, id)).await;
                }
            }
        );
        assert_eq!(received, ["200 a", "200 b"]);
    });
}

#[test]
fn an_answer_of_another_id_is_not_passed_on_and_only_what_may_run_twice_is_sent_again() {
    for (class, second) in [(UNSAFE, false), (SAFE, true)] {
        run_script(async {
            let listener = listen().await;
            let gateway = Gateway::before(&listener);
            let (received, ()) = tokio::join!(gateway.request(class, "b", 3), async {
                let mut backend = BackendConnection::accept(&listener).await;
                assert_eq!(backend.read_request(3).await, "b");
                backend.send(&answer("a", "one")).await;
                if second {
                    let mut backend = BackendConnection::accept(&listener).await;
                    assert_eq!(backend.read_request(3).await, "b");
                    backend.send(&answer("b", "two")).await;
                }
            });
            assert_eq!(received, if second { "200 two" } else { "failed" });
        });
    }
}

#[test]
fn a_further_attempt_never_goes_where_an_earlier_one_of_its_request_did() {
    run_script(async {
        let listener = listen().await;
        let gateway = Gateway::before(&listener);
        let (received, ()) = tokio::join!(gateway.request(UNSAFE, "a", 3), async {
            let mut first = BackendConnection::accept(&listener).await;
            assert_eq!(first.read_request(3).await, "a");
            let full = "HTTP/1.1 503 Full\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            first.send(full).await;
            let mut second = BackendConnection::accept(&listener).await;
            assert_eq!(second.read_request(3).await, "a");
            // A second copy of the refusal arrives on the first connection, where it cannot be taken for this attempt's.
            first.send(full).await;
            second.send(&answer("a", "one")).await;
        });
        assert_eq!(received, "200 one");
    });
}

#[test]
fn what_must_not_run_twice_does_not_go_out_behind_a_refusal_without_an_id() {
    run_script(async {
        let listener = listen().await;
        let gateway = Gateway::before(&listener);
        let (received, _refused) = tokio::join!(gateway.request(UNSAFE, "a", 3), async {
            let mut first = BackendConnection::accept(&listener).await;
            assert_eq!(first.read_request(3).await, "a");
            first.send("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").await;
            let mut second = BackendConnection::accept(&listener).await;
            assert_eq!(second.read_request(3).await, "a");
            second.send("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").await;
            let mut third = BackendConnection::accept(&listener).await;
            assert_eq!(third.read_request(3).await, "a");
            third.send(&answer("a", "one")).await;
            drop(third);
            (first, second)
        });
        assert_eq!(received, "200 one");
        // Another request that must not be executed twice finds two idle connections, neither of which it may use.
        let (received, ()) = tokio::join!(gateway.request(UNSAFE, "b", 3), async {
            let mut fourth = BackendConnection::accept(&listener).await;
            assert_eq!(fourth.read_request(3).await, "b");
            fourth.send(&answer("b", "two")).await;
        });
        assert_eq!(received, "200 two");
    });
}

/// Point at which the backend resets the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ResetPoint {
    AfterHead,
    AfterHalfBody,
    AfterRequest,
    InResponse,
}

#[test]
fn after_a_reset_from_the_head_on_what_must_not_run_twice_is_neither_sent_again_nor_refused() {
    for point in
        [ResetPoint::AfterHead, ResetPoint::AfterHalfBody, ResetPoint::AfterRequest, ResetPoint::InResponse]
    {
        let body = if matches!(point, ResetPoint::AfterHead | ResetPoint::AfterHalfBody) { LARGE } else { 3 };
        for class in [UNSAFE, SAFE] {
            run_script(async {
                let listener = listen_with_small_buffer();
                let gateway = Gateway::before(&listener);
                let (received, ()) = tokio::join!(gateway.request(class, "a", body), async {
                    let mut backend = BackendConnection::accept(&listener).await;
                    assert_eq!(backend.read_head().await, "a");
                    match point {
                        ResetPoint::AfterHead => {}
                        ResetPoint::AfterHalfBody => drop(backend.0.read_exact(&mut vec![0; body / 2]).await),
                        ResetPoint::AfterRequest => drop(backend.0.read_exact(&mut vec![0; body]).await),
                        ResetPoint::InResponse => {
                            backend.0.read_exact(&mut vec![0; body]).await.expect("a body");
                            backend
                                .send("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 9\r\n\r\nhalf")
                                .await;
                        }
                    }
                    backend.reset();
                    if class == SAFE {
                        let mut backend = BackendConnection::accept(&listener).await;
                        assert_eq!(backend.read_request(body).await, "a");
                        backend.send(&answer("a", "two")).await;
                    }
                });
                assert_eq!(received, if class == SAFE { "200 two" } else { "failed" }, "{point:?}");
            });
        }
    }
}

#[test]
fn a_connection_closed_before_the_head_was_written_fails_no_request() {
    run_script(async {
        let listener = listen().await;
        let gateway = Gateway::before(&listener);
        let (received, ()) = tokio::join!(
            async { [gateway.request(UNSAFE, "a", 3).await, gateway.request(UNSAFE, "b", 3).await] },
            async {
                let mut backend = BackendConnection::accept(&listener).await;
                assert_eq!(backend.read_request(3).await, "a");
                backend.send(&answer("a", "one")).await;
                // Closed while idle, which the gateway notices.
                drop(backend);
                let mut backend = BackendConnection::accept(&listener).await;
                assert_eq!(backend.read_request(3).await, "b");
                backend.send(&answer("b", "two")).await;
            }
        );
        assert_eq!(received, ["200 one", "200 two"]);
    });
}

#[test]
fn a_request_without_an_answer_times_out_and_is_not_refused() {
    for class in [UNSAFE, SAFE] {
        run_script(async {
            let listener = listen().await;
            let gateway = Gateway::before(&listener);
            let (received, backend) =
                tokio::join!(gateway.request_with_timeout(30 * MS, class, "a", 3), async {
                    let mut backend = BackendConnection::accept(&listener).await;
                    assert_eq!(backend.read_request(3).await, "a");
                    backend
                });
            assert_eq!(received, "late");
            drop(backend);
        });
    }
}

/// Guards against breaking off an answer whose backend falls silent for a while within its head or its body.
#[test]
fn a_backend_that_falls_silent_within_its_answer_is_waited_for_until_the_deadline() {
    let whole = answer("a", "one");
    let head_bytes = whole.find("\r\n\r\n").expect("a head") + 4;
    for sent_at_first in [20, head_bytes, head_bytes + 1] {
        for class in [UNSAFE, SAFE] {
            run_script(async {
                let listener = listen().await;
                let gateway = Gateway::before(&listener);
                let (received, ()) =
                    tokio::join!(gateway.request_with_timeout(3000 * MS, class, "a", 3), async {
                        let mut backend = BackendConnection::accept(&listener).await;
                        assert_eq!(backend.read_request(3).await, "a");
                        backend.send(&whole[..sent_at_first]).await;
                        sleep(SILENCE).await;
                        backend.send(&whole[sent_at_first..]).await;
                    });
                assert_eq!(received, "200 one", "class {class}, {sent_at_first} bytes at first");
            });
        }
    }
}

/// Guards against resetting the connection to a backend that is slow to read a long body: its machine is alive.
#[test]
fn a_backend_that_reads_a_long_body_late_is_waited_for() {
    for class in [UNSAFE, SAFE] {
        run_script(async {
            let listener = listen_with_small_buffer();
            let gateway = Gateway::before(&listener);
            let (received, ()) = tokio::join!(gateway.request(class, "a", LARGE), async {
                let mut backend = BackendConnection::accept(&listener).await;
                assert_eq!(backend.read_head().await, "a");
                sleep(2 * UNACKNOWLEDGED_TIMEOUT).await;
                backend.0.read_exact(&mut vec![0; LARGE]).await.expect("the connection stands");
                backend.send(&answer("a", "one")).await;
            });
            assert_eq!(received, "200 one", "class {class}");
        });
    }
}

#[test]
fn an_answer_before_the_body_was_read_counts_and_its_connection_is_not_kept() {
    run_script(async {
        let listener = listen_with_small_buffer();
        let gateway = Gateway::before(&listener);
        let (received, ()) = tokio::join!(gateway.request(UNSAFE, "a", LARGE), async {
            let mut first = BackendConnection::accept(&listener).await;
            assert_eq!(first.read_head().await, "a");
            first
                .send("HTTP/1.1 503 Full\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                .await;
            let mut second = BackendConnection::accept(&listener).await;
            assert_eq!(second.read_request(LARGE).await, "a");
            second.send(&answer("a", "one")).await;
        });
        assert_eq!(received, "200 one");
    });
}

#[test]
fn an_answer_that_ends_early_does_not_look_whole() {
    for truncated in ["Content-Length: 9\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"] {
        run_script(async {
            let listener = listen().await;
            let gateway = Gateway::before(&listener);
            let (received, ()) = tokio::join!(gateway.request(UNSAFE, "a", 3), async {
                let mut backend = BackendConnection::accept(&listener).await;
                assert_eq!(backend.read_request(3).await, "a");
                backend.send(&format!("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n{truncated}")).await;
            });
            assert_eq!(received, "failed", "{truncated:?}");
        });
    }
}

#[test]
fn a_backends_own_failure_reaches_the_client_as_it_is_once_nothing_else_is_tried() {
    let failure = "HTTP/1.1 500 Oops\r\nAttempt-Id: a\r\nContent-Length: 5\r\n\r\nsorry";
    for (class, attempts) in [(UNSAFE, 1), (SAFE, 3)] {
        run_script(async {
            let listener = listen().await;
            let gateway = Gateway::before(&listener);
            let (received, ()) = tokio::join!(gateway.request(class, "a", 3), async {
                for _ in 0..attempts {
                    let mut backend = BackendConnection::accept(&listener).await;
                    assert_eq!(backend.read_request(3).await, "a");
                    backend.send(failure).await;
                }
            });
            assert_eq!(received, "500 sorry");
        });
    }
}
