//! The desk's sockets: asks go up the link to the prompter, requests wait here for a unit.

use interface::{Allowance, Name, RequestId};
use messages::message::GatewayMessage;
use proxy::driver::Driver;
use quota::{Decision, LeaseGrant, LeaseRequest, Limit, QueueOutcome, QueuedRequest, QuotaClient};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep_until, timeout_at, Instant};

/// How a request that may pass goes on.
pub enum Admission {
    Immediate,
    /// By [`Rights::enter`]: its tenant is slowed.
    Queued {
        max_wait: Duration,
    },
}

pub struct TenantQuota {
    started: Instant,
    client: RefCell<QuotaClient>,
    grants: watch::Sender<()>,
    urgent: Notify,
    uplink: RefCell<Option<mpsc::Sender<GatewayMessage>>>,
    /// Where requests wait for their turn.
    driver: RefCell<Option<Rc<Driver>>>,
}

impl TenantQuota {
    pub fn new() -> Rc<Self> {
        Rc::new(TenantQuota {
            started: Instant::now(),
            client: RefCell::new(QuotaClient::new(0)),
            grants: watch::Sender::new(()),
            urgent: Notify::new(),
            uplink: RefCell::default(),
            driver: RefCell::default(),
        })
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_nanos() as u64
    }

    pub fn set_limits(&self, limits: &BTreeMap<String, Limit>) {
        self.client.borrow_mut().set_limits(self.now(), limits);
    }

    pub fn set_gateway_count(&self, gateways: u32) {
        self.client.borrow_mut().set_gateway_count(gateways);
    }

    pub fn on_grant(&self, lent: &LeaseGrant) {
        if self.client.borrow_mut().on_grant(self.now(), lent) {
            self.grants.send_replace(());
            self.release_due();
            // What is due has changed.
            self.urgent.notify_one();
        }
    }

    pub fn set_driver(&self, driver: Rc<Driver>) {
        *self.driver.borrow_mut() = Some(driver);
    }

    /// Where asks go from now on.
    pub fn set_uplink(&self, uplink: Option<mpsc::Sender<GatewayMessage>>) {
        *self.uplink.borrow_mut() = uplink;
    }

    /// Takes a unit for one of the tenant's requests, and waits for it if it must.
    ///
    /// # Errors
    /// None is to be had: when to come back.
    pub async fn acquire(&self, tenant: &Name) -> Result<Admission, Duration> {
        let draw = fastrand::f64();
        let mut news = self.grants.subscribe();
        let mut since = None;
        loop {
            let now = self.now();
            let verdict = self.client.borrow_mut().acquire(now, tenant, draw, since);
            match verdict {
                Decision::Granted => return Ok(Admission::Immediate),
                Decision::Throttled { max_wait: wait } => {
                    return Ok(Admission::Queued { max_wait: Duration::from_nanos(wait) })
                }
                Decision::Refused { retry_after: advice } => return Err(Duration::from_nanos(advice)),
                Decision::Wait { until } => {
                    since.get_or_insert(now);
                    self.urgent.notify_one();
                    let waiting = PendingWait { rights: self, tenant, armed: true };
                    let until = self.started + Duration::from_nanos(until);
                    let _ = timeout_at(until, news.changed()).await;
                    waiting.disarm();
                }
            }
        }
    }

    /// A request waits for its turn from now on, for so long at the most, and if it is pressed for time for so long. It is
    /// handed to the driver next, and hears there.
    ///
    /// # Errors
    /// Too many wait: when to come back.
    pub fn enqueue(
        &self,
        tenant: &Name,
        id: RequestId,
        wait: Duration,
        pressing: Option<Duration>,
    ) -> Result<(), Duration> {
        let since = self.now();
        let after = |d: Duration| since + d.as_nanos() as u64;
        let waiter =
            QueuedRequest { id, enqueued_at: since, deadline: after(wait), urgent_by: pressing.map(after) };
        self.client.borrow_mut().enqueue(tenant, waiter).map_err(Duration::from_nanos)?;
        self.urgent.notify_one();
        Ok(())
    }

    /// Whose turn it is goes; who would wait in vain is told so.
    fn release_due(&self) {
        let Some(driver) = self.driver.borrow().clone() else { return };
        let now = self.now();
        loop {
            let Some((tenant, id, word)) = self.client.borrow_mut().next_outcome(now) else { return };
            let allowance = match word {
                QueueOutcome::Proceed => Allowance::Granted,
                QueueOutcome::Refused { retry_after: advice } => Allowance::Refused { advice },
            };
            if !driver.allowed(id, allowance) && word == QueueOutcome::Proceed {
                self.client.borrow_mut().return_turn(now, &tenant);
            }
        }
    }

    /// Asks whenever it is time, and lets go whose turn it is.
    pub async fn run(self: Rc<Self>) {
        loop {
            let due = {
                let desk = self.client.borrow();
                desk.next_outcome_at(self.now()).map_or(desk.next_due(), |at| at.min(desk.next_due()))
            };
            let due = self.started + Duration::from_nanos(due);
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.urgent.notified() => {}
            }
            self.release_due();
            let ask: Option<LeaseRequest> = self.client.borrow_mut().next_request(self.now());
            if let Some(ask) = ask {
                if let Some(uplink) = &*self.uplink.borrow() {
                    let _ = uplink.try_send(GatewayMessage::LeaseRequest(ask));
                }
            }
        }
    }
}

/// A request that waits for a unit; the desk hears if it is dropped.
struct PendingWait<'a> {
    rights: &'a TenantQuota,
    tenant: &'a Name,
    armed: bool,
}

impl PendingWait<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for PendingWait<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.rights.client.borrow_mut().cancel_wait(self.tenant);
        }
    }
}
