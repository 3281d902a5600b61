//! The one who lends: the holder of the duty, for as long as its term is beyond doubt.

use crate::{
    from_micros, from_seconds, to_micros, to_seconds, LeaseGrant, LeaseRequest, Limit, Time, TrialPace,
    TrialPhase, TurnGrant, TurnRequest, UnitGrant,
};
use crate::{FALLBACK_RESERVE_TIMEOUT, PHASE_NOTICE};
use std::collections::{BTreeMap, BTreeSet};

/// How long the meter remembers, in seconds.
const ARRIVAL_WINDOW_S: f64 = 0.7;
/// What a store holds that a new keeper begins with, as a part of the burst.
const INITIAL_FILL: f64 = 0.25;
/// The most turns that are taken back at once.
const MAX_RETURNED_TURNS: u32 = 1024;
/// So many seconds' turns are given at once, and one at the least: who wants more asks again, 25 times a second, so that what
/// many gateways ask for at the same moment is dealt out in turn.
const TURN_BATCH_S: f64 = 0.06;

#[derive(Clone, Debug)]
struct TokenBucket {
    limit: Limit,
    level: f64,
    updated: Time,
    /// What came past the chance, a second.
    arrival_rate: f64,
    throttle: Option<TrialThrottle>,
}

/// A tenant with a trial: whether it is slowed, and its one queue over all gateways.
#[derive(Clone, Debug)]
struct TrialThrottle {
    pace: TrialPace,
    throttled: bool,
    /// When that changes, once it is announced.
    changes_at: Option<Time>,
    /// When the next turn is free, and when the next for work that cannot wait is.
    next_turn: Time,
    next_urgent_turn: Time,
    /// What gateways said of it.
    gateways: BTreeMap<String, GatewayQueue>,
}

/// What a gateway said last of a slowed tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayQueue {
    pub name: String,
    pub last_heard: Time,
    /// How many wait there, and how long those waited that went lately.
    pub waiting: u32,
    pub waited_us: u32,
}

/// How a trial stands.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialStatus {
    pub tenant: String,
    pub throttled: bool,
    /// In how long that changes, if it is announced.
    pub changes_in: Option<Time>,
    pub gateways: Vec<GatewayQueue>,
}

/// The keeper of all stores.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    id: u64,
    /// Until then what the one before has lent may be out.
    previous_grants_until: Time,
    buckets: BTreeMap<String, TokenBucket>,
    /// Tenants whose trial is over, as agreed on.
    expired_trials: BTreeSet<String>,
    /// When each gateway was last heard.
    gateways: BTreeMap<String, Option<Time>>,
}

impl QuotaCoordinator {
    /// A keeper that knows nothing of what the one before has lent in the last half second, nor of how full its stores
    /// were: they begin at a quarter of their burst, and all gateways count as silent until they are heard. A change of the
    /// keeper so adds a quarter of the burst to what may pass. `id`: no two keepers have the same.
    pub fn new(
        now: Time,
        id: u64,
        limits: &BTreeMap<String, Limit>,
        over: &BTreeSet<String>,
        gateways: &BTreeSet<String>,
    ) -> Self {
        let store = |(name, limit): (&String, &Limit)| {
            // What the one before announced is not known: slow, and at full speed when that has been announced.
            let pace = limit
                .after_trial
                .map(|slow| TrialThrottle { throttled: true, ..TrialThrottle::new(now, slow) });
            (
                name.clone(),
                TokenBucket {
                    limit: *limit,
                    level: INITIAL_FILL * limit.burst,
                    updated: now,
                    arrival_rate: 0.0,
                    throttle: pace,
                },
            )
        };
        let mut keeper = QuotaCoordinator {
            id,
            previous_grants_until: now + PHASE_NOTICE,
            buckets: limits.iter().map(store).collect(),
            expired_trials: over.clone(),
            gateways: gateways.iter().map(|name| (name.clone(), None)).collect(),
        };
        keeper.advance_phases(now);
        keeper
    }

