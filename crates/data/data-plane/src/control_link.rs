//! The connection to a control node: [`subscription::Subscription`] says to which, and what to make of its updates.

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

/// How long a control node may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Messages that wait for the connection.
const QUEUE_LENGTH: usize = 32;
/// Gateways that are tried in turn as relays.
const MAX_RELAYS_TRIED: usize = 4;

/// Keeps this gateway connected to a control node.
pub struct ControlLink {
    gateway: Rc<Gateway>,
    settings: Settings,
    membership: Option<Rc<Membership>>,
}

impl ControlLink {
    /// `membership`: the gateways that may relay.
    pub fn new(gateway: Rc<Gateway>, settings: Settings, membership: Option<Rc<Membership>>) -> Self {
        ControlLink { gateway, settings, membership }
    }

    /// Runs for as long as the process lives.
    pub async fn run(mut self) {
        loop {
            let seeds = self.settings.seed_addresses();
            let next = self.gateway.with_subscription(|subscription, now| {
                subscription.next_node(now, &seeds, |count| fastrand::usize(..count))
            });
            let Some(next) = next else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            if next.is_backed_off {
                // The settings file may have changed without a signal.
                if let Ok(settings) = Settings::load(&settings_path()) {
                    self.settings = settings;
                }
                sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64())).await;
            }
            let started = self.gateway.quota.now();
            let address = SocketAddr::new(next.ip, self.settings.control_port());
            let reason = self.follow(next.ip, address).await;
            let is_cut_off = self.gateway.with_subscription(|subscription, now| {
                subscription.on_disconnected(now, next.ip, started, reason)
            });
            if is_cut_off {
                self.follow_through_relays().await;
            }
        }
    }

    /// Cut off from control nodes: a gateway that is not relays to its own.
    async fn follow_through_relays(&mut self) {
        let Some(port) = self.settings.relay_port() else { return };
        let peers = self.membership.as_ref().map(|membership| membership.live_peers());
        for ip in peers.unwrap_or_default().into_iter().take(MAX_RELAYS_TRIED) {
            if self.follow(ip, SocketAddr::new(ip, port)).await == DisconnectReason::NearerNode {
                return;
            }
        }
    }

    /// Follows a control node, at this address or through it, until the connection ends.
    async fn follow(&mut self, ip: IpAddr, address: SocketAddr) -> DisconnectReason {
        let ended = self.run_link(ip, address).await;
        self.gateway.on_disconnected();
        match ended {
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
        let mut probes = interval(Duration::from_nanos(PROBE_INTERVAL));
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                _ = probes.tick() => {
                    self.probe_nodes();
                    continue;
                }
            };
            let now = Instant::now();
            let Ok(update) = update else {
                // While a long message arrives on a slow link, the control node is not silent.
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

    /// Asks the nodes that were tried in vain, all at once, whether they have a quorum.
    fn probe_nodes(&self) {
        let nodes = self.gateway.with_subscription(|subscription, now| subscription.nodes_to_probe(now));
        for ip in nodes {
            let gateway = self.gateway.clone();
            let address = SocketAddr::new(ip, self.settings.control_port());
            spawn_local(async move {
                if let Ok(Ok(Some(age_ms))) = timeout(PROBE_TIMEOUT, ask_quorum_contact(address)).await {
                    gateway.with_subscription(|subscription, now| subscription.on_probed(now, ip, age_ms));
                }
            });
        }
    }

    fn on_update(&self, update: GatewayUpdate) -> Vec<Effect> {
        let missing = || self.membership.as_ref().map(|m| m.missing_members()).unwrap_or_default();
        self.gateway.with_subscription(|subscription, now| subscription.on_update(now, update, missing))
    }
}

/// How long ago a control node was in contact with a majority, in milliseconds; none: not since it started.
async fn ask_quorum_contact(address: SocketAddr) -> io::Result<Option<u64>> {
    let (mut reader, mut writer) = frame::split(connect(address).await?);
    writer.write(&Greeting::QueryClient { format: MESSAGE_FORMAT }).await?;
    writer.write(&Query::Status).await?;
    let response = reader.read::<QueryResponse>().await?;
    Ok(response.and_then(|response| response.quorum_contact_ms))
}
