//! The table compared with a naive matcher, its precedence rules, and the tables that are rejected at load.

use proptest::prelude::*;
use route::{Error, Route, RouteQuery, Split, Table};

fn route(line: usize, host: Option<&str>, prefix: &str) -> Route {
    Route {
        line,
        host: host.map(Into::into),
        prefix: prefix.into(),
        split: Split::all(0),
        ..Route::default()
    }
}

fn matched_line(
    table: &Table,
    host: &str,
    path: &str,
    method: &str,
    class: usize,
    headers: &[(&str, &str)],
) -> Option<usize> {
    let query = RouteQuery { host, path, method, class };
    let header = |name: &str| headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    table.find(&query, header).map(|m| m.route.line)
}

#[test]
fn an_exact_host_goes_before_the_longest_wildcard_and_that_before_none() {
    let routes = vec![
        route(1, None, "/long/prefix/here"),
        route(2, Some("*.example"), "/"),
        route(3, Some("*.b.example"), "/"),
        route(4, Some("a.b.example"), "/"),
    ];
    let table = Table::new(routes, 1).unwrap();
    let line_for = |host| matched_line(&table, host, "/long/prefix/here", "GET", 0, &[]);
    assert_eq!(line_for("A.B.example"), Some(4), "hosts are case-insensitive");
    assert_eq!(line_for("x.b.example"), Some(3));
    assert_eq!(line_for("x.example"), Some(2));
    assert_eq!(line_for("example"), Some(1), "a wildcard matches subdomains only");
    assert_eq!(line_for("elsewhere"), Some(1));
}

#[test]
fn a_host_that_has_no_route_for_the_path_leaves_it_to_the_next() {
    let table = Table::new(vec![route(1, Some("a.example"), "/only"), route(2, None, "/")], 1).unwrap();
    assert_eq!(matched_line(&table, "a.example", "/other", "GET", 0, &[]), Some(2));
    assert_eq!(matched_line(&table, "a.example", "/only/x", "GET", 0, &[]), Some(1));
}

#[test]
fn the_longest_prefix_by_whole_segments_counts() {
    let table =
        Table::new(vec![route(1, None, "/api"), route(2, None, "/api/price"), route(3, None, "/api//x")], 1)
            .unwrap();
    let line_for = |path| matched_line(&table, "h", path, "GET", 0, &[]);
    assert_eq!(line_for("/api"), Some(1));
    assert_eq!(line_for("/api/"), Some(1));
    assert_eq!(line_for("/apis"), None);
    assert_eq!(line_for("/api/price/list"), Some(2));
    assert_eq!(line_for("/api/prices"), Some(1));
    assert_eq!(line_for("/api/%2e%2e/price"), Some(1), "percent-encoded segments are not decoded");
    assert_eq!(line_for("/api//x/y"), Some(3));
}

#[test]
fn method_class_and_headers_go_in_this_order() {
    let with = |line, methods: &[&str], classes: &[usize], headers: &[(&str, &str)]| Route {
        methods: methods.iter().map(|m| (*m).to_string()).collect(),
        classes: classes.to_vec(),
        headers: headers.iter().map(|(n, v)| ((*n).to_string(), (*v).to_string())).collect(),
        ..route(line, None, "/")
    };
    let routes = vec![
        with(1, &[], &[], &[]),
        with(2, &[], &[], &[("a", "1"), ("b", "2")]),
        with(3, &[], &[0], &[]),
        with(4, &["GET"], &[], &[]),
        with(5, &["GET"], &[0], &[]),
    ];
    let table = Table::new(routes, 1).unwrap();
    let both = [("a", "1"), ("b", "2")];
    assert_eq!(matched_line(&table, "h", "/", "GET", 0, &both), Some(5));
    assert_eq!(matched_line(&table, "h", "/", "GET", 1, &both), Some(4));
    assert_eq!(matched_line(&table, "h", "/", "POST", 0, &both), Some(3));
    assert_eq!(matched_line(&table, "h", "/", "POST", 1, &both), Some(2));
    assert_eq!(matched_line(&table, "h", "/", "POST", 1, &[("a", "1")]), Some(1));
}

