//! Which numbers routes and services have inside this gateway. They are bounded, and what finds none left never gets a
//! number that would treat it as something else. No I/O.

use playbill::{Kind, Route};
use std::collections::HashMap;

/// Services that are told apart: a backend's are a bit each. Requests for one that came too late are refused.
pub const POOLS: usize = 32;
/// Kinds of requests that are told apart by what routes say of them.
pub const CLASSES: usize = 64;

/// What tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sort {
    pub kind: Kind,
    pub aim_ms: f64,
    pub timeout_ms: f64,
    pub attempts: u32,
}

impl Sort {
    pub fn of(route: &Route) -> Self {
        Sort {
            kind: route.route_kind,
            aim_ms: route.target_latency_ms,
            timeout_ms: route.timeout_ms,
            attempts: route.max_attempts.max(1),
        }
    }
}

/// The sorts of all configurations so far, in the order in which they came: a place is never another's.
pub struct Sorts(Vec<Sort>);

impl Default for Sorts {
    /// One of each kind that may be sent once, for those that come when no place is left.
    fn default() -> Self {
        let least = |kind| Sort { kind, aim_ms: 1000.0, timeout_ms: 10_000.0, attempts: 1 };
        Sorts(vec![least(Kind::Unsafe), least(Kind::Safe)])
    }
}

impl Sorts {
    pub fn all(&self) -> &[Sort] {
        &self.0
    }

    pub fn learn(&mut self, sort: Sort) {
        if self.0.len() < CLASSES && !self.0.contains(&sort) {
            self.0.push(sort);
        }
    }

    /// A sort's place; where it has none, that of the nearest by its aim which allows no more than it does.
    pub fn place(&self, sort: &Sort) -> usize {
        let own = self.0.iter().position(|s| s == sort);
        let allows_no_more = |s: &&Sort| s.kind == sort.kind && s.attempts <= sort.attempts;
        let far = |s: &Sort| (s.aim_ms.max(1.0).ln() - sort.aim_ms.max(1.0).ln()).abs();
        let near = || {
            let like = self.0.iter().filter(allows_no_more).min_by(|a, b| far(a).total_cmp(&far(b)));
            like.and_then(|like| self.0.iter().position(|s| s == like))
        };
        own.or_else(near).unwrap_or(0)
    }
}

/// The services that were named so far.
#[derive(Default)]
pub struct Pools(HashMap<String, usize>);

impl Pools {
    /// A service's place. None if all are taken: it shares none, since its requests would go to another's backends.
    pub fn place(&mut self, service: &str) -> Option<usize> {
        if let Some(place) = self.0.get(service) {
            return Some(*place);
        }
        let next = self.0.len();
        if next == POOLS {
            return None;
        }
        self.0.insert(service.to_string(), next);
        Some(next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sort(kind: Kind, aim_ms: f64, attempts: u32) -> Sort {
        Sort { kind, aim_ms, timeout_ms: 2.5 * aim_ms, attempts }
    }

    #[test]
    fn when_no_place_is_left_an_unsafe_route_is_still_unsafe_and_keeps_its_bound_on_attempts() {
        let mut sorts = Sorts::default();
        // Each new configuration alters a route's time-out.
        for n in 0..200 {
            sorts.learn(sort(if n % 2 == 0 { Kind::Unsafe } else { Kind::Safe }, 100.0 + f64::from(n), 3));
        }
        assert_eq!(sorts.all().len(), CLASSES);
        for (kind, attempts) in
            [(Kind::Unsafe, 1), (Kind::Unsafe, 3), (Kind::Safe, 1), (Kind::Safe, 2), (Kind::Safe, 9)]
        {
            let late = sort(kind, 157.5, attempts);
            let place = sorts.all()[sorts.place(&late)];
            assert_eq!(place.kind, kind);
            assert!(place.attempts <= attempts, "{late:?} as {place:?}");
        }
        let near = sorts.all()[sorts.place(&sort(Kind::Safe, 121.5, 3))];
        assert_eq!(near.aim_ms, 121.0);
    }

    #[test]
    fn a_service_that_finds_no_place_left_shares_none() {
        let mut pools = Pools::default();
        for n in 0..POOLS {
            assert_eq!(pools.place(&format!("s{n}")), Some(n));
        }
        assert_eq!(pools.place("one-more"), None);
        assert_eq!(pools.place("s7"), Some(7));
    }
}
