//! Operators' changes and reads of the configuration. Each change is in progress once, whoever asks for it and how often;
//! what becomes of it is decided by [`control_state::decide_change`].

use crate::effect::{Effect, Reply};
use crate::persistence::Requester;
use crate::{ControlNode, Defect, Time, MS};
use bytes::Bytes;
use configuration::ConfigurationError;
use consensus::{Input, Term};
use control_state::{body_digest, decide_change, BodyDigest, ChangeDecision, Command, DeclaredVersions};
use std::collections::{BTreeMap, VecDeque};

/// A caller goes elsewhere after a second of silence: each call is answered within so long.
pub(crate) const CALL_TIMEOUT: Time = 850 * MS;
/// The outcome of a proposal is waited for so long, whoever still asks: a large one takes its time on a slow link.
const PROPOSAL_TIMEOUT: Time = 15_000 * MS;
/// Calls that wait at once, at most, also for callers that are gone. One more is told to come later.
pub(crate) const MAX_PENDING_CALLS: usize = 1024;
/// Changes in progress at once, at most.
const MAX_CHANGES_IN_PROGRESS: usize = 32;

/// What came of an input to consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was committed and is applied.
    Committed,
    /// It was committed, and another change came first.
    Conflict,
    /// All that was committed before is applied here.
    ReadReady,
    /// This node does not lead, or leads no more: nothing is known.
    NotLeader,
}

/// What a change waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A heartbeat round that began after it came.
    ReadIndex,
    /// Its turn.
    Queued,
    /// Whether it is sound.
    Validating,
    /// The outcome of the proposal.
    Proposed,
}

/// A change in progress.
#[derive(Debug)]
struct Change {
    body: Bytes,
    digest: BodyDigest,
    stage: Stage,
    deadline: Time,
    /// In which it was proposed.
    term: Term,
    /// The calls that wait for it.
    calls: Vec<u64>,
}

/// Changes in progress, and calls that wait.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Calls, each with its deadline.
    calls: BTreeMap<u64, Time>,
    in_progress: BTreeMap<u64, Change>,
    last_id: u64,
    /// One change is validated and proposed at a time, until it is known what came of it: of two on one base the second
    /// would be replicated in vain.
    active: Option<u64>,
    queue: VecDeque<u64>,
}

impl Changes {
    /// When the next call or change has waited for too long.
    pub fn next_due(&self) -> Time {
        let changes = self.in_progress.values().map(|change| change.deadline);
        self.calls.values().copied().chain(changes).min().unwrap_or(Time::MAX)
    }

    /// Whether somebody still waits for what consensus is to tell.
    pub fn is_waiting(&self, requester: Requester) -> bool {
        match requester {
            Requester::Read(call) => self.calls.contains_key(&call),
            Requester::Change(change) => self.in_progress.contains_key(&change),
        }
    }
}

impl ControlNode {
    /// Bytes of the changes in progress.
    pub fn change_body_bytes(&self) -> usize {
        self.changes.in_progress.values().map(|change| change.body.len()).sum()
    }

    /// An operator's change. One that is in progress already is not begun again: whoever sends it once more hears what
    /// becomes of the first.
    pub fn replace_configuration(&mut self, now: Time, call: u64, body: Bytes) {
        self.now = now;
        if let Some(reply) = self.redirect().or_else(|| self.reject_if_full()) {
            return self.effects.push(Effect::Reply { call, reply });
        }
        let deadline = now + CALL_TIMEOUT;
        self.changes.calls.insert(call, deadline);
        let digest = body_digest(&body);
        if let Some(same) = self.changes.in_progress.values_mut().find(|change| change.digest == digest) {
            return same.calls.push(call);
        }
        if self.changes.in_progress.len() >= MAX_CHANGES_IN_PROGRESS {
            return self.reply(call, Reply::Unavailable);
        }
        self.changes.last_id += 1;
        let id = self.changes.last_id;
        let stage = Stage::ReadIndex;
        let change = Change { body, digest, stage, deadline, term: 0, calls: vec![call] };
        self.changes.in_progress.insert(id, change);
        // All that was committed when it came is known once a majority has said that no other node leads.
        if self.has_defect(Defect::DecideWithoutQuorum) {
            self.on_change_outcome(id, Outcome::ReadReady);
        } else {
            self.enqueue_for(Requester::Change(id), Input::ReadIndex { tag: 0 });
        }
    }

