//! How storage stands, and what that asks for: when consensus goes on without it, when it is retried, when everything is
//! saved again. No I/O.

#[cfg(test)]
mod tests;

use crate::{Time, MS};

/// Consensus waits so long for a save: less than the others wait for a silent leader,
/// [`consensus::MIN_ELECTION_TIMEOUT`].
pub(crate) const SAVE_TIMEOUT: Time = 400 * MS;
/// Storage that failed is retried after so long, and after twice that each time, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Time = 200 * MS;
const MAX_RETRY_DELAY: Time = 2_000 * MS;
/// So that the shift that doubles the delay does not overflow.
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// A warning is logged this often while storage is unhealthy.
const WARNING_INTERVAL: Time = 10_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StorageState {
    /// What is saved is durable.
    Healthy,
    /// A save was not done in time, and goes on.
    SaveOverdue,
    /// Everything is to be saved, from this time on.
    FullSaveDue {
        at: Time,
        /// It was, and more had come by then.
        after_missed: bool,
    },
    /// Everything is being saved.
    FullSaveRunning {
        /// Something has come since that is to be saved, too.
        missed: bool,
    },
}

/// How storage stands.
#[derive(Clone, Debug)]
pub(crate) struct StorageHealth {
    state: StorageState,
    unhealthy_since: Time,
    failures_in_a_row: u32,
    next_warning: Time,
}

impl StorageHealth {
    /// At the start everything is to be saved once: what was read may be in the system's cache alone.
    pub fn new(now: Time) -> Self {
        StorageHealth {
            state: StorageState::FullSaveDue { at: now, after_missed: false },
            unhealthy_since: now,
            failures_in_a_row: 0,
            next_warning: now + WARNING_INTERVAL,
        }
    }

    /// Whether what is saved is durable.
    pub fn is_healthy(&self) -> bool {
        self.state == StorageState::Healthy
    }

    /// A save is not done after [`SAVE_TIMEOUT`].
    pub fn on_save_overdue(&mut self, now: Time) {
        self.set_unhealthy(now, StorageState::SaveOverdue);
    }

    /// A save failed: everything is saved again, later each time.
    pub fn on_save_failed(&mut self, now: Time) {
        let doublings = self.failures_in_a_row.min(MAX_RETRY_DOUBLINGS);
        let delay = (MIN_RETRY_DELAY << doublings).min(MAX_RETRY_DELAY);
        self.failures_in_a_row += 1;
        self.set_unhealthy(now, StorageState::FullSaveDue { at: now + delay, after_missed: false });
    }

    /// Something was to be saved, and was not.
    pub fn on_save_skipped(&mut self) {
        if let StorageState::FullSaveRunning { missed } = &mut self.state {
            *missed = true;
        }
    }

    /// Whether everything is to be saved now.
    pub fn is_full_save_due(&self, now: Time) -> bool {
        matches!(self.state, StorageState::FullSaveDue { at, .. } if now >= at)
    }

    /// When something is next to be saved or logged.
    pub fn next_due(&self) -> Time {
        match self.state {
            StorageState::Healthy => Time::MAX,
            StorageState::FullSaveDue { at, .. } => at.min(self.next_warning),
            StorageState::SaveOverdue | StorageState::FullSaveRunning { .. } => self.next_warning,
        }
    }

    /// Everything is being saved from now on. Whether to wait for it, so that nothing more comes meanwhile.
    pub fn start_full_save(&mut self) -> bool {
        let must_wait = matches!(self.state, StorageState::FullSaveDue { after_missed: true, .. });
        self.state = StorageState::FullSaveRunning { missed: false };
        must_wait
    }

    /// What was being saved is durable. For how long storage was unhealthy, if it is healthy now.
    pub fn on_saved(&mut self, now: Time) -> Option<Time> {
        self.failures_in_a_row = 0;
        self.state = match self.state {
            StorageState::FullSaveRunning { missed: false } => StorageState::Healthy,
            StorageState::FullSaveRunning { missed: true } => {
                StorageState::FullSaveDue { at: now, after_missed: true }
            }
            _ => StorageState::FullSaveDue { at: now, after_missed: false },
        };
        self.is_healthy().then(|| now - self.unhealthy_since)
    }

    /// For how long storage has been unhealthy, if that is to be logged again.
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
