//! Admission, the queues, and the schedulers over them: weighted deficit round robin over all resources.

use super::*;

impl Gateway {
    pub(super) fn admit(&mut self, r: Request, out: &mut Vec<Action>) {
        let Settings { classes, plans, pools, .. } = &self.settings;
        let is_known = r.class < classes.len() && r.plan < plans.len() && r.pool < (*pools).max(1);
        if !is_known || self.pending.contains_key(&r.id) {
            return;
        }
        // Beyond the paper: nobody waits for a pool that has no server.
        if self.settings.pools > 1 {
            self.survey();
            if self.fleet.pools[r.pool].kept.is_empty() {
                out.push(Action::Reject { id: r.id, advice: self.settings.max_retry_after });
                return;
            }
        }
        // A lease counts before this gateway's own estimate.
        let refused = match r.allowance {
            Allowance::Unknown => (!self.within_quota(&r)).then_some(0),
            Allowance::Refused { advice } => Some(advice),
            Allowance::Granted | Allowance::Awaited { .. } => None,
        };
        if let Some(advice) = refused {
            out.push(Action::Reject { id: r.id, advice });
            return;
        }
        self.mean_units += (r.units - self.mean_units) * GAIN / 4.0;
        let (send_by, give_up_at) = match r.allowance {
            Allowance::Awaited { until } => (r.deadline, until),
            _ => self.send_deadlines(r.class, r.deadline),
        };
        self.set_timer(r.id, give_up_at, out);
        let request = PendingRequest {
            class: r.class,
            pool: r.pool,
            plan: r.plan,
            customer: r.customer,
            deadline: r.deadline,
            send_by,
            units: r.units,
            leased: r.allowance != Allowance::Unknown,
            awaited: matches!(r.allowance, Allowance::Awaited { .. }),
            sends: 0,
            cold_draw: self.rng.f64(),
            attempt: None,
            streaming: false,
            client_left: false,
            executed: None,
            tried: Vec::new(),
        };
        self.pending.insert(r.id, request);
        let res = self.dominant_resource(r.pool, r.units);
        self.schedulers[res].queues[r.plan].push_back(r.id);
    }

    /// Until when an attempt could meet the latency target, and when a request that was never sent is given
    /// up: a client that is refused after more than half of its time has lost that time.
    fn send_deadlines(&self, class: usize, deadline: Time) -> (Time, Time) {
        let (now, target) = (self.now, self.settings.classes[class].latency_target);
        let last = now + target.saturating_sub(nanos(2.0 * self.latency[class])).max(target / 4);
        let send_by = last.min(deadline.saturating_sub(2 * self.settings.tick)).max(now);
        (send_by, send_by.min(now + deadline.saturating_sub(now) / 20 * 9))
    }

    /// The allowance of a request that awaited one is known. If granted, its time begins like a new one's.
    pub(super) fn allowed(&mut self, id: RequestId, allowance: Allowance, out: &mut Vec<Action>) {
        let Some(h) = self.pending.get(&id).filter(|h| h.awaited) else { return };
        if let Allowance::Refused { advice } = allowance {
            self.pending.remove(&id);
            out.push(Action::Reject { id, advice });
        } else if allowance == Allowance::Granted {
            let (send_by, give_up_at) = self.send_deadlines(h.class, h.deadline);
            let h = self.pending.get_mut(&id).expect("just seen");
            (h.awaited, h.send_by) = (false, send_by);
            self.timers.retain(|_, of| *of != id);
            self.set_timer(id, give_up_at, out);
        }
    }

    pub(super) fn set_timer(&mut self, id: RequestId, at: Time, out: &mut Vec<Action>) {
        self.next_timer += 1;
        self.timers.insert(self.next_timer, id);
        out.push(Action::Timer { token: self.next_timer, at });
    }

    pub(super) fn dominant_resource(&self, pool: usize, units: f64) -> usize {
        RESOURCES * pool + usize::from(units > self.mean_units)
    }

    pub(super) fn capacity(&self, pool: usize, kind: usize) -> f64 {
        self.open * self.fleet.pools[pool].capacity * if kind == 0 { 1.0 } else { self.mean_units.max(1.0) }
    }

    /// The main scheduler: wakes the sub-scheduler of the most available resource, else the next.
    pub(super) fn pump(&mut self, out: &mut Vec<Action>) {
        if !self.has_waiting() {
            return;
        }
        self.survey();
        (0..self.settings.pools.max(1)).for_each(|pool| self.pump_pool(pool, out));
        if self.has_waiting() && !self.pump_timer {
            // What blocks the queue may pass with time alone: budgets, limits, ejections.
            self.pump_timer = true;
            let at = self.now + (self.settings.collapse_window / 50).max(self.settings.tick);
            out.push(Action::Timer { token: TIMER_PUMP, at });
        }
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.schedulers.iter().any(|s| s.queues.iter().any(|q| !q.is_empty()))
    }

