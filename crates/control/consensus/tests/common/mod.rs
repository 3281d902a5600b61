//! A member as a test holds it, and the rules that are looked at after each step.
#![allow(dead_code)]

pub mod net;

use consensus::{
    Defect, Entry, EntryPayload, Input, LogIndex, Message, NodeId, Output, Persist, PersistedState, RaftNode,
    Term, Time, VoterSet,
};
use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

pub const MS: Time = 1_000_000;

pub fn id(name: &str, disk: u64) -> NodeId {
    NodeId { name: name.into(), disk_id: disk }
}

/// A member with its disk; all that it saves is there at once.
#[derive(Clone)]
pub struct Member {
    pub id: NodeId,
    pub disk: PersistedState,
    /// None while it is down.
    pub core: Option<RaftNode>,
    pub now: Time,
    /// What it has applied, as the state machine would hold it.
    pub state: Vec<u8>,
    pub applied: LogIndex,
}

impl Member {
    /// One with an empty disk.
    pub fn new(id: NodeId, now: Time, seed: u64, defect: Option<Defect>) -> Self {
        let disk = PersistedState::default();
        let mut member = Member { id, disk, core: None, now, state: Vec::new(), applied: 0 };
        member.start(seed, defect);
        member
    }

    /// Begins with what is on the disk.
    pub fn start(&mut self, seed: u64, defect: Option<Defect>) {
        let mut core = RaftNode::new(self.id.clone(), self.disk.clone(), seed, self.now);
        core.plant(defect);
        let snapshot = core.snapshot();
        (self.applied, self.state) = (snapshot.index, snapshot.state.clone());
        for output in core.committed_outputs() {
            if let Output::Apply { index, command, .. } = output {
                self.apply(index, &command);
            }
        }
        self.core = Some(core);
    }

    /// The state is the latest command, behind how many there were.
    fn apply(&mut self, index: LogIndex, command: &[u8]) {
        self.applied = index;
        self.state = command.to_vec();
    }

    pub fn is_leader(&self) -> bool {
        self.core.as_ref().is_some_and(RaftNode::is_leader)
    }

    /// One input; what it says to others, and what it has applied.
    pub fn take(&mut self, input: Input) -> (Vec<Message>, Vec<Output>) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.core {
            core.handle(self.now, input, &mut out);
        }
        let (mut sent_messages, mut done) = (Vec::new(), Vec::new());
        for output in out {
            match output {
                Output::Persist(save) => persist(&mut self.disk, &save),
                Output::Send(message) => sent_messages.push(message),
                other => {
                    match &other {
                        Output::Apply { index, command, .. } => self.apply(*index, command),
                        Output::InstallSnapshot { index, state } => {
                            (self.applied, self.state) = (*index, state.clone());
                        }
                        _ => {}
                    }
                    done.push(other);
                }
            }
        }
        if let Some(core) = &self.core {
            self.disk.commit_index = core.commit_index();
        }
        (sent_messages, done)
    }

    /// Folds the log into the state if it has so many entries.
    pub fn compact(&mut self, most: usize) {
        let Some(core) = self.core.as_mut().filter(|c| c.entry_count() > most) else { return };
        if let Some(save) = core.compact(self.applied, self.state.clone()) {
            persist(&mut self.disk, &save);
        }
    }

    pub fn digest(&self, to: &mut impl Hasher) {
        (&self.id, self.core.is_some()).hash(to);
        match &self.core {
            Some(core) => core.digest(self.now, to),
            None => self.disk.hash(to),
        }
    }

    /// What its log says there.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let at = index.checked_sub(self.disk.snapshot.index + 1)?;
        self.disk.entries.get(at as usize)
    }

    pub fn last(&self) -> LogIndex {
        self.disk.snapshot.index + self.disk.entries.len() as LogIndex
    }
}

fn persist(disk: &mut PersistedState, save: &Persist) {
    match save {
        Persist::HardState { term, vote } => (disk.term, disk.vote) = (*term, vote.clone()),
        Persist::Entries { from, entries } => {
            disk.entries.truncate(from.saturating_sub(disk.snapshot.index + 1) as usize);
            disk.entries.extend(entries.iter().cloned());
        }
        Persist::Snapshot { snapshot, replaces_log: whole } => {
            let behind = snapshot.index.saturating_sub(disk.snapshot.index) as usize;
            let kept = if *whole || behind > disk.entries.len() {
                Vec::new()
            } else {
                disk.entries.split_off(behind)
            };
            (disk.entries, disk.snapshot) = (kept, snapshot.clone());
        }
    }
}

/// Which rule is broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two led in one term.
    TwoLeaders(Term),
    /// Two logs hold another entry of the same term at the same index.
    LogMatching(LogIndex),
    /// What was applied here was applied otherwise elsewhere.
    AppliedDiffers(LogIndex),
    /// Whoever leads lacks what was agreed on.
    LeaderIncomplete(LogIndex),
    /// After a change of the voters fewer losses are borne than before.
    FaultToleranceReduced(LogIndex),
}