    /// An operator reads the configuration in force.
    pub fn read_configuration(&mut self, now: Time, call: u64) {
        self.now = now;
        if let Some(reply) = self.redirect().or_else(|| self.reject_if_full()) {
            return self.effects.push(Effect::Reply { call, reply });
        }
        self.changes.calls.insert(call, now + CALL_TIMEOUT);
        if self.has_defect(Defect::ReadWithoutQuorum) {
            self.on_read_outcome(call, Outcome::ReadReady);
        } else {
            self.enqueue_for(Requester::Read(call), Input::ReadIndex { tag: 0 });
        }
    }

    /// The reply of a node that does not lead.
    fn redirect(&mut self) -> Option<Reply> {
        if self.leadership.is_leader || self.has_defect(Defect::DecideWithoutQuorum) {
            return None;
        }
        let can_redirect = self.can_redirect();
        let leader = self.leadership.leader.as_ref().filter(|_| can_redirect);
        Some(leader.map_or(Reply::Unavailable, |leader| Reply::Redirect(leader.name.clone())))
    }

    /// The reply when as many calls wait as may.
    fn reject_if_full(&self) -> Option<Reply> {
        (self.changes.calls.len() >= MAX_PENDING_CALLS).then_some(Reply::Unavailable)
    }

    /// The answer to [`Effect::Validate`]: what the configuration declares, or what is wrong with it; none: it could not be
    /// validated.
    pub fn on_validated(
        &mut self,
        now: Time,
        id: u64,
        validated: Option<Result<DeclaredVersions, ConfigurationError>>,
    ) {
        self.now = now;
        let change = self.changes.in_progress.get(&id).filter(|change| change.stage == Stage::Validating);
        let Some(change) = change else { return };
        let Some(validated) = validated else { return self.finish_change(id, Reply::Unavailable) };
        let body = change.body.clone();
        let decision = match self.decision_of_defect(&body, &validated) {
            Some(decision) => decision,
            None => decide_change(&self.state, &body, |_| validated),
        };
        self.on_decision(id, decision);
    }

    /// What a planted defect makes of a change.
    fn decision_of_defect(
        &self,
        body: &[u8],
        validated: &Result<DeclaredVersions, ConfigurationError>,
    ) -> Option<ChangeDecision> {
        let DeclaredVersions { base, version } = *validated.as_ref().ok()?;
        let (current, is_applied) = (self.state.version(), self.state.is_applied(body));
        let is_forgotten =
            self.has_defect(Defect::AppliedChangeForgotten) && is_applied && current != version;
        let is_refused_by_base = self.has_defect(Defect::BaseCheckedFirst) && base != current;
        if is_forgotten || is_refused_by_base {
            Some(ChangeDecision::Conflict { current })
        } else if self.has_defect(Defect::BaseIgnored) && !is_applied && version > current {
            Some(ChangeDecision::Propose(Command::ReplaceConfiguration {
                base,
                version,
                body: body.to_vec(),
            }))
        } else if self.has_defect(Defect::VersionAloneAcknowledged) && version == current {
            Some(ChangeDecision::Acknowledged)
        } else {
            None
        }
    }

    fn on_decision(&mut self, id: u64, decision: ChangeDecision) {
        let reply = match decision {
            ChangeDecision::Propose(command) => return self.propose_change(id, command),
            ChangeDecision::Acknowledged => Reply::Acknowledged,
            ChangeDecision::Invalid(reason) => Reply::Invalid(reason),
            ChangeDecision::Conflict { current } => Reply::Conflict { current },
            ChangeDecision::Unknown => Reply::Unavailable,
        };
        self.finish_change(id, reply);
    }

