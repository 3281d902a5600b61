//! The replicated state machine of the control plane: the current configuration, draining backends, gateways and expired
//! trials.
//!
//! Every control node applies the same commands in the same order, so that all nodes hold the same state. No I/O.
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

/// An index in the replicated log.
pub type LogIndex = u64;

/// Maximum length of a configuration that is transferred or that results from a delta.
const MAX_CONFIGURATION_BYTES: usize = 16 << 20;
