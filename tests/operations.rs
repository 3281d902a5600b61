//! Daily operations on loopback: the second address, maintenance by hand, upgrades in service.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::{ask, list, ok, say, Backend, Client, Discovery, Gateway, Message, Setup, LIMIT, NUMBER};

fn with_operator(discovery: &Discovery) -> Gateway {
    let gateway = Gateway::with(discovery, Setup { operator: true, ..Setup::default() });
    discovery.called(2);
    gateway
}

fn two(rev: u64, a: SocketAddr, b: SocketAddr) -> String {
    list(rev, true, &[("s-1", a, "Ready"), ("s-2", b, "Ready")])
}

fn figures(gateway: &Gateway) -> serde_json::Value {
    let answer = gateway.call("GET /status/metrics", "");
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.body).expect("figures")
}

/// So many good answers in a row.
fn serve(gateway: &Gateway, times: usize) {
    serve_at(gateway.address, times);
}

fn serve_at(address: SocketAddr, times: usize) {
    let mut client = Client::connect(address);
    (0..times).for_each(|_| assert_eq!(client.ask(&ask("quote").text()).status(), 200));
}

/// Four clients at once, so that one backend is not enough.
fn serve_side_by_side(address: SocketAddr) {
    thread::scope(|s| (0..4).for_each(|_| drop(s.spawn(move || serve_at(address, 5)))));
}

fn untouched(backend: &Backend) -> bool {
    backend.requests.try_iter().count() == 0
}

// ---- Figures ----

