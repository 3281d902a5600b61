//! The true history of all changes and what operators were told of them; checks each answer against it.

use crate::rules::Violation;
use crate::Time;
use configuration::{ConfigurationError, Version};
use control_state::{body_digest, BodyDigest, Command, DeclaredVersions, LogIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A change as an operator sends it, with a body of `bytes` bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    pub base: Version,
    pub version: Version,
    /// Distinguishes two changes with the same version.
    pub nonce: u64,
    pub bytes: u32,
    /// Whether most of its body equals that of other changes.
    pub alike: bool,
}

impl Change {
    pub fn body(&self) -> Vec<u8> {
        let mut body = vec![0; self.bytes.max(16) as usize];
        if !self.alike {
            fastrand::Rng::with_seed(self.nonce).fill(&mut body);
        }
        body[..4].copy_from_slice(&self.base.to_be_bytes());
        body[4..8].copy_from_slice(&self.version.to_be_bytes());
        body[8..16].copy_from_slice(&self.nonce.to_be_bytes());
        body
    }
}

/// Reads the versions from the body of a change, as a machine does.
pub fn validate(body: &[u8]) -> Result<DeclaredVersions, ConfigurationError> {
    let number = |at: usize| body.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    let read = number(0).zip(number(4));
    read.map(|(base, version)| DeclaredVersions { base, version })
        .ok_or_else(|| ConfigurationError::Malformed("body is too short".into()))
}

/// Distinguishes one body from another in the simulation.
type Nonce = u64;

fn nonce(body: &[u8]) -> Nonce {
    body.get(8..16).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// The request of a call.
#[derive(Clone, Debug)]
pub enum Request {
    Replace(Change),
    /// A read, with the newest version that was acknowledged when it was sent.
    Read(Version),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// HTTP 200.
    Acknowledged,
    /// HTTP 412.
    Conflict,
    /// HTTP 400.
    Invalid,
    /// HTTP 200, with the current configuration.
    Current(Option<(Version, Vec<u8>)>),
    /// HTTP 307.
    Redirect(String),
    /// HTTP 503: the outcome is unknown.
    Unavailable,
}

impl Reply {
    /// Converts the reply of a control node.
    pub fn of(reply: &control_node::Reply) -> Reply {
        match reply {
            control_node::Reply::Acknowledged => Reply::Acknowledged,
            control_node::Reply::Conflict { .. } => Reply::Conflict,
            control_node::Reply::Invalid(_) => Reply::Invalid,
            control_node::Reply::Current(configuration) => {
                Reply::Current(configuration.as_ref().map(|c| (c.version, c.body.clone())))
            }
            control_node::Reply::Redirect(name) => Reply::Redirect(name.clone()),
            control_node::Reply::Unavailable => Reply::Unavailable,
        }
    }
}

/// The committed state, computed a second time without the program's code, and everything that operators were told.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    /// Hash of the bytes of the entry at each index.
    entries: BTreeMap<LogIndex, u64>,
    /// All changes ever sent, by the digests of their bodies.
    sent: BTreeMap<BodyDigest, Nonce>,
    /// Backends whose drain is committed.
    draining: BTreeSet<String>,
    /// The current version, and since when.
    current: (Version, Time),
    /// Version and nonce of each committed change, and when it was committed.
    committed: BTreeMap<(Version, Nonce), Time>,
    /// Acknowledged versions, each with its base and nonce.
    acknowledged: BTreeMap<Version, (Version, Nonce)>,
    refused: BTreeSet<Change>,
    /// When each was first acknowledged, in order.
    acknowledged_at: Vec<(Time, Version)>,
    pub counts: Counts,
}

/// Number of events of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub committed_changes: u32,
    pub acknowledged: u32,
    pub acknowledged_again: u32,
    pub refused: u32,
    pub reads: u32,
    /// Changes committed as a delta to the current configuration.
    pub changes: u32,
    pub drains: u32,
}

