//! Registry of a zone's backends, built from their heartbeats. Soft state: a control node that restarts has it again within
//! a heartbeat interval. Which backends are draining is replicated and not kept here. No I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod heartbeat;
mod zone_registry;

pub use heartbeat::Heartbeat;
pub use zone_registry::{HeartbeatOutcome, Time, ZoneRegistry};
