//! Consensus and its storage: inputs in, changes to storage before anything that rests on them, outputs out.
//!
//! While storage does not save, the node goes on without: it applies and passes on what others have committed, and promises
//! nothing. `docs/design/disk.md`.

use crate::configuration_changes::Outcome;
use crate::effect::{Effect, StorageRequest};
use crate::storage_health::{StorageHealth, SAVE_TIMEOUT};
use crate::{ControlNode, Defect, Time};
use consensus::{Entry, EntryPayload, Input, LogIndex, Output, Persist, Term};
use std::collections::{BTreeMap, VecDeque};

/// Inputs that are processed together, so that their changes share a sync.
const MAX_BATCH_INPUTS: usize = 64;
/// A batch ends sooner when so many bytes are to be persisted.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Inputs that wait at most, while storage hangs: messages may be lost.
const MAX_QUEUED_INPUTS: usize = 4096;
/// The log is compacted when it holds more committed entries than this.
const SNAPSHOT_THRESHOLD: usize = 64;
/// The log is compacted when its committed entries take more bytes than this.
const SNAPSHOT_THRESHOLD_BYTES: usize = 512 << 10;
/// A run of so many bytes is stored by itself, once, however many entries and snapshots hold it. Shorter ones are stored
/// where they stand.
pub const MIN_DEDUP_BYTES: usize = 4 << 10;
/// No long command is proposed while long ones of so many bytes are not committed: this bounds what a disk holds.
const MAX_UNCOMMITTED_LONG_BYTES: usize = 1 << 20;
/// The same of short commands.
const MAX_UNCOMMITTED_SHORT_BYTES: usize = 512 << 10;
const NANOS_PER_MILLI: Time = 1_000_000;
const NANOS_PER_SECOND: Time = 1_000_000_000;

/// Who waits for the outcome of an input.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    /// A call that reads the configuration.
    Read(u64),
    /// A change of the configuration.
    Change(u64),
}

struct QueuedInput {
    input: Input,
    requester: Option<Requester>,
}

/// A command that was proposed here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proposal {
    pub term: Term,
    pub tag: u64,
}

/// What storage is working on while no inputs are processed.
struct PendingSave {
    number: u64,
    /// It is waited for until then.
    deadline: Time,
    then: AfterSave,
}

/// What follows a save.
enum AfterSave {
    /// What rests on it.
    Perform(Vec<Output>),
    /// Nothing: a snapshot was saved.
    Snapshot,
    /// Storage holds everything again.
    FullSave,
}

/// Inputs that wait for consensus, and what storage is working on.
pub(crate) struct PersistenceQueue {
    inputs: VecDeque<QueuedInput>,
    /// Who waits, by tag.
    pub requesters: BTreeMap<u64, Requester>,
    /// What was proposed here, by index.
    pub proposals: BTreeMap<LogIndex, Proposal>,
    pub applied_index: LogIndex,
    last_tag: u64,
    pub storage: StorageHealth,
    /// The number of the latest [`Effect::Persist`].
    last_request: u64,
    pending: Option<PendingSave>,
    /// What storage is working on while inputs are processed without it.
    background_request: Option<u64>,
    /// Committed by this node alone, and not on its disk yet.
    withheld: Vec<Output>,
    snapshot_threshold: usize,
}

impl PersistenceQueue {
    /// An empty queue.
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

    /// Whether an input waits that could be processed now.
    pub fn has_ready_input(&self) -> bool {
        self.pending.is_none() && !self.inputs.is_empty()
    }
}

impl ControlNode {
    /// Compacts the log at so many entries: for simulations that are to compact it often.
    pub fn set_snapshot_threshold(&mut self, entries: usize) {
        self.persistence.snapshot_threshold = entries;
    }

    /// How its storage stands, for a simulation's story.
    pub fn describe_storage(&self) -> String {
        let pending = self.persistence.pending.as_ref().map(|save| (save.number, save.deadline));
        let inputs = self.persistence.inputs.len();
        format!("{inputs} inputs, waits for {pending:?}, {:?}", self.persistence.storage)
    }

