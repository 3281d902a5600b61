//! Which server takes an attempt.

use super::*;

impl Gateway {
    /// The share of its capacity that a server has at least: cold ones warm up evenly, at worst.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.since);
        if s.since == 0 || age >= self.s.cold {
            return 1.0;
        }
        self.s.cold_from + (1.0 - self.s.cold_from) * age as f64 / self.s.cold as f64
    }

    /// The share of bad ends to expect of a server in a slot. Beyond the paper: outlier detection. A gateway
    /// seldom sees one server, so little evidence counts at once, and the fleet's mean stands in for none.
    /// Guards against what fails, hangs or is full for one class or one plan or all of them on part of the
    /// fleet, and leaves the others alone; harms for a while whoever was unlucky.
    pub(super) fn bad(&self, s: &Server, slot: usize, pool: f64) -> f64 {
        let keep = (-secs(self.now - s.ended) / self.memory()).exp();
        (keep * s.ends[slot].1 + 0.5 * pool) / (keep * s.ends[slot].0 + 0.5)
    }

    /// How long ends are remembered, in seconds: a trouble lasts many aims.
    pub(super) fn memory(&self) -> f64 {
        MEMORY * self.s.classes.iter().map(|c| secs(c.aim)).fold(0.0, f64::max)
    }

    /// Those that one request looks at. Of a large fleet some are drawn, unless it is looked at whole, and
    /// the cold one that its draw opens.
    pub(super) fn candidates(&mut self, pool: usize, draw: f64, whole: bool) -> Arc<[Name]> {
        if whole {
            return self.fleet.pools[pool].all.clone();
        }
        if self.fleet.pools[pool].up.len() <= FEW {
            return self.fleet.pools[pool].up.clone();
        }
        let (warm, rng) = (&self.fleet.pools[pool].warm, &mut self.rng);
        let n = warm.len();
        let mut drawn: Vec<Name> = (0..DRAWN.min(n)).map(|_| warm[rng.usize(..n)].clone()).collect();
        drawn.extend(self.opened(pool, draw).cloned());
        drawn.into()
    }

    /// A server of the least expected wait, or nearly, among those that may take this request.
    pub(super) fn choose(&mut self, id: RequestId, whole: bool) -> Option<Name> {
        let (pool, draw) = (self.held[&id].pool, self.held[&id].draw);
        let candidates = self.candidates(pool, draw, whole);
        let h = &self.held[&id];
        let class = &self.s.classes[h.class];
        let classes = self.s.classes.len();
        let (class_pool, plan_pool) = (self.fleet.bad[h.class], self.fleet.bad[classes + h.plan]);
        let opened = self.opened(pool, draw);
        // What a bad end costs, in usual answer times; twice if the request can't be repeated.
        let loss = if class.effect == Effect::Unsafe { 2.0 * LOSS } else { LOSS };
        let loss = loss * secs(class.aim) / self.usual[h.class].max(1e-9);
        let mut found: Vec<(bool, f64, f64, &Name)> = Vec::new();
        for name in &*candidates {
            let Some(s) = self.servers.get(name).filter(|s| s.health == Health::Up) else { continue };
            let warmth = self.warmth(s);
            if warmth < 1.0 && opened != Some(name) {
                continue;
            }
            if f64::from(s.own) + 1.0 > (s.room * warmth).max(1.0) {
                continue;
            }
            if let Some((first, zone, cell)) = h.ran {
                let same = match class.group {
                    Group::All => true,
                    Group::Zone => zone == s.zone,
                    Group::Cell => cell == s.cell,
                };
                let late = self.now + self.s.tick >= first + class.key_ttl;
                if class.effect == Effect::Keyed && (late || !same) {
                    continue;
                }
            }
            let again = h.tried.contains(name);
            // An old report decays to what is usual over the fleet, never to idle.
            let age = secs(self.now.saturating_sub(s.reported));
            let fresh = (-age / secs(class.aim).max(1e-9)).exp();
            let others = self.others + (s.others - self.others) * fresh;
            let silent = secs(self.now - s.heard.min(self.now)) / self.usual[h.class].max(1e-9);
            let hung = if s.own > 0 { (silent / 3.0).max(1.0) } else { 1.0 };
            let far = if s.zone == self.s.zone { 1.0 } else { 1.0 + self.s.cross_zone_price };
            let load = f64::from(s.own) + others + 1.0;
            // What was learnt of a pace fades while the server is not used, or it would never be again.
            let quiet = if s.own > 0 { 0.0 } else { silent / 16.0 };
            let slow = 1.0 + (s.slow - 1.0) * (-quiet).exp();
            // The draw has weighed a cold server by its warmth already.
            let wait = load * slow * hung * far / s.rating.max(1e-9);
            let bad = self.bad(s, h.class, class_pool) + self.bad(s, classes + h.plan, plan_pool);
            found.push((again, wait + loss * bad, wait, name));
        }
        let (again, least, wait, _) =
            *found.iter().min_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).expect("finite"))?;
        // Beyond the paper: near-equal servers are drawn at random, the more gateways the wider, or all
        // gateways would follow one report, or one name, to the same server.
        let width = NEAR * wait * (1.0 - 2.0 / f64::from(self.s.gateways)).max(0.0);
        found.retain(|f| f.0 == again && f.1 <= least + width);
        // A cold server that the draw opens gets its part if it is near the best: among many gateways some
        // warm one always seems idle, and the cold would get nothing while the warm drown.
        if let Some(cold) = opened.filter(|cold| found.iter().any(|f| f.3 == *cold)) {
            return Some(cold.clone());
        }
        let one = self.rng.usize(..found.len());
        Some(found[one].3.clone())
    }

    pub(super) fn send(&mut self, id: RequestId, server: Name, out: &mut Vec<Action>) {
        let (now, memory) = (self.now, self.memory());
        let h = self.held.get_mut(&id).expect("picked from the held");
        let s = self.servers.get_mut(&server).expect("chosen from the servers");
        // No leaving a server early: work is spread so widely that what takes long is mostly heavy, not hung,
        // and a second attempt takes as long again. A server that hangs is avoided by the next requests.
        let not_past = h.deadline;
        if s.own == 0 {
            s.heard = now;
        }
        s.own += 1;
        if let Some(c) = self.customers.get_mut(&h.customer) {
            c.out += 1;
            if h.sends == 0 {
                c.ceiling -= h.units;
            }
        }
        if h.sends == 0 {
            let most = 1.0 + RETRY_SHARE * self.sent_rate * memory;
            self.retries = (self.retries + RETRY_SHARE).min(most);
        }
        h.out = Some(Out { server: server.clone(), at: now, attempt: h.sends, cancelled: false });
        h.sends += 1;
        let base = RESOURCES * h.pool;
        self.subs[base].in_flight += 1.0;
        self.subs[base + 1].in_flight += h.units;
        self.sent_rate = self.sent_rate * (-secs(now - self.sent_at) / memory).exp() + 1.0 / memory;
        self.sent_at = now;
        out.push(Action::Send { id, server, not_past });
    }
}
