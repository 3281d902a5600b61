//! Attempts at job servers, and their results.

use super::*;

impl World {
    pub(super) fn back(&mut self, job: &Job, ending: Ending, after: Time, facts: AttemptFacts) {
        let Job { gateway, generation, id, attempt, .. } = *job;
        let at = self.now + after + self.network_rng.u64(100_000..500_000);
        self.schedule(
            at,
            Event::AtGateway {
                gateway,
                generation,
                event: GatewayEvent::AttemptResult { id, attempt, ending, facts },
            },
        );
    }

    pub(super) fn at_server(&mut self, server: usize, job: Job) {
        let s = &mut self.servers[server];
        if !s.running {
            return self.back(&job, Ending::Interrupted, 0, AttemptFacts::default());
        }
        self.queued += s.load() as f64 / s.cores() as f64;
        self.counts.reached += 1;
        match s.condition {
            Condition::Silent => return,
            Condition::FailsFast(part) if self.work_rng.f64() < part => {
                return self.back(&job, Ending::Failure, 2 * MS, AttemptFacts::default());
            }
            _ => {}
        }
        let (now, refused) = (self.now, job.clone());
        let admission = s.admit(now, job);
        self.record_true_load(server);
        match admission {
            Admission::Started(job, time) => self.runs(server, job, time),
            Admission::Queued => {}
            Admission::Full => {
                self.counts.turned_away += 1;
                self.back(&refused, Ending::Overloaded, 0, AttemptFacts::default());
            }
            Admission::Collapsed => {
                self.counts.collapsed += 1;
                if !self.spec.faulty_module && self.spec.choice == Choice::Module {
                    self.observer.server_collapsed(now, server);
                }
                self.break_connections(server);
            }
        }
    }

    /// Records a server's load for the baseline that uses the true loads.
    fn record_true_load(&self, server: usize) {
        if self.spec.choice == Choice::Least {
            let s = &self.servers[server];
            self.true_loads.borrow_mut()[server] = s.load() as f64 / (s.cores() as f64 * s.speed(self.now));
        }
    }

    pub(super) fn runs(&mut self, server: usize, job: Job, time: Time) {
        let started_at = self.servers[server].started_at;
        let (customer, class, units) = self.requests.get(&job.id).copied().unwrap_or_default();
        let repeat = class == 1 && self.keys.get(&job.id).is_some_and(|at| self.now < at + 2000 * MS);
        if !repeat {
            self.observer.ran(self.now, job.id);
            if class == 1 {
                self.keys.insert(job.id, self.now);
            }
            *self.meter.entry((customer, self.now / METER_PERIOD)).or_default() += units;
        }
        self.record.work[server] += job.work;
        self.schedule(self.now + time, Event::Done { server, started_at, job });
    }

    pub(super) fn done(&mut self, server: usize, started_at: Time, job: &Job) {
        let s = &mut self.servers[server];
        if !s.running || s.started_at != started_at {
            return;
        }
        let next = s.done(self.now);
        self.record_true_load(server);
        let (customer, _, units) = self.requests.get(&job.id).copied().unwrap_or_default();
        // Usage of the last complete metering period, reported late.
        let late = self.network_rng.u64(340..1100) * MS;
        let period = (self.now.saturating_sub(late) / METER_PERIOD).checked_sub(1);
        let used = period.and_then(|p| self.meter.get(&(customer, p)).copied()).unwrap_or(0.0);
        let rate = self.spec.settings(0).plans[plan_of(customer)].rate;
        let metered = Some(used / (METER_PERIOD as f64 / 1e9) / rate);
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

    /// Breaks a stopped server's connections: attempts waiting for it are interrupted.
    pub(super) fn break_connections(&mut self, server: usize) {
        let mut broken = Vec::new();
        for (gateway, p) in self.processes.iter().enumerate() {
            let here = p.open_attempts.iter().filter(|(_, o)| o.server == server && o.written);
            broken.extend(here.map(|(id, o)| (gateway, p.generation, *id, o.attempt)));
        }
        for (gateway, generation, id, attempt) in broken {
            let (ending, facts) = (Ending::Interrupted, AttemptFacts::default());
            let at = self.now + self.network_rng.u64(100_000..800_000);
            self.schedule(
                at,
                Event::AtGateway {
                    gateway,
                    generation,
                    event: GatewayEvent::AttemptResult { id, attempt, ending, facts },
                },
            );
        }
    }
}
