//! A gateway's part: the chance, the units that it was lent, its even part when it hears nothing.

use crate::line::{CoordinatorContact, QueueOutcome, QueuedRequest, ThrottleQueue};
use crate::{from_micros, to_seconds, LeaseGrant, LeaseRequest, Limit, Time, TrialPace, UnitRequest};
use crate::{
    CONTINUATION_PERIOD, CONTINUATION_RATIO, GRANT_LIFETIME, ISOLATION_TIMEOUT, MS, REQUEST_INTERVAL,
};
use std::collections::{BTreeMap, VecDeque};

/// A request waits so long for a unit at the most: a little longer than it takes to know that one is alone.
const MAX_UNIT_WAIT: Time = 320 * MS;
/// Alone, a request that waits looks again so often.
const ISOLATED_RETRY_INTERVAL: Time = 40 * MS;
/// How long the pace of what was lent is remembered, in seconds.
const GRANT_RATE_WINDOW_S: f64 = 2.0;
/// Asked for again after so long without an answer, while somebody waits.
const URGENT_REQUEST_INTERVAL: Time = 40 * MS;
/// Units are asked for ahead for so long, in seconds.
const PREFETCH_S: f64 = 0.2;
/// How long the own demand is remembered, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;
/// The highest chance: somebody must come past it, or nothing is known of what is asked.
const MAX_REFUSAL_PROBABILITY: f64 = 0.98;
/// The store counts as empty with less than this part of the burst in it.
const EMPTY_BUCKET_RATIO: f64 = 0.02;
/// Asks whose sending time is remembered.
const MAX_TRACKED_REQUESTS: usize = 64;

/// The word on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A unit is taken for it.
    Granted,
    /// One is asked for: look again when there is news, or at `until` at the latest.
    Wait { until: Time },
    /// Come back after so long.
    Refused { retry_after: Time },
    /// The tenant is slowed: it goes on by [`Desk::enter`], if it can wait for so long at the most.
    Throttled { max_wait: Time },
}

#[derive(Clone, Debug)]
struct TenantQuota {
    limit: Limit,
    /// Units lent, by when they end.
    grants: VecDeque<(Time, u32)>,
    /// The even part's store.
    fallback_units: f64,
    fallback_updated: Time,
    refusal_probability: f64,
    /// Requests a second that come past the chance here.
    demand: f64,
    demand_updated: Time,
    /// Lent units a second that passed here.
    grant_rate: f64,
    grant_rate_updated: Time,
    waiting: u32,
    arrivals: u32,
    returned: u32,
    /// Of a tenant with a trial.
    throttle: Option<ThrottleQueue>,
}

/// A gateway's desk.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    tenants: BTreeMap<String, TenantQuota>,
    /// Over how many gateways the even parts go; 0 while this one is none of them.
    gateway_count: u32,
    /// When the latest ask was sent that was answered.
    last_contact: Option<Time>,
    /// Who answered it, and when that one first did.
    coordinator: (u64, Time),
    last_request: u64,
    sent: VecDeque<(u64, Time)>,
    next_request_at: Time,
    urgent: bool,
}

impl QuotaClient {
    pub fn new(now: Time) -> Self {
        QuotaClient {
            tenants: BTreeMap::new(),
            gateway_count: 0,
            last_contact: None,
            coordinator: (0, 0),
            last_request: 0,
            sent: VecDeque::new(),
            next_request_at: now,
            urgent: false,
        }
    }

