//! The one who lends: the holder of the duty, for as long as its term is beyond doubt.

use crate::{secs, Ask, Lent, Limit, Loan, Time, KEPT_BACK_AFTER};
use std::collections::{BTreeMap, BTreeSet};

/// How long the meter remembers, in seconds.
const MEMORY: f64 = 0.7;
/// What a store holds that a new keeper begins with, as a part of the burst.
const BEGIN: f64 = 0.25;

#[derive(Clone, Debug)]
struct Store {
    limit: Limit,
    level: f64,
    at: Time,
    /// What came past the chance, a second.
    metered: f64,
}

/// The keeper of all stores.
#[derive(Clone, Debug)]
pub struct Keeper {
    stores: BTreeMap<String, Store>,
    /// When each gateway was last heard.
    gateways: BTreeMap<String, Option<Time>>,
}

impl Keeper {
    /// A keeper that knows nothing of what the one before has lent in the last half second, nor of how full its stores
    /// were: they begin at a quarter of their burst, and all gateways count as silent until they are heard. A change of the
    /// keeper so adds a quarter of the burst to what may pass.
    pub fn begin(now: Time, limits: &BTreeMap<String, Limit>, gateways: &BTreeSet<String>) -> Self {
        let store =
            |limit: &Limit| Store { limit: *limit, level: BEGIN * limit.burst, at: now, metered: 0.0 };
        Keeper {
            stores: limits.iter().map(|(name, limit)| (name.clone(), store(limit))).collect(),
            gateways: gateways.iter().map(|name| (name.clone(), None)).collect(),
        }
    }

    /// The limits are these from now on. Who was not limited before begins with a whole burst.
    pub fn limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>) {
        self.advance(now);
        self.stores.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let new = Store { limit: *limit, level: limit.burst, at: now, metered: 0.0 };
            let store = self.stores.entry(name.clone()).or_insert(new);
            store.limit = *limit;
            store.level = store.level.min(limit.burst);
        }
    }

    /// These gateways are known.
    pub fn gateways(&mut self, all: &BTreeSet<String>) {
        for name in all {
            self.gateways.entry(name.clone()).or_insert(None);
        }
    }

    pub fn knows(&self, gateway: &str) -> bool {
        self.gateways.contains_key(gateway)
    }

    /// The part of all rates that is to be had: silent gateways may be using their even parts.
    fn open(&self, now: Time) -> f64 {
        let silent = |heard: &&Option<Time>| heard.is_none_or(|at| now.saturating_sub(at) >= KEPT_BACK_AFTER);
        let all = self.gateways.len().max(1);
        1.0 - self.gateways.values().filter(silent).count() as f64 / all as f64
    }

    fn advance(&mut self, now: Time) {
        let open = self.open(now);
        for s in self.stores.values_mut() {
            let dt = secs(now.saturating_sub(s.at));
            s.at = s.at.max(now);
            s.level = (s.level + dt * s.limit.rate * open).min(s.limit.burst);
            s.metered *= (-dt / MEMORY).exp();
        }
    }

    /// Lends. None to a gateway that is not known: its even part is not kept back yet.
    pub fn ask(&mut self, now: Time, gateway: &str, ask: &Ask) -> Option<Lent> {
        if !self.knows(gateway) {
            return None;
        }
        self.advance(now);
        self.gateways.insert(gateway.to_string(), Some(now));
        let mut loans = Vec::with_capacity(ask.wants.len());
        for want in &ask.wants {
            let Some(s) = self.stores.get_mut(&want.tenant) else { continue };
            s.metered += f64::from(want.asked) / MEMORY;
            s.level = (s.level + f64::from(want.back)).min(s.limit.burst);
            let units = want.units.min(s.level.max(0.0) as u32);
            s.level -= f64::from(units);
            let (left, metered) = (s.level as f32, s.metered as f32);
            loans.push(Loan { tenant: want.tenant.clone(), units, left, metered });
        }
        Some(Lent { number: ask.number, loans })
    }
}
