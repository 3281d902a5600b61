//! A trial tenant, whose trial is continually moved, ended and restored, and how gateways treat its requests.

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
    next_id: u64,
    /// Throttled requests that wait for their turn, and at which gateway.
    queued: BTreeMap<u64, usize>,
    /// Requests that wait for a unit at each gateway, and since when.
    waiting_for_units: BTreeMap<usize, Vec<Time>>,
    /// Gateways that know of no trial from their configuration.
    pub unaware: BTreeSet<usize>,
}

impl TrialTenant {
    /// Creates the tenant; no gateway knows of a trial yet.
    pub fn new(gateways: usize) -> Self {
        TrialTenant { unaware: (0..gateways).collect(), ..TrialTenant::default() }
    }

    /// Restarts a gateway process: the requests that waited there are gone, and it knows of no trial.
    pub fn restart(&mut self, g: usize) {
        self.queued.retain(|_, gateway| *gateway != g);
        self.waiting_for_units.remove(&g);
        self.unaware.insert(g);
    }

    /// Processes one gateway's requests; `has_new_request` adds a new one.
    pub fn process_requests(
        &mut self,
        (now, g): (Time, usize),
        has_new_request: bool,
        client: &mut QuotaClient,
        rng: &mut Rng,
        defect: Option<Defect>,
        observations: &mut Observations,
    ) -> Result<(), Violation> {
        // A gateway that hears of the trial neither from the configuration nor from the quota coordinator cannot
        // enforce it.
        let is_unaware = self.unaware.contains(&g) && client.is_isolated(now);
        let check_full_speed = |observations: &mut Observations| {
            if is_unaware {
                Ok(())
            } else {
                observations.pass_full_speed(now, g, RATE, RATE)
            }
        };
        let waited = self.waiting_for_units.remove(&g).unwrap_or_default();
        let attempts = waited.into_iter().map(Some).chain(has_new_request.then_some(None));
        for since in attempts {
            match client.acquire(now, NAME, rng.f64(), since) {
                Decision::Granted => check_full_speed(observations)?,
                Decision::Refused { .. } => {}
                Decision::Wait { .. } => {
                    self.waiting_for_units.entry(g).or_default().push(since.unwrap_or(now))
                }
                Decision::Throttled { .. }
                    if defect == Some(Defect::FullWhileAlone) && client.is_isolated(now) =>
                {
                    check_full_speed(observations)?;
                }
                Decision::Throttled { .. } if defect == Some(Defect::PaceIgnored) => {
                    observations.pass_throttled(now, TRIAL_PACE)?
                }
                Decision::Throttled { .. } if defect == Some(Defect::RefusedAtOnce) => {
                    observations.refuse_throttled(now, g, !client.is_isolated(now))?;
                }
                Decision::Throttled { max_wait } => {
                    self.next_id += 1;
                    let is_urgent = rng.u8(..4) == 0;
                    let urgent_by = is_urgent.then_some(now + 300 * MS);
                    if client
                        .enqueue(
                            NAME,
                            QueuedRequest {
                                id: self.next_id,
                                enqueued_at: now,
                                deadline: now + max_wait,
                                urgent_by,
                            },
                        )
                        .is_ok()
                    {
                        self.queued.insert(self.next_id, g);
                    }
                }
            }
        }
        let probe = client.acquire(now, NAME, 1.0, None);
        if matches!(probe, Decision::Wait { .. }) {
            client.cancel_wait(NAME);
        }
        let is_throttled = matches!(probe, Decision::Throttled { .. });
        while let Some((_, id, outcome)) = client.next_outcome(now) {
            let known = self.queued.remove(&id).is_some();
            match outcome {
                // Sometimes the client of the request is gone.
                QueueOutcome::Proceed if !known || rng.u8(..20) == 0 => client.return_turn(now, NAME),
                QueueOutcome::Proceed if is_throttled => observations.pass_throttled(now, TRIAL_PACE)?,
                QueueOutcome::Proceed => check_full_speed(observations)?,
                QueueOutcome::Refused { .. } => {
                    observations.refuse_throttled(now, g, !client.is_isolated(now))?
                }
            }
        }
        Ok(())
    }
}