    /// The limits are these from now on.
    pub fn set_limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>) {
        self.tenants.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let fresh = TenantQuota {
                limit: *limit,
                grants: VecDeque::new(),
                fallback_units: 0.0,
                fallback_updated: now,
                refusal_probability: 0.0,
                demand: 0.0,
                demand_updated: now,
                grant_rate: 0.0,
                grant_rate_updated: now,
                waiting: 0,
                arrivals: 0,
                returned: 0,
                throttle: None,
            };
            let t = self.tenants.entry(name.clone()).or_insert(fresh);
            t.limit = *limit;
            match (&mut t.throttle, limit.after_trial) {
                (Some(line), Some(slow)) => (line.pace, line.trial_removed) = (slow, false),
                (Some(line), None) => line.trial_removed = true,
                (line, Some(slow)) => *line = Some(ThrottleQueue::new(slow, false)),
                (None, None) => {}
            }
        }
    }

    /// How many gateways are agreed on, if this one is among them; else 0.
    pub fn set_gateway_count(&mut self, gateways: u32) {
        self.gateway_count = gateways;
    }

    /// Whether it has its even part alone.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.last_contact.is_none_or(|at| now.saturating_sub(at) >= ISOLATION_TIMEOUT)
    }

    /// May this request pass? `draw`: 0 to 1, by chance; `since`: when it was first asked, if it waited.
    pub fn acquire(&mut self, now: Time, name: &str, draw: f64, since: Option<Time>) -> Decision {
        let alone = self.is_isolated(now);
        let gateways = self.gateway_count;
        let Some(t) = self.tenants.get_mut(name) else { return Decision::Granted };
        if since.is_some() {
            t.waiting = t.waiting.saturating_sub(1);
        }
        if let Some(line) = t.throttle.as_ref().filter(|line| line.is_throttled(now)) {
            return Decision::Throttled { max_wait: line.pace.max_wait };
        }
        if t.limit.rate <= 0.0 {
            return Decision::Granted;
        }
        if since.is_none() {
            if draw < t.refusal_probability && !alone {
                // What comes past it tells what is asked; this one does not.
                return Decision::Refused { retry_after: advice(&t.limit, t.refusal_probability) };
            }
            t.record_arrival(now);
        }
        let alone_from = self.last_contact.map_or(0, |at| at + ISOLATION_TIMEOUT);
        if t.take_granted_unit(now) || alone && t.take_fallback_unit(now, alone_from, gateways) {
            return Decision::Granted;
        }
        let last = since.unwrap_or(now) + MAX_UNIT_WAIT;
        if now >= last {
            return refused(&t.limit);
        }
        t.waiting += 1;
        self.urgent = !alone;
        let look = if alone { now + ISOLATED_RETRY_INTERVAL } else { alone_from.max(now + MS) };
        Decision::Wait { until: look.min(last) }
    }

    /// A request that waited is not there any more.
    pub fn cancel_wait(&mut self, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            t.waiting = t.waiting.saturating_sub(1);
        }
    }

    /// A request waits for its turn from now on; [`Desk::poll`] tells when that is.
    ///
    /// # Errors
    /// Too many do: come back after so long.
    pub fn enqueue(&mut self, name: &str, waiter: QueuedRequest) -> Result<(), Time> {
        let Some(line) = self.tenants.get_mut(name).and_then(|t| t.throttle.as_mut()) else { return Err(0) };
        if !line.enqueue(waiter) {
            return Err(line.pace.max_wait);
        }
        self.urgent = true;
        Ok(())
    }

    /// Whose word it is now, one at a time: the tenant, the request, what becomes of it.
    pub fn next_outcome(&mut self, now: Time) -> Option<(String, u64, QueueOutcome)> {
        let standing = CoordinatorContact {
            isolated_since: self.isolated_since(now),
            gateway_count: self.gateway_count,
        };
        for (name, t) in &mut self.tenants {
            let Some(line) = t.throttle.as_mut().filter(|line| !line.is_empty()) else { continue };
            let said = if line.is_throttled(now) {
                line.next_outcome(now, standing)
            } else {
                // What waited for a turn goes at full speed, by units like any other.
                line.drop_expired(now);
                let may = !line.is_empty() && (t.limit.rate <= 0.0 || t.take_granted_unit(now));
                let line = t.throttle.as_mut().filter(|_| may);
                line.and_then(|line| line.release_first(now)).map(|id| (id, QueueOutcome::Proceed))
            };
            if let Some((id, word)) = said {
                return Some((name.clone(), id, word));
            }
        }
        None
    }

    /// The one that was to go is not there any more: its turn, or its unit, is another's.
    pub fn return_turn(&mut self, now: Time, name: &str) {
        let Some(t) = self.tenants.get_mut(name) else { return };
        match &mut t.throttle {
            Some(line) if line.is_throttled(now) => line.return_turn(now),
            _ => t.returned += 1,
        }
    }

    /// When [`Desk::poll`] has something new to say, if nothing is heard until then.
    pub fn next_outcome_at(&self, now: Time) -> Option<Time> {
        let alone_at = self.last_contact.map_or(0, |at| at + ISOLATION_TIMEOUT);
        self.tenants.values().filter_map(|t| t.throttle.as_ref()?.next_due(now, alone_at)).min()
    }

    fn isolated_since(&self, now: Time) -> Option<Time> {
        self.is_isolated(now).then(|| self.last_contact.map_or(0, |at| at + ISOLATION_TIMEOUT))
    }

    /// The unit of a request that was not sent after all.
    pub fn return_unit(&mut self, now: Time, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            // It may have ended meanwhile, so it is not spent here again; the keeper gets it back.
            let _ = now;
            t.returned += 1;
        }
    }

    /// When [`Desk::ask`] is next wanted.
    pub fn next_due(&self) -> Time {
        if self.urgent {
            0
        } else {
            self.next_request_at
        }
    }

    /// What is to be asked for now, if it is time.
    pub fn next_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if now < self.next_due() {
            return None;
        }
        let mut waits = false;
        let (mut wants, mut queues) = (Vec::new(), Vec::new());
        let number = self.last_request + 1;
        for (name, t) in &mut self.tenants {
            t.expire_grants(now);
            let slow = t.throttle.as_ref().is_some_and(|line| line.is_throttled(now));
            if let Some(line) = t.throttle.as_mut().filter(|_| slow) {
                queues.extend(line.turn_request(now, number, name));
                waits |= line.needs_turns();
            }
            let waiting = t.waiting + t.throttle.as_ref().filter(|_| !slow).map_or(0, ThrottleQueue::len);
            waits |= waiting > 0;
            let stock: u32 = t.grants.iter().map(|s| s.1).sum();
            let ahead = (t.demand(now) * PREFETCH_S) as u32;
            let units = if waiting > 0 { (waiting + ahead).saturating_sub(stock) } else { 0 };
            if units > 0 || t.arrivals > 0 || t.returned > 0 || t.refusal_probability > 0.0 {
                let (asked, back) = (std::mem::take(&mut t.arrivals), std::mem::take(&mut t.returned));
                wants.push(UnitRequest { tenant: name.clone(), units, arrivals: asked, returned: back });
            }
        }
        self.last_request = number;
        self.sent.push_back((self.last_request, now));
        if self.sent.len() > MAX_TRACKED_REQUESTS {
            self.sent.pop_front();
        }
        self.urgent = false;
        self.next_request_at = now + if waits { URGENT_REQUEST_INTERVAL } else { REQUEST_INTERVAL };
        Some(LeaseRequest { number, units: wants, turns: queues })
    }

    /// The keeper's answer. Whether somebody who waits may go on.
    pub fn on_grant(&mut self, now: Time, lent: &LeaseGrant) -> bool {
        // An answer to what nobody remembers asking has ended.
        let Some((_, sent)) = self.sent.iter().find(|(n, _)| *n == lent.number).copied() else {
            return false;
        };
        self.sent.retain(|(n, _)| *n != lent.number);
        let newest = self.last_contact.is_none_or(|at| sent >= at);
        if newest && lent.coordinator != self.coordinator.0 {
            self.coordinator = (lent.coordinator, now);
        }
        let keeper_since = self.coordinator.1;
        self.last_contact = self.last_contact.max(Some(sent));
        let ends = sent + GRANT_LIFETIME;
        let mut news = false;
        for (name, t) in &mut self.tenants {
            let phase = lent.phases.iter().find(|p| p.tenant == *name);
            if let (None, Some(p)) = (&t.throttle, phase) {
                // The configuration that puts it on trial has yet to come.
                let slow = TrialPace { rate: p.rate.max(0.001), max_wait: from_micros(p.max_wait_us) };
                t.throttle = Some(ThrottleQueue::new(slow, true));
            }
            let Some(line) = &mut t.throttle else { continue };
            if newest {
                line.on_phase(now, sent, phase, keeper_since);
                if phase.is_none() && line.trial_removed && line.is_empty() && !line.is_throttled(now) {
                    t.throttle = None;
                    continue;
                }
            }
            if let Some(turns) = lent.turns.iter().find(|turns| turns.tenant == *name) {
                line.on_turns(now, lent.number, lent.coordinator, turns);
            }
            news |= !line.is_empty();
        }
        for loan in &lent.units {
            let Some(t) = self.tenants.get_mut(&loan.tenant) else { continue };
            let rate = t.limit.rate.max(1e-9);
            // The design's chance: none while the store holds units.
            let asked = f64::from(loan.arrival_rate) / (1.0 - t.refusal_probability);
            let empty = f64::from(loan.remaining) < (EMPTY_BUCKET_RATIO * t.limit.burst).max(1.0);
            let wanted =
                if empty { (1.0 - rate / asked.max(1e-9)).clamp(0.0, MAX_REFUSAL_PROBABILITY) } else { 0.0 };
            // The meter is late and smooth: the chance follows it by halves.
            t.refusal_probability = if wanted < 0.01 && t.refusal_probability < 0.02 {
                0.0
            } else {
                (t.refusal_probability + wanted) / 2.0
            };
            if ends > now && loan.units > 0 {
                t.grants.push_back((ends, loan.units));
            }
            news |= t.waiting > 0 && loan.units > 0;
        }
        let lacks =
            |t: &TenantQuota| t.waiting > 0 || t.throttle.as_ref().is_some_and(ThrottleQueue::needs_turns);
        if self.tenants.values().any(lacks) {
            self.next_request_at = self.next_request_at.min(now + URGENT_REQUEST_INTERVAL);
        }
        news
    }
}

