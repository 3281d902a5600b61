//! The coordinator of all quota: the leader of the control plane, for as long as its lease lasts.

use crate::contact::{ContactState, GatewayContacts, Transition};
use crate::continuation::Continuations;
use crate::figures::{CoordinatorStatus, GrantCounts};
use crate::initial_fill::PreviousCoordinator;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::limit::Limit;
use crate::refill_clock::RefillClock;
use crate::time::Time;
use crate::token_bucket::TokenBucket;
use crate::trial_throttle::{GatewayQueue, TrialThrottle};
use crate::{ISOLATION_TIMEOUT, PHASE_NOTICE};
use std::collections::{BTreeMap, BTreeSet};

/// A silent gateway is removed after this many tenths of the time after which its own share ends: clocks that differ by less
/// than a tenth are borne.
const REMOVAL_MARGIN_TENTHS: Time = 11;

/// How a trial stands.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialStatus {
    /// Whose.
    pub tenant: String,
    /// Now.
    pub throttled: bool,
    /// In how long that changes, if it is announced.
    pub changes_in: Option<Time>,
    /// What gateways said of it.
    pub gateways: Vec<GatewayQueue>,
}

/// The coordinator of all quota.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    id: u64,
    /// Until then grants of the coordinator before may be out.
    previous_grants_until: Time,
    /// Each is filled when it is looked at.
    buckets: BTreeMap<String, TokenBucket>,
    clock: RefillClock,
    continuations: Continuations,
    /// Tenants with a trial, or whose throttling has yet to end.
    trial_tenants: BTreeSet<String>,
    /// Tenants whose trial has expired, as replicated.
    expired_trials: BTreeSet<String>,
    gateways: GatewayContacts,
    counts: GrantCounts,
}

