//! A tenant on trial, whose trial is moved, ended and given back all the time, and what gateways make of it.

use crate::defect::Defect;
use crate::rules::{Observations, Violation};
use crate::{Time, MS};
use fastrand::Rng;
use quota::{Decision, Limit, QueueOutcome, QueuedRequest, QuotaClient, TrialPace};
use std::collections::{BTreeMap, BTreeSet};
use trial::{TenantTerms, TrialEnd, UnixMillis};

/// A tenant whose requests come through all gateways, and its limit.
pub const HOT: &str = "t";
pub const HOT_RATE: f64 = 120.0;
pub const NAME: &str = "guest";
const RATE: f64 = 60.0;
pub const TRIAL_PACE: TrialPace = TrialPace { rate: 12.0, max_wait: 1000 * MS };
/// True time at the beginning, in Unix milliseconds.
pub const START_OF_TIME: UnixMillis = 1_000_000_000;

/// What a configuration of this world says beside its base and version: when the trial tenant's trial ends, if it is on
/// trial.
pub fn body(base: u32, version: u32, ends: Option<UnixMillis>) -> Vec<u8> {
    let (base, version, ends) = (base.to_be_bytes(), version.to_be_bytes(), ends.unwrap_or(0).to_be_bytes());
    [base.as_slice(), &version, &ends].concat()
}

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

/// An operator's mind on the trial: mostly it stays.
pub fn next_trial_end(rng: &mut Rng, now: Time, held: Option<UnixMillis>) -> Option<UnixMillis> {
    let now = START_OF_TIME + now / MS;
    match rng.u8(..12) {
        0 => Some(now + rng.u64(..1500)),
        1 => Some(now - rng.u64(..3000)),
        2 => None,
        _ => held.or(Some(now + rng.u64(500..5000))),
    }
}

/// The trial tenant's requests at all gateways.
#[derive(Default)]
pub struct TrialTenant {
    next: u64,
    /// Who waits for its turn, at which gateway.
    queued: BTreeMap<u64, usize>,
    /// Who waits for a unit at each gateway, and since when.
    waiting_for_units: BTreeMap<usize, Vec<Time>>,
    /// Gateways that have heard of no trial by their configuration.
    pub unaware: BTreeSet<usize>,
}

impl TrialTenant {
    /// Nobody knows of a trial yet.
    pub fn new(gateways: usize) -> Self {
        TrialTenant { unaware: (0..gateways).collect(), ..TrialTenant::default() }
    }

    /// Another process begins at this gateway: whoever waited there is gone, and it knows of no trial.
    pub fn restart(&mut self, g: usize) {
        self.queued.retain(|_, gateway| *gateway != g);
        self.waiting_for_units.remove(&g);
        self.unaware.insert(g);
    }

    /// One gateway's turn: `comes`: a new request does.
    pub fn turn(
        &mut self,
        (now, g): (Time, usize),
        comes: bool,
        client: &mut QuotaClient,
        rng: &mut Rng,
        defect: Option<Defect>,
        seen: &mut Observations,
    ) -> Result<(), Violation> {
        // Who hears of the trial neither by the configuration nor by the quota coordinator cannot go by it.
        let blind = self.unaware.contains(&g) && client.is_isolated(now);
        let full = |seen: &mut Observations| if blind { Ok(()) } else { seen.full(now, g, RATE, RATE) };
        let waited = self.waiting_for_units.remove(&g).unwrap_or_default();
        let tries = waited.into_iter().map(Some).chain(comes.then_some(None));
        for since in tries {
            match client.acquire(now, NAME, rng.f64(), since) {
                Decision::Granted => full(seen)?,
                Decision::Refused { .. } => {}
                Decision::Wait { .. } => {
                    self.waiting_for_units.entry(g).or_default().push(since.unwrap_or(now))
                }
                Decision::Throttled { .. }
                    if defect == Some(Defect::FullWhileAlone) && client.is_isolated(now) =>
                {
                    full(seen)?;
                }
                Decision::Throttled { .. } if defect == Some(Defect::PaceIgnored) => {
                    seen.paced(now, TRIAL_PACE)?
                }
                Decision::Throttled { .. } if defect == Some(Defect::RefusedAtOnce) => {
                    seen.refused(now, g, !client.is_isolated(now))?;
                }
                Decision::Throttled { max_wait: wait } => {
                    self.next += 1;
                    let pressing = rng.u8(..4) == 0;
                    let by = pressing.then_some(now + 300 * MS);
                    if client
                        .enqueue(
                            NAME,
                            QueuedRequest {
                                id: self.next,
                                enqueued_at: now,
                                deadline: now + wait,
                                urgent_by: by,
                            },
                        )
                        .is_ok()
                    {
                        self.queued.insert(self.next, g);
                    }
                }
            }
        }
        let probe = client.acquire(now, NAME, 1.0, None);
        if matches!(probe, Decision::Wait { .. }) {
            client.cancel_wait(NAME);
        }
        let slow = matches!(probe, Decision::Throttled { .. });
        while let Some((_, id, word)) = client.next_outcome(now) {
            let known = self.queued.remove(&id).is_some();
            match word {
                // Now and then its client is gone.
                QueueOutcome::Proceed if !known || rng.u8(..20) == 0 => client.return_turn(now, NAME),
                QueueOutcome::Proceed if slow => seen.paced(now, TRIAL_PACE)?,
                QueueOutcome::Proceed => full(seen)?,
                QueueOutcome::Refused { .. } => seen.refused(now, g, !client.is_isolated(now))?,
            }
        }
        Ok(())
    }
}
