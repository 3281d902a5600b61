//! A cluster member under test, and the safety invariants that are checked after each step.
#![allow(dead_code)]

pub mod net;

use consensus::{
    Defect, Entry, EntryPayload, Input, LogIndex, Message, NodeId, Output, Persist, PersistedState, RaftNode,
    Term, Time, VoterSet,
};
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

pub const MS: Time = 1_000_000;

pub fn id(name: &str, disk: u64) -> NodeId {
    NodeId { name: name.into(), disk_id: disk }
}

/// A member with its disk. Everything it persists is durable immediately.
#[derive(Clone)]
pub struct Member {
    pub id: NodeId,
    pub disk: PersistedState,
    /// None while it is down.
    pub node: Option<RaftNode>,
    pub now: Time,
    /// State of its state machine.
    pub state: Vec<u8>,
    pub applied: LogIndex,
    /// Number of voters below which it does not shrink the set.
    pub min_voters: Option<usize>,
}

impl Member {
    /// Creates and starts a member with an empty disk.
    pub fn new(id: NodeId, now: Time, seed: u64, defect: Option<Defect>) -> Self {
        let disk = PersistedState::default();
        let (state, min_voters) = (Vec::new(), None);
        let mut member = Member { id, disk, node: None, now, state, applied: 0, min_voters };
        member.start(seed, defect);
        member
    }

    /// Starts the member from its disk.
    pub fn start(&mut self, seed: u64, defect: Option<Defect>) {
        let mut node = RaftNode::new(self.id.clone(), self.disk.clone(), seed, self.now);
        node.plant(defect);
        let snapshot = node.snapshot();
        (self.applied, self.state) = (snapshot.index, snapshot.state.clone());
        for output in node.committed_outputs() {
            if let Output::Apply { index, command, .. } = output {
                self.apply(index, &command);
            }
        }
        self.node = Some(node);
        self.set_min_voters(self.min_voters);
    }

    /// Lets the member shrink the set of voters down to this number.
    pub fn set_min_voters(&mut self, min_voters: Option<usize>) {
        self.min_voters = min_voters;
        if let (Some(node), Some(min_voters)) = (&mut self.node, min_voters) {
            node.allow_shrinking(min_voters);
        }
    }

    /// Applies a command: the state is the latest command.
    fn apply(&mut self, index: LogIndex, command: &[u8]) {
        self.applied = index;
        self.state = command.to_vec();
    }

    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(RaftNode::is_leader)
    }

    /// Handles an input. Persists and applies what it leads to, and returns the messages to send and the
    /// other outputs.
    pub fn handle(&mut self, input: Input) -> (Vec<Message>, Vec<Output>) {
        let mut outputs = Vec::new();
        if let Some(node) = &mut self.node {
            node.handle(self.now, input, &mut outputs);
        }
        let (mut sent_messages, mut other_outputs) = (Vec::new(), Vec::new());
        for output in outputs {
            match output {
                Output::Persist(change) => persist(&mut self.disk, &change),
                Output::Send(message) => sent_messages.push(message),
                other => {
                    match &other {
                        Output::Apply { index, command, .. } => self.apply(*index, command),
                        Output::InstallSnapshot { index, state } => {
                            (self.applied, self.state) = (*index, state.clone());
                        }
                        _ => {}
                    }
                    other_outputs.push(other);
                }
            }
        }
        if let Some(node) = &self.node {
            self.disk.commit_index = node.commit_index();
        }
        (sent_messages, other_outputs)
    }

    /// Compacts the log if it has more than `max_entries` entries.
    pub fn compact(&mut self, max_entries: usize) {
        let Some(node) = self.node.as_mut().filter(|node| node.entry_count() > max_entries) else { return };
        if let Some(change) = node.compact(self.applied, self.state.clone()) {
            persist(&mut self.disk, &change);
        }
    }

    pub fn digest(&self, hasher: &mut impl Hasher) {
        (&self.id, self.node.is_some()).hash(hasher);
        match &self.node {
            Some(node) => node.digest(self.now, hasher),
            None => self.disk.hash(hasher),
        }
    }

    /// Returns the entry at an index in the persisted log.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.disk.snapshot.index + 1)?;
        self.disk.entries.get(offset as usize)
    }

    pub fn last_index(&self) -> LogIndex {
        self.disk.snapshot.index + self.disk.entries.len() as LogIndex
    }
}

