//! The view of the fleet in the program: what operators see of it, and what is wrong with a setting.

mod support;

use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{list, Discovery, LIMIT};
use test_harness::program::{Program, EXAMPLE};

const PROGRAM: &str = env!("CARGO_BIN_EXE_granitethread");

/// A folder of this test's own.
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

fn free() -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").to_string()
}

fn table(name: &str, listen: &str, seeds: &str, key: &Path) -> String {
    let key = key.display();
    format!("[fleet]\nname = \"{name}\"\nlisten = \"{listen}\"\nseeds = [{seeds}]\nkey_file = \"{key}\"\n")
}

fn status(at: &Program, json: bool) -> std::process::Output {
    let address = at.operators.expect("a second address").to_string();
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
    let places = [free(), free(), free()];
    let seeds = format!("\"{}\"", places[0]);
    let mut members: Vec<Program> = (0..3)
        .map(|n| {
            let text = table(&format!("g{n}"), &places[n], &seeds, &key);
            let file = folder.write(&format!("g{n}.toml"), &text, 0o600);
            Program::start_member(Path::new(PROGRAM), EXAMPLE, discovery.address, &file, None)
                .expect("it starts")
        })
        .collect();
    let sees = |member: &Program, living: usize| {
        let until = Instant::now() + LIMIT;
        loop {
            let output = status(member, true);
            let all: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
            let lives = |m: &&serde_json::Value| m["state"] == "alive";
            if all["members"].as_array().expect("members").iter().filter(lives).count() == living {
                return all;
            }
            assert!(Instant::now() < until, "{all}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let digests: Vec<String> = members.iter().map(|m| sees(m, 3)["digest"].to_string()).collect();
    assert!(digests.iter().all(|d| *d == digests[0]), "{digests:?}");
    // One that ends in order is known to have left.
    members.remove(1).drain(LIMIT).expect("it ends");
    let all = sees(&members[0], 2);
    let gone =
        all["members"].as_array().expect("members").iter().find(|m| m["name"] == "g1").expect("it is kept");
    assert_eq!(gone["state"], "left");
    let text = String::from_utf8(status(&members[0], false).stdout).expect("text");
    assert!(text.lines().any(|l| l.starts_with("g2 ") && l.contains("alive")), "{text}");
    assert!(!text.contains("ALONE") && !text.contains("CUT OFF"), "{text}");
}

#[test]
fn a_forwarder_is_told_which_planners_live() {
    let folder = Folder::new("planners");
    let key = folder.write("key", "a key of sixteen bytes and more\n", 0o600);
    let discovery = Discovery::new(list(1, true, &[]));
    let (place, planner_place) = (free(), free());
    let seeds = format!("\"{place}\"");
    let planner = table("p1", &planner_place, &seeds, &key);
    let planner = format!(
        "{planner}[planner]\nlisten = \"127.0.0.1:0\"\nstate = \"127.0.0.1:0\"\nkey_file = \"{}\"\n",
        key.display()
    );
    let forwarder = format!(
        "{}[forwarder]\nseat = 0\nplanners = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nnames = [\"p1\", \"p2\"]\nkey_file = \"{}\"\n",
        table("g1", &place, &seeds, &key),
        key.display()
    );
    let file = folder.write("g1.toml", &forwarder, 0o600);
    let gateway = Program::start_member(Path::new(PROGRAM), EXAMPLE, discovery.address, &file, None)
        .expect("it starts");
    let told = |wanted: &serde_json::Value| {
        let until = Instant::now() + LIMIT;
        loop {
            let output = status(&gateway, true);
            let all: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
            if all["told"]["planners"] == *wanted {
                return;
            }
            assert!(Instant::now() < until, "{wanted} is wanted: {all}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    told(&serde_json::json!([null, null]));
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
    told(&serde_json::json!([true, null]));
    // It leaves in order.
    let told_to_end = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
    assert!(told_to_end.is_ok_and(|s| s.success()));
    told(&serde_json::json!([false, null]));
    process.wait().expect("it ends");
}

#[test]
fn without_the_table_there_is_no_view_to_ask_for() {
    let folder = Folder::new("none");
    let discovery = Discovery::new(list(1, true, &[]));
    let file = folder.write("none.toml", "", 0o600);
    let alone = Program::start_member(Path::new(PROGRAM), EXAMPLE, discovery.address, &file, None)
        .expect("it starts");
    let output = status(&alone, false);
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(said.contains("no view of the fleet is kept") && said.lines().count() == 1, "{said}");
}

#[test]
fn what_is_wrong_with_the_table_is_one_line_and_it_does_not_start() {
    let folder = Folder::new("wrong");
    let key = folder.write("key", "a key of sixteen bytes and more\n", 0o600);
    let open = folder.write("open", "a key of sixteen bytes and more\n", 0o644);
    let short = folder.write("short", "short\n", 0o600);
    let held = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let held = held.local_addr().map(|a| (held, a.to_string())).expect("an address");
    let config = folder.write("gateway.json", EXAMPLE, 0o600);
    let place = free();
    for (text, wanted) in [
        (table("g", &place, "", &open), "others may read it"),
        (table("g", &place, "", &short), "16 to 4096 are wanted"),
        (table("g", &place, "", &folder.0.join("none")), "key_file"),
        (table("g", &held.1, "", &key), "fleet.listen"),
        (table("g", &place, "\"nowhere\"", &key), "an address and port are wanted"),
        (table("", &place, "", &key), "1 to 64 printable ones are wanted"),
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
        let said = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success(), "{text}");
        assert!(said.contains(wanted) && said.lines().count() == 1, "{wanted:?}: {said}");
    }
}
