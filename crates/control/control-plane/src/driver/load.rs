//! How busy the control node keeps its thread, in the log.

use control_node::Time;
use std::cell::Cell;

const MS: Time = 1_000_000;
/// The load is logged this often.
const REPORT_INTERVAL: Time = 5000 * MS;

/// What the node took of its thread's time since that was last logged.
#[derive(Debug, Default)]
pub(super) struct Load {
    busy: Cell<Time>,
    most_late: Cell<Time>,
    reported_at: Cell<Time>,
}

impl Load {
    /// Something was handed to the node, and its effects were carried out.
    pub fn record_work(&self, from: Time, until: Time) {
        self.busy.set(self.busy.get() + until.saturating_sub(from));
    }

    /// The node was advanced at `now`, which was due at `due`; logs the load if it is time.
    pub fn record_advance(&self, now: Time, due: Time) {
        if due > 0 {
            self.most_late.set(self.most_late.get().max(now.saturating_sub(due)));
        }
        let elapsed = now.saturating_sub(self.reported_at.get());
        if elapsed < REPORT_INTERVAL {
            return;
        }
        let (busy, most_late) = (self.busy.take() / MS, self.most_late.take() / MS);
        log::info!(
            "load: the node was busy for {busy} of {} ms; timers {most_late} ms late at most",
            elapsed / MS
        );
        self.reported_at.set(now);
    }
}
