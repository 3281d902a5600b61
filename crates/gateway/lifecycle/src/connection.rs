//! The life of a client's connection: HTTP/1.1, one request in hand at a time, answers in order
//! (RFC 9112, 9.3).
//!
//! | state | bytes of the next head | the head | the body | the answer | all of it written | `Close` |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | `Idle` | `Head` | `Body` | - | - | - | `Shut`; handover: stays, if it has yet to ask |
//! | `Head` | stays | `Body` | - | - | - | `Shut`; handover: stays |
//! | `Body` | stays | - | `InHand` | `Answering` | stays | drain: `Finish`; room: `Shut`, or `Finish` while an answer before it is not written |
//! | `InHand` | stays | - | - | `Answering` | stays | `Finish` |
//! | `Answering` | stays | `Body` | - | - | `Idle` | `Finish`; room, after [`STUCK`]: `Shut` |
//! | `Closed` | - | - | - | - | - | stays |
//!
//! A head may come while the answer before it is still being written: bytes keep their order.

use interface::Time;
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Nothing of a next request has come.
    Idle,
    /// A part of a head has.
    Head,
    /// A whole head has; its body has not, or it is being looked at.
    Body,
    /// A whole and sound request waits for its answer.
    InHand,
    /// The answer is being written.
    Answering,
    Closed,
}

/// Why a connection is to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Close {
    /// The gateway ends: what has been taken is answered first.
    Drain,
    /// Another process takes over: who has yet to ask, or is at it, may.
    Handover,
    /// Its place is wanted for another.
    Room,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Some bytes came.
    Bytes,
    /// A request's head is whole.
    Head,
    /// The request is whole and sound: it is now in hand.
    Taken,
    /// The answer is known, to the request in hand or to one that was found unsound.
    Reply,
    /// The last byte of the answer is written.
    Flushed,
    Close(Close),
    /// The socket has ended, from whichever side.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Nothing is to be done.
    None,
    /// End the connection now: nobody is owed an answer on it.
    Shut,
    /// End it once the answer that is owed has been written.
    Finish,
    /// Write the answer, and say whether the connection closes behind it.
    Answer { close: bool },
}

/// An input without a meaning in the present state. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub state: State,
    pub input: Input,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} has no meaning on a connection that is {:?}", self.input, self.state)
    }
}

impl std::error::Error for Wrong {}

/// So long, in nanoseconds, a new client is left to say something before it may make room for others.
pub const SETTLE: Time = 100_000_000;
/// A client that has not read its answer for so long may make room too: longer than any request may wait.
pub const STUCK: Time = 4_000_000_000;

/// A client that says nothing for so long is let go: it holds memory.
pub const SILENT: Time = 2_200_000_000;
/// A head may take 2 s; some more is for the way here.
pub const HEAD: Time = 2_400_000_000;
/// Within 3 s of connecting a client is owed an error or a close, if its first request does not come whole.
pub const FIRST: Time = 2_800_000_000;

/// A client's connection.
/// How long a client may say nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Patience {
    /// Between two requests, and after connecting.
    pub silent: Time,
    /// From a head's first byte to its last.
    pub head: Time,
    /// From connecting to the first head's last byte.
    pub first: Time,
}

