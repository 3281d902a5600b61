//! Removal of gateways that have been silent for long: the leader proposes it, so that their fallback shares go to the
//! other gateways. `docs/design/gone.md` says why no share is used twice.

use crate::{ControlNode, Defect, Time, MS};
use consensus::Term;
use control_state::Command;

/// Interval between checks for silent gateways; each check proposes uncommitted removals again.
pub(crate) const POLL_INTERVAL: Time = 1000 * MS;
/// Divides the fallback lifetime for [`Defect::RemovedTooSoon`].
const DEFECTIVE_LIFETIME_DIVISOR: Time = 10;

impl ControlNode {
    /// On the coordinator, proposes the removal of gateways silent for so long that their fallback shares have
    /// expired.
    pub(crate) fn remove_silent_gateways(&mut self) {
        if self.quota.next_removal_poll > self.now {
            return;
        }
        self.quota.next_removal_poll = self.now + POLL_INTERVAL;
        let Some(term) = self.removal_term() else { return };
        let removes_early = self.has_defect(Defect::RemovedTooSoon);
        let lifetime =
            self.config.fallback_lifetime / if removes_early { DEFECTIVE_LIFETIME_DIVISOR } else { 1 };
        for name in self.begin_removals(term, lifetime) {
            log::info!("quota: gateway {name} has been silent for so long that it is removed");
            self.propose_to_leader(&Command::RemoveGateway { name, term });
        }
    }

    /// Returns the term in which this node coordinates quota now; with [`Defect::RemovalOfAnyTerm`], otherwise the
    /// latest term in which it did.
    fn removal_term(&self) -> Option<Term> {
        let latest = self.quota.coordinator.as_ref().map(|latest| latest.term);
        let current = self.coordinator_term(self.now);
        current.or(latest.filter(|_| self.has_defect(Defect::RemovalOfAnyTerm)))
    }

    /// Returns the gateways to remove. The coordinator no longer answers them from now on.
    fn begin_removals(&mut self, term: Term, fallback_lifetime: Time) -> Vec<String> {
        let keeps_answering = self.has_defect(Defect::AnsweredWhileRemoved);
        let current = self.quota.coordinator.as_mut().filter(|current| current.term == term);
        let Some(current) = current else { return Vec::new() };
        let mut copy = keeps_answering.then(|| current.coordinator.clone());
        let coordinator = copy.as_mut().unwrap_or(&mut current.coordinator);
        coordinator.begin_removals(self.now, fallback_lifetime).iter().cloned().collect()
    }
}
