//! What a leader keeps for as long as it leads.

use crate::progress::Progress;
use crate::types::{LogIndex, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Nodes without a vote that the leader replicates to, at most.
const MAX_LEARNERS: usize = 64;
/// Heartbeat rounds whose start is remembered.
const MAX_TRACKED_ROUNDS: usize = 64;

/// What a leader keeps.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Voters but for the leader, and learners.
    pub progress: BTreeMap<NodeId, Progress>,
    /// The latest heartbeat rounds, the oldest first.
    heartbeat_rounds: VecDeque<HeartbeatRound>,
    pub round: u64,
    pub elected_at: Time,
    pub next_heartbeat: Time,
    /// The index of the leader's first entry.
    pub first_index: LogIndex,
    pub pending_reads: Vec<PendingRead>,
    /// Nodes that joined and are no voters, by name. Those that want a vote wait for a voter that is to be replaced, or for
    /// a second node that waits.
    pub learners: BTreeMap<String, Learner>,
    /// Voters that shut down, and when they last said so.
    pub leaving: BTreeMap<NodeId, Time>,
    /// Another voter was asked to campaign: this leader takes no proposals and extends no lease.
    pub transfer_started: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeartbeatRound {
    number: u64,
    started_at: Time,
}

/// A read that waits for a majority to answer a heartbeat round that began after it.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct PendingRead {
    pub tag: u64,
    pub requested_at: Time,
}

/// A node that joined and is no voter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Learner {
    pub disk_id: u64,
    pub last_joined: Time,
    pub wants_vote: bool,
}

impl LeaderState {
    /// What a leader that was elected now begins with.
    pub fn new(now: Time, first_index: LogIndex, others: BTreeSet<NodeId>) -> Self {
        LeaderState {
            progress: others.into_iter().map(|id| (id, Progress::new(first_index))).collect(),
            heartbeat_rounds: VecDeque::new(),
            round: 0,
            elected_at: now,
            next_heartbeat: now,
            first_index,
            pending_reads: Vec::new(),
            learners: BTreeMap::new(),
            leaving: BTreeMap::new(),
            transfer_started: false,
        }
    }

    /// A heartbeat round starts now.
    pub fn start_round(&mut self, now: Time) {
        self.round += 1;
        self.heartbeat_rounds.push_back(HeartbeatRound { number: self.round, started_at: now });
        if self.heartbeat_rounds.len() > MAX_TRACKED_ROUNDS {
            self.heartbeat_rounds.pop_front();
        }
    }

    /// When a round started; 0 if that is not remembered.
    pub fn round_start(&self, number: u64) -> Time {
        let round = self.heartbeat_rounds.iter().find(|round| round.number == number);
        round.map_or(0, |round| round.started_at)
    }

    /// Remembers a node that joined, if there is room.
    pub fn add_learner(&mut self, now: Time, id: &NodeId, wants_vote: bool) {
        if self.learners.len() < MAX_LEARNERS || self.learners.contains_key(&id.name) {
            let learner = Learner { disk_id: id.disk_id, last_joined: now, wants_vote };
            self.learners.insert(id.name.clone(), learner);
        }
    }

    /// The learners' ids.
    pub fn learner_ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.learners.iter().map(|(name, learner)| NodeId { name: name.clone(), disk_id: learner.disk_id })
    }
}
