//! Fault injection and recovery.

use super::*;

impl World {
    /// Schedules the faults that the world specifies at fixed times.
    pub(super) fn schedule_planned_faults(&mut self) {
        let (from, until) = self.spec.planner_down.unzip();
        let flood = self.spec.flood.unzip();
        let all = [
            from.zip(until.map(PlannedFault::PlannerDown)),
            self.spec.power_cut.map(|at| (at, PlannedFault::PowerCut)),
            flood.0.zip(flood.1.map(PlannedFault::Flood)),
            self.spec.crash.map(|at| (at, PlannedFault::Crash)),
            self.spec.blackouts[0].map(|(at, tenths)| (at, PlannedFault::Blackout(tenths))),
            self.spec.blackouts[1].map(|(at, tenths)| (at, PlannedFault::Blackout(tenths))),
        ];
        for (at, what) in all.into_iter().flatten() {
            self.schedule(at, Event::PlannedFault(what));
        }
    }

    pub(super) fn apply_planned_fault(&mut self, what: PlannedFault) {
        self.trace.log(self.now, || format!("as planned: {what:?}"));
        match what {
            PlannedFault::PlannerDown(until) => {
                if let Some(p) = self.planners.first_mut() {
                    p.running = false;
                    self.schedule(until, Event::Recovery(Recovery::Planner(0)));
                }
            }
            PlannedFault::PowerCut => {
                for s in 0..self.servers.len() * self.spec.power_cut_tenths / 10 {
                    self.servers[s].stop();
                    self.servers[s].listed = Listed::Gone;
                    self.break_connections(s);
                    self.schedule(self.now + 1000 * MS, Event::Recovery(Recovery::Server(s)));
                }
                self.publish();
            }
            PlannedFault::Flood(until) => {
                self.flood = Some(0);
                self.schedule(until, Event::Recovery(Recovery::Flood));
            }
            PlannedFault::Blackout(tenths) => {
                let all = self.processes.len();
                for g in self.snapshot_rng.choose_multiple(0..all, all * tenths / 10) {
                    if std::mem::replace(&mut self.processes[g].running, false) {
                        self.observer.process_stopped(g, self.processes[g].generation);
                        let away = if self.spec.bad_disks { 200..600 } else { 950..1100 };
                        let back = self.now + self.snapshot_rng.u64(away) * MS;
                        self.schedule(back, Event::Recovery(Recovery::Gateway(g)));
                    }
                }
            }
            PlannedFault::Crash => {
                let p = &mut self.processes[0];
                p.running = false;
                self.observer.process_stopped(0, p.generation);
                self.schedule(self.now + 2000 * MS, Event::Recovery(Recovery::Gateway(0)));
            }
        }
    }

    /// Reports an arbitrary position and fleet size to one gateway: no rule may depend on this view.
    pub(super) fn inject_false_position(&mut self) {
        let Some(every) = self.spec.false_position_every.filter(|_| self.now < self.end()) else { return };
        let gap = exponential(&mut self.fault_rng, every as f64 / self.processes.len() as f64) as Time;
        self.schedule(self.now + gap.max(MS), Event::FalsePosition);
        let g = self.fault_rng.usize(0..self.processes.len());
        let gateways = match self.fault_rng.u32(0..5) {
            0 => 0,
            1 => 1,
            2 => self.fault_rng.u32(2..20),
            3 => self.fault_rng.u32(20..5000),
            _ => u32::MAX,
        };
        let me = self.fault_rng.u32(..);
        self.trace.log(self.now, || format!("gateway {g} believes to be number {me} of {gateways}"));
        if self.processes[g].running {
            self.handle_input(g, Input::GatewayPosition { position: me, gateways });
        }
    }

    pub(super) fn next_fault(&mut self) {
        let Some(every) = self.spec.fault_every.filter(|_| self.now < self.end()) else { return };
        let gap = exponential(&mut self.fault_rng, every as f64) as Time;
        self.schedule(self.now + gap, Event::Fault);
        let number = self.counts.faults;
        self.counts.faults += 1;
        if self.cuts.faults.contains(&number) {
            return;
        }
        // Each fault has a random stream of its own, so that removing one leaves the others
        // unchanged.
        self.delay_halvings = self.cuts.delay_halvings.get(&number).copied().unwrap_or(0);
        let whole = std::mem::replace(&mut self.fault_rng, stream(self.seed, &format!("fault {number}")));
        self.inject_fault();
        self.fault_rng = whole;
    }

