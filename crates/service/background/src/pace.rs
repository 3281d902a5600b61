//! How far apart one gateway's calls to a service lie that others call too.
//!
//! A shared service serves calls in turn. One that has waited too long fails, and yet is worked off: once the
//! backlog is as long as the time that a call may wait, every call fails and every repeat keeps the backlog up. So
//! it is not enough to back off after a failure: the *first* calls after a common start make the backlog. They are
//! spread over a window that grows with the number of gateways, and repeats over windows that double.

use fastrand::Rng;
use std::time::Duration;

/// Of a shared service's time a call may take so much, if all gateways call once within the window.
const CALL: Duration = Duration::from_millis(80);
/// Between two calls to a service that nobody else calls.
const LEAST: Duration = Duration::from_millis(100);
/// From the end of one wait to the next: a watch counts as given up after 200 ms.
const NEXT: Duration = Duration::from_millis(100);
/// An agent on the own machine is asked this often at the least: what it holds counts as told.
const LOCAL_MOST: Duration = Duration::from_millis(200);

/// Who answers the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// An agent on this gateway's machine, which serves nobody else.
    Local,
    /// One service for so many gateways, of which each is to call once in `within` at the least.
    Shared { gateways: u32, within: Duration },
}

/// The pace of one gateway's calls to one service.
#[derive(Clone, Debug)]
pub struct Pace {
    service: Service,
    /// Over how long a first call is spread, a first repeat, and any repeat.
    first: Duration,
    least: Duration,
    most: Duration,
    failures: u32,
    rng: Rng,
}

/// Over how long a first call is spread, a first repeat, and any repeat.
fn windows(service: Service) -> (Duration, Duration, Duration) {
    match service {
        Service::Local => (Duration::ZERO, LEAST, LOCAL_MOST),
        Service::Shared { gateways, within } => {
            // What all gateways ask for in `within` must also leave room for repeats.
            let window = CALL.saturating_mul(gateways.saturating_sub(1)).min(within * 4 / 5);
            (window, window.max(LEAST), within.max(LEAST))
        }
    }
}

impl Pace {
    /// `seed`: another one for each gateway and each start.
    pub fn new(service: Service, seed: u64) -> Self {
        let (first, least, most) = windows(service);
        Pace { service, first, least, most, failures: 0, rng: Rng::with_seed(seed) }
    }

    /// So many gateways are believed to call it. The wait that a call may have to be in time stays as it is.
    pub fn shared_by(&mut self, gateways: u32) {
        if let Service::Shared { gateways: told, .. } = &mut self.service {
            *told = gateways;
            (self.first, self.least, self.most) = windows(self.service);
        }
    }

    /// The same for calls to another service of the kind.
    #[must_use]
    pub fn fork(&mut self) -> Self {
        Pace { failures: 0, rng: self.rng.fork(), ..*self }
    }

    /// How long to wait before the first call.
    pub fn first(&mut self) -> Duration {
        self.first.mul_f64(self.rng.f64())
    }

    /// A call failed: how long to wait before the next. The windows double up to the longest; the upper half of
    /// each is drawn from, so that no repeat comes at once.
    pub fn failed(&mut self) -> Duration {
        let window = self.least.saturating_mul(1 << self.failures.min(16)).min(self.most);
        self.failures = self.failures.saturating_add(1);
        window.mul_f64(0.5 + self.rng.f64() / 2.0)
    }

    /// A call was answered with news: the next failure is a first one.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// A call that might wait so long was answered after `took` with nothing new: how long to wait before the next.
    /// After most of the wait the watch goes on. Sooner, the service does not hold calls as it should, and to be
    /// called again at once by all gateways is as much work to it as failures are.
    pub fn unchanged(&mut self, took: Duration, wait: Duration) -> Duration {
        if took < wait / 2 {
            return self.failed();
        }
        self.answered();
        NEXT
    }
}
