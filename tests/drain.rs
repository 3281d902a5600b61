//! The end of a gateway that was told to end, as its clients see it: nothing that it took is lost.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::{caller_request, list, ok, Backend, CallerRequest, Client, Discovery, Gateway, Setup, LIMIT};

fn one(backend: &Backend) -> Discovery {
    Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]))
}

/// A server that takes requests and never answers.
fn silent() -> Backend {
    Backend::new(|_, _| {
        thread::sleep(2 * LIMIT);
        true
    })
}

/// Seen on a day of planned restarts: a request with 4.6 s to wait was cut off 3.6 s after the signal, since the end
/// took the longest deadline for 3 s.
#[test]
fn a_drain_lasts_for_the_longest_time_that_the_settings_let_a_client_wait() {
    let backend = silent();
    let discovery = one(&backend);
    let mut gateway = Gateway::with(&discovery, Setup { deadline_ms: 4000, ..Setup::default() });
    discovery.wait_for_calls(2);
    let mut client = gateway.client();
    let started = Instant::now();
    client.send(&CallerRequest { timeout: "4.0", ..caller_request("book-slot") }.text());
    backend.next();
    gateway.signal("-TERM");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(4), "while its client waits: {elapsed:?}");
    assert!(gateway.child.wait().expect("it ends").success());
}

/// Taken after the window, it has what is left of the drain; before, its time outlived the gateway.
#[test]
fn a_body_that_is_whole_only_after_the_window_has_its_answer_before_the_end() {
    let backend = silent();
    let mut gateway = Gateway::start(&one(&backend));
    let mut client = gateway.client();
    let text = CallerRequest { timeout: "2.5", ..caller_request("book-slot") }.text();
    let (head, body) = text.split_at(text.len() - 2);
    client.send(head);
    // The listener is read in order: once a later client has its answer, the head has been seen.
    assert_eq!(gateway.client().ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    gateway.signal("-TERM");
    gateway.logged("draining");
    thread::sleep(Duration::from_millis(1200));
    client.send(body);
    backend.next();
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    assert!(gateway.child.wait().expect("it ends").success());
}

/// What clients saw of one gateway that was told to end.
#[derive(Default)]
struct Seen {
    answered: AtomicUsize,
    /// How many of these were the last on their connection.
    closed: AtomicUsize,
    /// An idle connection was closed as the request was written to it: it went once more on a new one.
    crossed: AtomicUsize,
    lost: AtomicUsize,
}

/// Asks on this connection for as long as it stays open, then on new ones, as clients do, until new ones are not
/// taken any more or the time is up.
fn keeps_asking(to: SocketAddr, until: Instant, seen: &Seen) {
    let mut kept: Option<Client> = None;
    let mut again = false;
    while Instant::now() < until {
        let new = kept.is_none();
        let Some(mut client) = kept.take().or_else(|| Client::try_connect(to)) else { return };
        let text = caller_request("quote").text();
        if client.stream.write_all(text.as_bytes()).is_err() && new {
            seen.lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        match client.try_answer() {
            Some(answer) => {
                again = false;
                seen.answered.fetch_add(1, Ordering::Relaxed);
                if answer.header("connection") == Some("close") {
                    seen.closed.fetch_add(1, Ordering::Relaxed);
                } else {
                    kept = Some(client);
                }
            }
            // Between two requests a gateway may close; its client asks once more, on a new connection.
            None if !new && !again => {
                again = true;
                seen.crossed.fetch_add(1, Ordering::Relaxed);
            }
            None => {
                seen.lost.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Many clients, on kept and on new connections, against the signal. `RESTARTS` plays more of them.
#[test]
fn no_request_is_lost_to_the_moment_of_a_restart() {
    let restarts = std::env::var("RESTARTS").ok().and_then(|n| n.parse().ok()).unwrap_or(6);
    let seen = Arc::new(Seen::default());
    for _ in 0..restarts {
        let backend = Backend::new(|m, s| {
            // From none to 20 ms, by its number.
            let number = m.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
            thread::sleep(Duration::from_millis(number % 5 * 5));
            ok(s, "x")
        });
        let mut gateway = Gateway::start(&one(&backend));
        let address = gateway.address;
        let until = Instant::now() + Duration::from_millis(200 + 400);
        let clients: Vec<_> = (0..24)
            .map(|_| {
                let seen = seen.clone();
                thread::spawn(move || keeps_asking(address, until, &seen))
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        gateway.signal("-TERM");
        clients.into_iter().for_each(|c| c.join().expect("no panic"));
        assert!(gateway.child.wait().expect("it ends").success());
    }
    let of = |n: &AtomicUsize| n.load(Ordering::Relaxed);
    let (answered, closed) = (of(&seen.answered), of(&seen.closed));
    println!("answered {answered}, closed {closed}, crossed {}, lost {}", of(&seen.crossed), of(&seen.lost));
    assert!(closed > 24 * restarts, "{closed}");
    assert_eq!(of(&seen.lost), 0);
}
