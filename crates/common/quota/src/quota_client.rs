//! Gateway side of the quota: admits requests by granted units and by the refusal probability, and by the fallback
//! share while the gateway is isolated.

use crate::lease::{LeaseGrant, LeaseRequest, TrialPhase};
use crate::limit::{Limit, TrialPace};
use crate::stats::AdmissionCounts;
use crate::tenant_quota::{retry_after, TenantQuota};
use crate::throttle_queue::{CoordinatorContact, QueueOutcome, QueuedRequest, ThrottleQueue};
use crate::time::{from_micros, Time, MS};
use crate::{
    FALLBACK_LIFETIME, GRANT_LIFETIME, ISOLATION_TIMEOUT, NEW_PROCESS_FALLBACK_LIFETIME, REQUEST_INTERVAL,
};
use std::collections::{BTreeMap, VecDeque};

/// Longest time that a request waits for a unit: slightly more than it takes to detect that the gateway is isolated.
const MAX_UNIT_WAIT: Time = 320 * MS;
/// Interval between attempts of a waiting request while the gateway is isolated.
const ISOLATED_RETRY_INTERVAL: Time = 40 * MS;
/// Interval between requests to the coordinator while client requests wait.
const URGENT_REQUEST_INTERVAL: Time = 40 * MS;
/// Maximum number of requests to the coordinator whose send time is tracked.
const MAX_TRACKED_REQUESTS: usize = 64;
/// Minimum rate of a trial pace, in turns per second.
const MIN_PACE_RATE: f64 = 0.001;

/// Admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is admitted and a unit has been taken for it.
    Granted,
    /// A unit has been requested. Retry when a grant arrives, or at `until` at the latest.
    Wait {
        /// Time of the next attempt, on the gateway's clock.
        until: Time,
    },
    /// The request exceeds the limit.
    Refused {
        /// Delay after which the client should retry.
        retry_after: Time,
    },
    /// The tenant is throttled. Queue the request with [`QuotaClient::enqueue`] if it can wait for up to `max_wait`.
    Throttled {
        /// Longest time that the request may wait for its turn.
        max_wait: Time,
    },
}

/// Coordinator that answers this gateway's requests.
#[derive(Clone, Copy, Debug, Default)]
struct CurrentCoordinator {
    id: u64,
    /// When its first answer arrived.
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    number: u64,
    sent_at: Time,
}

/// Gateway side of the quota.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    tenants: BTreeMap<String, TenantQuota>,
    /// Number of gateways that divide the fallback shares; 0 if this gateway is not one of them.
    gateway_count: u32,
    started_at: Time,
    /// Time without an answer from any coordinator after which the fallback share ends.
    fallback_lifetime: Time,
    /// When the latest answered request was sent.
    last_contact: Option<Time>,
    coordinator: CurrentCoordinator,
    last_request_number: u64,
    /// Number of the latest answered request.
    last_answered_number: u64,
    last_sent_at: Option<Time>,
    in_flight: VecDeque<InFlightRequest>,
    next_request_at: Time,
    send_immediately: bool,
    counts: AdmissionCounts,
}

impl QuotaClient {
    /// Creates a client without tenants.
    pub fn new(now: Time) -> Self {
        QuotaClient {
            tenants: BTreeMap::new(),
            gateway_count: 0,
            started_at: now,
            fallback_lifetime: FALLBACK_LIFETIME,
            last_contact: None,
            coordinator: CurrentCoordinator::default(),
            last_request_number: 0,
            last_answered_number: 0,
            last_sent_at: None,
            in_flight: VecDeque::new(),
            next_request_at: now,
            send_immediately: false,
            counts: AdmissionCounts::default(),
        }
    }

