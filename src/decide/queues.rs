//! The queues and the schedulers over them.

use super::*;

impl Gateway {
    pub(super) fn admit(&mut self, r: Request, out: &mut Vec<Action>) {
        if r.class >= self.s.classes.len()
            || r.plan >= self.s.plans.len()
            || r.pool >= self.s.pools.max(1)
            || self.held.contains_key(&r.id)
        {
            return;
        }
        // Beyond the paper: nobody waits for a pool that has no server.
        if self.s.pools > 1 {
            self.survey();
            if self.fleet.pools[r.pool].up.is_empty() {
                out.push(Action::Reject { id: r.id, advice: self.s.max_retry_after });
                return;
            }
        }
        // A lease's word goes before the own guess.
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
        // Every held request has a timer.
        let (hope, decided) = match r.allowance {
            Allowance::Awaited { until } => (r.deadline, until),
            _ => self.hope(r.class, r.deadline),
        };
        self.timer(r.id, decided, out);
        let held = Held {
            class: r.class,
            pool: r.pool,
            plan: r.plan,
            customer: r.customer,
            deadline: r.deadline,
            hope,
            units: r.units,
            leased: r.allowance != Allowance::Unknown,
            awaited: matches!(r.allowance, Allowance::Awaited { .. }),
            sends: 0,
            draw: self.rng.f64(),
            out: None,
            streaming: false,
            gone: false,
            ran: None,
            tried: Vec::new(),
        };
        self.held.insert(r.id, held);
        let res = self.dominant(r.pool, r.units);
        self.subs[res].queues[r.plan].push_back(r.id);
    }

    /// The last moment from which an answer could be within the aim, and when what has not gone out is over:
    /// a client that waits for more than half of its time and is then refused has lost that time for good.
    fn hope(&self, class: usize, deadline: Time) -> (Time, Time) {
        let (now, aim) = (self.now, self.s.classes[class].aim);
        let last = now + aim.saturating_sub(nanos(2.0 * self.usual[class])).max(aim / 4);
        let hope = last.min(deadline.saturating_sub(2 * self.s.tick)).max(now);
        (hope, hope.min(now + deadline.saturating_sub(now) / 20 * 9))
    }

