//! Tests of what a new leader knows of the previous quota coordinator.

use super::*;
use crate::MS;

const SECOND: Time = 1000 * MS;

#[test]
fn leader_of_the_term_before_that_was_seen_long_ago_counts_as_such() {
    let mut history = LeaderHistory::default();
    history.record(SECOND, 4);
    history.record(9 * SECOND, 4);
    history.record(10 * SECOND, 5);
    assert_eq!(history.previous_coordinator(10 * SECOND, 5), PreviousCoordinator::LongAgo);
}

#[test]
fn second_change_within_the_span_of_a_limit_is_recent() {
    let mut history = LeaderHistory::default();
    history.record(SECOND, 4);
    history.record(10 * SECOND, 5);
    history.record(15 * SECOND, 6);
    assert_eq!(history.previous_coordinator(15 * SECOND, 6), PreviousCoordinator::Recent);
}

#[test]
fn term_that_nobody_saw_may_have_had_a_coordinator() {
    let mut history = LeaderHistory::default();
    history.record(SECOND, 4);
    history.record(20 * SECOND, 6);
    assert_eq!(history.previous_coordinator(20 * SECOND, 6), PreviousCoordinator::Recent);
}

#[test]
fn process_that_has_seen_no_leader_before_itself_knows_nothing() {
    let mut history = LeaderHistory::default();
    history.record(SECOND, 4);
    assert_eq!(history.previous_coordinator(SECOND, 4), PreviousCoordinator::Unknown);
}
