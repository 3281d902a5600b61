//! Messages between control nodes.

use consensus::{BootstrapMessage, Message, NodeId, Term, VoterSet};
use control_state::LogIndex;
use quota::{LeaseGrant, LeaseRequest};
use registry::Heartbeat;
use serde::{Deserialize, Serialize};

/// A message from one control node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The sender's identity and state; sent twice per second.
    Hello {
        /// The sender's node id.
        id: NodeId,
        /// The sender's zone.
        zone: String,
        /// Whether the sender was started for the first start of the whole system.
        initial_start: bool,
        /// Whether the sender has a disk and may therefore vote.
        can_vote: bool,
        /// Addresses of the control nodes that the sender knows, each with its zone.
        known_nodes: Vec<(String, String)>,
        /// The sender's wall-clock time in Unix milliseconds.
        unix_ms: u64,
    },
    /// Exchanged between seeds at the first start of the system to choose the first voters.
    #[serde(rename = "Founding")]
    Bootstrap(BootstrapMessage),
    /// Sent by a seed that knows the outcome of the bootstrap: the first voters.
    #[serde(rename = "Found")]
    BootstrapChosen {
        /// The first voters.
        voters: VoterSet,
    },
    /// A message of the consensus group.
    #[serde(rename = "Agree")]
    Consensus(Message),
    /// Heartbeats of backends since the last message of this kind.
    #[serde(rename = "Beats")]
    Heartbeats {
        /// Heartbeats with new content.
        changed: Vec<Heartbeat>,
        /// Backend id and heartbeat sequence number of each heartbeat without new content.
        unchanged: Vec<(String, u64)>,
    },
    /// A backend has deregistered.
    #[serde(rename = "Over")]
    Deregistered {
        /// Id of the backend.
        instance: String,
    },
    /// Sent to the leader: a command to propose. The message may be lost; the sender repeats it until the command is
    /// committed.
    Propose {
        /// An encoded [`control_state::Command`].
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
    /// Sent to the leader: asks when a majority was last in contact, and what was committed by then
    /// ([`change_log::QuorumContact`]).
    #[serde(rename = "Contact")]
    ContactRequest {
        /// Request number, which the response repeats.
        number: u64,
    },
    /// The leader's response to a [`ControlMessage::ContactRequest`].
    #[serde(rename = "Contacted")]
    ContactResponse {
        /// Number of the request.
        number: u64,
        /// Time since a majority was in contact, in nanoseconds.
        age_ns: u64,
        /// Log index that covers everything committed by then.
        commit_index: LogIndex,
    },
    /// Sent to the leader: a gateway's request for quota.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// Name of the gateway.
        gateway: String,
        /// The gateway's request.
        request: LeaseRequest,
    },
    /// The leader's response to a [`ControlMessage::LeaseRequest`].
    #[serde(rename = "Lent")]
    LeaseGrant {
        /// Name of the gateway.
        gateway: String,
        /// The leader's term.
        term: Term,
        /// The grant.
        grant: LeaseGrant,
    },
    /// Reports backends that were listed by id only and are unknown to the sender; requests their full heartbeats.
    #[serde(rename = "Unknown")]
    UnknownInstances {
        /// Ids of the backends.
        instances: Vec<String>,
    },
}
