//! What machines say of the time of day.

use crate::{Time, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};

/// An older reading says nothing any more: a clock that was wrong may be right by now, and another wrong. Machines tell
/// theirs twice a second.
pub const MAX_READING_AGE: Time = 3_000_000_000;
/// Machines whose clocks are remembered; no core has so many.
const MAX_CLOCKS: usize = 64;
const NANOS_PER_MILLI: Time = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Reading {
    unix_ms: UnixMillis,
    /// When it arrived, on this node's steady clock.
    at: Time,
}

/// The latest reading of each machine, carried on by this node's steady clock.
#[derive(Clone, Debug, Default)]
pub struct ClockReadings(BTreeMap<String, Reading>);

impl ClockReadings {
    /// A machine says what time of day it is.
    pub fn record(&mut self, now: Time, machine: &str, unix_ms: UnixMillis) {
        if self.0.len() < MAX_CLOCKS || self.0.contains_key(machine) {
            self.0.insert(machine.to_string(), Reading { unix_ms, at: now });
        }
    }

    /// Whether the clocks of more than half of the voters are past a moment.
    pub fn are_past(&self, now: Time, voters: &BTreeSet<&str>, moment: UnixMillis) -> bool {
        let is_past = |voter: &&&str| {
            self.0.get(**voter).is_some_and(|reading| {
                let age = now.saturating_sub(reading.at);
                age < MAX_READING_AGE && reading.unix_ms + age / NANOS_PER_MILLI >= moment
            })
        };
        voters.iter().filter(is_past).count() * 2 > voters.len()
    }
}
