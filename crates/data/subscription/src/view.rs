//! What a gateway knows, by the updates of control nodes: the configuration, backends, gateways. Nothing in it goes back
//! within one process's life, whoever tells: neither a configuration nor a drain. No I/O.

#[cfg(test)]
mod tests;

use crate::Time;
use control_state::CommittedConfiguration;
use messages::{FleetChange, FleetSnapshot};
use registry::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A backend that an incomplete snapshot did not name, and that no update has named since, is removed after so long.
const DOUBT_TIMEOUT: Time = 8_000_000_000;
/// Ids of draining backends that are remembered, beside those of backends that are still known.
const MAX_DRAINING: usize = 8192;

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewChange {
    /// A newer configuration.
    Configuration(Arc<CommittedConfiguration>),
    /// A backend takes new work, or says something new of itself.
    BackendReady(Heartbeat),
    /// The backend of this id takes no new work any more.
    BackendDraining(String),
    /// The backend of this id has ended.
    BackendRemoved(String),
    /// The gateways.
    Gateways,
}

#[derive(Clone, Debug)]
struct Backend {
    heartbeat: Heartbeat,
    /// When it first became doubtful whether it still lives.
    doubtful_since: Option<Time>,
}

/// What a gateway knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    configuration: Option<Arc<CommittedConfiguration>>,
    backends: BTreeMap<String, Backend>,
    draining: BTreeSet<String>,
    /// The same, in the order in which they were heard of.
    drain_order: VecDeque<String>,
    gateways: Vec<String>,
    /// When these gateways were accepted: they were committed by then.
    gateways_accepted_at: Time,
    /// Other gateways, no more than those, that the control node which is followed now tells: fewer are newer if one was
    /// removed, and older if one was added.
    unproven_gateways: Option<Vec<String>>,
}

impl View {
    /// The newest configuration that was received.
    pub fn configuration(&self) -> Option<&Arc<CommittedConfiguration>> {
        self.configuration.as_ref()
    }

    /// Whether this backend is known, and takes new work.
    pub fn accepts_work(&self, id: &str) -> bool {
        self.backends.contains_key(id) && !self.draining.contains(id)
    }

    /// The gateways' names.
    pub fn gateways(&self) -> &[String] {
        &self.gateways
    }

