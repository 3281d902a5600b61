//! Agreement among those who hold the configuration: one holder of the duty by term, elected by a majority or named by
//! the holder before; a log that a majority has on disk before a word of it counts; reads that are newest. After Raft
//! (Ongaro and Ousterhout, 2014; Ongaro's thesis for trial votes, changes of members by joint consensus, and the
//! hand-over of the duty). No I/O and no clock.
//!
//! What it promises, whatever is lost, late, doubled or cut, and whoever dies, freezes or loses a disk, as long as no
//! more disks are lost at once than a minority of the voters:
//! - what was applied anywhere is applied everywhere at the same place, and never undone;
//! - [`Output::Newest`] comes only behind all that was agreed on before the read was asked for.
#![forbid(unsafe_code)]

mod defect;
mod founding;
mod log;
mod members;
mod sending;
mod words;

pub use defect::Defect;
pub use founding::{Ballot, Bootstrap, BootstrapMessage as FoundingSaid};
pub use words::{
    Entry, EntryPayload, Input, LogIndex, Message, MessageBody, NodeId, Output, Persist, PersistedState,
    Snapshot, Term, Time, TransferContent, VoterSet,
};

use fastrand::Rng;
use log::RaftLog;
use members::{improved_voter_set, Health};
use sending::{ChunkOutcome, IncomingTransfer, Progress};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Time = 1_000_000;
/// The holder is heard so often at the least.
pub const HEARTBEAT_INTERVAL: Time = 100 * MS;
/// Nobody votes for another within so long of having heard the holder; somebody stands up after up to twice that.
pub const MIN_ELECTION_TIMEOUT: Time = 500 * MS;
/// Lent rights of a holder rest on a majority heard within so long: less than [`PATIENCE`] by what clocks may differ.
pub const LEADER_LEASE: Time = 400 * MS;
/// A voter that has not answered for so long has its place taken by another that waits for one.
pub const VOTER_REPLACEMENT_TIMEOUT: Time = 2_000 * MS;
/// Those who are told the log without a vote, at most.
const MAX_LEARNERS: usize = 64;
/// Rounds whose start is remembered.
const MAX_TRACKED_ROUNDS: usize = 64;

#[derive(Clone, Debug)]
struct LeaderState {
    progress: BTreeMap<NodeId, Progress>,
    /// Rounds not answered by all yet: number and start.
    heartbeat_rounds: VecDeque<(u64, Time)>,
    round: u64,
    elected_at: Time,
    next_heartbeat: Time,
    /// Where its first entry stands.
    first_index: LogIndex,
    pending_reads: Vec<(u64, Time)>,
    /// Those who knock and are no voters: the disk's id, when, and whether they want a vote. They are replicated to; who
    /// wants a vote waits for one that is to be replaced, or for a second that waits.
    learners: BTreeMap<String, (u64, Time, bool)>,
    /// Voters that are told to end, and when they last said so.
    leaving: BTreeMap<NodeId, Time>,
    /// It has named another: it lends and takes nothing any more.
    transfer_started: bool,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate { pre_vote: bool, granted: BTreeSet<NodeId> },
    Leader(Box<LeaderState>),
}

/// One who takes part.
#[derive(Clone, Debug)]
pub struct RaftNode {
    id: NodeId,
    term: Term,
    vote: Option<NodeId>,
    log: RaftLog,
    commit_index: LogIndex,
    role: Role,
    leader: Option<NodeId>,
    /// When the holder was last heard.
    leader_heard_at: Option<Time>,
    election_deadline: Time,
    /// What it promised by its silence before it was started may hold until then: it votes for nobody.
    vote_grant_blocked_until: Time,
    /// What comes in parts.
    incoming_transfer: Option<IncomingTransfer>,
    /// This process is told to end.
    shutting_down: bool,
    /// What is to be saved comes to the disk.
    storage_healthy: bool,
    rng: Rng,
    #[cfg(feature = "defects")]
    defect: Option<Defect>,
}

