//! Services as pools of the decision module: which backends a request may go to. A service beyond the last pool has none: its
//! requests are refused at once, and its backends take no other service's. No I/O.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

/// Pools of the module. The last one stays empty.
pub const POOL_COUNT: usize = 32;
const UNROUTABLE_POOL: usize = POOL_COUNT - 1;

/// Services and their pools, in the order in which they were first heard of.
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

    /// Where a request for this service goes.
    pub fn pool_for_requests(&mut self, service: &str) -> usize {
        self.assign(service).unwrap_or(UNROUTABLE_POOL)
    }

    /// The pools that a backend of this service is in, a bit each.
    pub fn pools_of_backend(&mut self, service: &str) -> u32 {
        self.assign(service).map_or(0, |pool| 1 << pool)
    }
}
