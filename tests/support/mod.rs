//! Starts the program among the scripted peers of the test harness. Each test binary uses a part of this module.
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

/// Options with which a test starts a gateway.
pub struct Setup {
    pub sockets: usize,
    pub memory_mb: usize,
    pub connect_ms: u64,
    pub keepalive_ms: u64,
    /// Limit of open file descriptors of the process.
    pub ulimit: Option<usize>,
    /// Endpoint list given in the configuration.
    pub known: Option<String>,
    /// Listen address; any free port if absent.
    pub listen: Option<SocketAddr>,
    /// Whether the gateway opens a second listener for operators' calls.
    pub operator_listener: bool,
    /// Inherited listening socket, and the temporary folder that all processes on that socket share.
    pub inherited: Option<(TcpListener, PathBuf)>,
    /// Discovery mode: an agent of its own (`automatic`) or a service that must be asked (`subscribe`).
    pub mode: &'static str,
    /// Deadline of the classes `quote` and `book-slot`.
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
            operator_listener: false,
            inherited: None,
            mode: "automatic",
            deadline_ms: 2500,
        }
    }
}

impl Setup {
    /// Returns the configuration file's content.
    pub fn config_json(&self, discovery: &Discovery) -> String {
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

/// A running gateway process. It is killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    /// Address of the operators' listener; the same as `address` without one.
    pub operator_address: SocketAddr,
    config: PathBuf,
    /// Lines that the process logged and no test has read yet.
    log: Receiver<String>,
}

/// Writes a configuration file of a unique name and returns its path.
pub fn config_file(text: &str) -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("granitethread-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a file for the configuration");
    path
}

impl Gateway {
    /// Starts a gateway with the default options and waits for its first endpoint list.
    pub fn start(discovery: &Discovery) -> Self {
        let gateway = Gateway::start_with(discovery, Setup::default());
        // The second call is the watch: by then the list has been applied.
        discovery.wait_for_calls(2);
        gateway
    }

    /// Starts a gateway with these options and waits until it listens.
    pub fn start_with(discovery: &Discovery, setup: Setup) -> Self {
        let config = config_file(&setup.config_json(discovery));
        let program = env!("CARGO_BIN_EXE_granitethread");
        let mut command = match setup.ulimit {
            None => Command::new(program),
            Some(descriptors) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), program]);
                shell
            }
        };
        command.env("LB_CONFIG", &config).env_remove("LB_LISTEN");
        // The program reads this variable at start only, not on a reload.
        command.env("LB_DISCOVERY", discovery.address.to_string());
        if let Some(address) = setup.listen {
            command.env("LB_LISTEN", address.to_string());
        }
        command.env_remove("LB_INHERITED_FD").env_remove("LB_OPERATOR");
        if setup.operator_listener {
            command.env("LB_OPERATOR", "127.0.0.1:0");
        }
        if let Some((socket, folder)) = setup.inherited {
            command.env("LB_INHERITED_FD", "0").env("TMPDIR", folder);
            command.stdin(Stdio::from(OwnedFd::from(socket)));
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the gateway starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut read_address = |prefix: &str| -> SocketAddr {
            let mut line = String::new();
            log.read_line(&mut line).expect("a line");
            let address = line.trim().strip_prefix(prefix).unwrap_or_else(|| panic!("{line}"));
            address.parse().expect("an address")
        };
        let address = read_address("listening on ");
        let operator_address =
            if setup.operator_listener { read_address("operators' calls on ") } else { address };
        let (line, log_lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| drop(line.send(l))));
        Gateway { child, address, operator_address, config, log: log_lines }
    }

    /// Sends a call to the operators' listener and returns the answer.
    pub fn call(&self, start: &str, body: &str) -> Message {
        let text = format!("{start} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Client::connect(self.operator_address).ask(&text)
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&self, text: &str) {
        while !self
            .log
            .recv_timeout(LIMIT)
            .unwrap_or_else(|_| panic!("{text:?} was not logged"))
            .contains(text)
        {}
    }

    /// Returns the next log line, or `None` if none comes within `timeout`.
    pub fn next_log_line(&self, timeout: std::time::Duration) -> Option<String> {
        self.log.recv_timeout(timeout).ok()
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let new = config_file(text);
        std::fs::rename(new, &self.config).expect("the file is replaced");
        self.signal("-HUP");
    }

    /// Sends a signal, named as an option of `kill`.
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
