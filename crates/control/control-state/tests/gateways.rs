//! Gateways are agreed on, as many as there may be.

use control_state::{Applied, Command, ControlState};

#[test]
fn gateways_beyond_the_maximum_are_not_added() {
    let mut state = ControlState::new();
    let mut index = 0;
    while state.can_add_gateway(&format!("edge-{index}")) {
        let command = Command::AddGateway { name: format!("edge-{index}") };
        index += 1;
        assert_eq!(state.apply(index, &command), Applied::Changed);
        assert!(index < 10_000, "they are bounded");
    }
    assert_eq!(state.gateways().len(), 4096);
    assert!(!state.can_add_gateway("edge-7"), "it is known");
    // A control-plane node of another mind proposes it all the same: nothing changes, for anybody.
    assert_eq!(state.apply(index + 1, &Command::AddGateway { name: "one more".into() }), Applied::Unchanged);
    assert_eq!(ControlState::decode(&state.encode()), Some(state));
}
