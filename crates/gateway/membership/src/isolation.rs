//! Detects that this member hears so few others that it is probably isolated itself.

use crate::record::Name;
use crate::Time;
use std::collections::BTreeMap;

/// Members heard within this many probe intervals count.
const SPAN_PERIODS: Time = 10;
/// Isolated below this fraction of the members that a healthy one hears.
const ISOLATED_BELOW: f64 = 0.125;

#[derive(Default)]
pub(crate) struct IsolationDetector {
    last_heard: BTreeMap<Name, Time>,
    isolated_since: Option<Time>,
    /// It is not judged before it has run for a whole span.
    started_at: Time,
}

impl IsolationDetector {
    pub(crate) fn new(now: Time) -> Self {
        IsolationDetector { started_at: now, ..IsolationDetector::default() }
    }

    pub(crate) fn on_heard(&mut self, name: &Name, now: Time) {
        self.last_heard.insert(name.clone(), now);
    }

    /// Starts again: this process was suspended, and what was heard before does not count.
    pub(crate) fn restart(&mut self, now: Time) {
        self.started_at = now;
    }

    /// Judges again, with this many other members believed alive and this probe interval.
    pub(crate) fn update(&mut self, now: Time, others: usize, period: Time) {
        let span = SPAN_PERIODS * period;
        self.last_heard.retain(|_, at| *at + span > now);
        if others == 0 || now < self.started_at + span {
            // There is nobody to hear.
            if others == 0 {
                self.isolated_since = None;
            }
            return;
        }
        // Each interval brings one member that was pinged and, on average, one that pinged.
        let draws = 2.0 * SPAN_PERIODS as f64;
        let others = others as f64;
        let expected = others * (1.0 - (1.0 - 1.0 / others).powf(draws));
        let few = (self.last_heard.len() as f64) < (expected * ISOLATED_BELOW).max(1.0);
        if !few {
            self.isolated_since = None;
        } else if self.isolated_since.is_none() {
            self.isolated_since = Some(now);
        }
    }

    /// Since when it has been isolated, if it is.
    pub(crate) fn isolated_since(&self) -> Option<Time> {
        self.isolated_since
    }
}

#[cfg(test)]
mod tests;
