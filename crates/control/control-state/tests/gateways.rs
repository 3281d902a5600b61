//! Gateways are agreed on, as many as there may be.

use control_state::{Applied, Book, Word};

#[test]
fn beyond_the_most_nothing_is_asked_for_again_and_again() {
    let mut book = Book::new();
    let mut place = 0;
    while book.wants_gateway(&format!("edge-{place}")) {
        let word = Word::Gateway { name: format!("edge-{place}") };
        place += 1;
        assert_eq!(book.apply(place, &word), Applied::Changed);
        assert!(place < 10_000, "they are bounded");
    }
    assert_eq!(book.gateways().len(), 4096);
    assert!(!book.wants_gateway("edge-7"), "it is known");
    // A prompter of another mind proposes it all the same: nothing changes, for anybody.
    assert_eq!(book.apply(place + 1, &Word::Gateway { name: "one more".into() }), Applied::Same);
    assert_eq!(Book::read(&book.write()), Some(book));
}
