//! The table of known control nodes: which addresses this node dials, which of them it tells others, and when it
//! forgets one.
//!
//! Apart from the voters, only nodes that this node heard itself are told to others, so that the address of a node that
//! is gone is told no more once nobody hears it. The node's own address, the seeds and the voters are never forgotten.

use crate::{Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Maximum number of known control nodes, without seeds and voters.
const MAX_KNOWN_NODES: usize = 64;
/// Time after its last message in which a node counts as heard: it is told to other control nodes, and keeps its place
/// in a full table.
const HEARD_WITHIN: Time = 5_000 * MS;
/// The same for what gateways are told, which connect to one node after another: three Hellos.
const HEARD_JUST_NOW: Time = 1_500 * MS;
/// Time without a sign of a node after which it is forgotten.
const FORGET_AFTER: Time = 60_000 * MS;
/// Time without a message of any node after which this node counts as cut off. While it is, it forgets nobody.
const CUT_OFF_AFTER: Time = 2_000 * MS;
/// Minimum time between two log lines about a full table.
const FULL_LOG_INTERVAL: Time = 10_000 * MS;

/// What is known of another control node.
#[derive(Clone, Debug, Default)]
struct KnownNode {
    /// Empty while unknown.
    zone: String,
    /// When a message of the node itself last arrived.
    heard_at: Option<Time>,
    /// When the node was last heard here, or told by a node that heard it.
    seen_at: Time,
}

impl KnownNode {
    fn is_heard(&self, now: Time, within: Time) -> bool {
        self.heard_at.is_some_and(|at| now < at + within)
    }
}

/// How a node was learned of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// By a message of the node itself.
    Itself,
    /// By another node that hears it.
    Others,
}

/// The known control nodes, this one included.
#[derive(Clone, Debug)]
pub(crate) struct KnownNodes {
    own_name: String,
    seeds: BTreeSet<String>,
    voters: BTreeSet<String>,
    nodes: BTreeMap<String, KnownNode>,
    /// When a message of any node last arrived.
    last_heard: Option<Time>,
    /// When the log was last told of a full table.
    logged_full_at: Option<Time>,
}

impl KnownNodes {
    /// Creates the table of the node `own_name`, which knows its seeds.
    pub fn new(own_name: &str, own_zone: &str, seeds: &[String], now: Time) -> Self {
        let own = KnownNode { zone: own_zone.into(), heard_at: None, seen_at: now };
        let mut known = KnownNodes {
            own_name: own_name.into(),
            seeds: BTreeSet::new(),
            voters: BTreeSet::new(),
            nodes: [(own_name.to_string(), own)].into(),
            last_heard: None,
            logged_full_at: None,
        };
        known.set_seeds(now, seeds);
        known
    }

    /// Replaces the seeds. The former ones are forgotten like other nodes.
    pub fn set_seeds(&mut self, now: Time, seeds: &[String]) {
        self.seeds = seeds.iter().filter(|name| is_address(name)).cloned().collect();
        self.add_permanent(now, self.seeds.clone());
    }

