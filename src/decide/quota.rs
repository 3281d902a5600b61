//! Customers' quotas: the store of units, the chance of being admitted, the meter's readings.

use super::*;

impl Gateway {
    /// Brings a customer's store and averages up to now.
    pub(super) fn advance_customer(&mut self, name: &Name) {
        let (now, period, mean) = (self.now, secs(self.settings.meter_period), self.mean_units);
        let Some(c) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[c.plan];
        let rate = effective_rate(plan, mean, self.attempt_time);
        let dt = secs(now - c.at);
        if dt <= 0.0 {
            return;
        }
        c.at = now;
        c.ceiling = (c.ceiling + dt * plan.hard_limit_rate / c.spread).min(plan.hard_limit_burst / c.spread);
        if plan.rate <= 0.0 {
            return;
        }
        // The true store owes next to nothing: excess requests take no units of it.
        c.level = c.level.max(-MAX_DEBT_FRACTION * plan.depth);
        // What the meter shows unused of the rate, the true store still holds: half of it, in own units, goes
        // to each gateway that is short, so that shares move to where the demand is.
        let unused = if c.level < 0.0 && c.metered_at > 0 { plan.rate - c.metered_long } else { 0.0 };
        let (local, demand) = (c.local_evidence(plan, mean), c.metered_demand(plan, mean));
        c.level = (c.level + dt * local * (plan.rate + 0.5 * c.spread * unused.max(0.0))).min(plan.depth);
        // The wider the spread, the less own traffic tells, and the more the meter drains the store.
        let drained = c.level + dt * (1.0 - local) * (rate - demand);
        c.level = drained.clamp(c.level.min(0.0), plan.depth);
        let fade = (-dt / (METER_MEMORY * averaging_time(period, plan))).exp();
        (c.told, c.span) = (c.told * fade, (c.span + OWN_REQUEST_WEIGHT * dt / c.spread) * fade);
        let keep = (-dt / averaging_time(period, plan)).exp();
        c.share_then += ((rate / demand.max(1e-9)).min(1.0) - c.share_then) * (1.0 - keep);
        c.passed_then += (c.passed - c.passed_then) * (1.0 - keep);
        if c.metered_at > 0 {
            let long = keep.sqrt();
            c.passed_long += (c.passed_then - c.passed_long) * (1.0 - long);
            c.metered_long += (c.metered - c.metered_long) * (1.0 - long);
        }
        c.asked *= keep;
        c.passed *= keep;
        // A customer that is refused entirely causes no more readings: a reading ages out.
        if secs(now - c.metered_at) > 4.0 * averaging_time(period, plan) {
            c.metered *= keep;
        }
    }

    /// Whether the store of the customer's plan, or else chance, admits this request.
    pub(super) fn within_quota(&mut self, r: &Request) -> bool {
        let now = self.now;
        let (mean, plan) = (self.mean_units, &self.settings.plans[r.plan]);
        let (depth, rate) = (plan.depth, plan.rate);
        let filled = (secs(now - self.started_at) * plan.hard_limit_rate).min(plan.hard_limit_burst);
        let tau = averaging_time(secs(self.settings.meter_period), plan);
        let c = self.customers.entry(r.customer.clone()).or_insert(Customer {
            plan: r.plan,
            spread: 1.0,
            seen: now,
            at: now,
            level: depth,
            // A restart looks like a first start, and must not refill the hard limit.
            ceiling: filled / r.spread.max(1) as f64,
            share_then: 1.0,
            ..Customer::default()
        });
        c.seen = now;
        c.plan = r.plan;
        c.spread = c.spread.max(r.spread as f64);
        self.advance_customer(&r.customer);
        if rate <= 0.0 {
            return true;
        }
        let draw = self.rng.f64();
        let queued = self.has_waiting();
        let plan = &self.settings.plans[r.plan];
        let c = self.customers.get_mut(&r.customer).expect("entered above");
        c.asked += r.units / tau;
        let used = if c.metered_at > 0 { (2.0 * c.metered / rate).min(1.0) } else { 1.0 };
        c.told += OWN_REQUEST_WEIGHT * used * r.units;
        let local = c.local_evidence(plan, mean);
        let asked = c.total_demand(plan, mean);
        let cost = if plan.over_quota_cost > plan.over_quota_value { plan.over_quota_cost } else { 1.0 };
        let missing = ((r.units - c.level) / mean.max(1e-9)).max(0.0);
        let short = missing * SHORTAGE_STEEPNESS * cost * local + 1.0 - local;
        let rate = effective_rate(plan, mean, self.attempt_time);
        let chance = 1.0 - (rate / asked.max(1e-9)).min(1.0).powf(short);
        // Beyond the paper: excess that earns more than it costs is refused only under pressure.
        let welcome = plan.over_quota_value > plan.over_quota_cost && self.open > PRESSED_BELOW && !queued;
        let pass = c.level >= r.units || draw >= chance || welcome;
        if pass {
            c.level -= r.units * c.store_weight(plan, mean);
            c.passed += r.units / tau;
        }
        pass
    }

