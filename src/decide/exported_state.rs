//! What one process of this gateway leaves for the next.

use super::*;

/// The exported state. Fields have their stored names: another version of the program may read it.
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

/// What was learnt of a server that started at this time.
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
    /// The state for the next process, as text.
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

    /// Takes over that state, less what this process has admitted since its start.
    pub fn import_state(&mut self, now: Time, left: &str) -> Result<(), String> {
        let left: ExportedState = serde_json::from_str(left).map_err(|e| e.to_string())?;
        let slots = self.settings.classes.len() + self.settings.plans.len();
        let fits = left.version == STATE_VERSION
            && left.usual.len() == self.latency.len()
            && left.usual.iter().all(|u| *u > 0.0)
            && left.customers.values().all(|c| c.plan < self.settings.plans.len() && c.spread >= 1.0)
            && left.servers.values().all(|s| s.ends.len() == slots && s.room > 0.0 && s.slow > 0.0);
        if !fits {
            return Err("not of this version, or not of these settings".into());
        }
        self.now = self.now.max(now);
        let now = self.now;
        for (name, mut old) in left.customers {
            let plan = &self.settings.plans[old.plan];
            old.out = 0;
            for time in [&mut old.seen, &mut old.at, &mut old.metered_at] {
                *time = now.min(*time);
            }
            if let Some(own) = self.customers.get(&*name) {
                let burst = secs(now - self.started_at) * plan.hard_limit_rate;
                old.level -= (plan.depth - own.level).max(0.0);
                old.ceiling -= (burst.min(plan.hard_limit_burst) / own.spread - own.ceiling).max(0.0);
                (old.out, old.seen) = (own.out, own.seen);
                (old.asked, old.passed) = (old.asked + own.asked, old.passed + own.passed);
            }
            self.customers.insert(name.into(), old);
        }
        for (name, old) in left.servers {
            if let Some(s) = self.servers.get_mut(&*name).filter(|s| s.since == old.since) {
                (s.capacity, s.slowness, s.outcomes, s.outcome_at) = (old.room, old.slow, old.ends, now);
            }
        }
        (self.started_at, self.attempt_time, self.mean_units) =
            (left.born.min(now), left.hold, left.mean_units);
        self.latency = left.usual;
        Ok(())
    }
}
