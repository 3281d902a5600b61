//! The server list, and the summary of the whole fleet.

use super::*;

impl Gateway {
    pub(super) fn apply_server_list(&mut self, scope: Scope, nodes: Vec<Node>, out: &mut Vec<Action>) {
        let poll_at = self.now + self.settings.max_poll_interval / 8;
        let timer = Action::Timer { token: TIMER_DISCOVERY, at: poll_at };
        match scope {
            Scope::Cached if self.settings.subscribe => out.push(Action::Subscribe { on: true }),
            Scope::Failed if self.settings.subscribe => out.push(timer),
            _ => {}
        }
        if scope == Scope::Failed {
            return;
        }
        if scope != Scope::Changes {
            self.servers.values_mut().for_each(|s| s.health = Health::Removed);
        }
        let count = if scope == Scope::Changes { self.servers.len().max(nodes.len()) } else { nodes.len() };
        let initial_capacity = INITIAL_CAPACITY * self.server_share(count);
        let (now, slots) = (self.now, self.settings.classes.len() + self.settings.plans.len());
        for n in nodes {
            let fresh = Server {
                pools: n.pools,
                zone: n.zone,
                cell: n.cell,
                health: n.health,
                rating: n.rating,
                since: n.since,
                own: 0,
                capacity: initial_capacity,
                narrowed_at: now,
                slowness: 1.0,
                outcomes: vec![(0.0, 0.0); slots],
                outcome_at: now,
                heard_at: now,
                load: 0.0,
                reported_at: 0,
            };
            let known = self.servers.entry(n.name).or_insert(fresh);
            if n.since > known.since {
                // A restart: what was learnt of the old process says nothing of the new one.
                (known.capacity, known.slowness) = (initial_capacity, 1.0);
                known.outcomes = vec![(0.0, 0.0); slots];
            }
            (known.pools, known.zone, known.cell, known.health) = (n.pools, n.zone, n.cell, n.health);
            (known.rating, known.since) = (n.rating, n.since);
        }
        self.servers.retain(|_, s| s.health != Health::Removed || s.own > 0);
        self.fleet.stale = true;
    }

    /// Refreshes the summary of the fleet: always for a small one, at intervals for a large one.
    pub(super) fn survey(&mut self) {
        let now = self.now;
        let due = self.fleet.updated_at + REFRESH_INTERVAL;
        if self.servers.len() > SMALL_FLEET && !self.fleet.stale && now < due {
            return;
        }
        let (memory, slots) = (self.memory(), self.settings.classes.len() + self.settings.plans.len());
        let mut all = FleetView { updated_at: now, ..FleetView::default() };
        if self.fleet.stale {
            self.fleet.pools = (0..self.settings.pools.max(1)).map(|n| self.build_pool(n)).collect();
        }
        all.pools = std::mem::take(&mut self.fleet.pools);
        let mut sums = vec![(0.0, 0.0); slots];
        for s in self.servers.values() {
            let keep = (-secs(now - s.outcome_at) / memory).exp();
            for (sum, end) in sums.iter_mut().zip(&s.outcomes) {
                let (ends, bad) = (keep * end.0, keep * end.1);
                *sum = (sum.0 + ends / (ends + 1.0), sum.1 + bad / (ends + 1.0));
            }
        }
        all.bad = sums.into_iter().map(|(n, bad)| bad / (n + 1.0)).collect();
        for pool in &mut all.pools {
            self.refresh_pool(pool, &all.bad);
        }
        // Beyond the paper: slow start. A request's draw selects at most one cold server, each by its warmth,
        // so that it gets its share of all traffic at most. Harms where servers warm up sooner than at worst.
        for pool in &mut all.pools {
            let mut end = 0.0;
            for (part, _) in &mut pool.cold {
                end += *part / pool.warmth;
                *part = end;
            }
        }
        self.fleet = all;
    }

    /// How many of `servers` this gateway keeps to. Beyond the paper: among a hundred gateways each would see
    /// any one server too seldom to learn of it in time. Harms where a gateway's subset is worse.
    pub(super) fn subset_size(&self, servers: usize, gateways: u32) -> usize {
        let size = subset::size(servers, gateways, MIN_COVERAGE, MIN_SUBSET);
        if 2 * size <= servers {
            size
        } else {
            servers
        }
    }

    /// This gateway's share of one server: the fewer it keeps to, the more of each.
    pub(super) fn server_share(&self, servers: usize) -> f64 {
        let kept = self.subset_size(servers, self.settings.gateways).max(1);
        self.work_share * servers.max(1) as f64 / kept as f64
    }

    /// A pool's servers that take new work, in the order in which this gateway would keep to them.
    pub(super) fn build_pool(&self, n: usize) -> Pool {
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && s.pools & (1 << n) != 0);
        let up: Vec<Name> = up.map(|(name, _)| name.clone()).collect();
        let (me, gateways) = self.position;
        let kept = self.subset_size(up.len(), gateways);
        let all: Arc<[Name]> =
            if kept < up.len() { Subset::new(&up, me, gateways, up.len()).kept().into() } else { up.into() };
        Pool { kept: all.clone(), ready: all, ..Pool::default() }
    }

    /// Refreshes a pool. As many servers are kept as together have the warmth and soundness of the number
    /// wanted, so that neither a cold start nor a failure of many leaves this gateway with few.
    pub(super) fn refresh_pool(&self, pool: &mut Pool, bad: &[f64]) {
        let count = pool.ready.len();
        let wanted = self.subset_size(count, self.position.1);
        let (whole, large) = (wanted >= count, count > SMALL_FLEET);
        (pool.capacity, pool.warmth) = (0.0, 0.0);
        pool.warm.clear();
        pool.cold.clear();
        let (mut kept, mut sound) = (0, 0.0);
        for name in &*pool.ready {
            if !whole && sound >= wanted as f64 {
                break;
            }
            kept += 1;
            let Some(s) = self.servers.get(name) else { continue };
            let warmth = self.warmth(s);
            if !whole {
                sound += warmth * (1.0 - self.worst_failure_share(s, bad)).max(0.0);
            }
            pool.capacity += s.capacity * warmth;
            pool.warmth += warmth;
            if warmth < 1.0 {
                // All pools together send it its share.
                let pools = f64::from(s.pools.count_ones()).min(self.settings.pools.max(1) as f64);
                pool.cold.push((warmth / pools, name.clone()));
            } else if large {
                pool.warm.push(name.clone());
            }
        }
        if !whole && kept != pool.kept.len() {
            pool.kept = pool.ready[..kept].into();
        }
    }

    /// The cold server that this draw selects, if any.
    pub(super) fn cold_server(&self, pool: usize, draw: f64) -> Option<&Name> {
        let cold = &self.fleet.pools[pool].cold;
        cold.get(cold.partition_point(|(end, _)| *end <= draw)).map(|(_, name)| name)
    }
}
