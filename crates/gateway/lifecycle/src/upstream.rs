//! A connection to a backend: which request may be written to it, to which request an answer belongs, and from which
//! byte on a request may have run.
//!
//! | state | a request | a complete answer | bytes or a close | an interruption |
//! | --- | --- | --- | --- | --- |
//! | `Idle` | `Busy`, if it may be carried | - | `Closed` | - |
//! | `Busy` | never | `Idle`, if nothing stands behind it | the answer's | `Closed` |
//! | `Closed` | never | - | - | - |

use interface::Time;

/// How much of a request a backend needs to begin to execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStart {
    /// Backends are known to wait for the last byte.
    FullRequest,
    /// A complete head may be enough.
    FullHead,
}

impl ExecutionStart {
    /// After how many written bytes it may have run, by the length of the head and, if known, of the body.
    pub fn byte_count(self, head: usize, body: Option<usize>) -> usize {
        if self == ExecutionStart::FullRequest || planted!(HeadTakenForProof) {
            body.map_or(usize::MAX, |body| head + body)
        } else {
            head
        }
    }
}

/// Which request's id an answer bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Echo {
    /// That of the waiting request, or answers bear no ids here.
    Same,
    Other,
    /// None, where answers bear ids: only a rejection may lack it.
    Missing {
        is_rejection: bool,
    },
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
    /// Whether it has carried a request before the present one.
    is_used: bool,
    /// Whether the latest answer bore no id: a second copy of it would be taken for the next one's.
    was_last_answer_without_id: bool,
}

impl Upstream {
    /// An established connection. No other has its number.
    pub fn new(number: u64, now: Time) -> Self {
        Upstream {
            number,
            state: State::Idle { since: now },
            is_used: false,
            was_last_answer_without_id: false,
        }
    }

    /// Its number, which no other connection has.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether it has carried a request before.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Whether it can carry no further request.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// How long it has been idle; none if it is not.
    pub fn idle_time(&self, now: Time) -> Option<Time> {
        match self.state {
            State::Idle { since } => Some(now.saturating_sub(since)),
            _ => None,
        }
    }

    /// Whether it has been idle for less than `rest`.
    pub fn is_idle_for_less_than(&self, now: Time, rest: Time) -> bool {
        self.idle_time(now).is_some_and(|rested| rested < rest)
    }

    /// Whether a request may be written to it whose earlier attempts used the connections with these numbers: a second
    /// copy of such an attempt's answer would bear the request's id. Where the latest answer bore none, only a request
    /// that may run twice is written: a second copy of that rejection would have it sent again while it runs.
    pub fn may_carry(&self, at_most_once: bool, earlier: &[u64]) -> bool {
        let again = earlier.contains(&self.number) && !planted!(SameConnectionAgain);
        let doubtful = at_most_once && self.was_last_answer_without_id && !planted!(NamelessKept);
        matches!(self.state, State::Idle { .. }) && !again && !doubtful
    }

    /// A request is written to it.
    pub fn begin_exchange(&mut self) {
        self.state = State::Busy;
    }

    /// Something arrived while it was idle: a close, or bytes that belong to no request.
    pub fn on_unexpected_bytes(&mut self) {
        if !planted!(SurplusKept) {
            self.state = State::Closed;
        }
    }

    /// Whether an answer belongs to the request that it carries.
    pub fn is_answer(&mut self, echo: Echo) -> bool {
        match echo {
            Echo::Same => {
                self.was_last_answer_without_id = false;
                true
            }
            Echo::Other => planted!(EchoIgnored),
            Echo::Missing { is_rejection: turned_away } => {
                self.was_last_answer_without_id = true;
                turned_away
            }
        }
    }

    /// The exchange is over. `clean`: request and answer were complete, and nothing followed them.
    pub fn end_exchange(&mut self, now: Time, clean: bool) {
        self.is_used = true;
        self.state = if clean { State::Idle { since: now } } else { State::Closed };
    }
}

/// How long a connection may have been idle to carry a request that cannot be repeated: backends may drop idle
/// connections silently, and sooner than they announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleLimit {
    usual: Time,
    narrowed_for: Time,
    min: Time,
    narrowed: Option<(Time, Time)>,
}

impl IdleLimit {
    /// The limit is `usual`; for `narrowed_for` after a reset it is half of that connection's idle time, at least
    /// `min`.
    pub fn new(usual: Time, narrowed_for: Time, min: Time) -> Self {
        IdleLimit { usual, narrowed_for, min, narrowed: None }
    }

    /// A connection that had been idle for this long accepted a request and was reset.
    pub fn on_reset(&mut self, now: Time, rested: Time) {
        let limit = self.limit(now).min(rested / 2).max(self.min.min(self.usual));
        self.narrowed = Some((limit, now));
    }

    /// The limit in force now.
    pub fn limit(&self, now: Time) -> Time {
        let narrowed = self.narrowed.filter(|(_, at)| now < at + self.narrowed_for);
        narrowed.map_or(self.usual, |(limit, _)| limit)
    }
}

#[cfg(test)]
mod tests;