    pub(crate) fn next_persistence_due(&self) -> Time {
        match &self.persistence.pending {
            // Nothing else is processed meanwhile.
            Some(save) => save.deadline,
            None => self.raft.next_due().min(self.persistence.storage.next_due()),
        }
    }

    /// Queues an input for which nobody waits; of too many some are lost.
    pub(crate) fn enqueue(&mut self, input: Input) {
        if self.persistence.inputs.len() < MAX_QUEUED_INPUTS {
            self.persistence.inputs.push_back(QueuedInput { input, requester: None });
        }
    }

    /// Queues an input; the requester hears what came of it.
    pub(crate) fn enqueue_for(&mut self, requester: Requester, input: Input) {
        if self.persistence.inputs.len() < MAX_QUEUED_INPUTS {
            self.persistence.inputs.push_back(QueuedInput { input, requester: Some(requester) });
        } else {
            self.resolve(requester, Outcome::NotLeader);
        }
    }

    /// Processes what waits, batch by batch, unless storage is waited for.
    pub(crate) fn process_inputs(&mut self) {
        if self.persistence.pending.as_ref().is_some_and(|save| save.deadline <= self.now) {
            self.on_pending_done(None);
        }
        while self.persistence.pending.is_none() {
            let is_due = self.next_persistence_due() <= self.now;
            if !is_due && self.persistence.inputs.is_empty() {
                break;
            }
            let outputs = self.process_batch(is_due);
            self.persist_then_perform(outputs);
            if is_due && self.persistence.inputs.is_empty() && self.next_persistence_due() <= self.now {
                // Whatever is due is done once a step.
                break;
            }
        }
    }

    fn process_batch(&mut self, is_due: bool) -> Vec<Output> {
        let mut outputs = Vec::new();
        if is_due {
            self.raft.handle(self.now, Input::Tick, &mut outputs);
        }
        for _ in 0..MAX_BATCH_INPUTS {
            if persisted_bytes(&outputs) > MAX_BATCH_BYTES {
                break;
            }
            let Some(queued) = self.persistence.inputs.pop_front() else { break };
            self.process_input(queued, &mut outputs);
        }
        outputs
    }

    fn process_input(&mut self, queued: QueuedInput, outputs: &mut Vec<Output>) {
        self.persistence.last_tag += 1;
        let tag = self.persistence.last_tag;
        let input = match queued.input {
            Input::Propose { command, .. } => Input::Propose { tag, command },
            Input::ReadIndex { .. } => Input::ReadIndex { tag },
            other => other,
        };
        let exceeds_limit =
            matches!(&input, Input::Propose { command, .. } if self.exceeds_uncommitted_limit(command.len()));
        if exceeds_limit {
            if let Some(requester) = queued.requester {
                self.resolve(requester, Outcome::NotLeader);
            }
            return;
        }
        if let Some(requester) = queued.requester {
            if self.persistence.requesters.len() >= MAX_QUEUED_INPUTS {
                // Some have long given up waiting.
                let (changes, persistence) = (&self.changes, &mut self.persistence);
                persistence.requesters.retain(|_, requester| changes.is_waiting(*requester));
            }
            self.persistence.requesters.insert(tag, requester);
        }
        self.raft.handle(self.now, input, outputs);
    }

    /// Whether as many bytes are uncommitted as may be, for a command of so many bytes.
    fn exceeds_uncommitted_limit(&self, command_bytes: usize) -> bool {
        let is_long = |bytes: usize| bytes >= MIN_DEDUP_BYTES;
        let limit =
            if is_long(command_bytes) { MAX_UNCOMMITTED_LONG_BYTES } else { MAX_UNCOMMITTED_SHORT_BYTES };
        let commit_index = self.raft.commit_index();
        let uncommitted = self
            .raft
            .entry_sizes()
            .filter(|(index, bytes)| *index > commit_index && is_long(*bytes) == is_long(command_bytes));
        uncommitted.map(|(_, bytes)| bytes).sum::<usize>() > limit
    }

