use registry::{Heartbeat, HeartbeatOutcome, Time, ZoneRegistry};

const S: Time = 1_000_000_000;

fn fact(id: &str, address: &str, sequence: u64) -> Heartbeat {
    Heartbeat { instance: id.into(), address: address.into(), sequence, ..Heartbeat::default() }
}

#[test]
fn a_late_beat_changes_nothing_and_who_drains_drains() {
    let mut cell = ZoneRegistry::new(S, 0);
    assert_eq!(cell.on_heartbeat(0, fact("a", "x", 1)), HeartbeatOutcome::New);
    let draining = Heartbeat { draining: true, ..fact("a", "x", 4) };
    assert_eq!(cell.on_heartbeat(S, draining), HeartbeatOutcome::Changed);
    assert_eq!(cell.on_heartbeat(S, fact("a", "x", 3)), HeartbeatOutcome::Stale);
    assert_eq!(cell.on_heartbeat(S, fact("a", "x", 5)), HeartbeatOutcome::Unchanged);
    assert!(cell.get("a").unwrap().draining);
}

#[test]
fn whoever_stood_at_an_address_is_over_when_another_comes_there() {
    let mut cell = ZoneRegistry::new(S, 0);
    cell.on_heartbeat(0, fact("a", "x", 9));
    assert_eq!(cell.on_heartbeat(S, fact("b", "x", 1)), HeartbeatOutcome::New);
    assert_eq!(cell.heartbeats().map(|f| f.instance.as_str()).collect::<Vec<_>>(), ["b"]);
}

/// `rehearsal`, seed 4119: a prompter told another of a life that it had not heard for long, and the one that stood at that address
/// by then was taken for over.
#[test]
fn nobody_is_told_of_who_has_not_beat_of_late() {
    let mut cell = ZoneRegistry::new(S, 0);
    cell.on_heartbeat(0, fact("a", "x", 1));
    cell.on_heartbeat(0, fact("b", "y", 1));
    cell.confirm_alive(0, "a");
    let living =
        |cell: &ZoneRegistry, at| cell.recently_alive(at).map(|f| f.instance.clone()).collect::<Vec<_>>();
    assert_eq!(living(&cell, S), ["a"], "of the other there was only another's word");
    cell.restart_expiry_timers(2 * S);
    assert!(living(&cell, 2 * S).is_empty(), "its time begins anew, and yet it may have ended");
    cell.on_forwarded_heartbeat(2 * S, "b", 2);
    assert_eq!(living(&cell, 2 * S), ["b"]);
}

#[test]
fn who_is_silent_is_over_and_a_young_cell_says_that_it_is() {
    let mut cell = ZoneRegistry::new(S, 10 * S);
    cell.on_heartbeat(10 * S, fact("a", "x", 1));
    cell.on_heartbeat(10 * S, fact("b", "y", 1));
    assert!(!cell.is_complete(12 * S) && cell.is_complete(14 * S));
    assert!(cell.on_forwarded_heartbeat(13 * S, "b", 2) && !cell.on_forwarded_heartbeat(13 * S, "c", 2));
    assert_eq!(cell.expire_stale(14 * S), ["a"]);
    assert_eq!(cell.heartbeats().count(), 1);
}

#[test]
fn who_was_silent_while_nobody_could_be_heard_is_not_over() {
    let mut cell = ZoneRegistry::new(S, 0);
    cell.on_heartbeat(0, fact("a", "x", 1));
    // Cut off, or standing still, for twenty seconds.
    cell.restart_expiry_timers(20 * S);
    assert_eq!(cell.expire_stale(20 * S), Vec::<String>::new());
    assert!(!cell.is_complete(20 * S), "what others heard meanwhile is not known here");
    assert_eq!(cell.expire_stale(23 * S), Vec::<String>::new());
    assert_eq!(cell.expire_stale(24 * S), ["a"], "its time begins anew");
    assert!(cell.is_complete(24 * S));
}
