//! Attempts in flight, and waiting for final answers.

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

/// Attempt in flight. Its end is reported exactly once, even if its task is aborted or dropped.
pub(super) struct Attempt {
    pub(super) driver: Rc<Driver>,
    pub(super) id: RequestId,
    pub(super) number: u32,
    pub(super) sent: Instant,
    pub(super) request: Rc<Outgoing>,
    pub(super) is_done: bool,
}

impl Attempt {
    pub(super) fn start(self, server: Name, address: SocketAddr, deadline: Instant) -> AbortHandle {
        let (driver, id, number) = (self.driver.clone(), self.id, self.number);
        let progress = Rc::new(Progress::new(move |stage| driver.attempt_reached(id, number, stage)));
        let task = spawn_local(async move {
            let backends = self.driver.backends.clone();
            match backends.attempt(&server, address, &self.request, deadline, &progress).await {
                ExchangeResult::Complete(outcome) => self.finish(outcome),
                ExchangeResult::Streaming(outcome, relay) => {
                    self.request.release();
                    let is_wanted = self.driver.answer_started(&self, outcome);
                    // Boxed, so that the more frequent short attempts do not pay for its size.
                    let ending = if is_wanted {
                        Box::pin(relay.run(&backends, deadline)).await
                    } else {
                        Ending::Cancelled
                    };
                    self.finish(Outcome::without_answer(ending));
                }
            }
        });
        task.abort_handle()
    }

    /// Returns how long the attempt has been in flight, without the time that its request's body took to arrive.
    pub(super) fn elapsed(&self, now: Instant) -> Time {
        let since = self.request.completed_at.get().map_or(self.sent, |at| at.max(self.sent));
        now.saturating_duration_since(since).as_nanos() as Time
    }

    fn finish(mut self, outcome: Outcome) {
        self.is_done = true;
        self.driver.attempt_ended(&self, outcome);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_done {
            self.driver.attempt_ended(self, Outcome::without_answer(Ending::Cancelled));
        }
    }
}

/// Future of a final answer. Dropping it earlier reports that the client has left.
pub struct Ticket {
    pub(super) id: RequestId,
    pub(super) answer: oneshot::Receiver<Answer>,
    pub(super) driver: Rc<Driver>,
    pub(super) is_answered: bool,
}

impl Future for Ticket {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = Pin::new(&mut self.answer).poll(cx);
        answer.map(|answer| {
            self.is_answered = true;
            answer.unwrap_or(Answer::Failed { late: false })
        })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.is_answered {
            self.driver.client_left(self.id);
        }
    }
}
