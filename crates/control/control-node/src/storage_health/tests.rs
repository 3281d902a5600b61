//! How a disk stands that refuses, and one that is late.

use super::*;

#[test]
fn full_save_precedes_healthy_storage_at_start_and_after_failures() {
    let mut standing = StorageHealth::new(0);
    assert!(!standing.is_healthy() && standing.is_full_save_due(0));
    assert!(!standing.start_full_save());
    assert_eq!(standing.on_saved(30 * MS), Some(30 * MS));
    assert!(standing.is_healthy() && standing.next_due() == consensus::Time::MAX);
    standing.on_save_skipped();
    assert!(standing.is_healthy(), "nothing is missed while it works");

    // Refused again and again: asked ever more rarely, and it is said every ten seconds.
    let (mut now, mut asked, mut said) = (1000 * MS, 0, 0);
    standing.on_save_failed(now);
    while now < 61_000 * MS {
        now = standing.next_due();
        said += u32::from(standing.take_warning(now).is_some());
        if standing.is_full_save_due(now) {
            asked += 1;
            standing.start_full_save();
            standing.on_save_failed(now);
        }
    }
    assert!((30..40).contains(&asked) && said == 6, "{asked} {said}");

    // What comes meanwhile is saved before it works.
    now = standing.next_due();
    standing.start_full_save();
    standing.on_save_skipped();
    assert_eq!(standing.on_saved(now), None);
    assert!(
        standing.is_full_save_due(now) && standing.start_full_save(),
        "now it is waited for, so that nothing more comes"
    );
    assert_eq!(standing.on_saved(now + MS), Some(now + MS - 1000 * MS));
}

#[test]
fn overdue_save_is_awaited_and_followed_by_a_full_save() {
    let mut standing = StorageHealth::new(0);
    standing.start_full_save();
    standing.on_saved(MS);
    standing.on_save_overdue(500 * MS);
    assert!(!standing.is_healthy() && !standing.is_full_save_due(5000 * MS), "one thing at a time");
    assert_eq!(standing.on_saved(6000 * MS), None, "more may have come");
    assert!(standing.is_full_save_due(6000 * MS) && !standing.start_full_save());
    assert_eq!(standing.on_saved(6030 * MS), Some(5530 * MS));
}
