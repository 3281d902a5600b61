//! Persistence of consensus: inputs are processed in batches, the resulting changes are written to storage, and the
//! outputs that depend on them are performed afterwards.
//!
//! While storage is unhealthy the node continues without it: it applies and forwards entries that other nodes have
//! committed, and makes no promises. See `docs/design/disk.md`.

use crate::configuration_changes::Outcome;
use crate::effect::{Effect, StorageRequest};
use crate::storage_health::{StorageHealth, SAVE_TIMEOUT};
use crate::{ControlNode, Defect, Time};
use consensus::{Entry, EntryPayload, Input, LogIndex, Output, Persist, Term};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of inputs processed in one batch, whose changes share one sync.
const MAX_BATCH_INPUTS: usize = 64;
/// A batch ends early once more than this many bytes are to be persisted.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Maximum number of queued inputs while storage hangs; further ones are dropped, since messages may be lost.
const MAX_QUEUED_INPUTS: usize = 4096;
/// The log is compacted when it holds more applied entries than this.
const SNAPSHOT_THRESHOLD: usize = 64;
/// The log is compacted when its applied entries take more bytes than this.
const SNAPSHOT_THRESHOLD_BYTES: usize = 512 << 10;
/// Minimum length of a run of bytes that storage keeps once, separately, however many entries and snapshots contain
/// it. Shorter runs are stored inline. Commands of at least this length count as long.
pub const MIN_DEDUP_BYTES: usize = 4 << 10;
/// No long command is proposed while the uncommitted long entries take more than this many bytes. Bounds disk usage.
const MAX_UNCOMMITTED_LONG_BYTES: usize = 1 << 20;
/// The same limit for short commands.
const MAX_UNCOMMITTED_SHORT_BYTES: usize = 512 << 10;
const NANOS_PER_MILLI: Time = 1_000_000;
const NANOS_PER_SECOND: Time = 1_000_000_000;

/// The party that waits for the outcome of an input.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    /// A call that reads the configuration, by its number.
    Read(u64),
    /// A change of the configuration, by its id.
    Change(u64),
}

struct QueuedInput {
    input: Input,
    requester: Option<Requester>,
}

/// An uncommitted command proposed by this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proposal {
    pub term: Term,
    pub tag: u64,
}

/// A storage request during which no inputs are processed.
struct PendingSave {
    number: u64,
    /// Time after which the node continues without it.
    deadline: Time,
    continuation: AfterSave,
}

/// What to do once a pending save completes.
enum AfterSave {
    /// Perform the outputs that depend on it.
    Perform(Vec<Output>),
    /// Nothing; it saved a snapshot.
    Snapshot,
    /// Update storage health; it was a full save.
    FullSave,
}

/// Queued inputs, the requesters that wait for them, and outstanding storage requests.
pub(crate) struct PersistenceQueue {
    inputs: VecDeque<QueuedInput>,
    /// Requesters by input tag.
    pub requesters: BTreeMap<u64, Requester>,
    /// Proposals of this node by log index.
    pub proposals: BTreeMap<LogIndex, Proposal>,
    pub applied_index: LogIndex,
    last_tag: u64,
    pub storage: StorageHealth,
    /// Number of the latest [`Effect::Persist`].
    last_request_number: u64,
    pending_save: Option<PendingSave>,
    /// Number of the storage request that runs while inputs are processed without storage.
    background_request: Option<u64>,
    /// Entries committed by this node as the sole voter, to be applied once its disk holds them.
    withheld_outputs: Vec<Output>,
    snapshot_threshold: usize,
}

impl PersistenceQueue {
    /// Creates an empty queue.
    pub fn new(now: Time) -> Self {
        PersistenceQueue {
            inputs: VecDeque::new(),
            requesters: BTreeMap::new(),
            proposals: BTreeMap::new(),
            applied_index: 0,
            last_tag: 0,
            storage: StorageHealth::new(now),
            last_request_number: 0,
            pending_save: None,
            background_request: None,
            withheld_outputs: Vec::new(),
            snapshot_threshold: SNAPSHOT_THRESHOLD,
        }
    }

