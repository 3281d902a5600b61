//! How a new coordinator begins: it knows neither what the one before left in the buckets, nor which gateways that it has not
//! heard yet go on at the rates of that one's grants.

use crate::limit::Limit;
use crate::time::{Time, MS};
use crate::CONTINUATION_RATIO;

/// The limit counts over five seconds, and a unit may be used as long after it was granted as
/// [`crate::GRANT_LIFETIME`] says: two changes of the coordinator that lie further apart fall into no span together.
const LIMIT_SPAN: Time = 5000 * MS + crate::GRANT_LIFETIME;

/// What is known of the coordinator before a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousCoordinator {
    /// It began longer ago than the span over which a limit counts.
    LongAgo,
    /// It began within that span, or there may have been one that nobody here heard: it may have begun in the same way.
    Recent,
    /// This process has seen none since its start: it waited for a whole election time-out, in which nobody coordinated.
    Unknown,
}

impl PreviousCoordinator {
    /// A coordinator that began so long ago, and had no other between itself and the new one.
    pub fn from_age(age: Time) -> Self {
        if age >= LIMIT_SPAN {
            PreviousCoordinator::LongAgo
        } else {
            PreviousCoordinator::Recent
        }
    }

    /// What a tenant's bucket holds at first.
    pub(crate) fn initial_level(self, limit: &Limit) -> f64 {
        let seconds = match self {
            PreviousCoordinator::LongAgo => 0.25,
            PreviousCoordinator::Unknown => 0.1,
            PreviousCoordinator::Recent => 0.0,
        };
        seconds * limit.burst.min(limit.rate)
    }

    /// The part of each rate that is kept back for the gateways that this coordinator has not heard, as long as they may go on.
    /// All of what they may use where there was a change lately; else less, by what the limit leaves.
    pub(crate) fn unheard_reserve(self) -> f64 {
        match self {
            PreviousCoordinator::LongAgo => 0.5,
            PreviousCoordinator::Unknown => 0.4,
            PreviousCoordinator::Recent => CONTINUATION_RATIO,
        }
    }
}
