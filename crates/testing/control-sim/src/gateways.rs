//! Gateways that follow prompters: the program's own [`subscription::Follow`], with simulated links.

use crate::machine::address;
use crate::Time;
use std::net::{IpAddr, Ipv4Addr};
use subscription::{Subscription, SubscriptionConfig};

/// A link to a prompter.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Tells this gateway's tries apart.
    pub number: u64,
    /// The machine, in that life of its, and the prompter's number of the link.
    pub at: usize,
    pub life: u64,
    pub theirs: u64,
}

pub struct Gateway {
    pub name: String,
    setup: SubscriptionConfig,
    pub follow: Subscription,
    pub link: Option<Link>,
    /// Tries so far.
    pub number: u64,
    /// When the latest began, and whom it is to.
    pub began: Time,
    pub heard: Time,
    /// It reaches no prompter until then.
    pub cut_until: Time,
    /// It stands still until then.
    pub asleep: Time,
    /// Bytes a second of its link; none: as fast as they come.
    pub rate: Option<f64>,
    /// When what is on its way to it will have come.
    pub busy: Time,
    pub seeds: Vec<IpAddr>,
}

impl Gateway {
    pub fn new(g: usize, zone: &str, seeds: &[usize]) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, g as u8 + 1));
        let name = format!("g{g}");
        let setup = SubscriptionConfig { name: name.clone(), zone: zone.into(), ip };
        let mut gateway = Gateway {
            name,
            follow: Subscription::new(setup.clone()),
            setup,
            link: None,
            number: 0,
            began: 0,
            heard: 0,
            cut_until: 0,
            asleep: 0,
            rate: None,
            busy: 0,
            seeds: Vec::new(),
        };
        gateway.tell_seeds(seeds);
        gateway
    }

    /// Three of these at the most.
    pub fn tell_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.iter().take(3).filter_map(|n| address(*n).parse().ok()).collect();
    }

    /// Another process of the same name. What was meant for the one before is nobody's.
    pub fn begin_anew(&mut self) {
        self.follow = Subscription::new(self.setup.clone());
        self.link = None;
        self.number += 1;
        self.busy = 0;
    }

    /// When it hears something of so many bytes that is sent now, behind what is on its way.
    pub fn arrives(&mut self, now: Time, bytes: usize, delay: Time) -> Time {
        let takes = self.rate.map_or(0.0, |rate| bytes as f64 / rate * 1e9) as Time;
        self.busy = self.busy.max(now) + takes;
        self.busy = self.busy.max(now + delay);
        self.busy
    }
}

/// What is sent to it, in bytes, roughly.
pub fn bytes(down: &messages::GatewayUpdate) -> usize {
    use messages::GatewayUpdate;
    match down {
        GatewayUpdate::ConfigurationChunk(part) => 60 + part.bytes.len(),
        GatewayUpdate::Snapshot { snapshot: scene, .. } => {
            60 + 120 * scene.backends.len() + 20 * scene.draining.len()
        }
        GatewayUpdate::Changes { changes, .. } => 40 + 100 * changes.len(),
        GatewayUpdate::Heartbeat { control_nodes: prompters, .. } => 20 + 24 * prompters.len(),
        GatewayUpdate::LeaseGrant(_) => 200,
    }
}
