//! From one process of this gateway to the next.

use super::*;

/// What one process of a gateway leaves for the next.
#[derive(Serialize, Deserialize)]
struct Legacy {
    version: u32,
    born: Time,
    hold: f64,
    mean_units: f64,
    usual: Vec<f64>,
    customers: BTreeMap<String, Customer>,
    servers: BTreeMap<String, Learnt>,
}

/// What was learnt of a server that started then.
#[derive(Serialize, Deserialize)]
struct Learnt {
    since: Time,
    room: f64,
    slow: f64,
    ends: Vec<(f64, f64)>,
}

impl Gateway {
    /// What the next one is to go on with, as text.
    pub fn leave(&self) -> String {
        let mut latest: Vec<(&Name, &Customer)> = self.customers.iter().collect();
        latest.sort_by_key(|(_, c)| std::cmp::Reverse(c.seen));
        let customers = latest.into_iter().take(LEFT).map(|(n, c)| (n.to_string(), c.clone())).collect();
        let learnt = |s: &Server| Learnt { since: s.since, room: s.room, slow: s.slow, ends: s.ends.clone() };
        let servers = self.servers.iter().map(|(n, s)| (n.to_string(), learnt(s))).collect();
        let (version, born, hold, mean_units) = (LEGACY, self.born, self.hold, self.mean_units);
        let usual = self.usual.clone();
        let left = Legacy { version, born, hold, mean_units, usual, customers, servers };
        serde_json::to_string(&left).unwrap_or_default()
    }

    /// Goes on with it, less what this one has let pass since it began.
    pub fn take_over(&mut self, now: Time, left: &str) -> Result<(), String> {
        // Numbers that are not finite don't come through the text.
        let left: Legacy = serde_json::from_str(left).map_err(|e| e.to_string())?;
        let slots = self.s.classes.len() + self.s.plans.len();
        let fits = left.version == LEGACY
            && left.usual.len() == self.usual.len()
            && left.usual.iter().all(|u| *u > 0.0)
            && left.customers.values().all(|c| c.plan < self.s.plans.len() && c.spread >= 1.0)
            && left.servers.values().all(|s| s.ends.len() == slots && s.room > 0.0 && s.slow > 0.0);
        if !fits {
            return Err("not of this version, or not of these settings".into());
        }
        self.now = self.now.max(now);
        let now = self.now;
        for (name, mut old) in left.customers {
            let plan = &self.s.plans[old.plan];
            old.out = 0;
            for time in [&mut old.seen, &mut old.at, &mut old.metered_at] {
                *time = now.min(*time);
            }
            if let Some(own) = self.customers.get(&*name) {
                let burst = secs(now - self.born) * plan.ceiling_rate;
                old.level -= (plan.depth - own.level).max(0.0);
                old.ceiling -= (burst.min(plan.ceiling_burst) / own.spread - own.ceiling).max(0.0);
                (old.out, old.seen) = (own.out, own.seen);
                (old.asked, old.passed) = (old.asked + own.asked, old.passed + own.passed);
            }
            self.customers.insert(name.into(), old);
        }
        for (name, old) in left.servers {
            if let Some(s) = self.servers.get_mut(&*name).filter(|s| s.since == old.since) {
                (s.room, s.slow, s.ends, s.ended) = (old.room, old.slow, old.ends, now);
            }
        }
        (self.born, self.hold, self.mean_units) = (left.born.min(now), left.hold, left.mean_units);
        self.usual = left.usual;
        Ok(())
    }
}
