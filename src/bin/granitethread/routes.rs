//! Routing table and pools from the operators' file: the pool of a request, and the pools of a server.

use granitehub::{Class, Effect, Group, Settings};
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use hyper::Uri;
use operator::{OperatorConfig, Pool};
use proxy::list::Target;
use route::{Route, RouteQuery, Selector, Split, Table};
use std::collections::BTreeMap;

/// The only path when no routes are configured.
const DEFAULT_PATH: &str = "/api";

/// Routing table and pools of the operators' file.
pub struct Routes {
    table: Table,
    pools: Vec<Selector>,
    /// Whether the operators' file has any route.
    has_routes: bool,
}

/// The pool and the URI of a routed request.
pub struct Destination {
    pub pool: usize,
    /// The path and query to send to a server.
    pub uri: Uri,
}

impl Routes {
    /// Compiles the routes and pools of the operators' file. `settings` has the classes that the routes name.
    ///
    /// # Errors
    /// Returns one line that names the line of the file.
    pub fn new(operator: &OperatorConfig, settings: &Settings) -> Result<Self, String> {
        let pools: Vec<Selector> = match operator.pools.as_slice() {
            [] => vec![Selector::default()],
            pools => pools.iter().map(selector).collect(),
        };
        let mut routes = Vec::new();
        for route in &operator.routes {
            let class = |name: &String| {
                let index = settings.classes.iter().position(|c| c.name == *name);
                index.ok_or_else(|| format!("line {}: no class is named {name:?}", route.line))
            };
            let pool =
                |name: &String| operator.pools.iter().position(|p| p.name == *name).unwrap_or(usize::MAX);
            routes.push(Route {
                line: route.line,
                host: route.host.clone(),
                prefix: route.prefix.clone(),
                methods: route.methods.clone(),
                classes: route.classes.iter().map(class).collect::<Result<_, _>>()?,
                headers: route.headers.clone(),
                split: Split {
                    weights: route.split.iter().map(|(name, weight)| (pool(name), *weight)).collect(),
                },
                rewrite: route.rewrite.clone(),
                shadow: None,
            });
        }
        if routes.is_empty() {
            routes.push(Route { prefix: DEFAULT_PATH.into(), split: Split::all(0), ..Route::default() });
        }
        let table = Table::new(routes, pools.len()).map_err(|e| e.to_string())?;
        Ok(Routes { table, pools, has_routes: !operator.routes.is_empty() })
    }

    /// Checks the routes and pools for a gateway whose settings have all the classes that the routes name.
    ///
    /// # Errors
    /// Returns one line that describes the problem.
    pub fn check(operator: &OperatorConfig) -> Result<(), String> {
        let names = operator.routes.iter().flat_map(|r| &r.classes);
        let class = |name: &String| Class::new(name, 0, 0, Effect::Safe, Group::All);
        let settings = Settings { classes: names.map(class).collect(), ..Settings::default() };
        Routes::new(operator, &settings).map(drop)
    }

    /// Number of pools.
    pub fn pools(&self) -> usize {
        self.pools.len()
    }

    /// Whether a request for this path may match a route. A full match also needs the request's headers.
    pub fn may_match(&self, path: &str) -> bool {
        self.has_routes || path == DEFAULT_PATH
    }

    /// Finds the destination of a request; none if no route matches.
    pub fn find(
        &self,
        head: &hyper::http::request::Parts,
        class: usize,
        customer: &str,
    ) -> Option<Destination> {
        let path = head.uri.path();
        let host = head.uri.host().or_else(|| head.headers.get("host")?.to_str().ok()).unwrap_or_default();
        let query = RouteQuery { host: without_port(host), path, method: head.method.as_str(), class };
        let route_match = self.table.find(&query, |name| header_value(&head.headers, name))?;
        let pool = route_match.route.split.pool(customer)?;
        // Backends get a path, even if the client sent an absolute URI as it would to a proxy.
        let path_and_query = head.uri.path_and_query()?;
        let uri = match route_match.path(path) {
            std::borrow::Cow::Borrowed(same) if same.len() == path.len() => Uri::from(path_and_query.clone()),
            path => {
                let query_suffix = path_and_query.query().map_or(String::new(), |q| format!("?{q}"));
                Uri::from(PathAndQuery::try_from(format!("{path}{query_suffix}")).ok()?)
            }
        };
        Some(Destination { pool, uri })
    }

    /// Returns the pools of a server, one bit for each.
    pub fn pools_of(&self, target: &Target) -> u32 {
        if let [only] = self.pools.as_slice() {
            if only.match_labels.is_empty() {
                return 1;
            }
        }
        let labels = BTreeMap::from([
            ("zone".to_string(), target.az.clone()),
            ("model".to_string(), target.model.clone()),
            ("group".to_string(), target.pod_group.to_string()),
        ]);
        let bit =
            |(index, selector): (usize, &Selector)| if selector.matches(&labels) { 1 << index } else { 0 };
        self.pools.iter().enumerate().map(bit).sum()
    }
}

fn selector(pool: &Pool) -> Selector {
    let groups: Vec<String> = pool.groups.iter().map(u32::to_string).collect();
    let labels = [("zone", pool.zones.clone()), ("model", pool.models.clone()), ("group", groups)];
    let non_empty = labels.into_iter().filter(|(_, values)| !values.is_empty());
    Selector { match_labels: non_empty.map(|(name, values)| (name.to_string(), values)).collect() }
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !name.ends_with(':') => name,
        _ => host,
    }
}

#[cfg(test)]
mod tests;
