//! What drives the one value that decides here, [`Prompter`]: hands it what comes with the time of day, and carries out what it
//! wants done, with the disk, links to others, gateways that follow, callers.

#[cfg(test)]
mod tests;

use crate::disk::{Disk, Done, Fault};
use control_node::{Effect, Prompter, Reply, Time};
use control_state::Versions;
use messages::message::{Down, Peer};
use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep_until, Instant};

/// Larger configurations are checked on another thread: 700 KB take 80 ms of a core, 8 MB 0.4 s, and this one has rounds to answer.
const CHECKED_HERE: usize = 64 << 10;

/// Whether a configuration is sound, and what it builds on.
pub type Check = Arc<dyn Fn(&[u8]) -> Result<Versions, String> + Send + Sync>;

/// Where what is handed to a gateway goes, and that there may be a part for it.
pub struct Outlet {
    pub link: u64,
    pub handed: mpsc::Sender<Down>,
    pub room: Rc<Notify>,
}

pub struct Driver {
    me: Weak<Driver>,
    begun: Instant,
    prompter: RefCell<Prompter>,
    disk: Disk,
    check: Check,
    /// What the disk is at.
    writing: RefCell<Option<(u64, Done)>>,
    /// Links to the other prompters, by name.
    pub links: RefCell<BTreeMap<String, mpsc::Sender<Peer>>>,
    /// Gateways that follow.
    pub outlets: RefCell<HashMap<String, Outlet>>,
    /// Calls that wait, by number.
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    call: Cell<u64>,
    news: watch::Sender<()>,
    /// The prompter wants to work sooner than is waited for.
    sooner: Notify,
    waits_until: Cell<Time>,
}

/// This machine's time of day, in Unix milliseconds. Alone it decides nothing.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Driver {
    /// `begins`: the prompter as of time 0.
    pub fn new(begins: Prompter, disk: Disk, check: Check) -> Rc<Self> {
        Rc::new_cyclic(|me| Driver {
            me: me.clone(),
            begun: Instant::now(),
            prompter: RefCell::new(begins),
            disk,
            check,
            writing: RefCell::default(),
            links: RefCell::default(),
            outlets: RefCell::default(),
            calls: RefCell::default(),
            call: Cell::new(0),
            news: watch::Sender::new(()),
            sooner: Notify::new(),
            waits_until: Cell::new(0),
        })
    }

    /// Nanoseconds since the process began, on the steady clock.
    pub fn now(&self) -> Time {
        self.begun.elapsed().as_nanos() as Time
    }

    fn instant(&self, time: Time) -> Instant {
        let far = Duration::from_secs(3600);
        self.begun + Duration::from_nanos(time).min(self.begun.elapsed() + far)
    }

    /// Tells of each change from now on.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// What it knows.
    pub fn prompter(&self) -> Ref<'_, Prompter> {
        self.prompter.borrow()
    }

    /// Something has come for it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Prompter, Time) -> T) -> T {
        let now = self.now();
        let told = act(&mut self.prompter.borrow_mut(), now);
        self.carry_out();
        told
    }

    /// A call, which is always answered in time; none: nobody says anything any more.
    pub async fn call(&self, act: impl FnOnce(&mut Prompter, Time, u64)) -> Option<Reply> {
        self.call.set(self.call.get() + 1);
        let (call, (sender, reply)) = (self.call.get(), oneshot::channel());
        self.calls.borrow_mut().insert(call, sender);
        self.with(|p, now| act(p, now, call));
        reply.await.ok()
    }

    /// Runs the agreement. It ends only with the process.
    pub async fn run(self: Rc<Self>) {
        let mut writing = None;
        loop {
            self.waits_until.set(0);
            self.with(|p, now| p.work(now, wall()));
            if let Some(begun) = self.writing.borrow_mut().take() {
                writing = Some(begun);
            }
            let due = self.prompter.borrow().next_due();
            self.waits_until.set(due);
            tokio::select! {
                biased;
                (number, saved) = written(&mut writing) => {
                    writing = None;
                    if let Err(fault) = &saved {
                        log::warn!("disk: {fault}");
                    }
                    self.with(|p, now| p.written(now, number, saved.is_ok()));
                }
                () = sleep_until(self.instant(due)) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    fn carry_out(&self) {
        loop {
            let effects = self.prompter.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|e| self.perform(e));
        }
        let prompter = self.prompter.borrow();
        if prompter.wants_work() || prompter.next_due() < self.waits_until.get() {
            self.sooner.notify_one();
        }
    }

    fn perform(&self, effect: Effect) {
        match effect {
            // Whatever is told or handed may be lost.
            Effect::Tell { to, peer } => {
                if let Some(link) = self.links.borrow().get(&to) {
                    let _ = link.try_send(peer);
                }
            }
            Effect::TellAll { peer } => {
                for link in self.links.borrow().values() {
                    let _ = link.try_send(peer.clone());
                }
            }
            Effect::Hand { gateway, down } => {
                if let Some(outlet) = self.outlets.borrow().get(&gateway) {
                    let _ = outlet.handed.try_send(down);
                }
            }
            Effect::Room { gateway } => {
                if let Some(outlet) = self.outlets.borrow().get(&gateway) {
                    outlet.room.notify_one();
                }
            }
            Effect::News => {
                self.news.send_replace(());
            }
            Effect::Write { number, work } => {
                let begun = self.writing.borrow_mut().replace((number, self.disk.work(work)));
                debug_assert!(begun.is_none(), "one write at a time");
            }
            Effect::Check { job, body } if body.len() > CHECKED_HERE => {
                let (check, driver) = (self.check.clone(), self.me.clone());
                spawn_local(async move {
                    let read = spawn_blocking(move || check(&body)).await;
                    if let Some(driver) = driver.upgrade() {
                        driver.with(|p, now| p.checked(now, job, read.ok()));
                    }
                });
            }
            Effect::Check { job, body } => {
                let read = (self.check)(&body);
                let now = self.now();
                self.prompter.borrow_mut().checked(now, job, Some(read));
            }
            Effect::Answer { call, reply } => {
                if let Some(caller) = self.calls.borrow_mut().remove(&call) {
                    // It may have given up waiting.
                    let _ = caller.send(reply);
                }
            }
        }
    }
}

/// What the disk says, when it is at something.
async fn written(writing: &mut Option<(u64, Done)>) -> (u64, Result<(), Fault>) {
    match writing {
        Some((number, done)) => (*number, done.await.unwrap_or(Err(Fault::Gone))),
        None => std::future::pending().await,
    }
}
