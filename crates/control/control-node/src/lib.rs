//! One control node as a state machine: consensus and its storage, the replicated state, calls from operators and
//! backends, subscribed gateways, quota grants, and the bootstrap. It performs no I/O and has no clock of its own.
//!
//! A driver passes in messages, calls, storage results and the current time, and carries out the returned [`Effect`]s.
//! The process drives it with sockets, a disk and a clock; the simulation drives it with its own.
//! See `docs/design/control-node.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bootstrapper;
mod change_feed;
mod commit;
mod configuration_changes;
mod control_messages;
mod defect;
mod drains;
mod effect;
mod gateway_removal;
mod heartbeats;
mod known_nodes;
mod leader_history;
mod leadership;
mod node;
mod persistence;
mod quorum_contact;
mod quota_grants;
mod quota_report;
mod settings_reload;
mod storage_health;
mod subscribers;
mod trial_expiry;

pub use control_messages::HELLO_INTERVAL;
pub use defect::Defect;
#[cfg(feature = "simulation")]
pub use effect::AppliedRecord;
pub use effect::{Effect, Reply, StorageRequest};
pub use leadership::Leadership;
pub use node::{ControlNode, NodeConfig};
pub use persistence::MIN_DEDUP_BYTES;
pub use settings_reload::{LastRead, ReloadSchedule};
pub use subscribers::UPDATE_INTERVAL;

/// Nanoseconds on the driver's monotonic clock.
pub type Time = consensus::Time;

const MS: Time = 1_000_000;
