//! Volatile state of a leader.

use crate::progress::Progress;
use crate::types::{LogIndex, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of learners that the leader replicates to.
const MAX_LEARNERS: usize = 64;
/// Number of latest heartbeat rounds whose start is kept.
const MAX_TRACKED_ROUNDS: usize = 64;

/// Volatile state of a leader, created at its election.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Progress of the voters other than the leader, and of the learners.
    pub progress: BTreeMap<NodeId, Progress>,
    /// The latest heartbeat rounds, oldest first.
    heartbeat_rounds: VecDeque<HeartbeatRound>,
    pub round: u64,
    pub elected_at: Time,
    pub next_heartbeat: Time,
    /// Index of the leader's first entry in this term.
    pub first_index: LogIndex,
    pub pending_reads: Vec<PendingRead>,
    /// Nodes that joined and are not voters, by name. Those that want to vote wait for a voter to replace, or for a
    /// second waiting node to be added with.
    pub learners: BTreeMap<String, Learner>,
    /// Voters that are shutting down, and the time of their latest leave request.
    pub leaving: BTreeMap<NodeId, Time>,
    /// Whether another voter was asked to campaign. The leader then accepts no proposals and has no lease.
    pub transfer_started: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeartbeatRound {
    number: u64,
    started_at: Time,
}

/// A read that waits until a majority responds to a heartbeat round that started at or after the request.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct PendingRead {
    pub tag: u64,
    pub requested_at: Time,
}

/// A node that joined and is not a voter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Learner {
    pub disk_id: u64,
    pub last_join_at: Time,
    pub wants_vote: bool,
}

impl LeaderState {
    /// Creates the state of a leader elected at `now`.
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

    /// Records the start of a new heartbeat round.
    pub fn start_round(&mut self, now: Time) {
        self.round += 1;
        self.heartbeat_rounds.push_back(HeartbeatRound { number: self.round, started_at: now });
        if self.heartbeat_rounds.len() > MAX_TRACKED_ROUNDS {
            self.heartbeat_rounds.pop_front();
        }
    }

    /// Returns when a round started; 0 if it is no longer known.
    pub fn round_start(&self, number: u64) -> Time {
        let round = self.heartbeat_rounds.iter().find(|round| round.number == number);
        round.map_or(0, |round| round.started_at)
    }

    /// Adds a learner unless the maximum number is reached, or refreshes a known one.
    pub fn add_learner(&mut self, now: Time, id: &NodeId, wants_vote: bool) {
        if self.learners.len() < MAX_LEARNERS || self.learners.contains_key(&id.name) {
            let learner = Learner { disk_id: id.disk_id, last_join_at: now, wants_vote };
            self.learners.insert(id.name.clone(), learner);
        }
    }

    /// Returns the ids of the learners.
    pub fn learner_ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.learners.iter().map(|(name, learner)| NodeId { name: name.clone(), disk_id: learner.disk_id })
    }
}
