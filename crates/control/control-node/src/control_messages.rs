//! Messages of other control nodes, and which control nodes there are.

use crate::effect::Effect;
use crate::{ControlNode, Defect, Time, MS};
use consensus::{Input, NodeId};
use messages::{ControlMessage, GatewayUpdate};
use std::net::IpAddr;
use trial::UnixMillis;

/// Other control nodes are told this often who this one is.
pub const HELLO_INTERVAL: Time = 500 * MS;
/// Control nodes that are known, at most; no fleet has so many.
const MAX_KNOWN_NODES: usize = 64;

impl ControlNode {
    /// Who this node is, which others are told each [`HELLO_INTERVAL`].
    pub fn hello(&self, unix_ms: UnixMillis) -> ControlMessage {
        ControlMessage::Hello {
            id: self.config.id.clone(),
            zone: self.config.zone.clone(),
            initial_start: self.config.initial_start,
            can_vote: self.config.can_vote,
            known_nodes: self.known_nodes(),
            unix_ms,
        }
    }

    /// Somebody has named a control node.
    pub fn learn_node(&mut self, name: &str, zone: &str) {
        let has_room = self.known_nodes.len() < MAX_KNOWN_NODES || self.known_nodes.contains_key(name);
        if name.parse::<IpAddr>().is_err() || !has_room {
            return;
        }
        let known_zone = self.known_nodes.entry(name.to_string()).or_default();
        if !zone.is_empty() {
            *known_zone = zone.to_string();
        }
    }

    /// Another control node's message.
    pub fn on_control_message(&mut self, now: Time, from: &NodeId, message: ControlMessage) {
        self.now = now;
        match message {
            ControlMessage::Hello { id, zone, initial_start, can_vote, known_nodes, unix_ms } => {
                self.quota.record_clock(now, &id.name, unix_ms);
                known_nodes.iter().for_each(|(name, zone)| self.learn_node(name, zone));
                self.learn_node(&id.name, &zone);
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
                // A former leader's grants do not count.
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
