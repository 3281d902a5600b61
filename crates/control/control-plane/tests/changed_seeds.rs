//! The control plane's process, and a settings file that changes without a signal.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Address of the node under test; of a seed that is gone; of a control node that the changed file names.
const NODE: &str = "127.0.83.1";
const GONE_SEED: &str = "127.0.83.2";
const NEW_SEED: &str = "127.0.83.3";
/// Time in which the node must have read the changed file and connected.
const LIMIT: Duration = Duration::from_secs(10);

struct Process {
    child: Child,
    folder: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a port that is free on these addresses, as are the two after it.
fn free_ports(ips: &[&str]) -> u16 {
    loop {
        let first =
            TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").port();
        let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        if first < u16::MAX - 3 && (first..first + 3).all(is_free) {
            return first;
        }
    }
}

fn settings(folder: &Path, seed: &str, port: u16) -> String {
    let data = folder.join("data");
    format!(
        "[ownIdentity]\nnodeName = \"edge-1\"\nipAddress = \"{NODE}\"\nzone = \"z\"\ninitialStart = false\n\
         dataDirectory = {data:?}\n[networkTerms]\ninternalPortRange = [{port}, {}]\nseedNodes = [\"{seed}:{port}\"]\n\
         [networkTerms.listenAddresses]\ncontrolPlane = \"{NODE}:{}\"\n",
        port + 1,
        port + 2
    )
}

fn start(port: u16) -> Process {
    let folder = std::env::temp_dir().join(format!("granitethread-changed-seeds-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("data")).expect("a folder");
    let file = folder.join("settings.toml");
    std::fs::write(&file, settings(&folder, GONE_SEED, port)).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_granitethread-control-plane"))
        .env("GRANITETHREAD_BOOT", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    Process { child, folder }
}

/// Returns whether the node connects to the listener in time.
fn connects(listener: &TcpListener, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        match listener.accept() {
            Ok((_, SocketAddr::V4(from))) if from.ip().is_loopback() => return true,
            _ => std::thread::sleep(Duration::from_millis(20)),
        }
    }
    false
}

/// Guards against a node whose seeds are gone and that does not see that its settings file names others.
#[test]
fn a_node_whose_seeds_are_gone_finds_those_of_the_changed_file_without_a_signal() {
    let port = free_ports(&[NODE, GONE_SEED, NEW_SEED]);
    let new_seed = TcpListener::bind((NEW_SEED, port)).expect("a free port");
    new_seed.set_nonblocking(true).expect("it can be set");
    let node = start(port);
    assert!(!connects(&new_seed, Duration::from_secs(3)), "it knows nothing of this seed yet");
    let text = settings(&node.folder, NEW_SEED, port);
    let file = node.folder.join("settings.toml");
    // Half-written at first: the old seeds stay, and the file is read again.
    std::fs::write(&file, &text[..text.len() / 2]).expect("a file");
    std::thread::sleep(Duration::from_secs(2));
    std::fs::write(&file, &text).expect("a file");
    assert!(connects(&new_seed, LIMIT), "it reads the changed file");
}
