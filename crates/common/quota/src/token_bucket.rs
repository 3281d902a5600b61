//! A tenant's bucket at the coordinator.

use crate::decaying_rate::DecayingRate;
use crate::lease::{TurnGrant, TurnRequest, UnitGrant, UnitRequest};
use crate::limit::Limit;
use crate::refill_clock::RefillTime;
use crate::time::{from_micros, from_seconds, to_micros, to_seconds, Time};
use crate::trial_throttle::TrialThrottle;

/// How long the meter remembers arrivals, in seconds.
const ARRIVAL_WINDOW_S: f64 = 0.7;
/// The most turns that are taken back at once.
const MAX_RETURNED_TURNS: u32 = 1024;
/// So many seconds' turns are granted at once, and one at least: who wants more asks again, 25 times a second, so that what
/// many gateways ask for at the same moment is dealt out in turn.
const TURN_BATCH_S: f64 = 0.06;
/// The most that gateways may use beyond what the bucket holds, in seconds of the rate.
const MAX_DEBT_S: f64 = 1.0;

#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    pub limit: Limit,
    /// Below 0: silent gateways may have used more than the bucket held.
    pub level: f64,
    /// Up to when it is filled.
    refilled: RefillTime,
    /// Units a second that gateways which fell silent lately may go on with, beyond their fallback shares.
    continued_rate: f64,
    /// How many gateways these are.
    continuing_gateways: usize,
    /// Requests a second that came past the refusal probability.
    arrivals: DecayingRate,
    /// Of a tenant with a trial.
    pub throttle: Option<TrialThrottle>,
}

impl TokenBucket {
    /// A bucket that holds `level` units.
    pub fn new(time: RefillTime, limit: Limit, level: f64) -> Self {
        TokenBucket {
            limit,
            level,
            refilled: time,
            continued_rate: 0.0,
            continuing_gateways: 0,
            arrivals: DecayingRate::new(time.now, ARRIVAL_WINDOW_S),
            throttle: None,
        }
    }

    /// Whether the tenant's trial has expired, by the configuration and what is replicated.
    pub fn is_trial_over(&self, is_expired: bool) -> bool {
        self.limit.after_trial.is_some() && is_expired
    }

    /// Fills the bucket with what no silent gateway may have been using until then. Since its last refill neither the limit
    /// nor what is continued has changed; the part that fills it may have, so that it counts as filled first and used
    /// afterwards, which never leaves more in it than any other order.
    pub fn refill(&mut self, time: RefillTime) {
        let elapsed = to_seconds(time.now.saturating_sub(self.refilled.now));
        let filled = self.limit.rate * (time.seconds - self.refilled.seconds);
        self.refilled = time;
        let level = (self.level + filled).min(self.limit.burst) - self.continued_rate * elapsed;
        self.level = level.max(-self.max_debt());
    }

    /// Units a second that gateways which fell silent lately may go on with, beyond their fallback shares.
    pub fn continued_rate(&self) -> f64 {
        self.continued_rate
    }

    /// A gateway may go on with so many units a second from now on. The bucket is filled.
    pub fn begin_continuation(&mut self, rate: f64) {
        self.continued_rate += rate;
        self.continuing_gateways += 1;
    }

    /// A gateway does not go on with these units a second any more. The bucket is filled.
    pub fn end_continuation(&mut self, rate: f64) {
        self.continuing_gateways = self.continuing_gateways.saturating_sub(1);
        let rest = (self.continued_rate - rate).max(0.0);
        self.continued_rate = if self.continuing_gateways > 0 { rest } else { 0.0 };
    }

    /// No gateway goes on. The bucket is filled.
    pub fn end_all_continuations(&mut self) {
        (self.continued_rate, self.continuing_gateways) = (0.0, 0);
    }

    /// How far below 0 the level may go.
    fn max_debt(&self) -> f64 {
        self.limit.burst.max(self.limit.rate * MAX_DEBT_S)
    }

    /// Grants as many units as are there; none to a throttled tenant, whose requests need turns. The bucket is filled.
    pub fn grant_units(&mut self, now: Time, request: &UnitRequest) -> UnitGrant {
        self.arrivals.record(now, request.arrivals);
        self.level = (self.level + f64::from(request.returned)).min(self.limit.burst);
        self.level = (self.level - f64::from(request.spent_fallback)).max(-self.max_debt());
        let is_throttled = self.throttle.as_ref().is_some_and(|throttle| throttle.throttled);
        let units = if is_throttled { 0 } else { request.units.min(self.level.max(0.0) as u32) };
        self.level -= f64::from(units);
        UnitGrant {
            tenant: request.tenant.clone(),
            units,
            remaining: self.level as f32,
            arrival_rate: self.arrivals.at(now) as f32,
        }
    }

    /// Grants the next turns, as many as are wanted and come within the maximum wait, of the available share of the pace. The
    /// bucket is filled.
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
