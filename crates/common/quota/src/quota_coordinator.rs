//! The coordinator of all quota: the leader of the control plane, for as long as its lease lasts.

use crate::contact::GatewayContacts;
use crate::figures::{CoordinatorStanding, GrantCounts};
use crate::initial_fill::PreviousCoordinator;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::limit::Limit;
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
    buckets: BTreeMap<String, TokenBucket>,
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
        let bucket = |(tenant, limit): (&String, &Limit)| {
            let mut bucket = TokenBucket::new(now, *limit, previous.initial_level(limit));
            // What the one before announced is not known: throttled, and at full speed once that has been announced.
            bucket.throttle = limit.after_trial.map(|pace| TrialThrottle::new(now, pace, true));
            (tenant.clone(), bucket)
        };
        let mut coordinator = QuotaCoordinator {
            id,
            previous_grants_until: now + PHASE_NOTICE,
            buckets: limits.iter().map(bucket).collect(),
            expired_trials: expired_trials.clone(),
            gateways: GatewayContacts::new(now, previous.unheard_reserve(), gateways),
            counts: GrantCounts::default(),
        };
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
        self.refill(now);
        self.expired_trials = expired_trials.clone();
        self.buckets.retain(|tenant, _| limits.contains_key(tenant));
        for (tenant, limit) in limits {
            let bucket = self
                .buckets
                .entry(tenant.clone())
                .or_insert_with(|| TokenBucket::new(now, *limit, limit.burst));
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
        self.advance_phases(now);
    }

    /// These gateways exist, and no others.
    pub fn set_gateways(&mut self, now: Time, all: &BTreeSet<String>) {
        self.refill(now);
        self.gateways.set_names(now, all);
    }

    /// The gateways that are to be removed: they were silent for so long that they do not use their fallback shares any
    /// more, whose lifetime is `fallback_lifetime`. They are not answered from now on until they are removed and added again.
    pub fn begin_removals(&mut self, now: Time, fallback_lifetime: Time) -> &BTreeSet<String> {
        let silence = (fallback_lifetime + ISOLATION_TIMEOUT) / 10 * REMOVAL_MARGIN_TENTHS;
        self.gateways.begin_removals(now, silence)
    }

    fn refill(&mut self, now: Time) {
        let reserve = self.gateways.reserve(now);
        self.buckets.values_mut().for_each(|bucket| bucket.refill(now, &reserve));
    }

    /// Makes the changes between full speed and throttling that are due.
    fn advance_phases(&mut self, now: Time) {
        // Where no gateway has been told anything for so long, none goes by it.
        let nobody_was_told =
            now >= self.previous_grants_until && self.gateways.all_missed_announcements(now);
        for (tenant, bucket) in &mut self.buckets {
            let is_over = bucket.is_trial_over(self.expired_trials.contains(tenant));
            let has_trial = bucket.limit.after_trial.is_some();
            let Some(throttle) = &mut bucket.throttle else { continue };
            if nobody_was_told {
                (throttle.throttled, throttle.changes_at) = (is_over, None);
            }
            throttle.advance(now, is_over);
            if !has_trial && !throttle.throttled && throttle.changes_at.is_none() {
                bucket.throttle = None;
            }
        }
    }

    /// Answers a gateway's request. None to a gateway that is not known, whose fallback share is not kept back yet, or that is
    /// being removed.
    pub fn grant(&mut self, now: Time, gateway: &str, request: &LeaseRequest) -> Option<LeaseGrant> {
        if !self.gateways.answers(gateway) {
            self.counts.unanswered += 1;
            return None;
        }
        self.counts.requests += 1;
        self.refill(now);
        self.advance_phases(now);
        self.gateways.record(now, gateway);
        let mut units = Vec::with_capacity(request.units.len());
        for wanted in &request.units {
            let Some(bucket) = self.buckets.get_mut(&wanted.tenant) else { continue };
            let granted = bucket.grant_units(now, gateway, wanted);
            self.counts.units_requested += u64::from(wanted.units);
            self.counts.units_granted += u64::from(granted.units);
            self.counts.fallback_units_charged += u64::from(wanted.spent_fallback);
            units.push(granted);
        }
        let share =
            if now < self.previous_grants_until { 0.0 } else { self.gateways.reserve(now).available_share() };
        let turns = request.turns.iter().filter_map(|wanted| {
            let bucket = self.buckets.get_mut(&wanted.tenant)?;
            bucket.throttle.as_mut()?.record_queue(now, gateway, wanted);
            bucket.grant_turns(now, gateway, wanted, share)
        });
        let turns = turns.collect();
        let phases = self
            .buckets
            .iter()
            .filter_map(|(tenant, bucket)| Some(bucket.throttle.as_ref()?.announcement(now, tenant)))
            .collect();
        Some(LeaseGrant { number: request.number, coordinator: self.id, units, phases, turns })
    }

    /// What it was asked for and gave since this was last taken.
    pub fn take_counts(&mut self) -> GrantCounts {
        std::mem::take(&mut self.counts)
    }

    /// How it stands now.
    pub fn standing(&self, now: Time) -> CoordinatorStanding {
        let reserve = self.gateways.reserve(now);
        let total_rate: f64 = self.buckets.values().map(|bucket| bucket.limit.rate).sum();
        let available: f64 = self.buckets.values().map(|bucket| bucket.available_rate(&reserve)).sum();
        CoordinatorStanding {
            gateways: self.gateways.len(),
            silent: reserve.silent,
            recently_silent: reserve.recently_silent.len(),
            kept_back: 1.0 - available / total_rate.max(1.0),
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
