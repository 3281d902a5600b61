//! A machine of the control plane: the program's control node, with a simulated disk that takes its time, loses or
//! refuses.

use crate::defect::Defect;
use crate::rules::Violation;
use crate::{Time, MS};
use consensus::{Entry, NodeId, Persist, PersistedState, RaftNode};
use control_node::{AppliedRecord, ControlNode, Effect, Leadership, NodeConfig, StorageRequest};
use control_state::{ControlState, LogIndex};
use registry::Heartbeat;
use std::collections::VecDeque;
use trial::{TenantTerms, UnixMillis};

/// How often backends are heard here.
pub const HEARTBEAT_INTERVAL: Time = 1000 * MS;

/// The address of machine `n`, which is its name.
pub fn address(n: usize) -> String {
    format!("10.0.{}.{}", n / 250, n % 250 + 1)
}

/// Which machine that is.
pub fn machine_index(name: &str) -> usize {
    let mut numbers = name.split('.').skip(2).filter_map(|n| n.parse::<usize>().ok());
    let (high, low) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(1));
    high * 250 + low.saturating_sub(1)
}

/// What a machine is told of its world.
#[derive(Clone)]
pub struct MachineSettings {
    pub seeds: Vec<String>,
    /// It starts with the whole system, for the first time.
    pub is_initial_start: bool,
    pub zone: String,
    pub terms: fn(&[u8]) -> TenantTerms,
    /// The log is folded into the state at so many entries.
    pub snapshot_threshold: usize,
    /// How long a gateway's fallback share lasts without an answer.
    pub fallback_lifetime: Time,
}

