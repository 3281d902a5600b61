//! The list of servers, and what is known of the whole of it.

use super::*;

impl Gateway {
    pub(super) fn fleet(&mut self, scope: Scope, nodes: Vec<Node>, out: &mut Vec<Action>) {
        let at = self.now + self.s.ask_within / 8;
        match scope {
            Scope::Cached if self.s.subscribe => out.push(Action::Subscribe { on: true }),
            Scope::Failed if self.s.subscribe => out.push(Action::Timer { token: TIMER_ASK, at }),
            _ => {}
        }
        if scope == Scope::Failed {
            return;
        }
        if scope != Scope::Changes {
            self.servers.values_mut().for_each(|s| s.health = Health::Removed);
        }
        let count = if scope == Scope::Changes { self.servers.len().max(nodes.len()) } else { nodes.len() };
        let fresh_room = FIRST_ROOM * self.stake(count);
        let (now, slots) = (self.now, self.s.classes.len() + self.s.plans.len());
        for n in nodes {
            let fresh = Server {
                pools: n.pools,
                zone: n.zone,
                cell: n.cell,
                health: n.health,
                rating: n.rating,
                since: n.since,
                own: 0,
                room: fresh_room,
                narrowed: now,
                slow: 1.0,
                ends: vec![(0.0, 0.0); slots],
                ended: now,
                heard: now,
                others: 0.0,
                reported: 0,
            };
            let known = self.servers.entry(n.name).or_insert(fresh);
            if n.since > known.since {
                // A restart: what was learnt of the old process says nothing of the new one.
                (known.room, known.slow) = (fresh_room, 1.0);
                known.ends = vec![(0.0, 0.0); slots];
            }
            (known.pools, known.zone, known.cell, known.health) = (n.pools, n.zone, n.cell, n.health);
            (known.rating, known.since) = (n.rating, n.since);
        }
        self.servers.retain(|_, s| s.health != Health::Removed || s.own > 0);
        self.fleet.stale = true;
    }

    /// Brings what is known of the whole up to date: always for a small fleet, now and then for a large one.
    pub(super) fn survey(&mut self) {
        let now = self.now;
        if self.servers.len() > FEW && !self.fleet.stale && now < self.fleet.at + REFRESH {
            return;
        }
        let (memory, slots) = (self.memory(), self.s.classes.len() + self.s.plans.len());
        let mut all = Overview { at: now, ..Overview::default() };
        if self.fleet.stale {
            self.fleet.pools = (0..self.s.pools.max(1)).map(|n| self.pool(n)).collect();
        }
        all.pools = std::mem::take(&mut self.fleet.pools);
        let mut sums = vec![(0.0, 0.0); slots];
        for s in self.servers.values() {
            let keep = (-secs(now - s.ended) / memory).exp();
            for (sum, end) in sums.iter_mut().zip(&s.ends) {
                let (ends, bad) = (keep * end.0, keep * end.1);
                *sum = (sum.0 + ends / (ends + 1.0), sum.1 + bad / (ends + 1.0));
            }
        }
        all.bad = sums.into_iter().map(|(n, bad)| bad / (n + 1.0)).collect();
        for pool in &mut all.pools {
            self.keep(pool, &all.bad);
        }
        // Beyond the paper: slow start. A request's draw opens at most one cold server to it, each by its
        // warmth: it gets its part of all gateways' traffic at most, far below the multiple at which it
        // falls, and nothing need be remembered. Harms where they warm up sooner than at worst.
        for pool in &mut all.pools {
            let mut end = 0.0;
            for (part, _) in &mut pool.cold {
                end += *part / pool.warmth;
                *part = end;
            }
        }
        self.fleet = all;
    }

    /// How many of so many servers this gateway keeps to. Beyond the paper: among a hundred gateways each
    /// would see any one server so seldom that it never learnt of it in time, and open a connection for
    /// nearly every request. Harms where a gateway's few are worse than the rest and it can't tell.
    pub(super) fn kept(&self, servers: usize, gateways: u32) -> usize {
        // More than half of them is no part worth keeping to.
        Some(subset::size(servers, gateways, COVER, KEPT)).filter(|n| 2 * n <= servers).unwrap_or(servers)
    }

    /// This gateway's part of one server among so many: the fewer it keeps to, the more of each.
    pub(super) fn stake(&self, servers: usize) -> f64 {
        self.part * servers.max(1) as f64 / self.kept(servers, self.s.gateways).max(1) as f64
    }

    /// A pool's servers that take new work, in the order in which this gateway would keep to them.
    pub(super) fn pool(&self, n: usize) -> Pool {
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && s.pools & (1 << n) != 0);
        let up: Vec<Name> = up.map(|(name, _)| name.clone()).collect();
        let (me, gateways) = self.among;
        let kept = self.kept(up.len(), gateways);
        let all: Arc<[Name]> =
            if kept < up.len() { Subset::new(&up, me, gateways, up.len()).kept().into() } else { up.into() };
        Pool { up: all.clone(), all, ..Pool::default() }
    }

    /// Brings a pool up to date: of its servers as many are kept as have the warmth and soundness of the
    /// number wanted, so that neither a cold start nor a failure of many leaves a gateway to few.
    pub(super) fn keep(&self, pool: &mut Pool, bad: &[f64]) {
        let (want, large) = (self.kept(pool.all.len(), self.among.1), pool.all.len() > FEW);
        let whole = want >= pool.all.len();
        (pool.room, pool.warmth) = (0.0, 0.0);
        pool.warm.clear();
        pool.cold.clear();
        let (mut kept, mut sound) = (0, 0.0);
        for name in &*pool.all {
            if !whole && sound >= want as f64 {
                break;
            }
            kept += 1;
            let Some(s) = self.servers.get(name) else { continue };
            let warmth = self.warmth(s);
            if !whole {
                let worst = (0..bad.len()).map(|slot| self.bad(s, slot, bad[slot])).fold(0.0, f64::max);
                sound += warmth * (1.0 - worst).max(0.0);
            }
            pool.room += s.room * warmth;
            pool.warmth += warmth;
            if warmth < 1.0 {
                // What all pools together send it is its part of them.
                let pools = f64::from(s.pools.count_ones()).min(self.s.pools.max(1) as f64);
                pool.cold.push((warmth / pools, name.clone()));
            } else if large {
                pool.warm.push(name.clone());
            }
        }
        if !whole && kept != pool.up.len() {
            pool.up = pool.all[..kept].into();
        }
    }

    /// The cold server that this draw opens, if it opens one.
    pub(super) fn opened(&self, pool: usize, draw: f64) -> Option<&Name> {
        let cold = &self.fleet.pools[pool].cold;
        cold.get(cold.partition_point(|(end, _)| *end <= draw)).map(|(_, name)| name)
    }
}
