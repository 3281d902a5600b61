//! Periodic log line with the quota coordinator's counters.

use crate::{ControlNode, Time, MS};

/// Interval between two reports of the coordinator.
pub(crate) const REPORT_INTERVAL: Time = 5000 * MS;

impl ControlNode {
    /// Logs, on the coordinator, the grant counts since the previous report and the coordinator's status.
    pub(crate) fn report_quota(&mut self) {
        if self.quota.next_report > self.now {
            return;
        }
        self.quota.next_report = self.now + REPORT_INTERVAL;
        let Some(term) = self.coordinator_term(self.now) else { return };
        let current = self.quota.coordinator.as_mut().filter(|current| current.term == term);
        let Some(current) = current else { return };
        let counts = current.coordinator.take_counts();
        let status = current.coordinator.status(self.now);
        log::info!("quota: term {term}, {} ms: {counts}; {status}", REPORT_INTERVAL / MS);
    }
}
