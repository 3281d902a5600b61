use super::*;

const PERIOD: Time = 200_000_000;
const S: Time = 1_000_000_000;

#[test]
fn who_hears_nobody_is_cut_off_until_it_hears_again() {
    let mut alone = IsolationDetector::new(0);
    let other: Name = "b".into();
    alone.on_heard(&other, S);
    alone.update(S, 1, PERIOD);
    assert_eq!(alone.isolated_since(), None);
    alone.update(4 * S, 1, PERIOD);
    alone.update(6 * S, 1, PERIOD);
    assert_eq!(alone.isolated_since(), Some(4 * S), "since it was first seen");
    alone.on_heard(&other, 7 * S);
    alone.update(7 * S, 1, PERIOD);
    assert_eq!(alone.isolated_since(), None);
}

/// What counts as long ago goes by the period: a fixed 2 s would hold every member with a period of 5 s for cut off.
#[test]
fn a_long_period_cuts_nobody_off() {
    let mut alone = IsolationDetector::new(0);
    for n in 0..60 {
        let now = n * 5 * S;
        alone.on_heard(&format!("m{}", n % 3).into(), now);
        alone.update(now + 4 * S, 3, 5 * S);
        assert_eq!(alone.isolated_since(), None, "{n}");
    }
}

#[test]
fn two_of_twenty_four_are_cut_off_and_seven_are_not() {
    for (hears, cut) in [(0, true), (1, true), (6, false), (12, false)] {
        let mut alone = IsolationDetector::new(0);
        (0..hears).for_each(|n| alone.on_heard(&format!("m{n}").into(), 3 * S));
        alone.update(3 * S, 23, PERIOD);
        assert_eq!(alone.isolated_since().is_some(), cut, "{hears}");
    }
}
