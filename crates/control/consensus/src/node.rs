//! One node of the consensus group, a state machine from inputs and the current time to outputs.

#[cfg(feature = "defects")]
mod digest;
mod election;
mod follower;
mod leader;
mod leader_state;
mod leadership_transfer;
mod reconfiguration;

use crate::defect::Defect;
use crate::entry::{EntryPayload, Snapshot};
use crate::event::{Input, Output, Persist, PersistedState};
use crate::message::{Message, MessageBody};
use crate::raft_log::RaftLog;
use crate::transfer::IncomingTransfer;
use crate::types::{LogIndex, NodeId, Term, Time, VoterSet};
use crate::{LEADER_LEASE, MIN_ELECTION_TIMEOUT};
use election::CampaignKind;
use fastrand::Rng;
use leader_state::LeaderState;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate {
        pre_vote: bool,
        /// Nodes that granted their vote, including this node.
        granted: BTreeSet<NodeId>,
    },
    Leader(Box<LeaderState>),
}

/// One node of the consensus group.
#[derive(Clone, Debug)]
pub struct RaftNode {
    id: NodeId,
    term: Term,
    /// Candidate that received this node's vote in the current term.
    vote: Option<NodeId>,
    log: RaftLog,
    commit_index: LogIndex,
    role: Role,
    /// Leader of the current term, if known.
    leader: Option<NodeId>,
    last_leader_contact: Option<Time>,
    /// When this node campaigns, unless the leader contacts it earlier.
    election_deadline: Time,
    /// When requests for pre-votes that were not granted are sent again.
    pre_vote_resend_at: Time,
    /// End of the period after a restart in which the node ignores vote requests, since a leader may have
    /// contacted it just before the restart.
    vote_grant_blocked_until: Time,
    incoming_transfer: Option<IncomingTransfer>,
    shutting_down: bool,
    storage_healthy: bool,
    /// Number of voters below which this node, as the leader, does not shrink the set. `None`: it never does.
    min_voters: Option<usize>,
    rng: Rng,
    #[cfg(feature = "defects")]
    defect: Option<Defect>,
}

impl RaftNode {
    /// Creates a node from its persisted state. `seed` initializes the generator of random election timeouts.
    pub fn new(id: NodeId, persisted: PersistedState, seed: u64, now: Time) -> Self {
        let log = RaftLog::new(persisted.snapshot, persisted.entries);
        // Committed entries stay committed across restarts.
        let commit_index = persisted.commit_index.clamp(log.snapshot_index(), log.last_index());
        let may_have_followed_leader = persisted.term > 0;
        let mut node = RaftNode {
            id,
            term: persisted.term,
            vote: persisted.vote,
            log,
            commit_index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            election_deadline: 0,
            pre_vote_resend_at: 0,
            vote_grant_blocked_until: if may_have_followed_leader { now + MIN_ELECTION_TIMEOUT } else { 0 },
            incoming_transfer: None,
            shutting_down: false,
            storage_healthy: true,
            min_voters: None,
            rng: Rng::with_seed(seed),
            #[cfg(feature = "defects")]
            defect: None,
        };
        node.reset_election_timer(now);
        node
    }

    /// Lets this node, as the leader, remove voters that are gone and that no node replaces, two at a time, as long as
    /// this many voters remain.
    pub fn allow_shrinking(&mut self, min_voters: usize) {
        self.min_voters = Some(min_voters);
    }

    /// Returns the id of this node.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the commit index known to this node.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the snapshot at the beginning of the log.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// Returns [`Output::Apply`] for each command after the snapshot that is known to be committed. After a
    /// restart, the caller rebuilds the state machine from these.
    pub fn committed_outputs(&self) -> Vec<Output> {
        let apply = |index| match &self.log.get(index)?.payload {
            EntryPayload::Command(command) => {
                Some(Output::Apply { index, term: self.log.term(index)?, command: command.clone() })
            }
            _ => None,
        };
        (self.log.snapshot_index() + 1..=self.commit_index).filter_map(apply).collect()
    }

