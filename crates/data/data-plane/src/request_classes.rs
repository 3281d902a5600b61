//! Classes of requests for the decision module, derived from the routes. The table is bounded, and the terms of a
//! class that correctness depends on never change, whatever configurations follow. No I/O.

#[cfg(test)]
mod tests;

use configuration::{Route, RouteKind};
use interface::{Class, Effect, Group};
use std::cmp::Ordering;

/// Maximum number of classes. Each class costs the module some numbers per backend.
pub const MAX_CLASSES: usize = 64;
/// Time limit in milliseconds of a route that states none.
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
/// Target latency of a route that states none, as a ratio of its time limit.
const DEFAULT_TARGET_RATIO: f64 = 0.25;
/// Value of a response after the target latency.
const LATE_VALUE: f64 = 0.5;
/// Bounds of stated times, in milliseconds.
const MIN_TIME_MS: f64 = 1.0;
const MAX_TIME_MS: f64 = 3.6e6;

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Target latency in milliseconds; 0: not stated.
    pub target_latency_ms: f64,
    /// Time limit in milliseconds; 0: not stated.
    pub timeout_ms: f64,
    /// Maximum number of backends that one client attempt may be sent to.
    pub max_attempts: u32,
}

impl RequestClass {
    /// Returns the class of a route's requests.
    pub fn of_route(route: &Route) -> RequestClass {
        RequestClass {
            kind: route.route_kind,
            target_latency_ms: route.target_latency_ms,
            timeout_ms: route.timeout_ms,
            max_attempts: route.max_attempts.max(1),
        }
    }

    /// Converts the class to the decision module's type.
    pub fn module_class(&self) -> Class {
        let nanos = |ms: f64| (ms.clamp(MIN_TIME_MS, MAX_TIME_MS) * 1e6) as u64;
        let effect = match self.kind {
            RouteKind::Safe => Effect::Safe,
            RouteKind::Unsafe => Effect::Unsafe,
        };
        let timeout_ms = if self.timeout_ms > 0.0 { self.timeout_ms } else { DEFAULT_TIMEOUT_MS };
        let target_ms = if self.target_latency_ms > 0.0 {
            self.target_latency_ms
        } else {
            timeout_ms * DEFAULT_TARGET_RATIO
        };
        let class = Class::new("", nanos(target_ms), nanos(timeout_ms), effect, Group::All);
        Class { late_value: LATE_VALUE, ..class }
    }

    /// Returns the terms that never change for a given index, because requests in flight are judged by the index of
    /// their class.
    fn fixed_terms(&self) -> (RouteKind, u32) {
        (self.kind, self.max_attempts)
    }

    /// Returns the distance between the target latencies and time limits of two classes.
    fn distance(&self, other: &RequestClass) -> f64 {
        let log_ratio = |a: f64, b: f64| ((a.max(1.0) / b.max(1.0)).ln()).abs();
        log_ratio(self.target_latency_ms, other.target_latency_ms)
            + log_ratio(self.timeout_ms, other.timeout_ms)
    }
}

/// The table of classes.
#[derive(Clone, Debug)]
pub struct RequestClasses {
    all: Vec<RequestClass>,
    /// Whether a route of the current configuration has the class, by index.
    in_force: Vec<bool>,
}

impl RequestClasses {
    /// Creates a table with one permanent class, whose requests may be sent only once.
    pub fn new() -> Self {
        let strictest = RequestClass {
            kind: RouteKind::Unsafe,
            target_latency_ms: 1000.0,
            timeout_ms: 10_000.0,
            max_attempts: 1,
        };
        RequestClasses { all: vec![strictest], in_force: vec![true] }
    }

    /// Returns all classes.
    pub fn all(&self) -> &[RequestClass] {
        &self.all
    }

    /// Updates the table for a new configuration. New classes get free entries first, then entries of classes that no
    /// route uses any more and that have the same fixed terms.
    pub fn configure(&mut self, routes: &[Route]) {
        let mut required: Vec<RequestClass> = Vec::new();
        for class in routes.iter().map(RequestClass::of_route) {
            // Classes beyond the capacity are of no use.
            if required.len() < 2 * MAX_CLASSES && !required.contains(&class) {
                required.push(class);
            }
        }
        self.in_force = self
            .all
            .iter()
            .enumerate()
            .map(|(index, class)| index == 0 || required.contains(class))
            .collect();
        for class in required {
            if !self.all.contains(&class) {
                self.add(class);
            }
        }
    }

    fn add(&mut self, class: RequestClass) {
        let is_replaceable =
            |index: &usize| !self.in_force[*index] && self.all[*index].fixed_terms() == class.fixed_terms();
        if self.all.len() < MAX_CLASSES {
            self.all.push(class);
            self.in_force.push(true);
        } else if let Some(index) = (0..self.all.len()).find(is_replaceable) {
            (self.all[index], self.in_force[index]) = (class, true);
        }
    }

    /// Returns the index of a class. A class without an entry gets the nearest class that allows no more than it
    /// does; class 0 allows the least.
    pub fn index_of(&self, class: &RequestClass) -> usize {
        if let Some(index) = self.all.iter().position(|other| other == class) {
            return index;
        }
        let allows_no_more =
            |other: &RequestClass| other.kind == class.kind && other.max_attempts <= class.max_attempts;
        let stricter = self.all.iter().enumerate().filter(|(_, other)| allows_no_more(other));
        let nearest = stricter.min_by(|(_, a), (_, b)| {
            let rank =
                |other: &RequestClass| (class.max_attempts - other.max_attempts, class.distance(other));
            rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal)
        });
        nearest.map_or(0, |(index, _)| index)
    }
}