    /// The limits, and whose trials are over, are these from now on. Who was not limited before begins with a whole burst.
    pub fn set_limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>, over: &BTreeSet<String>) {
        self.refill(now);
        self.expired_trials = over.clone();
        self.buckets.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let new = TokenBucket {
                limit: *limit,
                level: limit.burst,
                updated: now,
                arrival_rate: 0.0,
                throttle: None,
            };
            let store = self.buckets.entry(name.clone()).or_insert(new);
            store.limit = *limit;
            store.level = store.level.min(limit.burst);
            match (&mut store.throttle, limit.after_trial) {
                (Some(pace), Some(slow)) => pace.pace = slow,
                (None, Some(slow)) => {
                    let is_slow = now < self.previous_grants_until;
                    store.throttle =
                        Some(TrialThrottle { throttled: is_slow, ..TrialThrottle::new(now, slow) });
                }
                // One that is slow stays so until it has been announced that it is no more.
                _ => {}
            }
        }
        self.advance_phases(now);
    }

    /// These gateways are known.
    pub fn add_gateways(&mut self, all: &BTreeSet<String>) {
        for name in all {
            self.gateways.entry(name.clone()).or_insert(None);
        }
    }

    pub fn knows_gateway(&self, gateway: &str) -> bool {
        self.gateways.contains_key(gateway)
    }

    /// The part of all rates that is to be had: silent gateways may be using their even parts.
    fn available_share(&self, now: Time) -> f64 {
        let silent =
            |heard: &&Option<Time>| heard.is_none_or(|at| now.saturating_sub(at) >= FALLBACK_RESERVE_TIMEOUT);
        let all = self.gateways.len().max(1);
        1.0 - self.gateways.values().filter(silent).count() as f64 / all as f64
    }

    fn refill(&mut self, now: Time) {
        let open = self.available_share(now);
        for s in self.buckets.values_mut() {
            let dt = to_seconds(now.saturating_sub(s.updated));
            s.updated = s.updated.max(now);
            s.level = (s.level + dt * s.limit.rate * open).min(s.limit.burst);
            s.arrival_rate *= (-dt / ARRIVAL_WINDOW_S).exp();
        }
    }

    /// Changes that are due, by whose trial is over as it is known now.
    fn advance_phases(&mut self, now: Time) {
        // Where nobody has been told anything for so long, nobody goes by it.
        let silent = |at: &Option<Time>| at.is_none_or(|at| now.saturating_sub(at) >= PHASE_NOTICE);
        let unheard = now >= self.previous_grants_until && self.gateways.values().all(silent);
        for (name, s) in &mut self.buckets {
            if let Some(pace) = &mut s.throttle {
                if unheard {
                    (pace.throttled, pace.changes_at) =
                        (s.limit.after_trial.is_some() && self.expired_trials.contains(name), None);
                }
                pace.advance(now, s.limit.after_trial.is_some() && self.expired_trials.contains(name));
                if s.limit.after_trial.is_none() && !pace.throttled && pace.changes_at.is_none() {
                    s.throttle = None;
                }
            }
        }
    }

    /// Lends. None to a gateway that is not known: its even part is not kept back yet.
    pub fn grant(&mut self, now: Time, gateway: &str, ask: &LeaseRequest) -> Option<LeaseGrant> {
        if !self.knows_gateway(gateway) {
            return None;
        }
        self.refill(now);
        self.advance_phases(now);
        self.gateways.insert(gateway.to_string(), Some(now));
        let mut loans = Vec::with_capacity(ask.units.len());
        for want in &ask.units {
            let Some(s) = self.buckets.get_mut(&want.tenant) else { continue };
            s.arrival_rate += f64::from(want.arrivals) / ARRIVAL_WINDOW_S;
            s.level = (s.level + f64::from(want.returned)).min(s.limit.burst);
            let slow = s.throttle.as_ref().is_some_and(|p| p.throttled);
            let units = if slow { 0 } else { want.units.min(s.level.max(0.0) as u32) };
            s.level -= f64::from(units);
            let (left, metered) = (s.level as f32, s.arrival_rate as f32);
            loans.push(UnitGrant {
                tenant: want.tenant.clone(),
                units,
                remaining: left,
                arrival_rate: metered,
            });
        }
        let open = if now < self.previous_grants_until { 0.0 } else { self.available_share(now) };
        let turns = ask.turns.iter().filter_map(|q| {
            let store = self.buckets.get_mut(&q.tenant)?;
            store.throttle.as_mut()?.record_queue(now, gateway, q);
            store.grant_turns(now, q, open)
        });
        let turns = turns.collect();
        let phases =
            self.buckets.iter().filter_map(|(name, s)| Some(s.throttle.as_ref()?.announcement(now, name)));
        let phases = phases.collect();
        Some(LeaseGrant { number: ask.number, coordinator: self.id, units: loans, phases, turns })
    }

    /// How all trials stand.
    pub fn trial_status(&self, now: Time) -> Vec<TrialStatus> {
        let trial = |(name, s): (&String, &TokenBucket)| {
            let pace = s.throttle.as_ref()?;
            Some(TrialStatus {
                tenant: name.clone(),
                throttled: pace.throttled,
                changes_in: pace.changes_at.map(|at| at.saturating_sub(now)),
                gateways: pace.gateways.values().cloned().collect(),
            })
        };
        self.buckets.iter().filter_map(trial).collect()
    }
}

