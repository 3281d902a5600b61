//! The agreement and its disk: inputs in, saves to the disk before anything that rests on them, outputs out. While the disk
//! does not save, it goes on without: it takes in and tells what others have agreed on, and promises nothing.

use crate::standing::{StorageHealth, SAVE_TIMEOUT};
use crate::{ControlNode, Defect, Effect, Time};
use consensus::{Input, LogIndex, Output, Persist, PersistedState, Term};
use control_state::{Applied, Command, ControlState};
use messages::message::ControlMessage;
use std::collections::{BTreeMap, VecDeque};

/// Inputs taken in one turn, so that their saves share a sync.
const MAX_BATCH_INPUTS: usize = 64;
/// A turn ends sooner when so many bytes are to be saved.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Inputs that wait at the most, while the disk hangs: messages may be lost.
const MAX_QUEUED_INPUTS: usize = 4096;
/// The log is folded into the state when so many entries are agreed on, or so many bytes of them.
const SNAPSHOT_THRESHOLD: usize = 64;
const SNAPSHOT_THRESHOLD_BYTES: usize = 512 << 10;
/// A run of so many bytes or more is a long one: the disk keeps it by itself, once. Shorter ones stand where they are.
pub const LONG_RUN_BYTES: usize = 4 << 10;
/// No more is proposed while so many bytes are not agreed on: of words that are long, and of others. What a disk is to hold is
/// bounded by it.
const MAX_UNCOMMITTED_LONG_BYTES: usize = 1 << 20;
const MAX_UNCOMMITTED_SHORT_BYTES: usize = 512 << 10;

/// What the disk is to do.
#[derive(Clone, Debug)]
pub enum StorageRequest {
    /// All of it, in order, synced together; with how far the log is agreed on.
    Append(Vec<Persist>, LogIndex),
    /// The whole, in place of whatever is there.
    Full(Box<PersistedState>),
}

/// Who waits for the agreement.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    Read(u64),
    Change(u64),
}

/// What has come of something that was asked of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was agreed on, and stands.
    Committed,
    /// It was agreed on, and another came first.
    Conflict,
    /// All that was agreed on before is known here.
    ReadReady,
    /// This one does not lead, or leads no more: nothing is known.
    NotLeader,
}

/// What a turn waits for the disk with.
enum PendingSave {
    Outputs(Vec<Output>),
    Snapshot,
    FullSave,
}

pub(crate) struct PersistenceQueue {
    inputs: VecDeque<(Input, Option<Requester>)>,
    /// Who waits, by tag.
    requesters: BTreeMap<u64, Requester>,
    /// What was proposed here, by place.
    proposals: BTreeMap<LogIndex, (Term, u64)>,
    applied_index: LogIndex,
    last_tag: u64,
    storage: StorageHealth,
    /// The number of the latest write.
    last_request: u64,
    /// What the turn waits for, and until when.
    pending: Option<(u64, Time, PendingSave)>,
    /// What the disk is at while the turns go on without it.
    background_request: Option<u64>,
    /// Agreed on by this one alone, and not on its disk yet.
    withheld: Vec<Output>,
    snapshot_threshold: usize,
}

impl PersistenceQueue {
    pub fn new(now: Time) -> Self {
        PersistenceQueue {
            inputs: VecDeque::new(),
            requesters: BTreeMap::new(),
            proposals: BTreeMap::new(),
            applied_index: 0,
            last_tag: 0,
            storage: StorageHealth::new(now),
            last_request: 0,
            pending: None,
            background_request: None,
            withheld: Vec::new(),
            snapshot_threshold: SNAPSHOT_THRESHOLD,
        }
    }

    pub fn has_ready_input(&self) -> bool {
        self.pending.is_none() && !self.inputs.is_empty()
    }
}

impl ControlNode {
    /// The log is folded at so many entries; for worlds that are to fold it often.
    pub fn set_snapshot_threshold(&mut self, entries: usize) {
        self.persistence.snapshot_threshold = entries;
    }

    /// How its disk stands, for a story.
    pub fn describe_storage(&self) -> String {
        let pending = self.persistence.pending.as_ref().map(|(n, until, _)| (n, until));
        format!(
            "{} inputs, waits for {pending:?}, {:?}",
            self.persistence.inputs.len(),
            self.persistence.storage
        )
    }

    pub(crate) fn next_persistence_due(&self) -> Time {
        let turns = &self.persistence;
        match turns.pending {
            // Nothing else is looked at meanwhile.
            Some((_, until, _)) => until,
            None => self.raft.next_due().min(turns.storage.next_due()),
        }
    }

