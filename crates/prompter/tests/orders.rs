//! Orders over real sockets: sent at once, sent again, cut short, too large, and to a prompter that has lost the others.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take here, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(40);

struct Core {
    folder: PathBuf,
    ips: Vec<String>,
    control: u16,
    programs: Vec<Option<Child>>,
}

impl Drop for Core {
    fn drop(&mut self) {
        (0..self.programs.len()).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Core {
    fn open(count: usize) -> Core {
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
        let mut core = Core { folder, ips, control, programs: (0..count).map(|_| None).collect() };
        (0..count).for_each(|n| core.start(n));
        core
    }

    fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_prompter"));
        command.env("GRANITETHREAD_BOOT", self.folder.join(format!("{n}.toml")));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        self.programs[n] = Some(command.spawn().unwrap());
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut program) = self.programs[n].take() {
            let _ = program.kill();
            let _ = program.wait();
        }
    }

    fn address(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.ips[n], self.control).parse().unwrap()
    }

    /// As operators do it: two redirects are followed, and whatever is unclear is sent again, to the next.
    fn order(&self, first: usize, body: &[u8]) -> u16 {
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

    fn read(&self) -> Vec<u8> {
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

struct Answer {
    status: u16,
    retry_after: bool,
    location: Option<SocketAddr>,
    body: Vec<u8>,
}

fn connect(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    Some(stream)
}

fn head(method: &str, path: &str, length: usize) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n")
}

fn answer(stream: &mut TcpStream) -> Option<Answer> {
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

fn call(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Answer> {
    let mut stream = connect(at)?;
    stream.write_all(head(method, path, body.len()).as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    answer(&mut stream)
}

fn post(at: SocketAddr, body: &[u8]) -> Option<Answer> {
    call(at, "POST", "/-/Configuration.Replace", body)
}

/// A configuration; `by` tells two of one number apart.
fn configuration(base: u32, version: u32, by: &str, routes: usize) -> Vec<u8> {
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

#[test]
fn one_of_eight_on_one_base_is_confirmed_and_what_was_taken_is_never_refused() {
    let core = Core::open(1);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(core.order(0, &first), 200);
    // Eight at once, two of them of one number; then each again, as after a lost answer.
    let orders: Vec<Vec<u8>> = (0..8).map(|n| configuration(3, 5 + n / 2, &format!("op{n}"), 3)).collect();
    let all_at_once = || -> Vec<u16> {
        thread::scope(|s| {
            let calls: Vec<_> = orders.iter().map(|o| s.spawn(|| core.order(0, o))).collect();
            calls.into_iter().map(|c| c.join().unwrap()).collect()
        })
    };
    let statuses = all_at_once();
    assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 1, "{statuses:?}");
    assert!(statuses.iter().all(|s| [200, 412].contains(s)), "{statuses:?}");
    assert_eq!(all_at_once(), statuses);
    let winner = &orders[statuses.iter().position(|s| *s == 200).unwrap()];
    assert_eq!(&core.read(), winner);
    assert_eq!(core.order(0, &first), 200, "also behind a later one");
    assert_eq!(core.order(0, &configuration(0, 3, "another", 3)), 412, "other bytes under its number");

    // The same one eight times at once, from callers that do not wait for the answer.
    let version = u32::from_str_radix(std::str::from_utf8(&winner[18..26]).unwrap(), 16).unwrap();
    let large = configuration(version, 90, "large", 3000);
    for _ in 0..8 {
        let mut stream = connect(core.address(0)).unwrap();
        stream.write_all(head("POST", "/-/Configuration.Replace", large.len()).as_bytes()).unwrap();
        stream.write_all(&large).unwrap();
    }
    assert_eq!(core.order(0, &large), 200);
    assert_eq!(core.read(), large);

    // Cut short: half of the body, and no more.
    let next = configuration(90, 91, "next", 3);
    let mut stream = connect(core.address(0)).unwrap();
    stream.write_all(head("POST", "/-/Configuration.Replace", next.len()).as_bytes()).unwrap();
    stream.write_all(&next[..next.len() / 2]).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert!(answer(&mut stream).is_none_or(|a| a.status == 400));
    // Whole as a body, and half a configuration.
    assert_eq!(core.order(0, &next[..next.len() / 2]), 400);
    // Too large, by what it says.
    let mut stream = connect(core.address(0)).unwrap();
    stream.write_all(head("POST", "/-/Configuration.Replace", 40 << 20).as_bytes()).unwrap();
    let piece = vec![b' '; 1 << 20];
    while stream.write_all(&piece).is_ok() {}
    // Its answer may be lost with the reset that ends what it still sends.
    assert!(answer(&mut stream).is_none_or(|a| a.status == 413));
    assert_eq!(core.read(), large, "nothing of all that is in force");
    assert_eq!(core.order(0, &next), 200);
}

#[test]
fn who_has_lost_the_others_says_neither_yes_nor_no_and_whose_answer_was_lost_hears_it_later() {
    let mut core = Core::open(3);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(core.order(0, &first), 200);
    core.kill(1);
    core.kill(2);
    // A second of silence sends callers on; what is said until then must be true.
    let beat = br#"{"address":"10.0.0.9:80","nodeInfo":{"targetService":"s"},"status":{"state":"ready","callSequence":1}}"#;
    let until = Instant::now() + PATIENCE;
    let mut ready = 200;
    while ready == 200 && Instant::now() < until {
        ready = call(core.address(0), "POST", "/-/Instances.Heartbeat/i-1", beat).map_or(0, |a| a.status);
    }
    assert_eq!(ready, 503, "a backend is sent on");
    let (taken, new) = (first.clone(), configuration(3, 5, "new", 3));
    for order in [&taken, &new, &configuration(9, 10, "stale", 3)] {
        let answer = post(core.address(0), order).unwrap();
        assert!(answer.status == 503 && answer.retry_after, "{} to {}", answer.status, order.len());
    }
    let read = call(core.address(0), "GET", "/-/Configuration.Read", &[]).unwrap();
    assert_eq!(read.status, 503, "nor is an old one read");
    let gone = call(core.address(0), "POST", "/-/Instances.Deregister/i-1", b"{}").unwrap();
    assert_eq!(gone.status, 503);
    // One comes back: the majority is whole again.
    core.start(2);
    assert_eq!(core.order(2, &new), 200);
    assert_eq!(core.order(0, &new), 200);
    assert_eq!(core.order(0, &taken), 200);
    assert_eq!(core.read(), new);
}
