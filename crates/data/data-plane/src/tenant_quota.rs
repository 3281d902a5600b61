//! Tenant quota at this gateway: sends the quota client's requests to the control node, and holds client requests
//! that wait for a unit.

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

/// Interval of the log line with admission counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How an admitted request proceeds.
pub enum Admission {
    /// The request proceeds immediately.
    Immediate,
    /// The tenant is throttled: the request proceeds by [`TenantQuota::enqueue`].
    Queued {
        /// Maximum time that the request may wait.
        max_wait: Duration,
    },
}

/// The tenants' quota at this gateway.
pub struct TenantQuota {
    started: Instant,
    client: RefCell<QuotaClient>,
    /// Notified when a grant arrives that may release waiting requests.
    grants: watch::Sender<()>,
    /// Notified when the quota client has an urgent request.
    urgent: Notify,
    uplink: RefCell<Option<mpsc::Sender<GatewayMessage>>>,
    /// The driver, which holds queued requests.
    driver: RefCell<Option<Rc<Driver>>>,
}

impl TenantQuota {
    /// Creates a quota without tenants.
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

    /// Returns the nanoseconds since the process started.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_nanos() as u64
    }

    /// Replaces the tenants' limits.
    pub fn set_limits(&self, limits: &BTreeMap<String, Limit>) {
        self.client.borrow_mut().set_limits(self.now(), limits);
    }

    /// Sets the number of replicated gateways if this one is among them, else 0.
    pub fn set_gateway_count(&self, gateway_count: u32) {
        self.client.borrow_mut().set_gateway_count(gateway_count);
    }

    /// Applies a grant of the coordinator.
    pub fn on_grant(&self, grant: &LeaseGrant) {
        if self.client.borrow_mut().on_grant(self.now(), grant) {
            self.grants.send_replace(());
            self.release_due();
            // The next due time has changed.
            self.urgent.notify_one();
        }
    }

    /// Sets the driver, which holds queued requests.
    pub fn set_driver(&self, driver: Rc<Driver>) {
        *self.driver.borrow_mut() = Some(driver);
    }

    /// Sets the channel for requests to the coordinator; `None` while there is no connection.
    pub fn set_uplink(&self, uplink: Option<mpsc::Sender<GatewayMessage>>) {
        *self.uplink.borrow_mut() = uplink;
    }

    /// Takes a unit for a request of the tenant, and waits for a grant if necessary.
    ///
    /// # Errors
    /// No unit is available. The error is the time after which to retry.
    pub async fn acquire(&self, tenant: &Name) -> Result<Admission, Duration> {
        let draw = fastrand::f64();
        let mut grants = self.grants.subscribe();
        let mut waiting_since = None;
        loop {
            let now = self.now();
            let decision = self.client.borrow_mut().acquire(now, tenant, draw, waiting_since);
            match decision {
                Decision::Granted => return Ok(Admission::Immediate),
                Decision::Throttled { max_wait } => {
                    return Ok(Admission::Queued { max_wait: Duration::from_nanos(max_wait) });
                }
                Decision::Refused { retry_after } => return Err(Duration::from_nanos(retry_after)),
                Decision::Wait { until } => {
                    waiting_since.get_or_insert(now);
                    self.urgent.notify_one();
                    let pending_wait = PendingWait { quota: self, tenant, is_armed: true };
                    let until = self.started + Duration::from_nanos(until);
                    let _ = timeout_at(until, grants.changed()).await;
                    pending_wait.disarm();
                }
            }
        }
    }

    /// Queues a request for at most `max_wait`. With `urgent_within` the request is urgent and should be released
    /// within that time. The caller hands it to the driver next, which receives the outcome.
    ///
    /// # Errors
    /// Too many requests wait. The error is the time after which to retry.
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

    /// Reports to the driver which requests are released, and which are refused because they would wait in vain.
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

    /// Sends requests to the coordinator when due, and releases queued requests.
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

    /// Logs the counts of recent admission decisions, if there were any.
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

/// Guard of a request that waits for a unit: cancels the wait in the quota client if dropped while armed.
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
