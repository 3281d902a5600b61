//! A long configuration in the replicated log, as a delta to its predecessor.

use control_state::{ApplyOutcome, Command, ControlState};

fn body(version: u32, routes: usize, moved: usize) -> Vec<u8> {
    let route =
        |n: usize| format!(r#"{{"name":"r-{n}","pathPrefix":"/p{n}/","to":"{}"}}"#, u8::from(n == moved));
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"configVersion":{version},"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

fn replacement(base: u32, version: u32, body: &[u8]) -> Command {
    Command::ReplaceConfiguration { base, version, body: body.to_vec() }
}

/// Two equal states with a first configuration: one to replace in full, one to change by deltas.
fn states() -> (ControlState, ControlState) {
    let first = replacement(0, 3, &body(3, 3000, 9999));
    let mut state = ControlState::new();
    assert_eq!(first.clone().into_delta_if_smaller(&state), first, "no configuration to base a delta on");
    assert_eq!(state.apply(1, &first), ApplyOutcome::Changed);
    (state.clone(), state)
}

#[test]
fn delta_yields_the_same_state_as_the_whole_configuration() {
    let (mut full_state, mut delta_state) = states();
    let mut base = 3;
    for (index, version) in (2..).zip([4, 7, 8, 20]) {
        let command = replacement(base, version, &body(version, 3000, version as usize));
        let delta_command = command.clone().into_delta_if_smaller(&delta_state);
        assert!(matches!(delta_command, Command::ConfigurationDelta { .. }));
        let (full_bytes, delta_bytes) = (command.encode().len(), delta_command.encode().len());
        assert!(full_bytes > 100_000 && delta_bytes < 500, "{delta_bytes} of {full_bytes}");
        assert_eq!(Command::decode(&delta_command.encode()), Some(delta_command.clone()));
        assert_eq!(
            (full_state.apply(index, &command), delta_state.apply(index, &delta_command)),
            (ApplyOutcome::Changed, ApplyOutcome::Changed)
        );
        assert_eq!(full_state, delta_state);
        assert!(delta_state.is_applied(&body(version, 3000, version as usize)));
        // The delta is committed twice, then the same configuration in full.
        assert_eq!(
            (delta_state.apply(90, &delta_command), delta_state.apply(91, &command)),
            (ApplyOutcome::Unchanged, ApplyOutcome::Unchanged)
        );
        base = version;
    }
}

#[test]
fn second_delta_on_one_base_and_unfit_delta_conflict() {
    let (_, mut state) = states();
    let delta_to = |version: u32, moved| {
        replacement(3, version, &body(version, 3000, moved)).into_delta_if_smaller(&state)
    };
    let (first, second) = (delta_to(5, 1), delta_to(5, 2));
    assert_eq!(state.apply(2, &first), ApplyOutcome::Changed);
    let expected = state.clone();
    assert_eq!(state.apply(3, &second), ApplyOutcome::Conflict, "base is not the current version");
    let Command::ConfigurationDelta { digest, delta, .. } = second else { panic!("not a delta") };
    let mismatched = Command::ConfigurationDelta { base: 5, version: 6, digest, delta };
    assert_eq!(state.apply(4, &mismatched), ApplyOutcome::Conflict, "result does not match the digest");
    let undecodable =
        Command::ConfigurationDelta { base: 5, version: 6, digest, delta: b"nonsense".to_vec() };
    assert_eq!(state.apply(5, &undecodable), ApplyOutcome::Conflict);
    assert_eq!(state, expected);
    let mut empty = ControlState::new();
    assert_eq!(empty.apply(1, &first), ApplyOutcome::Conflict, "no configuration to apply the delta to");
}

#[test]
fn short_or_wholly_new_configuration_is_no_delta() {
    let (_, state) = states();
    let new: Vec<u8> = body(5, 3000, 0).iter().map(|b| if *b == b'p' { b'q' } else { *b }).collect();
    let command = replacement(3, 5, &new);
    assert_eq!(command.clone().into_delta_if_smaller(&state), command);
    let mut short_state = ControlState::new();
    short_state.apply(1, &replacement(0, 3, &body(3, 8, 0)));
    let command = replacement(3, 5, &body(5, 8, 1));
    assert_eq!(command.clone().into_delta_if_smaller(&short_state), command);
}
