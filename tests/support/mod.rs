//! The real program among the rig's scripted neighbours. Each test program uses a part of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
pub use test_harness::peers::*;

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":MEMORY,"sockets":SOCKETS},
"known":KNOWN,"settings":{"az":0,"dcs":["hall"],"me":0,"siblings":1,"discovery":"MODE","tick":2000000,
"extra":{"cost_after":true,"meter_period":500000000,"most_units":8},
"limits":{"cancelling":true,"connect_timeout":CONNECT,"keepalive":KEEPALIVE,"max_retry_after":2000000000,
 "retry_after":true,"second_copies":false,"try_limit":3},
"obligations":{"answer_slack":8000000,"cold":15000000000,"cold_from":0.19,"drain_grace":500000000,
 "fall":1500000000,"fall_multiple":3.0},
"plans":[{"name":"basic","quota_rate":1000.0,"depth":1000.0,"value_factor":1.0},
 {"name":"tight","quota_rate":0.01,"depth":1.0,"value_factor":1.0}],
"services":[
 {"name":"quote","on_time":600000000,"deadline":LONGEST,"effect":"safe","group":"all","points":3.0},
 {"name":"confirm","on_time":750000000,"deadline":2000000000,"effect":"keyed","group":"all","key_ttl":2000000000,"points":5.0},
 {"name":"book-slot","on_time":750000000,"deadline":LONGEST,"effect":"unsafe","group":"all","points":3.0}]}}"#;

/// What a test may set.
pub struct Setup {
    pub sockets: usize,
    pub memory_mb: usize,
    pub connect_ms: u64,
    pub keepalive_ms: u64,
    /// Descriptors that the system gives the process.
    pub ulimit: Option<usize>,
    /// The list of backends that the configuration gives.
    pub known: Option<String>,
    /// In place of any free port.
    pub listen: Option<SocketAddr>,
    /// Whether it listens for operators' calls.
    pub operator: bool,
    /// A socket that it inherits, and the folder that all its processes share.
    pub inherited: Option<(TcpListener, PathBuf)>,
    /// Whether discovery is an agent of its own (`automatic`) or must be asked (`subscribe`).
    pub mode: &'static str,
    /// How long clients of `quote` and `book-slot` may wait.
    pub deadline_ms: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            sockets: 1024,
            memory_mb: 192,
            connect_ms: 250,
            keepalive_ms: 30_000,
            ulimit: None,
            known: None,
            listen: None,
            operator: false,
            inherited: None,
            mode: "automatic",
            deadline_ms: 2500,
        }
    }
}

impl Setup {
    /// The configuration.
    pub fn text(&self, discovery: &Discovery) -> String {
        CONFIG
            .replace("DISCOVERY", &discovery.address.to_string())
            .replace("MODE", self.mode)
            .replace("LONGEST", &(self.deadline_ms * 1_000_000).to_string())
            .replace("KNOWN", self.known.as_deref().unwrap_or("null"))
            .replace("MEMORY", &self.memory_mb.to_string())
            .replace("SOCKETS", &self.sockets.to_string())
            .replace("CONNECT", &(self.connect_ms * 1_000_000).to_string())
            .replace("KEEPALIVE", &(self.keepalive_ms * 1_000_000).to_string())
    }
}

pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    /// The second address, or the first again.
    pub operator: SocketAddr,
    config: PathBuf,
    /// Lines of its log.
    log: Receiver<String>,
}

pub fn config_file(text: &str) -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("granitethread-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a file for the configuration");
    path
}

impl Gateway {
    pub fn start(discovery: &Discovery) -> Self {
        let gateway = Gateway::with(discovery, Setup::default());
        // The second call is the watch: the list is in.
        discovery.wait_for_calls(2);
        gateway
    }

    pub fn with(discovery: &Discovery, setup: Setup) -> Self {
        let config = config_file(&setup.text(discovery));
        let program = env!("CARGO_BIN_EXE_granitethread");
        let mut command = match setup.ulimit {
            None => Command::new(program),
            Some(n) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", &format!("ulimit -n {n}; exec \"$0\""), program]);
                shell
            }
        };
        command.env("LB_CONFIG", &config).env_remove("LB_LISTEN");
        // It counts at the start only.
        command.env("LB_DISCOVERY", discovery.address.to_string());
        if let Some(address) = setup.listen {
            command.env("LB_LISTEN", address.to_string());
        }
        command.env_remove("LB_INHERITED_FD").env_remove("LB_OPERATOR");
        if setup.operator {
            command.env("LB_OPERATOR", "127.0.0.1:0");
        }
        if let Some((socket, folder)) = setup.inherited {
            command.env("LB_INHERITED_FD", "0").env("TMPDIR", folder);
            command.stdin(Stdio::from(OwnedFd::from(socket)));
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the gateway starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut told = |before: &str| -> SocketAddr {
            let mut line = String::new();
            log.read_line(&mut line).expect("a line");
            let address = line.trim().strip_prefix(before).unwrap_or_else(|| panic!("{line}"));
            address.parse().expect("an address")
        };
        let address = told("listening on ");
        let operator = if setup.operator { told("operators' calls on ") } else { address };
        let (line, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| drop(line.send(l))));
        Gateway { child, address, operator, config, log: lines }
    }

    /// An operator's call.
    pub fn call(&self, start: &str, body: &str) -> Message {
        let text = format!("{start} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Client::connect(self.operator).ask(&text)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Waits for a line of the log that holds this.
    pub fn logged(&self, text: &str) {
        while !self.log.recv_timeout(LIMIT).unwrap_or_else(|_| panic!("{text:?} is logged")).contains(text) {}
    }

    /// The next line of the log, if one comes in time.
    pub fn says_within(&self, time: std::time::Duration) -> Option<String> {
        self.log.recv_timeout(time).ok()
    }

    /// Puts another configuration in place and says so.
    pub fn reload(&self, text: &str) {
        let new = config_file(text);
        std::fs::rename(new, &self.config).expect("the file is replaced");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
