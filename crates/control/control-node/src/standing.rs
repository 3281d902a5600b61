//! How the disk stands, and what that asks for: when the agreement goes on without it, when it is tried again, when all is saved
//! again. No I/O.

#[cfg(test)]
mod tests;

use consensus::Time;

const MS: Time = 1_000_000;
/// The agreement waits so long for a save. Less than the others wait for a leader that is silent, [`consensus::PATIENCE`].
pub const SAVE_TIMEOUT: Time = 400 * MS;
/// A disk that refused is tried again after so long, and after twice that each time, up to [`LATER`].
const MIN_RETRY_DELAY: Time = 200 * MS;
const MAX_RETRY_DELAY: Time = 2_000 * MS;
/// It is said so often that the disk does not work.
const WARNING_INTERVAL: Time = 10_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StorageState {
    /// What is saved is on the disk.
    Healthy,
    /// A save was not done in time, and is under way.
    SaveOverdue,
    /// The whole is to be saved, from this time on. `again`: it was, and there was more by then.
    FullSaveDue { at: Time, after_missed: bool },
    /// The whole is being saved. `missed`: something has come to be saved since.
    FullSaveRunning { missed: bool },
}

/// How the disk stands.
#[derive(Clone, Debug)]
pub struct StorageHealth {
    state: StorageState,
    /// Since when it has not worked.
    unhealthy_since: Time,
    /// Failures in a row.
    failures: u32,
    next_warning: Time,
}

impl StorageHealth {
    /// At the start all is to be saved once: what was read may stand in the system's memory alone.
    pub fn new(now: Time) -> Self {
        StorageHealth {
            state: StorageState::FullSaveDue { at: now, after_missed: false },
            unhealthy_since: now,
            failures: 0,
            next_warning: now + WARNING_INTERVAL,
        }
    }

    pub fn is_healthy(&self) -> bool {
        self.state == StorageState::Healthy
    }

    /// A save is not done after [`WAIT`].
    pub fn on_save_overdue(&mut self, now: Time) {
        self.set_unhealthy(now, StorageState::SaveOverdue);
    }

    /// Something was refused.
    pub fn on_save_failed(&mut self, now: Time) {
        let pause = (MIN_RETRY_DELAY << self.failures.min(8)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.set_unhealthy(now, StorageState::FullSaveDue { at: now + pause, after_missed: false });
    }

    /// Something was to be saved, and was not.
    pub fn on_save_skipped(&mut self) {
        if let StorageState::FullSaveRunning { missed } = &mut self.state {
            *missed = true;
        }
    }

    /// Whether the whole is to be saved now.
    pub fn is_full_save_due(&self, now: Time) -> bool {
        matches!(self.state, StorageState::FullSaveDue { at, .. } if now >= at)
    }

    /// When something is next to be done or said.
    pub fn next_due(&self) -> Time {
        match self.state {
            StorageState::Healthy => Time::MAX,
            StorageState::FullSaveDue { at, .. } => at.min(self.next_warning),
            _ => self.next_warning,
        }
    }

    /// The whole is being saved from now on. Whether to wait for it, so that nothing more comes.
    pub fn start_full_save(&mut self) -> bool {
        let again = matches!(self.state, StorageState::FullSaveDue { after_missed: true, .. });
        self.state = StorageState::FullSaveRunning { missed: false };
        again
    }

    /// What was under way is done. For how long the disk has not worked, if it works now: all that there is is on it.
    pub fn on_saved(&mut self, now: Time) -> Option<Time> {
        self.failures = 0;
        self.state = match self.state {
            StorageState::FullSaveRunning { missed: false } => StorageState::Healthy,
            StorageState::FullSaveRunning { missed: true } => {
                StorageState::FullSaveDue { at: now, after_missed: true }
            }
            _ => StorageState::FullSaveDue { at: now, after_missed: false },
        };
        self.is_healthy().then(|| now - self.unhealthy_since)
    }

    /// For how long it has not worked, if that is to be said again.
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
