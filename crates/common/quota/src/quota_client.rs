//! A gateway's side of quota: admits requests by granted units, by refusal probability, and by the fallback share while it
//! hears nothing.

use crate::figures::AdmissionCounts;
use crate::lease::{LeaseGrant, LeaseRequest, TrialPhase};
use crate::limit::{Limit, TrialPace};
use crate::tenant_quota::{retry_after, TenantQuota};
use crate::throttle_queue::{CoordinatorContact, QueueOutcome, QueuedRequest, ThrottleQueue};
use crate::time::{from_micros, Time, MS};
use crate::{
    FALLBACK_LIFETIME, GRANT_LIFETIME, ISOLATION_TIMEOUT, NEW_PROCESS_FALLBACK_LIFETIME, REQUEST_INTERVAL,
};
use std::collections::{BTreeMap, VecDeque};

/// A request waits so long for a unit at most: a little longer than it takes to know that the gateway is isolated.
const MAX_UNIT_WAIT: Time = 320 * MS;
/// In an isolated gateway, a request that waits tries again this often.
const ISOLATED_RETRY_INTERVAL: Time = 40 * MS;
/// The coordinator is asked again after so long while a request waits.
const URGENT_REQUEST_INTERVAL: Time = 40 * MS;
/// Requests to the coordinator whose sending time is remembered.
const MAX_TRACKED_REQUESTS: usize = 64;
/// The least rate of a trial's pace.
const MIN_PACE_RATE: f64 = 0.001;

/// The decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A unit is taken for it.
    Granted,
    /// A unit is requested for it: try again when a grant arrives, or at `until` at the latest.
    Wait {
        /// On the gateway's clock.
        until: Time,
    },
    /// Beyond the limit.
    Refused {
        /// When to come back.
        retry_after: Time,
    },
    /// The tenant is throttled: the request goes on by [`QuotaClient::enqueue`], if it can wait for so long at most.
    Throttled {
        /// At most.
        max_wait: Time,
    },
}

/// Who answers a gateway's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Coordinator {
    id: u64,
    /// When it first answered.
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: u64,
    sent_at: Time,
}

/// A gateway's side of quota.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    tenants: BTreeMap<String, TenantQuota>,
    /// Among how many gateways fallback shares are divided; 0 while this one is none of them.
    gateway_count: u32,
    started_at: Time,
    /// The fallback share ends when no coordinator has answered for so long.
    fallback_lifetime: Time,
    /// When the latest request was sent that was answered.
    last_contact: Option<Time>,
    coordinator: Coordinator,
    last_request: u64,
    /// The latest request that was answered.
    last_answered: u64,
    last_sent_at: Option<Time>,
    sent: VecDeque<SentRequest>,
    next_request_at: Time,
    urgent: bool,
    counts: AdmissionCounts,
}

impl QuotaClient {
    /// A client without tenants.
    pub fn new(now: Time) -> Self {
        QuotaClient {
            tenants: BTreeMap::new(),
            gateway_count: 0,
            started_at: now,
            fallback_lifetime: FALLBACK_LIFETIME,
            last_contact: None,
            coordinator: Coordinator::default(),
            last_request: 0,
            last_answered: 0,
            last_sent_at: None,
            sent: VecDeque::new(),
            next_request_at: now,
            urgent: false,
            counts: AdmissionCounts::default(),
        }
    }

