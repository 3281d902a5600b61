//! The latest terms in which this node observed a leader. A new quota coordinator derives from them how long ago its
//! predecessor began.

#[cfg(test)]
mod tests;

use crate::Time;
use consensus::Term;
use quota::PreviousCoordinator;

/// A term in which this node knew a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ObservedTerm {
    term: Term,
    first_seen_at: Time,
}

/// The latest two terms in which this node knew a leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaderHistory {
    current: Option<ObservedTerm>,
    previous: Option<ObservedTerm>,
}

impl LeaderHistory {
    /// Records that a leader of this term is known.
    pub fn record(&mut self, now: Time, term: Term) {
        if self.current.is_none_or(|observed| observed.term != term) {
            self.previous = self.current.replace(ObservedTerm { term, first_seen_at: now });
        }
    }

    /// Returns what is known of the quota coordinator that preceded the coordinator of `term`. A term in which this
    /// node observed no leader may have had a coordinator of its own, so a gap between the terms counts as a recent
    /// one.
    pub fn previous_coordinator(&self, now: Time, term: Term) -> PreviousCoordinator {
        match self.previous {
            Some(observed) if observed.term + 1 == term => {
                PreviousCoordinator::from_age(now.saturating_sub(observed.first_seen_at))
            }
            Some(_) => PreviousCoordinator::Recent,
            None => PreviousCoordinator::Unknown,
        }
    }
}
