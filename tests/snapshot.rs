//! Recovery from snapshots: killed processes, damaged files, missing folders. The effect is measured by the requests
//! that reach the backends.

mod support;

use snapshot::{inspect, Kind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::{caller_request, list, Backend, Client, Discovery, LIMIT};
use test_harness::program::{Program, EXAMPLE};

const PROGRAM: &str = env!("CARGO_BIN_EXE_granitethread");
const SNAPSHOT_FILE: &str = "granitethread.snapshot";

/// A temporary folder of one test, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("granitethread-snapshot-{}-{name}", std::process::id()));
        std::fs::create_dir(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join(SNAPSHOT_FILE)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a gateway of this name with snapshots in `folder`, and waits until it is ready.
fn start_gateway(folder: &Path, operators: &Path, name: &str, discovery: &Discovery) -> Program {
    let text = format!("[snapshot]\nfolder = \"{}\"\nname = \"{name}\"\nevery_ms = 200\n", folder.display());
    std::fs::write(operators, text).expect("the operators' file");
    let program = Path::new(PROGRAM);
    let gateway = Program::start_member(program, EXAMPLE, discovery.address, operators, None);
    let gateway = gateway.expect("it starts");
    // A ready gateway has an endpoint list.
    let until = Instant::now() + LIMIT;
    loop {
        let ready = Client::try_connect(gateway.address)
            .and_then(|mut c| c.try_ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
        if ready.is_some_and(|answer| answer.status() == 200) {
            return gateway;
        }
        assert!(Instant::now() < until, "it is never ready");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_nanos() as u64
}

/// Waits for a snapshot taken after this call.
fn wait_for_snapshot(folder: &Folder) {
    let (called_at, until) = (now(), Instant::now() + LIMIT);
    loop {
        let taken_at =
            std::fs::read(folder.file()).ok().and_then(|b| inspect(&b).ok()).map(|read| read.author.taken_at);
        if taken_at.is_some_and(|taken_at| taken_at > called_at) {
            return;
        }
        assert!(Instant::now() < until, "no snapshot is written");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sends `count` requests of one customer with a small quota one after another and returns how many were served.
fn burst(address: SocketAddr, count: usize) -> usize {
    let mut client = Client::connect(address);
    let mut request = caller_request("quote");
    request.plan = "starter";
    (0..count).filter(|_| client.ask(&request.text()).status() == 200).count()
}

/// Runs a gateway named g1 with one backend, kills it after a snapshot, and returns its snapshot folder, the folder of
/// its operators' file, and its peers.
fn killed_gateway(name: &str) -> (Folder, Folder, Backend, Discovery) {
    let (folder, operators) = (Folder::new(name), Folder::new(&format!("{name}-operators")));
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let mut first = start_gateway(&folder.0, &operators.0.join("g.toml"), "g1", &discovery);
    wait_for_snapshot(&folder);
    first.kill();
    (folder, operators, backend, discovery)
}

/// Returns the log lines about snapshots that have been read so far.
fn snapshot_log_lines(gateway: &Program) -> Vec<String> {
    let mut lines: Vec<String> = gateway.log.try_iter().collect();
    lines.retain(|line| line.contains("snapshot: "));
    lines
}

/// Waits for a log line about snapshots and returns all of them. Another thread reads the program's log and may lag
/// behind its answers on a busy machine.
fn wait_for_snapshot_log_lines(gateway: &Program) -> Vec<String> {
    let until = Instant::now() + LIMIT;
    let mut lines = snapshot_log_lines(gateway);
    while lines.is_empty() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
        lines = snapshot_log_lines(gateway);
    }
    // An unwanted second line would follow soon after the first.
    std::thread::sleep(Duration::from_millis(50));
    lines.extend(snapshot_log_lines(gateway));
    lines
}

#[test]
fn a_killed_gateway_resumes_with_its_bans_and_buckets() {
    let (folder, operators) = (Folder::new("killed"), Folder::new("killed-operators"));
    let operators = operators.0.join("g.toml");
    let (banned, unbanned) = (Backend::good(), Backend::good());
    let targets = [("s-1", banned.address, "Ready"), ("s-2", unbanned.address, "Ready")];
    let discovery = Discovery::new(list(1, true, &targets));
    let mut first = start_gateway(&folder.0, &operators, "g1", &discovery);
    let answer = first.call("POST /maintenance/enter", r#"{"target":"s-1"}"#).expect("an answer");
    assert_eq!(answer.0, 200);
    let served_fresh = burst(first.address, 30);
    assert!(served_fresh >= 4, "a full bucket serves several: {served_fresh}");
    wait_for_snapshot(&folder);
    first.kill();
    let _ = banned.requests.try_iter().count();
    let second = start_gateway(&folder.0, &operators, "g1", &discovery);
    let served_after = burst(second.address, 30);
    assert!(
        served_after * 2 <= served_fresh,
        "its bucket was empty a moment ago: {served_after} compared with {served_fresh}"
    );
    assert!(banned.received_nothing(), "its ban is still in force");
    let log_lines = wait_for_snapshot_log_lines(&second);
    assert!(log_lines.len() == 1 && log_lines[0].contains("goes on with one that is"), "{log_lines:?}");
    wait_for_snapshot(&folder);
    drop(second);
    // Control: without the snapshot the bucket is full again and the ban is gone.
    std::fs::remove_file(folder.file()).expect("the snapshot");
    let third = start_gateway(&folder.0, &operators, "g1", &discovery);
    assert!(burst(third.address, 30) > served_after, "a process without a snapshot has a full bucket");
}

#[test]
fn a_killed_gateway_serves_by_its_last_list_while_discovery_is_silent() {
    let (folder, operators) = (Folder::new("list"), Folder::new("list-operators"));
    let operators = operators.0.join("g.toml");
    let (draining, remaining) = (Backend::good(), Backend::good());
    let list_with = |rev, state| {
        list(rev, true, &[("s-1", draining.address, state), ("s-2", remaining.address, "Ready")])
    };
    let discovery = Discovery::new(list_with(1, "Ready"));
    let mut first = start_gateway(&folder.0, &operators, "g1", &discovery);
    wait_for_snapshot(&folder);
    // The gateway is killed as soon as the drain is on disk, long before the next second.
    discovery.publish(2, list_with(2, "Terminating"));
    let until = Instant::now() + LIMIT;
    let list_section = |read: snapshot::Snapshot| read.sections[&Kind::List].clone().expect("a list");
    let contains_drain = |bytes: Vec<u8>| {
        String::from_utf8_lossy(&list_section(inspect(&bytes).expect("whole"))).contains("Terminating")
    };
    while !std::fs::read(folder.file()).is_ok_and(contains_drain) {
        assert!(Instant::now() < until, "the drain is not written to the snapshot");
        std::thread::sleep(Duration::from_millis(2));
    }
    first.kill();
    let _ = draining.requests.try_iter().count();
    let silent = Discovery::never_answers();
    let second = start_gateway(&folder.0, &operators, "g1", &silent);
    assert!(burst(second.address, 3) >= 1, "it serves from the restored list");
    assert!(draining.received_nothing(), "a draining backend gets no new request");
    // The list of an old snapshot is not used: its addresses may belong to other servers by now.
    wait_for_snapshot(&folder);
    drop(second);
    let old = std::fs::read(folder.file()).expect("the snapshot");
    let old = inspect(&old).expect("a snapshot");
    let author = snapshot::Author { taken_at: now() - 700_000_000_000, ..old.author.clone() };
    let section = |(kind, bytes): (&Kind, &Result<Vec<u8>, _>)| snapshot::Section {
        kind: *kind,
        bytes: bytes.clone().expect("an intact section"),
    };
    let sections: Vec<_> = old.sections.iter().map(section).collect();
    std::fs::write(folder.file(), snapshot::encode(&author, &sections)).expect("it can be written");
    let third = Program::start_member(Path::new(PROGRAM), EXAMPLE, silent.address, &operators, None);
    let third = third.expect("it starts");
    let ready = Client::connect(third.address).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    assert_ne!(ready, 200, "it knows no backend");
}

#[test]
fn a_snapshot_that_crashes_the_gateway_is_read_once() {
    let (folder, operators, _backend, discovery) = killed_gateway("once");
    let operators = operators.0.join("g.toml");
    // It is killed within its first second, in which it writes no snapshot.
    let mut second = start_gateway(&folder.0, &operators, "g1", &discovery);
    second.kill();
    assert!(!folder.file().exists(), "it is set aside");
    let third = start_gateway(&folder.0, &operators, "g1", &discovery);
    assert_eq!(
        snapshot_log_lines(&third),
        Vec::<String>::new(),
        "it starts without a snapshot and logs nothing about it"
    );
    wait_for_snapshot(&folder);
}

#[test]
fn a_damaged_snapshot_costs_only_the_damaged_part_and_is_logged() {
    let (folder, operators, _backend, discovery) = killed_gateway("damaged");
    let operators = operators.0.join("g.toml");
    let intact = std::fs::read(folder.file()).expect("the snapshot");
    let decoded = inspect(&intact).expect("a snapshot");
    let bans = decoded.sections[&Kind::Bans].clone().expect("bans");
    let offset = intact.windows(bans.len()).position(|w| w == bans).expect("their offset");
    let mut flipped = intact.clone();
    flipped[offset] ^= 1;
    for (bytes, name, expected) in [
        (flipped.clone(), "g1", "snapshot: bans: its checksum does not hold; begun without"),
        (intact[..intact.len() / 2].to_vec(), "g1", "the file ends before it does; begun without"),
        (intact.clone(), "g2", "snapshot: it belongs to \"g1\"; begun with nothing"),
        (b"anything".to_vec(), "g1", "snapshot: not a snapshot; begun with nothing"),
        (Vec::new(), "g1", "snapshot: not a snapshot; begun with nothing"),
    ] {
        std::fs::write(folder.file(), bytes).expect("it can be written");
        let gateway = start_gateway(&folder.0, &operators, name, &discovery);
        assert!(burst(gateway.address, 1) == 1, "it serves");
        let log_lines = wait_for_snapshot_log_lines(&gateway);
        assert!(log_lines.iter().filter(|l| l.contains(expected)).count() >= 1, "{expected}: {log_lines:?}");
        assert!(log_lines.len() <= 4, "{log_lines:?}");
    }
    let show_snapshot = |json: bool| {
        let mut command = Command::new(PROGRAM);
        command.args(["snapshot", "show"]).arg(folder.file());
        command.args(json.then_some("--json")).output().expect("it runs")
    };
    std::fs::write(folder.file(), &flipped).expect("it can be written");
    let text = String::from_utf8(show_snapshot(false).stdout).expect("text");
    assert!(
        text.starts_with("g1, life ") && text.contains("of no use: its checksum does not hold"),
        "{text}"
    );
    let shown: serde_json::Value = serde_json::from_slice(&show_snapshot(true).stdout).expect("JSON");
    assert_eq!((shown["name"].as_str(), shown["sections"].as_array().map(Vec::len)), (Some("g1"), Some(4)));
    std::fs::write(folder.file(), "x").expect("it can be written");
    let failed_show = show_snapshot(false);
    let stderr = String::from_utf8_lossy(&failed_show.stderr).to_string();
    assert!(
        !failed_show.status.success() && stderr.lines().count() == 1 && stderr.contains("not a snapshot"),
        "{stderr}"
    );
}

#[test]
fn a_gateway_serves_without_a_writable_snapshot_folder() {
    let operators = Folder::new("nowhere-operators");
    let file = operators.0.join("g.toml");
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let gateway = start_gateway(&operators.0.join("nowhere"), &file, "g1", &discovery);
    assert_eq!(burst(gateway.address, 1), 1);
    let log_lines = wait_for_snapshot_log_lines(&gateway);
    assert!(
        log_lines.len() == 1 && log_lines[0].contains("nothing is kept for a next process"),
        "{log_lines:?}"
    );
}
