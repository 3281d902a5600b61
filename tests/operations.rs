//! End-to-end tests of daily operations: the operators' listener, manual maintenance, and upgrades in service.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::{
    caller_request, list, ok, write_text, Backend, Client, Discovery, Gateway, Message, Setup, LIMIT, NUMBER,
};

/// Starts a gateway that has an operators' listener, and waits for its first endpoint list.
fn start_with_operator_listener(discovery: &Discovery) -> Gateway {
    let gateway = Gateway::start_with(discovery, Setup { operator_listener: true, ..Setup::default() });
    discovery.wait_for_calls(2);
    gateway
}

/// Returns a whole endpoint list with two ready backends.
fn two_ready_backends(rev: u64, a: SocketAddr, b: SocketAddr) -> String {
    list(rev, true, &[("s-1", a, "Ready"), ("s-2", b, "Ready")])
}

/// Returns the gateway's metrics from its operators' listener.
fn metrics(gateway: &Gateway) -> serde_json::Value {
    let answer = gateway.call("GET /status/metrics", "");
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.body).expect("metrics")
}

/// Sends `count` requests one after another, each of which must be answered 200.
fn expect_served(gateway: &Gateway, count: usize) {
    expect_served_at(gateway.address, count);
}

fn expect_served_at(address: SocketAddr, count: usize) {
    let mut client = Client::connect(address);
    (0..count).for_each(|_| assert_eq!(client.ask(&caller_request("quote").text()).status(), 200));
}

/// Sends requests from four clients at once, so that one backend is not enough.
fn expect_served_concurrently(address: SocketAddr) {
    thread::scope(|s| (0..4).for_each(|_| drop(s.spawn(move || expect_served_at(address, 5)))));
}

/// Whether the backend has received no request since the last call.
fn received_no_request(backend: &Backend) -> bool {
    backend.requests.try_iter().count() == 0
}

// ---- Metrics ----

