//! Heartbeats of backends, received directly or forwarded by other control nodes, and expiry of silent backends.

use crate::effect::{Effect, Reply};
use crate::{ControlNode, Defect, Time, MS};
use messages::{ControlMessage, FleetChange};
use registry::{Heartbeat, HeartbeatOutcome};
use std::collections::BTreeSet;

/// Interval at which heartbeats are forwarded to the other control nodes.
const FORWARD_INTERVAL: Time = 400 * MS;
/// A node that had no quorum contact, or did not run, for this long expires no backends. A backend that other nodes
/// heard until shortly before may have been silent here for 1.5 heartbeat intervals by then, and backends expire
/// after 3.5.
const ISOLATION_LIMIT: Time = 1500 * MS;

/// Directly received heartbeats that have not been forwarded yet.
#[derive(Debug, Default)]
pub(crate) struct PendingHeartbeats {
    /// Heartbeats with new information.
    changed: Vec<Heartbeat>,
    /// Backend id and sequence number of the other heartbeats.
    unchanged: Vec<(String, u64)>,
}

impl ControlNode {
    /// Handles a backend's heartbeat, which may request a drain.
    pub fn heartbeat(&mut self, now: Time, call: u64, mut heartbeat: Heartbeat) {
        self.now = now;
        let (id, requests_drain) = (heartbeat.instance.clone(), heartbeat.draining);
        heartbeat.draining |= self.state.is_draining(&id);
        self.record_heartbeat(heartbeat, true);
        // The other nodes would not learn of a backend that sends its heartbeats to a node without quorum contact.
        if !self.has_quorum_contact() {
            self.effects.push(Effect::Reply { call, reply: Reply::Unavailable });
        } else if requests_drain {
            self.start_drain(call, &id, false);
        } else {
            self.effects.push(Effect::Reply { call, reply: Reply::Acknowledged });
        }
    }

    /// Records a heartbeat. If it came directly from the backend, queues it for the other nodes.
    fn record_heartbeat(&mut self, heartbeat: Heartbeat, is_first_hand: bool) {
        let outcome = self.registry.on_heartbeat(self.now, heartbeat.clone());
        if matches!(outcome, HeartbeatOutcome::New | HeartbeatOutcome::Changed) {
            self.publish(FleetChange::Backend(heartbeat.clone()));
        }
        if !is_first_hand {
            return;
        }
        self.registry.record_direct_heartbeat(self.now, &heartbeat.instance);
        match outcome {
            HeartbeatOutcome::New | HeartbeatOutcome::Changed => {
                self.pending_heartbeats.changed.push(heartbeat);
            }
            HeartbeatOutcome::Unchanged => {
                self.pending_heartbeats.unchanged.push((heartbeat.instance, heartbeat.sequence));
            }
            HeartbeatOutcome::Stale | HeartbeatOutcome::Full => {}
        }
    }

    /// Removes a backend that has deregistered.
    pub(crate) fn remove_backend(&mut self, instance: &str) {
        if self.registry.remove(instance) {
            self.publish(FleetChange::BackendRemoved(instance.into()));
        }
    }

    /// Handles heartbeats forwarded by another node, and requests the full heartbeats of backends unknown here: this
    /// node may have received the last heartbeat slightly earlier than the others, and so be the only one that
    /// expired the backend.
    pub(crate) fn on_forwarded_heartbeats(
        &mut self,
        from: &str,
        changed: Vec<Heartbeat>,
        unchanged: Vec<(String, u64)>,
    ) {
        changed.into_iter().for_each(|heartbeat| self.record_heartbeat(heartbeat, false));
        let (now, registry) = (self.now, &mut self.registry);
        let unknown = unchanged
            .into_iter()
            .filter(|(id, sequence)| !registry.on_forwarded_heartbeat(now, id, *sequence));
        let instances: Vec<String> = unknown.map(|(id, _)| id).collect();
        if !instances.is_empty() && !self.has_defect(Defect::UnknownInstancesIgnored) {
            self.send_to(from, ControlMessage::UnknownInstances { instances });
        }
    }

    /// Sends another node the heartbeats of backends that it does not know or has not heard from for long. Backends
    /// without a recent heartbeat here are left out, because the other node would keep them for longer.
    pub(crate) fn on_unknown_instances(&mut self, from: &str, instances: &[String]) {
        let requested_ids: BTreeSet<&String> = instances.iter().collect();
        let recently_alive = self.registry.recently_alive(self.now);
        let changed: Vec<Heartbeat> =
            recently_alive.filter(|heartbeat| requested_ids.contains(&heartbeat.instance)).cloned().collect();
        if !changed.is_empty() {
            self.send_to(from, ControlMessage::Heartbeats { changed, unchanged: Vec::new() });
        }
    }

    /// Returns the heartbeats of all recently active backends, to be sent over a new link to another node.
    pub fn all_heartbeats(&self, now: Time) -> ControlMessage {
        let changed = self.registry.recently_alive(now).cloned().collect();
        ControlMessage::Heartbeats { changed, unchanged: Vec::new() }
    }

    /// Returns the backends that are not draining, and a number that changes when they change.
    pub fn serving_backends(&self) -> (u64, Vec<Heartbeat>) {
        let is_serving =
            |backend: &&Heartbeat| !backend.draining && !self.state.is_draining(&backend.instance);
        let backends = self.registry.heartbeats().filter(is_serving).cloned().collect();
        (self.change_feed.end().position.wrapping_add(1), backends)
    }

    /// Forwards heartbeats and expires silent backends every [`FORWARD_INTERVAL`].
    pub(crate) fn forward_heartbeats(&mut self) {
        if self.next_sweep > self.now {
            return;
        }
        self.next_sweep = self.now + FORWARD_INTERVAL;
        let PendingHeartbeats { changed, unchanged } = std::mem::take(&mut self.pending_heartbeats);
        if !changed.is_empty() || !unchanged.is_empty() {
            let message = ControlMessage::Heartbeats { changed, unchanged };
            self.effects.push(Effect::Broadcast { message });
        }
        self.expire_backends();
    }

    /// Requests from all nodes the heartbeats of backends that have long been silent here. A node whose link to this
    /// one is cut may still hear such a backend and forward its heartbeats to the other nodes, which both can reach.
    fn query_suspects(&mut self) {
        let instances = self.registry.take_suspects(self.now);
        if !instances.is_empty() {
            let message = ControlMessage::UnknownInstances { instances };
            self.effects.push(Effect::Broadcast { message });
        }
    }

    fn expire_backends(&mut self) {
        let last_sweep = std::mem::replace(&mut self.last_sweep, self.now);
        let was_paused = self.now.saturating_sub(last_sweep) > ISOLATION_LIMIT;
        let was_isolated = was_paused || self.quorum_contact_age(self.now) >= ISOLATION_LIMIT;
        if was_isolated && !self.has_defect(Defect::IsolatedNodeExpiresBackends) {
            // Other nodes may have received heartbeats in the meantime.
            return self.registry.restart_expiry_timers(self.now);
        }
        self.query_suspects();
        let expired = self.registry.expire_stale(self.now);
        if !expired.is_empty() {
            log::info!("backends: {} silent ones have expired", expired.len());
            expired.into_iter().for_each(|id| self.publish(FleetChange::BackendRemoved(id)));
        }
    }
}
