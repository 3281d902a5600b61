//! Checks of the ageing of saved state.

use super::ensure;
use crate::age::{is_list_usable, join, split, Quota, Times};
use crate::Time;
use serde_json::{json, Value};

const SECOND: Time = 1_000_000_000;
const NOW: Time = 1_800_000_000 * SECOND;
const PLANS: [Quota; 2] = [Quota { rate: 40.0, depth: 100.0 }, Quota { rate: 0.0, depth: 0.0 }];

fn state(level: f64, ceiling: f64, passed: f64, at: Time) -> String {
    let customer = json!({
        "plan": 0, "spread": 4.0, "seen": at, "at": at, "level": level, "ceiling": ceiling, "out": 3,
        "asked": 50.0, "passed": passed, "passed_then": 1.0, "metered": 2.0, "metered_at": at,
        "passed_long": 1.0, "metered_long": 1.0, "told": 3.0, "span": 2.0, "share_then": 1.0,
    });
    let server = json!({"since": 7, "room": 4.0, "slow": 0.2, "ends": [[8.0, 4.0], [0.0, 0.0]]});
    json!({
        "version": 3, "born": at - 1000 * SECOND, "hold": 1.0, "mean_units": 2.0, "usual": [1.0],
        "customers": {"c": customer}, "servers": {"s": server},
    })
    .to_string()
}

fn aged(text: &str, age: Time) -> Result<Value, String> {
    let (stores, servers) = split(text).ok_or("not a valid state")?;
    let times = Times { saved_at: NOW - age, interval: 2 * SECOND, now: NOW };
    let text = join(&stores, Some(&servers), &PLANS, times).ok_or("the state cannot be joined")?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

fn number(of: &Value, name: &str) -> f64 {
    of[name].as_f64().unwrap_or(f64::NAN)
}

pub(super) fn never_more_permissive() -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..2000 {
        let age = [0, SECOND / 3, 60 * SECOND, 3600 * SECOND, 86_400 * SECOND][rng.usize(0..5)];
        let level = rng.f64() * 300.0 - 150.0;
        let ceiling = rng.f64() * 80.0 - 20.0;
        let text = state(level, ceiling, rng.f64() * 100.0, NOW - age);
        let all = aged(&text, age)?;
        let c = &all["customers"]["c"];
        let message = || format!("age {age}, level {level}, ceiling {ceiling}: {c}");
        // A process without state starts with a full bucket and a ceiling that fills from its start.
        ensure(number(c, "level") <= PLANS[0].depth, message)?;
        ensure(number(c, "ceiling") <= 0.0 && c["at"] == NOW && all["born"] == NOW, message)?;
        // The level is at most the saved one plus an even share of the refill since.
        let share = age as f64 / 1e9 * PLANS[0].rate / 4.0;
        ensure(number(c, "level") <= level + share + 1e-6, message)?;
        ensure(c["out"] == 0, message)?;
    }
    Ok(())
}

pub(super) fn spent_since() -> Result<(), String> {
    // 30 units per second spent for the second that the process may have run on, and 10 per second refilled.
    let all = aged(&state(50.0, 0.0, 30.0, NOW - SECOND), SECOND)?;
    let level = number(&all["customers"]["c"], "level");
    ensure((level - 30.0).abs() < 1e-6, || format!("{level}"))?;
    // The charge covers at most the interval between snapshots, however long the gateway was down.
    let all = aged(&state(50.0, 0.0, 30.0, NOW - 4 * SECOND), 4 * SECOND)?;
    let level = number(&all["customers"]["c"], "level");
    ensure((level - 30.0).abs() < 1e-6, || format!("{level}"))
}

pub(super) fn observations() -> Result<(), String> {
    let ends =
        |age| aged(&state(1.0, 0.0, 0.0, NOW - age), age).map(|all| all["servers"]["s"]["ends"][0].clone());
    ensure(ends(30 * SECOND)? == json!([4.0, 2.0]), || "halved after 30 s".into())?;
    ensure(ends(601 * SECOND)? == Value::Null, || "discarded after ten minutes".into())?;
    // A customer with an invalid number or lost servers do not affect the rest.
    let text = state(1.0, 0.0, 0.0, NOW).replace("\"level\":1.0", "\"level\":null");
    ensure(aged(&text, SECOND)?["customers"] == json!({}), || "a bucket without a level".into())?;
    let (stores, _) = split(&state(1.0, 0.0, 0.0, NOW)).ok_or("not a valid state")?;
    let times = Times { saved_at: NOW, interval: SECOND, now: NOW };
    for lost in [None, Some(&b"?"[..])] {
        let text = join(&stores, lost, &PLANS, times).ok_or("the state cannot be joined")?;
        ensure(text.contains("\"servers\":{}") && text.contains("\"level\":1.0"), || text.clone())?;
    }
    ensure(join(b"[]", None, &PLANS, times).is_none() && split("").is_none(), || "invalid state".into())
}

pub(super) fn lists() -> Result<(), String> {
    let of = |age, rev, known| is_list_usable(Times::new(NOW - age, SECOND, NOW), rev, known);
    let is_usable = |age| of(age, 7, None);
    ensure(is_usable(0) && is_usable(600 * SECOND) && !is_usable(601 * SECOND), || "ten minutes".into())?;
    ensure(of(0, 7, Some(6)) && !of(0, 7, Some(7)) && !of(0, 7, Some(8)), || {
        "revisions must not go backwards".into()
    })
}
