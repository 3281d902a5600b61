//! Routing table: maps requests to routes. Compiled once; a request keeps the table with which it began.
//!
//! **Precedence is total.** Of the routes that match a request, the first in this order is selected:
//!
//! 1. host: an exact name, then the longest wildcard (`*.example`), then no host;
//! 2. the longest path prefix, by whole segments (`/api` is not a prefix of `/apis`);
//! 3. routes with a method condition before those without;
//! 4. routes with a class condition before those without;
//! 5. routes with more header conditions before those with fewer.
//!
//! Two routes of equal precedence that one request can match are a conflict, which is rejected at load with both lines.
//! (Gateway API's `HTTPRoute` has the same order but breaks the last tie by age, nginx by the order in the file: in both
//! an unrelated edit can change the route of a request.)
//!
//! The cost of a lookup grows with the request (labels of its host, segments of its path) and with the number of routes
//! of one host and prefix, at most [`MAX_ROUTES_PER_PREFIX`], but not with the total number of routes.

use crate::split::{Shadow, Split};
use std::collections::HashMap;
use std::fmt;

/// Maximum number of routes of one host and one prefix.
pub const MAX_ROUTES_PER_PREFIX: usize = 64;
/// Maximum number of routes of a table.
pub const MAX_ROUTES: usize = 100_000;
/// Maximum length of a prefix and of its replacement.
pub const MAX_PREFIX_BYTES: usize = 1024;

/// A route as written in the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Line of the route in its file, for error messages.
    pub line: usize,
    /// A name, `*.` followed by a name for all its subdomains, or `None` for every host. Case-insensitive.
    pub host: Option<String>,
    /// Path prefix, beginning with `/`. `/` matches every path.
    pub prefix: String,
    /// Methods that match. Empty: any.
    pub methods: Vec<String>,
    /// Indices of classes in the settings that match. Empty: any.
    pub classes: Vec<usize>,
    /// Names, in lower case, and values of headers. All must be present.
    pub headers: Vec<(String, String)>,
    pub split: Split,
    /// Replacement of the prefix in the path that is sent to a server.
    pub rewrite: Option<String>,
    pub shadow: Option<Shadow>,
}

/// Reason why a table is rejected. Displayed as a single line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A value of the route in this line is invalid.
    InvalidRoute { line: usize, reason: String },
    /// One request can match both routes, and neither takes precedence.
    Conflict { line: usize, other_line: usize },
    /// The table, or one host and prefix, has too many routes.
    TooMany { line: usize, limit: usize },
    /// There is no pool with this name.
    UnknownPool { line: usize, pool: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::InvalidRoute { line, reason } => write!(f, "line {line}: {reason}"),
            Error::Conflict { line, other_line } => {
                write!(f, "line {line}: a request can match this route and that of line {other_line}, and neither goes first")
            }
            Error::TooMany { line, limit } => write!(f, "line {line}: more than {limit} routes"),
            Error::UnknownPool { line, pool } => write!(f, "line {line}: no pool is named {pool:?}"),
        }
    }
}

impl std::error::Error for Error {}

/// Properties of a request that select its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Host without a port.
    pub host: &'a str,
    /// Path as received, without the query and not percent-decoded: `%2F` is not a separator (RFC 3986, 2.2).
    pub path: &'a str,
    pub method: &'a str,
    /// Index of the request's class in the settings.
    pub class: usize,
}

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match<'a> {
    pub route: &'a Route,
    /// Index of the route in the table.
    pub index: usize,
}

impl Match<'_> {
    /// Returns the path that is sent to a server.
    pub fn path<'p>(&self, path: &'p str) -> std::borrow::Cow<'p, str> {
        let Some(replacement) = &self.route.rewrite else { return path.into() };
        let suffix = path.strip_prefix(self.route.prefix.trim_end_matches('/')).unwrap_or(path);
        let joined = format!("{}{suffix}", replacement.trim_end_matches('/'));
        if joined.is_empty() {
            "/".into()
        } else {
            joined.into()
        }
    }
}

