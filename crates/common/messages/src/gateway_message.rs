//! Messages from a gateway to the control node that it subscribes to, and the other way.

use change_log::Offset;
use control_state::{ConfigurationChunk, LogIndex};
use quota::{LeaseGrant, LeaseRequest};
use registry::Heartbeat;
use serde::{Deserialize, Serialize};

/// A message from a gateway to its control node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// A request for quota.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    /// Gateways that it suspects or believes to be gone, whenever that changes.
    #[serde(rename = "Company")]
    MissingGateways {
        /// Their names.
        missing: Vec<String>,
    },
    /// So many bytes have arrived of the transfer that leads to the configuration of `index`.
    #[serde(rename = "Got")]
    ChunkReceived {
        /// [`control_state::TransferHeader::index`].
        index: LogIndex,
        /// Bytes from the start on.
        received: u32,
    },
    /// It does not hold a delta's base: the whole configuration is needed.
    #[serde(rename = "Lacks")]
    BaseMissing,
    /// The next heartbeat is to repeat this number, so that the gateway knows how old that is at most.
    #[serde(rename = "Contact")]
    ContactNumber {
        /// Rises.
        number: u64,
    },
}

/// A message from a control node to a gateway that subscribes to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayUpdate {
    /// All that is known, as of an offset.
    #[serde(rename = "Scene")]
    Snapshot {
        /// The changes behind it follow.
        offset: Offset,
        /// What is known.
        snapshot: Box<FleetSnapshot>,
    },
    /// Changes.
    Changes {
        /// The offset of the first.
        from: Offset,
        /// In order.
        changes: Vec<FleetChange>,
    },
    /// The next chunk of a newer configuration.
    #[serde(rename = "Configuration")]
    ConfigurationChunk(ConfigurationChunk),
    /// Each 200 ms: how fresh the control node is.
    #[serde(rename = "Pulse")]
    Heartbeat {
        /// The latest [`GatewayMessage::ContactNumber`].
        contact_number: u64,
        /// All that was committed by so many milliseconds ago is known to the control node.
        quorum_contact_ms: u32,
        /// The index of the newest configuration of that; 0: there is none.
        newest_configuration: LogIndex,
        /// The control nodes by address, each with its zone as far as that is known.
        control_nodes: Vec<(String, String)>,
    },
    /// The answer to a request for quota.
    #[serde(rename = "Lent")]
    LeaseGrant(LeaseGrant),
}

/// All that a gateway follows, except the configuration, which comes in chunks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// Their latest heartbeats.
    pub backends: Vec<Heartbeat>,
    /// Whether there are no backends but these: a control node that has just started does not know yet.
    pub complete: bool,
    /// The ids of draining backends.
    pub draining: Vec<String>,
    /// The gateways' names.
    pub gateways: Vec<String>,
}

/// A change of what a gateway follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FleetChange {
    /// A backend is new, or says something new.
    Backend(Heartbeat),
    /// The backend of this id has ended.
    #[serde(rename = "Over")]
    BackendRemoved(String),
    /// The backend of this id takes no new work.
    #[serde(rename = "Leaving")]
    BackendDraining(String),
    /// These are the gateways.
    Gateways(Vec<String>),
}
