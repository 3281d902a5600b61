use super::*;
use crate::Command;
use configuration::Version;

fn configuration(base: Version, version: Version, body: &str) -> Command {
    Command::ReplaceConfiguration { base, version, body: body.as_bytes().to_vec() }
}

#[test]
fn one_of_two_changes_on_one_base_wins_and_is_recognised_again() {
    let mut state = ControlState::new();
    assert_eq!(state.apply(2, &configuration(0, 3, "a")), ApplyOutcome::Changed);
    assert_eq!(state.apply(3, &configuration(3, 5, "b")), ApplyOutcome::Changed);
    assert_eq!(
        state.apply(4, &configuration(3, 6, "c")),
        ApplyOutcome::Conflict,
        "base is not the current version"
    );
    assert_eq!(state.apply(5, &configuration(5, 5, "d")), ApplyOutcome::Conflict, "version is not greater");
    assert_eq!(
        state.apply(6, &configuration(0, 3, "a")),
        ApplyOutcome::Unchanged,
        "applied before the current one"
    );
    assert_eq!(
        state.apply(7, &configuration(0, 3, "b")),
        ApplyOutcome::Conflict,
        "other bytes under an applied version"
    );
    assert_eq!((state.version(), state.configuration().unwrap().index), (5, 3));
    assert_eq!(ControlState::decode(&state.encode()), Some(state));
    assert_eq!(ControlState::decode(b"nonsense"), None);
}

#[test]
fn trial_expires_for_one_end_alone_and_old_states_are_read() {
    let mut state = ControlState::new();
    state.apply(1, &Command::AddGateway { name: "g".into() });
    // Without expired trials the state has five fields, as in an earlier version.
    assert_eq!(state.encode()[0], 0x95);
    assert_eq!(ControlState::decode(&state.encode()), Some(state.clone()));
    let command = |ends| Command::ExpireTrial { tenant: "t".into(), ends_at: ends };
    assert_eq!(
        (state.apply(2, &command(7)), state.apply(3, &command(7))),
        (ApplyOutcome::Changed, ApplyOutcome::Unchanged)
    );
    assert!(
        state.is_trial_expired("t", 7) && !state.is_trial_expired("t", 8) && !state.is_trial_expired("u", 7)
    );
    assert_eq!((state.apply(4, &command(8)), state.last_expiry_index()), (ApplyOutcome::Changed, 4));
    assert!(!state.is_trial_expired("t", 7));
    assert_eq!(ControlState::decode(&state.encode()), Some(state));
}

#[test]
fn drains_are_final_and_bounded() {
    let mut state = ControlState::new();
    for n in 0..MAX_DRAINING as u64 + 10 {
        state.apply(n, &Command::Drain { instance: format!("i-{n}") });
    }
    assert_eq!(state.draining().count(), MAX_DRAINING);
    assert!(!state.is_draining("i-9") && state.is_draining("i-10"), "the oldest are dropped");
    assert_eq!(state.apply(9999, &Command::Drain { instance: "i-50".into() }), ApplyOutcome::Unchanged);
}
