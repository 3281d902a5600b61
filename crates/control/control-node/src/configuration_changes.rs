//! Changes and reads of the configuration by operators. Identical changes from several calls are processed once;
//! [`control_state::decide_change`] decides their outcome.

use crate::effect::{Effect, Reply};
use crate::persistence::Requester;
use crate::{ControlNode, Defect, Time, MS};
use bytes::Bytes;
use configuration::ConfigurationError;
use consensus::{Input, Term};
use control_state::{body_digest, decide_change, BodyDigest, ChangeDecision, Command, DeclaredVersions};
use std::collections::{BTreeMap, VecDeque};

/// Every call is answered within this time, because callers go to another node after one second without an answer.
pub(crate) const CALL_TIMEOUT: Time = 850 * MS;
/// Maximum time to wait for the outcome of a proposal, even if no call still waits for it: a large proposal takes
/// long on a slow link.
const PROPOSAL_TIMEOUT: Time = 15_000 * MS;
/// Maximum number of pending calls, including those of callers that have disconnected. Further calls are answered
/// [`Reply::Unavailable`].
pub(crate) const MAX_PENDING_CALLS: usize = 1024;
/// Maximum number of changes in progress.
const MAX_CHANGES_IN_PROGRESS: usize = 32;

/// Outcome of an input to consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The proposal was committed and is applied.
    Committed,
    /// The proposal was committed, but another change was applied before it.
    Conflict,
    /// Everything committed before the read is applied here.
    ReadReady,
    /// This node does not lead, or no longer leads; the outcome is unknown.
    NotLeader,
}

/// What a change waits for; logged by its variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A heartbeat round that started after the change arrived.
    ReadIndex,
    /// Completion of the changes queued before it.
    Queued,
    /// The result of validation.
    Validating,
    /// The outcome of its proposal.
    Proposed,
}

/// A change in progress.
#[derive(Debug)]
struct Change {
    body: Bytes,
    digest: BodyDigest,
    stage: Stage,
    deadline: Time,
    /// Term in which it was proposed; 0 before.
    term: Term,
    /// Calls that wait for its outcome.
    calls: Vec<u64>,
}

/// Changes in progress and pending calls.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Deadlines of pending calls, by call number.
    calls: BTreeMap<u64, Time>,
    in_progress: BTreeMap<u64, Change>,
    last_id: u64,
    /// The one change that is being validated or proposed. Only one is processed until its outcome is known, because
    /// of two changes with the same base the second would be replicated in vain.
    active_change: Option<u64>,
    queue: VecDeque<u64>,
}

impl Changes {
    /// Returns the earliest deadline of a call or change.
    pub fn next_due(&self) -> Time {
        let changes = self.in_progress.values().map(|change| change.deadline);
        self.calls.values().copied().chain(changes).min().unwrap_or(Time::MAX)
    }

    /// Returns whether the requester's call or change is still pending.
    pub fn is_waiting(&self, requester: Requester) -> bool {
        match requester {
            Requester::Read(call) => self.calls.contains_key(&call),
            Requester::Change(change) => self.in_progress.contains_key(&change),
        }
    }
}

impl ControlNode {
    /// Returns the total size of the bodies of the changes in progress, in bytes.
    pub fn change_body_bytes(&self) -> usize {
        self.changes.in_progress.values().map(|change| change.body.len()).sum()
    }

    /// Handles an operator's change. A change identical to one in progress is not started again: the call waits for
    /// the outcome of the existing one.
    pub fn replace_configuration(&mut self, now: Time, call: u64, body: Bytes) {
        self.now = now;
        if let Some(reply) = self.redirect().or_else(|| self.reject_if_full()) {
            return self.effects.push(Effect::Reply { call, reply });
        }
        let deadline = now + CALL_TIMEOUT;
        self.changes.calls.insert(call, deadline);
        let digest = body_digest(&body);
        if let Some(existing) = self.changes.in_progress.values_mut().find(|change| change.digest == digest) {
            return existing.calls.push(call);
        }
        if self.changes.in_progress.len() >= MAX_CHANGES_IN_PROGRESS {
            return self.reply(call, Reply::Unavailable);
        }
        self.changes.last_id += 1;
        let id = self.changes.last_id;
        let stage = Stage::ReadIndex;
        let change = Change { body, digest, stage, deadline, term: 0, calls: vec![call] };
        self.changes.in_progress.insert(id, change);
        // A majority must confirm that no other node leads before everything committed so far is known here.
        if self.has_defect(Defect::DecideWithoutQuorum) {
            self.on_change_outcome(id, Outcome::ReadReady);
        } else {
            self.enqueue_for(Requester::Change(id), Input::ReadIndex { tag: 0 });
        }
    }

