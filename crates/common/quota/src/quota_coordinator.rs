//! Quota coordinator. It runs on the leader of the control plane while that leader's lease lasts.

use crate::contact::{ContactState, GatewayContacts, Transition};
use crate::continuation::Continuations;
use crate::initial_fill::PreviousCoordinator;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::limit::Limit;
use crate::refill_clock::RefillClock;
use crate::stats::{CoordinatorStatus, GrantCounts};
use crate::time::Time;
use crate::token_bucket::TokenBucket;
use crate::trial_throttle::{GatewayQueue, TrialThrottle};
use crate::{ISOLATION_TIMEOUT, PHASE_NOTICE};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a gateway is removed, in tenths of the time after which its fallback share ends on the gateway
/// itself. Tolerates clock rates that differ by less than a tenth.
const REMOVAL_MARGIN_TENTHS: Time = 11;

/// Status of a tenant's trial.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialStatus {
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the tenant is throttled now.
    pub throttled: bool,
    /// Time until the announced change; `None` if no change is announced.
    pub changes_in: Option<Time>,
    /// Latest queue report of each gateway.
    pub gateways: Vec<GatewayQueue>,
}

/// Grants units and turns to all gateways.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    id: u64,
    /// Time until which grants of the previous coordinator may be in use.
    previous_grants_until: Time,
    /// Buckets by tenant. Each is refilled only when it is accessed.
    buckets: BTreeMap<String, TokenBucket>,
    clock: RefillClock,
    continuations: Continuations,
    /// Tenants that have a trial, or whose throttling has not ended yet.
    trial_tenants: BTreeSet<String>,
    /// Tenants whose trial has expired, as replicated.
    expired_trials: BTreeSet<String>,
    gateways: GatewayContacts,
    counts: GrantCounts,
}

impl QuotaCoordinator {
    /// Creates a coordinator that does not know what its predecessor granted in the last half second, nor how full the
    /// predecessor's buckets were. Their initial level depends on the predecessor's age. All gateways count as silent
    /// until their first request. `id` must be unique among coordinators.
    pub fn new(
        now: Time,
        id: u64,
        previous: PreviousCoordinator,
        limits: &BTreeMap<String, Limit>,
        expired_trials: &BTreeSet<String>,
        gateways: &BTreeSet<String>,
    ) -> Self {
        let gateways = GatewayContacts::new(now, previous.unseen_reserve(), gateways);
        let clock = RefillClock::new(now, gateways.refill_share());
        let bucket = |(tenant, limit): (&String, &Limit)| {
            let mut bucket = TokenBucket::new(clock.at(now), *limit, previous.initial_level(limit));
            // The predecessor's announcements are unknown. The tenant starts throttled and becomes unthrottled only
            // after a new announcement.
            bucket.throttle = limit.after_trial.map(|pace| TrialThrottle::new(now, pace, true));
            (tenant.clone(), bucket)
        };
        let mut coordinator = QuotaCoordinator {
            id,
            previous_grants_until: now + PHASE_NOTICE,
            buckets: limits.iter().map(bucket).collect(),
            clock,
            continuations: Continuations::default(),
            trial_tenants: BTreeSet::new(),
            expired_trials: expired_trials.clone(),
            gateways,
            counts: GrantCounts::default(),
        };
        coordinator.refresh_trial_tenants();
        coordinator.advance_phases(now);
        coordinator
    }

    /// Applies new limits and expired trials. A tenant that was not limited before starts with a full bucket.
    pub fn set_limits(
        &mut self,
        now: Time,
        limits: &BTreeMap<String, Limit>,
        expired_trials: &BTreeSet<String>,
    ) {
        self.advance_contacts(now);
        self.refill_all(now);
        self.expired_trials = expired_trials.clone();
        self.buckets.retain(|tenant, _| limits.contains_key(tenant));
        for (tenant, limit) in limits {
            let bucket = self
                .buckets
                .entry(tenant.clone())
                .or_insert_with(|| TokenBucket::new(self.clock.at(now), *limit, limit.burst));
            bucket.limit = *limit;
            bucket.level = bucket.level.min(limit.burst);
            match (&mut bucket.throttle, limit.after_trial) {
                (Some(throttle), Some(pace)) => throttle.pace = pace,
                (None, Some(pace)) => {
                    let throttled = now < self.previous_grants_until;
                    bucket.throttle = Some(TrialThrottle::new(now, pace, throttled));
                }
                // A throttled tenant stays throttled until the end of its throttling has been announced.
                (_, None) => {}
            }
        }
        self.rebuild_reservations(now);
        self.refresh_trial_tenants();
        self.advance_phases(now);
    }

    /// Replaces the set of gateways.
    pub fn set_gateways(&mut self, now: Time, names: &BTreeSet<String>) {
        self.advance_contacts(now);
        self.refill_all(now);
        self.gateways.set_names(now, names);
        self.rebuild_reservations(now);
    }

    /// Returns the gateways to remove: they have been silent for so long that they no longer use their fallback shares,
    /// whose lifetime is `fallback_lifetime`. They are not answered until they are removed and added again.
    pub fn begin_removals(&mut self, now: Time, fallback_lifetime: Time) -> &BTreeSet<String> {
        let silence = (fallback_lifetime + ISOLATION_TIMEOUT) / 10 * REMOVAL_MARGIN_TENTHS;
        self.gateways.begin_removals(now, silence)
    }

    /// Applies contact state changes that are due: gateways that became silent, and continuations that ended.
    fn advance_contacts(&mut self, now: Time) {
        while let Some(transition) = self.gateways.next_transition(now) {
            self.apply_transition(&transition);
        }
        if self.gateways.expire_removed(now) {
            self.refill_all(now);
            self.rebuild_reservations(now);
        }
    }

