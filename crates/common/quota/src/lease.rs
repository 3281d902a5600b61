//! Messages between a gateway and the coordinator. Fields are sent in this order.

use serde::{Deserialize, Serialize};

/// A gateway's request. Its number is repeated in the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Rises with each request of a gateway.
    pub number: u64,
    /// For tenants within their limits.
    pub units: Vec<UnitRequest>,
    /// For tenants that are throttled here.
    pub turns: Vec<TurnRequest>,
}

/// What a gateway wants of one tenant's units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRequest {
    /// Whose.
    pub tenant: String,
    /// How many.
    pub units: u32,
    /// Requests that came past the refusal probability since the gateway last asked.
    pub arrivals: u32,
    /// Units that expired unused.
    pub returned: u32,
    /// Units of the fallback share that were used since the gateway last asked: it did not hear the coordinator, which may
    /// have heard it and kept nothing back. Absent if 0, as in the messages of versions that do not know the field.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub spent_fallback: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// What a gateway wants of a throttled tenant's turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Whose.
    pub tenant: String,
    /// Turns for reads.
    pub reads: u32,
    /// Turns for work that would miss its target latency if it waited for longer than `slack_us`.
    pub urgent: u32,
    /// In microseconds.
    pub slack_us: u32,
    /// Turns that nobody needs any more.
    pub returned: u32,
    /// How many requests wait here.
    pub waiting: u32,
    /// How long requests that went lately had waited, on average, in microseconds.
    pub waited_us: u32,
}

/// The coordinator's answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Of the request.
    pub number: u64,
    /// Tells coordinators apart: turns of one at a time count.
    pub coordinator: u64,
    /// For each tenant that was asked for.
    pub units: Vec<UnitGrant>,
    /// Each tenant with a trial, whether it was asked for or not.
    pub phases: Vec<TrialPhase>,
    /// For each throttled tenant that was asked for.
    pub turns: Vec<TurnGrant>,
}

/// What the coordinator grants of one tenant's units, and what it knows of the tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnitGrant {
    /// Whose.
    pub tenant: String,
    /// How many.
    pub units: u32,
    /// What is left in the bucket.
    pub remaining: f32,
    /// Requests a second that came past the refusal probability over all gateways.
    pub arrival_rate: f32,
}

/// Whether a tenant with a trial is throttled, and in how long that changes, if that is announced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialPhase {
    /// Whose.
    pub tenant: String,
    /// Now.
    pub throttled: bool,
    /// In microseconds.
    pub changes_in_us: Option<u32>,
    /// [`crate::TrialPace::rate`], for a gateway that does not know of the trial yet.
    pub rate: f64,
    /// [`crate::TrialPace::max_wait`], in microseconds.
    pub max_wait_us: u32,
}

/// A throttled tenant's turns that a gateway is granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnGrant {
    /// Whose.
    pub tenant: String,
    /// In how many microseconds each is, the soonest first.
    pub after_us: Vec<u32>,
    /// Of these, those for urgent work.
    pub urgent_us: Vec<u32>,
    /// There is none within the maximum wait for the rest: when to come back, in microseconds. None: nothing is known of them
    /// yet.
    pub retry_after_us: Option<u32>,
}
