//! The cell's backends: their beats, first-hand and passed on, and who is silent.

use crate::{ControlNode, Defect, Effect, Time, MS};
use messages::message::{ControlMessage, FleetChange};
use registry::{Heartbeat, HeartbeatOutcome};

/// What was heard of beats is passed on so often.
const FORWARD_INTERVAL: Time = 400 * MS;
/// Without contact with a majority for so long, or looked at so late, the cell was deaf. A backend that was last heard of by others
/// shortly before may have been silent here for a beat and a half by then, and its life ends after three and a half.
const ISOLATION_LIMIT: Time = 1500 * MS;

impl ControlNode {
    /// `first_hand`: from the backend itself, so that the others have yet to hear of it.
    pub(crate) fn record_heartbeat(&mut self, fact: Heartbeat, first_hand: bool) {
        let heard = self.registry.on_heartbeat(self.now, fact.clone());
        if matches!(heard, HeartbeatOutcome::New | HeartbeatOutcome::Changed) {
            self.publish(FleetChange::Backend(fact.clone()));
        }
        if first_hand {
            self.registry.confirm_alive(self.now, &fact.instance);
            match heard {
                HeartbeatOutcome::New | HeartbeatOutcome::Changed => self.pending_heartbeats.0.push(fact),
                HeartbeatOutcome::Unchanged => self.pending_heartbeats.1.push((fact.instance, fact.sequence)),
                HeartbeatOutcome::Stale | HeartbeatOutcome::Full => {}
            }
        }
    }

    /// A backend's life is over.
    pub(crate) fn remove_backend(&mut self, instance: &str) {
        if self.registry.remove(instance) {
            self.publish(FleetChange::BackendRemoved(instance.into()));
        }
    }

    /// Beats that another prompter passes on. Who is not known here, though it is there, is asked for: this prompter may have heard
    /// the last of it a little sooner than the others, and ended its life alone.
    pub(crate) fn on_forwarded_heartbeats(
        &mut self,
        from: &str,
        facts: Vec<Heartbeat>,
        again: Vec<(String, u64)>,
    ) {
        facts.into_iter().for_each(|f| self.record_heartbeat(f, false));
        let (now, cell) = (self.now, &mut self.registry);
        let unknown =
            again.into_iter().filter(|(id, sequence)| !cell.on_forwarded_heartbeat(now, id, *sequence));
        let instances: Vec<String> = unknown.map(|(id, _)| id).collect();
        if !instances.is_empty() && !self.has(Defect::UnknownInstancesIgnored) {
            self.send_to(from, ControlMessage::UnknownInstances { instances });
        }
    }

    /// Another prompter does not know these.
    pub(crate) fn on_unknown_instances(&mut self, from: &str, instances: &[String]) {
        let facts: Vec<Heartbeat> =
            instances.iter().filter_map(|id| self.registry.get(id).cloned()).collect();
        if !facts.is_empty() {
            self.send_to(from, ControlMessage::Heartbeats { changed: facts, unchanged: Vec::new() });
        }
    }

    /// All that live, for a prompter that a link has just been made to.
    pub fn all_heartbeats(&self, now: Time) -> ControlMessage {
        ControlMessage::Heartbeats {
            changed: self.registry.recently_alive(now).cloned().collect(),
            unchanged: Vec::new(),
        }
    }

    /// Which lives there are, and a number that changes with them.
    pub fn serving_backends(&self) -> (u64, Vec<Heartbeat>) {
        let lives = |f: &&Heartbeat| !f.draining && !self.state.is_draining(&f.instance);
        (
            self.change_feed.end().position.wrapping_add(1),
            self.registry.heartbeats().filter(lives).cloned().collect(),
        )
    }

    /// Passes on what was heard, and ends the lives of those who are silent, a few times a second.
    pub(crate) fn forward_heartbeats(&mut self) {
        if self.next_sweep > self.now {
            return;
        }
        self.next_sweep = self.now + FORWARD_INTERVAL;
        let (facts, again) = std::mem::take(&mut self.pending_heartbeats);
        if !facts.is_empty() || !again.is_empty() {
            self.effects.push(Effect::Broadcast {
                message: ControlMessage::Heartbeats { changed: facts, unchanged: again },
            });
        }
        self.expire_backends();
    }

    /// While this prompter was cut off from the majority, or stood still, others may have heard them.
    fn expire_backends(&mut self) {
        let stood_still =
            self.now.saturating_sub(std::mem::replace(&mut self.last_sweep, self.now)) > ISOLATION_LIMIT;
        if (stood_still || self.quorum_contact_age(self.now) >= ISOLATION_LIMIT)
            && !self.has(Defect::IsolatedNodeExpiresBackends)
        {
            return self.registry.restart_expiry_timers(self.now);
        }
        let over = self.registry.expire_stale(self.now);
        if !over.is_empty() {
            log::info!("backends: {} silent ones are over", over.len());
            over.into_iter().for_each(|id| self.publish(FleetChange::BackendRemoved(id)));
        }
    }
}
