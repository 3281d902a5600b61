//! Gateways are agreed on, as many as there may be.

use control_state::{Applied, Command, ControlState};

#[test]
fn gateways_beyond_the_maximum_are_not_added() {
    let mut book = ControlState::new();
    let mut place = 0;
    while book.can_add_gateway(&format!("edge-{place}")) {
        let word = Command::AddGateway { name: format!("edge-{place}") };
        place += 1;
        assert_eq!(book.apply(place, &word), Applied::Changed);
        assert!(place < 10_000, "they are bounded");
    }
    assert_eq!(book.gateways().len(), 4096);
    assert!(!book.can_add_gateway("edge-7"), "it is known");
    // A prompter of another mind proposes it all the same: nothing changes, for anybody.
    assert_eq!(book.apply(place + 1, &Command::AddGateway { name: "one more".into() }), Applied::Unchanged);
    assert_eq!(ControlState::decode(&book.encode()), Some(book));
}
