//! Health of storage: when consensus proceeds without it, when a failed save is retried, and when the complete state
//! must be saved again. No I/O.

#[cfg(test)]
mod tests;

use crate::{Time, MS};

/// Maximum time that consensus waits for a save. It is shorter than [`consensus::MIN_ELECTION_TIMEOUT`], the time for
/// which other nodes wait for a silent leader.
pub(crate) const SAVE_TIMEOUT: Time = 400 * MS;
/// First retry delay after a failed save. It doubles with each further failure, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Time = 200 * MS;
const MAX_RETRY_DELAY: Time = 2_000 * MS;
/// Keeps the shift that doubles the delay from overflowing.
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// Interval between logged warnings while storage is unhealthy.
const WARNING_INTERVAL: Time = 10_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StorageState {
    /// Saves succeed in time.
    Healthy,
    /// A save has exceeded [`SAVE_TIMEOUT`] and is still running.
    SaveOverdue,
    /// A full save is due at `due_at`.
    FullSaveDue {
        due_at: Time,
        /// The previous full save succeeded, but changes arrived while it ran.
        previous_missed_changes: bool,
    },
    /// A full save is running.
    FullSaveRunning {
        /// Changes that it does not include have arrived since it started.
        missed_changes: bool,
    },
}

/// Health of storage, with its retry and warning timers.
#[derive(Clone, Debug)]
pub(crate) struct StorageHealth {
    state: StorageState,
    unhealthy_since: Time,
    consecutive_failures: u32,
    next_warning: Time,
}

impl StorageHealth {
    /// Creates the state at process start. A full save is due at once, because the state that was read may exist only
    /// in the operating system's cache.
    pub fn new(now: Time) -> Self {
        StorageHealth {
            state: StorageState::FullSaveDue { due_at: now, previous_missed_changes: false },
            unhealthy_since: now,
            consecutive_failures: 0,
            next_warning: now + WARNING_INTERVAL,
        }
    }

    /// Returns whether storage makes changes durable in time.
    pub fn is_healthy(&self) -> bool {
        self.state == StorageState::Healthy
    }

    /// Records that a save has exceeded [`SAVE_TIMEOUT`].
    pub fn on_save_overdue(&mut self, now: Time) {
        self.set_unhealthy(now, StorageState::SaveOverdue);
    }

    /// Records a failed save, and schedules a full save with exponential backoff.
    pub fn on_save_failed(&mut self, now: Time) {
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        let delay = (MIN_RETRY_DELAY << doublings).min(MAX_RETRY_DELAY);
        self.consecutive_failures += 1;
        self.set_unhealthy(
            now,
            StorageState::FullSaveDue { due_at: now + delay, previous_missed_changes: false },
        );
    }

    /// Records that a change was not passed to storage.
    pub fn on_save_skipped(&mut self) {
        if let StorageState::FullSaveRunning { missed_changes } = &mut self.state {
            *missed_changes = true;
        }
    }

    /// Returns whether a full save is due.
    pub fn is_full_save_due(&self, now: Time) -> bool {
        matches!(self.state, StorageState::FullSaveDue { due_at, .. } if now >= due_at)
    }

    /// Returns when the next full save or warning is due.
    pub fn next_due(&self) -> Time {
        match self.state {
            StorageState::Healthy => Time::MAX,
            StorageState::FullSaveDue { due_at, .. } => due_at.min(self.next_warning),
            StorageState::SaveOverdue | StorageState::FullSaveRunning { .. } => self.next_warning,
        }
    }

    /// Records the start of a full save. Returns whether inputs must wait for it, so that no changes arrive while it
    /// runs.
    pub fn start_full_save(&mut self) -> bool {
        let must_wait = matches!(self.state, StorageState::FullSaveDue { previous_missed_changes: true, .. });
        self.state = StorageState::FullSaveRunning { missed_changes: false };
        must_wait
    }

    /// Records a successful save. If storage is healthy now, returns how long it was unhealthy.
    pub fn on_saved(&mut self, now: Time) -> Option<Time> {
        self.consecutive_failures = 0;
        self.state = match self.state {
            StorageState::FullSaveRunning { missed_changes: false } => StorageState::Healthy,
            StorageState::FullSaveRunning { missed_changes: true } => {
                StorageState::FullSaveDue { due_at: now, previous_missed_changes: true }
            }
            _ => StorageState::FullSaveDue { due_at: now, previous_missed_changes: false },
        };
        self.is_healthy().then(|| now - self.unhealthy_since)
    }

    /// Returns how long storage has been unhealthy if a warning is due, and schedules the next warning.
    pub fn take_warning(&mut self, now: Time) -> Option<Time> {
        if self.is_healthy() || now < self.next_warning {
            return None;
        }
        self.next_warning = now + WARNING_INTERVAL;
        Some(now - self.unhealthy_since)
    }

    fn set_unhealthy(&mut self, now: Time, state: StorageState) {
        if self.is_healthy() {
            (self.unhealthy_since, self.next_warning) = (now, now + WARNING_INTERVAL);
        }
        self.state = state;
    }
}
