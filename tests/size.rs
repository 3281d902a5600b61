//! Bodies and answers of any size, at any pace, in any form of HTTP/1.1.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use support::{ask, list, say, Backend, Client, Discovery, Gateway, Setup};

const LONG: usize = 5 << 20;

fn one(backend: &Backend) -> Discovery {
    Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]))
}

fn figures(gateway: &Gateway) -> serde_json::Value {
    serde_json::from_slice(&gateway.call("GET /status/metrics", "").body).expect("figures")
}

fn watched(backend: &Backend) -> Gateway {
    let discovery = one(backend);
    let gateway = Gateway::with(&discovery, Setup { operator: true, ..Setup::default() });
    discovery.called(2);
    gateway
}

/// A request with this for its body's head and bytes.
fn post(framing: &str, body: &str) -> String {
    ask("book-slot").text().replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n{body}"))
}

/// All that comes until the connection ends.
fn rest(client: &mut Client) -> Vec<u8> {
    let mut all = Vec::new();
    let _ = client.stream.read_to_end(&mut all);
    all
}

fn last(text: &str) -> String {
    text.replace("Plan:", "Connection: close\r\nPlan:")
}

/// The body of a chunked message. None if it is not whole.
fn unchunked(message: &[u8]) -> Option<Vec<u8>> {
    let mut at = message.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let mut body = Vec::new();
    loop {
        let line = message[at..].windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&message[at..at + line]).ok()?, 16).ok()?;
        at += line + 2;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(message.get(at..at + size)?);
        at += size + 2;
    }
}

// ---- Bodies ----

#[test]
fn a_chunked_body_goes_on_whole_with_its_length() {
    let backend = Backend::good();
    let gateway = Gateway::start(&one(&backend));
    let mut client = gateway.client();
    for body in ["5\r\nhello\r\n0\r\n\r\n", "2;x=y\r\nhe\r\n03\r\nllo\r\n0\r\nTrailer: t\r\n\r\n"] {
        assert_eq!(client.ask(&post("Transfer-Encoding: chunked", body)).status(), 200);
        let got = backend.next();
        assert_eq!((&got.body[..], got.header("content-length")), (&b"hello"[..], Some("5")));
    }
}

#[test]
fn who_expects_it_is_told_to_go_on() {
    let backend = Backend::good();
    let gateway = Gateway::start(&one(&backend));
    let mut client = gateway.client();
    client.send(&post("Expect: 100-continue\r\nContent-Length: 5", ""));
    assert_eq!(client.answer().status(), 100);
    client.send("hello");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(backend.next().body, b"hello");
}

/// 2 s for the head, then 64 kB a second.
#[test]
fn a_slow_body_is_awaited_and_a_stalled_one_is_not() {
    let backend = Backend::good();
    let gateway = Gateway::start(&one(&backend));
    let address = gateway.address;
    let slow = move |stall: bool| {
        let mut client = Client::connect(address);
        let text = post("Content-Length: 300000", "");
        let (first, second) = text.split_at(30);
        client.send(first);
        thread::sleep(Duration::from_secs(2));
        client.send(second);
        let piece = "x".repeat(6400);
        for n in 0..47 {
            if stall && n == 20 {
                break;
            }
            client.send(&piece[..piece.len().min(300_000 - n * piece.len())]);
            thread::sleep(Duration::from_millis(100));
        }
        client.answer().status()
    };
    thread::scope(|s| {
        let (whole, stalled) = (s.spawn(move || slow(false)), s.spawn(move || slow(true)));
        assert_eq!(whole.join().expect("no panic"), 200);
        assert_eq!(stalled.join().expect("no panic"), 408);
    });
    assert_eq!(backend.next().body.len(), 300_000);
    assert!(backend.untouched());
}

// ---- Answers ----

/// In any framing that HTTP/1.1 has.
#[test]
fn a_long_answer_comes_whole_and_unchanged() {
    let text: String = (0..LONG / 8).map(|n| format!("{n:07} ")).collect();
    let chunks: String = text.as_bytes().chunks(70_001).fold(String::new(), |all, c| {
        all + &format!("{:x}\r\n{}\r\n", c.len(), std::str::from_utf8(c).expect("text"))
    });
    let framings = [
        (format!("Content-Length: {}\r\n\r\n{text}", text.len()), true),
        (format!("Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"), true),
        (format!("Connection: close\r\n\r\n{text}"), false),
    ];
    for (framing, stays) in framings {
        let backend = Backend::new(move |_, s| say(s, &format!("HTTP/1.1 200 OK\r\n{framing}")) && stays);
        let gateway = watched(&backend);
        for _ in 0..3 {
            let mut client = gateway.client();
            client.send(&last(&ask("book-slot").text()));
            let answer = rest(&mut client);
            let head = String::from_utf8_lossy(&answer[..300]).to_ascii_lowercase();
            let body = if head.contains("transfer-encoding: chunked") {
                unchunked(&answer).expect("whole")
            } else {
                answer[answer.len() - LONG..].to_vec()
            };
            assert!(body == text.as_bytes(), "{} bytes", body.len());
        }
        let now = figures(&gateway);
        assert_eq!(
            (&now["calls"]["book-slot"]["success"], &now["inflight"]),
            (&3.into(), &0.into()),
            "{now}"
        );
        let last = backend.requests.try_iter().last().expect("asked").connection;
        assert_eq!(last, if stays { 0 } else { 2 }, "a connection whose answer ended cleanly is used again");
    }
}

