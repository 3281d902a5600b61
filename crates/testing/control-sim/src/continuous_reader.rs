//! An operator that reads the configuration continually, from each machine in turn, also during faults; it measures
//! the time from the end of the faults until a read is answered.

use crate::{Time, MS};

/// Interval between two reads.
pub const READ_INTERVAL: Time = 50 * MS;

/// The reader, and the recovery times that it measured.
#[derive(Debug, Default)]
pub struct ContinuousReader {
    next_machine: usize,
    /// Since when a majority runs and all running machines are connected.
    healthy_since: Option<Time>,
    was_answered: bool,
    recovery_times: Vec<Time>,
}

impl ContinuousReader {
    /// Returns the machine to read from next, out of `count`.
    pub fn next_machine(&mut self, count: usize) -> usize {
        self.next_machine = (self.next_machine + 1) % count;
        self.next_machine
    }

    /// Records whether a majority runs now and all running machines are connected.
    pub fn observe_health(&mut self, now: Time, is_healthy: bool) {
        if !is_healthy {
            (self.healthy_since, self.was_answered) = (None, false);
        } else if self.healthy_since.is_none() {
            self.healthy_since = Some(now);
        }
    }

    /// Records that a read was answered with a configuration. Returns the time since the end of a fault, if the read
    /// is the first after one.
    pub fn on_answer(&mut self, now: Time) -> Option<Time> {
        let since = self.healthy_since.filter(|_| !self.was_answered)?;
        self.was_answered = true;
        self.recovery_times.push(now - since);
        Some(now - since)
    }

    /// Returns the time from the end of each fault to the first answer after it.
    pub fn into_recovery_times(self) -> Vec<Time> {
        self.recovery_times
    }
}
