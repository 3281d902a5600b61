//! How far an attempt has come, counted where its bytes pass.

use interface::Ending;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// What an attempt tells on its way.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// Its connection is up. It writes only if the word that comes back is yes.
    Connected,
    /// So much of it is out that it may have run.
    Written,
    /// A part of the answer is in.
    Answering,
}

/// How far an attempt has come, counted where its bytes pass.
pub struct Progress {
    pub(super) report: Box<dyn Fn(AttemptStage) -> bool>,
    pub(super) reported: Cell<Option<AttemptStage>>,
    pub(super) written: Cell<usize>,
    pub(super) execution_start: Cell<usize>,
    /// Whether a part of the answer has come that is not an interim answer (1xx).
    pub(super) has_answer_begun: Arc<AtomicBool>,
    pub(super) activity: Notify,
}

impl Default for Progress {
    fn default() -> Self {
        Progress::new(|_| true)
    }
}

impl Progress {
    pub fn new(tell: impl Fn(AttemptStage) -> bool + 'static) -> Self {
        Progress {
            report: Box::new(tell),
            reported: Cell::new(None),
            written: Cell::default(),
            execution_start: Cell::default(),
            has_answer_begun: Arc::default(),
            activity: Notify::new(),
        }
    }

    /// Each once, and nothing behind the answer's beginning.
    pub(super) fn report_stage(&self, note: AttemptStage) {
        let told = self.reported.get();
        if told != Some(note) && told != Some(AttemptStage::Answering) {
            self.reported.set(Some(note));
            (self.report)(note);
        }
    }

    /// Whether so much may be out that a backend may have begun. `whole` counts what we ask hyper to write and hyper
    /// adds at most, so a request is never taken for unwritten when it is not.
    pub(super) fn may_have_run(&self) -> bool {
        let whole = self.execution_start.get();
        whole > 0 && self.written.get() >= whole
    }

    pub(super) fn broken(&self) -> Ending {
        if self.may_have_run() {
            Ending::Interrupted
        } else {
            Ending::Unreachable
        }
    }

    /// Whether a part of the answer itself is in.
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
