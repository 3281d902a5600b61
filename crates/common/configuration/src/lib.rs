//! The configuration: reading and checking it, and what it says of a request. No I/O.
//!
//! What an operator sends is read once, where it is agreed on ([`check`], with the schema of `schema/configuration.json`);
//! everybody else is handed the same bytes and reads them with [`Playbill::read`].
#![forbid(unsafe_code)]

#[cfg(feature = "check")]
mod check;
mod table;

#[cfg(feature = "check")]
pub use check::{check, Validator};
pub use table::{RouteTable, Target};

use displaydoc::Display;
use serde::{Deserialize, Deserializer};

/// A configuration's version: eight hexadecimal digits on the wire.
pub type Version = u32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// At most once.
    Unsafe,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WeightedTarget {
    pub target_service: String,
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub route_kind: RouteKind,
    /// The longest that a request is held; 0: no longer than its client waits.
    #[serde(default)]
    pub timeout_ms: f64,
    /// The time within which an answer earns its full worth.
    #[serde(default)]
    pub target_latency_ms: f64,
    /// 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The most backends that one try may be sent to.
    #[serde(default = "one")]
    pub max_attempts: u32,
    #[serde(default)]
    pub public: bool,
    #[serde(default)]
    pub target_service: Option<String>,
    #[serde(default)]
    pub weighted_targets: Vec<WeightedTarget>,
}

fn one() -> u32 {
    1
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    pub name: String,
    #[serde(default)]
    pub health_path: String,
    /// Over all callers together.
    #[serde(default)]
    pub max_connections: u32,
}

/// What clients are held to.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ClientLimits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_timeout_ms: f64,
    pub idle_timeout_ms: f64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 32 << 20,
            header_timeout_ms: 3000.0,
            idle_timeout_ms: 15_000.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    pub name: String,
    pub api_keys: Vec<String>,
    /// Before the route's, if stated.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Requests a second over all gateways; 0: no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    #[serde(default)]
    pub burst_size: f64,
    /// None: its limits are its own for good.
    #[serde(default)]
    pub trial: Option<Trial>,
}

/// Until when a tenant has its limits, and what it is slowed to then (`docs/operate/trials.md`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Trial {
    /// A time in UTC (RFC 3339).
    pub ends_at: String,
    /// Requests a second over all gateways.
    pub pace_per_s: f64,
    /// How long a request waits for its turn at the most.
    #[serde(default = "two_seconds")]
    pub wait_ms: f64,
}

fn two_seconds() -> f64 {
    2000.0
}

impl Trial {
    /// In Unix milliseconds; none if it is no time after 1970.
    pub fn ends_ms(&self) -> Option<u64> {
        let at = humantime::parse_rfc3339(&self.ends_at).ok()?;
        at.duration_since(std::time::UNIX_EPOCH).ok().map(|d| d.as_millis() as u64)
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    #[serde(deserialize_with = "version")]
    pub config_version: Version,
    /// What it builds on; 0 is before the first.
    #[serde(default, deserialize_with = "version")]
    pub base_version: Version,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    #[serde(default)]
    pub limits: ClientLimits,
    /// Without any, requests need no key.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

/// What is wrong with a configuration.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ConfigurationError {
    /// it cannot be read: {0}
    Malformed(String),
    /// at {0}: {1}
    Schema(String, String),
    /// route {0}: no service is named {1}
    UnknownService(String, String),
    /// route {0}: it names no service
    NoTarget(String),
    /// route {0}: all its targets have the weight 0
    NoWeight(String),
    /// routes {0} and {1} have the same host and prefix
    DuplicateRoute(String, String),
    /// tenants {0} and {1} have a key in common
    SharedKey(String, String),
    /// tenant {0}: {1:?} is no time like 2026-12-31T23:00:00Z
    InvalidTrialEnd(String, String),
    /// tenant {0}: its trial's pacePerS is more than its ratePerS
    PaceOverRate(String),
    /// tenant {0}: twice its trial's pacePerS over waitMs does not fit into its burstSize
    WaitOverBurst(String),
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Reads what was checked.
    ///
    /// # Errors
    /// [`Fault::Unread`], if it is none.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        serde_json::from_slice(body).map_err(|e| ConfigurationError::Malformed(e.to_string()))
    }
}

/// A version on the wire: hexadecimal digits, or a number.
fn version<'de, D: Deserializer<'de>>(from: D) -> Result<Version, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Word {
        Digits(String),
        Number(u32),
    }
    match Word::deserialize(from)? {
        Word::Number(n) => Ok(n),
        Word::Digits(text) => Version::from_str_radix(&text, 16).map_err(serde::de::Error::custom),
    }
}