    /// The word on a request that awaited one. Granted: its time begins like a new one's.
    pub(super) fn allowed(&mut self, id: RequestId, allowance: Allowance, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id).filter(|h| h.awaited) else { return };
        if let Allowance::Refused { advice } = allowance {
            self.held.remove(&id);
            out.push(Action::Reject { id, advice });
        } else if allowance == Allowance::Granted {
            let (hope, decided) = self.hope(h.class, h.deadline);
            let h = self.held.get_mut(&id).expect("just seen");
            (h.awaited, h.hope) = (false, hope);
            self.timers.retain(|_, of| *of != id);
            self.timer(id, decided, out);
        }
    }

    pub(super) fn timer(&mut self, id: RequestId, at: Time, out: &mut Vec<Action>) {
        self.next_timer += 1;
        self.timers.insert(self.next_timer, id);
        out.push(Action::Timer { token: self.next_timer, at });
    }

    pub(super) fn dominant(&self, pool: usize, units: f64) -> usize {
        RESOURCES * pool + usize::from(units > self.mean_units)
    }

    pub(super) fn room(&self, pool: usize, kind: usize) -> f64 {
        self.open * self.fleet.pools[pool].room * if kind == 0 { 1.0 } else { self.mean_units.max(1.0) }
    }

    /// The main scheduler: wakes the sub-scheduler of the most available resource, else the next.
    pub(super) fn pump(&mut self, out: &mut Vec<Action>) {
        if !self.waits() {
            return;
        }
        self.survey();
        (0..self.s.pools.max(1)).for_each(|pool| self.pump_pool(pool, out));
        if self.waits() && !self.pumping {
            // What holds the queue may ease with time alone: budgets, ceilings, ejections.
            self.pumping = true;
            let at = self.now + (self.s.fall / 50).max(self.s.tick);
            out.push(Action::Timer { token: TIMER_PUMP, at });
        }
    }

    pub(super) fn waits(&self) -> bool {
        self.subs.iter().any(|s| s.queues.iter().any(|q| !q.is_empty()))
    }

    pub(super) fn pump_pool(&mut self, pool: usize, out: &mut Vec<Action>) {
        let base = RESOURCES * pool;
        if self.subs[base..base + RESOURCES].iter().all(|s| s.queues.iter().all(|q| q.is_empty())) {
            return;
        }
        // A quantum covers any request, so three rounds without a send mean that room lacks, not deficit.
        let (mut short, mut idle) = (false, 0);
        let rooms = [self.room(pool, 0), self.room(pool, 1)];
        while idle < 3 {
            let share = |kind: usize| 1.0 - self.subs[base + kind].in_flight / rooms[kind].max(1e-9);
            let (a, u) = (share(0), share(1));
            let first = if a == u { self.rng.usize(..RESOURCES) } else { usize::from(u > a) };
            idle += 1;
            for kind in [first, 1 - first] {
                if let Some((id, server)) = self.pick(base + kind, rooms, &mut short) {
                    self.send(id, server, out);
                    (short, idle) = (false, 0);
                    break;
                }
            }
            if idle > 0 && !short {
                break;
            }
        }
    }

    /// One sub-scheduler's turn: the head under its pointer goes if every availability counter and every
    /// deficit counter of its plan covers it; else the pointer moves on. `short`: only deficits lacked.
    pub(super) fn pick(&mut self, res: usize, rooms: Rooms, short: &mut bool) -> Option<(RequestId, Name)> {
        let plans = self.s.plans.len();
        for _ in 0..=plans {
            let plan = self.subs[res].pointer;
            if let Some((id, server, place)) = self.head(res, plan, rooms) {
                let cost = [1.0, self.held[&id].units.min(self.quantum(1, plan))];
                let both = self.subs.chunks_exact_mut(RESOURCES).nth(res / RESOURCES).expect("a pool's");
                if both.iter().zip(cost).all(|(s, cost)| s.deficit[plan] >= cost) {
                    both.iter_mut().zip(cost).for_each(|(s, cost)| s.deficit[plan] -= cost);
                    self.subs[res].queues[plan].remove(place);
                    return Some((id, server));
                }
                *short = true;
            }
            self.subs[res].pointer = (plan + 1) % plans;
            // A wrap that found no plan short leaves the counters: else they would fill while room lacks.
            if self.subs[res].pointer == 0 && *short {
                for p in 0..plans {
                    let quantum = self.quantum(res % RESOURCES, p);
                    let d = &mut self.subs[res].deficit[p];
                    *d = (*d + quantum).min(2.0 * quantum);
                }
            }
        }
        None
    }

    pub(super) fn quantum(&self, res: usize, plan: usize) -> f64 {
        let least = self.s.plans.iter().map(|p| p.value_factor).fold(f64::INFINITY, f64::min).max(1e-9);
        let weight = (self.s.plans[plan].value_factor / least).max(1.0);
        weight * if res == 0 { 1.0 } else { self.s.most_units.max(self.mean_units) }
    }

    /// The first request of a queue that every availability counter covers and that may be sent now, where,
    /// and its place. The cheap checks come first, and a class that finds no server is asked for once.
    pub(super) fn head(&mut self, res: usize, plan: usize, rooms: Rooms) -> Option<(RequestId, Name, usize)> {
        let pool = res / RESOURCES;
        let fits = |g: &Self, kind: usize, cost: f64| {
            let used = g.subs[RESOURCES * pool + kind].in_flight;
            used == 0.0 || used + cost <= rooms[kind]
        };
        if !fits(self, 0, 1.0) {
            return None;
        }
        let held = &self.held;
        self.subs[res].queues[plan].retain(|id| held.contains_key(id));
        let mut none = vec![false; self.s.classes.len()];
        let cold = !self.fleet.pools[pool].cold.is_empty();
        let mut looked = vec![false; self.s.classes.len()];
        let all = self.fleet.pools[pool].all.len();
        let more = all > FEW || all > self.fleet.pools[pool].up.len();
        for place in 0..self.subs[res].queues[plan].len() {
            let id = self.subs[res].queues[plan][place];
            let (class, units) = (self.held[&id].class, self.held[&id].units);
            if none[class] || !fits(self, 1, units.min(self.quantum(1, plan))) || !self.may_go(id) {
                continue;
            }
            let found = match self.choose(id, false) {
                // What few that were drawn had no room for, the rest may have; they are asked for once.
                None if more && !std::mem::replace(&mut looked[class], true) => self.choose(id, true),
                found => found,
            };
            match found {
                Some(server) => return Some((id, server, place)),
                None => none[class] = !cold && self.held[&id].ran.is_none(),
            }
        }
        None
    }
}