    fn pump_pool(&mut self, pool: usize, out: &mut Vec<Action>) {
        let base = RESOURCES * pool;
        if self.schedulers[base..base + RESOURCES].iter().all(|s| s.queues.iter().all(|q| q.is_empty())) {
            return;
        }
        // A quantum covers any request: three rounds without a send mean a lack of capacity, not of deficit.
        let (mut short, mut idle) = (false, 0);
        let free = [self.capacity(pool, 0), self.capacity(pool, 1)];
        while idle < 3 {
            let share = |kind: usize| 1.0 - self.schedulers[base + kind].in_flight / free[kind].max(1e-9);
            let (a, u) = (share(0), share(1));
            let first = if a == u { self.rng.usize(..RESOURCES) } else { usize::from(u > a) };
            idle += 1;
            for kind in [first, 1 - first] {
                if let Some((id, server)) = self.pick(base + kind, free, &mut short) {
                    self.send_attempt(id, server, out);
                    (short, idle) = (false, 0);
                    break;
                }
            }
            if idle > 0 && !short {
                break;
            }
        }
    }

    /// One sub-scheduler's turn: the head under its pointer is sent if every availability counter and every
    /// deficit counter of its plan covers it; else the pointer moves on. `short`: only deficits lacked.
    fn pick(&mut self, res: usize, free: Capacities, short: &mut bool) -> Option<(RequestId, Name)> {
        let plans = self.settings.plans.len();
        for _ in 0..=plans {
            let plan = self.schedulers[res].pointer;
            if let Some((id, server, index)) = self.head(res, plan, free) {
                let cost = [1.0, self.pending[&id].units.min(self.quantum(1, plan))];
                let mut pools = self.schedulers.chunks_exact_mut(RESOURCES);
                let both = pools.nth(res / RESOURCES).expect("each pool has its schedulers");
                if both.iter().zip(cost).all(|(s, cost)| s.deficit[plan] >= cost) {
                    both.iter_mut().zip(cost).for_each(|(s, cost)| s.deficit[plan] -= cost);
                    self.schedulers[res].queues[plan].remove(index);
                    return Some((id, server));
                }
                *short = true;
            }
            self.schedulers[res].pointer = (plan + 1) % plans;
            // A wrap that found no plan short leaves the counters: they must not fill while capacity lacks.
            if self.schedulers[res].pointer == 0 && *short {
                for p in 0..plans {
                    let quantum = self.quantum(res % RESOURCES, p);
                    let d = &mut self.schedulers[res].deficit[p];
                    *d = (*d + quantum).min(2.0 * quantum);
                }
            }
        }
        None
    }

    /// The deficit that a plan gains in a round: by its value, and enough for any request.
    fn quantum(&self, res: usize, plan: usize) -> f64 {
        let plans = &self.settings.plans;
        let least = plans.iter().map(|p| p.value_factor).fold(f64::INFINITY, f64::min).max(1e-9);
        let weight = (plans[plan].value_factor / least).max(1.0);
        weight * if res == 0 { 1.0 } else { self.settings.max_units.max(self.mean_units) }
    }

    /// The first request of a queue that every availability counter covers and that may be sent now, its
    /// server and its index. The cheap checks come first; a class that finds no server is tried once.
    fn head(&mut self, res: usize, plan: usize, free: Capacities) -> Option<(RequestId, Name, usize)> {
        let pool = res / RESOURCES;
        let fits = |g: &Self, kind: usize, cost: f64| {
            let used = g.schedulers[RESOURCES * pool + kind].in_flight;
            used == 0.0 || used + cost <= free[kind]
        };
        if !fits(self, 0, 1.0) {
            return None;
        }
        let pending = &self.pending;
        self.schedulers[res].queues[plan].retain(|id| pending.contains_key(id));
        let mut none = vec![false; self.settings.classes.len()];
        let cold = !self.fleet.pools[pool].cold.is_empty();
        let mut looked = vec![false; self.settings.classes.len()];
        let all = self.fleet.pools[pool].ready.len();
        let more = all > SMALL_FLEET || all > self.fleet.pools[pool].kept.len();
        for index in 0..self.schedulers[res].queues[plan].len() {
            let id = self.schedulers[res].queues[plan][index];
            let (class, units) = (self.pending[&id].class, self.pending[&id].units);
            if none[class] || !fits(self, 1, units.min(self.quantum(1, plan))) || !self.is_within_caps(id) {
                continue;
            }
            let found = match self.choose(id, false) {
                // Where the sample has no capacity the rest may have; all are looked at once.
                None if more && !std::mem::replace(&mut looked[class], true) => self.choose(id, true),
                found => found,
            };
            match found {
                Some(server) => return Some((id, server, index)),
                None => none[class] = !cold && self.pending[&id].executed.is_none(),
            }
        }
        None
    }
}
