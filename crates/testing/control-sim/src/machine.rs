//! A machine of the control plane: the program's control node with a simulated disk that is slow, loses its contents
//! or refuses writes.

use crate::defect::Defect;
use crate::rules::Violation;
use crate::{Time, MS};
use consensus::{Entry, NodeId, Persist, PersistedState, RaftNode};
use control_node::{
    AppliedRecord, ControlNode, Effect, Leadership, NodeConfig, ReloadSchedule, StorageRequest,
};
use control_state::{ControlState, LogIndex};
use registry::Heartbeat;
use std::collections::VecDeque;
use trial::{TenantTerms, UnixMillis};

/// Interval between the heartbeats of a backend in the simulation.
pub const HEARTBEAT_INTERVAL: Time = 1000 * MS;

/// Returns the address of machine `n`, which is also its name.
pub fn address(n: usize) -> String {
    format!("10.0.{}.{}", n / 250, n % 250 + 1)
}

/// Returns the index of the machine with this name.
pub fn machine_index(name: &str) -> usize {
    let mut numbers = name.split('.').skip(2).filter_map(|n| n.parse::<usize>().ok());
    let (high, low) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(1));
    high * 250 + low.saturating_sub(1)
}

/// Settings of a machine.
#[derive(Clone)]
pub struct MachineSettings {
    pub seeds: Vec<String>,
    /// Whether its first start is the bootstrap of the whole control plane.
    pub is_initial_start: bool,
    pub zone: String,
    pub read_terms: fn(&[u8]) -> TenantTerms,
    /// Number of log entries at which the log is compacted into a snapshot.
    pub snapshot_threshold: usize,
    /// Lifetime of a gateway's fallback share without an answer from the coordinator.
    pub fallback_lifetime: Time,
    /// Number of voters below which the core is not shrunk: what the workload's tolerance of failures takes.
    pub min_voters: usize,
}

/// A machine, its disk, and the control node that runs on it while it is up.
pub struct Machine {
    pub id: NodeId,
    /// Whether it has a disk, and so may vote.
    pub can_vote: bool,
    /// Whether it was replaced permanently.
    pub is_removed: bool,
    /// What would survive a loss of power.
    pub disk: PersistedState,
    /// Backends that it saved to disk for its next start.
    saved_registry: Vec<Heartbeat>,
    /// Number of starts of its process.
    pub starts: u64,
    pub frozen_until: Time,
    /// Deviation of its clock from true time, in ms.
    pub clock_skew_ms: i64,
    pub settings: MachineSettings,
    node: Option<ControlNode>,
    /// When its process reads its settings again without a signal.
    reload_schedule: ReloadSchedule,
    /// Writes in progress on the disk, in order, by number.
    pending_writes: VecDeque<(u64, StorageRequest)>,
    applied: LogIndex,
    defect: Option<Defect>,
}

impl Machine {
    pub fn new(n: usize, can_vote: bool, settings: MachineSettings, defect: Option<Defect>) -> Self {
        Machine {
            id: NodeId { name: address(n), disk_id: 100 + n as u64 },
            can_vote,
            is_removed: false,
            disk: PersistedState::default(),
            saved_registry: Vec::new(),
            starts: 0,
            frozen_until: 0,
            clock_skew_ms: 0,
            settings,
            node: None,
            reload_schedule: ReloadSchedule::new(0),
            pending_writes: VecDeque::new(),
            applied: 0,
            defect,
        }
    }

    pub fn is_up(&self) -> bool {
        self.node.is_some()
    }

    /// Returns whether its process is up and not frozen.
    pub fn is_running(&self, now: Time) -> bool {
        self.is_up() && self.frozen_until <= now
    }

    pub fn node(&self) -> Option<&ControlNode> {
        self.node.as_ref()
    }

    pub fn state(&self) -> Option<&ControlState> {
        self.node.as_ref().map(ControlNode::state)
    }

    /// Returns the version of its configuration, or 0 if it has none.
    pub fn version(&self) -> u32 {
        self.state().map_or(0, ControlState::version)
    }

    pub fn raft(&self) -> Option<&RaftNode> {
        self.node.as_ref().map(ControlNode::raft)
    }

    pub fn leadership(&self) -> Option<&Leadership> {
        self.node.as_ref().map(ControlNode::leadership)
    }

    pub fn is_leader(&self) -> bool {
        self.leadership().is_some_and(|d| d.is_leader)
    }

