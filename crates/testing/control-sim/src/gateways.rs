//! Gateways that subscribe to control nodes: the program's own [`subscription::Subscription`], with simulated links.

use crate::machine::address;
use crate::Time;
use std::net::{IpAddr, Ipv4Addr};
use subscription::{Subscription, SubscriptionConfig};

/// A link to a control node.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Identifies the gateway's connection attempt.
    pub number: u64,
    /// The machine, its start count, and the control node's number of the link.
    pub machine: usize,
    pub machine_start: u64,
    pub remote_number: u64,
}

/// A gateway's subscription and its simulated link.
pub struct Gateway {
    pub name: String,
    config: SubscriptionConfig,
    pub subscription: Subscription,
    pub link: Option<Link>,
    /// Counter that identifies connection attempts.
    pub number: u64,
    /// When the latest attempt began.
    pub attempt_started_at: Time,
    pub last_heard_at: Time,
    /// Until when it reaches no control node.
    pub isolated_until: Time,
    /// Until when its process is suspended.
    pub suspended_until: Time,
    /// Bytes per second of its link, or `None` if unlimited.
    pub bytes_per_s: Option<f64>,
    /// When everything in flight to it will have arrived.
    pub link_busy_until: Time,
    pub seeds: Vec<IpAddr>,
}

impl Gateway {
    pub fn new(g: usize, zone: &str, seeds: &[usize]) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, g as u8 + 1));
        let name = format!("g{g}");
        let config = SubscriptionConfig { name: name.clone(), zone: zone.into(), ip };
        let mut gateway = Gateway {
            name,
            subscription: Subscription::new(config.clone()),
            config,
            link: None,
            number: 0,
            attempt_started_at: 0,
            last_heard_at: 0,
            isolated_until: 0,
            suspended_until: 0,
            bytes_per_s: None,
            link_busy_until: 0,
            seeds: Vec::new(),
        };
        gateway.set_seeds(seeds);
        gateway
    }

    /// Sets its seeds to the first three of these.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.iter().take(3).filter_map(|n| address(*n).parse().ok()).collect();
    }

    /// Restarts the process under the same name. Messages to the previous process are dropped.
    pub fn restart(&mut self) {
        self.subscription = Subscription::new(self.config.clone());
        self.link = None;
        self.number += 1;
        self.link_busy_until = 0;
    }

    /// Returns when an update of this size that is sent now arrives, after everything in flight.
    pub fn arrives(&mut self, now: Time, bytes: usize, delay: Time) -> Time {
        let transfer_time =
            self.bytes_per_s.map_or(0.0, |bytes_per_s| bytes as f64 / bytes_per_s * 1e9) as Time;
        self.link_busy_until = self.link_busy_until.max(now) + transfer_time;
        self.link_busy_until = self.link_busy_until.max(now + delay);
        self.link_busy_until
    }
}

/// Returns the approximate size of an update, in bytes.
pub fn bytes(update: &messages::GatewayUpdate) -> usize {
    use messages::GatewayUpdate;
    match update {
        GatewayUpdate::ConfigurationChunk(chunk) => 60 + chunk.bytes.len(),
        GatewayUpdate::Snapshot { snapshot, .. } => {
            60 + 120 * snapshot.backends.len() + 20 * snapshot.draining.len()
        }
        GatewayUpdate::Changes { changes, .. } => 40 + 100 * changes.len(),
        GatewayUpdate::Heartbeat { control_nodes, .. } => 20 + 24 * control_nodes.len(),
        GatewayUpdate::LeaseGrant(_) => 200,
    }
}
