//! Admission, queues and schedulers: weighted deficit round robin over all resources.

use super::*;

impl Gateway {
    pub(super) fn admit(&mut self, req: Request, out: &mut Vec<Action>) {
        let Settings { classes, plans, pools, .. } = &self.settings;
        let is_known = req.class < classes.len() && req.plan < plans.len() && req.pool < (*pools).max(1);
        if !is_known || self.pending.contains_key(&req.id) {
            return;
        }
        // Beyond the paper: a request for a pool without servers is refused instead of queued.
        if self.settings.pools > 1 {
            self.refresh_fleet();
            if self.fleet.pools[req.pool].subset.is_empty() {
                out.push(Action::Reject { id: req.id, advice: self.settings.max_retry_after });
                return;
            }
        }
        // A lease takes precedence over this gateway's own estimate.
        let refused = match req.allowance {
            Allowance::Unknown => (!self.within_quota(&req)).then_some(0),
            Allowance::Refused { advice } => Some(advice),
            Allowance::Granted | Allowance::Awaited { .. } => None,
        };
        if let Some(advice) = refused {
            out.push(Action::Reject { id: req.id, advice });
            return;
        }
        self.mean_units += (req.units - self.mean_units) * GAIN / 4.0;
        let (send_by, give_up_at) = match req.allowance {
            Allowance::Awaited { until } => (req.deadline, until),
            _ => self.send_deadlines(req.class, req.deadline),
        };
        self.set_timer(req.id, give_up_at, out);
        let pending = PendingRequest {
            class: req.class,
            pool: req.pool,
            plan: req.plan,
            customer: req.customer,
            deadline: req.deadline,
            send_by,
            units: req.units,
            leased: req.allowance != Allowance::Unknown,
            awaiting: matches!(req.allowance, Allowance::Awaited { .. }),
            sends: 0,
            cold_draw: self.rng.f64(),
            attempt: None,
            streaming: false,
            client_left: false,
            executed: None,
            tried: Vec::new(),
        };
        self.pending.insert(req.id, pending);
        let resource = self.dominant_resource(req.pool, req.units);
        self.schedulers[resource].queues[req.plan].push_back(req.id);
    }

    /// Returns until when an attempt can meet the latency target, and when an unsent request is given up: a
    /// client refused after more than half of its time has lost that time.
    fn send_deadlines(&self, class: usize, deadline: Time) -> (Time, Time) {
        let (now, target) = (self.now, self.settings.classes[class].latency_target);
        let latest = now + target.saturating_sub(nanos(2.0 * self.latency[class])).max(target / 4);
        let send_by = latest.min(deadline.saturating_sub(2 * self.settings.tick)).max(now);
        (send_by, send_by.min(now + deadline.saturating_sub(now) / 20 * 9))
    }

