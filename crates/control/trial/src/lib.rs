//! When a trial is over: once the clocks of a majority of the voters say so, so that no single one, however wrong, ends a trial
//! too soon or keeps it from ending. And what tenants may do by a configuration. `docs/design/trials.md`. No I/O.
#![forbid(unsafe_code)]

use configuration::{Playbill, Trial};
use control_state::{Book, Word};
use quota::{Limit, Slow};
use std::collections::{BTreeMap, BTreeSet};

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;
/// Milliseconds of Unix time, as some machine tells it.
pub type Wall = u64;

/// A reading that is older says nothing any more: a clock that was wrong may be right by now, and another wrong. Machines
/// tell theirs twice a second.
pub const OLD: Time = 3_000_000_000;
/// Machines whose clocks are remembered; no core has so many.
const MOST: usize = 64;

/// What machines said of the time of day, each carried on by the own steady clock.
#[derive(Clone, Debug, Default)]
pub struct Clocks(BTreeMap<String, (Wall, Time)>);

impl Clocks {
    pub fn hear(&mut self, now: Time, name: &str, wall: Wall) {
        if self.0.len() < MOST || self.0.contains_key(name) {
            self.0.insert(name.to_string(), (wall, now));
        }
    }

    /// Whether the clocks of more than half of these are past a moment.
    pub fn are_past(&self, now: Time, voters: &BTreeSet<&str>, moment: Wall) -> bool {
        let is_past = |name: &&&str| {
            self.0.get(**name).is_some_and(|(wall, at)| {
                let since = now.saturating_sub(*at);
                since < OLD && wall + since / 1_000_000 >= moment
            })
        };
        voters.iter().filter(is_past).count() * 2 > voters.len()
    }
}

/// A trial as far as its end goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    pub tenant: String,
    pub ends: Wall,
}

/// What a configuration says of tenants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    pub limits: BTreeMap<String, Limit>,
    pub endings: Vec<Ending>,
}

impl Terms {
    pub fn of(playbill: &Playbill) -> Terms {
        let mut terms = Terms::default();
        for t in &playbill.tenants {
            let slow = t.trial.as_ref().map(slow);
            let limit = Limit { rate: t.rate_per_s, burst: t.burst_size, slow };
            terms.limits.insert(t.name.clone(), limit);
            let ends = t.trial.as_ref().and_then(Trial::ends_ms);
            terms.endings.extend(ends.map(|ends| Ending { tenant: t.name.clone(), ends }));
        }
        terms
    }

    /// Whose trial is over, as agreed on.
    pub fn over(&self, book: &Book) -> BTreeSet<String> {
        let over = self.endings.iter().filter(|e| book.is_over(&e.tenant, e.ends));
        over.map(|e| e.tenant.clone()).collect()
    }

    /// What is to be agreed on now: trials whose end has passed by the clocks of a majority.
    pub fn due(&self, book: &Book, now: Time, clocks: &Clocks, voters: &BTreeSet<&str>) -> Vec<Word> {
        let passed = |e: &&Ending| !book.is_over(&e.tenant, e.ends) && clocks.are_past(now, voters, e.ends);
        let word = |e: &Ending| Word::TrialOver { tenant: e.tenant.clone(), ends: e.ends };
        self.endings.iter().filter(passed).map(word).collect()
    }
}

fn slow(trial: &Trial) -> Slow {
    // What is checked when it is agreed on is held to once more where it is used.
    let pace = trial.pace_per_s.clamp(0.001, 1e6);
    Slow { pace, wait: (trial.wait_ms.clamp(0.0, 10_000.0) * 1e6) as Time }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn terms(ends: &str) -> Terms {
        let text = format!(
            r#"{{"configVersion":"1","routes":[],"services":[],"tenants":[{{"name":"t","apiKeys":["k"],"ratePerS":40,
                "burstSize":40,"trial":{{"endsAt":"{ends}","pacePerS":5}}}},{{"name":"u","apiKeys":["l"]}}]}}"#
        );
        Terms::of(&Playbill::read(text.as_bytes()).unwrap())
    }

    #[test]
    fn an_end_has_passed_when_a_majority_says_so_whatever_one_clock_says() {
        let terms = terms("1970-01-01T00:01:40Z");
        let (book, voters) = (Book::new(), BTreeSet::from(["a", "b", "c"]));
        let mut clocks = Clocks::default();
        clocks.hear(0, "a", 9_000_000);
        clocks.hear(0, "b", 98_000);
        clocks.hear(0, "d", 200_000);
        assert_eq!(terms.due(&book, S, &clocks, &voters), [], "one is far ahead, one has no vote");
        let word = Word::TrialOver { tenant: "t".into(), ends: 100_000 };
        assert_eq!(terms.due(&book, 2 * S, &clocks, &voters), std::slice::from_ref(&word));
        clocks.hear(2 * S, "a", 0);
        assert_eq!(terms.due(&book, 2 * S, &clocks, &voters), [], "and one far behind is no majority's");
        clocks.hear(2 * S, "c", 100_000);
        assert_eq!(terms.due(&book, 2 * S, &clocks, &voters), [word]);
        assert_eq!(terms.due(&book, 9 * S, &clocks, &voters), [], "nobody has been heard for too long");
    }

    #[test]
    fn what_is_over_is_the_end_that_passed_and_no_later_one() {
        let (old, new) = (terms("1970-01-01T00:01:40Z"), terms("1970-01-01T00:03:20Z"));
        let mut book = Book::new();
        book.apply(1, &Word::TrialOver { tenant: "t".into(), ends: 100_000 });
        assert_eq!(old.over(&book), BTreeSet::from(["t".to_string()]));
        assert!(new.over(&book).is_empty(), "extended");
        assert_eq!(old.limits["t"].slow, Some(Slow { pace: 5.0, wait: 2 * S }));
        assert_eq!(old.limits["u"].slow, None);
    }
}
