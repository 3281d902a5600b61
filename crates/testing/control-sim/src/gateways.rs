//! Gateways that follow control nodes: the program's own [`subscription::Follow`], with simulated links.

use crate::machine::address;
use crate::Time;
use std::net::{IpAddr, Ipv4Addr};
use subscription::{Subscription, SubscriptionConfig};

/// A link to a control node.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Tells this gateway's tries apart.
    pub number: u64,
    /// The machine, in that life of its, and the control node's number of the link.
    pub machine: usize,
    pub machine_start: u64,
    pub remote_number: u64,
}

pub struct Gateway {
    pub name: String,
    setup: SubscriptionConfig,
    pub subscription: Subscription,
    pub link: Option<Link>,
    /// Tries so far.
    pub number: u64,
    /// When the latest began, and whom it is to.
    pub attempt_started_at: Time,
    pub last_heard_at: Time,
    /// It reaches no control node until then.
    pub isolated_until: Time,
    /// It stands still until then.
    pub suspended_until: Time,
    /// Bytes a second of its link; none: as fast as they come.
    pub rate: Option<f64>,
    /// When what is on its way to it will have come.
    pub link_busy_until: Time,
    pub seeds: Vec<IpAddr>,
}

impl Gateway {
    pub fn new(g: usize, zone: &str, seeds: &[usize]) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, g as u8 + 1));
        let name = format!("g{g}");
        let setup = SubscriptionConfig { name: name.clone(), zone: zone.into(), ip };
        let mut gateway = Gateway {
            name,
            subscription: Subscription::new(setup.clone()),
            setup,
            link: None,
            number: 0,
            attempt_started_at: 0,
            last_heard_at: 0,
            isolated_until: 0,
            suspended_until: 0,
            rate: None,
            link_busy_until: 0,
            seeds: Vec::new(),
        };
        gateway.set_seeds(seeds);
        gateway
    }

    /// Three of these at the most.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.iter().take(3).filter_map(|n| address(*n).parse().ok()).collect();
    }

    /// Another process of the same name. What was meant for the one before is nobody's.
    pub fn restart(&mut self) {
        self.subscription = Subscription::new(self.setup.clone());
        self.link = None;
        self.number += 1;
        self.link_busy_until = 0;
    }

    /// When it hears something of so many bytes that is sent now, behind what is on its way.
    pub fn arrives(&mut self, now: Time, bytes: usize, delay: Time) -> Time {
        let takes = self.rate.map_or(0.0, |rate| bytes as f64 / rate * 1e9) as Time;
        self.link_busy_until = self.link_busy_until.max(now) + takes;
        self.link_busy_until = self.link_busy_until.max(now + delay);
        self.link_busy_until
    }
}

/// What is sent to it, in bytes, roughly.
pub fn bytes(down: &messages::GatewayUpdate) -> usize {
    use messages::GatewayUpdate;
    match down {
        GatewayUpdate::ConfigurationChunk(part) => 60 + part.bytes.len(),
        GatewayUpdate::Snapshot { snapshot, .. } => {
            60 + 120 * snapshot.backends.len() + 20 * snapshot.draining.len()
        }
        GatewayUpdate::Changes { changes, .. } => 40 + 100 * changes.len(),
        GatewayUpdate::Heartbeat { control_nodes, .. } => 20 + 24 * control_nodes.len(),
        GatewayUpdate::LeaseGrant(_) => 200,
    }
}
