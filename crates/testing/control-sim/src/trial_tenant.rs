//! A tenant on trial, whose trial is moved, ended and given back all the time, and what gateways make of it.

use crate::defect::Defect;
use crate::rules::{Observations, Violation};
use crate::trial_configuration::{NAME, RATE, TRIAL_PACE};
use crate::{Time, MS};
use fastrand::Rng;
use quota::{Decision, QueueOutcome, QueuedRequest, QuotaClient};
use std::collections::{BTreeMap, BTreeSet};

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
