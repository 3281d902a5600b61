//! Queries of `granitethread-ctl` and the control node's responses. The field names given by `serde` are those of the
//! tool's JSON output.

use consensus::Term;
use registry::Heartbeat;
use serde::{Deserialize, Serialize};

/// A query to a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// State of the node itself.
    Status,
    /// All known backends.
    Backends,
    /// All gateways.
    Gateways,
    /// The configuration in force.
    Configuration,
    /// All tenants with a trial.
    Trials,
}

/// A control node's answer, and how fresh it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryResponse {
    /// Name of the responding node.
    #[serde(rename = "by")]
    pub node: String,
    /// Zone of the responding node.
    pub zone: String,
    /// Time since the node was last in contact with a majority, in milliseconds; none: no contact since it started.
    /// If this exceeds one second, the answer may be stale.
    #[serde(rename = "touch_ms")]
    pub quorum_contact_ms: Option<u64>,
    /// The answer.
    pub answer: QueryAnswer,
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// Answer to [`Query::Status`].
    Status {
        /// Name and disk id of the node.
        id: String,
        /// The node's current term.
        term: Term,
        /// Name and disk id of the leader, if known.
        #[serde(rename = "holder")]
        leader: Option<String>,
        /// Names and disk ids of the voters.
        voters: Vec<String>,
        /// Version and log index of the configuration in force.
        configuration: Option<(u32, u64)>,
        /// Number of known backends.
        backends: usize,
        /// Number of replicated drains, including those of backends that are gone.
        #[serde(rename = "leaving")]
        draining: usize,
        /// Number of replicated gateways.
        gateways: usize,
        /// Names of the gateways that subscribe to this node.
        followers: Vec<String>,
        /// Control nodes by address, each with its zone.
        #[serde(rename = "prompters")]
        control_nodes: Vec<(String, String)>,
    },
    /// Answer to [`Query::Backends`]: each backend's heartbeat, and whether the backend is draining.
    Backends(Vec<(Heartbeat, bool)>),
    /// Answer to [`Query::Gateways`]: each gateway's name, whether it subscribes to this node, and the subscribers
    /// that report it as missing.
    Gateways(Vec<(String, bool, Vec<String>)>),
    /// Answer to [`Query::Configuration`]: the text that the operator sent.
    Configuration(Option<String>),
    /// Answer to [`Query::Trials`].
    Trials(Vec<TrialReport>),
}

/// The state of a tenant's trial, as a control node knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialReport {
    /// Name of the tenant.
    pub tenant: String,
    /// End of the trial in Unix milliseconds.
    #[serde(rename = "ends")]
    pub ends_at: u64,
    /// Whether the expiry is replicated.
    #[serde(rename = "over")]
    pub expired: bool,
    /// Throttled rate after the trial, in requests per second.
    #[serde(rename = "pace")]
    pub rate: f64,
    /// Maximum time that a throttled request waits, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: u64,
    /// Reported by the quota coordinator only: whether the tenant is throttled now, and the time until that changes,
    /// in milliseconds.
    #[serde(rename = "now")]
    pub throttle: Option<(bool, Option<u64>)>,
    /// The gateways' latest reports: gateway name, age of the report in milliseconds, number of waiting requests, and
    /// the mean wait of recently released requests in milliseconds.
    #[serde(rename = "nodes")]
    pub gateways: Vec<(String, u64, u32, u64)>,
}
