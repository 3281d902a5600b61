use super::*;

const PROBE_INTERVAL: Time = 200_000_000;
const SECOND: Time = 1_000_000_000;

#[test]
fn a_member_that_hears_nobody_is_isolated_until_it_hears_again() {
    let mut detector = IsolationDetector::new(0);
    let other: Name = "b".into();
    detector.on_heard(&other, SECOND);
    detector.update(SECOND, 1, PROBE_INTERVAL);
    assert_eq!(detector.isolated_since(), None);
    detector.update(4 * SECOND, 1, PROBE_INTERVAL);
    detector.update(6 * SECOND, 1, PROBE_INTERVAL);
    assert_eq!(detector.isolated_since(), Some(4 * SECOND), "since it was first detected");
    detector.on_heard(&other, 7 * SECOND);
    detector.update(7 * SECOND, 1, PROBE_INTERVAL);
    assert_eq!(detector.isolated_since(), None);
}

/// The window scales with the probe interval: a fixed 2 s would count every member with an interval of 5 s as isolated.
#[test]
fn a_long_probe_interval_isolates_nobody() {
    let mut detector = IsolationDetector::new(0);
    for n in 0..60 {
        let now = n * 5 * SECOND;
        detector.on_heard(&format!("m{}", n % 3).into(), now);
        detector.update(now + 4 * SECOND, 3, 5 * SECOND);
        assert_eq!(detector.isolated_since(), None, "{n}");
    }
}

#[test]
fn two_of_twenty_four_are_isolated_and_seven_are_not() {
    for (heard_members, is_isolated) in [(0, true), (1, true), (6, false), (12, false)] {
        let mut detector = IsolationDetector::new(0);
        (0..heard_members).for_each(|n| detector.on_heard(&format!("m{n}").into(), 3 * SECOND));
        detector.update(3 * SECOND, 23, PROBE_INTERVAL);
        assert_eq!(detector.isolated_since().is_some(), is_isolated, "{heard_members}");
    }
}
