//! Lookup of a request's route, target service and tenant in a configuration.

use crate::model::{Configuration, Route, Tenant};
use crate::Version;
use std::cmp::Reverse;
use std::collections::HashMap;

/// A configuration, indexed for request lookups.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// Indices of the routes by lower-case host, longest prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    /// Indices of the tenants by API key.
    tenants_by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the indexes of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|index| Reverse(configuration.routes[*index].path_prefix.len()));
        }
        let tenants = configuration.tenants.iter().enumerate();
        let keys =
            tenants.flat_map(|(index, tenant)| tenant.api_keys.iter().map(move |key| (key.clone(), index)));
        let tenants_by_key = keys.collect();
        RouteTable { routes_by_host, tenants_by_key, configuration }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.configuration.config_version
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route with the longest matching prefix for a `Host` header and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut longest_first = routes.iter().map(|index| &self.configuration.routes[*index]);
        longest_first.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether requests need an API key, except on public routes.
    pub fn requires_api_key(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }

    /// Returns the tenant that an API key identifies.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants_by_key.get(key).map(|index| &self.configuration.tenants[*index])
    }
}

impl Route {
    /// Returns the services that receive requests of this route.
    pub fn targets(&self) -> impl Iterator<Item = &str> {
        let weighted = self.weighted_targets.iter().filter(|_| self.target_service.is_none());
        let weighted = weighted.filter(|target| target.weight > 0.0).map(|target| &target.target_service);
        self.target_service.iter().chain(weighted).map(String::as_str)
    }

    /// Returns the target service for a random draw between 0 and 1.
    pub fn target(&self, draw: f64) -> Option<&str> {
        if let Some(service) = &self.target_service {
            return Some(service);
        }
        let total_weight: f64 = self.weighted_targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total_weight;
        let mut candidates = self.weighted_targets.iter().filter(|target| target.weight > 0.0);
        let drawn = candidates.clone().find(|target| {
            remaining -= target.weight;
            remaining < 0.0
        });
        // A draw of 1, or a rounding remainder, selects the last target.
        drawn.or_else(|| candidates.next_back()).map(|target| target.target_service.as_str())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