impl TenantQuota {
    fn demand(&self, now: Time) -> f64 {
        self.demand * (-to_seconds(now.saturating_sub(self.demand_updated)) / DEMAND_WINDOW_S).exp()
    }

    fn record_arrival(&mut self, now: Time) {
        self.demand = self.demand(now) + 1.0 / DEMAND_WINDOW_S;
        self.demand_updated = now;
        self.arrivals += 1;
    }

    fn expire_grants(&mut self, now: Time) {
        while self.grants.front().is_some_and(|(ends, _)| *ends <= now) {
            self.returned += self.grants.pop_front().map_or(0, |s| s.1);
        }
    }

    fn take_granted_unit(&mut self, now: Time) -> bool {
        self.expire_grants(now);
        let Some(first) = self.grants.front_mut() else { return false };
        first.1 -= 1;
        if first.1 == 0 {
            self.grants.pop_front();
        }
        let keep = (-to_seconds(now.saturating_sub(self.grant_rate_updated)) / GRANT_RATE_WINDOW_S).exp();
        (self.grant_rate, self.grant_rate_updated) =
            (self.grant_rate * keep + 1.0 / GRANT_RATE_WINDOW_S, now);
        true
    }

    /// A unit of one's own, of what flows since this gateway has been alone.
    fn take_fallback_unit(&mut self, now: Time, since: Time, gateways: u32) -> bool {
        if gateways == 0 {
            return false;
        }
        let part = 1.0 / f64::from(gateways);
        let most = (0.5 * self.limit.burst * part).max(1.0);
        if self.fallback_updated < since {
            (self.fallback_units, self.fallback_updated) = (0.0, since);
        }
        let even = self.limit.rate * part;
        // While it is alone nothing is lent, so that its pace stays what it was.
        let goes_on = (CONTINUATION_RATIO * self.grant_rate).max(even);
        let turn = (since + CONTINUATION_PERIOD).clamp(self.fallback_updated, now);
        let gained = goes_on * to_seconds(turn - self.fallback_updated) + even * to_seconds(now - turn);
        self.fallback_units =
            (self.fallback_units + gained).min(most.max(CONTINUATION_RATIO * self.grant_rate));
        self.fallback_updated = now;
        let there = self.fallback_units >= 1.0;
        if there {
            self.fallback_units -= 1.0;
        }
        there
    }
}

