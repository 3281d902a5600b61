//! The link to a prompter: [`subscription::Follow`] says which, and what to make of what it tells.

use crate::company::Membership;
use crate::playing::Gateway;
use messages::frame;
use messages::message::{GatewayMessage, GatewayUpdate};
use process::net::connect;
use process::settings::{self, Settings};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use subscription::{DisconnectReason, Effect, MAX_MESSAGE_TIME, SILENCE_TIMEOUT};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};

const RETRY_PAUSE: Duration = Duration::from_millis(40);
const QUEUE_LENGTH: usize = 32;
/// Gateways that are tried in turn.
const MAX_RELAYS_TRIED: usize = 4;

pub struct ControlLink {
    gateway: Rc<Gateway>,
    settings: Settings,
    /// Gateways that know each other.
    membership: Option<Rc<Membership>>,
}

impl ControlLink {
    pub fn new(gateway: Rc<Gateway>, settings: Settings, membership: Option<Rc<Membership>>) -> Self {
        ControlLink { gateway, settings, membership }
    }

    pub async fn run(mut self) {
        loop {
            let seeds = self.settings.seed_addresses();
            let (ip, open) = match self
                .gateway
                .with_subscription(|f, now| f.next_node(now, &seeds, |n| fastrand::usize(..n)))
            {
                Some(found) => found,
                None => {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            if !open {
                // The file may have changed without a word.
                if let Ok(new) = Settings::load(&settings::settings_path()) {
                    self.settings = new;
                }
                sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64())).await;
            }
            let began = self.gateway.quota.now();
            let port = self.settings.control_port();
            let end = self.follow(ip, SocketAddr::new(ip, port)).await;
            if self.gateway.with_subscription(|f, now| f.on_disconnected(now, ip, began, end)) {
                self.follow_through_relays().await;
            }
        }
    }

    /// Cut off from prompters: a gateway that is not lets this one through to its own.
    async fn follow_through_relays(&mut self) {
        let Some(port) = self.settings.relay_port() else { return };
        let others = self.membership.as_ref().map(|c| c.live_peers()).unwrap_or_default();
        for ip in others.into_iter().take(MAX_RELAYS_TRIED) {
            if self.follow(ip, SocketAddr::new(ip, port)).await == DisconnectReason::NearerNode {
                return;
            }
        }
    }

    /// Follows a prompter, at this address or through it, until the link ends.
    async fn follow(&mut self, ip: IpAddr, address: SocketAddr) -> DisconnectReason {
        let end = self.run_link(ip, address).await;
        self.gateway.on_disconnected();
        match end {
            Ok(end) => end,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => DisconnectReason::Refused,
            Err(e) if e.kind() == io::ErrorKind::TimedOut => DisconnectReason::TimedOut,
            Err(_) => DisconnectReason::Lost,
        }
    }

    async fn run_link(&mut self, ip: IpAddr, address: SocketAddr) -> io::Result<DisconnectReason> {
        let direct = address.port() == self.settings.control_port();
        let (mut reader, mut writer) = frame::split(connect(address).await?);
        reader.accept_long_frames();
        let first = self.gateway.with_subscription(|f, now| f.on_connected(now, ip, direct));
        writer.write(&first).await?;
        let (sender, mut asks) = mpsc::channel::<GatewayMessage>(QUEUE_LENGTH);
        self.gateway.on_connected(sender, direct.then_some(ip));
        log::info!("following {ip}");
        let (silent, long_word) =
            (Duration::from_nanos(SILENCE_TIMEOUT), Duration::from_nanos(MAX_MESSAGE_TIME));
        let mut word = Instant::now();
        loop {
            let message = tokio::select! {
                message = timeout_at(reader.last_activity().max(word) + silent, reader.read::<GatewayUpdate>()) => message,
                ask = asks.recv() => {
                    if let Some(ask) = ask {
                        writer.write(&ask).await?;
                    }
                    continue;
                }
            };
            let now = Instant::now();
            let Ok(message) = message else {
                if now < reader.last_activity() + silent && now < word + long_word {
                    continue;
                }
                return Ok(DisconnectReason::Lost);
            };
            let Some(message) = message? else { return Ok(DisconnectReason::Lost) };
            word = now;
            let missing = || self.membership.as_ref().map(|c| c.missing_members()).unwrap_or_default();
            for effect in self.gateway.with_subscription(|f, now| f.on_update(now, message, missing)) {
                match effect {
                    Effect::Changed(news) => self.gateway.apply_changes(news),
                    Effect::LeaseGrant(lent) => self.gateway.quota.on_grant(&lent),
                    Effect::Send(up) => writer.write(&up).await?,
                    Effect::Disconnect(end) => return Ok(end),
                }
            }
        }
    }
}
