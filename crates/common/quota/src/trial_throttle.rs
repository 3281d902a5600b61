//! A tenant with a trial at the coordinator: whether it is throttled, and the one sequence of turns over all gateways.

use crate::lease::{TrialPhase, TurnRequest};
use crate::limit::TrialPace;
use crate::time::{to_micros, Time};
use crate::turn_fairness::TurnFairness;
use crate::PHASE_NOTICE;
use std::collections::BTreeMap;

/// What a gateway said last of a throttled tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayQueue {
    /// The gateway's name.
    pub name: String,
    /// When it said so.
    pub last_heard: Time,
    /// How many requests wait there.
    pub waiting: u32,
    /// How long requests that went lately had waited, on average, in microseconds.
    pub mean_wait_us: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct TrialThrottle {
    pub pace: TrialPace,
    pub throttled: bool,
    /// When that changes, once it is announced.
    pub changes_at: Option<Time>,
    /// When the next turn is free.
    pub next_turn: Time,
    /// When the next turn for urgent work is free.
    pub next_urgent_turn: Time,
    /// Whose turn is next when there are too few.
    pub fairness: TurnFairness,
    /// By gateway.
    pub gateways: BTreeMap<String, GatewayQueue>,
}

impl TrialThrottle {
    /// A throttle without a change announced.
    pub fn new(now: Time, pace: TrialPace, throttled: bool) -> Self {
        TrialThrottle {
            pace,
            throttled,
            changes_at: None,
            next_turn: now,
            next_urgent_turn: now,
            fairness: TurnFairness::default(),
            gateways: BTreeMap::new(),
        }
    }

    /// Makes a change that was announced, whatever came since; the way back follows behind it. Both count from when they
    /// were due: where no gateway has asked since, none has been told anything either.
    pub fn advance(&mut self, now: Time, is_over: bool) {
        while let Some(at) = self.changes_at.filter(|at| now >= *at) {
            self.throttled = !self.throttled;
            self.changes_at = (self.throttled != is_over).then_some(at + PHASE_NOTICE);
        }
        if self.throttled != is_over && self.changes_at.is_none() {
            self.changes_at = Some(now + PHASE_NOTICE);
        }
    }

    /// What gateways are told.
    pub fn announcement(&self, now: Time, tenant: &str) -> TrialPhase {
        TrialPhase {
            tenant: tenant.into(),
            throttled: self.throttled,
            changes_in_us: self.changes_at.map(|at| to_micros(at.saturating_sub(now))),
            rate: self.pace.rate,
            max_wait_us: to_micros(self.pace.max_wait),
        }
    }

    /// A gateway says how many requests wait there.
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
