//! How far an attempt has come, counted at its socket.

use interface::Ending;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// A stage that an attempt reports.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// Its connection is established. It writes only if the report returns true.
    Connected,
    /// Enough has been written that it may have run.
    Written,
    /// A part of the answer has arrived.
    Answering,
}

/// How far an attempt has come.
pub struct Progress {
    pub(super) report: Box<dyn Fn(AttemptStage) -> bool>,
    pub(super) reported: Cell<Option<AttemptStage>>,
    pub(super) written: Cell<usize>,
    pub(super) execution_start: Cell<usize>,
    /// Whether a part of the answer has arrived that is no interim answer (1xx).
    pub(super) has_answer_begun: Arc<AtomicBool>,
    pub(super) activity: Notify,
}

impl Default for Progress {
    fn default() -> Self {
        Progress::new(|_| true)
    }
}

impl Progress {
    /// An attempt that has not begun; `report` is told of each stage.
    pub fn new(report: impl Fn(AttemptStage) -> bool + 'static) -> Self {
        Progress {
            report: Box::new(report),
            reported: Cell::new(None),
            written: Cell::default(),
            execution_start: Cell::default(),
            has_answer_begun: Arc::default(),
            activity: Notify::new(),
        }
    }

    /// Reports each stage once, and none after the beginning of the answer.
    pub(super) fn report_stage(&self, stage: AttemptStage) {
        let reported = self.reported.get();
        if reported != Some(stage) && reported != Some(AttemptStage::Answering) {
            self.reported.set(Some(stage));
            (self.report)(stage);
        }
    }

    /// Whether enough may have been written for a backend to begin. `execution_start` counts what hyper is asked to
    /// write; hyper only adds to it, so a request never counts as unwritten when it is not.
    pub(super) fn may_have_run(&self) -> bool {
        let execution_start = self.execution_start.get();
        execution_start > 0 && self.written.get() >= execution_start
    }

    pub(super) fn broken(&self) -> Ending {
        if self.may_have_run() {
            Ending::Interrupted
        } else {
            Ending::Unreachable
        }
    }

    /// Whether a part of the answer itself has arrived.
    pub(super) fn has_begun(&self) -> bool {
        self.has_answer_begun.load(Relaxed)
    }

    /// Waits for the answer, and no longer than a pause for the rest of its head once it has begun.
    pub(super) async fn in_time<F: Future>(&self, pause: Duration, waiting: F) -> Option<F::Output> {
        let mut waiting = pin!(waiting);
        loop {
            tokio::select! {
                biased;
                output = &mut waiting => return Some(output),
                () = self.activity.notified() => {}
            }
            match timeout(pause, &mut waiting).await {
                Ok(output) => return Some(output),
                Err(_) if self.has_begun() => return None,
                Err(_) => {}
            }
        }
    }
}