#[test]
fn conflicting_routes_are_refused_with_both_lines() {
    let get = |line| Route { methods: vec!["GET".into(), "HEAD".into()], ..route(line, None, "/x") };
    let head = |line| Route { methods: vec!["HEAD".into()], ..route(line, None, "/x/") };
    assert_eq!(Table::new(vec![get(3), head(9)], 1).unwrap_err(), Error::Conflict { line: 9, other_line: 3 });
    let post = Route { methods: vec!["POST".into()], ..route(4, None, "/x") };
    assert!(Table::new(vec![get(3), post], 1).is_ok(), "no request has both methods");
    let one =
        |line, value: &str| Route { headers: vec![("k".into(), value.into())], ..route(line, None, "/") };
    assert!(Table::new(vec![one(1, "a"), one(2, "b")], 1).is_ok(), "a header has a single value");
    assert!(Table::new(vec![one(1, "a"), one(2, "a")], 1).is_err());
}

#[test]
fn an_invalid_route_is_refused_with_its_line() {
    let cases = [
        Route { prefix: "api".into(), ..route(7, None, "/") },
        Route { prefix: "/a?b".into(), ..route(7, None, "/") },
        Route { prefix: "/a/../b".into(), ..route(7, None, "/") },
        Route { prefix: format!("/{}", "a".repeat(2000)), ..route(7, None, "/") },
        route(7, Some("*"), "/"),
        route(7, Some("a..b"), "/"),
        route(7, Some("a b"), "/"),
        Route { methods: vec!["G ET".into()], ..route(7, None, "/") },
        Route { headers: vec![("Upper".into(), "v".into())], ..route(7, None, "/") },
        Route { headers: vec![("k".into(), "v".into()), ("k".into(), "w".into())], ..route(7, None, "/") },
        Route { split: Split { weights: vec![(0, 0)] }, ..route(7, None, "/") },
        Route { split: Split { weights: vec![(1, 1)] }, ..route(7, None, "/") },
        Route { split: Split { weights: vec![(0, 1), (0, 2)] }, ..route(7, None, "/") },
        Route { rewrite: Some("here".into()), ..route(7, None, "/") },
    ];
    for case in cases {
        let error = Table::new(vec![case.clone()], 1).expect_err("the table is invalid").to_string();
        assert!(error.starts_with("line 7: ") && !error.contains('\n'), "{case:?}: {error}");
    }
    let same_rank = |n| Route { headers: vec![("k".into(), format!("{n}"))], ..route(n, None, "/") };
    let many = Table::new((0..100).map(same_rank).collect(), 1);
    assert!(matches!(many, Err(Error::TooMany { line: 64, .. })));
}

#[test]
fn a_prefix_is_rewritten_and_the_rest_kept() {
    let path = |prefix: &str, replacement: &str, path: &str| {
        let r = Route { rewrite: Some(replacement.into()), ..route(1, None, prefix) };
        let table = Table::new(vec![r], 1).unwrap();
        let query = RouteQuery { host: "h", path, method: "GET", class: 0 };
        table.find(&query, |_| None).expect("the route matches").path(path).into_owned()
    };
    assert_eq!(path("/v2/api", "/api", "/v2/api/x//y/"), "/api/x//y/");
    assert_eq!(path("/v2", "/", "/v2"), "/");
    assert_eq!(path("/v2/", "/", "/v2/x"), "/x");
    assert_eq!(path("/", "/api", "/x"), "/api/x");
}

