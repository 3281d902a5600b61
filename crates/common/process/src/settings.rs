//! The settings file that the variable [`PATH_VARIABLE`] names (`DEPLOY.md`, What a process is told). Fields that are not
//! known are ignored.

#[cfg(test)]
mod tests;

use displaydoc::Display;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Names the file.
pub const PATH_VARIABLE: &str = "GRANITETHREAD_BOOT";
const DEFAULT_PATH: &str = "/etc/granitethread/settings.toml";
const SCHEMA: &str = include_str!("../schema/settings.json");

/// What a process is told.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Who it is.
    #[serde(rename = "ownIdentity")]
    pub identity: Identity,
    /// Where it and others are.
    #[serde(rename = "networkTerms")]
    pub network: Network,
    /// What the platform does.
    #[serde(default, rename = "platformTerms")]
    pub platform: Platform,
    /// What it is held to.
    #[serde(default, rename = "contractTerms")]
    pub contract: Contract,
}

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Identity {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip_address: IpAddr,
    /// The machine's zone.
    pub zone: String,
    /// This is the first start of the whole system.
    #[serde(default)]
    pub initial_start: bool,
    /// Where a disk is, if there is one.
    #[serde(default)]
    pub data_directory: Option<PathBuf>,
    /// What the process may use.
    #[serde(default)]
    pub limits: ResourceLimits,
}

/// What a process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResourceLimits {
    /// In megabytes.
    pub memory_mb: f64,
    /// Files and sockets.
    pub max_file_descriptors: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { memory_mb: 256.0, max_file_descriptors: 1024 }
    }
}

/// Where a process and others are.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Network {
    /// The first and the last port that is free for the system's own use.
    pub internal_port_range: (u16, u16),
    /// `controlPlane` addresses of machines that serve it, or served it when the file was written.
    pub seed_nodes: Vec<SocketAddr>,
    /// Where the process listens.
    pub listen_addresses: ListenAddresses,
    /// Regions by zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Where a process listens, by what it serves.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListenAddresses {
    /// Clients.
    pub front_http1: Option<SocketAddr>,
    /// Readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Backends and operators.
    pub control_plane: Option<SocketAddr>,
}

/// What the platform does.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Platform {
    /// Between two heartbeats of a backend, in milliseconds.
    pub heartbeat_interval_ms: f64,
}

impl Default for Platform {
    fn default() -> Self {
        Platform { heartbeat_interval_ms: 1500.0 }
    }
}

/// What a process is held to.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Contract {
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules (`RULES.md`) that a process uses.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    /// From SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// How long a draining backend serves on, in milliseconds.
    pub drain_ms: f64,
    /// Retries for each request.
    pub retry_budget_ratio: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { grace_s: 6.0, drain_ms: 2500.0, retry_budget_ratio: 0.2 }
    }
}

/// What is wrong with a settings file, in one line. Causes are kept as text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsError {
    /// {file}: {reason}
    Malformed {
        /// The file's name.
        file: String,
        /// What the system or the parser says.
        reason: String,
    },
    /// {file}: at {path}: {reason}
    Schema {
        /// The file's name.
        file: String,
        /// JSON pointer to the value.
        path: String,
        /// What the schema wants of it.
        reason: String,
    },
}

impl std::error::Error for SettingsError {}

/// The file's path: the variable's, or the default.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Malformed { file: file.clone(), reason: error.to_string() })?;
        Settings::parse(&file, &text)
    }

    /// Reads the text of a file of this name.
    ///
    /// What the types accept is taken as it is; only what they do not is validated by the schema, which says where the fault
    /// is: its library takes 7 MB, more than the rest of a gateway.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        match toml::from_str::<Settings>(text) {
            Ok(settings) => Ok(settings),
            Err(error) => Settings::validate(file, text).and(Err(malformed(file, &error))),
        }
    }

    /// Validates a file's text by the schema and reads it.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn validate(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let value: Value = toml::from_str(text).map_err(|error| malformed(file, &error))?;
        let schema: Value = serde_json::from_str(SCHEMA).expect("the built-in schema is JSON");
        let options = jsonschema::draft7::options();
        let schema = options.build(&schema).expect("the built-in schema is one");
        if let Err(error) = schema.validate(&value) {
            let (path, reason) = (error.instance_path.to_string(), error.to_string());
            return Err(SettingsError::Schema { file: file.into(), path, reason });
        }
        serde_json::from_value(value).map_err(|error| malformed(file, &error))
    }

    /// Where control nodes listen for each other and for gateways; the same on all machines.
    pub fn control_port(&self) -> u16 {
        self.network.internal_port_range.0
    }

    /// Where gateways relay others to their control node, if the range has room for it.
    pub fn relay_port(&self) -> Option<u16> {
        let (first, last) = self.network.internal_port_range;
        (first < last).then(|| first + 1)
    }

    /// Where gateways probe each other, if the range has room for it.
    pub fn membership_port(&self) -> Option<u16> {
        let (first, last) = self.network.internal_port_range;
        (last >= first.saturating_add(2)).then(|| first + 2)
    }

    /// The seeds' machines.
    pub fn seed_addresses(&self) -> Vec<IpAddr> {
        self.network.seed_nodes.iter().map(SocketAddr::ip).collect()
    }
}

/// A parser's error in one line.
fn malformed(file: &str, error: &impl std::fmt::Display) -> SettingsError {
    let reason = error.to_string().trim_end().replace('\n', " ");
    SettingsError::Malformed { file: file.into(), reason }
}
