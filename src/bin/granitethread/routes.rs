//! The operators' routes and pools as the program uses them: whose a request is, and whose a server.

use granitehub::{Class, Effect, Group, Settings};
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use hyper::Uri;
use operator::{Operator, Pool};
use proxy::list::Target;
use route::{Route, RouteQuery, Selector, Split, Table};
use std::collections::BTreeMap;

/// The one path where no route is written.
const PATH: &str = "/api";

/// The routing table and the pools of the operators' file.
pub struct Routes {
    table: Table,
    pools: Vec<Selector>,
    /// Whether the operators wrote any route.
    written: bool,
}

/// Where a request goes.
pub struct Place {
    pub pool: usize,
    /// The path and query as servers get them.
    pub uri: Uri,
}

impl Routes {
    /// Compiles what the operators wrote.
    ///
    /// # Errors
    /// One line, with the file's own.
    pub fn new(operator: &Operator, settings: &Settings) -> Result<Self, String> {
        let pools: Vec<Selector> = match operator.pools.as_slice() {
            [] => vec![Selector::default()],
            pools => pools.iter().map(selector).collect(),
        };
        let mut routes = Vec::new();
        for r in &operator.routes {
            let class = |name: &String| {
                let place = settings.classes.iter().position(|c| c.name == *name);
                place.ok_or_else(|| format!("line {}: no class is named {name:?}", r.line))
            };
            let pool =
                |name: &String| operator.pools.iter().position(|p| p.name == *name).unwrap_or(usize::MAX);
            routes.push(Route {
                line: r.line,
                host: r.host.clone(),
                prefix: r.prefix.clone(),
                methods: r.methods.clone(),
                classes: r.classes.iter().map(class).collect::<Result<_, _>>()?,
                headers: r.headers.clone(),
                split: Split {
                    weights: r.split.iter().map(|(name, weight)| (pool(name), *weight)).collect(),
                },
                rewrite: r.rewrite.clone(),
                shadow: None,
            });
        }
        if routes.is_empty() {
            routes.push(Route { prefix: PATH.into(), split: Split::all(0), ..Route::default() });
        }
        let table = Table::new(routes, pools.len()).map_err(|e| e.to_string())?;
        Ok(Routes { table, pools, written: !operator.routes.is_empty() })
    }

    /// Whether a table would do for a gateway that has the classes it names.
    ///
    /// # Errors
    /// One line.
    pub fn check(operator: &Operator) -> Result<(), String> {
        let names = operator.routes.iter().flat_map(|r| &r.classes);
        let class = |name: &String| Class::new(name, 0, 0, Effect::Safe, Group::All);
        let settings = Settings { classes: names.map(class).collect(), ..Settings::default() };
        Routes::new(operator, &settings).map(drop)
    }

    /// How many pools there are.
    pub fn pools(&self) -> usize {
        self.pools.len()
    }

    /// Whether a request for this path can be anything but 404; which it is its figures tell.
    pub fn may_match(&self, path: &str) -> bool {
        self.written || path == PATH
    }

    /// Where a request goes; none if there is no route for it.
    pub fn place(&self, head: &hyper::http::request::Parts, class: usize, customer: &str) -> Option<Place> {
        let path = head.uri.path();
        let host = head.uri.host().or_else(|| head.headers.get("host")?.to_str().ok()).unwrap_or_default();
        let ask = RouteQuery { host: without_port(host), path, method: head.method.as_str(), class };
        let found = self.table.find(&ask, |name| value(&head.headers, name))?;
        let pool = found.route.split.pool(customer)?;
        // Backends are asked for a path, also if this client thinks that it talks to a proxy.
        let whole = head.uri.path_and_query()?;
        let uri = match found.path(path) {
            std::borrow::Cow::Borrowed(same) if same.len() == path.len() => Uri::from(whole.clone()),
            path => {
                let query = whole.query().map_or(String::new(), |q| format!("?{q}"));
                Uri::from(PathAndQuery::try_from(format!("{path}{query}")).ok()?)
            }
        };
        Some(Place { pool, uri })
    }

    /// The pools of a server, a bit each.
    pub fn of(&self, t: &Target) -> u32 {
        if let [all] = self.pools.as_slice() {
            if all.match_labels.is_empty() {
                return 1;
            }
        }
        let labels = BTreeMap::from([
            ("zone".to_string(), t.az.clone()),
            ("model".to_string(), t.model.clone()),
            ("group".to_string(), t.pod_group.to_string()),
        ]);
        let bit = |(n, s): (usize, &Selector)| if s.matches(&labels) { 1 << n } else { 0 };
        self.pools.iter().enumerate().map(bit).sum()
    }
}

fn selector(pool: &Pool) -> Selector {
    let groups: Vec<String> = pool.groups.iter().map(u32::to_string).collect();
    let all = [("zone", pool.zones.clone()), ("model", pool.models.clone()), ("group", groups)];
    let stated = all.into_iter().filter(|(_, values)| !values.is_empty());
    Selector { match_labels: stated.map(|(name, values)| (name.to_string(), values)).collect() }
}

fn value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
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
