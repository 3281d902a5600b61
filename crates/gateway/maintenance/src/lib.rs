//! Manual bans of backends, applied to the list from discovery: a banned server is treated as draining. No I/O.
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

/// Maximum number of remembered server names. Beyond it, only names in the current list and banned ones are kept.
pub const MAX_NAMES: usize = 16_384;

/// Error for a server that no list has ever named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

impl fmt::Display for NeverListed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no list has named this backend")
    }
}

impl std::error::Error for NeverListed {}

/// Ended ban. The server counts as started when the ban ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndedBan {
    banned_at: Time,
    unbanned_at: Time,
}

/// Servers banned by an operator, and recently ended bans.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bans {
    /// Banned servers and the start of each ban.
    banned: BTreeMap<Name, Time>,
    recently_unbanned: BTreeMap<Name, EndedBan>,
    known_names: BTreeSet<Name>,
}

impl Bans {
    /// Records the names of the servers in a list.
    pub fn record_names<'a>(&mut self, names: impl IntoIterator<Item = &'a Name>) {
        for name in names {
            if !self.known_names.contains(name) {
                self.known_names.insert(name.clone());
            }
        }
    }

    /// Forgets ended bans of servers that are not in the current list, and their names if there are too many.
    pub fn sweep(&mut self, is_listed: impl Fn(&Name) -> bool) {
        if self.known_names.len() > MAX_NAMES {
            let banned = &self.banned;
            self.known_names.retain(|n| is_listed(n) || banned.contains_key(n));
        }
        self.recently_unbanned.retain(|n, _| is_listed(n));
    }

    /// Bans a server. Idempotent. Returns whether the server was not banned before.
    ///
    /// # Errors
    /// [`NeverListed`] if no list has named the server.
    pub fn ban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let name = self.known_names.get(target).cloned().ok_or(NeverListed)?;
        if self.banned.contains_key(&name) {
            return Ok(false);
        }
        self.recently_unbanned.remove(&name);
        self.banned.insert(name, now);
        Ok(true)
    }

    /// Ends a ban, regardless of how many times the server was banned. Returns whether it was banned.
    ///
    /// # Errors
    /// [`NeverListed`] if no list has named the server.
    pub fn unban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let name = self.known_names.get(target).cloned().ok_or(NeverListed)?;
        let banned_at = self.banned.remove(&name);
        if let Some(banned_at) = banned_at {
            self.recently_unbanned.insert(name, EndedBan { banned_at, unbanned_at: now });
        }
        Ok(banned_at.is_some())
    }

    /// Whether the server is banned.
    pub fn is_banned(&self, name: &Name) -> bool {
        self.banned.contains_key(name)
    }

    /// Returns the banned servers and the start of each ban.
    pub fn banned(&self) -> impl Iterator<Item = (&Name, Time)> {
        self.banned.iter().map(|(name, since)| (name, *since))
    }

    /// Replaces the bans by those of another process of this gateway. Returns the servers whose state changed.
    pub fn adopt(&mut self, now: Time, all: &BTreeMap<Name, Time>) -> Vec<Name> {
        let removed: Vec<Name> = self.banned.keys().filter(|n| !all.contains_key(*n)).cloned().collect();
        let added: Vec<Name> = all.keys().filter(|n| !self.banned.contains_key(*n)).cloned().collect();
        for name in &removed {
            if let Some(banned_at) = self.banned.remove(name) {
                self.recently_unbanned.insert(name.clone(), EndedBan { banned_at, unbanned_at: now });
            }
        }
        for name in &added {
            self.recently_unbanned.remove(name);
            self.known_names.insert(name.clone());
            self.banned.insert(name.clone(), all[name]);
        }
        removed.into_iter().chain(added).collect()
    }

    /// Applies the bans to an entry of the list from discovery.
    pub fn apply_to(&self, node: &mut Node) {
        if self.banned.contains_key(&node.name) && node.health == Health::Up {
            node.health = Health::Draining;
        } else if let Some(ended) = self.recently_unbanned.get(&node.name) {
            // The server was usually restarted during the ban, which discovery reports late.
            if node.since < ended.banned_at {
                node.since = ended.unbanned_at;
            }
        }
    }
}
