//! What all gateways may do together and none alone: a tenant's requests within its limit, and retries within their budget.
//! No I/O and no clock.
//!
//! A tenant has a token bucket: its burst, filled at its rate, drained by metered use. While it holds units all requests
//! pass; once it is empty a request is refused with probability 1 − rate ÷ demand, where demand is what came past the
//! probability in force, over all gateways, ÷ (1 − that probability). The [`QuotaCoordinator`] holds the bucket and the
//! meter, the [`QuotaClient`] of each gateway the probability. Behind the probability stands a firm bound: a request needs
//! a unit that the coordinator took from the bucket and granted to this gateway, and that expires half a second after it was
//! requested.
//!
//! Over any span of `t` seconds no more than rate × (t + 0.2) + burst of a tenant's requests pass on all gateways, frozen
//! ones included, and a quarter of the burst where the coordinator changes; what isolated gateways go on with is kept back
//! at the coordinator. `docs/design/quota.md` has the argument, `tests/worst_case.rs` plays drawn worst cases.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod contact;
mod continuation;
mod decaying_rate;
mod figures;
mod initial_fill;
mod lease;
mod limit;
mod quota_client;
mod quota_coordinator;
mod refill_clock;
mod retry_budget;
mod tenant_quota;
mod throttle_queue;
mod time;
mod token_bucket;
mod trial_throttle;
mod turn_assignment;
mod turn_fairness;

pub use figures::{AdmissionCounts, CoordinatorStatus, GrantCounts};
pub use initial_fill::PreviousCoordinator;
pub use lease::{LeaseGrant, LeaseRequest, TrialPhase, TurnGrant, TurnRequest, UnitGrant, UnitRequest};
pub use limit::{Limit, TrialPace};
pub use quota_client::{Decision, QuotaClient};
pub use quota_coordinator::{QuotaCoordinator, TrialStatus};
pub use retry_budget::RetryBudget;
pub use throttle_queue::{QueueOutcome, QueuedRequest};
pub use time::Time;
pub use trial_throttle::GatewayQueue;

use time::MS;

/// A granted unit expires so long after it was requested.
pub const GRANT_LIFETIME: Time = 500 * MS;
/// A gateway that has heard nothing from the coordinator for so long is isolated: for [`CONTINUATION_PERIOD`] it goes on at
/// [`CONTINUATION_RATIO`] of the rate that it was granted lately, or at its fallback share if that is more; from then on it
/// has its fallback share alone.
pub const ISOLATION_TIMEOUT: Time = 300 * MS;
/// The coordinator keeps back the fallback share of a gateway that it has not heard for so long: sooner than the gateway may
/// use it.
pub const FALLBACK_RESERVE_TIMEOUT: Time = 200 * MS;
/// A gateway has no fallback share any more once no coordinator has answered it for so long: longer than regions lose each
/// other. `docs/design/gone.md`.
pub const FALLBACK_LIFETIME: Time = 90 * 60 * 1000 * MS;
/// A process that no coordinator has answered yet has its fallback share for so long from its start: elections end by then.
pub const NEW_PROCESS_FALLBACK_LIFETIME: Time = 5000 * MS;
/// A gateway sends a request at least this often, so that the coordinator hears it.
pub const REQUEST_INTERVAL: Time = 100 * MS;
/// A change of the coordinator takes about so long.
pub const CONTINUATION_PERIOD: Time = 1000 * MS;
/// An isolated gateway goes on at this part of the rate at which it was granted units, for [`CONTINUATION_PERIOD`]. The
/// coordinator keeps as much back.
pub const CONTINUATION_RATIO: f64 = 0.7;
/// How long the rate at which a gateway is granted units is remembered, in seconds.
const GRANT_RATE_WINDOW_S: f64 = 2.0;
/// A change between full speed and throttling is announced so long before: longer than a gateway may go at full speed
/// without hearing the coordinator, and by [`PHASE_GAP`] more.
pub const PHASE_NOTICE: Time = ISOLATION_TIMEOUT + PHASE_GAP;
/// Between the last request at full speed anywhere and the first refusal for the pace, and the other way round.
pub const PHASE_GAP: Time = 100 * MS;
