//! What may be made of a gateway's memory when its process has died: the module's text goes in as it left it, and comes
//! out as one that knows less. Nothing read may be looser than knowing nothing.
//!
//! The text is the module's own (`leave`, `take_over`): customers with their stores, servers with what was learnt.

use crate::Time;
use serde_json::{json, Map, Value};

/// The weight of a judgement on a server is halved in so long, in seconds; and so is a customer's pace.
const HALF: f64 = 30.0;
const PACE_HALF: f64 = 5.0;
/// The module's running means of what a customer asks for and uses.
const PACES: [&str; 8] =
    ["asked", "passed", "passed_then", "metered", "passed_long", "metered_long", "told", "span"];
/// After so long nothing is left of it.
const FORGOTTEN: Time = 600_000_000_000;

/// When the memory was true, until when the process may have gone on after it, and what time it is now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    pub at: Time,
    /// Two snapshots and their writing lie no further apart: what happened since `at` happened within it.
    pub interval: Time,
    pub now: Time,
}

/// A plan's quota: units a second, and at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub depth: f64,
}

impl Times {
    /// Of a memory of `at` that was renewed every so long. One may have been on its way to the disk when the process died, so
    /// that two lie between what was read and the end.
    #[must_use]
    pub fn new(at: Time, every: Time, now: Time) -> Self {
        Times { at, interval: 2 * every, now }
    }

    fn age(self) -> f64 {
        self.now.saturating_sub(self.at) as f64 / 1e9
    }

    /// For how long it may have lived on, seconds.
    fn lived_on(self) -> f64 {
        self.interval.min(self.now.saturating_sub(self.at)) as f64 / 1e9
    }
}

/// Whether a list of that age and revision is taken by who knows one of the revision `known`, or none. It must still name
/// the servers that it named, later an address may be another's; and revisions don't run back.
#[must_use]
pub fn list_counts(times: Times, rev: u64, known: Option<u64>) -> bool {
    let fresh = times.now.saturating_sub(times.at) <= FORGOTTEN || planted!(OldListTaken);
    fresh && known.is_none_or(|known| rev > known)
}

/// Takes the module's text apart: its stores and what goes with them, and its servers. None if it is no such text.
#[must_use]
pub fn split(text: &str) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut whole: Map<String, Value> = serde_json::from_str(text).ok()?;
    let servers = whole.remove("servers")?;
    Some((serde_json::to_vec(&whole).ok()?, serde_json::to_vec(&servers).ok()?))
}

/// Puts a text together for a process that begins now: without the stores there is none, since what was learnt of
/// servers is read with them.
#[must_use]
pub fn join(stores: &[u8], servers: Option<&[u8]>, plans: &[Quota], times: Times) -> Option<String> {
    let mut whole: Map<String, Value> = serde_json::from_slice(stores).ok()?;
    let servers = servers.and_then(|s| serde_json::from_slice::<Map<String, Value>>(s).ok());
    whole.insert("servers".into(), Value::Object(aged_servers(servers.unwrap_or_default(), times)));
    let customers = whole.get_mut("customers")?.as_object_mut()?;
    customers.retain(|_, customer| {
        customer.as_object_mut().is_some_and(|c| age_customer(c, plans, times).is_some())
    });
    // What fills with the time since the start began to fill now.
    if !planted!(BornEarlier) {
        whole.insert("born".into(), json!(times.now));
    }
    serde_json::to_string(&whole).ok()
}

fn age_customer(customer: &mut Map<String, Value>, plans: &[Quota], times: Times) -> Option<()> {
    let figure = |name: &str| customer.get(name)?.as_f64().filter(|f| f.is_finite());
    let (level, ceiling, passed, spread) =
        (figure("level")?, figure("ceiling")?, figure("passed")?, figure("spread")?);
    let plan = plans.get(usize::try_from(customer.get("plan")?.as_u64()?).ok()?)?;
    // What it let pass after the memory was made, at the pace of then; then its even share for all the time since.
    let since = if planted!(SpentSinceForgotten) { 0.0 } else { passed.max(0.0) * times.lived_on() };
    let filled = times.age() * plan.rate / spread.max(1.0);
    customer.insert("level".into(), json!((level - since + filled).min(plan.depth)));
    // A ceiling is filled from now on, as if nothing were known; a debt stays. The module fills by the customer's clock,
    // which therefore begins now.
    if !planted!(CeilingTaken) {
        customer.insert("ceiling".into(), json!(ceiling.min(0.0)));
    }
    customer.insert("at".into(), json!(times.now));
    customer.insert("out".into(), json!(0));
    let keep = 0.5f64.powf(times.age() / PACE_HALF);
    for name in PACES {
        let pace = customer.get(name).and_then(Value::as_f64).filter(|f| f.is_finite())?;
        customer.insert(name.into(), json!(pace * keep));
    }
    Some(())
}

fn aged_servers(mut servers: Map<String, Value>, times: Times) -> Map<String, Value> {
    let age = times.now.saturating_sub(times.at);
    if age >= FORGOTTEN {
        return Map::new();
    }
    let weight = if planted!(JudgementsKeepWeight) { 1.0 } else { 0.5f64.powf(age as f64 / 1e9 / HALF) };
    for server in servers.values_mut() {
        let Some(ends) = server.get_mut("ends").and_then(Value::as_array_mut) else { continue };
        for figure in ends.iter_mut().filter_map(Value::as_array_mut).flatten() {
            *figure = json!(figure.as_f64().unwrap_or_default() * weight);
        }
    }
    servers
}