    /// Returns the complete state that must be persisted.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            term: self.term,
            vote: self.vote.clone(),
            snapshot: (**self.log.snapshot()).clone(),
            entries: self.log.entries().to_vec(),
            commit_index: self.commit_index,
        }
    }

    /// Returns the index and approximate size in bytes of each entry after the snapshot.
    pub fn entry_sizes(&self) -> impl Iterator<Item = (LogIndex, usize)> + '_ {
        self.log.entry_sizes()
    }

    /// Returns the number of log entries after the snapshot.
    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    /// Returns the voters in this node's log; empty before it knows any. During joint consensus, returns the
    /// new voters.
    pub fn voters(&self) -> &VoterSet {
        self.log.voters().target()
    }

    /// Returns whether joint consensus is in effect, so that decisions need two majorities.
    pub fn is_reconfiguring(&self) -> bool {
        self.log.voters().is_joint()
    }

    /// Returns whether this node is a voter of a committed configuration outside of joint consensus.
    pub fn is_voter(&self) -> bool {
        self.log.voters_index() <= self.commit_index && !self.is_reconfiguring() && self.is_voter_in_log()
    }

    /// Returns whether this node is a voter of the latest configuration in its log, committed or not.
    fn is_voter_in_log(&self) -> bool {
        self.log.voters().contains(&self.id)
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    /// Returns whether this node is the leader of its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the end of the leader lease, until which no other node can have been elected. `None` unless this node
    /// leads, has committed an entry of its term, and has not started a leadership transfer.
    pub fn lease_until(&self) -> Option<Time> {
        let Role::Leader(leader) = &self.role else { return None };
        let holds_lease = self.commit_index >= leader.first_index && !leader.transfer_started;
        holds_lease.then(|| self.quorum_contact(leader).saturating_add(LEADER_LEASE))
    }

    /// Returns when this node last had contact with a quorum: for the leader, the start of the latest
    /// heartbeat round that a majority responded to; for other nodes, the last contact with the leader.
    pub fn last_quorum_contact(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(leader) => Some(self.quorum_contact(leader)),
            _ => self.last_leader_contact,
        }
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ if !self.is_voter_in_log() || !self.storage_healthy => Time::MAX,
            Role::Candidate { pre_vote: true, .. } => self.election_deadline.min(self.pre_vote_resend_at),
            _ => self.election_deadline,
        }
    }

    /// Handles an input, and appends the resulting actions to `outputs` in order.
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Message(message) => self.on_message(now, message, outputs),
            Input::Propose { tag, command } => self.propose(now, tag, command, outputs),
            Input::ReadIndex { tag } => self.read_index(now, tag, outputs),
            Input::Join { id, wants_vote } => self.join(now, &id, wants_vote),
            Input::Bootstrap { voters } => self.bootstrap(now, voters, outputs),
            Input::Shutdown => self.shut_down(outputs),
            Input::StorageHealth { healthy } => self.set_storage_health(now, healthy, outputs),
            Input::Tick => self.tick(now, outputs),
        }
        self.advance_commit_index(now, outputs);
    }

    /// Compacts the log: replaces it up to `index`, which must be committed, by a snapshot of this state. Returns the
    /// change to persist, or `None` if the log was not compacted.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> Option<Persist> {
        if index > self.commit_index || !self.log.compact(index, state) {
            return None;
        }
        Some(Persist::Snapshot { snapshot: (**self.log.snapshot()).clone(), replaces_log: false })
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.is_leader() {
            self.tick_as_leader(now, outputs);
        } else if now >= self.election_deadline && self.is_voter_in_log() && self.storage_healthy {
            self.campaign(now, CampaignKind::PreVote, outputs);
        } else {
            self.resend_pre_vote(now, outputs);
        }
    }

    /// Initializes the log with these voters if it is empty. The term may already be higher; the term and the
    /// vote cast in it are kept.
    fn bootstrap(&mut self, now: Time, voters: VoterSet, outputs: &mut Vec<Output>) {
        let is_empty = self.log.last_index() == 0;
        if !is_empty || !self.storage_healthy || voters.get(&self.id.name) != Some(&self.id.disk_id) {
            return;
        }
        let snapshot = Snapshot { index: 1, term: 1, voters, state: Vec::new() };
        self.term = self.term.max(1);
        self.log = RaftLog::new(snapshot.clone(), Vec::new());
        self.commit_index = 1;
        outputs.push(Output::Persist(Persist::Snapshot { snapshot, replaces_log: true }));
        self.persist_hard_state(outputs);
        // All nodes bootstrap at the same time: only the first by name campaigns at once, to avoid a split vote.
        if self.log.voters().ids().first() == Some(&self.id) {
            self.campaign(now, CampaignKind::PreVote, outputs);
        } else {
            self.reset_election_timer(now);
        }
    }

    fn on_message(&mut self, now: Time, message: Message, outputs: &mut Vec<Output>) {
        // A message to another disk id was meant for a disk that was lost.
        if message.to != self.id || self.ignores_vote_request(now, &message) {
            return;
        }
        let Message { from, term, body, .. } = message;
        if term > self.term && !body.is_pre_vote() {
            self.adopt_term(now, term, outputs);
        }
        if term < self.term && body.is_from_leader() {
            // Tells a leader of an earlier term the current term.
            return self.send(from, self.term, MessageBody::AppendRejected { round: 0, hint: 0 }, outputs);
        }
        self.on_current_message(now, from, term, body, outputs);
    }

    fn on_current_message(
        &mut self,
        now: Time,
        from: NodeId,
        term: Term,
        body: MessageBody,
        outputs: &mut Vec<Output>,
    ) {
        match body {
            MessageBody::RequestVote { pre_vote, last_entry, .. } => {
                self.on_request_vote(now, from, term, pre_vote, last_entry, outputs);
            }
            MessageBody::VoteResponse { pre_vote, granted } => {
                self.on_vote_response(now, from, term, pre_vote, granted, outputs);
            }
            MessageBody::AppendEntries { previous, entries, commit_index, round } => {
                self.follow_leader(now, &from);
                self.on_append_entries(from, previous, entries, commit_index, round, outputs);
            }
            MessageBody::Chunk { content, size, offset, bytes, round } => {
                self.follow_leader(now, &from);
                let chunk = crate::transfer::ReceivedChunk { content, size, offset, bytes };
                self.on_chunk(from, chunk, round, outputs);
            }
            MessageBody::TimeoutNow if self.is_voter_in_log() && self.storage_healthy => {
                self.campaign(now, CampaignKind::Transfer, outputs);
            }
            MessageBody::AppendAccepted { round, match_index } if term == self.term => {
                let last_index = self.log.last_index();
                let update_progress =
                    |p: &mut crate::progress::Progress| p.on_accepted(match_index, last_index);
                self.on_append_response(now, &from, round, update_progress, outputs);
            }
            MessageBody::AppendRejected { round, hint } if term == self.term => {
                let last_index = self.log.last_index();
                self.on_append_response(now, &from, round, |p| p.on_rejected(hint, last_index), outputs);
            }
            MessageBody::ChunkReceived { index, received, round } if term == self.term => {
                let update_progress =
                    |p: &mut crate::progress::Progress| p.on_chunk_received(now, index, received, round);
                self.on_append_response(now, &from, round, update_progress, outputs);
            }
            MessageBody::LeaveRequest => self.on_leave_request(now, from),
            // Responses of an earlier term, and TimeoutNow when this node cannot campaign.
            MessageBody::TimeoutNow
            | MessageBody::AppendAccepted { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::ChunkReceived { .. } => {}
        }
    }

    /// Returns the voters other than this node.
    fn other_voters(&self) -> BTreeSet<NodeId> {
        let mut others = self.log.voters().ids();
        others.remove(&self.id);
        others
    }

    /// Returns whether this defect was planted. Always false in release builds, which lack the feature `defects`.
    fn has_defect(&self, _defect: Defect) -> bool {
        #[cfg(feature = "defects")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "defects"))]
        false
    }

    fn persist_hard_state(&self, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Persist::HardState { term: self.term, vote: self.vote.clone() }));
    }

    fn send(&self, to: NodeId, term: Term, body: MessageBody, outputs: &mut Vec<Output>) {
        outputs.push(Output::Send(Message { from: self.id.clone(), to, term, body }));
    }
}
