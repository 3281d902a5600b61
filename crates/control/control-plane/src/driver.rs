//! What drives the one value that decides here, [`Prompter`]: hands it what comes with the time of day, and carries out what it
//! wants done, with the disk, links to others, gateways that follow, callers.

#[cfg(test)]
mod tests;

use crate::disk::{Completion, StorageError, StorageHandle};
use configuration::ConfigurationError;
use control_node::{ControlNode, Effect, Reply, Time};
use control_state::DeclaredVersions;
use messages::message::{ControlMessage, GatewayUpdate};
use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep_until, Instant};

/// Larger configurations are checked on another thread: 700 KB take 80 ms of a core, 8 MB 0.4 s, and this one has rounds to answer.
const MAX_INLINE_VALIDATION_BYTES: usize = 64 << 10;

/// Whether a configuration is sound, and what it builds on.
pub type Validate = Arc<dyn Fn(&[u8]) -> Result<DeclaredVersions, ConfigurationError> + Send + Sync>;

/// Where what is handed to a gateway goes, and that there may be a part for it.
pub struct GatewayLink {
    pub link: u64,
    pub grants: mpsc::Sender<GatewayUpdate>,
    pub chunk_window: Rc<Notify>,
}

pub struct Driver {
    weak_self: Weak<Driver>,
    started: Instant,
    node: RefCell<ControlNode>,
    storage: StorageHandle,
    validate: Validate,
    /// What the disk is at.
    pending_write: RefCell<Option<(u64, Completion)>>,
    /// Links to the other prompters, by name.
    pub links: RefCell<BTreeMap<String, mpsc::Sender<ControlMessage>>>,
    /// Gateways that follow.
    pub gateway_links: RefCell<HashMap<String, GatewayLink>>,
    /// Calls that wait, by number.
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    last_call: Cell<u64>,
    changes: watch::Sender<()>,
    /// The prompter wants to work sooner than is waited for.
    wake: Notify,
    sleeping_until: Cell<Time>,
}

/// This machine's time of day, in Unix milliseconds. Alone it decides nothing.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Driver {
    /// `begins`: the prompter as of time 0.
    pub fn new(begins: ControlNode, disk: StorageHandle, check: Validate) -> Rc<Self> {
        Rc::new_cyclic(|me| Driver {
            weak_self: me.clone(),
            started: Instant::now(),
            node: RefCell::new(begins),
            storage: disk,
            validate: check,
            pending_write: RefCell::default(),
            links: RefCell::default(),
            gateway_links: RefCell::default(),
            calls: RefCell::default(),
            last_call: Cell::new(0),
            changes: watch::Sender::new(()),
            wake: Notify::new(),
            sleeping_until: Cell::new(0),
        })
    }

    /// Nanoseconds since the process began, on the steady clock.
    pub fn now(&self) -> Time {
        self.started.elapsed().as_nanos() as Time
    }

    fn instant(&self, time: Time) -> Instant {
        let far = Duration::from_secs(3600);
        self.started + Duration::from_nanos(time).min(self.started.elapsed() + far)
    }

    /// Tells of each change from now on.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// What it knows.
    pub fn node(&self) -> Ref<'_, ControlNode> {
        self.node.borrow()
    }

    /// Something has come for it.
    pub fn with<T>(&self, act: impl FnOnce(&mut ControlNode, Time) -> T) -> T {
        let now = self.now();
        let told = act(&mut self.node.borrow_mut(), now);
        self.perform_effects();
        told
    }

    /// A call, which is always answered in time; none: nobody says anything any more.
    pub async fn call(&self, act: impl FnOnce(&mut ControlNode, Time, u64)) -> Option<Reply> {
        self.last_call.set(self.last_call.get() + 1);
        let (call, (sender, reply)) = (self.last_call.get(), oneshot::channel());
        self.calls.borrow_mut().insert(call, sender);
        self.with(|p, now| act(p, now, call));
        reply.await.ok()
    }

    /// Runs the agreement. It ends only with the process.
    pub async fn run(self: Rc<Self>) {
        let mut writing = None;
        loop {
            self.sleeping_until.set(0);
            self.with(|p, now| p.advance(now, unix_millis()));
            if let Some(begun) = self.pending_write.borrow_mut().take() {
                writing = Some(begun);
            }
            let due = self.node.borrow().next_due();
            self.sleeping_until.set(due);
            tokio::select! {
                biased;
                (number, saved) = storage_completion(&mut writing) => {
                    writing = None;
                    if let Err(fault) = &saved {
                        log::warn!("disk: {fault}");
                    }
                    self.with(|p, now| p.on_persisted(now, number, saved.is_ok()));
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
            effects.into_iter().for_each(|e| self.perform(e));
        }
        let prompter = self.node.borrow();
        if prompter.has_ready_input() || prompter.next_due() < self.sleeping_until.get() {
            self.wake.notify_one();
        }
    }

    fn perform(&self, effect: Effect) {
        match effect {
            // Whatever is told or handed may be lost.
            Effect::SendToNode { to, message: peer } => {
                if let Some(link) = self.links.borrow().get(&to) {
                    let _ = link.try_send(peer);
                }
            }
            Effect::Broadcast { message: peer } => {
                for link in self.links.borrow().values() {
                    let _ = link.try_send(peer.clone());
                }
            }
            Effect::SendToGateway { gateway, update: down } => {
                if let Some(outlet) = self.gateway_links.borrow().get(&gateway) {
                    let _ = outlet.grants.try_send(down);
                }
            }
            Effect::ChunkWindowOpened { gateway } => {
                if let Some(outlet) = self.gateway_links.borrow().get(&gateway) {
                    outlet.chunk_window.notify_one();
                }
            }
            Effect::NotifySubscribers => {
                self.changes.send_replace(());
            }
            Effect::Persist { request: number, work } => {
                let begun = self.pending_write.borrow_mut().replace((number, self.storage.request(work)));
                debug_assert!(begun.is_none(), "one write at a time");
            }
            Effect::Validate { change: job, body } if body.len() > MAX_INLINE_VALIDATION_BYTES => {
                let (check, driver) = (self.validate.clone(), self.weak_self.clone());
                spawn_local(async move {
                    let read = spawn_blocking(move || check(&body)).await;
                    if let Some(driver) = driver.upgrade() {
                        driver.with(|p, now| p.on_validated(now, job, read.ok()));
                    }
                });
            }
            Effect::Validate { change: job, body } => {
                let read = (self.validate)(&body);
                let now = self.now();
                self.node.borrow_mut().on_validated(now, job, Some(read));
            }
            Effect::Reply { call, reply } => {
                if let Some(caller) = self.calls.borrow_mut().remove(&call) {
                    // It may have given up waiting.
                    let _ = caller.send(reply);
                }
            }
        }
    }
}

/// What the disk says, when it is at something.
async fn storage_completion(writing: &mut Option<(u64, Completion)>) -> (u64, Result<(), StorageError>) {
    match writing {
        Some((number, done)) => (*number, done.await.unwrap_or(Err(StorageError::ThreadEnded))),
        None => std::future::pending().await,
    }
}
