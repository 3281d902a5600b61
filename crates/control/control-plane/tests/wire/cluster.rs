//! Control-plane node as processes on loopback, and calls as operators and backends make them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// How long anything may take here, on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(40);

pub struct Core {
    folder: PathBuf,
    pub ips: Vec<String>,
    control: u16,
    pub inner: u16,
    programs: Vec<Option<Child>>,
}

impl Drop for Core {
    fn drop(&mut self) {
        (0..self.programs.len()).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Core {
    pub fn open(count: usize) -> Core {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let net = 10 + (std::process::id() + 37 * NEXT.fetch_add(1, Relaxed)) % 80;
        let ips: Vec<String> = (1..=count).map(|n| format!("127.0.{net}.{n}")).collect();
        let free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
        let any = || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap().port();
        let control = std::iter::repeat_with(any).find(|p| free(*p)).unwrap();
        let inner = std::iter::repeat_with(any)
            .find(|p| *p < 65_000 && p.abs_diff(control) > 3 && (0..3).all(|n| free(p + n)))
            .unwrap();
        let folder = std::env::temp_dir().join(format!("prompter-orders-{}-{net}", std::process::id()));
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
        for (n, ip) in ips.iter().enumerate() {
            let data = folder.join(n.to_string());
            std::fs::create_dir_all(&data).unwrap();
            let text = format!(
                "[ownIdentity]\nnodeName = \"core-{n}\"\nipAddress = \"{ip}\"\nzone = \"zone-{n}\"\n\
                 initialStart = true\ndataDirectory = {data:?}\n[networkTerms]\n\
                 internalPortRange = [{inner}, {}]\nseedNodes = [{}]\n[networkTerms.listenAddresses]\n\
                 controlPlane = \"{ip}:{control}\"\n[platformTerms]\nheartbeatIntervalMs = 500\n",
                inner + 2,
                seeds.join(", ")
            );
            std::fs::write(folder.join(format!("{n}.toml")), text).unwrap();
        }
        let mut core = Core { folder, ips, control, inner, programs: (0..count).map(|_| None).collect() };
        (0..count).for_each(|n| core.start(n));
        core
    }

    pub fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granitethread-control-plane"));
        command.env("GRANITETHREAD_BOOT", self.folder.join(format!("{n}.toml")));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        self.programs[n] = Some(command.spawn().unwrap());
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut program) = self.programs[n].take() {
            let _ = program.kill();
            let _ = program.wait();
        }
    }

    pub fn address(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.ips[n], self.control).parse().unwrap()
    }

    /// As operators do it: two redirects are followed, and whatever is unclear is sent again, to the next.
    pub fn order(&self, first: usize, body: &[u8]) -> u16 {
        let until = Instant::now() + PATIENCE;
        let mut n = first;
        while Instant::now() < until {
            let mut at = self.address(n % self.ips.len());
            for _ in 0..3 {
                let Some(answer) = post(at, body) else { break };
                match (answer.status, &answer.location) {
                    (307, Some(location)) => at = *location,
                    (503 | 408 | 429, _) => break,
                    (status, _) => return status,
                }
            }
            n += 1;
        }
        panic!("no clear answer in {PATIENCE:?}");
    }

    /// Who leads: whoever acknowledges again what was taken, and sends nobody on.
    pub fn leader(&self, taken: &[u8]) -> usize {
        let until = Instant::now() + PATIENCE;
        let leads = |n: &usize| post(self.address(*n), taken).is_some_and(|a| a.status == 200);
        while Instant::now() < until {
            if let Some(n) = (0..self.ips.len()).find(leads) {
                return n;
            }
        }
        panic!("nobody leads for {PATIENCE:?}");
    }

    /// Stops a process, or has it go on.
    pub fn signal(&self, n: usize, name: &str) {
        let id = self.programs[n].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    pub fn read(&self) -> Vec<u8> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            for n in 0..self.ips.len() {
                let answer = call(self.address(n), "GET", "/-/Configuration.Read", &[]);
                if let Some(answer) = answer.filter(|a| a.status == 200) {
                    return answer.body;
                }
            }
        }
        panic!("nothing was read in {PATIENCE:?}");
    }
}

pub struct Answer {
    pub status: u16,
    pub retry_after: bool,
    location: Option<SocketAddr>,
    pub body: Vec<u8>,
}

pub fn connect(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    // A caller goes elsewhere after a second of silence.
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    Some(stream)
}

pub fn head(method: &str, path: &str, length: usize) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n")
}

pub fn answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let end = all.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&all[..end]).to_ascii_lowercase();
    let field = |name: &str| text.lines().find_map(|l| l.strip_prefix(name).map(|v| v.trim().to_string()));
    let location = field("location:").and_then(|l| {
        l.strip_prefix("http://").and_then(|l| l.split('/').next()).and_then(|l| l.parse().ok())
    });
    Some(Answer {
        status: text.split(' ').nth(1)?.parse().ok()?,
        retry_after: field("retry-after:").is_some(),
        location,
        body: all[end + 4..].to_vec(),
    })
}

/// Sends a call, whose answer is read later.
pub fn send(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> TcpStream {
    let mut stream = connect(at).unwrap();
    stream.write_all(head(method, path, body.len()).as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    stream
}

pub fn call(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Answer> {
    let mut stream = connect(at)?;
    stream.write_all(head(method, path, body.len()).as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    answer(&mut stream)
}

pub fn post(at: SocketAddr, body: &[u8]) -> Option<Answer> {
    call(at, "POST", "/-/Configuration.Replace", body)
}

/// A configuration; `by` tells two of one number apart.
pub fn configuration(base: u32, version: u32, by: &str, routes: usize) -> Vec<u8> {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n}-{by}","host":"h{}.example","pathPrefix":"/p{n}/","routeKind":"safe","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"targetService":"s","maxAttempts":2,"public":false}}"#,
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
