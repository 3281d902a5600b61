//! A client's connection: HTTP/1.1, one request at a time, answers in order (RFC 9112, section 9.3).
//!
//! | state | bytes of the next head | the head | the body | the answer | all of it written | `Close` |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | `Idle` | `Head` | `Body` | - | - | - | `Shut`; handover: stays, if no request has come yet |
//! | `Head` | stays | `Body` | - | - | - | `Shut`; handover: stays |
//! | `Body` | stays | - | `Processing` | `Answering` | stays | drain: `Finish`; evict: `Shut`, or `Finish` while the previous answer is not written |
//! | `Processing` | stays | - | - | `Answering` | stays | `Finish` |
//! | `Answering` | stays | `Body` | - | - | `Idle` | `Finish`; evict, after [`UNREAD_ANSWER_TIMEOUT`]: `Shut` |
//! | `Closed` | - | - | - | - | - | stays |
//!
//! A head may arrive while the previous answer is still being written: bytes keep their order.

use interface::Time;
use std::fmt;

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Nothing of a next request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A complete head has arrived; its body has not, or the request is being validated.
    Body,
    /// A complete and valid request waits for its answer.
    Processing,
    /// The answer is being written.
    Answering,
    Closed,
}

/// Why a connection is to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Close {
    /// The gateway shuts down: accepted requests are answered first.
    Drain,
    /// Another process takes over: a client that is sending its first request may finish it.
    Handover,
    /// Its descriptor is needed for another client.
    Evict,
}

/// What happened on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Some bytes arrived.
    Bytes,
    /// A request's head is complete.
    Head,
    /// The request is complete and valid.
    Accepted,
    /// The answer is known, to a valid request or to an invalid one.
    Reply,
    /// The last byte of the answer is written.
    Flushed,
    Close(Close),
    /// The socket was closed, from either side.
    Disconnected,
}

/// What the owner of the socket must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Nothing is to be done.
    None,
    /// Close the connection now: no answer is due on it.
    Shut,
    /// Close it once the answer that is due has been written.
    Finish,
    /// Write the answer, and say whether the connection closes behind it.
    Answer { close: bool },
}

/// An input without a meaning in the present state. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidInput {
    pub state: State,
    pub input: Input,
}

impl fmt::Display for InvalidInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} has no meaning on a connection that is {:?}", self.input, self.state)
    }
}

impl std::error::Error for InvalidInput {}

/// How long, in nanoseconds, a new client may be silent before it may be evicted.
pub const EVICTION_GRACE: Time = 100_000_000;
/// A client that has not read its answer for this long may be evicted: longer than any request may wait.
pub const UNREAD_ANSWER_TIMEOUT: Time = 4_000_000_000;

/// A client that is silent for this long is disconnected: it holds memory.
pub const IDLE_TIMEOUT: Time = 2_200_000_000;
/// A head may take 2 s; the rest is for transmission.
pub const HEAD_TIMEOUT: Time = 2_400_000_000;
/// Within 3 s of connecting a client is due an error or a close, if its first request is not complete.
pub const FIRST_HEAD_TIMEOUT: Time = 2_800_000_000;

