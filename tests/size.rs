//! End-to-end tests of request and response bodies: any size, any pace, every framing of HTTP/1.1.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use support::{caller_request, list, write_text, Backend, Client, Discovery, Gateway, Setup};

const ANSWER_BYTES: usize = 5 << 20;

/// Returns a discovery service that lists this backend alone.
fn discovery_listing(backend: &Backend) -> Discovery {
    Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]))
}

/// Returns the gateway's metrics from its operators' listener.
fn metrics(gateway: &Gateway) -> serde_json::Value {
    serde_json::from_slice(&gateway.call("GET /status/metrics", "").body).expect("metrics")
}

/// Starts a gateway that lists this backend alone and has an operators' listener.
fn start_with_operator_listener(backend: &Backend) -> Gateway {
    let discovery = discovery_listing(backend);
    let gateway = Gateway::start_with(&discovery, Setup { operator_listener: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    gateway
}

/// Returns the peak resident memory of the process in kB.
fn peak_memory_kb(gateway: &Gateway) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("it runs");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("the line").to_string();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number")
}

/// Returns a request with these framing headers and body bytes.
fn post(framing: &str, body: &str) -> String {
    caller_request("book-slot")
        .text()
        .replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n{body}"))
}

/// Reads until the connection ends.
fn read_remaining(client: &mut Client) -> Vec<u8> {
    let mut received = Vec::new();
    let _ = client.stream.read_to_end(&mut received);
    received
}

/// Returns the request with `Connection: close`.
fn with_connection_close(text: &str) -> String {
    text.replace("Plan:", "Connection: close\r\nPlan:")
}

/// Decodes the body of a chunked message. Returns `None` if it is incomplete.
fn decode_chunked(message: &[u8]) -> Option<Vec<u8>> {
    let mut offset = message.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let mut body = Vec::new();
    loop {
        let line_length = message[offset..].windows(2).position(|w| w == b"\r\n")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(&message[offset..offset + line_length]).ok()?, 16)
                .ok()?;
        offset += line_length + 2;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(message.get(offset..offset + size)?);
        offset += size + 2;
    }
}

// ---- Request bodies ----

#[test]
fn a_chunked_body_goes_on_whole_with_its_length() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_listing(&backend));
    let mut client = gateway.client();
    for body in ["5\r\nhello\r\n0\r\n\r\n", "2;x=y\r\nhe\r\n03\r\nllo\r\n0\r\nTrailer: t\r\n\r\n"] {
        assert_eq!(client.ask(&post("Transfer-Encoding: chunked", body)).status(), 200);
        let forwarded = backend.next();
        assert_eq!((&forwarded.body[..], forwarded.header("content-length")), (&b"hello"[..], Some("5")));
    }
}

#[test]
fn expect_continue_is_answered_100() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_listing(&backend));
    let mut client = gateway.client();
    client.send(&post("Expect: 100-continue\r\nContent-Length: 5", ""));
    assert_eq!(client.answer().status(), 100);
    client.send("hello");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(backend.next().body, b"hello");
}

/// The client takes 2 s for the head and sends the body at 64 kB a second.
#[test]
fn a_slow_body_is_awaited_and_a_stalled_one_is_not() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_listing(&backend));
    let address = gateway.address;
    let send_slowly = move |stall: bool| {
        let mut client = Client::connect(address);
        let text = post("Content-Length: 300000", "");
        let (first_part, second_part) = text.split_at(30);
        client.send(first_part);
        thread::sleep(Duration::from_secs(2));
        client.send(second_part);
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
        let (whole, stalled) = (s.spawn(move || send_slowly(false)), s.spawn(move || send_slowly(true)));
        assert_eq!(whole.join().expect("no panic"), 200);
        assert_eq!(stalled.join().expect("no panic"), 408);
    });
    assert_eq!(backend.next().body.len(), 300_000);
    assert!(backend.received_nothing());
}

/// Starts a backend that calls `script` with the bytes read so far until it returns false, and sends all bytes of a
/// connection when it ends.
fn start_reading_backend(
    script: impl Fn(&mut TcpStream, &[u8]) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, requests) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut received = Vec::new();
            let mut bytes = vec![0; 65_536];
            while let Ok(n) = stream.read(&mut bytes) {
                received.extend_from_slice(&bytes[..n]);
                if n == 0 || !script(&mut stream, &received) {
                    break;
                }
            }
            let _ = sender.send(received);
        }
    });
    (address, requests)
}