    /// Beyond the paper: a plan's cap on attempts out at once and its ceiling, kept alone, by shares.
    pub(super) fn is_within_caps(&mut self, id: RequestId) -> bool {
        let h = &self.pending[&id];
        let (name, units, sends) = (h.customer.clone(), h.units, h.sends);
        if h.leased {
            return !h.awaited;
        }
        self.advance_customer(&name);
        let Some(c) = self.customers.get(&name) else { return true };
        let plan = &self.settings.plans[c.plan];
        let cap = (f64::from(plan.parallel) / c.spread).floor().max(1.0);
        let capped = plan.parallel > 0 && f64::from(c.out) >= cap;
        let over = plan.hard_limit_rate > 0.0 && sends == 0 && c.ceiling < units;
        !capped && !over
    }

    /// What an answer tells of its customer: true units, and the meter.
    pub(super) fn record_usage(&mut self, customer: &Name, units: f64, e: &AttemptEnd) {
        self.advance_customer(customer);
        let (now, after, mean) = (self.now, self.settings.settles_cost, self.mean_units);
        let period = secs(self.settings.meter_period);
        let Some(c) = self.customers.get_mut(customer) else { return };
        c.out = c.out.saturating_sub(1);
        let plan = &self.settings.plans[c.plan];
        if after && e.ending == Ending::Success && e.settled > 0.0 {
            c.level = (c.level + (units - e.settled) * c.store_weight(plan, mean)).min(plan.depth);
        }
        if let Some(share) = e.metered.filter(|_| plan.rate > 0.0) {
            // Others are taken to refuse as this gateway did, or less where the rate is exceeded.
            let span = period.min(secs(now - c.metered_at));
            let passed = c.share_then.min(share.max(1.0).powi(-4).max(0.1));
            c.told += span * share * plan.rate;
            c.span += span * passed;
            if c.metered_at == 0 {
                let over = c.metered_demand(plan, mean) - plan.rate;
                let unseen = 1.0 - c.local_evidence(plan, mean);
                c.level -= unseen * over.max(0.0) * averaging_time(period, plan);
            }
            (c.metered, c.metered_at) = (share * plan.rate, now);
        }
    }

    /// Forgets customers without requests for so long that their store has refilled.
    pub(super) fn forget_idle_customers(&mut self) {
        let (now, s) = (self.now, &self.settings);
        if now - self.swept_at < nanos(1.0).max(s.meter_period) {
            return;
        }
        self.swept_at = now;
        self.customers.retain(|_, c| {
            let plan = &s.plans[c.plan];
            let memory = METER_MEMORY * averaging_time(secs(s.meter_period), plan);
            c.out > 0 || secs(now - c.seen) < memory + plan.depth / plan.rate.max(0.01)
        });
    }
}

impl Customer {
    /// How much own traffic tells of the whole: near 1 where the store holds many requests of this gateway's
    /// even share, near 0 where it holds a fraction of one and only the meter knows.
    pub(super) fn local_evidence(&self, plan: &Plan, mean: f64) -> f64 {
        let n = plan.depth / (self.spread * mean.max(1e-9));
        n / (n + LOCAL_EVIDENCE_SCALE)
    }

    /// How many units of the store one unit admitted here stands for, as far as own traffic tells.
    pub(super) fn store_weight(&self, plan: &Plan, mean: f64) -> f64 {
        1.0 + (1.0 / self.own_part(plan.rate) - 1.0) * self.local_evidence(plan, mean)
    }

    /// The customer's demand over all gateways, by own traffic and by the meter.
    pub(super) fn total_demand(&self, plan: &Plan, mean: f64) -> f64 {
        let local = self.local_evidence(plan, mean);
        local * self.asked / self.own_part(plan.rate) + (1.0 - local) * self.metered_demand(plan, mean)
    }

    /// The demand over all gateways by the meter, in units a second; little evidence is drawn towards a bit
    /// over half of the rate by a prior that weighs as one request.
    pub(super) fn metered_demand(&self, plan: &Plan, mean: f64) -> f64 {
        let prior = mean / plan.rate.max(1e-9);
        (self.told + 0.6 * plan.rate * prior) / (self.span + prior).max(1e-9)
    }

    /// This gateway's share of the customer's use by the meter; an even share before any reading.
    pub(super) fn own_part(&self, rate: f64) -> f64 {
        let prior = EVEN_SHARE_WEIGHT * rate;
        let share = (self.passed_long + prior / self.spread) / (self.metered_long + prior);
        share.clamp(0.25 / self.spread, 1.0)
    }
}

/// How long the averages of a customer remember: the time to fill its store, and a meter's period at least.
pub(super) fn averaging_time(period: f64, plan: &Plan) -> f64 {
    (plan.depth / plan.rate.max(1e-9)).clamp(0.1, 10.0).max(period)
}

/// Beyond the paper: the rate that a plan's quotas admit. A cap on concurrent attempts is a rate too: the cap
/// over an attempt's duration, less what chance needs to stay under it.
pub(super) fn effective_rate(plan: &Plan, mean: f64, attempt_time: f64) -> f64 {
    match plan.parallel {
        0 => plan.rate,
        n => plan.rate.min(CAP_UTILISATION * f64::from(n) * mean / attempt_time.max(1e-9)),
    }
}
