//! Whether a member hears so few that it can't tell its own silence from theirs.

use crate::record::Name;
use crate::Time;
use std::collections::BTreeMap;

/// Who was heard in so many periods counts.
const SPAN_PERIODS: Time = 10;
/// Cut off below this part of those whom a healthy member hears.
const ISOLATED_BELOW: f64 = 0.125;

#[derive(Default)]
pub(crate) struct IsolationDetector {
    last_heard: BTreeMap<Name, Time>,
    isolated_since: Option<Time>,
    /// Not before it has lived for a span.
    started_at: Time,
}

impl IsolationDetector {
    pub(crate) fn new(now: Time) -> Self {
        IsolationDetector { started_at: now, ..IsolationDetector::default() }
    }

    pub(crate) fn on_heard(&mut self, name: &Name, now: Time) {
        self.last_heard.insert(name.clone(), now);
    }

    /// What was before does not count: this process was stopped.
    pub(crate) fn restart(&mut self, now: Time) {
        self.started_at = now;
    }

    /// Looks again, with so many others believed to live and a period of this length. `others` dead ones that were
    /// never heard don't count.
    pub(crate) fn update(&mut self, now: Time, others: usize, period: Time) {
        let span = SPAN_PERIODS * period;
        self.last_heard.retain(|_, at| *at + span > now);
        if others == 0 || now < self.started_at + span {
            // Nobody is missed.
            if others == 0 {
                self.isolated_since = None;
            }
            return;
        }
        // A period brings one that was pinged and, in the mean, one that pinged.
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

    /// Since when it has been cut off, if it is.
    pub(crate) fn isolated_since(&self) -> Option<Time> {
        self.isolated_since
    }
}

#[cfg(test)]
mod tests;
