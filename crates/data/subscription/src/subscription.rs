//! Selection of the control node that a gateway subscribes to, preferably one in its own zone, and handling of that
//! node's updates.

use crate::backoff::Backoffs;
use crate::control_nodes::ControlNodes;
use crate::freshness::Freshness;
use crate::view::{View, ViewChange};
use crate::{Time, MS};
use change_log::{ChangesOutcome, SubscriberPosition};
use control_state::{ConfigurationChunk, ConfigurationReceiver, ReceiveOutcome};
use messages::{GatewayMessage, GatewayUpdate, Greeting, MESSAGE_FORMAT};
use quota::LeaseGrant;
use std::net::IpAddr;

/// A control node sends a message every 200 ms. The gateway disconnects from one that is silent for this long.
pub const SILENCE_TIMEOUT: Time = 700 * MS;
/// A control node does not count as silent while bytes of a long message arrive, up to this time.
pub const MAX_MESSAGE_TIME: Time = 10_000 * MS;
/// The gateway disconnects from a control node whose last proven contact with a majority is older than this, in
/// milliseconds.
const MAX_CONTACT_AGE_MS: u32 = 1000;
/// Probe interval of the other nodes while the followed node has no quorum.
pub const PROBE_INTERVAL: Time = 1000 * MS;
/// Initial back-off of a node whose connection was lost, or that had no quorum. It is not tried earlier while there
/// are other nodes.
const LOST_BACKOFF: Time = 600 * MS;
/// Initial back-off of a node that refused the connection. It is short because the node may be just starting.
const REFUSED_BACKOFF: Time = 60 * MS;
/// Initial back-off of a node to which the connection timed out.
const TIMEOUT_BACKOFF: Time = 700 * MS;
/// Time for which a relay is followed before a direct connection to a control node is tried again.
const RELAY_PERIOD: Time = 2000 * MS;
/// Number of consecutive connection time-outs after which this gateway is taken to be isolated.
const ISOLATION_THRESHOLD: u32 = 2;
/// Interval of checks for expired doubtful backends and for missing gateways.
const SWEEP_INTERVAL: Time = 1000 * MS;

/// The identity of a gateway.
#[derive(Clone, Debug)]
pub struct SubscriptionConfig {
    /// Name of the gateway.
    pub name: String,
    /// Zone of the gateway.
    pub zone: String,
    /// Address of the gateway.
    pub ip: IpAddr,
}

/// The reason why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The connection broke, or the node fell silent.
    Lost,
    /// The node has lost contact with the majority.
    NoQuorum,
    /// Another node is in the gateway's own zone.
    NearerNode,
    /// The connection was refused.
    Refused,
    /// The connection timed out.
    TimedOut,
}

/// An action that results from an update, to be executed in order.
#[derive(Debug)]
pub enum Effect {
    /// Apply changes of the view.
    Changed(Vec<ViewChange>),
    /// Handle a grant of the quota coordinator.
    LeaseGrant(LeaseGrant),
    /// Send a message to the control node.
    Send(GatewayMessage),
    /// Close the connection.
    Disconnect(DisconnectReason),
}

/// The control node to connect to next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextNode {
    /// Address of the node.
    pub ip: IpAddr,
    /// Whether all nodes are in back-off, so that the one whose last failure is the oldest was selected.
    pub is_backed_off: bool,
    /// Whether control nodes tell of it at present. If not, the settings may name others meanwhile.
    pub is_told: bool,
}

/// The current connection.
#[derive(Debug)]
struct Connection {
    ip: IpAddr,
    /// Whether the connection is not relayed by another gateway.
    is_direct: bool,
    started: Time,
    receiver: ConfigurationReceiver,
    next_sweep: Time,
    /// Whether the node has lost contact with the majority, according to its latest heartbeat.
    has_no_quorum: bool,
}

/// A gateway's subscription to a control node.
#[derive(Debug)]
pub struct Subscription {
    config: SubscriptionConfig,
    view: View,
    freshness: Freshness,
    control_nodes: ControlNodes,
    backoffs: Backoffs,
    position: SubscriberPosition,
    /// The missing gateways that were last reported.
    missing: Vec<String>,
    consecutive_timeouts: u32,
    connection: Option<Connection>,
}

impl Subscription {
    /// Creates a subscription without a connection.
    pub fn new(config: SubscriptionConfig) -> Self {
        Subscription {
            config,
            view: View::default(),
            freshness: Freshness::default(),
            control_nodes: ControlNodes::default(),
            backoffs: Backoffs::default(),
            position: SubscriberPosition::default(),
            missing: Vec::new(),
            consecutive_timeouts: 0,
            connection: None,
        }
    }

    /// Returns the gateway's view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the freshness of the view.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Updates the view by an observation of the gateway itself.
    pub fn observe(&mut self, act: impl FnOnce(&mut View) -> Vec<ViewChange>) -> Vec<ViewChange> {
        act(&mut self.view)
    }

