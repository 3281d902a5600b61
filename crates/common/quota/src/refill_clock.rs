//! Cumulative refill time shared by all buckets, so that each bucket can be refilled lazily.

use crate::time::{to_seconds, Time};

/// Integral over time of the share of all rates that refills the buckets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefillClock {
    updated: Time,
    /// Share of all rates from `updated` on.
    share: f64,
    /// Cumulative seconds at the whole rate, up to `updated`.
    seconds: f64,
}

/// A reading of the [`RefillClock`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefillTime {
    pub now: Time,
    /// Cumulative seconds at the whole rate since the clock was created.
    pub seconds: f64,
}

impl RefillClock {
    /// Creates a clock that starts with this share.
    pub fn new(now: Time, share: f64) -> Self {
        RefillClock { updated: now, share, seconds: 0.0 }
    }

    /// Returns the reading at `now`.
    pub fn at(&self, now: Time) -> RefillTime {
        let elapsed = to_seconds(now.saturating_sub(self.updated));
        RefillTime { now: now.max(self.updated), seconds: self.seconds + elapsed * self.share }
    }

    /// Changes the share from `now` on.
    pub fn set_share(&mut self, now: Time, share: f64) {
        let RefillTime { now, seconds } = self.at(now);
        *self = RefillClock { updated: now, share, seconds };
    }
}
