//! Requests told apart by what their routes say of them: each sort is a class of the decision module. A bounded list whose
//! places keep what a rule rests on, whatever configurations come. No I/O.

#[cfg(test)]
mod tests;

use configuration::{Kind, Route};
use interface::{Class, Effect, Group};

/// Sorts that are told apart at once. Each costs the module some numbers for each backend.
pub const CLASSES: usize = 64;
/// What an operator who names no time-out is taken to mean, in ms; and the part of it that is the aim where none is named.
const TIMEOUT_MS: f64 = 60_000.0;
const AIM: f64 = 0.25;

/// What tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sort {
    pub kind: Kind,
    pub aim_ms: f64,
    pub timeout_ms: f64,
    /// The most backends that one try may be sent to.
    pub attempts: u32,
}

impl Sort {
    pub fn of(route: &Route) -> Sort {
        Sort {
            kind: route.route_kind,
            aim_ms: route.target_latency_ms,
            timeout_ms: route.timeout_ms,
            attempts: route.max_attempts.max(1),
        }
    }

    pub fn class(&self) -> Class {
        let nanos = |ms: f64| (ms.clamp(1.0, 3.6e6) * 1e6) as u64;
        let effect = match self.kind {
            Kind::Safe => Effect::Safe,
            Kind::Unsafe => Effect::Unsafe,
        };
        let timeout = if self.timeout_ms > 0.0 { self.timeout_ms } else { TIMEOUT_MS };
        let aim = if self.aim_ms > 0.0 { self.aim_ms } else { timeout * AIM };
        Class { late_worth: 0.5, ..Class::new("", nanos(aim), nanos(timeout), effect, Group::All) }
    }

    /// What a rule rests on: a place never changes it, for requests in hand are judged by their place.
    fn bound(&self) -> (Kind, u32) {
        (self.kind, self.attempts)
    }

    /// How far another sort's aim and time-out are from this one's.
    fn distance(&self, other: &Sort) -> f64 {
        let apart = |a: f64, b: f64| ((a.max(1.0) / b.max(1.0)).ln()).abs();
        apart(self.aim_ms, other.aim_ms) + apart(self.timeout_ms, other.timeout_ms)
    }
}

/// The sorts in their places.
#[derive(Clone, Debug)]
pub struct Sorts {
    all: Vec<Sort>,
    /// Whether a route of the configuration in force is of it.
    in_force: Vec<bool>,
}

impl Sorts {
    /// One that may be sent once, whose place is there for good.
    pub fn new() -> Self {
        let first = Sort { kind: Kind::Unsafe, aim_ms: 1000.0, timeout_ms: 10_000.0, attempts: 1 };
        Sorts { all: vec![first], in_force: vec![true] }
    }

    pub fn all(&self) -> &[Sort] {
        &self.all
    }

    /// A configuration is in force: its routes' sorts get places, new ones while there is room, then those of sorts that no
    /// route is of any more and that are bound alike.
    pub fn configure(&mut self, routes: &[Route]) {
        let mut wanted: Vec<Sort> = Vec::new();
        for sort in routes.iter().map(Sort::of) {
            // More than there are places for are of no use.
            if wanted.len() < 2 * CLASSES && !wanted.contains(&sort) {
                wanted.push(sort);
            }
        }
        self.in_force = self.all.iter().enumerate().map(|(n, s)| n == 0 || wanted.contains(s)).collect();
        for sort in wanted {
            if self.all.contains(&sort) {
                continue;
            }
            let free = |n: &usize| !self.in_force[*n] && self.all[*n].bound() == sort.bound();
            if self.all.len() < CLASSES {
                self.all.push(sort);
                self.in_force.push(true);
            } else if let Some(n) = (0..self.all.len()).find(free) {
                (self.all[n], self.in_force[n]) = (sort, true);
            }
        }
    }

    /// The place of a request of this sort. Where it has none of its own, the nearest that allows no more than it does; the
    /// first allows least.
    pub fn place(&self, sort: &Sort) -> usize {
        if let Some(own) = self.all.iter().position(|s| s == sort) {
            return own;
        }
        let fits = |s: &Sort| s.kind == sort.kind && s.attempts <= sort.attempts;
        let fitting = self.all.iter().enumerate().filter(|(_, s)| fits(s));
        let nearest = fitting.min_by(|(_, a), (_, b)| {
            let by = |s: &Sort| (sort.attempts - s.attempts, sort.distance(s));
            by(a).partial_cmp(&by(b)).unwrap_or(std::cmp::Ordering::Equal)
        });
        nearest.map_or(0, |(n, _)| n)
    }
}
