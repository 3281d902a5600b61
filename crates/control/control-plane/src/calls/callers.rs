//! Limit on the connections of callers, with eviction of idle ones. Backends keep their connections open between heartbeats;
//! without eviction, these would lock out operators, and backends whose control node has failed, until they close.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Limit on concurrent callers.
pub(super) const MAX_CALLERS: usize = 256;
/// Limit on evicted connections that are not closed yet.
const MAX_CLOSING: usize = 64;
/// Minimum interval between log lines on refused callers.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// An open connection.
#[derive(Debug)]
struct OpenCaller {
    /// `None` while a request is in progress.
    idle_since: Option<Instant>,
    eviction: Rc<Notify>,
}

/// The connections of all callers.
#[derive(Debug, Default)]
pub(super) struct Callers {
    open: RefCell<BTreeMap<u64, OpenCaller>>,
    closing: Cell<usize>,
    last_id: Cell<u64>,
    /// Number of refused callers since the last log line.
    refused: Cell<u32>,
    refusals_logged_at: Cell<Option<Instant>>,
}

impl Callers {
    /// Admits a new connection. At the limit, evicts the connection that has been idle longest; returns `None` if none can be
    /// evicted.
    pub fn admit(self: &Rc<Self>, now: Instant) -> Option<Caller> {
        if self.open.borrow().len() >= MAX_CALLERS && !self.evict_idle() {
            self.record_refusal(now);
            return None;
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let eviction = Rc::new(Notify::new());
        let open = OpenCaller { idle_since: Some(now), eviction: eviction.clone() };
        self.open.borrow_mut().insert(id, open);
        Some(Caller { callers: self.clone(), id, eviction })
    }

    /// Evicts the connection that has been idle longest; returns whether one was evicted.
    fn evict_idle(&self) -> bool {
        if self.closing.get() >= MAX_CLOSING {
            return false;
        }
        let mut open = self.open.borrow_mut();
        let idle = open.iter().filter_map(|(id, caller)| Some((caller.idle_since?, *id)));
        let Some((_, longest_idle)) = idle.min() else { return false };
        if let Some(evicted) = open.remove(&longest_idle) {
            evicted.eviction.notify_one();
            self.closing.set(self.closing.get() + 1);
        }
        true
    }

    fn record_refusal(&self, now: Instant) {
        self.refused.set(self.refused.get() + 1);
        let logged_at = self.refusals_logged_at.get();
        if logged_at.is_none_or(|last_logged| now.duration_since(last_logged) >= REFUSAL_LOG_INTERVAL) {
            log::info!("calls: {} callers turned away, {MAX_CALLERS} are connected", self.refused.take());
            self.refusals_logged_at.set(Some(now));
        }
    }

    fn set_idle_since(&self, id: u64, idle_since: Option<Instant>) {
        if let Some(caller) = self.open.borrow_mut().get_mut(&id) {
            caller.idle_since = idle_since;
        }
    }

    fn remove(&self, id: u64) {
        if self.open.borrow_mut().remove(&id).is_none() {
            self.closing.set(self.closing.get() - 1);
        }
    }
}

/// One caller's connection, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Caller {
    callers: Rc<Callers>,
    id: u64,
    eviction: Rc<Notify>,
}

impl Caller {
    /// Marks the connection as busy, which exempts it from eviction.
    pub fn begin_request(&self) {
        self.callers.set_idle_since(self.id, None);
    }

    /// Marks the connection as idle since `now`.
    pub fn end_request(&self, now: Instant) {
        self.callers.set_idle_since(self.id, Some(now));
    }

    /// Completes when the connection is evicted for another one.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.remove(self.id);
    }
}
