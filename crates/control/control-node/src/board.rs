//! The agreed book, and news of it and of the cell for those who follow.

use crate::{ControlNode, Defect, Effect};
use change_log::ChangeLog;
use control_state::{Applied, Command, CommittedConfiguration, ControlState, DeltaHistory, LogIndex};
use messages::message::{FleetChange, FleetSnapshot, GatewayUpdate};
use std::sync::Arc;

/// Changes that a follower may be behind without a scene.
const MAX_CHANGES: usize = 1024;

/// What followers are told from.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    log: ChangeLog<FleetChange>,
    /// Lives of the board in this process.
    incarnation: u64,
    /// How followers come from one configuration to the next.
    pub deltas: DeltaHistory,
}

impl ChangeFeed {
    pub fn new(seed: u64) -> Self {
        ChangeFeed {
            log: ChangeLog::new(seed, MAX_CHANGES),
            incarnation: seed,
            deltas: DeltaHistory::default(),
        }
    }

    pub fn end(&self) -> change_log::Offset {
        self.log.end()
    }

    /// What came since; none if a scene is wanted.
    pub fn since(&self, place: change_log::Offset) -> Option<Vec<FleetChange>> {
        self.log.since(place).map(|c| c.cloned().collect())
    }
}

impl ControlNode {
    /// Something that all who follow are to hear.
    pub(crate) fn publish(&mut self, change: FleetChange) {
        self.change_feed.log.append(change);
        self.effects.push(Effect::NotifySubscribers);
    }

    /// A word was agreed on.
    pub(crate) fn apply_command(&mut self, place: LogIndex, bytes: &[u8]) -> Applied {
        self.quorum_contact.on_applied(place);
        let Some(mut word) = Command::decode(bytes) else {
            log::error!("agreed: the word at {place} is none of ours; it changes nothing");
            return Applied::Unchanged;
        };
        if self.has(Defect::BaseIgnored) {
            if let Command::ReplaceConfiguration { base, .. } = &mut word {
                *base = self.state.version();
            }
        }
        let old = self.state.configuration().cloned();
        let applied = self.state.apply(place, &word);
        if applied == Applied::Changed {
            match word {
                Command::ReplaceConfiguration { version, .. }
                | Command::ConfigurationDelta { version, .. } => {
                    log::info!("agreed: configuration {version:08x} at {place}");
                    self.record_delta(old);
                    self.effects.push(Effect::NotifySubscribers);
                }
                Command::Drain { instance } => self.publish(FleetChange::BackendDraining(instance)),
                Command::AddGateway { .. } => {
                    let all = self.state.gateways().iter().cloned().collect();
                    self.publish(FleetChange::Gateways(all));
                }
                // Gateways hear of it with their rights.
                Command::ExpireTrial { tenant, ends_at: ends } => {
                    log::info!("agreed: the trial of {tenant} that ended at {ends} is over");
                }
            }
        }
        self.complete_committed_drains();
        applied
    }

    /// Followers go from one configuration to the next.
    fn record_delta(&mut self, old: Option<Arc<CommittedConfiguration>>) {
        let new = self.state.configuration();
        if let Some((old, new)) = old.zip(new).filter(|(old, new)| old.index != new.index) {
            self.change_feed.deltas.record(&old, new);
        }
    }

    /// The book as a whole, as of this place of the log; followers get it as a scene.
    pub(crate) fn replace_state(&mut self, place: LogIndex, state: &[u8]) {
        let Some(book) = ControlState::decode(state) else {
            log::error!("agreed: a state that is none of ours; the old one stands");
            return;
        };
        let old = std::mem::replace(&mut self.state, book);
        self.record_delta(old.configuration().cloned());
        self.quorum_contact.on_applied(place);
        self.change_feed.incarnation = self.change_feed.incarnation.wrapping_add(1);
        self.change_feed.log = ChangeLog::new(self.change_feed.incarnation, MAX_CHANGES);
        self.effects.push(Effect::NotifySubscribers);
        self.complete_committed_drains();
    }

    /// All that is known.
    pub(crate) fn snapshot(&self) -> (change_log::Offset, GatewayUpdate) {
        // Of those who have ended nobody needs to hear, but a gateway may know of one from elsewhere.
        let leaving =
            self.state.draining().filter(|_| !self.has(Defect::SnapshotForgetsDrains)).cloned().collect();
        let scene = FleetSnapshot {
            backends: self.registry.heartbeats().cloned().collect(),
            complete: self.registry.is_complete(self.now),
            draining: leaving,
            gateways: self.state.gateways().iter().cloned().collect(),
        };
        let place = self.change_feed.end();
        (place, GatewayUpdate::Snapshot { offset: place, snapshot: Box::new(scene) })
    }
}