impl ChangeHistory {
    pub fn applied(&mut self, now: Time, index: LogIndex, command: &[u8]) -> Result<(), Violation> {
        let bytes = hash(command);
        if let Some(known) = self.entries.get(&index) {
            return if *known == bytes { Ok(()) } else { Err(Violation::Agreed(index)) };
        }
        self.entries.insert(index, bytes);
        let (base, version, nonce) = match Command::decode(command) {
            Some(Command::ReplaceConfiguration { base, version, body }) => (base, version, nonce(&body)),
            Some(Command::ConfigurationDelta { base, version, digest, .. }) => {
                let Some(nonce) = self.sent.get(&digest) else { return Err(Violation::Agreed(index)) };
                self.counts.changes += 1;
                (base, version, *nonce)
            }
            Some(Command::Drain { instance }) => {
                self.draining.insert(instance);
                return Ok(());
            }
            _ => return Ok(()),
        };
        let key = (version, nonce);
        if self.committed.contains_key(&key) || base != self.current.0 || version <= self.current.0 {
            return Ok(());
        }
        let refused = |o: &Change| (o.version, o.nonce) == key;
        if let Some(change) = self.refused.iter().find(|o| refused(o)) {
            return Err(Violation::TakenThoughRefused(change.version));
        }
        self.counts.committed_changes += 1;
        self.current = (version, now);
        self.committed.insert(key, now);
        Ok(())
    }

    /// Records that an operator sent this change.
    pub fn sent(&mut self, change: &Change, body: &[u8]) {
        self.sent.insert(body_digest(body), change.nonce);
    }

    /// Records that a backend's drain was acknowledged.
    ///
    /// # Errors
    /// Returns a violation if the drain is not committed.
    pub fn drained(&mut self, id: &str) -> Result<(), Violation> {
        self.counts.drains += 1;
        if self.draining.contains(id) {
            Ok(())
        } else {
            Err(Violation::Drain(id.into()))
        }
    }

    /// Returns the newest acknowledged version.
    pub fn newest(&self) -> Version {
        self.acknowledged.last_key_value().map_or(0, |(v, _)| *v)
    }

    /// Returns whether a change was committed.
    pub fn is_committed(&self, change: &Change) -> bool {
        self.committed.contains_key(&(change.version, change.nonce))
    }

    /// Returns the newest version that was acknowledged by this time.
    pub fn acknowledged_by(&self, at: Time) -> Version {
        self.acknowledged_at.iter().rev().find(|(when, _)| *when <= at).map_or(0, |(_, version)| *version)
    }

    /// Checks a control node's answer to a call that arrived at `arrived_at`.
    pub fn answered(
        &mut self,
        now: Time,
        arrived_at: Time,
        request: &Request,
        reply: &Reply,
    ) -> Result<(), Violation> {
        match (request, reply) {
            (_, Reply::Redirect(_) | Reply::Unavailable) => Ok(()),
            (Request::Replace(change), Reply::Acknowledged) => self.acknowledge(now, change),
            (Request::Replace(change), Reply::Conflict | Reply::Invalid) => {
                self.counts.refused += 1;
                if self.is_committed(change) {
                    return Err(Violation::RefusedThoughTaken(change.version));
                }
                // A valid change based on the current configuration must not be refused.
                if change.base == self.current.0
                    && self.current.1 < arrived_at
                    && change.version > change.base
                {
                    return Err(Violation::RefusedOnNewest(change.version));
                }
                self.refused.insert(*change);
                Ok(())
            }
            (Request::Read(acknowledged), Reply::Current(configuration)) => {
                self.counts.reads += 1;
                let read = configuration.as_ref().map_or(0, |(v, _)| *v);
                if read < *acknowledged {
                    return Err(Violation::Stale { read, acknowledged: *acknowledged });
                }
                let has_same_body = |(v, body): &(Version, Vec<u8>)| {
                    self.acknowledged.get(v).is_none_or(|(_, known_nonce)| *known_nonce == nonce(body))
                };
                if configuration.as_ref().is_some_and(|h| !has_same_body(h)) {
                    return Err(Violation::Number(read));
                }
                Ok(())
            }
            (Request::Replace(_), Reply::Current(_)) | (Request::Read(_), _) => Ok(()),
        }
    }

    fn acknowledge(&mut self, now: Time, change: &Change) -> Result<(), Violation> {
        let Change { base, version, nonce, .. } = *change;
        match self.acknowledged.get(&version) {
            Some((_, known_nonce)) if *known_nonce != nonce => return Err(Violation::Number(version)),
            Some(_) => self.counts.acknowledged_again += 1,
            None => self.counts.acknowledged += 1,
        }
        if self.acknowledged.iter().any(|(v, (b, _))| *b == base && *v != version) {
            return Err(Violation::Twice(base));
        }
        let newest = self.newest().max(version);
        if self.acknowledged.insert(version, (base, nonce)).is_none() {
            self.acknowledged_at.push((now, newest));
        }
        if !self.is_committed(change) {
            return Err(Violation::NotAgreed(version));
        }
        Ok(())
    }
}
