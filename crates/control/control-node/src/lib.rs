//! One control node as a state machine: consensus and its storage, the replicated state, calls of operators and backends,
//! gateways that subscribe, quota, the first start. No I/O and no clock of its own.
//!
//! Whoever drives it hands in what arrives, when, and what storage did, and carries out the [`Effect`]s: the process with
//! sockets, a disk and a clock, the simulation with its own. `docs/design/control-node.md`.
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
mod leader_history;
mod leadership;
mod node;
mod persistence;
mod quorum_contact;
mod quota_grants;
mod quota_report;
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
pub use subscribers::UPDATE_INTERVAL;

/// Nanoseconds on the driver's steady clock.
pub type Time = consensus::Time;

const MS: Time = 1_000_000;
