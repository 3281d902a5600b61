//! The periodic status line.

use super::Driver;
use engine::AnswerCounts;
use tracing::info;

impl Driver {
    /// Logs a line of counts for the operators, if there was any traffic.
    pub(super) fn log_status(&self) {
        let mut state = self.state.borrow_mut();
        let counts = state.engine.take_counts();
        let mut totals = AnswerCounts::default();
        for class_counts in state.engine.totals().answers {
            totals.served += class_counts.served;
            totals.refused += class_counts.refused;
            totals.failed += class_counts.failed;
        }
        let previous = self.reported_answers.replace(totals);
        let (served, refused, failed) = (
            totals.served - previous.served,
            totals.refused - previous.refused,
            totals.failed - previous.failed,
        );
        let (connects, max_delay_ms) =
            (self.backends.connects.take(), self.max_timer_delay.take().as_millis());
        if served + refused + failed > 0 {
            info!(
                served,
                refused,
                failed,
                overdue = counts.overdue,
                held = state.engine.request_count(),
                connects,
                batches = counts.batches,
                late_ms = max_delay_ms as u64,
                "served {served}, refused {refused}, failed {failed} ({} overdue), held {}; \
                 new connections {connects}, batches {}, loop late by {max_delay_ms} ms at most",
                counts.overdue,
                state.engine.request_count(),
                counts.batches
            );
        }
    }
}
