//! Whether what an operator sends is sound.

use crate::{Configuration, ConfigurationError, Tenant};
use serde_json::Value;
use std::collections::{HashMap, HashSet};

const SCHEMA: &str = include_str!("../schema/configuration.json");

/// The schema, compiled.
pub struct Validator(jsonschema::Validator);

impl Default for Validator {
    fn default() -> Self {
        let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
        Validator(jsonschema::draft7::new(&schema).expect("the schema is one"))
    }
}

impl Validator {
    /// Reads a configuration whole: against the schema, then what a schema can't say.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn validate(&self, body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let value: Value =
            serde_json::from_slice(body).map_err(|e| ConfigurationError::Malformed(e.to_string()))?;
        if let Err(e) = self.0.validate(&value) {
            return Err(ConfigurationError::Schema(e.instance_path.to_string(), e.to_string()));
        }
        let playbill: Configuration =
            serde_json::from_value(value).map_err(|e| ConfigurationError::Malformed(e.to_string()))?;
        validate_semantics(&playbill)?;
        Ok(playbill)
    }
}

/// Checks one configuration.
///
/// # Errors
/// The first thing that is wrong with it.
pub fn check(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    Validator::default().validate(body)
}

fn validate_semantics(playbill: &Configuration) -> Result<(), ConfigurationError> {
    let services: HashSet<&str> = playbill.services.iter().map(|s| s.name.as_str()).collect();
    let mut places = HashMap::new();
    for r in &playbill.routes {
        let name = || r.name.clone();
        let targets = r.target_service.iter().chain(r.weighted_targets.iter().map(|w| &w.target_service));
        let mut targets = targets.peekable();
        if targets.peek().is_none() {
            return Err(ConfigurationError::NoTarget(name()));
        }
        if let Some(unknown) = targets.find(|t| !services.contains(t.as_str())) {
            return Err(ConfigurationError::UnknownService(name(), unknown.clone()));
        }
        if r.target_service.is_none() && r.weighted_targets.iter().all(|w| w.weight <= 0.0) {
            return Err(ConfigurationError::NoWeight(name()));
        }
        let place = (r.host.to_ascii_lowercase(), r.path_prefix.as_str());
        if let Some(other) = places.insert(place, &r.name) {
            return Err(ConfigurationError::DuplicateRoute(other.clone(), name()));
        }
    }
    let mut keys = HashMap::new();
    for tenant in &playbill.tenants {
        for key in &tenant.api_keys {
            let other = keys.insert(key.as_str(), &tenant.name);
            if let Some(other) = other.filter(|other| **other != tenant.name) {
                return Err(ConfigurationError::SharedKey(other.clone(), tenant.name.clone()));
            }
        }
    }
    playbill.tenants.iter().try_for_each(validate_trial)
}

