//! Validation of a configuration that an operator sends: against the JSON schema, and by rules that a schema cannot
//! express.

use crate::error::ConfigurationError;
use crate::model::{Configuration, Route, Tenant};
use serde_json::Value;
use std::collections::{HashMap, HashSet};

const SCHEMA: &str = include_str!("../schema/configuration.json");

/// A validator that holds the compiled JSON schema.
pub struct Validator(jsonschema::Validator);

impl Default for Validator {
    fn default() -> Self {
        let schema: Value = serde_json::from_str(SCHEMA).expect("the built-in schema is JSON");
        Validator(jsonschema::draft7::new(&schema).expect("the built-in schema is valid"))
    }
}

impl Validator {
    /// Parses and validates a configuration, first against the schema, then by the rules that a schema cannot
    /// express.
    ///
    /// # Errors
    /// The first violation.
    pub fn validate(&self, body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let value: Value =
            serde_json::from_slice(body).map_err(|error| ConfigurationError::Malformed(error.to_string()))?;
        if let Err(error) = self.0.validate(&value) {
            let (path, reason) = (error.instance_path.to_string(), error.to_string());
            return Err(ConfigurationError::Schema { path, reason });
        }
        // Parses the bytes, as every reader of the configuration does. A `Value` keeps only one of two fields with
        // the same name, which would hide the duplicate.
        let configuration = Configuration::parse(body)?;
        validate_routes(&configuration)?;
        validate_keys(&configuration.tenants)?;
        configuration.tenants.iter().try_for_each(validate_trial)?;
        Ok(configuration)
    }
}

/// Validates a single configuration.
///
/// # Errors
/// The first violation.
pub fn validate(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    Validator::default().validate(body)
}

fn validate_routes(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let services: HashSet<&str> =
        configuration.services.iter().map(|service| service.name.as_str()).collect();
    let mut by_host_and_prefix = HashMap::new();
    for route in &configuration.routes {
        validate_targets(route, &services)?;
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = by_host_and_prefix.insert(host_and_prefix, &route.name) {
            let (first, second) = (first.clone(), route.name.clone());
            return Err(ConfigurationError::DuplicateRoute { first, second });
        }
    }
    Ok(())
}

fn validate_targets(route: &Route, services: &HashSet<&str>) -> Result<(), ConfigurationError> {
    let weighted = route.weighted_targets.iter().map(|target| &target.target_service);
    let mut targets = route.target_service.iter().chain(weighted).peekable();
    if targets.peek().is_none() {
        return Err(ConfigurationError::NoTarget(route.name.clone()));
    }
    if let Some(unknown) = targets.find(|target| !services.contains(target.as_str())) {
        let (route, service) = (route.name.clone(), unknown.clone());
        return Err(ConfigurationError::UnknownService { route, service });
    }
    let all_weights_are_zero = route.weighted_targets.iter().all(|target| target.weight <= 0.0);
    if route.target_service.is_none() && all_weights_are_zero {
        return Err(ConfigurationError::NoWeight(route.name.clone()));
    }
    Ok(())
}

/// Checks that no API key belongs to two tenants.
fn validate_keys(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    let mut tenants_by_key = HashMap::new();
    for tenant in tenants {
        for key in &tenant.api_keys {
            let other = tenants_by_key.insert(key.as_str(), &tenant.name);
            if let Some(first) = other.filter(|other| **other != tenant.name) {
                let (first, second) = (first.clone(), tenant.name.clone());
                return Err(ConfigurationError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}

/// Checks that a tenant's trial has a valid end, and that its throttled rate and queue wait stay within the tenant's
/// limits (`docs/design/trials.md`).
fn validate_trial(tenant: &Tenant) -> Result<(), ConfigurationError> {
    let Some(trial) = &tenant.trial else { return Ok(()) };
    let name = || tenant.name.clone();
    if trial.ends_ms().is_none() {
        let ends_at = trial.ends_at.clone();
        return Err(ConfigurationError::InvalidTrialEnd { tenant: name(), ends_at });
    }
    if tenant.rate_per_s > 0.0 && trial.pace_per_s > tenant.rate_per_s {
        return Err(ConfigurationError::PaceOverRate(name()));
    }
    if tenant.rate_per_s > 0.0 && 2.0 * trial.pace_per_s * trial.wait_ms / 1000.0 > tenant.burst_size {
        return Err(ConfigurationError::WaitOverBurst(name()));
    }
    Ok(())
}
