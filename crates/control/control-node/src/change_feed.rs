//! The change feed for subscribers: fleet changes by offset, and deltas between configurations.

use crate::effect::Effect;
use crate::{ControlNode, Defect};
use change_log::{ChangeLog, Offset};
use consensus::Term;
use control_state::{ApplyOutcome, Command, CommittedConfiguration, ControlState, DeltaHistory, LogIndex};
use messages::{FleetChange, FleetSnapshot, GatewayUpdate};
use std::sync::Arc;

/// Number of retained changes; a subscriber further behind needs a snapshot.
const MAX_RETAINED_CHANGES: usize = 1024;

/// The latest fleet changes, and the latest deltas between configurations, kept for subscribers.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    log: ChangeLog<FleetChange>,
    /// Incarnation of the log, which restarts when the replicated state is replaced.
    incarnation: u64,
    /// Deltas from each configuration to the next.
    pub deltas: DeltaHistory,
}

impl ChangeFeed {
    /// Creates an empty feed.
    pub fn new(incarnation: u64) -> Self {
        let log = ChangeLog::new(incarnation, MAX_RETAINED_CHANGES);
        ChangeFeed { log, incarnation, deltas: DeltaHistory::default() }
    }

    /// Returns the offset after the latest change.
    pub fn end(&self) -> Offset {
        self.log.end()
    }

    /// Returns the changes since an offset, or `None` if a snapshot is needed.
    pub fn since(&self, offset: Offset) -> Option<Vec<FleetChange>> {
        self.log.since(offset).map(|changes| changes.cloned().collect())
    }

    fn restart_log(&mut self) {
        self.incarnation = self.incarnation.wrapping_add(1);
        self.log = ChangeLog::new(self.incarnation, MAX_RETAINED_CHANGES);
    }
}

impl ControlNode {
    /// Appends a change to the feed and notifies all subscribers.
    pub(crate) fn publish(&mut self, change: FleetChange) {
        self.change_feed.log.append(change);
        self.effects.push(Effect::NotifySubscribers);
    }

    /// Applies a committed command to the replicated state and publishes the resulting change.
    pub(crate) fn apply_command(&mut self, index: LogIndex, term: Term, bytes: &[u8]) -> ApplyOutcome {
        self.quorum_contact.on_applied(index);
        let Some(mut command) = Command::decode(bytes) else {
            log::error!("state: the entry at {index} does not decode as a command; ignoring it");
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
                let names = self.state.gateways().iter().cloned().collect();
                self.publish(FleetChange::Gateways(names));
            }
            // Gateways learn of the expiry from their quota grants.
            Command::ExpireTrial { tenant, ends_at } => {
                log::info!("state: the trial of {tenant} that ended at {ends_at} has expired");
            }
        }
    }

    /// Records the delta from the old configuration to the one in force.
    fn record_delta(&mut self, old: Option<Arc<CommittedConfiguration>>) {
        let new = self.state.configuration();
        if let Some((old, new)) = old.zip(new).filter(|(old, new)| old.index != new.index) {
            self.change_feed.deltas.record(&old, new);
        }
    }

    /// Replaces the replicated state by the state at `index`; subscribers receive a snapshot.
    pub(crate) fn replace_state(&mut self, index: LogIndex, bytes: &[u8]) {
        let Some(state) = ControlState::decode(bytes) else {
            log::error!("state: a snapshot does not decode as a state; the old one stands");
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

    /// Returns a snapshot of the fleet and the offset after the changes that it includes.
    pub(crate) fn snapshot(&self) -> (Offset, GatewayUpdate) {
        // Includes drains of removed backends: a gateway may know such a backend from another source.
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
