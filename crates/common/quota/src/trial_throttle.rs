//! Throttle of a tenant with a trial, at the coordinator: its phase, and the single sequence of turns over all
//! gateways.

use crate::lease::{TrialPhase, TurnRequest};
use crate::limit::TrialPace;
use crate::time::{to_micros, Time};
use crate::turn_fairness::TurnFairness;
use crate::PHASE_NOTICE;
use std::collections::BTreeMap;

/// A gateway's latest report on its queue of a throttled tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayQueue {
    /// Name of the gateway.
    pub name: String,
    /// When the report was received.
    pub last_heard: Time,
    /// Number of queued requests.
    pub waiting: u32,
    /// Mean time that recently dequeued requests waited, in microseconds.
    pub mean_wait_us: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct TrialThrottle {
    pub pace: TrialPace,
    pub throttled: bool,
    /// When `throttled` changes, if a change has been announced.
    pub phase_change_at: Option<Time>,
    /// Earliest time of the next turn.
    pub next_turn: Time,
    /// Earliest time of the next turn for urgent work.
    pub next_urgent_turn: Time,
    /// Selects the next gateway when there are too few turns.
    pub fairness: TurnFairness,
    /// Latest queue report of each gateway.
    pub gateways: BTreeMap<String, GatewayQueue>,
}

impl TrialThrottle {
    /// Creates a throttle without an announced change.
    pub fn new(now: Time, pace: TrialPace, throttled: bool) -> Self {
        TrialThrottle {
            pace,
            throttled,
            phase_change_at: None,
            next_turn: now,
            next_urgent_turn: now,
            fairness: TurnFairness::default(),
            gateways: BTreeMap::new(),
        }
    }

    /// Applies an announced change that is due, even if the target state has changed since; the change back is
    /// announced to follow it. Both are timed from when they were due: if no gateway has sent a request since, none has
    /// received an announcement either.
    pub fn advance(&mut self, now: Time, should_throttle: bool) {
        while let Some(at) = self.phase_change_at.filter(|at| now >= *at) {
            self.throttled = !self.throttled;
            self.phase_change_at = (self.throttled != should_throttle).then_some(at + PHASE_NOTICE);
        }
        if self.throttled != should_throttle && self.phase_change_at.is_none() {
            self.phase_change_at = Some(now + PHASE_NOTICE);
        }
    }

    /// Returns the phase to send to gateways.
    pub fn announcement(&self, now: Time, tenant: &str) -> TrialPhase {
        TrialPhase {
            tenant: tenant.into(),
            throttled: self.throttled,
            changes_in_us: self.phase_change_at.map(|at| to_micros(at.saturating_sub(now))),
            rate: self.pace.rate,
            max_wait_us: to_micros(self.pace.max_wait),
        }
    }

    /// Records a gateway's queue report.
    pub fn record_queue(&mut self, now: Time, gateway: &str, request: &TurnRequest) {
        let queue = GatewayQueue {
            name: gateway.to_string(),
            last_heard: now,
            waiting: request.waiting,
            mean_wait_us: request.waited_us,
        };
        self.gateways.insert(gateway.to_string(), queue);
    }
}
