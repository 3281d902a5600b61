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
        for node in nodes {
            let new_server = Server {
                pools: node.pools,
                zone: node.zone,
                cell: node.cell,
                health: node.health,
                rating: node.rating,
                since: node.since,
                in_flight: 0,
                capacity: initial_capacity,
                reduced_at: now,
                slowness: 1.0,
                outcomes: vec![(0.0, 0.0); slots],
                outcome_at: now,
                last_heard_at: now,
                load: 0.0,
                reported_at: 0,
            };
            let s = self.servers.entry(node.name).or_insert(new_server);
            if node.since > s.since {
                // After a restart, what was measured of the old process does not apply to the new one.
                (s.capacity, s.slowness) = (initial_capacity, 1.0);
                s.outcomes = vec![(0.0, 0.0); slots];
            }
            (s.pools, s.zone, s.cell, s.health) = (node.pools, node.zone, node.cell, node.health);
            (s.rating, s.since) = (node.rating, node.since);
        }
        self.servers.retain(|_, s| s.health != Health::Removed || s.in_flight > 0);
        self.fleet.stale = true;
    }

    /// Refreshes the fleet's summary: of a large fleet only at intervals, or if the server list has changed.
    pub(super) fn refresh_fleet(&mut self) {
        let now = self.now;
        let due = self.fleet.updated_at + REFRESH_INTERVAL;
        if self.servers.len() > MAX_SCANNED && !self.fleet.stale && now < due {
            return;
        }
        let (tau, slots) = (self.decay_time(), self.settings.classes.len() + self.settings.plans.len());
        let mut view = FleetView { updated_at: now, ..FleetView::default() };
        if self.fleet.stale {
            self.fleet.pools = (0..self.settings.pools.max(1)).map(|n| self.build_pool(n)).collect();
        }
        view.pools = std::mem::take(&mut self.fleet.pools);
        let mut sums = vec![(0.0, 0.0); slots];
        for s in self.servers.values() {
            let keep = (-secs(now - s.outcome_at) / tau).exp();
            for (sum, outcome) in sums.iter_mut().zip(&s.outcomes) {
                let (total, bad) = (keep * outcome.0, keep * outcome.1);
                *sum = (sum.0 + total / (total + 1.0), sum.1 + bad / (total + 1.0));
            }
        }
        view.failures = sums.into_iter().map(|(total, bad)| bad / (total + 1.0)).collect();
        for pool in &mut view.pools {
            self.refresh_pool(pool, &view.failures);
        }
        // Beyond the paper: slow start. A draw selects at most one cold server, each by its warmth, so that
        // it gets at most its share of all traffic. Harms where servers warm up sooner than at worst.
        for pool in &mut view.pools {
            let mut end = 0.0;
            for (share, _) in &mut pool.cold {
                end += *share / pool.warmth;
                *share = end;
            }
        }
        self.fleet = view;
    }

    /// Returns the size of this gateway's subset. Beyond the paper: one of a hundred gateways would use each
    /// server too seldom to detect faults in time. Harms where a gateway's subset is worse.
    pub(super) fn subset_size(&self, servers: usize, gateways: u32) -> usize {
        let size = subset::size(servers, gateways, MIN_COVERAGE, MIN_SUBSET);
        if 2 * size <= servers {
            size
        } else {
            servers
        }
    }

    /// Returns this gateway's share of one server; it is larger where the subset is smaller.
    pub(super) fn server_share(&self, servers: usize) -> f64 {
        let kept = self.subset_size(servers, self.settings.gateways).max(1);
        self.work_share * servers.max(1) as f64 / kept as f64
    }

    /// Builds pool `n`: its servers that take new work, in the order in which they join the subset.
    pub(super) fn build_pool(&self, n: usize) -> Pool {
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && s.pools & (1 << n) != 0);
        let up: Vec<Name> = up.map(|(name, _)| name.clone()).collect();
        let (me, gateways) = self.position;
        let kept = self.subset_size(up.len(), gateways);
        let all: Arc<[Name]> =
            if kept < up.len() { Subset::new(&up, me, gateways, up.len()).kept().into() } else { up.into() };
        Pool { subset: all.clone(), ready: all, ..Pool::default() }
    }

    /// Refreshes a pool. Its subset has as many servers as together reach the wanted warmth and health, so
    /// that neither a cold start nor many failures leave this gateway with few.
    pub(super) fn refresh_pool(&self, pool: &mut Pool, means: &[f64]) {
        let count = pool.ready.len();
        let wanted = self.subset_size(count, self.position.1);
        let (whole, large) = (wanted >= count, count > MAX_SCANNED);
        (pool.capacity, pool.warmth) = (0.0, 0.0);
        pool.warm.clear();
        pool.cold.clear();
        let (mut kept, mut healthy) = (0, 0.0);
        for name in &*pool.ready {
            if !whole && healthy >= wanted as f64 {
                break;
            }
            kept += 1;
            let Some(s) = self.servers.get(name) else { continue };
            let warmth = self.warmth(s);
            if !whole {
                healthy += warmth * (1.0 - self.worst_failure_share(s, means)).max(0.0);
            }
            pool.capacity += s.capacity * warmth;
            pool.warmth += warmth;
            if warmth < 1.0 {
                // All its pools together send it its share.
                let pools = f64::from(s.pools.count_ones()).min(self.settings.pools.max(1) as f64);
                pool.cold.push((warmth / pools, name.clone()));
            } else if large {
                pool.warm.push(name.clone());
            }
        }
        if !whole && kept != pool.subset.len() {
            pool.subset = pool.ready[..kept].into();
        }
    }

    /// Returns the cold server selected by this draw, if any.
    pub(super) fn cold_server(&self, pool: usize, draw: f64) -> Option<&Name> {
        let cold = &self.fleet.pools[pool].cold;
        cold.get(cold.partition_point(|(end, _)| *end <= draw)).map(|(_, name)| name)
    }
}
