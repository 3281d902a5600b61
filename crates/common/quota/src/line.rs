//! A slowed tenant's requests at one gateway: they wait in the order in which they came, for turns that the keeper gives. Work
//! that would lose its aim by that order goes ahead of reads. `docs/design/trials.md` says what is promised and why it holds.

use crate::{
    from_micros, from_seconds, to_micros, Time, TrialPace, TrialPhase, TurnGrant, TurnRequest,
    GRANT_LIFETIME, ISOLATION_TIMEOUT, MS, PHASE_NOTICE,
};
use std::collections::VecDeque;

/// More do not wait at one gateway.
const MAX_QUEUED: usize = 1024;
/// An ask for turns that was not answered for so long was lost.
const TURN_REQUEST_TIMEOUT: Time = 150 * MS;
/// Who is alone refuses nobody for so long: the keeper may be changing.
const ISOLATION_GRACE: Time = 2000 * MS;
/// Weight of one more wait in what those waited that went lately.
const WAIT_SMOOTHING: f64 = 0.2;

/// A request that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    pub id: u64,
    pub enqueued_at: Time,
    /// It does not wait for longer.
    pub deadline: Time,
    /// Work that loses its aim if it does not go by then; none: a read.
    pub urgent_by: Option<Time>,
}

/// What becomes of one who waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    Proceed,
    /// Its turn would come too late: come back after so long.
    Refused {
        retry_after: Time,
    },
}

/// Whose turns these are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnSource {
    Unassigned,
    Coordinator(u64),
    /// The gateway's own, of its even part.
    Fallback,
}

/// How this gateway stands to the keeper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoordinatorContact {
    /// It has heard nothing for too long, since then.
    pub isolated_since: Option<Time>,
    /// How many share the pace if it is alone; 0: that is not known.
    pub gateway_count: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct ThrottleQueue {
    pub pace: TrialPace,
    /// The configuration names no trial any more: the line stays until the keeper says that it goes at full speed.
    pub trial_removed: bool,
    /// Full speed from then, until then.
    full_speed_from: Time,
    full_speed_until: Time,
    /// When the last such time ended, here or, as far as can be known, elsewhere.
    full_speed_ended: Time,
    /// When the ask was sent that was answered last.
    last_contact: Time,
    requests: Vec<QueuedRequest>,
    /// The soonest first; and those that were given for work that was pressing.
    turns: VecDeque<Time>,
    urgent_turns: VecDeque<Time>,
    source: TurnSource,
    /// Asks that are not answered: number, reads, pressing, when.
    outstanding: VecDeque<(u64, u32, u32, Time)>,
    returned: u32,
    /// Alone: when the next turn is.
    next_fallback_turn: Time,
    /// So many are to be told to come back after so long.
    overflow: (u32, Time),
    mean_wait_s: f64,
}