    /// Persists first: that is sooner than asked for, and one sync does for all. What rests on it waits for storage, if that
    /// is healthy.
    fn persist_then_perform(&mut self, outputs: Vec<Output>) {
        let (to_persist, mut to_perform): (Vec<Output>, Vec<Output>) =
            outputs.into_iter().partition(|output| matches!(output, Output::Persist(_)));
        if to_persist.is_empty() || !self.must_wait_for_storage() {
            self.perform(to_perform);
            return self.compact_log();
        }
        if self.has_defect(Defect::SendBeforeSync) {
            let (sent, rest) = to_perform.into_iter().partition(|output| matches!(output, Output::Send(_)));
            to_perform = rest;
            self.perform(sent);
        }
        let changes = to_persist.into_iter().filter_map(|output| match output {
            Output::Persist(change) => Some(change),
            _ => None,
        });
        let request =
            StorageRequest::Append { changes: changes.collect(), commit_index: self.raft.commit_index() };
        self.wait_for_storage(request, AfterSave::Perform(to_perform));
    }

    /// Whether a change is to be waited for. Unhealthy storage is not: what consensus makes of inputs while it knows of no
    /// storage promises nothing, and the change comes with the next full save.
    fn must_wait_for_storage(&mut self) -> bool {
        let is_healthy = self.persistence.storage.is_healthy();
        if !is_healthy {
            self.persistence.storage.on_save_skipped();
        }
        is_healthy
    }

    fn request_storage(&mut self, request: StorageRequest) -> u64 {
        self.persistence.last_request += 1;
        let number = self.persistence.last_request;
        self.effects.push(Effect::Persist { number, request });
        number
    }

    /// Waits no longer than the other nodes wait for a leader.
    fn wait_for_storage(&mut self, request: StorageRequest, then: AfterSave) {
        let number = self.request_storage(request);
        self.persistence.pending = Some(PendingSave { number, deadline: self.now + SAVE_TIMEOUT, then });
    }

    /// Storage has done what [`Effect::Persist`] asked for, or has failed.
    pub fn on_persisted(&mut self, now: Time, number: u64, succeeded: bool) {
        self.now = now;
        if self.persistence.pending.as_ref().is_some_and(|save| save.number == number) {
            self.on_pending_done(Some(succeeded));
        } else if self.persistence.background_request == Some(number) {
            let outputs = self.on_background_save(succeeded);
            self.persist_then_perform(outputs);
        }
    }

    /// The pending save has succeeded or failed; none: it is waited for no longer.
    fn on_pending_done(&mut self, succeeded: Option<bool>) {
        let Some(save) = self.persistence.pending.take() else { return };
        let outputs = match save.then {
            AfterSave::Perform(outputs) => outputs,
            AfterSave::Snapshot => Vec::new(),
            AfterSave::FullSave => match succeeded {
                Some(succeeded) => {
                    let outputs = self.on_background_save(succeeded);
                    return self.persist_then_perform(outputs);
                }
                None => {
                    self.persistence.background_request = Some(save.number);
                    return self.compact_log();
                }
            },
        };
        match succeeded {
            Some(true) => self.perform(outputs),
            Some(false) => {
                log::warn!("storage: a save failed; this node neither leads nor votes until all is saved");
                self.persistence.storage.on_save_failed(self.now);
                self.perform_without_storage(outputs);
            }
            None => {
                let ms = SAVE_TIMEOUT / NANOS_PER_MILLI;
                log::warn!(
                    "storage: a save takes over {ms} ms; this node neither leads nor votes until all is saved"
                );
                self.persistence.background_request = Some(save.number);
                self.persistence.storage.on_save_overdue(self.now);
                self.perform_without_storage(outputs);
            }
        }
        self.compact_log();
    }

