//! When a tenant's trial expires: once the clocks of a majority of the voters say so, so that no single clock, however
//! wrong, ends a trial too soon or keeps it from ending. And what tenants may do by a configuration.
//! `docs/design/trials.md`. No I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock_readings;
mod tenant_terms;

pub use clock_readings::{ClockReadings, MAX_READING_AGE};
pub use tenant_terms::{TenantTerms, TrialEnd};

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;
/// Milliseconds of Unix time, as some machine tells it.
pub type UnixMillis = u64;
