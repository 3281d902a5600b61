//! What other prompters say: handed to the agreement, the cell, the office, the founding.

use crate::{ControlNode, Defect, Time, MS};
use consensus::{Input, NodeId};
use messages::message::{ControlMessage, GatewayUpdate};
use std::net::IpAddr;
use trial::UnixMillis;

/// Other prompters are told who this one is so often.
pub const HELLO_INTERVAL: Time = 500 * MS;
/// No fleet has so many prompters.
const MAX_KNOWN_NODES: usize = 64;

impl ControlNode {
    /// Who this is, which others are told again and again.
    pub fn hello(&self, wall: UnixMillis) -> ControlMessage {
        ControlMessage::Hello {
            id: self.config.id.clone(),
            zone: self.config.zone.clone(),
            initial_start: self.config.initial_start,
            can_vote: self.config.can_vote,
            known_nodes: self.known_nodes(),
            unix_ms: wall,
        }
    }

    /// Somebody has told of a prompter.
    pub fn learn_node(&mut self, name: &str, zone: &str) {
        if name.parse::<IpAddr>().is_ok()
            && (self.known_nodes.len() < MAX_KNOWN_NODES || self.known_nodes.contains_key(name))
        {
            let held = self.known_nodes.entry(name.to_string()).or_default();
            if !zone.is_empty() {
                *held = zone.to_string();
            }
        }
    }

    /// What another prompter says.
    pub fn on_control_message(&mut self, now: Time, from: &NodeId, peer: ControlMessage) {
        self.now = now;
        match peer {
            ControlMessage::Hello {
                id,
                zone,
                initial_start: first,
                can_vote: votes,
                known_nodes: known,
                unix_ms: wall,
            } => {
                self.quota.record_clock(now, &id.name, wall);
                known.iter().for_each(|(name, zone)| self.learn_node(name, zone));
                self.learn_node(&id.name, &zone);
                if let Some(founder) = self.bootstrapper.as_mut().filter(|_| first) {
                    founder.on_hello(&id.name, votes.then_some(id.disk_id));
                }
                if self.leadership.voters.get(&id.name) != Some(&id.disk_id) {
                    let votes = votes && !self.has(Defect::LearnerNeverVotes);
                    self.enqueue(Input::Join { id, wants_vote: votes });
                }
            }
            ControlMessage::Bootstrap(said) => self.on_bootstrap_message(from, said),
            ControlMessage::BootstrapChosen { voters: members } => {
                if self.config.initial_start {
                    self.enqueue(Input::Bootstrap { voters: members });
                }
            }
            ControlMessage::Consensus(message) => self.enqueue(Input::Message(message)),
            ControlMessage::Heartbeats { changed: facts, unchanged: again } => {
                self.on_forwarded_heartbeats(&from.name, facts, again)
            }
            ControlMessage::UnknownInstances { instances } => {
                self.on_unknown_instances(&from.name, &instances)
            }
            ControlMessage::Deregistered { instance } => self.remove_backend(&instance),
            ControlMessage::Propose { command: word } => {
                self.enqueue(Input::Propose { tag: 0, command: word })
            }
            ControlMessage::ContactRequest { number } => self.on_contact_request(&from.name, number),
            ControlMessage::ContactResponse { number, age, commit_index: agreed } => {
                self.quorum_contact.on_response(number, age, agreed)
            }
            ControlMessage::LeaseRequest { gateway, request: ask } => {
                if let Some(lent) = self.grant_lease(&gateway, &ask) {
                    let term = self.leadership.term;
                    self.send_to(&from.name, ControlMessage::LeaseGrant { gateway, term, grant: lent });
                }
            }
            ControlMessage::LeaseGrant { gateway, term, grant: lent } => {
                // Of a leader that was: its word counts no more.
                if term >= self.leadership.term {
                    self.effects.push(crate::Effect::SendToGateway {
                        gateway,
                        update: GatewayUpdate::LeaseGrant(lent),
                    });
                }
            }
        }
    }
}
