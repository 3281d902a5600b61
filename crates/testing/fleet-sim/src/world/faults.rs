//! What goes wrong, and what mends it.

use super::*;

impl World {
    /// Puts in what the world has planned.
    pub(super) fn planned(&mut self) {
        let (from, until) = self.spec.planner_down.unzip();
        let flood = self.spec.flood.unzip();
        let all = [
            from.zip(until.map(Planned::PlannerDown)),
            self.spec.power_cut.map(|at| (at, Planned::PowerCut)),
            flood.0.zip(flood.1.map(Planned::Flood)),
            self.spec.crash.map(|at| (at, Planned::Crash)),
            self.spec.blackouts[0].map(|(at, tenths)| (at, Planned::Blackout(tenths))),
            self.spec.blackouts[1].map(|(at, tenths)| (at, Planned::Blackout(tenths))),
        ];
        for (at, what) in all.into_iter().flatten() {
            self.at(at, Event::Planned(what));
        }
    }

    pub(super) fn happen(&mut self, what: Planned) {
        self.trace.tell(self.now, || format!("as planned: {what:?}"));
        match what {
            Planned::PlannerDown(until) => {
                if let Some(p) = self.planners.first_mut() {
                    p.up = false;
                    self.at(until, Event::Mend(Mend::Planner(0)));
                }
            }
            Planned::PowerCut => {
                for s in 0..self.servers.len() * self.spec.power_cut_tenths / 10 {
                    self.servers[s].stop();
                    self.servers[s].listed = Listed::Gone;
                    self.cut(s);
                    self.at(self.now + 1000 * MS, Event::Mend(Mend::Server(s)));
                }
                self.publish();
            }
            Planned::Flood(until) => {
                self.flood = Some(0);
                self.at(until, Event::Mend(Mend::Flood));
            }
            Planned::Blackout(tenths) => {
                let all = self.processes.len();
                for g in self.memory.choose_multiple(0..all, all * tenths / 10) {
                    if std::mem::replace(&mut self.processes[g].up, false) {
                        self.observer.died(g, self.processes[g].life);
                        let away = if self.spec.bad_disks { 200..600 } else { 950..1100 };
                        let back = self.now + self.memory.u64(away) * MS;
                        self.at(back, Event::Mend(Mend::Gateway(g)));
                    }
                }
            }
            Planned::Crash => {
                let p = &mut self.processes[0];
                p.up = false;
                self.observer.died(0, p.life);
                self.at(self.now + 2000 * MS, Event::Mend(Mend::Gateway(0)));
            }
        }
    }

    /// Some gateway's view of the fleet says whatever it likes: no rule may rest on it.
    pub(super) fn lie(&mut self) {
        let Some(every) = self.spec.lies.filter(|_| self.now < self.end()) else { return };
        let gap = exponential(&mut self.chance, every as f64 / self.processes.len() as f64) as Time;
        self.at(self.now + gap.max(MS), Event::Lie);
        let g = self.chance.usize(0..self.processes.len());
        let gateways = match self.chance.u32(0..5) {
            0 => 0,
            1 => 1,
            2 => self.chance.u32(2..20),
            3 => self.chance.u32(20..5000),
            _ => u32::MAX,
        };
        let me = self.chance.u32(..);
        self.trace.tell(self.now, || format!("gateway {g} believes to be number {me} of {gateways}"));
        if self.processes[g].up {
            self.give(g, Input::GatewayPosition { position: me, gateways });
        }
    }

    pub(super) fn fault(&mut self) {
        let Some(every) = self.spec.fault_every.filter(|_| self.now < self.end()) else { return };
        let gap = exponential(&mut self.chance, every as f64) as Time;
        self.at(self.now + gap, Event::Fault);
        let number = self.counts.faults;
        self.counts.faults += 1;
        if self.cuts.faults.contains(&number) {
            return;
        }
        // Each has chance of its own: one that is left out changes nothing in the others.
        self.sooner = self.cuts.sooner.get(&number).copied().unwrap_or(0);
        let whole = std::mem::replace(&mut self.chance, stream(self.seed, &format!("fault {number}")));
        self.fault_now();
        self.chance = whole;
    }

