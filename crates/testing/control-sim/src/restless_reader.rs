//! An operator who reads the configuration again and again, at each machine in turn, also while things go wrong; and how long
//! it takes from when nothing is wrong any more until a read is answered.

use crate::{Time, MS};

/// Between two reads.
pub const READ_INTERVAL: Time = 50 * MS;

/// The reader, and the recovery times that it has seen.
#[derive(Debug, Default)]
pub struct RestlessReader {
    next_machine: usize,
    /// Since when a majority runs and all that run are connected.
    healthy_since: Option<Time>,
    was_answered: bool,
    recovery_times: Vec<Time>,
}

impl RestlessReader {
    /// The machine to read from next, of so many.
    pub fn next_machine(&mut self, count: usize) -> usize {
        self.next_machine = (self.next_machine + 1) % count;
        self.next_machine
    }

    /// Whether a majority runs now and all that run are connected.
    pub fn observe_health(&mut self, now: Time, is_healthy: bool) {
        if !is_healthy {
            (self.healthy_since, self.was_answered) = (None, false);
        } else if self.healthy_since.is_none() {
            self.healthy_since = Some(now);
        }
    }

    /// A read was answered with a configuration. How long after the end of a fault, if it is the first behind one.
    pub fn on_answer(&mut self, now: Time) -> Option<Time> {
        let since = self.healthy_since.filter(|_| !self.was_answered)?;
        self.was_answered = true;
        self.recovery_times.push(now - since);
        Some(now - since)
    }

    /// From the end of each fault to the first answer behind it.
    pub fn into_recovery_times(self) -> Vec<Time> {
        self.recovery_times
    }
}
