//! The driver of [`ControlNode`], which makes all decisions without I/O: passes it inputs with the current time, and
//! performs its effects on storage, links to other nodes, subscribed gateways and waiting callers.

mod load;
#[cfg(test)]
mod tests;

use crate::storage::{Completion, StorageError, StorageHandle};
use bytes::Bytes;
use configuration::ConfigurationError;
use control_node::{ControlNode, Effect, Reply, Time};
use control_state::DeclaredVersions;
use load::Load;
use messages::{ControlMessage, GatewayUpdate};
use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep_until, Instant};

/// Size limit for validation on this thread. Larger configurations are validated on a blocking thread, because 700 KB take
/// 80 ms of CPU time and 8 MB take 0.4 s, while this thread has to answer heartbeats.
const MAX_INLINE_VALIDATION_BYTES: usize = 64 << 10;
/// Longest single sleep; a later timer is set again when this has elapsed.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Validates a configuration: returns the versions that it declares, or an error.
pub type Validate = Arc<dyn Fn(&[u8]) -> Result<DeclaredVersions, ConfigurationError> + Send + Sync>;

/// The connection of a subscribed gateway.
pub struct GatewayLink {
    /// Distinguishes successive connections of the same gateway.
    pub link_id: u64,
    /// Queue of lease grants to send, besides changes and configuration chunks.
    pub grants: mpsc::Sender<GatewayUpdate>,
    /// Notified when a configuration chunk may be ready to send.
    pub chunk_window: Rc<Notify>,
}

/// A write that storage has not completed yet.
struct PendingWrite {
    number: u64,
    completion: Completion,
}

/// The driver of this process's control node.
pub struct Driver {
    weak_self: Weak<Driver>,
    started: Instant,
    node: RefCell<ControlNode>,
    storage: StorageHandle,
    validate: Validate,
    /// The next write for [`Driver::run`] to wait for.
    pending_write: RefCell<Option<PendingWrite>>,
    /// Links to the other control nodes, by name.
    pub links: RefCell<BTreeMap<String, mpsc::Sender<ControlMessage>>>,
    /// Subscribed gateways, by name.
    pub gateway_links: RefCell<HashMap<String, GatewayLink>>,
    /// Calls waiting for a reply, by number.
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    last_call: Cell<u64>,
    changes: watch::Sender<()>,
    /// Wakes [`Driver::run`] when the node has to advance before the end of its sleep.
    wake: Notify,
    sleeping_until: Cell<Time>,
    load: Load,
}

