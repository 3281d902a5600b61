//! Ages the saved state of a gateway's decision module for the process that restores it: what the module has learnt
//! loses weight, and token buckets are charged for what may have been spent since. Restored state must never be more
//! permissive than starting without any.
//!
//! The state is the module's own JSON text (`leave`, `take_over`): customers with their token buckets, servers with the
//! observations of them.

use crate::Time;
use serde_json::{json, Map, Value};

/// Half-life in seconds of the weight of observations of a server, and of a customer's averages.
const OBSERVATION_HALF_LIFE_S: f64 = 30.0;
const AVERAGE_HALF_LIFE_S: f64 = 5.0;
/// Fields with the module's running averages of a customer's demand and usage.
const AVERAGE_FIELDS: [&str; 8] =
    ["asked", "passed", "passed_then", "metered", "passed_long", "metered_long", "told", "span"];
/// Age from which observations of servers, and above which a server list, are discarded.
const MAX_AGE: Time = 600_000_000_000;

/// Time of the saved state, how long the process may have run after it, and the current time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    pub saved_at: Time,
    /// Maximum time between two snapshots including their writing: what the process did after `saved_at` happened within
    /// it.
    pub interval: Time,
    pub now: Time,
}

/// A plan's quota: units per second, and the bucket's capacity in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub depth: f64,
}

impl Times {
    /// Times of a state saved at `saved_at` by a process that saved once per `save_interval`. A later snapshot may have
    /// been on its way to the disk when the process ended, so up to two intervals lie between this state and the end.
    #[must_use]
    pub fn new(saved_at: Time, save_interval: Time, now: Time) -> Self {
        Times { saved_at, interval: 2 * save_interval, now }
    }

    fn age_s(self) -> f64 {
        self.now.saturating_sub(self.saved_at) as f64 / 1e9
    }

    /// How long the process may have run after the state was saved, in seconds.
    fn runtime_after_save_s(self) -> f64 {
        self.interval.min(self.now.saturating_sub(self.saved_at)) as f64 / 1e9
    }
}

/// Whether a saved server list of revision `rev` may be used by a gateway that has a list of revision `known`, or none.
/// It must not be too old, since an address may belong to another server later, and revisions must not go backwards.
#[must_use]
pub fn is_list_usable(times: Times, rev: u64, known: Option<u64>) -> bool {
    let is_fresh = times.now.saturating_sub(times.saved_at) <= MAX_AGE || planted!(OldListTaken);
    is_fresh && known.is_none_or(|known| rev > known)
}

/// Splits the module's text into the token buckets with the remaining fields, and the servers. Returns none if the text
/// is not valid.
#[must_use]
pub fn split(text: &str) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut state: Map<String, Value> = serde_json::from_str(text).ok()?;
    let servers = state.remove("servers")?;
    Some((serde_json::to_vec(&state).ok()?, serde_json::to_vec(&servers).ok()?))
}

/// Builds the module's text for a process that starts now. Returns none without valid token buckets, since the module
/// reads the observations of servers together with them.
#[must_use]
pub fn join(stores: &[u8], servers: Option<&[u8]>, plans: &[Quota], times: Times) -> Option<String> {
    let mut state: Map<String, Value> = serde_json::from_slice(stores).ok()?;
    let servers = servers.and_then(|s| serde_json::from_slice::<Map<String, Value>>(s).ok());
    state.insert("servers".into(), Value::Object(aged_servers(servers.unwrap_or_default(), times)));
    let customers = state.get_mut("customers")?.as_object_mut()?;
    customers.retain(|_, customer| {
        customer.as_object_mut().is_some_and(|c| age_customer(c, plans, times).is_some())
    });
    // Whatever fills with the time since the start begins to fill now.
    if !planted!(BornEarlier) {
        state.insert("born".into(), json!(times.now));
    }
    serde_json::to_string(&state).ok()
}

fn age_customer(customer: &mut Map<String, Value>, plans: &[Quota], times: Times) -> Option<()> {
    let number = |name: &str| customer.get(name)?.as_f64().filter(|f| f.is_finite());
    let (level, ceiling, passed, spread) =
        (number("level")?, number("ceiling")?, number("passed")?, number("spread")?);
    let plan = plans.get(usize::try_from(customer.get("plan")?.as_u64()?).ok()?)?;
    // Subtract what the process may have admitted after the save, at the rate of that time; then add an even share of
    // the refill for all the time since.
    let spent_since =
        if planted!(SpentSinceForgotten) { 0.0 } else { passed.max(0.0) * times.runtime_after_save_s() };
    let filled = times.age_s() * plan.rate / spread.max(1.0);
    customer.insert("level".into(), json!((level - spent_since + filled).min(plan.depth)));
    // A ceiling fills from now on, as without any saved state; a debt stays. The module refills by the customer's `at`,
    // which is therefore set to now.
    if !planted!(CeilingTaken) {
        customer.insert("ceiling".into(), json!(ceiling.min(0.0)));
    }
    customer.insert("at".into(), json!(times.now));
    customer.insert("out".into(), json!(0));
    let weight = 0.5f64.powf(times.age_s() / AVERAGE_HALF_LIFE_S);
    for name in AVERAGE_FIELDS {
        let average = customer.get(name).and_then(Value::as_f64).filter(|f| f.is_finite())?;
        customer.insert(name.into(), json!(average * weight));
    }
    Some(())
}

fn aged_servers(mut servers: Map<String, Value>, times: Times) -> Map<String, Value> {
    let age = times.now.saturating_sub(times.saved_at);
    if age >= MAX_AGE {
        return Map::new();
    }
    let weight = if planted!(JudgementsKeepWeight) {
        1.0
    } else {
        0.5f64.powf(age as f64 / 1e9 / OBSERVATION_HALF_LIFE_S)
    };
    for server in servers.values_mut() {
        let Some(ends) = server.get_mut("ends").and_then(Value::as_array_mut) else { continue };
        for count in ends.iter_mut().filter_map(Value::as_array_mut).flatten() {
            *count = json!(count.as_f64().unwrap_or_default() * weight);
        }
    }
    servers
}
