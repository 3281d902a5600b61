//! The routing table: what a request asks for -> a pool. Compiled once; a request keeps the table that it began with.
//!
//! **Precedence is total.** Of the routes that match a request the first in this order counts:
//!
//! 1. host: an exact name, then the longest wildcard (`*.example`), then none;
//! 2. the longest path prefix, by whole segments (`/api` is no prefix of `/apis`);
//! 3. a stated method before any;
//! 4. a stated class before any;
//! 5. more header conditions before fewer.
//!
//! Two routes that stand level and that one request can match are a conflict, refused at load with both lines.
//! (Gateway API's `HTTPRoute` has the same order but breaks the last tie by age; nginx by the file's order: both let
//! an edit elsewhere change what a request does.)
//!
//! The cost of a match grows with the request (labels of its host, segments of its path) and with the routes at one
//! host and prefix, of which there are [`MAX_ROUTES_PER_PREFIX`] at most; not with the number of routes.

use crate::split::{Shadow, Split};
use std::collections::HashMap;
use std::fmt;

/// The most routes of one host and one prefix.
pub const MAX_ROUTES_PER_PREFIX: usize = 64;
/// The most routes of a table.
pub const MAX_ROUTES: usize = 100_000;
/// The most bytes of a prefix, and segments that are looked at of a path.
pub const MAX_PREFIX_BYTES: usize = 1024;

/// A route as it is written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Where it stands in its file, for messages.
    pub line: usize,
    /// A name, `*.` and a name for all below it, or none for every host. Case does not matter.
    pub host: Option<String>,
    /// Begins with `/`. `/` matches every path.
    pub prefix: String,
    /// None: any.
    pub methods: Vec<String>,
    /// Places of classes in the settings. None: any.
    pub classes: Vec<usize>,
    /// All must be there with these values. Names in lower case.
    pub headers: Vec<(String, String)>,
    pub split: Split,
    /// What the prefix becomes on the way to a server.
    pub rewrite: Option<String>,
    pub shadow: Option<Shadow>,
}

/// What is wrong with a table: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A figure or a name in this line won't do.
    Route { line: usize, what: String },
    /// One request can match both, and neither goes first.
    Conflict { line: usize, other: usize },
    /// Too many routes in the table, or at one host and prefix.
    Many { line: usize, most: usize },
    /// There is no pool of this name.
    Pool { line: usize, pool: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Route { line, what } => write!(f, "line {line}: {what}"),
            Error::Conflict { line, other } => {
                write!(f, "line {line}: a request can match this route and that of line {other}, and neither goes first")
            }
            Error::Many { line, most } => write!(f, "line {line}: more than {most} routes"),
            Error::Pool { line, pool } => write!(f, "line {line}: no pool is named {pool:?}"),
        }
    }
}

impl std::error::Error for Error {}

/// What a table looks at of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Without a port.
    pub host: &'a str,
    /// Without a query; as it came, undecoded: `%2F` is no separator (RFC 3986, 2.2).
    pub path: &'a str,
    pub method: &'a str,
    pub class: usize,
}

/// The route of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match<'a> {
    pub route: &'a Route,
    /// The route's place in the table.
    pub number: usize,
}

impl Match<'_> {
    /// The path as servers get it.
    pub fn path<'p>(&self, path: &'p str) -> std::borrow::Cow<'p, str> {
        let Some(to) = &self.route.rewrite else { return path.into() };
        let rest = path.strip_prefix(self.route.prefix.trim_end_matches('/')).unwrap_or(path);
        let joined = format!("{}{rest}", to.trim_end_matches('/'));
        if joined.is_empty() {
            "/".into()
        } else {
            joined.into()
        }
    }
}

/// Routes of one host, by the segments of their prefixes.
#[derive(Debug, Default)]
struct Node {
    below: HashMap<Box<str>, Node>,
    /// Those that end here, first things first.
    here: Vec<usize>,
}

#[derive(Debug, Default)]
struct Hosts {
    exact: HashMap<Box<str>, Node>,
    /// By the name behind `*.`.
    below: HashMap<Box<str>, Node>,
    any: Node,
}

/// A compiled table.
#[derive(Debug, Default)]
pub struct Table {
    routes: Vec<Route>,
    hosts: Hosts,
}

impl Table {
    /// Compiles routes; `pools` are the pools' names, in the order in which splits count them.
    ///
    /// # Errors
    /// [`Error`], the first found.
    pub fn new(routes: Vec<Route>, pools: usize) -> Result<Self, Error> {
        if let Some(route) = routes.get(MAX_ROUTES) {
            return Err(Error::Many { line: route.line, most: MAX_ROUTES });
        }
        let mut hosts = Hosts::default();
        for (number, route) in routes.iter().enumerate() {
            check(route, pools)?;
            let name = route.host.as_ref().map(|h| h.to_ascii_lowercase());
            let mut node = match name.as_deref() {
                None => &mut hosts.any,
                Some(name) => match name.strip_prefix("*.") {
                    Some(below) => hosts.below.entry(below.into()).or_default(),
                    None => hosts.exact.entry(name.into()).or_default(),
                },
            };
            for segment in segments(&route.prefix) {
                node = node.below.entry(segment.into()).or_default();
            }
            if node.here.len() >= MAX_ROUTES_PER_PREFIX {
                return Err(Error::Many { line: route.line, most: MAX_ROUTES_PER_PREFIX });
            }
            for other in &node.here {
                let other = &routes[*other];
                if rank(other) == rank(route) && both_match(other, route) {
                    return Err(Error::Conflict { line: route.line, other: other.line });
                }
            }
            let place = node.here.partition_point(|n| rank(&routes[*n]) >= rank(route));
            node.here.insert(place, number);
        }
        Ok(Table { routes, hosts })
    }

