//! A tenant's bucket at the coordinator.

use crate::lease::{TurnGrant, TurnRequest, UnitGrant, UnitRequest};
use crate::limit::Limit;
use crate::time::{from_micros, from_seconds, to_micros, to_seconds, Time};
use crate::trial_throttle::TrialThrottle;

/// How long the meter remembers arrivals, in seconds.
const ARRIVAL_WINDOW_S: f64 = 0.7;
/// The most turns that are taken back at once.
const MAX_RETURNED_TURNS: u32 = 1024;
/// So many seconds' turns are granted at once, and one at least: who wants more asks again, 25 times a second, so that what
/// many gateways ask for at the same moment is dealt out in turn.
const TURN_BATCH_S: f64 = 0.06;

#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    pub limit: Limit,
    pub level: f64,
    updated: Time,
    /// Requests a second that came past the refusal probability.
    arrival_rate: f64,
    /// Of a tenant with a trial.
    pub throttle: Option<TrialThrottle>,
}

impl TokenBucket {
    /// A bucket that holds `level` units.
    pub fn new(now: Time, limit: Limit, level: f64) -> Self {
        TokenBucket { limit, level, updated: now, arrival_rate: 0.0, throttle: None }
    }

    /// Whether the tenant's trial has expired, by the configuration and what is replicated.
    pub fn is_trial_over(&self, is_expired: bool) -> bool {
        self.limit.after_trial.is_some() && is_expired
    }

    /// `share`: the part of the rate that is available.
    pub fn refill(&mut self, now: Time, share: f64) {
        let elapsed = to_seconds(now.saturating_sub(self.updated));
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed * self.limit.rate * share).min(self.limit.burst);
        self.arrival_rate *= (-elapsed / ARRIVAL_WINDOW_S).exp();
    }

    /// Grants as many units as are there; none to a throttled tenant, whose requests need turns.
    pub fn grant_units(&mut self, request: &UnitRequest) -> UnitGrant {
        self.arrival_rate += f64::from(request.arrivals) / ARRIVAL_WINDOW_S;
        self.level = (self.level + f64::from(request.returned)).min(self.limit.burst);
        let is_throttled = self.throttle.as_ref().is_some_and(|throttle| throttle.throttled);
        let units = if is_throttled { 0 } else { request.units.min(self.level.max(0.0) as u32) };
        self.level -= f64::from(units);
        UnitGrant {
            tenant: request.tenant.clone(),
            units,
            remaining: self.level as f32,
            arrival_rate: self.arrival_rate as f32,
        }
    }

    /// Grants the next turns, as many as are wanted and come within the maximum wait, of the available share of the pace.
    pub fn grant_turns(&mut self, now: Time, request: &TurnRequest, share: f64) -> Option<TurnGrant> {
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
            if at > now + pace.max_wait || next > furthest {
                let too_late_by = at.saturating_sub(now + pace.max_wait).max(next.saturating_sub(furthest));
                grant.retry_after_us = Some(to_micros(too_late_by.max(interval)));
                break;
            }
            if goes_ahead {
                throttle.next_urgent_turn = at + interval;
            }
            throttle.next_turn = next + interval;
            self.level -= 1.0;
            let turns = if is_urgent { &mut grant.urgent_us } else { &mut grant.after_us };
            turns.push(to_micros(at - now));
        }
        grant.urgent_us.sort_unstable();
        Some(grant)
    }
}
