//! Questions of `granitethread-ctl`, and what a control node answers. The names that `serde` gives to fields are those of
//! the tool's JSON output.

use consensus::Term;
use registry::Heartbeat;
use serde::{Deserialize, Serialize};

/// A question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The node itself.
    Status,
    /// All backends.
    Backends,
    /// All gateways.
    Gateways,
    /// The configuration in force.
    Configuration,
    /// All tenants on trial.
    Trials,
}

/// What a control node knows, and how fresh that is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryResponse {
    /// Who answers.
    #[serde(rename = "by")]
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// How long ago it last knew of a majority, in milliseconds; none: not since it started. Older than a second: the answer
    /// may be old.
    #[serde(rename = "touch_ms")]
    pub quorum_contact_ms: Option<u64>,
    /// What it knows.
    pub answer: QueryAnswer,
}

/// What a control node knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// To [`Query::Status`].
    Status {
        /// Name and disk id.
        id: String,
        /// The current term.
        term: Term,
        /// Name and disk id of the leader, if one is known.
        #[serde(rename = "holder")]
        leader: Option<String>,
        /// Names and disk ids.
        voters: Vec<String>,
        /// The version and the log index of the configuration in force.
        configuration: Option<(u32, u64)>,
        /// How many are known.
        backends: usize,
        /// How many of all that ever were drain.
        #[serde(rename = "leaving")]
        draining: usize,
        /// How many are replicated.
        gateways: usize,
        /// The names of the gateways that subscribe to this node.
        followers: Vec<String>,
        /// Control nodes by address, each with its zone.
        #[serde(rename = "prompters")]
        control_nodes: Vec<(String, String)>,
    },
    /// To [`Query::Backends`]: each with whether it drains.
    Backends(Vec<(Heartbeat, bool)>),
    /// To [`Query::Gateways`]: each with whether it subscribes to this node, and which of the subscribers believe it to be
    /// gone.
    Gateways(Vec<(String, bool, Vec<String>)>),
    /// To [`Query::Configuration`]: as the operator sent it.
    Configuration(Option<String>),
    /// To [`Query::Trials`].
    Trials(Vec<TrialReport>),
}

/// A tenant's trial, as a control node knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialReport {
    /// Whose.
    pub tenant: String,
    /// In Unix milliseconds.
    #[serde(rename = "ends")]
    pub ends_at: u64,
    /// Whether that is replicated to have passed.
    #[serde(rename = "over")]
    pub expired: bool,
    /// Requests a second behind it.
    #[serde(rename = "pace")]
    pub rate: f64,
    /// How long a request waits at most, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: u64,
    /// By the quota coordinator alone: whether the tenant is throttled now, and in how many milliseconds that changes.
    #[serde(rename = "now")]
    pub throttle: Option<(bool, Option<u64>)>,
    /// What gateways said of it: name, how many milliseconds ago, how many requests wait there, and for how many milliseconds
    /// those had waited that went lately.
    #[serde(rename = "nodes")]
    pub gateways: Vec<(String, u64, u32, u64)>,
}
