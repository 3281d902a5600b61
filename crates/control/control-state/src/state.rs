//! The replicated state and how commands change it.

#[cfg(test)]
mod tests;

use crate::applied_versions::{body_digest, AppliedVersions, BodyDigest};
use crate::command::Command;
use crate::delta::Delta;
use crate::{LogIndex, MAX_CONFIGURATION_BYTES};
use configuration::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Version of the encoded state's format.
const STATE_FORMAT: u32 = 1;
/// Maximum number of draining backends that are kept. Ids are never reused, and the oldest backends have long since ended.
const MAX_DRAINING: usize = 4096;
/// Maximum number of gateways. More indicate a fault of the platform.
const MAX_GATEWAYS: usize = 4096;
/// Maximum number of tenants' expired trials that are kept, the most recent ones.
const MAX_EXPIRED_TRIALS: usize = 4096;

/// Effect of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The state has changed.
    Changed,
    /// The command had no effect.
    Unchanged,
    /// A configuration was not applied: its base is not the current version, its version is not greater than the current
    /// one, or its delta does not apply.
    Conflict,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// Version that the configuration declares.
    pub version: Version,
    /// Index of the log entry by which it was committed.
    pub index: LogIndex,
    /// Bytes of the configuration, exactly as the operator sent them.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpiredTrial {
    /// End of the trial in Unix milliseconds.
    ends_at: u64,
    /// Index of the log entry by which it expired.
    index: LogIndex,
}

/// The replicated state. Its fields are stored by position, in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    format: u32,
    configuration: Option<Arc<CommittedConfiguration>>,
    applied_versions: AppliedVersions,
    /// Ids of draining backends, each with the index of the log entry that drained it.
    draining: BTreeMap<String, LogIndex>,
    gateways: BTreeSet<String>,
    /// By tenant, the last end of its trial that has passed. Omitted from the encoded state when empty, so that an earlier
    /// version without this field can read it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    expired_trials: BTreeMap<String, ExpiredTrial>,
}