    /// Selects the node to connect to next, among the seeds and all known nodes: a random one of those that are
    /// preferred. `draw` returns a random number below its argument.
    pub fn next_node(
        &mut self,
        now: Time,
        seeds: &[IpAddr],
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<NextNode> {
        self.control_nodes.set_seeds(seeds);
        let all = self.control_nodes.all();
        self.backoffs.retain(&all);
        let available: Vec<IpAddr> =
            all.iter().copied().filter(|ip| !self.backoffs.is_backed_off(ip, now)).collect();
        let candidates = self.preferred(&available);
        if !candidates.is_empty() {
            let ip = candidates[draw(candidates.len())];
            let is_told = self.control_nodes.is_current(&ip);
            return Some(NextNode { ip, is_backed_off: false, is_told });
        }
        let oldest_failure = all.into_iter().min_by_key(|ip| self.backoffs.since(ip));
        oldest_failure.map(|ip| NextNode { ip, is_backed_off: true, is_told: false })
    }

    /// Returns the nodes that are tried before the others: by how they are known, then those of the gateway's own zone,
    /// then those whose latest attempt did not time out. A node for which another is left ([`Self::reason_to_leave`])
    /// comes first, or the gateway would go back and forth.
    fn preferred(&self, nodes: &[IpAddr]) -> Vec<IpAddr> {
        let rank = |ip: &IpAddr| {
            (self.control_nodes.standing(ip), !self.is_near(ip), self.backoffs.timed_out_last(ip))
        };
        let best = nodes.iter().map(rank).min();
        nodes.iter().copied().filter(|ip| Some(rank(ip)) == best).collect()
    }

    fn is_near(&self, ip: &IpAddr) -> bool {
        *ip == self.config.ip || self.control_nodes.zone(ip) == Some(self.config.zone.as_str())
    }

    /// Handles a new connection to a node, direct or relayed by another gateway. Returns the first message to send on
    /// it.
    pub fn on_connected(&mut self, now: Time, ip: IpAddr, is_direct: bool) -> Greeting {
        self.missing.clear();
        self.view.on_connected(now);
        if self.view.has_unproven_gateways() {
            // This node's proofs do not cover what another node sent, so it has to send a full snapshot.
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

    /// Returns the log index of the configuration that is held; 0: none.
    pub fn configuration_index(&self) -> u64 {
        self.view.configuration().map_or(0, |current| current.index)
    }

    /// Handles the end of a direct connection, or of an attempt to connect, that was started at `started`. Returns
    /// whether this gateway appears to be isolated from the control nodes and has to connect through other gateways.
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
        self.consecutive_timeouts = if timed_out { self.consecutive_timeouts + 1 } else { 0 };
        if reason == DisconnectReason::Lost {
            self.backoffs.allow_retries();
        }
        self.backoffs.on_failure(now, ip, started, delay, timed_out);
        self.consecutive_timeouts >= ISOLATION_THRESHOLD
    }

    /// Returns the nodes to probe for contact with a majority. Back-off limits the load on nodes, but if the followed
    /// node has no quorum, a node that has regained one must be found soon, however often it failed before.
    pub fn nodes_to_probe(&self, now: Time) -> Vec<IpAddr> {
        match &self.connection {
            Some(Connection { ip, has_no_quorum: true, .. }) => {
                self.backoffs.backed_off(now).filter(|other| other != ip).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Handles the result of a probe: the time since the node was in contact with a majority, in milliseconds. The
    /// back-off of a node that has a quorum ends at once.
    pub fn on_probed(&mut self, now: Time, ip: IpAddr, quorum_contact_ms: u64) {
        if quorum_contact_ms <= u64::from(MAX_CONTACT_AGE_MS) {
            self.backoffs.end(now, &ip);
        }
    }

    /// Handles an update of the control node. `missing` returns the gateways that this one considers failed.
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
            self.report_missing(missing(), &mut effects);
        }
        effects
    }

    /// Applies an update.
    ///
    /// # Errors
    /// The reason to disconnect.
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
                        // The next connection starts without an offset.
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
                let has_quorum = quorum_contact_ms <= MAX_CONTACT_AGE_MS;
                self.control_nodes.on_list(now, control_nodes, has_quorum);
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

    /// Applies changes of the view that the followed control node has now proven to be current.
    fn on_proof(&mut self, now: Time) -> Vec<ViewChange> {
        let connected_at = self.connection.as_ref().map(|connection| connection.started);
        let proven_at = self.freshness.last_quorum_contact();
        match connected_at.zip(proven_at) {
            // A proof from before this connection came from another node.
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
        let current = self.view.configuration().cloned();
        let answer = match connection.receiver.receive(current.as_deref(), chunk) {
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

    /// Reports the missing gateways if the list has changed.
    fn report_missing(&mut self, missing: Vec<String>, effects: &mut Vec<Effect>) {
        if missing != self.missing {
            self.missing.clone_from(&missing);
            effects.push(Effect::Send(GatewayMessage::MissingGateways { missing }));
        }
    }

    /// Returns the reason to disconnect from the control node, given the time since its last contact with a majority.
    fn reason_to_leave(&mut self, now: Time, quorum_contact_ms: u32) -> Option<DisconnectReason> {
        let Connection { ip, is_direct, started, ref receiver, .. } = *self.connection.as_ref()?;
        let is_receiving = receiver.is_receiving();
        let has_no_quorum = quorum_contact_ms > MAX_CONTACT_AGE_MS;
        if let Some(connection) = &mut self.connection {
            connection.has_no_quorum = has_no_quorum;
        }
        if has_no_quorum && self.configuration_index() == 0 && is_receiving {
            // After the loss of all control nodes, the last configuration in force is better than none until some
            // node can prove a newer one.
            return None;
        }
        if has_no_quorum {
            self.backoffs.retry_timed_out(now, started);
        }
        let all = self.control_nodes.all();
        let mut others = all.iter().filter(|other| **other != ip && !self.backoffs.is_backed_off(other, now));
        if has_no_quorum {
            // If no node has a majority, all nodes are equally good.
            return others.next().map(|_| DisconnectReason::NoQuorum);
        }
        let may_leave_relay = is_direct || now.saturating_sub(started) >= RELAY_PERIOD;
        // The transfer of a configuration would have to restart on another connection.
        let may_leave = may_leave_relay && !is_receiving;
        let is_nearer = |other: &IpAddr| self.is_near(other) && self.control_nodes.is_current(other);
        let has_nearer = may_leave && !self.is_near(&ip) && others.any(is_nearer);
        has_nearer.then_some(DisconnectReason::NearerNode)
    }
}
