//! The desk's sockets: asks go up the link to the prompter, requests wait here for a unit.

use interface::{Allowance, Name, RequestId};
use messages::message::Up;
use proxy::driver::Driver;
use quota::{Ask, Desk, Lent, Limit, Verdict, Waiter, Word};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep_until, timeout_at, Instant};

/// How a request that may pass goes on.
pub enum Pass {
    Now,
    /// By [`Rights::enter`]: its tenant is slowed.
    InTurn {
        wait: Duration,
    },
}

pub struct Rights {
    begun: Instant,
    desk: RefCell<Desk>,
    lent: watch::Sender<()>,
    urgent: Notify,
    uplink: RefCell<Option<mpsc::Sender<Up>>>,
    /// Where requests wait for their turn.
    driver: RefCell<Option<Rc<Driver>>>,
}

impl Rights {
    pub fn new() -> Rc<Self> {
        Rc::new(Rights {
            begun: Instant::now(),
            desk: RefCell::new(Desk::new(0)),
            lent: watch::Sender::new(()),
            urgent: Notify::new(),
            uplink: RefCell::default(),
            driver: RefCell::default(),
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
            self.let_go();
            // What is due has changed.
            self.urgent.notify_one();
        }
    }

    pub fn drives(&self, driver: Rc<Driver>) {
        *self.driver.borrow_mut() = Some(driver);
    }

    /// Where asks go from now on.
    pub fn link(&self, uplink: Option<mpsc::Sender<Up>>) {
        *self.uplink.borrow_mut() = uplink;
    }

    /// Takes a unit for one of the tenant's requests, and waits for it if it must.
    ///
    /// # Errors
    /// None is to be had: when to come back.
    pub async fn spend(&self, tenant: &Name) -> Result<Pass, Duration> {
        let draw = fastrand::f64();
        let mut news = self.lent.subscribe();
        let mut since = None;
        loop {
            let now = self.now();
            let verdict = self.desk.borrow_mut().spend(now, tenant, draw, since);
            match verdict {
                Verdict::Granted => return Ok(Pass::Now),
                Verdict::Slowed { wait } => return Ok(Pass::InTurn { wait: Duration::from_nanos(wait) }),
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

    /// A request waits for its turn from now on, for so long at the most, and if it is pressed for time for so long. It is
    /// handed to the driver next, and hears there.
    ///
    /// # Errors
    /// Too many wait: when to come back.
    pub fn enter(
        &self,
        tenant: &Name,
        id: RequestId,
        wait: Duration,
        pressing: Option<Duration>,
    ) -> Result<(), Duration> {
        let since = self.now();
        let after = |d: Duration| since + d.as_nanos() as u64;
        let waiter = Waiter { id, since, until: after(wait), by: pressing.map(after) };
        self.desk.borrow_mut().enter(tenant, waiter).map_err(Duration::from_nanos)?;
        self.urgent.notify_one();
        Ok(())
    }

    /// Whose turn it is goes; who would wait in vain is told so.
    fn let_go(&self) {
        let Some(driver) = self.driver.borrow().clone() else { return };
        let now = self.now();
        loop {
            let Some((tenant, id, word)) = self.desk.borrow_mut().poll(now) else { return };
            let allowance = match word {
                Word::Go => Allowance::Granted,
                Word::Refused { advice } => Allowance::Refused { advice },
            };
            if !driver.allowed(id, allowance) && word == Word::Go {
                self.desk.borrow_mut().again(now, &tenant);
            }
        }
    }

    /// Asks whenever it is time, and lets go whose turn it is.
    pub async fn run(self: Rc<Self>) {
        loop {
            let due = {
                let desk = self.desk.borrow();
                desk.next_poll(self.now()).map_or(desk.next_due(), |at| at.min(desk.next_due()))
            };
            let due = self.begun + Duration::from_nanos(due);
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.urgent.notified() => {}
            }
            self.let_go();
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
