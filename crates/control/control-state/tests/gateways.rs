//! Gateways are part of the replicated state, up to a maximum number, until they are removed.

use control_state::{ApplyOutcome, Command, ControlState};

#[test]
fn gateways_beyond_the_maximum_are_not_added() {
    let mut state = ControlState::new();
    let mut index = 0;
    while state.can_add_gateway(&format!("edge-{index}")) {
        let command = Command::AddGateway { name: format!("edge-{index}") };
        index += 1;
        assert_eq!(state.apply(index, &command), ApplyOutcome::Changed);
        assert!(index < 10_000, "number of gateways is bounded");
    }
    assert_eq!(state.gateways().len(), 4096);
    assert!(!state.can_add_gateway("edge-7"), "already a gateway");
    // A control node may still propose one: the command changes nothing, on any node.
    assert_eq!(
        state.apply(index + 1, &Command::AddGateway { name: "one more".into() }),
        ApplyOutcome::Unchanged
    );
    assert_eq!(ControlState::decode(&state.encode()), Some(state));
}

#[test]
fn removed_gateway_makes_room_and_may_be_added_again() {
    let add = Command::AddGateway { name: "edge-1".into() };
    let remove = Command::RemoveGateway { name: "edge-1".into(), term: 7 };
    let mut state = ControlState::new();
    assert_eq!(state.apply(1, &remove), ApplyOutcome::Unchanged, "unknown gateway");
    assert_eq!(state.apply(2, &add), ApplyOutcome::Changed);
    assert_eq!(state.apply(3, &remove), ApplyOutcome::Changed);
    assert!(state.gateways().is_empty() && state.can_add_gateway("edge-1"));
    assert_eq!(state.apply(4, &remove), ApplyOutcome::Unchanged, "already removed");
    assert_eq!(state.apply(5, &add), ApplyOutcome::Changed);
}

#[test]
fn removal_counts_in_the_term_of_the_leader_that_proposed_it_alone() {
    let remove = Command::RemoveGateway { name: "edge-1".into(), term: 7 };
    assert!(remove.is_valid_in_term(7));
    assert!(!remove.is_valid_in_term(6) && !remove.is_valid_in_term(8));
    assert!(Command::AddGateway { name: "edge-1".into() }.is_valid_in_term(8));
}
