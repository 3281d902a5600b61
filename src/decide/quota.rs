//! Customers' quotas: token buckets, admission probability and meter readings.

use super::*;

impl Gateway {
    /// Advances a customer's buckets and averages to the present.
    pub(super) fn advance_customer(&mut self, name: &Name) {
        let (now, period, mean) = (self.now, secs(self.settings.meter_period), self.mean_units);
        let Some(c) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[c.plan];
        let rate = effective_rate(plan, mean, self.attempt_time);
        let dt = secs(now - c.updated_at);
        if dt <= 0.0 {
            return;
        }
        c.updated_at = now;
        c.ceiling = (c.ceiling + dt * plan.hard_limit_rate / c.spread).min(plan.hard_limit_burst / c.spread);
        if plan.rate <= 0.0 {
            return;
        }
        // The true bucket has almost no debt: requests over the quota take no units from it.
        c.level = c.level.max(-MAX_DEBT_FRACTION * plan.depth);
        // The true bucket still holds what the meter shows unused of the rate. Half of it, in local units,
        // goes to each gateway in debt, so that shares move to where the demand is.
        let unused = if c.level < 0.0 && c.metered_at > 0 { plan.rate - c.metered_long } else { 0.0 };
        let (local, demand) = (c.local_evidence(plan, mean), c.metered_demand(plan, mean));
        c.level = (c.level + dt * local * (plan.rate + 0.5 * c.spread * unused.max(0.0))).min(plan.depth);
        // The wider the spread, the less local traffic shows, and the more the meter drains the bucket.
        let drained = c.level + dt * (1.0 - local) * (rate - demand);
        c.level = drained.clamp(c.level.min(0.0), plan.depth);
        let decay = (-dt / (METER_DECAY * averaging_time(period, plan))).exp();
        (c.evidence_units, c.evidence_secs) =
            (c.evidence_units * decay, (c.evidence_secs + LOCAL_REQUEST_WEIGHT * dt / c.spread) * decay);
        let keep = (-dt / averaging_time(period, plan)).exp();
        c.admit_share_lagged += ((rate / demand.max(1e-9)).min(1.0) - c.admit_share_lagged) * (1.0 - keep);
        c.admitted_lagged += (c.admitted - c.admitted_lagged) * (1.0 - keep);
        if c.metered_at > 0 {
            let keep_long = keep.sqrt();
            c.admitted_long += (c.admitted_lagged - c.admitted_long) * (1.0 - keep_long);
            c.metered_long += (c.metered - c.metered_long) * (1.0 - keep_long);
        }
        c.requested *= keep;
        c.admitted *= keep;
        // A customer whose requests are all refused causes no new readings: the last one decays.
        if secs(now - c.metered_at) > 4.0 * averaging_time(period, plan) {
            c.metered *= keep;
        }
    }

    /// Returns whether the bucket of the customer's plan, or else chance, admits this request.
    pub(super) fn within_quota(&mut self, req: &Request) -> bool {
        let now = self.now;
        let (mean, plan) = (self.mean_units, &self.settings.plans[req.plan]);
        let (depth, rate) = (plan.depth, plan.rate);
        let refilled = (secs(now - self.started_at) * plan.hard_limit_rate).min(plan.hard_limit_burst);
        let tau = averaging_time(secs(self.settings.meter_period), plan);
        let c = self.customers.entry(req.customer.clone()).or_insert(Customer {
            plan: req.plan,
            spread: 1.0,
            seen: now,
            updated_at: now,
            level: depth,
            // A restart looks like a first start and must not refill the hard limit.
            ceiling: refilled / req.spread.max(1) as f64,
            admit_share_lagged: 1.0,
            ..Customer::default()
        });
        c.seen = now;
        c.plan = req.plan;
        c.spread = c.spread.max(req.spread as f64);
        self.advance_customer(&req.customer);
        if rate <= 0.0 {
            return true;
        }
        let draw = self.rng.f64();
        let queued = self.has_waiting();
        let plan = &self.settings.plans[req.plan];
        let c = self.customers.get_mut(&req.customer).expect("entered above");
        c.requested += req.units / tau;
        let utilisation = if c.metered_at > 0 { (2.0 * c.metered / rate).min(1.0) } else { 1.0 };
        c.evidence_units += LOCAL_REQUEST_WEIGHT * utilisation * req.units;
        let local = c.local_evidence(plan, mean);
        let demand = c.total_demand(plan, mean);
        let cost = if plan.over_quota_cost > plan.over_quota_value { plan.over_quota_cost } else { 1.0 };
        let missing_requests = ((req.units - c.level) / mean.max(1e-9)).max(0.0);
        let exponent = missing_requests * SHORTAGE_STEEPNESS * cost * local + 1.0 - local;
        let rate = effective_rate(plan, mean, self.attempt_time);
        let refusal_chance = 1.0 - (rate / demand.max(1e-9)).min(1.0).powf(exponent);
        // Beyond the paper: excess that earns more than it costs is refused only under pressure.
        let pays_off = plan.over_quota_value > plan.over_quota_cost && self.usable > PRESSED_BELOW && !queued;
        let admitted = c.level >= req.units || draw >= refusal_chance || pays_off;
        if admitted {
            c.level -= req.units * c.bucket_weight(plan, mean);
            c.admitted += req.units / tau;
        }
        admitted
    }