fn persist(disk: &mut PersistedState, change: &Persist) {
    match change {
        Persist::HardState { term, vote } => (disk.term, disk.vote) = (*term, vote.clone()),
        Persist::Entries { from, entries } => {
            disk.entries.truncate(from.saturating_sub(disk.snapshot.index + 1) as usize);
            disk.entries.extend(entries.iter().cloned());
        }
        Persist::Snapshot { snapshot, replaces_log } => {
            let covered_count = snapshot.index.saturating_sub(disk.snapshot.index) as usize;
            let kept = if *replaces_log || covered_count > disk.entries.len() {
                Vec::new()
            } else {
                disk.entries.split_off(covered_count)
            };
            (disk.entries, disk.snapshot) = (kept, snapshot.clone());
        }
    }
}

/// A violated invariant, and where it was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Election safety: two leaders in one term.
    TwoLeaders(Term),
    /// Log matching: two logs have different entries with the same index and term.
    LogMatching(LogIndex),
    /// State machine safety: different commands were applied at the same index.
    AppliedDiffers(LogIndex),
    /// Leader completeness: the leader lacks a committed entry.
    LeaderIncomplete(LogIndex),
    /// A reconfiguration reduced the number of tolerated failures.
    FaultToleranceReduced(LogIndex),
}

/// Leaders and applied commands observed so far.
#[derive(Clone, Debug, Default, Hash)]
pub struct Observations {
    leaders: BTreeMap<Term, NodeId>,
    applied: BTreeMap<LogIndex, (Term, Vec<u8>)>,
    /// Names of the members that are down, shutting down or isolated.
    pub unavailable: BTreeSet<String>,
}

