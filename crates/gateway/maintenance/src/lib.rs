//! Manual bans, applied to discovery's list: a banned server appears as one that drains. No I/O.
//!
//! ```
//! use interface::{Health, Node};
//! use maintenance::Bans;
//!
//! let mut bans = Bans::default();
//! assert!(bans.ban(10, "s-1").is_err(), "no list has named it");
//! bans.record_names([&"s-1".into()]);
//! assert_eq!(bans.ban(10, "s-1"), Ok(true));
//! let mut node = Node::new("s-1", Health::Up);
//! bans.apply_to(&mut node);
//! assert_eq!(node.health, Health::Draining);
//! ```
#![forbid(unsafe_code)]

use interface::{Health, Name, Node, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How many names from lists are remembered; beyond it, those of the present list and the banned ones.
pub const MAX_NAMES: usize = 16_384;

/// No list has ever named this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

impl fmt::Display for NeverListed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no list has named this backend")
    }
}

impl std::error::Error for NeverListed {}

/// A ban that has ended: the server counts as started since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndedBan {
    banned_at: Time,
    unbanned_at: Time,
}

/// Which servers are banned by hand, and which bans ended lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bans {
    /// Since when.
    banned: BTreeMap<Name, Time>,
    recently_unbanned: BTreeMap<Name, EndedBan>,
    known_names: BTreeSet<Name>,
}

impl Bans {
    /// A list named these servers.
    pub fn record_names<'a>(&mut self, names: impl IntoIterator<Item = &'a Name>) {
        for name in names {
            if !self.known_names.contains(name) {
                self.known_names.insert(name.clone());
            }
        }
    }

    /// Forgets names that are not in the present list once there are too many.
    pub fn sweep(&mut self, present: impl Fn(&Name) -> bool) {
        if self.known_names.len() > MAX_NAMES {
            let out = &self.banned;
            self.known_names.retain(|n| present(n) || out.contains_key(n));
        }
        self.recently_unbanned.retain(|n, _| present(n));
    }

    /// Bans a server. Returns whether that is new; calls may be repeated.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn ban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let name = self.known_names.get(target).cloned().ok_or(NeverListed)?;
        if self.banned.contains_key(&name) {
            return Ok(false);
        }
        self.recently_unbanned.remove(&name);
        self.banned.insert(name, now);
        Ok(true)
    }

    /// Ends a ban, however many calls made it. Returns whether the server was banned.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn unban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let name = self.known_names.get(target).cloned().ok_or(NeverListed)?;
        let entered = self.banned.remove(&name);
        if let Some(entered) = entered {
            self.recently_unbanned.insert(name, EndedBan { banned_at: entered, unbanned_at: now });
        }
        Ok(entered.is_some())
    }

    /// Whether this server is banned.
    pub fn is_banned(&self, name: &Name) -> bool {
        self.banned.contains_key(name)
    }

    /// The banned servers, and since when.
    pub fn banned(&self) -> impl Iterator<Item = (&Name, Time)> {
        self.banned.iter().map(|(name, since)| (name, *since))
    }

    /// Adopts the bans of another process of this gateway: just these servers are banned. Returns those that change.
    pub fn adopt(&mut self, now: Time, all: &BTreeMap<Name, Time>) -> Vec<Name> {
        let ended: Vec<Name> = self.banned.keys().filter(|n| !all.contains_key(*n)).cloned().collect();
        let begun: Vec<Name> = all.keys().filter(|n| !self.banned.contains_key(*n)).cloned().collect();
        for name in &ended {
            if let Some(entered) = self.banned.remove(name) {
                self.recently_unbanned
                    .insert(name.clone(), EndedBan { banned_at: entered, unbanned_at: now });
            }
        }
        for name in &begun {
            self.recently_unbanned.remove(name);
            self.known_names.insert(name.clone());
            self.banned.insert(name.clone(), all[name]);
        }
        ended.into_iter().chain(begun).collect()
    }

    /// Applies the bans to an entry of discovery's list.
    pub fn apply_to(&self, node: &mut Node) {
        if self.banned.contains_key(&node.name) && node.health == Health::Up {
            node.health = Health::Draining;
        } else if let Some(back) = self.recently_unbanned.get(&node.name) {
            // As a rule it was restarted during the ban, and discovery reports that late.
            if node.since < back.banned_at {
                node.since = back.unbanned_at;
            }
        }
    }
}