/// Three bodies of 30 MiB at once, in both framings, through a gateway with 16 MB of memory.
#[test]
fn a_body_far_larger_than_memory_is_streamed() {
    const BODY_BYTES: usize = 30 << 20;
    let (address, bodies) = start_reading_backend(|s, received| {
        let is_complete = received.ends_with(b"the end") || received.ends_with(b"0\r\n\r\n");
        if is_complete {
            write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        }
        !is_complete
    });
    let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
    let gateway =
        Gateway::start_with(&discovery, Setup { operator_listener: true, memory_mb: 16, ..Setup::default() });
    discovery.wait_for_calls(2);
    let gateway_address = gateway.address;
    let client_threads: Vec<_> = (0..3)
        .map(|n| {
            thread::spawn(move || {
                let mut client = Client::connect(gateway_address);
                let is_chunked = n == 1;
                let framing = if is_chunked {
                    "Transfer-Encoding: chunked".to_string()
                } else {
                    format!("Content-Length: {}", BODY_BYTES + 7)
                };
                client.send(&post(&framing, ""));
                let piece = "x".repeat(1 << 20);
                for _ in 0..30 {
                    if is_chunked {
                        client.send(&format!("{:x}\r\n{piece}\r\n", piece.len()));
                    } else {
                        client.send(&piece);
                    }
                }
                client.send(if is_chunked { "7\r\nthe end\r\n0\r\n\r\n" } else { "the end" });
                client.answer()
            })
        })
        .collect();
    for client_thread in client_threads {
        let answer = client_thread.join().expect("no panic");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]));
    }
    for _ in 0..3 {
        let received = bodies.recv_timeout(support::LIMIT).expect("a body");
        assert_eq!(received.iter().filter(|b| **b == b'x').count() >> 20, 30);
    }
    let after = metrics(&gateway);
    assert_eq!(
        (&after["calls"]["book-slot"]["success"], &after["inflight"]),
        (&3.into(), &0.into()),
        "{after}"
    );
    assert!(peak_memory_kb(&gateway) < 16 << 10, "{} kB", peak_memory_kb(&gateway));
}

