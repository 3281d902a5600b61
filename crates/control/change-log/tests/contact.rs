//! What proves that a prompter holds all that is agreed on, and what does not.

use change_log::Contact;

const MS: u64 = 1_000_000;

#[test]
fn a_round_trip_proves_what_the_leader_knew_when_it_answered() {
    let mut c = Contact::default();
    c.applied(7);
    let ask = c.ask(1000 * MS);
    c.told(ask, 120 * MS, 7);
    assert_eq!(c.proven(), Some(880 * MS), "counted from when it was asked, less the majority's own age");
    c.told(ask, 0, 7);
    assert_eq!(c.proven(), Some(880 * MS), "an answer counts once");
    c.told(99, 0, 7);
    assert_eq!(c.proven(), Some(880 * MS), "nobody asked that");
}

#[test]
fn who_hears_the_leader_but_lacks_what_it_has_agreed_on_is_not_in_contact() {
    let mut c = Contact::default();
    c.applied(7);
    // It comes back after a long time: the log is on its way, and asks are answered meanwhile.
    for n in 0..200 {
        let ask = c.ask(n * 100 * MS);
        c.told(ask, 0, 500 + n);
        assert_eq!(c.proven(), None, "an old configuration would be handed out as the newest");
    }
    c.applied(690);
    assert_eq!(c.proven(), Some(19_000 * MS), "it has caught up with that answer and none later");
}

#[test]
fn a_word_that_lay_in_a_socket_while_this_machine_stood_still_is_as_old_as_its_ask() {
    let mut c = Contact::default();
    c.applied(7);
    let ask = c.ask(1000 * MS);
    // Frozen for twenty seconds, the answer is read at once behind that: it proves the time of the ask.
    c.told(ask, 0, 7);
    assert_eq!(c.proven(), Some(1000 * MS));
    let late = c.ask(21_000 * MS);
    // A leader that stood still as long answers with the age of its majority.
    c.told(late, 20_500 * MS, 7);
    assert_eq!(c.proven(), Some(1000 * MS));
}

#[test]
fn who_is_not_heard_proves_nothing_however_much_it_hears() {
    let mut c = Contact::default();
    c.applied(7);
    let first = c.ask(0);
    c.told(first, 0, 7);
    // One way is cut: entries still come and are applied, asks are lost.
    for n in 1..500 {
        c.ask(n * 150 * MS);
        c.applied(7 + n);
    }
    assert_eq!(c.proven(), Some(0));
    // Its memory of asks is bounded; the latest is answered when the way is open again.
    let ask = c.ask(80_000 * MS);
    c.told(ask, 10 * MS, 506);
    assert_eq!(c.proven(), Some(79_990 * MS));
}

#[test]
fn nothing_goes_back() {
    let mut c = Contact::default();
    c.applied(9);
    c.applied(4);
    assert_eq!(c.place(), 9);
    let (old, new) = (c.ask(10 * MS), c.ask(20 * MS));
    c.told(new, 0, 9);
    c.told(old, 0, 9);
    assert_eq!(c.proven(), Some(20 * MS));
    c.prove(15 * MS);
    assert_eq!(c.proven(), Some(20 * MS), "nor when it has led");
}