impl ControlState {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        ControlState { format: STATE_FORMAT, ..ControlState::default() }
    }

    /// Decodes a state: the initial state if there are no bytes, `None` if they are not a state of this format.
    pub fn decode(bytes: &[u8]) -> Option<ControlState> {
        if bytes.is_empty() {
            return Some(ControlState::new());
        }
        rmp_serde::from_slice(bytes).ok().filter(|state: &ControlState| state.format == STATE_FORMAT)
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("all values of the state can be encoded")
    }

    /// The current configuration.
    pub fn configuration(&self) -> Option<&Arc<CommittedConfiguration>> {
        self.configuration.as_ref()
    }

    /// Version of the current configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.configuration.as_ref().map_or(0, |current| current.version)
    }

    /// Whether a configuration with exactly these bytes has been applied, recently enough for its digest to be kept.
    pub fn is_applied(&self, body: &[u8]) -> bool {
        self.applied_versions.version_of(&body_digest(body)).is_some()
    }

    /// Whether a configuration with exactly these bytes has been applied under this version.
    pub fn is_applied_as(&self, version: Version, body: &[u8]) -> bool {
        self.applied_versions.version_of(&body_digest(body)) == Some(version)
    }

    /// Whether a configuration of this version may have been applied so long ago that its digest is no longer kept.
    pub fn may_have_forgotten_version(&self, version: Version) -> bool {
        self.applied_versions.may_have_forgotten(version)
    }

    /// Whether this backend is draining.
    pub fn is_draining(&self, instance: &str) -> bool {
        self.draining.contains_key(instance)
    }

    /// Ids of the draining backends.
    pub fn draining(&self) -> impl Iterator<Item = &String> {
        self.draining.keys()
    }

    /// Names of the gateways.
    pub fn gateways(&self) -> &BTreeSet<String> {
        &self.gateways
    }

    /// Whether [`Command::AddGateway`] would add this gateway: it is unknown, and there is room for it.
    pub fn can_add_gateway(&self, name: &str) -> bool {
        self.gateways.len() < MAX_GATEWAYS && !self.gateways.contains(name)
    }

    /// Whether the tenant's trial has expired with this end.
    pub fn is_trial_expired(&self, tenant: &str, ends_at: u64) -> bool {
        self.expired_trials.get(tenant).is_some_and(|trial| trial.ends_at == ends_at)
    }

    /// Index of the latest log entry by which a trial expired; 0 if there is none.
    pub fn last_expiry_index(&self) -> LogIndex {
        self.expired_trials.values().map(|trial| trial.index).max().unwrap_or(0)
    }

    /// Applies the command that was committed at `index`.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> ApplyOutcome {
        match command {
            Command::ReplaceConfiguration { base, version, body } => {
                self.replace_configuration(index, *base, *version, body_digest(body), |_| Some(body.clone()))
            }
            Command::ConfigurationDelta { base, version, digest, delta } => {
                self.replace_configuration(index, *base, *version, *digest, |current| {
                    let body = Delta::decode(delta)?.apply(&current?.body, MAX_CONFIGURATION_BYTES)?;
                    (body_digest(&body) == *digest).then_some(body)
                })
            }
            Command::Drain { instance } => self.drain(index, instance),
            Command::AddGateway { name } => self.add_gateway(name),
            Command::RemoveGateway { name, .. } => self.remove_gateway(name),
            Command::ExpireTrial { tenant, ends_at } => self.expire_trial(index, tenant, *ends_at),
        }
    }

    /// Replaces the current configuration by the one that `build_body` derives from it. Every node holds the same current
    /// configuration, so that `build_body` fails on all nodes or on none.
    fn replace_configuration(
        &mut self,
        index: LogIndex,
        base: Version,
        version: Version,
        digest: BodyDigest,
        build_body: impl FnOnce(Option<&CommittedConfiguration>) -> Option<Vec<u8>>,
    ) -> ApplyOutcome {
        if self.applied_versions.version_of(&digest) == Some(version) {
            return ApplyOutcome::Unchanged;
        }
        if base != self.version() || version <= self.version() {
            return ApplyOutcome::Conflict;
        }
        let Some(body) = build_body(self.configuration.as_deref()) else { return ApplyOutcome::Conflict };
        self.configuration = Some(Arc::new(CommittedConfiguration { version, index, body }));
        self.applied_versions.record(version, digest);
        ApplyOutcome::Changed
    }

    fn drain(&mut self, index: LogIndex, instance: &str) -> ApplyOutcome {
        if self.is_draining(instance) {
            return ApplyOutcome::Unchanged;
        }
        self.draining.insert(instance.to_string(), index);
        if self.draining.len() > MAX_DRAINING {
            remove_oldest(&mut self.draining, |index| *index);
        }
        ApplyOutcome::Changed
    }

    fn add_gateway(&mut self, name: &str) -> ApplyOutcome {
        if !self.can_add_gateway(name) {
            return ApplyOutcome::Unchanged;
        }
        self.gateways.insert(name.to_string());
        ApplyOutcome::Changed
    }

    fn remove_gateway(&mut self, name: &str) -> ApplyOutcome {
        if self.gateways.remove(name) {
            ApplyOutcome::Changed
        } else {
            ApplyOutcome::Unchanged
        }
    }

    fn expire_trial(&mut self, index: LogIndex, tenant: &str, ends_at: u64) -> ApplyOutcome {
        if self.is_trial_expired(tenant, ends_at) {
            return ApplyOutcome::Unchanged;
        }
        self.expired_trials.insert(tenant.to_string(), ExpiredTrial { ends_at, index });
        if self.expired_trials.len() > MAX_EXPIRED_TRIALS {
            remove_oldest(&mut self.expired_trials, |trial| trial.index);
        }
        ApplyOutcome::Changed
    }
}

/// Removes the entry with the lowest log index.
fn remove_oldest<T>(entries: &mut BTreeMap<String, T>, index_of: impl Fn(&T) -> LogIndex) {
    let oldest = entries.iter().min_by_key(|(_, entry)| index_of(entry)).map(|(name, _)| name.clone());
    if let Some(name) = oldest {
        entries.remove(&name);
    }
}