    /// Something for the agreement, which nobody waits for; of too much some is lost.
    pub(crate) fn enqueue(&mut self, input: Input) {
        if self.persistence.inputs.len() < MAX_QUEUED_INPUTS {
            self.persistence.inputs.push_back((input, None));
        }
    }

    /// The same; whoever waits for it hears what came of it.
    pub(crate) fn enqueue_for(&mut self, input: Input, waiter: Requester) {
        if self.persistence.inputs.len() < MAX_QUEUED_INPUTS {
            self.persistence.inputs.push_back((input, Some(waiter)));
        } else {
            self.resolve(waiter, Outcome::NotLeader);
        }
    }

    pub(crate) fn process_inputs(&mut self) {
        if self.persistence.pending.as_ref().is_some_and(|(_, until, _)| *until <= self.now) {
            self.on_pending_done(None);
        }
        while self.persistence.pending.is_none() {
            let due = self.next_persistence_due() <= self.now;
            if !due && self.persistence.inputs.is_empty() {
                break;
            }
            let mut outputs = Vec::new();
            if due {
                self.raft.handle(self.now, Input::Tick, &mut outputs);
            }
            for _ in 0..MAX_BATCH_INPUTS {
                if persisted_bytes(&outputs) > MAX_BATCH_BYTES {
                    break;
                }
                let Some((input, waiter)) = self.persistence.inputs.pop_front() else { break };
                self.process_input(input, waiter, &mut outputs);
            }
            self.persist_then_perform(outputs);
            if due && self.persistence.inputs.is_empty() && self.next_persistence_due() <= self.now {
                // Whatever is due is done once a step.
                break;
            }
        }
    }

    fn process_input(&mut self, input: Input, waiter: Option<Requester>, outputs: &mut Vec<Output>) {
        self.persistence.last_tag += 1;
        let tag = self.persistence.last_tag;
        let input = match input {
            Input::Propose { command: word, .. } => Input::Propose { tag, command: word },
            Input::ReadIndex { .. } => Input::ReadIndex { tag },
            other => other,
        };
        if matches!(&input, Input::Propose { command, .. } if self.exceeds_uncommitted_limit(command.len())) {
            if let Some(waiter) = waiter {
                self.resolve(waiter, Outcome::NotLeader);
            }
            return;
        }
        if let Some(waiter) = waiter {
            if self.persistence.requesters.len() >= MAX_QUEUED_INPUTS {
                // Some have long given up waiting.
                let (orders, turns) = (&self.changes, &mut self.persistence);
                turns.requesters.retain(|_, w| orders.is_waiting(*w));
            }
            self.persistence.requesters.insert(tag, waiter);
        }
        self.raft.handle(self.now, input, outputs);
    }

    /// Whether as much waits to be agreed on as may, for a word of so many bytes.
    fn exceeds_uncommitted_limit(&self, bytes: usize) -> bool {
        let is_long = |bytes: usize| bytes >= LONG_RUN_BYTES;
        let agreed = self.raft.commit_index();
        let open = self
            .raft
            .entry_sizes()
            .filter(|(place, size)| *place > agreed && is_long(*size) == is_long(bytes));
        open.map(|(_, size)| size).sum::<usize>()
            > if is_long(bytes) { MAX_UNCOMMITTED_LONG_BYTES } else { MAX_UNCOMMITTED_SHORT_BYTES }
    }

    /// All saves first: that is sooner than asked for, and one sync does for all. What rests on them waits for the disk, if it works.
    fn persist_then_perform(&mut self, mut outputs: Vec<Output>) {
        let mut saves = Vec::new();
        outputs.retain_mut(|o| match o {
            Output::Persist(save) => {
                saves.push(save.clone());
                false
            }
            _ => true,
        });
        if saves.is_empty() || !self.must_wait_for_storage() {
            self.perform(outputs);
            return self.compact_log();
        }
        if self.has(Defect::SendBeforeSync) {
            let (first, rest) = outputs.into_iter().partition(|o| matches!(o, Output::Send(_)));
            outputs = rest;
            self.perform(first);
        }
        let agreed = self.raft.commit_index();
        self.wait_for_storage(StorageRequest::Append(saves, agreed), PendingSave::Outputs(outputs));
    }

    /// Whether something to be saved is to be waited for. If the disk does not work, nothing rests on it: what the agreement makes of
    /// it while it knows of no disk promises nothing, and it comes with the whole.
    fn must_wait_for_storage(&mut self) -> bool {
        let works = self.persistence.storage.is_healthy();
        if !works {
            self.persistence.storage.on_save_skipped();
        }
        works
    }

