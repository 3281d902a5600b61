//! The connection to a control node. [`subscription::Subscription`] selects the node and handles its updates.

use crate::gateway::Gateway;
use crate::membership::Membership;
use messages::frame;
use messages::{GatewayMessage, GatewayUpdate, Greeting, Query, QueryResponse, MESSAGE_FORMAT};
use process::settings::{settings_path, Settings};
use sockets::connect;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use subscription::{DisconnectReason, Effect, MAX_MESSAGE_TIME, PROBE_INTERVAL, SILENCE_TIMEOUT};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, timeout_at, Instant, MissedTickBehavior};

/// Time limit for a control node's response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Capacity of the queue of outgoing messages.
const QUEUE_LENGTH: usize = 32;
/// Maximum number of gateways tried in turn as relays.
const MAX_RELAYS_TRIED: usize = 4;

/// Keeps this gateway connected to a control node.
pub struct ControlLink {
    gateway: Rc<Gateway>,
    settings: Settings,
    membership: Option<Rc<Membership>>,
}

impl ControlLink {
    /// Creates the link. `membership` supplies the gateways that may act as relays.
    pub fn new(gateway: Rc<Gateway>, settings: Settings, membership: Option<Rc<Membership>>) -> Self {
        ControlLink { gateway, settings, membership }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let seeds = self.settings.seed_addresses();
            let next_node = self.gateway.with_subscription(|subscription, now| {
                subscription.next_node(now, &seeds, |count| fastrand::usize(..count))
            });
            let Some(next_node) = next_node else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            if !next_node.is_told {
                // The settings file may have changed without a signal.
                if let Ok(settings) = Settings::load(&settings_path()) {
                    self.settings = settings;
                }
            }
            if next_node.is_backed_off {
                sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64())).await;
            }
            let started = self.gateway.quota.now();
            let address = SocketAddr::new(next_node.ip, self.settings.control_port());
            let reason = self.follow(next_node.ip, address).await;
            let is_isolated = self.gateway.with_subscription(|subscription, now| {
                subscription.on_disconnected(now, next_node.ip, started, reason)
            });
            if is_isolated {
                self.follow_through_relays().await;
            }
        }
    }

    /// Connects through gateways that are not isolated, each of which relays to its own control node.
    async fn follow_through_relays(&mut self) {
        let Some(port) = self.settings.relay_port() else { return };
        let peers = self.membership.as_ref().map(|membership| membership.live_peers());
        for ip in peers.unwrap_or_default().into_iter().take(MAX_RELAYS_TRIED) {
            if self.follow(ip, SocketAddr::new(ip, port)).await == DisconnectReason::NearerNode {
                return;
            }
        }
    }

    /// Follows a control node, directly at this address or through a relay at it, until the connection ends.
    async fn follow(&mut self, ip: IpAddr, address: SocketAddr) -> DisconnectReason {
        let result = self.run_link(ip, address).await;
        self.gateway.on_disconnected();
        match result {
            Ok(reason) => reason,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => DisconnectReason::Refused,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => DisconnectReason::TimedOut,
            Err(_) => DisconnectReason::Lost,
        }
    }

    async fn run_link(&mut self, ip: IpAddr, address: SocketAddr) -> io::Result<DisconnectReason> {
        let is_direct = address.port() == self.settings.control_port();
        let (mut reader, mut writer) = frame::split(connect(address).await?);
        reader.accept_long_frames();
        let greeting =
            self.gateway.with_subscription(|subscription, now| subscription.on_connected(now, ip, is_direct));
        writer.write(&greeting).await?;
        let (uplink, mut outgoing) = mpsc::channel::<GatewayMessage>(QUEUE_LENGTH);
        self.gateway.on_connected(uplink, is_direct.then_some(ip));
        log::info!("subscription: following {ip}");
        let silence_timeout = Duration::from_nanos(SILENCE_TIMEOUT);
        let max_message_time = Duration::from_nanos(MAX_MESSAGE_TIME);
        let mut last_message = Instant::now();
        let mut probe_timer = interval(Duration::from_nanos(PROBE_INTERVAL));
        probe_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let deadline = reader.last_activity().max(last_message) + silence_timeout;
            let update = tokio::select! {
                update = timeout_at(deadline, reader.read::<GatewayUpdate>()) => update,
                message = outgoing.recv() => {
                    if let Some(message) = message {
                        writer.write(&message).await?;
                    }
                    continue;
                }
                _ = probe_timer.tick() => {
                    self.probe_nodes();
                    continue;
                }
            };
            let now = Instant::now();
            let Ok(update) = update else {
                // A control node is not silent while a long message arrives over a slow link.
                let is_arriving = now < reader.last_activity() + silence_timeout;
                if is_arriving && now < last_message + max_message_time {
                    continue;
                }
                return Ok(DisconnectReason::Lost);
            };
            let Some(update) = update? else { return Ok(DisconnectReason::Lost) };
            last_message = now;
            for effect in self.on_update(update) {
                match effect {
                    Effect::Changed(changes) => self.gateway.apply_changes(changes),
                    Effect::LeaseGrant(grant) => self.gateway.quota.on_grant(&grant),
                    Effect::Send(message) => writer.write(&message).await?,
                    Effect::Disconnect(reason) => return Ok(reason),
                }
            }
        }
    }

    /// Probes all nodes in back-off concurrently for whether they have a quorum.
    fn probe_nodes(&self) {
        let nodes = self.gateway.with_subscription(|subscription, now| subscription.nodes_to_probe(now));
        for ip in nodes {
            let gateway = self.gateway.clone();
            let address = SocketAddr::new(ip, self.settings.control_port());
            spawn_local(async move {
                if let Ok(Ok(Some(age_ms))) = timeout(PROBE_TIMEOUT, query_quorum_contact(address)).await {
                    gateway.with_subscription(|subscription, now| subscription.on_probed(now, ip, age_ms));
                }
            });
        }
    }

    fn on_update(&self, update: GatewayUpdate) -> Vec<Effect> {
        let missing =
            || self.membership.as_ref().map(|membership| membership.missing_members()).unwrap_or_default();
        self.gateway.with_subscription(|subscription, now| subscription.on_update(now, update, missing))
    }
}

/// Queries the time since a control node was in contact with a majority, in milliseconds; `None` if there was no
/// contact since it started.
async fn query_quorum_contact(address: SocketAddr) -> io::Result<Option<u64>> {
    let (mut reader, mut writer) = frame::split(connect(address).await?);
    writer.write(&Greeting::QueryClient { format: MESSAGE_FORMAT }).await?;
    writer.write(&Query::Status).await?;
    let response = reader.read::<QueryResponse>().await?;
    Ok(response.and_then(|response| response.quorum_contact_ms))
}
