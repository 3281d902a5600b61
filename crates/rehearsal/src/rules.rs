//! What must hold after each step.

use crate::Time;
use promptbook::{Place, Word};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    /// Two say different things of one place of the agreed log.
    Agreed(Place),
    /// One applied a place out of its order.
    Order(Place),
    /// A read missed what was acknowledged before it was asked for.
    Stale { read: u32, acknowledged: u32 },
    /// Two changes on one base were both acknowledged.
    Twice(u32),
    /// A drain that was acknowledged is not known to a later read.
    Drain(String),
    /// Two lend at the same time.
    TwoLend(u64, u64),
    /// More of a tenant's requests passed in five seconds than its limit allows.
    Quota { passed: u32, most: f64 },
    /// One that could hear all for a second does not know what was acknowledged before.
    Behind(String),
    /// Nothing was agreed on though nothing was wrong for a long time.
    Stuck,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The window of the limit, and what it allows beyond: the operators' own figures.
const WINDOW: Time = 5_000_000_000;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// All that was seen so far.
#[derive(Debug, Default)]
pub struct Seen {
    agreed: BTreeMap<Place, Vec<u8>>,
    /// Acknowledged configurations: base by version.
    taken: BTreeMap<u32, u32>,
    drains: BTreeSet<String>,
    passed: VecDeque<Time>,
    pub acknowledged: u32,
    pub reads: u32,
    pub through: u32,
}

impl Seen {
    pub fn applied(&mut self, place: Place, word: &[u8]) -> Result<(), Broken> {
        let known = self.agreed.entry(place).or_insert_with(|| word.to_vec());
        if known == word {
            Ok(())
        } else {
            Err(Broken::Agreed(place))
        }
    }

    pub fn newest(&self) -> u32 {
        self.taken.last_key_value().map_or(0, |(v, _)| *v)
    }

    pub fn drains(&self) -> BTreeSet<String> {
        self.drains.clone()
    }

    pub fn acknowledge(&mut self, word: &Word) -> Result<(), Broken> {
        self.acknowledged += 1;
        match word {
            Word::Configuration { base, version, .. } => {
                let other = self.taken.iter().any(|(v, b)| b == base && v != version);
                self.taken.insert(*version, *base);
                if other {
                    return Err(Broken::Twice(*base));
                }
            }
            Word::Leaving { instance } => drop(self.drains.insert(instance.clone())),
            Word::Gateway { .. } => {}
        }
        Ok(())
    }

    /// A read that was asked for when `acknowledged` and `drains` were known.
    pub fn read(
        &mut self,
        read: u32,
        acknowledged: u32,
        knows: impl Fn(&str) -> bool,
        drains: &BTreeSet<String>,
    ) -> Result<(), Broken> {
        self.reads += 1;
        if read < acknowledged {
            return Err(Broken::Stale { read, acknowledged });
        }
        match drains.iter().find(|d| !knows(d)) {
            Some(forgotten) => Err(Broken::Drain(forgotten.clone())),
            None => Ok(()),
        }
    }

    /// One of the tenant's requests passed.
    pub fn pass(&mut self, now: Time, rate: f64, burst: f64) -> Result<(), Broken> {
        self.through += 1;
        self.passed.push_back(now);
        while self.passed.front().is_some_and(|at| now - at > WINDOW) {
            self.passed.pop_front();
        }
        let most = (rate * WINDOW as f64 / 1e9 + burst) * (1.0 + OVERSHOOT) + SLACK;
        let passed = self.passed.len() as u32;
        if f64::from(passed) > most {
            return Err(Broken::Quota { passed, most });
        }
        Ok(())
    }
}
