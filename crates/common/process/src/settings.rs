//! The settings file that the variable [`VARIABLE`] names.

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
#[serde(rename_all = "camelCase")]
pub struct Settings {
    #[serde(rename = "ownIdentity")]
    pub identity: Identity,
    #[serde(rename = "networkTerms")]
    pub network: Network,
    #[serde(default, rename = "platformTerms")]
    pub platform: Platform,
    #[serde(default, rename = "contractTerms")]
    pub contract: Contract,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Identity {
    pub node_name: String,
    pub ip_address: IpAddr,
    pub zone: String,
    /// Only at the first start of the whole system.
    #[serde(default)]
    pub initial_start: bool,
    /// Where a disk is.
    #[serde(default)]
    pub data_directory: Option<PathBuf>,
    #[serde(default)]
    pub limits: ResourceLimits,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResourceLimits {
    pub memory_mb: f64,
    pub max_file_descriptors: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { memory_mb: 256.0, max_file_descriptors: 1024 }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Network {
    /// The first and the last.
    pub internal_port_range: (u16, u16),
    /// `controlPlane` addresses of machines that serve it, or served it when the file was written.
    pub seed_nodes: Vec<SocketAddr>,
    pub listen_addresses: ListenAddresses,
    /// Regions by zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListenAddresses {
    pub front_http1: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control_plane: Option<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Platform {
    pub heartbeat_interval_ms: f64,
}

impl Default for Platform {
    fn default() -> Self {
        Platform { heartbeat_interval_ms: 1500.0 }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Contract {
    pub bounds: Bounds,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    /// From SIGTERM to SIGKILL.
    pub grace_s: f64,
    pub drain_ms: f64,
    /// Further tries for each request.
    pub retry_budget_ratio: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { grace_s: 6.0, drain_ms: 2500.0, retry_budget_ratio: 0.2 }
    }
}

/// What is wrong with a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsError {
    /// {0}: {1}
    Malformed(String, String),
    /// {0}: at {1}: {2}
    Schema(String, String, String),
}

impl std::error::Error for SettingsError {}

/// The file's path: the variable's, or the usual one.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

impl Settings {
    /// Reads a file and checks it against its schema.
    ///
    /// # Errors
    /// What is wrong with it, in one line.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Malformed(name.clone(), e.to_string()))?;
        Settings::parse(&name, &text)
    }

    /// Reads the text of a file of this name. What the types accept is taken as it is; only what they do not is held
    /// against the schema, which says where the fault is: the schema's library takes 7 MB, more than the rest of a gateway.
    ///
    /// # Errors
    /// What is wrong with it, in one line.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let unread = |e: String| SettingsError::Malformed(name.into(), e.trim_end().replace('\n', " "));
        match toml::from_str::<Settings>(text) {
            Ok(settings) => Ok(settings),
            Err(e) => Settings::validate(name, text).and(Err(unread(e.to_string()))),
        }
    }

    /// Holds a file's text against the schema and reads it.
    ///
    /// # Errors
    /// What is wrong with it, in one line.
    pub fn validate(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let unread = |e: String| SettingsError::Malformed(name.into(), e.trim_end().replace('\n', " "));
        let value: Value = toml::from_str(text).map_err(|e| unread(e.to_string()))?;
        let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
        let options = jsonschema::draft7::options();
        let schema = options.build(&schema).expect("the schema is one");
        if let Err(e) = schema.validate(&value) {
            let place = e.instance_path.to_string();
            return Err(SettingsError::Schema(name.into(), place, e.to_string()));
        }
        serde_json::from_value(value).map_err(|e| unread(e.to_string()))
    }

    /// Where prompters hear each other and their gateways; the same on all machines.
    pub fn control_port(&self) -> u16 {
        self.network.internal_port_range.0
    }

    /// Where gateways let others through to their prompter, if the range has room for it.
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

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"
        [ownIdentity]
        nodeName = "edge-1"
        ipAddress = "10.1.0.5"
        zone = "a"
        initialStart = true
        later = 1
        [ownIdentity.limits]
        memoryMb = 260
        maxFileDescriptors = 4100
        [networkTerms]
        internalPortRange = [7660, 7675]
        seedNodes = ["10.1.0.5:8407", "10.2.0.3:8407"]
        [networkTerms.listenAddresses]
        controlPlane = "10.1.0.5:8407"
        [contractTerms.bounds]
        graceS = 6
        quotaOvershoot = 0.1
        [new]
        x = []
    "#;

    #[test]
    fn unknown_settings_are_ignored_and_defaults_apply() {
        let s = Settings::parse("f", TEXT).unwrap();
        assert_eq!((s.control_port(), s.seed_addresses().len(), s.identity.initial_start), (7660, 2, true));
        assert_eq!((s.identity.data_directory, s.contract.bounds.drain_ms), (None, 2500.0));
    }

    #[test]
    fn invalid_setting_is_reported_in_one_line_with_its_path() {
        let line =
            |from: &str, to: &str| Settings::parse("f", &TEXT.replace(from, to)).unwrap_err().to_string();
        assert!(line("zone = \"a\"", "").starts_with("f: at /ownIdentity: "));
        assert!(line("[7660, 7675]", "[7660]").starts_with("f: at /networkTerms/internalPortRange: "));
        assert!(line("10.2.0.3:8407", "nowhere").starts_with("f: "));
        let negative = TEXT.replace("graceS = 6", "graceS = -6");
        assert!(Settings::validate("f", &negative)
            .unwrap_err()
            .to_string()
            .starts_with("f: at /contractTerms/bounds/graceS"));
        assert_eq!(Settings::validate("f", TEXT), Settings::parse("f", TEXT));
        for line in [line("zone = \"a\"", "zone ="), line("graceS = 6", "graceS = \"x\"")] {
            assert!(!line.contains('\n'), "{line:?}");
        }
    }
}