    fn propose_change(&mut self, id: u64, command: Command) {
        let command = command.into_delta_if_smaller(&self.state).encode();
        if let Some(change) = self.changes.in_progress.get_mut(&id) {
            change.stage = Stage::Proposed;
            change.deadline = self.now + PROPOSAL_TIMEOUT;
            change.term = self.leadership.term;
        }
        self.enqueue_for(Requester::Change(id), Input::Propose { tag: 0, command });
    }

    /// What came of what a change waited for.
    pub(crate) fn on_change_outcome(&mut self, id: u64, outcome: Outcome) {
        match outcome {
            Outcome::ReadReady => self.enqueue_change(id),
            Outcome::Committed => self.finish_change(id, Reply::Acknowledged),
            Outcome::Conflict => {
                let current = self.state.version();
                self.finish_change(id, Reply::Conflict { current });
            }
            Outcome::NotLeader => self.finish_change(id, Reply::Unavailable),
        }
    }

    pub(crate) fn on_read_outcome(&mut self, call: u64, outcome: Outcome) {
        let reply = match outcome {
            Outcome::ReadReady => Reply::Current(self.state.configuration().cloned()),
            _ => Reply::Unavailable,
        };
        self.reply(call, reply);
    }

    /// All that was committed when the change came is known here: it waits for its turn.
    fn enqueue_change(&mut self, id: u64) {
        let change = self.changes.in_progress.get_mut(&id);
        let Some(change) = change.filter(|change| change.stage == Stage::ReadIndex) else { return };
        change.stage = Stage::Queued;
        change.deadline = self.now + CALL_TIMEOUT;
        self.changes.queue.push_back(id);
        if self.changes.active.is_none() {
            self.start_next_change();
        }
    }

    fn start_next_change(&mut self) {
        self.changes.active = self.changes.queue.pop_front();
        let Some(id) = self.changes.active else { return };
        let Some(change) = self.changes.in_progress.get_mut(&id) else { return };
        // How long validation takes is bounded by the body's length.
        change.stage = Stage::Validating;
        change.deadline = Time::MAX;
        let body = change.body.clone();
        let recognises_applied = !self.has_defect(Defect::AppliedChangeForgotten);
        if recognises_applied && self.state.is_applied(&body) {
            return self.finish_change(id, Reply::Acknowledged);
        }
        self.effects.push(Effect::Validate { change: id, body });
    }

    /// It is known what came of a change, or that this is not known.
    fn finish_change(&mut self, id: u64, reply: Reply) {
        let Some(change) = self.changes.in_progress.remove(&id) else { return };
        change.calls.into_iter().for_each(|call| self.reply(call, reply.clone()));
        self.changes.queue.retain(|queued| *queued != id);
        if self.changes.active == Some(id) {
            self.start_next_change();
        }
    }

    fn reply(&mut self, call: u64, reply: Reply) {
        if self.changes.calls.remove(&call).is_some() {
            self.effects.push(Effect::Reply { call, reply });
        }
    }

    /// Ends calls and changes that have waited for too long.
    pub(crate) fn expire_calls_and_changes(&mut self) {
        let now = self.now;
        let calls = self.changes.calls.iter().filter(|(_, deadline)| **deadline <= now);
        let calls: Vec<u64> = calls.map(|(call, _)| *call).collect();
        calls.into_iter().for_each(|call| self.reply(call, Reply::Unavailable));
        let changes = self.changes.in_progress.iter().filter(|(_, change)| change.deadline <= now);
        let changes: Vec<u64> = changes.map(|(id, _)| *id).collect();
        for id in changes {
            if let Some(change) = self.changes.in_progress.get(&id) {
                log::info!("configuration: a change is given up, at the stage {:?}", change.stage);
            }
            self.finish_change(id, Reply::Unavailable);
        }
    }

    /// A node that has lost leadership does not know what comes of its proposals.
    pub(crate) fn abandon_lost_proposals(&mut self) {
        let (is_leader, term) = (self.leadership.is_leader, self.leadership.term);
        let is_lost =
            |change: &Change| change.stage == Stage::Proposed && (!is_leader || change.term != term);
        let lost = self.changes.in_progress.iter().filter(|(_, change)| is_lost(change));
        let lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.finish_change(id, Reply::Unavailable));
    }
}