/// Returns the wall-clock time of this machine in Unix milliseconds. No decision rests on it alone.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Driver {
    /// Creates the driver. `node` must have been created at time 0.
    pub fn new(node: ControlNode, storage: StorageHandle, validate: Validate) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Driver {
            weak_self: weak_self.clone(),
            started: Instant::now(),
            node: RefCell::new(node),
            storage,
            validate,
            pending_write: RefCell::default(),
            links: RefCell::default(),
            gateway_links: RefCell::default(),
            calls: RefCell::default(),
            last_call: Cell::new(0),
            changes: watch::Sender::new(()),
            wake: Notify::new(),
            sleeping_until: Cell::new(0),
            load: Load::default(),
        })
    }

    /// Returns the nanoseconds since the driver was created, on the monotonic clock.
    pub fn now(&self) -> Time {
        self.started.elapsed().as_nanos() as Time
    }

    fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_nanos(time).min(self.started.elapsed() + MAX_SLEEP)
    }

    /// Returns a receiver that is notified whenever there may be an update for subscribers.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Borrows the node for reading.
    pub fn node(&self) -> Ref<'_, ControlNode> {
        self.node.borrow()
    }

    /// Calls `operation` on the node with the current time, and performs the resulting effects.
    pub fn with<T>(&self, operation: impl FnOnce(&mut ControlNode, Time) -> T) -> T {
        let now = self.now();
        let result = operation(&mut self.node.borrow_mut(), now);
        self.perform_effects();
        self.load.record_work(now, self.now());
        result
    }

    /// Starts a call and waits for the node's reply. The node answers every call within a time limit; returns `None` if the
    /// process is shutting down.
    pub async fn call(&self, operation: impl FnOnce(&mut ControlNode, Time, u64)) -> Option<Reply> {
        self.last_call.set(self.last_call.get() + 1);
        let call = self.last_call.get();
        let (sender, reply) = oneshot::channel();
        self.calls.borrow_mut().insert(call, sender);
        self.with(|node, now| operation(node, now, call));
        reply.await.ok()
    }

    /// Advances the node when its timers are due or storage completes a write. Runs until the process exits.
    pub async fn run(self: Rc<Self>) {
        let mut writing = None;
        loop {
            let due = self.sleeping_until.replace(0);
            self.load.record_advance(self.now(), due);
            self.with(|node, now| node.advance(now, unix_millis()));
            if let Some(write) = self.pending_write.borrow_mut().take() {
                writing = Some(write);
            }
            let due = self.node.borrow().next_due();
            self.sleeping_until.set(due);
            tokio::select! {
                biased;
                (number, result) = storage_completion(&mut writing) => {
                    writing = None;
                    if let Err(error) = &result {
                        log::warn!("storage: {error}");
                    }
                    self.with(|node, now| node.on_persisted(now, number, result.is_ok()));
                }
                () = sleep_until(self.instant(due)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    fn perform_effects(&self) {
        loop {
            let effects = self.node.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.perform(effect));
        }
        let node = self.node.borrow();
        if node.has_ready_input() || node.next_due() < self.sleeping_until.get() {
            self.wake.notify_one();
        }
    }

    fn perform(&self, effect: Effect) {
        match effect {
            // Messages are best effort: they are dropped if the link is missing or its queue is full.
            Effect::SendToNode { to, message } => {
                if let Some(link) = self.links.borrow().get(&to) {
                    let _ = link.try_send(message);
                }
            }
            Effect::Broadcast { message } => {
                for link in self.links.borrow().values() {
                    let _ = link.try_send(message.clone());
                }
            }
            Effect::SendToGateway { gateway, update } => {
                if let Some(link) = self.gateway_links.borrow().get(&gateway) {
                    let _ = link.grants.try_send(update);
                }
            }
            Effect::ChunkWindowOpened { gateway } => {
                if let Some(link) = self.gateway_links.borrow().get(&gateway) {
                    link.chunk_window.notify_one();
                }
            }
            Effect::NotifySubscribers => {
                self.changes.send_replace(());
            }
            Effect::Persist { number, request } => {
                let write = PendingWrite { number, completion: self.storage.request(request) };
                let earlier = self.pending_write.borrow_mut().replace(write);
                debug_assert!(earlier.is_none(), "the node asks for one write at a time");
            }
            Effect::Validate { change, body } => self.validate(change, body),
            Effect::Reply { call, reply } => {
                if let Some(caller) = self.calls.borrow_mut().remove(&call) {
                    // The caller may have gone.
                    let _ = caller.send(reply);
                }
            }
        }
    }

    fn validate(&self, change: u64, body: Bytes) {
        if body.len() <= MAX_INLINE_VALIDATION_BYTES {
            let validated = (self.validate)(&body);
            let now = self.now();
            return self.node.borrow_mut().on_validated(now, change, Some(validated));
        }
        let (validate, driver) = (self.validate.clone(), self.weak_self.clone());
        spawn_local(async move {
            let validated = spawn_blocking(move || validate(&body)).await;
            if let Some(driver) = driver.upgrade() {
                driver.with(|node, now| node.on_validated(now, change, validated.ok()));
            }
        });
    }
}

/// Waits for the pending write and returns its result; never completes if there is none.
async fn storage_completion(pending: &mut Option<PendingWrite>) -> (u64, Result<(), StorageError>) {
    match pending {
        Some(write) => {
            let result = (&mut write.completion).await;
            (write.number, result.unwrap_or(Err(StorageError::ThreadEnded)))
        }
        None => std::future::pending().await,
    }
}
