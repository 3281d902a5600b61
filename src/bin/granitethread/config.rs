//! The gateway's configuration: the file that `LB_CONFIG` names, and overrides from the environment.

use crate::admin::MAX_CALLERS;
use granitehub::{settings, Settings};
use proxy::list::List;
use serde::Deserialize;
use serde_json::Value;
use std::env;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// File descriptors that serve neither clients nor backends: standard streams, the event loop, signals, the listener,
/// discovery, and a few that are between accept and close.
const RESERVED_DESCRIPTORS: usize = 40;

/// Waiting bodies may use one part in this many of the memory. With a third for each of two processes of one gateway, a
/// third remains for the processes themselves.
const BODY_MEMORY_DIVISOR: f64 = 3.0;

fn usual_memory() -> f64 {
    192.0
}

/// The gateway's configuration.
pub struct Config {
    pub listen: SocketAddr,
    /// Address of the admin interface; if none, it is off.
    pub operator: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub known: Option<List>,
    pub settings: Settings,
    /// Zone names; a zone's number is its index.
    pub zones: Vec<String>,
    pub connect_timeout: Duration,
    pub keepalive: Duration,
    /// The descriptor budget, divided between clients and backends.
    pub client_sockets: usize,
    pub backend_sockets: usize,
    /// Memory limit for request bodies.
    pub body_bytes: usize,
}

#[derive(Deserialize)]
struct File {
    listen: String,
    discovery: String,
    #[serde(default)]
    operator: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<List>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "usual_memory")]
    memory_mb: f64,
}

/// Settings that only a gateway with real connections needs.
#[derive(Deserialize)]
struct Extra {
    #[serde(default)]
    dcs: Vec<String>,
    limits: ConnectionLimits,
}

#[derive(Deserialize)]
struct ConnectionLimits {
    connect_timeout: u64,
    keepalive: u64,
}

/// Returns the address that an environment variable sets.
type Lookup = fn(&str) -> Option<String>;

/// Loads the configuration file and the overrides from the environment.
pub fn load() -> Result<Config, String> {
    load_with(|variable| env::var(variable).ok())
}

fn load_with(lookup: Lookup) -> Result<Config, String> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set: it names the configuration file")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    read(&text, lookup).map_err(|e| format!("{path}: {e}"))
}

/// Reloads the file after SIGHUP and returns the address of discovery, the only setting that can change while the gateway
/// runs. A file that would not be valid at a start is rejected as a whole.
pub fn reload() -> Result<SocketAddr, String> {
    load_with(|_| None).map(|config| config.discovery)
}

/// Checks whether a file is a valid configuration.
pub fn check(file: &Path) -> Result<(), String> {
    let name = file.display();
    let text = std::fs::read(file).map_err(|e| format!("{name}: {e}"))?;
    read(&text, |_| None).map(drop).map_err(|e| format!("{name}: {e}"))
}

fn read(text: &[u8], lookup: Lookup) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let settings = settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let extra = Extra::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let sockets = file.limits.sockets;
    if sockets < 2 * RESERVED_DESCRIPTORS {
        return Err(format!(
            "limits: sockets is {sockets}: at least {} are wanted",
            2 * RESERVED_DESCRIPTORS
        ));
    }
    // Clients get the larger part: a pending request needs its client connection for as long as it waits and a backend
    // connection only during an attempt, and clients keep idle connections.
    let operator = match lookup("LB_OPERATOR").or(file.operator) {
        None => None,
        Some(text) => Some(address(None, "operator", text)?),
    };
    let reserved = RESERVED_DESCRIPTORS + operator.map_or(0, |_| MAX_CALLERS);
    let backend_sockets = (sockets - reserved) * 2 / 5;
    Ok(Config {
        listen: address(lookup("LB_LISTEN"), "listen", file.listen)?,
        discovery: address(lookup("LB_DISCOVERY"), "discovery", file.discovery)?,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed is {:?}: up to 16 hex digits are wanted", file.seed))?,
        known: file.known,
        settings,
        zones: extra.dcs,
        connect_timeout: Duration::from_nanos(extra.limits.connect_timeout),
        keepalive: Duration::from_nanos(extra.limits.keepalive),
        client_sockets: sockets - reserved - backend_sockets,
        operator,
        backend_sockets,
        body_bytes: (file.limits.memory_mb.clamp(1.0, 65_536.0) * f64::from(1 << 20) / BODY_MEMORY_DIVISOR)
            as usize,
    })
}

/// Parses an address. At the start the environment takes precedence over the file.
fn address(from_environment: Option<String>, key: &str, from_file: String) -> Result<SocketAddr, String> {
    let text = from_environment.unwrap_or(from_file);
    text.parse().map_err(|_| format!("{key} is {text:?}: an address and port are wanted"))
}