/// How long a client may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// Between two requests, and after connecting.
    pub idle: Time,
    /// From a head's first byte to its last.
    pub head: Time,
    /// From connecting to the first head's last byte.
    pub first_head: Time,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { idle: IDLE_TIMEOUT, head: HEAD_TIMEOUT, first_head: FIRST_HEAD_TIMEOUT }
    }
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    timeouts: Timeouts,
    state: State,
    /// When it was accepted, or its last answer became known.
    last_answer_at: Time,
    /// When it was accepted; when the first byte of its latest head arrived, and the latest byte.
    accepted_at: Time,
    head_started_at: Time,
    last_byte_at: Time,
    /// Whether it has sent a complete and valid request.
    has_requested: bool,
    /// Whether it has had any answer.
    has_answered: bool,
    is_closing: bool,
    /// Whether an answer has bytes that are not written yet, even while the next request is read.
    has_unwritten: bool,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(now: Time, timeouts: Timeouts) -> Self {
        let (last_answer_at, accepted_at, head_started_at, last_byte_at) = (now, now, now, now);
        Connection {
            timeouts,
            state: State::Idle,
            last_answer_at,
            accepted_at,
            head_started_at,
            last_byte_at,
            has_requested: false,
            has_answered: false,
            is_closing: false,
            has_unwritten: false,
        }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether an answer has bytes that are not written yet.
    pub fn has_unwritten(&self) -> bool {
        self.has_unwritten
    }

    /// Whether it has sent a complete and valid request.
    pub fn has_requested(&self) -> bool {
        self.has_requested
    }

    /// When it is disconnected unless more of a head arrives: a silent client after [`IDLE_TIMEOUT`], one that has
    /// begun a head after [`HEAD_TIMEOUT`], and a first head is due by [`FIRST_HEAD_TIMEOUT`] after connecting. None
    /// while it waits for something else.
    pub fn read_deadline(&self) -> Option<Time> {
        match self.state {
            State::Idle => Some(self.last_answer_at + self.timeouts.idle),
            State::Head if planted!(HeadWaitsFromIdle) => Some(self.last_answer_at + self.timeouts.head),
            State::Head if self.has_answered => Some(self.head_started_at + self.timeouts.head),
            State::Head => Some(
                (self.head_started_at + self.timeouts.head).min(self.accepted_at + self.timeouts.first_head),
            ),
            State::Body | State::Processing | State::Answering | State::Closed => None,
        }
    }

    /// Handles an input. The time matters for `Bytes`, `Reply` and `Close` alone.
    ///
    /// # Errors
    /// [`InvalidInput`], if that can't be in the present state.
    pub fn handle(&mut self, now: Time, input: Input) -> Result<Command, InvalidInput> {
        use State::*;
        let order = match (self.state, input) {
            (_, Input::Disconnected) => {
                self.state = Closed;
                Command::None
            }
            (Closed, Input::Close(_)) => Command::None,
            (Idle, Input::Bytes) => {
                (self.state, self.head_started_at, self.last_byte_at) = (Head, now, now);
                Command::None
            }
            (Head, Input::Bytes) => {
                self.last_byte_at = now;
                Command::None
            }
            (Body | Processing | Answering, Input::Bytes) => Command::None,
            (Idle | Head | Answering, Input::Head) => {
                self.state = Body;
                Command::None
            }
            (Body, Input::Accepted) => {
                (self.state, self.has_requested) = (Processing, true);
                if planted!(TakenNotInHand) {
                    self.state = Body;
                }
                Command::None
            }
            (Body | Processing, Input::Reply) => {
                (self.state, self.last_answer_at, self.has_unwritten) = (Answering, now, true);
                self.has_answered = true;
                Command::Answer { close: self.is_closing && !planted!(CloseNotSaid) }
            }
            (Answering, Input::Flushed) => {
                // As a rule right after the answer: it is idle since then.
                (self.state, self.has_unwritten) = (Idle, false);
                if self.is_closing && !planted!(FinishedStaysOpen) {
                    self.state = Closed;
                    Command::Shut
                } else {
                    Command::None
                }
            }
            (Body | Processing, Input::Flushed) if self.has_unwritten => {
                self.has_unwritten = false;
                Command::None
            }
            (Idle | Head, Input::Close(Close::Handover))
                if !self.has_requested || self.state == Head && !planted!(HandoverCutsHead) =>
            {
                self.is_closing = true;
                Command::None
            }
            (Idle | Head, Input::Close(_)) => self.shut(),
            (Body, Input::Close(Close::Evict)) if !self.has_unwritten || planted!(NextHidesAnswer) => {
                self.shut()
            }
            (Answering, Input::Close(Close::Evict)) if self.is_answer_unread(now) => self.shut(),
            (Answering, Input::Close(_)) if planted!(DrainCutsAnswer) => self.shut(),
            (Processing, Input::Close(_)) if planted!(DrainCutsRequest) => self.shut(),
            (Body | Processing | Answering, Input::Close(_)) => {
                self.is_closing = true;
                Command::Finish
            }
            (state, input) => return Err(InvalidInput { state, input }),
        };
        Ok(order)
    }

    /// Whether its client has not read its answer for too long.
    fn is_answer_unread(&self, now: Time) -> bool {
        self.state == State::Answering
            && now.saturating_sub(self.last_answer_at) >= UNREAD_ANSWER_TIMEOUT
            && !planted!(StuckKept)
    }

    fn shut(&mut self) -> Command {
        if planted!(HalfHeadKept) && self.state == State::Head {
            self.is_closing = true;
            return Command::Finish;
        }
        self.state = State::Closed;
        Command::Shut
    }

    /// Its rank for eviction, the first to be evicted least, and how long it is still protected; none if it must stay.
    fn eviction_rank(&self, now: Time) -> Option<((bool, bool, Time), Time)> {
        // A client that is still writing a head ranks behind one that only holds its connection.
        let since = if planted!(ProgressIgnored) {
            self.last_answer_at
        } else {
            self.last_answer_at.max(self.last_byte_at)
        };
        let quiet = now.saturating_sub(since);
        let stuck = self.state == State::Answering;
        let wait = match self.state {
            _ if self.has_unwritten && self.state != State::Answering && !planted!(NextHidesAnswer) => {
                return None
            }
            State::Idle | State::Head | State::Body if self.has_requested => 0,
            State::Idle | State::Head | State::Body => EVICTION_GRACE.saturating_sub(quiet),
            State::Processing if planted!(BusySpared) => 0,
            State::Answering if quiet >= UNREAD_ANSWER_TIMEOUT => 0,
            State::Processing | State::Answering | State::Closed => return None,
        };
        Some(((stuck, self.has_requested, since), wait))
    }
}

/// The client to evict: first one that never sent a valid request, then one that idles between requests, then one that
/// does not read its answer; among equals the one that has been so for longest. With it, how long it is still
/// protected. None if every client is due an answer. A byte of a head counts as a new start, which [`HEAD_TIMEOUT`]
/// bounds.
pub fn eviction_candidate<'a, K>(
    clients: impl Iterator<Item = (K, &'a Connection)>,
    now: Time,
) -> Option<(K, Time)> {
    let all = clients.filter_map(|(key, c)| Some((key, c.eviction_rank(now)?)));
    all.min_by_key(|(_, (rank, _))| *rank).map(|(key, (_, wait))| (key, wait))
}

#[cfg(test)]
mod tests;
