//! Gateways that subscribe: a snapshot, then changes, the configuration in chunks, heartbeats, and their requests for quota.

use crate::effect::Effect;
use crate::{ControlNode, Defect, Time, MS};
use change_log::Offset;
use control_state::{Command, ConfigurationSender, LogIndex};
use messages::{ControlMessage, GatewayMessage, GatewayUpdate};
use quota::LeaseRequest;

/// A gateway is told this often how fresh this node is.
pub const UPDATE_INTERVAL: Time = 200 * MS;
/// Gateways that one gateway may believe to be gone.
const MAX_MISSING: usize = 64;

/// A gateway that subscribes.
#[derive(Debug)]
pub(crate) struct Subscriber {
    /// Tells its connections apart: the newest counts.
    link: u64,
    offset: Option<Offset>,
    sender: ConfigurationSender,
    /// The latest contact number that it has sent: heartbeats repeat it.
    contact_number: u64,
    /// Gateways that it believes to be gone.
    missing: Vec<String>,
}

impl ControlNode {
    /// A gateway subscribes. It says how far it has followed this node's changes, the index of the configuration that it
    /// holds, and a contact number for its first heartbeat. The number of its connection.
    pub fn subscribe(
        &mut self,
        name: &str,
        offset: Option<Offset>,
        configuration_index: LogIndex,
        contact_number: u64,
    ) -> u64 {
        self.last_link += 1;
        let subscriber = Subscriber {
            link: self.last_link,
            offset,
            sender: ConfigurationSender::new(configuration_index),
            contact_number,
            missing: Vec::new(),
        };
        self.subscribers.insert(name.into(), subscriber);
        self.last_link
    }

    /// Its connection has ended.
    pub fn unsubscribe(&mut self, name: &str, link: u64) {
        if self.subscriber(name, link).is_some() {
            self.subscribers.remove(name);
        }
    }

    fn subscriber(&mut self, name: &str, link: u64) -> Option<&mut Subscriber> {
        self.subscribers.get_mut(name).filter(|subscriber| subscriber.link == link)
    }

    /// The gateways that subscribe, each with those that it believes to be gone.
    pub fn subscribers(&self) -> impl Iterator<Item = (&String, &[String])> {
        self.subscribers.iter().map(|(name, subscriber)| (name, subscriber.missing.as_slice()))
    }

    /// What to send to a gateway now beside chunks of a configuration.
    pub fn next_update(&mut self, now: Time, name: &str, link: u64) -> Option<GatewayUpdate> {
        self.now = now;
        let offset = self.subscriber(name, link)?.offset;
        let changes = offset.and_then(|offset| Some((offset, self.change_feed.since(offset)?)));
        let (update, next) = match changes {
            Some((from, changes)) => {
                let next = Offset { position: from.position + changes.len() as u64, ..from };
                let update = (!changes.is_empty()).then_some(GatewayUpdate::Changes { from, changes });
                (update, next)
            }
            None => {
                let (offset, snapshot) = self.snapshot();
                (Some(snapshot), offset)
            }
        };
        self.subscriber(name, link)?.offset = Some(next);
        update
    }

    /// The next chunk of the newest configuration, if there is room for one on the way.
    pub fn next_chunk(&mut self, name: &str, link: u64) -> Option<GatewayUpdate> {
        let subscriber = self.subscribers.get_mut(name).filter(|subscriber| subscriber.link == link)?;
        let chunk = subscriber.sender.next_chunk(&self.change_feed.deltas, self.state.configuration());
        chunk.map(GatewayUpdate::ConfigurationChunk)
    }

    /// What to send to a gateway each [`UPDATE_INTERVAL`]; none: another connection has replaced this one. A gateway that is
    /// not replicated yet has no share of any quota.
    pub fn heartbeat_update(&mut self, now: Time, name: &str, link: u64) -> Option<GatewayUpdate> {
        self.now = now;
        let contact_number = self.subscriber(name, link)?.contact_number;
        if self.state.can_add_gateway(name) {
            self.propose_to_leader(&Command::AddGateway { name: name.into() });
        }
        let contact_age_ms = self.quorum_contact_age(now) / MS;
        let newest_configuration = match self.state.configuration() {
            Some(_) if self.has_defect(Defect::HeartbeatHidesNewest) => 0,
            current => current.map_or(0, |current| current.index),
        };
        Some(GatewayUpdate::Heartbeat {
            contact_number,
            quorum_contact_ms: u32::try_from(contact_age_ms).unwrap_or(u32::MAX),
            newest_configuration,
            control_nodes: self.known_nodes(),
        })
    }

    /// A gateway's message.
    pub fn on_gateway_message(&mut self, now: Time, name: &str, link: u64, message: GatewayMessage) {
        self.now = now;
        let Some(subscriber) = self.subscriber(name, link) else { return };
        match message {
            GatewayMessage::MissingGateways { mut missing } => {
                missing.truncate(MAX_MISSING);
                log::info!("membership: {name} misses {}", missing.join(", "));
                subscriber.missing = missing;
            }
            GatewayMessage::ChunkReceived { index, received } => {
                subscriber.sender.on_received(index, received);
                self.effects.push(Effect::ChunkWindowOpened { gateway: name.into() });
            }
            GatewayMessage::BaseMissing => {
                log::info!("configuration: {name} is sent the whole");
                subscriber.sender.on_base_missing();
                self.effects.push(Effect::ChunkWindowOpened { gateway: name.into() });
            }
            GatewayMessage::ContactNumber { number } => {
                subscriber.contact_number = subscriber.contact_number.max(number);
            }
            GatewayMessage::LeaseRequest(request) => self.on_lease_request(name, request),
        }
    }

    /// The leader answers a request for quota; any other node passes it on.
    fn on_lease_request(&mut self, gateway: &str, request: LeaseRequest) {
        if self.leadership.is_leader {
            if let Some(grant) = self.grant_lease(gateway, &request) {
                self.send_grant(gateway, grant);
            }
        } else if let Some(leader) = self.leadership.leader.as_ref().map(|leader| leader.name.clone()) {
            self.send_to(&leader, ControlMessage::LeaseRequest { gateway: gateway.into(), request });
        }
    }
}
