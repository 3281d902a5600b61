//! How fresh what a gateway knows is, as far as prompters have proven it. A pulse may have lain behind a long configuration on a
//! slow link, or in this machine's socket while it stood still: what it proves is counted from when the number that it bears was
//! said, not from when it came.

use crate::{Time, MS};
use change_log::QuorumContact;
use control_state::LogIndex;

/// Refusals of our own for what the configuration does not know rest on one that is known to be the newest of late.
const FRESHNESS_TIMEOUT: Time = 1500 * MS;
/// Without a word of a majority for so long new clients are better off elsewhere.
const READINESS_TIMEOUT: Time = 3000 * MS;

#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// When a majority was last known of, and when all that it had agreed on on configurations was held here.
    quorum: QuorumContact,
    configuration: QuorumContact,
}

impl Freshness {
    /// A number is said to the prompter now: its next pulse bears it.
    pub fn request(&mut self, now: Time) -> u64 {
        self.quorum.request(now);
        self.configuration.request(now)
    }

    /// A pulse that bears this number: the prompter held all that was agreed on so long before it said that, and the newest
    /// configuration of then stands at `newest`.
    pub fn on_heartbeat(&mut self, number: u64, age: Time, newest: LogIndex) {
        self.quorum.on_response(number, age, 0);
        self.configuration.on_response(number, age, newest);
    }

    /// The configuration of this place is held here.
    pub fn on_configuration(&mut self, place: LogIndex) {
        self.configuration.on_applied(place);
    }

    /// All that was agreed on by then was told here; none: nothing was.
    pub fn last_quorum_contact(&self) -> Option<Time> {
        self.quorum.proven_at()
    }

    /// Whether what is refused for want of a route or a key may be refused for good.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.configuration.proven_at().is_some_and(|at| now.saturating_sub(at) < FRESHNESS_TIMEOUT)
    }

    /// Whether a majority was known of of late.
    pub fn is_ready(&self, now: Time) -> bool {
        self.last_quorum_contact().is_some_and(|at| now.saturating_sub(at) < READINESS_TIMEOUT)
    }
}
