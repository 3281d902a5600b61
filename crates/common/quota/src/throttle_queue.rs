//! Queue of a throttled tenant's requests on one gateway. Requests wait in order of arrival for turns granted by the
//! coordinator. Work that would miss its target latency in that order goes ahead of reads. See `docs/design/trials.md`
//! for the guarantees and why they hold.

use crate::lease::{TrialPhase, TurnGrant, TurnRequest};
use crate::limit::TrialPace;
use crate::time::{from_micros, from_seconds, to_micros, to_seconds, Time, MS};
use crate::turn_assignment::{assign_turns, HeldTurns};
use crate::{GRANT_LIFETIME, ISOLATION_TIMEOUT, PHASE_NOTICE};
use std::collections::VecDeque;

/// Maximum number of requests queued on one gateway.
const MAX_QUEUED_REQUESTS: usize = 1024;
/// Time after which an unanswered request for turns counts as lost.
const TURN_REQUEST_TIMEOUT: Time = 150 * MS;
/// Time for which an isolated gateway refuses no queued request, because the coordinator may be changing.
const ISOLATION_REFUSAL_GRACE: Time = 2000 * MS;
/// Time for which an isolated gateway may use the coordinator's turns. They last as long as a granted unit, so that the
/// coordinator does not count on this gateway too soon.
const ISOLATED_TURN_LIFETIME: Time = GRANT_LIFETIME - ISOLATION_TIMEOUT;
/// Weight of a new sample in the mean wait.
const WAIT_SMOOTHING: f64 = 0.2;

/// A request waiting for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Id assigned by the gateway.
    pub id: u64,
    /// When the request was queued.
    pub enqueued_at: Time,
    /// When the request stops waiting.
    pub deadline: Time,
    /// When urgent work must proceed in order to meet its target latency; `None` for a read.
    pub urgent_by: Option<Time>,
}

/// Outcome of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// The request may proceed.
    Proceed,
    /// The request's turn would come too late.
    Refused {
        /// Delay after which the client should retry.
        retry_after: Time,
    },
}

/// Source of the turns held by the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnSource {
    Unassigned,
    /// Granted by the coordinator with this id.
    Coordinator(u64),
    /// Taken from the gateway's own fallback share.
    Fallback,
}

/// State of this gateway's contact with the coordinator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoordinatorContact {
    /// When the gateway became isolated; `None` if it is not.
    pub isolated_since: Option<Time>,
    /// Number of gateways that share the pace while this one is isolated; 0 if that is unknown.
    pub gateway_count: u32,
}

/// A request for turns that has not been answered.
#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    number: u64,
    reads: u32,
    urgent: u32,
    sent_at: Time,
}

