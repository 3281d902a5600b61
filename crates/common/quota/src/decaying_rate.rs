//! A rate per second that forgets: each event counts for less the longer ago it was.

use crate::time::{to_seconds, Time};

/// Events a second, averaged over a window by exponential decay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    window_s: f64,
    per_second: f64,
    updated: Time,
}

impl DecayingRate {
    /// Nothing has happened yet.
    pub fn new(now: Time, window_s: f64) -> Self {
        DecayingRate { window_s, per_second: 0.0, updated: now }
    }

    /// The rate at a moment, if nothing has happened since the last event.
    pub fn at(&self, now: Time) -> f64 {
        let elapsed = to_seconds(now.saturating_sub(self.updated));
        self.per_second * (-elapsed / self.window_s).exp()
    }

    /// So many events happen now.
    pub fn record(&mut self, now: Time, events: u32) {
        self.per_second = self.at(now) + f64::from(events) / self.window_s;
        self.updated = self.updated.max(now);
    }
}
