//! Exponentially decaying event rate.

use crate::time::{to_seconds, Time};

/// Events per second, averaged over a window by exponential decay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    window_s: f64,
    per_second: f64,
    updated: Time,
}

impl DecayingRate {
    /// Creates a rate of 0.
    pub fn new(now: Time, window_s: f64) -> Self {
        DecayingRate { window_s, per_second: 0.0, updated: now }
    }

    /// Returns the rate at `now`, decayed since the last recorded events.
    pub fn at(&self, now: Time) -> f64 {
        let elapsed = to_seconds(now.saturating_sub(self.updated));
        self.per_second * (-elapsed / self.window_s).exp()
    }

    /// Records `events` events at `now`.
    pub fn record(&mut self, now: Time, events: u32) {
        self.per_second = self.at(now) + f64::from(events) / self.window_s;
        self.updated = self.updated.max(now);
    }
}