impl ThrottleQueue {
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
            overflow: (0, 0),
            mean_wait_s: 0.0,
        }
    }

    /// Whether requests wait for a turn now.
    pub fn is_throttled(&self, now: Time) -> bool {
        now < self.full_speed_from || now >= self.full_speed_until
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

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

    /// Whether somebody may be refused for the pace: nobody, anywhere, goes at full speed then.
    fn may_refuse(&self, now: Time, standing: CoordinatorContact) -> bool {
        match standing.isolated_since {
            Some(since) => now >= since + ISOLATION_GRACE,
            None => now >= self.throttled_since(now) + PHASE_NOTICE && now >= self.full_speed_from,
        }
    }

    /// One more waits. It can't, if too many do: whether it may.
    pub fn enqueue(&mut self, waiter: QueuedRequest) -> bool {
        let room = self.requests.len() < MAX_QUEUED;
        if room {
            self.requests.push(waiter);
        }
        room
    }

    // ---- The keeper ----

    /// The keeper's word, in answer to an ask that was sent then; none: it knows of no trial. If it has begun to keep of late,
    /// it did not announce that, and the one before may have told others that it is slow.
    pub fn on_phase(&mut self, now: Time, sent: Time, phase: Option<&TrialPhase>, keeper_since: Time) {
        if now >= self.full_speed_until {
            self.full_speed_ended = self.full_speed_ended.max(self.full_speed_until);
        }
        // What is announced takes longer than that; who heard nothing for so long may have missed a time at full speed.
        if sent > self.last_contact + ISOLATION_TIMEOUT {
            self.full_speed_ended = self.full_speed_ended.max(sent);
        }
        self.last_contact = sent;
        let valid = sent + ISOLATION_TIMEOUT;
        match phase.map(|p| (p.throttled, p.changes_in_us)) {
            // It counts from when it was sent, so that it is slow rather early.
            Some((false, Some(us))) => self.set_full_speed(now, valid.min(sent + from_micros(us))),
            None if now < keeper_since + PHASE_NOTICE => {
                self.set_throttled(now, keeper_since + PHASE_NOTICE, valid)
            }
            None | Some((false, None)) => self.set_full_speed(now, valid),
            // And fast rather late.
            Some((true, Some(us))) => self.set_throttled(now, now + from_micros(us), valid),
            Some((true, None)) => self.set_throttled(now, 0, 0),
        }
    }

    /// At full speed until then, and others may be, if this word came too late.
    fn set_full_speed(&mut self, now: Time, until: Time) {
        if until > now {
            (self.full_speed_from, self.full_speed_until) = (self.full_speed_from.min(now), until);
        } else {
            self.full_speed_ended = self.full_speed_ended.max(until);
            (self.full_speed_from, self.full_speed_until) = (0, self.full_speed_ended);
        }
    }

    /// Slow, and at full speed from then until then.
    fn set_throttled(&mut self, now: Time, from: Time, until: Time) {
        if !self.is_throttled(now) {
            self.full_speed_ended = now;
        }
        (self.full_speed_from, self.full_speed_until) =
            (from, if from < until { until } else { self.full_speed_ended });
    }

    /// What to ask for, if anything is to be said.
    pub fn turn_request(&mut self, now: Time, number: u64, tenant: &str) -> Option<TurnRequest> {
        self.outstanding.retain(|(_, _, _, at)| now.saturating_sub(*at) < TURN_REQUEST_TIMEOUT);
        let pressed = self.requests.iter().filter(|w| w.urgent_by.is_some()).count();
        while self.turns.len() + self.urgent_turns.len() > self.requests.len() {
            let surplus =
                if self.urgent_turns.len() > pressed { &mut self.urgent_turns } else { &mut self.turns };
            surplus.pop_back();
            self.returned += u32::from(matches!(self.source, TurnSource::Coordinator(_)));
        }
        let plan = self.assign_turns();
        // Who is pressed for time asks for a turn of its own, as long as one can still help it.
        let lacks = |(w, at): &(&QueuedRequest, &Option<Time>)| match w.urgent_by {
            Some(by) => at.is_none_or(|at| at > by && now < by),
            None => at.is_none(),
        };
        let lack = self.requests.iter().zip(&plan).filter(lacks).map(|(w, _)| w);
        let (pressing, reads): (Vec<&QueuedRequest>, Vec<&QueuedRequest>) =
            lack.partition(|w| w.urgent_by.is_some());
        let slack = pressing.iter().filter_map(|w| w.urgent_by).min().unwrap_or(now).saturating_sub(now);
        let pending = self.outstanding.iter().fold((0, 0), |sum, a| (sum.0 + a.1, sum.1 + a.2));
        let reads = (reads.len() as u32).saturating_sub(pending.0);
        let pressing = (pressing.len() as u32).saturating_sub(pending.1);
        let back = std::mem::take(&mut self.returned);
        if reads + pressing > 0 {
            self.outstanding.push_back((number, reads, pressing, now));
        }
        let say = reads + pressing + back > 0 || !self.requests.is_empty();
        say.then(|| TurnRequest {
            tenant: tenant.into(),
            reads,
            urgent: pressing,
            slack_us: to_micros(slack),
            returned: back,
            waiting: self.len(),
            waited_us: (self.mean_wait_s * 1e6) as u32,
        })
    }

    /// Whether some who wait have yet to be asked for.
    pub fn needs_turns(&self) -> bool {
        let asked: u32 = self.outstanding.iter().map(|a| a.1 + a.2).sum();
        self.requests.len() > self.turns.len() + self.urgent_turns.len() + asked as usize
    }

    /// The keeper's turns, in answer to the ask of this number.
    pub fn on_turns(&mut self, now: Time, number: u64, keeper: u64, turns: &TurnGrant) {
        let asked =
            self.outstanding.iter().position(|a| a.0 == number).and_then(|n| self.outstanding.remove(n));
        self.set_source(TurnSource::Coordinator(keeper));
        let Some((_, reads, pressing, _)) = asked else {
            // Nobody remembers: they are nobody's.
            self.returned += (turns.after_us.len() + turns.urgent_us.len()) as u32;
            return;
        };
        for (held, given) in [(&mut self.turns, &turns.after_us), (&mut self.urgent_turns, &turns.urgent_us)]
        {
            held.extend(given.iter().map(|us| now + from_micros(*us)));
            held.make_contiguous().sort_unstable();
        }
        if let Some(us) = turns.retry_after_us {
            let given = turns.after_us.len() + turns.urgent_us.len();
            self.overflow = ((reads + pressing).saturating_sub(given as u32), from_micros(us));
        }
    }

    fn set_source(&mut self, owner: TurnSource) {
        if std::mem::replace(&mut self.source, owner) != owner {
            self.turns.clear();
            self.urgent_turns.clear();
            self.outstanding.clear();
            self.returned = 0;
            self.overflow = (0, 0);
        }
    }

    // ---- Turns ----

    /// Each one's turn, by the order in which they came: reads have theirs, work that is pressed for time its own. What one kind
    /// leaves over is the other's; work that would lose its aim so goes ahead of reads where that helps it.
    fn assign_turns(&self) -> Vec<Option<Time>> {
        let mut plan = vec![None; self.requests.len()];
        let is_pressed = |w: &usize| self.requests[*w].urgent_by.is_some();
        let (pressed, mut left): (Vec<usize>, Vec<usize>) = (0..self.requests.len()).partition(is_pressed);
        for (w, at) in pressed.iter().zip(&self.urgent_turns) {
            plan[*w] = Some(*at);
        }
        let lack = pressed.iter().skip(self.urgent_turns.len());
        let over = self.urgent_turns.iter().skip(pressed.len());
        if self.source == TurnSource::Fallback || left.len() < self.turns.len() {
            left.extend(lack);
            left.sort_unstable();
        }
        let mut turns: Vec<Time> = self.turns.iter().chain(over).copied().collect();
        turns.sort_unstable();
        // Mostly nobody goes ahead of anybody: a thousand who wait are looked at once.
        if !left.iter().any(is_pressed) {
            left.iter().zip(turns).for_each(|(w, at)| plan[*w] = Some(at));
            return plan;
        }
        for (n, at) in turns.iter().enumerate() {
            let late = |(place, w): (usize, &usize)| {
                let own = turns.get(n + place);
                self.requests[*w].urgent_by.is_some_and(|by| *at <= by && own.is_none_or(|own| *own > by))
            };
            let next = left.iter().enumerate().position(late).unwrap_or(0);
            if next < left.len() {
                plan[left.remove(next)] = Some(*at);
            }
        }
        plan
    }

    /// Whose word it is now, if anybody's. While the tenant is slow.
    pub fn next_outcome(&mut self, now: Time, standing: CoordinatorContact) -> Option<(u64, QueueOutcome)> {
        self.drop_expired(now);
        match (standing.isolated_since, self.source) {
            // What was given is good for as long as a unit is: the keeper does not count on more from this gateway so soon.
            (Some(since), TurnSource::Coordinator(_)) if now < since + GRANT_LIFETIME - ISOLATION_TIMEOUT => {
            }
            (Some(since), owner) => {
                if owner != TurnSource::Fallback {
                    self.set_source(TurnSource::Fallback);
                    self.next_fallback_turn = since.max(now);
                }
                self.mint_fallback_turns(now, standing.gateway_count);
            }
            (None, TurnSource::Fallback) => self.set_source(TurnSource::Unassigned),
            (None, _) => {}
        }
        let plan = self.assign_turns();
        if self.may_refuse(now, standing) {
            if let Some(refused) = self.refuse_one(now, &plan, standing) {
                return Some(refused);
            }
        }
        let due = |turns: &VecDeque<Time>| turns.front().copied().filter(|at| *at <= now);
        for pressing in [true, false] {
            let held = if pressing { &mut self.urgent_turns } else { &mut self.turns };
            let place = due(held).and_then(|at| plan.iter().position(|p| *p == Some(at)));
            if let Some(place) = place {
                held.pop_front();
                return Some((self.remove_request(now, place), QueueOutcome::Proceed));
            }
        }
        None
    }

    /// One at a time who cannot be served within its wait.
    fn refuse_one(
        &mut self,
        now: Time,
        plan: &[Option<Time>],
        standing: CoordinatorContact,
    ) -> Option<(u64, QueueOutcome)> {
        let late = |(w, at): (&QueuedRequest, &Option<Time>)| at.is_some_and(|at| at > w.deadline);
        if let Some(place) = self.requests.iter().zip(plan).position(late) {
            let waiter = self.requests.remove(place);
            let advice = plan[place].map_or(0, |at| at - waiter.deadline);
            return Some((waiter.id, QueueOutcome::Refused { retry_after: advice }));
        }
        if standing.isolated_since.is_some() {
            let turns = self.turns.len() + self.urgent_turns.len();
            let lack = self.requests.len().saturating_sub(turns) as u32;
            let advice = (self.next_fallback_turn + 1).saturating_sub(now + self.pace.max_wait);
            self.overflow = (lack, advice.max(from_seconds(1.0 / self.pace.rate)));
        }
        let (count, advice) = self.overflow;
        if count == 0 {
            return None;
        }
        self.overflow.0 -= 1;
        // The youngest read without a turn, else whoever is the youngest without one.
        let lacks = |n: &usize| plan[*n].is_none();
        let reads = (0..plan.len()).rev().find(|n| lacks(n) && self.requests[*n].urgent_by.is_none());
        let place = reads.or_else(|| (0..plan.len()).rev().find(lacks))?;
        Some((self.requests.remove(place).id, QueueOutcome::Refused { retry_after: advice }))
    }

    /// The first who waits goes, without a turn. While the tenant is not slow.
    pub fn release_first(&mut self, now: Time) -> Option<u64> {
        self.drop_expired(now);
        (!self.requests.is_empty()).then(|| self.remove_request(now, 0))
    }

    fn remove_request(&mut self, now: Time, place: usize) -> u64 {
        let waiter = self.requests.remove(place);
        let waited = now.saturating_sub(waiter.enqueued_at) as f64 / 1e9;
        self.mean_wait_s += (waited - self.mean_wait_s) * WAIT_SMOOTHING;
        waiter.id
    }

    /// The one that was to go is not there any more: its turn is the next one's.
    pub fn return_turn(&mut self, now: Time) {
        if self.source != TurnSource::Unassigned {
            self.turns.push_front(now);
        }
    }

    /// Whose time is up has been answered elsewhere.
    pub fn drop_expired(&mut self, now: Time) {
        self.requests.retain(|w| w.deadline > now);
    }

    /// Turns of one's own, of the even part of the pace.
    fn mint_fallback_turns(&mut self, now: Time, gateways: u32) {
        let apart = from_seconds(f64::from(gateways) / self.pace.rate);
        while gateways > 0 && self.turns.len() + self.urgent_turns.len() < self.requests.len() {
            let at = self.next_fallback_turn.max(now);
            if at > now + self.pace.max_wait {
                return;
            }
            self.next_fallback_turn = at + apart;
            self.turns.push_back(at);
        }
    }

    /// When [`Line::poll`] has something new to say, if nothing is heard.
    pub fn next_due(&self, now: Time, alone_at: Time) -> Option<Time> {
        if self.requests.is_empty() {
            return None;
        }
        // A turn that is nobody's goes back with the next ask.
        let turn = self.assign_turns().into_iter().flatten().min();
        let void = alone_at + GRANT_LIFETIME - ISOLATION_TIMEOUT;
        let change = [
            self.full_speed_from,
            self.full_speed_until,
            alone_at,
            void,
            alone_at + ISOLATION_GRACE,
            self.throttled_since(now) + PHASE_NOTICE,
        ];
        let change = change.into_iter().filter(|at| *at > now);
        turn.into_iter().chain(change).min()
    }
}
