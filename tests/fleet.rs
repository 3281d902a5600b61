//! Fleet membership in the running program: the status that operators see, and errors in the `[fleet]` table.

mod support;

use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{list, Discovery, LIMIT};
use test_harness::program::{Program, EXAMPLE};

const PROGRAM: &str = env!("CARGO_BIN_EXE_granitethread");

/// A temporary folder of one test, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("granitethread-fleet-{}-{name}", std::process::id()));
        std::fs::create_dir(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).expect("its mode");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address whose UDP port was free a moment ago.
fn free_udp_address() -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").to_string()
}

/// Returns a `[fleet]` table of an operators' file.
fn fleet_table(name: &str, listen: &str, seeds: &str, key: &Path) -> String {
    let key = key.display();
    format!("[fleet]\nname = \"{name}\"\nlisten = \"{listen}\"\nseeds = [{seeds}]\nkey_file = \"{key}\"\n")
}

/// Runs `granitethread fleet status` against this gateway.
fn status(gateway: &Program, json: bool) -> std::process::Output {
    let address = gateway.operators.expect("an operators' address").to_string();
    let mut command = Command::new(PROGRAM);
    command.args(["fleet", "status", "--at", &address]);
    if json {
        command.arg("--json");
    }
    command.output().expect("it runs")
}