impl Default for Patience {
    fn default() -> Self {
        Patience { silent: SILENT, head: HEAD, first: FIRST }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    allowed: Patience,
    state: State,
    /// When it came, or had its last answer known.
    since: Time,
    /// When it came; and when the first byte of its latest head did, and the latest.
    came: Time,
    head: Time,
    moved: Time,
    /// Whether it has sent a whole and sound request.
    asked: bool,
    /// Whether it has had an answer, to whatever.
    answered: bool,
    closing: bool,
    /// Whether an answer has bytes that are not written yet, also while the next request is read behind it.
    unwritten: bool,
}

impl Connection {
    pub fn new(now: Time, allowed: Patience) -> Self {
        let (since, came, head, moved) = (now, now, now, now);
        Connection {
            allowed,
            state: State::Idle,
            since,
            came,
            head,
            moved,
            asked: false,
            answered: false,
            closing: false,
            unwritten: false,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether an answer has bytes that are not written yet.
    pub fn unwritten(&self) -> bool {
        self.unwritten
    }

    /// Whether it has sent a whole and sound request.
    pub fn asked(&self) -> bool {
        self.asked
    }

    /// When it is to be let go, if nothing more comes of a head: who says nothing has [`SILENT`], and who has
    /// begun a head has [`HEAD`] for it; a first one is owed a word by [`FIRST`] after its client came. None while
    /// it waits for something else.
    pub fn patience(&self) -> Option<Time> {
        match self.state {
            State::Idle => Some(self.since + self.allowed.silent),
            State::Head if planted!(HeadWaitsFromIdle) => Some(self.since + self.allowed.head),
            State::Head if self.answered => Some(self.head + self.allowed.head),
            State::Head => Some((self.head + self.allowed.head).min(self.came + self.allowed.first)),
            State::Body | State::InHand | State::Answering | State::Closed => None,
        }
    }

    /// Takes what happened. The time counts for `Bytes`, `Reply` and `Close` alone.
    ///
    /// # Errors
    /// [`Wrong`], if that can't be in the present state.
    pub fn handle(&mut self, now: Time, input: Input) -> Result<Order, Wrong> {
        use State::*;
        let order = match (self.state, input) {
            (_, Input::Gone) => {
                self.state = Closed;
                Order::None
            }
            (Closed, Input::Close(_)) => Order::None,
            (Idle, Input::Bytes) => {
                (self.state, self.head, self.moved) = (Head, now, now);
                Order::None
            }
            (Head, Input::Bytes) => {
                self.moved = now;
                Order::None
            }
            (Body | InHand | Answering, Input::Bytes) => Order::None,
            (Idle | Head | Answering, Input::Head) => {
                self.state = Body;
                Order::None
            }
            (Body, Input::Taken) => {
                (self.state, self.asked) = (InHand, true);
                if planted!(TakenNotInHand) {
                    self.state = Body;
                }
                Order::None
            }
            (Body | InHand, Input::Reply) => {
                (self.state, self.since, self.unwritten) = (Answering, now, true);
                self.answered = true;
                Order::Answer { close: self.closing && !planted!(CloseNotSaid) }
            }
            (Answering, Input::Flushed) => {
                // As a rule at once behind the answer: idle since then.
                (self.state, self.unwritten) = (Idle, false);
                if self.closing && !planted!(FinishedStaysOpen) {
                    self.state = Closed;
                    Order::Shut
                } else {
                    Order::None
                }
            }
            (Body | InHand, Input::Flushed) if self.unwritten => {
                self.unwritten = false;
                Order::None
            }
            (Idle | Head, Input::Close(Close::Handover))
                if !self.asked || self.state == Head && !planted!(HandoverCutsHead) =>
            {
                self.closing = true;
                Order::None
            }
            (Idle | Head, Input::Close(_)) => self.shut(),
            (Body, Input::Close(Close::Room)) if !self.unwritten || planted!(NextHidesAnswer) => self.shut(),
            (Answering, Input::Close(Close::Room)) if self.stuck(now) => self.shut(),
            (Answering, Input::Close(_)) if planted!(DrainCutsAnswer) => self.shut(),
            (InHand, Input::Close(_)) if planted!(DrainCutsRequest) => self.shut(),
            (Body | InHand | Answering, Input::Close(_)) => {
                self.closing = true;
                Order::Finish
            }
            (state, input) => return Err(Wrong { state, input }),
        };
        Ok(order)
    }

    /// Whether its client has had its answer to read for so long that it won't.
    fn stuck(&self, now: Time) -> bool {
        self.state == State::Answering && now.saturating_sub(self.since) >= STUCK && !planted!(StuckKept)
    }

    fn shut(&mut self) -> Order {
        if planted!(HalfHeadKept) && self.state == State::Head {
            self.closing = true;
            return Order::Finish;
        }
        self.state = State::Closed;
        Order::Shut
    }

    /// How well it can be spared, the least first, and how long it must be left alone yet; none if not at all.
    fn spare(&self, now: Time) -> Option<((bool, bool, Time), Time)> {
        // Who is still writing a head goes behind who only holds the connection.
        let since = if planted!(ProgressIgnored) { self.since } else { self.since.max(self.moved) };
        let quiet = now.saturating_sub(since);
        let stuck = self.state == State::Answering;
        let wait = match self.state {
            _ if self.unwritten && self.state != State::Answering && !planted!(NextHidesAnswer) => {
                return None
            }
            State::Idle | State::Head | State::Body if self.asked => 0,
            State::Idle | State::Head | State::Body => SETTLE.saturating_sub(quiet),
            State::InHand if planted!(BusySpared) => 0,
            State::Answering if quiet >= STUCK => 0,
            State::InHand | State::Answering | State::Closed => return None,
        };
        Some(((stuck, self.asked, since), wait))
    }
}

/// Who can best be spared: who never sent a sound request goes before who idles between requests, and that
/// one before who does not read its answer; among equals, who has been so for longest. With it, how long it
/// must be left alone yet. None if every client is owed an answer. A byte of a head counts as a new beginning, which
/// [`HEAD`] bounds.
pub fn spare<'a, K>(clients: impl Iterator<Item = (K, &'a Connection)>, now: Time) -> Option<(K, Time)> {
    let all = clients.filter_map(|(key, c)| Some((key, c.spare(now)?)));
    all.min_by_key(|(_, (rank, _))| *rank).map(|(key, (_, wait))| (key, wait))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A connection on which all this has happened, a second apart.
    fn after(inputs: &[Input]) -> Connection {
        let mut c = Connection::new(0, Patience::default());
        for (n, input) in inputs.iter().enumerate() {
            c.handle(n as Time * 1_000_000_000, *input).expect("in order");
        }
        c
    }

    /// RFC 9112, 9.6: after the last answer, not in the middle of it.
    #[test]
    fn a_drain_ends_what_owes_nothing_and_lets_the_rest_finish() {
        use Input::*;
        let at_rest: [&[Input]; 3] = [&[], &[Bytes], &[Bytes, Head, Taken, Reply, Flushed]];
        for inputs in at_rest {
            assert_eq!(after(inputs).handle(9, Input::Close(super::Close::Drain)), Ok(Order::Shut));
        }
        let owed: [&[Input]; 3] = [&[Bytes, Head], &[Bytes, Head, Taken], &[Bytes, Head, Taken, Reply]];
        for inputs in owed {
            let mut c = after(inputs);
            assert_eq!(c.handle(9, Input::Close(super::Close::Drain)), Ok(Order::Finish));
            if c.state() != State::Answering {
                assert_eq!(c.handle(9, Reply), Ok(Order::Answer { close: true }));
            }
            assert_eq!(c.handle(9, Flushed), Ok(Order::Shut));
        }
    }

    #[test]
    fn a_handover_lets_who_has_yet_to_ask_do_so_once() {
        use Input::*;
        let early: [&[Input]; 3] = [&[], &[Bytes], &[Bytes, Head, Taken, Reply, Flushed, Bytes]];
        for inputs in early {
            let mut c = after(inputs);
            assert_eq!(c.handle(9, Input::Close(super::Close::Handover)), Ok(Order::None));
            for next in [Bytes, Head, Taken] {
                assert_eq!(c.handle(9, next), Ok(Order::None));
            }
            assert_eq!(c.handle(9, Reply), Ok(Order::Answer { close: true }));
        }
        let mut idle = after(&[Bytes, Head, Taken, Reply, Flushed]);
        assert_eq!(idle.handle(9, Input::Close(super::Close::Handover)), Ok(Order::Shut));
    }

    #[test]
    fn room_is_made_by_who_never_asked_then_by_who_idles_then_by_who_does_not_read() {
        use Input::*;
        let never = after(&[]);
        let idle = after(&[Bytes, Head, Taken, Reply, Flushed]);
        let stuck = after(&[Bytes, Head, Taken, Reply]);
        let busy = after(&[Bytes, Head, Taken]);
        let now = 20_000_000_000;
        let pick = |all: &[&Connection]| spare(all.iter().map(|c| c.state()).zip(all.iter().copied()), now);
        assert_eq!(pick(&[&busy]), None);
        assert_eq!(pick(&[&busy, &stuck]), Some((State::Answering, 0)));
        assert_eq!(pick(&[&busy, &stuck, &idle]).map(|p| p.1), Some(0));
        let two = [&idle, &never];
        let picked =
            spare(two.iter().map(|c| (c.asked(), **c)).collect::<Vec<_>>().iter().map(|(k, c)| (*k, c)), now);
        assert_eq!(picked, Some((false, 0)), "though it came later than the other began to idle");
        let mut writes = after(&[]);
        writes.handle(10_000_000_000, Bytes).expect("in order");
        writes.handle(19_000_000_000, Bytes).expect("in order");
        let holds = after(&[Bytes]);
        assert_eq!(pick(&[&writes, &holds]), Some((State::Head, 0)));
        let two = [(0, &writes), (1, &holds)];
        assert_eq!(spare(two.into_iter(), now).map(|p| p.0), Some(1), "not the one that came first");
        let young = spare([((), &never)].into_iter(), SETTLE / 4);
        assert_eq!(young, Some(((), SETTLE * 3 / 4)));
    }

    #[test]
    fn a_head_has_its_time_from_its_first_byte_on_however_long_its_client_idled() {
        let ms = 1_000_000;
        let mut c = Connection::new(0, Patience::default());
        assert_eq!(c.patience(), Some(SILENT));
        c.handle(100 * ms, Input::Bytes).expect("in order");
        assert_eq!(c.patience(), Some(100 * ms + HEAD));
        let mut late = Connection::new(0, Patience::default());
        late.handle(1500 * ms, Input::Bytes).expect("in order");
        assert_eq!(late.patience(), Some(FIRST), "a first one has no longer than this");
        for input in [Input::Head, Input::Taken, Input::Reply, Input::Flushed] {
            c.handle(200 * ms, input).expect("in order");
        }
        assert_eq!(c.patience(), Some(200 * ms + SILENT));
        c.handle(2000 * ms, Input::Bytes).expect("in order");
        assert_eq!(c.patience(), Some(2000 * ms + HEAD));
        c.handle(2000 * ms, Input::Head).expect("in order");
        assert_eq!(c.patience(), None);
    }

    #[test]
    fn what_cannot_be_is_an_error_and_changes_nothing() {
        for input in [Input::Taken, Input::Reply, Input::Flushed] {
            let mut c = Connection::new(0, Patience::default());
            assert_eq!(c.handle(1, input), Err(Wrong { state: State::Idle, input }));
            assert_eq!(c, Connection::new(0, Patience::default()));
        }
    }
}
