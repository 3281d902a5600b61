//! What is agreed on: the configuration as it came, which backends are leaving, which gateways there are. A value that
//! every prompter folds from the same words in the same order, so that all hold the same. No I/O.
#![forbid(unsafe_code)]

mod difference;
mod order;
mod parcel;
mod taken;

pub use difference::Delta;
pub use order::{decide_change, Decision, DeclaredVersions};
pub use parcel::{
    ConfigurationChunk, ConfigurationReceiver, ConfigurationSender, DeltaHistory, ReceiveOutcome,
    TransferHeader, CHUNK_BYTES, WINDOW_BYTES,
};
pub use taken::{body_digest, BodyDigest, MAX_APPLIED_VERSIONS};

use configuration::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use taken::AppliedVersions;

/// A place in the agreed log.
pub type LogIndex = u64;
/// The form of what is kept and sent.
const STATE_FORMAT: u32 = 1;
/// So many that are leaving are remembered; ids are never used again, and the oldest have long ended.
const MAX_DRAINING: usize = 4096;
/// A configuration that is no longer stands whole in the log.
const MIN_DELTA_BODY_BYTES: usize = 16 << 10;
/// The longest that a change comes to.
const MAX_CONFIGURATION_BYTES: usize = 16 << 20;
/// So many gateways are known. More are a fault of the platform's.
const MAX_GATEWAYS: usize = 4096;
/// So many trials are remembered as over; of more, those that ended last.
const MAX_EXPIRED_TRIALS: usize = 4096;

/// Something to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// On top of `base`, which must be the current one.
    #[serde(rename = "Configuration")]
    ReplaceConfiguration {
        base: Version,
        version: Version,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The same as its difference to the bytes of the current one, which all hold.
    #[serde(rename = "Change")]
    ConfigurationDelta {
        base: Version,
        version: Version,
        /// Of the bytes that come of it.
        digest: BodyDigest,
        #[serde(with = "serde_bytes")]
        delta: Vec<u8>,
    },
    /// This backend takes no new work for the rest of its life.
    #[serde(rename = "Leaving")]
    Drain { instance: String },
    /// This gateway is there, and has its even part of what is shared.
    #[serde(rename = "Gateway")]
    AddGateway { name: String },
    /// This end of a tenant's trial has passed, in Unix milliseconds.
    #[serde(rename = "TrialOver")]
    ExpireTrial { tenant: String, ends_at: u64 },
}

impl Command {
    /// A long configuration as a change of the book's, if that is much shorter: an entry of the log holds up the rounds behind
    /// it for as long as its bytes take.
    pub fn as_delta(self, book: &ControlState) -> Command {
        let Command::ReplaceConfiguration { base, version, body } = &self else { return self };
        let current =
            book.configuration().filter(|c| c.version == *base && body.len() > MIN_DELTA_BODY_BYTES);
        let Some(current) = current else { return self };
        let difference = Delta::between(&current.body, body).encode();
        if difference.len() > body.len() / 4 {
            return self;
        }
        Command::ConfigurationDelta {
            base: *base,
            version: *version,
            digest: body_digest(body),
            delta: difference,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a word can be written")
    }

    /// None, if it is none of ours.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// What has come of a word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Something has changed.
    Changed,
    /// It was so already.
    Unchanged,
    /// A configuration on another base than the current one, or not later than it.
    Conflict,
}

/// A configuration as it was agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    pub version: Version,
    /// Where in the agreed log.
    pub index: LogIndex,
    /// The bytes that the operator sent.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    format: u32,
    configuration: Option<Arc<CommittedConfiguration>>,
    applied_versions: AppliedVersions,
    draining: BTreeMap<String, LogIndex>,
    gateways: BTreeSet<String>,
    /// The latest end of each tenant's trial that has passed, and where that was agreed on. An earlier version, which knows of
    /// none, reads a book without any.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    expired_trials: BTreeMap<String, (u64, LogIndex)>,
}

impl ControlState {
    pub fn new() -> Self {
        ControlState { format: STATE_FORMAT, ..ControlState::default() }
    }

