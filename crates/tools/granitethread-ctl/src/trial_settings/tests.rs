use super::*;

fn configuration() -> Value {
    json!({"configVersion": "00000003", "routes": [{"name": "a", "timeoutMs": 5}], "services": [],
        "tenants": [{"name": "t", "apiKeys": ["secret"], "ratePerS": 40}]})
}

#[test]
fn trial_is_set_field_by_field_and_removed() {
    let mut changed = configuration();
    set_trial(&mut changed, "t", &["ends=2026-12-31T23:00:00Z", "pace=5"]).unwrap();
    set_trial(&mut changed, "t", &["wait=1500"]).unwrap();
    let trial = json!({"endsAt": "2026-12-31T23:00:00Z", "pacePerS": 5.0, "waitMs": 1500.0});
    assert_eq!(changed["tenants"][0]["trial"], trial);
    set_trial(&mut changed, "t", &["off"]).unwrap();
    assert_eq!(changed, configuration());
    for fields in [vec![], vec!["pace=fast"], vec!["speed=1"], vec!["pace"]] {
        assert!(set_trial(&mut changed, "t", &fields).is_err(), "{fields:?}");
    }
    assert!(set_trial(&mut changed, "u", &["off"]).is_err());
    assert_eq!(changed, configuration(), "a refused change leaves the configuration unchanged");
}
