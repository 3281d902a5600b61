//! Effects: the actions that a control node requests from its driver.

use bytes::Bytes;
use consensus::{LogIndex, Persist, PersistedState};
use control_state::{CommittedConfiguration, InvalidChange};
use messages::{ControlMessage, GatewayUpdate};
use std::sync::Arc;

/// An action for the driver. Effects must be carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another control node, best effort: it is dropped if there is no link or no room on it.
    SendToNode {
        /// Name of the receiving node.
        to: String,
        /// The message.
        message: ControlMessage,
    },
    /// Send a message to every control node with a link.
    Broadcast {
        /// The message.
        message: ControlMessage,
    },
    /// Send an update to a subscribed gateway, best effort: it is dropped if there is no room.
    SendToGateway {
        /// Name of the gateway.
        gateway: String,
        /// The update.
        update: GatewayUpdate,
    },
    /// [`crate::ControlNode::next_chunk`] may return a chunk for this gateway.
    ChunkWindowOpened {
        /// Name of the gateway.
        gateway: String,
    },
    /// [`crate::ControlNode::next_update`] may return an update for every subscriber.
    NotifySubscribers,
    /// Write to storage, if there is any, and report the result to [`crate::ControlNode::on_persisted`]. At most one
    /// request is outstanding.
    Persist {
        /// Request number, passed back with the result.
        number: u64,
        /// The write.
        request: StorageRequest,
    },
    /// Validate a configuration and report the result to [`crate::ControlNode::on_validated`].
    Validate {
        /// Id of the change, passed back with the result.
        change: u64,
        /// Bytes of the configuration.
        body: Bytes,
    },
    /// Reply to a call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The reply.
        reply: Reply,
    },
}

/// A write to storage.
#[derive(Clone, Debug)]
pub enum StorageRequest {
    /// Append changes in order and make them durable with one sync.
    Append {
        /// The changes, in order.
        changes: Vec<Persist>,
        /// Commit index of the log.
        commit_index: LogIndex,
    },
    /// Replace the whole stored state and make it durable.
    Full(Box<PersistedState>),
}

/// Reply to a call from an operator or a backend.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request is done, now or earlier.
    Acknowledged,
    /// The change does not apply to the version in force.
    Conflict {
        /// Version in force.
        current: u32,
    },
    /// The change is invalid.
    Invalid(InvalidChange),
    /// The configuration in force, if there is one.
    Current(Option<Arc<CommittedConfiguration>>),
    /// Another node leads; the caller should retry at the control node of this name.
    Redirect(String),
    /// This node cannot answer now; another node may.
    Unavailable,
}

/// An applied command or snapshot, recorded for the simulation's invariant checks.
#[cfg(feature = "simulation")]
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedRecord {
    /// A command and its log index.
    Command(control_state::LogIndex, Vec<u8>),
    /// A snapshot that replaced the state, with its log index.
    Snapshot(control_state::LogIndex),
}
