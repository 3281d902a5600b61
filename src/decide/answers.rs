//! What is learnt from an attempt's end, and what becomes of its request.

use super::*;

impl Gateway {
    pub(super) fn attempt_ended(&mut self, e: AttemptEnd, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(l) = e.load {
            if let Some(s) = self.servers.get_mut(&e.server) {
                let reported = l.inflight.map(|n| n - f64::from(s.own)).or(l.queue);
                (s.load, s.reported_at) = (reported.unwrap_or(0.0).max(0.0), now);
                self.mean_load += (s.load - self.mean_load) * GAIN / 4.0;
            }
        }
        let Some(h) = self.pending.get_mut(&e.id) else { return };
        if h.attempt.as_ref().is_none_or(|o| o.attempt != e.attempt) {
            return;
        }
        let o = h.attempt.take().expect("just seen");
        let (class, units, customer) = (h.class, h.units, h.customer.clone());
        let never_ran = matches!(e.ending, Ending::Overloaded | Ending::Unreachable | Ending::Stale);
        if !never_ran && h.executed.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            h.executed = Some((o.sent_at, zone, cell));
        }
        h.tried.push(o.server.clone());
        h.cold_draw = self.rng.f64();
        let (plan, pool, base) = (h.plan, h.pool, RESOURCES * h.pool);
        let done = e.last || e.ending == Ending::Success || h.streaming || h.client_left;
        self.schedulers[base].in_flight -= 1.0;
        self.schedulers[base + 1].in_flight = (self.schedulers[base + 1].in_flight - units).max(0.0);
        self.learn(&o, class, plan, &e);
        self.record_usage(&customer, units, &e);
        if done {
            self.pending.remove(&e.id);
        } else if self.may_repeat(e.id, never_ran) {
            self.retries -= if never_ran { 0.0 } else { 1.0 };
            let resource = self.dominant_resource(pool, units);
            self.schedulers[resource].queues[plan].push_front(e.id);
        } else {
            self.give_up(e.id, out);
        }
    }

    /// What an answer tells of its server: capacity, pace, health.
    pub(super) fn learn(&mut self, o: &InFlight, class: usize, plan: usize, e: &AttemptEnd) {
        let now = self.now;
        let took = secs(e.elapsed);
        let aim = secs(self.settings.classes[class].latency_target);
        self.attempt_time += (took - self.attempt_time) * GAIN / 4.0;
        let usual = self.latency[class].max(1e-6);
        // Beyond the paper: late answers from one server lower its capacity; more than one in five over all
        // servers lower every capacity. Guards against overload that feeds itself; harms classes late when
        // idle.
        let pass = e.ending == Ending::Success;
        let silent = e.ending == Ending::TimedOut && !o.cancelled;
        if silent || took > aim * LATE_FRACTION {
            self.open = (self.open * (1.0 - GAIN / 4.0)).max(GAIN / 4.0);
        } else if pass {
            self.open = (self.open + GAIN / 20.0).min(1.0);
        }
        if pass {
            self.latency[class] += (took.min(aim) - usual) * GAIN / 4.0;
        }
        let (memory, classes) = (self.memory(), self.settings.classes.len());
        let least = self.server_share(self.servers.len());
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        s.own = s.own.saturating_sub(1);
        s.heard_at = now;
        let (full, late) = (e.ending == Ending::Overloaded, e.ending == Ending::TimedOut);
        let slowed = full || late || pass && took > aim;
        if pass && took <= aim * LATE_FRACTION && f64::from(s.own) + 1.0 >= s.capacity / 2.0 {
            s.capacity += (4.0 * least).min(1.0) / s.capacity.max(1.0);
        } else if slowed && now - s.narrowed_at > nanos(usual) {
            (s.capacity, s.narrowed_at) = ((s.capacity * 0.75).max(least), now);
        }
        if pass || late {
            s.slowness += ((took / usual).min(10.0) - s.slowness) * GAIN;
        }
        let failed =
            matches!(e.ending, Ending::Failure | Ending::Interrupted | Ending::Unreachable) || silent;
        let keep = (-secs(now - s.outcome_at) / memory).exp();
        s.outcome_at = now;
        s.outcomes.iter_mut().for_each(|x| *x = (x.0 * keep, x.1 * keep));
        for (slot, bad) in [(class, failed), (classes + plan, full)] {
            if bad || failed || pass {
                let (n, b) = s.outcomes[slot];
                s.outcomes[slot] = (n * (1.0 - GAIN) + 1.0, b * (1.0 - GAIN) + f64::from(bad));
            }
        }
    }

    pub(super) fn may_repeat(&self, id: RequestId, never_ran: bool) -> bool {
        let h = &self.pending[&id];
        let class = &self.settings.classes[h.class];
        let allowed = match (h.executed, class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some((first, ..)), Effect::Keyed) => self.now + self.settings.tick < first + class.key_ttl,
            (Some(_), Effect::Unsafe) => false,
        };
        let within_budget = never_ran || self.retries >= 1.0;
        allowed && h.sends < self.settings.max_attempts && self.now < h.send_by && within_budget
    }

    /// The final answer of a request without an attempt in flight: a refusal only if nothing can have run.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.pending.remove(&id) else { return };
        let refusal = || Action::Reject { id, advice: self.retry_advice() };
        out.push(h.executed.map_or_else(refusal, |_| Action::Fail { id }));
    }

    /// When a refused client should try again: once as many attempts have ended as wait, at present pace.
    pub(super) fn retry_advice(&self) -> Time {
        let waiting: usize = self.schedulers.iter().flat_map(|s| &s.queues).map(VecDeque::len).sum();
        let out: f64 = self.schedulers.iter().step_by(RESOURCES).map(|s| s.in_flight).sum();
        let pace = out.max(1.0) / self.attempt_time.max(secs(self.settings.tick));
        let relief = nanos((waiting + 1) as f64 / pace).min(self.settings.max_retry_after);
        relief * Time::from(self.settings.retry_after)
    }

    /// A request's timer: without a first attempt it is given up; else it may wait until `send_by`.
    pub(super) fn request_timer_fired(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(id) = self.timers.remove(&token) else { return };
        let Some(h) = self.pending.get(&id) else { return };
        if h.attempt.is_none() && (h.sends == 0 || self.now >= h.send_by) {
            self.give_up(id, out);
        } else if self.now < h.send_by {
            self.set_timer(id, h.send_by, out);
        }
    }

    /// The client left. An attempt in flight keeps its slot until its end is known.
    pub(super) fn client_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancelling = self.settings.cancelling;
        let Some(h) = self.pending.get_mut(&id) else { return };
        let Some(o) = h.attempt.as_mut() else { return drop(self.pending.remove(&id)) };
        h.client_left = true;
        if cancelling && !o.cancelled && !h.streaming {
            o.cancelled = true;
            out.push(Action::Cancel { id, attempt: o.attempt });
        }
    }
}
