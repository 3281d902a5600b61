//! Detects that this member hears from so few others that it is probably isolated itself.

use crate::record::Name;
use crate::Time;
use std::collections::BTreeMap;

/// Length of the observation window, in probe intervals.
const WINDOW_PROBE_INTERVALS: Time = 10;
/// Fraction of the members that a healthy member hears from, below which a member counts as isolated.
const ISOLATION_THRESHOLD: f64 = 0.125;

#[derive(Default)]
pub(crate) struct IsolationDetector {
    last_heard: BTreeMap<Name, Time>,
    isolated_since: Option<Time>,
    /// Isolation is not evaluated before a whole window has passed since.
    started_at: Time,
}

impl IsolationDetector {
    pub(crate) fn new(now: Time) -> Self {
        IsolationDetector { started_at: now, ..IsolationDetector::default() }
    }

    pub(crate) fn on_heard(&mut self, name: &Name, now: Time) {
        self.last_heard.insert(name.clone(), now);
    }

    /// Starts a new window, after this process was suspended.
    pub(crate) fn restart(&mut self, now: Time) {
        self.started_at = now;
    }

    /// Re-evaluates isolation, given the number of other members believed to be alive and the probe interval.
    pub(crate) fn update(&mut self, now: Time, alive_peers: usize, probe_interval: Time) {
        let window = WINDOW_PROBE_INTERVALS * probe_interval;
        self.last_heard.retain(|_, at| *at + window > now);
        if alive_peers == 0 || now < self.started_at + window {
            // Without other members there is no isolation.
            if alive_peers == 0 {
                self.isolated_since = None;
            }
            return;
        }
        // Per interval a member hears from the one it pinged and, on average, from one that pinged it.
        let contacts = 2.0 * WINDOW_PROBE_INTERVALS as f64;
        let alive_peers = alive_peers as f64;
        let expected = alive_peers * (1.0 - (1.0 - 1.0 / alive_peers).powf(contacts));
        let is_isolated = (self.last_heard.len() as f64) < (expected * ISOLATION_THRESHOLD).max(1.0);
        if !is_isolated {
            self.isolated_since = None;
        } else if self.isolated_since.is_none() {
            self.isolated_since = Some(now);
        }
    }

    /// Returns the start of the current isolation, if any.
    pub(crate) fn isolated_since(&self) -> Option<Time> {
        self.isolated_since
    }
}

#[cfg(test)]
mod tests;
