//! Bodies and answers of any size, at any pace, in any form of HTTP/1.1.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use support::{caller_request, list, write_text, Backend, Client, Discovery, Gateway, Setup};

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
    discovery.wait_for_calls(2);
    gateway
}

/// The most memory that it has had, in kB.
fn peak(gateway: &Gateway) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("it lives");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("told").to_string();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number")
}

/// A request with this for its body's head and bytes.
fn post(framing: &str, body: &str) -> String {
    caller_request("book-slot")
        .text()
        .replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n{body}"))
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
    assert!(backend.received_nothing());
}

/// A backend that tells how much of a body it has read, and how a request ended.
fn reading(
    script: impl Fn(&mut TcpStream, &[u8]) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (send, got) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut all = Vec::new();
            let mut bytes = vec![0; 65_536];
            while let Ok(n) = stream.read(&mut bytes) {
                all.extend_from_slice(&bytes[..n]);
                if n == 0 || !script(&mut stream, &all) {
                    break;
                }
            }
            let _ = send.send(all);
        }
    });
    (address, got)
}

/// 32 MB where 16 MB is all the memory there is, in both framings, several at once.
#[test]
fn a_body_far_over_the_memory_goes_on_as_it_comes() {
    const BIG: usize = 30 << 20;
    let (address, got) = reading(|s, all| {
        let whole = all.ends_with(b"the end") || all.ends_with(b"0\r\n\r\n");
        if whole {
            write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        }
        !whole
    });
    let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup { operator: true, memory_mb: 16, ..Setup::default() });
    discovery.wait_for_calls(2);
    let to = gateway.address;
    let asks: Vec<_> = (0..3)
        .map(|n| {
            thread::spawn(move || {
                let mut client = Client::connect(to);
                let coded = n == 1;
                let framing = if coded {
                    "Transfer-Encoding: chunked".to_string()
                } else {
                    format!("Content-Length: {}", BIG + 7)
                };
                client.send(&post(&framing, ""));
                let piece = "x".repeat(1 << 20);
                for _ in 0..30 {
                    if coded {
                        client.send(&format!("{:x}\r\n{piece}\r\n", piece.len()));
                    } else {
                        client.send(&piece);
                    }
                }
                client.send(if coded { "7\r\nthe end\r\n0\r\n\r\n" } else { "the end" });
                client.answer()
            })
        })
        .collect();
    for ask in asks {
        let answer = ask.join().expect("no panic");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"good"[..]));
    }
    for _ in 0..3 {
        let all = got.recv_timeout(support::LIMIT).expect("a body");
        assert_eq!(all.iter().filter(|b| **b == b'x').count() >> 20, 30);
    }
    let now = figures(&gateway);
    assert_eq!((&now["calls"]["book-slot"]["success"], &now["inflight"]), (&3.into(), &0.into()), "{now}");
    assert!(peak(&gateway) < 16 << 10, "{} kB", peak(&gateway));
}

/// What has begun to be written and can't be sent again has one truthful answer, while its client still writes.
#[test]
fn a_spent_body_is_not_sent_again() {
    for (words, status) in
        [("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 503), ("", 503)]
    {
        let (address, got) = reading(move |s, all| {
            if all.len() > 3 << 20 {
                write_text(s, words);
            }
            all.len() <= 3 << 20
        });
        let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
        let gateway = Gateway::with(&discovery, Setup { operator: true, ..Setup::default() });
        discovery.wait_for_calls(2);
        let mut client = gateway.client();
        client.send(&post(&format!("Content-Length: {}", 30 << 20), ""));
        let mut stream = client.stream.try_clone().expect("a second handle");
        let writes = thread::spawn(move || (0..30).all(|_| stream.write_all(&vec![b'x'; 1 << 20]).is_ok()));
        assert_eq!(client.answer().status(), status, "{words:?}");
        drop(client);
        let _ = writes.join();
        assert!(got.recv_timeout(support::LIMIT).is_ok());
        assert!(got.try_recv().is_err(), "once");
        let now = figures(&gateway);
        assert_eq!(
            (&now["calls"]["book-slot"]["busy"], &now["backend_calls"]),
            (&1.into(), &0.into()),
            "{now}"
        );
    }
}

/// A client that stops in the middle takes its attempt along.
#[test]
fn who_leaves_in_the_middle_of_a_body_ends_its_attempt() {
    let (on_its_way, reached) = channel::<()>();
    let on_its_way = Mutex::new(on_its_way);
    let (address, got) = reading(move |_, all| {
        let _ = all.len() < 3 << 20 || on_its_way.lock().expect("kept").send(()).is_ok();
        true
    });
    let discovery = Discovery::new(list(1, true, &[("s-1", address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup::default());
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    client.send(&post(&format!("Content-Length: {}", 30 << 20), &"x".repeat(5 << 20)));
    reached.recv_timeout(support::LIMIT).expect("it goes on as it comes");
    drop(client);
    assert!(got.recv_timeout(support::LIMIT).expect("its connection ends").len() > 1 << 20);
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
        let backend =
            Backend::new(move |_, s| write_text(s, &format!("HTTP/1.1 200 OK\r\n{framing}")) && stays);
        let gateway = watched(&backend);
        for _ in 0..3 {
            let mut client = gateway.client();
            client.send(&last(&caller_request("book-slot").text()));
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
        write_text(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", 100_000, "a".repeat(1000)));
        let _ = wait.lock().expect("kept").recv();
        write_text(s, &"b".repeat(99_000))
    });
    let gateway = watched(&backend);
    let mut client = gateway.client();
    client.send(&last(&caller_request("book-slot").text()));
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
            write_text(s, &format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{size}{}", "x".repeat(200_000)));
            false
        });
        let gateway = watched(&backend);
        let mut client = gateway.client();
        client.send(&caller_request("quote").text());
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
        write_text(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 << 20))
            && (0..512).all(|_| s.write_all(&[b'x'; 65_536]).is_ok())
    });
    let gateway = watched(&backend);
    let mut slow: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    for client in &mut slow {
        client.send(&caller_request("quote").text());
        backend.next();
    }
    // All have begun; meanwhile others are served.
    while figures(&gateway)["inflight"] != 20 {}
    for client in &mut slow {
        let mut byte = [0; 1];
        client.stream.read_exact(&mut byte).expect("it has begun");
    }
    let mut whole = vec![0; 32 << 20];
    slow[0].stream.read_exact(&mut whole).expect("all of it comes to who reads");
    assert!(peak(&gateway) < 30_000, "{} kB where 640 MB are on their way", peak(&gateway));
}

/// A coding beside a length is what requests are smuggled by; what is known to have none stays open.
#[test]
fn behind_a_body_of_uncertain_length_nothing_is_read() {
    let backend = Backend::good();
    let gateway = Gateway::start(&one(&backend));
    let chunked = post("Transfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
    // Its head came behind another request, so that what stood in it is not known.
    let mut client = gateway.client();
    client.send(&(caller_request("quote").text() + &chunked + &caller_request("quote").text()));
    let answers = String::from_utf8_lossy(&rest(&mut client)).to_ascii_lowercase();
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
