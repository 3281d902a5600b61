//! Checks that an accepted configuration is parsed identically by every reader of the same bytes.

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
/// Field names that are not part of the model.
const UNKNOWN_FIELDS: [&str; 2] = ["note", "by"];

/// Offsets and names of all fields in [`VALID`].
fn field_names() -> Vec<(usize, &'static str)> {
    let offsets = VALID.match_indices('"').step_by(2).map(|(offset, _)| offset);
    let quoted = offsets.filter_map(|offset| Some((offset, VALID[offset + 1..].split_once('"')?)));
    quoted
        .filter(|(_, (_, after))| after.starts_with(':'))
        .map(|(offset, (name, _))| (offset, name))
        .collect()
}

/// Range of a field's value, given the offset of the field's name.
fn value_range(offset: usize, name: &str) -> std::ops::Range<usize> {
    let start = offset + name.len() + 4;
    let mut values = serde_json::Deserializer::from_str(&VALID[start..]).into_iter::<serde_json::Value>();
    values.next().expect("a value follows the name").expect("the value is JSON");
    start..start + values.byte_offset()
}

/// Returns [`VALID`] with the field at `offset` duplicated under the given spelling of its name.
fn with_duplicate_field(offset: usize, name: &str, spelling: &str) -> String {
    let value = &VALID[value_range(offset, name)];
    format!("{}\"{spelling}\": {value}, {}", &VALID[..offset], &VALID[offset..])
}

fn assert_parsed_alike(text: &str) -> Result<Configuration, ConfigurationError> {
    let validated = VALIDATOR.validate(text.as_bytes());
    if let Ok(configuration) = &validated {
        let parsed = Configuration::parse(text.as_bytes());
        assert_eq!(parsed.as_ref(), Ok(configuration), "accepted, but parsed differently: {text}");
    }
    validated
}

#[test]
fn duplicate_field_is_refused_at_each_depth() {
    assert!(assert_parsed_alike(VALID).is_ok());
    for (offset, name) in field_names() {
        let escaped = format!("\\u{:04x}{}", u32::from(name.as_bytes()[0]), &name[1..]);
        for spelling in [name, &escaped] {
            let result = assert_parsed_alike(&with_duplicate_field(offset, name, spelling));
            if UNKNOWN_FIELDS.contains(&name) {
                assert!(result.is_ok(), "unknown field {name} must be ignored: {result:?}");
            } else {
                let is_named = |reason: &String| reason.contains(name) && reason.contains("line");
                assert!(
                    matches!(&result, Err(ConfigurationError::Malformed(reason)) if is_named(reason)),
                    "duplicate field {spelling}: {result:?}"
                );
            }
        }
    }
}

#[test]
fn accepted_configuration_is_parsed_alike_by_all_readers() {
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
    let deeply_nested = format!("{}{}", "[".repeat(200), "]".repeat(200));
    for (offset, name) in field_names() {
        let old = value_range(offset, name);
        for value in values.iter().copied().chain([deeply_nested.as_str()]) {
            let _ = assert_parsed_alike(&format!("{}{value}{}", &VALID[..old.start], &VALID[old.end..]));
        }
    }
    for length in 0..VALID.len() {
        assert!(assert_parsed_alike(&VALID[..length]).is_err(), "truncated after {length} bytes");
    }
}
