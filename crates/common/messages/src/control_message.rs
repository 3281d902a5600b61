//! Messages from one control node to another.

use consensus::{BootstrapMessage, Message, NodeId, Term, VoterSet};
use control_state::LogIndex;
use quota::{LeaseGrant, LeaseRequest};
use registry::Heartbeat;
use serde::{Deserialize, Serialize};

/// A message from one control node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Who the sender is, twice a second.
    Hello {
        /// The sender.
        id: NodeId,
        /// Its zone.
        zone: String,
        /// It is at the first start of the whole system.
        initial_start: bool,
        /// It has a disk, and so may vote.
        can_vote: bool,
        /// The control nodes that it knows, each with its zone.
        known_nodes: Vec<(String, String)>,
        /// Its time of day, in Unix milliseconds.
        unix_ms: u64,
    },
    /// Among seeds at the first start of all: which nodes are the first voters.
    #[serde(rename = "Founding")]
    Bootstrap(BootstrapMessage),
    /// From a seed that knows what was chosen: these are the first voters.
    #[serde(rename = "Found")]
    BootstrapChosen {
        /// The voters.
        voters: VoterSet,
    },
    /// A message of the consensus group.
    #[serde(rename = "Agree")]
    Consensus(Message),
    /// Backends' heartbeats since the last message of this kind.
    #[serde(rename = "Beats")]
    Heartbeats {
        /// Those that say something new.
        changed: Vec<Heartbeat>,
        /// Of the others, the backend's id and the heartbeat's sequence number.
        unchanged: Vec<(String, u64)>,
    },
    /// This backend has deregistered.
    #[serde(rename = "Over")]
    Deregistered {
        /// Its id.
        instance: String,
    },
    /// To the leader: a command to propose. It may be lost; who wants it committed asks again.
    Propose {
        /// An encoded [`control_state::Command`].
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
    /// To the leader: when was a majority in contact, and what was committed by then ([`change_log::QuorumContact`])?
    #[serde(rename = "Contact")]
    ContactRequest {
        /// Repeated in the answer.
        number: u64,
    },
    /// The leader's answer.
    #[serde(rename = "Contacted")]
    ContactResponse {
        /// Of the request.
        number: u64,
        /// How long ago a majority was in contact, in nanoseconds.
        age_ns: u64,
        /// All that was committed by then stands up to here.
        commit_index: LogIndex,
    },
    /// To the leader: a gateway's request for quota.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// The gateway's name.
        gateway: String,
        /// What it asks for.
        request: LeaseRequest,
    },
    /// The leader's answer.
    #[serde(rename = "Lent")]
    LeaseGrant {
        /// The gateway's name.
        gateway: String,
        /// The leader's term.
        term: Term,
        /// What it is granted.
        grant: LeaseGrant,
    },
    /// Backends that were named by id alone and are not known here: their heartbeats are wanted whole.
    #[serde(rename = "Unknown")]
    UnknownInstances {
        /// Their ids.
        instances: Vec<String>,
    },
}