    fn request_storage(&mut self, work: StorageRequest) -> u64 {
        self.persistence.last_request += 1;
        let number = self.persistence.last_request;
        self.effects.push(Effect::Persist { request: number, work: work });
        number
    }

    /// No longer than the others wait for a leader.
    fn wait_for_storage(&mut self, work: StorageRequest, pending: PendingSave) {
        let number = self.request_storage(work);
        self.persistence.pending = Some((number, self.now + SAVE_TIMEOUT, pending));
    }

    /// The disk has done this, or has refused it.
    pub fn on_persisted(&mut self, now: Time, number: u64, done: bool) {
        self.now = now;
        if self.persistence.pending.as_ref().is_some_and(|(n, ..)| *n == number) {
            self.on_pending_done(Some(done));
        } else if self.persistence.background_request == Some(number) {
            let outputs = self.on_background_save(done);
            self.persist_then_perform(outputs);
        }
    }

    /// What the turn has waited for is done or refused; none: it is waited for no longer.
    fn on_pending_done(&mut self, done: Option<bool>) {
        let Some((number, _, pending)) = self.persistence.pending.take() else { return };
        let (outputs, is_whole) = match pending {
            PendingSave::Outputs(outputs) => (outputs, false),
            PendingSave::Snapshot => (Vec::new(), false),
            PendingSave::FullSave => (Vec::new(), true),
        };
        match (done, is_whole) {
            (Some(done), true) => {
                let outputs = self.on_background_save(done);
                return self.persist_then_perform(outputs);
            }
            (None, true) => self.persistence.background_request = Some(number),
            (Some(true), false) => self.perform(outputs),
            (Some(false), false) => {
                log::warn!(
                    "disk: this one leads and votes no more until all is saved, and goes on with the rest"
                );
                self.persistence.storage.on_save_failed(self.now);
                self.perform_without_storage(outputs);
            }
            (None, false) => {
                log::warn!(
                    "disk: a save takes longer than {} ms; this one leads and votes no more until all is saved, and goes on \
                     with the rest",
                    SAVE_TIMEOUT / 1_000_000
                );
                self.persistence.background_request = Some(number);
                self.persistence.storage.on_save_overdue(self.now);
                self.perform_without_storage(outputs);
            }
        }
        self.compact_log();
    }

    /// A save did not come to the disk. What rests on it is not said; messages may be lost at any time.
    fn perform_without_storage(&mut self, mut outputs: Vec<Output>) {
        if self.has(Defect::SendWithoutStorage) {
            return self.perform(outputs);
        }
        outputs.retain(|o| !matches!(o, Output::Send(_)));
        if self.raft.is_leader() && self.raft.voters().len() == 1 {
            // Nobody else has it: it is agreed on when the disk has it.
            let (withheld, others) = outputs.into_iter().partition(|o| matches!(o, Output::Apply { .. }));
            self.persistence.withheld.extend::<Vec<_>>(withheld);
            outputs = others;
        }
        self.raft.handle(self.now, Input::StorageHealth { healthy: false }, &mut outputs);
        self.perform(outputs);
    }

    /// The whole was saved, or not, or a save that was late.
    fn on_background_save(&mut self, done: bool) -> Vec<Output> {
        self.persistence.background_request = None;
        let mut outputs = Vec::new();
        if !done {
            self.persistence.storage.on_save_failed(self.now);
        } else if let Some(time) = self.persistence.storage.on_saved(self.now) {
            log::info!("disk: all is saved, after {} ms", time / 1_000_000);
            outputs.append(&mut self.persistence.withheld);
            self.raft.handle(self.now, Input::StorageHealth { healthy: true }, &mut outputs);
        }
        outputs
    }

    /// The log up to what is applied becomes the state, when it is long.
    fn compact_log(&mut self) {
        let applied = self.persistence.applied_index;
        let sizes = || self.raft.entry_sizes().filter(|(place, _)| *place <= applied).map(|(_, size)| size);
        if sizes().count() <= self.persistence.snapshot_threshold
            && sizes().sum::<usize>() <= SNAPSHOT_THRESHOLD_BYTES
        {
            return self.start_full_save_if_due();
        }
        let state = self.snapshot_bytes();
        let Some(save) = self.raft.compact(applied, state) else { return self.start_full_save_if_due() };
        if !self.must_wait_for_storage() {
            return self.start_full_save_if_due();
        }
        let agreed = self.raft.commit_index();
        self.wait_for_storage(StorageRequest::Append(vec![save], agreed), PendingSave::Snapshot);
    }

