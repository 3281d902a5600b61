//! How long ago the leader before this one began, as this node saw it.

#[cfg(test)]
mod tests;

use crate::Time;
use consensus::Term;
use quota::PreviousCoordinator;

/// A term in which somebody leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LedTerm {
    term: Term,
    first_seen: Time,
}

/// The latest two terms in which this node knew a leader.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaderHistory {
    current: Option<LedTerm>,
    previous: Option<LedTerm>,
}

impl LeaderHistory {
    /// Somebody leads in this term.
    pub fn record(&mut self, now: Time, term: Term) {
        if self.current.is_none_or(|led| led.term != term) {
            self.previous = self.current.replace(LedTerm { term, first_seen: now });
        }
    }

    /// What is known of the quota coordinator before the one of this term. In a term that this node knows nothing of there
    /// may have been another one, which this node did not hear.
    pub fn previous_coordinator(&self, now: Time, term: Term) -> PreviousCoordinator {
        match self.previous {
            Some(led) if led.term + 1 == term => {
                PreviousCoordinator::from_age(now.saturating_sub(led.first_seen))
            }
            Some(_) => PreviousCoordinator::Recent,
            None => PreviousCoordinator::Unknown,
        }
    }
}
