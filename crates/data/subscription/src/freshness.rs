//! How fresh what a gateway knows is, as far as control nodes have proven it.
//!
//! A heartbeat may have lain behind a long configuration on a slow link, or in this machine's socket while it stood still:
//! what it proves is counted from when its contact number was sent, not from when it arrived.

use crate::{Time, MS};
use change_log::QuorumContact;
use control_state::LogIndex;

/// What the configuration does not know is refused for good only if that was known to be the newest so lately.
const FRESHNESS_TIMEOUT: Time = 1500 * MS;
/// Without a proof of a majority for so long new clients are better off elsewhere.
const READINESS_TIMEOUT: Time = 3000 * MS;

/// How fresh what a gateway knows is.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// When a majority was last known of.
    quorum: QuorumContact,
    /// When every configuration that it had committed was held here.
    configuration: QuorumContact,
}

impl Freshness {
    /// A contact number is sent now: the control node's next heartbeat repeats it.
    pub fn request(&mut self, now: Time) -> u64 {
        self.quorum.request(now);
        self.configuration.request(now)
    }

    /// A heartbeat that repeats this number: the control node held all that was committed `age` before it sent that, and the
    /// newest configuration of then has this index.
    pub fn on_heartbeat(&mut self, number: u64, age: Time, newest_configuration: LogIndex) {
        self.quorum.on_response(number, age, 0);
        self.configuration.on_response(number, age, newest_configuration);
    }

    /// The configuration of this index is held here.
    pub fn on_configuration(&mut self, index: LogIndex) {
        self.configuration.on_applied(index);
    }

    /// All that was committed by then was told here; none: nothing was.
    pub fn last_quorum_contact(&self) -> Option<Time> {
        self.quorum.last_contact()
    }

    /// Whether what is refused for want of a route or a key may be refused for good.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.configuration.last_contact().is_some_and(|at| now.saturating_sub(at) < FRESHNESS_TIMEOUT)
    }

    /// Whether a majority was known of lately.
    pub fn is_ready(&self, now: Time) -> bool {
        self.last_quorum_contact().is_some_and(|at| now.saturating_sub(at) < READINESS_TIMEOUT)
    }
}
