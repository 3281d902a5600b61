//! Operators' orders and reads: each order is under way once, whoever asks for it and how often; what it comes to is
//! [`control_state::decide`]'s.

use crate::turns::{Outcome, Requester};
use crate::{ControlNode, Defect, Effect, Reply, Time, MS};
use bytes::Bytes;
use configuration::ConfigurationError;
use consensus::{Input, Term};
use control_state::{body_digest, decide_change, BodyDigest, Command, Decision, DeclaredVersions};
use std::collections::{BTreeMap, VecDeque};

/// A caller goes elsewhere after a second of silence: each call is answered within so long.
pub(crate) const CALL_TIMEOUT: Time = 850 * MS;
/// So long is waited for what comes of a proposal, whoever still asks: a large one takes its time on a slow link.
const PROPOSAL_TIMEOUT: Time = 15_000 * MS;
/// The most calls that wait at once: one whose caller is gone waits on. One more is told to come later.
pub(crate) const MAX_PENDING_CALLS: usize = 1024;
/// The most orders under way at once.
const MAX_CHANGES_IN_PROGRESS: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// For a round that began after it came.
    ReadIndex,
    /// For its turn.
    Queued,
    /// For whether it is sound.
    Validating,
    /// For what comes of the proposal.
    Proposed,
}

/// An order under way.
#[derive(Debug)]
struct Change {
    body: Bytes,
    digest: BodyDigest,
    stage: Stage,
    /// It is waited for no longer then.
    deadline: Time,
    /// In which it was proposed.
    term: Term,
    calls: Vec<u64>,
}

/// What is under way.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Calls that wait, and until when.
    calls: BTreeMap<u64, Time>,
    in_progress: BTreeMap<u64, Change>,
    last_id: u64,
    /// One proposal at a time, until it is known what came of it: of two on one base the second would only be carried around
    /// in vain. Whose turn it is, and who is next.
    active: Option<u64>,
    queue: VecDeque<u64>,
}

impl Changes {
    pub fn next_due(&self) -> Time {
        let calls = self.calls.values().copied();
        calls.chain(self.in_progress.values().map(|j| j.deadline)).min().unwrap_or(Time::MAX)
    }

    /// Whether somebody still waits for what the agreement is to tell.
    pub fn is_waiting(&self, waiter: Requester) -> bool {
        match waiter {
            Requester::Read(call) => self.calls.contains_key(&call),
            Requester::Change(job) => self.in_progress.contains_key(&job),
        }
    }
}

impl ControlNode {
    /// Bytes of the orders that are under way.
    pub fn change_body_bytes(&self) -> usize {
        self.changes.in_progress.values().map(|j| j.body.len()).sum()
    }

    /// An operator's configuration. One that is under way already is not begun again: whoever sends it once more hears what becomes of
    /// the first.
    pub fn replace_configuration(&mut self, now: Time, call: u64, body: Bytes) {
        self.now = now;
        if let Some(elsewhere) = self.redirect().or_else(|| self.reject_if_full()) {
            return self.effects.push(Effect::Reply { call, reply: elsewhere });
        }
        let until = now + CALL_TIMEOUT;
        self.changes.calls.insert(call, until);
        let mark = body_digest(&body);
        if let Some(job) = self.changes.in_progress.values_mut().find(|j| j.digest == mark) {
            return job.calls.push(call);
        }
        if self.changes.in_progress.len() >= MAX_CHANGES_IN_PROGRESS {
            return self.reply(call, Reply::Unavailable);
        }
        self.changes.last_id += 1;
        let number = self.changes.last_id;
        let job = Change {
            body,
            digest: mark,
            stage: Stage::ReadIndex,
            deadline: until,
            term: 0,
            calls: vec![call],
        };
        self.changes.in_progress.insert(number, job);
        // All that was agreed on when it came is known once a majority has said that nobody else leads.
        if self.has(Defect::DecideWithoutQuorum) {
            self.on_change_outcome(number, Outcome::ReadReady);
        } else {
            self.enqueue_for(Input::ReadIndex { tag: 0 }, Requester::Change(number));
        }
    }

