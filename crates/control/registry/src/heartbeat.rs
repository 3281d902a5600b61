//! What a backend says of itself.

use serde::{Deserialize, Serialize};

/// A backend's heartbeat. Fields are stored and sent in this order; `granitethread-ctl` prints them by the names that
/// `serde` gives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The backend's id: one life's, never used again.
    #[serde(rename = "id")]
    pub instance: String,
    /// The service that it is part of.
    pub service: String,
    /// Where it takes requests, IP address and port.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It takes no new work.
    pub draining: bool,
    /// How much longer it is slow from its start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warmup_left_ms: u32,
    /// Rises with each call, so that a late heartbeat is known.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether another heartbeat says the same, but for what changes with each.
    pub(crate) fn says_the_same(&self, other: &Heartbeat) -> bool {
        let Heartbeat { sequence, warmup_left_ms, .. } = *other;
        Heartbeat { sequence, warmup_left_ms, ..self.clone() } == *other
    }
}
