//! A tenant's bucket at the coordinator.

use crate::contact::Reserve;
use crate::decaying_rate::DecayingRate;
use crate::lease::{TurnGrant, TurnRequest, UnitGrant, UnitRequest};
use crate::limit::Limit;
use crate::time::{from_micros, from_seconds, to_micros, to_seconds, Time};
use crate::trial_throttle::TrialThrottle;
use crate::{CONTINUATION_RATIO, GRANT_RATE_WINDOW_S};
use std::collections::BTreeMap;

/// How long the meter remembers arrivals, in seconds.
const ARRIVAL_WINDOW_S: f64 = 0.7;
/// The most turns that are taken back at once.
const MAX_RETURNED_TURNS: u32 = 1024;
/// So many seconds' turns are granted at once, and one at least: who wants more asks again, 25 times a second, so that what
/// many gateways ask for at the same moment is dealt out in turn.
const TURN_BATCH_S: f64 = 0.06;
/// The most that gateways may use beyond what the bucket holds, in seconds of the rate.
const MAX_DEBT_S: f64 = 1.0;
/// A gateway that was granted fewer units a second than this is forgotten.
const MIN_GRANT_RATE: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    pub limit: Limit,
    /// Below 0: silent gateways may have used more than the bucket held.
    pub level: f64,
    updated: Time,
    /// Requests a second that came past the refusal probability.
    arrival_rate: f64,
    /// Units a second that each gateway was granted lately.
    grant_rates: BTreeMap<String, DecayingRate>,
    /// Of a tenant with a trial.
    pub throttle: Option<TrialThrottle>,
}

impl TokenBucket {
    /// A bucket that holds `level` units.
    pub fn new(now: Time, limit: Limit, level: f64) -> Self {
        TokenBucket {
            limit,
            level,
            updated: now,
            arrival_rate: 0.0,
            grant_rates: BTreeMap::new(),
            throttle: None,
        }
    }

    /// Whether the tenant's trial has expired, by the configuration and what is replicated.
    pub fn is_trial_over(&self, is_expired: bool) -> bool {
        self.limit.after_trial.is_some() && is_expired
    }

    /// Fills the bucket at the part of the rate that no silent gateway may be using.
    pub fn refill(&mut self, now: Time, reserve: &Reserve) {
        let elapsed = to_seconds(now.saturating_sub(self.updated));
        self.updated = self.updated.max(now);
        let level = self.level + elapsed * self.available_rate(reserve);
        self.level = level.clamp(-self.max_debt(), self.limit.burst);
        self.arrival_rate *= (-elapsed / ARRIVAL_WINDOW_S).exp();
    }

    /// What no silent gateway may be using, in units a second; below 0 while more may be in use than the limit.
    pub fn available_rate(&self, reserve: &Reserve) -> f64 {
        self.limit.rate * reserve.available_share() - self.continued_rate(reserve)
    }

    /// How far below 0 the level may go.
    fn max_debt(&self) -> f64 {
        self.limit.burst.max(self.limit.rate * MAX_DEBT_S)
    }

    /// What silent gateways may go on with, beyond their fallback shares, in units a second.
    fn continued_rate(&self, reserve: &Reserve) -> f64 {
        let fallback_rate = self.limit.rate * reserve.fallback_share;
        let recently_silent = reserve.recently_silent.iter().map(|gateway| {
            let granted = self.grant_rates.get(&gateway.name).map_or(0.0, |rate| rate.at(gateway.heard_at));
            (CONTINUATION_RATIO * granted - fallback_rate).max(0.0)
        });
        let unheard = self.limit.rate * reserve.unheard_share - fallback_rate * reserve.silent as f64;
        recently_silent.sum::<f64>() + unheard.max(0.0)
    }

