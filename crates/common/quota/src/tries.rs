//! Further tries: each gateway earns them by its own requests, and holds few, so that all together stay within the
//! budget without a word between them.

use std::collections::BTreeMap;

/// The part of the allowed ratio that is used: windows slide, and what is earned in one may be spent in the next.
const USED_RATIO: f64 = 0.5;
/// The most that one gateway holds for a service.
const MAX_BALANCE: f64 = 2.0;

/// Further tries that may be made, by service. Nothing is there at the start: whoever is started again and again earns no
/// more than one that runs.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balances: BTreeMap<usize, f64>,
}

impl RetryBudget {
    /// `ratio`: what is allowed for each request.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio: ratio.max(0.0), balances: BTreeMap::new() }
    }

    /// A request for this service was sent for the first time.
    pub fn deposit(&mut self, service: usize) {
        let held = self.balances.entry(service).or_default();
        *held = (*held + USED_RATIO * self.ratio).min(MAX_BALANCE);
    }

    /// One more try, if there is one.
    pub fn withdraw(&mut self, service: usize) -> bool {
        let held = self.balances.entry(service).or_default();
        let there = *held >= 1.0;
        if there {
            *held -= 1.0;
        }
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn gateways_together_stay_within_the_retry_ratio() {
        let (gateways, requests) = (13, 100);
        let mut spent = 0;
        for _ in 0..gateways {
            let mut tries = RetryBudget::new(0.2);
            for _ in 0..requests {
                tries.deposit(0);
                spent += u32::from(tries.withdraw(0));
            }
        }
        assert!(spent > 0 && f64::from(spent) <= 0.2 * f64::from(gateways * requests));
        let mut tries = RetryBudget::new(0.2);
        (0..1000).for_each(|_| tries.deposit(7));
        assert_eq!((0..10).filter(|_| tries.withdraw(7)).count(), 2, "no more than two are held");
        assert!(!tries.withdraw(8), "another service's are another's");
    }
}