    /// None, if it is none of ours.
    pub fn decode(bytes: &[u8]) -> Option<ControlState> {
        if bytes.is_empty() {
            return Some(ControlState::new());
        }
        rmp_serde::from_slice(bytes).ok().filter(|b: &ControlState| b.format == STATE_FORMAT)
    }

    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a book can be written")
    }

    pub fn configuration(&self) -> Option<&Arc<CommittedConfiguration>> {
        self.configuration.as_ref()
    }

    /// 0 before the first.
    pub fn version(&self) -> Version {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Whether exactly this configuration has been taken, now or some time ago.
    pub fn is_applied(&self, body: &[u8]) -> bool {
        self.applied_versions.version_of(&body_digest(body)).is_some()
    }

    /// The same, of one under this version.
    pub fn is_applied_as(&self, version: Version, body: &[u8]) -> bool {
        self.applied_versions.version_of(&body_digest(body)) == Some(version)
    }

    /// Whether one of this version may have been taken so long ago that nobody knows.
    pub fn may_have_forgotten_version(&self, version: Version) -> bool {
        self.applied_versions.may_be_forgotten(version)
    }

    pub fn is_draining(&self, instance: &str) -> bool {
        self.draining.contains_key(instance)
    }

    pub fn draining(&self) -> impl Iterator<Item = &String> {
        self.draining.keys()
    }

    pub fn gateways(&self) -> &BTreeSet<String> {
        &self.gateways
    }

    /// Whether a word on this gateway would change anything.
    pub fn can_add_gateway(&self, name: &str) -> bool {
        self.gateways.len() < MAX_GATEWAYS && !self.gateways.contains(name)
    }

    /// Whether this end of the tenant's trial has passed.
    pub fn is_trial_expired(&self, tenant: &str, ends: u64) -> bool {
        self.expired_trials.get(tenant).is_some_and(|(end, _)| *end == ends)
    }

    /// Where the latest word on a trial stands.
    pub fn last_expiry_index(&self) -> LogIndex {
        self.expired_trials.values().map(|(_, at)| *at).max().unwrap_or(0)
    }

    fn replace_configuration(
        &mut self,
        place: LogIndex,
        (base, version): (Version, Version),
        mark: BodyDigest,
        body: impl FnOnce(Option<&CommittedConfiguration>) -> Option<Vec<u8>>,
    ) -> Applied {
        if self.applied_versions.version_of(&mark) == Some(version) {
            return Applied::Unchanged;
        }
        if base != self.version() || version <= self.version() {
            return Applied::Conflict;
        }
        // All hold the same current one, so that it comes to the same for all.
        let Some(body) = body(self.configuration.as_deref()) else { return Applied::Conflict };
        self.configuration = Some(Arc::new(CommittedConfiguration { version, index: place, body }));
        self.applied_versions.record(version, mark);
        Applied::Changed
    }

    /// Folds a word in.
    pub fn apply(&mut self, place: LogIndex, word: &Command) -> Applied {
        match word {
            Command::ReplaceConfiguration { base, version, body } => {
                self.replace_configuration(place, (*base, *version), body_digest(body), |_| {
                    Some(body.clone())
                })
            }
            Command::ConfigurationDelta { base, version, digest: wanted, delta: difference } => self
                .replace_configuration(place, (*base, *version), *wanted, |current| {
                    let body = Delta::decode(difference)?.apply(&current?.body, MAX_CONFIGURATION_BYTES)?;
                    (body_digest(&body) == *wanted).then_some(body)
                }),
            Command::Drain { instance } => {
                if self.is_draining(instance) {
                    return Applied::Unchanged;
                }
                self.draining.insert(instance.clone(), place);
                if self.draining.len() > MAX_DRAINING {
                    let oldest = self.draining.iter().min_by_key(|(_, at)| **at);
                    if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                        self.draining.remove(&oldest);
                    }
                }
                Applied::Changed
            }
            Command::AddGateway { name } if self.can_add_gateway(name) => {
                self.gateways.insert(name.clone());
                Applied::Changed
            }
            Command::AddGateway { .. } => Applied::Unchanged,
            Command::ExpireTrial { tenant, ends_at: ends } => {
                if self.is_trial_expired(tenant, *ends) {
                    return Applied::Unchanged;
                }
                self.expired_trials.insert(tenant.clone(), (*ends, place));
                if self.expired_trials.len() > MAX_EXPIRED_TRIALS {
                    let oldest = self.expired_trials.iter().min_by_key(|(_, (_, at))| *at);
                    if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                        self.expired_trials.remove(&oldest);
                    }
                }
                Applied::Changed
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn configuration(base: Version, version: Version, body: &str) -> Command {
        Command::ReplaceConfiguration { base, version, body: body.as_bytes().to_vec() }
    }

    #[test]
    fn of_two_on_one_base_one_wins_and_what_was_taken_is_known_again() {
        let mut book = ControlState::new();
        assert_eq!(book.apply(2, &configuration(0, 3, "a")), Applied::Changed);
        assert_eq!(book.apply(3, &configuration(3, 5, "b")), Applied::Changed);
        assert_eq!(book.apply(4, &configuration(3, 6, "c")), Applied::Conflict, "the base is another");
        assert_eq!(book.apply(5, &configuration(5, 5, "d")), Applied::Conflict, "not later");
        assert_eq!(
            book.apply(6, &configuration(0, 3, "a")),
            Applied::Unchanged,
            "once more, though a later one stands"
        );
        assert_eq!(
            book.apply(7, &configuration(0, 3, "b")),
            Applied::Conflict,
            "other bytes under its number"
        );
        assert_eq!((book.version(), book.configuration().unwrap().index), (5, 3));
        assert_eq!(ControlState::decode(&book.encode()), Some(book));
        assert_eq!(ControlState::decode(b"nonsense"), None);
    }

    #[test]
    fn a_trial_that_is_over_is_so_for_that_end_alone_and_a_book_without_any_is_as_it_was() {
        let mut book = ControlState::new();
        book.apply(1, &Command::AddGateway { name: "g".into() });
        // An earlier version's: it has five fields.
        assert_eq!(book.encode()[0], 0x95);
        assert_eq!(ControlState::decode(&book.encode()), Some(book.clone()));
        let word = |ends| Command::ExpireTrial { tenant: "t".into(), ends_at: ends };
        assert_eq!(
            (book.apply(2, &word(7)), book.apply(3, &word(7))),
            (Applied::Changed, Applied::Unchanged)
        );
        assert!(
            book.is_trial_expired("t", 7) && !book.is_trial_expired("t", 8) && !book.is_trial_expired("u", 7)
        );
        assert_eq!((book.apply(4, &word(8)), book.last_expiry_index()), (Applied::Changed, 4));
        assert!(!book.is_trial_expired("t", 7));
        assert_eq!(ControlState::decode(&book.encode()), Some(book));
    }

    #[test]
    fn who_leaves_leaves_for_good_and_memory_is_bounded() {
        let mut book = ControlState::new();
        for n in 0..MAX_DRAINING as u64 + 10 {
            book.apply(n, &Command::Drain { instance: format!("i-{n}") });
        }
        assert_eq!(book.draining().count(), MAX_DRAINING);
        assert!(!book.is_draining("i-9") && book.is_draining("i-10"), "the oldest go");
        assert_eq!(book.apply(9999, &Command::Drain { instance: "i-50".into() }), Applied::Unchanged);
    }
}
