//! The settings file, whose path is given by the environment variable [`PATH_VARIABLE`] (`DEPLOY.md`, What a process
//! is told). Unknown fields are ignored.

#[cfg(test)]
mod tests;

use displaydoc::Display;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "GRANITETHREAD_BOOT";
const DEFAULT_PATH: &str = "/etc/granitethread/settings.toml";
const SCHEMA: &str = include_str!("../schema/settings.json");

/// The settings of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Identity of the process.
    #[serde(rename = "ownIdentity")]
    pub identity: Identity,
    /// Addresses and zones.
    #[serde(rename = "networkTerms")]
    pub network: Network,
    /// Properties of the platform.
    #[serde(default, rename = "platformTerms")]
    pub platform: Platform,
    /// Contractual bounds.
    #[serde(default, rename = "contractTerms")]
    pub contract: Contract,
}

/// The identity of a process and its machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Identity {
    /// Name of the machine.
    pub node_name: String,
    /// Address of the machine.
    pub ip_address: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Whether this is the first start of the whole system.
    #[serde(default)]
    pub initial_start: bool,
    /// Data directory on disk, if the machine has a disk.
    #[serde(default)]
    pub data_directory: Option<PathBuf>,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: ResourceLimits,
}

/// Resource limits of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResourceLimits {
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Number of file descriptors, for files and sockets together.
    pub max_file_descriptors: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { memory_mb: 256.0, max_file_descriptors: 1024 }
    }
}

/// Network addresses, ports and zones.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Network {
    /// First and last port of the range for internal use by the system.
    pub internal_port_range: (u16, u16),
    /// `controlPlane` addresses of machines that run a control node, or did so when the file was written.
    pub seed_nodes: Vec<SocketAddr>,
    /// Listen addresses of the process.
    pub listen_addresses: ListenAddresses,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Listen addresses of a process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListenAddresses {
    /// Address for client requests over HTTP/1.1.
    pub front_http1: Option<SocketAddr>,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Address for requests of backends and operators.
    pub control_plane: Option<SocketAddr>,
}

/// Properties of the platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Platform {
    /// Interval between two heartbeats of a backend, in milliseconds.
    pub heartbeat_interval_ms: f64,
}

impl Default for Platform {
    fn default() -> Self {
        Platform { heartbeat_interval_ms: 1500.0 }
    }
}

/// The contractual bounds of a process.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
#[serde(rename_all = "camelCase")]
pub struct Contract {
    /// The losses that the system tolerates at once.
    pub fault_tolerance: FaultTolerance,
    /// The bounds.
    pub bounds: Bounds,
}

/// The losses that the system tolerates at once with all rules kept.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Number of machines; `None` if the file does not state it.
    pub machine_losses: Option<f64>,
    /// Number of zones.
    pub zones: f64,
    /// Number of regions.
    pub region_losses: f64,
}

impl FaultTolerance {
    /// Returns the number of voters that tolerate these losses, if they are stated in machines alone.
    pub fn min_voters(&self) -> Option<usize> {
        let losses = self.machine_losses.filter(|_| self.zones == 0.0 && self.region_losses == 0.0)?;
        Some(2 * losses.ceil() as usize + 1)
    }
}

/// The bounds stated by the rules (`RULES.md`), as far as a process uses them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time for which a draining backend continues to serve requests, in milliseconds.
    pub drain_ms: f64,
    /// Retry budget: allowed retries as a ratio of the requests.
    pub retry_budget_ratio: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { grace_s: 6.0, drain_ms: 2500.0, retry_budget_ratio: 0.2 }
    }
}

/// The reason why a settings file is invalid, in one line. Underlying errors are kept as text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsError {
    /// {file}: {reason}
    Malformed {
        /// Name of the file.
        file: String,
        /// The error of the operating system or the parser.
        reason: String,
    },
    /// {file}: at {path}: {reason}
    Schema {
        /// Name of the file.
        file: String,
        /// JSON pointer to the invalid value.
        path: String,
        /// The schema violation.
        reason: String,
    },
}

impl std::error::Error for SettingsError {}

/// Returns the path of the settings file: the value of [`PATH_VARIABLE`], or the default.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

impl Settings {
    /// Loads a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or its content is invalid.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Malformed { file: file.clone(), reason: error.to_string() })?;
        Settings::parse(&file, &text)
    }

    /// Parses the text of a settings file with the given name.
    ///
    /// Text that deserializes is accepted as it is. The schema validates only text that does not, to locate the
    /// error: the schema library takes 7 MB, more than the rest of a gateway.
    ///
    /// # Errors
    /// The text is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        match toml::from_str::<Settings>(text) {
            Ok(settings) => Ok(settings),
            Err(error) => Settings::validate(file, text).and(Err(malformed(file, &error))),
        }
    }

    /// Validates the text of a settings file against the built-in schema and parses it. `file` is the file's name, for
    /// the error.
    ///
    /// # Errors
    /// The text is invalid.
    pub fn validate(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let value: Value = toml::from_str(text).map_err(|error| malformed(file, &error))?;
        let schema: Value = serde_json::from_str(SCHEMA).expect("the built-in schema is JSON");
        let options = jsonschema::draft7::options();
        let schema = options.build(&schema).expect("the built-in schema is valid");
        if let Err(error) = schema.validate(&value) {
            let (path, reason) = (error.instance_path.to_string(), error.to_string());
            return Err(SettingsError::Schema { file: file.into(), path, reason });
        }
        serde_json::from_value(value).map_err(|error| malformed(file, &error))
    }

    /// Returns the port on which control nodes listen for each other and for gateways; the same on all machines.
    pub fn control_port(&self) -> u16 {
        self.network.internal_port_range.0
    }

    /// Returns the port on which gateways relay other gateways to their control node, if the port range has room for
    /// it.
    pub fn relay_port(&self) -> Option<u16> {
        let (first, last) = self.network.internal_port_range;
        (first < last).then(|| first + 1)
    }

    /// Returns the port on which gateways probe each other, if the port range has room for it.
    pub fn membership_port(&self) -> Option<u16> {
        let (first, last) = self.network.internal_port_range;
        (last >= first.saturating_add(2)).then(|| first + 2)
    }

    /// Returns the addresses of the seed machines.
    pub fn seed_addresses(&self) -> Vec<IpAddr> {
        self.network.seed_nodes.iter().map(SocketAddr::ip).collect()
    }
}

/// Converts a parser's error to a one-line [`SettingsError`].
fn malformed(file: &str, error: &impl std::fmt::Display) -> SettingsError {
    let reason = error.to_string().trim_end().replace('\n', " ");
    SettingsError::Malformed { file: file.into(), reason }
}
