//! Scripted peers of a gateway on loopback: discovery, backends and clients. Everything listens on port 0. Every wait
//! is for an event, with a limit that only a failure reaches: it panics then, which fails the test.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Limit of every wait.
pub const LIMIT: Duration = Duration::from_secs(20);
/// Next number for requests and files of this process.
pub static NUMBER: AtomicU64 = AtomicU64::new(1);

/// An HTTP message as received: a request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the backend's connection on which it arrived, from 0.
    pub connection: usize,
}

impl Message {
    /// Returns a header's value, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the status of a response, or panics.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// Reads one message. Returns `None` at the end of the connection, whether clean or not.
pub fn read(from: &mut impl BufRead, connection: usize) -> Option<Message> {
    let mut start = String::new();
    if from.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_ascii_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").map_or(Some(0), |l| l.parse().ok())?;
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Message { start: start.trim_end().to_string(), headers, body, connection })
}

/// A scripted backend.
pub struct Backend {
    pub address: SocketAddr,
    pub requests: Receiver<Message>,
    /// Numbers of the connections that the gateway closed.
    pub ended: Receiver<usize>,
}

impl Backend {
    /// Starts a backend. `script` responds to a request on its connection, and returns false to close the connection.
    pub fn new(script: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let ((request_sender, requests), (end_sender, ended)) = (channel(), channel());
        let script = Arc::new(script);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                let (request_sender, end_sender, script): (Sender<Message>, Sender<usize>, _) =
                    (request_sender.clone(), end_sender.clone(), script.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = read(&mut reader, number) {
                        let _ = request_sender.send(message.clone());
                        if !script(&message, &mut stream) {
                            return;
                        }
                    }
                    let _ = end_sender.send(number);
                });
            }
        });
        Backend { address, requests, ended }
    }

    /// Starts a backend that responds 200 to every request, with a body that contains the request's id.
    pub fn good() -> Self {
        Backend::new(|m, s| ok(s, &format!("for {}", m.header("request-id").unwrap_or("nobody"))))
    }

    /// Waits for the next request.
    pub fn next(&self) -> Message {
        self.requests.recv_timeout(LIMIT).expect("a request reaches the backend")
    }

    /// Whether no request is queued. Takes one from the queue if there is.
    pub fn received_nothing(&self) -> bool {
        self.requests.try_recv().is_err()
    }
}

/// Responds 200 with this body. Returns whether it could be written.
pub fn ok(to: &mut TcpStream, body: &str) -> bool {
    write_text(to, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Writes raw text. Returns whether it could be written.
pub fn write_text(to: &mut TcpStream, text: &str) -> bool {
    to.write_all(text.as_bytes()).is_ok()
}

#[derive(Default)]
struct PublishedLists {
    /// Revisions and bodies, in order. A call for the whole list gets the latest body that holds the whole list.
    lists: Vec<(u64, String)>,
    calls: usize,
}

/// Discovery that serves the lists which the test publishes.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<PublishedLists>, Condvar)>,
}

impl Discovery {
    /// Starts discovery with `first` as revision 1.
    pub fn new(first: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let published = Arc::new((Mutex::new(PublishedLists::default()), Condvar::new()));
        let discovery = Discovery { address, published: published.clone() };
        discovery.publish(1, first);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), published) = (stream, published.clone()) else { return };
                thread::spawn(move || Discovery::serve(stream, &published));
            }
        });
        discovery
    }

    /// Starts discovery that accepts calls and answers none.
    pub fn never_answers() -> Self {
        let discovery = Discovery::new(String::new());
        discovery.withdraw_latest();
        discovery
    }

    fn serve(mut stream: TcpStream, published: &(Mutex<PublishedLists>, Condvar)) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(call) = read(&mut reader, 0) {
            let since = call.start.split("since=").nth(1).and_then(|s| s.split('&').next()?.parse().ok());
            let mut state = published.0.lock().expect("not poisoned");
            state.calls += 1;
            published.1.notify_all();
            let body = loop {
                let newer = match since {
                    None => state.lists.iter().rev().find(|l| l.1.contains(r#""all":true"#)),
                    Some(since) => state.lists.iter().find(|l| l.0 > since),
                };
                if let Some((_, body)) = newer {
                    break body.clone();
                }
                state = published.1.wait(state).expect("not poisoned");
            };
            drop(state);
            ok(&mut stream, &body);
        }
    }

    /// Publishes the body of a revision.
    pub fn publish(&self, rev: u64, body: String) {
        self.published.0.lock().expect("not poisoned").lists.push((rev, body));
        self.published.1.notify_all();
    }

    /// Removes the body that was published last.
    pub fn withdraw_latest(&self) {
        self.published.0.lock().expect("not poisoned").lists.pop();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.published.0.lock().expect("not poisoned").calls
    }

    /// Waits until the gateway has called `times` times: it has then applied the answers to the earlier calls.
    pub fn wait_for_calls(&self, times: usize) {
        let state = self.published.0.lock().expect("not poisoned");
        let (_guard, wait) = self
            .published
            .1
            .wait_timeout_while(state, LIMIT, |state| state.calls < times)
            .expect("not poisoned");
        assert!(!wait.timed_out(), "discovery is called {times} times");
    }
}

/// Returns the body of a revision: the whole list or a change, with the id, address and state of each target.
pub fn list(rev: u64, all: bool, targets: &[(&str, SocketAddr, &str)]) -> String {
    let targets: Vec<String> = targets
        .iter()
        .map(|(uid, address, state)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// A client with one connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects, or panics.
    pub fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("the gateway accepts");
        stream.set_read_timeout(Some(LIMIT)).expect("a limit");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Client { stream, reader }
    }

    /// Connects, where the gateway may be gone.
    pub fn try_connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(LIMIT)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Client { stream, reader })
    }

    /// Sends a request and returns the response, if a whole one arrives.
    pub fn try_ask(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        self.try_answer()
    }

    /// Sends text, or panics.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the gateway reads");
    }

    /// Waits for a whole response, or panics.
    pub fn answer(&mut self) -> Message {
        self.try_answer().expect("a whole answer")
    }

    /// Returns the next response, if a whole one arrives.
    pub fn try_answer(&mut self) -> Option<Message> {
        read(&mut self.reader, 0)
    }

    /// Sends a request and waits for a whole response, or panics.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer()
    }

    /// Whether the gateway closes the connection without sending another byte.
    pub fn closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }
}

/// A request of a caller.
pub struct CallerRequest {
    pub class: &'static str,
    pub id: String,
    pub plan: &'static str,
    pub timeout: &'static str,
}

/// Returns a request of this class with a new id.
pub fn caller_request(class: &'static str) -> CallerRequest {
    let id = format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed));
    CallerRequest { class, id, plan: "basic", timeout: "2.0" }
}

impl CallerRequest {
    /// Returns the request as HTTP/1.1 text.
    pub fn text(&self) -> String {
        let CallerRequest { class, id, plan, timeout } = self;
        let (method, remainder) = match *class {
            "quote" => ("GET", "\r\n".to_string()),
            "confirm" => ("POST", "Idempotency-Key: k-1\r\nContent-Length: 5\r\n\r\nhello".to_string()),
            _ => ("POST", "Content-Length: 5\r\n\r\nhello".to_string()),
        };
        format!(
            "{method} /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Plan: {plan}\r\nAccount: 00000000b4d65521\r\nRequest-Timeout: {timeout}\r\n\
             Quota-Info: units=1,spread=1,first=0\r\n{remainder}"
        )
    }
}