/// What was seen by now.
#[derive(Clone, Debug, Default, Hash)]
pub struct Observations {
    leaders: BTreeMap<Term, NodeId>,
    applied: BTreeMap<LogIndex, (Term, Vec<u8>)>,
}

impl Observations {
    /// The latest index that was applied anywhere.
    pub fn newest(&self) -> LogIndex {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Whether a member's step brings anything that was not seen before.
    pub fn is_new(&self, member: &Member, done: &[Output]) -> bool {
        let leads = |core: &RaftNode| core.is_leader() && !self.leaders.contains_key(&core.term());
        member.core.as_ref().is_some_and(leads) || done.iter().any(|o| matches!(o, Output::Apply { .. }))
    }

    /// Takes in what a member has done.
    pub fn record(&mut self, member: &Member, done: &[Output]) -> Result<(), Violation> {
        for output in done {
            if let Output::Apply { index, term, command } = output {
                let there = self.applied.entry(*index).or_insert((*term, command.clone()));
                if (there.0, &there.1) != (*term, command) {
                    return Err(Violation::AppliedDiffers(*index));
                }
            }
        }
        let Some(core) = member.core.as_ref().filter(|c| c.is_leader()) else { return Ok(()) };
        self.leaders.entry(core.term()).or_insert(core.id().clone());
        for (index, (term, command)) in &self.applied {
            let has = match member.entry(*index) {
                Some(entry) => entry.term == *term && entry.payload == EntryPayload::Command(command.clone()),
                None => *index <= member.disk.snapshot.index,
            };
            // One that led before and does not know yet that it is over may lack the newest.
            let newer = self.leaders.last_key_value().is_some_and(|(t, _)| *t > core.term());
            if !has && !newer {
                return Err(Violation::LeaderIncomplete(*index));
            }
        }
        Ok(())
    }

    /// Looks at a member that has just taken a step; `before`: how its log ended.
    pub fn check<M: Borrow<Member>>(
        &self,
        members: &[M],
        n: usize,
        before: LogIndex,
    ) -> Result<(), Violation> {
        let member: &Member = members[n].borrow();
        let Some(core) = &member.core else { return Ok(()) };
        if core.is_leader() {
            if self.leaders.get(&core.term()).is_some_and(|leader| leader != core.id()) {
                return Err(Violation::TwoLeaders(core.term()));
            }
            for index in before + 1..=member.last() {
                if let Some(Entry { payload: EntryPayload::JointConfiguration { old, new }, .. }) =
                    member.entry(index)
                {
                    tolerates_as_many_failures(members, core, old, new)
                        .then_some(())
                        .ok_or(Violation::FaultToleranceReduced(index))?;
                }
                let plain = matches!(
                    member.entry(index),
                    Some(Entry { payload: EntryPayload::Configuration(_), .. })
                );
                let was = (1..index).rev().find_map(|p| match &member.entry(p)?.payload {
                    EntryPayload::Configuration(old) => Some((old.clone(), false)),
                    EntryPayload::JointConfiguration { old, .. } => Some((old.clone(), true)),
                    _ => None,
                });
                let was = was.unwrap_or_else(|| (member.disk.snapshot.voters.clone(), false));
                if let (true, (old, false)) = (plain, was) {
                    tolerates_as_many_failures(members, core, &old, core.voters())
                        .then_some(())
                        .ok_or(Violation::FaultToleranceReduced(index))?;
                }
            }
        }
        for (_, other) in members.iter().enumerate().filter(|(m, _)| *m != n) {
            let other: &Member = other.borrow();
            let from = member.disk.snapshot.index.max(other.disk.snapshot.index) + 1;
            let to = member.last().min(other.last());
            for index in (from..=to).rev() {
                let (Some(a), Some(b)) = (member.entry(index), other.entry(index)) else { continue };
                if a.term == b.term && a != b {
                    return Err(Violation::LogMatching(index));
                }
            }
        }
        Ok(())
    }
}

/// Whether the new voters bear as many losses as the old: there are as many or more by the majority, and all that are new
/// among them hold what is agreed on.
fn tolerates_as_many_failures<M: Borrow<Member>>(
    members: &[M],
    core: &RaftNode,
    old: &VoterSet,
    new: &VoterSet,
) -> bool {
    let holds = |(name, disk): (&String, &u64)| {
        let index = core.commit_index();
        members.iter().map(Borrow::borrow).any(|m: &Member| {
            m.id.name == *name && m.id.disk_id == *disk && m.disk.commit_index.max(m.last()) >= index
        })
    };
    let added = new.iter().filter(|(name, disk)| old.get(*name) != Some(*disk));
    let failures_tolerated = |set: &VoterSet| (set.len() - 1) / 2;
    added.clone().all(holds) && failures_tolerated(new) >= failures_tolerated(old)
}
