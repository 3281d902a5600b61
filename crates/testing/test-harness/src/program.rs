//! The real program as a child process.

use std::env;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// The example of a gateway's own file that stands in the repository.
pub const EXAMPLE: &str = include_str!("../../../../deploy/gateway.example.json");

/// Where the program stands: beside this one, built first when cargo started this one.
///
/// # Errors
/// One line, if it can't be built or is not there.
pub fn locate() -> Result<PathBuf, String> {
    let (program, build) = beside()?;
    // A test's programs were built with it.
    if let Some(mut build) = build {
        cargo(&mut build)?;
    }
    there(program)
}

/// The same program with planted defects, in a folder of its own so that it is never taken for the other.
///
/// # Errors
/// One line, if it can't be built: that takes cargo, or an earlier run that had it.
pub fn locate_with_defects() -> Result<PathBuf, String> {
    let (program, _) = beside()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let profile = folder.file_name().unwrap_or_default();
    let target = folder.parent().unwrap_or(folder).join("defects");
    if let Some(mut build) = build(profile == "release", &GATEWAY) {
        build.args(["--features", "defects", "--target-dir"]).arg(&target);
        cargo(&mut build)?;
    }
    there(target.join(profile).join("granitethread"))
}

fn there(program: PathBuf) -> Result<PathBuf, String> {
    if program.exists() {
        Ok(program)
    } else {
        Err(format!("{} is not there: cargo build --release builds it", program.display()))
    }
}

fn cargo(build: &mut Command) -> Result<(), String> {
    let status = build.status().map_err(|e| format!("cargo: {e}"))?;
    if status.success() {
        Ok(())
    } else {
        Err("the gateway could not be built".into())
    }
}

/// Where the whole system's programs stand, built first like the gateway's: the data plane's and the control plane's.
///
/// # Errors
/// One line, if they can't be built or are not there.
pub fn locate_system() -> Result<(PathBuf, PathBuf), String> {
    let (gateway, testing) = place()?;
    let folder = gateway.parent().unwrap_or(Path::new("."));
    let both = [folder.join("granitethread-data-plane"), folder.join("granitethread-control-plane")];
    let packages = &["--package", "data-plane", "--package", "control-plane"];
    if !testing || !both.iter().all(|p| p.exists()) {
        if let Some(mut build) = build(folder.ends_with("release"), packages) {
            cargo(&mut build)?;
        }
    }
    let [data_plane, control_plane] = both;
    Ok((there(data_plane)?, there(control_plane)?))
}

/// What builds it, if cargo started this program.
fn build(release: bool, packages: &[&str]) -> Option<Command> {
    let mut build = Command::new(env::var_os("CARGO")?);
    build.args(["build", "--quiet", "--locked"]).args(packages);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    if release {
        build.arg("--release");
    }
    Some(build)
}

/// What builds the gateway in service.
const GATEWAY: [&str; 4] = ["--package", "granitehub", "--bin", "granitethread"];

/// Where it stands, and whether a test asks.
fn place() -> Result<(PathBuf, bool), String> {
    let me = env::current_exe().map_err(|e| format!("where this program stands: {e}"))?;
    let mut folder = me.parent().unwrap_or(Path::new("."));
    let testing = folder.ends_with("deps");
    if testing {
        folder = folder.parent().unwrap_or(folder);
    }
    Ok((folder.join("granitethread"), testing))
}

/// Where it stands, and what builds it if that is wanted.
fn beside() -> Result<(PathBuf, Option<Command>), String> {
    let (program, testing) = place()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let build = build(folder.ends_with("release"), &GATEWAY).filter(|_| !testing || !program.exists());
    Ok((program, build))
}

/// What an upgrade in service hands to each process of one gateway.
pub struct Shared<'a> {
    pub socket: &'a TcpListener,
    pub folder: &'a Path,
}

/// A running gateway.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    /// Where it takes operators' calls, if it does.
    pub operators: Option<SocketAddr>,
    /// Lines of its log.
    pub log: Receiver<String>,
    config: PathBuf,
    command: Command,
}

impl Program {
    /// Starts one on a port of its own with this configuration and discovery.
    ///
    /// # Errors
    /// One line, if it does not come up.
    pub fn start(program: &Path, config: &str, discovery: SocketAddr) -> Result<Self, String> {
        Program::start_with_operator_file(program, config, discovery, None)
    }

    /// The same with an operators' file.
    ///
    /// # Errors
    /// One line, if it does not come up.
    pub fn start_with_operator_file(
        program: &Path,
        config: &str,
        discovery: SocketAddr,
        operator: Option<&Path>,
    ) -> Result<Self, String> {
        let (mut command, file) = command(program, config, discovery)?;
        if let Some(operator) = operator {
            command.env("GRANITETHREAD_OPERATOR", operator);
        }
        Program::from(command, file)
    }

