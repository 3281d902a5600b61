//! What the end of an attempt teaches, and what becomes of its request.

use super::*;

impl Gateway {
    pub(super) fn ended(&mut self, e: AttemptEnd, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(l) = e.load {
            if let Some(s) = self.servers.get_mut(&e.server) {
                let told = l.inflight.map(|n| n - f64::from(s.own)).or(l.queue);
                (s.others, s.reported) = (told.unwrap_or(0.0).max(0.0), now);
                self.others += (s.others - self.others) * GAIN / 4.0;
            }
        }
        let Some(h) = self.held.get_mut(&e.id) else { return };
        if h.out.as_ref().is_none_or(|o| o.attempt != e.attempt) {
            return;
        }
        let o = h.out.take().expect("just seen");
        let (class, units, customer) = (h.class, h.units, h.customer.clone());
        let never = matches!(e.ending, Ending::Full | Ending::NoRoute | Ending::Stale);
        if !never && h.ran.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            h.ran = Some((o.at, zone, cell));
        }
        h.tried.push(o.server.clone());
        h.draw = self.rng.f64();
        let (plan, base) = (h.plan, RESOURCES * h.pool);
        let done = e.last || e.ending == Ending::Pass || h.streaming || h.gone;
        self.subs[base].in_flight -= 1.0;
        self.subs[base + 1].in_flight = (self.subs[base + 1].in_flight - units).max(0.0);
        self.answer(&o, class, plan, &e);
        self.settle(&customer, units, &e);
        if done {
            self.held.remove(&e.id);
        } else if self.may_repeat(e.id, never) {
            if !never {
                self.retries -= 1.0;
            }
            let (res, plan) = (self.dominant(self.held[&e.id].pool, units), self.held[&e.id].plan);
            self.subs[res].queues[plan].push_front(e.id);
        } else {
            self.finish(e.id, out);
        }
    }

    /// What an answer tells of its server: room, pace, health.
    pub(super) fn answer(&mut self, o: &Out, class: usize, plan: usize, e: &AttemptEnd) {
        let now = self.now;
        let took = secs(e.elapsed);
        let aim = secs(self.s.classes[class].aim);
        self.hold += (took - self.hold) * GAIN / 4.0;
        let usual = self.usual[class].max(1e-6);
        // Beyond the paper: late answers from one server narrow its own room; when they outnumber one in
        // five over all servers, the whole is too full, and each closes a part of every room. Guards against
        // jams that feed on themselves, whatever began them; harms where a class is late on idle servers.
        let pass = e.ending == Ending::Pass;
        let silent = e.ending == Ending::Late && !o.cancelled;
        if silent || took > aim * LATE {
            self.open = (self.open * (1.0 - GAIN / 4.0)).max(GAIN / 4.0);
        } else if pass {
            self.open = (self.open + GAIN / 20.0).min(1.0);
        }
        if pass {
            self.usual[class] += (took.min(aim) - usual) * GAIN / 4.0;
        }
        let (memory, classes) = (self.memory(), self.s.classes.len());
        let least = self.stake(self.servers.len());
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        s.own = s.own.saturating_sub(1);
        s.heard = now;
        let full = e.ending == Ending::Full;
        if pass && took <= aim * LATE && f64::from(s.own) + 1.0 >= s.room / 2.0 {
            s.room += (4.0 * least).min(1.0) / s.room.max(1.0);
        } else if (full || e.ending == Ending::Late || pass && took > aim) && now - s.narrowed > nanos(usual)
        {
            (s.room, s.narrowed) = ((s.room * 0.75).max(least), now);
        }
        if pass || e.ending == Ending::Late {
            s.slow += ((took / usual).min(10.0) - s.slow) * GAIN;
        }
        let failed = silent || matches!(e.ending, Ending::Fault | Ending::Cut | Ending::NoRoute);
        let keep = (-secs(now - s.ended) / memory).exp();
        s.ended = now;
        s.ends.iter_mut().for_each(|x| *x = (x.0 * keep, x.1 * keep));
        for (slot, bad) in [(class, failed), (classes + plan, full)] {
            if bad || failed || pass {
                let (n, b) = s.ends[slot];
                s.ends[slot] = (n * (1.0 - GAIN) + 1.0, b * (1.0 - GAIN) + f64::from(bad));
            }
        }
    }

    pub(super) fn may_repeat(&self, id: RequestId, never: bool) -> bool {
        let h = &self.held[&id];
        let class = &self.s.classes[h.class];
        let allowed = match (h.ran, class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some((first, ..)), Effect::Keyed) => self.now + self.s.tick < first + class.key_ttl,
            (Some(_), Effect::Unsafe) => false,
        };
        allowed && h.sends < self.s.try_limit && self.now < h.hope && (never || self.retries >= 1.0)
    }

    /// The final answer of a request that is not out: a refusal only if nothing can have run.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.remove(&id) else { return };
        let refusal = || Action::Reject { id, advice: self.relief() };
        out.push(h.ran.map_or_else(refusal, |_| Action::Fail { id }));
    }

    /// When there should be room for one more, for a client that was given up on: as long as it takes, at the
    /// pace of the attempts that are out, to end as many as wait before it.
    pub(super) fn relief(&self) -> Time {
        let waiting: usize = self.subs.iter().flat_map(|s| &s.queues).map(VecDeque::len).sum();
        let out: f64 = self.subs.iter().step_by(RESOURCES).map(|s| s.in_flight).sum();
        let pace = out.max(1.0) / self.hold.max(secs(self.s.tick));
        let relief = nanos((waiting + 1) as f64 / pace).min(self.s.max_retry_after);
        relief * Time::from(self.s.retry_after)
    }

    /// A request's timer: if it still waits here, it waits no longer; one that was sent before may wait again
    /// while there is hope.
    pub(super) fn due(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(id) = self.timers.remove(&token) else { return };
        let Some(h) = self.held.get(&id) else { return };
        if h.out.is_none() && (h.sends == 0 || self.now >= h.hope) {
            self.finish(id, out);
        } else if self.now < h.hope {
            self.timer(id, h.hope, out);
        }
    }

    /// The client left. The attempt still out keeps its room until its end is known.
    pub(super) fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancelling = self.s.cancelling;
        let Some(h) = self.held.get_mut(&id) else { return };
        let Some(o) = h.out.as_mut() else { return drop(self.held.remove(&id)) };
        h.gone = true;
        if cancelling && !o.cancelled && !h.streaming {
            o.cancelled = true;
            out.push(Action::Cancel { id, attempt: o.attempt });
        }
    }
}
