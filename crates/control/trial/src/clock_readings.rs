//! Readings of the wall clocks of several machines.

use crate::{Time, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};

/// Age in nanoseconds from which a reading is ignored: a clock that was wrong may have been corrected since, and another
/// may have become wrong. Machines report their clocks twice a second.
pub const MAX_READING_AGE: Time = 3_000_000_000;
/// Maximum number of machines whose readings are kept. No control plane has as many.
const MAX_CLOCKS: usize = 64;
const NANOS_PER_MILLI: Time = 1_000_000;

/// The time that a machine's clock showed.
#[derive(Clone, Copy, Debug)]
struct Reading {
    unix_ms: UnixMillis,
    /// Time of receipt on this node's monotonic clock.
    received_at: Time,
}

/// The latest clock reading of each machine, advanced by this node's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct ClockReadings(BTreeMap<String, Reading>);

impl ClockReadings {
    /// Records the time that a machine reports, in place of its previous reading. Ignores new machines beyond
    /// `MAX_CLOCKS`.
    pub fn record(&mut self, now: Time, machine: &str, unix_ms: UnixMillis) {
        if self.0.len() < MAX_CLOCKS || self.0.contains_key(machine) {
            self.0.insert(machine.to_string(), Reading { unix_ms, received_at: now });
        }
    }

    /// Whether the clocks of a majority of the voters have reached `moment`.
    pub fn is_past_by_majority(&self, now: Time, voters: &BTreeSet<&str>, moment: UnixMillis) -> bool {
        let is_past = |voter: &&&str| {
            self.0.get(**voter).is_some_and(|reading| {
                let age = now.saturating_sub(reading.received_at);
                age < MAX_READING_AGE && reading.unix_ms + age / NANOS_PER_MILLI >= moment
            })
        };
        voters.iter().filter(is_past).count() * 2 > voters.len()
    }
}
