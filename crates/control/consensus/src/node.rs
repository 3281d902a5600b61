//! One node of the consensus group: inputs and the time go in, outputs come out.

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
        /// Those who granted their vote, this node among them.
        granted: BTreeSet<NodeId>,
    },
    Leader(Box<LeaderState>),
}

/// One node of the consensus group.
#[derive(Clone, Debug)]
pub struct RaftNode {
    id: NodeId,
    term: Term,
    /// Whom it voted for in this term.
    vote: Option<NodeId>,
    log: RaftLog,
    commit_index: LogIndex,
    role: Role,
    /// Whom it believes to lead.
    leader: Option<NodeId>,
    leader_heard_at: Option<Time>,
    /// It campaigns then, unless it hears the leader before.
    election_deadline: Time,
    /// When a pre-vote that was not granted is asked for again.
    pre_vote_resend_at: Time,
    /// It may have heard a leader just before it was restarted, and must not vote for another so soon.
    vote_grant_blocked_until: Time,
    incoming_transfer: Option<IncomingTransfer>,
    shutting_down: bool,
    storage_healthy: bool,
    rng: Rng,
    #[cfg(feature = "defects")]
    defect: Option<Defect>,
}

impl RaftNode {
    /// Goes on from what is on the disk. `seed`: of the random part of election time-outs.
    pub fn new(id: NodeId, persisted: PersistedState, seed: u64, now: Time) -> Self {
        let log = RaftLog::new(persisted.snapshot, persisted.entries);
        // What was committed once stays so.
        let commit_index = persisted.commit_index.clamp(log.snapshot_index(), log.last_index());
        let may_have_promised = persisted.term > 0;
        let mut node = RaftNode {
            id,
            term: persisted.term,
            vote: persisted.vote,
            log,
            commit_index,
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            election_deadline: 0,
            pre_vote_resend_at: 0,
            vote_grant_blocked_until: if may_have_promised { now + MIN_ELECTION_TIMEOUT } else { 0 },
            incoming_transfer: None,
            shutting_down: false,
            storage_healthy: true,
            rng: Rng::with_seed(seed),
            #[cfg(feature = "defects")]
            defect: None,
        };
        node.reset_election_timer(now);
        node
    }

    /// This node.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// How far the log is committed, as far as this node knows.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The state at the beginning of the log.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// [`Output::Apply`] for each command behind the snapshot that was known to be committed when this node started.
    pub fn committed_outputs(&self) -> Vec<Output> {
        let apply = |index| match &self.log.get(index)?.payload {
            EntryPayload::Command(command) => {
                Some(Output::Apply { index, term: self.log.term(index)?, command: command.clone() })
            }
            _ => None,
        };
        (self.log.snapshot_index() + 1..=self.commit_index).filter_map(apply).collect()
    }