    /// Replaces the voters. The former ones are forgotten like other nodes.
    pub fn set_voters<'a>(&mut self, now: Time, voters: impl Iterator<Item = &'a String>) {
        self.voters = voters.filter(|name| is_address(name)).cloned().collect();
        self.add_permanent(now, self.voters.clone());
    }

    /// Adds nodes that are never forgotten, whether or not there is room.
    fn add_permanent(&mut self, now: Time, names: BTreeSet<String>) {
        for name in names {
            self.nodes.entry(name).or_default().seen_at = now;
        }
    }

    /// Handles a message of a node itself, and forgets those without a sign for too long. An empty `zone` is unknown.
    pub fn on_heard(&mut self, now: Time, name: &str, zone: &str) {
        let gap = now.saturating_sub(self.last_heard.unwrap_or(now));
        if gap > CUT_OFF_AFTER {
            self.extend_times(gap);
        }
        self.last_heard = Some(now);
        self.learn(now, name, zone, Source::Itself);
        self.forget(now);
    }

    /// Handles the word of another node that it hears this one.
    pub fn on_told(&mut self, now: Time, name: &str, zone: &str) {
        self.learn(now, name, zone, Source::Others);
    }

    /// Adds a node or updates its zone; an empty `zone` leaves a known one unchanged. Ignores names that are not IP
    /// addresses, and new nodes for which there is no room.
    fn learn(&mut self, now: Time, name: &str, zone: &str, source: Source) {
        if !is_address(name) || !self.nodes.contains_key(name) && !self.make_room(now, name, source) {
            return;
        }
        let node = self.nodes.entry(name.to_string()).or_default();
        node.seen_at = now;
        if source == Source::Itself {
            node.heard_at = Some(now);
        }
        if !zone.is_empty() {
            node.zone = zone.to_string();
        }
    }

    /// Returns whether there is room for one more node, after the removal of one that is not heard if necessary.
    fn make_room(&mut self, now: Time, name: &str, source: Source) -> bool {
        let removable = self.nodes.iter().filter(|(other, _)| !self.is_permanent(other));
        if removable.clone().count() < MAX_KNOWN_NODES {
            return true;
        }
        // A node that others tell of does not take the place of another such one, unless that one is told no more.
        let may_go = |node: &KnownNode| match source {
            Source::Itself => !node.is_heard(now, HEARD_WITHIN),
            Source::Others => now >= node.seen_at + HEARD_WITHIN,
        };
        let oldest = removable.filter(|(_, node)| may_go(node)).min_by_key(|(_, node)| node.seen_at);
        if let Some(oldest) = oldest.map(|(other, _)| other.clone()) {
            self.nodes.remove(&oldest);
            return true;
        }
        self.log_full(now, name);
        false
    }

    fn log_full(&mut self, now: Time, name: &str) {
        if self.logged_full_at.is_none_or(|at| now >= at + FULL_LOG_INTERVAL) {
            self.logged_full_at = Some(now);
            log::warn!(
                "control nodes: {MAX_KNOWN_NODES} are known and heard, no room for {name}; it is not dialed"
            );
        }
    }

    /// Forgets the nodes without a sign for too long.
    fn forget(&mut self, now: Time) {
        let is_old = |node: &KnownNode| now >= node.seen_at + FORGET_AFTER;
        let names = self.nodes.iter().filter(|(name, node)| is_old(node) && !self.is_permanent(name));
        let forgotten: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in forgotten {
            log::info!(
                "control nodes: {name} is forgotten, without a sign for {} s",
                FORGET_AFTER / (1000 * MS)
            );
            self.nodes.remove(&name);
        }
    }

    /// Leaves the time in which this node was cut off out of all nodes' silences.
    fn extend_times(&mut self, gap: Time) {
        for node in self.nodes.values_mut() {
            node.seen_at += gap;
            node.heard_at = node.heard_at.map(|at| at + gap);
        }
    }

    fn is_permanent(&self, name: &str) -> bool {
        name == self.own_name || self.seeds.contains(name) || self.voters.contains(name)
    }

    /// Returns the nodes to dial, each with its zone, which is empty while unknown.
    pub fn all(&self) -> impl Iterator<Item = (&String, &String)> {
        self.nodes.iter().map(|(name, node)| (name, &node.zone))
    }

    /// Returns the nodes to tell other control nodes, each with its zone: this one, the voters, and those that it hears,
    /// or heard before it was cut off.
    pub fn told_to_nodes(&self) -> impl Iterator<Item = (&String, &String)> {
        self.told(HEARD_WITHIN)
    }

    /// Returns the nodes to tell gateways in the same way.
    pub fn told_to_gateways(&self) -> impl Iterator<Item = (&String, &String)> {
        self.told(HEARD_JUST_NOW)
    }

    fn told(&self, within: Time) -> impl Iterator<Item = (&String, &String)> {
        let last_heard = self.last_heard.unwrap_or(0);
        let is_told = move |(name, node): &(&String, &KnownNode)| {
            **name == self.own_name || self.voters.contains(*name) || node.is_heard(last_heard, within)
        };
        self.nodes.iter().filter(is_told).map(|(name, node)| (name, &node.zone))
    }

    /// Returns when a message of any node last arrived.
    pub fn last_heard(&self) -> Option<Time> {
        self.last_heard
    }

    /// Keeps every node in the table, and tells of it, as if it were heard: a defect for the simulation.
    #[cfg(feature = "simulation")]
    pub fn hear_all(&mut self, now: Time) {
        for node in self.nodes.values_mut() {
            (node.heard_at, node.seen_at) = (Some(now), now);
        }
    }
}

fn is_address(name: &str) -> bool {
    name.parse::<IpAddr>().is_ok()
}
