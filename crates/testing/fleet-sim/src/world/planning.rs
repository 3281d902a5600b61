//! Discovery and planners: delivery of server lists, reports and grants.

use super::*;

impl World {
    pub(super) fn entries(&self) -> Vec<(usize, Listed, Time)> {
        self.servers.iter().enumerate().map(|(n, s)| (n, s.listed, s.started_at)).collect()
    }

    /// Publishes the changed server list to every gateway, after a random delay.
    pub(super) fn publish(&mut self) {
        self.rev += 1;
        let (rev, entries) = (self.rev, self.entries());
        for gateway in 0..self.processes.len() {
            let generation = self.processes[gateway].generation;
            let event = GatewayEvent::ServerListUpdate { rev, entries: entries.clone() };
            let at = self.now + self.network_rng.u64(200..2500) * MS;
            self.schedule(at, Event::AtGateway { gateway, generation, event });
        }
    }

    pub(super) fn apply_server_list(
        &mut self,
        gateway: usize,
        rev: u64,
        entries: Vec<(usize, Listed, Time)>,
    ) {
        let p = &mut self.processes[gateway];
        // A newer list has already arrived.
        if rev <= p.rev {
            return;
        }
        (p.rev, p.list) = (rev, entries);
        for (n, listed, _) in &p.list {
            self.observer.server_listed(self.now, gateway, *n, *listed == Listed::Up);
        }
        let entries = server_list(p);
        self.handle_input(gateway, Input::ServerList { scope: Scope::Full, rev, entries });
    }

    /// Returns the delay of a message, or `None` if it is lost.
    pub(super) fn message(&mut self, open: bool) -> Option<Time> {
        if !open || self.spec.fault_every.is_some() && self.network_rng.u32(0..100) < 2 {
            return None;
        }
        Some(match self.network_rng.u32(0..100) {
            0 if self.spec.fault_every.is_some() => self.network_rng.u64(100..3000) * MS,
            1..=5 if self.spec.fault_every.is_some() => self.network_rng.u64(10..300) * MS,
            _ => self.network_rng.u64(200_000..3_000_000),
        })
    }

    /// Returns the number of copies to deliver: messages are occasionally duplicated.
    pub(super) fn copies(&mut self) -> usize {
        1 + usize::from(self.spec.fault_every.is_some() && self.network_rng.u32(0..100) < 2)
    }

    pub(super) fn report(&mut self, gateway: usize, planner: usize, report: Report) {
        let open = self.links[gateway][planner].0;
        for _ in 0..self.copies() {
            if let Some(delay) = self.message(open) {
                self.schedule(self.now + delay, Event::AtPlanner { planner, report: report.clone() });
            }
        }
    }

    pub(super) fn at_planner(&mut self, planner: usize, report: &Report) {
        let p = &mut self.planners[planner];
        if !p.running {
            return;
        }
        if p.paused_until > self.now {
            let (at, report) = (p.paused_until, report.clone());
            return self.schedule(at, Event::AtPlanner { planner, report });
        }
        let clock = p.offset + (self.now as f64 * p.rate) as Time;
        let answer = p.planner.handle(clock, report);
        if p.planner.panics() > 0 {
            self.observer.panicked(self.now, format!("planner {planner}"));
        }
        let Ok(mut grant) = answer else { return };
        if !self.spec.placement {
            grant.work_share = 1.0 / self.spec.gateways as f64;
        }
        let gateway = usize::from(report.seat);
        let generation = self.processes[gateway].generation;
        let open = self.links[gateway][planner].1;
        for _ in 0..self.copies() {
            if let Some(delay) = self.message(open) {
                let event = GatewayEvent::Grant { planner, grant: grant.clone() };
                self.schedule(self.now + delay, Event::AtGateway { gateway, generation, event });
            }
        }
    }
}
