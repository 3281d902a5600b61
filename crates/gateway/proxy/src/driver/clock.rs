//! The engine's clock.

use interface::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The engine's clock: nanoseconds of Unix time that only run forwards, since discovery tells starts of
/// backends in Unix time.
pub(super) struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_nanos() as Time }
    }

    pub(super) fn time(&self, at: Instant) -> Time {
        self.unix + at.saturating_duration_since(self.start).as_nanos() as Time
    }

    pub(super) fn instant(&self, time: Time) -> Instant {
        let far = Duration::from_secs(3600);
        self.start + Duration::from_nanos(time.saturating_sub(self.unix)).min(self.start.elapsed() + far)
    }
}

#[cfg(test)]
mod tests;
