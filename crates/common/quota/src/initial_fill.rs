//! What a new coordinator's buckets hold at first: it does not know what the one before left in them.

use crate::time::{Time, MS};

/// What a bucket holds at first, as a part of the burst, if no other change of the coordinator was near.
const INITIAL_FILL: f64 = 0.25;
/// The limit counts over five seconds, and a unit may be used as long after it was granted as
/// [`crate::GRANT_LIFETIME`] says: two changes of the coordinator that lie further apart fall into no span together.
const LIMIT_SPAN: Time = 5000 * MS + crate::GRANT_LIFETIME;

/// What is known of the coordinator before a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousCoordinator {
    /// It began longer ago than the span over which a limit counts.
    LongAgo,
    /// It began within that span, or nobody knows when: the one before it may have emptied the same buckets.
    Recent,
}

impl PreviousCoordinator {
    /// A coordinator that began so long ago, and had no other between itself and the new one.
    pub fn began_before(age: Time) -> Self {
        if age >= LIMIT_SPAN {
            PreviousCoordinator::LongAgo
        } else {
            PreviousCoordinator::Recent
        }
    }

    /// The part of the burst that a new coordinator's buckets hold.
    pub(crate) fn initial_fill(self) -> f64 {
        match self {
            PreviousCoordinator::LongAgo => INITIAL_FILL,
            PreviousCoordinator::Recent => 0.0,
        }
    }
}
