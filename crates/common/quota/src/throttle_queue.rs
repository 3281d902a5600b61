//! A throttled tenant's requests at one gateway: they wait in the order in which they came, for turns that the coordinator
//! grants. Work that would miss its target latency by that order goes ahead of reads. `docs/design/trials.md` says what is
//! promised and why it holds.

use crate::lease::{TrialPhase, TurnGrant, TurnRequest};
use crate::limit::TrialPace;
use crate::time::{from_micros, from_seconds, to_micros, to_seconds, Time, MS};
use crate::turn_assignment::{assign_turns, HeldTurns};
use crate::{GRANT_LIFETIME, ISOLATION_TIMEOUT, PHASE_NOTICE};
use std::collections::VecDeque;

/// Requests that wait at one gateway, at most.
const MAX_QUEUED: usize = 1024;
/// A request for turns that was not answered for so long was lost.
const TURN_REQUEST_TIMEOUT: Time = 150 * MS;
/// An isolated gateway refuses nobody for so long: the coordinator may be changing.
const ISOLATION_GRACE: Time = 2000 * MS;
/// Turns of the coordinator are good for so long in an isolated gateway: as long as a granted unit is, so that the
/// coordinator does not count on this gateway so soon.
const TURNS_GOOD_WHEN_ISOLATED: Time = GRANT_LIFETIME - ISOLATION_TIMEOUT;
/// Weight of one more wait in the mean.
const WAIT_SMOOTHING: f64 = 0.2;

/// A request that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The gateway's.
    pub id: u64,
    /// When it began to wait.
    pub enqueued_at: Time,
    /// It does not wait for longer.
    pub deadline: Time,
    /// Work that misses its target latency if it does not go on by then; none: a read.
    pub urgent_by: Option<Time>,
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// It goes on.
    Proceed,
    /// Its turn would come too late.
    Refused {
        /// When to come back.
        retry_after: Time,
    },
}

/// Where the turns that are held come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnSource {
    Unassigned,
    /// The coordinator of this id.
    Coordinator(u64),
    /// The gateway's own fallback share.
    Fallback,
}

/// How this gateway stands to the coordinator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoordinatorContact {
    /// It has heard nothing for too long, since then.
    pub isolated_since: Option<Time>,
    /// How many gateways share the pace if it is isolated; 0: that is not known.
    pub gateway_count: u32,
}

/// A request for turns that is not answered.
#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    number: u64,
    reads: u32,
    urgent: u32,
    sent_at: Time,
}

/// Requests that are to be refused, since no turn comes in time.
#[derive(Clone, Copy, Debug, Default)]
struct Overflow {
    count: u32,
    retry_after: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct ThrottleQueue {
    pub pace: TrialPace,
    /// The configuration names no trial any more: the queue stays until the coordinator says that the tenant is at full
    /// speed.
    pub trial_removed: bool,
    full_speed_from: Time,
    full_speed_until: Time,
    /// When the last time at full speed ended, here or, as far as can be known, elsewhere.
    full_speed_ended: Time,
    /// When the request was sent that was answered last.
    last_contact: Time,
    requests: Vec<QueuedRequest>,
    /// Regular turns, the soonest first.
    turns: VecDeque<Time>,
    /// Turns that were granted for urgent work, the soonest first.
    urgent_turns: VecDeque<Time>,
    source: TurnSource,
    outstanding: VecDeque<OutstandingRequest>,
    /// Turns to be returned with the next request.
    returned: u32,
    /// When the next turn of the fallback share is.
    next_fallback_turn: Time,
    overflow: Overflow,
    mean_wait_s: f64,
}

impl ThrottleQueue {
    /// An empty queue; `trial_removed`: the configuration names no trial.
    pub fn new(pace: TrialPace, trial_removed: bool) -> Self {
        ThrottleQueue {
            pace,
            trial_removed,
            full_speed_from: 0,
            full_speed_until: 0,
            full_speed_ended: 0,
            last_contact: 0,
            requests: Vec::new(),
            turns: VecDeque::new(),
            urgent_turns: VecDeque::new(),
            source: TurnSource::Unassigned,
            outstanding: VecDeque::new(),
            returned: 0,
            next_fallback_turn: 0,
            overflow: Overflow::default(),
            mean_wait_s: 0.0,
        }
    }

