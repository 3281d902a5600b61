//! Decides when the settings file is read again without a signal: while this node hears no other control node, whose
//! addresses may have changed in the file. No I/O.

use crate::Time;

#[cfg(test)]
mod tests;

const SECOND: Time = 1_000_000_000;
/// Time without a message of another control node after which the file is read again.
const PEERLESS_TIME: Time = 2 * SECOND;
/// Minimum time between two reads.
const READ_INTERVAL: Time = SECOND;
/// Maximum random addition to the interval, so that nodes that started together do not read together.
const READ_JITTER: Time = SECOND / 2;

/// When the settings file is read again.
#[derive(Clone, Copy, Debug)]
pub struct ReloadSchedule {
    started_at: Time,
    next_read: Time,
}

impl ReloadSchedule {
    /// Creates the schedule of a node that read its settings at this time.
    pub fn new(started_at: Time) -> Self {
        ReloadSchedule { started_at, next_read: started_at }
    }

    /// Returns whether to read the file now. `last_heard` is the time of the latest message of another control node,
    /// `jitter` a random number between 0 and 1.
    pub fn is_due(&mut self, now: Time, last_heard: Option<Time>, jitter: f64) -> bool {
        let heard_at = last_heard.unwrap_or(0).max(self.started_at);
        if now < heard_at + PEERLESS_TIME || now < self.next_read {
            return false;
        }
        self.next_read = now + READ_INTERVAL + (READ_JITTER as f64 * jitter) as Time;
        true
    }
}

/// What was last read of the settings file, so that an unchanged file is not parsed and an error is logged once.
#[derive(Debug, Default)]
pub struct LastRead(Option<Result<String, String>>);

impl LastRead {
    /// Records a read: the text of the file, or why it cannot be read. Returns whether it differs from the one before.
    pub fn is_new(&mut self, read: Result<String, String>) -> bool {
        let read = Some(read);
        let is_new = self.0 != read;
        self.0 = read;
        is_new
    }
}
