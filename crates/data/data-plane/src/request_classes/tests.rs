//! The class table under hundreds of changed time limits, and with more classes than entries.

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

/// Returns the effect and the maximum attempts of the class that is used for a route.
fn allowed(classes: &RequestClasses, route: &Route) -> (Effect, u32) {
    let class = classes.all()[classes.index_of(&RequestClass::of_route(route))];
    (class.module_class().effect, class.max_attempts)
}

#[test]
fn unsafe_request_never_gets_a_safe_class() {
    let mut classes = RequestClasses::new();
    for n in 0..1000 {
        let (safe_route, unsafe_route) =
            (route(RouteKind::Safe, 1000.0 + n as f64, 2), route(RouteKind::Unsafe, 2000.0 + n as f64, 1));
        classes.configure(&[safe_route.clone(), unsafe_route.clone()]);
        assert_eq!(allowed(&classes, &unsafe_route), (Effect::Unsafe, 1), "change {n}");
        assert_eq!(allowed(&classes, &safe_route), (Effect::Safe, 2), "change {n}");
        let index = classes.index_of(&RequestClass::of_route(&safe_route));
        assert_eq!(
            classes.all()[index],
            RequestClass::of_route(&safe_route),
            "the class has its own entry after {n} changes"
        );
    }
    assert_eq!(classes.all().len(), MAX_CLASSES);
}

#[test]
fn class_index_keeps_its_fixed_terms_for_requests_in_flight() {
    let mut classes = RequestClasses::new();
    let mut before: Vec<(RouteKind, u32)> = Vec::new();
    for n in 0..500u32 {
        let kind = if n % 3 == 0 { RouteKind::Unsafe } else { RouteKind::Safe };
        classes.configure(&[route(kind, f64::from(n) + 1.0, 1 + n % 4)]);
        let current: Vec<(RouteKind, u32)> = classes.all().iter().map(RequestClass::fixed_terms).collect();
        assert_eq!(current[..before.len()], before[..], "change {n}");
        before = current;
    }
}

#[test]
fn full_class_table_uses_the_nearest_stricter_class() {
    let mut classes = RequestClasses::new();
    let safe_routes: Vec<Route> =
        (0..200).map(|n| route(RouteKind::Safe, 1000.0 + 10.0 * f64::from(n), 2)).collect();
    classes.configure(&safe_routes);
    for route in &safe_routes {
        assert_eq!(allowed(&classes, route), (Effect::Safe, 2));
    }
    // The nearest class is used, not an arbitrary one.
    let last = classes.all()[classes.index_of(&RequestClass::of_route(&safe_routes[199]))];
    assert!(last.timeout_ms >= 1600.0, "{last:?}");
    for (kind, attempts) in [(RouteKind::Unsafe, 1), (RouteKind::Unsafe, 3), (RouteKind::Safe, 1)] {
        let strict_route = route(kind, 1500.0, attempts);
        classes.configure(&[safe_routes.clone(), vec![strict_route.clone()]].concat());
        assert_eq!(allowed(&classes, &strict_route), (Effect::Unsafe, 1), "only class 0 is strict enough");
    }
}