    /// Whether requests wait for a turn now.
    pub fn is_throttled(&self, now: Time) -> bool {
        now < self.full_speed_from || now >= self.full_speed_until
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests wait.
    pub fn len(&self) -> u32 {
        self.requests.len() as u32
    }

    fn throttled_since(&self, now: Time) -> Time {
        if now >= self.full_speed_until {
            self.full_speed_ended.max(self.full_speed_until)
        } else {
            self.full_speed_ended
        }
    }

    /// Whether a request may be refused for the pace: no gateway is at full speed then.
    fn may_refuse(&self, now: Time, contact: CoordinatorContact) -> bool {
        match contact.isolated_since {
            Some(since) => now >= since + ISOLATION_GRACE,
            None => now >= self.throttled_since(now) + PHASE_NOTICE && now >= self.full_speed_from,
        }
    }

    /// Adds a request. Whether there is room for it.
    pub fn enqueue(&mut self, request: QueuedRequest) -> bool {
        let has_room = self.requests.len() < MAX_QUEUED;
        if has_room {
            self.requests.push(request);
        }
        has_room
    }

    // ---- What the coordinator says ----

    /// The coordinator's phase, in answer to a request that was sent then; none: it knows of no trial. If it has taken over
    /// lately it did not announce that, and the one before may have told others that the tenant is throttled.
    pub fn on_phase(
        &mut self,
        now: Time,
        sent_at: Time,
        phase: Option<&TrialPhase>,
        coordinator_since: Time,
    ) {
        if now >= self.full_speed_until {
            self.full_speed_ended = self.full_speed_ended.max(self.full_speed_until);
        }
        // A time at full speed lasts longer than that; a gateway that heard nothing for so long may have missed one. What counts
        // is when answers are heard: those to requests of short intervals may have been held up together.
        if now > self.last_contact + ISOLATION_TIMEOUT {
            self.full_speed_ended = self.full_speed_ended.max(now);
        }
        self.last_contact = sent_at;
        let valid_until = sent_at + ISOLATION_TIMEOUT;
        match phase.map(|phase| (phase.throttled, phase.changes_in_us)) {
            // It counts from when the request was sent, so that throttling rather begins early.
            Some((false, Some(us))) => {
                self.set_full_speed(now, valid_until.min(sent_at + from_micros(us)));
            }
            None if now < coordinator_since + PHASE_NOTICE => {
                self.set_throttled(now, coordinator_since + PHASE_NOTICE, valid_until);
            }
            None | Some((false, None)) => self.set_full_speed(now, valid_until),
            // And full speed rather begins late.
            Some((true, Some(us))) => self.set_throttled(now, now + from_micros(us), valid_until),
            Some((true, None)) => self.set_throttled(now, 0, 0),
        }
    }

    /// At full speed until then; other gateways may be, if this was heard too late.
    fn set_full_speed(&mut self, now: Time, until: Time) {
        if until > now {
            self.full_speed_from = self.full_speed_from.min(now);
            self.full_speed_until = until;
        } else {
            self.full_speed_ended = self.full_speed_ended.max(until);
            self.full_speed_from = 0;
            self.full_speed_until = self.full_speed_ended;
        }
    }

    /// Throttled, and at full speed between `from` and `until`, if there is such a time.
    fn set_throttled(&mut self, now: Time, from: Time, until: Time) {
        if !self.is_throttled(now) {
            self.full_speed_ended = now;
        }
        self.full_speed_from = from;
        self.full_speed_until = if from < until { until } else { self.full_speed_ended };
    }

    /// What to ask the coordinator for, if anything is to be said.
    pub fn turn_request(&mut self, now: Time, number: u64, tenant: &str) -> Option<TurnRequest> {
        self.outstanding.retain(|request| now.saturating_sub(request.sent_at) < TURN_REQUEST_TIMEOUT);
        self.return_surplus_turns();
        let assigned = self.assign_turns();
        // Urgent work wants a turn of its own, as long as one can still help it.
        let lacks_turn = |(request, at): &(&QueuedRequest, &Option<Time>)| match request.urgent_by {
            Some(by) => at.is_none_or(|at| at > by && now < by),
            None => at.is_none(),
        };
        let lacking = self.requests.iter().zip(&assigned).filter(lacks_turn).map(|(request, _)| request);
        let (urgent, reads): (Vec<&QueuedRequest>, Vec<&QueuedRequest>) =
            lacking.partition(|request| request.urgent_by.is_some());
        let most_urgent = urgent.iter().filter_map(|request| request.urgent_by).min();
        let slack = most_urgent.unwrap_or(now).saturating_sub(now);
        let asked_reads: u32 = self.outstanding.iter().map(|request| request.reads).sum();
        let asked_urgent: u32 = self.outstanding.iter().map(|request| request.urgent).sum();
        let reads = (reads.len() as u32).saturating_sub(asked_reads);
        let urgent = (urgent.len() as u32).saturating_sub(asked_urgent);
        let returned = std::mem::take(&mut self.returned);
        if reads + urgent > 0 {
            self.outstanding.push_back(OutstandingRequest { number, reads, urgent, sent_at: now });
        }
        let has_news = reads + urgent + returned > 0 || !self.requests.is_empty();
        has_news.then(|| TurnRequest {
            tenant: tenant.into(),
            reads,
            urgent,
            slack_us: to_micros(slack),
            returned,
            waiting: self.len(),
            waited_us: (self.mean_wait_s * 1e6) as u32,
        })
    }

    fn return_surplus_turns(&mut self) {
        let urgent_requests = self.requests.iter().filter(|request| request.urgent_by.is_some()).count();
        while self.turns.len() + self.urgent_turns.len() > self.requests.len() {
            let has_surplus_urgent = self.urgent_turns.len() > urgent_requests;
            let surplus = if has_surplus_urgent { &mut self.urgent_turns } else { &mut self.turns };
            surplus.pop_back();
            self.returned += u32::from(matches!(self.source, TurnSource::Coordinator(_)));
        }
    }

    /// Whether turns have yet to be asked for.
    pub fn needs_turns(&self) -> bool {
        let asked: u32 = self.outstanding.iter().map(|request| request.reads + request.urgent).sum();
        self.requests.len() > self.turns.len() + self.urgent_turns.len() + asked as usize
    }

    /// The coordinator's turns, in answer to the request of this number.
    pub fn on_turns(&mut self, now: Time, number: u64, coordinator: u64, grant: &TurnGrant) {
        let answered = self.outstanding.iter().position(|request| request.number == number);
        let answered = answered.and_then(|n| self.outstanding.remove(n));
        self.set_source(TurnSource::Coordinator(coordinator));
        let granted = (grant.after_us.len() + grant.urgent_us.len()) as u32;
        let Some(OutstandingRequest { reads, urgent, .. }) = answered else {
            // The request is not remembered: nobody needs them.
            self.returned += granted;
            return;
        };
        let by_kind = [(&mut self.turns, &grant.after_us), (&mut self.urgent_turns, &grant.urgent_us)];
        for (held, granted) in by_kind {
            held.extend(granted.iter().map(|us| now + from_micros(*us)));
            held.make_contiguous().sort_unstable();
        }
        if let Some(us) = grant.retry_after_us {
            let count = (reads + urgent).saturating_sub(granted);
            self.overflow = Overflow { count, retry_after: from_micros(us) };
        }
    }

    /// Turns of another source than the one so far do not count.
    fn set_source(&mut self, source: TurnSource) {
        if std::mem::replace(&mut self.source, source) != source {
            self.turns.clear();
            self.urgent_turns.clear();
            self.outstanding.clear();
            self.returned = 0;
            self.overflow = Overflow::default();
        }
    }

    // ---- Turns ----

    fn assign_turns(&self) -> Vec<Option<Time>> {
        let are_fallback = self.source == TurnSource::Fallback;
        let held = HeldTurns { regular: &self.turns, urgent: &self.urgent_turns, are_fallback };
        assign_turns(&self.requests, &held)
    }

    /// What becomes of the next request, if anything does now. While the tenant is throttled.
    pub fn next_outcome(&mut self, now: Time, contact: CoordinatorContact) -> Option<(u64, QueueOutcome)> {
        self.drop_expired(now);
        self.follow_contact(now, contact);
        let assigned = self.assign_turns();
        if self.may_refuse(now, contact) {
            if let Some(refused) = self.refuse_one(now, &assigned, contact) {
                return Some(refused);
            }
        }
        for is_urgent in [true, false] {
            let held = if is_urgent { &mut self.urgent_turns } else { &mut self.turns };
            let due = held.front().copied().filter(|at| *at <= now);
            let request = due.and_then(|at| assigned.iter().position(|assigned| *assigned == Some(at)));
            if let Some(request) = request {
                held.pop_front();
                return Some((self.remove_request(now, request), QueueOutcome::Proceed));
            }
        }
        None
    }

    /// An isolated gateway goes over to its fallback share once the coordinator's turns are good no longer; one that hears
    /// the coordinator again drops the turns of its fallback share.
    fn follow_contact(&mut self, now: Time, contact: CoordinatorContact) {
        match (contact.isolated_since, self.source) {
            (Some(since), TurnSource::Coordinator(_)) if now < since + TURNS_GOOD_WHEN_ISOLATED => {}
            (Some(since), source) => {
                if source != TurnSource::Fallback {
                    self.set_source(TurnSource::Fallback);
                    self.next_fallback_turn = since.max(now);
                }
                self.mint_fallback_turns(now, contact.gateway_count);
            }
            (None, TurnSource::Fallback) => self.set_source(TurnSource::Unassigned),
            (None, _) => {}
        }
    }

    /// Refuses one request that cannot go on within its wait, if there is one.
    fn refuse_one(
        &mut self,
        now: Time,
        assigned: &[Option<Time>],
        contact: CoordinatorContact,
    ) -> Option<(u64, QueueOutcome)> {
        let is_late =
            |(request, at): (&QueuedRequest, &Option<Time>)| at.is_some_and(|at| at > request.deadline);
        if let Some(n) = self.requests.iter().zip(assigned).position(is_late) {
            let request = self.requests.remove(n);
            let retry_after = assigned[n].map_or(0, |at| at - request.deadline);
            return Some((request.id, QueueOutcome::Refused { retry_after }));
        }
        if contact.isolated_since.is_some() {
            let turns = self.turns.len() + self.urgent_turns.len();
            let too_late_by = (self.next_fallback_turn + 1).saturating_sub(now + self.pace.max_wait);
            self.overflow = Overflow {
                count: self.requests.len().saturating_sub(turns) as u32,
                retry_after: too_late_by.max(from_seconds(1.0 / self.pace.rate)),
            };
        }
        let Overflow { count, retry_after } = self.overflow;
        if count == 0 {
            return None;
        }
        self.overflow.count -= 1;
        // The youngest read without a turn, else whichever request is the youngest without one.
        let mut youngest_first = (0..assigned.len()).rev().filter(|n| assigned[*n].is_none());
        let youngest = youngest_first.clone().next();
        let youngest_read = youngest_first.find(|n| self.requests[*n].urgent_by.is_none());
        let refused = youngest_read.or(youngest)?;
        Some((self.requests.remove(refused).id, QueueOutcome::Refused { retry_after }))
    }

    /// The first request goes on, without a turn. While the tenant is at full speed.
    pub fn release_first(&mut self, now: Time) -> Option<u64> {
        self.drop_expired(now);
        (!self.requests.is_empty()).then(|| self.remove_request(now, 0))
    }

    fn remove_request(&mut self, now: Time, n: usize) -> u64 {
        let request = self.requests.remove(n);
        let waited = to_seconds(now.saturating_sub(request.enqueued_at));
        self.mean_wait_s += (waited - self.mean_wait_s) * WAIT_SMOOTHING;
        request.id
    }

    /// The request that was to go on is gone: its turn is the next one's.
    pub fn return_turn(&mut self, now: Time) {
        if self.source != TurnSource::Unassigned {
            self.turns.push_front(now);
        }
    }

    /// Drops requests whose time is up: they have been answered elsewhere.
    pub fn drop_expired(&mut self, now: Time) {
        self.requests.retain(|request| request.deadline > now);
    }

    /// Turns of the gateway's own, of the fallback share of the pace.
    fn mint_fallback_turns(&mut self, now: Time, gateway_count: u32) {
        let interval = from_seconds(f64::from(gateway_count) / self.pace.rate);
        while gateway_count > 0 && self.turns.len() + self.urgent_turns.len() < self.requests.len() {
            let at = self.next_fallback_turn.max(now);
            if at > now + self.pace.max_wait {
                return;
            }
            self.next_fallback_turn = at + interval;
            self.turns.push_back(at);
        }
    }

    /// When [`ThrottleQueue::next_outcome`] has something new to say, if nothing arrives.
    pub fn next_due(&self, now: Time, isolated_at: Time) -> Option<Time> {
        if self.requests.is_empty() {
            return None;
        }
        // A turn that nobody needs is returned with the next request.
        let next_turn = self.assign_turns().into_iter().flatten().min();
        let changes = [
            self.full_speed_from,
            self.full_speed_until,
            isolated_at,
            isolated_at + TURNS_GOOD_WHEN_ISOLATED,
            isolated_at + ISOLATION_GRACE,
            self.throttled_since(now) + PHASE_NOTICE,
        ];
        let next_change = changes.into_iter().filter(|at| *at > now).min();
        next_turn.into_iter().chain(next_change).min()
    }
}
