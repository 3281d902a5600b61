//! The quota client's connection: requests go up the link to the control node, clients' requests wait here for a unit.

use interface::{Allowance, Name, RequestId};
use messages::GatewayMessage;
use proxy::driver::Driver;
use quota::{Decision, LeaseGrant, Limit, QueueOutcome, QueuedRequest, QuotaClient};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// What became of requests is logged this often.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How a request that is admitted goes on.
pub enum Admission {
    /// At once.
    Immediate,
    /// By [`TenantQuota::enqueue`]: its tenant is throttled.
    Queued {
        /// How long it may wait.
        max_wait: Duration,
    },
}

/// Tenants' quota at this gateway.
pub struct TenantQuota {
    started: Instant,
    client: RefCell<QuotaClient>,
    /// A grant has arrived by which a request that waits may go on.
    grants: watch::Sender<()>,
    /// The client has something to ask for at once.
    urgent: Notify,
    uplink: RefCell<Option<mpsc::Sender<GatewayMessage>>>,
    /// Where requests wait for their turn.
    driver: RefCell<Option<Rc<Driver>>>,
}

impl TenantQuota {
    /// Without tenants.
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

    /// Nanoseconds since the process started.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_nanos() as u64
    }

    /// Takes new limits.
    pub fn set_limits(&self, limits: &BTreeMap<String, Limit>) {
        self.client.borrow_mut().set_limits(self.now(), limits);
    }

    /// How many gateways are replicated, if this one is among them; else 0.
    pub fn set_gateway_count(&self, gateway_count: u32) {
        self.client.borrow_mut().set_gateway_count(gateway_count);
    }

    /// Takes the coordinator's answer.
    pub fn on_grant(&self, grant: &LeaseGrant) {
        if self.client.borrow_mut().on_grant(self.now(), grant) {
            self.grants.send_replace(());
            self.release_due();
            // What is due has changed.
            self.urgent.notify_one();
        }
    }

    /// Where requests wait for their turn.
    pub fn set_driver(&self, driver: Rc<Driver>) {
        *self.driver.borrow_mut() = Some(driver);
    }

    /// Where requests to the coordinator go from now on.
    pub fn set_uplink(&self, uplink: Option<mpsc::Sender<GatewayMessage>>) {
        *self.uplink.borrow_mut() = uplink;
    }

    /// Takes a unit for one of the tenant's requests, and waits for it if it must.
    ///
    /// # Errors
    /// None is to be had: when to come back.
    pub async fn acquire(&self, tenant: &Name) -> Result<Admission, Duration> {
        let draw = fastrand::f64();
        let mut grants = self.grants.subscribe();
        let mut since = None;
        loop {
            let now = self.now();
            let decision = self.client.borrow_mut().acquire(now, tenant, draw, since);
            match decision {
                Decision::Granted => return Ok(Admission::Immediate),
                Decision::Throttled { max_wait } => {
                    return Ok(Admission::Queued { max_wait: Duration::from_nanos(max_wait) });
                }
                Decision::Refused { retry_after } => return Err(Duration::from_nanos(retry_after)),
                Decision::Wait { until } => {
                    since.get_or_insert(now);
                    self.urgent.notify_one();
                    let waiting = PendingWait { quota: self, tenant, is_armed: true };
                    let until = self.started + Duration::from_nanos(until);
                    let _ = timeout_at(until, grants.changed()).await;
                    waiting.disarm();
                }
            }
        }
    }

    /// A request waits for its turn from now on, for so long at most, and if it is urgent for so long. It is handed to the
    /// driver next, and hears there.
    ///
    /// # Errors
    /// Too many wait: when to come back.
    pub fn enqueue(
        &self,
        tenant: &Name,
        id: RequestId,
        max_wait: Duration,
        urgent_within: Option<Duration>,
    ) -> Result<(), Duration> {
        let enqueued_at = self.now();
        let after = |wait: Duration| enqueued_at + wait.as_nanos() as u64;
        let request =
            QueuedRequest { id, enqueued_at, deadline: after(max_wait), urgent_by: urgent_within.map(after) };
        self.client.borrow_mut().enqueue(tenant, request).map_err(Duration::from_nanos)?;
        self.urgent.notify_one();
        Ok(())
    }

    /// Tells the driver of requests whose turn it is, and of those that would wait in vain.
    fn release_due(&self) {
        let Some(driver) = self.driver.borrow().clone() else { return };
        let now = self.now();
        loop {
            let Some((tenant, id, outcome)) = self.client.borrow_mut().next_outcome(now) else { return };
            let allowance = match outcome {
                QueueOutcome::Proceed => Allowance::Granted,
                QueueOutcome::Refused { retry_after } => Allowance::Refused { advice: retry_after },
            };
            if !driver.set_allowance(id, allowance) && outcome == QueueOutcome::Proceed {
                self.client.borrow_mut().return_turn(now, &tenant);
            }
        }
    }

    /// Sends requests to the coordinator whenever it is time, and releases the requests whose turn it is.
    pub async fn run(self: Rc<Self>) {
        loop {
            let due = self.started + Duration::from_nanos(self.next_due());
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.urgent.notified() => {}
            }
            self.release_due();
            let request = self.client.borrow_mut().next_request(self.now());
            if let (Some(request), Some(uplink)) = (request, &*self.uplink.borrow()) {
                let _ = uplink.try_send(GatewayMessage::LeaseRequest(request));
            }
        }
    }

    /// Logs what became of requests lately, while there are any.
    pub async fn report(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let counts = self.client.borrow_mut().take_counts();
            if counts.decisions() > 0 {
                log::info!("quota: {} ms: {counts}", REPORT_INTERVAL.as_millis());
            }
        }
    }

    fn next_due(&self) -> u64 {
        let client = self.client.borrow();
        let next_request = client.next_due();
        client.next_outcome_at(self.now()).map_or(next_request, |at| at.min(next_request))
    }
}

/// A request that waits for a unit; the client learns if it is dropped.
struct PendingWait<'a> {
    quota: &'a TenantQuota,
    tenant: &'a Name,
    is_armed: bool,
}

impl PendingWait<'_> {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for PendingWait<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.quota.client.borrow_mut().cancel_wait(self.tenant);
        }
    }
}