/// Queued requests to refuse because no turn comes in time.
#[derive(Clone, Copy, Debug, Default)]
struct Overflow {
    count: u32,
    retry_after: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct ThrottleQueue {
    pub pace: TrialPace,
    /// Whether the configuration no longer contains the trial. The queue remains until the coordinator announces that
    /// the tenant is unthrottled.
    pub trial_removed: bool,
    unthrottled_from: Time,
    unthrottled_until: Time,
    /// End of the last unthrottled period, on this gateway or, as far as is known here, on another.
    last_unthrottled_end: Time,
    /// When the latest answered request was sent.
    last_contact: Time,
    requests: Vec<QueuedRequest>,
    /// Regular turns, in ascending order.
    turns: VecDeque<Time>,
    /// Turns granted for urgent work, in ascending order.
    urgent_turns: VecDeque<Time>,
    source: TurnSource,
    outstanding: VecDeque<OutstandingRequest>,
    /// Number of turns to return with the next request.
    returned: u32,
    /// Time of the next turn of the fallback share.
    next_fallback_turn: Time,
    overflow: Overflow,
    mean_wait_s: f64,
}

impl ThrottleQueue {
    /// Creates an empty queue. `trial_removed` is set if the configuration does not contain the trial.
    pub fn new(pace: TrialPace, trial_removed: bool) -> Self {
        ThrottleQueue {
            pace,
            trial_removed,
            unthrottled_from: 0,
            unthrottled_until: 0,
            last_unthrottled_end: 0,
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

    /// Whether requests must wait for a turn now.
    pub fn is_throttled(&self, now: Time) -> bool {
        now < self.unthrottled_from || now >= self.unthrottled_until
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> u32 {
        self.requests.len() as u32
    }

    fn throttled_since(&self, now: Time) -> Time {
        if now >= self.unthrottled_until {
            self.last_unthrottled_end.max(self.unthrottled_until)
        } else {
            self.last_unthrottled_end
        }
    }

    /// Whether a request may be refused for the pace: only while no gateway is unthrottled.
    fn may_refuse(&self, now: Time, contact: CoordinatorContact) -> bool {
        match contact.isolated_since {
            Some(since) => now >= since + ISOLATION_REFUSAL_GRACE,
            None => now >= self.throttled_since(now) + PHASE_NOTICE && now >= self.unthrottled_from,
        }
    }

    /// Adds a request. Returns `false` if the queue is full.
    pub fn enqueue(&mut self, request: QueuedRequest) -> bool {
        let has_room = self.requests.len() < MAX_QUEUED_REQUESTS;
        if has_room {
            self.requests.push(request);
        }
        has_room
    }

    // ---- Messages to and from the coordinator ----

    /// Applies the phase in the answer to the request sent at `sent_at`; `None` if the coordinator knows of no trial. A
    /// coordinator that took over recently has not announced an end of throttling, and its predecessor may have
    /// announced to other gateways that the tenant is throttled.
    pub fn on_phase(
        &mut self,
        now: Time,
        sent_at: Time,
        phase: Option<&TrialPhase>,
        coordinator_since: Time,
    ) {
        if now >= self.unthrottled_until {
            self.last_unthrottled_end = self.last_unthrottled_end.max(self.unthrottled_until);
        }
        // Unthrottled periods last longer than `ISOLATION_TIMEOUT`, so a gateway without an answer for longer than that
        // may have missed one. The check uses the arrival time of answers, because answers to requests sent at short
        // intervals may have been delayed together.
        if now > self.last_contact + ISOLATION_TIMEOUT {
            self.last_unthrottled_end = self.last_unthrottled_end.max(now);
        }
        self.last_contact = sent_at;
        let valid_until = sent_at + ISOLATION_TIMEOUT;
        match phase.map(|phase| (phase.throttled, phase.changes_in_us)) {
            // Counted from when the request was sent, so that throttling starts early rather than late.
            Some((false, Some(us))) => {
                self.set_unthrottled(now, valid_until.min(sent_at + from_micros(us)));
            }
            None if now < coordinator_since + PHASE_NOTICE => {
                self.set_throttled(now, coordinator_since + PHASE_NOTICE, valid_until);
            }
            None | Some((false, None)) => self.set_unthrottled(now, valid_until),
            // Counted from when the answer arrived, so that the unthrottled phase starts late rather than early.
            Some((true, Some(us))) => self.set_throttled(now, now + from_micros(us), valid_until),
            Some((true, None)) => self.set_throttled(now, 0, 0),
        }
    }

    /// Marks the tenant as unthrottled until `until`. If that has already passed, the answer was late and other
    /// gateways may have been unthrottled until then.
    fn set_unthrottled(&mut self, now: Time, until: Time) {
        if until > now {
            self.unthrottled_from = self.unthrottled_from.min(now);
            self.unthrottled_until = until;
        } else {
            self.last_unthrottled_end = self.last_unthrottled_end.max(until);
            self.unthrottled_from = 0;
            self.unthrottled_until = self.last_unthrottled_end;
        }
    }

    /// Marks the tenant as throttled except between `from` and `until`, if that span is not empty.
    fn set_throttled(&mut self, now: Time, from: Time, until: Time) {
        if !self.is_throttled(now) {
            self.last_unthrottled_end = now;
        }
        self.unthrottled_from = from;
        self.unthrottled_until = if from < until { until } else { self.last_unthrottled_end };
    }

    /// Returns the request to send to the coordinator, or `None` if there is nothing to request, return or report.
    pub fn turn_request(&mut self, now: Time, number: u64, tenant: &str) -> Option<TurnRequest> {
        self.outstanding.retain(|request| now.saturating_sub(request.sent_at) < TURN_REQUEST_TIMEOUT);
        self.return_surplus_turns();
        let assigned = self.assign_turns();
        // Urgent work whose turn is too late needs another one while it can still meet its target latency.
        let lacks_turn = |(request, at): &(&QueuedRequest, &Option<Time>)| match request.urgent_by {
            Some(by) => at.is_none_or(|at| at > by && now < by),
            None => at.is_none(),
        };
        let requests_without_turn =
            self.requests.iter().zip(&assigned).filter(lacks_turn).map(|(request, _)| request);
        let (urgent, reads): (Vec<&QueuedRequest>, Vec<&QueuedRequest>) =
            requests_without_turn.partition(|request| request.urgent_by.is_some());
        let earliest_urgent_by = urgent.iter().filter_map(|request| request.urgent_by).min();
        let slack = earliest_urgent_by.unwrap_or(now).saturating_sub(now);
        let requested_reads: u32 = self.outstanding.iter().map(|request| request.reads).sum();
        let requested_urgent: u32 = self.outstanding.iter().map(|request| request.urgent).sum();
        let reads = (reads.len() as u32).saturating_sub(requested_reads);
        let urgent = (urgent.len() as u32).saturating_sub(requested_urgent);
        let returned = std::mem::take(&mut self.returned);
        if reads + urgent > 0 {
            self.outstanding.push_back(OutstandingRequest { number, reads, urgent, sent_at: now });
        }
        let has_changes = reads + urgent + returned > 0 || !self.requests.is_empty();
        has_changes.then(|| TurnRequest {
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

    /// Whether there are queued requests for which no turn has been requested yet.
    pub fn needs_turns(&self) -> bool {
        let requested: u32 = self.outstanding.iter().map(|request| request.reads + request.urgent).sum();
        self.requests.len() > self.turns.len() + self.urgent_turns.len() + requested as usize
    }

    /// Takes the coordinator's turns in the answer to the request with this number.
    pub fn on_turns(&mut self, now: Time, number: u64, coordinator: u64, grant: &TurnGrant) {
        let answered = self.outstanding.iter().position(|request| request.number == number);
        let answered = answered.and_then(|n| self.outstanding.remove(n));
        self.set_source(TurnSource::Coordinator(coordinator));
        let granted = (grant.after_us.len() + grant.urgent_us.len()) as u32;
        let Some(OutstandingRequest { reads, urgent, .. }) = answered else {
            // The request is no longer tracked, so its turns are not needed.
            self.returned += granted;
            return;
        };
        let turns_by_kind = [(&mut self.turns, &grant.after_us), (&mut self.urgent_turns, &grant.urgent_us)];
        for (turns, granted) in turns_by_kind {
            turns.extend(granted.iter().map(|us| now + from_micros(*us)));
            turns.make_contiguous().sort_unstable();
        }
        if let Some(us) = grant.retry_after_us {
            let count = (reads + urgent).saturating_sub(granted);
            self.overflow = Overflow { count, retry_after: from_micros(us) };
        }
    }

    /// Sets the source of turns. Turns from a different source are discarded.
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

    /// Returns the id and outcome of the next request whose outcome is known at `now`. To be called while the tenant is
    /// throttled.
    pub fn next_outcome(&mut self, now: Time, contact: CoordinatorContact) -> Option<(u64, QueueOutcome)> {
        self.drop_expired(now);
        self.update_turn_source(now, contact);
        let assigned = self.assign_turns();
        if self.may_refuse(now, contact) {
            if let Some(refused) = self.refuse_one(now, &assigned, contact) {
                return Some(refused);
            }
        }
        for is_urgent in [true, false] {
            let turns = if is_urgent { &mut self.urgent_turns } else { &mut self.turns };
            let due = turns.front().copied().filter(|at| *at <= now);
            let request = due.and_then(|at| assigned.iter().position(|assigned| *assigned == Some(at)));
            if let Some(request) = request {
                turns.pop_front();
                return Some((self.remove_request(now, request), QueueOutcome::Proceed));
            }
        }
        None
    }

    /// Switches an isolated gateway to its fallback share once the coordinator's turns have expired, and discards turns
    /// of the fallback share once the gateway has contact again.
    fn update_turn_source(&mut self, now: Time, contact: CoordinatorContact) {
        match (contact.isolated_since, self.source) {
            (Some(since), TurnSource::Coordinator(_)) if now < since + ISOLATED_TURN_LIFETIME => {}
            (Some(since), source) => {
                if source != TurnSource::Fallback {
                    self.set_source(TurnSource::Fallback);
                    self.next_fallback_turn = since.max(now);
                }
                self.add_fallback_turns(now, contact.gateway_count);
            }
            (None, TurnSource::Fallback) => self.set_source(TurnSource::Unassigned),
            (None, _) => {}
        }
    }

    /// Refuses one request that cannot proceed within its maximum wait, if there is one.
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
            let excess_wait = (self.next_fallback_turn + 1).saturating_sub(now + self.pace.max_wait);
            self.overflow = Overflow {
                count: self.requests.len().saturating_sub(turns) as u32,
                retry_after: excess_wait.max(from_seconds(1.0 / self.pace.rate)),
            };
        }
        let Overflow { count, retry_after } = self.overflow;
        if count == 0 {
            return None;
        }
        self.overflow.count -= 1;
        // Prefer the newest read without a turn over the newest request of any kind without a turn.
        let mut newest_first = (0..assigned.len()).rev().filter(|n| assigned[*n].is_none());
        let newest = newest_first.clone().next();
        let newest_read = newest_first.find(|n| self.requests[*n].urgent_by.is_none());
        let refused = newest_read.or(newest)?;
        Some((self.requests.remove(refused).id, QueueOutcome::Refused { retry_after }))
    }

    /// Releases the first request without a turn. To be called while the tenant is unthrottled.
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

    /// Gives the turn of a request that was cancelled after [`QueueOutcome::Proceed`] to the next request.
    pub fn return_turn(&mut self, now: Time) {
        if self.source != TurnSource::Unassigned {
            self.turns.push_front(now);
        }
    }

    /// Drops requests whose deadline has passed; they have been answered elsewhere.
    pub fn drop_expired(&mut self, now: Time) {
        self.requests.retain(|request| request.deadline > now);
    }

    /// Adds turns from the gateway's fallback share of the pace, one for each request without a turn.
    fn add_fallback_turns(&mut self, now: Time, gateway_count: u32) {
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

    /// Returns when [`ThrottleQueue::next_outcome`] should next be called if nothing arrives before.
    pub fn next_due(&self, now: Time, isolated_at: Time) -> Option<Time> {
        if self.requests.is_empty() {
            return None;
        }
        // Surplus turns are not considered here; they are returned with the next request.
        let next_turn = self.assign_turns().into_iter().flatten().min();
        let changes = [
            self.unthrottled_from,
            self.unthrottled_until,
            isolated_at,
            isolated_at + ISOLATED_TURN_LIFETIME,
            isolated_at + ISOLATION_REFUSAL_GRACE,
            self.throttled_since(now) + PHASE_NOTICE,
        ];
        let next_change = changes.into_iter().filter(|at| *at > now).min();
        next_turn.into_iter().chain(next_change).min()
    }
}
