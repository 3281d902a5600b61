//! Start-time fair queueing of turns over gateways, used when there are fewer turns than requests. Each gateway is
//! weighted by the number of its requests that need turns. Without it, the first gateway to ask after each turn becomes
//! free would get all of them, because gateways ask at regular intervals.

use crate::decaying_rate::DecayingRate;
use crate::time::{Time, MS};
use std::collections::BTreeMap;

/// Averaging window of a gateway's demand for turns, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;
/// Time for which a gateway that was denied a turn counts as waiting for one: three of its request intervals.
const DENIED_TIMEOUT: Time = 120 * MS;
/// Lower bound, in requests per second, for demand used as a divisor. Gateways with less demand are dropped.
const MIN_DEMAND: f64 = 0.1;

#[derive(Clone, Debug)]
struct GatewayDemand {
    /// Requests per second that need turns.
    demand: DecayingRate,
    /// Advances by 1 ÷ demand with each turn. The gateway with the lowest virtual time is next.
    virtual_time: f64,
    denied_at: Option<Time>,
}

impl GatewayDemand {
    fn is_waiting(&self, now: Time) -> bool {
        self.denied_at.is_some_and(|at| now.saturating_sub(at) < DENIED_TIMEOUT)
    }
}

/// Distributes a throttled tenant's turns over gateways by their demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct TurnFairness {
    gateways: BTreeMap<String, GatewayDemand>,
}

impl TurnFairness {
    /// Records that `requests` requests of a gateway need turns.
    pub fn record_demand(&mut self, now: Time, gateway: &str, requests: u32) {
        let min_waiting_virtual_time = self.min_waiting_virtual_time(now, gateway);
        if !self.gateways.contains_key(gateway) {
            self.gateways.retain(|_, other| other.demand.at(now) >= MIN_DEMAND);
        }
        let state = self.gateways.entry(gateway.to_string()).or_insert_with(|| GatewayDemand {
            demand: DecayingRate::new(now, DEMAND_WINDOW_S),
            virtual_time: 0.0,
            denied_at: None,
        });
        state.demand.record(now, requests);
        if let Some(min_virtual_time) = min_waiting_virtual_time.filter(|_| !state.is_waiting(now)) {
            // A gateway gets no credit for the time in which it did not ask.
            state.virtual_time = state.virtual_time.max(min_virtual_time);
        }
    }

    /// Returns the lowest virtual time of the other gateways waiting for a turn.
    fn min_waiting_virtual_time(&self, now: Time, gateway: &str) -> Option<f64> {
        let others = self.gateways.iter().filter(|(name, other)| *name != gateway && other.is_waiting(now));
        others.map(|(_, other)| other.virtual_time).reduce(f64::min)
    }

    /// Whether no other gateway waiting for a turn precedes this one.
    pub fn is_next(&self, now: Time, gateway: &str) -> bool {
        let own_virtual_time = self.gateways.get(gateway).map_or(0.0, |state| state.virtual_time);
        self.min_waiting_virtual_time(now, gateway)
            .is_none_or(|min_virtual_time| own_virtual_time <= min_virtual_time)
    }

    /// Records a turn granted to a gateway.
    pub fn on_granted(&mut self, now: Time, gateway: &str) {
        if let Some(state) = self.gateways.get_mut(gateway) {
            state.virtual_time += 1.0 / state.demand.at(now).max(MIN_DEMAND);
        }
    }

    /// Records whether some of a gateway's requests were denied a turn.
    pub fn on_answered(&mut self, now: Time, gateway: &str, was_denied: bool) {
        if let Some(state) = self.gateways.get_mut(gateway) {
            state.denied_at = was_denied.then_some(now);
        }
    }
}
