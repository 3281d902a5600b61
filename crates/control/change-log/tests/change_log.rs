use change_log::{ChangeLog, ChangesOutcome, Offset, SubscriberPosition};

#[test]
fn changes_since_an_offset_or_none_if_too_old() {
    let mut log = ChangeLog::new(7, 3);
    let start = log.end();
    (0..5).for_each(|n| log.append(n));
    let since = |incarnation, position| {
        log.since(Offset { incarnation, position }).map(|changes| changes.copied().collect::<Vec<_>>())
    };
    assert_eq!(since(7, 2), Some(vec![2, 3, 4]));
    assert_eq!(since(7, 5), Some(vec![]));
    assert_eq!(since(7, start.position), None, "too old");
    assert_eq!((since(7, 6), since(8, 5)), (None, None), "beyond the end, or of another incarnation");
}

#[test]
fn subscriber_applies_each_change_once_and_none_after_a_gap() {
    let offset_at = |position| Offset { incarnation: 7, position };
    let mut subscriber = SubscriberPosition::default();
    assert_eq!(subscriber.on_changes(offset_at(0), 2), ChangesOutcome::NeedsSnapshot);
    subscriber.on_snapshot(offset_at(4));
    assert_eq!(subscriber.on_changes(offset_at(4), 2), ChangesOutcome::SkipFirst(0));
    assert_eq!(
        subscriber.on_changes(offset_at(3), 4),
        ChangesOutcome::SkipFirst(3),
        "the first three are already applied"
    );
    assert_eq!(subscriber.on_changes(offset_at(1), 2), ChangesOutcome::SkipFirst(2));
    assert_eq!(subscriber.offset(), Some(offset_at(7)));
    assert_eq!(subscriber.on_changes(offset_at(8), 1), ChangesOutcome::NeedsSnapshot, "one is missing");
    assert_eq!(
        subscriber.on_changes(Offset { incarnation: 9, position: 7 }, 1),
        ChangesOutcome::NeedsSnapshot
    );
}
