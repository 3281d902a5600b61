//! Memory for what clients send, over all of them together.

use std::cell::Cell;
use std::rc::Rc;

/// No body has more than this.
const MOST: usize = 2 << 20;

pub struct Budget {
    most: usize,
    used: Cell<usize>,
}

impl Budget {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { most, used: Cell::new(0) })
    }

    /// Nothing yet, for one client.
    pub fn part(self: &Rc<Self>) -> Part {
        Part { budget: self.clone(), size: 0 }
    }
}

/// What one body has of it. Given back when dropped.
pub struct Part {
    budget: Rc<Budget>,
    size: usize,
}

impl Part {
    /// Takes so much more, if it is there.
    pub fn grow(&mut self, by: usize) -> bool {
        let used = self.budget.used.get() + by;
        let there = used <= self.budget.most;
        if there {
            self.budget.used.set(used);
            self.size += by;
        }
        there
    }

    /// The most that one body may have: others want some too.
    pub fn most(&self) -> usize {
        MOST.min(self.budget.most / 8)
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        if self.size > 0 {
            self.budget.used.set(self.budget.used.get() - self.size);
        }
    }
}
