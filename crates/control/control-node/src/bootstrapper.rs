//! The first start of all: the seeds agree on the first voters ([`consensus::Bootstrap`]).
//!
//! The first seed by name proposes once it has heard all seeds and no new node for a while, the next ones if nothing comes of
//! that. All voters that are chosen begin a log then, each on its own disk. A node that restarts, or whose disk was lost, is
//! not at its first start.

use crate::{ControlNode, NodeConfig, Time, MS};
use consensus::{Bootstrap, BootstrapMessage, Input, NodeId, VoterSet};
use messages::ControlMessage;
use std::collections::{BTreeMap, BTreeSet};

const POLL_INTERVAL: Time = 50 * MS;
/// Between two proposals of one seed.
const PROPOSAL_INTERVAL: Time = 5 * POLL_INTERVAL;
/// The first seed proposes when no new node has been heard of for so long.
const SETTLING_TIME: Time = 900 * MS;
/// Each next seed proposes so much later.
const RANK_DELAY: Time = 1000 * MS;
/// A seed that has not been heard by then is not waited for.
const SEED_TIMEOUT: Time = 3000 * MS;

/// A node's part in the first start.
pub(crate) struct Bootstrapper {
    consensus: Bootstrap,
    seeds: BTreeSet<String>,
    /// This node's place among the seeds; none: it proposes nothing.
    rank: Option<u64>,
    /// The nodes that are at their first start, each with its disk's id, if it has a disk.
    starting_nodes: BTreeMap<String, Option<u64>>,
    started: Time,
    /// When a new node was last heard of.
    last_new_node: Time,
    node_count: usize,
    next_poll: Time,
}

impl Bootstrapper {
    /// None, if this is not the first start.
    pub fn new(config: &NodeConfig, now: Time) -> Option<Self> {
        if !config.initial_start {
            return None;
        }
        let name = &config.id.name;
        let seeds: BTreeSet<String> = config.seeds.iter().cloned().collect();
        let rank = seeds.iter().position(|seed| seed == name).map(|rank| rank as u64);
        Some(Bootstrapper {
            consensus: Bootstrap::new(name, seeds.iter().cloned()),
            rank,
            seeds,
            starting_nodes: [(name.clone(), config.can_vote.then_some(config.id.disk_id))].into(),
            started: now,
            last_new_node: now,
            node_count: 0,
            next_poll: if rank.is_some() { now + POLL_INTERVAL } else { Time::MAX },
        })
    }

    /// When it next looks whether it is its turn.
    pub fn next_due(&self) -> Time {
        self.next_poll
    }

    /// Another node is at its first start.
    pub fn on_hello(&mut self, name: &str, disk_id: Option<u64>) {
        self.starting_nodes.insert(name.into(), disk_id);
    }

    /// Whether it is this seed's turn to propose.
    fn is_turn(&mut self, now: Time) -> bool {
        let Some(rank) = self.rank else { return false };
        let node_count = self.starting_nodes.len();
        if std::mem::replace(&mut self.node_count, node_count) != node_count {
            self.last_new_node = now;
        }
        let heard_all_seeds = self.seeds.iter().all(|seed| self.starting_nodes.contains_key(seed));
        let waited_for_seeds = now.saturating_sub(self.started) >= SEED_TIMEOUT;
        let has_settled = now.saturating_sub(self.last_new_node) >= SETTLING_TIME + RANK_DELAY * rank;
        (heard_all_seeds || waited_for_seeds) && has_settled
    }

    /// The nodes that have a disk.
    fn candidates(&self) -> VoterSet {
        let with_disk = self.starting_nodes.iter().filter_map(|(name, id)| Some((name.clone(), (*id)?)));
        with_disk.collect()
    }
}

impl ControlNode {
    /// Proposes the first voters, if it is time and this seed's turn.
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

    /// Tells the voters that are chosen to begin a log; else proposes those that are known.
    fn propose_voters(&mut self) {
        let Some(bootstrapper) = &mut self.bootstrapper else { return };
        let Some(voters) = bootstrapper.consensus.chosen().cloned() else {
            let candidates = bootstrapper.candidates();
            if candidates.is_empty() {
                return log::error!("bootstrap: no control node has a disk: nothing can be committed");
            }
            log::info!("bootstrap: proposing {} voters", candidates.len());
            let messages = bootstrapper.consensus.propose(candidates);
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
            let answers = bootstrapper.consensus.on_message(from, message);
            self.send_bootstrap_messages(answers);
        }
    }
}
