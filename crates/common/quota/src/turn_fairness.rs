//! Which gateway gets the next turn when there are fewer turns than requests: start-time fair queueing over gateways, each
//! weighted by how many of its requests ask for turns. Without it whichever gateway asks first behind each turn that becomes
//! free gets all of them, since gateways ask at regular intervals.

use crate::decaying_rate::DecayingRate;
use crate::time::{Time, MS};
use std::collections::BTreeMap;

/// How long a gateway's demand for turns is remembered, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;
/// A gateway that was denied a turn counts as waiting for one for so long: three of its intervals between requests.
const DENIED_TIMEOUT: Time = 120 * MS;
/// So that a turn is divided by safely; a gateway with less demand is forgotten.
const MIN_DEMAND: f64 = 0.1;

#[derive(Clone, Debug)]
struct GatewayDemand {
    /// Requests a second that ask for turns.
    demand: DecayingRate,
    /// Rises by 1 ÷ demand with each turn: the gateway with the lowest is the next.
    virtual_time: f64,
    denied_at: Option<Time>,
}

impl GatewayDemand {
    fn is_waiting(&self, now: Time) -> bool {
        self.denied_at.is_some_and(|at| now.saturating_sub(at) < DENIED_TIMEOUT)
    }
}

/// A throttled tenant's turns, dealt out to gateways by their demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct TurnFairness {
    gateways: BTreeMap<String, GatewayDemand>,
}

impl TurnFairness {
    /// So many requests of a gateway ask for turns.
    pub fn record_demand(&mut self, now: Time, gateway: &str, requests: u32) {
        let least_waiting = self.least_waiting(now, gateway);
        if !self.gateways.contains_key(gateway) {
            self.gateways.retain(|_, other| other.demand.at(now) >= MIN_DEMAND);
        }
        let demand = self.gateways.entry(gateway.to_string()).or_insert_with(|| GatewayDemand {
            demand: DecayingRate::new(now, DEMAND_WINDOW_S),
            virtual_time: 0.0,
            denied_at: None,
        });
        demand.demand.record(now, requests);
        if let Some(least) = least_waiting.filter(|_| !demand.is_waiting(now)) {
            // What it did not ask for meanwhile is not made up for.
            demand.virtual_time = demand.virtual_time.max(least);
        }
    }

    /// The lowest virtual time of the other gateways that wait for a turn.
    fn least_waiting(&self, now: Time, gateway: &str) -> Option<f64> {
        let others = self.gateways.iter().filter(|(name, other)| *name != gateway && other.is_waiting(now));
        others.map(|(_, other)| other.virtual_time).reduce(f64::min)
    }

    /// Whether no other gateway that waits for a turn comes before this one.
    pub fn is_next(&self, now: Time, gateway: &str) -> bool {
        let own = self.gateways.get(gateway).map_or(0.0, |demand| demand.virtual_time);
        self.least_waiting(now, gateway).is_none_or(|least| own <= least)
    }

    /// A gateway is granted a turn.
    pub fn on_granted(&mut self, now: Time, gateway: &str) {
        if let Some(demand) = self.gateways.get_mut(gateway) {
            demand.virtual_time += 1.0 / demand.demand.at(now).max(MIN_DEMAND);
        }
    }

    /// There was no turn for some of a gateway's requests, or there was one for each.
    pub fn on_answered(&mut self, now: Time, gateway: &str, was_denied: bool) {
        if let Some(demand) = self.gateways.get_mut(gateway) {
            demand.denied_at = was_denied.then_some(now);
        }
    }
}
