//! What is known of a member, and which of two records of it stands.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A member's name: 1 to [`MOST_NAME`] bytes, one for each process of the fleet.
pub type Name = Arc<str>;

pub const MAX_NAME_BYTES: usize = 64;
/// The longest zone's name.
pub const MAX_ZONE_BYTES: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// Somebody got no answer from it. It counts as living.
    Suspect,
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    pub fn is_alive(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    Gateway,
    Planner,
}

/// One life of one member, as somebody tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: Name,
    /// Unix milliseconds at its start, or more. A restart is a new life.
    pub generation: u64,
    /// Raised by itself alone, to refute.
    pub incarnation: u32,
    pub state: State,
    /// Where it is reached, as it says itself.
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub role: Role,
    /// The oldest and the latest version of the wire that it speaks.
    pub versions: (u8, u8),
    /// Of a suspicion: whose it is, by a hash of the name.
    pub accuser: u32,
}

impl Record {
    /// Records of one name are totally ordered; the greater one stands. What it says of address, zone, role is part
    /// of the life and does not change in it.
    pub fn rank(&self) -> (u64, u32, State) {
        (self.generation, self.incarnation, self.state)
    }

    /// Whether a peer may say this at all.
    pub fn is_sound(&self) -> bool {
        let name = (1..=MAX_NAME_BYTES).contains(&self.name.len()) && !self.name.contains(char::is_control);
        let placed = !self.address.ip().is_unspecified() && self.address.port() != 0;
        name && placed && self.zone.len() <= MAX_ZONE_BYTES && self.versions.0 <= self.versions.1
    }
}

/// A hash that is the same in every process and version: FNV-1a, 64 bits. Nobody can gain by a collision: who may
/// speak at all has the key.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let byte = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    parts.iter().flat_map(|p| p.iter()).fold(0xcbf2_9ce4_8422_2325, byte)
}