    /// Beyond the paper: checks this gateway's share of the cap on concurrent attempts and the hard limit.
    pub(super) fn is_within_caps(&mut self, id: RequestId) -> bool {
        let req = &self.pending[&id];
        let (name, units, sends) = (req.customer.clone(), req.units, req.sends);
        if req.leased {
            return !req.awaiting;
        }
        self.advance_customer(&name);
        let Some(c) = self.customers.get(&name) else { return true };
        let plan = &self.settings.plans[c.plan];
        let cap = (f64::from(plan.parallel) / c.spread).floor().max(1.0);
        let at_cap = plan.parallel > 0 && f64::from(c.in_flight) >= cap;
        let over_hard_limit = plan.hard_limit_rate > 0.0 && sends == 0 && c.ceiling < units;
        !at_cap && !over_hard_limit
    }

    /// Updates a customer from the end of an attempt: its actual units, and the meter's reading.
    pub(super) fn record_usage(&mut self, customer: &Name, units: f64, end: &AttemptEnd) {
        self.advance_customer(customer);
        let (now, settles_cost, mean) = (self.now, self.settings.settles_cost, self.mean_units);
        let period = secs(self.settings.meter_period);
        let Some(c) = self.customers.get_mut(customer) else { return };
        c.in_flight = c.in_flight.saturating_sub(1);
        let plan = &self.settings.plans[c.plan];
        if settles_cost && end.ending == Ending::Success && end.settled > 0.0 {
            c.level = (c.level + (units - end.settled) * c.bucket_weight(plan, mean)).min(plan.depth);
        }
        if let Some(share) = end.metered.filter(|_| plan.rate > 0.0) {
            // Others are assumed to admit the same share as this gateway, or less above the rate.
            let covered_secs = period.min(secs(now - c.metered_at));
            let admit_share = c.admit_share_lagged.min(share.max(1.0).powi(-4).max(0.1));
            c.evidence_units += covered_secs * share * plan.rate;
            c.evidence_secs += covered_secs * admit_share;
            if c.metered_at == 0 {
                let excess = c.metered_demand(plan, mean) - plan.rate;
                let meter_weight = 1.0 - c.local_evidence(plan, mean);
                c.level -= meter_weight * excess.max(0.0) * averaging_time(period, plan);
            }
            (c.metered, c.metered_at) = (share * plan.rate, now);
        }
    }

    /// Removes customers that have been idle for so long that their bucket is full again.
    pub(super) fn evict_idle_customers(&mut self) {
        let (now, s) = (self.now, &self.settings);
        if now - self.swept_at < nanos(1.0).max(s.meter_period) {
            return;
        }
        self.swept_at = now;
        self.customers.retain(|_, c| {
            let plan = &s.plans[c.plan];
            let retention = METER_DECAY * averaging_time(secs(s.meter_period), plan);
            c.in_flight > 0 || secs(now - c.seen) < retention + plan.depth / plan.rate.max(0.01)
        });
    }
}

impl Customer {
    /// Returns the weight of local traffic as evidence: near 1 where the bucket holds many requests of the
    /// gateway's even share, near 0 where it holds a fraction of one and only the meter shows the demand.
    pub(super) fn local_evidence(&self, plan: &Plan, mean: f64) -> f64 {
        let n = plan.depth / (self.spread * mean.max(1e-9));
        n / (n + LOCAL_EVIDENCE_SCALE)
    }

    /// Returns how many units of the bucket one unit admitted here stands for, as far as local traffic shows.
    pub(super) fn bucket_weight(&self, plan: &Plan, mean: f64) -> f64 {
        1.0 + (1.0 / self.own_share(plan.rate) - 1.0) * self.local_evidence(plan, mean)
    }

    /// Returns the customer's demand over all gateways, from local traffic and the meter.
    pub(super) fn total_demand(&self, plan: &Plan, mean: f64) -> f64 {
        let local = self.local_evidence(plan, mean);
        local * self.requested / self.own_share(plan.rate) + (1.0 - local) * self.metered_demand(plan, mean)
    }

    /// Returns the metered demand over all gateways, in units per second. A prior that weighs as one request
    /// draws it to just over half of the rate where evidence is scarce.
    pub(super) fn metered_demand(&self, plan: &Plan, mean: f64) -> f64 {
        let prior = mean / plan.rate.max(1e-9);
        (self.evidence_units + 0.6 * plan.rate * prior) / (self.evidence_secs + prior).max(1e-9)
    }

    /// Returns this gateway's share of the customer's use by the meter; an even share before any reading.
    pub(super) fn own_share(&self, rate: f64) -> f64 {
        let prior = EVEN_SHARE_WEIGHT * rate;
        let share = (self.admitted_long + prior / self.spread) / (self.metered_long + prior);
        share.clamp(0.25 / self.spread, 1.0)
    }
}

/// Returns the time constant of a customer's averages: its bucket's fill time, at least a meter's period.
pub(super) fn averaging_time(period: f64, plan: &Plan) -> f64 {
    (plan.depth / plan.rate.max(1e-9)).clamp(0.1, 10.0).max(period)
}

/// Beyond the paper: returns the rate that a plan's quotas admit. A cap on concurrent attempts implies a
/// rate: the cap over an attempt's duration, less the margin that random arrivals need.
pub(super) fn effective_rate(plan: &Plan, mean: f64, attempt_time: f64) -> f64 {
    match plan.parallel {
        0 => plan.rate,
        n => plan.rate.min(CAP_UTILISATION * f64::from(n) * mean / attempt_time.max(1e-9)),
    }
}
