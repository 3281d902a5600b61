//! What processes of the system say to each other. The first message on a connection tells which it is and in which form
//! it speaks; what is of another form ends the connection.

use change_log::Place;
use consensus::{FoundingSaid, Id, Members, Message, Term};
use control_state::{Part, Place as AgreedPlace};
use quota::{Ask, Lent};
use registry::Fact;
use serde::{Deserialize, Serialize};

/// The form of all messages here.
pub const FORM: u32 = 4;

/// The first on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum First {
    /// A prompter: what follows is [`Peer`].
    Prompter { form: u32, id: Id },
    /// A gateway: what follows is [`Up`], and [`Down`] the other way.
    Gateway {
        form: u32,
        name: String,
        zone: String,
        place: Option<Place>,
        /// Where the configuration that it holds stands in the agreed log; 0: it holds none.
        holds: AgreedPlace,
        /// As with [`Up::Contact`].
        contact: u64,
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
pub struct Told {
    pub by: String,
    pub zone: String,
    /// How long ago it last knew of a majority, in ms; none: not since it began. Older than a second: its word may be old.
    pub touch_ms: Option<u64>,
    pub answer: Answer,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    Status {
        id: String,
        term: Term,
        holder: Option<String>,
        voters: Vec<String>,
        /// Of the configuration that is agreed on: its version, and its place in the log.
        configuration: Option<(u32, u64)>,
        backends: usize,
        leaving: usize,
        gateways: usize,
        followers: Vec<String>,
        prompters: Vec<(String, String)>,
    },
    /// With whether each is leaving.
    Backends(Vec<(Fact, bool)>),
    /// With whether each follows this prompter, and which of those who do believe it to be gone.
    Gateways(Vec<(String, bool, Vec<String>)>),
    /// As the operator sent it.
    Configuration(Option<String>),
    Trials(Vec<Trial>),
}

/// A tenant's trial, as a prompter knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trial {
    pub tenant: String,
    /// In Unix milliseconds.
    pub ends: u64,
    /// Whether that has been agreed to have passed.
    pub over: bool,
    pub pace: f64,
    pub wait_ms: u64,
    /// By the keeper alone: whether it is slowed now, in how many ms that changes, and what gateways said of it: name, how
    /// many ms ago, how many wait there, for how many ms those waited that went lately.
    pub now: Option<(bool, Option<u64>)>,
    pub nodes: Vec<(String, u64, u32, u64)>,
}

/// A prompter to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Peer {
    /// Who it is, whether it is at the first start of all, whether it has a disk and so
    /// a vote, and whom it knows, each with its zone. Again each second.
    Hello {
        id: Id,
        zone: String,
        first: bool,
        votes: bool,
        known: Vec<(String, String)>,
        /// Its time of day, in Unix milliseconds.
        wall: u64,
    },
    /// Among seeds at the first start of all: who is to vote.
    Founding(FoundingSaid),
    /// From a seed that knows what was agreed on there: these are the voters.
    Found {
        members: Members,
    },
    Agree(Message),
    /// Beats since the last: those that say something new whole, of the others id and sequence.
    Beats {
        facts: Vec<Fact>,
        again: Vec<(String, u64)>,
    },
    /// This backend has said that its life is over.
    Over {
        instance: String,
    },
    /// To the holder: something to agree on. It may be lost; who wants it asks again.
    Propose {
        #[serde(with = "serde_bytes")]
        word: Vec<u8>,
    },
    /// To the holder: am I heard, and what is agreed on? ([`change_log::Contact`])
    Contact {
        number: u64,
    },
    /// The holder's answer: a majority was in contact with it so long ago, in ns, and all that was agreed on by then stands up
    /// to this place.
    Contacted {
        number: u64,
        age: u64,
        agreed: AgreedPlace,
    },
    /// To the holder: a gateway's ask.
    Ask {
        gateway: String,
        ask: Ask,
    },
    /// The holder's answer, of its term.
    Lent {
        gateway: String,
        term: Term,
        lent: Lent,
    },
    /// Backends that were named by id alone, and are not known here: their facts are wanted.
    Unknown {
        instances: Vec<String>,
    },
}

/// A gateway to its prompter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Up {
    Ask(Ask),
    /// Gateways that it suspects or believes to be gone, whenever that changes.
    Company {
        missing: Vec<String>,
    },
    /// So many bytes have come of what leads to the configuration of this place.
    Got {
        place: AgreedPlace,
        bytes: u32,
    },
    /// It does not hold what a difference is to: the whole configuration is wanted.
    Lacks,
    /// The next pulse is to bear this number, so that the gateway knows how old that is at the most.
    Contact {
        number: u64,
    },
}

/// A prompter to a gateway that follows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Down {
    /// All that is known, as of this place.
    Scene {
        place: Place,
        scene: Box<Scene>,
    },
    Changes {
        from: Place,
        changes: Vec<Change>,
    },
    /// The next part of a newer configuration.
    Configuration(Part),
    /// Each 200 ms: all that was agreed on by so many ms ago is known to this prompter, and of that the newest configuration
    /// stands at this place (0: there is none); and which prompters there are, by address, each with its zone, if that is known.
    Pulse {
        /// The latest number that the gateway has said.
        contact: u64,
        touch_ms: u32,
        newest: AgreedPlace,
        prompters: Vec<(String, String)>,
    },
    Lent(Lent),
}

/// All that a gateway follows, but for the configuration, which comes in parts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Scene {
    pub backends: Vec<Fact>,
    /// Whether there are no backends but these: a prompter that has just begun does not know yet.
    pub whole: bool,
    pub leaving: Vec<String>,
    pub gateways: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change {
    Backend(Fact),
    /// Its life is over.
    Over(String),
    /// It takes nothing new any more.
    Leaving(String),
    Gateways(Vec<String>),
}