    /// Returns the admission counters and resets them.
    pub fn take_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.counts)
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>) {
        self.tenants.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let tenant = self.tenants.entry(name.clone()).or_insert_with(|| TenantQuota::new(now, *limit));
            tenant.set_limit(*limit);
        }
    }

    /// Sets the number of replicated gateways, or 0 if this gateway is not one of them.
    pub fn set_gateway_count(&mut self, gateway_count: u32) {
        self.gateway_count = gateway_count;
    }

    /// Sets the time without an answer after which the fallback share ends, in place of [`FALLBACK_LIFETIME`].
    pub fn set_fallback_lifetime(&mut self, lifetime: Time) {
        self.fallback_lifetime = lifetime;
    }

    /// Returns the number of gateways that divide the fallback shares, or 0 if this gateway has no share: either it is
    /// not a replicated gateway, or no coordinator has answered it for so long that its share may have been reassigned.
    fn fallback_divisor(&self, now: Time) -> u32 {
        let ends_at = match self.last_contact {
            Some(at) => at.saturating_add(self.fallback_lifetime),
            None => self.started_at + NEW_PROCESS_FALLBACK_LIFETIME,
        };
        if now < ends_at {
            self.gateway_count
        } else {
            0
        }
    }

    /// Whether this process may use its fallback share while it is isolated.
    pub fn has_fallback_share(&self, now: Time) -> bool {
        self.fallback_divisor(now) > 0
    }

    /// Whether a coordinator has answered this process.
    pub fn was_answered(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Whether the gateway is isolated: no request that it sent less than [`ISOLATION_TIMEOUT`] ago has been answered.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.last_contact.is_none_or(|at| now.saturating_sub(at) >= ISOLATION_TIMEOUT)
    }

    /// Returns when the gateway becomes, or became, isolated if no further answer arrives.
    fn isolated_at(&self) -> Time {
        self.last_contact.map_or(0, |at| at + ISOLATION_TIMEOUT)
    }

    fn isolated_since(&self, now: Time) -> Option<Time> {
        self.is_isolated(now).then(|| self.isolated_at())
    }

    /// Takes a unit for a tenant's request. `sample` is a random number from 0 to 1. `waiting_since` is the time of the
    /// first attempt if the request has waited for a unit.
    pub fn acquire(&mut self, now: Time, tenant: &str, sample: f64, waiting_since: Option<Time>) -> Decision {
        let (is_isolated, isolated_at) = (self.is_isolated(now), self.isolated_at());
        let fallback_divisor = self.fallback_divisor(now);
        let Some(quota) = self.tenants.get_mut(tenant) else { return Decision::Granted };
        if waiting_since.is_some() {
            quota.waiting = quota.waiting.saturating_sub(1);
        }
        if let Some(queue) = quota.throttle.as_ref().filter(|queue| queue.is_throttled(now)) {
            return Decision::Throttled { max_wait: queue.pace.max_wait };
        }
        if quota.limit.rate <= 0.0 {
            return Decision::Granted;
        }
        if waiting_since.is_none() {
            if sample < quota.refusal_probability && !is_isolated {
                // Only requests that are not refused by probability count as demand.
                self.counts.refused_by_probability += 1;
                let retry_after = retry_after(&quota.limit, quota.refusal_probability);
                return Decision::Refused { retry_after };
            }
            quota.record_arrival(now);
        }
        if quota.take_granted_unit(now) {
            self.counts.granted += 1;
            return Decision::Granted;
        }
        if is_isolated && quota.take_fallback_unit(now, isolated_at, fallback_divisor) {
            self.counts.fallback += 1;
            return Decision::Granted;
        }
        let deadline = waiting_since.unwrap_or(now) + MAX_UNIT_WAIT;
        if now >= deadline {
            let refusal_count = if is_isolated {
                &mut self.counts.refused_isolated
            } else {
                &mut self.counts.refused_without_unit
            };
            *refusal_count += 1;
            return Decision::Refused { retry_after: retry_after(&quota.limit, 0.0) };
        }
        quota.waiting += 1;
        self.send_immediately = !is_isolated;
        let retry_at = if is_isolated { now + ISOLATED_RETRY_INTERVAL } else { isolated_at.max(now + MS) };
        Decision::Wait { until: retry_at.min(deadline) }
    }

    /// Records that a request waiting for a unit was cancelled.
    pub fn cancel_wait(&mut self, tenant: &str) {
        if let Some(quota) = self.tenants.get_mut(tenant) {
            quota.waiting = quota.waiting.saturating_sub(1);
        }
    }

    /// Queues a request until its turn; [`QuotaClient::next_outcome`] returns its outcome.
    ///
    /// # Errors
    /// Returns the delay after which to retry if the queue is full.
    pub fn enqueue(&mut self, tenant: &str, request: QueuedRequest) -> Result<(), Time> {
        let queue = self.tenants.get_mut(tenant).and_then(|quota| quota.throttle.as_mut());
        let Some(queue) = queue else { return Err(0) };
        if !queue.enqueue(request) {
            return Err(queue.pace.max_wait);
        }
        self.send_immediately = true;
        Ok(())
    }

    /// Returns the tenant, id and outcome of the next queued request whose outcome is known at `now`.
    pub fn next_outcome(&mut self, now: Time) -> Option<(String, u64, QueueOutcome)> {
        let contact = CoordinatorContact {
            isolated_since: self.isolated_since(now),
            gateway_count: self.fallback_divisor(now),
        };
        for (tenant, quota) in &mut self.tenants {
            let Some(queue) = quota.throttle.as_mut().filter(|queue| !queue.is_empty()) else { continue };
            let outcome = if queue.is_throttled(now) {
                queue.next_outcome(now, contact)
            } else {
                release_unthrottled(now, quota)
            };
            if let Some((id, outcome)) = outcome {
                return Some((tenant.clone(), id, outcome));
            }
        }
        None
    }

    /// Returns the turn or unit of a request that was cancelled after [`QueueOutcome::Proceed`], so that another
    /// request can use it.
    pub fn return_turn(&mut self, now: Time, tenant: &str) {
        let Some(quota) = self.tenants.get_mut(tenant) else { return };
        match &mut quota.throttle {
            Some(queue) if queue.is_throttled(now) => queue.return_turn(now),
            _ => quota.returned += 1,
        }
    }

    /// Returns when [`QuotaClient::next_outcome`] should next be called if nothing arrives before.
    pub fn next_outcome_at(&self, now: Time) -> Option<Time> {
        let isolated_at = self.isolated_at();
        self.tenants.values().filter_map(|quota| quota.throttle.as_ref()?.next_due(now, isolated_at)).min()
    }

    /// Returns when [`QuotaClient::next_request`] is next due.
    pub fn next_due(&self) -> Time {
        let wanted_at = if self.send_immediately { 0 } else { self.next_request_at };
        wanted_at.max(self.earliest_request_at())
    }

    /// Returns the earliest time of the next request. While the coordinator is late, it gets no more requests than from
    /// an idle gateway.
    fn earliest_request_at(&self) -> Time {
        let interval = match self.last_request_number - self.last_answered_number {
            0 => 0,
            1 => URGENT_REQUEST_INTERVAL,
            _ => REQUEST_INTERVAL,
        };
        self.last_sent_at.map_or(0, |at| at + interval)
    }

    /// Returns the next request to the coordinator if it is due.
    pub fn next_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if now < self.next_due() {
            return None;
        }
        let number = self.last_request_number + 1;
        let mut request = LeaseRequest { number, ..LeaseRequest::default() };
        let mut has_waiting_requests = false;
        for (tenant, quota) in &mut self.tenants {
            quota.expire_grants(now);
            let is_throttled = quota.throttle.as_ref().is_some_and(|queue| queue.is_throttled(now));
            if let Some(queue) = quota.throttle.as_mut().filter(|_| is_throttled) {
                request.turns.extend(queue.turn_request(now, number, tenant));
                has_waiting_requests |= queue.needs_turns();
            }
            let queued = quota.throttle.as_ref().filter(|_| !is_throttled).map_or(0, ThrottleQueue::len);
            let waiting = quota.waiting + queued;
            has_waiting_requests |= waiting > 0;
            request.units.extend(quota.unit_request(now, tenant, waiting));
        }
        self.counts.lease_requests += 1;
        self.last_request_number = number;
        self.last_sent_at = Some(now);
        self.in_flight.push_back(InFlightRequest { number, sent_at: now });
        if self.in_flight.len() > MAX_TRACKED_REQUESTS {
            self.in_flight.pop_front();
        }
        self.send_immediately = false;
        self.next_request_at =
            now + if has_waiting_requests { URGENT_REQUEST_INTERVAL } else { REQUEST_INTERVAL };
        Some(request)
    }

    /// Applies the coordinator's answer. Returns whether a waiting request may proceed.
    pub fn on_grant(&mut self, now: Time, grant: &LeaseGrant) -> bool {
        // If the request is no longer tracked, the grant in its answer has expired.
        let Some(index) = self.in_flight.iter().position(|sent| sent.number == grant.number) else {
            return false;
        };
        let Some(InFlightRequest { sent_at, .. }) = self.in_flight.remove(index) else { return false };
        self.last_answered_number = self.last_answered_number.max(grant.number);
        let round_trip = now.saturating_sub(sent_at);
        self.counts.lease_grants += 1;
        self.counts.late_grants += u64::from(round_trip >= ISOLATION_TIMEOUT);
        self.counts.slowest_grant = self.counts.slowest_grant.max(round_trip);
        let is_newest = self.last_contact.is_none_or(|at| sent_at >= at);
        if is_newest && grant.coordinator != self.coordinator.id {
            self.coordinator = CurrentCoordinator { id: grant.coordinator, since: now };
        }
        self.last_contact = self.last_contact.max(Some(sent_at));
        let mut may_proceed = self.on_turns(now, sent_at, is_newest, grant);
        let expires_at = sent_at + GRANT_LIFETIME;
        for units in &grant.units {
            if let Some(quota) = self.tenants.get_mut(&units.tenant) {
                may_proceed |= quota.on_units(now, expires_at, units);
            }
        }
        let has_pending_requests = |quota: &TenantQuota| {
            quota.waiting > 0 || quota.throttle.as_ref().is_some_and(ThrottleQueue::needs_turns)
        };
        self.next_request_at = if self.tenants.values().any(has_pending_requests) {
            self.next_request_at.min(now + URGENT_REQUEST_INTERVAL)
        } else {
            self.next_request_at.max(sent_at + REQUEST_INTERVAL)
        };
        may_proceed
    }

    /// Applies the phases and turns of tenants with a trial. Returns whether a queued request may proceed.
    fn on_turns(&mut self, now: Time, sent_at: Time, is_newest: bool, grant: &LeaseGrant) -> bool {
        let mut may_proceed = false;
        for (tenant, quota) in &mut self.tenants {
            let phase = grant.phases.iter().find(|phase| phase.tenant == *tenant);
            if let (None, Some(phase)) = (&quota.throttle, phase) {
                // The configuration that starts the tenant's trial has not arrived yet.
                quota.throttle = Some(ThrottleQueue::new(announced_pace(phase), true));
            }
            let Some(queue) = &mut quota.throttle else { continue };
            if is_newest {
                queue.on_phase(now, sent_at, phase, self.coordinator.since);
                let is_obsolete = queue.trial_removed && queue.is_empty() && !queue.is_throttled(now);
                if phase.is_none() && is_obsolete {
                    quota.throttle = None;
                    continue;
                }
            }
            if let Some(turns) = grant.turns.iter().find(|turns| turns.tenant == *tenant) {
                queue.on_turns(now, grant.number, grant.coordinator, turns);
            }
            may_proceed |= !queue.is_empty();
        }
        may_proceed
    }
}

/// Releases a queued request of a tenant that is no longer throttled. It needs a unit like any other request.
fn release_unthrottled(now: Time, quota: &mut TenantQuota) -> Option<(u64, QueueOutcome)> {
    let queue = quota.throttle.as_mut()?;
    queue.drop_expired(now);
    let may_proceed = !queue.is_empty() && (quota.limit.rate <= 0.0 || quota.take_granted_unit(now));
    let queue = quota.throttle.as_mut().filter(|_| may_proceed)?;
    queue.release_first(now).map(|id| (id, QueueOutcome::Proceed))
}

fn announced_pace(phase: &TrialPhase) -> TrialPace {
    TrialPace { rate: phase.rate.max(MIN_PACE_RATE), max_wait: from_micros(phase.max_wait_us) }
}