    /// What became of requests since this was last taken.
    pub fn take_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.counts)
    }

    /// Takes new limits.
    pub fn set_limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>) {
        self.tenants.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let tenant = self.tenants.entry(name.clone()).or_insert_with(|| TenantQuota::new(now, *limit));
            tenant.set_limit(*limit);
        }
    }

    /// How many gateways are replicated, if this one is among them; else 0.
    pub fn set_gateway_count(&mut self, gateway_count: u32) {
        self.gateway_count = gateway_count;
    }

    /// The fallback share ends after so long without an answer, in place of [`FALLBACK_LIFETIME`].
    pub fn set_fallback_lifetime(&mut self, lifetime: Time) {
        self.fallback_lifetime = lifetime;
    }

    /// Among how many gateways fallback shares are divided; 0 if this one has none: it is none of them, or no coordinator has
    /// answered it for so long that the share may have been given away.
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

    /// Whether this process may use its fallback share when it is isolated.
    pub fn has_fallback_share(&self, now: Time) -> bool {
        self.fallback_divisor(now) > 0
    }

    /// Whether a coordinator has answered this process.
    pub fn was_answered(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Whether it has its fallback share alone.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.last_contact.is_none_or(|at| now.saturating_sub(at) >= ISOLATION_TIMEOUT)
    }

    /// When it is isolated, if it hears nothing until then.
    fn isolated_at(&self) -> Time {
        self.last_contact.map_or(0, |at| at + ISOLATION_TIMEOUT)
    }

    fn isolated_since(&self, now: Time) -> Option<Time> {
        self.is_isolated(now).then(|| self.isolated_at())
    }

    /// Takes a unit for a tenant's request. `draw`: 0 to 1, at random; `since`: when it was first tried, if it waited.
    pub fn acquire(&mut self, now: Time, tenant: &str, draw: f64, since: Option<Time>) -> Decision {
        let (is_isolated, isolated_at) = (self.is_isolated(now), self.isolated_at());
        let fallback_divisor = self.fallback_divisor(now);
        let Some(quota) = self.tenants.get_mut(tenant) else { return Decision::Granted };
        if since.is_some() {
            quota.waiting = quota.waiting.saturating_sub(1);
        }
        if let Some(queue) = quota.throttle.as_ref().filter(|queue| queue.is_throttled(now)) {
            return Decision::Throttled { max_wait: queue.pace.max_wait };
        }
        if quota.limit.rate <= 0.0 {
            return Decision::Granted;
        }
        if since.is_none() {
            if draw < quota.refusal_probability && !is_isolated {
                // Only requests that come past the probability count as demand.
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
        let deadline = since.unwrap_or(now) + MAX_UNIT_WAIT;
        if now >= deadline {
            let refused = if is_isolated {
                &mut self.counts.refused_isolated
            } else {
                &mut self.counts.refused_without_unit
            };
            *refused += 1;
            return Decision::Refused { retry_after: retry_after(&quota.limit, 0.0) };
        }
        quota.waiting += 1;
        self.urgent = !is_isolated;
        let try_again = if is_isolated { now + ISOLATED_RETRY_INTERVAL } else { isolated_at.max(now + MS) };
        Decision::Wait { until: try_again.min(deadline) }
    }

    /// A request that waited for a unit is gone.
    pub fn cancel_wait(&mut self, tenant: &str) {
        if let Some(quota) = self.tenants.get_mut(tenant) {
            quota.waiting = quota.waiting.saturating_sub(1);
        }
    }

    /// A request waits for its turn from now on; [`QuotaClient::next_outcome`] tells when that is.
    ///
    /// # Errors
    /// Too many wait: when to come back.
    pub fn enqueue(&mut self, tenant: &str, request: QueuedRequest) -> Result<(), Time> {
        let queue = self.tenants.get_mut(tenant).and_then(|quota| quota.throttle.as_mut());
        let Some(queue) = queue else { return Err(0) };
        if !queue.enqueue(request) {
            return Err(queue.pace.max_wait);
        }
        self.urgent = true;
        Ok(())
    }

    /// What becomes of the next request that waited for a turn, if anything does now: the tenant, the request, the outcome.
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
                release_at_full_speed(now, quota)
            };
            if let Some((id, outcome)) = outcome {
                return Some((tenant.clone(), id, outcome));
            }
        }
        None
    }

    /// The request that was to go on is gone: its turn, or its unit, is another's.
    pub fn return_turn(&mut self, now: Time, tenant: &str) {
        let Some(quota) = self.tenants.get_mut(tenant) else { return };
        match &mut quota.throttle {
            Some(queue) if queue.is_throttled(now) => queue.return_turn(now),
            _ => quota.returned += 1,
        }
    }

    /// When [`QuotaClient::next_outcome`] has something new to say, if nothing arrives until then.
    pub fn next_outcome_at(&self, now: Time) -> Option<Time> {
        let isolated_at = self.isolated_at();
        self.tenants.values().filter_map(|quota| quota.throttle.as_ref()?.next_due(now, isolated_at)).min()
    }

    /// When [`QuotaClient::next_request`] is next due.
    pub fn next_due(&self) -> Time {
        let wanted_at = if self.urgent { 0 } else { self.next_request_at };
        wanted_at.max(self.earliest_request())
    }

    /// No request is sent sooner: a coordinator that is late is not asked more often than an idle gateway asks.
    fn earliest_request(&self) -> Time {
        let interval = match self.last_request - self.last_answered {
            0 => 0,
            1 => URGENT_REQUEST_INTERVAL,
            _ => REQUEST_INTERVAL,
        };
        self.last_sent_at.map_or(0, |at| at + interval)
    }

    /// What to ask the coordinator for now, if it is time.
    pub fn next_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if now < self.next_due() {
            return None;
        }
        let number = self.last_request + 1;
        let mut request = LeaseRequest { number, ..LeaseRequest::default() };
        let mut somebody_waits = false;
        for (tenant, quota) in &mut self.tenants {
            quota.expire_grants(now);
            let is_throttled = quota.throttle.as_ref().is_some_and(|queue| queue.is_throttled(now));
            if let Some(queue) = quota.throttle.as_mut().filter(|_| is_throttled) {
                request.turns.extend(queue.turn_request(now, number, tenant));
                somebody_waits |= queue.needs_turns();
            }
            let queued = quota.throttle.as_ref().filter(|_| !is_throttled).map_or(0, ThrottleQueue::len);
            let waiting = quota.waiting + queued;
            somebody_waits |= waiting > 0;
            request.units.extend(quota.unit_request(now, tenant, waiting));
        }
        self.counts.lease_requests += 1;
        self.last_request = number;
        self.last_sent_at = Some(now);
        self.sent.push_back(SentRequest { number, sent_at: now });
        if self.sent.len() > MAX_TRACKED_REQUESTS {
            self.sent.pop_front();
        }
        self.urgent = false;
        self.next_request_at = now + if somebody_waits { URGENT_REQUEST_INTERVAL } else { REQUEST_INTERVAL };
        Some(request)
    }

    /// Takes the coordinator's answer. Whether a request that waits may go on.
    pub fn on_grant(&mut self, now: Time, grant: &LeaseGrant) -> bool {
        // What answers a request that is not remembered has expired.
        let Some(n) = self.sent.iter().position(|sent| sent.number == grant.number) else { return false };
        let Some(SentRequest { sent_at, .. }) = self.sent.remove(n) else { return false };
        self.last_answered = self.last_answered.max(grant.number);
        let round_trip = now.saturating_sub(sent_at);
        self.counts.lease_grants += 1;
        self.counts.late_grants += u64::from(round_trip >= ISOLATION_TIMEOUT);
        self.counts.slowest_grant = self.counts.slowest_grant.max(round_trip);
        let is_newest = self.last_contact.is_none_or(|at| sent_at >= at);
        if is_newest && grant.coordinator != self.coordinator.id {
            self.coordinator = Coordinator { id: grant.coordinator, since: now };
        }
        self.last_contact = self.last_contact.max(Some(sent_at));
        let mut may_go_on = self.on_turns(now, sent_at, is_newest, grant);
        let expires_at = sent_at + GRANT_LIFETIME;
        for units in &grant.units {
            if let Some(quota) = self.tenants.get_mut(&units.tenant) {
                may_go_on |= quota.on_units(now, expires_at, units);
            }
        }
        let still_lacks = |quota: &TenantQuota| {
            quota.waiting > 0 || quota.throttle.as_ref().is_some_and(ThrottleQueue::needs_turns)
        };
        self.next_request_at = if self.tenants.values().any(still_lacks) {
            self.next_request_at.min(now + URGENT_REQUEST_INTERVAL)
        } else {
            self.next_request_at.max(sent_at + REQUEST_INTERVAL)
        };
        may_go_on
    }

    /// Takes the phases and turns of tenants with a trial. Whether a request that waits may go on.
    fn on_turns(&mut self, now: Time, sent_at: Time, is_newest: bool, grant: &LeaseGrant) -> bool {
        let mut may_go_on = false;
        for (tenant, quota) in &mut self.tenants {
            let phase = grant.phases.iter().find(|phase| phase.tenant == *tenant);
            if let (None, Some(phase)) = (&quota.throttle, phase) {
                // The configuration that puts the tenant on trial has yet to arrive.
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
            may_go_on |= !queue.is_empty();
        }
        may_go_on
    }
}

/// What waited for a turn goes on at full speed, by units like any other request.
fn release_at_full_speed(now: Time, quota: &mut TenantQuota) -> Option<(u64, QueueOutcome)> {
    let queue = quota.throttle.as_mut()?;
    queue.drop_expired(now);
    let may_go_on = !queue.is_empty() && (quota.limit.rate <= 0.0 || quota.take_granted_unit(now));
    let queue = quota.throttle.as_mut().filter(|_| may_go_on)?;
    queue.release_first(now).map(|id| (id, QueueOutcome::Proceed))
}

fn announced_pace(phase: &TrialPhase) -> TrialPace {
    TrialPace { rate: phase.rate.max(MIN_PACE_RATE), max_wait: from_micros(phase.max_wait_us) }
}
