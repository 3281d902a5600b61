//! One tenant's quota at a gateway: the units that it was granted, its fallback share, its refusal probability.

use crate::decaying_rate::DecayingRate;
use crate::lease::{UnitGrant, UnitRequest};
use crate::limit::Limit;
use crate::throttle_queue::ThrottleQueue;
use crate::time::{to_seconds, Time};
use crate::{CONTINUATION_PERIOD, CONTINUATION_RATIO, GRANT_RATE_WINDOW_S};
use std::collections::VecDeque;

/// Units are requested ahead for so long, in seconds.
const PREFETCH_S: f64 = 0.2;
/// How long the gateway's own demand is remembered, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;
/// The highest refusal probability: some requests must come past it, or nothing is known of the demand.
const MAX_REFUSAL_PROBABILITY: f64 = 0.98;
/// The bucket counts as empty with less than this part of the burst in it.
const EMPTY_BUCKET_RATIO: f64 = 0.02;
/// The most that an isolated gateway saves up of its fallback share, as a part of its part of the burst.
const FALLBACK_BURST_RATIO: f64 = 0.5;
/// So that a rate is divided by safely.
const MIN_RATE: f64 = 1e-9;

/// Units that were granted together.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Time,
    units: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct TenantQuota {
    pub limit: Limit,
    /// The soonest to expire first.
    grants: VecDeque<Grant>,
    /// What the fallback share has saved up.
    fallback_units: f64,
    fallback_updated: Time,
    /// Fallback units that were used since the last request to the coordinator.
    spent_fallback: u32,
    pub refusal_probability: f64,
    /// Requests a second that come past the refusal probability here.
    demand: DecayingRate,
    /// Granted units a second that were used here.
    grant_rate: DecayingRate,
    /// Requests that wait for a unit.
    pub waiting: u32,
    /// Requests that came past the refusal probability since the last request to the coordinator.
    arrivals: u32,
    /// Units that expired unused since then.
    pub returned: u32,
    /// Of a tenant with a trial.
    pub throttle: Option<ThrottleQueue>,
}

impl TenantQuota {
    /// A tenant of this limit, with no unit granted yet.
    pub fn new(now: Time, limit: Limit) -> Self {
        TenantQuota {
            limit,
            grants: VecDeque::new(),
            fallback_units: 0.0,
            fallback_updated: now,
            spent_fallback: 0,
            refusal_probability: 0.0,
            demand: DecayingRate::new(now, DEMAND_WINDOW_S),
            grant_rate: DecayingRate::new(now, GRANT_RATE_WINDOW_S),
            waiting: 0,
            arrivals: 0,
            returned: 0,
            throttle: None,
        }
    }

