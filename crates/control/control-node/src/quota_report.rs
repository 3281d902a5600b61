//! What the coordinator did lately, in the log.

use crate::{ControlNode, Time, MS};

/// The coordinator reports this often.
pub(crate) const REPORT_INTERVAL: Time = 5000 * MS;

impl ControlNode {
    /// The leader logs what it granted since it last did, and what it keeps back.
    pub(crate) fn report_quota(&mut self) {
        if self.quota.next_report > self.now {
            return;
        }
        self.quota.next_report = self.now + REPORT_INTERVAL;
        let Some(term) = self.coordinator_term(self.now) else { return };
        let current = self.quota.coordinator.as_mut().filter(|current| current.term == term);
        let Some(current) = current else { return };
        let counts = current.coordinator.take_counts();
        let standing = current.coordinator.status(self.now);
        log::info!("quota: term {term}, {} ms: {counts}; {standing}", REPORT_INTERVAL / MS);
    }
}
