//! The first message on a connection.

use change_log::Offset;
use consensus::NodeId;
use control_state::LogIndex;
use serde::{Deserialize, Serialize};

/// Version of the format of all messages in this crate.
pub const MESSAGE_FORMAT: u32 = 4;

/// Identifies the peer that opened the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Greeting {
    /// A control node. [`crate::ControlMessage`] follows.
    #[serde(rename = "Prompter")]
    ControlNode {
        /// The sender's [`MESSAGE_FORMAT`].
        format: u32,
        /// Id of the node.
        id: NodeId,
    },
    /// A gateway. [`crate::GatewayMessage`] follows, and [`crate::GatewayUpdate`] in the other direction.
    Gateway {
        /// The sender's [`MESSAGE_FORMAT`].
        format: u32,
        /// Name of the gateway.
        name: String,
        /// Zone of the gateway.
        zone: String,
        /// Offset up to which the gateway has followed this control node's changes.
        offset: Option<Offset>,
        /// Log index of the configuration that the gateway holds; 0: none.
        configuration_index: LogIndex,
        /// A contact number, as in [`crate::GatewayMessage::ContactNumber`].
        contact_number: u64,
    },
    /// A client that queries the node, such as `granitethread-ctl`. [`crate::Query`] follows, and
    /// [`crate::QueryResponse`] in the other direction.
    #[serde(rename = "Shell")]
    QueryClient {
        /// The sender's [`MESSAGE_FORMAT`].
        format: u32,
    },
}
