//! State that one process of this gateway exports for the next.

use super::*;

/// The exported state. Its field names are stored, since another version of the program may read them:
/// `born` is the first start, `hold` the mean attempt time, `usual` the latency per class.
#[derive(Serialize, Deserialize)]
struct ExportedState {
    version: u32,
    born: Time,
    hold: f64,
    mean_units: f64,
    usual: Vec<f64>,
    customers: BTreeMap<String, Customer>,
    servers: BTreeMap<String, ExportedServer>,
}

/// Capacity (`room`), slowness and outcomes (`ends`) of a server whose latest start was at `since`.
#[derive(Serialize, Deserialize)]
struct ExportedServer {
    since: Time,
    room: f64,
    slow: f64,
    ends: Vec<(f64, f64)>,
}

impl Server {
    fn export(&self) -> ExportedServer {
        let (room, slow, ends) = (self.capacity, self.slowness, self.outcomes.clone());
        ExportedServer { since: self.since, room, slow, ends }
    }
}

impl Gateway {
    /// Returns the state for the next process, as JSON.
    pub fn export_state(&self) -> String {
        let mut latest: Vec<(&Name, &Customer)> = self.customers.iter().collect();
        latest.sort_by_key(|(_, c)| std::cmp::Reverse(c.seen));
        latest.truncate(MAX_EXPORTED_CUSTOMERS);
        let customers = latest.into_iter().map(|(n, c)| (n.to_string(), c.clone())).collect();
        let servers = self.servers.iter().map(|(n, s)| (n.to_string(), s.export())).collect();
        let (version, born, hold) = (STATE_VERSION, self.started_at, self.attempt_time);
        let (mean_units, usual) = (self.mean_units, self.latency.clone());
        let state = ExportedState { version, born, hold, mean_units, usual, customers, servers };
        serde_json::to_string(&state).unwrap_or_default()
    }

    /// Imports the state of the previous process, less what this process has admitted since its start.
    pub fn import_state(&mut self, now: Time, state: &str) -> Result<(), String> {
        let old: ExportedState = serde_json::from_str(state).map_err(|e| e.to_string())?;
        let slots = self.settings.classes.len() + self.settings.plans.len();
        let fits = old.version == STATE_VERSION
            && old.usual.len() == self.latency.len()
            && old.usual.iter().all(|latency| *latency > 0.0)
            && old.customers.values().all(|c| c.plan < self.settings.plans.len() && c.spread >= 1.0)
            && old.servers.values().all(|s| s.ends.len() == slots && s.room > 0.0 && s.slow > 0.0);
        if !fits {
            return Err("state of another version or of other settings".into());
        }
        self.now = self.now.max(now);
        let now = self.now;
        for (name, mut c) in old.customers {
            let plan = &self.settings.plans[c.plan];
            c.in_flight = 0;
            for time in [&mut c.seen, &mut c.updated_at, &mut c.metered_at] {
                *time = now.min(*time);
            }
            if let Some(own) = self.customers.get(&*name) {
                let refilled = secs(now - self.started_at) * plan.hard_limit_rate;
                c.level -= (plan.depth - own.level).max(0.0);
                c.ceiling -= (refilled.min(plan.hard_limit_burst) / own.spread - own.ceiling).max(0.0);
                (c.in_flight, c.seen) = (own.in_flight, own.seen);
                (c.requested, c.admitted) = (c.requested + own.requested, c.admitted + own.admitted);
            }
            self.customers.insert(name.into(), c);
        }
        for (name, prev) in old.servers {
            if let Some(s) = self.servers.get_mut(&*name).filter(|s| s.since == prev.since) {
                (s.capacity, s.slowness, s.outcomes, s.outcome_at) = (prev.room, prev.slow, prev.ends, now);
            }
        }
        (self.started_at, self.attempt_time, self.mean_units) = (old.born.min(now), old.hold, old.mean_units);
        self.latency = old.usual;
        Ok(())
    }
}
