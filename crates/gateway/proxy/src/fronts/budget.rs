//! Memory for request bodies, over all clients.

use std::cell::Cell;
use std::rc::Rc;

/// The most that one body may reserve.
const MAX_RESERVATION: usize = 2 << 20;

/// A budget of bytes for request bodies.
pub struct Budget {
    max: usize,
    used: Cell<usize>,
}

impl Budget {
    /// A budget of this many bytes.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { max: most, used: Cell::new(0) })
    }

    /// An empty reservation, for one client.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }
}

/// What one body has reserved; released when dropped.
pub struct Reservation {
    budget: Rc<Budget>,
    size: usize,
}

impl Reservation {
    /// Reserves `by` bytes more, if they are available.
    pub fn grow(&mut self, by: usize) -> bool {
        let used = self.budget.used.get() + by;
        let there = used <= self.budget.max;
        if there {
            self.budget.used.set(used);
            self.size += by;
        }
        there
    }

    /// The most that one body may reserve: others need some too.
    pub fn max(&self) -> usize {
        MAX_RESERVATION.min(self.budget.max / 8)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.size > 0 {
            self.budget.used.set(self.budget.used.get() - self.size);
        }
    }
}
