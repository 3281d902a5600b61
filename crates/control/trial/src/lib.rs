//! Expiry of tenants' trials, and the limits and trial ends that a configuration declares for tenants. No I/O.
//!
//! A trial expires once the clocks of a majority of the voters are past its end, so that a single wrong clock can neither
//! end a trial too early nor keep it from ending. See `docs/design/trials.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock_readings;
mod tenant_terms;

pub use clock_readings::{ClockReadings, MAX_READING_AGE};
pub use tenant_terms::{TenantTerms, TrialEnd};

/// Nanoseconds on the caller's monotonic clock.
pub type Time = u64;
/// Unix time in milliseconds, as reported by some machine's clock.
pub type UnixMillis = u64;