    pub(super) fn inject_fault(&mut self) {
        let (s, g) =
            (self.fault_rng.usize(0..self.servers.len()), self.fault_rng.usize(0..self.processes.len()));
        let delay_halvings = self.delay_halvings;
        let wait = |rng: &mut Rng, range: std::ops::Range<u64>| (rng.u64(range) * MS) >> delay_halvings;
        let kinds = if self.planners.is_empty() { 8 } else { 12 };
        let kind = self.fault_rng.u32(0..kinds);
        self.trace.log(self.now, || format!("fault {kind}: server {s}, gateway {g}"));
        match kind {
            0 => {
                self.servers[s].stop();
                self.servers[s].listed = Listed::Gone;
                self.break_connections(s);
                self.publish();
                let back = self.now + wait(&mut self.fault_rng, 300..4000);
                self.schedule(back, Event::Recovery(Recovery::Server(s)));
            }
            1 => {
                self.servers[s].condition = Condition::FailsFast(0.3 + 0.65 * self.fault_rng.f64());
                let back = self.now + wait(&mut self.fault_rng, 1000..6000);
                self.schedule(back, Event::Recovery(Recovery::Mood(s)));
            }
            2 => {
                self.servers[s].condition = Condition::Silent;
                let back = self.now + wait(&mut self.fault_rng, 500..3000);
                self.schedule(back, Event::Recovery(Recovery::Mood(s)));
            }
            3 | 4 => {
                if self.servers[s].running {
                    self.servers[s].listed = Listed::Draining;
                    self.publish();
                    let back = self.now + wait(&mut self.fault_rng, 2000..6000);
                    self.schedule(back, Event::Recovery(Recovery::Drained(s)));
                }
            }
            5 => {
                let p = &mut self.processes[g];
                if p.running {
                    p.running = false;
                    self.observer.process_stopped(g, p.generation);
                    let back = self.now + wait(&mut self.fault_rng, 300..4000);
                    self.schedule(back, Event::Recovery(Recovery::Gateway(g)));
                }
            }
            6 => {
                let until = self.now + wait(&mut self.fault_rng, 20..1500);
                let p = &mut self.processes[g];
                // Events held back until the gateway resumes wait for that time, so a second
                // pause may only extend the first.
                p.paused_until = p.paused_until.max(until);
            }
            7 => {
                // Selects a partner, since only partners have ceilings.
                self.flood = Some(self.fault_rng.usize(0..self.spec.customers) / 4 * 4);
                if self.spec.bad_disks {
                    // The gateways are killed in the first moments of the flood, whose
                    // usage no snapshot contains.
                    let at = self.now + self.snapshot_rng.u64(50..700) * MS;
                    self.schedule(at, Event::PlannedFault(PlannedFault::Blackout(10)));
                }
                let back = self.now + wait(&mut self.fault_rng, 1000..5000);
                self.schedule(back, Event::Recovery(Recovery::Flood));
            }
            8 => {
                let n = self.fault_rng.usize(0..self.planners.len());
                self.planners[n].running = false;
                let back = self.now + wait(&mut self.fault_rng, 100..4000);
                self.schedule(back, Event::Recovery(Recovery::Planner(n)));
            }
            9 => {
                let n = self.fault_rng.usize(0..self.planners.len());
                let until = self.now + wait(&mut self.fault_rng, 50..4000);
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
                            (self.fault_rng.bool(), self.fault_rng.bool())
                        };
                    }
                }
                let back = self.now + wait(&mut self.fault_rng, 300..4000);
                self.schedule(back, Event::Recovery(Recovery::Links));
            }
        }
    }

    pub(super) fn recover(&mut self, what: &Recovery) {
        self.trace.log(self.now, || format!("mended: {what:?}"));
        match *what {
            Recovery::Server(s) => {
                if !self.servers[s].running && !self.servers[s].collapsed {
                    self.servers[s].start(self.now);
                    self.publish();
                }
            }
            Recovery::Mood(s) => self.servers[s].condition = Condition::Healthy,
            Recovery::Drained(s) => {
                if self.servers[s].listed == Listed::Draining {
                    self.servers[s].listed = Listed::Up;
                    self.publish();
                }
            }
            Recovery::Gateway(g) => self.restart(g),
            Recovery::Planner(n) => {
                let planner = new_planner(&self.lease_config, &mut self.restart_rng);
                (self.planners[n].planner, self.planners[n].running) = (planner, true);
            }
            Recovery::Links => self.links.iter_mut().flatten().for_each(|l| *l = (true, true)),
            Recovery::Flood => self.flood = None,
        }
    }

    /// Restarts a gateway, which keeps only its last server list.
    pub(super) fn restart(&mut self, g: usize) {
        let (spec, lease_config, now) = (&self.spec, &self.lease_config, self.now);
        let p = &mut self.processes[g];
        (p.generation, p.running, p.paused_until) = (p.generation + 1, true, 0);
        p.engine = new_engine(
            spec,
            lease_config,
            g,
            p.generation,
            p.clock(now),
            (&mut self.restart_rng, &self.true_loads),
        );
        p.open_attempts.clear();
        (p.wake_at, p.rev) = (None, 0);
        let (generation, entries) = (p.generation, server_list(p));
        self.handle_input(g, Input::ServerList { scope: Scope::Cached, rev: 0, entries });
        if self.spec.snapshot_every.is_some() {
            self.restore_snapshot(g);
        }
        if self.spec.planners > 0 {
            self.schedule(now, Event::AtGateway { gateway: g, generation, event: GatewayEvent::Tick });
        }
        // The gateway fetches the server list from discovery again.
        let event = GatewayEvent::ServerListUpdate { rev: self.rev, entries: self.entries() };
        let at = now + self.network_rng.u64(50..1500) * MS;
        self.schedule(at, Event::AtGateway { gateway: g, generation, event });
    }
}
