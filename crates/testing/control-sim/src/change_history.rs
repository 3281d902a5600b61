//! What is true of all orders, and what operators were told of them: what must hold of each answer.

use crate::rules::Violation;
use crate::Time;
use configuration::{ConfigurationError, Version};
use control_state::{body_digest, BodyDigest, Command, DeclaredVersions, LogIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A change as an operator sends it, of so many bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    pub base: Version,
    pub version: Version,
    /// Tells two of one number apart.
    pub nonce: u64,
    pub bytes: u32,
    /// Much of it is as in others.
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

/// What a machine reads in an order.
pub fn check(body: &[u8]) -> Result<DeclaredVersions, ConfigurationError> {
    let number = |at: usize| body.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    let read = number(0).zip(number(4));
    read.map(|(base, version)| DeclaredVersions { base, version })
        .ok_or_else(|| ConfigurationError::Malformed("it is cut short".into()))
}

/// What tells one body from another here.
type Nonce = u64;

fn nonce(body: &[u8]) -> Nonce {
    body.get(8..16).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum Request {
    Replace(Change),
    /// With what was acknowledged when it was sent.
    Read(Version),
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// 200.
    Acknowledged,
    /// 412.
    Conflict,
    /// 400.
    Invalid,
    /// 200, with what stands.
    Current(Option<(Version, Vec<u8>)>),
    /// 307.
    Redirect(String),
    /// 503: nothing is known.
    Unavailable,
}

impl Reply {
    /// What a control node says.
    pub fn of(reply: &control_node::Reply) -> Reply {
        match reply {
            control_node::Reply::Acknowledged => Reply::Acknowledged,
            control_node::Reply::Conflict { .. } => Reply::Conflict,
            control_node::Reply::Invalid(_) => Reply::Invalid,
            control_node::Reply::Current(held) => {
                Reply::Current(held.as_ref().map(|c| (c.version, c.body.clone())))
            }
            control_node::Reply::Redirect(name) => Reply::Redirect(name.clone()),
            control_node::Reply::Unavailable => Reply::Unavailable,
        }
    }
}

/// What is agreed on, folded once more without the program's code, and all that operators were told.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    /// What stands at each place, as a hash of its bytes.
    entries: BTreeMap<LogIndex, u64>,
    /// All orders that were ever sent, by their marks.
    sent: BTreeMap<BodyDigest, Nonce>,
    /// Backends that are agreed to leave.
    draining: BTreeSet<String>,
    /// The newest, and since when.
    current: (Version, Time),
    /// Each taken order by its number and bytes, and since when.
    committed: BTreeMap<(Version, Nonce), Time>,
    /// Acknowledged: number, with base and bytes.
    acknowledged: BTreeMap<Version, (Version, Nonce)>,
    refused: BTreeSet<Change>,
    /// When each was first acknowledged, as they came.
    acknowledged_at: Vec<(Time, Version)>,
    pub counts: Counts,
}

/// How often each came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub taken: u32,
    pub acknowledged: u32,
    pub again: u32,
    pub refused: u32,
    pub reads: u32,
    /// Taken as a change of what stood.
    pub changes: u32,
    pub drains: u32,
}

impl ChangeHistory {
    pub fn applied(&mut self, now: Time, place: LogIndex, word: &[u8]) -> Result<(), Violation> {
        let bytes = hash(word);
        if let Some(known) = self.entries.get(&place) {
            return if *known == bytes { Ok(()) } else { Err(Violation::Agreed(place)) };
        }
        self.entries.insert(place, bytes);
        let (base, version, nonce) = match Command::decode(word) {
            Some(Command::ReplaceConfiguration { base, version, body }) => (base, version, nonce(&body)),
            Some(Command::ConfigurationDelta { base, version, digest: mark, .. }) => {
                let Some(nonce) = self.sent.get(&mark) else { return Err(Violation::Agreed(place)) };
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
        if let Some(order) = self.refused.iter().find(|o| refused(o)) {
            return Err(Violation::TakenThoughRefused(order.version));
        }
        self.counts.taken += 1;
        self.current = (version, now);
        self.committed.insert(key, now);
        Ok(())
    }

    /// An operator sends this.
    pub fn sent(&mut self, order: &Change, body: &[u8]) {
        self.sent.insert(body_digest(body), order.nonce);
    }

    /// A backend was told that its leaving is known.
    ///
    /// # Errors
    /// It was not agreed on.
    pub fn drained(&mut self, id: &str) -> Result<(), Violation> {
        self.counts.drains += 1;
        if self.draining.contains(id) {
            Ok(())
        } else {
            Err(Violation::Drain(id.into()))
        }
    }

    /// The newest that was acknowledged.
    pub fn newest(&self) -> Version {
        self.acknowledged.last_key_value().map_or(0, |(v, _)| *v)
    }

    /// An order was agreed on.
    pub fn is_committed(&self, order: &Change) -> bool {
        self.committed.contains_key(&(order.version, order.nonce))
    }

    /// The newest that was acknowledged by this time.
    pub fn acknowledged_by(&self, at: Time) -> Version {
        self.acknowledged_at.iter().rev().find(|(when, _)| *when <= at).map_or(0, |(_, version)| *version)
    }

    /// A control node says this to a call that came then.
    pub fn answered(&mut self, now: Time, came: Time, ask: &Request, reply: &Reply) -> Result<(), Violation> {
        match (ask, reply) {
            (_, Reply::Redirect(_) | Reply::Unavailable) => Ok(()),
            (Request::Replace(order), Reply::Acknowledged) => self.confirmed(now, order),
            (Request::Replace(order), Reply::Conflict | Reply::Invalid) => {
                self.counts.refused += 1;
                if self.is_committed(order) {
                    return Err(Violation::RefusedThoughTaken(order.version));
                }
                // Whatever is proper on top of what stands is not to be refused.
                if order.base == self.current.0 && self.current.1 < came && order.version > order.base {
                    return Err(Violation::RefusedOnNewest(order.version));
                }
                self.refused.insert(*order);
                Ok(())
            }
            (Request::Read(acknowledged), Reply::Current(held)) => {
                self.counts.reads += 1;
                let read = held.as_ref().map_or(0, |(v, _)| *v);
                if read < *acknowledged {
                    return Err(Violation::Stale { read, acknowledged: *acknowledged });
                }
                let same = |(v, body): &(Version, Vec<u8>)| {
                    self.acknowledged.get(v).is_none_or(|(_, told)| *told == nonce(body))
                };
                if held.as_ref().is_some_and(|h| !same(h)) {
                    return Err(Violation::Number(read));
                }
                Ok(())
            }
            (Request::Replace(_), Reply::Current(_)) | (Request::Read(_), _) => Ok(()),
        }
    }

    fn confirmed(&mut self, now: Time, order: &Change) -> Result<(), Violation> {
        let Change { base, version, nonce, .. } = *order;
        match self.acknowledged.get(&version) {
            Some((_, told)) if *told != nonce => return Err(Violation::Number(version)),
            Some(_) => self.counts.again += 1,
            None => self.counts.acknowledged += 1,
        }
        if self.acknowledged.iter().any(|(v, (b, _))| *b == base && *v != version) {
            return Err(Violation::Twice(base));
        }
        let newest = self.newest().max(version);
        if self.acknowledged.insert(version, (base, nonce)).is_none() {
            self.acknowledged_at.push((now, newest));
        }
        if !self.is_committed(order) {
            return Err(Violation::NotAgreed(version));
        }
        Ok(())
    }
}
