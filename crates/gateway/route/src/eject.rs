//! Outlier ejection: servers that fail far more than their pool does are left alone for a while, a stated share of
//! the pool at most; and where too few are left, all are used (panic), since then the failing is not theirs.

use interface::{Name, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Stated figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most of a pool that is ejected at a time, 0 to 1.
    pub max_ejected_share: f64,
    /// Below this share of healthy servers all are used, 0 to 1.
    pub panic_threshold: f64,
    /// A server is an outlier when it fails this many times as often as the pool, and at least `least` of its ends.
    pub outlier_factor: f64,
    pub min_failure_rate: f64,
    /// Ends of a server that tell anything.
    pub min_outcomes: f64,
    /// The first ejection's length; each further one in a row is as long again, up to ten times.
    pub base_ejection_time: Time,
    /// For so long an end counts.
    pub memory: Time,
}

impl Default for Limits {
    fn default() -> Self {
        const S: Time = 1_000_000_000;
        Limits {
            max_ejected_share: 0.3,
            panic_threshold: 0.5,
            outlier_factor: 3.0,
            min_failure_rate: 0.5,
            min_outcomes: 5.0,
            base_ejection_time: 2 * S,
            memory: 10 * S,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerRecord {
    outcomes: f64,
    failures: f64,
    updated_at: Time,
    /// Left alone until then; and how often in a row.
    ejected_until: Time,
    consecutive_ejections: u32,
}

/// Who is left alone.
#[derive(Clone, Debug)]
pub struct Ejector {
    limits: Limits,
    servers: BTreeMap<Name, ServerRecord>,
    /// The pool's own sums.
    pool_totals: (f64, f64),
    updated_at: Time,
    /// Who is left alone, by when that ends.
    ejected: BTreeSet<(Time, Name)>,
}

impl Ejector {
    /// An ejector that knows no server.
    pub fn new(limits: Limits) -> Self {
        Ejector {
            limits,
            servers: BTreeMap::new(),
            pool_totals: (0.0, 0.0),
            updated_at: 0,
            ejected: BTreeSet::new(),
        }
    }

    /// The pool's servers as they are now: who has gone is forgotten, and with it that it was left alone.
    pub fn set_servers(&mut self, servers: &[Name]) {
        let known: BTreeSet<&Name> = servers.iter().collect();
        self.servers.retain(|name, _| known.contains(name));
        self.ejected.retain(|(_, name)| known.contains(name));
        for name in servers {
            self.servers.entry(name.clone()).or_default();
        }
    }

    /// An attempt at a server has ended, well or badly.
    pub fn attempt_ended(&mut self, now: Time, server: &Name, bad: bool) {
        let memory = self.limits.memory.max(1) as f64;
        let keep = |at: Time| (-(now.saturating_sub(at) as f64) / memory).exp();
        let whole = keep(self.updated_at);
        self.pool_totals =
            (self.pool_totals.0 * whole + 1.0, self.pool_totals.1 * whole + f64::from(u8::from(bad)));
        self.updated_at = now;
        let ejected = self.ejected_count(now);
        let n = self.servers.len();
        let Some(s) = self.servers.get_mut(server) else { return };
        let own = keep(s.updated_at);
        (s.outcomes, s.failures, s.updated_at) =
            (s.outcomes * own + 1.0, s.failures * own + f64::from(u8::from(bad)), now);
        if s.ejected_until > now {
            return;
        }
        if !bad && s.ejected_until > 0 && now > s.ejected_until + self.limits.memory {
            s.consecutive_ejections = 0;
        }
        // Against the others: one of two servers that fails would hide in a mean that it makes.
        let others =
            ((self.pool_totals.1 - s.failures) / (self.pool_totals.0 - s.outcomes).max(1.0)).max(0.0);
        let rate = s.failures / s.outcomes;
        let outlier = s.outcomes >= self.limits.min_outcomes
            && rate >= self.limits.min_failure_rate
            && rate >= self.limits.outlier_factor * others;
        // One at least may go where there is another.
        let most = ((n as f64 * self.limits.max_ejected_share) as usize).max(usize::from(n > 1));
        if bad && outlier && ejected < most {
            s.consecutive_ejections = (s.consecutive_ejections + 1).min(10);
            s.ejected_until = now + self.limits.base_ejection_time * Time::from(s.consecutive_ejections);
            (s.outcomes, s.failures) = (0.0, 0.0);
            self.ejected.insert((s.ejected_until, server.clone()));
        }
    }

    /// How many are left alone; forgets those whose time is over.
    fn ejected_count(&mut self, now: Time) -> usize {
        while self.ejected.first().is_some_and(|(until, _)| *until <= now) {
            self.ejected.pop_first();
        }
        self.ejected.len()
    }

    /// Whether a server is left alone now. `healthy`: how many of the pool's servers can take work.
    pub fn is_ejected(&mut self, now: Time, server: &Name, healthy: usize) -> bool {
        let whole = self.servers.len();
        let left = healthy.saturating_sub(self.ejected_count(now));
        if (left as f64) < self.limits.panic_threshold * whole as f64 {
            return false;
        }
        self.servers.get(server).is_some_and(|s| s.ejected_until > now)
    }
}
