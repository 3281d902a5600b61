use configuration::Configuration;
use control_state::{Command, ControlState};
use quota::TrialPace;
use std::collections::BTreeSet;
use trial::{ClockReadings, TenantTerms, Time};

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
    assert_eq!(terms.due_expiries(&book, 2 * S, &clocks, &voters), [], "and one far behind is no majority's");
    clocks.record(2 * S, "c", 100_000);
    assert_eq!(terms.due_expiries(&book, 2 * S, &clocks, &voters), [word]);
    assert_eq!(terms.due_expiries(&book, 9 * S, &clocks, &voters), [], "nobody has been heard for too long");
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
