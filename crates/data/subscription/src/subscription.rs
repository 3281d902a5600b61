//! To which control node a gateway subscribes: one of its own zone if it can be had, else any other; and what it makes
//! of that node's updates.

use crate::backoff::Backoffs;
use crate::freshness::Freshness;
use crate::view::{View, ViewChange};
use crate::{Time, MS};
use change_log::{ChangesOutcome, SubscriberPosition};
use control_state::{ConfigurationChunk, ConfigurationReceiver, ReceiveOutcome};
use messages::{GatewayMessage, GatewayUpdate, Greeting, MESSAGE_FORMAT};
use quota::LeaseGrant;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A control node sends something each 200 ms; one that is silent for so long is left.
pub const SILENCE_TIMEOUT: Time = 700 * MS;
/// While the bytes of a long message arrive a control node is not silent, for so long at most.
pub const MAX_MESSAGE_TIME: Time = 10_000 * MS;
/// A control node that has proven nothing for so long, in milliseconds, is left.
const MAX_CONTACT_AGE_MS: u32 = 1000;
/// While the node that is followed has no quorum, the others are probed this often.
pub const PROBE_INTERVAL: Time = 1000 * MS;
/// A node whose connection was lost, or that had no quorum, is not tried again so soon while there are others.
const LOST_BACKOFF: Time = 600 * MS;
/// Nor one that refused the connection: it may be just starting.
const REFUSED_BACKOFF: Time = 60 * MS;
/// Nor one that did not answer at all.
const TIMEOUT_BACKOFF: Time = 700 * MS;
/// A relay is followed for so long before a control node is tried again.
const RELAY_PERIOD: Time = 2000 * MS;
/// So many nodes in a row that did not answer: this gateway is isolated, not they.
const ISOLATION_THRESHOLD: u32 = 2;
/// Doubtful backends are looked for this often.
const SWEEP_INTERVAL: Time = 1000 * MS;

/// Who a gateway is.
#[derive(Clone, Debug)]
pub struct SubscriptionConfig {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub ip: IpAddr,
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// It broke, or the node fell silent.
    Lost,
    /// The node has lost the majority.
    NoQuorum,
    /// Another node is in the own zone.
    NearerNode,
    /// It was refused.
    Refused,
    /// The node did not answer at all.
    TimedOut,
}

/// What is to be done about an update, in order.
#[derive(Debug)]
pub enum Effect {
    /// The view has changed.
    Changed(Vec<ViewChange>),
    /// The quota coordinator has answered.
    LeaseGrant(LeaseGrant),
    /// To be sent to the control node.
    Send(GatewayMessage),
    /// The connection is to be ended.
    Disconnect(DisconnectReason),
}

/// The control node to connect to next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextNode {
    /// Its address.
    pub ip: IpAddr,
    /// All nodes have failed lately, and this one was tried longest ago.
    pub is_backed_off: bool,
}

/// The connection that stands.
#[derive(Debug)]
struct Connection {
    ip: IpAddr,
    /// Not through another gateway.
    is_direct: bool,
    started: Time,
    receiver: ConfigurationReceiver,
    next_sweep: Time,
    /// The node has lost the majority, by its latest heartbeat.
    has_no_quorum: bool,
}

/// A gateway's subscription.
#[derive(Debug)]
pub struct Subscription {
    config: SubscriptionConfig,
    view: View,
    freshness: Freshness,
    /// Control nodes, each with its zone as far as that is known.
    known_nodes: BTreeMap<IpAddr, String>,
    backoffs: Backoffs,
    position: SubscriberPosition,
    /// The missing gateways that were last told.
    missing: Vec<String>,
    timeouts_in_a_row: u32,
    connection: Option<Connection>,
}

impl Subscription {
    /// A subscription without a connection.
    pub fn new(config: SubscriptionConfig) -> Self {
        Subscription {
            config,
            view: View::default(),
            freshness: Freshness::default(),
            known_nodes: BTreeMap::new(),
            backoffs: Backoffs::default(),
            position: SubscriberPosition::default(),
            missing: Vec::new(),
            timeouts_in_a_row: 0,
            connection: None,
        }
    }

    /// What the gateway knows.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How fresh that is.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Something that this gateway has observed itself.
    pub fn observe(&mut self, act: impl FnOnce(&mut View) -> Vec<ViewChange>) -> Vec<ViewChange> {
        act(&mut self.view)
    }