    fn record_grant(&mut self, now: Time, gateway: &str, units: u32) {
        if let Some(rate) = self.grant_rates.get_mut(gateway) {
            rate.record(now, units);
            return;
        }
        self.grant_rates.retain(|_, rate| rate.at(now) >= MIN_GRANT_RATE);
        let mut rate = DecayingRate::new(now, GRANT_RATE_WINDOW_S);
        rate.record(now, units);
        self.grant_rates.insert(gateway.to_string(), rate);
    }

    /// Grants as many units as are there; none to a throttled tenant, whose requests need turns.
    pub fn grant_units(&mut self, now: Time, gateway: &str, request: &UnitRequest) -> UnitGrant {
        self.arrival_rate += f64::from(request.arrivals) / ARRIVAL_WINDOW_S;
        self.level = (self.level + f64::from(request.returned)).min(self.limit.burst);
        self.level = (self.level - f64::from(request.spent_fallback)).max(-self.max_debt());
        let is_throttled = self.throttle.as_ref().is_some_and(|throttle| throttle.throttled);
        let units = if is_throttled { 0 } else { request.units.min(self.level.max(0.0) as u32) };
        self.level -= f64::from(units);
        if units > 0 {
            self.record_grant(now, gateway, units);
        }
        UnitGrant {
            tenant: request.tenant.clone(),
            units,
            remaining: self.level as f32,
            arrival_rate: self.arrival_rate as f32,
        }
    }

    /// Grants the next turns, as many as are wanted and come within the maximum wait, of the available share of the pace.
    pub fn grant_turns(
        &mut self,
        now: Time,
        gateway: &str,
        request: &TurnRequest,
        share: f64,
    ) -> Option<TurnGrant> {
        let throttle = self.throttle.as_mut().filter(|throttle| throttle.throttled)?;
        let pace = throttle.pace;
        let mut grant = TurnGrant {
            tenant: request.tenant.clone(),
            after_us: Vec::new(),
            urgent_us: Vec::new(),
            retry_after_us: None,
        };
        if share <= 0.0 {
            return Some(grant);
        }
        let interval = from_seconds(1.0 / (pace.rate * share));
        let returned = request.returned.min(MAX_RETURNED_TURNS);
        throttle.next_turn = throttle.next_turn.saturating_sub(interval * Time::from(returned));
        self.level = (self.level + f64::from(returned)).min(self.limit.burst);
        let max_turns = (pace.rate * TURN_BATCH_S).ceil() as usize;
        throttle.fairness.record_demand(now, gateway, request.urgent + request.reads);
        // Urgent work first.
        let urgent_first = (0..request.urgent).map(|_| true).chain((0..request.reads).map(|_| false));
        for is_urgent in urgent_first.take(max_turns) {
            let next = throttle.next_turn.max(now);
            let goes_ahead = is_urgent && next - now > from_micros(request.slack_us);
            let mut at = if goes_ahead { throttle.next_urgent_turn.max(now) } else { next };
            // A turn is charged to the bucket like a unit; one that is not there yet is waited for.
            if self.limit.rate > 0.0 && self.level < 1.0 {
                at = at.max(now + from_seconds((1.0 - self.level) / (self.limit.rate * share)));
            }
            let furthest = now + 2 * pace.max_wait;
            let is_anothers = !goes_ahead && !throttle.fairness.is_next(now, gateway);
            if is_anothers || at > now + pace.max_wait || next > furthest {
                let too_late_by = at.saturating_sub(now + pace.max_wait).max(next.saturating_sub(furthest));
                grant.retry_after_us = Some(to_micros(too_late_by.max(interval)));
                break;
            }
            if goes_ahead {
                throttle.next_urgent_turn = at + interval;
            }
            throttle.next_turn = next + interval;
            throttle.fairness.on_granted(now, gateway);
            self.level -= 1.0;
            let turns = if is_urgent { &mut grant.urgent_us } else { &mut grant.after_us };
            turns.push(to_micros(at - now));
        }
        throttle.fairness.on_answered(now, gateway, grant.retry_after_us.is_some());
        grant.urgent_us.sort_unstable();
        Some(grant)
    }
}
