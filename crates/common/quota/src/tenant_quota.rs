//! Quota of one tenant on a gateway: its granted units, fallback share and refusal probability.

use crate::decaying_rate::DecayingRate;
use crate::lease::{UnitGrant, UnitRequest};
use crate::limit::Limit;
use crate::throttle_queue::ThrottleQueue;
use crate::time::{to_seconds, Time};
use crate::{CONTINUATION_PERIOD, CONTINUATION_RATIO, GRANT_RATE_WINDOW_S};
use std::collections::VecDeque;

/// How far ahead units are requested, in seconds of demand.
const PREFETCH_S: f64 = 0.2;
/// Averaging window of the gateway's own demand, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;
/// Maximum refusal probability. Some requests must get past it, because otherwise demand could not be measured.
const MAX_REFUSAL_PROBABILITY: f64 = 0.98;
/// Fraction of the burst below which the bucket counts as empty.
const EMPTY_BUCKET_RATIO: f64 = 0.02;
/// Maximum fallback units that an isolated gateway accrues, as a fraction of its share of the burst.
const FALLBACK_BURST_RATIO: f64 = 0.5;
/// Lower bound for rates used as a divisor.
const MIN_RATE: f64 = 1e-9;

/// Units granted together.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Time,
    units: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct TenantQuota {
    pub limit: Limit,
    /// Grants in order of arrival, which is the order of expiry unless answers overtake each other.
    grants: VecDeque<Grant>,
    /// Accrued units of the fallback share.
    fallback_units: f64,
    fallback_updated: Time,
    /// Fallback units used since the last request to the coordinator.
    spent_fallback: u32,
    pub refusal_probability: f64,
    /// Requests per second on this gateway not refused by probability.
    demand: DecayingRate,
    /// Granted units per second that were used on this gateway.
    grant_rate: DecayingRate,
    /// Number of requests waiting for a unit.
    pub waiting: u32,
    /// Requests not refused by probability since the last request to the coordinator.
    arrivals: u32,
    /// Units that expired unused since then.
    pub returned: u32,
    /// Queue of a tenant with a trial.
    pub throttle: Option<ThrottleQueue>,
}

impl TenantQuota {
    /// Creates the quota of a tenant with this limit and no granted units.
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

    /// Sets the limit.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        match (&mut self.throttle, limit.after_trial) {
            (Some(queue), Some(pace)) => (queue.pace, queue.trial_removed) = (pace, false),
            (Some(queue), None) => queue.trial_removed = true,
            (throttle, Some(pace)) => *throttle = Some(ThrottleQueue::new(pace, false)),
            (None, None) => {}
        }
    }

    /// Records a request not refused by probability.
    pub fn record_arrival(&mut self, now: Time) {
        self.demand.record(now, 1);
        self.arrivals += 1;
    }

    /// Drops expired units; they are returned with the next request.
    pub fn expire_grants(&mut self, now: Time) {
        while self.grants.front().is_some_and(|grant| grant.expires_at <= now) {
            self.returned += self.grants.pop_front().map_or(0, |grant| grant.units);
        }
    }

    /// Takes a granted unit if there is one, and returns whether it did.
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

    /// Takes a unit of the fallback share, which accrues from `isolated_since` on, and returns whether there was one.
    pub fn take_fallback_unit(&mut self, now: Time, isolated_since: Time, gateway_count: u32) -> bool {
        if gateway_count == 0 {
            return false;
        }
        let share = 1.0 / f64::from(gateway_count);
        let max_accrued = (FALLBACK_BURST_RATIO * self.limit.burst * share).max(1.0);
        if self.fallback_updated < isolated_since {
            (self.fallback_units, self.fallback_updated) = (0.0, isolated_since);
        }
        let fallback_rate = self.limit.rate * share;
        let continued_rate = (CONTINUATION_RATIO * self.grant_rate.at(isolated_since)).max(fallback_rate);
        let continues_until = (isolated_since + CONTINUATION_PERIOD).clamp(self.fallback_updated, now);
        let accrued = continued_rate * to_seconds(continues_until - self.fallback_updated)
            + fallback_rate * to_seconds(now - continues_until);
        let max_units = max_accrued.max(continued_rate);
        self.fallback_units = (self.fallback_units + accrued).min(max_units);
        self.fallback_updated = now;
        let is_available = self.fallback_units >= 1.0;
        if is_available {
            self.fallback_units -= 1.0;
            self.spent_fallback += 1;
        }
        is_available
    }

    /// Returns the request to send to the coordinator, or `None` if there is nothing to request or report and the
    /// refusal probability is 0. `waiting` is the number of requests waiting for a unit.
    pub fn unit_request(&mut self, now: Time, tenant: &str, waiting: u32) -> Option<UnitRequest> {
        let available_units: u32 = self.grants.iter().map(|grant| grant.units).sum();
        let prefetch_units = (self.demand.at(now) * PREFETCH_S) as u32;
        let units = if waiting > 0 { (waiting + prefetch_units).saturating_sub(available_units) } else { 0 };
        let has_usage = self.arrivals + self.returned + self.spent_fallback > 0;
        let has_changes = units > 0 || has_usage || self.refusal_probability > 0.0;
        if !has_changes {
            return None;
        }
        let arrivals = std::mem::take(&mut self.arrivals);
        let returned = std::mem::take(&mut self.returned);
        let spent_fallback = std::mem::take(&mut self.spent_fallback);
        Some(UnitRequest { tenant: tenant.into(), units, arrivals, returned, spent_fallback })
    }

    /// Applies the coordinator's grant. Returns whether a waiting request may proceed.
    pub fn on_units(&mut self, now: Time, expires_at: Time, grant: &UnitGrant) -> bool {
        self.update_refusal_probability(grant);
        if expires_at <= now {
            self.returned += grant.units;
        } else if grant.units > 0 {
            self.grants.push_back(Grant { expires_at, units: grant.units });
        }
        self.waiting > 0 && grant.units > 0
    }

    /// Moves the refusal probability toward its target: 0 while the bucket holds units, otherwise 1 − rate ÷ demand.
    fn update_refusal_probability(&mut self, grant: &UnitGrant) {
        let rate = self.limit.rate.max(MIN_RATE);
        let demand = f64::from(grant.arrival_rate) / (1.0 - self.refusal_probability);
        let is_empty = f64::from(grant.remaining) < (EMPTY_BUCKET_RATIO * self.limit.burst).max(1.0);
        let target = if is_empty {
            (1.0 - rate / demand.max(MIN_RATE)).clamp(0.0, MAX_REFUSAL_PROBABILITY)
        } else {
            0.0
        };
        // The meter is delayed and smoothed, so the probability moves halfway to its target with each grant.
        self.refusal_probability = if target < 0.01 && self.refusal_probability < 0.02 {
            0.0
        } else {
            (self.refusal_probability + target) / 2.0
        };
    }
}

/// Returns the delay after which a unit should be available: the time for a few units, longer the more requests are
/// refused.
pub(crate) fn retry_after(limit: &Limit, refusal_probability: f64) -> Time {
    let seconds = (2.0 / limit.rate.max(MIN_RATE)) / (1.0 - refusal_probability);
    (seconds.clamp(0.1, 1.0) * 1e9) as Time
}
