//! Monotonic time, as supplied by the caller, and its conversions.

/// Nanoseconds on the caller's monotonic clock.
pub type Time = u64;

pub(crate) const MS: Time = 1_000_000;

pub(crate) fn to_seconds(time: Time) -> f64 {
    time as f64 / 1e9
}

pub(crate) fn from_seconds(seconds: f64) -> Time {
    (seconds.max(0.0) * 1e9) as Time
}

/// Converts to microseconds, the unit of messages. Saturates at about 71 minutes.
pub(crate) fn to_micros(time: Time) -> u32 {
    u32::try_from(time / 1000).unwrap_or(u32::MAX)
}

pub(crate) fn from_micros(us: u32) -> Time {
    Time::from(us) * 1000
}
