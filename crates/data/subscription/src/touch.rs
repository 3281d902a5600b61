//! How fresh what a gateway knows is, as far as prompters have proven it. A pulse may have lain behind a long configuration on a
//! slow link, or in this machine's socket while it stood still: what it proves is counted from when the number that it bears was
//! said, not from when it came.

use crate::{Time, MS};
use change_log::Contact;
use control_state::Place;

/// Refusals of our own for what the configuration does not know rest on one that is known to be the newest of late.
const FRESH: Time = 1500 * MS;
/// Without a word of a majority for so long new clients are better off elsewhere.
const READY: Time = 3000 * MS;

#[derive(Clone, Debug, Default)]
pub struct Touch {
    /// When a majority was last known of, and when all that it had agreed on on configurations was held here.
    touch: Contact,
    newest: Contact,
}

impl Touch {
    /// A number is said to the prompter now: its next pulse bears it.
    pub fn ask(&mut self, now: Time) -> u64 {
        self.touch.ask(now);
        self.newest.ask(now)
    }

    /// A pulse that bears this number: the prompter held all that was agreed on so long before it said that, and the newest
    /// configuration of then stands at `newest`.
    pub fn told(&mut self, number: u64, age: Time, newest: Place) {
        self.touch.told(number, age, 0);
        self.newest.told(number, age, newest);
    }

    /// The configuration of this place is held here.
    pub fn holds(&mut self, place: Place) {
        self.newest.applied(place);
    }

    /// All that was agreed on by then was told here; none: nothing was.
    pub fn at(&self) -> Option<Time> {
        self.touch.proven()
    }

    /// Whether what is refused for want of a route or a key may be refused for good.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.newest.proven().is_some_and(|at| now.saturating_sub(at) < FRESH)
    }

    /// Whether a majority was known of of late.
    pub fn is_ready(&self, now: Time) -> bool {
        self.at().is_some_and(|at| now.saturating_sub(at) < READY)
    }
}
