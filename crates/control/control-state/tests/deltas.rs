//! A long configuration in the agreed log, as a change of the one before.

use control_state::{ApplyOutcome, Command, ControlState};

fn body(version: u32, routes: usize, moved: usize) -> Vec<u8> {
    let route =
        |n: usize| format!(r#"{{"name":"r-{n}","pathPrefix":"/p{n}/","to":"{}"}}"#, u8::from(n == moved));
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"configVersion":{version},"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

fn whole(base: u32, version: u32, body: &[u8]) -> Command {
    Command::ReplaceConfiguration { base, version, body: body.to_vec() }
}

/// Two states: one that is told all whole, one that is told what is shorter.
fn states() -> (ControlState, ControlState) {
    let first = whole(0, 3, &body(3, 3000, 9999));
    let mut state = ControlState::new();
    assert_eq!(first.clone().into_delta_if_smaller(&state), first, "there is none to change");
    assert_eq!(state.apply(1, &first), ApplyOutcome::Changed);
    (state.clone(), state)
}

#[test]
fn delta_yields_the_same_state_as_the_whole_configuration() {
    let (mut one, mut other) = states();
    let mut base = 3;
    for (index, version) in (2..).zip([4, 7, 8, 20]) {
        let command = whole(base, version, &body(version, 3000, version as usize));
        let short = command.clone().into_delta_if_smaller(&other);
        assert!(matches!(short, Command::ConfigurationDelta { .. }));
        let (long, bytes) = (command.encode().len(), short.encode().len());
        assert!(long > 100_000 && bytes < 500, "{bytes} of {long}");
        assert_eq!(Command::decode(&short.encode()), Some(short.clone()));
        assert_eq!(
            (one.apply(index, &command), other.apply(index, &short)),
            (ApplyOutcome::Changed, ApplyOutcome::Changed)
        );
        assert_eq!(one, other);
        assert!(other.is_applied(&body(version, 3000, version as usize)));
        // Proposed twice, or once more as a whole.
        assert_eq!(
            (other.apply(90, &short), other.apply(91, &command)),
            (ApplyOutcome::Unchanged, ApplyOutcome::Unchanged)
        );
        base = version;
    }
}

#[test]
fn second_delta_on_one_base_and_unfit_delta_conflict() {
    let (_, mut state) = states();
    let change =
        |version: u32, moved| whole(3, version, &body(version, 3000, moved)).into_delta_if_smaller(&state);
    let (first, second) = (change(5, 1), change(5, 2));
    assert_eq!(state.apply(2, &first), ApplyOutcome::Changed);
    let stands = state.clone();
    assert_eq!(state.apply(3, &second), ApplyOutcome::Conflict, "the base is another");
    let Command::ConfigurationDelta { digest: mark, delta: difference, .. } = second else {
        panic!("a change")
    };
    let spoilt = Command::ConfigurationDelta { base: 5, version: 6, digest: mark, delta: difference };
    assert_eq!(state.apply(4, &spoilt), ApplyOutcome::Conflict, "it comes to other bytes than it says");
    let nonsense =
        Command::ConfigurationDelta { base: 5, version: 6, digest: mark, delta: b"nonsense".to_vec() };
    assert_eq!(state.apply(5, &nonsense), ApplyOutcome::Conflict);
    assert_eq!(state, stands);
    let mut empty = ControlState::new();
    assert_eq!(empty.apply(1, &first), ApplyOutcome::Conflict, "there is none to change");
}

#[test]
fn short_or_wholly_new_configuration_is_no_delta() {
    let (_, state) = states();
    let new: Vec<u8> = body(5, 3000, 0).iter().map(|b| if *b == b'p' { b'q' } else { *b }).collect();
    let command = whole(3, 5, &new);
    assert_eq!(command.clone().into_delta_if_smaller(&state), command);
    let mut small = ControlState::new();
    small.apply(1, &whole(0, 3, &body(3, 8, 0)));
    let command = whole(3, 5, &body(5, 8, 1));
    assert_eq!(command.clone().into_delta_if_smaller(&small), command);
}