    /// An operator asks what stands.
    pub fn read_configuration(&mut self, now: Time, call: u64) {
        self.now = now;
        if let Some(elsewhere) = self.redirect().or_else(|| self.reject_if_full()) {
            return self.effects.push(Effect::Reply { call, reply: elsewhere });
        }
        self.changes.calls.insert(call, now + CALL_TIMEOUT);
        if self.has(Defect::ReadWithoutQuorum) {
            self.on_read_outcome(call, Outcome::ReadReady);
        } else {
            self.enqueue_for(Input::ReadIndex { tag: 0 }, Requester::Read(call));
        }
    }

    /// The answer of one who does not lead.
    fn redirect(&mut self) -> Option<Reply> {
        if self.leadership.is_leader || self.has(Defect::DecideWithoutQuorum) {
            return None;
        }
        let sends_on = self.can_redirect();
        let leader = self.leadership.leader.as_ref().filter(|_| sends_on);
        Some(leader.map_or(Reply::Unavailable, |l| Reply::Redirect(l.name.clone())))
    }

    /// As many calls wait as may.
    fn reject_if_full(&self) -> Option<Reply> {
        (self.changes.calls.len() >= MAX_PENDING_CALLS).then_some(Reply::Unavailable)
    }

    /// Whether an order is sound, which was asked for with [`Effect::Check`]; none: nobody can say.
    pub fn on_validated(
        &mut self,
        now: Time,
        job: u64,
        read: Option<Result<DeclaredVersions, ConfigurationError>>,
    ) {
        self.now = now;
        let Some(order) = self.changes.in_progress.get(&job).filter(|j| j.stage == Stage::Validating) else {
            return;
        };
        let Some(read) = read else { return self.finish_change(job, Reply::Unavailable) };
        let body = order.body.clone();
        let verdict = match self.decision_of_defect(&body, &read) {
            Some(verdict) => verdict,
            None => decide_change(&self.state, &body, |_| read),
        };
        self.on_decision(job, verdict);
    }

    /// What a planted defect makes of an order.
    fn decision_of_defect(
        &self,
        body: &[u8],
        read: &Result<DeclaredVersions, ConfigurationError>,
    ) -> Option<Decision> {
        let DeclaredVersions { base, version } = *read.as_ref().ok()?;
        let (current, taken) = (self.state.version(), self.state.is_applied(body));
        let other = || Some(Decision::Conflict { current });
        match () {
            () if self.has(Defect::AppliedChangeForgotten) && taken && current != version => other(),
            () if self.has(Defect::BaseCheckedFirst) && base != current => other(),
            () if self.has(Defect::BaseIgnored) && !taken && version > current => {
                Some(Decision::Propose(Command::ReplaceConfiguration { base, version, body: body.to_vec() }))
            }
            () if self.has(Defect::VersionAloneAcknowledged) && version == current => {
                Some(Decision::Acknowledged)
            }
            () => None,
        }
    }

    fn on_decision(&mut self, job: u64, verdict: Decision) {
        let reply = match verdict {
            Decision::Propose(word) => {
                let word = word.as_delta(&self.state);
                let (until, now_in) = (self.now + PROPOSAL_TIMEOUT, self.leadership.term);
                if let Some(job) = self.changes.in_progress.get_mut(&job) {
                    (job.stage, job.deadline, job.term) = (Stage::Proposed, until, now_in);
                }
                return self
                    .enqueue_for(Input::Propose { tag: 0, command: word.encode() }, Requester::Change(job));
            }
            Decision::Acknowledged => Reply::Acknowledged,
            Decision::Invalid(why) => Reply::Invalid(why),
            Decision::Conflict { current } => Reply::Conflict { current },
            Decision::Unknown => Reply::Unavailable,
        };
        self.finish_change(job, reply);
    }

