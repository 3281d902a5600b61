//! Whether what an operator sends is sound: by the schema, and by what a schema cannot say.

use crate::error::ConfigurationError;
use crate::model::{Configuration, Route, Tenant};
use serde_json::Value;
use std::collections::{HashMap, HashSet};

const SCHEMA: &str = include_str!("../schema/configuration.json");

/// The compiled schema.
pub struct Validator(jsonschema::Validator);

impl Default for Validator {
    fn default() -> Self {
        let schema: Value = serde_json::from_str(SCHEMA).expect("the built-in schema is JSON");
        Validator(jsonschema::draft7::new(&schema).expect("the built-in schema is one"))
    }
}

impl Validator {
    /// Reads a configuration whole: by the schema, then by what a schema cannot say.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn validate(&self, body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let value: Value =
            serde_json::from_slice(body).map_err(|error| ConfigurationError::Malformed(error.to_string()))?;
        if let Err(error) = self.0.validate(&value) {
            let (path, reason) = (error.instance_path.to_string(), error.to_string());
            return Err(ConfigurationError::Schema { path, reason });
        }
        // From the bytes, as whoever is handed them reads them: a `Value` keeps one of two equal names, and hides the other.
        let configuration = Configuration::parse(body)?;
        validate_routes(&configuration)?;
        validate_keys(&configuration.tenants)?;
        configuration.tenants.iter().try_for_each(validate_trial)?;
        Ok(configuration)
    }
}

/// Validates one configuration.
///
/// # Errors
/// The first thing that is wrong with it.
pub fn validate(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    Validator::default().validate(body)
}

fn validate_routes(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let services: HashSet<&str> = configuration.services.iter().map(|s| s.name.as_str()).collect();
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
    let has_no_weight = route.weighted_targets.iter().all(|target| target.weight <= 0.0);
    if route.target_service.is_none() && has_no_weight {
        return Err(ConfigurationError::NoWeight(route.name.clone()));
    }
    Ok(())
}

/// No API key identifies two tenants.
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

/// A tenant's trial has an end, and a pace behind it that stays within the tenant's limits (`docs/design/trials.md`).
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
