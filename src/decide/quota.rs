//! Customers' quotas: the store, the chance, what the meter tells.

use super::*;

impl Gateway {
    /// Brings a customer's store and averages up to now.
    pub(super) fn advance(&mut self, name: &Name) {
        let (now, period, mean) = (self.now, secs(self.s.meter_period), self.mean_units);
        let Some(c) = self.customers.get_mut(name) else { return };
        let plan = &self.s.plans[c.plan];
        let rate = within(plan, mean, self.hold);
        let dt = secs(now - c.at);
        if dt <= 0.0 {
            return;
        }
        c.at = now;
        c.ceiling = (c.ceiling + dt * plan.ceiling_rate / c.spread).min(plan.ceiling_burst / c.spread);
        if plan.rate <= 0.0 {
            return;
        }
        // The true store owes next to nothing: what is beyond the quota takes no units of it.
        c.level = c.level.max(-DEBT * plan.depth);
        // What the meter shows unused of the rate, the true store has kept: half of it, in own units, goes to
        // each gateway that is short, so that a share moves to where it is asked for.
        let unused = if c.level < 0.0 && c.metered_at > 0 { plan.rate - c.metered_long } else { 0.0 };
        let (local, demand) = (c.local(plan, mean), c.demand(plan, mean));
        c.level = (c.level + dt * local * (plan.rate + 0.5 * c.spread * unused.max(0.0))).min(plan.depth);
        // The wider the spread, the less own traffic tells and the more the meter's word drains the store.
        let drained = c.level + dt * (1.0 - local) * (rate - demand);
        c.level = drained.clamp(c.level.min(0.0), plan.depth);
        let fade = (-dt / (SPAN * memory(period, plan))).exp();
        (c.told, c.span) = (c.told * fade, (c.span + OWN * dt / c.spread) * fade);
        let keep = (-dt / memory(period, plan)).exp();
        c.share_then += ((rate / demand.max(1e-9)).min(1.0) - c.share_then) * (1.0 - keep);
        c.passed_then += (c.passed - c.passed_then) * (1.0 - keep);
        if c.metered_at > 0 {
            let long = keep.sqrt();
            c.passed_long += (c.passed_then - c.passed_long) * (1.0 - long);
            c.metered_long += (c.metered - c.metered_long) * (1.0 - long);
        }
        c.asked *= keep;
        c.passed *= keep;
        // A customer refused entirely sends no more readings: a reading ages out.
        if secs(now - c.metered_at) > 4.0 * memory(period, plan) {
            c.metered *= keep;
        }
    }

    /// The store of the customer's plan, then the chance: may this request pass?
    pub(super) fn within_quota(&mut self, r: &Request) -> bool {
        let now = self.now;
        let (mean, plan) = (self.mean_units, &self.s.plans[r.plan]);
        let (depth, rate) = (plan.depth, plan.rate);
        let filled =
            (secs(now - self.born) * plan.ceiling_rate).min(plan.ceiling_burst) / r.spread.max(1) as f64;
        let tau = memory(secs(self.s.meter_period), plan);
        let c = self.customers.entry(r.customer.clone()).or_insert(Customer {
            plan: r.plan,
            spread: 1.0,
            seen: now,
            at: now,
            level: depth,
            // An instance cannot tell a restart from a first start, and a restart must not refill the
            // ceiling: its store was empty when this gateway began, and nothing went out here since.
            ceiling: filled,
            share_then: 1.0,
            ..Customer::default()
        });
        c.seen = now;
        c.plan = r.plan;
        c.spread = c.spread.max(r.spread as f64);
        self.advance(&r.customer);
        if rate <= 0.0 {
            return true;
        }
        let draw = self.rng.f64();
        let queued = self.waits();
        let plan = &self.s.plans[r.plan];
        let c = self.customers.get_mut(&r.customer).expect("entered above");
        c.asked += r.units / tau;
        let used = if c.metered_at > 0 { (2.0 * c.metered / rate).min(1.0) } else { 1.0 };
        c.told += OWN * used * r.units;
        let local = c.local(plan, mean);
        let asked = c.asks(plan, mean);
        let cost = if plan.over_cost > plan.over_worth { plan.over_cost } else { 1.0 };
        // The chance is met once for each quarter of a request's worth that the store is short of.
        let short = ((r.units - c.level) / mean.max(1e-9)).max(0.0) * SHORT * cost * local + 1.0 - local;
        let rate = within(plan, mean, self.hold);
        let chance = 1.0 - (rate / asked.max(1e-9)).min(1.0).powf(short);
        // Beyond the paper: where a plan says that what is beyond its quota earns more than it costs, it is
        // refused only while the back end is pressed.
        let welcome = plan.over_worth > plan.over_cost && self.open > PRESSED && !queued;
        let pass = c.level >= r.units || draw >= chance || welcome;
        if pass {
            c.level -= r.units * c.weight(plan, mean);
            c.passed += r.units / tau;
        }
        pass
    }

