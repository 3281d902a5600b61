//! A connection to a backend, from the gateway's end: which request may get its next bytes, whose an answer on it is, and
//! from which byte on a request may have run.
//!
//! | state | a request | the answer, whole | bytes or a close | an end in the middle |
//! | --- | --- | --- | --- | --- |
//! | `Idle` | `Busy`, if it may be carried | - | `Closed` | - |
//! | `Busy` | never | `Idle`, if nothing stands behind it | the answer's | `Closed` |
//! | `Closed` | never | - | - | - |

use interface::Time;

/// From how much of a request on a backend may have begun to work on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Begins {
    /// Backends are known to wait for the last byte.
    Whole,
    /// With the head whole it may know enough.
    Head,
}

impl Begins {
    /// So many bytes written and it may have run: the head's and, if it is known, the body's length.
    pub fn at(self, head: usize, body: Option<usize>) -> usize {
        if self == Begins::Whole || planted!(HeadTakenForProof) {
            body.map_or(usize::MAX, |body| head + body)
        } else {
            head
        }
    }
}

/// Whose id an answer bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Echo {
    /// That of the request that waits for it, or answers bear none here.
    Same,
    Other,
    /// None, where answers bear one: only a request that was turned away may be answered without.
    Missing {
        turned_away: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Idle { since: Time },
    Busy,
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Upstream {
    number: u64,
    state: State,
    /// Whether it has carried a request before the one that it carries or waits for now.
    used: bool,
    /// Whether the latest answer on it bore no id: a second copy of it would be taken for the next one's.
    nameless: bool,
}

impl Upstream {
    /// One that is up. No other has its number.
    pub fn new(number: u64, now: Time) -> Self {
        Upstream { number, state: State::Idle { since: now }, used: false, nameless: false }
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether it has carried a request before.
    pub fn is_used(&self) -> bool {
        self.used
    }

    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// How long it has been idle; none if it is not.
    pub fn rested(&self, now: Time) -> Option<Time> {
        match self.state {
            State::Idle { since } => Some(now.saturating_sub(since)),
            _ => None,
        }
    }

    /// Whether it has been idle for less than `rest`.
    pub fn is_fresh(&self, now: Time, rest: Time) -> bool {
        self.rested(now).is_some_and(|rested| rested < rest)
    }

    /// Whether a request may go out on it, fresh as it is, whose earlier attempts went out on those with these numbers: a
    /// second copy of such an attempt's answer would bear its id. Where the latest answer bore none, only one goes out that
    /// may run twice: a second copy of that refusal would have it sent again while it runs.
    pub fn may_carry(&self, at_most_once: bool, earlier: &[u64]) -> bool {
        let again = earlier.contains(&self.number) && !planted!(SameConnectionAgain);
        let doubtful = at_most_once && self.nameless && !planted!(NamelessKept);
        matches!(self.state, State::Idle { .. }) && !again && !doubtful
    }

    /// A request goes out on it.
    pub fn carry(&mut self) {
        self.state = State::Busy;
    }

    /// Something came while it was idle: the other side's close, or bytes that belong to no request.
    pub fn disturbed(&mut self) {
        if !planted!(SurplusKept) {
            self.state = State::Closed;
        }
    }

    /// Whether an answer is that of the request that it carries.
    pub fn is_answer(&mut self, echo: Echo) -> bool {
        match echo {
            Echo::Same => {
                self.nameless = false;
                true
            }
            Echo::Other => planted!(EchoIgnored),
            Echo::Missing { turned_away } => {
                self.nameless = true;
                turned_away
            }
        }
    }

    /// The exchange is over. `clean`: both the request and its answer whole, and nothing behind them.
    pub fn over(&mut self, now: Time, clean: bool) {
        self.used = true;
        self.state = if clean { State::Idle { since: now } } else { State::Closed };
    }
}

/// How long a connection may have been idle on which something goes out that can't be sent again: backends may forget idle
/// ones without a word, and sooner than they say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Freshness {
    usual: Time,
    hold: Time,
    least: Time,
    narrowed: Option<(Time, Time)>,
}

impl Freshness {
    /// `usual` while none was lost, and for `hold` after one was half of what it had rested, but no less than `least`.
    pub fn new(usual: Time, hold: Time, least: Time) -> Self {
        Freshness { usual, hold, least, narrowed: None }
    }

    /// A connection that had been idle for so long took a request and was reset.
    pub fn lost(&mut self, now: Time, rested: Time) {
        let limit = self.limit(now).min(rested / 2).max(self.least.min(self.usual));
        self.narrowed = Some((limit, now));
    }

    pub fn limit(&self, now: Time) -> Time {
        let narrowed = self.narrowed.filter(|(_, at)| now < at + self.hold);
        narrowed.map_or(self.usual, |(limit, _)| limit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_may_have_run_from_the_heads_last_byte_on_unless_backends_wait_for_the_whole() {
        assert_eq!((Begins::Head.at(90, Some(10)), Begins::Whole.at(90, Some(10))), (90, 100));
        assert_eq!((Begins::Head.at(90, None), Begins::Whole.at(90, None)), (90, usize::MAX));
    }

    #[test]
    fn what_was_forgotten_narrows_freshness_for_a_while() {
        let mut fresh = Freshness::new(5000, 10_000, 50);
        assert_eq!(fresh.limit(7), 5000);
        fresh.lost(100, 320);
        assert_eq!(fresh.limit(10_099), 160);
        fresh.lost(200, 3000);
        assert_eq!(fresh.limit(300), 160, "the shortest counts");
        fresh.lost(300, 2);
        assert_eq!(fresh.limit(400), 50, "a crash behind a busy one says little");
        assert_eq!(fresh.limit(10_300), 5000);
    }

    #[test]
    fn a_request_goes_out_only_where_its_answer_can_be_told_from_a_second_copy() {
        let mut line = Upstream::new(1, 0);
        line.carry();
        assert!(!line.may_carry(false, &[]), "it is busy");
        assert!(line.is_answer(Echo::Same) && !line.is_answer(Echo::Other));
        line.over(10, true);
        assert!(line.is_fresh(15, 6) && !line.is_fresh(16, 6));
        assert!(line.may_carry(true, &[2]) && !line.may_carry(false, &[1]));

        line.carry();
        assert!(!line.is_answer(Echo::Missing { turned_away: false }));
        assert!(line.is_answer(Echo::Missing { turned_away: true }));
        line.over(20, true);
        assert!(!line.may_carry(true, &[]) && line.may_carry(false, &[]));
        line.carry();
        assert!(line.is_answer(Echo::Same));
        line.over(30, true);
        assert!(line.may_carry(true, &[]));
        line.disturbed();
        assert!(line.is_closed() && !line.is_fresh(30, 6) && !line.may_carry(false, &[]));
    }
}
