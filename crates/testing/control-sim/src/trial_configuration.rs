//! Configurations of worlds of seconds: a hot tenant's limit, and a tenant on trial.

use crate::{Time, MS};
use fastrand::Rng;
use quota::{Limit, TrialPace};
use std::collections::BTreeMap;
use trial::{TenantTerms, TrialEnd, UnixMillis};

/// A tenant whose requests come through all gateways, and its limit.
pub const HOT: &str = "t";
pub const HOT_RATE: f64 = 120.0;
/// The tenant on trial.
pub const NAME: &str = "guest";
/// The trial tenant's limit, in requests a second.
pub const RATE: f64 = 60.0;
/// What it is throttled to once its trial has expired.
pub const TRIAL_PACE: TrialPace = TrialPace { rate: 12.0, max_wait: 1000 * MS };
/// True time at the beginning, in Unix milliseconds.
pub const START_OF_TIME: UnixMillis = 1_000_000_000;

/// What a configuration of this world says beside its base and version: when the trial tenant's trial ends, if it is on
/// trial.
pub fn body(base: u32, version: u32, ends: Option<UnixMillis>) -> Vec<u8> {
    let (base, version, ends) = (base.to_be_bytes(), version.to_be_bytes(), ends.unwrap_or(0).to_be_bytes());
    [base.as_slice(), &version, &ends].concat()
}

/// When the trial ends by this configuration; none: there is no trial.
pub fn trial_end(body: &[u8]) -> Option<UnixMillis> {
    let ends = body.get(8..16)?.try_into().ok().map(UnixMillis::from_be_bytes)?;
    (ends > 0).then_some(ends)
}

/// The terms of a configuration: the trial tenant's, and those of a tenant that is not on trial.
pub fn terms(body: &[u8]) -> TenantTerms {
    let ends = trial_end(body);
    let mut limits = BTreeMap::from([(HOT.to_string(), Limit::new(HOT_RATE, HOT_RATE))]);
    let slow = ends.map(|_| TRIAL_PACE);
    limits.insert(NAME.into(), Limit { after_trial: slow, ..Limit::new(RATE, RATE) });
    TenantTerms {
        limits,
        trial_ends: ends.map(|ends| TrialEnd { tenant: NAME.into(), ends_at: ends }).into_iter().collect(),
    }
}

/// When the trial is to end by the next configuration: mostly as it did.
pub fn next_trial_end(rng: &mut Rng, now: Time, held: Option<UnixMillis>) -> Option<UnixMillis> {
    let now = START_OF_TIME + now / MS;
    match rng.u8(..12) {
        0 => Some(now + rng.u64(..1500)),
        1 => Some(now - rng.u64(..3000)),
        2 => None,
        _ => held.or(Some(now + rng.u64(500..5000))),
    }
}
