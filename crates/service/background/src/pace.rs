//! Jitter and exponential backoff for one gateway's calls to a service that other gateways call too.
//!
//! A shared service handles calls in order. A call that has waited too long fails, and the service still processes it:
//! once the backlog is as long as the timeout of a call, every call fails and every retry keeps the backlog up.
//! Backing off after a failure is not enough, because the *first* calls after a common start build the backlog. First
//! calls are therefore spread over a window that grows with the number of gateways, and retries over windows that
//! double.

use fastrand::Rng;
use std::time::Duration;

/// Time of a shared service that is budgeted for one call when all gateways call once within the window.
const CALL_BUDGET: Duration = Duration::from_millis(80);
/// Minimum backoff window, used as it is for a service that has no other callers.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Pause between two long polls. A watch counts as abandoned after 200 ms.
const NEXT_POLL_DELAY: Duration = Duration::from_millis(100);
/// Maximum backoff for a local agent. The gateway is considered informed of whatever the agent holds, so it must not
/// poll less often.
const MAX_LOCAL_WINDOW: Duration = Duration::from_millis(200);

/// The kind of service that answers the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// An agent on this gateway's machine that serves no other gateway.
    Local,
    /// A service shared by `gateways` gateways, each of which must call at least once per `within`.
    Shared { gateways: u32, within: Duration },
}

/// Delays between one gateway's calls to one service.
#[derive(Clone, Debug)]
pub struct Pace {
    service: Service,
    /// Windows over which the first call and the first retry are spread, and the maximum window of any retry.
    first_window: Duration,
    min_window: Duration,
    max_window: Duration,
    failures: u32,
    rng: Rng,
}

/// Returns the windows over which the first call and the first retry are spread, and the maximum window of any retry.
fn windows(service: Service) -> (Duration, Duration, Duration) {
    match service {
        Service::Local => (Duration::ZERO, MIN_WINDOW, MAX_LOCAL_WINDOW),
        Service::Shared { gateways, within } => {
            // The calls of all gateways within `within` must also leave room for retries.
            let window = CALL_BUDGET.saturating_mul(gateways.saturating_sub(1)).min(within * 4 / 5);
            (window, window.max(MIN_WINDOW), within.max(MIN_WINDOW))
        }
    }
}

impl Pace {
    /// Creates a pace. `seed` must differ for each gateway and each start.
    pub fn new(service: Service, seed: u64) -> Self {
        let (first_window, min_window, max_window) = windows(service);
        Pace { service, first_window, min_window, max_window, failures: 0, rng: Rng::with_seed(seed) }
    }

    /// Updates the estimated number of gateways that call the service. The interval within which each must call stays
    /// the same.
    pub fn shared_by(&mut self, gateways: u32) {
        if let Service::Shared { gateways: current, .. } = &mut self.service {
            *current = gateways;
            (self.first_window, self.min_window, self.max_window) = windows(self.service);
        }
    }

    /// Returns an independent pace for calls to another service of the same kind.
    #[must_use]
    pub fn fork(&mut self) -> Self {
        Pace { failures: 0, rng: self.rng.fork(), ..*self }
    }

    /// Returns the delay before the first call.
    pub fn first(&mut self) -> Duration {
        self.first_window.mul_f64(self.rng.f64())
    }

    /// Records a failed call and returns the delay before the next one. The windows double up to the maximum; the delay
    /// is drawn from the upper half of the window, so that no retry follows immediately.
    pub fn failed(&mut self) -> Duration {
        let window = self.min_window.saturating_mul(1 << self.failures.min(16)).min(self.max_window);
        self.failures = self.failures.saturating_add(1);
        window.mul_f64(0.5 + self.rng.f64() / 2.0)
    }

    /// Records an answer that carried an update: the backoff starts over with the next failure.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Records a long poll with the timeout `max_wait` that was answered after `elapsed` without an update, and returns
    /// the delay before the next one. After at least half of the timeout the watch continues normally. An earlier answer
    /// means that the service does not hold calls as it should; an immediate call by every gateway would cost it as much
    /// as retries after failures do.
    pub fn unchanged(&mut self, elapsed: Duration, max_wait: Duration) -> Duration {
        if elapsed < max_wait / 2 {
            return self.failed();
        }
        self.answered();
        NEXT_POLL_DELAY
    }
}