/// Whether a tenant's trial has an end, and a pace behind it that stays within its limits (`docs/design/trials.md`).
fn validate_trial(tenant: &Tenant) -> Result<(), ConfigurationError> {
    let Some(trial) = &tenant.trial else { return Ok(()) };
    let name = || tenant.name.clone();
    if trial.ends_ms().is_none() {
        return Err(ConfigurationError::InvalidTrialEnd(name(), trial.ends_at.clone()));
    }
    if tenant.rate_per_s > 0.0 && trial.pace_per_s > tenant.rate_per_s {
        return Err(ConfigurationError::PaceOverRate(name()));
    }
    if tenant.rate_per_s > 0.0 && 2.0 * trial.pace_per_s * trial.wait_ms / 1000.0 > tenant.burst_size {
        return Err(ConfigurationError::WaitOverBurst(name()));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn sound() -> Value {
        json!({"configVersion": "0000000c", "baseVersion": "00000005",
            "routes": [{"name": "a", "host": "h.example", "pathPrefix": "/a/", "routeKind": "safe",
                "timeoutMs": 2500, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2, "public": false,
                "weightedTargets": [{"targetService": "s", "weight": 90}, {"targetService": "t", "weight": 10}]}],
            "services": [{"name": "s", "healthPath": "/health", "maxConnections": 140, "protocol": "h1", "tls": false},
                {"name": "t"}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": ["k"], "priority": 1, "ratePerS": 146, "burstSize": 146}]})
    }

    fn told(change: impl FnOnce(&mut Value)) -> Result<Configuration, ConfigurationError> {
        let mut value = sound();
        change(&mut value);
        check(value.to_string().as_bytes())
    }

    #[test]
    fn valid_configuration_with_unknown_fields_is_accepted() {
        let playbill = told(|v| v["routes"][0]["later"] = json!(1)).unwrap();
        assert_eq!((playbill.config_version, playbill.base_version), (12, 5));
        assert_eq!(told(|v| v["baseVersion"] = json!(0)).unwrap().base_version, 0);
    }

    #[test]
    fn trial_needs_an_end_and_a_pace_within_the_limits() {
        let trial = |ends: &str, pace: f64, wait: f64| {
            let trial = json!({"endsAt": ends, "pacePerS": pace, "waitMs": wait});
            told(move |v| v["tenants"][0]["trial"] = trial)
        };
        let end = "2026-12-31T23:00:00Z";
        let sound = trial(end, 5.0, 2000.0).unwrap();
        assert_eq!(sound.tenants[0].trial.as_ref().unwrap().ends_ms(), Some(1_798_758_000_000));
        assert_eq!(
            trial("tomorrow", 5.0, 0.0),
            Err(ConfigurationError::InvalidTrialEnd("t1".into(), "tomorrow".into()))
        );
        assert_eq!(trial(end, 147.0, 0.0), Err(ConfigurationError::PaceOverRate("t1".into())));
        assert_eq!(trial(end, 40.0, 2000.0), Err(ConfigurationError::WaitOverBurst("t1".into())));
        assert!(
            matches!(trial(end, 0.0, 0.0), Err(ConfigurationError::Schema(..))),
            "a pace of nothing shuts it out"
        );
        assert!(matches!(trial(end, 5.0, 60_000.0), Err(ConfigurationError::Schema(..))));
    }

    #[test]
    fn every_invalid_configuration_is_refused() {
        let route = |key: &'static str, value: Value| move |v: &mut Value| v["routes"][0][key] = value;
        let unread = check(&sound().to_string().as_bytes()[..200]);
        assert!(matches!(unread, Err(ConfigurationError::Malformed(_))), "cut short");
        for fault in [
            told(route("weightedTargets", json!([{"targetService": "s", "weight": -1}]))),
            told(route("pathPrefix", json!("a/"))),
            told(route("host", json!(" "))),
            told(route("routeKind", json!("odd"))),
            told(route("timeoutMs", json!(0))),
            told(|v| v["configVersion"] = json!("xyz")),
            told(|v| v["routes"] = json!({})),
        ] {
            assert!(matches!(fault, Err(ConfigurationError::Schema(..))), "{fault:?}");
        }
        let unknown = told(route("targetService", json!("nobody")));
        assert_eq!(unknown, Err(ConfigurationError::UnknownService("a".into(), "nobody".into())));
        assert_eq!(told(route("weightedTargets", json!([]))), Err(ConfigurationError::NoTarget("a".into())));
        let nothing = json!([{"targetService": "s", "weight": 0}, {"targetService": "t", "weight": 0}]);
        assert_eq!(told(route("weightedTargets", nothing)), Err(ConfigurationError::NoWeight("a".into())));
        let one = json!([{"targetService": "s", "weight": 0}, {"targetService": "t", "weight": 1}]);
        assert!(told(route("weightedTargets", one)).is_ok());
        let shared = |key: &'static str| {
            told(move |v| {
                let tenants = v["tenants"].as_array_mut().unwrap();
                tenants.push(json!({"name": "t2", "apiKeys": [key, key]}));
            })
        };
        assert_eq!(shared("k"), Err(ConfigurationError::SharedKey("t1".into(), "t2".into())));
        assert!(shared("l").is_ok(), "twice with one tenant");
        let twice = told(|v| {
            let mut same = v["routes"][0].clone();
            same["name"] = json!("b");
            same["host"] = json!("H.example");
            v["routes"].as_array_mut().unwrap().push(same);
        });
        assert_eq!(twice, Err(ConfigurationError::DuplicateRoute("a".into(), "b".into())));
    }
}
