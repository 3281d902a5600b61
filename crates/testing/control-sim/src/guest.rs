//! A tenant on trial, whose trial is moved, ended and given back all the time, and what gateways make of it.

use crate::defect::Defect;
use crate::rules::{Broken, Seen};
use crate::{Time, MS};
use fastrand::Rng;
use quota::{Desk, Limit, Slow, Verdict, Waiter, Word};
use std::collections::{BTreeMap, BTreeSet};
use trial::{Ending, Terms, Wall};

/// A tenant whose requests come through all gateways, and its limit.
pub const HOT: &str = "t";
pub const HOT_RATE: f64 = 120.0;
pub const NAME: &str = "guest";
const RATE: f64 = 60.0;
pub const SLOW: Slow = Slow { pace: 12.0, wait: 1000 * MS };
/// True time at the beginning, in Unix milliseconds.
pub const BEGAN: Wall = 1_000_000_000;

/// What a configuration of this world says beside its base and version: when the guest's trial ends, if it is on trial.
pub fn body(base: u32, version: u32, ends: Option<Wall>) -> Vec<u8> {
    let (base, version, ends) = (base.to_be_bytes(), version.to_be_bytes(), ends.unwrap_or(0).to_be_bytes());
    [base.as_slice(), &version, &ends].concat()
}

pub fn ends(body: &[u8]) -> Option<Wall> {
    let ends = body.get(8..16)?.try_into().ok().map(Wall::from_be_bytes)?;
    (ends > 0).then_some(ends)
}

/// The terms of a configuration: the guest's, and those of a tenant that is not on trial.
pub fn terms(body: &[u8]) -> Terms {
    let ends = ends(body);
    let mut limits = BTreeMap::from([(HOT.to_string(), Limit::new(HOT_RATE, HOT_RATE))]);
    let slow = ends.map(|_| SLOW);
    limits.insert(NAME.into(), Limit { slow, ..Limit::new(RATE, RATE) });
    Terms { limits, endings: ends.map(|ends| Ending { tenant: NAME.into(), ends }).into_iter().collect() }
}

/// An operator's mind on the trial: mostly it stays.
pub fn moved(rng: &mut Rng, now: Time, held: Option<Wall>) -> Option<Wall> {
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
        desk: &mut Desk,
        rng: &mut Rng,
        defect: Option<Defect>,
        seen: &mut Seen,
    ) -> Result<(), Broken> {
        // Who hears of the trial neither by the configuration nor by the keeper cannot go by it.
        let blind = self.unaware.contains(&g) && desk.is_alone(now);
        let full = |seen: &mut Seen| if blind { Ok(()) } else { seen.full(now, g, RATE, RATE) };
        let waited = self.waits.remove(&g).unwrap_or_default();
        let tries = waited.into_iter().map(Some).chain(comes.then_some(None));
        for since in tries {
            match desk.spend(now, NAME, rng.f64(), since) {
                Verdict::Granted => full(seen)?,
                Verdict::Refused { .. } => {}
                Verdict::Wait { .. } => self.waits.entry(g).or_default().push(since.unwrap_or(now)),
                Verdict::Slowed { .. } if defect == Some(Defect::FullWhileAlone) && desk.is_alone(now) => {
                    full(seen)?;
                }
                Verdict::Slowed { .. } if defect == Some(Defect::PaceIgnored) => seen.paced(now, SLOW)?,
                Verdict::Slowed { .. } if defect == Some(Defect::RefusedAtOnce) => {
                    seen.refused(now, g, !desk.is_alone(now))?;
                }
                Verdict::Slowed { wait } => {
                    self.next += 1;
                    let pressing = rng.u8(..4) == 0;
                    let by = pressing.then_some(now + 300 * MS);
                    if desk.enter(NAME, Waiter { id: self.next, since: now, until: now + wait, by }).is_ok() {
                        self.held.insert(self.next, g);
                    }
                }
            }
        }
        let probe = desk.spend(now, NAME, 1.0, None);
        if matches!(probe, Verdict::Wait { .. }) {
            desk.left(NAME);
        }
        let slow = matches!(probe, Verdict::Slowed { .. });
        while let Some((_, id, word)) = desk.poll(now) {
            let known = self.held.remove(&id).is_some();
            match word {
                // Now and then its client is gone.
                Word::Go if !known || rng.u8(..20) == 0 => desk.again(now, NAME),
                Word::Go if slow => seen.paced(now, SLOW)?,
                Word::Go => full(seen)?,
                Word::Refused { .. } => seen.refused(now, g, !desk.is_alone(now))?,
            }
        }
        Ok(())
    }
}