impl QuotaCoordinator {
    /// A coordinator that knows nothing of what the one before has granted in the last half second, nor of how full its
    /// buckets were: what they begin with depends on that one's age. All gateways count as silent until they are heard.
    /// `id`: no two coordinators have the same.
    pub fn new(
        now: Time,
        id: u64,
        previous: PreviousCoordinator,
        limits: &BTreeMap<String, Limit>,
        expired_trials: &BTreeSet<String>,
        gateways: &BTreeSet<String>,
    ) -> Self {
        let gateways = GatewayContacts::new(now, previous.unheard_reserve(), gateways);
        let clock = RefillClock::new(now, gateways.refill_share());
        let bucket = |(tenant, limit): (&String, &Limit)| {
            let mut bucket = TokenBucket::new(clock.at(now), *limit, previous.initial_level(limit));
            // What the one before announced is not known: throttled, and at full speed once that has been announced.
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
        coordinator.find_trial_tenants();
        coordinator.advance_phases(now);
        coordinator
    }

    /// Takes new limits and expired trials. A tenant that was not limited before begins with a whole burst.
    pub fn set_limits(
        &mut self,
        now: Time,
        limits: &BTreeMap<String, Limit>,
        expired_trials: &BTreeSet<String>,
    ) {
        self.advance(now);
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
                // A tenant that is throttled stays so until it has been announced that it is no more.
                (_, None) => {}
            }
        }
        self.rebuild(now);
        self.find_trial_tenants();
        self.advance_phases(now);
    }

    /// These gateways exist, and no others.
    pub fn set_gateways(&mut self, now: Time, all: &BTreeSet<String>) {
        self.advance(now);
        self.refill_all(now);
        self.gateways.set_names(now, all);
        self.rebuild(now);
    }

    /// The gateways that are to be removed: they were silent for so long that they do not use their fallback shares any
    /// more, whose lifetime is `fallback_lifetime`. They are not answered from now on until they are removed and added again.
    pub fn begin_removals(&mut self, now: Time, fallback_lifetime: Time) -> &BTreeSet<String> {
        let silence = (fallback_lifetime + ISOLATION_TIMEOUT) / 10 * REMOVAL_MARGIN_TENTHS;
        self.gateways.begin_removals(now, silence)
    }

    /// Takes account of gateways that have fallen silent since, or whose time to go on has ended.
    fn advance(&mut self, now: Time) {
        while let Some(transition) = self.gateways.next_transition(now) {
            self.apply(&transition);
        }
        if self.gateways.expire_removed(now) {
            self.refill_all(now);
            self.rebuild(now);
        }
    }

    fn apply(&mut self, transition: &Transition) {
        let Transition { at, gateway, from, to } = transition;
        let time = self.clock.at(*at);
        if *from == ContactState::RecentlySilent {
            self.continuations.end(time, gateway, &mut self.buckets);
        }
        if *to == ContactState::RecentlySilent {
            self.continuations.begin(time, gateway, &self.gateways, &mut self.buckets);
        }
        self.clock.set_share(*at, self.gateways.refill_share());
    }

    fn refill_all(&mut self, now: Time) {
        let time = self.clock.at(now);
        self.buckets.values_mut().for_each(|bucket| bucket.refill(time));
    }

    /// Limits or gateways have changed. All buckets were filled until now.
    fn rebuild(&mut self, now: Time) {
        self.continuations.rebuild(self.clock.at(now), &self.gateways, &mut self.buckets);
        self.clock.set_share(now, self.gateways.refill_share());
    }

    fn find_trial_tenants(&mut self) {
        let with_trial = self.buckets.iter().filter(|(_, bucket)| bucket.throttle.is_some());
        self.trial_tenants = with_trial.map(|(tenant, _)| tenant.clone()).collect();
    }

    /// Makes the changes between full speed and throttling that are due.
    fn advance_phases(&mut self, now: Time) {
        // Where no gateway has been told anything for so long, none goes by it.
        let nobody_was_told =
            now >= self.previous_grants_until && self.gateways.all_silent_for(now, PHASE_NOTICE);
        self.trial_tenants.retain(|tenant| {
            let Some(bucket) = self.buckets.get_mut(tenant) else { return false };
            let is_over = bucket.is_trial_over(self.expired_trials.contains(tenant));
            let has_trial = bucket.limit.after_trial.is_some();
            let Some(throttle) = &mut bucket.throttle else { return false };
            if nobody_was_told {
                (throttle.throttled, throttle.changes_at) = (is_over, None);
            }
            throttle.advance(now, is_over);
            let goes_on = has_trial || throttle.throttled || throttle.changes_at.is_some();
            if !goes_on {
                bucket.throttle = None;
            }
            goes_on
        });
    }

    /// Answers a gateway's request. None to a gateway that is not known, whose fallback share is not kept back yet, or that is
    /// being removed.
    pub fn grant(&mut self, now: Time, gateway: &str, request: &LeaseRequest) -> Option<LeaseGrant> {
        if !self.gateways.answers(gateway) {
            self.counts.unanswered += 1;
            return None;
        }
        self.counts.requests += 1;
        self.advance(now);
        self.advance_phases(now);
        if let Some(transition) = self.gateways.record(now, gateway) {
            self.apply(&transition);
        }
        let time = self.clock.at(now);
        let mut units = Vec::with_capacity(request.units.len());
        for wanted in &request.units {
            let Some(bucket) = self.buckets.get_mut(&wanted.tenant) else { continue };
            bucket.refill(time);
            let granted = bucket.grant_units(now, wanted);
            if granted.units > 0 {
                self.gateways.record_grant(now, gateway, &wanted.tenant, granted.units);
            }
            self.counts.units_requested += u64::from(wanted.units);
            self.counts.units_granted += u64::from(granted.units);
            self.counts.fallback_units_charged += u64::from(wanted.spent_fallback);
            units.push(granted);
        }
        let may_grant_turns = now >= self.previous_grants_until;
        let share = if may_grant_turns { self.gateways.share_without_fallback() } else { 0.0 };
        let turns = request.turns.iter().filter_map(|wanted| {
            let bucket = self.buckets.get_mut(&wanted.tenant)?;
            bucket.refill(time);
            bucket.throttle.as_mut()?.record_queue(now, gateway, wanted);
            bucket.grant_turns(now, gateway, wanted, share)
        });
        let turns = turns.collect();
        let announcement = |tenant: &String| {
            let throttle = self.buckets.get(tenant)?.throttle.as_ref()?;
            Some(throttle.announcement(now, tenant))
        };
        let phases = self.trial_tenants.iter().filter_map(announcement).collect();
        Some(LeaseGrant { number: request.number, coordinator: self.id, units, phases, turns })
    }

    /// What it was asked for and gave since this was last taken.
    pub fn take_counts(&mut self) -> GrantCounts {
        std::mem::take(&mut self.counts)
    }

    /// How it stands now.
    pub fn status(&mut self, now: Time) -> CoordinatorStatus {
        self.advance(now);
        self.refill_all(now);
        let total_rate: f64 = self.buckets.values().map(|bucket| bucket.limit.rate).sum();
        let continued: f64 = self.buckets.values().map(|bucket| bucket.continued_rate()).sum();
        CoordinatorStatus {
            gateways: self.gateways.len(),
            silent: self.gateways.silent(),
            recently_silent: self.continuations.gateways(),
            kept_back: 1.0 - self.gateways.refill_share() + continued / total_rate.max(1.0),
            buckets: self.buckets.len(),
            empty_buckets: self.buckets.values().filter(|bucket| bucket.level < 1.0).count(),
        }
    }

    /// How all trials stand.
    pub fn trial_status(&self, now: Time) -> Vec<TrialStatus> {
        let status = |(tenant, bucket): (&String, &TokenBucket)| {
            let throttle = bucket.throttle.as_ref()?;
            Some(TrialStatus {
                tenant: tenant.clone(),
                throttled: throttle.throttled,
                changes_in: throttle.changes_at.map(|at| at.saturating_sub(now)),
                gateways: throttle.gateways.values().cloned().collect(),
            })
        };
        self.buckets.iter().filter_map(status).collect()
    }
}
