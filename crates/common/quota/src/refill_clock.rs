//! How much of its rate each bucket could have been filled with so far, whenever that is asked.

use crate::time::{to_seconds, Time};

/// The integral over time of the part of all rates that fills the buckets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefillClock {
    updated: Time,
    /// The part of all rates from then on.
    share: f64,
    /// Seconds of the whole rate until then.
    seconds: f64,
}

/// A moment, and what the clock showed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefillTime {
    pub now: Time,
    /// Seconds of the whole rate since the clock began.
    pub seconds: f64,
}

impl RefillClock {
    /// A clock that begins at this share.
    pub fn new(now: Time, share: f64) -> Self {
        RefillClock { updated: now, share, seconds: 0.0 }
    }

    /// What it shows now.
    pub fn at(&self, now: Time) -> RefillTime {
        let elapsed = to_seconds(now.saturating_sub(self.updated));
        RefillTime { now: now.max(self.updated), seconds: self.seconds + elapsed * self.share }
    }

    /// The share is this from now on.
    pub fn set_share(&mut self, now: Time, share: f64) {
        let RefillTime { now, seconds } = self.at(now);
        *self = RefillClock { updated: now, share, seconds };
    }
}
