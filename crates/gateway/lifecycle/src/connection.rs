//! The state machine of a client connection: HTTP/1.1, one request at a time, answers in order (RFC 9112, section 9.3).
//!
//! | state | `Bytes` | `Head` | `Accepted` | `Reply` | `Flushed` | `Close` |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | `Idle` | `Head` | `Body` | - | - | - | `Shut`; handover: stays if it has sent no request yet |
//! | `Head` | stays | `Body` | - | - | - | `Shut`; handover: stays |
//! | `Body` | stays | - | `Processing` | `Answering` | stays | drain: `Finish`; evict: `Shut`, or `Finish` while the previous answer is not written |
//! | `Processing` | stays | - | - | `Answering` | stays | `Finish` |
//! | `Answering` | stays | `Body` | - | - | `Idle` | `Finish`; evict, after [`UNREAD_ANSWER_TIMEOUT`]: `Shut` |
//! | `Closed` | - | - | - | - | - | stays |
//!
//! A head may arrive while the previous answer is still being written; answers keep their order.

use interface::Time;
use std::fmt;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// No byte of the next request has arrived.
    Idle,
    /// A part of a request head has arrived.
    Head,
    /// A complete head has arrived; the body is incomplete, or the request is being validated.
    Body,
    /// A complete and valid request waits for its answer.
    Processing,
    /// The answer is being written.
    Answering,
    Closed,
}

/// The reason to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Close {
    /// The gateway shuts down; accepted requests are answered first.
    Drain,
    /// Another process takes over; a client that has yet to send its first request, or is sending a head, may finish it.
    Handover,
    /// Its file descriptor is needed for another client.
    Evict,
}

/// An input of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Bytes have arrived.
    Bytes,
    /// A request's head is complete.
    Head,
    /// The request is complete and valid.
    Accepted,
    /// The answer to a valid or invalid request is available.
    Reply,
    /// The last byte of the answer has been written.
    Flushed,
    Close(Close),
    /// The socket was closed by either side.
    Disconnected,
}

/// A command for the owner of the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Do nothing.
    None,
    /// Close the connection now.
    Shut,
    /// Close it after the pending answer has been written.
    Finish,
    /// Write the answer, with `Connection: close` if the connection closes after it.
    Answer { close: bool },
}

/// An input that is invalid in the present state. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidInput {
    pub state: State,
    pub input: Input,
}

impl fmt::Display for InvalidInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid input {:?} for a connection in state {:?}", self.input, self.state)
    }
}

impl std::error::Error for InvalidInput {}

/// How long, in nanoseconds, a client that has sent no request may be silent before it can be evicted.
pub const EVICTION_GRACE: Time = 100_000_000;
/// A client that has not read its answer for this long can be evicted. Longer than any request may wait.
pub const UNREAD_ANSWER_TIMEOUT: Time = 4_000_000_000;

/// A client that is silent for this long is disconnected, since it holds memory.
pub const IDLE_TIMEOUT: Time = 2_200_000_000;
/// The timeout of a request head: 2 s, plus transmission time.
pub const HEAD_TIMEOUT: Time = 2_400_000_000;
/// The timeout of a client's first head after connecting: within 3 s it must get an error or a close if its first request
/// is incomplete.
pub const FIRST_HEAD_TIMEOUT: Time = 2_800_000_000;

/// Read timeouts of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// From connecting, or from an answer, to the next head's first byte.
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

/// A client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    timeouts: Timeouts,
    state: State,
    /// When the last answer became available; before the first, when the connection was accepted.
    last_answer_at: Time,
    /// When it was accepted, when the first byte of the latest head arrived, and when the latest byte of a head arrived.
    accepted_at: Time,
    head_started_at: Time,
    last_byte_at: Time,
    /// Whether the client has sent a complete and valid request.
    has_requested: bool,
    /// Whether any answer became available.
    has_answered: bool,
    /// Whether the connection closes after the next or pending answer.
    is_closing: bool,
    /// Whether an answer is not completely written, even while the next request is read.
    has_unwritten: bool,
}

impl Connection {
    /// Creates the state of a connection accepted at `now`.
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

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether an answer is not completely written.
    pub fn has_unwritten(&self) -> bool {
        self.has_unwritten
    }

    /// Returns whether the client has sent a complete and valid request.
    pub fn has_requested(&self) -> bool {
        self.has_requested
    }

    /// Returns when the client is disconnected unless the expected bytes of a head arrive: an idle client after
    /// [`Timeouts::idle`], one that has started a head after [`Timeouts::head`], and before the first answer not later than
    /// [`Timeouts::first_head`] after connecting. `None` while no head is awaited.
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

    /// Handles an input. The time matters only for `Bytes`, `Reply` and `Close`.
    ///
    /// # Errors
    /// Returns [`InvalidInput`] if the input is invalid in the present state.
    pub fn handle(&mut self, now: Time, input: Input) -> Result<Command, InvalidInput> {
        use State::*;
        let command = match (self.state, input) {
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
                // Usually right after the answer, so `last_answer_at` is when the connection became idle.
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
        Ok(command)
    }

    /// Returns whether the client has not read its answer for [`UNREAD_ANSWER_TIMEOUT`].
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

    /// Returns the connection's rank for eviction, the lowest to be evicted first, and how long it is still protected.
    /// `None` if it must stay.
    fn eviction_rank(&self, now: Time) -> Option<((bool, bool, Time), Time)> {
        // A client that is still sending a head ranks behind a silent one.
        let since = if planted!(ProgressIgnored) {
            self.last_answer_at
        } else {
            self.last_answer_at.max(self.last_byte_at)
        };
        let silence = now.saturating_sub(since);
        let is_answer_unwritten = self.state == State::Answering;
        let protected_for = match self.state {
            _ if self.has_unwritten && self.state != State::Answering && !planted!(NextHidesAnswer) => {
                return None
            }
            State::Idle | State::Head | State::Body if self.has_requested => 0,
            State::Idle | State::Head | State::Body => EVICTION_GRACE.saturating_sub(silence),
            State::Processing if planted!(BusySpared) => 0,
            State::Answering if silence >= UNREAD_ANSWER_TIMEOUT => 0,
            State::Processing | State::Answering | State::Closed => return None,
        };
        Some(((is_answer_unwritten, self.has_requested, since), protected_for))
    }
}

/// Returns the client to evict, and how long it is still protected. Clients that never sent a valid request come first,
/// then clients that are idle between requests, then clients that do not read their answer; within each group the one
/// that has been silent longest. `None` if every client awaits an answer. Each byte of a head restarts the silence; the
/// head's total time is limited by [`HEAD_TIMEOUT`].
pub fn eviction_candidate<'a, K>(
    clients: impl Iterator<Item = (K, &'a Connection)>,
    now: Time,
) -> Option<(K, Time)> {
    let ranked = clients.filter_map(|(key, connection)| Some((key, connection.eviction_rank(now)?)));
    ranked.min_by_key(|(_, (rank, _))| *rank).map(|(key, (_, protected_for))| (key, protected_for))
}

#[cfg(test)]
mod tests;
