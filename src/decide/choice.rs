//! Selection of the server for an attempt.

use super::*;

impl Gateway {
    /// Returns the least fraction of its capacity that a server has: at worst, cold ones warm up linearly.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.since);
        if s.since == 0 || age >= self.settings.warm_up_time {
            return 1.0;
        }
        let Settings { initial_warmth, warm_up_time, .. } = self.settings;
        initial_warmth + (1.0 - initial_warmth) * age as f64 / warm_up_time as f64
    }

    /// Returns a server's expected failure share in a slot. Beyond the paper: outlier detection. A gateway
    /// seldom uses one server, so little evidence counts at once, and the fleet's mean stands in for none.
    /// Guards against failing, hung or overloaded servers per class or plan; harms the unlucky for a while.
    pub(super) fn failure_share(&self, s: &Server, slot: usize, fleet_mean: f64) -> f64 {
        let keep = (-secs(self.now - s.outcome_at) / self.decay_time()).exp();
        (keep * s.outcomes[slot].1 + 0.5 * fleet_mean) / (keep * s.outcomes[slot].0 + 0.5)
    }

    pub(super) fn worst_failure_share(&self, s: &Server, means: &[f64]) -> f64 {
        means.iter().enumerate().map(|(slot, mean)| self.failure_share(s, slot, *mean)).fold(0.0, f64::max)
    }

    /// Returns the time constant of the decay of outcomes, in seconds: a fault lasts many latency targets.
    pub(super) fn decay_time(&self) -> f64 {
        let targets = self.settings.classes.iter().map(|c| secs(c.latency_target));
        DECAY_IN_TARGETS * targets.fold(0.0, f64::max)
    }

    /// Returns the servers to consider for a request: of a large fleet a sample and the draw's cold server.
    pub(super) fn candidates(&mut self, pool: usize, draw: f64, whole_pool: bool) -> Arc<[Name]> {
        if whole_pool {
            return self.fleet.pools[pool].ready.clone();
        }
        if self.fleet.pools[pool].subset.len() <= MAX_SCANNED {
            return self.fleet.pools[pool].subset.clone();
        }
        let (warm, rng) = (&self.fleet.pools[pool].warm, &mut self.rng);
        let n = warm.len();
        let mut sampled: Vec<Name> = (0..SAMPLE_SIZE.min(n)).map(|_| warm[rng.usize(..n)].clone()).collect();
        sampled.extend(self.cold_server(pool, draw).cloned());
        sampled.into()
    }

    /// Returns a server with the lowest or nearly the lowest cost among those that can take this request.
    pub(super) fn choose(&mut self, id: RequestId, whole_pool: bool) -> Option<Name> {
        let (pool, draw) = (self.pending[&id].pool, self.pending[&id].cold_draw);
        let candidates = self.candidates(pool, draw, whole_pool);
        let req = &self.pending[&id];
        let class = &self.settings.classes[req.class];
        let classes = self.settings.classes.len();
        let (class_avg, plan_avg) = (self.fleet.failures[req.class], self.fleet.failures[classes + req.plan]);
        let drawn_cold = self.cold_server(pool, draw);
        // Cost of a failure in mean latencies; doubled if the request can't be retried.
        let failure_cost = if class.effect == Effect::Unsafe { 2.0 * FAILURE_COST } else { FAILURE_COST };
        let failure_cost = failure_cost * secs(class.latency_target) / self.latency[req.class].max(1e-9);
        let mut found: Vec<(bool, f64, f64, &Name)> = Vec::new();
        for name in &*candidates {
            let Some(s) = self.servers.get(name).filter(|s| s.health == Health::Up) else { continue };
            let warmth = self.warmth(s);
            let at_capacity = f64::from(s.in_flight) + 1.0 > (s.capacity * warmth).max(1.0);
            if warmth < 1.0 && drawn_cold != Some(name) || at_capacity {
                continue;
            }
            if let Some((first, zone, cell)) = req.executed {
                let same_group = match class.group {
                    Group::All => true,
                    Group::Zone => zone == s.zone,
                    Group::Cell => cell == s.cell,
                };
                let key_expired = self.now + self.settings.tick >= first + class.key_ttl;
                if class.effect == Effect::Keyed && (key_expired || !same_group) {
                    continue;
                }
            }
            let was_tried = req.tried.contains(name);
            // An old load report decays to the fleet's mean, never to idle.
            let age = secs(self.now.saturating_sub(s.reported_at));
            let freshness = (-age / secs(class.latency_target).max(1e-9)).exp();
            let others_load = self.mean_load + (s.load - self.mean_load) * freshness;
            let silence = secs(self.now - s.last_heard_at.min(self.now)) / self.latency[req.class].max(1e-9);
            let hang_factor = if s.in_flight > 0 { (silence / 3.0).max(1.0) } else { 1.0 };
            let price = if s.zone == self.settings.zone { 1.0 } else { 1.0 + self.settings.cross_zone_price };
            let load = f64::from(s.in_flight) + others_load + 1.0;
            // The measured slowness decays while the server is unused, or it would never be used again.
            let idle = if s.in_flight > 0 { 0.0 } else { silence / 16.0 };
            let slowness = 1.0 + (s.slowness - 1.0) * (-idle).exp();
            let wait = load * slowness * hang_factor * price / s.rating.max(1e-9);
            let class_failures = self.failure_share(s, req.class, class_avg);
            let failures = class_failures + self.failure_share(s, classes + req.plan, plan_avg);
            found.push((was_tried, wait + failure_cost * failures, wait, name));
        }
        let (was_tried, lowest_cost, wait, _) =
            *found.iter().min_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).expect("finite"))?;
        // Beyond the paper: one of the near-best servers is drawn at random, from a wider range with more
        // gateways, or all gateways would follow one report, or one name, to the same server.
        let width = NEAR_BEST_WIDTH * wait * (1.0 - 2.0 / f64::from(self.settings.gateways)).max(0.0);
        found.retain(|f| f.0 == was_tried && f.1 <= lowest_cost + width);
        // The draw's cold server gets its share if it is near the best: with many gateways some warm server
        // always seems idle, so the cold one would get nothing while the warm ones are overloaded.
        if let Some(cold) = drawn_cold.filter(|cold| found.iter().any(|f| f.3 == *cold)) {
            return Some(cold.clone());
        }
        let index = self.rng.usize(..found.len());
        Some(found[index].3.clone())
    }

    pub(super) fn send_attempt(&mut self, id: RequestId, server: Name, out: &mut Vec<Action>) {
        let (now, decay_time) = (self.now, self.decay_time());
        let req = self.pending.get_mut(&id).expect("a pending request");
        let s = self.servers.get_mut(&server).expect("a known server");
        // No early timeout: slow attempts are mostly expensive ones, not hung, and as slow elsewhere.
        let attempt_deadline = req.deadline;
        if s.in_flight == 0 {
            s.last_heard_at = now;
        }
        s.in_flight += 1;
        let is_first = req.sends == 0;
        if let Some(c) = self.customers.get_mut(&req.customer) {
            c.in_flight += 1;
            c.ceiling -= if is_first { req.units } else { 0.0 };
        }
        if is_first {
            let max_budget = 1.0 + RETRY_RATIO * self.sent_rate * decay_time;
            self.retry_budget = (self.retry_budget + RETRY_RATIO).min(max_budget);
        }
        let (server_name, attempt) = (server.clone(), req.sends);
        req.attempt = Some(InFlight { server: server_name, sent_at: now, attempt, cancelled: false });
        req.sends += 1;
        let base = RESOURCES * req.pool;
        self.schedulers[base].in_flight += 1.0;
        self.schedulers[base + 1].in_flight += req.units;
        self.sent_rate = self.sent_rate * (-secs(now - self.sent_at) / decay_time).exp() + 1.0 / decay_time;
        self.sent_at = now;
        out.push(Action::Send { id, server, attempt_deadline });
    }
}
