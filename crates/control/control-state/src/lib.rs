//! The replicated state of the control plane: the configuration in force, draining backends, gateways, expired trials.
//!
//! Every control node applies the same commands in the same order, so that all hold the same state. No I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod applied_versions;
mod change_decision;
mod command;
mod configuration_receiver;
mod configuration_sender;
mod configuration_transfer;
mod delta;
mod delta_history;
mod state;

pub use applied_versions::{body_digest, BodyDigest, MAX_APPLIED_VERSIONS};
pub use change_decision::{decide_change, ChangeDecision, DeclaredVersions, InvalidChange};
pub use command::Command;
pub use configuration_receiver::{ConfigurationReceiver, ReceiveOutcome};
pub use configuration_sender::{ConfigurationSender, WINDOW_BYTES};
pub use configuration_transfer::{ConfigurationChunk, TransferHeader, CHUNK_BYTES};
pub use delta::Delta;
pub use delta_history::DeltaHistory;
pub use state::{ApplyOutcome, CommittedConfiguration, ControlState};

/// An index of the replicated log.
pub type LogIndex = u64;

/// The longest configuration that a delta may come to, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 16 << 20;
