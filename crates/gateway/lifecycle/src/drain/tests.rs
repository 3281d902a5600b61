use super::*;

const MS: Time = 1_000_000;

#[test]
fn who_asked_in_the_window_has_the_longest_time_that_the_settings_allow() {
    for longest in [400 * MS, 2500 * MS, 3000 * MS, 4655 * MS] {
        let drain = Drain::new(7000 * MS, longest);
        for at in [0, 171, 400, 500] {
            let now = 7000 * MS + at * MS;
            assert_eq!(drain.wait(now, longest), longest, "{at} ms after it was told");
            assert!(now + longest < drain.end());
        }
    }
}

#[test]
fn a_drain_ends_by_its_most_however_long_requests_may_wait() {
    assert_eq!(Drain::with_limits(MS, 2600 * MS, 10_000 * MS, 5500 * MS).end(), 5501 * MS);
    assert_eq!(Drain::with_limits(0, 2600 * MS, 1500 * MS, 5500 * MS).end(), 4200 * MS);
}

#[test]
fn what_is_whole_later_is_answered_before_the_end() {
    let drain = Drain::new(0, 2500 * MS);
    assert_eq!(drain.end(), 3100 * MS);
    assert_eq!(drain.wait(1000 * MS, 2500 * MS), 2050 * MS);
    assert_eq!(drain.wait(1000 * MS, 300 * MS), 300 * MS, "no longer than its client waits");
    assert_eq!(drain.wait(3080 * MS, 300 * MS), 1, "at once");
}