    /// All that a control node knows.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: FleetSnapshot) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        for id in snapshot.draining {
            self.record_drain(id, &mut changes);
        }
        let named: BTreeSet<String> =
            snapshot.backends.iter().map(|backend| backend.instance.clone()).collect();
        for heartbeat in snapshot.backends {
            self.record_backend(heartbeat, &mut changes);
        }
        let unnamed: Vec<String> = self.backends.keys().filter(|id| !named.contains(*id)).cloned().collect();
        for id in unnamed {
            if snapshot.complete {
                self.remove_backend(id, &mut changes);
            } else if let Some(backend) = self.backends.get_mut(&id) {
                backend.doubtful_since.get_or_insert(now);
            }
        }
        self.set_gateways(now, snapshot.gateways, &mut changes);
        changes
    }

    /// A change that a control node tells.
    pub fn apply_change(&mut self, now: Time, change: FleetChange) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        match change {
            FleetChange::Backend(heartbeat) => self.record_backend(heartbeat, &mut changes),
            FleetChange::BackendRemoved(id) => self.remove_backend(id, &mut changes),
            FleetChange::BackendDraining(id) => self.record_drain(id, &mut changes),
            FleetChange::Gateways(gateways) => self.set_gateways(now, gateways, &mut changes),
        }
        changes
    }

    /// A connection begins: while there was none no update could name doubtful backends.
    pub fn on_connected(&mut self, now: Time) {
        let doubtful = self.backends.values_mut().filter_map(|backend| backend.doubtful_since.as_mut());
        doubtful.for_each(|since| *since = now);
    }

    /// Removes backends that were doubtful for too long.
    pub fn expire_doubtful(&mut self, now: Time) -> Vec<ViewChange> {
        let has_expired = |backend: &Backend| {
            backend.doubtful_since.is_some_and(|since| now.saturating_sub(since) >= DOUBT_TIMEOUT)
        };
        let expired = self.backends.iter().filter(|(_, backend)| has_expired(backend));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        let mut changes = Vec::new();
        expired.into_iter().for_each(|id| self.remove_backend(id, &mut changes));
        changes
    }

    /// Another backend is at this one's address: it said so itself. A heartbeat of this one with another address would bring it
    /// back.
    pub fn on_misdirected(&mut self, id: &str) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        self.remove_backend(id.into(), &mut changes);
        changes
    }

    /// A configuration that was committed. One that is older than the one that is held changes nothing.
    pub fn replace_configuration(&mut self, new: Arc<CommittedConfiguration>) -> Vec<ViewChange> {
        if new.index <= self.configuration.as_ref().map_or(0, |held| held.index) {
            return Vec::new();
        }
        self.configuration = Some(new.clone());
        vec![ViewChange::Configuration(new)]
    }

    fn record_backend(&mut self, heartbeat: Heartbeat, changes: &mut Vec<ViewChange>) {
        let id = heartbeat.instance.clone();
        let is_draining = heartbeat.draining || self.draining.contains(&id);
        if heartbeat.draining {
            self.record_drain(id.clone(), changes);
        }
        if let Some(backend) = self.backends.get_mut(&id) {
            // Whoever names it will say when it ends, however old this heartbeat is.
            backend.doubtful_since = None;
        }
        let known = self.backends.get(&id).map(|backend| &backend.heartbeat);
        if known.is_some_and(|known| known.sequence > heartbeat.sequence) {
            return;
        }
        let is_same = known.is_some_and(|known| {
            (&known.address, &known.service) == (&heartbeat.address, &heartbeat.service)
        });
        self.backends.insert(id, Backend { heartbeat: heartbeat.clone(), doubtful_since: None });
        if !is_same && !is_draining {
            changes.push(ViewChange::BackendReady(heartbeat));
        }
    }

    fn record_drain(&mut self, id: String, changes: &mut Vec<ViewChange>) {
        if !self.draining.insert(id.clone()) {
            return;
        }
        self.drain_order.push_back(id.clone());
        if self.drain_order.len() > MAX_DRAINING {
            self.forget_oldest_drain();
        }
        if self.backends.contains_key(&id) {
            changes.push(ViewChange::BackendDraining(id));
        }
    }

    /// Forgets the drain that was heard of first of those whose backend is not known any more: a known one may still get
    /// requests. Known backends are bounded where they register, so that drains are, too.
    fn forget_oldest_drain(&mut self) {
        let forgettable = self.drain_order.iter().position(|id| !self.backends.contains_key(id));
        if let Some(forgotten) = forgettable.and_then(|n| self.drain_order.remove(n)) {
            self.draining.remove(&forgotten);
        }
    }

    fn remove_backend(&mut self, id: String, changes: &mut Vec<ViewChange>) {
        if self.backends.remove(&id).is_some() {
            changes.push(ViewChange::BackendRemoved(id));
        }
    }

    /// More gateways are taken at once: a share of too few would be too much.
    fn set_gateways(&mut self, now: Time, gateways: Vec<String>, changes: &mut Vec<ViewChange>) {
        self.unproven_gateways = None;
        if gateways.len() > self.gateways.len() {
            self.accept_gateways(now, gateways, changes);
        } else if gateways != self.gateways {
            self.unproven_gateways = Some(gateways);
        }
    }

    fn accept_gateways(&mut self, now: Time, gateways: Vec<String>, changes: &mut Vec<ViewChange>) {
        (self.gateways, self.gateways_accepted_at) = (gateways, now);
        changes.push(ViewChange::Gateways);
    }

    /// The control node that is followed now has told all that was committed by then: its gateways are no older than those
    /// that were accepted before.
    pub fn on_proven(&mut self, now: Time, proven_at: Time) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        if proven_at >= self.gateways_accepted_at {
            if let Some(gateways) = self.unproven_gateways.take() {
                self.accept_gateways(now, gateways, &mut changes);
            }
        }
        changes
    }

    /// Whether gateways were told that are neither accepted nor known to be older.
    pub fn has_unproven_gateways(&self) -> bool {
        self.unproven_gateways.is_some()
    }
}
