//! When a trial is over: once the clocks of a majority of the voters say so, so that no single one, however wrong, ends a trial
//! too soon or keeps it from ending. And what tenants may do by a configuration. `docs/design/trials.md`. No I/O.
#![forbid(unsafe_code)]

use configuration::{Configuration, Trial};
use control_state::{Command, ControlState};
use quota::{Limit, TrialPace};
use std::collections::{BTreeMap, BTreeSet};

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;
/// Milliseconds of Unix time, as some machine tells it.
pub type UnixMillis = u64;

/// A reading that is older says nothing any more: a clock that was wrong may be right by now, and another wrong. Machines
/// tell theirs twice a second.
pub const MAX_READING_AGE: Time = 3_000_000_000;
/// Machines whose clocks are remembered; no core has so many.
const MAX_CLOCKS: usize = 64;

/// What machines said of the time of day, each carried on by the own steady clock.
#[derive(Clone, Debug, Default)]
pub struct ClockReadings(BTreeMap<String, (UnixMillis, Time)>);

impl ClockReadings {
    pub fn record(&mut self, now: Time, name: &str, wall: UnixMillis) {
        if self.0.len() < MAX_CLOCKS || self.0.contains_key(name) {
            self.0.insert(name.to_string(), (wall, now));
        }
    }

    /// Whether the clocks of more than half of these are past a moment.
    pub fn are_past(&self, now: Time, voters: &BTreeSet<&str>, moment: UnixMillis) -> bool {
        let is_past = |name: &&&str| {
            self.0.get(**name).is_some_and(|(wall, at)| {
                let since = now.saturating_sub(*at);
                since < MAX_READING_AGE && wall + since / 1_000_000 >= moment
            })
        };
        voters.iter().filter(is_past).count() * 2 > voters.len()
    }
}

/// A trial as far as its end goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialEnd {
    pub tenant: String,
    pub ends_at: UnixMillis,
}

/// What a configuration says of tenants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTerms {
    pub limits: BTreeMap<String, Limit>,
    pub trial_ends: Vec<TrialEnd>,
}

impl TenantTerms {
    pub fn from_configuration(playbill: &Configuration) -> TenantTerms {
        let mut terms = TenantTerms::default();
        for t in &playbill.tenants {
            let slow = t.trial.as_ref().map(pace_after_trial);
            let limit = Limit { rate: t.rate_per_s, burst: t.burst_size, after_trial: slow };
            terms.limits.insert(t.name.clone(), limit);
            let ends = t.trial.as_ref().and_then(Trial::ends_ms);
            terms.trial_ends.extend(ends.map(|ends| TrialEnd { tenant: t.name.clone(), ends_at: ends }));
        }
        terms
    }

    /// Whose trial is over, as agreed on.
    pub fn expired_tenants(&self, book: &ControlState) -> BTreeSet<String> {
        let over = self.trial_ends.iter().filter(|e| book.is_trial_expired(&e.tenant, e.ends_at));
        over.map(|e| e.tenant.clone()).collect()
    }

    /// What is to be agreed on now: trials whose end has passed by the clocks of a majority.
    pub fn due_expiries(
        &self,
        book: &ControlState,
        now: Time,
        clocks: &ClockReadings,
        voters: &BTreeSet<&str>,
    ) -> Vec<Command> {
        let passed = |e: &&TrialEnd| {
            !book.is_trial_expired(&e.tenant, e.ends_at) && clocks.are_past(now, voters, e.ends_at)
        };
        let word = |e: &TrialEnd| Command::ExpireTrial { tenant: e.tenant.clone(), ends_at: e.ends_at };
        self.trial_ends.iter().filter(passed).map(word).collect()
    }
}

fn pace_after_trial(trial: &Trial) -> TrialPace {
    // What is checked when it is agreed on is held to once more where it is used.
    let pace = trial.pace_per_s.clamp(0.001, 1e6);
    TrialPace { rate: pace, max_wait: (trial.wait_ms.clamp(0.0, 10_000.0) * 1e6) as Time }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn terms(ends: &str) -> TenantTerms {
        let text = format!(
            r#"{{"configVersion":"1","routes":[],"services":[],"tenants":[{{"name":"t","apiKeys":["k"],"ratePerS":40,
                "burstSize":40,"trial":{{"endsAt":"{ends}","pacePerS":5}}}},{{"name":"u","apiKeys":["l"]}}]}}"#
        );
        TenantTerms::from_configuration(&Configuration::parse(text.as_bytes()).unwrap())
    }

    #[test]
    fn an_end_has_passed_when_a_majority_says_so_whatever_one_clock_says() {
        let terms = terms("1970-01-01T00:01:40Z");
        let (book, voters) = (ControlState::new(), BTreeSet::from(["a", "b", "c"]));
        let mut clocks = ClockReadings::default();
        clocks.record(0, "a", 9_000_000);
        clocks.record(0, "b", 98_000);
        clocks.record(0, "d", 200_000);
        assert_eq!(terms.due_expiries(&book, S, &clocks, &voters), [], "one is far ahead, one has no vote");
        let word = Command::ExpireTrial { tenant: "t".into(), ends_at: 100_000 };
        assert_eq!(terms.due_expiries(&book, 2 * S, &clocks, &voters), std::slice::from_ref(&word));
        clocks.record(2 * S, "a", 0);
        assert_eq!(
            terms.due_expiries(&book, 2 * S, &clocks, &voters),
            [],
            "and one far behind is no majority's"
        );
        clocks.record(2 * S, "c", 100_000);
        assert_eq!(terms.due_expiries(&book, 2 * S, &clocks, &voters), [word]);
        assert_eq!(
            terms.due_expiries(&book, 9 * S, &clocks, &voters),
            [],
            "nobody has been heard for too long"
        );
    }

    #[test]
    fn what_is_over_is_the_end_that_passed_and_no_later_one() {
        let (old, new) = (terms("1970-01-01T00:01:40Z"), terms("1970-01-01T00:03:20Z"));
        let mut book = ControlState::new();
        book.apply(1, &Command::ExpireTrial { tenant: "t".into(), ends_at: 100_000 });
        assert_eq!(old.expired_tenants(&book), BTreeSet::from(["t".to_string()]));
        assert!(new.expired_tenants(&book).is_empty(), "extended");
        assert_eq!(old.limits["t"].after_trial, Some(TrialPace { rate: 5.0, max_wait: 2 * S }));
        assert_eq!(old.limits["u"].after_trial, None);
    }
}
