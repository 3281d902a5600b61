//! What a gateway is told at its start: the file that `LB_CONFIG` names.

use crate::admin::CALLERS;
use granitehub::{settings, Settings};
use proxy::list::List;
use serde::Deserialize;
use serde_json::Value;
use std::env;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Descriptors that are neither clients nor backends: standard streams, the event loop, signals, the
/// listener, discovery, and a few in passing between accept and close.
const RESERVED: usize = 40;

/// Bodies that wait have this part of the memory. Two processes of one gateway, each with a third, leave the rest
/// for themselves.
const BODY_PART: f64 = 3.0;

fn usual_memory() -> f64 {
    192.0
}

/// The gateway's own configuration file.
pub struct Config {
    pub listen: SocketAddr,
    /// The second address, for the operators; none, and nothing listens.
    pub operator: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub known: Option<List>,
    pub settings: Settings,
    /// Zone names; a zone's number is its place.
    pub zones: Vec<String>,
    pub connect_timeout: Duration,
    pub keepalive: Duration,
    /// The two halves of the descriptor budget.
    pub client_sockets: usize,
    pub backend_sockets: usize,
    /// Memory for what clients send.
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

/// The settings that only a gateway with real connections needs.
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

/// The environment's word on an address, by its variable's name.
type Word = fn(&str) -> Option<String>;

/// Reads the configuration file and the environment.
pub fn load() -> Result<Config, String> {
    load_with(|variable| env::var(variable).ok())
}

fn load_with(word: Word) -> Result<Config, String> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set: it names the configuration file")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    read(&text, word).map_err(|e| format!("{path}: {e}"))
}

/// The file anew, after SIGHUP: where discovery is from now on. Nothing else in it changes while the gateway
/// runs, yet a file that would not do for a start is refused whole.
pub fn reload() -> Result<SocketAddr, String> {
    load_with(|_| None).map(|config| config.discovery)
}

/// Whether a file would do for a start.
pub fn check(file: &Path) -> Result<(), String> {
    let name = file.display();
    let text = std::fs::read(file).map_err(|e| format!("{name}: {e}"))?;
    read(&text, |_| None).map(drop).map_err(|e| format!("{name}: {e}"))
}

fn read(text: &[u8], word: Word) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let settings = settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let extra = Extra::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let sockets = file.limits.sockets;
    if sockets < 2 * RESERVED {
        return Err(format!("limits: sockets is {sockets}: at least {} are wanted", 2 * RESERVED));
    }
    // A held request needs a client's connection for as long as it waits and a backend's only while an
    // attempt is out, and clients keep idle ones.
    let operator = match word("LB_OPERATOR").or(file.operator) {
        None => None,
        Some(text) => Some(address(None, "operator", text)?),
    };
    let reserved = RESERVED + operator.map_or(0, |_| CALLERS);
    let backend_sockets = (sockets - reserved) * 2 / 5;
    Ok(Config {
        listen: address(word("LB_LISTEN"), "listen", file.listen)?,
        discovery: address(word("LB_DISCOVERY"), "discovery", file.discovery)?,
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
        body_bytes: (file.limits.memory_mb.clamp(1.0, 65_536.0) * f64::from(1 << 20) / BODY_PART) as usize,
    })
}

/// At the start the environment's word goes before the file's.
fn address(word: Option<String>, key: &str, in_file: String) -> Result<SocketAddr, String> {
    let text = word.unwrap_or(in_file);
    text.parse().map_err(|_| format!("{key} is {text:?}: an address and port are wanted"))
}
