//! Attempts at job servers, and what comes back.

use super::*;

impl World {
    pub(super) fn back(&mut self, job: &Job, ending: Ending, after: Time, facts: AttemptFacts) {
        let Job { gateway, life, id, attempt, .. } = *job;
        let at = self.now + after + self.net.u64(100_000..500_000);
        self.at(at, Event::To { gateway, life, what: Inward::Back { id, attempt, ending, facts } });
    }

    pub(super) fn at_server(&mut self, server: usize, job: Job) {
        let s = &mut self.servers[server];
        if !s.up {
            return self.back(&job, Ending::Interrupted, 0, AttemptFacts::default());
        }
        self.queued += s.load() as f64 / s.cores() as f64;
        self.counts.reached += 1;
        match s.mood {
            Mood::Silent => return,
            Mood::FailsFast(part) if self.work.f64() < part => {
                return self.back(&job, Ending::Failure, 2 * MS, AttemptFacts::default());
            }
            _ => {}
        }
        let (now, waits) = (self.now, job.clone());
        let taken = s.take(now, job);
        self.look(server);
        match taken {
            Taken::Runs(job, time) => self.runs(server, job, time),
            Taken::Waits => {}
            Taken::Full => {
                self.counts.turned_away += 1;
                self.back(&waits, Ending::Overloaded, 0, AttemptFacts::default());
            }
            Taken::FallsOver => {
                self.counts.fallen += 1;
                if !self.spec.mischief && self.spec.choice == Choice::Module {
                    self.observer.fell_over(now, server);
                }
                self.cut(server);
            }
        }
    }

    /// Notes a server's load for whoever is to know the truth.
    fn look(&self, server: usize) {
        if self.spec.choice == Choice::Least {
            let s = &self.servers[server];
            self.truth.borrow_mut()[server] = s.load() as f64 / (s.cores() as f64 * s.speed(self.now));
        }
    }

    pub(super) fn runs(&mut self, server: usize, job: Job, time: Time) {
        let born = self.servers[server].born;
        let (customer, class, units) = self.asked.get(&job.id).copied().unwrap_or_default();
        let repeat = class == 1 && self.keys.get(&job.id).is_some_and(|at| self.now < at + 2000 * MS);
        if !repeat {
            self.observer.ran(self.now, job.id);
            if class == 1 {
                self.keys.insert(job.id, self.now);
            }
            *self.meter.entry((customer, self.now / PERIOD)).or_default() += units;
        }
        self.record.work[server] += job.work;
        self.at(self.now + time, Event::Done { server, born, job });
    }

    pub(super) fn done(&mut self, server: usize, born: Time, job: &Job) {
        let s = &mut self.servers[server];
        if !s.up || s.born != born {
            return;
        }
        let next = s.done(self.now);
        self.look(server);
        let (customer, _, units) = self.asked.get(&job.id).copied().unwrap_or_default();
        // The last finished period, told late.
        let late = self.net.u64(340..1100) * MS;
        let period = (self.now.saturating_sub(late) / PERIOD).checked_sub(1);
        let used = period.and_then(|p| self.meter.get(&(customer, p)).copied()).unwrap_or(0.0);
        let rate = self.spec.settings(0).plans[plan_of(customer)].rate;
        let metered = Some(used / (PERIOD as f64 / 1e9) / rate);
        self.back(
            job,
            Ending::Success,
            0,
            AttemptFacts { settled: units, metered, ..AttemptFacts::default() },
        );
        if let Some((job, time)) = next {
            self.runs(server, job, time);
        }
    }

    /// A server's process has gone: whoever waits for it sees the connection break.
    pub(super) fn cut(&mut self, server: usize) {
        let mut broken = Vec::new();
        for (gateway, p) in self.processes.iter().enumerate() {
            let here = p.out.iter().filter(|(_, o)| o.server == server && o.written);
            broken.extend(here.map(|(id, o)| (gateway, p.life, *id, o.attempt)));
        }
        for (gateway, life, id, attempt) in broken {
            let (ending, facts) = (Ending::Interrupted, AttemptFacts::default());
            let at = self.now + self.net.u64(100_000..800_000);
            self.at(at, Event::To { gateway, life, what: Inward::Back { id, attempt, ending, facts } });
        }
    }
}
