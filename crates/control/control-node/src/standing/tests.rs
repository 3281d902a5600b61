//! How a disk stands that refuses, and one that is late.

use super::*;

#[test]
fn all_is_saved_once_at_the_start_and_after_each_failure_before_the_disk_counts() {
    let mut standing = Standing::begin(0);
    assert!(!standing.works() && standing.is_due(0));
    assert!(!standing.saving());
    assert_eq!(standing.done(30 * MS), Some(30 * MS));
    assert!(standing.works() && standing.next_due() == consensus::Time::MAX);
    standing.missed();
    assert!(standing.works(), "nothing is missed while it works");

    // Refused again and again: asked ever more rarely, and it is said every ten seconds.
    let (mut now, mut asked, mut said) = (1000 * MS, 0, 0);
    standing.refused(now);
    while now < 61_000 * MS {
        now = standing.next_due();
        said += u32::from(standing.say(now).is_some());
        if standing.is_due(now) {
            asked += 1;
            standing.saving();
            standing.refused(now);
        }
    }
    assert!((30..40).contains(&asked) && said == 6, "{asked} {said}");

    // What comes meanwhile is saved before it works.
    now = standing.next_due();
    standing.saving();
    standing.missed();
    assert_eq!(standing.done(now), None);
    assert!(standing.is_due(now) && standing.saving(), "now it is waited for, so that nothing more comes");
    assert_eq!(standing.done(now + MS), Some(now + MS - 1000 * MS));
}

#[test]
fn a_save_that_is_late_is_waited_for_and_then_all_is_saved() {
    let mut standing = Standing::begin(0);
    standing.saving();
    standing.done(MS);
    standing.late(500 * MS);
    assert!(!standing.works() && !standing.is_due(5000 * MS), "one thing at a time");
    assert_eq!(standing.done(6000 * MS), None, "more may have come");
    assert!(standing.is_due(6000 * MS) && !standing.saving());
    assert_eq!(standing.done(6030 * MS), Some(5530 * MS));
}
