//! An attempt in flight, and the wait for a final answer.

use super::{Answer, Driver};
use crate::backends::{ExchangeResult, Outcome, Outgoing, Progress};
use interface::{Ending, Name, RequestId, Time};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// An attempt in flight. Its end is reported once, also if its task is aborted or lost.
pub(super) struct Attempt {
    pub(super) driver: Rc<Driver>,
    pub(super) id: RequestId,
    pub(super) number: u32,
    pub(super) sent: Instant,
    pub(super) request: Rc<Outgoing>,
    pub(super) done: bool,
}

impl Attempt {
    pub(super) fn start(self, server: Name, place: SocketAddr, not_past: Instant) -> AbortHandle {
        let (driver, id, number) = (self.driver.clone(), self.id, self.number);
        let progress = Rc::new(Progress::new(move |note| driver.attempt_reached(id, number, note)));
        let task = spawn_local(async move {
            let backends = self.driver.backends.clone();
            match backends.attempt(&server, place, &self.request, not_past, &progress).await {
                ExchangeResult::Complete(outcome) => self.done(outcome),
                ExchangeResult::Streaming(outcome, relay) => {
                    self.request.release();
                    let wanted = self.driver.answer_started(&self, outcome);
                    // Boxed: the many short attempts do not pay for its size.
                    let ending = if wanted {
                        Box::pin(relay.run(&backends, not_past)).await
                    } else {
                        Ending::Cancelled
                    };
                    self.done(Outcome::without_answer(ending));
                }
            }
        });
        task.abort_handle()
    }

    /// How long it has been in flight, without the time its body took to arrive.
    pub(super) fn elapsed(&self, now: Instant) -> Time {
        let since = self.request.completed_at.get().map_or(self.sent, |at| at.max(self.sent));
        now.saturating_duration_since(since).as_nanos() as Time
    }

    fn done(mut self, outcome: Outcome) {
        self.done = true;
        self.driver.attempt_ended(&self, outcome);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.done {
            self.driver.attempt_ended(self, Outcome::without_answer(Ending::Cancelled));
        }
    }
}

/// Waits for a final answer. Dropping it reports that the client has left.
pub struct Ticket {
    pub(super) id: RequestId,
    pub(super) answer: oneshot::Receiver<Answer>,
    pub(super) driver: Rc<Driver>,
    pub(super) answered: bool,
}

impl Future for Ticket {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(cx);
        answer.map(|answer| {
            self.answered = true;
            answer.unwrap_or(Answer::Failed { late: false })
        })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.answered {
            self.driver.client_left(self.id);
        }
    }
}
