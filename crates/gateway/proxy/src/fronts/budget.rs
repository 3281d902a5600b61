//! Memory for what clients send, over all of them together.

use std::cell::Cell;
use std::rc::Rc;

/// No body has more than this.
const MAX_RESERVATION: usize = 2 << 20;

pub struct Budget {
    max: usize,
    used: Cell<usize>,
}

impl Budget {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { max: most, used: Cell::new(0) })
    }

    /// Nothing yet, for one client.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }
}

/// What one body has of it. Given back when dropped.
pub struct Reservation {
    budget: Rc<Budget>,
    size: usize,
}

impl Reservation {
    /// Takes so much more, if it is there.
    pub fn grow(&mut self, by: usize) -> bool {
        let used = self.budget.used.get() + by;
        let there = used <= self.budget.max;
        if there {
            self.budget.used.set(used);
            self.size += by;
        }
        there
    }

    /// The most that one body may have: others want some too.
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
