//! Nothing goes back, and nothing that lives is ended by a command that is not whole.

use super::*;

fn heartbeat(id: &str, sequence: u64, draining: bool) -> Heartbeat {
    let (id, address) = (id.to_string(), format!("{id}:1"));
    Heartbeat { instance: id, address, service: "s".into(), sequence, draining, ..Heartbeat::default() }
}

fn configuration(index: u64) -> Arc<CommittedConfiguration> {
    Arc::new(CommittedConfiguration { version: index as u32, index, body: vec![] })
}

fn scene(backends: &[Heartbeat], whole: bool) -> FleetSnapshot {
    FleetSnapshot { backends: backends.to_vec(), complete: whole, ..FleetSnapshot::default() }
}

#[test]
fn view_never_goes_back() {
    let mut f = View::default();
    assert_eq!(f.replace_configuration(configuration(5)).len(), 1);
    assert_eq!(f.apply_snapshot(0, scene(&[heartbeat("a", 1, false)], true)).len(), 1);
    assert_eq!(
        f.apply_change(0, FleetChange::BackendDraining("a".into())),
        [ViewChange::BackendDraining("a".into())]
    );
    // A slower control-plane node: an older configuration, and the backend still takes work there.
    assert_eq!(f.replace_configuration(configuration(4)), []);
    assert_eq!(f.apply_snapshot(0, scene(&[heartbeat("a", 3, false)], true)), []);
    assert_eq!(f.apply_change(0, FleetChange::Backend(heartbeat("a", 4, false))), []);
    assert_eq!(
        f.apply_change(0, FleetChange::BackendRemoved("a".into())),
        [ViewChange::BackendRemoved("a".into())]
    );
    assert_eq!(
        f.apply_change(0, FleetChange::Backend(heartbeat("a", 5, false))),
        [],
        "also when it is told as new"
    );
}

#[test]
fn incomplete_snapshot_removes_no_backend_at_once() {
    let mut f = View::default();
    f.apply_snapshot(0, scene(&[heartbeat("a", 1, false), heartbeat("b", 1, false)], true));
    assert_eq!(f.apply_snapshot(10, scene(&[heartbeat("b", 2, false)], false)), []);
    assert_eq!(f.expire_doubtful(10 + DOUBT_TIMEOUT - 1), []);
    let mut told = f.clone();
    told.apply_change(0, FleetChange::Backend(heartbeat("a", 3, false)));
    assert_eq!(told.expire_doubtful(10 + DOUBT_TIMEOUT), [], "it was heard of since");
    assert_eq!(f.expire_doubtful(10 + DOUBT_TIMEOUT), [ViewChange::BackendRemoved("a".into())]);
    assert_eq!(f.apply_snapshot(20, scene(&[], true)), [ViewChange::BackendRemoved("b".into())]);
}

/// `simulation`, seed 1031: a gateway that had no link for seven seconds took a backend that lived for over with the
/// first command behind that, since it had been in doubt for long by then.
#[test]
fn doubtful_backends_are_not_expired_without_a_connection() {
    let mut f = View::default();
    f.apply_snapshot(0, scene(&[heartbeat("a", 1, false)], true));
    f.apply_snapshot(10, scene(&[], false));
    f.on_connected(DOUBT_TIMEOUT);
    assert_eq!(f.expire_doubtful(10 + DOUBT_TIMEOUT), []);
    assert_eq!(f.expire_doubtful(2 * DOUBT_TIMEOUT), [ViewChange::BackendRemoved("a".into())]);
}

