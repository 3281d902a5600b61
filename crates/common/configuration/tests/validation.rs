//! Accepted and refused configurations, with the error of each refusal.

use configuration::{validate, Configuration, ConfigurationError};
use serde_json::{json, Value};

fn valid() -> Value {
    json!({"configVersion": "0000000c", "baseVersion": "00000005",
        "routes": [{"name": "a", "host": "h.example", "pathPrefix": "/a/", "routeKind": "safe",
            "timeoutMs": 2500, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2, "public": false,
            "weightedTargets": [{"targetService": "s", "weight": 90}, {"targetService": "t", "weight": 10}]}],
        "services": [{"name": "s", "healthPath": "/health", "maxConnections": 140, "protocol": "h1", "tls": false},
            {"name": "t"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "t1", "apiKeys": ["k"], "priority": 1, "ratePerS": 146, "burstSize": 146}]})
}

fn validate_changed(change: impl FnOnce(&mut Value)) -> Result<Configuration, ConfigurationError> {
    let mut value = valid();
    change(&mut value);
    validate(value.to_string().as_bytes())
}

#[test]
fn valid_configuration_with_unknown_fields_is_accepted() {
    let configuration = validate_changed(|v| v["routes"][0]["later"] = json!(1)).unwrap();
    assert_eq!((configuration.config_version, configuration.base_version), (12, 5));
    assert_eq!(validate_changed(|v| v["baseVersion"] = json!(0)).unwrap().base_version, 0);
}

#[test]
fn trial_needs_an_end_and_a_pace_within_the_limits() {
    let with_trial = |ends_at: &str, pace: f64, wait_ms: f64| {
        let trial = json!({"endsAt": ends_at, "pacePerS": pace, "waitMs": wait_ms});
        validate_changed(move |v| v["tenants"][0]["trial"] = trial)
    };
    let end = "2026-12-31T23:00:00Z";
    let valid = with_trial(end, 5.0, 2000.0).unwrap();
    assert_eq!(valid.tenants[0].trial.as_ref().unwrap().ends_ms(), Some(1_798_758_000_000));
    assert_eq!(
        with_trial("tomorrow", 5.0, 0.0),
        Err(ConfigurationError::InvalidTrialEnd { tenant: "t1".into(), ends_at: "tomorrow".into() })
    );
    assert_eq!(with_trial(end, 147.0, 0.0), Err(ConfigurationError::PaceOverRate("t1".into())));
    assert_eq!(with_trial(end, 40.0, 2000.0), Err(ConfigurationError::WaitOverBurst("t1".into())));
    assert!(
        matches!(with_trial(end, 0.0, 0.0), Err(ConfigurationError::Schema { .. })),
        "a rate of 0 would block the tenant"
    );
    assert!(matches!(with_trial(end, 5.0, 60_000.0), Err(ConfigurationError::Schema { .. })));
}

#[test]
fn every_invalid_configuration_is_refused() {
    let route = |key: &'static str, value: Value| move |v: &mut Value| v["routes"][0][key] = value;
    let truncated = validate(&valid().to_string().as_bytes()[..200]);
    assert!(matches!(truncated, Err(ConfigurationError::Malformed(_))), "truncated");
    for result in [
        validate_changed(route("weightedTargets", json!([{"targetService": "s", "weight": -1}]))),
        validate_changed(route("pathPrefix", json!("a/"))),
        validate_changed(route("host", json!(" "))),
        validate_changed(route("routeKind", json!("odd"))),
        validate_changed(route("timeoutMs", json!(0))),
        validate_changed(|v| v["configVersion"] = json!("xyz")),
        validate_changed(|v| v["routes"] = json!({})),
    ] {
        assert!(matches!(result, Err(ConfigurationError::Schema { .. })), "{result:?}");
    }
    let unknown = validate_changed(route("targetService", json!("nobody")));
    assert_eq!(
        unknown,
        Err(ConfigurationError::UnknownService { route: "a".into(), service: "nobody".into() })
    );
    assert_eq!(
        validate_changed(route("weightedTargets", json!([]))),
        Err(ConfigurationError::NoTarget("a".into()))
    );
    let without_weight = json!([{"targetService": "s", "weight": 0}, {"targetService": "t", "weight": 0}]);
    assert_eq!(
        validate_changed(route("weightedTargets", without_weight)),
        Err(ConfigurationError::NoWeight("a".into()))
    );
    let one_weighted = json!([{"targetService": "s", "weight": 0}, {"targetService": "t", "weight": 1}]);
    assert!(validate_changed(route("weightedTargets", one_weighted)).is_ok());
    let with_second_tenant = |key: &'static str| {
        validate_changed(move |v| {
            let tenants = v["tenants"].as_array_mut().unwrap();
            tenants.push(json!({"name": "t2", "apiKeys": [key, key]}));
        })
    };
    assert_eq!(
        with_second_tenant("k"),
        Err(ConfigurationError::SharedKey { first: "t1".into(), second: "t2".into() })
    );
    assert!(with_second_tenant("l").is_ok(), "a tenant may list a key twice");
    let duplicate_route = validate_changed(|v| {
        let mut same = v["routes"][0].clone();
        same["name"] = json!("b");
        same["host"] = json!("H.example");
        v["routes"].as_array_mut().unwrap().push(same);
    });
    assert_eq!(
        duplicate_route,
        Err(ConfigurationError::DuplicateRoute { first: "a".into(), second: "b".into() })
    );
}
