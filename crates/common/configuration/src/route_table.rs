//! What a configuration says of a request: its route, its service, its tenant.

use crate::model::{Configuration, Route, Tenant};
use crate::Version;
use std::cmp::Reverse;
use std::collections::HashMap;

/// A configuration with indexes for requests.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// By host in lower case: the routes' places, the longest prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    /// By API key: the tenants' places.
    tenants_by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (n, route) in configuration.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(n);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|n| Reverse(configuration.routes[*n].path_prefix.len()));
        }
        let tenants = configuration.tenants.iter().enumerate();
        let keys = tenants.flat_map(|(n, tenant)| tenant.api_keys.iter().map(move |key| (key.clone(), n)));
        let tenants_by_key = keys.collect();
        RouteTable { routes_by_host, tenants_by_key, configuration }
    }

    /// The configuration's version.
    pub fn version(&self) -> Version {
        self.configuration.config_version
    }

    /// The configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The route of the longest prefix, by a `Host` header and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut longest_first = routes.iter().map(|n| &self.configuration.routes[*n]);
        longest_first.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need an API key, except on public routes.
    pub fn requires_api_key(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }

    /// The tenant that an API key identifies.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants_by_key.get(key).map(|n| &self.configuration.tenants[*n])
    }
}

impl Route {
    /// The service that a request with this draw, 0 to 1, goes to.
    pub fn target(&self, draw: f64) -> Option<&str> {
        if let Some(service) = &self.target_service {
            return Some(service);
        }
        let sum: f64 = self.weighted_targets.iter().map(|target| target.weight).sum();
        let mut left = draw * sum;
        let mut weighted = self.weighted_targets.iter().filter(|target| target.weight > 0.0);
        let drawn = weighted.clone().find(|target| {
            left -= target.weight;
            left < 0.0
        });
        // A draw of 1, or what rounding leaves over, is the last one's.
        drawn.or_else(|| weighted.next_back()).map(|target| target.target_service.as_str())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
