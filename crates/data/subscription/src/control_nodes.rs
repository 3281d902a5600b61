//! The control nodes that a gateway knows: the seeds of its settings, and those that control nodes told it of.
//!
//! Control nodes tell of the nodes that they hear. A node that they tell no more is the last to be tried, and is
//! forgotten after a while. Only time in which lists arrive counts, and for forgetting only that in which the followed
//! node had a majority: one without hears few.

use crate::{Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Maximum number of nodes in the table, without seeds.
const MAX_TOLD_NODES: usize = 128;
/// Time after it was last told in which a node counts as current.
const CURRENT_WITHIN: Time = 500 * MS;
/// Time after it was last told after which a node is forgotten.
const FORGET_AFTER: Time = 60_000 * MS;
/// Maximum time between two lists that counts as time in which a control node was followed.
const MAX_LIST_INTERVAL: Time = 1_000 * MS;

/// How a node is known, in the order in which nodes are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// Control nodes tell of it at present.
    Current,
    /// The settings name it.
    Seed,
    /// Control nodes told of it formerly.
    Former,
}

#[derive(Clone, Debug, Default)]
struct ToldNode {
    /// Empty while unknown.
    zone: String,
    /// Connected time at which it was last told.
    told_at: Time,
    /// The same in time with a majority.
    told_at_with_quorum: Time,
}

/// The control nodes that a gateway knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlNodes {
    seeds: BTreeSet<IpAddr>,
    told: BTreeMap<IpAddr, ToldNode>,
    /// When the latest list arrived.
    last_list: Time,
    /// Sum of the times in which lists arrived.
    connected: Time,
    /// Sum of those in which they came from a node with a majority.
    connected_with_quorum: Time,
}

impl ControlNodes {
    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[IpAddr]) {
        self.seeds = seeds.iter().copied().collect();
    }

    /// Handles a control node's list of nodes, by name and zone.
    pub fn on_list(&mut self, now: Time, list: Vec<(String, String)>, has_quorum: bool) {
        let elapsed = now.saturating_sub(self.last_list).min(MAX_LIST_INTERVAL);
        self.last_list = now;
        self.connected += elapsed;
        if has_quorum {
            self.connected_with_quorum += elapsed;
        }
        for (name, zone) in list {
            let Ok(ip) = name.parse::<IpAddr>() else { continue };
            let node = self.told.entry(ip).or_default();
            node.told_at = self.connected;
            node.told_at_with_quorum = self.connected_with_quorum;
            if !zone.is_empty() {
                node.zone = zone;
            }
        }
        let now = self.connected_with_quorum;
        self.told.retain(|_, node| now < node.told_at_with_quorum + FORGET_AFTER);
        self.limit();
    }

    /// Removes the nodes that were told least recently from a table that is too large.
    fn limit(&mut self) {
        while self.told.len() > MAX_TOLD_NODES {
            let Some(oldest) = self.told.iter().min_by_key(|(_, node)| node.told_at).map(|(ip, _)| *ip)
            else {
                return;
            };
            self.told.remove(&oldest);
        }
    }

    /// Returns all nodes, in order.
    pub fn all(&self) -> BTreeSet<IpAddr> {
        self.told.keys().chain(&self.seeds).copied().collect()
    }

    /// Returns whether control nodes tell of this node at present.
    pub fn is_current(&self, ip: &IpAddr) -> bool {
        self.told.get(ip).is_some_and(|node| self.connected < node.told_at + CURRENT_WITHIN)
    }

    /// Returns how a node is known.
    pub fn standing(&self, ip: &IpAddr) -> Standing {
        if self.is_current(ip) {
            Standing::Current
        } else if self.seeds.contains(ip) {
            Standing::Seed
        } else {
            Standing::Former
        }
    }

    /// Returns the zone of a node, if it is known.
    pub fn zone(&self, ip: &IpAddr) -> Option<&str> {
        self.told.get(ip).map(|node| node.zone.as_str()).filter(|zone| !zone.is_empty())
    }
}
