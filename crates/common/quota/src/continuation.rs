//! Continuations: the rates, beyond their fallback shares, at which recently silent gateways may continue. They are
//! deducted from the refill of the affected buckets only.

use crate::contact::GatewayContacts;
use crate::refill_clock::RefillTime;
use crate::token_bucket::TokenBucket;
use crate::CONTINUATION_RATIO;
use std::collections::BTreeMap;

/// Rate at which one gateway may continue for one tenant.
#[derive(Clone, Debug, PartialEq)]
struct Continuation {
    tenant: String,
    /// Units per second, beyond the fallback share.
    rate: f64,
}

/// Continuations of all recently silent gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct Continuations {
    by_gateway: BTreeMap<String, Vec<Continuation>>,
}

impl Continuations {
    /// Starts the continuations of a gateway that has become silent.
    pub fn begin(
        &mut self,
        time: RefillTime,
        gateway: &str,
        contacts: &GatewayContacts,
        buckets: &mut BTreeMap<String, TokenBucket>,
    ) {
        let mut continuations = Vec::new();
        for (tenant, grant_rate) in contacts.grant_rates_at_last_request(gateway) {
            let Some(bucket) = buckets.get_mut(tenant) else { continue };
            let rate = CONTINUATION_RATIO * grant_rate - bucket.limit.rate * contacts.fallback_share();
            if rate > 0.0 {
                bucket.refill(time);
                bucket.begin_continuation(rate);
                continuations.push(Continuation { tenant: tenant.to_string(), rate });
            }
        }
        self.by_gateway.insert(gateway.to_string(), continuations);
    }

    /// Ends the continuations of a gateway that is active again or has only its fallback share from now on.
    pub fn end(&mut self, time: RefillTime, gateway: &str, buckets: &mut BTreeMap<String, TokenBucket>) {
        for Continuation { tenant, rate } in self.by_gateway.remove(gateway).unwrap_or_default() {
            if let Some(bucket) = buckets.get_mut(&tenant) {
                bucket.refill(time);
                bucket.end_continuation(rate);
            }
        }
    }

    /// Recomputes all continuations after a change of limits or gateways. The buckets must be refilled up to `time`.
    pub fn rebuild(
        &mut self,
        time: RefillTime,
        contacts: &GatewayContacts,
        buckets: &mut BTreeMap<String, TokenBucket>,
    ) {
        *self = Continuations::default();
        buckets.values_mut().for_each(TokenBucket::end_all_continuations);
        for gateway in contacts.recently_silent() {
            self.begin(time, gateway, contacts, buckets);
        }
    }

    /// Returns the number of gateways that may continue.
    pub fn gateways(&self) -> usize {
        self.by_gateway.len()
    }
}
