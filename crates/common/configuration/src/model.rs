//! The data model of a configuration, with the field names of the operator documentation. Unknown fields are ignored.

use crate::error::ConfigurationError;
use crate::Version;
use serde::{Deserialize, Deserializer};
use std::time::UNIX_EPOCH;

/// A gateway configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    /// Version of this configuration.
    #[serde(deserialize_with = "version")]
    pub config_version: Version,
    /// Version that this configuration replaces; 0 for the first one.
    #[serde(default, deserialize_with = "version")]
    pub base_version: Version,
    /// Routes, which map requests to services.
    pub routes: Vec<Route>,
    /// Services, which group backends.
    pub services: Vec<Service>,
    /// Limits on client connections and requests.
    #[serde(default)]
    pub limits: ClientLimits,
    /// Tenants. If the list is empty, requests need no API key.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

/// A mapping from host and path prefix to a service, with the limits and the priority of its requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The `Host` header that the route matches.
    pub host: String,
    /// The path prefix that the route matches; the longest matching prefix wins.
    pub path_prefix: String,
    /// Whether its requests may be executed more than once.
    pub route_kind: RouteKind,
    /// Time limit of a request in milliseconds; 0: the route sets no limit of its own.
    #[serde(default)]
    pub timeout_ms: f64,
    /// The latency in milliseconds up to which a response has its full value.
    #[serde(default)]
    pub target_latency_ms: f64,
    /// Priority of its requests; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Maximum number of backends that one client attempt may be sent to.
    #[serde(default = "one_attempt")]
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub public: bool,
    /// The service that receives all requests. If absent, `weighted_targets` applies.
    #[serde(default)]
    pub target_service: Option<String>,
    /// Services among which requests are split by weight, if there is no `target_service`.
    #[serde(default)]
    pub weighted_targets: Vec<WeightedTarget>,
}

/// Whether a route's requests may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Requests may be executed more than once.
    Safe,
    /// Requests must be executed at most once.
    Unsafe,
}

/// One weighted target service of a route.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WeightedTarget {
    /// Name of the service.
    pub target_service: String,
    /// Weight of the service. Its share of the requests is this weight divided by the sum of all weights.
    pub weight: f64,
}

/// A service: a named group of backends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the backends' health check.
    #[serde(default)]
    pub health_path: String,
    /// Maximum number of connections over all gateways together.
    #[serde(default)]
    pub max_connections: u32,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Time limit for receiving a request head, in milliseconds.
    pub header_timeout_ms: f64,
    /// Idle timeout of a client connection, in milliseconds.
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

/// A sender of requests, identified by its API keys.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// API keys, each of which identifies the tenant.
    pub api_keys: Vec<String>,
    /// Priority of the tenant's requests, which overrides the route's priority if set.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Rate limit in requests per second over all gateways; 0: no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Number of requests that may be sent in a burst.
    #[serde(default)]
    pub burst_size: f64,
    /// The trial period. If absent, the tenant's limits do not expire.
    #[serde(default)]
    pub trial: Option<Trial>,
}

/// A trial period: its end, and the throttling that follows (`docs/operate/trials.md`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Trial {
    /// End of the trial: a UTC time in RFC 3339 format.
    pub ends_at: String,
    /// Throttled rate after the trial, in requests per second over all gateways.
    pub pace_per_s: f64,
    /// Maximum time that a throttled request waits in the queue, in milliseconds.
    #[serde(default = "two_seconds")]
    pub wait_ms: f64,
}

impl Trial {
    /// Returns the end of the trial in Unix milliseconds, or `None` if `ends_at` is not a valid time since 1970.
    pub fn ends_ms(&self) -> Option<u64> {
        let ends_at = humantime::parse_rfc3339(&self.ends_at).ok()?;
        ends_at.duration_since(UNIX_EPOCH).ok().map(|since_epoch| since_epoch.as_millis() as u64)
    }
}

impl Configuration {
    /// Parses a configuration that was validated before.
    ///
    /// # Errors
    /// [`ConfigurationError::Malformed`] if the bytes are not a configuration.
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

/// Deserializes a version from its wire formats: a string of hexadecimal digits, or a number.
fn version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum VersionFormat {
        Digits(String),
        Number(u32),
    }
    match VersionFormat::deserialize(deserializer)? {
        VersionFormat::Number(number) => Ok(number),
        VersionFormat::Digits(text) => Version::from_str_radix(&text, 16).map_err(serde::de::Error::custom),
    }
}
