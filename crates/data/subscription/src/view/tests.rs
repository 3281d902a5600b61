//! Tests that a view never reverts, and that an incomplete snapshot removes no live backend.

use super::*;

fn heartbeat(id: &str, sequence: u64, draining: bool) -> Heartbeat {
    let (id, address) = (id.to_string(), format!("{id}:1"));
    Heartbeat { instance: id, address, service: "s".into(), sequence, draining, ..Heartbeat::default() }
}

fn configuration(index: u64) -> Arc<CommittedConfiguration> {
    Arc::new(CommittedConfiguration { version: index as u32, index, body: vec![] })
}

fn snapshot(backends: &[Heartbeat], complete: bool) -> FleetSnapshot {
    FleetSnapshot { backends: backends.to_vec(), complete, ..FleetSnapshot::default() }
}

#[test]
fn view_never_goes_back() {
    let mut view = View::default();
    assert_eq!(view.replace_configuration(configuration(5)).len(), 1);
    assert_eq!(view.apply_snapshot(0, snapshot(&[heartbeat("a", 1, false)], true)).len(), 1);
    assert_eq!(
        view.apply_change(0, FleetChange::BackendDraining("a".into())),
        [ViewChange::BackendDraining("a".into())]
    );
    // Updates of a control node that lags behind: an older configuration, and the backend not yet draining.
    assert_eq!(view.replace_configuration(configuration(4)), []);
    assert_eq!(view.apply_snapshot(0, snapshot(&[heartbeat("a", 3, false)], true)), []);
    assert_eq!(view.apply_change(0, FleetChange::Backend(heartbeat("a", 4, false))), []);
    assert_eq!(
        view.apply_change(0, FleetChange::BackendRemoved("a".into())),
        [ViewChange::BackendRemoved("a".into())]
    );
    assert_eq!(
        view.apply_change(0, FleetChange::Backend(heartbeat("a", 5, false))),
        [],
        "a removed backend stays draining even if it is reported again"
    );
}

#[test]
fn incomplete_snapshot_removes_no_backend_at_once() {
    let mut view = View::default();
    view.apply_snapshot(0, snapshot(&[heartbeat("a", 1, false), heartbeat("b", 1, false)], true));
    assert_eq!(view.apply_snapshot(10, snapshot(&[heartbeat("b", 2, false)], false)), []);
    assert_eq!(view.expire_doubtful(10 + DOUBT_TIMEOUT - 1), []);
    let mut updated = view.clone();
    updated.apply_change(0, FleetChange::Backend(heartbeat("a", 3, false)));
    assert_eq!(updated.expire_doubtful(10 + DOUBT_TIMEOUT), [], "an update has named it since");
    assert_eq!(view.expire_doubtful(10 + DOUBT_TIMEOUT), [ViewChange::BackendRemoved("a".into())]);
    assert_eq!(view.apply_snapshot(20, snapshot(&[], true)), [ViewChange::BackendRemoved("b".into())]);
}

/// Simulation seed 1031: a gateway without a connection for seven seconds removed a live backend with the first
/// update after that, because the backend had been doubtful for too long by then.
#[test]
fn doubtful_backends_are_not_expired_without_a_connection() {
    let mut view = View::default();
    view.apply_snapshot(0, snapshot(&[heartbeat("a", 1, false)], true));
    view.apply_snapshot(10, snapshot(&[], false));
    view.on_connected(DOUBT_TIMEOUT);
    assert_eq!(view.expire_doubtful(10 + DOUBT_TIMEOUT), []);
    assert_eq!(view.expire_doubtful(2 * DOUBT_TIMEOUT), [ViewChange::BackendRemoved("a".into())]);
}

