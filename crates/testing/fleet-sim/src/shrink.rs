//! Reduces a failing run: removes faults, customers and time while the same rule still breaks.

use crate::spec::Spec;
use crate::world::play_with_cuts;
use crate::Violation;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of halvings of a delay: 7 halvings turn 4 s into 31 ms.
const MAX_HALVINGS: u32 = 7;

/// Parts removed from a world. Each fault and each request has a random stream of its own, so removing one
/// leaves the others unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cuts {
    /// Removed faults by number, counted from 0.
    pub faults: BTreeSet<u64>,
    pub customers: BTreeSet<usize>,
    /// Number of times the delays that follow a fault are halved, keyed by the fault's number.
    pub delay_halvings: BTreeMap<u64, u32>,
}

/// The smallest failing run found, and the number of runs it took to find it.
#[derive(Debug)]
pub struct ShrunkStory {
    pub spec: Spec,
    pub cuts: Cuts,
    pub violation: Violation,
    pub faults_left: u64,
    pub customers_left: usize,
    pub plays: u64,
}

/// Shrinks the run of this seed; `None` if it breaks no rule.
pub fn shrink(spec: &Spec, seed: u64) -> Option<ShrunkStory> {
    let first = play_with_cuts(spec, seed, false, &Cuts::default());
    let violation = first.violation?;
    let mut small = ShrunkStory {
        spec: spec.clone(),
        cuts: Cuts::default(),
        violation,
        faults_left: first.stats.faults,
        customers_left: spec.customers,
        plays: 1,
    };
    // Time after the violation is irrelevant.
    let seconds = small.violation.at / 1_000_000_000 + 1;
    let spec = Spec { seconds: seconds.min(spec.seconds), ..spec.clone() };
    small.try_cuts(seed, spec, Cuts::default());
    let all: Vec<u64> = (0..first.stats.faults).collect();
    small.remove_chunks(seed, &all, |cuts, n| cuts.faults.extend([n]));
    let all: Vec<u64> = (0..small.spec.customers as u64).collect();
    small.remove_chunks(seed, &all, |cuts, n| cuts.customers.extend([n as usize]));
    small.shorten_delays(seed, first.stats.faults);
    small.faults_left = first.stats.faults - small.cuts.faults.len() as u64;
    small.customers_left = small.spec.customers - small.cuts.customers.len();
    Some(small)
}

impl ShrunkStory {
    /// Adopts these cuts if the same rule still breaks with them.
    fn try_cuts(&mut self, seed: u64, spec: Spec, cuts: Cuts) -> bool {
        self.plays += 1;
        let found = play_with_cuts(&spec, seed, false, &cuts).violation;
        match found.filter(|v| v.rule == self.violation.rule) {
            Some(violation) => {
                (self.violation, self.spec, self.cuts) = (violation, spec, cuts);
                true
            }
            None => false,
        }
    }

    /// Halves the delays that follow each remaining fault, as long as the rule still breaks.
    fn shorten_delays(&mut self, seed: u64, faults: u64) {
        for fault in (0..faults).filter(|n| !self.cuts.faults.contains(n)).collect::<Vec<_>>() {
            for halvings in 1..=MAX_HALVINGS {
                let mut cuts = self.cuts.clone();
                cuts.delay_halvings.insert(fault, halvings);
                if !self.try_cuts(seed, self.spec.clone(), cuts) {
                    break;
                }
            }
        }
    }

    /// Removes halves first, then smaller chunks, down to single items (delta debugging, Zeller and
    /// Hildebrandt 2002).
    fn remove_chunks(&mut self, seed: u64, all: &[u64], cut: fn(&mut Cuts, u64)) {
        let mut part = all.len().div_ceil(2);
        while part > 0 {
            for some in all.chunks(part) {
                let mut cuts = self.cuts.clone();
                some.iter().for_each(|n| cut(&mut cuts, *n));
                if cuts != self.cuts {
                    self.try_cuts(seed, self.spec.clone(), cuts);
                }
            }
            part = if part == 1 { 0 } else { part.div_ceil(2) };
        }
    }
}