/// A body that is partly sent can't be replayed: the client gets one truthful answer while it is still writing.
#[test]
fn a_partly_sent_body_is_not_retried() {
    for (answer_text, status) in
        [("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 503), ("", 503)]
    {
        let (address, bodies) = start_reading_backend(move |s, received| {
            if received.len() > 3 << 20 {
                write_text(s, answer_text);
            }
            received.len() <= 3 << 20
        });
        let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
        let gateway = Gateway::start_with(&discovery, Setup { operator_listener: true, ..Setup::default() });
        discovery.wait_for_calls(2);
        let mut client = gateway.client();
        client.send(&post(&format!("Content-Length: {}", 30 << 20), ""));
        let mut stream = client.stream.try_clone().expect("a second handle");
        let writer_thread =
            thread::spawn(move || (0..30).all(|_| stream.write_all(&vec![b'x'; 1 << 20]).is_ok()));
        assert_eq!(client.answer().status(), status, "{answer_text:?}");
        drop(client);
        let _ = writer_thread.join();
        assert!(bodies.recv_timeout(support::LIMIT).is_ok());
        assert!(bodies.try_recv().is_err(), "the body was sent once");
        let after = metrics(&gateway);
        assert_eq!(
            (&after["calls"]["book-slot"]["busy"], &after["backend_calls"]),
            (&1.into(), &0.into()),
            "{after}"
        );
    }
}

/// Guards against cutting off the answer of a backend that answers before it has read a long body, also if the client stops
/// sending then.
#[test]
fn an_answer_that_begins_before_a_long_body_was_read_comes_whole() {
    const EARLY_ANSWER_BYTES: usize = 300_000;
    const BODY_MIB: usize = 16;
    for sent_mib in [BODY_MIB, BODY_MIB / 2] {
        let has_answered = AtomicBool::new(false);
        let (address, _bodies) = start_reading_backend(move |stream, received| {
            if received.len() > 256 << 10 && !has_answered.swap(true, Ordering::Relaxed) {
                let mut stream = stream.try_clone().expect("a second handle");
                thread::spawn(move || {
                    write_text(
                        &mut stream,
                        &format!("HTTP/1.1 200 OK\r\nContent-Length: {EARLY_ANSWER_BYTES}\r\n\r\n"),
                    );
                    for _ in 0..30 {
                        write_text(&mut stream, &"y".repeat(EARLY_ANSWER_BYTES / 30));
                        thread::sleep(Duration::from_millis(20));
                    }
                });
            }
            true
        });
        let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
        let gateway = Gateway::start_with(&discovery, Setup::default());
        discovery.wait_for_calls(2);
        let mut client = gateway.client();
        client.send(&post(&format!("Content-Length: {}", BODY_MIB << 20), ""));
        let mut stream = client.stream.try_clone().expect("a second handle");
        let writer_thread =
            thread::spawn(move || (0..sent_mib).all(|_| stream.write_all(&vec![b'x'; 1 << 20]).is_ok()));
        let answer = client.answer();
        assert_eq!((answer.status(), answer.body.len()), (200, EARLY_ANSWER_BYTES), "{sent_mib} MiB sent");
        assert!(answer.body.iter().all(|b| *b == b'y'));
        drop(client);
        let _ = writer_thread.join();
    }
}

/// A client that disconnects in the middle of a body cancels its attempt.
#[test]
fn a_client_that_disconnects_in_a_body_ends_its_attempt() {
    let (body_started, reached) = channel::<()>();
    let body_started = Mutex::new(body_started);
    let (address, bodies) = start_reading_backend(move |_, received| {
        let _ = received.len() < 3 << 20 || body_started.lock().expect("kept").send(()).is_ok();
        true
    });
    let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
    let gateway = Gateway::start_with(&discovery, Setup::default());
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    client.send(&post(&format!("Content-Length: {}", 30 << 20), &"x".repeat(5 << 20)));
    reached.recv_timeout(support::LIMIT).expect("the body is streamed");
    drop(client);
    assert!(bodies.recv_timeout(support::LIMIT).expect("its connection ends").len() > 1 << 20);
}

// ---- Response bodies ----

/// Covers every framing of HTTP/1.1.
#[test]
fn a_long_answer_comes_whole_and_unchanged() {
    let text: String = (0..ANSWER_BYTES / 8).map(|n| format!("{n:07} ")).collect();
    let chunks: String = text.as_bytes().chunks(70_001).fold(String::new(), |chunks, c| {
        chunks + &format!("{:x}\r\n{}\r\n", c.len(), std::str::from_utf8(c).expect("text"))
    });
    let framings = [
        (format!("Content-Length: {}\r\n\r\n{text}", text.len()), true),
        (format!("Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"), true),
        (format!("Connection: close\r\n\r\n{text}"), false),
    ];
    for (framing, keeps_alive) in framings {
        let backend =
            Backend::new(move |_, s| write_text(s, &format!("HTTP/1.1 200 OK\r\n{framing}")) && keeps_alive);
        let gateway = start_with_operator_listener(&backend);
        for _ in 0..3 {
            let mut client = gateway.client();
            client.send(&with_connection_close(&caller_request("book-slot").text()));
            let answer = read_remaining(&mut client);
            let head = String::from_utf8_lossy(&answer[..300]).to_ascii_lowercase();
            let body = if head.contains("transfer-encoding: chunked") {
                decode_chunked(&answer).expect("whole")
            } else {
                answer[answer.len() - ANSWER_BYTES..].to_vec()
            };
            assert!(body == text.as_bytes(), "{} bytes", body.len());
        }
        let after = metrics(&gateway);
        assert_eq!(
            (&after["calls"]["book-slot"]["success"], &after["inflight"]),
            (&3.into(), &0.into()),
            "{after}"
        );
        let last_connection = backend.requests.try_iter().last().expect("a request").connection;
        assert_eq!(
            last_connection,
            if keeps_alive { 0 } else { 2 },
            "a connection whose answer ended cleanly is reused"
        );
    }
}

#[test]
fn the_first_bytes_are_passed_on_while_the_rest_is_still_to_come() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let backend = Backend::new(move |_, s| {
        write_text(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", 100_000, "a".repeat(1000)));
        let _ = released.lock().expect("kept").recv();
        write_text(s, &"b".repeat(99_000))
    });
    let gateway = start_with_operator_listener(&backend);
    let mut client = gateway.client();
    client.send(&with_connection_close(&caller_request("book-slot").text()));
    let mut received = Vec::new();
    while !received.ends_with(b"aaa") {
        let mut bytes = [0; 2048];
        let n = client.stream.read(&mut bytes).expect("the first bytes");
        received.extend_from_slice(&bytes[..n]);
    }
    assert_eq!(metrics(&gateway)["inflight"], 1);
    release.send(()).expect("the backend waits");
    assert!(read_remaining(&mut client).ends_with(&[b'b'; 1000]));
}

/// RFC 9112, section 8: a client that receives a truncated answer can tell that it is incomplete.
#[test]
fn a_truncated_answer_is_recognisable_and_counts_as_failed() {
    for framing in ["Content-Length: 900000", "Transfer-Encoding: chunked"] {
        let backend = Backend::new(move |_, s| {
            let is_chunked = framing.contains("chunked");
            let size = if is_chunked { "dbba0\r\n" } else { "" };
            write_text(s, &format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{size}{}", "x".repeat(200_000)));
            false
        });
        let gateway = start_with_operator_listener(&backend);
        let mut client = gateway.client();
        client.send(&caller_request("quote").text());
        let answer = read_remaining(&mut client);
        assert!(
            answer.starts_with(b"HTTP/1.1 200")
                && answer.len() < 900_000
                && decode_chunked(&answer).is_none()
        );
        let started = Instant::now();
        while metrics(&gateway)["calls"]["quote"]["failure"] != 1 {
            assert!(started.elapsed() < Duration::from_secs(5), "{}", metrics(&gateway));
        }
        assert_eq!(backend.requests.try_iter().count(), 1, "no client gets a mixture of two answers");
    }
}

/// A client that does not read slows down the backend instead of filling the gateway's memory.
#[test]
fn a_slow_reader_is_buffered_within_a_bound() {
    let backend = Backend::new(|_, s| {
        write_text(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 << 20))
            && (0..512).all(|_| s.write_all(&[b'x'; 65_536]).is_ok())
    });
    let gateway = start_with_operator_listener(&backend);
    let mut clients: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.send(&caller_request("quote").text());
        backend.next();
    }
    // All answers have begun. The operators' listener is still served meanwhile.
    while metrics(&gateway)["inflight"] != 20 {}
    for client in &mut clients {
        let mut byte = [0; 1];
        client.stream.read_exact(&mut byte).expect("it has begun");
    }
    let mut answer = vec![0; 32 << 20];
    clients[0].stream.read_exact(&mut answer).expect("a client that reads gets the whole answer");
    assert!(peak_memory_kb(&gateway) < 30_000, "{} kB with 640 MB in flight", peak_memory_kb(&gateway));
}

/// A transfer coding together with a length allows request smuggling, so the connection closes unless the gateway knows
/// that the head had no length.
#[test]
fn nothing_is_read_after_a_body_of_uncertain_length() {
    let backend = Backend::good();
    let gateway = Gateway::start(&discovery_listing(&backend));
    let chunked = post("Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
    // The chunked head is pipelined behind another request, so the gateway doesn't know whether it also had a length.
    let mut client = gateway.client();
    client.send(&(caller_request("quote").text() + &chunked + &caller_request("quote").text()));
    let answers = String::from_utf8_lossy(&read_remaining(&mut client)).to_ascii_lowercase();
    assert_eq!(answers.matches("http/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1);
    assert_eq!(backend.requests.try_iter().count(), 2);
    let mut stream = TcpStream::connect(gateway.address).expect("accepted");
    stream.write_all(chunked.replace("chunked", "gzip, chunked").as_bytes()).expect("read");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("text");
    assert!(answer.starts_with("HTTP/1.1 411"), "{answer}");
    assert!(backend.received_nothing());
}
