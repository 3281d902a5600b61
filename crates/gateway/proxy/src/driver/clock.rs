//! The engine's clock.

use interface::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The engine's clock: monotonic nanoseconds that start at Unix time, since discovery reports the start of backends in
/// Unix time.
pub(super) struct Clock {
    start: Instant,
    unix_start: Time,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix_start.as_nanos() as Time }
    }

    pub(super) fn time(&self, at: Instant) -> Time {
        self.unix_start + at.saturating_duration_since(self.start).as_nanos() as Time
    }

    pub(super) fn instant(&self, time: Time) -> Instant {
        let far = Duration::from_secs(3600);
        self.start
            + Duration::from_nanos(time.saturating_sub(self.unix_start)).min(self.start.elapsed() + far)
    }
}

#[cfg(test)]
mod tests;
