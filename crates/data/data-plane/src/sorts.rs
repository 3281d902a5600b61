//! Requests told apart by what their routes say of them: each sort is a class of the decision module. A bounded list whose
//! places keep what a rule rests on, whatever configurations come. No I/O.

#[cfg(test)]
mod tests;

use configuration::{Route, RouteKind};
use interface::{Class, Effect, Group};

/// Sorts that are told apart at once. Each costs the module some numbers for each backend.
pub const MAX_CLASSES: usize = 64;
/// What an operator who names no time-out is taken to mean, in ms; and the part of it that is the aim where none is named.
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
const DEFAULT_TARGET_RATIO: f64 = 0.25;

/// What tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    pub kind: RouteKind,
    pub target_latency_ms: f64,
    pub timeout_ms: f64,
    /// The most backends that one try may be sent to.
    pub max_attempts: u32,
}

impl RequestClass {
    pub fn of_route(route: &Route) -> RequestClass {
        RequestClass {
            kind: route.route_kind,
            target_latency_ms: route.target_latency_ms,
            timeout_ms: route.timeout_ms,
            max_attempts: route.max_attempts.max(1),
        }
    }

    pub fn to_module_class(&self) -> Class {
        let nanos = |ms: f64| (ms.clamp(1.0, 3.6e6) * 1e6) as u64;
        let effect = match self.kind {
            RouteKind::Safe => Effect::Safe,
            RouteKind::Unsafe => Effect::Unsafe,
        };
        let timeout = if self.timeout_ms > 0.0 { self.timeout_ms } else { DEFAULT_TIMEOUT_MS };
        let aim = if self.target_latency_ms > 0.0 {
            self.target_latency_ms
        } else {
            timeout * DEFAULT_TARGET_RATIO
        };
        Class { late_worth: 0.5, ..Class::new("", nanos(aim), nanos(timeout), effect, Group::All) }
    }

    /// What a rule rests on: a place never changes it, for requests in hand are judged by their place.
    fn fixed_terms(&self) -> (RouteKind, u32) {
        (self.kind, self.max_attempts)
    }

    /// How far another sort's aim and time-out are from this one's.
    fn distance(&self, other: &RequestClass) -> f64 {
        let apart = |a: f64, b: f64| ((a.max(1.0) / b.max(1.0)).ln()).abs();
        apart(self.target_latency_ms, other.target_latency_ms) + apart(self.timeout_ms, other.timeout_ms)
    }
}

/// The sorts in their places.
#[derive(Clone, Debug)]
pub struct RequestClasses {
    all: Vec<RequestClass>,
    /// Whether a route of the configuration in force is of it.
    in_force: Vec<bool>,
}

impl RequestClasses {
    /// One that may be sent once, whose place is there for good.
    pub fn new() -> Self {
        let first = RequestClass {
            kind: RouteKind::Unsafe,
            target_latency_ms: 1000.0,
            timeout_ms: 10_000.0,
            max_attempts: 1,
        };
        RequestClasses { all: vec![first], in_force: vec![true] }
    }

    pub fn all(&self) -> &[RequestClass] {
        &self.all
    }

    /// A configuration is in force: its routes' sorts get places, new ones while there is room, then those of sorts that no
    /// route is of any more and that are bound alike.
    pub fn configure(&mut self, routes: &[Route]) {
        let mut wanted: Vec<RequestClass> = Vec::new();
        for sort in routes.iter().map(RequestClass::of_route) {
            // More than there are places for are of no use.
            if wanted.len() < 2 * MAX_CLASSES && !wanted.contains(&sort) {
                wanted.push(sort);
            }
        }
        self.in_force = self.all.iter().enumerate().map(|(n, s)| n == 0 || wanted.contains(s)).collect();
        for sort in wanted {
            if self.all.contains(&sort) {
                continue;
            }
            let free = |n: &usize| !self.in_force[*n] && self.all[*n].fixed_terms() == sort.fixed_terms();
            if self.all.len() < MAX_CLASSES {
                self.all.push(sort);
                self.in_force.push(true);
            } else if let Some(n) = (0..self.all.len()).find(free) {
                (self.all[n], self.in_force[n]) = (sort, true);
            }
        }
    }

    /// The place of a request of this sort. Where it has none of its own, the nearest that allows no more than it does; the
    /// first allows least.
    pub fn index_of(&self, sort: &RequestClass) -> usize {
        if let Some(own) = self.all.iter().position(|s| s == sort) {
            return own;
        }
        let fits = |s: &RequestClass| s.kind == sort.kind && s.max_attempts <= sort.max_attempts;
        let fitting = self.all.iter().enumerate().filter(|(_, s)| fits(s));
        let nearest = fitting.min_by(|(_, a), (_, b)| {
            let by = |s: &RequestClass| (sort.max_attempts - s.max_attempts, sort.distance(s));
            by(a).partial_cmp(&by(b)).unwrap_or(std::cmp::Ordering::Equal)
        });
        nearest.map_or(0, |(n, _)| n)
    }
}
