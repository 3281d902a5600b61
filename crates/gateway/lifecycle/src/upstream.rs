//! The state of a connection to a backend: which requests may be written to it, which request an answer belongs to, and
//! after which byte a request may have run.
//!
//! | state | a request | a complete answer | bytes or a close | an interruption |
//! | --- | --- | --- | --- | --- |
//! | `Idle` | to `Busy` if [`Upstream::may_carry`] | - | to `Closed` | - |
//! | `Busy` | never | to `Idle` if no bytes follow it | part of the answer | to `Closed` |
//! | `Closed` | never | - | - | - |

use interface::Time;

/// How much of a request a backend must receive before it may execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStart {
    /// Backends are known to wait for the request's last byte.
    FullRequest,
    /// A complete head may be sufficient.
    FullHead,
}

impl ExecutionStart {
    /// Returns the number of written bytes after which a request may have run, from the lengths of its head and, if known,
    /// its body.
    pub fn byte_count(self, head: usize, body: Option<usize>) -> usize {
        if self == ExecutionStart::FullRequest || planted!(HeadTakenForProof) {
            body.map_or(usize::MAX, |body| head + body)
        } else {
            head
        }
    }
}

/// The request id echoed in an answer, compared with the request's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Echo {
    /// The id of the waiting request; also where answers carry no ids.
    Same,
    /// Another request's id.
    Other,
    /// No id, where answers carry ids: accepted only for a rejection.
    Missing { is_rejection: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle { since: Time },
    Busy,
    Closed,
}

/// A connection to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Upstream {
    number: u64,
    state: State,
    /// Whether an exchange on this connection has ended, so that the next is not its first.
    is_used: bool,
    /// Whether the latest answer carried no id: a duplicate of it would be taken for the next request's answer.
    was_last_answer_without_id: bool,
}

impl Upstream {
    /// Creates the state of a connection that has just been established. `number` must be unique.
    pub fn new(number: u64, now: Time) -> Self {
        Upstream {
            number,
            state: State::Idle { since: now },
            is_used: false,
            was_last_answer_without_id: false,
        }
    }

    /// Returns the connection's unique number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether an exchange on it has ended, so that the next is not its first.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Returns whether it can carry no further request.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns how long it has been idle; `None` if it is not idle.
    pub fn idle_time(&self, now: Time) -> Option<Time> {
        match self.state {
            State::Idle { since } => Some(now.saturating_sub(since)),
            _ => None,
        }
    }

    /// Returns whether it is idle, and has been for less than `limit`.
    pub fn is_idle_for_less_than(&self, now: Time, limit: Time) -> bool {
        self.idle_time(now).is_some_and(|idle_time| idle_time < limit)
    }

    /// Returns whether a request may be written to it. `earlier`: the connections of the request's earlier attempts. They
    /// are excluded, since a duplicate of such an attempt's answer would carry the request's id. If the latest answer
    /// carried no id, only a request that may run twice is written: a duplicate of that rejection would have the request
    /// sent again while it runs.
    pub fn may_carry(&self, at_most_once: bool, earlier: &[u64]) -> bool {
        let was_used_before = earlier.contains(&self.number) && !planted!(SameConnectionAgain);
        let is_ambiguous = at_most_once && self.was_last_answer_without_id && !planted!(NamelessKept);
        matches!(self.state, State::Idle { .. }) && !was_used_before && !is_ambiguous
    }

    /// Records that a request is written to it.
    pub fn begin_exchange(&mut self) {
        self.state = State::Busy;
    }

    /// Records input while it was idle: a close, or bytes that belong to no request.
    pub fn on_unexpected_bytes(&mut self) {
        if !planted!(SurplusKept) {
            self.state = State::Closed;
        }
    }

    /// Returns whether an answer with this echo belongs to the request in progress.
    pub fn is_answer(&mut self, echo: Echo) -> bool {
        match echo {
            Echo::Same => {
                self.was_last_answer_without_id = false;
                true
            }
            Echo::Other => planted!(EchoIgnored),
            Echo::Missing { is_rejection } => {
                self.was_last_answer_without_id = true;
                is_rejection
            }
        }
    }

    /// Records the end of an exchange. `is_clean`: request and answer were complete, and no bytes followed.
    pub fn end_exchange(&mut self, now: Time, is_clean: bool) {
        self.is_used = true;
        self.state = if is_clean { State::Idle { since: now } } else { State::Closed };
    }
}

/// The maximum idle time of a connection for a request that cannot be retried. Backends may drop idle connections silently
/// and earlier than announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleLimit {
    usual: Time,
    narrowed_for: Time,
    min: Time,
    /// The narrowed limit of the idle time, and the time at which it was set.
    narrowed: Option<(Time, Time)>,
}

impl IdleLimit {
    /// Creates a limit of `usual`. For `narrowed_for` after a reset it is at most half of that connection's idle time, but at
    /// least `min`.
    pub fn new(usual: Time, narrowed_for: Time, min: Time) -> Self {
        IdleLimit { usual, narrowed_for, min, narrowed: None }
    }

    /// Narrows the limit: a connection that had been idle for this long was reset after a request was written.
    pub fn on_reset(&mut self, now: Time, idle_time: Time) {
        let limit = self.limit(now).min(idle_time / 2).max(self.min.min(self.usual));
        self.narrowed = Some((limit, now));
    }

    /// Returns the current limit.
    pub fn limit(&self, now: Time) -> Time {
        let narrowed = self.narrowed.filter(|(_, set_at)| now < set_at + self.narrowed_for);
        narrowed.map_or(self.usual, |(limit, _)| limit)
    }
}

#[cfg(test)]
mod tests;
