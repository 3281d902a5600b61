//! What is made of old memory.

use super::ensure;
use crate::age::{join, list_counts, split, Quota, Times};
use crate::Time;
use serde_json::{json, Value};

const SECOND: Time = 1_000_000_000;
const NOW: Time = 1_800_000_000 * SECOND;
const PLANS: [Quota; 2] = [Quota { rate: 40.0, depth: 100.0 }, Quota { rate: 0.0, depth: 0.0 }];

fn memory(level: f64, ceiling: f64, passed: f64, at: Time) -> String {
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
    let (stores, servers) = split(text).ok_or("it is no memory")?;
    let times = Times { at: NOW - age, interval: 2 * SECOND, now: NOW };
    let text = join(&stores, Some(&servers), &PLANS, times).ok_or("it can't be joined")?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

fn figure(of: &Value, name: &str) -> f64 {
    of[name].as_f64().unwrap_or(f64::NAN)
}

pub(super) fn nothing_is_looser() -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..2000 {
        let age = [0, SECOND / 3, 60 * SECOND, 3600 * SECOND, 86_400 * SECOND][rng.usize(0..5)];
        let level = rng.f64() * 300.0 - 150.0;
        let ceiling = rng.f64() * 80.0 - 20.0;
        let text = memory(level, ceiling, rng.f64() * 100.0, NOW - age);
        let all = aged(&text, age)?;
        let c = &all["customers"]["c"];
        let told = || format!("age {age}, level {level}, ceiling {ceiling}: {c}");
        // A blank process takes a full store, and a ceiling that fills from its start on.
        ensure(figure(c, "level") <= PLANS[0].depth, told)?;
        ensure(figure(c, "ceiling") <= 0.0 && c["at"] == NOW && all["born"] == NOW, told)?;
        // Nor above what it was and an even share of the time since.
        let share = age as f64 / 1e9 * PLANS[0].rate / 4.0;
        ensure(figure(c, "level") <= level + share + 1e-6, told)?;
        ensure(c["out"] == 0, told)?;
    }
    Ok(())
}

pub(super) fn spent_since() -> Result<(), String> {
    // 30 a second for a second that it may have lived on, beside 10 a second that came in.
    let all = aged(&memory(50.0, 0.0, 30.0, NOW - SECOND), SECOND)?;
    let level = figure(&all["customers"]["c"], "level");
    ensure((level - 30.0).abs() < 1e-6, || format!("{level}"))?;
    // No longer than between two snapshots, however long it was away.
    let all = aged(&memory(50.0, 0.0, 30.0, NOW - 4 * SECOND), 4 * SECOND)?;
    let level = figure(&all["customers"]["c"], "level");
    ensure((level - 30.0).abs() < 1e-6, || format!("{level}"))
}

pub(super) fn judgements() -> Result<(), String> {
    let ends =
        |age| aged(&memory(1.0, 0.0, 0.0, NOW - age), age).map(|all| all["servers"]["s"]["ends"][0].clone());
    ensure(ends(30 * SECOND)? == json!([4.0, 2.0]), || "half after 30 s".into())?;
    ensure(ends(601 * SECOND)? == Value::Null, || "nothing after ten minutes".into())?;
    // Customers without a sound figure, servers that are lost: the others stand.
    let text = memory(1.0, 0.0, 0.0, NOW).replace("\"level\":1.0", "\"level\":null");
    ensure(aged(&text, SECOND)?["customers"] == json!({}), || "a store without a level".into())?;
    let (stores, _) = split(&memory(1.0, 0.0, 0.0, NOW)).ok_or("it is no memory")?;
    let times = Times { at: NOW, interval: SECOND, now: NOW };
    for lost in [None, Some(&b"?"[..])] {
        let text = join(&stores, lost, &PLANS, times).ok_or("it can't be joined")?;
        ensure(text.contains("\"servers\":{}") && text.contains("\"level\":1.0"), || text.clone())?;
    }
    ensure(join(b"[]", None, &PLANS, times).is_none() && split("").is_none(), || "no memory at all".into())
}

pub(super) fn lists() -> Result<(), String> {
    let of = |age, rev, known| list_counts(Times::new(NOW - age, SECOND, NOW), rev, known);
    let counts = |age| of(age, 7, None);
    ensure(counts(0) && counts(600 * SECOND) && !counts(601 * SECOND), || "ten minutes".into())?;
    ensure(of(0, 7, Some(6)) && !of(0, 7, Some(7)) && !of(0, 7, Some(8)), || "it runs back".into())
}
