//! Heartbeats of backends, first-hand and forwarded, and which backends are silent.

use crate::effect::{Effect, Reply};
use crate::{ControlNode, Defect, Time, MS};
use messages::{ControlMessage, FleetChange};
use registry::{Heartbeat, HeartbeatOutcome};
use std::collections::BTreeSet;

/// Heartbeats are forwarded to the other control nodes this often.
const FORWARD_INTERVAL: Time = 400 * MS;
/// A node that was out of contact with a majority, or stood still, for so long expires nobody: a backend that others
/// last heard shortly before may have been silent here for one heartbeat interval and a half by then, and expires after
/// three and a half.
const ISOLATION_LIMIT: Time = 1500 * MS;

/// First-hand heartbeats that have yet to be forwarded.
#[derive(Debug, Default)]
pub(crate) struct PendingHeartbeats {
    /// Those that say something new.
    changed: Vec<Heartbeat>,
    /// Of the others, the backend's id and the sequence number.
    unchanged: Vec<(String, u64)>,
}

impl ControlNode {
    /// A backend's heartbeat, by which it may ask to drain.
    pub fn heartbeat(&mut self, now: Time, call: u64, mut heartbeat: Heartbeat) {
        self.now = now;
        let (id, asks_to_drain) = (heartbeat.instance.clone(), heartbeat.draining);
        heartbeat.draining |= self.state.is_draining(&id);
        self.record_heartbeat(heartbeat, true);
        // A node that is isolated from the majority would keep this backend from all others.
        if !self.has_quorum_contact() {
            self.effects.push(Effect::Reply { call, reply: Reply::Unavailable });
        } else if asks_to_drain {
            self.start_drain(call, &id, false);
        } else {
            self.effects.push(Effect::Reply { call, reply: Reply::Acknowledged });
        }
    }

    /// `is_first_hand`: from the backend itself, so that the other nodes have yet to hear of it.
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

    /// A backend has ended.
    pub(crate) fn remove_backend(&mut self, instance: &str) {
        if self.registry.remove(instance) {
            self.publish(FleetChange::BackendRemoved(instance.into()));
        }
    }

    /// Heartbeats that another node forwards. Those of backends that are not known here are asked for whole: this node
    /// may have heard the last one a little sooner than the others, and expired the backend alone.
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

    /// Another node does not know these backends, or has not heard them for long. One that was not heard here lately either
    /// is not named: the other node would believe it alive for longer.
    pub(crate) fn on_unknown_instances(&mut self, from: &str, instances: &[String]) {
        let named: BTreeSet<&String> = instances.iter().collect();
        let recently_alive = self.registry.recently_alive(self.now);
        let changed: Vec<Heartbeat> =
            recently_alive.filter(|heartbeat| named.contains(&heartbeat.instance)).cloned().collect();
        if !changed.is_empty() {
            self.send_to(from, ControlMessage::Heartbeats { changed, unchanged: Vec::new() });
        }
    }

    /// All backends that live, for a node that a link has just been made to.
    pub fn all_heartbeats(&self, now: Time) -> ControlMessage {
        let changed = self.registry.recently_alive(now).cloned().collect();
        ControlMessage::Heartbeats { changed, unchanged: Vec::new() }
    }

    /// The backends that do not drain, and a number that changes with them.
    pub fn serving_backends(&self) -> (u64, Vec<Heartbeat>) {
        let is_serving =
            |backend: &&Heartbeat| !backend.draining && !self.state.is_draining(&backend.instance);
        let backends = self.registry.heartbeats().filter(is_serving).cloned().collect();
        (self.change_feed.end().position.wrapping_add(1), backends)
    }

    /// Forwards heartbeats and expires silent backends, a few times a second.
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

    /// A backend that has long been silent here may be heard by a node whose link to this one is cut, though both are in
    /// contact with the others: these are asked, who have its heartbeats from that one.
    fn ask_for_suspects(&mut self) {
        let instances = self.registry.take_suspects(self.now);
        if !instances.is_empty() {
            let message = ControlMessage::UnknownInstances { instances };
            self.effects.push(Effect::Broadcast { message });
        }
    }

    fn expire_backends(&mut self) {
        let last_sweep = std::mem::replace(&mut self.last_sweep, self.now);
        let stood_still = self.now.saturating_sub(last_sweep) > ISOLATION_LIMIT;
        let was_isolated = stood_still || self.quorum_contact_age(self.now) >= ISOLATION_LIMIT;
        if was_isolated && !self.has_defect(Defect::IsolatedNodeExpiresBackends) {
            // Other nodes may have heard them meanwhile.
            return self.registry.restart_expiry_timers(self.now);
        }
        self.ask_for_suspects();
        let expired = self.registry.expire_stale(self.now);
        if !expired.is_empty() {
            log::info!("backends: {} silent ones have expired", expired.len());
            expired.into_iter().for_each(|id| self.publish(FleetChange::BackendRemoved(id)));
        }
    }
}
