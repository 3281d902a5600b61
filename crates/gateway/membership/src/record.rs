//! What is known of a member, and which of two records of it prevails.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A member's name: 1 to [`MAX_NAME_BYTES`] bytes, one for each process of the fleet.
pub type Name = Arc<str>;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest zone's name.
pub const MAX_ZONE_BYTES: usize = 32;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// Some member got no answer from it. It counts as alive.
    Suspect,
    Dead,
    /// It announced that it leaves.
    Left,
}

impl State {
    /// Whether a member in this state counts as alive.
    pub fn is_alive(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What a member does in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    Gateway,
    Planner,
}

/// One generation of a member, as some member reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: Name,
    /// Unix milliseconds at its start, or more. A restart is a new generation.
    pub generation: u64,
    /// Raised by the member itself alone, to refute a suspicion.
    pub incarnation: u32,
    pub state: State,
    /// Its address, as it announces itself.
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub role: Role,
    /// The oldest and the latest wire version that it supports.
    pub versions: (u8, u8),
    /// Of a suspicion: a hash of the accuser's name.
    pub accuser: u32,
}

impl Record {
    /// Records of one name are totally ordered; the greater one prevails. Address, zone and role do not change within a
    /// generation.
    pub fn rank(&self) -> (u64, u32, State) {
        (self.generation, self.incarnation, self.state)
    }

    /// Whether a peer may report this at all.
    pub fn is_sound(&self) -> bool {
        let name = (1..=MAX_NAME_BYTES).contains(&self.name.len()) && !self.name.contains(char::is_control);
        let placed = !self.address.ip().is_unspecified() && self.address.port() != 0;
        name && placed && self.zone.len() <= MAX_ZONE_BYTES && self.versions.0 <= self.versions.1
    }
}

/// A hash that is the same in every process and version: FNV-1a, 64 bits. A collision gains nothing: whoever may send
/// at all has the key.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let byte = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    parts.iter().flat_map(|p| p.iter()).fold(0xcbf2_9ce4_8422_2325, byte)
}