/// `simulation`, seed 11: a young control-plane node heard of it by an earlier heartbeat than the one that the gateway
/// knew of, and the gateway took a backend that lived for over eight seconds later.
#[test]
fn backend_named_again_is_no_longer_doubtful() {
    let mut f = View::default();
    f.apply_snapshot(0, scene(&[heartbeat("a", 9, false), heartbeat("b", 9, false)], true));
    f.apply_snapshot(10, scene(&[], false));
    assert_eq!(f.apply_change(0, FleetChange::Backend(heartbeat("a", 4, false))), []);
    f.apply_snapshot(20, scene(&[heartbeat("b", 4, false)], false));
    f.apply_snapshot(30, scene(&[heartbeat("a", 4, false), heartbeat("b", 4, false)], false));
    assert_eq!(f.expire_doubtful(30 + DOUBT_TIMEOUT), []);
    assert!(f.accepts_work("a") && f.accepts_work("b"));
}

#[test]
fn drains_are_remembered_for_known_backends_and_bounded_for_others() {
    let mut f = View::default();
    f.apply_snapshot(0, scene(&[heartbeat("old", 1, false), heartbeat("new", 1, false)], true));
    f.apply_change(0, FleetChange::BackendDraining("old".into()));
    for n in 0..MAX_DRAINING + 10 {
        f.apply_change(0, FleetChange::BackendDraining(format!("i-{n}")));
    }
    assert_eq!(f.draining.len(), MAX_DRAINING);
    assert_eq!(
        f.apply_change(0, FleetChange::BackendDraining("new".into())),
        [ViewChange::BackendDraining("new".into())],
        "though all is full"
    );
    // The first is remembered for as long as it is there.
    assert_eq!(f.apply_change(0, FleetChange::Backend(heartbeat("old", 2, false))), []);
    assert!(f.draining.contains("old") && !f.draining.contains("i-0"));
    f.apply_change(0, FleetChange::BackendRemoved("old".into()));
    f.apply_change(0, FleetChange::BackendDraining("one more".into()));
    assert!(!f.draining.contains("old"));
}

#[test]
fn drain_known_before_its_backend_counts() {
    let mut f = View::default();
    assert_eq!(f.apply_change(0, FleetChange::BackendDraining("a".into())), []);
    assert_eq!(f.apply_change(0, FleetChange::Backend(heartbeat("a", 1, false))), []);
    assert_eq!(f.apply_change(0, FleetChange::Backend(heartbeat("b", 1, true))), []);
}

fn gateways(names: &[&str]) -> FleetChange {
    FleetChange::Gateways(names.iter().map(ToString::to_string).collect())
}

#[test]
fn fewer_gateways_count_once_the_node_has_proven_that_they_are_newer() {
    let mut view = View::default();
    assert_eq!(view.apply_change(100, gateways(&["a", "b", "c"])), [ViewChange::Gateways]);
    assert_eq!(
        view.apply_change(200, gateways(&["a", "c"])),
        [],
        "an older list may lack the one that was added"
    );
    assert_eq!(view.on_proven(300, 99), [], "committed before the longer list was told");
    assert_eq!(view.gateways().len(), 3);
    assert_eq!(view.on_proven(400, 100), [ViewChange::Gateways]);
    assert_eq!(view.gateways(), ["a", "c"]);
    assert_eq!(view.on_proven(500, 500), [], "nothing is left to prove");
}

#[test]
fn more_gateways_count_at_once_and_replace_what_was_not_proven() {
    let mut view = View::default();
    view.apply_change(100, gateways(&["a", "b"]));
    view.apply_change(200, gateways(&["a"]));
    assert!(view.has_unproven_gateways());
    assert_eq!(view.apply_change(300, gateways(&["a", "b", "c"])), [ViewChange::Gateways]);
    assert!(!view.has_unproven_gateways());
    assert_eq!(view.on_proven(400, 400), []);
}

#[test]
fn another_gateway_in_place_of_one_that_was_removed_counts_once_proven() {
    let mut view = View::default();
    view.apply_change(100, gateways(&["a", "b"]));
    assert_eq!(view.apply_change(200, gateways(&["a", "d"])), []);
    assert_eq!(view.on_proven(300, 150), [ViewChange::Gateways]);
    assert_eq!(view.gateways(), ["a", "d"]);
}
