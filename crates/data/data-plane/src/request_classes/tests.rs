//! Hundreds of changed time-outs, and more sorts at once than there are places for.

use super::*;

fn route(kind: RouteKind, timeout_ms: f64, attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        route_kind: kind,
        timeout_ms,
        target_latency_ms: 400.0,
        priority: 0,
        max_attempts: attempts,
        public: false,
        target_service: Some("s".into()),
        weighted_targets: Vec::new(),
    }
}

/// What a request of this route may do at the most, by the place that it gets.
fn allowed(sorts: &RequestClasses, route: &Route) -> (Effect, u32) {
    let sort = sorts.all()[sorts.index_of(&RequestClass::of_route(route))];
    (sort.module_class().effect, sort.max_attempts)
}

#[test]
fn unsafe_request_never_gets_a_safe_class() {
    let mut sorts = RequestClasses::new();
    for n in 0..1000 {
        let (safe, once) =
            (route(RouteKind::Safe, 1000.0 + n as f64, 2), route(RouteKind::Unsafe, 2000.0 + n as f64, 1));
        sorts.configure(&[safe.clone(), once.clone()]);
        assert_eq!(allowed(&sorts, &once), (Effect::Unsafe, 1), "change {n}");
        assert_eq!(allowed(&sorts, &safe), (Effect::Safe, 2), "change {n}");
        let index = sorts.index_of(&RequestClass::of_route(&safe));
        assert_eq!(
            sorts.all()[index],
            RequestClass::of_route(&safe),
            "it has a place of its own, also behind {n} changes"
        );
    }
    assert_eq!(sorts.all().len(), MAX_CLASSES);
}

#[test]
fn class_index_keeps_its_fixed_terms_for_requests_in_flight() {
    let mut sorts = RequestClasses::new();
    let mut before: Vec<(RouteKind, u32)> = Vec::new();
    for n in 0..500u32 {
        let kind = if n % 3 == 0 { RouteKind::Unsafe } else { RouteKind::Safe };
        sorts.configure(&[route(kind, f64::from(n) + 1.0, 1 + n % 4)]);
        let now: Vec<(RouteKind, u32)> = sorts.all().iter().map(RequestClass::fixed_terms).collect();
        assert_eq!(now[..before.len()], before[..], "change {n}");
        before = now;
    }
}

#[test]
fn full_class_table_uses_the_nearest_stricter_class() {
    let mut sorts = RequestClasses::new();
    let safe: Vec<Route> =
        (0..200).map(|n| route(RouteKind::Safe, 1000.0 + 10.0 * f64::from(n), 2)).collect();
    sorts.configure(&safe);
    for r in &safe {
        assert_eq!(allowed(&sorts, r), (Effect::Safe, 2));
    }
    // The longest known, not just any.
    let last = sorts.all()[sorts.index_of(&RequestClass::of_route(&safe[199]))];
    assert!(last.timeout_ms >= 1600.0, "{last:?}");
    for (kind, attempts) in [(RouteKind::Unsafe, 1), (RouteKind::Unsafe, 3), (RouteKind::Safe, 1)] {
        let r = route(kind, 1500.0, attempts);
        sorts.configure(&[safe.clone(), vec![r.clone()]].concat());
        assert_eq!(allowed(&sorts, &r), (Effect::Unsafe, 1), "no place is bound like it but the first");
    }
}
