//! Periodic log line on how busy the control node keeps its thread.

use control_node::Time;
use std::cell::Cell;

const MS: Time = 1_000_000;
/// Interval between log lines.
const REPORT_INTERVAL: Time = 5000 * MS;

/// Load of the node's thread since the last log line.
#[derive(Debug, Default)]
pub(super) struct Load {
    busy: Cell<Time>,
    max_delay: Cell<Time>,
    reported_at: Cell<Time>,
}

impl Load {
    /// Records that the node handled an input and its effects were performed between `from` and `until`.
    pub fn record_work(&self, from: Time, until: Time) {
        self.busy.set(self.busy.get() + until.saturating_sub(from));
    }

    /// Records that the node was advanced at `now` though its timer was due at `due`; logs the load if the interval has
    /// elapsed.
    pub fn record_advance(&self, now: Time, due: Time) {
        if due > 0 {
            self.max_delay.set(self.max_delay.get().max(now.saturating_sub(due)));
        }
        let elapsed = now.saturating_sub(self.reported_at.get());
        if elapsed < REPORT_INTERVAL {
            return;
        }
        let (busy, max_delay) = (self.busy.take() / MS, self.max_delay.take() / MS);
        log::info!(
            "load: the node was busy for {busy} of {} ms; timers {max_delay} ms late at most",
            elapsed / MS
        );
        self.reported_at.set(now);
    }
}