    /// One that takes operators' calls too, on a port of its own, and may share its socket with another.
    ///
    /// # Errors
    /// One line, if it does not come up.
    pub fn start_with_operator_listener(
        program: &Path,
        config: &str,
        discovery: SocketAddr,
        shared: Option<&Shared<'_>>,
    ) -> Result<Self, String> {
        let (mut command, file) = command(program, config, discovery)?;
        command.env("LB_OPERATOR", "127.0.0.1:0");
        if let Some(shared) = shared {
            let socket = shared.socket.try_clone().map_err(|e| e.to_string())?;
            command.env("LB_INHERITED_FD", "0").env("TMPDIR", shared.folder);
            command.stdin(Stdio::from(OwnedFd::from(socket)));
        }
        Program::from(command, file)
    }

    /// One with an operators' file that takes operators' calls too; `defect` is for what was built with them.
    ///
    /// # Errors
    /// One line, if it does not come up.
    pub fn start_member(
        program: &Path,
        config: &str,
        discovery: SocketAddr,
        operator: &Path,
        defect: Option<&str>,
    ) -> Result<Self, String> {
        let (mut command, file) = command(program, config, discovery)?;
        command.env("LB_OPERATOR", "127.0.0.1:0").env("GRANITETHREAD_OPERATOR", operator);
        if let Some(defect) = defect {
            command.env("GRANITETHREAD_DEFECT", defect);
        }
        Program::from(command, file)
    }

    fn from(mut command: Command, config: PathBuf) -> Result<Self, String> {
        match spawn(&mut command) {
            Ok((child, address, operators, log)) => {
                Ok(Program { child, address, operators, log, config, command })
            }
            Err(what) => {
                let _ = std::fs::remove_file(&config);
                Err(what)
            }
        }
    }

    /// An operator's call: its status and body, if an answer came within a second.
    pub fn call(&self, start: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let text = format!("{start} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let mut client = crate::peers::Client::try_connect(self.operators?)?;
        client.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let answer = client.try_ask(&text)?;
        Some((answer.status(), answer.body))
    }

    /// Its open descriptors, and the most memory that it has had, in kB. None once it has ended.
    pub fn resource_usage(&self) -> Option<(usize, usize)> {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count();
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmHWM"))?;
        Some((open, line.split_whitespace().nth(1)?.parse().ok()?))
    }

    /// Kills it and starts another on the same address, with the same files.
    ///
    /// # Errors
    /// One line, if it does not come up.
    pub fn restart(&mut self) -> Result<(), String> {
        self.kill();
        self.command.env("LB_LISTEN", self.address.to_string());
        (self.child, self.address, self.operators, self.log) = spawn(&mut self.command)?;
        Ok(())
    }

    pub fn kill(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }

    /// Sends it a signal, by its name with a dash.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }

    /// Asks it to drain and waits until it has gone.
    ///
    /// # Errors
    /// One line, if it has not gone within `limit`.
    pub fn drain(&mut self, limit: Duration) -> Result<ExitStatus, String> {
        let id = self.child.id().to_string();
        let told = Command::new("kill").args(["-TERM", &id]).status();
        if !told.is_ok_and(|s| s.success()) {
            return Err("it could not be told to end".into());
        }
        let until = Instant::now() + limit;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Ok(status),
                Ok(None) if Instant::now() < until => thread::sleep(Duration::from_millis(10)),
                Ok(None) => return Err(format!("it had not ended {} s after SIGTERM", limit.as_secs())),
                Err(e) => return Err(e.to_string()),
            }
        }
    }
}

/// What starts it, with its configuration in a file of its own.
fn command(program: &Path, config: &str, discovery: SocketAddr) -> Result<(Command, PathBuf), String> {
    let number = crate::peers::NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("test-harness-{}-{number}.json", std::process::id());
    let file = env::temp_dir().join(name);
    std::fs::write(&file, config).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut command = Command::new(program);
    command
        .env("LB_CONFIG", &file)
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.to_string())
        .env_remove("GRANITETHREAD_OPERATOR")
        .env_remove("LB_OPERATOR")
        .env_remove("LB_INHERITED_FD")
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
    Ok((command, file))
}

type Started = (Child, SocketAddr, Option<SocketAddr>, Receiver<String>);

/// Starts it, and waits until it says where it listens.
fn spawn(command: &mut Command) -> Result<Started, String> {
    let operated = command.get_envs().any(|(name, value)| name == "LB_OPERATOR" && value.is_some());
    let mut child =
        command.spawn().map_err(|e| format!("{}: {e}", command.get_program().to_string_lossy()))?;
    let Some(stderr) = child.stderr.take() else { return Err("its log is lost".into()) };
    let mut lines = BufReader::new(stderr).lines();
    let mut told = |before: &str| -> Result<SocketAddr, String> {
        let line = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = line.strip_prefix(before).and_then(|a| a.parse().ok());
        address.ok_or_else(|| format!("it did not start: {line}"))
    };
    let address = told("listening on ");
    let operators = if operated { told("operators' calls on ").map(Some) } else { Ok(None) };
    let (address, operators) = match (address, operators) {
        (Ok(address), Ok(operators)) => (address, operators),
        (Err(what), _) | (_, Err(what)) => {
            let _ = (child.kill(), child.wait());
            return Err(what);
        }
    };
    let (line, log) = channel();
    thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(line.send(l))));
    Ok((child, address, operators, log))
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.config);
    }
}
