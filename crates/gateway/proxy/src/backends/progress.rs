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
pub enum Note {
    /// Its connection is up. It writes only if the word that comes back is yes.
    Connected,
    /// So much of it is out that it may have run.
    Written,
    /// A part of the answer is in.
    Answering,
}

/// How far an attempt has come, counted where its bytes pass.
pub struct Progress {
    pub(super) tell: Box<dyn Fn(Note) -> bool>,
    pub(super) told: Cell<Option<Note>>,
    pub(super) written: Cell<usize>,
    pub(super) whole: Cell<usize>,
    /// Whether a part of the answer has come that is not an interim answer (1xx).
    pub(super) begun: Arc<AtomicBool>,
    pub(super) news: Notify,
}

impl Default for Progress {
    fn default() -> Self {
        Progress::new(|_| true)
    }
}

impl Progress {
    pub fn new(tell: impl Fn(Note) -> bool + 'static) -> Self {
        Progress {
            tell: Box::new(tell),
            told: Cell::new(None),
            written: Cell::default(),
            whole: Cell::default(),
            begun: Arc::default(),
            news: Notify::new(),
        }
    }

    /// Each once, and nothing behind the answer's beginning.
    pub(super) fn note(&self, note: Note) {
        let told = self.told.get();
        if told != Some(note) && told != Some(Note::Answering) {
            self.told.set(Some(note));
            (self.tell)(note);
        }
    }

    /// Whether so much may be out that a backend may have begun. `whole` counts what we ask hyper to write and hyper adds
    /// at most, so a request is never taken for unwritten when it is not.
    pub(super) fn may_have_run(&self) -> bool {
        let whole = self.whole.get();
        whole > 0 && self.written.get() >= whole
    }

    pub(super) fn broken(&self) -> Ending {
        if self.may_have_run() {
            Ending::Cut
        } else {
            Ending::NoRoute
        }
    }

    /// Whether a part of the answer itself is in.
    pub(super) fn has_begun(&self) -> bool {
        self.begun.load(Relaxed)
    }

    /// Waits for the answer, and no longer than a pause for the rest of its head once it has begun.
    pub(super) async fn in_time<F: Future>(&self, pause: Duration, waiting: F) -> Option<F::Output> {
        let mut waiting = pin!(waiting);
        loop {
            tokio::select! {
                biased;
                output = &mut waiting => return Some(output),
                () = self.news.notified() => {}
            }
            match timeout(pause, &mut waiting).await {
                Ok(output) => return Some(output),
                Err(_) if self.has_begun() => return None,
                Err(_) => {}
            }
        }
    }
}