    /// What a snapshot holds.
    fn snapshot_bytes(&self) -> Vec<u8> {
        if self.has(Defect::StaleSnapshotState) {
            return self.raft.snapshot().state.clone();
        }
        if !self.has(Defect::SnapshotForgetsVersions) {
            return self.state.encode();
        }
        // Of what was taken the newest alone.
        let mut book = ControlState::new();
        if let Some(c) = self.state.configuration() {
            let (version, body) = (c.version, c.body.clone());
            book.apply(c.index, &Command::ReplaceConfiguration { base: 0, version, body });
        }
        book.encode()
    }

    /// Saves the whole, if it is time. When the disk has just done so, and there was more by then, the turn waits for it.
    fn start_full_save_if_due(&mut self) {
        if let Some(time) = self.persistence.storage.take_warning(self.now) {
            log::warn!("disk: nothing was saved for {} s; tried again and again", time / 1_000_000_000);
        }
        if self.persistence.background_request.is_none()
            && self.persistence.storage.is_full_save_due(self.now)
        {
            let whole = StorageRequest::Full(Box::new(self.raft.persisted_state()));
            if self.persistence.storage.start_full_save() {
                self.wait_for_storage(whole, PendingSave::FullSave);
            } else {
                self.persistence.background_request = Some(self.request_storage(whole));
            }
        }
        self.update_leadership();
    }

    fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // Nothing rests on it: it comes with the whole.
                Output::Persist(_) => self.persistence.storage.on_save_skipped(),
                Output::Send(message) => {
                    let to = message.to.name.clone();
                    self.send_to(&to, ControlMessage::Consensus(message));
                }
                Output::Proposed { tag, index: place, term } => {
                    self.persistence.proposals.insert(place, (term, tag));
                    if self.has(Defect::AcknowledgeBeforeCommit) {
                        self.resolve_tag(tag, Outcome::Committed);
                    }
                }
                Output::Apply { index: place, term, command: word } => {
                    let applied = self.apply_committed(place, &word);
                    self.resolve_proposals((place, term), &applied);
                }
                Output::InstallSnapshot { index: place, state } => self.install_snapshot(place, &state),
                Output::ReadReady { tag } => self.resolve_tag(tag, Outcome::ReadReady),
                Output::NotLeader { tag } => self.resolve_tag(tag, Outcome::NotLeader),
            }
        }
    }

    /// A word that was agreed on.
    pub(crate) fn apply_committed(&mut self, place: LogIndex, word: &[u8]) -> Applied {
        self.persistence.applied_index = place;
        #[cfg(feature = "simulation")]
        self.applied_records.push(crate::AppliedRecord::Command(place, word.to_vec()));
        self.apply_command(place, word)
    }

    /// The book as a whole, as of this place of the log.
    pub(crate) fn install_snapshot(&mut self, place: LogIndex, state: &[u8]) {
        self.persistence.applied_index = place;
        #[cfg(feature = "simulation")]
        self.applied_records.push(crate::AppliedRecord::Snapshot(place));
        self.replace_state(place, state);
    }

    fn resolve_proposals(&mut self, (place, term): (LogIndex, Term), applied: &Applied) {
        // Whatever was proposed here for an earlier place, or this one in another term, never will be agreed on.
        while let Some((at, (proposed, tag))) =
            self.persistence.proposals.first_key_value().map(|(p, t)| (*p, *t))
        {
            if at > place {
                break;
            }
            self.persistence.proposals.remove(&at);
            let outcome = if *applied == Applied::Conflict { Outcome::Conflict } else { Outcome::Committed };
            let same = at == place && proposed == term;
            self.resolve_tag(tag, if same { outcome } else { Outcome::NotLeader });
        }
    }

    fn resolve_tag(&mut self, tag: u64, done: Outcome) {
        if let Some(waiter) = self.persistence.requesters.remove(&tag) {
            self.resolve(waiter, done);
        }
    }

    fn resolve(&mut self, waiter: Requester, done: Outcome) {
        match waiter {
            Requester::Read(call) => self.on_read_outcome(call, done),
            Requester::Change(job) => self.on_change_outcome(job, done),
        }
    }
}

/// What is to be saved, in bytes.
fn persisted_bytes(outputs: &[Output]) -> usize {
    let entry = |e: &consensus::Entry| match &e.payload {
        consensus::EntryPayload::Command(word) => word.len(),
        _ => 0,
    };
    let one = |output: &Output| match output {
        Output::Persist(Persist::Entries { entries, .. }) => entries.iter().map(entry).sum(),
        Output::Persist(Persist::Snapshot { snapshot, .. }) => snapshot.state.len(),
        _ => 0,
    };
    outputs.iter().map(one).sum()
}