    /// Beyond the paper: a plan's cap on attempts out at once and its ceiling, kept alone, by shares.
    pub(super) fn may_go(&mut self, id: RequestId) -> bool {
        let h = &self.held[&id];
        let (name, units, sends) = (h.customer.clone(), h.units, h.sends);
        if h.leased {
            return !h.awaited;
        }
        self.advance(&name);
        let Some(c) = self.customers.get(&name) else { return true };
        let plan = &self.s.plans[c.plan];
        let cap = (f64::from(plan.parallel) / c.spread).floor().max(1.0);
        let capped = plan.parallel > 0 && f64::from(c.out) >= cap;
        let over = plan.ceiling_rate > 0.0 && sends == 0 && c.ceiling < units;
        !capped && !over
    }

    /// What an answer tells of its customer: true units, and the meter.
    pub(super) fn settle(&mut self, customer: &Name, units: f64, e: &AttemptEnd) {
        self.advance(customer);
        let (now, after, mean) = (self.now, self.s.cost_after, self.mean_units);
        let period = secs(self.s.meter_period);
        let Some(c) = self.customers.get_mut(customer) else { return };
        c.out = c.out.saturating_sub(1);
        let plan = &self.s.plans[c.plan];
        if after && e.ending == Ending::Pass && e.settled > 0.0 {
            c.level = (c.level + (units - e.settled) * c.weight(plan, mean)).min(plan.depth);
        }
        if let Some(share) = e.metered.filter(|_| plan.rate > 0.0) {
            // Others are taken to refuse as this gateway did, or, where the meter shows the rate exceeded all
            // the same, a good part of it: at a wide spread hardly any of them knew.
            let span = period.min(secs(now - c.metered_at));
            let passed = c.share_then.min(share.max(1.0).powi(-4).max(0.1));
            c.told += span * share * plan.rate;
            c.span += span * passed;
            if c.metered_at == 0 {
                let over = c.demand(plan, mean) - plan.rate;
                c.level -= (1.0 - c.local(plan, mean)) * over.max(0.0) * memory(period, plan);
            }
            (c.metered, c.metered_at) = (share * plan.rate, now);
        }
    }

    /// Forgets customers long quiet.
    pub(super) fn sweep(&mut self) {
        let (now, s) = (self.now, &self.s);
        if now - self.swept < nanos(1.0).max(s.meter_period) {
            return;
        }
        self.swept = now;
        self.customers.retain(|_, c| {
            let plan = &s.plans[c.plan];
            let quiet = SPAN * memory(secs(s.meter_period), plan) + plan.depth / plan.rate.max(0.01);
            c.out > 0 || secs(now - c.seen) < quiet
        });
    }
}

impl Customer {
    /// How much own traffic tells of the whole: near 1 where the store holds many requests of this gateway's
    /// even part, near 0 where it holds a fraction of one and only the meter knows.
    pub(super) fn local(&self, plan: &Plan, mean: f64) -> f64 {
        let n = plan.depth / (self.spread * mean.max(1e-9));
        n / (n + LOCAL)
    }

    /// How many units of the store one that passes here stands for: what others pass beside it is known at
    /// once so far as own traffic tells of it.
    pub(super) fn weight(&self, plan: &Plan, mean: f64) -> f64 {
        1.0 + (1.0 / self.part(plan.rate) - 1.0) * self.local(plan, mean)
    }

    /// What the customer asks over all gateways, by own traffic and by the meter.
    pub(super) fn asks(&self, plan: &Plan, mean: f64) -> f64 {
        let local = self.local(plan, mean);
        local * self.asked / self.part(plan.rate) + (1.0 - local) * self.demand(plan, mean)
    }

    /// What the customer asks over all gateways by the meter, in units a second; little evidence is drawn
    /// towards a bit over half of the rate by a guess that weighs as one request.
    pub(super) fn demand(&self, plan: &Plan, mean: f64) -> f64 {
        let prior = mean / plan.rate.max(1e-9);
        (self.told + 0.6 * plan.rate * prior) / (self.span + prior).max(1e-9)
    }

    /// This gateway's part of the customer's use, by the meter; before it tells, an even part.
    pub(super) fn part(&self, rate: f64) -> f64 {
        let prior = EVEN * rate;
        ((self.passed_long + prior / self.spread) / (self.metered_long + prior))
            .clamp(0.25 / self.spread, 1.0)
    }
}

/// How long the averages of a customer remember: the time to fill its store, and a meter's period at least.
pub(super) fn memory(period: f64, plan: &Plan) -> f64 {
    (plan.depth / plan.rate.max(1e-9)).clamp(0.1, 10.0).max(period)
}

/// Beyond the paper: the rate that a plan's quotas let through. A cap on attempts out at once is a rate too:
/// the cap over how long an attempt is out, less what chance needs to stay under it.
pub(super) fn within(plan: &Plan, mean: f64, hold: f64) -> f64 {
    match plan.parallel {
        0 => plan.rate,
        n => plan.rate.min(OPEN_USE * f64::from(n) * mean / hold.max(1e-9)),
    }
}
