//! Outlier ejection: servers that fail far more often than the rest of their pool are ejected for a while, up to a share
//! of the pool. When too few healthy servers are left, all are used (panic), since the cause is then not the servers.

use interface::{Name, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Thresholds of outlier detection and ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierConfig {
    /// Maximum share of the pool that is ejected at a time, 0 to 1. If there is more than one server, one may always be
    /// ejected.
    pub max_ejected_share: f64,
    /// Share of healthy servers below which ejections are ignored, 0 to 1.
    pub panic_threshold: f64,
    /// Ratio of a server's failure rate to that of the other servers at which it is an outlier.
    pub outlier_factor: f64,
    /// Minimum failure rate of an outlier.
    pub min_failure_rate: f64,
    /// Minimum number of outcomes of a server for its failure rate to count.
    pub min_outcomes: f64,
    /// Duration of the first ejection. Consecutive ejections grow by this much each, up to ten times.
    pub base_ejection_time: Time,
    /// Time constant of the exponential decay of outcomes.
    pub decay_time: Time,
}

impl Default for OutlierConfig {
    fn default() -> Self {
        const S: Time = 1_000_000_000;
        OutlierConfig {
            max_ejected_share: 0.3,
            panic_threshold: 0.5,
            outlier_factor: 3.0,
            min_failure_rate: 0.5,
            min_outcomes: 5.0,
            base_ejection_time: 2 * S,
            decay_time: 10 * S,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerRecord {
    outcomes: f64,
    failures: f64,
    updated_at: Time,
    /// End of the last ejection; 0 if there was none.
    ejected_until: Time,
    consecutive_ejections: u32,
}

/// Ejects outliers of one pool.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    config: OutlierConfig,
    servers: BTreeMap<Name, ServerRecord>,
    /// Outcomes and failures of the whole pool.
    pool_totals: (f64, f64),
    updated_at: Time,
    /// Ejected servers, ordered by the end of their ejection.
    ejected: BTreeSet<(Time, Name)>,
}

impl OutlierDetector {
    /// Returns a detector without servers.
    pub fn new(config: OutlierConfig) -> Self {
        OutlierDetector {
            config,
            servers: BTreeMap::new(),
            pool_totals: (0.0, 0.0),
            updated_at: 0,
            ejected: BTreeSet::new(),
        }
    }

    /// Sets the pool's servers. Outcomes and ejections of removed servers are dropped.
    pub fn set_servers(&mut self, servers: &[Name]) {
        let current: BTreeSet<&Name> = servers.iter().collect();
        self.servers.retain(|name, _| current.contains(name));
        self.ejected.retain(|(_, name)| current.contains(name));
        for name in servers {
            self.servers.entry(name.clone()).or_default();
        }
    }

    /// Records the outcome of an attempt at a server, which may eject the server.
    pub fn record_outcome(&mut self, now: Time, server: &Name, is_failure: bool) {
        let decay_time = self.config.decay_time.max(1) as f64;
        let decay = |at: Time| (-(now.saturating_sub(at) as f64) / decay_time).exp();
        let pool_decay = decay(self.updated_at);
        self.pool_totals = (
            self.pool_totals.0 * pool_decay + 1.0,
            self.pool_totals.1 * pool_decay + f64::from(u8::from(is_failure)),
        );
        self.updated_at = now;
        let ejected = self.ejected_count(now);
        let pool_size = self.servers.len();
        let Some(record) = self.servers.get_mut(server) else { return };
        let server_decay = decay(record.updated_at);
        (record.outcomes, record.failures, record.updated_at) = (
            record.outcomes * server_decay + 1.0,
            record.failures * server_decay + f64::from(u8::from(is_failure)),
            now,
        );
        if record.ejected_until > now {
            return;
        }
        if !is_failure && record.ejected_until > 0 && now > record.ejected_until + self.config.decay_time {
            record.consecutive_ejections = 0;
        }
        // Compared with the other servers only: in a small pool the outlier's own failures would raise the mean.
        let other_failure_rate = ((self.pool_totals.1 - record.failures)
            / (self.pool_totals.0 - record.outcomes).max(1.0))
        .max(0.0);
        let failure_rate = record.failures / record.outcomes;
        let is_outlier = record.outcomes >= self.config.min_outcomes
            && failure_rate >= self.config.min_failure_rate
            && failure_rate >= self.config.outlier_factor * other_failure_rate;
        // At least one server may be ejected if there is another.
        let max_ejected =
            ((pool_size as f64 * self.config.max_ejected_share) as usize).max(usize::from(pool_size > 1));
        if is_failure && is_outlier && ejected < max_ejected {
            record.consecutive_ejections = (record.consecutive_ejections + 1).min(10);
            record.ejected_until =
                now + self.config.base_ejection_time * Time::from(record.consecutive_ejections);
            (record.outcomes, record.failures) = (0.0, 0.0);
            self.ejected.insert((record.ejected_until, server.clone()));
        }
    }

    /// Returns the number of ejected servers, after removing expired ejections.
    fn ejected_count(&mut self, now: Time) -> usize {
        while self.ejected.first().is_some_and(|(until, _)| *until <= now) {
            self.ejected.pop_first();
        }
        self.ejected.len()
    }

    /// Whether a server is ejected now. `healthy` is the number of the pool's servers that can take work.
    pub fn is_ejected(&mut self, now: Time, server: &Name, healthy: usize) -> bool {
        let pool_size = self.servers.len();
        let available = healthy.saturating_sub(self.ejected_count(now));
        if (available as f64) < self.config.panic_threshold * pool_size as f64 {
            return false;
        }
        self.servers.get(server).is_some_and(|record| record.ejected_until > now)
    }
}
