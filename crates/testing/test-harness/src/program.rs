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

/// Example of a gateway's configuration file, from the repository.
pub const EXAMPLE: &str = include_str!("../../../../deploy/gateway.example.json");

/// Returns the path of the gateway's program, in the folder of this program. Builds it first if cargo started this
/// program.
///
/// # Errors
/// The program cannot be built or does not exist. The message is one line.
pub fn locate() -> Result<PathBuf, String> {
    let (program, build) = program_and_build()?;
    // Cargo has already built the programs that a test needs.
    if let Some(mut build) = build {
        run_cargo(&mut build)?;
    }
    require_existing(program)
}

/// Returns the path of the gateway's program with planted defects. It has its own target folder, so that it cannot be
/// mistaken for the program without defects.
///
/// # Errors
/// The program cannot be built, or this program was not started by cargo and no earlier run has built it. The message
/// is one line.
pub fn locate_with_defects() -> Result<PathBuf, String> {
    let (program, _) = program_and_build()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let profile = folder.file_name().unwrap_or_default();
    let target = folder.parent().unwrap_or(folder).join("defects");
    if let Some(mut build) = build(profile == "release", &GATEWAY_BUILD_ARGUMENTS) {
        build.args(["--features", "defects", "--target-dir"]).arg(&target);
        run_cargo(&mut build)?;
    }
    require_existing(target.join(profile).join("granitethread"))
}

fn require_existing(program: PathBuf) -> Result<PathBuf, String> {
    if program.exists() {
        Ok(program)
    } else {
        Err(format!("{} does not exist: build it with cargo build --release", program.display()))
    }
}

fn run_cargo(build: &mut Command) -> Result<(), String> {
    let status = build.status().map_err(|e| format!("cargo: {e}"))?;
    if status.success() {
        Ok(())
    } else {
        Err("the gateway could not be built".into())
    }
}

/// Returns the paths of the data plane's and the control plane's program. Builds them first, like the gateway's.
///
/// # Errors
/// The programs cannot be built or do not exist. The message is one line.
pub fn locate_system() -> Result<(PathBuf, PathBuf), String> {
    let (gateway, is_test) = program_path()?;
    let folder = gateway.parent().unwrap_or(Path::new("."));
    let programs = [folder.join("granitethread-data-plane"), folder.join("granitethread-control-plane")];
    let packages = &["--package", "data-plane", "--package", "control-plane"];
    if !is_test || !programs.iter().all(|p| p.exists()) {
        if let Some(mut build) = build(folder.ends_with("release"), packages) {
            run_cargo(&mut build)?;
        }
    }
    let [data_plane, control_plane] = programs;
    Ok((require_existing(data_plane)?, require_existing(control_plane)?))
}

/// Returns the command that builds these packages, if cargo started this program.
fn build(release: bool, packages: &[&str]) -> Option<Command> {
    let mut build = Command::new(env::var_os("CARGO")?);
    build.args(["build", "--quiet", "--locked"]).args(packages);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    if release {
        build.arg("--release");
    }
    Some(build)
}

/// Cargo's arguments for the gateway's program.
const GATEWAY_BUILD_ARGUMENTS: [&str; 4] = ["--package", "granitehub", "--bin", "granitethread"];

/// Returns the path of the gateway's program, and whether the caller is a test.
fn program_path() -> Result<(PathBuf, bool), String> {
    let current_program = env::current_exe().map_err(|e| format!("the path of this program: {e}"))?;
    let mut folder = current_program.parent().unwrap_or(Path::new("."));
    let is_test = folder.ends_with("deps");
    if is_test {
        folder = folder.parent().unwrap_or(folder);
    }
    Ok((folder.join("granitethread"), is_test))
}

/// Returns the path of the gateway's program, and the command that builds it if it has to be built.
fn program_and_build() -> Result<(PathBuf, Option<Command>), String> {
    let (program, is_test) = program_path()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let build = build(folder.ends_with("release"), &GATEWAY_BUILD_ARGUMENTS)
        .filter(|_| !is_test || !program.exists());
    Ok((program, build))
}

/// Listening socket and folder that the processes of one gateway share during an upgrade.
pub struct SharedListener<'a> {
    pub socket: &'a TcpListener,
    pub folder: &'a Path,
}

/// A running gateway.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    /// Address of its operator listener, if it has one.
    pub operators: Option<SocketAddr>,
    /// Lines of its log.
    pub log: Receiver<String>,
    config: PathBuf,
    command: Command,
}