impl RaftNode {
    /// Goes on from what is on the disk.
    pub fn new(id: NodeId, stored: PersistedState, seed: u64, now: Time) -> Self {
        let log = RaftLog::new(stored.snapshot, stored.entries);
        // What was agreed on once is for good.
        let agreed = stored.commit_index.clamp(log.snapshot_index(), log.last_position().1);
        let mut core = RaftNode {
            id,
            term: stored.term,
            vote: stored.vote,
            log,
            commit_index: agreed,
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            election_deadline: 0,
            vote_grant_blocked_until: if stored.term > 0 { now + MIN_ELECTION_TIMEOUT } else { 0 },
            incoming_transfer: None,
            shutting_down: false,
            storage_healthy: true,
            rng: Rng::with_seed(seed),
            #[cfg(feature = "defects")]
            defect: None,
        };
        core.reset_election_timer(now);
        core
    }

    pub fn id(&self) -> &NodeId {
        &self.id
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// How far the log is agreed on, as far as is known here.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The state at the start of the log.
    pub fn snapshot_state(&self) -> (LogIndex, &[u8]) {
        (self.log.snapshot_index(), &self.log.snapshot().state)
    }

    /// What is agreed on behind the state at the start, as it was known when this one began.
    pub fn committed_outputs(&self) -> Vec<Output> {
        let places = self.log.snapshot_index() + 1..=self.commit_index;
        let word = |place| match &self.log.get(place)?.payload {
            EntryPayload::Command(word) => {
                Some(Output::Apply { index: place, term: self.log.term(place)?, command: word.clone() })
            }
            _ => None,
        };
        places.filter_map(word).collect()
    }

    /// All that is to be on the disk.
    pub fn persisted_state(&self) -> PersistedState {
        let (snapshot, entries) = ((**self.log.snapshot()).clone(), self.log.entries().to_vec());
        PersistedState {
            term: self.term,
            vote: self.vote.clone(),
            snapshot,
            entries,
            commit_index: self.commit_index,
        }
    }

    /// The places and sizes in bytes of the entries that are kept.
    pub fn entry_sizes(&self) -> impl Iterator<Item = (LogIndex, usize)> + '_ {
        self.log.entry_sizes()
    }

    /// Entries that are kept.
    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    /// The voters, as this one knows them; empty before it knows any. While they change, those that are to be.
    pub fn voters(&self) -> &VoterSet {
        self.log.voters().target()
    }

    /// Whether a majority of the voters before is wanted as well, for a moment.
    pub fn is_reconfiguring(&self) -> bool {
        self.log.voters().is_joint()
    }

    /// Whether it is a voter, by all that it knows to be agreed on.
    pub fn is_voter(&self) -> bool {
        self.log.voters_index() <= self.commit_index && !self.is_reconfiguring() && self.is_voter_in_log()
    }

    /// Whether its vote counts, if what its log says comes to be agreed on.
    fn is_voter_in_log(&self) -> bool {
        self.log.voters().contains(&self.id)
    }

    /// Who is believed to hold the duty.
    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The holder alone: its term is its own beyond doubt until then, and nobody else's word counts before.
    pub fn lease_until(&self) -> Option<Time> {
        let Role::Leader(h) = &self.role else { return None };
        let sure = self.commit_index >= h.first_index && !h.transfer_started;
        sure.then(|| self.quorum_contact(h).saturating_add(LEADER_LEASE))
    }

