//! Initial state of a new coordinator. A new coordinator does not know how full its predecessor left the buckets, nor
//! which of the gateways that have not contacted it yet continue at the rates of the predecessor's grants.

use crate::limit::Limit;
use crate::time::{Time, MS};
use crate::CONTINUATION_RATIO;

/// Window over which two coordinator changes may affect the same limit: a limit applies over five seconds, and a unit
/// may be used up to [`crate::GRANT_LIFETIME`] after it was requested. No span contains two changes that are further
/// apart.
const LIMIT_WINDOW: Time = 5000 * MS + crate::GRANT_LIFETIME;

/// What a new coordinator knows about its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousCoordinator {
    /// The predecessor started longer ago than the window over which a limit applies.
    LongAgo,
    /// The predecessor started within that window, or there may have been one that this node did not observe; it may
    /// itself have started from this state.
    Recent,
    /// This process has observed no coordinator since its start. It has waited for a full election timeout, during
    /// which there was no coordinator.
    Unknown,
}

impl PreviousCoordinator {
    /// Classifies a predecessor that started `age` ago and was followed directly by the new coordinator.
    pub fn from_age(age: Time) -> Self {
        if age >= LIMIT_WINDOW {
            PreviousCoordinator::LongAgo
        } else {
            PreviousCoordinator::Recent
        }
    }

    /// Returns the initial level of a tenant's bucket.
    pub(crate) fn initial_level(self, limit: &Limit) -> f64 {
        let seconds = match self {
            PreviousCoordinator::LongAgo => 0.25,
            PreviousCoordinator::Unknown => 0.1,
            PreviousCoordinator::Recent => 0.0,
        };
        seconds * limit.burst.min(limit.rate)
    }

    /// Returns the fraction of each rate that is reserved for the gateways that have not contacted this coordinator
    /// yet, for as long as they may continue. After a recent change that is all that they may use; otherwise it is
    /// less, by the headroom that the limit leaves.
    pub(crate) fn unseen_reserve(self) -> f64 {
        match self {
            PreviousCoordinator::LongAgo => 0.5,
            PreviousCoordinator::Unknown => 0.4,
            PreviousCoordinator::Recent => CONTINUATION_RATIO,
        }
    }
}