    fn apply_transition(&mut self, transition: &Transition) {
        let Transition { occurred_at, gateway, from, to } = transition;
        let time = self.clock.at(*occurred_at);
        if *from == ContactState::RecentlySilent {
            self.continuations.end(time, gateway, &mut self.buckets);
        }
        if *to == ContactState::RecentlySilent {
            self.continuations.begin(time, gateway, &self.gateways, &mut self.buckets);
        }
        self.clock.set_share(*occurred_at, self.gateways.refill_share());
    }

    fn refill_all(&mut self, now: Time) {
        let time = self.clock.at(now);
        self.buckets.values_mut().for_each(|bucket| bucket.refill(time));
    }

    /// Recomputes the reserved rates after a change of limits or gateways. All buckets must be refilled up to `now`.
    fn rebuild_reservations(&mut self, now: Time) {
        self.continuations.rebuild(self.clock.at(now), &self.gateways, &mut self.buckets);
        self.clock.set_share(now, self.gateways.refill_share());
    }

    fn refresh_trial_tenants(&mut self) {
        let with_trial = self.buckets.iter().filter(|(_, bucket)| bucket.throttle.is_some());
        self.trial_tenants = with_trial.map(|(tenant, _)| tenant.clone()).collect();
    }

    /// Applies changes between the unthrottled and the throttled phase that are due.
    fn advance_phases(&mut self, now: Time) {
        // If no gateway has received an answer for this long, none relies on an earlier announcement.
        let no_gateway_informed =
            now >= self.previous_grants_until && self.gateways.all_silent_for(now, PHASE_NOTICE);
        self.trial_tenants.retain(|tenant| {
            let Some(bucket) = self.buckets.get_mut(tenant) else { return false };
            let should_throttle = bucket.should_throttle(self.expired_trials.contains(tenant));
            let has_trial = bucket.limit.after_trial.is_some();
            let Some(throttle) = &mut bucket.throttle else { return false };
            if no_gateway_informed {
                (throttle.throttled, throttle.phase_change_at) = (should_throttle, None);
            }
            throttle.advance(now, should_throttle);
            let is_needed = has_trial || throttle.throttled || throttle.phase_change_at.is_some();
            if !is_needed {
                bucket.throttle = None;
            }
            is_needed
        });
    }

    /// Answers a gateway's request. Returns `None` for a gateway that is unknown, and whose fallback share is therefore
    /// not reserved, or that is pending removal.
    pub fn grant(&mut self, now: Time, gateway: &str, request: &LeaseRequest) -> Option<LeaseGrant> {
        if !self.gateways.accepts(gateway) {
            self.counts.unanswered += 1;
            return None;
        }
        self.counts.requests += 1;
        self.advance_contacts(now);
        self.advance_phases(now);
        if let Some(transition) = self.gateways.record_request(now, gateway) {
            self.apply_transition(&transition);
        }
        let time = self.clock.at(now);
        let mut units = Vec::with_capacity(request.units.len());
        for unit_request in &request.units {
            let Some(bucket) = self.buckets.get_mut(&unit_request.tenant) else { continue };
            bucket.refill(time);
            let granted = bucket.grant_units(now, unit_request);
            if granted.units > 0 {
                self.gateways.record_grant(now, gateway, &unit_request.tenant, granted.units);
            }
            self.counts.units_requested += u64::from(unit_request.units);
            self.counts.units_granted += u64::from(granted.units);
            self.counts.fallback_units_charged += u64::from(unit_request.spent_fallback);
            units.push(granted);
        }
        let may_grant_turns = now >= self.previous_grants_until;
        let share = if may_grant_turns { self.gateways.share_without_fallback() } else { 0.0 };
        let turns = request.turns.iter().filter_map(|turn_request| {
            let bucket = self.buckets.get_mut(&turn_request.tenant)?;
            bucket.refill(time);
            bucket.throttle.as_mut()?.record_queue(now, gateway, turn_request);
            bucket.grant_turns(now, gateway, turn_request, share)
        });
        let turns = turns.collect();
        let announcement = |tenant: &String| {
            let throttle = self.buckets.get(tenant)?.throttle.as_ref()?;
            Some(throttle.announcement(now, tenant))
        };
        let phases = self.trial_tenants.iter().filter_map(announcement).collect();
        Some(LeaseGrant { number: request.number, coordinator: self.id, units, phases, turns })
    }

    /// Returns the counters and resets them.
    pub fn take_counts(&mut self) -> GrantCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the current state of the coordinator.
    pub fn status(&mut self, now: Time) -> CoordinatorStatus {
        self.advance_contacts(now);
        self.refill_all(now);
        let total_rate: f64 = self.buckets.values().map(|bucket| bucket.limit.rate).sum();
        let continued: f64 = self.buckets.values().map(|bucket| bucket.continued_rate()).sum();
        CoordinatorStatus {
            gateways: self.gateways.len(),
            silent: self.gateways.silent(),
            recently_silent: self.continuations.gateways(),
            reserved_share: 1.0 - self.gateways.refill_share() + continued / total_rate.max(1.0),
            buckets: self.buckets.len(),
            empty_buckets: self.buckets.values().filter(|bucket| bucket.level < 1.0).count(),
        }
    }

    /// Returns the status of all trials.
    pub fn trial_status(&self, now: Time) -> Vec<TrialStatus> {
        let status = |(tenant, bucket): (&String, &TokenBucket)| {
            let throttle = bucket.throttle.as_ref()?;
            Some(TrialStatus {
                tenant: tenant.clone(),
                throttled: throttle.throttled,
                changes_in: throttle.phase_change_at.map(|at| at.saturating_sub(now)),
                gateways: throttle.gateways.values().cloned().collect(),
            })
        };
        self.buckets.iter().filter_map(status).collect()
    }
}