#[test]
fn the_first_bytes_are_passed_on_while_the_rest_is_still_to_come() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let backend = Backend::new(move |_, s| {
        say(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", 100_000, "a".repeat(1000)));
        let _ = wait.lock().expect("kept").recv();
        say(s, &"b".repeat(99_000))
    });
    let gateway = watched(&backend);
    let mut client = gateway.client();
    client.send(&last(&ask("book-slot").text()));
    let mut came = Vec::new();
    while !came.ends_with(b"aaa") {
        let mut bytes = [0; 2048];
        let n = client.stream.read(&mut bytes).expect("the first bytes");
        came.extend_from_slice(&bytes[..n]);
    }
    assert_eq!(figures(&gateway)["inflight"], 1);
    go.send(()).expect("the backend waits");
    assert!(rest(&mut client).ends_with(&[b'b'; 1000]));
}

/// RFC 9112, 8: whoever gets a part can tell that it is not the whole.
#[test]
fn an_answer_that_breaks_off_is_seen_to_and_counts_as_failed() {
    for framing in ["Content-Length: 900000", "Transfer-Encoding: chunked"] {
        let backend = Backend::new(move |_, s| {
            let coded = framing.contains("chunked");
            let size = if coded { "dbba0\r\n" } else { "" };
            say(s, &format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{size}{}", "x".repeat(200_000)));
            false
        });
        let gateway = watched(&backend);
        let mut client = gateway.client();
        client.send(&ask("quote").text());
        let answer = rest(&mut client);
        assert!(
            answer.starts_with(b"HTTP/1.1 200") && answer.len() < 900_000 && unchunked(&answer).is_none()
        );
        let started = Instant::now();
        while figures(&gateway)["calls"]["quote"]["failure"] != 1 {
            assert!(started.elapsed() < Duration::from_secs(5), "{}", figures(&gateway));
        }
        assert_eq!(backend.requests.try_iter().count(), 1, "nobody gets a mixture of two");
    }
}

/// A client that does not read holds up the backend, not the gateway's memory.
#[test]
fn who_reads_slowly_is_given_no_more_than_a_bounded_part() {
    let backend = Backend::new(|_, s| {
        say(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 << 20))
            && (0..512).all(|_| s.write_all(&[b'x'; 65_536]).is_ok())
    });
    let gateway = watched(&backend);
    let mut slow: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    for client in &mut slow {
        client.send(&ask("quote").text());
        backend.next();
    }
    let memory = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("it lives");
        let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("told").to_string();
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number")
    };
    // All have begun; meanwhile others are served.
    while figures(&gateway)["inflight"] != 20 {}
    for client in &mut slow {
        let mut byte = [0; 1];
        client.stream.read_exact(&mut byte).expect("it has begun");
    }
    let mut whole = vec![0; 32 << 20];
    slow[0].stream.read_exact(&mut whole).expect("all of it comes to who reads");
    assert!(memory() < 30_000, "{} kB where 640 MB are on their way", memory());
}

/// A coding beside a length is what requests are smuggled by; what is known to have none stays open.
#[test]
fn behind_a_body_of_uncertain_length_nothing_is_read() {
    let backend = Backend::good();
    let gateway = Gateway::start(&one(&backend));
    let chunked = post("Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
    // Its head came behind another request, so that what stood in it is not known.
    let mut client = gateway.client();
    client.send(&(ask("quote").text() + &chunked + &ask("quote").text()));
    let answers = String::from_utf8_lossy(&rest(&mut client)).to_ascii_lowercase();
    assert_eq!(answers.matches("http/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1);
    assert_eq!(backend.requests.try_iter().count(), 2);
    let mut stream = TcpStream::connect(gateway.address).expect("accepted");
    stream.write_all(chunked.replace("chunked", "gzip, chunked").as_bytes()).expect("read");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("text");
    assert!(answer.starts_with("HTTP/1.1 411"), "{answer}");
    assert!(backend.untouched());
}