    /// All that is to be on the disk.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            term: self.term,
            vote: self.vote.clone(),
            snapshot: (**self.log.snapshot()).clone(),
            entries: self.log.entries().to_vec(),
            commit_index: self.commit_index,
        }
    }

    /// The index of each entry behind the snapshot, and about how many bytes it takes.
    pub fn entry_sizes(&self) -> impl Iterator<Item = (LogIndex, usize)> + '_ {
        self.log.entry_sizes()
    }

    /// How many entries the log holds behind the snapshot.
    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    /// The voters, as this node knows them; empty before it knows any. During a change, those to come.
    pub fn voters(&self) -> &VoterSet {
        self.log.voters().target()
    }

    /// Whether the voters are being changed, so that two majorities are needed.
    pub fn is_reconfiguring(&self) -> bool {
        self.log.voters().is_joint()
    }

    /// Whether this node is a voter, by all that it knows to be committed.
    pub fn is_voter(&self) -> bool {
        self.log.voters_index() <= self.commit_index && !self.is_reconfiguring() && self.is_voter_in_log()
    }

    /// Whether its vote counts by its own log, committed or not.
    fn is_voter_in_log(&self) -> bool {
        self.log.voters().contains(&self.id)
    }

    /// Whom this node believes to lead.
    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    /// Whether this node leads in its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Until when no other node can have been elected, if this one leads and has committed an entry of its term.
    pub fn lease_until(&self) -> Option<Time> {
        let Role::Leader(leader) = &self.role else { return None };
        let is_sure = self.commit_index >= leader.first_index && !leader.transfer_started;
        is_sure.then(|| self.quorum_contact(leader).saturating_add(LEADER_LEASE))
    }

    /// When this node last knew of a majority: when it heard the leader, or, as the leader, began a heartbeat round that a
    /// majority answered.
    pub fn last_quorum_contact(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(leader) => Some(self.quorum_contact(leader)),
            _ => self.leader_heard_at,
        }
    }

    /// When [`Input::Tick`] is next due.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ if !self.is_voter_in_log() || !self.storage_healthy => Time::MAX,
            Role::Candidate { pre_vote: true, .. } => self.election_deadline.min(self.pre_vote_resend_at),
            _ => self.election_deadline,
        }
    }

    /// Takes an input, and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Message(message) => self.on_message(now, message, out),
            Input::Propose { tag, command } => self.propose(now, tag, command, out),
            Input::ReadIndex { tag } => self.read_index(now, tag, out),
            Input::Join { id, wants_vote } => self.join(now, &id, wants_vote),
            Input::Bootstrap { voters } => self.bootstrap(now, voters, out),
            Input::Shutdown => self.shut_down(out),
            Input::StorageHealth { healthy } => self.set_storage_health(now, healthy, out),
            Input::Tick => self.tick(now, out),
        }
        self.advance_commit_index(now, out);
    }

    /// Replaces the log up to `index`, which must be committed, by this state. What is to be persisted, if it did.
    pub fn compact(&mut self, index: LogIndex, state: Vec<u8>) -> Option<Persist> {
        if index > self.commit_index || !self.log.compact(index, state) {
            return None;
        }
        Some(Persist::Snapshot { snapshot: (**self.log.snapshot()).clone(), replaces_log: false })
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_leader() {
            self.tick_as_leader(now, out);
        } else if now >= self.election_deadline && self.is_voter_in_log() && self.storage_healthy {
            self.campaign(now, CampaignKind::PreVote, out);
        } else {
            self.resend_pre_vote(now, out);
        }
    }

    /// Begins a log with these voters, unless there is one. Its term may be higher already: what it voted there stands.
    fn bootstrap(&mut self, now: Time, voters: VoterSet, out: &mut Vec<Output>) {
        let is_empty = self.log.last_index() == 0;
        if !is_empty || !self.storage_healthy || voters.get(&self.id.name) != Some(&self.id.disk_id) {
            return;
        }
        let snapshot = Snapshot { index: 1, term: 1, voters, state: Vec::new() };
        self.term = self.term.max(1);
        self.log = RaftLog::new(snapshot.clone(), Vec::new());
        self.commit_index = 1;
        out.push(Output::Persist(Persist::Snapshot { snapshot, replaces_log: true }));
        self.persist_hard_state(out);
        // All bootstrap at once: the first by name campaigns, so that they do not split the vote.
        if self.log.voters().ids().first() == Some(&self.id) {
            self.campaign(now, CampaignKind::PreVote, out);
        } else {
            self.reset_election_timer(now);
        }
    }

    fn on_message(&mut self, now: Time, message: Message, out: &mut Vec<Output>) {
        // What is meant for a disk that was lost is for nobody.
        if message.to != self.id || self.ignores_vote_request(now, &message) {
            return;
        }
        let Message { from, term, body, .. } = message;
        if term > self.term && !body.is_pre_vote() {
            self.adopt_term(now, term, out);
        }
        if term < self.term && body.is_from_leader() {
            // So that a leader of an earlier term learns the current one.
            return self.send(from, self.term, MessageBody::AppendRejected { round: 0, hint: 0 }, out);
        }
        self.on_current_message(now, from, term, body, out);
    }

    fn on_current_message(
        &mut self,
        now: Time,
        from: NodeId,
        term: Term,
        body: MessageBody,
        out: &mut Vec<Output>,
    ) {
        match body {
            MessageBody::RequestVote { pre_vote, last_entry, .. } => {
                self.on_request_vote(now, from, term, pre_vote, last_entry, out);
            }
            MessageBody::VoteResponse { pre_vote, granted } => {
                self.on_vote_response(now, from, term, pre_vote, granted, out);
            }
            MessageBody::AppendEntries { previous, entries, commit_index, round } => {
                self.follow_leader(now, &from);
                self.on_append_entries(from, previous, entries, commit_index, round, out);
            }
            MessageBody::Chunk { content, size, offset, bytes, round } => {
                self.follow_leader(now, &from);
                let chunk = crate::transfer::ReceivedChunk { content, size, offset, bytes };
                self.on_chunk(from, chunk, round, out);
            }
            MessageBody::TimeoutNow if self.is_voter_in_log() && self.storage_healthy => {
                self.campaign(now, CampaignKind::Transfer, out);
            }
            MessageBody::AppendAccepted { round, match_index } if term == self.term => {
                let last_index = self.log.last_index();
                let note = |p: &mut crate::progress::Progress| p.on_accepted(match_index, last_index);
                self.on_append_response(now, &from, round, note, out);
            }
            MessageBody::AppendRejected { round, hint } if term == self.term => {
                let last_index = self.log.last_index();
                self.on_append_response(now, &from, round, |p| p.on_rejected(hint, last_index), out);
            }
            MessageBody::ChunkReceived { index, received, round } if term == self.term => {
                let note =
                    |p: &mut crate::progress::Progress| p.on_chunk_received(now, index, received, round);
                self.on_append_response(now, &from, round, note, out);
            }
            MessageBody::LeaveRequest => self.on_leave_request(now, from),
            // Of an earlier term, or not for this node to act on.
            MessageBody::TimeoutNow
            | MessageBody::AppendAccepted { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::ChunkReceived { .. } => {}
        }
    }

    /// The voters without this node.
    fn other_voters(&self) -> BTreeSet<NodeId> {
        let mut others = self.log.voters().ids();
        others.remove(&self.id);
        others
    }

    /// Whether this defect was planted; never in what ships.
    fn has_defect(&self, _defect: Defect) -> bool {
        #[cfg(feature = "defects")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "defects"))]
        false
    }

    fn persist_hard_state(&self, out: &mut Vec<Output>) {
        out.push(Output::Persist(Persist::HardState { term: self.term, vote: self.vote.clone() }));
    }

    fn send(&self, to: NodeId, term: Term, body: MessageBody, out: &mut Vec<Output>) {
        out.push(Output::Send(Message { from: self.id.clone(), to, term, body }));
    }
}
