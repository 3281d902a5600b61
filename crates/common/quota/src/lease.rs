//! Messages between a gateway and the coordinator. Fields are encoded in declaration order.

use serde::{Deserialize, Serialize};

/// Request from a gateway to the coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Request number, increasing per gateway; repeated in the answer.
    pub number: u64,
    /// Units for tenants that are not throttled.
    pub units: Vec<UnitRequest>,
    /// Turns for tenants that are throttled on this gateway.
    pub turns: Vec<TurnRequest>,
}

/// A gateway's request for units of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of units requested.
    pub units: u32,
    /// Requests not refused by probability since the gateway's previous lease request.
    pub arrivals: u32,
    /// Granted units that expired unused.
    pub returned: u32,
    /// Units of the fallback share used since the gateway's previous lease request. The gateway had no answer from the
    /// coordinator, but the coordinator may have received its requests and so reserved nothing for it. Omitted if 0, as
    /// in messages of versions without this field.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub spent_fallback: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A gateway's request for turns of one throttled tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of turns for reads.
    pub reads: u32,
    /// Number of turns for work that would miss its target latency if it waited longer than `slack_us`.
    pub urgent: u32,
    /// Time within which urgent work needs its turn, in microseconds.
    pub slack_us: u32,
    /// Granted turns that are no longer needed.
    pub returned: u32,
    /// Number of requests queued on this gateway.
    pub waiting: u32,
    /// Mean time that recently dequeued requests waited, in microseconds.
    pub waited_us: u32,
}

/// The coordinator's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// [`LeaseRequest::number`] of the request that this answers.
    pub number: u64,
    /// Id of the coordinator. A gateway holds turns of one coordinator at a time.
    pub coordinator: u64,
    /// Units granted, one entry per tenant in the request.
    pub units: Vec<UnitGrant>,
    /// Phase of each tenant with a trial, whether or not it is in the request.
    pub phases: Vec<TrialPhase>,
    /// Turns granted, one entry per throttled tenant in the request.
    pub turns: Vec<TurnGrant>,
}

/// Units granted of one tenant, and the state of its bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnitGrant {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of units granted.
    pub units: u32,
    /// Units left in the bucket.
    pub remaining: f32,
    /// Requests per second not refused by probability, over all gateways.
    pub arrival_rate: f32,
}

/// Whether a tenant with a trial is throttled, and when the next announced change takes effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialPhase {
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the tenant is throttled now.
    pub throttled: bool,
    /// Time until the announced change, in microseconds; `None` if no change is announced.
    pub changes_in_us: Option<u32>,
    /// [`crate::TrialPace::rate`], for a gateway whose configuration lacks the trial so far.
    pub rate: f64,
    /// [`crate::TrialPace::max_wait`], in microseconds.
    pub max_wait_us: u32,
}

/// Turns of a throttled tenant granted to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnGrant {
    /// Name of the tenant.
    pub tenant: String,
    /// Time until each regular turn, in microseconds, in ascending order.
    pub after_us: Vec<u32>,
    /// Time until each turn for urgent work, in microseconds, in ascending order.
    pub urgent_us: Vec<u32>,
    /// When to retry, in microseconds, for the requests that have no turn within the maximum wait. `None` if that has
    /// not been determined.
    pub retry_after_us: Option<u32>,
}
