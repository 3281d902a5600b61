//! Operators' orders and reads: each order is under way once, whoever asks for it and how often; what it comes to is
//! [`control_state::decide`]'s.

use crate::turns::{Done, Waiter};
use crate::{Defect, Effect, Prompter, Reply, Time, MS};
use bytes::Bytes;
use consensus::{Input, Term};
use control_state::{decide, mark, Mark, Verdict, Versions, Word};
use std::collections::{BTreeMap, VecDeque};

/// A caller goes elsewhere after a second of silence: each call is answered within so long.
pub(crate) const ANSWERED: Time = 850 * MS;
/// So long is waited for what comes of a proposal, whoever still asks: a large one takes its time on a slow link.
const PROPOSED: Time = 15_000 * MS;
/// The most calls that wait at once: one whose caller is gone waits on. One more is told to come later.
pub(crate) const WAITING: usize = 1024;
/// The most orders under way at once.
const ORDERS: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// For a round that began after it came.
    Reads,
    /// For its turn.
    Waits,
    /// For whether it is sound.
    Checks,
    /// For what comes of the proposal.
    Proposed,
}

/// An order under way.
#[derive(Debug)]
struct Job {
    body: Bytes,
    mark: Mark,
    stage: Stage,
    /// It is waited for no longer then.
    until: Time,
    /// In which it was proposed.
    term: Term,
    calls: Vec<u64>,
}

/// What is under way.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// Calls that wait, and until when.
    calls: BTreeMap<u64, Time>,
    jobs: BTreeMap<u64, Job>,
    job: u64,
    /// One proposal at a time, until it is known what came of it: of two on one base the second would only be carried around
    /// in vain. Whose turn it is, and who is next.
    turn: Option<u64>,
    line: VecDeque<u64>,
}

impl Orders {
    pub fn next_due(&self) -> Time {
        let calls = self.calls.values().copied();
        calls.chain(self.jobs.values().map(|j| j.until)).min().unwrap_or(Time::MAX)
    }

    /// Whether somebody still waits for what the agreement is to tell.
    pub fn waits(&self, waiter: Waiter) -> bool {
        match waiter {
            Waiter::Read(call) => self.calls.contains_key(&call),
            Waiter::Order(job) => self.jobs.contains_key(&job),
        }
    }
}

impl Prompter {
    /// Bytes of the orders that are under way.
    pub fn bodies(&self) -> usize {
        self.orders.jobs.values().map(|j| j.body.len()).sum()
    }

    /// An operator's configuration. One that is under way already is not begun again: whoever sends it once more hears what becomes of
    /// the first.
    pub fn replace(&mut self, now: Time, call: u64, body: Bytes) {
        self.now = now;
        if let Some(elsewhere) = self.elsewhere().or_else(|| self.is_full()) {
            return self.effects.push(Effect::Answer { call, reply: elsewhere });
        }
        let until = now + ANSWERED;
        self.orders.calls.insert(call, until);
        let mark = mark(&body);
        if let Some(job) = self.orders.jobs.values_mut().find(|j| j.mark == mark) {
            return job.calls.push(call);
        }
        if self.orders.jobs.len() >= ORDERS {
            return self.answer(call, Reply::Later);
        }
        self.orders.job += 1;
        let number = self.orders.job;
        let job = Job { body, mark, stage: Stage::Reads, until, term: 0, calls: vec![call] };
        self.orders.jobs.insert(number, job);
        // All that was agreed on when it came is known once a majority has said that nobody else leads.
        if self.has(Defect::DecidesAlone) {
            self.order_done(number, Done::Newest);
        } else {
            self.ask(Input::Read { tag: 0 }, Waiter::Order(number));
        }
    }

    /// An operator asks what stands.
    pub fn read(&mut self, now: Time, call: u64) {
        self.now = now;
        if let Some(elsewhere) = self.elsewhere().or_else(|| self.is_full()) {
            return self.effects.push(Effect::Answer { call, reply: elsewhere });
        }
        self.orders.calls.insert(call, now + ANSWERED);
        if self.has(Defect::ReadAlone) {
            self.read_done(call, Done::Newest);
        } else {
            self.ask(Input::Read { tag: 0 }, Waiter::Read(call));
        }
    }

    /// The answer of one who does not lead.
    fn elsewhere(&mut self) -> Option<Reply> {
        if self.duty.is_leader || self.has(Defect::DecidesAlone) {
            return None;
        }
        let sends_on = self.sends_on();
        let leader = self.duty.leader.as_ref().filter(|_| sends_on);
        Some(leader.map_or(Reply::Later, |l| Reply::Elsewhere(l.name.clone())))
    }

    /// As many calls wait as may.
    fn is_full(&self) -> Option<Reply> {
        (self.orders.calls.len() >= WAITING).then_some(Reply::Later)
    }

    /// Whether an order is sound, which was asked for with [`Effect::Check`]; none: nobody can say.
    pub fn checked(&mut self, now: Time, job: u64, read: Option<Result<Versions, String>>) {
        self.now = now;
        let Some(order) = self.orders.jobs.get(&job).filter(|j| j.stage == Stage::Checks) else { return };
        let Some(read) = read else { return self.end(job, Reply::Later) };
        let body = order.body.clone();
        let verdict = match self.twisted(&body, &read) {
            Some(verdict) => verdict,
            None => decide(&self.book, &body, |_| read),
        };
        self.decided(job, verdict);
    }

