//! Updates from the end of an attempt, and the retry or final answer of its request.

use super::*;

impl Gateway {
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(load) = end.load {
            if let Some(s) = self.servers.get_mut(&end.server) {
                let reported = load.inflight.map(|n| n - f64::from(s.in_flight)).or(load.queue);
                (s.load, s.reported_at) = (reported.unwrap_or(0.0).max(0.0), now);
                self.mean_load += (s.load - self.mean_load) * GAIN / 4.0;
            }
        }
        let Some(req) = self.pending.get_mut(&end.id) else { return };
        if req.attempt.as_ref().is_none_or(|a| a.attempt != end.attempt) {
            return;
        }
        let attempt = req.attempt.take().expect("checked above");
        let (class, units, customer) = (req.class, req.units, req.customer.clone());
        let never_ran = matches!(end.ending, Ending::Overloaded | Ending::Unreachable | Ending::Stale);
        if !never_ran && req.executed.is_none() {
            let (zone, cell) =
                self.servers.get(&attempt.server).map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            req.executed = Some((attempt.sent_at, zone, cell));
        }
        req.tried.push(attempt.server.clone());
        req.cold_draw = self.rng.f64();
        let (plan, pool, base) = (req.plan, req.pool, RESOURCES * req.pool);
        let done = end.last || end.ending == Ending::Success || req.streaming || req.client_left;
        self.schedulers[base].in_flight -= 1.0;
        self.schedulers[base + 1].in_flight = (self.schedulers[base + 1].in_flight - units).max(0.0);
        self.observe(&attempt, class, plan, &end);
        self.record_usage(&customer, units, &end);
        if done {
            self.pending.remove(&end.id);
        } else if self.may_retry(end.id, never_ran) {
            self.retry_budget -= if never_ran { 0.0 } else { 1.0 };
            let resource = self.dominant_resource(pool, units);
            self.schedulers[resource].queues[plan].push_front(end.id);
        } else {
            self.give_up(end.id, out);
        }
    }

    /// Updates the averages and the server's capacity, slowness and outcomes from the end of an attempt.
    pub(super) fn observe(&mut self, attempt: &InFlight, class: usize, plan: usize, end: &AttemptEnd) {
        let now = self.now;
        let elapsed = secs(end.elapsed);
        let target = secs(self.settings.classes[class].latency_target);
        self.attempt_time += (elapsed - self.attempt_time) * GAIN / 4.0;
        let typical = self.latency[class].max(1e-6);
        // Beyond the paper: late answers lower their server's capacity, and all capacities if over one in
        // five is late. Guards against overload that feeds itself; harms classes that are late when idle.
        let success = end.ending == Ending::Success;
        let unanswered = end.ending == Ending::TimedOut && !attempt.cancelled;
        if unanswered || elapsed > target * LATE_FRACTION {
            self.usable = (self.usable * (1.0 - GAIN / 4.0)).max(GAIN / 4.0);
        } else if success {
            self.usable = (self.usable + GAIN / 20.0).min(1.0);
        }
        if success {
            self.latency[class] += (elapsed.min(target) - typical) * GAIN / 4.0;
        }
        let (decay_time, classes) = (self.decay_time(), self.settings.classes.len());
        let min_capacity = self.server_share(self.servers.len());
        let Some(s) = self.servers.get_mut(&attempt.server) else { return };
        s.in_flight = s.in_flight.saturating_sub(1);
        s.last_heard_at = now;
        let (overloaded, timed_out) = (end.ending == Ending::Overloaded, end.ending == Ending::TimedOut);
        let congested = overloaded || timed_out || success && elapsed > target;
        if success && elapsed <= target * LATE_FRACTION && f64::from(s.in_flight) + 1.0 >= s.capacity / 2.0 {
            s.capacity += (4.0 * min_capacity).min(1.0) / s.capacity.max(1.0);
        } else if congested && now - s.reduced_at > nanos(typical) {
            (s.capacity, s.reduced_at) = ((s.capacity * 0.75).max(min_capacity), now);
        }
        if success || timed_out {
            s.slowness += ((elapsed / typical).min(10.0) - s.slowness) * GAIN;
        }
        let failed =
            matches!(end.ending, Ending::Failure | Ending::Interrupted | Ending::Unreachable) || unanswered;
        let keep = (-secs(now - s.outcome_at) / decay_time).exp();
        s.outcome_at = now;
        s.outcomes.iter_mut().for_each(|o| *o = (o.0 * keep, o.1 * keep));
        for (slot, bad) in [(class, failed), (classes + plan, overloaded)] {
            if bad || failed || success {
                let (total, bad_total) = s.outcomes[slot];
                s.outcomes[slot] = (total * (1.0 - GAIN) + 1.0, bad_total * (1.0 - GAIN) + f64::from(bad));
            }
        }
    }

    pub(super) fn may_retry(&self, id: RequestId, never_ran: bool) -> bool {
        let req = &self.pending[&id];
        let class = &self.settings.classes[req.class];
        let allowed = match (req.executed, class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some((first, ..)), Effect::Keyed) => self.now + self.settings.tick < first + class.key_ttl,
            (Some(_), Effect::Unsafe) => false,
        };
        let within_budget = never_ran || self.retry_budget >= 1.0;
        allowed && req.sends < self.settings.max_attempts && self.now < req.send_by && within_budget
    }

    /// Answers a request that has no attempt in flight: with a refusal only if no attempt can have run.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.pending.remove(&id) else { return };
        let refusal = || Action::Reject { id, advice: self.retry_advice() };
        out.push(req.executed.map_or_else(refusal, |_| Action::Fail { id }));
    }

    /// Returns the delay after which to retry: the time that all waiting requests and one more take.
    pub(super) fn retry_advice(&self) -> Time {
        let waiting: usize = self.schedulers.iter().flat_map(|s| &s.queues).map(VecDeque::len).sum();
        let in_flight: f64 = self.schedulers.iter().step_by(RESOURCES).map(|s| s.in_flight).sum();
        let rate = in_flight.max(1.0) / self.attempt_time.max(secs(self.settings.tick));
        let delay = nanos((waiting + 1) as f64 / rate).min(self.settings.max_retry_after);
        delay * Time::from(self.settings.retry_after)
    }

    /// Handles a request's timer: gives up an unsent request; a sent one may be queued until `send_by`.
    pub(super) fn request_timer_fired(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(id) = self.timers.remove(&token) else { return };
        let Some(req) = self.pending.get(&id) else { return };
        if req.attempt.is_none() && (req.sends == 0 || self.now >= req.send_by) {
            self.give_up(id, out);
        } else if self.now < req.send_by {
            self.set_timer(id, req.send_by, out);
        }
    }

    /// Handles the departure of a client. An attempt in flight keeps its slot until it ends.
    pub(super) fn client_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancelling = self.settings.cancelling;
        let Some(req) = self.pending.get_mut(&id) else { return };
        let Some(attempt) = req.attempt.as_mut() else { return drop(self.pending.remove(&id)) };
        req.client_left = true;
        if cancelling && !attempt.cancelled && !req.streaming {
            attempt.cancelled = true;
            out.push(Action::Cancel { id, attempt: attempt.attempt });
        }
    }
}