/// The documented precedence, implemented as simply as possible.
fn naive(
    routes: &[Route],
    host: &str,
    path: &str,
    method: &str,
    class: usize,
    headers: &[(String, String)],
) -> Option<usize> {
    let segments = |p: &str| -> Vec<String> {
        let p = p.strip_prefix('/').unwrap_or(p);
        let p = p.strip_suffix('/').unwrap_or(p);
        if p.is_empty() {
            Vec::new()
        } else {
            p.split('/').map(Into::into).collect()
        }
    };
    let host_rank = |r: &Route| match r.host.as_deref() {
        None => Some((0, 0)),
        Some(h) => match h.strip_prefix("*.") {
            Some(suffix) => host.ends_with(&format!(".{suffix}")).then_some((1, suffix.len())),
            None => (h == host).then_some((2, 0)),
        },
    };
    let matches = |r: &&Route| {
        let prefix = segments(&r.prefix);
        segments(path).starts_with(&prefix)
            && (r.methods.is_empty() || r.methods.iter().any(|m| m == method))
            && (r.classes.is_empty() || r.classes.contains(&class))
            && r.headers.iter().all(|h| headers.contains(h))
            && host_rank(r).is_some()
    };
    let precedence = |r: &&Route| {
        (
            host_rank(r),
            segments(&r.prefix).len(),
            !r.methods.is_empty(),
            !r.classes.is_empty(),
            r.headers.len(),
        )
    };
    routes.iter().filter(matches).max_by_key(precedence).map(|r| r.line)
}

fn some_route() -> impl Strategy<Value = Route> {
    let host = prop::option::of(prop::sample::select(vec!["a.x", "b.x", "*.x", "*.b.x", "x"]));
    let prefix = prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..4);
    let methods = prop::collection::vec(prop::sample::select(vec!["GET", "POST"]), 0..2);
    let classes = prop::collection::vec(0usize..3, 0..2);
    let headers = prop::collection::btree_map(
        prop::sample::select(vec!["k", "l"]),
        prop::sample::select(vec!["1", "2"]),
        0..3,
    );
    (host, prefix, methods, classes, headers).prop_map(|(host, prefix, methods, classes, headers)| Route {
        methods: methods.into_iter().map(Into::into).collect(),
        classes,
        headers: headers.into_iter().map(|(n, v)| (n.to_string(), v.to_string())).collect(),
        ..route(0, host, &format!("/{}", prefix.join("/")))
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// For any table and request the compiled table and the naive matcher agree. Routes that are rejected as conflicts are
    /// left out one by one.
    #[test]
    fn the_compiled_table_does_what_the_naive_one_does(
        drawn in prop::collection::vec(some_route(), 0..40),
        hosts in prop::collection::vec(prop::sample::select(vec!["a.x", "b.x", "c.b.x", "x", "y"]), 8),
        paths in prop::collection::vec(prop::collection::vec(prop::sample::select(vec!["a", "b", "c", "d"]), 0..5), 8),
        method in prop::sample::select(vec!["GET", "POST", "PUT"]),
        class in 0usize..3,
        headers in prop::collection::btree_map(prop::sample::select(vec!["k", "l"]), prop::sample::select(vec!["1", "2"]), 0..3),
    ) {
        let mut routes: Vec<Route> = Vec::new();
        for (n, r) in drawn.into_iter().enumerate() {
            routes.push(Route { line: n + 1, ..r });
            if Table::new(routes.clone(), 1).is_err() {
                routes.pop();
            }
        }
        let table = Table::new(routes.clone(), 1).unwrap();
        let owned: Vec<(String, String)> = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
        let borrowed: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, *v)).collect();
        for (host, path) in hosts.iter().zip(&paths) {
            let path = format!("/{}", path.join("/"));
            let compiled = matched_line(&table, host, &path, method, class, &borrowed);
            prop_assert_eq!(compiled, naive(&routes, host, &path, method, class, &owned), "{} {}", host, path);
        }
    }

    /// No input makes the lookup panic.
    #[test]
    fn any_bytes_are_a_request(host in ".{0,40}", path in ".{0,80}", method in ".{0,8}") {
        let table = Table::new(vec![route(1, Some("*.x"), "/a"), route(2, None, "/")], 1).unwrap();
        let _ = matched_line(&table, &host, &path, &method, usize::MAX, &[]);
    }
}
