//! Bans by hand, laid over discovery's list: a banned server is, to all behind the list, one that drains. No I/O.
//!
//! ```
//! use interface::{Health, Node};
//! use maintenance::Bans;
//!
//! let mut bans = Bans::default();
//! assert!(bans.enter(10, "s-1").is_err(), "no list has named it");
//! bans.listed([&"s-1".into()]);
//! assert_eq!(bans.enter(10, "s-1"), Ok(true));
//! let mut node = Node::new("s-1", Health::Up);
//! bans.lay_over(&mut node);
//! assert_eq!(node.health, Health::Draining);
//! ```
#![forbid(unsafe_code)]

use interface::{Health, Name, Node, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// So many names that lists have named are remembered; past it, those of the present list and the banned.
pub const MOST_NAMES: usize = 16_384;

/// No list has ever named this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

impl fmt::Display for NeverListed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no list has named this backend")
    }
}

impl std::error::Error for NeverListed {}

/// A server that was put back, and is to count as started since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Back {
    entered: Time,
    exited: Time,
}

/// Which servers are out by hand, and which came back of late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bans {
    /// Since when.
    out: BTreeMap<Name, Time>,
    back: BTreeMap<Name, Back>,
    named: BTreeSet<Name>,
}

impl Bans {
    /// A list named these; all of the present list, if there are more than are remembered.
    pub fn listed<'a>(&mut self, names: impl IntoIterator<Item = &'a Name>) {
        for name in names {
            if !self.named.contains(name) {
                self.named.insert(name.clone());
            }
        }
    }

    /// Forgets names that are not in the present list once there are too many.
    pub fn sweep(&mut self, present: impl Fn(&Name) -> bool) {
        if self.named.len() > MOST_NAMES {
            let out = &self.out;
            self.named.retain(|n| present(n) || out.contains_key(n));
        }
        self.back.retain(|n, _| present(n));
    }

    /// Takes a server out. Whether that is new; calls may be repeated.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn enter(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let name = self.named.get(target).cloned().ok_or(NeverListed)?;
        if self.out.contains_key(&name) {
            return Ok(false);
        }
        self.back.remove(&name);
        self.out.insert(name, now);
        Ok(true)
    }

    /// Puts it back, however many calls took it out. Whether it was out.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn exit(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let name = self.named.get(target).cloned().ok_or(NeverListed)?;
        let entered = self.out.remove(&name);
        if let Some(entered) = entered {
            self.back.insert(name, Back { entered, exited: now });
        }
        Ok(entered.is_some())
    }

    pub fn is_out(&self, name: &Name) -> bool {
        self.out.contains_key(name)
    }

    /// Those that are out, and since when.
    pub fn out(&self) -> impl Iterator<Item = (&Name, Time)> {
        self.out.iter().map(|(name, since)| (name, *since))
    }

    /// What another process of this gateway holds counts from now on: just these are out. Those for which that
    /// changes anything.
    pub fn adopt(&mut self, now: Time, all: &BTreeMap<Name, Time>) -> Vec<Name> {
        let ended: Vec<Name> = self.out.keys().filter(|n| !all.contains_key(*n)).cloned().collect();
        let begun: Vec<Name> = all.keys().filter(|n| !self.out.contains_key(*n)).cloned().collect();
        for name in &ended {
            if let Some(entered) = self.out.remove(name) {
                self.back.insert(name.clone(), Back { entered, exited: now });
            }
        }
        for name in &begun {
            self.back.remove(name);
            self.named.insert(name.clone());
            self.out.insert(name.clone(), all[name]);
        }
        ended.into_iter().chain(begun).collect()
    }

    /// An entry of discovery's list as the gateway is to take it.
    pub fn lay_over(&self, node: &mut Node) {
        if self.out.contains_key(&node.name) && node.health == Health::Up {
            node.health = Health::Draining;
        } else if let Some(back) = self.back.get(&node.name) {
            // As a rule it was restarted while it was out, and discovery tells of that late.
            if node.since < back.entered {
                node.since = back.exited;
            }
        }
    }
}
