//! The first start of all: the seeds agree on the first voters before any node has a log.
//!
//! Single-decree Paxos (Lamport, 2001) among the seeds, which all nodes know. It lives in memory alone: a process that
//! restarts is not at its first start any more and takes no part, so that none forgets what it has promised. No I/O and no
//! clock.

use crate::types::{NodeId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The number of a proposal: unique to its proposer, and ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// One more than the highest that the proposer knows of.
    pub round: u64,
    /// The seed that proposes.
    pub proposer: String,
}

/// What a seed has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// In this ballot.
    pub ballot: Ballot,
    /// These voters.
    pub voters: VoterSet,
}

/// A message between seeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BootstrapMessage {
    /// Phase 1a: promise to accept nothing in an earlier ballot.
    Prepare {
        /// The proposal's.
        ballot: Ballot,
    },
    /// Phase 1b.
    Promise {
        /// The one that is promised.
        ballot: Ballot,
        /// What was accepted in the latest ballot before, if anything.
        accepted: Option<AcceptedProposal>,
    },
    /// Phase 2a.
    Accept {
        /// The proposal's.
        ballot: Ballot,
        /// What is proposed.
        voters: VoterSet,
    },
    /// Phase 2b.
    Accepted {
        /// The proposal's.
        ballot: Ballot,
    },
    /// A later ballot was promised.
    #[serde(rename = "Late")]
    Rejected {
        /// That one.
        promised: Ballot,
    },
}

/// A message and the seed that it is for.
pub(crate) type Outgoing = (String, BootstrapMessage);

/// A seed at the first start.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    name: String,
    seeds: BTreeSet<String>,
    promised: Ballot,
    accepted: Option<AcceptedProposal>,
    proposal: Option<Proposal>,
}

/// What this seed proposes.
#[derive(Clone, Debug)]
struct Proposal {
    ballot: Ballot,
    voters: VoterSet,
    promises: BTreeMap<String, Option<AcceptedProposal>>,
    accepted_by: BTreeSet<String>,
}

impl Bootstrap {
    /// This seed, and all of them.
    pub fn new(name: &str, seeds: impl IntoIterator<Item = String>) -> Self {
        Bootstrap { name: name.into(), seeds: seeds.into_iter().collect(), ..Bootstrap::default() }
    }

    /// Proposes these voters, or whatever was accepted before; what to send to whom.
    pub fn propose(&mut self, voters: VoterSet) -> Vec<Outgoing> {
        let ballot = Ballot { round: self.promised.round + 1, proposer: self.name.clone() };
        self.proposal = Some(Proposal {
            ballot: ballot.clone(),
            voters,
            promises: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
        });
        let messages = self.to_all_seeds(&BootstrapMessage::Prepare { ballot });
        self.deliver_own(messages)
    }

    /// The voters that were chosen, if this seed's proposal was.
    pub fn chosen(&self) -> Option<&VoterSet> {
        let proposal = self.proposal.as_ref()?;
        (2 * proposal.accepted_by.len() > self.seeds.len()).then_some(&proposal.voters)
    }

    /// Another seed's message; what to send to whom.
    pub fn on_message(&mut self, from: &NodeId, message: BootstrapMessage) -> Vec<Outgoing> {
        if !self.seeds.contains(&from.name) {
            return Vec::new();
        }
        let answers = self.handle(&from.name, message);
        self.deliver_own(answers)
    }

    fn to_all_seeds(&self, message: &BootstrapMessage) -> Vec<Outgoing> {
        self.seeds.iter().map(|seed| (seed.clone(), message.clone())).collect()
    }

    /// Handles at once what is for this seed itself; the rest is to be sent.
    fn deliver_own(&mut self, mut messages: Vec<Outgoing>) -> Vec<Outgoing> {
        let mut to_send = Vec::new();
        while let Some((to, message)) = messages.pop() {
            if to == self.name {
                messages.extend(self.handle(&to, message));
            } else {
                to_send.push((to, message));
            }
        }
        to_send
    }

    fn handle(&mut self, from: &str, message: BootstrapMessage) -> Vec<Outgoing> {
        let answer = |message| vec![(from.to_string(), message)];
        match message {
            BootstrapMessage::Prepare { ballot } | BootstrapMessage::Accept { ballot, .. }
                if ballot < self.promised =>
            {
                answer(BootstrapMessage::Rejected { promised: self.promised.clone() })
            }
            BootstrapMessage::Prepare { ballot } => {
                self.promised = ballot.clone();
                answer(BootstrapMessage::Promise { ballot, accepted: self.accepted.clone() })
            }
            BootstrapMessage::Accept { ballot, voters } => {
                self.promised = ballot.clone();
                self.accepted = Some(AcceptedProposal { ballot: ballot.clone(), voters });
                answer(BootstrapMessage::Accepted { ballot })
            }
            BootstrapMessage::Promise { ballot, accepted } => self.on_promise(from, &ballot, accepted),
            BootstrapMessage::Accepted { ballot } => {
                if let Some(proposal) = self.proposal.as_mut().filter(|p| p.ballot == ballot) {
                    proposal.accepted_by.insert(from.to_string());
                }
                Vec::new()
            }
            BootstrapMessage::Rejected { promised } => {
                // The next proposal goes beyond it.
                self.promised = self.promised.clone().max(promised);
                Vec::new()
            }
        }
    }

    /// With a majority of promises, the latest proposal that any of them accepted is the one to go on with.
    fn on_promise(
        &mut self,
        from: &str,
        ballot: &Ballot,
        accepted: Option<AcceptedProposal>,
    ) -> Vec<Outgoing> {
        let seed_count = self.seeds.len();
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.ballot == *ballot) else {
            return Vec::new();
        };
        let had_majority = 2 * proposal.promises.len() > seed_count;
        proposal.promises.insert(from.to_string(), accepted);
        let has_majority = 2 * proposal.promises.len() > seed_count;
        if had_majority || !has_majority {
            return Vec::new();
        }
        let latest = proposal.promises.values().flatten().max_by(|a, b| a.ballot.cmp(&b.ballot));
        if let Some(latest) = latest {
            proposal.voters = latest.voters.clone();
        }
        let accept = BootstrapMessage::Accept { ballot: ballot.clone(), voters: proposal.voters.clone() };
        self.to_all_seeds(&accept)
    }
}
