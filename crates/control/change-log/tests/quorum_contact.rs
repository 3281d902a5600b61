//! What proves that a node holds everything committed, and what does not.

use change_log::QuorumContact;

const MS: u64 = 1_000_000;

#[test]
fn round_trip_proves_what_the_leader_knew_when_it_answered() {
    let mut contact = QuorumContact::default();
    contact.on_applied(7);
    let request = contact.request(1000 * MS);
    contact.on_response(request, 120 * MS, 7);
    assert_eq!(
        contact.last_contact(),
        Some(880 * MS),
        "time of the request, less the age of the majority's contact"
    );
    contact.on_response(request, 0, 7);
    assert_eq!(contact.last_contact(), Some(880 * MS), "a response counts once");
    contact.on_response(99, 0, 7);
    assert_eq!(contact.last_contact(), Some(880 * MS), "no such request");
}

#[test]
fn node_that_hears_the_leader_but_lags_has_no_contact() {
    let mut contact = QuorumContact::default();
    contact.on_applied(7);
    // It returns after a long time: requests are answered while the log entries are still in transit.
    for n in 0..200 {
        let request = contact.request(n * 100 * MS);
        contact.on_response(request, 0, 500 + n);
        assert_eq!(contact.last_contact(), None, "an old configuration would be distributed as the newest");
    }
    contact.on_applied(690);
    assert_eq!(
        contact.last_contact(),
        Some(19_000 * MS),
        "the log is applied up to this response and no later one"
    );
}

#[test]
fn delayed_heartbeat_is_as_old_as_its_request() {
    let mut contact = QuorumContact::default();
    contact.on_applied(7);
    let request = contact.request(1000 * MS);
    // The node was frozen for twenty seconds and reads the response right afterwards: it proves the time of the request.
    contact.on_response(request, 0, 7);
    assert_eq!(contact.last_contact(), Some(1000 * MS));
    let late_request = contact.request(21_000 * MS);
    // A leader that was frozen as long responds with the age of its majority's contact.
    contact.on_response(late_request, 20_500 * MS, 7);
    assert_eq!(contact.last_contact(), Some(1000 * MS));
}

#[test]
fn node_that_is_not_heard_proves_no_contact() {
    let mut contact = QuorumContact::default();
    contact.on_applied(7);
    let first_request = contact.request(0);
    contact.on_response(first_request, 0, 7);
    // The link is cut in one direction: entries still arrive and are applied, requests are lost.
    for n in 1..500 {
        contact.request(n * 150 * MS);
        contact.on_applied(7 + n);
    }
    assert_eq!(contact.last_contact(), Some(0));
    // The number of outstanding requests is bounded; the latest is answered once the link works again.
    let request = contact.request(80_000 * MS);
    contact.on_response(request, 10 * MS, 506);
    assert_eq!(contact.last_contact(), Some(79_990 * MS));
}

#[test]
fn applied_index_and_contact_never_go_back() {
    let mut contact = QuorumContact::default();
    contact.on_applied(9);
    contact.on_applied(4);
    assert_eq!(contact.applied_index(), 9);
    let (old_request, new_request) = (contact.request(10 * MS), contact.request(20 * MS));
    contact.on_response(new_request, 0, 9);
    contact.on_response(old_request, 0, 9);
    assert_eq!(contact.last_contact(), Some(20 * MS));
    contact.record_contact(15 * MS);
    assert_eq!(contact.last_contact(), Some(20 * MS), "nor by an earlier contact as the leader");
}
