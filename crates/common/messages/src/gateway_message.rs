//! Messages between a gateway and the control node that it subscribes to.

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
    /// The gateways that the sender suspects or has confirmed as failed; sent whenever the list changes.
    #[serde(rename = "Company")]
    MissingGateways {
        /// Names of the missing gateways.
        missing: Vec<String>,
    },
    /// Progress of the transfer of the configuration at `index`.
    #[serde(rename = "Got")]
    ChunkReceived {
        /// The configuration's log index, from [`control_state::TransferHeader::index`].
        index: LogIndex,
        /// Number of bytes received since the start of the transfer.
        received: u32,
    },
    /// The gateway does not hold the base of a delta; it needs the whole configuration.
    #[serde(rename = "Lacks")]
    BaseMissing,
    /// A number for the next heartbeat to repeat, which bounds how old that heartbeat is.
    #[serde(rename = "Contact")]
    ContactNumber {
        /// Contact number; increases with each message.
        number: u64,
    },
}

/// An update from a control node to a gateway that subscribes to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayUpdate {
    /// The control node's full state as of an offset.
    #[serde(rename = "Scene")]
    Snapshot {
        /// Offset at which the following changes start.
        offset: Offset,
        /// The state.
        snapshot: Box<FleetSnapshot>,
    },
    /// Consecutive changes to the state.
    Changes {
        /// Offset of the first change.
        from: Offset,
        /// The changes in order.
        changes: Vec<FleetChange>,
    },
    /// The next chunk of a newer configuration.
    #[serde(rename = "Configuration")]
    ConfigurationChunk(ConfigurationChunk),
    /// Reports how fresh the control node's state is; sent every 200 ms.
    #[serde(rename = "Pulse")]
    Heartbeat {
        /// The latest [`GatewayMessage::ContactNumber`].
        contact_number: u64,
        /// Age of the control node's state in milliseconds: it knows everything that was committed by then.
        quorum_contact_ms: u32,
        /// Log index of the newest configuration in that state; 0: there is none.
        newest_configuration: LogIndex,
        /// Control nodes by address, each with its zone if known.
        control_nodes: Vec<(String, String)>,
    },
    /// The response to a request for quota.
    #[serde(rename = "Lent")]
    LeaseGrant(LeaseGrant),
}

/// The state that a gateway follows, except for the configuration, which is sent in chunks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// Latest heartbeat of each backend.
    pub backends: Vec<Heartbeat>,
    /// Whether the list of backends is complete. A control node that has just started does not know all backends yet.
    pub complete: bool,
    /// Ids of draining backends.
    pub draining: Vec<String>,
    /// Names of the gateways.
    pub gateways: Vec<String>,
}

/// A change to the state that a gateway follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FleetChange {
    /// A backend is new, or its heartbeat has new content.
    Backend(Heartbeat),
    /// The backend with this id was removed.
    #[serde(rename = "Over")]
    BackendRemoved(String),
    /// The backend with this id is draining and takes no new requests.
    #[serde(rename = "Leaving")]
    BackendDraining(String),
    /// The complete list of gateways.
    Gateways(Vec<String>),
}