fn refused(limit: &Limit) -> Decision {
    Decision::Refused { retry_after: advice(limit, 0.0) }
}

/// When a unit should be there: a few units' time, the longer the more are refused.
fn advice(limit: &Limit, chance: f64) -> Time {
    let seconds = (2.0 / limit.rate.max(1e-9)) / (1.0 - chance);
    (seconds.clamp(0.1, 1.0) * 1e9) as Time
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::QuotaCoordinator;
    use std::collections::BTreeSet;

    const S: Time = 1_000_000_000;

    fn limits(rate: f64, burst: f64) -> BTreeMap<String, Limit> {
        BTreeMap::from([("t".to_string(), Limit::new(rate, burst))])
    }

    fn names(n: usize) -> BTreeSet<String> {
        (0..n).map(|g| format!("g{g}")).collect()
    }

    /// A tenant's requests at several desks, some of them cut off from the keeper for a while; the keeper changes once.
    /// How many passed in each 10 ms, and how many were turned away.
    fn play(rate: f64, asked: f64, cut: std::ops::Range<u64>, new_keeper: u64) -> (Vec<u32>, u32) {
        let (all, limits) = (names(6), limits(rate, rate));
        let mut keeper = QuotaCoordinator::new(0, 1, &limits, &BTreeSet::new(), &all);
        let mut desks: Vec<QuotaClient> = (0..6).map(|_| QuotaClient::new(0)).collect();
        desks.iter_mut().for_each(|d| {
            d.set_limits(0, &limits);
            d.set_gateway_count(6);
        });
        let (mut passed, mut refused, mut x) = (Vec::new(), 0, 12345u64);
        let mut draw = move || {
            x = x.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (x >> 33) as f64 / (1u64 << 31) as f64
        };
        let mut waits: Vec<Vec<Time>> = vec![Vec::new(); 6];
        for step in 0..3000u64 {
            let now = step * 10 * MS;
            if step == new_keeper {
                keeper = QuotaCoordinator::new(now, step, &limits, &BTreeSet::new(), &all);
            }
            let mut through = 0;
            for (g, desk) in desks.iter_mut().enumerate() {
                let reached = !(cut.contains(&step) && g < 2);
                let mut tries: Vec<Option<Time>> = waits[g].drain(..).map(Some).collect();
                if draw() < asked * 0.01 / 6.0 {
                    tries.push(None);
                }
                for since in tries {
                    match desk.acquire(now, "t", draw(), since) {
                        Decision::Granted => through += 1,
                        Decision::Refused { .. } => refused += 1,
                        Decision::Wait { .. } => waits[g].push(since.unwrap_or(now)),
                        Decision::Throttled { .. } => unreachable!("it has no trial"),
                    }
                }
                if let Some(ask) = desk.next_request(now).filter(|_| reached) {
                    let lent = keeper.grant(now, &format!("g{g}"), &ask).expect("it is known");
                    desk.on_grant(now, &lent);
                }
            }
            passed.push(through);
        }
        (passed, refused)
    }

    fn most_in_five_seconds(passed: &[u32]) -> u32 {
        passed.windows(500).map(|w| w.iter().sum()).max().unwrap_or(0)
    }

    #[test]
    fn demand_beyond_the_limit_never_passes_despite_partitions_and_failover() {
        for rate in [10.0, 60.0] {
            let (passed, refused) = play(rate, 5.0 * rate, 500..1500, 1200);
            let most = f64::from(most_in_five_seconds(&passed));
            assert!(most <= (5.0 * rate + rate) * 1.1 + 20.0, "{most} at {rate} a second");
            assert!(refused > 0);
            // And the limit is had.
            let whole: u32 = passed[1500..].iter().sum();
            assert!(f64::from(whole) >= 0.9 * 15.0 * rate, "{whole} in 15 s at {rate} a second");
        }
    }

    #[test]
    fn nearly_all_requests_pass_below_the_limit() {
        let (passed, refused) = play(30.0, 30.0 / 1.6, 0..0, 9999);
        let passed: u32 = passed.iter().sum();
        assert!(f64::from(refused) <= 0.01 * f64::from(passed), "{refused} refused beside {passed}");
    }

    #[test]
    fn expired_units_are_returned() {
        let mut desk = QuotaClient::new(0);
        desk.set_limits(0, &limits(10.0, 10.0));
        assert!(!matches!(desk.acquire(0, "t", 0.5, None), Decision::Granted), "nothing is known yet");
        let ask = desk.next_request(0).expect("it is time");
        desk.on_grant(MS, &LeaseGrant { number: ask.number, ..LeaseGrant::default() });
        assert!(matches!(desk.acquire(MS, "t", 0.5, None), Decision::Wait { .. }));
        let ask = desk.next_request(MS).expect("somebody waits");
        let loan = crate::UnitGrant { tenant: "t".into(), units: 3, remaining: 5.0, arrival_rate: 1.0 };
        assert!(desk.on_grant(
            2 * MS,
            &LeaseGrant { number: ask.number, units: vec![loan], ..LeaseGrant::default() }
        ));
        assert_eq!(desk.acquire(3 * MS, "t", 0.5, Some(MS)), Decision::Granted);
        // Awake from a freeze: the two others have ended, whatever the desk thinks of the time between.
        assert!(!matches!(desk.acquire(S, "t", 0.5, None), Decision::Granted));
        let ask = desk.next_request(S).expect("it is time");
        assert_eq!(ask.units[0].returned, 2);
    }
}
