//! The operators' routes and pools as the program uses them: whose a request is, and whose a server.

use granitehub::{Class, Effect, Group, Settings};
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use hyper::Uri;
use operator::{Operator, Pool};
use proxy::list::Target;
use route::{Ask, Route, Selector, Split, Table};
use std::collections::BTreeMap;

/// The one path where no route is written.
const PATH: &str = "/api";

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
                split: Split { to: r.split.iter().map(|(name, weight)| (pool(name), *weight)).collect() },
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
        let ask = Ask { host: without_port(host), path, method: head.method.as_str(), class };
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
            if all.wanted.is_empty() {
                return 1;
            }
        }
        let labels = BTreeMap::from([
            ("zone".to_string(), t.az.clone()),
            ("model".to_string(), t.model.clone()),
            ("group".to_string(), t.pod_group.to_string()),
        ]);
        let bit = |(n, s): (usize, &Selector)| if s.takes(&labels) { 1 << n } else { 0 };
        self.pools.iter().enumerate().map(bit).sum()
    }
}

fn selector(pool: &Pool) -> Selector {
    let groups: Vec<String> = pool.groups.iter().map(u32::to_string).collect();
    let all = [("zone", pool.zones.clone()), ("model", pool.models.clone()), ("group", groups)];
    let stated = all.into_iter().filter(|(_, values)| !values.is_empty());
    Selector { wanted: stated.map(|(name, values)| (name.to_string(), values)).collect() }
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
mod tests {
    use super::*;

    const TEXT: &str =
        "[[pool]]\nname = \"pricing\"\nzone = [\"a\"]\n[[pool]]\nname = \"booking\"\ngroup = [7]\n\
        [[route]]\nprefix = \"/v2/api\"\nrewrite = \"/api\"\nclass = [\"quote\"]\npool = \"pricing\"\n\
        [[route]]\nhost = \"*.example\"\npool = \"booking\"\n";

    fn routes(text: &str) -> Result<Routes, String> {
        let class = |name| Class::new(name, 1, 1, Effect::Safe, Group::All);
        let settings = Settings { classes: vec![class("quote"), class("confirm")], ..Settings::default() };
        Routes::new(&operator::read(text).expect("it can be read"), &settings)
    }

    fn place(r: &Routes, uri: &str, host: &str, class: usize) -> Option<(usize, String)> {
        let request = hyper::Request::get(uri).header("host", host).body(()).expect("a request");
        let found = r.place(&request.into_parts().0, class, "c")?;
        Some((found.pool, found.uri.to_string()))
    }

    #[test]
    fn a_request_has_a_pool_and_a_path_or_no_route() {
        let r = routes(TEXT).unwrap();
        assert_eq!(place(&r, "/v2/api/x?y=1", "h", 0), Some((0, "/api/x?y=1".into())));
        assert_eq!(place(&r, "/v2/api", "h", 1), None);
        assert_eq!(place(&r, "/any", "A.Example:8080", 1), Some((1, "/any".into())));
        assert_eq!(
            place(&r, "http://b.example/any?q", "h", 1),
            Some((1, "/any?q".into())),
            "the target's host"
        );
        assert_eq!(place(&r, "/", "[::1]:80", 1), None);
    }

    #[test]
    fn without_routes_the_one_path_goes_to_all_servers() {
        let r = routes("").unwrap();
        assert_eq!((r.pools(), place(&r, "/api?x=1", "h", 0)), (1, Some((0, "/api?x=1".into()))));
        assert_eq!(place(&r, "/apis", "h", 0), None);
    }

    #[test]
    fn a_server_is_in_the_pools_that_take_it() {
        let target = |az: &str, group: u32| -> Target {
            let text = format!(r#"{{"uid":"s","az":"{az}","pod_group":{group},"state":"Ready"}}"#);
            serde_json::from_str(&text).unwrap()
        };
        let r = routes(TEXT).unwrap();
        assert_eq!(
            [("a", 1), ("a", 7), ("b", 7), ("b", 1)].map(|(az, g)| r.of(&target(az, g))),
            [1, 3, 2, 0]
        );
        assert_eq!(routes("").unwrap().of(&target("x", 0)), 1);
    }

    #[test]
    fn what_wont_do_names_its_line() {
        let error = |text: &str| routes(text).err().expect("it won't do");
        assert_eq!(error(&TEXT.replace("[\"quote\"]", "[\"quota\"]")), "line 7: no class is named \"quota\"");
        assert!(error(&TEXT.replace("*.example", "*")).starts_with("line 12: host is"));
        let operator = |text: &str| operator::read(text).expect("it can be read");
        assert_eq!(Routes::check(&operator(TEXT)), Ok(()));
        assert!(Routes::check(&operator(&TEXT.replace("*.example", "*"))).is_err());
    }
}