pub struct Machine {
    pub id: NodeId,
    /// It has a disk.
    pub can_vote: bool,
    /// Replaced for good.
    pub is_removed: bool,
    /// What would be there after a loss of power.
    pub disk: PersistedState,
    /// Backends as it kept them for the next start, on its disk too.
    saved_registry: Vec<Heartbeat>,
    /// Starts of its process.
    pub starts: u64,
    pub frozen_until: Time,
    /// How far its time of day is from the true one, in ms.
    pub skew: i64,
    pub settings: MachineSettings,
    node: Option<ControlNode>,
    /// What the disk is at, in order, by number.
    writes: VecDeque<(u64, StorageRequest)>,
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
            skew: 0,
            settings,
            node: None,
            writes: VecDeque::new(),
            applied: 0,
            defect,
        }
    }

    pub fn is_up(&self) -> bool {
        self.node.is_some()
    }

    /// Its process runs.
    pub fn runs(&self, now: Time) -> bool {
        self.is_up() && self.frozen_until <= now
    }

    pub fn node(&self) -> Option<&ControlNode> {
        self.node.as_ref()
    }

    pub fn state(&self) -> Option<&ControlState> {
        self.node.as_ref().map(ControlNode::state)
    }

    /// The configuration that it holds; 0: none.
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

    /// It starts, or starts again.
    pub fn start(&mut self, now: Time, seed: u64) {
        self.starts += 1;
        if !self.can_vote {
            (self.disk, self.id.disk_id) = (PersistedState::default(), self.id.disk_id + 1);
            self.saved_registry.clear();
        }
        let mut stored = self.disk.clone();
        match self.defect {
            Some(Defect::TailLost) => drop(stored.entries.pop()),
            Some(Defect::LogTruncatedAtStart) => stored.entries.clear(),
            _ => {}
        }
        let setup = NodeConfig {
            id: self.id.clone(),
            zone: self.settings.zone.clone(),
            can_vote: self.can_vote,
            initial_start: self.settings.is_initial_start && self.starts == 1,
            seeds: self.settings.seeds.clone(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            read_terms: self.settings.terms,
            fallback_lifetime: self.settings.fallback_lifetime,
            seed,
        };
        let planted = self.defect.and_then(Defect::planted);
        self.applied = 0;
        let mut node = ControlNode::with_defect(setup, stored, self.saved_registry.clone(), now, planted);
        node.set_snapshot_threshold(self.settings.snapshot_threshold);
        self.node = Some(node);
    }

    /// Power is lost, or the process is killed. How much of what the disk is at comes to it is chance.
    pub fn stop(&mut self, writes: usize) {
        for (_, work) in std::mem::take(&mut self.writes).into_iter().take(writes) {
            self.apply_write(work);
        }
        if let Some(node) = self.node.take() {
            self.saved_registry = node.serving_backends().1;
        }
    }

    /// The disk is lost, and what comes in its place has another id.
    pub fn wipe(&mut self, keeps_id: bool) {
        self.disk = PersistedState::default();
        self.saved_registry.clear();
        if !keeps_id {
            self.id.disk_id += 1000;
        }
    }

    /// How many writes the disk is at.
    pub fn writes(&self) -> usize {
        self.writes.len()
    }

    fn apply_write(&mut self, work: StorageRequest) {
        match work {
            StorageRequest::Append { changes: saves, commit_index: agreed } => {
                saves.iter().for_each(|s| save(&mut self.disk, s));
                self.disk.commit_index = agreed;
            }
            StorageRequest::Full(stored) => self.disk = *stored,
        }
    }

    /// The disk is at this from now on.
    pub fn begin_write(&mut self, number: u64, work: StorageRequest) {
        self.writes.push_back((number, work));
    }

    /// The disk has done this, or has refused it.
    pub fn written(&mut self, now: Time, number: u64, done: bool) {
        if let Some((_, work)) = self.writes.pop_front().filter(|(n, _)| *n == number) {
            if done {
                self.apply_write(work);
            }
        }
        self.with(|p| p.on_persisted(now, number, done));
    }

    /// Hands it something, if it runs.
    pub fn with<T>(&mut self, act: impl FnOnce(&mut ControlNode) -> T) -> Option<T> {
        self.node.as_mut().map(act)
    }

    /// What it wants done, and what it has applied.
    ///
    /// # Errors
    /// It applied something out of order.
    pub fn effects(&mut self) -> Result<(Vec<Effect>, Vec<AppliedRecord>), Violation> {
        let Some(node) = &mut self.node else { return Ok(Default::default()) };
        let (effects, journal) = (node.take_effects(), std::mem::take(&mut node.applied_records));
        for applied in &journal {
            match applied {
                AppliedRecord::Command(place, _) if *place <= self.applied => {
                    return Err(Violation::Order(*place))
                }
                AppliedRecord::Snapshot(place) if *place < self.applied => {
                    return Err(Violation::Order(*place))
                }
                AppliedRecord::Command(place, _) | AppliedRecord::Snapshot(place) => self.applied = *place,
            }
        }
        Ok((effects, journal))
    }

    /// When it next wants to work.
    pub fn next_due(&self) -> Time {
        self.node.as_ref().map_or(Time::MAX, ControlNode::next_due)
    }

    /// This machine's time of day; true time began at `began`.
    pub fn wall(&self, now: Time, began: UnixMillis) -> UnixMillis {
        (began + now / MS).saturating_add_signed(self.skew)
    }
}

/// What the disk holds after a save.
fn save(disk: &mut PersistedState, save: &Persist) {
    match save {
        Persist::HardState { term, vote } => (disk.term, disk.vote) = (*term, vote.clone()),
        Persist::Entries { from, entries } => {
            let kept = from.saturating_sub(disk.snapshot.index + 1) as usize;
            disk.entries.truncate(kept);
            disk.entries.extend(entries.iter().cloned());
        }
        Persist::Snapshot { snapshot, replaces_log: whole } => {
            let behind = snapshot.index.saturating_sub(disk.snapshot.index) as usize;
            let kept: Vec<Entry> = if *whole || behind > disk.entries.len() {
                Vec::new()
            } else {
                disk.entries.split_off(behind)
            };
            (disk.entries, disk.snapshot) = (kept, snapshot.clone());
        }
    }
}
