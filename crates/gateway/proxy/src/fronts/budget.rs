//! Memory budget for request bodies of all clients.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum reservation of one body.
const MAX_RESERVATION_BYTES: usize = 2 << 20;

/// Budget of bytes for request bodies.
pub struct Budget {
    max: usize,
    used: Cell<usize>,
}

impl Budget {
    /// Returns a budget of `max` bytes.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Budget { max, used: Cell::new(0) })
    }

    /// Returns an empty reservation for one client.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }
}

/// Bytes reserved for one body, released when dropped.
pub struct Reservation {
    budget: Rc<Budget>,
    size: usize,
}

impl Reservation {
    /// Reserves `additional` bytes more if they are available. Returns whether they were.
    pub fn grow(&mut self, additional: usize) -> bool {
        let used = self.budget.used.get() + additional;
        let is_available = used <= self.budget.max;
        if is_available {
            self.budget.used.set(used);
            self.size += additional;
        }
        is_available
    }

    /// Returns the maximum reservation of one body, which leaves a part of the budget for others.
    pub fn max(&self) -> usize {
        MAX_RESERVATION_BYTES.min(self.budget.max / 8)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.size > 0 {
            self.budget.used.set(self.budget.used.get() - self.size);
        }
    }
}