    /// The agreement says what came of what an order waits for.
    pub(crate) fn on_change_outcome(&mut self, job: u64, done: Outcome) {
        match done {
            Outcome::ReadReady => self.enqueue_change(job),
            Outcome::Committed => self.finish_change(job, Reply::Acknowledged),
            Outcome::Conflict => {
                let current = self.state.version();
                self.finish_change(job, Reply::Conflict { current });
            }
            Outcome::NotLeader => self.finish_change(job, Reply::Unavailable),
        }
    }

    pub(crate) fn on_read_outcome(&mut self, call: u64, done: Outcome) {
        let stands = Reply::Current(self.state.configuration().cloned());
        self.reply(call, if done == Outcome::ReadReady { stands } else { Reply::Unavailable });
    }

    /// All that was agreed on when the order came is known here.
    fn enqueue_change(&mut self, job: u64) {
        let until = self.now + CALL_TIMEOUT;
        let Some(waits) = self.changes.in_progress.get_mut(&job).filter(|j| j.stage == Stage::ReadIndex)
        else {
            return;
        };
        (waits.stage, waits.deadline) = (Stage::Queued, until);
        self.changes.queue.push_back(job);
        if self.changes.active.is_none() {
            self.start_next_change();
        }
    }

    fn start_next_change(&mut self) {
        self.changes.active = self.changes.queue.pop_front();
        let Some(job) = self.changes.active else { return };
        let Some(order) = self.changes.in_progress.get_mut(&job) else { return };
        let body = order.body.clone();
        // What was taken is known without its being read; how long that takes is bounded by its length.
        (order.stage, order.deadline) = (Stage::Validating, Time::MAX);
        let twists = self.has(Defect::AppliedChangeForgotten);
        if self.state.is_applied(&body) && !twists {
            return self.finish_change(job, Reply::Acknowledged);
        }
        self.effects.push(Effect::Validate { change: job, body });
    }

    /// It is known what comes of an order, or that this is not known.
    fn finish_change(&mut self, job: u64, reply: Reply) {
        let Some(ended) = self.changes.in_progress.remove(&job) else { return };
        ended.calls.into_iter().for_each(|call| self.reply(call, reply.clone()));
        self.changes.queue.retain(|j| *j != job);
        if self.changes.active == Some(job) {
            self.start_next_change();
        }
    }

    fn reply(&mut self, call: u64, reply: Reply) {
        if self.changes.calls.remove(&call).is_some() {
            self.effects.push(Effect::Reply { call, reply });
        }
    }

    /// Calls and orders that have waited for long enough.
    pub(crate) fn expire_calls_and_changes(&mut self) {
        let now = self.now;
        let late = |until: &Time| *until <= now;
        let calls: Vec<u64> =
            self.changes.calls.iter().filter(|(_, until)| late(until)).map(|(c, _)| *c).collect();
        calls.into_iter().for_each(|call| self.reply(call, Reply::Unavailable));
        let jobs: Vec<u64> =
            self.changes.in_progress.iter().filter(|(_, j)| late(&j.deadline)).map(|(j, _)| *j).collect();
        jobs.into_iter().for_each(|job| self.finish_change(job, Reply::Unavailable));
    }

    /// Who has lost the duty does not know what comes of its proposals.
    pub(crate) fn abandon_lost_proposals(&mut self) {
        let (leads, term) = (self.leadership.is_leader, self.leadership.term);
        let lost = |j: &Change| j.stage == Stage::Proposed && (!leads || j.term != term);
        let lost: Vec<u64> =
            self.changes.in_progress.iter().filter(|(_, j)| lost(j)).map(|(job, _)| *job).collect();
        lost.into_iter().for_each(|job| self.finish_change(job, Reply::Unavailable));
    }
}