    /// The node to connect to next, of these seeds and all that were heard of: one of the own zone first; of the
    /// others, any. `draw`: a random number below that.
    pub fn next_node(
        &mut self,
        now: Time,
        seeds: &[IpAddr],
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<NextNode> {
        let all: BTreeSet<IpAddr> = self.known_nodes.keys().chain(seeds).copied().collect();
        self.backoffs.retain(&all);
        let available: Vec<IpAddr> =
            all.iter().copied().filter(|ip| !self.backoffs.is_backed_off(ip, now)).collect();
        let near: Vec<IpAddr> = available.iter().copied().filter(|ip| self.is_near(ip)).collect();
        let candidates = if near.is_empty() { available } else { near };
        if !candidates.is_empty() {
            let ip = candidates[draw(candidates.len())];
            return Some(NextNode { ip, is_backed_off: false });
        }
        let tried_longest_ago = all.into_iter().min_by_key(|ip| self.backoffs.since(ip));
        tried_longest_ago.map(|ip| NextNode { ip, is_backed_off: true })
    }

    fn is_near(&self, ip: &IpAddr) -> bool {
        *ip == self.config.ip || self.known_nodes.get(ip) == Some(&self.config.zone)
    }

    /// A connection to this node begins, directly or through another gateway: the first message on it.
    pub fn on_connected(&mut self, now: Time, ip: IpAddr, is_direct: bool) -> Greeting {
        self.missing.clear();
        self.view.on_connected(now);
        if self.view.has_unproven_gateways() {
            // What this node proves says nothing of what another one told: it is to tell all anew.
            self.position = SubscriberPosition::default();
        }
        let receiver = ConfigurationReceiver::default();
        self.connection =
            Some(Connection { ip, is_direct, started: now, receiver, next_sweep: now, has_no_quorum: false });
        Greeting::Gateway {
            format: MESSAGE_FORMAT,
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            offset: self.position.offset(),
            configuration_index: self.configuration_index(),
            contact_number: self.freshness.request(now),
        }
    }

    /// The log index of the configuration that is held; 0: there is none.
    pub fn configuration_index(&self) -> u64 {
        self.view.configuration().map_or(0, |held| held.index)
    }

    /// The try to follow this node directly, begun at `started`, has ended. Whether this gateway seems to be isolated
    /// from control nodes, so that it is to go through other gateways.
    pub fn on_disconnected(
        &mut self,
        now: Time,
        ip: IpAddr,
        started: Time,
        reason: DisconnectReason,
    ) -> bool {
        self.connection = None;
        let delay = match reason {
            DisconnectReason::NearerNode => return false,
            DisconnectReason::Refused => REFUSED_BACKOFF,
            DisconnectReason::TimedOut => TIMEOUT_BACKOFF,
            DisconnectReason::Lost | DisconnectReason::NoQuorum => LOST_BACKOFF,
        };
        let timed_out = reason == DisconnectReason::TimedOut;
        self.timeouts_in_a_row = if timed_out { self.timeouts_in_a_row + 1 } else { 0 };
        if reason == DisconnectReason::Lost {
            self.backoffs.allow_retries();
        }
        self.backoffs.on_failure(now, ip, started, delay, timed_out);
        self.timeouts_in_a_row >= ISOLATION_THRESHOLD
    }

    /// The nodes to ask for their contact with a majority. Back-off spares nodes; whether one has a quorum again must be known
    /// soon where the followed one has none, however often the others were tried in vain.
    pub fn nodes_to_probe(&self, now: Time) -> Vec<IpAddr> {
        match &self.connection {
            Some(Connection { ip, has_no_quorum: true, .. }) => {
                self.backoffs.backed_off(now).filter(|other| other != ip).collect()
            }
            _ => Vec::new(),
        }
    }

    /// A probed node says how long ago it was in contact with a majority, in milliseconds. One that has a quorum may be
    /// followed at once.
    pub fn on_probed(&mut self, now: Time, ip: IpAddr, quorum_contact_ms: u64) {
        if quorum_contact_ms <= u64::from(MAX_CONTACT_AGE_MS) {
            self.backoffs.end(now, &ip);
        }
    }

    /// An update of the control node. `missing`: gateways that this one believes to be gone.
    pub fn on_update(
        &mut self,
        now: Time,
        update: GatewayUpdate,
        missing: impl FnOnce() -> Vec<String>,
    ) -> Vec<Effect> {
        if self.connection.is_none() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        if let Err(reason) = self.apply_update(now, update, &mut effects) {
            return vec![Effect::Disconnect(reason)];
        }
        if let Some(connection) = self.connection.as_mut().filter(|c| c.next_sweep <= now) {
            connection.next_sweep = now + SWEEP_INTERVAL;
            effects.push(Effect::Changed(self.view.expire_doubtful(now)));
            self.tell_missing(missing(), &mut effects);
        }
        effects
    }

    /// # Errors
    /// The connection is to be ended.
    fn apply_update(
        &mut self,
        now: Time,
        update: GatewayUpdate,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DisconnectReason> {
        match update {
            GatewayUpdate::Snapshot { offset, snapshot } => {
                self.position.on_snapshot(offset);
                effects.push(Effect::Changed(self.view.apply_snapshot(now, *snapshot)));
            }
            GatewayUpdate::Changes { from, changes } => {
                match self.position.on_changes(from, changes.len()) {
                    ChangesOutcome::SkipFirst(known) => {
                        let new = changes.into_iter().skip(known);
                        let changes = new.flat_map(|change| self.view.apply_change(now, change)).collect();
                        effects.push(Effect::Changed(changes));
                    }
                    ChangesOutcome::NeedsSnapshot => {
                        // The next connection begins without an offset.
                        self.position = SubscriberPosition::default();
                        return Err(DisconnectReason::Lost);
                    }
                }
            }
            GatewayUpdate::LeaseGrant(grant) => effects.push(Effect::LeaseGrant(grant)),
            GatewayUpdate::ConfigurationChunk(chunk) => self.on_chunk(chunk, effects)?,
            GatewayUpdate::Heartbeat {
                contact_number,
                quorum_contact_ms,
                newest_configuration,
                control_nodes,
            } => {
                let nodes = control_nodes.into_iter();
                let parsed = nodes.filter_map(|(name, zone)| Some((name.parse().ok()?, zone)));
                self.known_nodes.extend(parsed);
                let age = u64::from(quorum_contact_ms) * MS;
                self.freshness.on_heartbeat(contact_number, age, newest_configuration);
                effects.push(Effect::Changed(self.on_proof(now)));
                if let Some(reason) = self.reason_to_leave(now, quorum_contact_ms) {
                    return Err(reason);
                }
                let number = self.freshness.request(now);
                effects.push(Effect::Send(GatewayMessage::ContactNumber { number }));
            }
        }
        Ok(())
    }

    /// What the control node that is followed now has proven to be no older than what is known.
    fn on_proof(&mut self, now: Time) -> Vec<ViewChange> {
        let connected_at = self.connection.as_ref().map(|connection| connection.started);
        let proven_at = self.freshness.last_quorum_contact();
        match connected_at.zip(proven_at) {
            // What was proven before the connection was by another node.
            Some((connected_at, proven_at)) if proven_at >= connected_at => {
                self.view.on_proven(now, proven_at)
            }
            _ => Vec::new(),
        }
    }

    fn on_chunk(
        &mut self,
        chunk: ConfigurationChunk,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DisconnectReason> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let held = self.view.configuration().cloned();
        let answer = match connection.receiver.receive(held.as_deref(), chunk) {
            ReceiveOutcome::Incomplete { index, bytes } => {
                GatewayMessage::ChunkReceived { index, received: bytes }
            }
            ReceiveOutcome::Complete { configuration, bytes } => {
                let index = configuration.index;
                effects.push(Effect::Changed(self.view.replace_configuration(configuration)));
                self.freshness.on_configuration(self.configuration_index());
                GatewayMessage::ChunkReceived { index, received: bytes }
            }
            ReceiveOutcome::BaseMissing => GatewayMessage::BaseMissing,
            ReceiveOutcome::Invalid => return Err(DisconnectReason::Lost),
        };
        effects.push(Effect::Send(answer));
        Ok(())
    }

    /// Tells which gateways are missing, if that has changed.
    fn tell_missing(&mut self, missing: Vec<String>, effects: &mut Vec<Effect>) {
        if missing != self.missing {
            self.missing.clone_from(&missing);
            effects.push(Effect::Send(GatewayMessage::MissingGateways { missing }));
        }
    }

    /// Why the control node, which was in contact with a majority so long ago, is to be left, if it is.
    fn reason_to_leave(&mut self, now: Time, quorum_contact_ms: u32) -> Option<DisconnectReason> {
        let Connection { ip, is_direct, started, ref receiver, .. } = *self.connection.as_ref()?;
        let is_receiving = receiver.is_receiving();
        let has_no_quorum = quorum_contact_ms > MAX_CONTACT_AGE_MS;
        if let Some(connection) = &mut self.connection {
            connection.has_no_quorum = has_no_quorum;
        }
        if has_no_quorum && self.configuration_index() == 0 && is_receiving {
            // After all of control was lost, what was in force is better than nothing until some node can prove more.
            return None;
        }
        if has_no_quorum {
            self.backoffs.retry_timed_out(now, started);
        }
        let mut others =
            self.known_nodes.keys().filter(|other| **other != ip && !self.backoffs.is_backed_off(other, now));
        if has_no_quorum {
            // Where no node has a majority any one is as good.
            return others.next().map(|_| DisconnectReason::NoQuorum);
        }
        let may_leave_relay = is_direct || now.saturating_sub(started) >= RELAY_PERIOD;
        // A configuration in transfer would have to begin anew elsewhere.
        let may_leave = may_leave_relay && !is_receiving;
        let has_nearer = may_leave && !self.is_near(&ip) && others.any(|other| self.is_near(other));
        has_nearer.then_some(DisconnectReason::NearerNode)
    }
}
