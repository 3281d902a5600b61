//! Which server takes an attempt.

use super::*;

impl Gateway {
    /// The fraction of its capacity that a server has at least; cold ones warm up linearly, at worst.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.since);
        if s.since == 0 || age >= self.settings.warm_up_time {
            return 1.0;
        }
        let Settings { initial_warmth, warm_up_time, .. } = self.settings;
        initial_warmth + (1.0 - initial_warmth) * age as f64 / warm_up_time as f64
    }

    /// The failure share to expect of a server in a slot. Beyond the paper: outlier detection. A gateway
    /// seldom sees one server, so little evidence counts at once, and the fleet's mean stands in for none.
    /// Guards against servers that fail, hang or are overloaded for some class or plan; harms the unlucky for
    /// a while.
    pub(super) fn failure_share(&self, s: &Server, slot: usize, pool: f64) -> f64 {
        let keep = (-secs(self.now - s.outcome_at) / self.memory()).exp();
        (keep * s.outcomes[slot].1 + 0.5 * pool) / (keep * s.outcomes[slot].0 + 0.5)
    }

    /// The largest failure share over all slots.
    pub(super) fn worst_failure_share(&self, s: &Server, pool: &[f64]) -> f64 {
        pool.iter().enumerate().map(|(slot, mean)| self.failure_share(s, slot, *mean)).fold(0.0, f64::max)
    }

    /// How long outcomes are remembered, in seconds: a fault lasts many latency targets.
    pub(super) fn memory(&self) -> f64 {
        let targets = self.settings.classes.iter().map(|c| secs(c.latency_target));
        MEMORY_IN_TARGETS * targets.fold(0.0, f64::max)
    }

    /// The servers that one request considers; of a large fleet a sample and the cold server of its draw.
    pub(super) fn candidates(&mut self, pool: usize, draw: f64, all: bool) -> Arc<[Name]> {
        if all {
            return self.fleet.pools[pool].ready.clone();
        }
        if self.fleet.pools[pool].kept.len() <= SMALL_FLEET {
            return self.fleet.pools[pool].kept.clone();
        }
        let (warm, rng) = (&self.fleet.pools[pool].warm, &mut self.rng);
        let n = warm.len();
        let mut drawn: Vec<Name> = (0..SAMPLE_SIZE.min(n)).map(|_| warm[rng.usize(..n)].clone()).collect();
        drawn.extend(self.cold_server(pool, draw).cloned());
        drawn.into()
    }

    /// A server with the least expected wait, or nearly, among those that may take this request.
    pub(super) fn choose(&mut self, id: RequestId, all: bool) -> Option<Name> {
        let (pool, draw) = (self.pending[&id].pool, self.pending[&id].cold_draw);
        let candidates = self.candidates(pool, draw, all);
        let h = &self.pending[&id];
        let class = &self.settings.classes[h.class];
        let classes = self.settings.classes.len();
        let (class_pool, plan_pool) = (self.fleet.bad[h.class], self.fleet.bad[classes + h.plan]);
        let opened = self.cold_server(pool, draw);
        // What a failure costs, in typical latencies; twice if the request can't be repeated.
        let loss = if class.effect == Effect::Unsafe { 2.0 * FAILURE_COST } else { FAILURE_COST };
        let loss = loss * secs(class.latency_target) / self.latency[h.class].max(1e-9);
        let mut found: Vec<(bool, f64, f64, &Name)> = Vec::new();
        for name in &*candidates {
            let Some(s) = self.servers.get(name).filter(|s| s.health == Health::Up) else { continue };
            let warmth = self.warmth(s);
            let is_full = f64::from(s.own) + 1.0 > (s.capacity * warmth).max(1.0);
            if warmth < 1.0 && opened != Some(name) || is_full {
                continue;
            }
            if let Some((first, zone, cell)) = h.executed {
                let same = match class.group {
                    Group::All => true,
                    Group::Zone => zone == s.zone,
                    Group::Cell => cell == s.cell,
                };
                let late = self.now + self.settings.tick >= first + class.key_ttl;
                if class.effect == Effect::Keyed && (late || !same) {
                    continue;
                }
            }
            let again = h.tried.contains(name);
            // An old report decays to the fleet's mean, never to idle.
            let age = secs(self.now.saturating_sub(s.reported_at));
            let fresh = (-age / secs(class.latency_target).max(1e-9)).exp();
            let others = self.mean_load + (s.load - self.mean_load) * fresh;
            let silent = secs(self.now - s.heard_at.min(self.now)) / self.latency[h.class].max(1e-9);
            let hung = if s.own > 0 { (silent / 3.0).max(1.0) } else { 1.0 };
            let far = if s.zone == self.settings.zone { 1.0 } else { 1.0 + self.settings.cross_zone_price };
            let load = f64::from(s.own) + others + 1.0;
            // What was learnt of a pace fades while the server is unused, or it would stay unused for ever.
            let quiet = if s.own > 0 { 0.0 } else { silent / 16.0 };
            let slow = 1.0 + (s.slowness - 1.0) * (-quiet).exp();
            let wait = load * slow * hung * far / s.rating.max(1e-9);
            let class_failures = self.failure_share(s, h.class, class_pool);
            let failures = class_failures + self.failure_share(s, classes + h.plan, plan_pool);
            found.push((again, wait + loss * failures, wait, name));
        }
        let (again, least, wait, _) =
            *found.iter().min_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).expect("finite"))?;
        // Beyond the paper: near-equal servers are drawn at random, with more gateways from a wider range, or
        // all gateways would follow one report, or one name, to the same server.
        let width = NEAR_BEST_WIDTH * wait * (1.0 - 2.0 / f64::from(self.settings.gateways)).max(0.0);
        found.retain(|f| f.0 == again && f.1 <= least + width);
        // The cold server of the draw gets its share if it is near the best: with many gateways some warm one
        // always seems idle, and the cold would get nothing while the warm are overloaded.
        if let Some(cold) = opened.filter(|cold| found.iter().any(|f| f.3 == *cold)) {
            return Some(cold.clone());
        }
        let one = self.rng.usize(..found.len());
        Some(found[one].3.clone())
    }

    pub(super) fn send_attempt(&mut self, id: RequestId, server: Name, out: &mut Vec<Action>) {
        let (now, memory) = (self.now, self.memory());
        let h = self.pending.get_mut(&id).expect("a pending request");
        let s = self.servers.get_mut(&server).expect("a known server");
        // No early time-out: what takes long is mostly heavy, not hung, and takes as long elsewhere.
        let attempt_deadline = h.deadline;
        if s.own == 0 {
            s.heard_at = now;
        }
        s.own += 1;
        let is_first = h.sends == 0;
        if let Some(c) = self.customers.get_mut(&h.customer) {
            c.out += 1;
            c.ceiling -= if is_first { h.units } else { 0.0 };
        }
        if is_first {
            let most = 1.0 + RETRY_RATIO * self.sent_rate * memory;
            self.retries = (self.retries + RETRY_RATIO).min(most);
        }
        let (server_name, attempt) = (server.clone(), h.sends);
        h.attempt = Some(InFlight { server: server_name, sent_at: now, attempt, cancelled: false });
        h.sends += 1;
        let base = RESOURCES * h.pool;
        self.schedulers[base].in_flight += 1.0;
        self.schedulers[base + 1].in_flight += h.units;
        self.sent_rate = self.sent_rate * (-secs(now - self.sent_at) / memory).exp() + 1.0 / memory;
        self.sent_at = now;
        out.push(Action::Send { id, server, attempt_deadline });
    }
}