    /// A save did not succeed: what rests on it is not sent, and consensus is told. Messages may be lost at any time.
    fn perform_without_storage(&mut self, mut outputs: Vec<Output>) {
        if self.has_defect(Defect::SendWithoutStorage) {
            return self.perform(outputs);
        }
        outputs.retain(|output| !matches!(output, Output::Send(_)));
        if self.raft.is_leader() && self.raft.voters().len() == 1 {
            // No other node has it: it is committed once storage has it.
            let (withheld, others): (Vec<Output>, Vec<Output>) =
                outputs.into_iter().partition(|output| matches!(output, Output::Apply { .. }));
            self.persistence.withheld.extend(withheld);
            outputs = others;
        }
        self.raft.handle(self.now, Input::StorageHealth { healthy: false }, &mut outputs);
        self.perform(outputs);
    }

    /// A full save has succeeded or failed, or a save that was overdue. What is to be performed now.
    fn on_background_save(&mut self, succeeded: bool) -> Vec<Output> {
        self.persistence.background_request = None;
        let mut outputs = Vec::new();
        if !succeeded {
            self.persistence.storage.on_save_failed(self.now);
        } else if let Some(unhealthy_for) = self.persistence.storage.on_saved(self.now) {
            log::info!("storage: all is saved, after {} ms", unhealthy_for / NANOS_PER_MILLI);
            outputs.append(&mut self.persistence.withheld);
            self.raft.handle(self.now, Input::StorageHealth { healthy: true }, &mut outputs);
        }
        outputs
    }

    /// Replaces the applied part of the log by a snapshot, when it is long.
    fn compact_log(&mut self) {
        let applied_index = self.persistence.applied_index;
        let applied_bytes = || {
            let applied = self.raft.entry_sizes().filter(|(index, _)| *index <= applied_index);
            applied.map(|(_, bytes)| bytes)
        };
        let is_short = applied_bytes().count() <= self.persistence.snapshot_threshold
            && applied_bytes().sum::<usize>() <= SNAPSHOT_THRESHOLD_BYTES;
        if is_short {
            return self.start_full_save_if_due();
        }
        let state = self.snapshot_bytes();
        let Some(change) = self.raft.compact(applied_index, state) else {
            return self.start_full_save_if_due();
        };
        if !self.must_wait_for_storage() {
            return self.start_full_save_if_due();
        }
        let commit_index = self.raft.commit_index();
        let request = StorageRequest::Append { changes: vec![change], commit_index };
        self.wait_for_storage(request, AfterSave::Snapshot);
    }

    /// Saves everything, if it is time. Where that was just done and more had come by then, it is waited for.
    fn start_full_save_if_due(&mut self) {
        if let Some(unhealthy_for) = self.persistence.storage.take_warning(self.now) {
            let seconds = unhealthy_for / NANOS_PER_SECOND;
            log::warn!("storage: nothing was saved for {seconds} s; retrying");
        }
        let is_idle = self.persistence.background_request.is_none();
        if is_idle && self.persistence.storage.is_full_save_due(self.now) {
            let request = StorageRequest::Full(Box::new(self.raft.persisted_state()));
            if self.persistence.storage.start_full_save() {
                self.wait_for_storage(request, AfterSave::FullSave);
            } else {
                self.persistence.background_request = Some(self.request_storage(request));
            }
        }
        self.update_leadership();
    }
}

/// How many bytes are to be persisted.
fn persisted_bytes(outputs: &[Output]) -> usize {
    let entry_bytes = |entry: &Entry| match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        _ => 0,
    };
    let bytes = |output: &Output| match output {
        Output::Persist(Persist::Entries { entries, .. }) => entries.iter().map(entry_bytes).sum(),
        Output::Persist(Persist::Snapshot { snapshot, .. }) => snapshot.state.len(),
        _ => 0,
    };
    outputs.iter().map(bytes).sum()
}
