//! A gateway's view of the system, built from updates of control nodes: configuration, backends and gateways. Within
//! the lifetime of a process, neither a configuration nor a drain is ever reverted, whichever node sends updates. No
//! I/O.

#[cfg(test)]
mod tests;

use crate::Time;
use control_state::CommittedConfiguration;
use messages::{FleetChange, FleetSnapshot};
use registry::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A backend that was missing from an incomplete snapshot, and in all updates since, is removed after this time.
const DOUBT_TIMEOUT: Time = 8_000_000_000;
/// Maximum number of remembered ids of draining backends; those of known backends are kept beyond it.
const MAX_DRAINING: usize = 8192;

/// A change of the view.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewChange {
    /// A newer configuration is in force.
    Configuration(Arc<CommittedConfiguration>),
    /// A backend that takes new requests is new, or has changed.
    BackendReady(Heartbeat),
    /// The backend with this id is draining and takes no new requests.
    BackendDraining(String),
    /// The backend with this id was removed.
    BackendRemoved(String),
    /// The list of gateways has changed.
    Gateways,
}

#[derive(Clone, Debug)]
struct Backend {
    heartbeat: Heartbeat,
    /// Since when it has been uncertain whether the backend still exists.
    doubtful_since: Option<Time>,
}

/// A gateway's view of the system.
#[derive(Clone, Debug, Default)]
pub struct View {
    configuration: Option<Arc<CommittedConfiguration>>,
    backends: BTreeMap<String, Backend>,
    draining: BTreeSet<String>,
    /// The ids of `draining` in the order in which they were received.
    drain_order: VecDeque<String>,
    gateways: Vec<String>,
    /// When `gateways` was accepted; the list was committed by then.
    gateways_accepted_at: Time,
    /// A different list of gateways from the followed control node that is not longer than `gateways`. A shorter list
    /// is newer if a gateway was removed, and older if one was added.
    unproven_gateways: Option<Vec<String>>,
}

impl View {
    /// Returns the newest configuration that was received.
    pub fn configuration(&self) -> Option<&Arc<CommittedConfiguration>> {
        self.configuration.as_ref()
    }

    /// Returns whether a backend is known and takes new requests.
    pub fn accepts_work(&self, id: &str) -> bool {
        self.backends.contains_key(id) && !self.draining.contains(id)
    }

    /// Returns the names of the gateways.
    pub fn gateways(&self) -> &[String] {
        &self.gateways
    }

    /// Applies the full state of a control node.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: FleetSnapshot) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        for id in snapshot.draining {
            self.record_drain(id, &mut changes);
        }
        let listed: BTreeSet<String> =
            snapshot.backends.iter().map(|backend| backend.instance.clone()).collect();
        for heartbeat in snapshot.backends {
            self.record_backend(heartbeat, &mut changes);
        }
        let unlisted: Vec<String> =
            self.backends.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in unlisted {
            if snapshot.complete {
                self.remove_backend(id, &mut changes);
            } else if let Some(backend) = self.backends.get_mut(&id) {
                backend.doubtful_since.get_or_insert(now);
            }
        }
        self.set_gateways(now, snapshot.gateways, &mut changes);
        changes
    }

    /// Applies a change that a control node sent.
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

    /// Handles a new connection: restarts the time-out of doubtful backends, which no update could name while there
    /// was no connection.
    pub fn on_connected(&mut self, now: Time) {
        let doubtful = self.backends.values_mut().filter_map(|backend| backend.doubtful_since.as_mut());
        doubtful.for_each(|since| *since = now);
    }

    /// Removes backends that have been doubtful for too long.
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

    /// Handles a response by which another backend identified itself at this backend's address. A heartbeat with
    /// another address adds the backend again.
    pub fn on_misdirected(&mut self, id: &str) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        self.remove_backend(id.into(), &mut changes);
        changes
    }

    /// Replaces the configuration by a newer committed one. An older one is ignored.
    pub fn replace_configuration(&mut self, new: Arc<CommittedConfiguration>) -> Vec<ViewChange> {
        if new.index <= self.configuration.as_ref().map_or(0, |current| current.index) {
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
            // The node that names the backend will also report its end, however old this heartbeat is.
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

    /// Forgets the oldest drain whose backend is not known any more; a known backend may still receive requests. The
    /// number of known backends is bounded at registration, which bounds the drains as well.
    fn forget_oldest_drain(&mut self) {
        let oldest_removable = self.drain_order.iter().position(|id| !self.backends.contains_key(id));
        if let Some(removed) = oldest_removable.and_then(|n| self.drain_order.remove(n)) {
            self.draining.remove(&removed);
        }
    }

    fn remove_backend(&mut self, id: String, changes: &mut Vec<ViewChange>) {
        if self.backends.remove(&id).is_some() {
            changes.push(ViewChange::BackendRemoved(id));
        }
    }

    /// Updates the list of gateways. A longer list is accepted at once: a share computed from too few gateways would
    /// be too large.
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

    /// Accepts the pending list of gateways once the followed control node has proven that it is not older than the
    /// accepted one: the node has sent everything committed by `proven_at`.
    pub fn on_proven(&mut self, now: Time, proven_at: Time) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        if proven_at >= self.gateways_accepted_at {
            if let Some(gateways) = self.unproven_gateways.take() {
                self.accept_gateways(now, gateways, &mut changes);
            }
        }
        changes
    }

    /// Returns whether a received list of gateways waits for the proof that it is not older than the accepted one.
    pub fn has_unproven_gateways(&self) -> bool {
        self.unproven_gateways.is_some()
    }
}
