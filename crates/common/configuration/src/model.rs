//! The configuration as the operators' pages word it. Fields that are not known are ignored.

use crate::error::ConfigurationError;
use crate::Version;
use serde::{Deserialize, Deserializer};
use std::time::UNIX_EPOCH;

/// The configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    /// Its own version.
    #[serde(deserialize_with = "version")]
    pub config_version: Version,
    /// The version that it replaces; 0 before the first.
    #[serde(default, deserialize_with = "version")]
    pub base_version: Version,
    /// Which requests go to which services.
    pub routes: Vec<Route>,
    /// What backends are part of.
    pub services: Vec<Service>,
    /// What clients are held to.
    #[serde(default)]
    pub limits: ClientLimits,
    /// Without any, requests need no API key.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

/// Which requests go to which service, and on which terms.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The `Host` header that it takes requests of.
    pub host: String,
    /// The beginning of the paths that it takes requests of; the longest wins.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub route_kind: RouteKind,
    /// The longest that a request is held, in milliseconds; 0: no longer than its client waits.
    #[serde(default)]
    pub timeout_ms: f64,
    /// The time within which an answer earns its full worth, in milliseconds.
    #[serde(default)]
    pub target_latency_ms: f64,
    /// 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The most backends that one try of a client may be sent to.
    #[serde(default = "one_attempt")]
    pub max_attempts: u32,
    /// Requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// The service that takes all requests, if it is one.
    #[serde(default)]
    pub target_service: Option<String>,
    /// Else services with their weights.
    #[serde(default)]
    pub weighted_targets: Vec<WeightedTarget>,
}

/// Whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// They may.
    Safe,
    /// At most once.
    Unsafe,
}

/// One of a route's services.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WeightedTarget {
    /// The service's name.
    pub target_service: String,
    /// Its share of requests is its weight over the sum of all.
    pub weight: f64,
}

/// What backends are part of.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Where backends tell their health.
    #[serde(default)]
    pub health_path: String,
    /// Over all gateways together.
    #[serde(default)]
    pub max_connections: u32,
}

/// What clients are held to.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ClientLimits {
    /// Of a request's head.
    pub max_header_bytes: u64,
    /// Of a request's body.
    pub max_body_bytes: u64,
    /// How long a head may take to arrive, in milliseconds.
    pub header_timeout_ms: f64,
    /// How long a connection may be idle, in milliseconds.
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

/// Who sends requests, told by API keys.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Any of these identifies it.
    pub api_keys: Vec<String>,
    /// In place of the route's, if stated.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Requests a second over all gateways; 0: no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Requests that may be sent at once.
    #[serde(default)]
    pub burst_size: f64,
    /// None: its limits are its own for good.
    #[serde(default)]
    pub trial: Option<Trial>,
}

/// Until when a tenant has its limits, and what it is throttled to then (`docs/operate/trials.md`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Trial {
    /// A time in UTC (RFC 3339).
    pub ends_at: String,
    /// Requests a second over all gateways.
    pub pace_per_s: f64,
    /// How long a request waits for its turn at most, in milliseconds.
    #[serde(default = "two_seconds")]
    pub wait_ms: f64,
}

impl Trial {
    /// In Unix milliseconds; none if `ends_at` is no time after 1970.
    pub fn ends_ms(&self) -> Option<u64> {
        let ends_at = humantime::parse_rfc3339(&self.ends_at).ok()?;
        ends_at.duration_since(UNIX_EPOCH).ok().map(|since| since.as_millis() as u64)
    }
}

impl Configuration {
    /// Reads what was validated.
    ///
    /// # Errors
    /// [`ConfigurationError::Malformed`], if it is no configuration.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        serde_json::from_slice(body).map_err(|error| ConfigurationError::Malformed(error.to_string()))
    }
}

fn one_attempt() -> u32 {
    1
}

fn two_seconds() -> f64 {
    2000.0
}

/// A version on the wire: hexadecimal digits, or a number.
fn version<'de, D: Deserializer<'de>>(from: D) -> Result<Version, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum VersionForm {
        Digits(String),
        Number(u32),
    }
    match VersionForm::deserialize(from)? {
        VersionForm::Number(number) => Ok(number),
        VersionForm::Digits(text) => Version::from_str_radix(&text, 16).map_err(serde::de::Error::custom),
    }
}