/// Node of the prefix tree of one host, keyed by path segments.
#[derive(Debug, Default)]
struct Node {
    children: HashMap<Box<str>, Node>,
    /// Indices of the routes whose prefix ends here, in order of precedence.
    routes: Vec<usize>,
}

#[derive(Debug, Default)]
struct Hosts {
    exact: HashMap<Box<str>, Node>,
    /// Keyed by the name after `*.`.
    wildcard: HashMap<Box<str>, Node>,
    any_host: Node,
}

/// A compiled table.
#[derive(Debug, Default)]
pub struct Table {
    routes: Vec<Route>,
    hosts: Hosts,
}

impl Table {
    /// Compiles a table. `pools` is the number of pools, by whose index splits refer to them.
    ///
    /// # Errors
    /// The first [`Error`] found.
    pub fn new(routes: Vec<Route>, pools: usize) -> Result<Self, Error> {
        if let Some(route) = routes.get(MAX_ROUTES) {
            return Err(Error::TooMany { line: route.line, limit: MAX_ROUTES });
        }
        let mut hosts = Hosts::default();
        for (index, route) in routes.iter().enumerate() {
            check(route, pools)?;
            let name = route.host.as_ref().map(|h| h.to_ascii_lowercase());
            let mut node = match name.as_deref() {
                None => &mut hosts.any_host,
                Some(name) => match name.strip_prefix("*.") {
                    Some(suffix) => hosts.wildcard.entry(suffix.into()).or_default(),
                    None => hosts.exact.entry(name.into()).or_default(),
                },
            };
            for segment in segments(&route.prefix) {
                node = node.children.entry(segment.into()).or_default();
            }
            if node.routes.len() >= MAX_ROUTES_PER_PREFIX {
                return Err(Error::TooMany { line: route.line, limit: MAX_ROUTES_PER_PREFIX });
            }
            for other in &node.routes {
                let other = &routes[*other];
                if rank(other) == rank(route) && can_both_match(other, route) {
                    return Err(Error::Conflict { line: route.line, other_line: other.line });
                }
            }
            let position = node.routes.partition_point(|n| rank(&routes[*n]) >= rank(route));
            node.routes.insert(position, index);
        }
        Ok(Table { routes, hosts })
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the route of a request, if any. `header` returns the value of a header by its name in lower case.
    pub fn find<'a, 'h>(
        &'a self,
        query: &RouteQuery<'_>,
        header: impl Fn(&str) -> Option<&'h str>,
    ) -> Option<Match<'a>> {
        let lower;
        let host = if query.host.bytes().any(|b| b.is_ascii_uppercase()) {
            lower = query.host.to_ascii_lowercase();
            lower.as_str()
        } else {
            query.host
        };
        let found = |node: &'a Node| self.longest_match(node, query, &header);
        if let Some(found) = self.hosts.exact.get(host).and_then(found) {
            return Some(found);
        }
        if !self.hosts.wildcard.is_empty() {
            // From left to right the suffixes get shorter, so the longest wildcard is found first.
            for (dot, _) in host.match_indices('.') {
                if let Some(found) = self.hosts.wildcard.get(&host[dot + 1..]).and_then(found) {
                    return Some(found);
                }
            }
        }
        found(&self.hosts.any_host)
    }