    /// Starts or restarts the machine.
    pub fn start(&mut self, now: Time, seed: u64) {
        self.starts += 1;
        if !self.can_vote {
            (self.disk, self.id.disk_id) = (PersistedState::default(), self.id.disk_id + 1);
            self.saved_registry.clear();
        }
        let mut persisted = self.disk.clone();
        match self.defect {
            Some(Defect::TailLost) => drop(persisted.entries.pop()),
            Some(Defect::LogTruncatedAtStart) => persisted.entries.clear(),
            _ => {}
        }
        let config = NodeConfig {
            id: self.id.clone(),
            zone: self.settings.zone.clone(),
            can_vote: self.can_vote,
            initial_start: self.settings.is_initial_start && self.starts == 1,
            seeds: self.settings.seeds.clone(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            read_terms: self.settings.read_terms,
            fallback_lifetime: self.settings.fallback_lifetime,
            min_voters: Some(self.settings.min_voters),
            seed,
        };
        let planted = self.defect.and_then(Defect::control_node_defect);
        self.applied = 0;
        let mut node = ControlNode::with_defect(config, persisted, self.saved_registry.clone(), now, planted);
        node.set_snapshot_threshold(self.settings.snapshot_threshold);
        self.node = Some(node);
        self.reload_schedule = ReloadSchedule::new(now);
    }

    /// Reads the settings again if that is due without a signal. `jitter` is a random number between 0 and 1.
    pub fn reload_settings(&mut self, now: Time, jitter: f64) {
        let Some(node) = &mut self.node else { return };
        let is_due = self.reload_schedule.is_due(now, node.last_heard_from_peer(), jitter);
        if is_due && self.defect != Some(Defect::SettingsReadOnce) {
            node.set_seeds(now, &self.settings.seeds);
        }
    }

    /// Simulates a loss of power or a killed process. The first `completed_writes` of the pending writes reach the
    /// disk.
    pub fn stop(&mut self, completed_writes: usize) {
        for (_, request) in std::mem::take(&mut self.pending_writes).into_iter().take(completed_writes) {
            self.apply_write(request);
        }
        if let Some(node) = self.node.take() {
            self.saved_registry = node.serving_backends().1;
        }
    }

    /// Removes the machine for good, with its disk.
    pub fn remove(&mut self) {
        self.is_removed = true;
        self.disk = PersistedState::default();
        self.saved_registry.clear();
    }

    /// Erases the disk. Its replacement has another ID unless `keeps_id` is set.
    pub fn wipe(&mut self, keeps_id: bool) {
        self.disk = PersistedState::default();
        self.saved_registry.clear();
        if !keeps_id {
            self.id.disk_id += 1000;
        }
    }

    /// Returns the number of pending writes.
    pub fn pending_write_count(&self) -> usize {
        self.pending_writes.len()
    }

    fn apply_write(&mut self, request: StorageRequest) {
        match request {
            StorageRequest::Append { changes, commit_index } => {
                changes.iter().for_each(|change| apply_change(&mut self.disk, change));
                self.disk.commit_index = commit_index;
            }
            StorageRequest::Full(persisted) => self.disk = *persisted,
        }
    }

    /// Adds a write to the pending writes.
    pub fn begin_write(&mut self, number: u64, request: StorageRequest) {
        self.pending_writes.push_back((number, request));
    }

    /// Completes a write, or fails it if the disk refused it.
    pub fn complete_write(&mut self, now: Time, number: u64, succeeded: bool) {
        if let Some((_, request)) = self.pending_writes.pop_front().filter(|(n, _)| *n == number) {
            if succeeded {
                self.apply_write(request);
            }
        }
        self.with_node(|node| node.on_persisted(now, number, succeeded));
    }

    /// Passes input to the node, if it is up.
    pub fn with_node<T>(&mut self, act: impl FnOnce(&mut ControlNode) -> T) -> Option<T> {
        self.node.as_mut().map(act)
    }

    /// Returns the node's pending effects and the records that it applied.
    ///
    /// # Errors
    /// Returns a violation if it applied something out of order.
    pub fn effects(&mut self) -> Result<(Vec<Effect>, Vec<AppliedRecord>), Violation> {
        let Some(node) = &mut self.node else { return Ok(Default::default()) };
        let (effects, records) = (node.take_effects(), std::mem::take(&mut node.applied_records));
        for applied in &records {
            match applied {
                AppliedRecord::Command(index, _) if *index <= self.applied => {
                    return Err(Violation::Order(*index))
                }
                AppliedRecord::Snapshot(index) if *index < self.applied => {
                    return Err(Violation::Order(*index))
                }
                AppliedRecord::Command(index, _) | AppliedRecord::Snapshot(index) => self.applied = *index,
            }
        }
        Ok((effects, records))
    }

    /// Returns when the node is due to be advanced.
    pub fn next_due(&self) -> Time {
        self.node.as_ref().map_or(Time::MAX, ControlNode::next_due)
    }

    /// Returns this machine's wall-clock time; true time was `epoch_unix_ms` at the start.
    pub fn wall_clock_ms(&self, now: Time, epoch_unix_ms: UnixMillis) -> UnixMillis {
        (epoch_unix_ms + now / MS).saturating_add_signed(self.clock_skew_ms)
    }
}

/// Applies one change to the contents of the disk.
fn apply_change(disk: &mut PersistedState, change: &Persist) {
    match change {
        Persist::HardState { term, vote } => (disk.term, disk.vote) = (*term, vote.clone()),
        Persist::Entries { from, entries } => {
            let kept = from.saturating_sub(disk.snapshot.index + 1) as usize;
            disk.entries.truncate(kept);
            disk.entries.extend(entries.iter().cloned());
        }
        Persist::Snapshot { snapshot, replaces_log } => {
            let covered = snapshot.index.saturating_sub(disk.snapshot.index) as usize;
            let kept: Vec<Entry> = if *replaces_log || covered > disk.entries.len() {
                Vec::new()
            } else {
                disk.entries.split_off(covered)
            };
            (disk.entries, disk.snapshot) = (kept, snapshot.clone());
        }
    }
}
