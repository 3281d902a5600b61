//! Tests of storage health with failing and with slow saves.

use super::*;

#[test]
fn full_save_precedes_healthy_storage_at_start_and_after_failures() {
    let mut health = StorageHealth::new(0);
    assert!(!health.is_healthy() && health.is_full_save_due(0));
    assert!(!health.start_full_save());
    assert_eq!(health.on_saved(30 * MS), Some(30 * MS));
    assert!(health.is_healthy() && health.next_due() == consensus::Time::MAX);
    health.on_save_skipped();
    assert!(health.is_healthy(), "healthy storage skips no changes");

    // Repeated failures: attempts back off, and a warning is logged every ten seconds.
    let (mut now, mut attempts, mut warnings) = (1000 * MS, 0, 0);
    health.on_save_failed(now);
    while now < 61_000 * MS {
        now = health.next_due();
        warnings += u32::from(health.take_warning(now).is_some());
        if health.is_full_save_due(now) {
            attempts += 1;
            health.start_full_save();
            health.on_save_failed(now);
        }
    }
    assert!((30..40).contains(&attempts) && warnings == 6, "{attempts} attempts, {warnings} warnings");

    // A change that arrives during a full save is saved before storage counts as healthy.
    now = health.next_due();
    health.start_full_save();
    health.on_save_skipped();
    assert_eq!(health.on_saved(now), None);
    assert!(
        health.is_full_save_due(now) && health.start_full_save(),
        "inputs wait for the second full save, so that no changes arrive while it runs"
    );
    assert_eq!(health.on_saved(now + MS), Some(now + MS - 1000 * MS));
}

#[test]
fn overdue_save_is_awaited_and_followed_by_a_full_save() {
    let mut health = StorageHealth::new(0);
    health.start_full_save();
    health.on_saved(MS);
    health.on_save_overdue(500 * MS);
    assert!(!health.is_healthy() && !health.is_full_save_due(5000 * MS), "the overdue save is awaited first");
    assert_eq!(health.on_saved(6000 * MS), None, "changes may have arrived while the save was overdue");
    assert!(health.is_full_save_due(6000 * MS) && !health.start_full_save());
    assert_eq!(health.on_saved(6030 * MS), Some(5530 * MS));
}
