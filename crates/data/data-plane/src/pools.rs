//! Maps services to pools of the decision module, which determine the backends that a request may be sent to. A
//! service beyond the last pool has none: its requests are refused at once, and its backends receive no requests of
//! other services. No I/O.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

/// Number of pools. The last pool has no backends.
pub const POOL_COUNT: usize = 32;
const UNROUTABLE_POOL: usize = POOL_COUNT - 1;

/// Pools by service, assigned in the order in which services first appear.
#[derive(Clone, Debug, Default)]
pub struct Pools(HashMap<String, usize>);

impl Pools {
    fn assign(&mut self, service: &str) -> Option<usize> {
        if let Some(pool) = self.0.get(service) {
            return Some(*pool);
        }
        let next = self.0.len();
        if service.is_empty() || next >= UNROUTABLE_POOL {
            return None;
        }
        self.0.insert(service.to_string(), next);
        Some(next)
    }

    /// Returns the pool for requests to a service; the last pool, which has no backends, if the service has none.
    pub fn pool_for_requests(&mut self, service: &str) -> usize {
        self.assign(service).unwrap_or(UNROUTABLE_POOL)
    }

    /// Returns the pool of a service's backends as a bit mask, with one bit set; 0 if the service has no pool.
    pub fn pools_of_backend(&mut self, service: &str) -> u32 {
        self.assign(service).map_or(0, |pool| 1 << pool)
    }
}
