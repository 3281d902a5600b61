//! Requests told apart by what their routes say of them: classes of the decision module. A bounded list, in which a class
//! keeps what a rule rests on, whatever configurations come. No I/O.

#[cfg(test)]
mod tests;

use configuration::{Route, RouteKind};
use interface::{Class, Effect, Group};
use std::cmp::Ordering;

/// Classes that are told apart at once. Each costs the module some numbers for each backend.
pub const MAX_CLASSES: usize = 64;
/// What a route without a time-out is taken to mean, in milliseconds.
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
/// A route without a target latency has this part of its time-out.
const DEFAULT_TARGET_RATIO: f64 = 0.25;
/// What a late answer is worth.
const LATE_WORTH: f64 = 0.5;
/// Bounds of times, in milliseconds.
const MIN_TIME_MS: f64 = 1.0;
const MAX_TIME_MS: f64 = 3.6e6;

/// What tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Whether they may run more than once.
    pub kind: RouteKind,
    /// 0: not stated.
    pub target_latency_ms: f64,
    /// 0: not stated.
    pub timeout_ms: f64,
    /// The most backends that one try may be sent to.
    pub max_attempts: u32,
}

impl RequestClass {
    /// The class of a route's requests.
    pub fn of_route(route: &Route) -> RequestClass {
        RequestClass {
            kind: route.route_kind,
            target_latency_ms: route.target_latency_ms,
            timeout_ms: route.timeout_ms,
            max_attempts: route.max_attempts.max(1),
        }
    }

    /// As the module has it.
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
        Class { late_value: LATE_WORTH, ..class }
    }

    /// What a rule rests on: it never changes in a place of the list, for requests in flight are judged by their place.
    fn fixed_terms(&self) -> (RouteKind, u32) {
        (self.kind, self.max_attempts)
    }

    /// How far another class's target latency and time-out are from this one's.
    fn distance(&self, other: &RequestClass) -> f64 {
        let apart = |a: f64, b: f64| ((a.max(1.0) / b.max(1.0)).ln()).abs();
        apart(self.target_latency_ms, other.target_latency_ms) + apart(self.timeout_ms, other.timeout_ms)
    }
}

/// The classes in their places.
#[derive(Clone, Debug)]
pub struct RequestClasses {
    all: Vec<RequestClass>,
    /// Whether a route of the configuration in force has it.
    in_force: Vec<bool>,
}

impl RequestClasses {
    /// One class of requests that may be sent once, which stays for good.
    pub fn new() -> Self {
        let strictest = RequestClass {
            kind: RouteKind::Unsafe,
            target_latency_ms: 1000.0,
            timeout_ms: 10_000.0,
            max_attempts: 1,
        };
        RequestClasses { all: vec![strictest], in_force: vec![true] }
    }

    /// All classes.
    pub fn all(&self) -> &[RequestClass] {
        &self.all
    }

    /// A configuration is in force: its routes' classes get places, new ones while there is room, then those of classes that no
    /// route has any more and whose fixed terms are the same.
    pub fn configure(&mut self, routes: &[Route]) {
        let mut wanted: Vec<RequestClass> = Vec::new();
        for class in routes.iter().map(RequestClass::of_route) {
            // More than there are places for are of no use.
            if wanted.len() < 2 * MAX_CLASSES && !wanted.contains(&class) {
                wanted.push(class);
            }
        }
        self.in_force =
            self.all.iter().enumerate().map(|(n, class)| n == 0 || wanted.contains(class)).collect();
        for class in wanted {
            if !self.all.contains(&class) {
                self.add(class);
            }
        }
    }

    fn add(&mut self, class: RequestClass) {
        let is_replaceable =
            |n: &usize| !self.in_force[*n] && self.all[*n].fixed_terms() == class.fixed_terms();
        if self.all.len() < MAX_CLASSES {
            self.all.push(class);
            self.in_force.push(true);
        } else if let Some(n) = (0..self.all.len()).find(is_replaceable) {
            (self.all[n], self.in_force[n]) = (class, true);
        }
    }

    /// The place of a class. Where it has none of its own, the nearest that allows no more than it does; the first allows
    /// least.
    pub fn index_of(&self, class: &RequestClass) -> usize {
        if let Some(own) = self.all.iter().position(|other| other == class) {
            return own;
        }
        let allows_no_more =
            |other: &RequestClass| other.kind == class.kind && other.max_attempts <= class.max_attempts;
        let stricter = self.all.iter().enumerate().filter(|(_, other)| allows_no_more(other));
        let nearest = stricter.min_by(|(_, a), (_, b)| {
            let rank =
                |other: &RequestClass| (class.max_attempts - other.max_attempts, class.distance(other));
            rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal)
        });
        nearest.map_or(0, |(n, _)| n)
    }
}
