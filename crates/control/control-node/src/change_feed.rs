//! What subscribers are sent: changes of the fleet by offset, and deltas between configurations.

use crate::effect::Effect;
use crate::{ControlNode, Defect};
use change_log::{ChangeLog, Offset};
use consensus::Term;
use control_state::{ApplyOutcome, Command, CommittedConfiguration, ControlState, DeltaHistory, LogIndex};
use messages::{FleetChange, FleetSnapshot, GatewayUpdate};
use std::sync::Arc;

/// Changes that a subscriber may be behind without a snapshot.
const MAX_CHANGES: usize = 1024;

/// What subscribers are sent from.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    log: ChangeLog<FleetChange>,
    /// Of the log: it begins anew when the replicated state is replaced.
    incarnation: u64,
    /// How subscribers come from one configuration to the next.
    pub deltas: DeltaHistory,
}

impl ChangeFeed {
    /// An empty feed.
    pub fn new(incarnation: u64) -> Self {
        let log = ChangeLog::new(incarnation, MAX_CHANGES);
        ChangeFeed { log, incarnation, deltas: DeltaHistory::default() }
    }

    /// The offset behind the latest change.
    pub fn end(&self) -> Offset {
        self.log.end()
    }

    /// The changes since an offset; none if a snapshot is needed.
    pub fn since(&self, offset: Offset) -> Option<Vec<FleetChange>> {
        self.log.since(offset).map(|changes| changes.cloned().collect())
    }

    fn restart_log(&mut self) {
        self.incarnation = self.incarnation.wrapping_add(1);
        self.log = ChangeLog::new(self.incarnation, MAX_CHANGES);
    }
}

impl ControlNode {
    /// All subscribers are to hear of a change.
    pub(crate) fn publish(&mut self, change: FleetChange) {
        self.change_feed.log.append(change);
        self.effects.push(Effect::NotifySubscribers);
    }

    /// Applies a committed command, and publishes what it changes.
    pub(crate) fn apply_command(&mut self, index: LogIndex, term: Term, bytes: &[u8]) -> ApplyOutcome {
        self.quorum_contact.on_applied(index);
        let Some(mut command) = Command::decode(bytes) else {
            log::error!("state: the entry at {index} is no command; it changes nothing");
            return ApplyOutcome::Unchanged;
        };
        if !command.is_valid_in_term(term) && !self.has_defect(Defect::RemovalOfAnyTerm) {
            return ApplyOutcome::Unchanged;
        }
        if self.has_defect(Defect::BaseIgnored) {
            if let Command::ReplaceConfiguration { base, .. } = &mut command {
                *base = self.state.version();
            }
        }
        let old = self.state.configuration().cloned();
        let applied = self.state.apply(index, &command);
        if applied == ApplyOutcome::Changed {
            self.publish_command(index, command, old);
        }
        self.complete_committed_drains();
        applied
    }

    fn publish_command(
        &mut self,
        index: LogIndex,
        command: Command,
        old: Option<Arc<CommittedConfiguration>>,
    ) {
        match command {
            Command::ReplaceConfiguration { version, .. } | Command::ConfigurationDelta { version, .. } => {
                log::info!("state: configuration {version:08x} at {index}");
                self.record_delta(old);
                self.effects.push(Effect::NotifySubscribers);
            }
            Command::Drain { instance } => self.publish(FleetChange::BackendDraining(instance)),
            Command::AddGateway { .. } | Command::RemoveGateway { .. } => {
                self.quota.gateways_generation += 1;
                let all = self.state.gateways().iter().cloned().collect();
                self.publish(FleetChange::Gateways(all));
            }
            // Gateways hear of it with their quota.
            Command::ExpireTrial { tenant, ends_at } => {
                log::info!("state: the trial of {tenant} that ended at {ends_at} has expired");
            }
        }
    }

    /// Subscribers go from the old configuration to the one in force.
    fn record_delta(&mut self, old: Option<Arc<CommittedConfiguration>>) {
        let new = self.state.configuration();
        if let Some((old, new)) = old.zip(new).filter(|(old, new)| old.index != new.index) {
            self.change_feed.deltas.record(&old, new);
        }
    }

    /// The replicated state is this, as of an index; subscribers get it as a snapshot.
    pub(crate) fn replace_state(&mut self, index: LogIndex, bytes: &[u8]) {
        let Some(state) = ControlState::decode(bytes) else {
            log::error!("state: a snapshot that is no state of ours; the old one stands");
            return;
        };
        let old = std::mem::replace(&mut self.state, state);
        self.record_delta(old.configuration().cloned());
        self.quorum_contact.on_applied(index);
        self.quota.gateways_generation += 1;
        self.change_feed.restart_log();
        self.effects.push(Effect::NotifySubscribers);
        self.complete_committed_drains();
    }

    /// All that is known, and the offset behind it.
    pub(crate) fn snapshot(&self) -> (Offset, GatewayUpdate) {
        // Also of backends that have ended: a gateway may know of one from elsewhere.
        let draining = self.state.draining().filter(|_| !self.has_defect(Defect::SnapshotForgetsDrains));
        let snapshot = FleetSnapshot {
            backends: self.registry.heartbeats().cloned().collect(),
            complete: self.registry.is_complete(self.now),
            draining: draining.cloned().collect(),
            gateways: self.state.gateways().iter().cloned().collect(),
        };
        let offset = self.change_feed.end();
        (offset, GatewayUpdate::Snapshot { offset, snapshot: Box::new(snapshot) })
    }
}
