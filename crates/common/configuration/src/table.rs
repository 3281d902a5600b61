//! What a configuration says of a request: its route, its backends' service, its tenant.

use crate::{Configuration, Route, Tenant, Version};
use std::collections::HashMap;

/// A configuration made ready for requests.
#[derive(Debug)]
pub struct RouteTable {
    playbill: Configuration,
    /// By host in small letters: routes, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
}

/// One of a route's services.
pub type Target<'a> = &'a str;

impl RouteTable {
    pub fn new(playbill: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (n, r) in playbill.routes.iter().enumerate() {
            hosts.entry(r.host.to_ascii_lowercase()).or_default().push(n);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|n| std::cmp::Reverse(playbill.routes[*n].path_prefix.len()));
        }
        let keys = playbill.tenants.iter().enumerate();
        let keys = keys.flat_map(|(n, t)| t.api_keys.iter().map(move |k| (k.clone(), n))).collect();
        RouteTable { hosts, keys, playbill }
    }

    pub fn version(&self) -> Version {
        self.playbill.config_version
    }

    pub fn configuration(&self) -> &Configuration {
        &self.playbill
    }

    /// The route of the longest prefix, by a `Host` header and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let routes = routes.iter().map(|n| &self.playbill.routes[*n]);
        routes.into_iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Whether requests need a key, but for those on public routes.
    pub fn requires_api_key(&self) -> bool {
        !self.playbill.tenants.is_empty()
    }

    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).map(|n| &self.playbill.tenants[*n])
    }
}

impl Route {
    /// The service that a request with this draw, 0 to 1, goes to.
    pub fn target(&self, draw: f64) -> Option<Target<'_>> {
        if let Some(one) = &self.target_service {
            return Some(one);
        }
        let sum: f64 = self.weighted_targets.iter().map(|w| w.weight).sum();
        let mut left = draw * sum;
        let mut wanted = self.weighted_targets.iter().filter(|w| w.weight > 0.0);
        let found = wanted.clone().find(|w| {
            left -= w.weight;
            left < 0.0
        });
        found.or_else(|| wanted.next_back()).map(|w| w.target_service.as_str())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table() -> RouteTable {
        let text = r#"{"configVersion":"1","routes":[
            {"name":"all","host":"a.example","pathPrefix":"/","routeKind":"safe","targetService":"s"},
            {"name":"deep","host":"a.example","pathPrefix":"/x/y/","routeKind":"unsafe",
             "weightedTargets":[{"targetService":"s","weight":0},{"targetService":"t","weight":3},{"targetService":"u","weight":1}]},
            {"name":"x","host":"A.example","pathPrefix":"/x/","routeKind":"safe","targetService":"s"}],
            "services":[],"tenants":[{"name":"t1","apiKeys":["k1","k2"]}]}"#;
        RouteTable::new(Configuration::parse(text.as_bytes()).unwrap())
    }

    #[test]
    fn longest_prefix_of_the_host_wins() {
        let t = table();
        let name = |host, path| t.route(host, path).map(|r| r.name.as_str());
        assert_eq!(name("a.example", "/x/y/z"), Some("deep"));
        assert_eq!(name("A.Example:8080", "/x/z"), Some("x"));
        assert_eq!(name("a.example", "/x"), Some("all"));
        assert_eq!(name("b.example", "/x"), None);
    }

    #[test]
    fn weighted_targets_follow_their_weights() {
        let t = table();
        let deep = t.route("a.example", "/x/y/").unwrap();
        let targets = [0.0, 0.74, 0.76, 1.0].map(|draw| deep.target(draw));
        assert_eq!(targets, [Some("t"), Some("t"), Some("u"), Some("u")]);
    }

    #[test]
    fn api_key_identifies_its_tenant() {
        assert_eq!(table().tenant("k2").map(|t| t.name.as_str()), Some("t1"));
        assert!(table().requires_api_key() && table().tenant("k3").is_none());
    }
}
