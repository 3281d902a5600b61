//! Bootstrap at the first start of the system: the seeds agree on the initial voters ([`consensus::Bootstrap`]).
//!
//! The first seed by name proposes voters once it has heard from all seeds, or has waited for them long enough, and
//! has heard from no new node for a while; later seeds follow if that proposal does not succeed. Each chosen voter
//! then starts a log on its own disk. A restarted node, or a node that lost its disk, is not at its first start.

use crate::{ControlNode, NodeConfig, Time, MS};
use consensus::{Bootstrap, BootstrapMessage, Input, NodeId, VoterSet};
use messages::ControlMessage;
use std::collections::{BTreeMap, BTreeSet};

const POLL_INTERVAL: Time = 50 * MS;
/// Interval between two proposals by the same seed.
const PROPOSAL_INTERVAL: Time = 5 * POLL_INTERVAL;
/// The first seed proposes when it has learned of no new node for this long.
const SETTLING_TIME: Time = 900 * MS;
/// Additional delay of each following seed, by rank.
const RANK_DELAY: Time = 1000 * MS;
/// Seeds that have not been heard from are waited for until this long after the start of this node.
const SEED_TIMEOUT: Time = 3000 * MS;

/// State of a node that takes part in the bootstrap.
pub(crate) struct Bootstrapper {
    paxos: Bootstrap,
    seeds: BTreeSet<String>,
    /// Position of this node among the seeds in name order; `None` if it is not a seed and never proposes.
    rank: Option<u64>,
    /// Nodes at their first start, by name, each with its disk id if it has a disk.
    starting_nodes: BTreeMap<String, Option<u64>>,
    started_at: Time,
    /// When an increase of the node count was last noticed.
    last_new_node_at: Time,
    node_count: usize,
    next_poll: Time,
}

impl Bootstrapper {
    /// Creates the state, or returns `None` if this is not the first start.
    pub fn new(config: &NodeConfig, now: Time) -> Option<Self> {
        if !config.initial_start {
            return None;
        }
        let name = &config.id.name;
        let seeds: BTreeSet<String> = config.seeds.iter().cloned().collect();
        let rank = seeds.iter().position(|seed| seed == name).map(|rank| rank as u64);
        Some(Bootstrapper {
            paxos: Bootstrap::new(name, seeds.iter().cloned()),
            rank,
            seeds,
            starting_nodes: [(name.clone(), config.can_vote.then_some(config.id.disk_id))].into(),
            started_at: now,
            last_new_node_at: now,
            node_count: 0,
            next_poll: if rank.is_some() { now + POLL_INTERVAL } else { Time::MAX },
        })
    }

    /// Returns when the next check for this seed's turn is due.
    pub fn next_due(&self) -> Time {
        self.next_poll
    }

    /// Records another node at its first start.
    pub fn on_hello(&mut self, name: &str, disk_id: Option<u64>) {
        self.starting_nodes.insert(name.into(), disk_id);
    }

    /// Returns whether it is this seed's turn to propose: it waits for no further seed, and has learned of no new node
    /// for [`SETTLING_TIME`] and its delay by rank.
    fn is_turn(&mut self, now: Time) -> bool {
        let Some(rank) = self.rank else { return false };
        let node_count = self.starting_nodes.len();
        if std::mem::replace(&mut self.node_count, node_count) != node_count {
            self.last_new_node_at = now;
        }
        let heard_all_seeds = self.seeds.iter().all(|seed| self.starting_nodes.contains_key(seed));
        let seed_timeout_passed = now.saturating_sub(self.started_at) >= SEED_TIMEOUT;
        let has_settled = now.saturating_sub(self.last_new_node_at) >= SETTLING_TIME + RANK_DELAY * rank;
        (heard_all_seeds || seed_timeout_passed) && has_settled
    }

    /// Returns the nodes that have a disk.
    fn candidates(&self) -> VoterSet {
        let with_disk = self.starting_nodes.iter().filter_map(|(name, id)| Some((name.clone(), (*id)?)));
        with_disk.collect()
    }
}

impl ControlNode {
    /// If a check is due and it is this seed's turn, proposes the initial voters, or sends them out once they are
    /// chosen. Stops the checks when this node knows of a log.
    pub(crate) fn try_bootstrap(&mut self) {
        let now = self.now;
        let Some(bootstrapper) = self.bootstrapper.as_mut().filter(|b| b.next_poll <= now) else { return };
        let has_log = !self.leadership.voters.is_empty() || self.leadership.leader.is_some();
        if has_log {
            bootstrapper.next_poll = Time::MAX;
            return;
        }
        bootstrapper.next_poll = now + POLL_INTERVAL;
        if bootstrapper.is_turn(now) {
            bootstrapper.next_poll = now + PROPOSAL_INTERVAL;
            self.propose_voters();
        }
    }

    /// Sends the chosen voters to each of them, so that they start a log; if none are chosen yet, proposes the known
    /// nodes that have a disk.
    fn propose_voters(&mut self) {
        let Some(bootstrapper) = &mut self.bootstrapper else { return };
        let Some(voters) = bootstrapper.paxos.chosen().cloned() else {
            let candidates = bootstrapper.candidates();
            if candidates.is_empty() {
                return log::error!("bootstrap: no control node has a disk; nothing can be committed");
            }
            log::info!("bootstrap: proposing {} voters", candidates.len());
            let messages = bootstrapper.paxos.propose(candidates);
            return self.send_bootstrap_messages(messages);
        };
        log::info!("bootstrap: {} voters are chosen", voters.len());
        for name in voters.keys() {
            if *name == self.config.id.name {
                self.enqueue(Input::Bootstrap { voters: voters.clone() });
            } else {
                self.send_to(name, ControlMessage::BootstrapChosen { voters: voters.clone() });
            }
        }
    }

    fn send_bootstrap_messages(&mut self, messages: Vec<(String, BootstrapMessage)>) {
        for (to, message) in messages {
            self.send_to(&to, ControlMessage::Bootstrap(message));
        }
    }

    pub(crate) fn on_bootstrap_message(&mut self, from: &NodeId, message: BootstrapMessage) {
        if let Some(bootstrapper) = &mut self.bootstrapper {
            let answers = bootstrapper.paxos.on_message(from, message);
            self.send_bootstrap_messages(answers);
        }
    }
}