    fn longest_match<'a, 'h>(
        &'a self,
        root: &'a Node,
        query: &RouteQuery<'_>,
        header: &impl Fn(&str) -> Option<&'h str>,
    ) -> Option<Match<'a>> {
        let mut best = self.match_at(root, query, header);
        let mut node = root;
        for segment in segments(query.path) {
            let Some(child) = node.children.get(segment) else { break };
            node = child;
            best = self.match_at(node, query, header).or(best);
        }
        best
    }

    fn match_at<'a, 'h>(
        &'a self,
        node: &Node,
        query: &RouteQuery<'_>,
        header: &impl Fn(&str) -> Option<&'h str>,
    ) -> Option<Match<'a>> {
        let matches = |route: &Route| {
            (route.methods.is_empty() || route.methods.iter().any(|m| m == query.method))
                && (route.classes.is_empty() || route.classes.contains(&query.class))
                && route.headers.iter().all(|(name, value)| header(name) == Some(value))
        };
        let index = *node.routes.iter().find(|n| matches(&self.routes[**n]))?;
        Some(Match { route: &self.routes[index], index })
    }
}

/// Splits a path into segments: `/a//b/` has `a`, an empty segment and `b`. A trailing slash adds none, so `/a` and `/a/`
/// are the same prefix.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    let path = path.strip_suffix('/').unwrap_or(path);
    path.split('/').filter(move |_| !path.is_empty())
}

/// Returns the precedence among routes of one host and prefix; higher ranks take precedence.
fn rank(route: &Route) -> (bool, bool, usize) {
    (!route.methods.is_empty(), !route.classes.is_empty(), route.headers.len())
}

/// Whether some request can match both routes.
fn can_both_match(a: &Route, b: &Route) -> bool {
    let overlap =
        |a: &[String], b: &[String]| a.is_empty() || b.is_empty() || a.iter().any(|x| b.contains(x));
    let classes_overlap =
        a.classes.is_empty() || b.classes.is_empty() || a.classes.iter().any(|c| b.classes.contains(c));
    let conflicts = |(name, value): &(String, String)| b.headers.iter().any(|(n, v)| n == name && v != value);
    overlap(&a.methods, &b.methods) && classes_overlap && !a.headers.iter().any(conflicts)
}

fn check(route: &Route, pools: usize) -> Result<(), Error> {
    let invalid = |reason: String| Err(Error::InvalidRoute { line: route.line, reason });
    let is_host_name = |host: &str| {
        let is_label = |l: &str| {
            !l.is_empty()
                && l.len() <= 63
                && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        host.len() <= 253 && host.split('.').all(is_label)
    };
    if let Some(host) = &route.host {
        // RFC 1123, 2.1.
        if !is_host_name(host.strip_prefix("*.").unwrap_or(host)) {
            return invalid(format!("host is {host:?}: must be a name, or *. followed by a name"));
        }
    }
    let is_path = |p: &str| {
        p.starts_with('/') && p.len() <= MAX_PREFIX_BYTES && p.bytes().all(|b| b.is_ascii_graphic())
    };
    let is_normalized = |p: &str| !p.contains(['?', '#']) && !segments(p).any(|s| s == "." || s == "..");
    for (key, value) in [("prefix", Some(&route.prefix)), ("rewrite", route.rewrite.as_ref())] {
        if let Some(value) = value.filter(|v| !is_path(v) || !is_normalized(v)) {
            return invalid(format!(
                "{key} is {value:?}: must be a path that begins with /, without dot segments or a query"
            ));
        }
    }
    let is_token = |t: &String| {
        !t.is_empty() && t.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
    };
    if let Some(method) = route.methods.iter().find(|m| !is_token(m)) {
        return invalid(format!("method is {method:?}: must be a token"));
    }
    for (n, (name, _)) in route.headers.iter().enumerate() {
        if !is_token(name) || name.bytes().any(|b| b.is_ascii_uppercase()) {
            return invalid(format!("header is {name:?}: must be a name in lower case"));
        }
        if route.headers[..n].iter().any(|(other, _)| other == name) {
            return invalid(format!("header {name:?} is listed twice"));
        }
    }
    route.split.check(pools).map_err(|reason| Error::InvalidRoute { line: route.line, reason })?;
    if let Some(shadow) = &route.shadow {
        shadow.check(pools).map_err(|reason| Error::InvalidRoute { line: route.line, reason })?;
    }
    Ok(())
}