#[test]
fn the_metrics_match_what_clients_and_backends_saw() {
    let backend = Backend::new(|m, s| match m.header("request-timeout").is_some() {
        _ if m.start.starts_with("GET") => ok(s, "x"),
        _ if m.header("idempotency-key").is_some() => {
            write_text(s, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        }
        // The request may have run and must not run twice.
        _ => false,
    });
    let gateway =
        start_with_operator_listener(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    assert_eq!(gateway.call("GET /status", "").status(), 200);
    let before = metrics(&gateway);
    assert_eq!(before["calls"]["quote"]["success"], 0, "{before}");
    expect_served(&gateway, 5);
    let mut client = gateway.client();
    assert_eq!(client.ask(&caller_request("confirm").text()).status(), 400);
    assert_eq!(client.ask(&caller_request("book-slot").text()).status(), 502);
    let (mut refused, mut served) = (0, 5);
    for _ in 0..20 {
        let mut request = caller_request("quote");
        request.plan = "tight";
        match client.ask(&request.text()).status() {
            429 | 503 => refused += 1,
            _ => served += 1,
        }
    }
    let after = metrics(&gateway);
    let count = |class: &str, outcome: &str| after["calls"][class][outcome].as_u64().expect("a number");
    assert_eq!((count("quote", "success"), count("quote", "busy")), (served, refused), "{after}");
    assert_eq!((count("confirm", "failure"), count("book-slot", "failure")), (1, 1));
    let backend_requests = backend.requests.try_iter().count() as u64;
    assert_eq!(after["backend_calls"].as_u64(), Some(backend_requests));
    assert_eq!((after["inflight"].as_u64(), after["hosts_listed"].as_u64()), (Some(0), Some(1)));
}

#[test]
fn unanswered_requests_are_in_flight() {
    let backend = Backend::new(|_, _| true);
    let gateway =
        start_with_operator_listener(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let mut waiting: Vec<Client> = (0..7).map(|_| gateway.client()).collect();
    for client in &mut waiting {
        client.send(&caller_request("quote").text());
        backend.next();
    }
    assert_eq!(metrics(&gateway)["inflight"], 7);
}

#[test]
fn silent_connections_do_not_block_operators_calls() {
    let backend = Backend::good();
    let gateway =
        start_with_operator_listener(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let mut silent_connections = Vec::new();
    for _ in 0..50 {
        let stream = TcpStream::connect(gateway.operator_address).expect("accepted");
        silent_connections.push(stream);
        let called_at = Instant::now();
        assert_eq!(gateway.call("GET /status", "").status(), 200);
        assert!(called_at.elapsed() < Duration::from_secs(1));
    }
}

#[test]
fn an_invalid_call_is_answered_with_a_reason() {
    let backend = Backend::good();
    let gateway =
        start_with_operator_listener(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let oversized_body = format!(r#"{{"target":"{}"}}"#, "s".repeat(5000));
    for (call, body, status) in [
        ("GET /", "", 404),
        ("POST /status", "", 405),
        ("GET /maintenance/enter", "", 405),
        ("POST /maintenance/enter", "", 400),
        ("POST /maintenance/enter", "s-1", 400),
        ("POST /maintenance/enter", r#"{"target":7}"#, 400),
        ("POST /maintenance/enter", r#"{"target":"s-9"}"#, 404),
        ("POST /maintenance/exit", r#"{"target":"s-9"}"#, 404),
        ("POST /maintenance/enter", &oversized_body, 413),
    ] {
        let answer = gateway.call(call, body);
        assert_eq!(answer.status(), status, "{call} {body:.20}");
        let reply: serde_json::Value = serde_json::from_slice(&answer.body).expect("a reason");
        assert!(!reply["error"].as_str().expect("a reason").is_empty());
    }
    assert_eq!(metrics(&gateway)["hosts_down"], 0);
    // Without an operators' address nothing listens for operators' calls.
    let without_listener =
        Gateway::start(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    assert_eq!(without_listener.call("GET /status", "").status(), 404);
}

// ---- Maintenance ----

/// Calls `enter` or `exit` of the maintenance API for a backend and returns the status.
fn set_maintenance(call: &str, gateway: &Gateway, uid: &str) -> u16 {
    gateway.call(&format!("POST /maintenance/{call}"), &format!(r#"{{"target":"{uid}"}}"#)).status()
}

#[test]
fn a_backend_in_maintenance_gets_no_request_whatever_discovery_says() {
    let (a, b) = (Backend::good(), Backend::good());
    let discovery = Discovery::new(two_ready_backends(1, a.address, b.address));
    let gateway = start_with_operator_listener(&discovery);
    while received_no_request(&a) {
        expect_served_concurrently(gateway.address);
    }
    assert_eq!(
        [set_maintenance("enter", &gateway, "s-1"), set_maintenance("enter", &gateway, "s-1")],
        [200, 200]
    );
    assert_eq!(metrics(&gateway)["hosts_down"], 1);
    expect_served(&gateway, 30);
    assert!(received_no_request(&a));
    // The backend is missing from the list, comes back by a change, and is listed again with another boot time.
    let restarted =
        two_ready_backends(4, a.address, b.address).replacen(r#""boot_ms":0"#, r#""boot_ms":99"#, 1);
    let changed = list(3, false, &[("s-1", a.address, "Ready")]);
    for (n, update) in
        [list(2, true, &[("s-2", b.address, "Ready")]), changed, restarted].into_iter().enumerate()
    {
        let calls = discovery.calls();
        discovery.publish(2 + n as u64, update);
        discovery.wait_for_calls(calls + 1);
        expect_served(&gateway, 30);
        assert!(received_no_request(&a), "after update {n}");
    }
    assert_eq!(set_maintenance("exit", &gateway, "s-1"), 200);
    let ended_at = Instant::now();
    while received_no_request(&a) {
        expect_served_concurrently(gateway.address);
        assert!(ended_at.elapsed() < Duration::from_secs(5), "the backend is not used again");
    }
    assert_eq!(metrics(&gateway)["hosts_down"], 0);
}

/// The ban also applies to a queued request and to the retry of a failed attempt.
#[test]
fn a_retry_does_not_go_to_a_backend_put_in_maintenance_meanwhile() {
    let (started_sender, started) = std::sync::mpsc::channel::<()>();
    let (release, released) = std::sync::mpsc::channel::<()>();
    let (started_sender, released) = (std::sync::Mutex::new(started_sender), std::sync::Mutex::new(released));
    let first = AtomicBool::new(true);
    let backend = Backend::new(move |_, s| {
        if first.swap(false, Ordering::SeqCst) {
            started_sender.lock().expect("kept").send(()).expect("awaited");
            let _ = released.lock().expect("kept").recv();
            return write_text(s, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ok(s, "again")
    });
    let gateway =
        start_with_operator_listener(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let mut client = gateway.client();
    client.send(&caller_request("book-slot").text());
    started.recv_timeout(LIMIT).expect("it reaches the backend");
    assert_eq!(set_maintenance("enter", &gateway, "s-1"), 200);
    release.send(()).expect("the backend waits");
    assert!(matches!(client.answer().status(), 429 | 503));
    assert_eq!(backend.requests.try_iter().count(), 1);
}

// ---- Upgrades ----

/// A listening socket that all processes of one gateway inherit, with the folder that they share.
struct SharedListener {
    socket: TcpListener,
    state_folder: PathBuf,
}

impl SharedListener {
    fn new() -> Self {
        let state_folder = std::env::temp_dir().join(format!(
            "granitethread-held-{}-{}",
            std::process::id(),
            NUMBER.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir(&state_folder).expect("a folder");
        SharedListener { socket: TcpListener::bind("127.0.0.1:0").expect("a port"), state_folder }
    }

    /// Starts a process on the socket and waits until it is ready.
    fn start(&self, discovery: &Discovery) -> Gateway {
        let inherited = Some((self.socket.try_clone().expect("a second handle"), self.state_folder.clone()));
        let gateway =
            Gateway::start_with(discovery, Setup { operator_listener: true, inherited, ..Setup::default() });
        let started = Instant::now();
        while gateway.call("GET /status", "").status() != 200 {
            assert!(started.elapsed() < Duration::from_secs(6), "the process must be ready within 6 s");
        }
        gateway
    }
}

impl Drop for SharedListener {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.state_folder);
    }
}

/// Starts clients that send requests until `stop` is set. Each returns its number of served and of lost requests.
fn start_load(address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<(usize, usize)>> {
    let run_client = move |stop: Arc<AtomicBool>| {
        let (mut client, mut is_new, mut served, mut lost) = (Client::try_connect(address), true, 0, 0);
        while !stop.load(Ordering::Relaxed) {
            let answer = client.as_mut().and_then(|c| c.try_ask(&caller_request("quote").text()));
            let close = |m: &Message| m.header("connection") == Some("close");
            match &answer {
                // A refusal over the quota counts as an answer.
                Some(m) if matches!(m.status(), 200 | 429) => served += 1,
                // A close may cross a request on a reused connection; the client then retries.
                None if !is_new => {}
                _ => lost += 1,
            }
            is_new = answer.as_ref().is_none_or(close);
            if is_new {
                client = Client::try_connect(address);
            }
        }
        (served, lost)
    };
    (0..8)
        .map(|_| (run_client, stop.clone()))
        .map(|(run_client, stop)| thread::spawn(move || run_client(stop)))
        .collect()
}

#[test]
fn an_upgrade_loses_no_request() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let listener = SharedListener::new();
    let mut old = listener.start(&discovery);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_load(listener.socket.local_addr().expect("an address"), &stop);
    for _ in 0..2 {
        let metrics_answer = old.call("GET /status/metrics", "");
        assert_eq!(metrics_answer.status(), 200);
        let new = listener.start(&discovery);
        old.signal("-TERM");
        assert!(old.child.wait().expect("it ends").success());
        old = new;
        old.wait_for_log("of learned state");
        // The new process is the only one again.
        old.wait_for_log("the process before this one has ended");
    }
    stop.store(true, Ordering::Relaxed);
    let (mut served, mut lost) = (0, 0);
    for client in clients {
        let (client_served, client_lost) = client.join().expect("no panic");
        (served, lost) = (served + client_served, lost + client_lost);
    }
    assert!(served > 100, "{served} served");
    assert_eq!(lost, 0, "of {served}");
}

/// A connection with no request yet, or with part of a head, is still served during shutdown.
#[test]
fn open_connections_without_a_request_are_served_by_the_old_process() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let listener = SharedListener::new();
    let mut old = listener.start(&discovery);
    let (mut silent, mut half, mut idle) = (old.client(), old.client(), old.client());
    let text = caller_request("quote").text();
    half.send(&text[..40]);
    assert_eq!(idle.ask(&caller_request("quote").text()).status(), 200);
    // By now all three connections have been accepted.
    assert_eq!(silent.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    let mut silent = old.client();
    assert_eq!(idle.ask(&caller_request("quote").text()).status(), 200);
    old.signal("-TERM");
    assert!(idle.closed(), "a connection idle between requests is closed");
    half.send(&text[40..]);
    let answer = half.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    silent.send(&caller_request("quote").text());
    assert_eq!(silent.answer().status(), 200);
    assert!(old.child.wait().expect("it ends").success());
}

#[test]
fn bans_hold_over_an_upgrade_and_bind_both_processes() {
    let (a, b) = (Backend::good(), Backend::good());
    let discovery = Discovery::new(two_ready_backends(1, a.address, b.address));
    let listener = SharedListener::new();
    let old = listener.start(&discovery);
    assert_eq!(set_maintenance("enter", &old, "s-1"), 200);
    let new = listener.start(&discovery);
    assert_eq!(metrics(&new)["hosts_down"], 1);
    // A ban set at one process applies to the other within a second.
    assert_eq!([set_maintenance("enter", &new, "s-2"), set_maintenance("exit", &new, "s-1")], [200, 200]);
    let changed_at = Instant::now();
    while metrics(&old)["hosts_down"] != 1 || set_maintenance("exit", &old, "s-2") != 200 {
        assert!(changed_at.elapsed() < Duration::from_secs(1));
    }
    // The latest call wins, whichever process received it.
    let changed_at = Instant::now();
    while metrics(&new)["hosts_down"] != 0 {
        assert!(changed_at.elapsed() < Duration::from_secs(1));
    }
}

/// The unready process accepts no client, the old one continues, and the next upgrade works.
#[test]
fn a_new_process_that_never_becomes_ready_has_no_effect() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let listener = SharedListener::new();
    let mut old = listener.start(&discovery);
    let silent = Discovery::never_answers();
    let inherited =
        Some((listener.socket.try_clone().expect("a second handle"), listener.state_folder.clone()));
    let new = Gateway::start_with(&silent, Setup { operator_listener: true, inherited, ..Setup::default() });
    assert_eq!(new.call("GET /status", "").status(), 503);
    for _ in 0..50 {
        assert_eq!(
            old.client().ask(&caller_request("quote").text()).status(),
            200,
            "the old process answers"
        );
    }
    drop(new);
    let next = listener.start(&discovery);
    old.signal("-TERM");
    assert!(old.child.wait().expect("it ends").success());
    next.wait_for_log("the process before this one has ended");
    expect_served(&next, 5);
}

#[test]
fn bans_survive_when_the_old_process_is_killed_during_an_upgrade() {
    let (a, b) = (Backend::good(), Backend::good());
    let discovery = Discovery::new(two_ready_backends(1, a.address, b.address));
    let listener = SharedListener::new();
    let mut old = listener.start(&discovery);
    assert_eq!(set_maintenance("enter", &old, "s-1"), 200);
    let new = listener.start(&discovery);
    old.child.kill().expect("it runs");
    old.child.wait().expect("it ends");
    new.wait_for_log("the process before this one has ended");
    assert_eq!(metrics(&new)["hosts_down"], 1);
    expect_served(&new, 20);
    assert!(received_no_request(&a));
    assert_eq!(set_maintenance("exit", &new, "s-1"), 200);
}

#[test]
fn a_garbled_file_of_bans_harms_nothing() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let listener = SharedListener::new();
    std::fs::write(listener.state_folder.join("granitethread.bans"), r#"{"version":1,"out":{"s-1""#)
        .expect("written");
    let gateway = listener.start(&discovery);
    gateway.wait_for_log("what is known stands");
    expect_served(&gateway, 3);
    // The file is read several times more within this second.
    let until = Instant::now() + Duration::from_secs(1);
    while let Some(remaining) = until.checked_duration_since(Instant::now()) {
        assert!(
            gateway.next_log_line(remaining).is_none_or(|l| !l.contains("stands")),
            "the warning is logged once"
        );
    }
    assert_eq!(
        [set_maintenance("enter", &gateway, "s-1"), set_maintenance("exit", &gateway, "s-1")],
        [200, 200]
    );
}

#[test]
fn an_invalid_inherited_descriptor_is_one_plain_line() {
    let discovery = Discovery::new(list(1, true, &[]));
    let config = support::config_file(&Setup::default().config_json(&discovery));
    for value in ["seven", "-1", "999", "1"] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granitethread"));
        command.env("LB_CONFIG", &config).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        let out = command.env("LB_INHERITED_FD", value).output().expect("it runs");
        let text = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success() && text.lines().count() == 1, "{value}: {text}");
        assert!(text.contains("LB_INHERITED_FD"), "{text}");
    }
    let _ = std::fs::remove_file(config);
}

/// The descriptors of operators' connections are released.
#[test]
fn a_thousand_calls_leave_nothing_behind() {
    let backend = Backend::good();
    let gateway =
        start_with_operator_listener(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let open_descriptors =
        || std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).expect("it runs").count();
    let calls = AtomicUsize::new(0);
    expect_served(&gateway, 1);
    let before = open_descriptors();
    thread::scope(|s| {
        for _ in 0..4 {
            s.spawn(|| {
                while calls.fetch_add(1, Ordering::Relaxed) < 1000 {
                    // A connection closed by the connection limit gets no answer, as intended.
                    let mut client = Client::connect(gateway.operator_address);
                    let _ = client.try_ask("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
                }
            });
        }
    });
    let started = Instant::now();
    while open_descriptors() > before {
        assert!(started.elapsed() < LIMIT, "{} descriptors, {before} before", open_descriptors());
    }
}