impl Program {
    /// Starts a gateway on its own port with this configuration and discovery.
    ///
    /// # Errors
    /// It does not start. The message is one line.
    pub fn start(program: &Path, config: &str, discovery: SocketAddr) -> Result<Self, String> {
        Program::start_with_operator_file(program, config, discovery, None)
    }

    /// Starts a gateway that also reads an operator's file.
    ///
    /// # Errors
    /// It does not start. The message is one line.
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
        Program::spawn_from(command, file)
    }

    /// Starts a gateway with an operator listener on its own port, which may share its listening socket with another
    /// process.
    ///
    /// # Errors
    /// It does not start. The message is one line.
    pub fn start_with_operator_listener(
        program: &Path,
        config: &str,
        discovery: SocketAddr,
        shared: Option<&SharedListener<'_>>,
    ) -> Result<Self, String> {
        let (mut command, file) = command(program, config, discovery)?;
        command.env("LB_OPERATOR", "127.0.0.1:0");
        if let Some(shared) = shared {
            let socket = shared.socket.try_clone().map_err(|e| e.to_string())?;
            command.env("LB_INHERITED_FD", "0").env("TMPDIR", shared.folder);
            command.stdin(Stdio::from(OwnedFd::from(socket)));
        }
        Program::spawn_from(command, file)
    }

    /// Starts a gateway with an operator's file and an operator listener. `defect` needs a program that was built
    /// with planted defects.
    ///
    /// # Errors
    /// It does not start. The message is one line.
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
        Program::spawn_from(command, file)
    }

    fn spawn_from(mut command: Command, config: PathBuf) -> Result<Self, String> {
        match spawn(&mut command) {
            Ok((child, address, operators, log)) => {
                Ok(Program { child, address, operators, log, config, command })
            }
            Err(error) => {
                let _ = std::fs::remove_file(&config);
                Err(error)
            }
        }
    }

    /// Sends a request to the operator listener. Returns the status and body of the response, if it arrives within 1
    /// s.
    pub fn call(&self, start: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let text = format!("{start} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let mut client = crate::peers::Client::try_connect(self.operators?)?;
        client.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let answer = client.try_ask(&text)?;
        Some((answer.status(), answer.body))
    }

    /// Returns its number of open descriptors and its peak resident memory in kB, or `None` once it has ended.
    pub fn resource_usage(&self) -> Option<(usize, usize)> {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count();
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmHWM"))?;
        Some((open, line.split_whitespace().nth(1)?.parse().ok()?))
    }

    /// Kills the process and starts another on the same address, with the same files.
    ///
    /// # Errors
    /// It does not start. The message is one line.
    pub fn restart(&mut self) -> Result<(), String> {
        self.kill();
        self.command.env("LB_LISTEN", self.address.to_string());
        (self.child, self.address, self.operators, self.log) = spawn(&mut self.command)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }

    /// Sends a signal, given as an option of `kill`, such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }

    /// Sends SIGTERM, which starts the drain, and waits for the end of the process.
    ///
    /// # Errors
    /// It has not ended within `limit`. The message is one line.
    pub fn drain(&mut self, limit: Duration) -> Result<ExitStatus, String> {
        let id = self.child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &id]).status();
        if !signalled.is_ok_and(|s| s.success()) {
            return Err("SIGTERM could not be sent".into());
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

/// Returns the command that starts a gateway, and the file to which its configuration was written.
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

type SpawnedProgram = (Child, SocketAddr, Option<SocketAddr>, Receiver<String>);

/// Starts the process, and waits until it logs its addresses.
fn spawn(command: &mut Command) -> Result<SpawnedProgram, String> {
    let has_operator_listener =
        command.get_envs().any(|(name, value)| name == "LB_OPERATOR" && value.is_some());
    let mut child =
        command.spawn().map_err(|e| format!("{}: {e}", command.get_program().to_string_lossy()))?;
    let Some(stderr) = child.stderr.take() else { return Err("its standard error is not piped".into()) };
    let mut lines = BufReader::new(stderr).lines();
    let mut read_address = |before: &str| -> Result<SocketAddr, String> {
        let line = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = line.strip_prefix(before).and_then(|a| a.parse().ok());
        address.ok_or_else(|| format!("it did not start: {line}"))
    };
    let address = read_address("listening on ");
    let operators =
        if has_operator_listener { read_address("operators' calls on ").map(Some) } else { Ok(None) };
    let (address, operators) = match (address, operators) {
        (Ok(address), Ok(operators)) => (address, operators),
        (Err(error), _) | (_, Err(error)) => {
            let _ = (child.kill(), child.wait());
            return Err(error);
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
