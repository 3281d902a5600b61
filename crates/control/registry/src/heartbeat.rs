//! The state that a backend reports about itself.

use serde::{Deserialize, Serialize};

/// A backend's heartbeat. Fields are stored and sent by position, in this order; `granitethread-ctl` prints them under
/// their serde names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the backend instance, never reused.
    #[serde(rename = "id")]
    pub instance: String,
    /// Service that the backend belongs to.
    pub service: String,
    /// IP address and port at which the backend accepts requests.
    pub address: String,
    /// Zone of the backend.
    pub zone: String,
    /// Version of the backend's software.
    pub version: String,
    /// Maximum number of requests that the backend processes concurrently.
    pub slots: u32,
    /// Whether the backend accepts no new work.
    pub draining: bool,
    /// Remaining time of the backend's slow start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warmup_left_ms: u32,
    /// Number that increases with each call, so that a late heartbeat can be detected.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether another heartbeat reports the same state, apart from the fields that change with every heartbeat.
    pub(crate) fn reports_same_state(&self, other: &Heartbeat) -> bool {
        let Heartbeat { sequence, warmup_left_ms, .. } = *other;
        Heartbeat { sequence, warmup_left_ms, ..self.clone() } == *other
    }
}
