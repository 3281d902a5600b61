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
fn trial_expires_by_a_majority_of_clocks() {
    let terms = terms("1970-01-01T00:01:40Z");
    let (state, voters) = (ControlState::new(), BTreeSet::from(["a", "b", "c"]));
    let mut clocks = ClockReadings::default();
    clocks.record(0, "a", 9_000_000);
    clocks.record(0, "b", 98_000);
    clocks.record(0, "d", 200_000);
    assert_eq!(
        terms.due_expiries(&state, S, &clocks, &voters),
        [],
        "one voter's clock is far ahead; the other clock past the end is no voter's"
    );
    let command = Command::ExpireTrial { tenant: "t".into(), ends_at: 100_000 };
    assert_eq!(terms.due_expiries(&state, 2 * S, &clocks, &voters), std::slice::from_ref(&command));
    clocks.record(2 * S, "a", 0);
    assert_eq!(
        terms.due_expiries(&state, 2 * S, &clocks, &voters),
        [],
        "one clock far behind leaves no majority"
    );
    clocks.record(2 * S, "c", 100_000);
    assert_eq!(terms.due_expiries(&state, 2 * S, &clocks, &voters), [command]);
    assert_eq!(terms.due_expiries(&state, 9 * S, &clocks, &voters), [], "all readings are too old");
}

#[test]
fn only_the_end_that_passed_is_expired() {
    let (old, new) = (terms("1970-01-01T00:01:40Z"), terms("1970-01-01T00:03:20Z"));
    let mut state = ControlState::new();
    state.apply(1, &Command::ExpireTrial { tenant: "t".into(), ends_at: 100_000 });
    assert_eq!(old.expired_tenants(&state), BTreeSet::from(["t".to_string()]));
    assert!(new.expired_tenants(&state).is_empty(), "trial was extended");
    assert_eq!(old.limits["t"].after_trial, Some(TrialPace { rate: 5.0, max_wait: 2 * S }));
    assert_eq!(old.limits["u"].after_trial, None);
}
