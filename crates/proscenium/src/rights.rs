//! The desk's sockets: asks go up the link to the prompter, requests wait here for a unit.

use boxoffice::{Ask, Desk, Lent, Limit, Verdict};
use granite_interface::Name;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep_until, timeout_at, Instant};
use wings::message::Up;

pub struct Rights {
    begun: Instant,
    desk: RefCell<Desk>,
    lent: watch::Sender<()>,
    urgent: Notify,
    uplink: RefCell<Option<mpsc::Sender<Up>>>,
}

impl Rights {
    pub fn new() -> Rc<Self> {
        Rc::new(Rights {
            begun: Instant::now(),
            desk: RefCell::new(Desk::new(0)),
            lent: watch::Sender::new(()),
            urgent: Notify::new(),
            uplink: RefCell::default(),
        })
    }

    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_nanos() as u64
    }

    pub fn limits(&self, limits: &BTreeMap<String, Limit>) {
        self.desk.borrow_mut().limits(self.now(), limits);
    }

    pub fn gateways(&self, gateways: u32) {
        self.desk.borrow_mut().gateways(gateways);
    }

    pub fn lent(&self, lent: &Lent) {
        if self.desk.borrow_mut().lent(self.now(), lent) {
            self.lent.send_replace(());
        }
    }

    /// Where asks go from now on.
    pub fn link(&self, uplink: Option<mpsc::Sender<Up>>) {
        *self.uplink.borrow_mut() = uplink;
    }

    /// Takes a unit for one of the tenant's requests, and waits for it if it must.
    ///
    /// # Errors
    /// None is to be had: when to come back.
    pub async fn spend(&self, tenant: &Name) -> Result<(), Duration> {
        let draw = fastrand::f64();
        let mut news = self.lent.subscribe();
        let mut since = None;
        loop {
            let now = self.now();
            let verdict = self.desk.borrow_mut().spend(now, tenant, draw, since);
            match verdict {
                Verdict::Granted => return Ok(()),
                Verdict::Refused { advice } => return Err(Duration::from_nanos(advice)),
                Verdict::Wait { until } => {
                    since.get_or_insert(now);
                    self.urgent.notify_one();
                    let waiting = Waiting { rights: self, tenant, armed: true };
                    let until = self.begun + Duration::from_nanos(until);
                    let _ = timeout_at(until, news.changed()).await;
                    waiting.over();
                }
            }
        }
    }

    /// Asks whenever it is time.
    pub async fn run(self: Rc<Self>) {
        loop {
            let due = self.begun + Duration::from_nanos(self.desk.borrow().next_due());
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.urgent.notified() => {}
            }
            let ask: Option<Ask> = self.desk.borrow_mut().ask(self.now());
            if let Some(ask) = ask {
                if let Some(uplink) = &*self.uplink.borrow() {
                    let _ = uplink.try_send(Up::Ask(ask));
                }
            }
        }
    }
}

/// A request that waits for a unit; the desk hears if it is dropped.
struct Waiting<'a> {
    rights: &'a Rights,
    tenant: &'a Name,
    armed: bool,
}

impl Waiting<'_> {
    fn over(mut self) {
        self.armed = false;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.rights.desk.borrow_mut().left(self.tenant);
        }
    }
}
