//! Gateways that follow: a scene, then changes, the configuration in parts, a pulse, and their asks for rights.

use crate::{ControlNode, Defect, Effect, Time, MS};
use change_log::Offset;
use control_state::{Command, ConfigurationSender};
use messages::message::{ControlMessage, GatewayMessage, GatewayUpdate};

/// A gateway is told how fresh this prompter is so often.
pub const UPDATE_INTERVAL: Time = 200 * MS;
/// Gateways that one may miss.
const MAX_MISSING: usize = 64;

/// A gateway that follows.
#[derive(Debug)]
pub(crate) struct Subscriber {
    /// Tells its connections apart: the newest counts.
    link: u64,
    offset: Option<Offset>,
    sender: ConfigurationSender,
    /// The latest number that it has said: pulses bear it.
    contact_number: u64,
    /// Whom it believes to be gone.
    missing: Vec<String>,
}

impl ControlNode {
    /// A gateway follows from now on, and says how far it has followed this prompter, where the configuration that it holds stands, and
    /// a number for its first pulse. The link's number.
    pub fn subscribe(
        &mut self,
        name: &str,
        place: Option<Offset>,
        holds: control_state::LogIndex,
        contact: u64,
    ) -> u64 {
        self.last_link += 1;
        let (link, sender) = (self.last_link, ConfigurationSender::new(holds));
        self.subscribers.insert(
            name.into(),
            Subscriber { link, offset: place, sender, contact_number: contact, missing: Vec::new() },
        );
        self.last_link
    }

    /// Its link has ended.
    pub fn unsubscribe(&mut self, name: &str, link: u64) {
        if self.subscriber(name, link).is_some() {
            self.subscribers.remove(name);
        }
    }

    fn subscriber(&mut self, name: &str, link: u64) -> Option<&mut Subscriber> {
        self.subscribers.get_mut(name).filter(|f| f.link == link)
    }

    /// Those who follow, each with whom it believes to be gone.
    pub fn subscribers(&self) -> impl Iterator<Item = (&String, &[String])> {
        self.subscribers.iter().map(|(name, f)| (name, f.missing.as_slice()))
    }

    /// What it is to be told now beside parts of a configuration.
    pub fn next_update(&mut self, now: Time, name: &str, link: u64) -> Option<GatewayUpdate> {
        self.now = now;
        let at = self.subscriber(name, link)?.offset;
        let (news, next) = match at.and_then(|at| Some((at, self.change_feed.since(at)?))) {
            Some((at, changes)) => {
                let next = Offset { position: at.position + changes.len() as u64, ..at };
                ((!changes.is_empty()).then_some(GatewayUpdate::Changes { from: at, changes }), next)
            }
            None => {
                let (place, scene) = self.snapshot();
                (Some(scene), place)
            }
        };
        self.subscriber(name, link)?.offset = Some(next);
        news
    }

    /// The next part of the newest configuration, if there is room for one on its way.
    pub fn next_chunk(&mut self, name: &str, link: u64) -> Option<GatewayUpdate> {
        let follower = self.subscribers.get_mut(name).filter(|f| f.link == link)?;
        follower
            .sender
            .next_chunk(&self.change_feed.deltas, self.state.configuration())
            .map(GatewayUpdate::ConfigurationChunk)
    }

    /// What it is told a few times a second; none: another link has taken its place. One that is not agreed on yet has no part of what
    /// is shared.
    pub fn heartbeat_update(&mut self, now: Time, name: &str, link: u64) -> Option<GatewayUpdate> {
        self.now = now;
        let contact = self.subscriber(name, link)?.contact_number;
        if self.state.can_add_gateway(name) {
            self.propose_to_leader(Command::AddGateway { name: name.into() }.encode());
        }
        let touch_ms = u32::try_from(self.quorum_contact_age(now) / 1_000_000).unwrap_or(u32::MAX);
        let newest = match self.state.configuration() {
            Some(_) if self.has(Defect::HeartbeatHidesNewest) => 0,
            configuration => configuration.map_or(0, |c| c.index),
        };
        Some(GatewayUpdate::Heartbeat {
            contact_number: contact,
            quorum_contact_ms: touch_ms,
            newest_configuration: newest,
            control_nodes: self.known_nodes(),
        })
    }

    /// What it says.
    pub fn on_gateway_message(&mut self, now: Time, name: &str, link: u64, up: GatewayMessage) {
        self.now = now;
        let Some(follower) = self.subscriber(name, link) else { return };
        match up {
            GatewayMessage::MissingGateways { mut missing } => {
                missing.truncate(MAX_MISSING);
                log::info!("company: {name} misses {}", missing.join(", "));
                follower.missing = missing;
            }
            GatewayMessage::ChunkReceived { index: place, received: bytes } => {
                follower.sender.on_received(place, bytes);
                self.effects.push(Effect::ChunkWindowOpened { gateway: name.into() });
            }
            GatewayMessage::BaseMissing => {
                log::info!("configuration: {name} is told the whole");
                follower.sender.on_base_missing();
                self.effects.push(Effect::ChunkWindowOpened { gateway: name.into() });
            }
            GatewayMessage::ContactNumber { number } => {
                follower.contact_number = follower.contact_number.max(number)
            }
            GatewayMessage::LeaseRequest(ask) => {
                if self.leadership.is_leader {
                    if let Some(lent) = self.grant_lease(name, &ask) {
                        self.send_grant(name, lent);
                    }
                } else if let Some(leader) = self.leadership.leader.as_ref().map(|l| l.name.clone()) {
                    self.send_to(
                        &leader,
                        ControlMessage::LeaseRequest { gateway: name.into(), request: ask },
                    );
                }
            }
        }
    }
}
