//! Quotas shared by all gateways: tenant rate limits, trial throttling and the retry budget. No I/O and no clock.
//!
//! Each tenant has a token bucket that holds its burst, is refilled at its rate and is drained by metered use. While
//! the bucket holds units, every request is admitted. Once it is empty, a request is refused with probability 1 − rate
//! ÷ demand. Demand is the rate at which requests over all gateways get past the probability in force, divided by 1 −
//! that probability. The [`QuotaCoordinator`] holds the bucket and the meter; the [`QuotaClient`] of each gateway holds
//! the probability. A hard bound backs the probability: each request needs a unit that the coordinator took from the
//! bucket and granted to this gateway. A unit expires half a second after the gateway requested it.
//!
//! Over any span of `t` seconds, all gateways together, including frozen ones, admit at most rate × (t + 0.2) + burst
//! of a tenant's requests, plus a quarter of the burst where the coordinator changes. The coordinator reserves the
//! units that isolated gateways continue to use. See `docs/design/quota.md` for the argument; `tests/worst_case.rs`
//! checks the bound against randomized worst cases.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod contact;
mod continuation;
mod decaying_rate;
mod initial_fill;
mod lease;
mod limit;
mod quota_client;
mod quota_coordinator;
mod refill_clock;
mod retry_budget;
mod stats;
mod tenant_quota;
mod throttle_queue;
mod time;
mod token_bucket;
mod trial_throttle;
mod turn_assignment;
mod turn_fairness;

pub use initial_fill::PreviousCoordinator;
pub use lease::{LeaseGrant, LeaseRequest, TrialPhase, TurnGrant, TurnRequest, UnitGrant, UnitRequest};
pub use limit::{Limit, TrialPace};
pub use quota_client::{Decision, QuotaClient};
pub use quota_coordinator::{QuotaCoordinator, TrialStatus};
pub use retry_budget::RetryBudget;
pub use stats::{AdmissionCounts, CoordinatorStatus, GrantCounts};
pub use throttle_queue::{QueueOutcome, QueuedRequest};
pub use time::Time;
pub use trial_throttle::GatewayQueue;

use time::MS;

/// Lifetime of a granted unit, counted from when it was requested.
pub const GRANT_LIFETIME: Time = 500 * MS;
/// Time after the last answered request was sent at which a gateway is isolated. For [`CONTINUATION_PERIOD`] it
/// continues at [`CONTINUATION_RATIO`] of its recent grant rate, or at its fallback share if that is higher; after that
/// it has only its fallback share.
pub const ISOLATION_TIMEOUT: Time = 300 * MS;
/// Time without a request from a gateway after which the coordinator reserves that gateway's fallback share. Shorter
/// than [`ISOLATION_TIMEOUT`], so that the share is reserved before the gateway may use it.
pub const FALLBACK_RESERVE_TIMEOUT: Time = 200 * MS;
/// Time without an answer from any coordinator after which a gateway has no fallback share. Longer than a loss of
/// contact between regions lasts. See `docs/design/gone.md`.
pub const FALLBACK_LIFETIME: Time = 90 * 60 * 1000 * MS;
/// How long after its start a process that no coordinator has answered yet has its fallback share. Elections finish
/// within this time.
pub const NEW_PROCESS_FALLBACK_LIFETIME: Time = 5000 * MS;
/// Longest interval between a gateway's requests. Idle gateways also send requests, so that the coordinator sees them.
pub const REQUEST_INTERVAL: Time = 100 * MS;
/// How long an isolated gateway continues at [`CONTINUATION_RATIO`] of its grant rate: about as long as a change of
/// coordinator takes.
pub const CONTINUATION_PERIOD: Time = 1000 * MS;
/// Fraction of its grant rate at which an isolated gateway continues for [`CONTINUATION_PERIOD`]. The coordinator
/// reserves the same amount.
pub const CONTINUATION_RATIO: f64 = 0.7;
/// Averaging window of the rate at which a gateway is granted units, in seconds.
const GRANT_RATE_WINDOW_S: f64 = 2.0;
/// How long in advance a change between the unthrottled and the throttled phase is announced: [`PHASE_GAP`] more than
/// the longest time for which a gateway may stay unthrottled without an answer from the coordinator.
pub const PHASE_NOTICE: Time = ISOLATION_TIMEOUT + PHASE_GAP;
/// Minimum time between the last unthrottled request on any gateway and the first request refused for the pace, and
/// vice versa.
pub const PHASE_GAP: Time = 100 * MS;
