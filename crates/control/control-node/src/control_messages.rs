//! Messages from other control nodes, and discovery of control nodes.

use crate::effect::Effect;
use crate::node::as_pairs;
use crate::{ControlNode, Defect, Time, MS};
use consensus::{Input, NodeId};
use messages::{ControlMessage, GatewayUpdate};
use trial::UnixMillis;

/// Interval at which this node announces itself to the other control nodes.
pub const HELLO_INTERVAL: Time = 500 * MS;

impl ControlNode {
    /// Returns the announcement of this node, sent to the others every [`HELLO_INTERVAL`].
    pub fn hello(&self, unix_ms: UnixMillis) -> ControlMessage {
        ControlMessage::Hello {
            id: self.config.id.clone(),
            zone: self.config.zone.clone(),
            initial_start: self.config.initial_start,
            can_vote: self.config.can_vote && !self.is_shutting_down(),
            known_nodes: as_pairs(self.known_nodes.told_to_nodes()),
            unix_ms,
        }
    }

    /// Handles a connection from another control node.
    pub fn on_node_connected(&mut self, now: Time, name: &str) {
        self.now = now;
        self.known_nodes.on_heard(now, name, "");
    }

    /// Replaces the seeds: addresses of control nodes in the settings.
    pub fn set_seeds(&mut self, now: Time, seeds: &[String]) {
        self.now = now;
        self.known_nodes.set_seeds(now, seeds);
    }

    /// Handles another control node's message.
    pub fn on_control_message(&mut self, now: Time, from: &NodeId, message: ControlMessage) {
        self.now = now;
        let zone = if let ControlMessage::Hello { zone, .. } = &message { zone } else { "" };
        self.known_nodes.on_heard(now, &from.name, zone);
        #[cfg(feature = "simulation")]
        if self.has_defect(Defect::NodesNeverForgotten) {
            self.known_nodes.hear_all(now);
        }
        match message {
            ControlMessage::Hello { id, zone: _, initial_start, can_vote, known_nodes, unix_ms } => {
                self.quota.record_clock(now, &id.name, unix_ms);
                let told = known_nodes.iter().filter(|(name, _)| *name != id.name);
                told.for_each(|(name, zone)| self.known_nodes.on_told(now, name, zone));
                self.on_hello(id, initial_start, can_vote);
            }
            ControlMessage::Bootstrap(message) => self.on_bootstrap_message(from, message),
            ControlMessage::BootstrapChosen { voters } => {
                if self.config.initial_start {
                    self.enqueue(Input::Bootstrap { voters });
                }
            }
            ControlMessage::Consensus(message) => self.enqueue(Input::Message(message)),
            ControlMessage::Heartbeats { changed, unchanged } => {
                self.on_forwarded_heartbeats(&from.name, changed, unchanged);
            }
            ControlMessage::UnknownInstances { instances } => {
                self.on_unknown_instances(&from.name, &instances);
            }
            ControlMessage::Deregistered { instance } => self.remove_backend(&instance),
            ControlMessage::Propose { command } => self.enqueue(Input::Propose { tag: 0, command }),
            ControlMessage::ContactRequest { number } => self.on_contact_request(&from.name, number),
            ControlMessage::ContactResponse { number, age_ns: age, commit_index } => {
                self.quorum_contact.on_response(number, age, commit_index);
            }
            ControlMessage::LeaseRequest { gateway, request } => {
                if let Some(grant) = self.grant_lease(&gateway, &request) {
                    let term = self.leadership.term;
                    self.send_to(&from.name, ControlMessage::LeaseGrant { gateway, term, grant });
                }
            }
            ControlMessage::LeaseGrant { gateway, term, grant } => {
                // Grants of a former leader are dropped.
                if term >= self.leadership.term {
                    let update = GatewayUpdate::LeaseGrant(grant);
                    self.effects.push(Effect::SendToGateway { gateway, update });
                }
            }
        }
    }

    fn on_hello(&mut self, id: NodeId, initial_start: bool, can_vote: bool) {
        if let Some(bootstrapper) = self.bootstrapper.as_mut().filter(|_| initial_start) {
            bootstrapper.on_hello(&id.name, can_vote.then_some(id.disk_id));
        }
        if self.leadership.voters.get(&id.name) != Some(&id.disk_id) {
            let wants_vote = can_vote && !self.has_defect(Defect::LearnerNeverVotes);
            self.enqueue(Input::Join { id, wants_vote });
        }
    }
}