    /// Handles an operator's read of the configuration in force.
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

    /// Returns the reply to a call if this node does not lead.
    fn redirect(&mut self) -> Option<Reply> {
        if self.leadership.is_leader || self.has_defect(Defect::DecideWithoutQuorum) {
            return None;
        }
        let can_redirect = self.can_redirect();
        let leader = self.leadership.leader.as_ref().filter(|_| can_redirect);
        Some(leader.map_or(Reply::Unavailable, |leader| Reply::Redirect(leader.name.clone())))
    }

    /// Returns the reply to a call if the maximum number of calls is pending.
    fn reject_if_full(&self) -> Option<Reply> {
        (self.changes.calls.len() >= MAX_PENDING_CALLS).then_some(Reply::Unavailable)
    }

    /// Handles the result of [`Effect::Validate`]: the declared versions or a validation error; `None` if validation
    /// could not be done.
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
        let decision = match self.defective_decision(&body, &validated) {
            Some(decision) => decision,
            None => decide_change(&self.state, &body, |_| validated),
        };
        self.on_decision(id, decision);
    }

    /// Returns the wrong decision of a planted defect, if one applies to the change.
    fn defective_decision(
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

    /// Handles the outcome of a change's read index or proposal.
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

    /// Queues a change for validation, now that everything committed before its arrival is applied here.
    fn enqueue_change(&mut self, id: u64) {
        let change = self.changes.in_progress.get_mut(&id);
        let Some(change) = change.filter(|change| change.stage == Stage::ReadIndex) else { return };
        change.stage = Stage::Queued;
        change.deadline = self.now + CALL_TIMEOUT;
        self.changes.queue.push_back(id);
        if self.changes.active_change.is_none() {
            self.start_next_change();
        }
    }

    fn start_next_change(&mut self) {
        self.changes.active_change = self.changes.queue.pop_front();
        let Some(id) = self.changes.active_change else { return };
        let Some(change) = self.changes.in_progress.get_mut(&id) else { return };
        // No deadline: the body's length bounds the duration of validation.
        change.stage = Stage::Validating;
        change.deadline = Time::MAX;
        let body = change.body.clone();
        let recognises_applied = !self.has_defect(Defect::AppliedChangeForgotten);
        if recognises_applied && self.state.is_applied(&body) {
            return self.finish_change(id, Reply::Acknowledged);
        }
        self.effects.push(Effect::Validate { change: id, body });
    }

    /// Ends a change and answers its calls; the reply may say that the outcome is unknown.
    fn finish_change(&mut self, id: u64, reply: Reply) {
        let Some(change) = self.changes.in_progress.remove(&id) else { return };
        change.calls.into_iter().for_each(|call| self.reply(call, reply.clone()));
        self.changes.queue.retain(|queued| *queued != id);
        if self.changes.active_change == Some(id) {
            self.start_next_change();
        }
    }

    fn reply(&mut self, call: u64, reply: Reply) {
        if self.changes.calls.remove(&call).is_some() {
            self.effects.push(Effect::Reply { call, reply });
        }
    }

    /// Ends calls and changes whose deadline has passed.
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

    /// Ends proposed changes after leadership is lost or the term has changed: their outcome is unknown to this node.
    pub(crate) fn abandon_lost_proposals(&mut self) {
        let (is_leader, term) = (self.leadership.is_leader, self.leadership.term);
        let is_lost =
            |change: &Change| change.stage == Stage::Proposed && (!is_leader || change.term != term);
        let lost = self.changes.in_progress.iter().filter(|(_, change)| is_lost(change));
        let lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.finish_change(id, Reply::Unavailable));
    }
}
