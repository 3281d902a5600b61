//! The first message on a connection.

use change_log::Offset;
use consensus::NodeId;
use control_state::LogIndex;
use serde::{Deserialize, Serialize};

/// The format of all messages of this crate.
pub const MESSAGE_FORMAT: u32 = 4;

/// Whose connection it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Greeting {
    /// A control node's: [`crate::ControlMessage`] follows.
    #[serde(rename = "Prompter")]
    ControlNode {
        /// [`MESSAGE_FORMAT`].
        format: u32,
        /// The node.
        id: NodeId,
    },
    /// A gateway's: [`crate::GatewayMessage`] follows, and [`crate::GatewayUpdate`] the other way.
    Gateway {
        /// [`MESSAGE_FORMAT`].
        format: u32,
        /// The gateway's name.
        name: String,
        /// Its zone.
        zone: String,
        /// How far it has followed this control node's changes.
        offset: Option<Offset>,
        /// The index of the configuration that it holds; 0: none.
        configuration_index: LogIndex,
        /// As in [`crate::GatewayMessage::ContactNumber`].
        contact_number: u64,
    },
    /// `granitethread-ctl`'s: [`crate::Query`] follows, and [`crate::QueryResponse`] the other way.
    #[serde(rename = "Shell")]
    QueryClient {
        /// [`MESSAGE_FORMAT`].
        format: u32,
    },
}
