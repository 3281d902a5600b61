//! Configurations of short workloads: a hot tenant's limit, and a trial tenant.

use crate::{Time, MS};
use fastrand::Rng;
use quota::{Limit, TrialPace};
use std::collections::BTreeMap;
use trial::{TenantTerms, TrialEnd, UnixMillis};

/// A tenant whose requests come through all gateways, and its limit in requests per second.
pub const HOT: &str = "t";
pub const HOT_RATE: f64 = 120.0;
/// Name of the trial tenant.
pub const NAME: &str = "guest";
/// The trial tenant's limit, in requests per second.
pub const RATE: f64 = 60.0;
/// The pace to which the tenant is throttled once its trial has expired.
pub const TRIAL_PACE: TrialPace = TrialPace { rate: 12.0, max_wait: 1000 * MS };
/// True time at the start, in Unix milliseconds.
pub const EPOCH_UNIX_MS: UnixMillis = 1_000_000_000;

/// Returns the body of a configuration: its base, its version, and the end of the trial, if the tenant is on trial.
pub fn body(base: u32, version: u32, ends_at: Option<UnixMillis>) -> Vec<u8> {
    let (base, version, ends_at) =
        (base.to_be_bytes(), version.to_be_bytes(), ends_at.unwrap_or(0).to_be_bytes());
    [base.as_slice(), &version, &ends_at].concat()
}

/// Returns when the trial ends under this configuration, or `None` if there is no trial.
pub fn trial_end(body: &[u8]) -> Option<UnixMillis> {
    let ends_at = body.get(8..16)?.try_into().ok().map(UnixMillis::from_be_bytes)?;
    (ends_at > 0).then_some(ends_at)
}

/// Returns the terms of a configuration: those of the trial tenant and of the hot tenant.
pub fn terms(body: &[u8]) -> TenantTerms {
    let ends_at = trial_end(body);
    let mut limits = BTreeMap::from([(HOT.to_string(), Limit::new(HOT_RATE, HOT_RATE))]);
    let after_trial = ends_at.map(|_| TRIAL_PACE);
    limits.insert(NAME.into(), Limit { after_trial, ..Limit::new(RATE, RATE) });
    TenantTerms {
        limits,
        trial_ends: ends_at.map(|ends_at| TrialEnd { tenant: NAME.into(), ends_at }).into_iter().collect(),
    }
}

/// Returns the end of the trial in the next configuration: mostly unchanged.
pub fn next_trial_end(rng: &mut Rng, now: Time, current: Option<UnixMillis>) -> Option<UnixMillis> {
    let now = EPOCH_UNIX_MS + now / MS;
    match rng.u8(..12) {
        0 => Some(now + rng.u64(..1500)),
        1 => Some(now - rng.u64(..3000)),
        2 => None,
        _ => current.or(Some(now + rng.u64(500..5000))),
    }
}
