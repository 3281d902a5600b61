use change_log::{ChangeLog, ChangesOutcome, Offset, SubscriberPosition};

#[test]
fn changes_since_an_offset_or_none_if_too_old() {
    let mut log = ChangeLog::new(7, 3);
    let start = log.end();
    (0..5).for_each(|n| log.append(n));
    let since = |life, at| {
        log.since(Offset { incarnation: life, position: at }).map(|c| c.copied().collect::<Vec<_>>())
    };
    assert_eq!(since(7, 2), Some(vec![2, 3, 4]));
    assert_eq!(since(7, 5), Some(vec![]));
    assert_eq!(since(7, start.position), None, "too old");
    assert_eq!((since(7, 6), since(8, 5)), (None, None), "of another life");
}

#[test]
fn follower_applies_each_change_once_and_none_behind_a_gap() {
    let at = |at| Offset { incarnation: 7, position: at };
    let mut f = SubscriberPosition::default();
    assert_eq!(f.on_changes(at(0), 2), ChangesOutcome::NeedsSnapshot);
    f.on_snapshot(at(4));
    assert_eq!(f.on_changes(at(4), 2), ChangesOutcome::SkipFirst(0));
    assert_eq!(f.on_changes(at(3), 4), ChangesOutcome::SkipFirst(3), "the first three are known");
    assert_eq!(f.on_changes(at(1), 2), ChangesOutcome::SkipFirst(2));
    assert_eq!(f.offset(), Some(at(7)));
    assert_eq!(f.on_changes(at(8), 1), ChangesOutcome::NeedsSnapshot, "one is missing");
    assert_eq!(f.on_changes(Offset { incarnation: 9, position: 7 }, 1), ChangesOutcome::NeedsSnapshot);
}
