//! Maps services to pools of the decision module, which determine the backends that a request may be sent to.
//!
//! The services that the configuration in force routes to have pools, as far as there are enough. A service keeps its
//! pool after the last route to it is gone, until another service needs the pool and no request uses it. A service
//! without a pool is refused at once, and its backends receive no requests of other services. No I/O.

#[cfg(test)]
mod tests;

use proxy::backends::PoolUse;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Number of pools. The last pool has no backends.
pub const POOL_COUNT: usize = 32;
const UNROUTABLE_POOL: usize = POOL_COUNT - 1;

/// An assigned pool.
#[derive(Debug)]
struct Assignment {
    pool: usize,
    /// Whether the configuration in force routes to the service.
    is_routed: bool,
    /// Number of requests that have not ended.
    users: Rc<Cell<usize>>,
}

impl Assignment {
    fn is_reusable(&self) -> bool {
        !self.is_routed && self.users.get() == 0
    }
}

/// Pools by service.
#[derive(Debug, Default)]
pub struct Pools {
    assignments: HashMap<String, Assignment>,
    /// Services that the configuration in force routes to, in its order.
    routed: Vec<String>,
    /// Number of pools that have been assigned at least once. They are the first ones.
    assigned_count: usize,
}

/// A pool that has changed its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// Index of the pool.
    pub pool: usize,
    /// The service that had the pool, if any. It has none now.
    pub old_service: Option<String>,
    /// The service that has the pool now.
    pub new_service: String,
}

impl Pools {
    /// Sets the services that the configuration in force routes to, and assigns pools to those that have none. Returns
    /// the changes; the backends of these services have other pools now.
    pub fn set_routed<'a>(&mut self, services: impl Iterator<Item = &'a str>) -> Vec<PoolChange> {
        let mut known = HashSet::new();
        let services = services.filter(|service| !service.is_empty() && known.insert(*service));
        self.routed = services.map(str::to_string).collect();
        for (service, assignment) in &mut self.assignments {
            assignment.is_routed = known.contains(service.as_str());
        }
        self.assign_missing()
    }

    /// Assigns pools to services without one, as far as pools are free. Returns the changes.
    pub fn assign_missing(&mut self) -> Vec<PoolChange> {
        if !self.has_free_pool() {
            return Vec::new();
        }
        let missing: Vec<String> = self.without_pool().map(str::to_string).collect();
        missing.into_iter().map_while(|service| self.assign(service)).collect()
    }

    /// Returns the services that the configuration routes to and that have no pool.
    pub fn without_pool(&self) -> impl Iterator<Item = &str> {
        let routed = self.routed.iter().map(String::as_str);
        routed.filter(|service| !self.assignments.contains_key(*service))
    }

    /// Returns the pool for a request to a service, and its use by this request; the last pool, which has no backends,
    /// if the service has none.
    pub fn pool_for_request(&self, service: &str) -> (usize, Option<PoolUse>) {
        match self.assignments.get(service) {
            Some(assignment) => (assignment.pool, Some(PoolUse::new(assignment.users.clone()))),
            None => (UNROUTABLE_POOL, None),
        }
    }

    /// Returns the pool of a service's backends as a bit mask, with one bit set; 0 if the service has no pool.
    pub fn pools_of_backend(&self, service: &str) -> u32 {
        self.assignments.get(service).map_or(0, |assignment| 1 << assignment.pool)
    }

    fn has_free_pool(&self) -> bool {
        self.assigned_count < UNROUTABLE_POOL || self.assignments.values().any(Assignment::is_reusable)
    }

    /// Assigns a pool that no service has had yet, or one whose service has neither routes nor requests.
    fn assign(&mut self, new_service: String) -> Option<PoolChange> {
        let (pool, old_service) = if self.assigned_count < UNROUTABLE_POOL {
            self.assigned_count += 1;
            (self.assigned_count - 1, None)
        } else {
            let reusable = self.assignments.iter().find(|(_, assignment)| assignment.is_reusable());
            let old_service = reusable?.0.clone();
            let assignment = self.assignments.remove(&old_service)?;
            (assignment.pool, Some(old_service))
        };
        let assignment = Assignment { pool, is_routed: true, users: Rc::default() };
        self.assignments.insert(new_service.clone(), assignment);
        Some(PoolChange { pool, old_service, new_service })
    }
}