#[test]
fn the_figures_are_what_clients_and_backends_saw() {
    let backend = Backend::new(|m, s| match m.header("request-timeout").is_some() {
        _ if m.start.starts_with("GET") => ok(s, "x"),
        _ if m.header("idempotency-key").is_some() => {
            say(s, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        }
        // It may have run, and must not run twice.
        _ => false,
    });
    let gateway = with_operator(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    assert_eq!(gateway.call("GET /status", "").status(), 200);
    let before = figures(&gateway);
    assert_eq!(before["calls"]["quote"]["success"], 0, "{before}");
    serve(&gateway, 5);
    let mut client = gateway.client();
    assert_eq!(client.ask(&ask("confirm").text()).status(), 400);
    assert_eq!(client.ask(&ask("book-slot").text()).status(), 502);
    let (mut refused, mut served) = (0, 5);
    for _ in 0..20 {
        let mut a = ask("quote");
        a.plan = "tight";
        match client.ask(&a.text()).status() {
            429 | 503 => refused += 1,
            _ => served += 1,
        }
    }
    let after = figures(&gateway);
    let count = |class: &str, what: &str| after["calls"][class][what].as_u64().expect("a number");
    assert_eq!((count("quote", "success"), count("quote", "busy")), (served, refused), "{after}");
    assert_eq!((count("confirm", "failure"), count("book-slot", "failure")), (1, 1));
    let reached = backend.requests.try_iter().count() as u64;
    assert_eq!(after["backend_calls"].as_u64(), Some(reached));
    assert_eq!((after["inflight"].as_u64(), after["hosts_listed"].as_u64()), (Some(0), Some(1)));
}

#[test]
fn what_is_taken_and_not_ended_is_in_flight() {
    let backend = Backend::new(|_, _| true);
    let gateway = with_operator(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let mut waiting: Vec<Client> = (0..7).map(|_| gateway.client()).collect();
    for client in &mut waiting {
        client.send(&ask("quote").text());
        backend.next();
    }
    assert_eq!(figures(&gateway)["inflight"], 7);
}

#[test]
fn callers_that_say_nothing_keep_no_call_out() {
    let backend = Backend::good();
    let gateway = with_operator(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let mut silent = Vec::new();
    for _ in 0..50 {
        let stream = TcpStream::connect(gateway.operator).expect("accepted");
        silent.push(stream);
        let asked = Instant::now();
        assert_eq!(gateway.call("GET /status", "").status(), 200);
        assert!(asked.elapsed() < Duration::from_secs(1));
    }
}

#[test]
fn what_is_no_call_is_told_why() {
    let backend = Backend::good();
    let gateway = with_operator(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let big = format!(r#"{{"target":"{}"}}"#, "s".repeat(5000));
    for (call, body, status) in [
        ("GET /", "", 404),
        ("POST /status", "", 405),
        ("GET /maintenance/enter", "", 405),
        ("POST /maintenance/enter", "", 400),
        ("POST /maintenance/enter", "s-1", 400),
        ("POST /maintenance/enter", r#"{"target":7}"#, 400),
        ("POST /maintenance/enter", r#"{"target":"s-9"}"#, 404),
        ("POST /maintenance/exit", r#"{"target":"s-9"}"#, 404),
        ("POST /maintenance/enter", &big, 413),
    ] {
        let answer = gateway.call(call, body);
        assert_eq!(answer.status(), status, "{call} {body:.20}");
        let why: serde_json::Value = serde_json::from_slice(&answer.body).expect("a reason");
        assert!(!why["error"].as_str().expect("told").is_empty());
    }
    assert_eq!(figures(&gateway)["hosts_down"], 0);
    // Nothing listens for operators where no second address is given.
    let plain = Gateway::start(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    assert_eq!(plain.call("GET /status", "").status(), 404);
}

// ---- Maintenance ----

fn target(call: &str, gateway: &Gateway, id: &str) -> u16 {
    gateway.call(&format!("POST /maintenance/{call}"), &format!(r#"{{"target":"{id}"}}"#)).status()
}

#[test]
fn a_backend_taken_out_gets_nothing_whatever_discovery_says_until_it_is_put_back() {
    let (a, b) = (Backend::good(), Backend::good());
    let discovery = Discovery::new(two(1, a.address, b.address));
    let gateway = with_operator(&discovery);
    while untouched(&a) {
        serve_side_by_side(gateway.address);
    }
    assert_eq!([target("enter", &gateway, "s-1"), target("enter", &gateway, "s-1")], [200, 200]);
    assert_eq!(figures(&gateway)["hosts_down"], 1);
    serve(&gateway, 30);
    assert!(untouched(&a));
    // Gone, back with another start, changed, listed whole again.
    let restarted = two(4, a.address, b.address).replacen(r#""boot_ms":0"#, r#""boot_ms":99"#, 1);
    let changed = list(3, false, &[("s-1", a.address, "Ready")]);
    for (n, news) in
        [list(2, true, &[("s-2", b.address, "Ready")]), changed, restarted].into_iter().enumerate()
    {
        let calls = discovery.calls();
        discovery.tell(2 + n as u64, news);
        discovery.called(calls + 1);
        serve(&gateway, 30);
        assert!(untouched(&a), "after word {n}");
    }
    assert_eq!(target("exit", &gateway, "s-1"), 200);
    let back = Instant::now();
    while untouched(&a) {
        serve_side_by_side(gateway.address);
        assert!(back.elapsed() < Duration::from_secs(5), "it is not used again");
    }
    assert_eq!(figures(&gateway)["hosts_down"], 0);
}

/// A request that waits, and an attempt that fails and is made again, find the ban too.
#[test]
fn a_repeat_does_not_go_to_a_backend_taken_out_meanwhile() {
    let (began, begun) = std::sync::mpsc::channel::<()>();
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let (began, wait) = (std::sync::Mutex::new(began), std::sync::Mutex::new(wait));
    let first = AtomicBool::new(true);
    let a = Backend::new(move |_, s| {
        if first.swap(false, Ordering::SeqCst) {
            began.lock().expect("kept").send(()).expect("awaited");
            let _ = wait.lock().expect("kept").recv();
            return say(s, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ok(s, "again")
    });
    let gateway = with_operator(&Discovery::new(list(1, true, &[("s-1", a.address, "Ready")])));
    let mut client = gateway.client();
    client.send(&ask("book-slot").text());
    begun.recv_timeout(LIMIT).expect("it reaches the backend");
    assert_eq!(target("enter", &gateway, "s-1"), 200);
    go.send(()).expect("the backend waits");
    assert!(matches!(client.answer().status(), 429 | 503));
    assert_eq!(a.requests.try_iter().count(), 1);
}

// ---- Upgrades ----

struct Held {
    socket: TcpListener,
    folder: PathBuf,
}

impl Held {
    fn new() -> Self {
        let folder = std::env::temp_dir().join(format!(
            "granitethread-held-{}-{}",
            std::process::id(),
            NUMBER.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir(&folder).expect("a folder");
        Held { socket: TcpListener::bind("127.0.0.1:0").expect("a port"), folder }
    }

    fn start(&self, discovery: &Discovery) -> Gateway {
        let inherited = Some((self.socket.try_clone().expect("a second handle"), self.folder.clone()));
        let gateway = Gateway::with(discovery, Setup { operator: true, inherited, ..Setup::default() });
        let started = Instant::now();
        while gateway.call("GET /status", "").status() != 200 {
            assert!(started.elapsed() < Duration::from_secs(6), "the yes is due within 6 s");
        }
        gateway
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Clients that ask for as long as they are let: served, and ended at the door.
fn load(address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<(usize, usize)>> {
    let one = move |stop: Arc<AtomicBool>| {
        let (mut client, mut fresh, mut good, mut lost) = (Client::try_connect(address), true, 0, 0);
        while !stop.load(Ordering::Relaxed) {
            let answer = client.as_mut().and_then(|c| c.try_ask(&ask("quote").text()));
            let close = |m: &Message| m.header("connection") == Some("close");
            match &answer {
                // Beyond its quota it is refused, and that is an answer.
                Some(m) if matches!(m.status(), 200 | 429) => good += 1,
                // A close may cross a request on a kept connection; a client asks again then.
                None if !fresh => {}
                _ => lost += 1,
            }
            fresh = answer.as_ref().is_none_or(close);
            if fresh {
                client = Client::try_connect(address);
            }
        }
        (good, lost)
    };
    (0..8).map(|_| (one, stop.clone())).map(|(one, stop)| thread::spawn(move || one(stop))).collect()
}

#[test]
fn an_upgrade_ends_no_request_at_the_door() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let held = Held::new();
    let mut old = held.start(&discovery);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = load(held.socket.local_addr().expect("an address"), &stop);
    for _ in 0..2 {
        let served = old.call("GET /status/metrics", "");
        assert_eq!(served.status(), 200);
        let new = held.start(&discovery);
        old.signal("-TERM");
        assert!(old.child.wait().expect("it ends").success());
        old = new;
        old.logged("of learned state");
        // Alone again.
        old.logged("the previous process has ended");
    }
    stop.store(true, Ordering::Relaxed);
    let (mut good, mut lost) = (0, 0);
    for client in clients {
        let (g, l) = client.join().expect("no panic");
        (good, lost) = (good + g, lost + l);
    }
    assert!(good > 100, "{good} served");
    assert_eq!(lost, 0, "of {good}");
}

/// A connection on which nothing has been asked yet, or half a head, is no reason to end at the door.
#[test]
fn who_has_yet_to_ask_is_still_answered_by_the_old_process() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let held = Held::new();
    let mut old = held.start(&discovery);
    let (mut silent, mut half, mut idle) = (old.client(), old.client(), old.client());
    let text = ask("quote").text();
    half.send(&text[..40]);
    assert_eq!(idle.ask(&ask("quote").text()).status(), 200);
    // All three have been accepted by then.
    assert_eq!(silent.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    let mut silent = old.client();
    assert_eq!(idle.ask(&ask("quote").text()).status(), 200);
    old.signal("-TERM");
    assert!(idle.closed(), "who idles between requests is let go");
    half.send(&text[40..]);
    let answer = half.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    silent.send(&ask("quote").text());
    assert_eq!(silent.answer().status(), 200);
    assert!(old.child.wait().expect("it ends").success());
}

#[test]
fn bans_hold_over_an_upgrade_and_bind_both_processes() {
    let (a, b) = (Backend::good(), Backend::good());
    let discovery = Discovery::new(two(1, a.address, b.address));
    let held = Held::new();
    let old = held.start(&discovery);
    assert_eq!(target("enter", &old, "s-1"), 200);
    let new = held.start(&discovery);
    assert_eq!(figures(&new)["hosts_down"], 1);
    // Told to one, it binds the other within a second.
    assert_eq!([target("enter", &new, "s-2"), target("exit", &new, "s-1")], [200, 200]);
    let told = Instant::now();
    while figures(&old)["hosts_down"] != 1 || target("exit", &old, "s-2") != 200 {
        assert!(told.elapsed() < Duration::from_secs(1));
    }
    // The last word counts, whoever took it.
    let told = Instant::now();
    while figures(&new)["hosts_down"] != 0 {
        assert!(told.elapsed() < Duration::from_secs(1));
    }
}

/// It takes no client, the old one goes on, and the next upgrade works.
#[test]
fn a_new_process_that_never_says_yes_costs_nothing() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let held = Held::new();
    let mut old = held.start(&discovery);
    let silent = Discovery::never_answers();
    let inherited = Some((held.socket.try_clone().expect("a second handle"), held.folder.clone()));
    let new = Gateway::with(&silent, Setup { operator: true, inherited, ..Setup::default() });
    assert_eq!(new.call("GET /status", "").status(), 503);
    for _ in 0..50 {
        assert_eq!(old.client().ask(&ask("quote").text()).status(), 200, "it went to the old one");
    }
    drop(new);
    let next = held.start(&discovery);
    old.signal("-TERM");
    assert!(old.child.wait().expect("it ends").success());
    next.logged("the previous process has ended");
    serve(&next, 5);
}

#[test]
fn bans_hold_though_the_old_process_is_killed_in_the_middle() {
    let (a, b) = (Backend::good(), Backend::good());
    let discovery = Discovery::new(two(1, a.address, b.address));
    let held = Held::new();
    let mut old = held.start(&discovery);
    assert_eq!(target("enter", &old, "s-1"), 200);
    let new = held.start(&discovery);
    old.child.kill().expect("it lives");
    old.child.wait().expect("it ends");
    new.logged("the previous process has ended");
    assert_eq!(figures(&new)["hosts_down"], 1);
    serve(&new, 20);
    assert!(untouched(&a));
    assert_eq!(target("exit", &new, "s-1"), 200);
}

#[test]
fn a_garbled_file_of_bans_harms_nothing() {
    let a = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", a.address, "Ready")]));
    let held = Held::new();
    std::fs::write(held.folder.join("granitethread.bans"), r#"{"version":1,"out":{"s-1""#).expect("written");
    let gateway = held.start(&discovery);
    gateway.logged("what is known stands");
    serve(&gateway, 3);
    // It is looked at several times more.
    let until = Instant::now() + Duration::from_secs(1);
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        assert!(gateway.says_within(left).is_none_or(|l| !l.contains("stands")), "it is said once");
    }
    assert_eq!([target("enter", &gateway, "s-1"), target("exit", &gateway, "s-1")], [200, 200]);
}

#[test]
fn an_inherited_descriptor_that_will_not_do_is_one_plain_line() {
    let discovery = Discovery::new(list(1, true, &[]));
    let config = support::config_file(&Setup::default().text(&discovery));
    for wrong in ["seven", "-1", "999", "1"] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granitethread"));
        command.env("LB_CONFIG", &config).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        let out = command.env("LB_INHERITED_FD", wrong).output().expect("it runs");
        let text = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success() && text.lines().count() == 1, "{wrong}: {text}");
        assert!(text.contains("LB_INHERITED_FD"), "{text}");
    }
    let _ = std::fs::remove_file(config);
}

/// Nothing of a caller outlives its place: descriptors come back.
#[test]
fn a_thousand_calls_leave_nothing_behind() {
    let backend = Backend::good();
    let gateway = with_operator(&Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")])));
    let open = || std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).expect("it lives").count();
    let calls = AtomicUsize::new(0);
    serve(&gateway, 1);
    let before = open();
    thread::scope(|s| {
        for _ in 0..4 {
            s.spawn(|| {
                while calls.fetch_add(1, Ordering::Relaxed) < 1000 {
                    // One that the limit lets go hears nothing; that is what the limit is for.
                    let mut client = Client::connect(gateway.operator);
                    let _ = client.try_ask("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
                }
            });
        }
    });
    let started = Instant::now();
    while open() > before {
        assert!(started.elapsed() < LIMIT, "{} descriptors, {before} before", open());
    }
}
