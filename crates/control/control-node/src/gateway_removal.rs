//! Gateways that are gone for good: the leader that has not heard one for long has it removed, so that its fallback share goes
//! to the others. `docs/design/gone.md` says why no share is had twice.

use crate::{ControlNode, Defect, Time, MS};
use consensus::Term;
use control_state::Command;

/// Gone gateways are looked for this often; a removal that is not committed yet is proposed again.
pub(crate) const POLL_INTERVAL: Time = 1000 * MS;
/// By how much too soon the leader with the defect removes.
const DEFECTIVE_DIVISOR: Time = 10;

impl ControlNode {
    /// The leader proposes to remove the gateways that it has not heard for so long that their fallback shares have ended.
    pub(crate) fn remove_gone_gateways(&mut self) {
        if self.quota.next_removal_poll > self.now {
            return;
        }
        self.quota.next_removal_poll = self.now + POLL_INTERVAL;
        let Some(term) = self.removal_term() else { return };
        let is_too_soon = self.has_defect(Defect::RemovedTooSoon);
        let lifetime = self.config.fallback_lifetime / if is_too_soon { DEFECTIVE_DIVISOR } else { 1 };
        for name in self.begin_removals(term, lifetime) {
            log::info!("quota: gateway {name} has been silent for so long that it is removed");
            self.propose_to_leader(&Command::RemoveGateway { name, term });
        }
    }

    /// The term in which this node coordinates quota now. With the defect also the one in which it did last.
    fn removal_term(&self) -> Option<Term> {
        let latest = self.quota.coordinator.as_ref().map(|latest| latest.term);
        let current = self.coordinator_term(self.now);
        current.or(latest.filter(|_| self.has_defect(Defect::RemovalOfAnyTerm)))
    }

    /// The gateways to remove, none of which is answered from now on.
    fn begin_removals(&mut self, term: Term, fallback_lifetime: Time) -> Vec<String> {
        let goes_on_answering = self.has_defect(Defect::AnsweredWhileRemoved);
        let current = self.quota.coordinator.as_mut().filter(|current| current.term == term);
        let Some(current) = current else { return Vec::new() };
        let mut copy = goes_on_answering.then(|| current.coordinator.clone());
        let coordinator = copy.as_mut().unwrap_or(&mut current.coordinator);
        coordinator.begin_removals(self.now, fallback_lifetime).iter().cloned().collect()
    }
}