    /// Resolves an awaited allowance. Once granted, the request gets the deadlines of a new one.
    pub(super) fn allowance_decided(&mut self, id: RequestId, allowance: Allowance, out: &mut Vec<Action>) {
        let Some(req) = self.pending.get(&id).filter(|req| req.awaiting) else { return };
        if let Allowance::Refused { advice } = allowance {
            self.pending.remove(&id);
            out.push(Action::Reject { id, advice });
        } else if allowance == Allowance::Granted {
            let (send_by, give_up_at) = self.send_deadlines(req.class, req.deadline);
            let req = self.pending.get_mut(&id).expect("checked above");
            (req.awaiting, req.send_by) = (false, send_by);
            self.timers.retain(|_, owner| *owner != id);
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
        self.usable * self.fleet.pools[pool].capacity * if kind == 0 { 1.0 } else { self.mean_units.max(1.0) }
    }

    /// The main scheduler: runs the sub-scheduler of the most available resource, else the other one.
    pub(super) fn dispatch(&mut self, out: &mut Vec<Action>) {
        if !self.has_waiting() {
            return;
        }
        self.refresh_fleet();
        (0..self.settings.pools.max(1)).for_each(|pool| self.dispatch_pool(pool, out));
        if self.has_waiting() && !self.dispatch_timer_set {
            // Time alone may unblock the queue: budgets, limits and ejections change with it.
            self.dispatch_timer_set = true;
            let at = self.now + (self.settings.collapse_window / 50).max(self.settings.tick);
            out.push(Action::Timer { token: TIMER_DISPATCH, at });
        }
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.schedulers.iter().any(|s| s.queues.iter().any(|q| !q.is_empty()))
    }

    fn dispatch_pool(&mut self, pool: usize, out: &mut Vec<Action>) {
        let base = RESOURCES * pool;
        if self.schedulers[base..base + RESOURCES].iter().all(|s| s.queues.iter().all(|q| q.is_empty())) {
            return;
        }
        // A quantum covers any request: three rounds without a send mean a lack of capacity, not of deficit.
        let (mut short, mut idle_rounds) = (false, 0);
        let free = [self.capacity(pool, 0), self.capacity(pool, 1)];
        while idle_rounds < 3 {
            let available = |kind: usize| 1.0 - self.schedulers[base + kind].in_flight / free[kind].max(1e-9);
            let (a, u) = (available(0), available(1));
            let first = if a == u { self.rng.usize(..RESOURCES) } else { usize::from(u > a) };
            idle_rounds += 1;
            for kind in [first, 1 - first] {
                if let Some((id, server)) = self.pick(base + kind, free, &mut short) {
                    self.send_attempt(id, server, out);
                    (short, idle_rounds) = (false, 0);
                    break;
                }
            }
            if idle_rounds > 0 && !short {
                break;
            }
        }
    }

    /// One turn of a sub-scheduler: picks the head under its pointer if all availability and deficit counters
    /// of its plan cover it, else advances the pointer. Sets `short` where only a deficit was too small.
    fn pick(&mut self, resource: usize, free: Capacities, short: &mut bool) -> Option<(RequestId, Name)> {
        let plans = self.settings.plans.len();
        for _ in 0..=plans {
            let plan = self.schedulers[resource].pointer;
            if let Some((id, server, index)) = self.head(resource, plan, free) {
                let cost = [1.0, self.pending[&id].units.min(self.quantum(1, plan))];
                let mut per_pool = self.schedulers.chunks_exact_mut(RESOURCES);
                let schedulers = per_pool.nth(resource / RESOURCES).expect("each pool has its schedulers");
                if schedulers.iter().zip(cost).all(|(s, cost)| s.deficit[plan] >= cost) {
                    schedulers.iter_mut().zip(cost).for_each(|(s, cost)| s.deficit[plan] -= cost);
                    self.schedulers[resource].queues[plan].remove(index);
                    return Some((id, server));
                }
                *short = true;
            }
            self.schedulers[resource].pointer = (plan + 1) % plans;
            // Deficits grow only after a wrap in which one was short, not while capacity is lacking.
            if self.schedulers[resource].pointer == 0 && *short {
                for p in 0..plans {
                    let quantum = self.quantum(resource % RESOURCES, p);
                    let deficit = &mut self.schedulers[resource].deficit[p];
                    *deficit = (*deficit + quantum).min(2.0 * quantum);
                }
            }
        }
        None
    }

    /// Returns a plan's deficit per round: in proportion to its value, and enough for any request.
    fn quantum(&self, resource: usize, plan: usize) -> f64 {
        let plans = &self.settings.plans;
        let min_value = plans.iter().map(|p| p.value_factor).fold(f64::INFINITY, f64::min).max(1e-9);
        let weight = (plans[plan].value_factor / min_value).max(1.0);
        weight * if resource == 0 { 1.0 } else { self.settings.max_units.max(self.mean_units) }
    }

    /// Returns the first request of a queue that all availability counters cover and that can be sent now,
    /// its server and its index. Cheap checks come first; a class that finds no server is tried once.
    fn head(&mut self, resource: usize, plan: usize, free: Capacities) -> Option<(RequestId, Name, usize)> {
        let pool = resource / RESOURCES;
        let fits = |gateway: &Self, kind: usize, cost: f64| {
            let used = gateway.schedulers[RESOURCES * pool + kind].in_flight;
            used == 0.0 || used + cost <= free[kind]
        };
        if !fits(self, 0, 1.0) {
            return None;
        }
        let pending = &self.pending;
        self.schedulers[resource].queues[plan].retain(|id| pending.contains_key(id));
        let mut skip = vec![false; self.settings.classes.len()];
        let any_cold = !self.fleet.pools[pool].cold.is_empty();
        let mut scanned = vec![false; self.settings.classes.len()];
        let ready = self.fleet.pools[pool].ready.len();
        let others = ready > MAX_SCANNED || ready > self.fleet.pools[pool].subset.len();
        for index in 0..self.schedulers[resource].queues[plan].len() {
            let id = self.schedulers[resource].queues[plan][index];
            let (class, units) = (self.pending[&id].class, self.pending[&id].units);
            if skip[class] || !fits(self, 1, units.min(self.quantum(1, plan))) || !self.is_within_caps(id) {
                continue;
            }
            let found = match self.choose(id, false) {
                // Other servers may have capacity where the sample has none: scans all, once per class.
                None if others && !std::mem::replace(&mut scanned[class], true) => self.choose(id, true),
                found => found,
            };
            match found {
                Some(server) => return Some((id, server, index)),
                None => skip[class] = !any_cold && self.pending[&id].executed.is_none(),
            }
        }
        None
    }
}
