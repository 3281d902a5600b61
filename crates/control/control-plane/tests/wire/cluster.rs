//! Harness that runs control nodes as processes on loopback and makes the calls of operators and backends.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Time limit for each wait, long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(40);

/// Control nodes as processes; they are killed and their directory is removed on drop.
pub struct Cluster {
    directory: PathBuf,
    pub ips: Vec<String>,
    control_port: u16,
    pub internal_port: u16,
    processes: Vec<Option<Child>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Cluster {
    /// Starts `count` nodes on addresses and ports that are free.
    pub fn launch(count: usize) -> Cluster {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let subnet = 10 + (std::process::id() + 37 * NEXT.fetch_add(1, Relaxed)) % 80;
        let ips: Vec<String> = (1..=count).map(|n| format!("127.0.{subnet}.{n}")).collect();
        let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
        let ephemeral_port = || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().port();
        let control_port = std::iter::repeat_with(ephemeral_port).find(|p| is_free(*p)).unwrap();
        let internal_port = std::iter::repeat_with(ephemeral_port)
            .find(|p| *p < 65_000 && p.abs_diff(control_port) > 3 && (0..3).all(|n| is_free(p + n)))
            .unwrap();
        let directory = std::env::temp_dir().join(format!("prompter-orders-{}-{subnet}", std::process::id()));
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:{control_port}\"")).collect();
        for (n, ip) in ips.iter().enumerate() {
            let data_directory = directory.join(n.to_string());
            std::fs::create_dir_all(&data_directory).unwrap();
            let text = format!(
                "[ownIdentity]\nnodeName = \"core-{n}\"\nipAddress = \"{ip}\"\nzone = \"zone-{n}\"\n\
                 initialStart = true\ndataDirectory = {data_directory:?}\n[networkTerms]\n\
                 internalPortRange = [{internal_port}, {}]\nseedNodes = [{}]\n[networkTerms.listenAddresses]\n\
                 controlPlane = \"{ip}:{control_port}\"\n[platformTerms]\nheartbeatIntervalMs = 500\n",
                internal_port + 2,
                seeds.join(", ")
            );
            std::fs::write(directory.join(format!("{n}.toml")), text).unwrap();
        }
        let mut cluster = Cluster {
            directory,
            ips,
            control_port,
            internal_port,
            processes: (0..count).map(|_| None).collect(),
        };
        (0..count).for_each(|n| cluster.start(n));
        cluster
    }

    pub fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granitethread-control-plane"));
        command.env("GRANITETHREAD_BOOT", self.directory.join(format!("{n}.toml")));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        self.processes[n] = Some(command.spawn().unwrap());
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.processes[n].take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn address(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.ips[n], self.control_port).parse().unwrap()
    }

    /// Sends a configuration as operators do: follows two redirects, and retries at the next node after an inconclusive response.
    pub fn replace_configuration(&self, first: usize, body: &[u8]) -> u16 {
        let deadline = Instant::now() + TIMEOUT;
        let mut n = first;
        while Instant::now() < deadline {
            let mut address = self.address(n % self.ips.len());
            for _ in 0..3 {
                let Some(response) = post_configuration(address, body) else { break };
                match (response.status, &response.location) {
                    (307, Some(location)) => address = *location,
                    (503 | 408 | 429, _) => break,
                    (status, _) => return status,
                }
            }
            n += 1;
        }
        panic!("no conclusive response in {TIMEOUT:?}");
    }

    /// Returns the leader: the node that acknowledges an already acknowledged configuration again without a redirect.
    pub fn leader(&self, acknowledged: &[u8]) -> usize {
        let deadline = Instant::now() + TIMEOUT;
        let is_leader = |n: &usize| {
            post_configuration(self.address(*n), acknowledged).is_some_and(|response| response.status == 200)
        };
        while Instant::now() < deadline {
            if let Some(n) = (0..self.ips.len()).find(is_leader) {
                return n;
            }
        }
        panic!("no leader in {TIMEOUT:?}");
    }

    /// Sends a signal to a process.
    pub fn signal(&self, n: usize, name: &str) {
        let id = self.processes[n].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Reads the configuration from the first node that returns it.
    pub fn read_configuration(&self) -> Vec<u8> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            for n in 0..self.ips.len() {
                let response = call(self.address(n), "GET", "/-/Configuration.Read", &[]);
                if let Some(response) = response.filter(|response| response.status == 200) {
                    return response.body;
                }
            }
        }
        panic!("no configuration was read in {TIMEOUT:?}");
    }
}

pub struct Response {
    pub status: u16,
    pub retry_after: bool,
    location: Option<SocketAddr>,
    pub body: Vec<u8>,
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    // Callers switch to another node after a second without a response.
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    Some(stream)
}

pub fn request_head(method: &str, path: &str, length: usize) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n")
}

/// Reads until the connection closes; returns `None` if there is no complete head.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let end = all.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&all[..end]).to_ascii_lowercase();
    let field = |name: &str| text.lines().find_map(|l| l.strip_prefix(name).map(|v| v.trim().to_string()));
    let location = field("location:").and_then(|l| {
        l.strip_prefix("http://").and_then(|l| l.split('/').next()).and_then(|l| l.parse().ok())
    });
    Some(Response {
        status: text.split(' ').nth(1)?.parse().ok()?,
        retry_after: field("retry-after:").is_some(),
        location,
        body: all[end + 4..].to_vec(),
    })
}

/// Sends a call without reading its response.
pub fn send(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> TcpStream {
    let mut stream = connect(address).unwrap();
    stream.write_all(request_head(method, path, body.len()).as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    stream
}

pub fn call(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Response> {
    let mut stream = connect(address)?;
    stream.write_all(request_head(method, path, body.len()).as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_response(&mut stream)
}

pub fn post_configuration(address: SocketAddr, body: &[u8]) -> Option<Response> {
    call(address, "POST", "/-/Configuration.Replace", body)
}

/// Returns a configuration; `label` distinguishes two of the same version.
pub fn configuration(base: u32, version: u32, label: &str, routes: usize) -> Vec<u8> {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n}-{label}","host":"h{}.example","pathPrefix":"/p{n}/","routeKind":"safe","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"targetService":"s","maxAttempts":2,"public":false}}"#,
            n % 40
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"configVersion":"{version:08x}","routes":[{}],"services":[{{"name":"s"}}],"baseVersion":"{base:08x}"}}"#,
        routes.join(",")
    )
    .into_bytes()
}
