//! Progress of an attempt, as seen at its socket.

use interface::Ending;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Stage reported by an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// The connection is established. The request is written only if the report returns true.
    Connected,
    /// Enough has been written that the backend may have executed the request.
    Written,
    /// Part of the response has arrived.
    Answering,
}

/// Progress of an attempt.
pub struct Progress {
    pub(super) report: Box<dyn Fn(AttemptStage) -> bool>,
    pub(super) reported: Cell<Option<AttemptStage>>,
    /// Bytes written so far.
    pub(super) written: Cell<usize>,
    /// Number of the attempt's written bytes from which on the backend may have started to execute the request. 0 until
    /// the request is built; `usize::MAX` as long as it depends on a body of unknown length.
    pub(super) execution_start: Cell<usize>,
    /// Whether part of the final response has arrived, that is not only an interim response (1xx).
    pub(super) response_begun: Arc<AtomicBool>,
    pub(super) activity: Notify,
}

impl Default for Progress {
    fn default() -> Self {
        Progress::new(|_| true)
    }
}

impl Progress {
    /// Returns the progress of a new attempt. `report` is called for each stage.
    pub fn new(report: impl Fn(AttemptStage) -> bool + 'static) -> Self {
        Progress {
            report: Box::new(report),
            reported: Cell::new(None),
            written: Cell::default(),
            execution_start: Cell::default(),
            response_begun: Arc::default(),
            activity: Notify::new(),
        }
    }

    /// Reports each stage once, and none after the response has begun.
    pub(super) fn report_stage(&self, stage: AttemptStage) {
        let reported = self.reported.get();
        if reported != Some(stage) && reported != Some(AttemptStage::Answering) {
            self.reported.set(Some(stage));
            (self.report)(stage);
        }
    }

    /// Whether enough may have been written for a backend to start execution. `execution_start` counts the bytes that
    /// hyper is asked to write. hyper only adds to them, so a written request never counts as unwritten.
    pub(super) fn may_have_run(&self) -> bool {
        let execution_start = self.execution_start.get();
        execution_start > 0 && self.written.get() >= execution_start
    }

    /// Returns the ending of an attempt whose connection was closed.
    pub(super) fn disconnect_ending(&self) -> Ending {
        if self.may_have_run() {
            Ending::Interrupted
        } else {
            Ending::Unreachable
        }
    }

    /// Whether part of the final response has arrived.
    pub(super) fn has_response_begun(&self) -> bool {
        self.response_begun.load(Relaxed)
    }

    /// Waits for the head of the response. Once it has begun, waits for the rest for at most `pause`.
    pub(super) async fn wait_for_head<F: Future>(&self, pause: Duration, waiting: F) -> Option<F::Output> {
        let mut waiting = pin!(waiting);
        loop {
            tokio::select! {
                biased;
                output = &mut waiting => return Some(output),
                () = self.activity.notified() => {}
            }
            match timeout(pause, &mut waiting).await {
                Ok(output) => return Some(output),
                Err(_) if self.has_response_begun() => return None,
                Err(_) => {}
            }
        }
    }
}
