//! The replicated state itself.

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

/// The format of the encoded state.
const STATE_FORMAT: u32 = 1;
/// Draining backends that are remembered: ids are never used again, and the oldest have long ended.
const MAX_DRAINING: usize = 4096;
/// Gateways that are known. More are a fault of the platform.
const MAX_GATEWAYS: usize = 4096;
/// Expired trials that are remembered, the latest ones.
const MAX_EXPIRED_TRIALS: usize = 4096;

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The state has changed.
    Changed,
    /// The state was so already.
    Unchanged,
    /// A configuration was based on another version than the current one, or is not later than it; it was not applied.
    Conflict,
}

/// A configuration that is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// The version that it declares.
    pub version: Version,
    /// Its entry's index in the log.
    pub index: LogIndex,
    /// The bytes that the operator sent.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpiredTrial {
    /// In Unix milliseconds.
    ends_at: u64,
    /// Of the entry by which it expired.
    index: LogIndex,
}

/// The replicated state. Its fields are stored in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    format: u32,
    configuration: Option<Arc<CommittedConfiguration>>,
    applied_versions: AppliedVersions,
    /// Draining backends, each with the index of the entry by which it drains.
    draining: BTreeMap<String, LogIndex>,
    gateways: BTreeSet<String>,
    /// The latest end of each tenant's trial that has passed. An earlier version, which knows of none, reads a state without
    /// any.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    expired_trials: BTreeMap<String, ExpiredTrial>,
}

impl ControlState {
    /// The state before the first command.
    pub fn new() -> Self {
        ControlState { format: STATE_FORMAT, ..ControlState::default() }
    }

    /// The state that these bytes are, if they are one; the first state for no bytes.
    pub fn decode(bytes: &[u8]) -> Option<ControlState> {
        if bytes.is_empty() {
            return Some(ControlState::new());
        }
        rmp_serde::from_slice(bytes).ok().filter(|state: &ControlState| state.format == STATE_FORMAT)
    }

    /// Its bytes in a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("the state has no value that cannot be encoded")
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<CommittedConfiguration>> {
        self.configuration.as_ref()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.configuration.as_ref().map_or(0, |current| current.version)
    }

    /// Whether exactly this configuration has been applied, now or some time ago.
    pub fn is_applied(&self, body: &[u8]) -> bool {
        self.applied_versions.version_of(&body_digest(body)).is_some()
    }

    /// Whether exactly this configuration has been applied under this version.
    pub fn is_applied_as(&self, version: Version, body: &[u8]) -> bool {
        self.applied_versions.version_of(&body_digest(body)) == Some(version)
    }

    /// Whether a configuration of this version may have been applied so long ago that its digest is forgotten.
    pub fn may_have_forgotten_version(&self, version: Version) -> bool {
        self.applied_versions.may_have_forgotten(version)
    }

    /// Whether this backend drains.
    pub fn is_draining(&self, instance: &str) -> bool {
        self.draining.contains_key(instance)
    }

    /// The ids of draining backends.
    pub fn draining(&self) -> impl Iterator<Item = &String> {
        self.draining.keys()
    }

    /// The gateways' names.
    pub fn gateways(&self) -> &BTreeSet<String> {
        &self.gateways
    }

    /// Whether [`Command::AddGateway`] would change anything.
    pub fn can_add_gateway(&self, name: &str) -> bool {
        self.gateways.len() < MAX_GATEWAYS && !self.gateways.contains(name)
    }

    /// Whether this end of the tenant's trial has passed.
    pub fn is_trial_expired(&self, tenant: &str, ends_at: u64) -> bool {
        self.expired_trials.get(tenant).is_some_and(|trial| trial.ends_at == ends_at)
    }

    /// The index of the latest entry by which a trial expired; 0 before the first.
    pub fn last_expiry_index(&self) -> LogIndex {
        self.expired_trials.values().map(|trial| trial.index).max().unwrap_or(0)
    }

    /// Applies the command that is committed at `index`.
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

    /// `body` builds the configuration from the current one; every node holds the same, so that it fails on all or none.
    fn replace_configuration(
        &mut self,
        index: LogIndex,
        base: Version,
        version: Version,
        digest: BodyDigest,
        body: impl FnOnce(Option<&CommittedConfiguration>) -> Option<Vec<u8>>,
    ) -> ApplyOutcome {
        if self.applied_versions.version_of(&digest) == Some(version) {
            return ApplyOutcome::Unchanged;
        }
        if base != self.version() || version <= self.version() {
            return ApplyOutcome::Conflict;
        }
        let Some(body) = body(self.configuration.as_deref()) else { return ApplyOutcome::Conflict };
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

/// Removes the entry of the lowest log index.
fn remove_oldest<T>(entries: &mut BTreeMap<String, T>, index: impl Fn(&T) -> LogIndex) {
    let oldest = entries.iter().min_by_key(|(_, entry)| index(entry)).map(|(name, _)| name.clone());
    if let Some(name) = oldest {
        entries.remove(&name);
    }
}