impl Observations {
    /// Returns the latest index applied on any member.
    pub fn last_applied_index(&self) -> LogIndex {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Returns whether a step of a member may add an observation: a new leader or an applied command.
    pub fn is_new(&self, member: &Member, outputs: &[Output]) -> bool {
        let leads = |node: &RaftNode| node.is_leader() && !self.leaders.contains_key(&node.term());
        member.node.as_ref().is_some_and(leads) || outputs.iter().any(|o| matches!(o, Output::Apply { .. }))
    }

    /// Records the outputs of a member's step, and checks them against earlier observations.
    pub fn record(&mut self, member: &Member, outputs: &[Output]) -> Result<(), Violation> {
        for output in outputs {
            if let Output::Apply { index, term, command } = output {
                let first_applied = self.applied.entry(*index).or_insert((*term, command.clone()));
                if (first_applied.0, &first_applied.1) != (*term, command) {
                    return Err(Violation::AppliedDiffers(*index));
                }
            }
        }
        let Some(node) = member.node.as_ref().filter(|node| node.is_leader()) else { return Ok(()) };
        self.leaders.entry(node.term()).or_insert(node.id().clone());
        for (index, (term, command)) in &self.applied {
            let contains = match member.entry(*index) {
                Some(entry) => entry.term == *term && entry.payload == EntryPayload::Command(command.clone()),
                None => *index <= member.disk.snapshot.index,
            };
            // A deposed leader that does not know of the newer term yet may lack the newest entries.
            let has_newer_term = self.leaders.last_key_value().is_some_and(|(t, _)| *t > node.term());
            if !contains && !has_newer_term {
                return Err(Violation::LeaderIncomplete(*index));
            }
        }
        Ok(())
    }

    /// Checks a member that has just taken a step; `last_index_before` is its last log index before the step.
    pub fn check<M: Borrow<Member>>(
        &self,
        members: &[M],
        stepped: usize,
        last_index_before: LogIndex,
    ) -> Result<(), Violation> {
        let member: &Member = members[stepped].borrow();
        let Some(node) = &member.node else { return Ok(()) };
        if node.is_leader() {
            if self.leaders.get(&node.term()).is_some_and(|leader| leader != node.id()) {
                return Err(Violation::TwoLeaders(node.term()));
            }
            for index in last_index_before + 1..=member.last_index() {
                if let Some(Entry { payload: EntryPayload::JointConfiguration { old, new }, .. }) =
                    member.entry(index)
                {
                    self.tolerates_as_many_failures(members, node, old, new)
                        .then_some(())
                        .ok_or(Violation::FaultToleranceReduced(index))?;
                }
                let is_simple = matches!(
                    member.entry(index),
                    Some(Entry { payload: EntryPayload::Configuration(_), .. })
                );
                let previous = (1..index).rev().find_map(|p| match &member.entry(p)?.payload {
                    EntryPayload::Configuration(old) => Some((old.clone(), false)),
                    EntryPayload::JointConfiguration { old, .. } => Some((old.clone(), true)),
                    _ => None,
                });
                let previous = previous.unwrap_or_else(|| (member.disk.snapshot.voters.clone(), false));
                if let (true, (old, false)) = (is_simple, previous) {
                    self.tolerates_as_many_failures(members, node, &old, node.voters())
                        .then_some(())
                        .ok_or(Violation::FaultToleranceReduced(index))?;
                }
            }
        }
        for (_, other) in members.iter().enumerate().filter(|(m, _)| *m != stepped) {
            let other: &Member = other.borrow();
            let from = member.disk.snapshot.index.max(other.disk.snapshot.index) + 1;
            let to = member.last_index().min(other.last_index());
            for index in (from..=to).rev() {
                let (Some(a), Some(b)) = (member.entry(index), other.entry(index)) else { continue };
                if a.term == b.term && a != b {
                    return Err(Violation::LogMatching(index));
                }
            }
        }
        Ok(())
    }

    /// Returns whether the new voters tolerate at least as many failures as the old ones, and all voters that are added
    /// have all committed entries. By their number, unless only unavailable voters were removed and three voters or more
    /// remain; then at present, and more than the old ones.
    fn tolerates_as_many_failures<M: Borrow<Member>>(
        &self,
        members: &[M],
        node: &RaftNode,
        old: &VoterSet,
        new: &VoterSet,
    ) -> bool {
        let has_committed_entries = |(name, disk): (&String, &u64)| {
            let index = node.commit_index();
            members.iter().map(Borrow::borrow).any(|m: &Member| {
                m.id.name == *name
                    && m.id.disk_id == *disk
                    && m.disk.commit_index.max(m.last_index()) >= index
            })
        };
        let added = new.iter().filter(|(name, disk)| old.get(*name) != Some(*disk));
        let failures_tolerated = |set: &VoterSet| (set.len() - 1) / 2;
        let tolerates_as_many_by_number = failures_tolerated(new) >= failures_tolerated(old);
        added.clone().all(has_committed_entries)
            && (tolerates_as_many_by_number || self.is_shrunk_well(old, new))
    }

    /// Returns whether a set was shrunk by unavailable voters alone, and tolerates more failures at present.
    fn is_shrunk_well(&self, old: &VoterSet, new: &VoterSet) -> bool {
        let mut removed = old.keys().filter(|name| !new.contains_key(*name));
        let spare = |set: &VoterSet| {
            let available = set.keys().filter(|name| !self.unavailable.contains(*name)).count();
            available as isize - (set.len() / 2 + 1) as isize
        };
        new.len() >= 3 && removed.all(|name| self.unavailable.contains(name)) && spare(new) > spare(old)
    }
}
