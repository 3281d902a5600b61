//! Cluster bootstrap: at the first start the seeds agree on the initial voters, before any node has a log.
//!
//! Single-decree Paxos (Lamport, 2001) among the seeds, which all nodes know. The state is kept in memory only: a
//! restarted process is no longer at its first start and does not take part, so that no participant forgets its
//! promises. No I/O and no clock.

use crate::types::{NodeId, VoterSet};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ballot number of a proposal: unique to its proposer and totally ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// One more than the highest round known to the proposer.
    pub round: u64,
    /// Name of the proposing seed.
    pub proposer: String,
}

/// The proposal that a seed has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// Ballot in which it was accepted.
    pub ballot: Ballot,
    /// The accepted voters.
    pub voters: VoterSet,
}

/// A message between seeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BootstrapMessage {
    /// Phase 1a: asks for a promise to accept nothing in an earlier ballot.
    Prepare {
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Phase 1b: promises to accept nothing in an earlier ballot.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The proposal accepted in the latest earlier ballot, if any.
        accepted: Option<AcceptedProposal>,
    },
    /// Phase 2a: asks to accept a proposal.
    Accept {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// The proposed voters.
        voters: VoterSet,
    },
    /// Phase 2b: the proposal was accepted.
    Accepted {
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Rejects a ballot because a later one was promised.
    #[serde(rename = "Late")]
    Rejected {
        /// The later ballot.
        promised: Ballot,
    },
}

/// Name of the recipient seed, and the message.
pub(crate) type Outgoing = (String, BootstrapMessage);

/// State of one seed during bootstrap, both as proposer and as acceptor.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    name: String,
    seeds: BTreeSet<String>,
    promised: Ballot,
    accepted: Option<AcceptedProposal>,
    proposal: Option<Proposal>,
}

/// State of this seed's own proposal.
#[derive(Clone, Debug)]
struct Proposal {
    ballot: Ballot,
    voters: VoterSet,
    promises: BTreeMap<String, Option<AcceptedProposal>>,
    accepted_by: BTreeSet<String>,
}

impl Bootstrap {
    /// Creates the state of the seed `name`; `seeds` contains all seeds.
    pub fn new(name: &str, seeds: impl IntoIterator<Item = String>) -> Self {
        Bootstrap { name: name.into(), seeds: seeds.into_iter().collect(), ..Bootstrap::default() }
    }

    /// Starts a proposal of these voters, or of those accepted in an earlier ballot. Returns the messages to send.
    pub fn propose(&mut self, voters: VoterSet) -> Vec<Outgoing> {
        let ballot = Ballot { round: self.promised.round + 1, proposer: self.name.clone() };
        self.proposal = Some(Proposal {
            ballot: ballot.clone(),
            voters,
            promises: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
        });
        let messages = self.to_all_seeds(&BootstrapMessage::Prepare { ballot });
        self.handle_own(messages)
    }

    /// Returns the voters of this seed's proposal if it was chosen.
    pub fn chosen(&self) -> Option<&VoterSet> {
        let proposal = self.proposal.as_ref()?;
        (2 * proposal.accepted_by.len() > self.seeds.len()).then_some(&proposal.voters)
    }

    /// Handles a message from another seed. Returns the messages to send.
    pub fn on_message(&mut self, from: &NodeId, message: BootstrapMessage) -> Vec<Outgoing> {
        if !self.seeds.contains(&from.name) {
            return Vec::new();
        }
        let replies = self.handle(&from.name, message);
        self.handle_own(replies)
    }

    /// Addresses a message to each seed, including this one.
    fn to_all_seeds(&self, message: &BootstrapMessage) -> Vec<Outgoing> {
        self.seeds.iter().map(|seed| (seed.clone(), message.clone())).collect()
    }

    /// Handles messages to this seed itself immediately. Returns the others.
    fn handle_own(&mut self, mut messages: Vec<Outgoing>) -> Vec<Outgoing> {
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
        let reply = |message| vec![(from.to_string(), message)];
        match message {
            BootstrapMessage::Prepare { ballot } | BootstrapMessage::Accept { ballot, .. }
                if ballot < self.promised =>
            {
                reply(BootstrapMessage::Rejected { promised: self.promised.clone() })
            }
            BootstrapMessage::Prepare { ballot } => {
                self.promised = ballot.clone();
                reply(BootstrapMessage::Promise { ballot, accepted: self.accepted.clone() })
            }
            BootstrapMessage::Accept { ballot, voters } => {
                self.promised = ballot.clone();
                self.accepted = Some(AcceptedProposal { ballot: ballot.clone(), voters });
                reply(BootstrapMessage::Accepted { ballot })
            }
            BootstrapMessage::Promise { ballot, accepted } => self.on_promise(from, &ballot, accepted),
            BootstrapMessage::Accepted { ballot } => {
                if let Some(proposal) = self.proposal.as_mut().filter(|p| p.ballot == ballot) {
                    proposal.accepted_by.insert(from.to_string());
                }
                Vec::new()
            }
            BootstrapMessage::Rejected { promised } => {
                // The next proposal uses a higher round.
                self.promised = self.promised.clone().max(promised);
                Vec::new()
            }
        }
    }

    /// Records a promise. With a majority of promises, proceeds to phase 2 with the latest proposal accepted
    /// by any of these seeds, or otherwise with this seed's own voters.
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
