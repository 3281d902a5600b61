//! Expiry of tenants' trials: the leader proposes it once the clocks of a majority of the voters are past the trial's
//! end.

use crate::{ControlNode, Defect, Time, MS};
use consensus::Input;
use std::collections::BTreeSet;

/// Interval at which the leader checks for ended trials while the configuration has trials.
const POLL_INTERVAL: Time = 100 * MS;
/// Interval of the same check on other nodes, and on the leader without trials.
pub(crate) const IDLE_POLL_INTERVAL: Time = 1000 * MS;

impl ControlNode {
    /// On the leader, proposes the expiry of the trials whose end has passed.
    pub(crate) fn expire_trials(&mut self) {
        if self.quota.next_trial_poll > self.now {
            return;
        }
        let terms = self.terms();
        let is_leader = self.leadership.is_leader;
        let has_trials = !terms.trial_ends.is_empty();
        let interval = if is_leader && has_trials { POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
        self.quota.next_trial_poll = self.now + interval;
        if !is_leader {
            return;
        }
        self.quota.clocks.record(self.now, &self.config.id.name, self.unix_ms);
        let mut voters: BTreeSet<&str> = self.leadership.voters.keys().map(String::as_str).collect();
        if self.has_defect(Defect::LeadersClockAlone) {
            voters.retain(|name| *name == self.config.id.name);
        }
        for command in terms.due_expiries(&self.state, self.now, &self.quota.clocks, &voters) {
            // The proposal may be lost; the next check repeats it.
            self.enqueue(Input::Propose { tag: 0, command: command.encode() });
        }
    }
}
