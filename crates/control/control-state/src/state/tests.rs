use super::*;
use crate::Command;
use configuration::Version;

fn configuration(base: Version, version: Version, body: &str) -> Command {
    Command::ReplaceConfiguration { base, version, body: body.as_bytes().to_vec() }
}

#[test]
fn of_two_on_one_base_one_wins_and_what_was_taken_is_known_again() {
    let mut book = ControlState::new();
    assert_eq!(book.apply(2, &configuration(0, 3, "a")), Applied::Changed);
    assert_eq!(book.apply(3, &configuration(3, 5, "b")), Applied::Changed);
    assert_eq!(book.apply(4, &configuration(3, 6, "c")), Applied::Conflict, "the base is another");
    assert_eq!(book.apply(5, &configuration(5, 5, "d")), Applied::Conflict, "not later");
    assert_eq!(
        book.apply(6, &configuration(0, 3, "a")),
        Applied::Unchanged,
        "once more, though a later one stands"
    );
    assert_eq!(book.apply(7, &configuration(0, 3, "b")), Applied::Conflict, "other bytes under its number");
    assert_eq!((book.version(), book.configuration().unwrap().index), (5, 3));
    assert_eq!(ControlState::decode(&book.encode()), Some(book));
    assert_eq!(ControlState::decode(b"nonsense"), None);
}

#[test]
fn a_trial_that_is_over_is_so_for_that_end_alone_and_a_book_without_any_is_as_it_was() {
    let mut book = ControlState::new();
    book.apply(1, &Command::AddGateway { name: "g".into() });
    // An earlier version's: it has five fields.
    assert_eq!(book.encode()[0], 0x95);
    assert_eq!(ControlState::decode(&book.encode()), Some(book.clone()));
    let word = |ends| Command::ExpireTrial { tenant: "t".into(), ends_at: ends };
    assert_eq!((book.apply(2, &word(7)), book.apply(3, &word(7))), (Applied::Changed, Applied::Unchanged));
    assert!(
        book.is_trial_expired("t", 7) && !book.is_trial_expired("t", 8) && !book.is_trial_expired("u", 7)
    );
    assert_eq!((book.apply(4, &word(8)), book.last_expiry_index()), (Applied::Changed, 4));
    assert!(!book.is_trial_expired("t", 7));
    assert_eq!(ControlState::decode(&book.encode()), Some(book));
}

#[test]
fn who_leaves_leaves_for_good_and_memory_is_bounded() {
    let mut book = ControlState::new();
    for n in 0..MAX_DRAINING as u64 + 10 {
        book.apply(n, &Command::Drain { instance: format!("i-{n}") });
    }
    assert_eq!(book.draining().count(), MAX_DRAINING);
    assert!(!book.is_draining("i-9") && book.is_draining("i-10"), "the oldest go");
    assert_eq!(book.apply(9999, &Command::Drain { instance: "i-50".into() }), Applied::Unchanged);
}
