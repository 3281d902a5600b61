//! The periodic status line.

use super::Driver;
use engine::AnswerCounts;
use tracing::info;

impl Driver {
    /// Logs a line of counts for the operators, if there was any traffic.
    pub(super) fn log_status(&self) {
        let mut state = self.state.borrow_mut();
        let c = state.engine.take_counts();
        let mut sum = AnswerCounts::default();
        for of in state.engine.totals().answers {
            sum.served += of.served;
            sum.refused += of.refused;
            sum.failed += of.failed;
        }
        let said = self.reported_answers.replace(sum);
        let (served, refused, failed) =
            (sum.served - said.served, sum.refused - said.refused, sum.failed - said.failed);
        let (connects, latest) = (self.backends.connects.take(), self.max_timer_delay.take().as_millis());
        if served + refused + failed > 0 {
            info!(
                served,
                refused,
                failed,
                overdue = c.overdue,
                held = state.engine.request_count(),
                connects,
                batches = c.batches,
                late_ms = latest as u64,
                "served {served}, refused {refused}, failed {failed} ({} overdue), held {}; \
                 new connections {connects}, batches {}, loop late by {latest} ms at most",
                c.overdue,
                state.engine.request_count(),
                c.batches
            );
        }
    }
}
