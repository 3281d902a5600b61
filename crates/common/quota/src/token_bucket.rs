//! A tenant's token bucket at the coordinator.

use crate::decaying_rate::DecayingRate;
use crate::lease::{TurnGrant, TurnRequest, UnitGrant, UnitRequest};
use crate::limit::Limit;
use crate::refill_clock::RefillTime;
use crate::time::{from_micros, from_seconds, to_micros, to_seconds, Time};
use crate::trial_throttle::TrialThrottle;

/// Averaging window of the arrival meter, in seconds.
const ARRIVAL_WINDOW_S: f64 = 0.7;
/// Maximum number of returned turns accepted per request.
const MAX_RETURNED_TURNS: u32 = 1024;
/// Turns granted per request, in seconds of the pace, but at least one turn. A gateway that needs more asks again, 25
/// times per second, so that simultaneous requests of many gateways are served in turn.
const TURN_BATCH_S: f64 = 0.06;
/// Use by gateways beyond the content of the bucket is limited to this many seconds of the rate, or to the burst if
/// that is more.
const MAX_DEBT_S: f64 = 1.0;

#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    pub limit: Limit,
    /// Units in the bucket. Negative if silent gateways may have used more than it held.
    pub level: f64,
    /// When the bucket was last refilled.
    refilled: RefillTime,
    /// Units per second, beyond their fallback shares, at which recently silent gateways may continue.
    continued_rate: f64,
    /// Number of gateways that contribute to `continued_rate`.
    continuing_gateways: usize,
    /// Requests per second not refused by probability.
    arrivals: DecayingRate,
    /// Throttle of a tenant with a trial.
    pub throttle: Option<TrialThrottle>,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` units.
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

    /// Whether the tenant should be throttled: the configuration gives it a trial, and `is_expired`, which is
    /// replicated.
    pub fn should_throttle(&self, is_expired: bool) -> bool {
        self.limit.after_trial.is_some() && is_expired
    }

    /// Refills the bucket with the units that no silent gateway may have used. Neither the limit nor the continued rate
    /// has changed since the last refill, but the refill share may have. Therefore the whole refill is added before the
    /// use is deducted, which never yields a higher level than any other order.
    pub fn refill(&mut self, time: RefillTime) {
        let elapsed = to_seconds(time.now.saturating_sub(self.refilled.now));
        let filled = self.limit.rate * (time.seconds - self.refilled.seconds);
        self.refilled = time;
        let level = (self.level + filled).min(self.limit.burst) - self.continued_rate * elapsed;
        self.level = level.max(-self.max_debt());
    }

    /// Returns the units per second, beyond their fallback shares, at which recently silent gateways may continue.
    pub fn continued_rate(&self) -> f64 {
        self.continued_rate
    }

    /// Adds a gateway that continues at `rate`. The bucket must already be refilled.
    pub fn begin_continuation(&mut self, rate: f64) {
        self.continued_rate += rate;
        self.continuing_gateways += 1;
    }

    /// Removes a gateway that continued at `rate`. The bucket must already be refilled.
    pub fn end_continuation(&mut self, rate: f64) {
        self.continuing_gateways = self.continuing_gateways.saturating_sub(1);
        let remaining_rate = (self.continued_rate - rate).max(0.0);
        self.continued_rate = if self.continuing_gateways > 0 { remaining_rate } else { 0.0 };
    }

    /// Ends the continuations of all gateways. The bucket must already be refilled.
    pub fn end_all_continuations(&mut self) {
        (self.continued_rate, self.continuing_gateways) = (0.0, 0);
    }

    /// Returns how far below 0 the level may fall: [`MAX_DEBT_S`] of the rate, or the burst if that is more.
    fn max_debt(&self) -> f64 {
        self.limit.burst.max(self.limit.rate * MAX_DEBT_S)
    }

    /// Grants the available units, up to the number requested. A throttled tenant gets none, because its requests need
    /// turns. The bucket must already be refilled.
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

    /// Grants the next turns, up to the number requested, that fall within the maximum wait. `share` is the available
    /// fraction of the pace. The bucket must already be refilled.
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
        // Urgent work comes first.
        let urgency_order = (0..request.urgent).map(|_| true).chain((0..request.reads).map(|_| false));
        for is_urgent in urgency_order.take(max_turns) {
            let next_regular_turn = throttle.next_turn.max(now);
            let is_expedited = is_urgent && next_regular_turn - now > from_micros(request.slack_us);
            let mut turn_at =
                if is_expedited { throttle.next_urgent_turn.max(now) } else { next_regular_turn };
            // Each turn is charged to the bucket like a unit. If the bucket has none, the turn is delayed until it
            // does.
            if self.limit.rate > 0.0 && self.level < 1.0 {
                turn_at = turn_at.max(now + from_seconds((1.0 - self.level) / (self.limit.rate * share)));
            }
            let max_next_turn = now + 2 * pace.max_wait;
            let yields_to_other = !is_expedited && !throttle.fairness.is_next(now, gateway);
            if yields_to_other || turn_at > now + pace.max_wait || next_regular_turn > max_next_turn {
                let excess_wait = turn_at
                    .saturating_sub(now + pace.max_wait)
                    .max(next_regular_turn.saturating_sub(max_next_turn));
                grant.retry_after_us = Some(to_micros(excess_wait.max(interval)));
                break;
            }
            if is_expedited {
                throttle.next_urgent_turn = turn_at + interval;
            }
            throttle.next_turn = next_regular_turn + interval;
            throttle.fairness.on_granted(now, gateway);
            self.level -= 1.0;
            let turns = if is_urgent { &mut grant.urgent_us } else { &mut grant.after_us };
            turns.push(to_micros(turn_at - now));
        }
        throttle.fairness.on_answered(now, gateway, grant.retry_after_us.is_some());
        grant.urgent_us.sort_unstable();
        Some(grant)
    }
}
