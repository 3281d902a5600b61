//! Membership records, and the order that decides between two records of one member.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a member: 1 to [`MAX_NAME_BYTES`] bytes, unique per process of the fleet.
pub type Name = Arc<str>;

/// Maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a zone's name.
pub const MAX_ZONE_BYTES: usize = 32;

/// State of a member, as believed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// A probe of some member went unanswered. A suspect counts as alive.
    Suspect,
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl State {
    /// Whether a member in this state counts as alive.
    pub fn is_alive(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// Role of a member in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    Gateway,
    Planner,
}

/// State of one generation of a member, as reported by some member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub name: Name,
    /// Unix milliseconds at the process's start, or higher. A restart is a new generation.
    pub generation: u64,
    /// Incremented only by the member itself, to refute a suspicion.
    pub incarnation: u32,
    pub state: State,
    /// The address that the member advertises.
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub role: Role,
    /// The oldest and the newest wire version that the member supports.
    pub versions: (u8, u8),
    /// Hash of the accuser's name, for a suspicion.
    pub accuser: u32,
}

impl Record {
    /// Precedence of the record: records of one name are totally ordered, and the greater one prevails. Address, zone
    /// and role do not change within a generation.
    pub fn rank(&self) -> (u64, u32, State) {
        (self.generation, self.incarnation, self.state)
    }

    /// Whether the record is well-formed. Datagrams with other records are dropped.
    pub fn is_valid(&self) -> bool {
        let name_is_valid =
            (1..=MAX_NAME_BYTES).contains(&self.name.len()) && !self.name.contains(char::is_control);
        let address_is_valid = !self.address.ip().is_unspecified() && self.address.port() != 0;
        name_is_valid
            && address_is_valid
            && self.zone.len() <= MAX_ZONE_BYTES
            && self.versions.0 <= self.versions.1
    }
}

/// Returns a hash that is stable across processes and versions: 64-bit FNV-1a. It need not resist deliberate
/// collisions, since every accepted sender holds the shared key.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let add_byte = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    parts.iter().flat_map(|p| p.iter()).fold(0xcbf2_9ce4_8422_2325, add_byte)
}