impl TrialThrottle {
    fn new(now: Time, pace: TrialPace) -> Self {
        TrialThrottle {
            pace,
            throttled: false,
            changes_at: None,
            next_turn: now,
            next_urgent_turn: now,
            gateways: BTreeMap::new(),
        }
    }

    /// A change that was announced is made, whatever came since; the way back follows behind it. Both count from when they
    /// were due: where nobody has asked since, nobody has been told anything either.
    fn advance(&mut self, now: Time, over: bool) {
        while let Some(at) = self.changes_at.filter(|at| now >= *at) {
            self.throttled = !self.throttled;
            self.changes_at = (self.throttled != over).then_some(at + PHASE_NOTICE);
        }
        if self.throttled != over && self.changes_at.is_none() {
            self.changes_at = Some(now + PHASE_NOTICE);
        }
    }

    fn announcement(&self, now: Time, tenant: &str) -> TrialPhase {
        let changes_us = self.changes_at.map(|at| to_micros(at.saturating_sub(now)));
        let TrialPace { rate: pace, max_wait: wait } = self.pace;
        TrialPhase {
            tenant: tenant.into(),
            throttled: self.throttled,
            changes_in_us: changes_us,
            rate: pace,
            max_wait_us: to_micros(wait),
        }
    }

    fn record_queue(&mut self, now: Time, gateway: &str, q: &TurnRequest) {
        let (name, waiting, waited_us) = (gateway.to_string(), q.waiting, q.waited_us);
        self.gateways.insert(gateway.to_string(), GatewayQueue { name, last_heard: now, waiting, waited_us });
    }
}

impl TokenBucket {
    /// The next turns, as many as are wanted and come within the wait, of the part of the pace that is to be had.
    fn grant_turns(&mut self, now: Time, q: &TurnRequest, open: f64) -> Option<TurnGrant> {
        let pace = self.throttle.as_mut().filter(|p| p.throttled)?;
        let slow = pace.pace;
        let tenant = q.tenant.clone();
        let mut turns =
            TurnGrant { tenant, after_us: Vec::new(), urgent_us: Vec::new(), retry_after_us: None };
        if open <= 0.0 {
            return Some(turns);
        }
        let apart = from_seconds(1.0 / (slow.rate * open));
        pace.next_turn =
            pace.next_turn.saturating_sub(apart * Time::from(q.returned.min(MAX_RETURNED_TURNS)));
        self.level = (self.level + f64::from(q.returned.min(MAX_RETURNED_TURNS))).min(self.limit.burst);
        let most = (slow.rate * TURN_BATCH_S).ceil() as usize;
        // Whoever cannot wait first.
        let wanted = (0..q.urgent).map(|_| true).chain((0..q.reads).map(|_| false)).take(most);
        for pressing in wanted {
            let next = pace.next_turn.max(now);
            let ahead = pressing && next - now > from_micros(q.slack_us);
            let mut at = if ahead { pace.next_urgent_turn.max(now) } else { next };
            // A turn is charged to the store like a unit; one that is not there yet is waited for.
            if self.limit.rate > 0.0 && self.level < 1.0 {
                at = at.max(now + from_seconds((1.0 - self.level) / (self.limit.rate * open)));
            }
            let furthest = now + 2 * slow.max_wait;
            if at > now + slow.max_wait || next > furthest {
                let sooner = at.saturating_sub(now + slow.max_wait).max(next.saturating_sub(furthest));
                turns.retry_after_us = Some(to_micros(sooner.max(apart)));
                break;
            }
            if ahead {
                pace.next_urgent_turn = at + apart;
            }
            pace.next_turn = next + apart;
            self.level -= 1.0;
            let given = if pressing { &mut turns.urgent_us } else { &mut turns.after_us };
            given.push(to_micros(at - now));
        }
        turns.urgent_us.sort_unstable();
        Some(turns)
    }
}
