//! Who votes at the first start of all: one set, agreed on by a majority of the seeds, which all know, before anybody has a
//! log. Single-decree Paxos (Lamport, 2001), in memory alone: a process that begins again is not at its first start any
//! more and answers nothing here, so that none forgets what it has promised. No I/O and no clock.

use crate::words::{NodeId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A try at it: how many there were before, and whose it is.
pub type Ballot = (u64, String);

/// Among seeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BootstrapMessage {
    /// Who answers takes part in no earlier ballot any more.
    Prepare {
        ballot: Ballot,
    },
    /// It does so; what it has accepted in the latest ballot before.
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, VoterSet)>,
    },
    Accept {
        ballot: Ballot,
        members: VoterSet,
    },
    Accepted {
        ballot: Ballot,
    },
    /// It has promised a later one.
    #[serde(rename = "Late")]
    Rejected {
        promised: Ballot,
    },
}

/// A seed at the first start.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    name: String,
    seeds: BTreeSet<String>,
    promised: Ballot,
    accepted: Option<(Ballot, VoterSet)>,
    /// Its own try.
    proposal: Option<Proposal>,
}

#[derive(Clone, Debug)]
struct Proposal {
    ballot: Ballot,
    members: VoterSet,
    promises: BTreeMap<String, Option<(Ballot, VoterSet)>>,
    accepted: BTreeSet<String>,
}

impl Bootstrap {
    pub fn new(me: &str, seeds: impl IntoIterator<Item = String>) -> Self {
        Bootstrap { name: me.into(), seeds: seeds.into_iter().collect(), ..Bootstrap::default() }
    }

    /// Stands for these voters, or for what has been agreed on already; what to say to whom.
    pub fn propose(&mut self, members: VoterSet) -> Vec<(String, BootstrapMessage)> {
        let ballot = (self.promised.0 + 1, self.name.clone());
        let (promises, accepted) = (BTreeMap::new(), BTreeSet::new());
        self.proposal = Some(Proposal { ballot: ballot.clone(), members, promises, accepted });
        let to_all = self.to_all(&BootstrapMessage::Prepare { ballot });
        self.deliver_own(to_all)
    }

    /// What is agreed on, if this one knows it.
    pub fn chosen(&self) -> Option<&VoterSet> {
        let own = self.proposal.as_ref()?;
        (2 * own.accepted.len() > self.seeds.len()).then_some(&own.members)
    }

    /// Another seed at its first start says something.
    pub fn on_message(&mut self, from: &NodeId, said: BootstrapMessage) -> Vec<(String, BootstrapMessage)> {
        if !self.seeds.contains(&from.name) {
            return Vec::new();
        }
        let answers = self.handle(&from.name, said);
        self.deliver_own(answers)
    }

    fn to_all(&self, said: &BootstrapMessage) -> Vec<(String, BootstrapMessage)> {
        self.seeds.iter().map(|seed| (seed.clone(), said.clone())).collect()
    }

    /// What it says to itself is heard at once.
    fn deliver_own(&mut self, mut said: Vec<(String, BootstrapMessage)>) -> Vec<(String, BootstrapMessage)> {
        let mut out = Vec::new();
        while let Some((to, what)) = said.pop() {
            if to == self.name {
                let me = self.name.clone();
                said.extend(self.handle(&me, what));
            } else {
                out.push((to, what));
            }
        }
        out
    }

    fn handle(&mut self, from: &str, said: BootstrapMessage) -> Vec<(String, BootstrapMessage)> {
        let answer = |said| vec![(from.to_string(), said)];
        match said {
            BootstrapMessage::Prepare { ballot } if ballot < self.promised => {
                answer(BootstrapMessage::Rejected { promised: self.promised.clone() })
            }
            BootstrapMessage::Prepare { ballot } => {
                self.promised = ballot.clone();
                answer(BootstrapMessage::Promise { ballot, accepted: self.accepted.clone() })
            }
            BootstrapMessage::Accept { ballot, .. } if ballot < self.promised => {
                answer(BootstrapMessage::Rejected { promised: self.promised.clone() })
            }
            BootstrapMessage::Accept { ballot, members } => {
                self.promised = ballot.clone();
                self.accepted = Some((ballot.clone(), members));
                answer(BootstrapMessage::Accepted { ballot })
            }
            BootstrapMessage::Promise { ballot, accepted } => {
                let most = self.seeds.len();
                let Some(own) = self.proposal.as_mut().filter(|o| o.ballot == ballot) else {
                    return Vec::new();
                };
                let before = own.promises.len();
                own.promises.insert(from.to_string(), accepted);
                if 2 * before > most || 2 * own.promises.len() <= most {
                    return Vec::new();
                }
                let latest = own.promises.values().flatten().max_by(|a, b| a.0.cmp(&b.0));
                if let Some((_, members)) = latest {
                    own.members = members.clone();
                }
                let said = BootstrapMessage::Accept { ballot, members: own.members.clone() };
                self.to_all(&said)
            }
            BootstrapMessage::Accepted { ballot } => {
                if let Some(own) = self.proposal.as_mut().filter(|o| o.ballot == ballot) {
                    own.accepted.insert(from.to_string());
                }
                Vec::new()
            }
            BootstrapMessage::Rejected { promised } => {
                // The next try goes beyond it.
                self.promised = self.promised.clone().max(promised);
                Vec::new()
            }
        }
    }
}
