//! Memory for what clients send, over all of them together.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

pub struct Budget {
    most: usize,
    used: Cell<usize>,
    freed: Notify,
}

impl Budget {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { most, used: Cell::new(0), freed: Notify::new() })
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
    /// Takes so much more, once it is there.
    pub async fn grow(&mut self, by: usize) {
        let b = self.budget.clone();
        while b.used.get() + by > b.most {
            b.freed.notified().await;
        }
        b.used.set(b.used.get() + by);
        self.size += by;
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        if self.size > 0 {
            self.budget.used.set(self.budget.used.get() - self.size);
            self.budget.freed.notify_one();
        }
    }
}
