//! Subscriptions of gateways: a snapshot followed by changes, the configuration in chunks, heartbeats, and the
//! gateways' quota requests.

use crate::effect::Effect;
use crate::node::as_pairs;
use crate::{ControlNode, Defect, Time, MS};
use change_log::Offset;
use control_state::{Command, ConfigurationSender, LogIndex};
use messages::{ControlMessage, GatewayMessage, GatewayUpdate};
use quota::LeaseRequest;

/// Interval between heartbeats to a gateway, which report how fresh this node's state is.
pub const UPDATE_INTERVAL: Time = 200 * MS;
/// Maximum number of missing gateways accepted from one gateway.
const MAX_MISSING_GATEWAYS: usize = 64;

/// A subscribed gateway.
#[derive(Debug)]
pub(crate) struct Subscriber {
    /// Distinguishes the gateway's connections; only the newest one is served.
    connection_id: u64,
    offset: Option<Offset>,
    configuration_sender: ConfigurationSender,
    /// The highest contact number received from the gateway; heartbeats repeat it.
    contact_number: u64,
    /// Gateways that this gateway suspects or believes to be gone.
    missing_gateways: Vec<String>,
}

impl ControlNode {
    /// Registers a subscription of a gateway, replacing any earlier one, and returns its connection id. `offset` is
    /// how far the gateway has followed this node's changes, `configuration_index` the index of the configuration it
    /// holds, and `contact_number` is repeated in its first heartbeat.
    pub fn subscribe(
        &mut self,
        name: &str,
        offset: Option<Offset>,
        configuration_index: LogIndex,
        contact_number: u64,
    ) -> u64 {
        self.last_connection_id += 1;
        let subscriber = Subscriber {
            connection_id: self.last_connection_id,
            offset,
            configuration_sender: ConfigurationSender::new(configuration_index),
            contact_number,
            missing_gateways: Vec::new(),
        };
        self.subscribers.insert(name.into(), subscriber);
        self.last_connection_id
    }

    /// Removes a gateway's subscription when its connection ends, unless a newer connection has replaced it.
    pub fn unsubscribe(&mut self, name: &str, connection_id: u64) {
        if self.subscriber(name, connection_id).is_some() {
            self.subscribers.remove(name);
        }
    }

    fn subscriber(&mut self, name: &str, connection_id: u64) -> Option<&mut Subscriber> {
        self.subscribers.get_mut(name).filter(|subscriber| subscriber.connection_id == connection_id)
    }

    /// Returns the subscribed gateways, each with the gateways that it reports as missing.
    pub fn subscribers(&self) -> impl Iterator<Item = (&String, &[String])> {
        self.subscribers.iter().map(|(name, subscriber)| (name, subscriber.missing_gateways.as_slice()))
    }

    /// Returns the new changes for a gateway, if any, or a snapshot if its offset is missing or too old.
    /// Configuration chunks come from [`ControlNode::next_chunk`].
    pub fn next_update(&mut self, now: Time, name: &str, connection_id: u64) -> Option<GatewayUpdate> {
        self.now = now;
        let offset = self.subscriber(name, connection_id)?.offset;
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
        self.subscriber(name, connection_id)?.offset = Some(next);
        update
    }

    /// Returns the next chunk of the newest configuration if the gateway's window has room for it.
    pub fn next_chunk(&mut self, name: &str, connection_id: u64) -> Option<GatewayUpdate> {
        let subscriber =
            self.subscribers.get_mut(name).filter(|subscriber| subscriber.connection_id == connection_id)?;
        let chunk =
            subscriber.configuration_sender.next_chunk(&self.change_feed.deltas, self.state.configuration());
        chunk.map(GatewayUpdate::ConfigurationChunk)
    }

    /// Returns the heartbeat to send to a gateway every [`UPDATE_INTERVAL`], or `None` if the connection has been
    /// replaced. Also proposes to add a gateway that is not replicated yet, because it has no share of any quota
    /// until then.
    pub fn heartbeat_update(&mut self, now: Time, name: &str, connection_id: u64) -> Option<GatewayUpdate> {
        self.now = now;
        let contact_number = self.subscriber(name, connection_id)?.contact_number;
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
            control_nodes: as_pairs(self.known_nodes.told_to_gateways()),
        })
    }

    /// Handles a gateway's message; ignores messages of replaced connections.
    pub fn on_gateway_message(&mut self, now: Time, name: &str, connection_id: u64, message: GatewayMessage) {
        self.now = now;
        let Some(subscriber) = self.subscriber(name, connection_id) else { return };
        match message {
            GatewayMessage::MissingGateways { mut missing } => {
                missing.truncate(MAX_MISSING_GATEWAYS);
                log::info!("membership: {name} misses {}", missing.join(", "));
                subscriber.missing_gateways = missing;
            }
            GatewayMessage::ChunkReceived { index, received } => {
                subscriber.configuration_sender.on_received(index, received);
                self.effects.push(Effect::ChunkWindowOpened { gateway: name.into() });
            }
            GatewayMessage::BaseMissing => {
                log::info!(
                    "configuration: {name} lacks the base of a delta; sending it the whole configuration"
                );
                subscriber.configuration_sender.on_base_missing();
                self.effects.push(Effect::ChunkWindowOpened { gateway: name.into() });
            }
            GatewayMessage::ContactNumber { number } => {
                subscriber.contact_number = subscriber.contact_number.max(number);
            }
            GatewayMessage::LeaseRequest(request) => self.on_lease_request(name, request),
        }
    }

    /// Answers a quota request on the leader; any other node forwards it to the leader.
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