    /// When it last knew of a majority: heard its holder, or was answered by one.
    pub fn last_quorum_contact(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(h) => Some(self.quorum_contact(h)),
            _ => self.leader_heard_at,
        }
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Leader(h) => h.next_heartbeat,
            _ if !self.is_voter_in_log() || !self.storage_healthy => Time::MAX,
            _ => self.election_deadline,
        }
    }

    /// Takes what happened by `now` and appends what to do about it, in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Message(m) => self.on_message(now, m, out),
            Input::Propose { tag, command: word } => self.propose(now, tag, word, out),
            Input::ReadIndex { tag } => self.read_index(now, tag, out),
            Input::Join { id, wants_vote: votes } => self.join(now, &id, votes),
            Input::Bootstrap { voters: members } => self.bootstrap(now, members, out),
            Input::Shutdown => self.shut_down(out),
            Input::StorageHealth { healthy: works } => self.set_storage_health(now, works, out),
            Input::Tick => self.tick(now, out),
        }
        self.advance_commit_index(now, out);
    }

    /// The log up to `place`, which must be agreed on, is this state from now on.
    pub fn compact(&mut self, place: LogIndex, state: Vec<u8>) -> Option<Persist> {
        if place > self.commit_index || !self.log.compact(place, state) {
            return None;
        }
        Some(Persist::Snapshot { snapshot: (**self.log.snapshot()).clone(), replaces_log: false })
    }

    // ---- Time ----

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Leader(h) = &self.role {
            if now.saturating_sub(self.quorum_contact(h).max(h.elected_at)) > MIN_ELECTION_TIMEOUT {
                return self.become_follower(now, out);
            }
            if now >= h.next_heartbeat {
                if self.shutting_down && !h.transfer_started {
                    self.transfer_leadership(self.log.last_position().1, out);
                }
                self.broadcast_append(now, out);
            }
        } else if now >= self.election_deadline && self.is_voter_in_log() && self.storage_healthy {
            self.campaign(now, true, false, out);
        }
    }

    fn reset_election_timer(&mut self, now: Time) {
        self.election_deadline = now + MIN_ELECTION_TIMEOUT + self.rng.u64(..MIN_ELECTION_TIMEOUT);
    }

    // ---- Founding ----

    /// Its term may be another's already, who founded before; what it has promised there stands.
    fn bootstrap(&mut self, now: Time, members: VoterSet, out: &mut Vec<Output>) {
        let blank = self.log.last_position().1 == 0;
        if !blank || !self.storage_healthy || members.get(&self.id.name) != Some(&self.id.disk_id) {
            return;
        }
        let snapshot = Snapshot { index: 1, term: 1, voters: members, state: Vec::new() };
        self.term = self.term.max(1);
        self.log = RaftLog::new(snapshot.clone(), Vec::new());
        self.commit_index = 1;
        out.push(Output::Persist(Persist::Snapshot { snapshot, replaces_log: true }));
        self.save_term(out);
        // All of them found at once: one stands first.
        if self.log.voters().ids().first() == Some(&self.id) {
            self.campaign(now, true, false, out);
        } else {
            self.reset_election_timer(now);
        }
    }

    // ---- Elections ----

    /// Stands up for the duty; on trial first, so that one who was cut off does not disturb those who were not.
    fn campaign(&mut self, now: Time, trial: bool, named: bool, out: &mut Vec<Output>) {
        self.reset_election_timer(now);
        let mut term = self.term + 1;
        if !trial {
            self.term = term;
            self.vote = Some(self.id.clone());
            self.save_term(out);
            self.leader = None;
            term = self.term;
        }
        let given = BTreeSet::from([self.id.clone()]);
        self.role = Role::Candidate { pre_vote: trial, granted: given };
        let last = self.log.last_position();
        for to in self.other_voters() {
            self.send(
                to,
                term,
                MessageBody::RequestVote { pre_vote: trial, leadership_transfer: named, last_entry: last },
                out,
            );
        }
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Candidate { pre_vote: trial, granted: given } = &self.role else { return };
        let mut voters = self.log.voters();
        let new;
        if self.has_defect(Defect::NewMajorityElectsAlone) {
            new = members::VoterConfiguration::simple(voters.target().clone());
            voters = &new;
        }
        if !voters.has_quorum(given) {
            return;
        }
        if *trial {
            self.campaign(now, false, false, out);
        } else {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        let first = self.log.last_position().1 + 1;
        let peers = self.other_voters().into_iter().map(|id| (id, Progress::new(first)));
        let holder = LeaderState {
            progress: peers.collect(),
            heartbeat_rounds: VecDeque::new(),
            round: 0,
            elected_at: now,
            next_heartbeat: now,
            first_index: first,
            pending_reads: Vec::new(),
            learners: BTreeMap::new(),
            leaving: BTreeMap::new(),
            transfer_started: false,
        };
        self.role = Role::Leader(Box::new(holder));
        self.leader = Some(self.id.clone());
        self.append(EntryPayload::Noop, out);
        self.broadcast_append(now, out);
    }

    fn become_follower(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Leader(h) = std::mem::replace(&mut self.role, Role::Follower) {
            out.extend(h.pending_reads.iter().map(|(tag, _)| Output::NotLeader { tag: *tag }));
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    /// Told to end: its duty is for another at once, its vote as soon as one waits for it.
    fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.shutting_down = true;
        match &self.role {
            Role::Leader(h) if !h.transfer_started => {
                self.transfer_leadership(self.log.last_position().1, out)
            }
            Role::Leader(_) => {}
            _ => self.request_leave(out),
        }
    }

    fn request_leave(&self, out: &mut Vec<Output>) {
        let holder = self.leader.clone().filter(|_| self.shutting_down && self.is_voter_in_log());
        if let Some(holder) = holder {
            self.send(holder, self.term, MessageBody::LeaveRequest, out);
        }
    }

    /// The leader names the voter that is furthest, of those that have the log up to `least`.
    fn transfer_leadership(&mut self, least: LogIndex, out: &mut Vec<Output>) {
        let Role::Leader(h) = &mut self.role else { return };
        let voters = self.log.voters();
        let ready = h.progress.iter().filter(|(id, p)| p.match_index >= least && voters.contains(id));
        let Some((to, _)) = ready.max_by_key(|(_, p)| (p.match_index, p.contact)) else { return };
        let to = to.clone();
        h.transfer_started = true;
        let term = self.term;
        self.send(to, term, MessageBody::TimeoutNow, out);
    }

    /// A leader whose disk does not save has its duty taken over by one that has all that is agreed on.
    fn set_storage_health(&mut self, now: Time, works: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.storage_healthy, works) == works {
            return;
        }
        if works {
            return self.reset_election_timer(now);
        }
        self.transfer_leadership(self.commit_index, out);
        if matches!(self.role, Role::Follower) {
            return;
        }
        self.become_follower(now, out);
    }

    // ---- Messages ----

    fn on_message(&mut self, now: Time, m: Message, out: &mut Vec<Output>) {
        // What is meant for a disk that is gone is nobody's.
        if m.to != self.id {
            return;
        }
        let asks = matches!(m.body, MessageBody::RequestVote { .. });
        let named = matches!(m.body, MessageBody::RequestVote { leadership_transfer: true, .. });
        // One who hears its holder votes for nobody, and learns no term of it.
        let hears = self.leader_heard_at.is_some_and(|at| now.saturating_sub(at) < MIN_ELECTION_TIMEOUT);
        let content = self.is_leader() || hears || now < self.vote_grant_blocked_until;
        if asks && content && !named && m.term > self.term {
            return;
        }
        let trial = matches!(
            m.body,
            MessageBody::RequestVote { pre_vote: true, .. }
                | MessageBody::VoteResponse { pre_vote: true, granted: true }
        );
        if m.term > self.term && !trial {
            self.adopt_term(now, m.term, out);
        }
        match m.body {
            MessageBody::RequestVote { pre_vote: trial, last_entry: last, .. } => {
                self.on_request_vote(now, m.from, m.term, trial, last, out)
            }
            MessageBody::VoteResponse { pre_vote: trial, granted: given } => {
                self.on_vote_response(now, &m.from, m.term, trial, given, out)
            }
            MessageBody::AppendEntries { .. } | MessageBody::Chunk { .. } | MessageBody::TimeoutNow
                if m.term < self.term =>
            {
                // So that it learns the term.
                let up_to = 0;
                self.send(m.from, self.term, MessageBody::AppendRejected { round: 0, hint: up_to }, out);
            }
            MessageBody::AppendEntries { previous: before, entries, commit_index: agreed, round } => {
                self.follow_leader(now, &m.from);
                self.on_append_entries(m.from, before, entries, agreed, round, out);
            }
            MessageBody::Chunk { content: whole, size, offset: at, bytes, round } => {
                self.follow_leader(now, &m.from);
                self.on_chunk(m.from, whole, (size, at, bytes), round, out);
            }
            MessageBody::TimeoutNow => {
                if self.is_voter_in_log() && self.storage_healthy {
                    self.campaign(now, false, true, out);
                }
            }
            MessageBody::AppendAccepted { round, match_index: up_to } if m.term == self.term => {
                let last = self.log.last_position().1;
                self.on_append_response(now, &m.from, round, |p| p.on_accepted(up_to, last), out);
            }
            MessageBody::AppendRejected { round, hint } if m.term == self.term => {
                let last = self.log.last_position().1;
                self.on_append_response(now, &m.from, round, |p| p.on_rejected(hint, last), out);
            }
            MessageBody::ChunkReceived { index: place, received: up_to, round } if m.term == self.term => {
                self.on_append_response(
                    now,
                    &m.from,
                    round,
                    |p| p.on_chunk_received(now, place, up_to, round),
                    out,
                );
            }
            MessageBody::AppendAccepted { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::ChunkReceived { .. } => {}
            MessageBody::LeaveRequest => {
                let is_voter = self.log.voters().contains(&m.from);
                if let Role::Leader(h) = &mut self.role {
                    h.leaving.extend(is_voter.then_some((m.from, now)));
                }
            }
        }
    }

    fn adopt_term(&mut self, now: Time, term: Term, out: &mut Vec<Output>) {
        self.term = term;
        self.vote = None;
        self.save_term(out);
        self.become_follower(now, out);
        self.leader = None;
    }

    fn follow_leader(&mut self, now: Time, holder: &NodeId) {
        self.role = Role::Follower;
        self.leader = Some(holder.clone());
        self.leader_heard_at = Some(now);
        self.reset_election_timer(now);
    }

    fn on_request_vote(
        &mut self,
        now: Time,
        from: NodeId,
        term: Term,
        trial: bool,
        last: (Term, LogIndex),
        out: &mut Vec<Output>,
    ) {
        if !self.storage_healthy {
            return;
        }
        let free = if trial {
            term > self.term
        } else {
            term == self.term && self.vote.as_ref().is_none_or(|v| *v == from) && !self.is_leader()
        };
        let given = free && last >= self.log.last_position();
        if given && !trial {
            if self.vote.is_none() {
                self.vote = Some(from.clone());
                self.save_term(out);
            }
            self.reset_election_timer(now);
        }
        let answer = if trial && given { term } else { self.term };
        self.send(from, answer, MessageBody::VoteResponse { pre_vote: trial, granted: given }, out);
    }

    fn on_vote_response(
        &mut self,
        now: Time,
        from: &NodeId,
        term: Term,
        trial: bool,
        given: bool,
        out: &mut Vec<Output>,
    ) {
        let wanted = if trial { self.term + 1 } else { self.term };
        if !self.log.voters().contains(from) {
            return;
        }
        if let Role::Candidate { pre_vote: t, granted: all } = &mut self.role {
            if *t == trial && given && term == wanted {
                all.insert(from.clone());
                self.count_votes(now, out);
            }
        }
    }

    // ---- Following ----

    fn on_append_entries(
        &mut self,
        from: NodeId,
        before: (LogIndex, Term),
        entries: Vec<Entry>,
        agreed: LogIndex,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        if !self.log.contains(before.0, before.1) {
            let hint = self.log.last_position().1.min(before.0.saturating_sub(1)).max(self.commit_index);
            return self.send(from, self.term, MessageBody::AppendRejected { round, hint }, out);
        }
        let up_to = before.0 + entries.len() as LogIndex;
        if let Some((from, entries)) = self.log.append(before.0, entries) {
            out.push(Output::Persist(Persist::Entries { from, entries }));
        }
        self.answer_append(from, round, up_to, out);
        self.request_leave(out);
        self.commit_up_to(agreed.min(up_to), out);
    }

    fn on_chunk(
        &mut self,
        from: NodeId,
        whole: TransferContent,
        (size, at, bytes): (u64, u64, Vec<u8>),
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let place = whole.index();
        let here = match &whole {
            TransferContent::Snapshot { .. } => self.commit_index >= place,
            TransferContent::Entry { term, .. } => self.log.contains(place, *term),
        };
        if here {
            let up_to = if self.commit_index >= place { self.commit_index } else { place };
            return self.answer_append(from, round, up_to, out);
        }
        if let TransferContent::Entry { previous: before, .. } = &whole {
            if !self.log.contains(before.0, before.1) {
                // It finds out which with the next pulse.
                return self.on_append_entries(from, *before, Vec::new(), 0, round, out);
            }
        }
        match IncomingTransfer::accept(&mut self.incoming_transfer, self.term, whole, size, at, &bytes) {
            ChunkOutcome::Invalid => {}
            ChunkOutcome::Partial(up_to) => self.send(
                from,
                self.term,
                MessageBody::ChunkReceived { index: place, received: up_to, round },
                out,
            ),
            ChunkOutcome::Complete(
                TransferContent::Snapshot { index: place, term, voters: members },
                state,
            ) => {
                self.install_snapshot(
                    from,
                    Snapshot { index: place, term, voters: members, state },
                    round,
                    out,
                );
            }
            ChunkOutcome::Complete(TransferContent::Entry { previous: before, term }, word) => {
                let entries = vec![Entry { term, payload: EntryPayload::Command(word) }];
                self.on_append_entries(from, before, entries, 0, round, out);
            }
        }
    }

    /// Says so, if it is on the disk; else just that it goes on behind that place.
    fn answer_append(&self, to: NodeId, round: u64, up_to: LogIndex, out: &mut Vec<Output>) {
        // A sign of life says nothing of the log.
        let body = if self.storage_healthy || up_to == 0 {
            MessageBody::AppendAccepted { round, match_index: up_to }
        } else {
            MessageBody::AppendRejected { round, hint: up_to }
        };
        self.send(to, self.term, body, out);
    }

    fn install_snapshot(&mut self, from: NodeId, snapshot: Snapshot, round: u64, out: &mut Vec<Output>) {
        let place = snapshot.index;
        if place > self.commit_index {
            let whole = !self.log.contains(place, snapshot.term);
            let state = snapshot.state.clone();
            out.push(Output::Persist(Persist::Snapshot { snapshot: snapshot.clone(), replaces_log: whole }));
            self.log.install_snapshot(snapshot, whole);
            self.commit_index = place;
            out.push(Output::InstallSnapshot { index: place, state });
        }
        self.answer_append(from, round, self.commit_index.max(place), out);
    }

    /// All up to there is agreed on.
    fn commit_up_to(&mut self, up_to: LogIndex, out: &mut Vec<Output>) {
        while self.commit_index < up_to {
            self.commit_index += 1;
            let Some(entry) = self.log.get(self.commit_index) else {
                unreachable!("agreed on beyond the log")
            };
            if let EntryPayload::Command(word) = &entry.payload {
                let (place, term, word) = (self.commit_index, entry.term, word.clone());
                out.push(Output::Apply { index: place, term, command: word });
            }
        }
    }

    // ---- Holding ----

    fn propose(&mut self, now: Time, tag: u64, word: Vec<u8>, out: &mut Vec<Output>) {
        if !matches!(&self.role, Role::Leader(h) if !h.transfer_started) {
            return out.push(Output::NotLeader { tag });
        }
        let place = self.append(EntryPayload::Command(word), out);
        out.push(Output::Proposed { tag, index: place, term: self.term });
        self.broadcast_append(now, out);
    }

    fn read_index(&mut self, now: Time, tag: u64, out: &mut Vec<Output>) {
        let Role::Leader(h) = &mut self.role else { return out.push(Output::NotLeader { tag }) };
        h.pending_reads.push((tag, now));
        self.broadcast_append(now, out);
    }

    fn append(&mut self, said: EntryPayload, out: &mut Vec<Output>) -> LogIndex {
        let from = self.log.last_position().1 + 1;
        let entries = vec![Entry { term: self.term, payload: said }];
        self.log.append(from - 1, entries.clone());
        out.push(Output::Persist(Persist::Entries { from, entries }));
        from
    }

    /// A round: each other gets what it lacks, as far as is known.
    fn broadcast_append(&mut self, now: Time, out: &mut Vec<Output>) {
        let (id, term, agreed) = (self.id.clone(), self.term, self.commit_index);
        let Role::Leader(h) = &mut self.role else { return };
        h.next_heartbeat = now + HEARTBEAT_INTERVAL;
        h.round += 1;
        h.heartbeat_rounds.push_back((h.round, now));
        if h.heartbeat_rounds.len() > MAX_TRACKED_ROUNDS {
            h.heartbeat_rounds.pop_front();
        }
        let round = h.round;
        for (to, peer) in &mut h.progress {
            for body in peer.messages_to_send(now, &self.log, agreed, round, true) {
                out.push(Output::Send(Message { from: id.clone(), to: to.clone(), term, body }));
            }
        }
    }

    /// One has answered: it may be sent more.
    fn on_append_response(
        &mut self,
        now: Time,
        from: &NodeId,
        round: u64,
        answer: impl FnOnce(&mut Progress),
        out: &mut Vec<Output>,
    ) {
        let (id, term, agreed, last) =
            (self.id.clone(), self.term, self.commit_index, self.log.last_position().1);
        let Role::Leader(h) = &mut self.role else { return };
        let Some(peer) = h.progress.get_mut(from) else { return };
        let began = h.heartbeat_rounds.iter().find(|(n, _)| *n == round).map(|(_, at)| *at);
        peer.contact = began.unwrap_or(0).max(peer.contact);
        answer(peer);
        if peer.has_pending(last) {
            for body in peer.messages_to_send(now, &self.log, agreed, h.round, false) {
                out.push(Output::Send(Message { from: id.clone(), to: from.clone(), term, body }));
            }
        }
    }

    /// The latest start of a round that a majority has answered; 0 before the first.
    fn quorum_contact(&self, h: &LeaderState) -> Time {
        self.log.voters().quorum_value(|id| self.contact_with(h, id)).unwrap_or(0)
    }

    fn contact_with(&self, h: &LeaderState, id: &NodeId) -> Time {
        if *id == self.id {
            return Time::MAX;
        }
        h.progress.get(id).map_or(0, |p| p.contact)
    }

    /// What a majority has is agreed on; what waits for it goes on; who knocked and has caught up is taken in.
    fn advance_commit_index(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Leader(h) = &self.role else { return };
        let matched = |id: &NodeId| match h.progress.get(id) {
            _ if *id == self.id => self.log.last_position().1,
            peer => peer.map_or(0, |p| p.match_index),
        };
        let up_to = self.log.voters().quorum_value(matched).unwrap_or(0);
        // Of an earlier term's only what stands before an entry of this one's is safe.
        if up_to > self.commit_index && self.log.term(up_to) == Some(self.term) {
            self.commit_up_to(up_to, out);
            // Others hear of it at once.
            self.broadcast_append(now, out);
        }
        let Role::Leader(h) = &self.role else { return };
        let (since, known) = (self.quorum_contact(h), self.commit_index >= h.first_index);
        let Role::Leader(h) = &mut self.role else { return };
        if known {
            h.pending_reads.retain(|(tag, at)| {
                let sure = since >= *at && *at > 0;
                if sure {
                    out.push(Output::ReadReady { tag: *tag });
                }
                !sure
            });
            self.reconfigure(now, out);
        }
    }

    // ---- Members ----

    fn join(&mut self, now: Time, id: &NodeId, votes: bool) {
        let known = self.log.voters().contains(id);
        let Role::Leader(h) = &mut self.role else { return };
        let room = h.learners.len() < MAX_LEARNERS || h.learners.contains_key(&id.name);
        if !known && id.name != self.id.name && room {
            h.learners.insert(id.name.clone(), (id.disk_id, now, votes));
        }
    }

    /// Takes the next step of a change of voters, begins one if that is better, or leaves if it is no voter any more. Only
    /// once the step before is agreed on, and something of this term.
    fn reconfigure(&mut self, now: Time, out: &mut Vec<Output>) {
        let voters = self.log.voters();
        if self.log.voters_index() > self.commit_index
            && !self.has_defect(Defect::JointConfigurationLeftEarly)
        {
            return;
        }
        if voters.is_joint() {
            let said = EntryPayload::Configuration(voters.target().clone());
            self.append(said, out);
            return self.broadcast_append(now, out);
        }
        if !voters.contains(&self.id) {
            self.transfer_leadership(self.log.last_position().1, out);
            return self.become_follower(now, out);
        }
        let (voters, next) = (voters.clone(), self.log.last_position().1 + 1);
        let Role::Leader(h) = &mut self.role else { return };
        h.learners.retain(|name, (disk, at, _)| {
            voters.target().get(name) != Some(disk) && now.saturating_sub(*at) < 10 * MIN_ELECTION_TIMEOUT
        });
        h.leaving.retain(|id, at| voters.contains(id) && now.saturating_sub(*at) < VOTER_REPLACEMENT_TIMEOUT);
        let is_guest = |id: &NodeId| h.learners.get(&id.name).is_some_and(|g| g.0 == id.disk_id);
        h.progress.retain(|id, _| voters.contains(id) || is_guest(id));
        for (name, (disk, ..)) in &h.learners {
            let id = NodeId { name: name.clone(), disk_id: *disk };
            h.progress.entry(id).or_insert_with(|| Progress::new(next));
        }
        let Role::Leader(h) = &self.role else { return };
        let Some(new) = self.improved_voters(now, h).filter(|_| !h.transfer_started) else { return };
        let old = voters.target().clone();
        if self.has_defect(Defect::SkipJointConsensus) {
            self.append(EntryPayload::Configuration(new), out);
        } else {
            self.append(EntryPayload::JointConfiguration { old, new }, out);
        }
        self.broadcast_append(now, out);
    }

    /// The voters as they should be, if that is better.
    fn improved_voters(&self, now: Time, h: &LeaderState) -> Option<VoterSet> {
        let caught_up = |id: &NodeId| {
            let peer = h.progress.get(id)?;
            let has_all =
                peer.match_index >= self.commit_index || self.has_defect(Defect::LearnerVotesTooSoon);
            (has_all && now.saturating_sub(peer.contact) < MIN_ELECTION_TIMEOUT).then_some(())
        };
        let waiting = h.learners.iter().filter(|(_, (.., votes))| *votes).filter_map(|(name, (disk, ..))| {
            let id = NodeId { name: name.clone(), disk_id: *disk };
            caught_up(&id).map(|()| (id.name, id.disk_id))
        });
        let health = |id: &NodeId| {
            if *id == self.id {
                return if self.shutting_down { Health::Leaving } else { Health::Responding };
            }
            let unheard = now.saturating_sub(self.contact_with(h, id).max(h.elected_at));
            match () {
                () if unheard >= VOTER_REPLACEMENT_TIMEOUT => Health::Failed,
                () if h.leaving.contains_key(id) => Health::Leaving,
                () if unheard >= MIN_ELECTION_TIMEOUT => Health::Unresponsive,
                () if self.contact_with(h, id) == 0 => Health::New,
                () => Health::Responding,
            }
        };
        improved_voter_set(self.log.voters().target(), &waiting.collect(), health)
    }

    // ---- Helpers ----

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

    fn save_term(&self, out: &mut Vec<Output>) {
        out.push(Output::Persist(Persist::HardState { term: self.term, vote: self.vote.clone() }));
    }

    fn send(&self, to: NodeId, term: Term, body: MessageBody, out: &mut Vec<Output>) {
        out.push(Output::Send(Message { from: self.id.clone(), to, term, body }));
    }
}
