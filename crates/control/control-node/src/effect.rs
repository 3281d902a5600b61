//! What the driver of a control node is to do.

use bytes::Bytes;
use consensus::{LogIndex, Persist, PersistedState};
use control_state::{CommittedConfiguration, InvalidChange};
use messages::{ControlMessage, GatewayUpdate};
use std::sync::Arc;

/// What the driver is to do, in order.
#[derive(Debug)]
pub enum Effect {
    /// Send to another control node, if there is a link and room on it: it may be lost.
    SendToNode {
        /// The node's name.
        to: String,
        /// What to send.
        message: ControlMessage,
    },
    /// The same to each control node that there is a link to.
    Broadcast {
        /// What to send.
        message: ControlMessage,
    },
    /// Send to a gateway that subscribes, if there is room: it may be lost.
    SendToGateway {
        /// The gateway's name.
        gateway: String,
        /// What to send.
        update: GatewayUpdate,
    },
    /// There may be a chunk for this gateway: [`crate::ControlNode::next_chunk`].
    ChunkWindowOpened {
        /// The gateway's name.
        gateway: String,
    },
    /// There may be something for each subscriber: [`crate::ControlNode::next_update`].
    NotifySubscribers,
    /// Write to storage, if there is any; [`crate::ControlNode::on_persisted`] tells what came of it. One at a time.
    Persist {
        /// Repeated in the answer.
        number: u64,
        /// What to write.
        request: StorageRequest,
    },
    /// Validate a configuration; [`crate::ControlNode::on_validated`] tells what came of it.
    Validate {
        /// Repeated in the answer.
        change: u64,
        /// The configuration.
        body: Bytes,
    },
    /// Answer a call.
    Reply {
        /// The call's number.
        call: u64,
        /// The answer.
        reply: Reply,
    },
}

/// What storage is to do.
#[derive(Clone, Debug)]
pub enum StorageRequest {
    /// Make all of this durable, in order, with one sync.
    Append {
        /// In order.
        changes: Vec<Persist>,
        /// How far the log is committed.
        commit_index: LogIndex,
    },
    /// Make this durable in place of whatever is there.
    Full(Box<PersistedState>),
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It was applied, now or earlier.
    Acknowledged,
    /// Another version is in force.
    Conflict {
        /// That one.
        current: u32,
    },
    /// It is not sound.
    Invalid(InvalidChange),
    /// The configuration in force.
    Current(Option<Arc<CommittedConfiguration>>),
    /// The control node of this name leads.
    Redirect(String),
    /// This node cannot say now; another may.
    Unavailable,
}

/// What was applied, for the simulation's rules.
#[cfg(feature = "simulation")]
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedRecord {
    /// A command, at its index.
    Command(control_state::LogIndex, Vec<u8>),
    /// The whole state, as of an index.
    Snapshot(control_state::LogIndex),
}
