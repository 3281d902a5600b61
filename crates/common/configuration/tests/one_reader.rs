//! What is acknowledged can be read by whoever is handed the same bytes.

use configuration::{Configuration, ConfigurationError, Validator};
use std::sync::LazyLock;

static VALIDATOR: LazyLock<Validator> = LazyLock::new(Validator::default);

const VALID: &str = r#"{"configVersion": "0000000c", "baseVersion": "00000005",
    "routes": [{"name": "a", "host": "h.example", "pathPrefix": "/a/", "routeKind": "safe", "timeoutMs": 2500,
        "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2, "public": false, "note": {"by": "x"},
        "weightedTargets": [{"targetService": "s", "weight": 90}]}],
    "services": [{"name": "s", "healthPath": "/health", "maxConnections": 140}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1, "ratePerS": 146, "burstSize": 146,
        "trial": {"endsAt": "2026-12-31T23:00:00Z", "pacePerS": 5, "waitMs": 2000}}]}"#;
/// Names that nobody reads.
const UNKNOWN: [&str; 2] = ["note", "by"];

/// Where each name begins, and the name.
fn names() -> Vec<(usize, &'static str)> {
    let begins = VALID.match_indices('"').step_by(2).map(|(at, _)| at);
    let quoted = begins.filter_map(|at| Some((at, VALID[at + 1..].split_once('"')?)));
    quoted.filter(|(_, (_, rest))| rest.starts_with(':')).map(|(at, (name, _))| (at, name)).collect()
}

/// Where the value behind a name begins and ends.
fn value_of(at: usize, name: &str) -> std::ops::Range<usize> {
    let begin = at + name.len() + 4;
    let mut values = serde_json::Deserializer::from_str(&VALID[begin..]).into_iter::<serde_json::Value>();
    values.next().expect("a value stands behind it").expect("it is JSON");
    begin..begin + values.byte_offset()
}

fn with_doubled(at: usize, name: &str, written: &str) -> String {
    let value = &VALID[value_of(at, name)];
    format!("{}\"{written}\": {value}, {}", &VALID[..at], &VALID[at..])
}

fn assert_read_alike(text: &str) -> Result<Configuration, ConfigurationError> {
    let validated = VALIDATOR.validate(text.as_bytes());
    if let Ok(configuration) = &validated {
        let applied = Configuration::parse(text.as_bytes());
        assert_eq!(applied.as_ref(), Ok(configuration), "acknowledged, and read otherwise: {text}");
    }
    validated
}

#[test]
fn name_that_stands_twice_is_refused_at_each_depth() {
    assert!(assert_read_alike(VALID).is_ok());
    for (at, name) in names() {
        let escaped = format!("\\u{:04x}{}", u32::from(name.as_bytes()[0]), &name[1..]);
        for written in [name, &escaped] {
            let result = assert_read_alike(&with_doubled(at, name, written));
            if UNKNOWN.contains(&name) {
                assert!(result.is_ok(), "{name} is ignored: {result:?}");
            } else {
                let is_named = |reason: &String| reason.contains(name) && reason.contains("line");
                assert!(
                    matches!(&result, Err(ConfigurationError::Malformed(reason)) if is_named(reason)),
                    "{written} stands twice: {result:?}"
                );
            }
        }
    }
}

#[test]
fn what_is_acknowledged_is_read_alike_by_all() {
    let values = [
        "1e400",
        "-0",
        "1e2",
        "2.0",
        "4294967296",
        "18446744073709551616",
        "null",
        "[]",
        "{}",
        "\"\\ud800\"",
        "[2500]",
        "\"\"",
        "true",
        "1E+1",
        "0.1e1",
        "NaN",
        "01",
        "\"\\u0000\"",
    ];
    let deep = format!("{}{}", "[".repeat(200), "]".repeat(200));
    for (at, name) in names() {
        let old = value_of(at, name);
        for value in values.iter().copied().chain([deep.as_str()]) {
            let _ = assert_read_alike(&format!("{}{value}{}", &VALID[..old.start], &VALID[old.end..]));
        }
    }
    for length in 0..VALID.len() {
        assert!(assert_read_alike(&VALID[..length]).is_err(), "cut short behind {length} bytes");
    }
}