    /// Returns whether an input is queued and no save is pending.
    pub fn has_ready_input(&self) -> bool {
        self.pending_save.is_none() && !self.inputs.is_empty()
    }
}

impl ControlNode {
    /// Sets how many applied entries trigger log compaction, for simulations that compact often.
    pub fn set_snapshot_threshold(&mut self, entries: usize) {
        self.persistence.snapshot_threshold = entries;
    }

    /// Describes the queue and the storage health, for a simulation's report.
    pub fn describe_storage(&self) -> String {
        let pending_save = self.persistence.pending_save.as_ref().map(|save| (save.number, save.deadline));
        let inputs = self.persistence.inputs.len();
        format!("{inputs} inputs, pending save {pending_save:?}, {:?}", self.persistence.storage)
    }

    pub(crate) fn next_persistence_due(&self) -> Time {
        match &self.persistence.pending_save {
            // No inputs are processed and no consensus timers run while a save is pending.
            Some(save) => save.deadline,
            None => self.raft.next_due().min(self.persistence.storage.next_due()),
        }
    }

    /// Queues an input without a requester; drops it if the queue is full.
    pub(crate) fn enqueue(&mut self, input: Input) {
        if self.persistence.inputs.len() < MAX_QUEUED_INPUTS {
            self.persistence.inputs.push_back(QueuedInput { input, requester: None });
        }
    }

    /// Queues an input whose outcome is reported to the requester.
    pub(crate) fn enqueue_for(&mut self, requester: Requester, input: Input) {
        if self.persistence.inputs.len() < MAX_QUEUED_INPUTS {
            self.persistence.inputs.push_back(QueuedInput { input, requester: Some(requester) });
        } else {
            self.resolve(requester, Outcome::NotLeader);
        }
    }

    /// Processes due timers and queued inputs in batches, until none are left or a save is pending.
    pub(crate) fn process_inputs(&mut self) {
        if self.persistence.pending_save.as_ref().is_some_and(|save| save.deadline <= self.now) {
            self.on_pending_save_done(None);
        }
        while self.persistence.pending_save.is_none() {
            let is_due = self.next_persistence_due() <= self.now;
            if !is_due && self.persistence.inputs.is_empty() {
                break;
            }
            let outputs = self.process_batch(is_due);
            self.persist_then_perform(outputs);
            if is_due && self.persistence.inputs.is_empty() && self.next_persistence_due() <= self.now {
                // Work that is due again is left to the next step.
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
                // Some of the requesters stopped waiting long ago.
                let (changes, persistence) = (&self.changes, &mut self.persistence);
                persistence.requesters.retain(|_, requester| changes.is_waiting(*requester));
            }
            self.persistence.requesters.insert(tag, requester);
        }
        self.raft.handle(self.now, input, outputs);
    }

    /// Returns whether the uncommitted entries already exceed the limit that applies to a command of this length.
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

