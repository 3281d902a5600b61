//! Who votes at the first start of all: one set, agreed on by a majority of the seeds, which all know, before anybody has a
//! log. Single-decree Paxos (Lamport, 2001), in memory alone: a process that begins again is not at its first start any
//! more and answers nothing here, so that none forgets what it has promised. No I/O and no clock.

use crate::words::{Id, Members};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A try at it: how many there were before, and whose it is.
pub type Ballot = (u64, String);

/// Among seeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Said {
    /// Who answers takes part in no earlier ballot any more.
    Prepare {
        ballot: Ballot,
    },
    /// It does so; what it has accepted in the latest ballot before.
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, Members)>,
    },
    Accept {
        ballot: Ballot,
        members: Members,
    },
    Accepted {
        ballot: Ballot,
    },
    /// It has promised a later one.
    Late {
        promised: Ballot,
    },
}

/// A seed at the first start.
#[derive(Clone, Debug, Default)]
pub struct Founding {
    me: String,
    seeds: BTreeSet<String>,
    promised: Ballot,
    accepted: Option<(Ballot, Members)>,
    /// Its own try.
    own: Option<Own>,
}

#[derive(Clone, Debug)]
struct Own {
    ballot: Ballot,
    members: Members,
    promises: BTreeMap<String, Option<(Ballot, Members)>>,
    accepted: BTreeSet<String>,
}

impl Founding {
    pub fn new(me: &str, seeds: impl IntoIterator<Item = String>) -> Self {
        Founding { me: me.into(), seeds: seeds.into_iter().collect(), ..Founding::default() }
    }

    /// Stands for these voters, or for what has been agreed on already; what to say to whom.
    pub fn stand(&mut self, members: Members) -> Vec<(String, Said)> {
        let ballot = (self.promised.0 + 1, self.me.clone());
        let (promises, accepted) = (BTreeMap::new(), BTreeSet::new());
        self.own = Some(Own { ballot: ballot.clone(), members, promises, accepted });
        let to_all = self.to_all(&Said::Prepare { ballot });
        self.hear_own(to_all)
    }

    /// What is agreed on, if this one knows it.
    pub fn agreed(&self) -> Option<&Members> {
        let own = self.own.as_ref()?;
        (2 * own.accepted.len() > self.seeds.len()).then_some(&own.members)
    }

    /// Another seed at its first start says something.
    pub fn hear(&mut self, from: &Id, said: Said) -> Vec<(String, Said)> {
        if !self.seeds.contains(&from.name) {
            return Vec::new();
        }
        let answers = self.take(&from.name, said);
        self.hear_own(answers)
    }

    fn to_all(&self, said: &Said) -> Vec<(String, Said)> {
        self.seeds.iter().map(|seed| (seed.clone(), said.clone())).collect()
    }

    /// What it says to itself is heard at once.
    fn hear_own(&mut self, mut said: Vec<(String, Said)>) -> Vec<(String, Said)> {
        let mut out = Vec::new();
        while let Some((to, what)) = said.pop() {
            if to == self.me {
                let me = self.me.clone();
                said.extend(self.take(&me, what));
            } else {
                out.push((to, what));
            }
        }
        out
    }

    fn take(&mut self, from: &str, said: Said) -> Vec<(String, Said)> {
        let answer = |said| vec![(from.to_string(), said)];
        match said {
            Said::Prepare { ballot } if ballot < self.promised => {
                answer(Said::Late { promised: self.promised.clone() })
            }
            Said::Prepare { ballot } => {
                self.promised = ballot.clone();
                answer(Said::Promise { ballot, accepted: self.accepted.clone() })
            }
            Said::Accept { ballot, .. } if ballot < self.promised => {
                answer(Said::Late { promised: self.promised.clone() })
            }
            Said::Accept { ballot, members } => {
                self.promised = ballot.clone();
                self.accepted = Some((ballot.clone(), members));
                answer(Said::Accepted { ballot })
            }
            Said::Promise { ballot, accepted } => {
                let most = self.seeds.len();
                let Some(own) = self.own.as_mut().filter(|o| o.ballot == ballot) else { return Vec::new() };
                let before = own.promises.len();
                own.promises.insert(from.to_string(), accepted);
                if 2 * before > most || 2 * own.promises.len() <= most {
                    return Vec::new();
                }
                let latest = own.promises.values().flatten().max_by(|a, b| a.0.cmp(&b.0));
                if let Some((_, members)) = latest {
                    own.members = members.clone();
                }
                let said = Said::Accept { ballot, members: own.members.clone() };
                self.to_all(&said)
            }
            Said::Accepted { ballot } => {
                if let Some(own) = self.own.as_mut().filter(|o| o.ballot == ballot) {
                    own.accepted.insert(from.to_string());
                }
                Vec::new()
            }
            Said::Late { promised } => {
                // The next try goes beyond it.
                self.promised = self.promised.clone().max(promised);
                Vec::new()
            }
        }
    }
}
