//! What gateways that fell silent lately may go on with, beyond their fallback shares: kept back from the refill of the
//! buckets that are concerned, and of no other.

use crate::contact::GatewayContacts;
use crate::refill_clock::RefillTime;
use crate::token_bucket::TokenBucket;
use crate::CONTINUATION_RATIO;
use std::collections::BTreeMap;

/// A tenant's units that one gateway may go on with.
#[derive(Clone, Debug, PartialEq)]
struct Continuation {
    tenant: String,
    /// Units a second.
    rate: f64,
}

/// The continuations of all gateways that fell silent lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Continuations {
    by_gateway: BTreeMap<String, Vec<Continuation>>,
}

impl Continuations {
    /// A gateway has fallen silent.
    pub fn begin(
        &mut self,
        time: RefillTime,
        gateway: &str,
        contacts: &GatewayContacts,
        buckets: &mut BTreeMap<String, TokenBucket>,
    ) {
        let mut continuations = Vec::new();
        for (tenant, granted) in contacts.granted_when_heard(gateway) {
            let Some(bucket) = buckets.get_mut(tenant) else { continue };
            let rate = CONTINUATION_RATIO * granted - bucket.limit.rate * contacts.fallback_share();
            if rate > 0.0 {
                bucket.refill(time);
                bucket.begin_continuation(rate);
                continuations.push(Continuation { tenant: tenant.to_string(), rate });
            }
        }
        self.by_gateway.insert(gateway.to_string(), continuations);
    }

    /// A gateway is heard again, or has its fallback share alone from now on.
    pub fn end(&mut self, time: RefillTime, gateway: &str, buckets: &mut BTreeMap<String, TokenBucket>) {
        for Continuation { tenant, rate } in self.by_gateway.remove(gateway).unwrap_or_default() {
            if let Some(bucket) = buckets.get_mut(&tenant) {
                bucket.refill(time);
                bucket.end_continuation(rate);
            }
        }
    }

    /// Limits or gateways have changed, and with them all of it. The buckets were filled until now.
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

    /// How many gateways may go on.
    pub fn gateways(&self) -> usize {
        self.by_gateway.len()
    }
}