    /// Persists all changes before performing any other output, which is earlier than required but needs only one
    /// sync. If storage is healthy, the other outputs wait until the changes are durable.
    fn persist_then_perform(&mut self, outputs: Vec<Output>) {
        let (to_persist, mut to_perform): (Vec<Output>, Vec<Output>) =
            outputs.into_iter().partition(|output| matches!(output, Output::Persist(_)));
        if to_persist.is_empty() || !self.must_wait_for_storage() {
            self.perform(to_perform);
            return self.compact_log();
        }
        if self.has_defect(Defect::SendBeforeSync) {
            let (sent, remaining) =
                to_perform.into_iter().partition(|output| matches!(output, Output::Send(_)));
            to_perform = remaining;
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

    /// Returns whether a change must become durable before the node continues, and otherwise records it as skipped.
    /// Unhealthy storage is not waited for: consensus knows of it, so its outputs promise nothing, and the next full
    /// save includes the change.
    fn must_wait_for_storage(&mut self) -> bool {
        let is_healthy = self.persistence.storage.is_healthy();
        if !is_healthy {
            self.persistence.storage.on_save_skipped();
        }
        is_healthy
    }

    fn request_storage(&mut self, request: StorageRequest) -> u64 {
        self.persistence.last_request_number += 1;
        let number = self.persistence.last_request_number;
        self.effects.push(Effect::Persist { number, request });
        number
    }

    /// Sends a request to storage and holds back inputs until it completes, but for less time than other nodes wait
    /// for a silent leader.
    fn wait_for_storage(&mut self, request: StorageRequest, continuation: AfterSave) {
        let number = self.request_storage(request);
        self.persistence.pending_save =
            Some(PendingSave { number, deadline: self.now + SAVE_TIMEOUT, continuation });
    }

    /// Handles the completion or failure of the [`Effect::Persist`] request with this number.
    pub fn on_persisted(&mut self, now: Time, number: u64, succeeded: bool) {
        self.now = now;
        if self.persistence.pending_save.as_ref().is_some_and(|save| save.number == number) {
            self.on_pending_save_done(Some(succeeded));
        } else if self.persistence.background_request == Some(number) {
            let outputs = self.on_background_save(succeeded);
            self.persist_then_perform(outputs);
        }
    }

    /// Handles the end of the pending save: success, failure, or `None` if its deadline has passed.
    fn on_pending_save_done(&mut self, succeeded: Option<bool>) {
        let Some(save) = self.persistence.pending_save.take() else { return };
        let outputs = match save.continuation {
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
                let timeout_ms = SAVE_TIMEOUT / NANOS_PER_MILLI;
                log::warn!(
                    "storage: a save takes over {timeout_ms} ms; this node neither leads nor votes until all is saved"
                );
                self.persistence.background_request = Some(save.number);
                self.persistence.storage.on_save_overdue(self.now);
                self.perform_without_storage(outputs);
            }
        }
        self.compact_log();
    }

    /// Performs outputs although the save they depend on did not succeed: drops their messages, which may be lost at
    /// any time, and reports unhealthy storage to consensus.
    fn perform_without_storage(&mut self, mut outputs: Vec<Output>) {
        if self.has_defect(Defect::SendWithoutStorage) {
            return self.perform(outputs);
        }
        outputs.retain(|output| !matches!(output, Output::Send(_)));
        if self.raft.is_leader() && self.raft.voters().len() == 1 {
            // No other node holds these entries: they are committed once storage holds them.
            let (withheld_outputs, remaining_outputs): (Vec<Output>, Vec<Output>) =
                outputs.into_iter().partition(|output| matches!(output, Output::Apply { .. }));
            self.persistence.withheld_outputs.extend(withheld_outputs);
            outputs = remaining_outputs;
        }
        self.raft.handle(self.now, Input::StorageHealth { healthy: false }, &mut outputs);
        self.perform(outputs);
    }

    /// Handles the end of a full save or of an overdue save. Returns the outputs to perform.
    fn on_background_save(&mut self, succeeded: bool) -> Vec<Output> {
        self.persistence.background_request = None;
        let mut outputs = Vec::new();
        if !succeeded {
            self.persistence.storage.on_save_failed(self.now);
        } else if let Some(unhealthy_for) = self.persistence.storage.on_saved(self.now) {
            log::info!("storage: all is saved, after {} ms", unhealthy_for / NANOS_PER_MILLI);
            outputs.append(&mut self.persistence.withheld_outputs);
            self.raft.handle(self.now, Input::StorageHealth { healthy: true }, &mut outputs);
        }
        outputs
    }

    /// Replaces the applied part of the log by a snapshot if it exceeds a threshold. Starts a full save if one is
    /// due, unless it waits for the snapshot.
    fn compact_log(&mut self) {
        let applied_index = self.persistence.applied_index;
        let applied_bytes = || {
            let applied = self.raft.entry_sizes().filter(|(index, _)| *index <= applied_index);
            applied.map(|(_, bytes)| bytes)
        };
        let is_below_thresholds = applied_bytes().count() <= self.persistence.snapshot_threshold
            && applied_bytes().sum::<usize>() <= SNAPSHOT_THRESHOLD_BYTES;
        if is_below_thresholds {
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

    /// Starts a full save if one is due. Inputs wait for it if changes arrived during the previous one.
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

/// Returns how many bytes of commands and snapshots the outputs persist.
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