    /// What a planted defect makes of an order.
    fn twisted(&self, body: &[u8], read: &Result<Versions, String>) -> Option<Verdict> {
        let Versions { base, version } = *read.as_ref().ok()?;
        let (current, taken) = (self.book.version(), self.book.is_taken(body));
        let other = || Some(Verdict::Conflict { current });
        match () {
            () if self.has(Defect::OrderForgotten) && taken && current != version => other(),
            () if self.has(Defect::BaseFirst) && base != current => other(),
            () if self.has(Defect::BaseIgnored) && !taken && version > current => {
                Some(Verdict::Propose(Word::Configuration { base, version, body: body.to_vec() }))
            }
            () if self.has(Defect::NumberIsEnough) && version == current => Some(Verdict::Acknowledged),
            () => None,
        }
    }

    fn decided(&mut self, job: u64, verdict: Verdict) {
        let reply = match verdict {
            Verdict::Propose(word) => {
                let word = word.shortened(&self.book);
                let (until, now_in) = (self.now + PROPOSED, self.duty.term);
                if let Some(job) = self.orders.jobs.get_mut(&job) {
                    (job.stage, job.until, job.term) = (Stage::Proposed, until, now_in);
                }
                return self.ask(Input::Propose { tag: 0, word: word.write() }, Waiter::Order(job));
            }
            Verdict::Acknowledged => Reply::Acknowledged,
            Verdict::Invalid(why) => Reply::Invalid(why),
            Verdict::Conflict { current } => Reply::Conflict { current },
            Verdict::Unclear => Reply::Later,
        };
        self.end(job, reply);
    }

    /// The agreement says what came of what an order waits for.
    pub(crate) fn order_done(&mut self, job: u64, done: Done) {
        match done {
            Done::Newest => self.wait_for_turn(job),
            Done::Stands => self.end(job, Reply::Acknowledged),
            Done::Other => {
                let current = self.book.version();
                self.end(job, Reply::Conflict { current });
            }
            Done::NotLeader => self.end(job, Reply::Later),
        }
    }

    pub(crate) fn read_done(&mut self, call: u64, done: Done) {
        let stands = Reply::Stands(self.book.configuration().cloned());
        self.answer(call, if done == Done::Newest { stands } else { Reply::Later });
    }

    /// All that was agreed on when the order came is known here.
    fn wait_for_turn(&mut self, job: u64) {
        let until = self.now + ANSWERED;
        let Some(waits) = self.orders.jobs.get_mut(&job).filter(|j| j.stage == Stage::Reads) else { return };
        (waits.stage, waits.until) = (Stage::Waits, until);
        self.orders.line.push_back(job);
        if self.orders.turn.is_none() {
            self.next_turn();
        }
    }

    fn next_turn(&mut self) {
        self.orders.turn = self.orders.line.pop_front();
        let Some(job) = self.orders.turn else { return };
        let Some(order) = self.orders.jobs.get_mut(&job) else { return };
        let body = order.body.clone();
        // What was taken is known without its being read; how long that takes is bounded by its length.
        (order.stage, order.until) = (Stage::Checks, Time::MAX);
        let twists = self.has(Defect::OrderForgotten);
        if self.book.is_taken(&body) && !twists {
            return self.end(job, Reply::Acknowledged);
        }
        self.effects.push(Effect::Check { job, body });
    }

    /// It is known what comes of an order, or that this is not known.
    fn end(&mut self, job: u64, reply: Reply) {
        let Some(ended) = self.orders.jobs.remove(&job) else { return };
        ended.calls.into_iter().for_each(|call| self.answer(call, reply.clone()));
        self.orders.line.retain(|j| *j != job);
        if self.orders.turn == Some(job) {
            self.next_turn();
        }
    }

    fn answer(&mut self, call: u64, reply: Reply) {
        if self.orders.calls.remove(&call).is_some() {
            self.effects.push(Effect::Answer { call, reply });
        }
    }

    /// Calls and orders that have waited for long enough.
    pub(crate) fn end_late_orders(&mut self) {
        let now = self.now;
        let late = |until: &Time| *until <= now;
        let calls: Vec<u64> =
            self.orders.calls.iter().filter(|(_, until)| late(until)).map(|(c, _)| *c).collect();
        calls.into_iter().for_each(|call| self.answer(call, Reply::Later));
        let jobs: Vec<u64> =
            self.orders.jobs.iter().filter(|(_, j)| late(&j.until)).map(|(j, _)| *j).collect();
        jobs.into_iter().for_each(|job| self.end(job, Reply::Later));
    }

    /// Who has lost the duty does not know what comes of its proposals.
    pub(crate) fn end_lost_orders(&mut self) {
        let (leads, term) = (self.duty.is_leader, self.duty.term);
        let lost = |j: &Job| j.stage == Stage::Proposed && (!leads || j.term != term);
        let lost: Vec<u64> = self.orders.jobs.iter().filter(|(_, j)| lost(j)).map(|(job, _)| *job).collect();
        lost.into_iter().for_each(|job| self.end(job, Reply::Later));
    }
}