    /// The limit is this from now on.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        match (&mut self.throttle, limit.after_trial) {
            (Some(queue), Some(pace)) => (queue.pace, queue.trial_removed) = (pace, false),
            (Some(queue), None) => queue.trial_removed = true,
            (throttle, Some(pace)) => *throttle = Some(ThrottleQueue::new(pace, false)),
            (None, None) => {}
        }
    }

    /// A request came past the refusal probability.
    pub fn record_arrival(&mut self, now: Time) {
        self.demand.record(now, 1);
        self.arrivals += 1;
    }

    /// Drops granted units whose time is up; they are returned with the next request.
    pub fn expire_grants(&mut self, now: Time) {
        while self.grants.front().is_some_and(|grant| grant.expires_at <= now) {
            self.returned += self.grants.pop_front().map_or(0, |grant| grant.units);
        }
    }

    /// Takes a granted unit, if there is one.
    pub fn take_granted_unit(&mut self, now: Time) -> bool {
        self.expire_grants(now);
        let Some(first) = self.grants.front_mut() else { return false };
        first.units -= 1;
        if first.units == 0 {
            self.grants.pop_front();
        }
        self.grant_rate.record(now, 1);
        true
    }

    /// Takes a unit of the fallback share, which flows since this gateway has been isolated.
    pub fn take_fallback_unit(&mut self, now: Time, isolated_since: Time, gateway_count: u32) -> bool {
        if gateway_count == 0 {
            return false;
        }
        let share = 1.0 / f64::from(gateway_count);
        let max_saved = (FALLBACK_BURST_RATIO * self.limit.burst * share).max(1.0);
        if self.fallback_updated < isolated_since {
            (self.fallback_units, self.fallback_updated) = (0.0, isolated_since);
        }
        let fallback_rate = self.limit.rate * share;
        let continued_rate = (CONTINUATION_RATIO * self.grant_rate.at(isolated_since)).max(fallback_rate);
        let continues_until = (isolated_since + CONTINUATION_PERIOD).clamp(self.fallback_updated, now);
        let gained = continued_rate * to_seconds(continues_until - self.fallback_updated)
            + fallback_rate * to_seconds(now - continues_until);
        let max_units = max_saved.max(continued_rate);
        self.fallback_units = (self.fallback_units + gained).min(max_units);
        self.fallback_updated = now;
        let is_available = self.fallback_units >= 1.0;
        if is_available {
            self.fallback_units -= 1.0;
            self.spent_fallback += 1;
        }
        is_available
    }

    /// What to ask the coordinator for, if there is anything to say. `waiting`: requests that wait for a unit.
    pub fn unit_request(&mut self, now: Time, tenant: &str, waiting: u32) -> Option<UnitRequest> {
        let granted: u32 = self.grants.iter().map(|grant| grant.units).sum();
        let ahead = (self.demand.at(now) * PREFETCH_S) as u32;
        let units = if waiting > 0 { (waiting + ahead).saturating_sub(granted) } else { 0 };
        let has_used = self.arrivals + self.returned + self.spent_fallback > 0;
        let has_news = units > 0 || has_used || self.refusal_probability > 0.0;
        if !has_news {
            return None;
        }
        let arrivals = std::mem::take(&mut self.arrivals);
        let returned = std::mem::take(&mut self.returned);
        let spent_fallback = std::mem::take(&mut self.spent_fallback);
        Some(UnitRequest { tenant: tenant.into(), units, arrivals, returned, spent_fallback })
    }

    /// Takes the coordinator's grant. Whether a request that waits may go on.
    pub fn on_units(&mut self, now: Time, expires_at: Time, grant: &UnitGrant) -> bool {
        self.update_refusal_probability(grant);
        if expires_at <= now {
            self.returned += grant.units;
        } else if grant.units > 0 {
            self.grants.push_back(Grant { expires_at, units: grant.units });
        }
        self.waiting > 0 && grant.units > 0
    }

    /// The design's probability: 0 while the bucket holds units, else 1 − rate ÷ demand.
    fn update_refusal_probability(&mut self, grant: &UnitGrant) {
        let rate = self.limit.rate.max(MIN_RATE);
        let demand = f64::from(grant.arrival_rate) / (1.0 - self.refusal_probability);
        let is_empty = f64::from(grant.remaining) < (EMPTY_BUCKET_RATIO * self.limit.burst).max(1.0);
        let wanted = if is_empty {
            (1.0 - rate / demand.max(MIN_RATE)).clamp(0.0, MAX_REFUSAL_PROBABILITY)
        } else {
            0.0
        };
        // The meter is late and smooth: the probability follows it by halves.
        self.refusal_probability = if wanted < 0.01 && self.refusal_probability < 0.02 {
            0.0
        } else {
            (self.refusal_probability + wanted) / 2.0
        };
    }
}

/// When a unit should be there: a few units' time, the longer the more are refused.
pub(crate) fn retry_after(limit: &Limit, refusal_probability: f64) -> Time {
    let seconds = (2.0 / limit.rate.max(MIN_RATE)) / (1.0 - refusal_probability);
    (seconds.clamp(0.1, 1.0) * 1e9) as Time
}
