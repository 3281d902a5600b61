//! The limits and trial ends that a configuration declares for tenants.

use crate::clock_readings::ClockReadings;
use crate::{Time, UnixMillis};
use configuration::{Configuration, Trial};
use control_state::{Command, ControlState};
use quota::{Limit, TrialPace};
use std::collections::{BTreeMap, BTreeSet};

/// The end of a tenant's trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialEnd {
    /// Name of the tenant.
    pub tenant: String,
    /// Time at which the trial ends.
    pub ends_at: UnixMillis,
}

/// Terms of the tenants in a configuration: their limits and the ends of their trials.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTerms {
    /// Rate limits by tenant name.
    pub limits: BTreeMap<String, Limit>,
    /// Trial ends of the tenants on trial.
    pub trial_ends: Vec<TrialEnd>,
}

impl TenantTerms {
    /// Extracts the tenants' terms from a configuration.
    pub fn from_configuration(configuration: &Configuration) -> TenantTerms {
        let mut terms = TenantTerms::default();
        for tenant in &configuration.tenants {
            let after_trial = tenant.trial.as_ref().map(pace_after_trial);
            let limit = Limit { rate: tenant.rate_per_s, burst: tenant.burst_size, after_trial };
            terms.limits.insert(tenant.name.clone(), limit);
            let ends_at = tenant.trial.as_ref().and_then(Trial::ends_ms);
            terms.trial_ends.extend(ends_at.map(|ends_at| TrialEnd { tenant: tenant.name.clone(), ends_at }));
        }
        terms
    }

    /// Returns the tenants whose trial has expired according to the replicated state.
    pub fn expired_tenants(&self, state: &ControlState) -> BTreeSet<String> {
        let expired = self.trial_ends.iter().filter(|end| state.is_trial_expired(&end.tenant, end.ends_at));
        expired.map(|end| end.tenant.clone()).collect()
    }

    /// Returns the commands to propose now: one for each trial that has not expired and whose end has passed by the clocks
    /// of a majority of the voters.
    pub fn due_expiries(
        &self,
        state: &ControlState,
        now: Time,
        clocks: &ClockReadings,
        voters: &BTreeSet<&str>,
    ) -> Vec<Command> {
        let is_due = |end: &&TrialEnd| {
            !state.is_trial_expired(&end.tenant, end.ends_at)
                && clocks.is_past_by_majority(now, voters, end.ends_at)
        };
        let expire =
            |end: &TrialEnd| Command::ExpireTrial { tenant: end.tenant.clone(), ends_at: end.ends_at };
        self.trial_ends.iter().filter(is_due).map(expire).collect()
    }
}

/// Returns the pace of a tenant whose trial has expired. The bounds were validated before the configuration was committed;
/// they are enforced again here, where they are relied on.
fn pace_after_trial(trial: &Trial) -> TrialPace {
    const MIN_RATE_PER_S: f64 = 0.001;
    const MAX_RATE_PER_S: f64 = 1e6;
    const MAX_WAIT_MS: f64 = 10_000.0;
    TrialPace {
        rate: trial.pace_per_s.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S),
        max_wait: (trial.wait_ms.clamp(0.0, MAX_WAIT_MS) * 1e6) as Time,
    }
}