#[test]
fn three_gateways_find_each_other_and_tell_so() {
    let folder = Folder::new("three");
    let key = folder.write("key", "a key of sixteen bytes and more\n", 0o600);
    let discovery = Discovery::new(list(1, true, &[]));
    let addresses = [free_udp_address(), free_udp_address(), free_udp_address()];
    let seeds = format!("\"{}\"", addresses[0]);
    let mut members: Vec<Program> = (0..3)
        .map(|n| {
            let text = fleet_table(&format!("g{n}"), &addresses[n], &seeds, &key);
            let file = folder.write(&format!("g{n}.toml"), &text, 0o600);
            Program::start_member(Path::new(PROGRAM), EXAMPLE, discovery.address, &file, None)
                .expect("it starts")
        })
        .collect();
    let wait_for_alive = |member: &Program, alive_count: usize| {
        let until = Instant::now() + LIMIT;
        loop {
            let output = status(member, true);
            let fleet: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
            let is_alive = |m: &&serde_json::Value| m["state"] == "alive";
            if fleet["members"].as_array().expect("members").iter().filter(is_alive).count() == alive_count {
                return fleet;
            }
            assert!(Instant::now() < until, "{fleet}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let digests: Vec<String> = members.iter().map(|m| wait_for_alive(m, 3)["digest"].to_string()).collect();
    assert!(digests.iter().all(|d| *d == digests[0]), "{digests:?}");
    // A member that shuts down cleanly is listed as left.
    members.remove(1).drain(LIMIT).expect("it ends");
    let fleet = wait_for_alive(&members[0], 2);
    let departed = fleet["members"]
        .as_array()
        .expect("members")
        .iter()
        .find(|m| m["name"] == "g1")
        .expect("it stays listed");
    assert_eq!(departed["state"], "left");
    let text = String::from_utf8(status(&members[0], false).stdout).expect("text");
    assert!(text.lines().any(|l| l.starts_with("g2 ") && l.contains("alive")), "{text}");
    assert!(!text.contains("ALONE") && !text.contains("CUT OFF"), "{text}");
}

#[test]
fn a_forwarder_reports_which_planners_are_alive() {
    let folder = Folder::new("planners");
    let key = folder.write("key", "a key of sixteen bytes and more\n", 0o600);
    let discovery = Discovery::new(list(1, true, &[]));
    let (address, planner_address) = (free_udp_address(), free_udp_address());
    let seeds = format!("\"{address}\"");
    let planner = fleet_table("p1", &planner_address, &seeds, &key);
    let planner = format!(
        "{planner}[planner]\nlisten = \"127.0.0.1:0\"\nstate = \"127.0.0.1:0\"\nkey_file = \"{}\"\n",
        key.display()
    );
    let forwarder = format!(
        "{}[forwarder]\nseat = 0\nplanners = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nnames = [\"p1\", \"p2\"]\nkey_file = \"{}\"\n",
        fleet_table("g1", &address, &seeds, &key),
        key.display()
    );
    let file = folder.write("g1.toml", &forwarder, 0o600);
    let gateway = Program::start_member(Path::new(PROGRAM), EXAMPLE, discovery.address, &file, None)
        .expect("it starts");
    let wait_for_planners = |expected: &serde_json::Value| {
        let until = Instant::now() + LIMIT;
        loop {
            let output = status(&gateway, true);
            let fleet: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
            if fleet["told"]["planners"] == *expected {
                return;
            }
            assert!(Instant::now() < until, "expected {expected}: {fleet}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait_for_planners(&serde_json::json!([null, null]));
    let config = folder.write("gateway.json", EXAMPLE, 0o600);
    let file = folder.write("p1.toml", &planner, 0o600);
    let mut process = Command::new(PROGRAM)
        .env("LB_CONFIG", &config)
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("GRANITETHREAD_OPERATOR", &file)
        .env_remove("LB_OPERATOR")
        .env_remove("LB_INHERITED_FD")
        .spawn()
        .expect("it starts");
    wait_for_planners(&serde_json::json!([true, null]));
    // A clean shutdown leaves the fleet.
    let kill_status = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
    assert!(kill_status.is_ok_and(|s| s.success()));
    wait_for_planners(&serde_json::json!([false, null]));
    process.wait().expect("it ends");
}

#[test]
fn without_the_fleet_table_status_fails() {
    let folder = Folder::new("none");
    let discovery = Discovery::new(list(1, true, &[]));
    let file = folder.write("none.toml", "", 0o600);
    let gateway = Program::start_member(Path::new(PROGRAM), EXAMPLE, discovery.address, &file, None)
        .expect("it starts");
    let output = status(&gateway, false);
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(stderr.contains("no view of the fleet is kept") && stderr.lines().count() == 1, "{stderr}");
}

#[test]
fn an_invalid_fleet_table_is_one_line_and_prevents_the_start() {
    let folder = Folder::new("wrong");
    let key = folder.write("key", "a key of sixteen bytes and more\n", 0o600);
    let readable_key = folder.write("open", "a key of sixteen bytes and more\n", 0o644);
    let short_key = folder.write("short", "short\n", 0o600);
    let bound_socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let bound_socket =
        bound_socket.local_addr().map(|address| (bound_socket, address.to_string())).expect("an address");
    let config = folder.write("gateway.json", EXAMPLE, 0o600);
    let address = free_udp_address();
    for (text, expected) in [
        (fleet_table("g", &address, "", &readable_key), "others may read it"),
        (fleet_table("g", &address, "", &short_key), "16 to 4096 are wanted"),
        (fleet_table("g", &address, "", &folder.0.join("none")), "key_file"),
        (fleet_table("g", &bound_socket.1, "", &key), "fleet.listen"),
        (fleet_table("g", &address, "\"nowhere\"", &key), "an address and port are wanted"),
        (fleet_table("", &address, "", &key), "1 to 64 printable ones are wanted"),
        (format!("[fleet]\nname = \"g\"\nkey_file = \"{}\"\n", key.display()), "missing field `listen`"),
    ] {
        let file = folder.write("wrong.toml", &text, 0o600);
        let mut command = Command::new(PROGRAM);
        command
            .env("LB_CONFIG", &config)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("GRANITETHREAD_OPERATOR", &file);
        let output =
            command.env_remove("LB_OPERATOR").env_remove("LB_INHERITED_FD").output().expect("it runs");
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success(), "{text}");
        assert!(stderr.contains(expected) && stderr.lines().count() == 1, "{expected:?}: {stderr}");
    }
}
