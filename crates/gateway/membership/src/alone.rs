//! Whether a member hears so few that it can't tell its own silence from theirs.

use crate::record::Name;
use crate::Time;
use std::collections::BTreeMap;

/// Who was heard in so many periods counts.
const SPAN: Time = 10;
/// Cut off below this part of those whom a healthy member hears.
const PART: f64 = 0.125;

#[derive(Default)]
pub(crate) struct Alone {
    heard: BTreeMap<Name, Time>,
    since: Option<Time>,
    /// Not before it has lived for a span.
    began: Time,
}

impl Alone {
    pub(crate) fn new(now: Time) -> Self {
        Alone { began: now, ..Alone::default() }
    }

    pub(crate) fn heard(&mut self, name: &Name, now: Time) {
        self.heard.insert(name.clone(), now);
    }

    /// What was before does not count: this process was stopped.
    pub(crate) fn begin_again(&mut self, now: Time) {
        self.began = now;
    }

    /// Looks again, with so many others believed to live and a period of this length. `others` dead ones that were
    /// never heard don't count.
    pub(crate) fn look(&mut self, now: Time, others: usize, period: Time) {
        let span = SPAN * period;
        self.heard.retain(|_, at| *at + span > now);
        if others == 0 || now < self.began + span {
            // Nobody is missed.
            if others == 0 {
                self.since = None;
            }
            return;
        }
        // A period brings one that was pinged and, in the mean, one that pinged.
        let draws = 2.0 * SPAN as f64;
        let others = others as f64;
        let expected = others * (1.0 - (1.0 - 1.0 / others).powf(draws));
        let few = (self.heard.len() as f64) < (expected * PART).max(1.0);
        if !few {
            self.since = None;
        } else if self.since.is_none() {
            self.since = Some(now);
        }
    }

    /// Since when it has been cut off, if it is.
    pub(crate) fn since(&self) -> Option<Time> {
        self.since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PERIOD: Time = 200_000_000;
    const S: Time = 1_000_000_000;

    #[test]
    fn who_hears_nobody_is_cut_off_until_it_hears_again() {
        let mut alone = Alone::new(0);
        let other: Name = "b".into();
        alone.heard(&other, S);
        alone.look(S, 1, PERIOD);
        assert_eq!(alone.since(), None);
        alone.look(4 * S, 1, PERIOD);
        alone.look(6 * S, 1, PERIOD);
        assert_eq!(alone.since(), Some(4 * S), "since it was first seen");
        alone.heard(&other, 7 * S);
        alone.look(7 * S, 1, PERIOD);
        assert_eq!(alone.since(), None);
    }

    /// What counts as long ago goes by the period: a fixed 2 s would hold every member with a period of 5 s for cut off.
    #[test]
    fn a_long_period_cuts_nobody_off() {
        let mut alone = Alone::new(0);
        for n in 0..60 {
            let now = n * 5 * S;
            alone.heard(&format!("m{}", n % 3).into(), now);
            alone.look(now + 4 * S, 3, 5 * S);
            assert_eq!(alone.since(), None, "{n}");
        }
    }

    #[test]
    fn two_of_twenty_four_are_cut_off_and_seven_are_not() {
        for (hears, cut) in [(0, true), (1, true), (6, false), (12, false)] {
            let mut alone = Alone::new(0);
            (0..hears).for_each(|n| alone.heard(&format!("m{n}").into(), 3 * S));
            alone.look(3 * S, 23, PERIOD);
            assert_eq!(alone.since().is_some(), cut, "{hears}");
        }
    }
}