    pub(super) fn fault_now(&mut self) {
        let (s, g) = (self.chance.usize(0..self.servers.len()), self.chance.usize(0..self.processes.len()));
        let sooner = self.sooner;
        let wait = |rng: &mut Rng, range: std::ops::Range<u64>| (rng.u64(range) * MS) >> sooner;
        let kinds = if self.planners.is_empty() { 8 } else { 12 };
        let kind = self.chance.u32(0..kinds);
        self.trace.tell(self.now, || format!("fault {kind}: server {s}, gateway {g}"));
        match kind {
            0 => {
                self.servers[s].stop();
                self.servers[s].listed = Listed::Gone;
                self.cut(s);
                self.publish();
                let back = self.now + wait(&mut self.chance, 300..4000);
                self.at(back, Event::Mend(Mend::Server(s)));
            }
            1 => {
                self.servers[s].mood = Mood::FailsFast(0.3 + 0.65 * self.chance.f64());
                let back = self.now + wait(&mut self.chance, 1000..6000);
                self.at(back, Event::Mend(Mend::Mood(s)));
            }
            2 => {
                self.servers[s].mood = Mood::Silent;
                let back = self.now + wait(&mut self.chance, 500..3000);
                self.at(back, Event::Mend(Mend::Mood(s)));
            }
            3 | 4 => {
                if self.servers[s].up {
                    self.servers[s].listed = Listed::Draining;
                    self.publish();
                    let back = self.now + wait(&mut self.chance, 2000..6000);
                    self.at(back, Event::Mend(Mend::Drained(s)));
                }
            }
            5 => {
                let p = &mut self.processes[g];
                if p.up {
                    p.up = false;
                    self.observer.died(g, p.life);
                    let back = self.now + wait(&mut self.chance, 300..4000);
                    self.at(back, Event::Mend(Mend::Gateway(g)));
                }
            }
            6 => {
                let until = self.now + wait(&mut self.chance, 20..1500);
                let p = &mut self.processes[g];
                // What it was to find when it goes on waits till then: a second pause only makes it longer.
                p.paused_until = p.paused_until.max(until);
            }
            7 => {
                // A partner: they have ceilings.
                self.flood = Some(self.chance.usize(0..self.spec.customers) / 4 * 4);
                if self.spec.bad_disks {
                    // What it spends in its first moments no snapshot has seen.
                    let at = self.now + self.memory.u64(50..700) * MS;
                    self.at(at, Event::Planned(Planned::Blackout(10)));
                }
                let back = self.now + wait(&mut self.chance, 1000..5000);
                self.at(back, Event::Mend(Mend::Flood));
            }
            8 => {
                let n = self.chance.usize(0..self.planners.len());
                self.planners[n].up = false;
                let back = self.now + wait(&mut self.chance, 100..4000);
                self.at(back, Event::Mend(Mend::Planner(n)));
            }
            9 => {
                let n = self.chance.usize(0..self.planners.len());
                let until = self.now + wait(&mut self.chance, 50..4000);
                self.planners[n].paused_until = self.planners[n].paused_until.max(until);
            }
            _ => {
                let half = kind == 10;
                for (f, links) in self.links.iter_mut().enumerate() {
                    for (n, link) in links.iter_mut().enumerate() {
                        *link = if half {
                            let same = (f < self.processes.len() / 2) == (n == 0);
                            (same, same)
                        } else {
                            (self.chance.bool(), self.chance.bool())
                        };
                    }
                }
                let back = self.now + wait(&mut self.chance, 300..4000);
                self.at(back, Event::Mend(Mend::Links));
            }
        }
    }

    pub(super) fn mend(&mut self, what: &Mend) {
        self.trace.tell(self.now, || format!("mended: {what:?}"));
        match *what {
            Mend::Server(s) => {
                if !self.servers[s].up && !self.servers[s].fallen {
                    self.servers[s].start(self.now);
                    self.publish();
                }
            }
            Mend::Mood(s) => self.servers[s].mood = Mood::Well,
            Mend::Drained(s) => {
                if self.servers[s].listed == Listed::Draining {
                    self.servers[s].listed = Listed::Up;
                    self.publish();
                }
            }
            Mend::Gateway(g) => self.restart(g),
            Mend::Planner(n) => {
                let what = planner(&self.terms, &mut self.lives);
                (self.planners[n].what, self.planners[n].up) = (what, true);
            }
            Mend::Links => self.links.iter_mut().flatten().for_each(|l| *l = (true, true)),
            Mend::Flood => self.flood = None,
        }
    }

    /// A gateway comes back with nothing but its last list.
    pub(super) fn restart(&mut self, g: usize) {
        let (spec, terms, now) = (&self.spec, &self.terms, self.now);
        let p = &mut self.processes[g];
        (p.life, p.up, p.paused_until) = (p.life + 1, true, 0);
        p.engine = engine(spec, terms, g, p.life, p.clock(now), (&mut self.lives, &self.truth));
        p.out.clear();
        (p.wake_at, p.rev) = (None, 0);
        let (life, entries) = (p.life, list(p));
        self.give(g, Input::ServerList { scope: Scope::Cached, rev: 0, entries });
        if self.spec.snapshots.is_some() {
            self.remember(g);
        }
        if self.spec.planners > 0 {
            self.at(now, Event::To { gateway: g, life, what: Inward::Tick });
        }
        // Discovery is asked anew.
        let what = Inward::Told { rev: self.rev, entries: self.entries() };
        let at = now + self.net.u64(50..1500) * MS;
        self.at(at, Event::To { gateway: g, life, what });
    }
}
