//! What proves that a control-plane node holds all that is agreed on, and what does not.

use change_log::QuorumContact;

const MS: u64 = 1_000_000;

#[test]
fn round_trip_proves_what_the_leader_knew_when_it_answered() {
    let mut c = QuorumContact::default();
    c.on_applied(7);
    let ask = c.request(1000 * MS);
    c.on_response(ask, 120 * MS, 7);
    assert_eq!(
        c.last_contact(),
        Some(880 * MS),
        "counted from when it was asked, less the majority's own age"
    );
    c.on_response(ask, 0, 7);
    assert_eq!(c.last_contact(), Some(880 * MS), "an answer counts once");
    c.on_response(99, 0, 7);
    assert_eq!(c.last_contact(), Some(880 * MS), "nobody asked that");
}

#[test]
fn node_that_hears_the_leader_but_lags_has_no_contact() {
    let mut c = QuorumContact::default();
    c.on_applied(7);
    // It comes back after a long time: the log is on its way, and asks are answered meanwhile.
    for n in 0..200 {
        let ask = c.request(n * 100 * MS);
        c.on_response(ask, 0, 500 + n);
        assert_eq!(c.last_contact(), None, "an old configuration would be handed out as the newest");
    }
    c.on_applied(690);
    assert_eq!(c.last_contact(), Some(19_000 * MS), "it has caught up with that answer and none later");
}

#[test]
fn delayed_heartbeat_is_as_old_as_its_request() {
    let mut c = QuorumContact::default();
    c.on_applied(7);
    let ask = c.request(1000 * MS);
    // Frozen for twenty seconds, the answer is read at once behind that: it proves the time of the ask.
    c.on_response(ask, 0, 7);
    assert_eq!(c.last_contact(), Some(1000 * MS));
    let late = c.request(21_000 * MS);
    // A leader that stood still as long answers with the age of its majority.
    c.on_response(late, 20_500 * MS, 7);
    assert_eq!(c.last_contact(), Some(1000 * MS));
}

#[test]
fn node_that_is_not_heard_proves_no_contact() {
    let mut c = QuorumContact::default();
    c.on_applied(7);
    let first = c.request(0);
    c.on_response(first, 0, 7);
    // One way is cut: entries still come and are applied, asks are lost.
    for n in 1..500 {
        c.request(n * 150 * MS);
        c.on_applied(7 + n);
    }
    assert_eq!(c.last_contact(), Some(0));
    // Its memory of asks is bounded; the latest is answered when the way is open again.
    let ask = c.request(80_000 * MS);
    c.on_response(ask, 10 * MS, 506);
    assert_eq!(c.last_contact(), Some(79_990 * MS));
}

#[test]
fn configuration_never_goes_back() {
    let mut c = QuorumContact::default();
    c.on_applied(9);
    c.on_applied(4);
    assert_eq!(c.applied_index(), 9);
    let (old, new) = (c.request(10 * MS), c.request(20 * MS));
    c.on_response(new, 0, 9);
    c.on_response(old, 0, 9);
    assert_eq!(c.last_contact(), Some(20 * MS));
    c.record_contact(15 * MS);
    assert_eq!(c.last_contact(), Some(20 * MS), "nor when it has led");
}
