//! Parsing of settings in the JSON form of the wire and the configuration, and validation of settings.

use crate::interface::{Class, Effect, Group, Plan, Settings};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct WireSettings {
    #[serde(default)]
    az: u32,
    me: u32,
    siblings: u32,
    discovery: String,
    tick: u64,
    #[serde(default)]
    clients: Clients,
    #[serde(default)]
    extra: Extra,
    limits: Limits,
    obligations: Obligations,
    plans: Vec<WirePlan>,
    #[serde(default)]
    prices: Prices,
    services: Vec<Service>,
}

#[derive(Deserialize, Default)]
struct Clients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Extra {
    cost_after: bool,
    meter_period: u64,
    most_units: f64,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    max_retry_after: u64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
    try_limit: u32,
}

#[derive(Deserialize)]
struct Obligations {
    answer_slack: u64,
    #[serde(default)]
    ask_within: u64,
    cold: u64,
    cold_from: f64,
    fall: u64,
    fall_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize)]
struct WirePlan {
    name: String,
    quota_rate: f64,
    depth: f64,
    #[serde(default)]
    parallel: u32,
    #[serde(default)]
    never_over_rate: f64,
    #[serde(default)]
    ceiling_burst: f64,
    value_factor: f64,
    #[serde(default)]
    over_worth: f64,
    #[serde(default)]
    excess_cost: f64,
}

#[derive(Deserialize)]
struct Service {
    name: String,
    on_time: u64,
    deadline: u64,
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    key_ttl: u64,
    #[serde(default)]
    late_worth: f64,
    points: f64,
    #[serde(default)]
    stream: bool,
}

/// Parses settings from their JSON form. Numbers out of range are not rejected here: `check` rejects them.
pub fn read(json: &Value) -> Result<Settings, String> {
    let wire = WireSettings::deserialize(json).map_err(|e| e.to_string())?;
    let classes = wire.services.into_iter().map(class).collect::<Result<_, String>>()?;
    let plans = wire.plans.into_iter().map(|p| Plan {
        name: p.name,
        rate: p.quota_rate,
        depth: p.depth,
        parallel: p.parallel,
        hard_limit_rate: p.never_over_rate,
        hard_limit_burst: p.ceiling_burst,
        value_factor: p.value_factor,
        over_quota_value: p.over_worth,
        over_quota_cost: p.excess_cost,
    });
    let subscribe = match wire.discovery.as_str() {
        "automatic" => false,
        "subscribe" => true,
        other => return Err(format!("discovery is {other:?}: expected automatic or subscribe")),
    };
    Ok(Settings {
        zone: wire.az,
        gateway_index: wire.me,
        gateways: wire.siblings,
        pools: 1,
        classes,
        plans: plans.collect(),
        subscribe,
        max_poll_interval: wire.obligations.ask_within,
        marks_retries: wire.clients.marks_retry,
        cancelling: wire.limits.cancelling,
        second_copies: wire.limits.second_copies,
        retry_after: wire.limits.retry_after,
        max_retry_after: wire.limits.max_retry_after,
        max_attempts: wire.limits.try_limit,
        settles_cost: wire.extra.cost_after,
        max_units: wire.extra.most_units,
        meter_period: wire.extra.meter_period,
        warm_up_time: wire.obligations.cold,
        initial_warmth: wire.obligations.cold_from,
        collapse_window: wire.obligations.fall,
        collapse_multiple: wire.obligations.fall_multiple,
        answer_slack: wire.obligations.answer_slack,
        cross_zone_price: wire.prices.cross_zone,
        tick: wire.tick,
    })
}

fn class(s: Service) -> Result<Class, String> {
    let effect = match s.effect.as_str() {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::Unsafe,
        other => return Err(format!("services: effect is {other:?}: expected safe, keyed or unsafe")),
    };
    let group = match s.group.as_deref() {
        None | Some("all") => Group::All,
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some(other) => return Err(format!("services: group is {other:?}: expected all, zone or cell")),
    };
    Ok(Class {
        name: s.name,
        latency_target: s.on_time,
        deadline: s.deadline,
        effect,
        group,
        key_ttl: s.key_ttl,
        late_value: s.late_worth,
        points: s.points,
        stream: s.stream,
    })
}

/// Rejects settings out of range: the decision module divides by them and draws from them.
pub(crate) fn check(s: &Settings) -> Result<(), String> {
    let mut values = Vec::new();
    let mut add = |prefix: &str, fields: &[(&str, f64)]| {
        values.extend(fields.iter().map(|(n, v)| (format!("{prefix}{n}"), *v)))
    };
    add("", &[("cold_from", s.initial_warmth), ("fall_multiple", s.collapse_multiple)]);
    add("", &[("most_units", s.max_units), ("cross_zone_price", s.cross_zone_price)]);
    for p in &s.plans {
        let prefix = format!("plan {}: ", p.name);
        add(&prefix, &[("rate", p.rate), ("depth", p.depth), ("ceiling_rate", p.hard_limit_rate)]);
        add(&prefix, &[("ceiling_burst", p.hard_limit_burst), ("value_factor", p.value_factor)]);
        add(&prefix, &[("over_worth", p.over_quota_value), ("over_cost", p.over_quota_cost)]);
    }
    for c in &s.classes {
        add(&format!("class {}: ", c.name), &[("points", c.points), ("late_worth", c.late_value)]);
    }
    match values.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
        Some((name, value)) => Err(format!("{name} is {value}: expected a finite number of at least 0")),
        None if s.gateways == 0 => Err("gateways is 0: expected at least 1".to_string()),
        None => Ok(()),
    }
}
