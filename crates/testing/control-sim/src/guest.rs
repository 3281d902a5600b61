//! A tenant on trial, whose trial is moved, ended and given back all the time, and what gateways make of it.

use crate::defect::Defect;
use crate::rules::{Broken, Seen};
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
pub const SLOW: TrialPace = TrialPace { rate: 12.0, max_wait: 1000 * MS };
/// True time at the beginning, in Unix milliseconds.
pub const BEGAN: UnixMillis = 1_000_000_000;

/// What a configuration of this world says beside its base and version: when the guest's trial ends, if it is on trial.
pub fn body(base: u32, version: u32, ends: Option<UnixMillis>) -> Vec<u8> {
    let (base, version, ends) = (base.to_be_bytes(), version.to_be_bytes(), ends.unwrap_or(0).to_be_bytes());
    [base.as_slice(), &version, &ends].concat()
}

pub fn ends(body: &[u8]) -> Option<UnixMillis> {
    let ends = body.get(8..16)?.try_into().ok().map(UnixMillis::from_be_bytes)?;
    (ends > 0).then_some(ends)
}

/// The terms of a configuration: the guest's, and those of a tenant that is not on trial.
pub fn terms(body: &[u8]) -> TenantTerms {
    let ends = ends(body);
    let mut limits = BTreeMap::from([(HOT.to_string(), Limit::new(HOT_RATE, HOT_RATE))]);
    let slow = ends.map(|_| SLOW);
    limits.insert(NAME.into(), Limit { after_trial: slow, ..Limit::new(RATE, RATE) });
    TenantTerms {
        limits,
        trial_ends: ends.map(|ends| TrialEnd { tenant: NAME.into(), ends_at: ends }).into_iter().collect(),
    }
}

/// An operator's mind on the trial: mostly it stays.
pub fn moved(rng: &mut Rng, now: Time, held: Option<UnixMillis>) -> Option<UnixMillis> {
    let now = BEGAN + now / MS;
    match rng.u8(..12) {
        0 => Some(now + rng.u64(..1500)),
        1 => Some(now - rng.u64(..3000)),
        2 => None,
        _ => held.or(Some(now + rng.u64(500..5000))),
    }
}

/// The guest's requests at all gateways.
#[derive(Default)]
pub struct Guest {
    next: u64,
    /// Who waits for its turn, at which gateway.
    held: BTreeMap<u64, usize>,
    /// Who waits for a unit at each gateway, and since when.
    waits: BTreeMap<usize, Vec<Time>>,
    /// Gateways that have heard of no trial by their configuration.
    pub unaware: BTreeSet<usize>,
}

impl Guest {
    /// Nobody knows of a trial yet.
    pub fn new(gateways: usize) -> Self {
        Guest { unaware: (0..gateways).collect(), ..Guest::default() }
    }

    /// One gateway's turn: `comes`: a new request does.
    pub fn turn(
        &mut self,
        (now, g): (Time, usize),
        comes: bool,
        desk: &mut QuotaClient,
        rng: &mut Rng,
        defect: Option<Defect>,
        seen: &mut Seen,
    ) -> Result<(), Broken> {
        // Who hears of the trial neither by the configuration nor by the keeper cannot go by it.
        let blind = self.unaware.contains(&g) && desk.is_isolated(now);
        let full = |seen: &mut Seen| if blind { Ok(()) } else { seen.full(now, g, RATE, RATE) };
        let waited = self.waits.remove(&g).unwrap_or_default();
        let tries = waited.into_iter().map(Some).chain(comes.then_some(None));
        for since in tries {
            match desk.acquire(now, NAME, rng.f64(), since) {
                Decision::Granted => full(seen)?,
                Decision::Refused { .. } => {}
                Decision::Wait { .. } => self.waits.entry(g).or_default().push(since.unwrap_or(now)),
                Decision::Throttled { .. }
                    if defect == Some(Defect::FullWhileAlone) && desk.is_isolated(now) =>
                {
                    full(seen)?;
                }
                Decision::Throttled { .. } if defect == Some(Defect::PaceIgnored) => seen.paced(now, SLOW)?,
                Decision::Throttled { .. } if defect == Some(Defect::RefusedAtOnce) => {
                    seen.refused(now, g, !desk.is_isolated(now))?;
                }
                Decision::Throttled { max_wait: wait } => {
                    self.next += 1;
                    let pressing = rng.u8(..4) == 0;
                    let by = pressing.then_some(now + 300 * MS);
                    if desk
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
                        self.held.insert(self.next, g);
                    }
                }
            }
        }
        let probe = desk.acquire(now, NAME, 1.0, None);
        if matches!(probe, Decision::Wait { .. }) {
            desk.cancel_wait(NAME);
        }
        let slow = matches!(probe, Decision::Throttled { .. });
        while let Some((_, id, word)) = desk.next_outcome(now) {
            let known = self.held.remove(&id).is_some();
            match word {
                // Now and then its client is gone.
                QueueOutcome::Proceed if !known || rng.u8(..20) == 0 => desk.return_turn(now, NAME),
                QueueOutcome::Proceed if slow => seen.paced(now, SLOW)?,
                QueueOutcome::Proceed => full(seen)?,
                QueueOutcome::Refused { .. } => seen.refused(now, g, !desk.is_isolated(now))?,
            }
        }
        Ok(())
    }
}