    /// How many routes it has.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether it has no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The route of a request, if there is one. `header` tells a header's value by its name in lower case.
    pub fn find<'a, 'h>(
        &'a self,
        ask: &RouteQuery<'_>,
        header: impl Fn(&str) -> Option<&'h str>,
    ) -> Option<Match<'a>> {
        let lower;
        let host = if ask.host.bytes().any(|b| b.is_ascii_uppercase()) {
            lower = ask.host.to_ascii_lowercase();
            lower.as_str()
        } else {
            ask.host
        };
        let found = |node: &'a Node| self.longest_match(node, ask, &header);
        if let Some(found) = self.hosts.exact.get(host).and_then(found) {
            return Some(found);
        }
        if !self.hosts.below.is_empty() {
            // The longest name first: each dot further right is a shorter one.
            for (at, _) in host.match_indices('.') {
                if let Some(found) = self.hosts.below.get(&host[at + 1..]).and_then(found) {
                    return Some(found);
                }
            }
        }
        found(&self.hosts.any)
    }

    fn longest_match<'a, 'h>(
        &'a self,
        root: &'a Node,
        ask: &RouteQuery<'_>,
        header: &impl Fn(&str) -> Option<&'h str>,
    ) -> Option<Match<'a>> {
        let mut best = self.match_at(root, ask, header);
        let mut node = root;
        for segment in segments(ask.path) {
            let Some(below) = node.below.get(segment) else { break };
            node = below;
            best = self.match_at(node, ask, header).or(best);
        }
        best
    }

    fn match_at<'a, 'h>(
        &'a self,
        node: &Node,
        ask: &RouteQuery<'_>,
        header: &impl Fn(&str) -> Option<&'h str>,
    ) -> Option<Match<'a>> {
        let matches = |route: &Route| {
            (route.methods.is_empty() || route.methods.iter().any(|m| m == ask.method))
                && (route.classes.is_empty() || route.classes.contains(&ask.class))
                && route.headers.iter().all(|(name, value)| header(name) == Some(value))
        };
        let number = *node.here.iter().find(|n| matches(&self.routes[**n]))?;
        Some(Match { route: &self.routes[number], number })
    }
}

/// Segments of a path: `/a//b/` has `a`, nothing, `b`; a slash at the end adds none, so that `/a` and `/a/` are one
/// prefix.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    let path = path.strip_suffix('/').unwrap_or(path);
    path.split('/').filter(move |_| !path.is_empty())
}

/// Higher goes first, among routes of one host and prefix.
fn rank(route: &Route) -> (bool, bool, usize) {
    (!route.methods.is_empty(), !route.classes.is_empty(), route.headers.len())
}

/// Whether some request can match both.
fn both_match(a: &Route, b: &Route) -> bool {
    let meet = |a: &[String], b: &[String]| a.is_empty() || b.is_empty() || a.iter().any(|x| b.contains(x));
    let classes =
        a.classes.is_empty() || b.classes.is_empty() || a.classes.iter().any(|c| b.classes.contains(c));
    let differ = |(name, value): &(String, String)| b.headers.iter().any(|(n, v)| n == name && v != value);
    meet(&a.methods, &b.methods) && classes && !a.headers.iter().any(differ)
}

fn check(route: &Route, pools: usize) -> Result<(), Error> {
    let wrong = |what: String| Err(Error::Route { line: route.line, what });
    let name = |host: &str| {
        let label = |l: &str| {
            !l.is_empty()
                && l.len() <= 63
                && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        host.len() <= 253 && host.split('.').all(label)
    };
    if let Some(host) = &route.host {
        // RFC 1123, 2.1.
        if !name(host.strip_prefix("*.").unwrap_or(host)) {
            return wrong(format!("host is {host:?}: a name, or *. and a name, is wanted"));
        }
    }
    let path = |p: &str| {
        p.starts_with('/') && p.len() <= MAX_PREFIX_BYTES && p.bytes().all(|b| b.is_ascii_graphic())
    };
    let plain = |p: &str| !p.contains(['?', '#']) && !segments(p).any(|s| s == "." || s == "..");
    for (key, value) in [("prefix", Some(&route.prefix)), ("rewrite", route.rewrite.as_ref())] {
        if let Some(value) = value.filter(|v| !path(v) || !plain(v)) {
            return wrong(format!(
                "{key} is {value:?}: a path from / on, without dots or a query, is wanted"
            ));
        }
    }
    let token = |t: &String| {
        !t.is_empty() && t.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
    };
    if let Some(method) = route.methods.iter().find(|m| !token(m)) {
        return wrong(format!("method is {method:?}: a token is wanted"));
    }
    for (n, (name, _)) in route.headers.iter().enumerate() {
        if !token(name) || name.bytes().any(|b| b.is_ascii_uppercase()) {
            return wrong(format!("header is {name:?}: a name in lower case is wanted"));
        }
        if route.headers[..n].iter().any(|(other, _)| other == name) {
            return wrong(format!("header {name:?} stands twice"));
        }
    }
    route.split.check(pools).map_err(|what| Error::Route { line: route.line, what })?;
    if let Some(shadow) = &route.shadow {
        shadow.check(pools).map_err(|what| Error::Route { line: route.line, what })?;
    }
    Ok(())
}
