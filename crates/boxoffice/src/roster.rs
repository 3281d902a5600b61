//! Which gateways are agreed on, and which of them have their even parts: `docs/design/gone.md`. A value that prompters and gateways
//! fold from the same changes in the same order, so that it is known by the place of its latest one.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A place in the agreed log.
pub type Place = u64;
/// Tells processes of one name apart; never 0.
pub type Life = u64;
/// So many gateways are known. More are a fault of the platform's.
const MOST: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// This life of a gateway's is there; an earlier one of the name is over.
    There { name: String, life: Life },
    /// This life is over, and its even part is the others'.
    Gone { name: String, life: Life },
    /// All who have their even parts know of those who joined until this place, who have theirs from now on.
    Parts { until: Place },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub life: Life,
    /// Where its name was agreed on, whichever life it has.
    pub joined: Place,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Where the latest change stands; 0: none was made.
    at: Place,
    /// Who joined until there has an even part.
    parts: Place,
    members: BTreeMap<String, Member>,
}

impl Roster {
    /// Of gateways whose lives are not known.
    pub fn of_names(names: impl IntoIterator<Item = String>) -> Self {
        let member = |name| (name, Member { life: 0, joined: 0 });
        Roster { members: names.into_iter().map(member).collect(), ..Roster::default() }
    }

    pub fn at(&self) -> Place {
        self.at
    }

    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Whether it is agreed on as this life.
    pub fn knows(&self, name: &str, life: Life) -> bool {
        self.members.get(name).is_some_and(|m| m.life == life)
    }

    /// Whether a word that this life is there would change anything.
    pub fn wants(&self, name: &str, life: Life) -> bool {
        self.members.get(name).map_or(self.members.len() < MOST, |m| m.life != life)
    }

    pub fn has_part(&self, member: &Member) -> bool {
        member.joined <= self.parts
    }

    /// Over how many gateways this one's even part goes; 0: it has none. Those who have none yet count.
    pub fn parts(&self, name: &str, life: Life) -> u32 {
        let has = self.members.get(name).is_some_and(|m| m.life == life && self.has_part(m));
        if has {
            self.members.len() as u32
        } else {
            0
        }
    }

    /// Folds a change in; whether anything has changed.
    pub fn apply(&mut self, at: Place, change: &Change) -> bool {
        let changed = match change {
            Change::There { name, life } => self.joins(at, name, *life),
            Change::Gone { name, life } => self.knows(name, *life) && self.members.remove(name).is_some(),
            Change::Parts { until } => {
                let more = self.members.values().any(|m| !self.has_part(m) && m.joined <= *until);
                if more {
                    self.parts = *until;
                }
                more
            }
        };
        if changed {
            self.at = at;
        }
        changed
    }

    fn joins(&mut self, at: Place, name: &str, life: Life) -> bool {
        if !self.wants(name, life) {
            return false;
        }
        // One that begins anew takes over what the one before had.
        let member = self.members.entry(name.into()).or_insert(Member { life, joined: at });
        member.life = life;
        true
    }
}