/// Simulation seed 11: a control node that had just started knew of the backend by an earlier heartbeat than the
/// gateway, and the gateway removed the live backend eight seconds later.
#[test]
fn backend_named_again_is_no_longer_doubtful() {
    let mut view = View::default();
    view.apply_snapshot(0, snapshot(&[heartbeat("a", 9, false), heartbeat("b", 9, false)], true));
    view.apply_snapshot(10, snapshot(&[], false));
    assert_eq!(view.apply_change(0, FleetChange::Backend(heartbeat("a", 4, false))), []);
    view.apply_snapshot(20, snapshot(&[heartbeat("b", 4, false)], false));
    view.apply_snapshot(30, snapshot(&[heartbeat("a", 4, false), heartbeat("b", 4, false)], false));
    assert_eq!(view.expire_doubtful(30 + DOUBT_TIMEOUT), []);
    assert!(view.accepts_work("a") && view.accepts_work("b"));
}

#[test]
fn drains_are_remembered_for_known_backends_and_bounded_for_others() {
    let mut view = View::default();
    view.apply_snapshot(0, snapshot(&[heartbeat("old", 1, false), heartbeat("new", 1, false)], true));
    view.apply_change(0, FleetChange::BackendDraining("old".into()));
    for n in 0..MAX_DRAINING + 10 {
        view.apply_change(0, FleetChange::BackendDraining(format!("i-{n}")));
    }
    assert_eq!(view.draining.len(), MAX_DRAINING);
    assert_eq!(
        view.apply_change(0, FleetChange::BackendDraining("new".into())),
        [ViewChange::BackendDraining("new".into())],
        "a drain of a known backend counts even at the limit"
    );
    // The oldest drain is remembered for as long as its backend is known.
    assert_eq!(view.apply_change(0, FleetChange::Backend(heartbeat("old", 2, false))), []);
    assert!(view.draining.contains("old") && !view.draining.contains("i-0"));
    view.apply_change(0, FleetChange::BackendRemoved("old".into()));
    view.apply_change(0, FleetChange::BackendDraining("one more".into()));
    assert!(!view.draining.contains("old"));
}

#[test]
fn drain_known_before_its_backend_counts() {
    let mut view = View::default();
    assert_eq!(view.apply_change(0, FleetChange::BackendDraining("a".into())), []);
    assert_eq!(view.apply_change(0, FleetChange::Backend(heartbeat("a", 1, false))), []);
    assert_eq!(view.apply_change(0, FleetChange::Backend(heartbeat("b", 1, true))), []);
}

fn gateways(names: &[&str]) -> FleetChange {
    FleetChange::Gateways(names.iter().map(ToString::to_string).collect())
}

#[test]
fn shorter_gateway_list_is_accepted_once_proven_to_be_newer() {
    let mut view = View::default();
    assert_eq!(view.apply_change(100, gateways(&["a", "b", "c"])), [ViewChange::Gateways]);
    assert_eq!(
        view.apply_change(200, gateways(&["a", "c"])),
        [],
        "an older list may lack a gateway that was added"
    );
    assert_eq!(view.on_proven(300, 99), [], "the proof is older than the longer list");
    assert_eq!(view.gateways().len(), 3);
    assert_eq!(view.on_proven(400, 100), [ViewChange::Gateways]);
    assert_eq!(view.gateways(), ["a", "c"]);
    assert_eq!(view.on_proven(500, 500), [], "no list is pending");
}

#[test]
fn longer_gateway_list_is_accepted_at_once_and_replaces_an_unproven_one() {
    let mut view = View::default();
    view.apply_change(100, gateways(&["a", "b"]));
    view.apply_change(200, gateways(&["a"]));
    assert!(view.has_unproven_gateways());
    assert_eq!(view.apply_change(300, gateways(&["a", "b", "c"])), [ViewChange::Gateways]);
    assert!(!view.has_unproven_gateways());
    assert_eq!(view.on_proven(400, 400), []);
}

#[test]
fn gateway_list_with_a_replaced_gateway_is_accepted_once_proven() {
    let mut view = View::default();
    view.apply_change(100, gateways(&["a", "b"]));
    assert_eq!(view.apply_change(200, gateways(&["a", "d"])), []);
    assert_eq!(view.on_proven(300, 150), [ViewChange::Gateways]);
    assert_eq!(view.gateways(), ["a", "d"]);
}
