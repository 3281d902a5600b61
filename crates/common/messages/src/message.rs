//! What processes of the system say to each other. The first message on a connection tells which it is and in which form
//! it speaks; what is of another form ends the connection.

use change_log::Offset;
use consensus::{BootstrapMessage, Message, NodeId, Term, VoterSet};
use control_state::{ConfigurationChunk, LogIndex as AgreedPlace};
use quota::{LeaseGrant, LeaseRequest};
use registry::Heartbeat;
use serde::{Deserialize, Serialize};

/// The form of all messages here.
pub const MESSAGE_FORMAT: u32 = 4;

/// The first on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Greeting {
    /// A prompter: what follows is [`Peer`].
    #[serde(rename = "Prompter")]
    ControlPlane { form: u32, id: NodeId },
    /// A gateway: what follows is [`Up`], and [`Down`] the other way.
    Gateway {
        form: u32,
        name: String,
        zone: String,
        offset: Option<Offset>,
        /// Where the configuration that it holds stands in the agreed log; 0: it holds none.
        configuration_index: AgreedPlace,
        /// As with [`Up::Contact`].
        contact_number: u64,
    },
    /// The shell: what follows is [`Query`], and [`Told`] the other way.
    Shell { form: u32 },
}

/// A question of the shell's, and what a prompter knows, with how long ago it last knew of a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    Status,
    Backends,
    Gateways,
    Configuration,
    Trials,
}

/// What a prompter says of itself and of what it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryResponse {
    #[serde(rename = "by")]
    pub node: String,
    pub zone: String,
    /// How long ago it last knew of a majority, in ms; none: not since it began. Older than a second: its word may be old.
    #[serde(rename = "touch_ms")]
    pub quorum_contact_ms: Option<u64>,
    pub answer: QueryAnswer,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum QueryAnswer {
    Status {
        id: String,
        term: Term,
        #[serde(rename = "holder")]
        leader: Option<String>,
        voters: Vec<String>,
        /// Of the configuration that is agreed on: its version, and its place in the log.
        configuration: Option<(u32, u64)>,
        backends: usize,
        #[serde(rename = "leaving")]
        draining: usize,
        gateways: usize,
        followers: Vec<String>,
        #[serde(rename = "prompters")]
        control_nodes: Vec<(String, String)>,
    },
    /// With whether each is leaving.
    Backends(Vec<(Heartbeat, bool)>),
    /// With whether each follows this prompter, and which of those who do believe it to be gone.
    Gateways(Vec<(String, bool, Vec<String>)>),
    /// As the operator sent it.
    Configuration(Option<String>),
    Trials(Vec<TrialReport>),
}

/// A tenant's trial, as a prompter knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialReport {
    pub tenant: String,
    /// In Unix milliseconds.
    #[serde(rename = "ends")]
    pub ends_at: u64,
    /// Whether that has been agreed to have passed.
    #[serde(rename = "over")]
    pub expired: bool,
    #[serde(rename = "pace")]
    pub rate: f64,
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: u64,
    /// By the keeper alone: whether it is slowed now, in how many ms that changes, and what gateways said of it: name, how
    /// many ms ago, how many wait there, for how many ms those waited that went lately.
    #[serde(rename = "now")]
    pub throttle: Option<(bool, Option<u64>)>,
    #[serde(rename = "nodes")]
    pub gateways: Vec<(String, u64, u32, u64)>,
}

/// A prompter to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Who it is, whether it is at the first start of all, whether it has a disk and so
    /// a vote, and whom it knows, each with its zone. Again each second.
    Hello {
        id: NodeId,
        zone: String,
        initial_start: bool,
        can_vote: bool,
        known_nodes: Vec<(String, String)>,
        /// Its time of day, in Unix milliseconds.
        unix_ms: u64,
    },
    /// Among seeds at the first start of all: who is to vote.
    #[serde(rename = "Founding")]
    Bootstrap(BootstrapMessage),
    /// From a seed that knows what was agreed on there: these are the voters.
    #[serde(rename = "Found")]
    BootstrapChosen { voters: VoterSet },
    #[serde(rename = "Agree")]
    Consensus(Message),
    /// Beats since the last: those that say something new whole, of the others id and sequence.
    #[serde(rename = "Beats")]
    Heartbeats { changed: Vec<Heartbeat>, unchanged: Vec<(String, u64)> },
    /// This backend has said that its life is over.
    #[serde(rename = "Over")]
    Deregistered { instance: String },
    /// To the holder: something to agree on. It may be lost; who wants it asks again.
    Propose {
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
    /// To the holder: am I heard, and what is agreed on? ([`change_log::Contact`])
    #[serde(rename = "Contact")]
    ContactRequest { number: u64 },
    /// The holder's answer: a majority was in contact with it so long ago, in ns, and all that was agreed on by then stands up
    /// to this place.
    #[serde(rename = "Contacted")]
    ContactResponse { number: u64, age: u64, commit_index: AgreedPlace },
    /// To the holder: a gateway's ask.
    #[serde(rename = "Ask")]
    LeaseRequest { gateway: String, request: LeaseRequest },
    /// The holder's answer, of its term.
    #[serde(rename = "Lent")]
    LeaseGrant { gateway: String, term: Term, grant: LeaseGrant },
    /// Backends that were named by id alone, and are not known here: their facts are wanted.
    #[serde(rename = "Unknown")]
    UnknownInstances { instances: Vec<String> },
}

/// A gateway to its prompter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayMessage {
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    /// Gateways that it suspects or believes to be gone, whenever that changes.
    #[serde(rename = "Company")]
    MissingGateways { missing: Vec<String> },
    /// So many bytes have come of what leads to the configuration of this place.
    #[serde(rename = "Got")]
    ChunkReceived { index: AgreedPlace, received: u32 },
    /// It does not hold what a difference is to: the whole configuration is wanted.
    #[serde(rename = "Lacks")]
    BaseMissing,
    /// The next pulse is to bear this number, so that the gateway knows how old that is at the most.
    #[serde(rename = "Contact")]
    ContactNumber { number: u64 },
}

/// A prompter to a gateway that follows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum GatewayUpdate {
    /// All that is known, as of this place.
    #[serde(rename = "Scene")]
    Snapshot {
        offset: Offset,
        snapshot: Box<FleetSnapshot>,
    },
    Changes {
        from: Offset,
        changes: Vec<FleetChange>,
    },
    /// The next part of a newer configuration.
    #[serde(rename = "Configuration")]
    ConfigurationChunk(ConfigurationChunk),
    /// Each 200 ms: all that was agreed on by so many ms ago is known to this prompter, and of that the newest configuration
    /// stands at this place (0: there is none); and which prompters there are, by address, each with its zone, if that is known.
    #[serde(rename = "Pulse")]
    Heartbeat {
        /// The latest number that the gateway has said.
        contact_number: u64,
        quorum_contact_ms: u32,
        newest_configuration: AgreedPlace,
        control_nodes: Vec<(String, String)>,
    },
    #[serde(rename = "Lent")]
    LeaseGrant(LeaseGrant),
}

/// All that a gateway follows, but for the configuration, which comes in parts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    pub backends: Vec<Heartbeat>,
    /// Whether there are no backends but these: a prompter that has just begun does not know yet.
    pub complete: bool,
    pub draining: Vec<String>,
    pub gateways: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FleetChange {
    Backend(Heartbeat),
    /// Its life is over.
    #[serde(rename = "Over")]
    BackendRemoved(String),
    /// It takes nothing new any more.
    #[serde(rename = "Leaving")]
    BackendDraining(String),
    Gateways(Vec<String>),
}
