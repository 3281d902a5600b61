//! What becomes of an operator's order: the order of the questions, and what is known again for how long.

use configuration::ConfigurationError;
use control_state::{
    decide_change, ApplyOutcome, ChangeDecision, Command, ControlState, DeclaredVersions, InvalidChange,
    MAX_APPLIED_VERSIONS,
};

fn body(base: u32, version: u32, by: &str) -> Vec<u8> {
    format!("{base} {version} {by}").into_bytes()
}

/// Reads what [`body`] wrote; what "nobody" wrote is not sound.
fn read(body: &[u8]) -> Result<DeclaredVersions, ConfigurationError> {
    let text = std::str::from_utf8(body).map_err(|e| ConfigurationError::Malformed(e.to_string()))?;
    let words: Vec<&str> = text.split(' ').collect();
    match words[..] {
        [base, version, by] if by != "nobody" => {
            Ok(DeclaredVersions { base: base.parse().unwrap(), version: version.parse().unwrap() })
        }
        _ => Err(ConfigurationError::Malformed("not sound".into())),
    }
}

fn asked(state: &ControlState, body: &[u8]) -> ChangeDecision {
    decide_change(state, body, read)
}

/// Has what is proposed agreed on at `place`.
fn settled(state: &mut ControlState, index: u64, verdict: &ChangeDecision) -> ChangeDecision {
    let ChangeDecision::Propose(command) = verdict else { panic!("{verdict:?}") };
    let applied = state.apply(index, command);
    ChangeDecision::after_commit(Some(&applied), state.version())
}

fn taken(state: &mut ControlState, index: u64, base: u32, version: u32, by: &str) -> Vec<u8> {
    let body = body(base, version, by);
    let verdict = asked(state, &body);
    assert_eq!(settled(state, index, &verdict), ChangeDecision::Acknowledged);
    body
}

#[test]
fn one_of_two_concurrent_changes_of_one_version_is_acknowledged() {
    let mut state = ControlState::new();
    taken(&mut state, 1, 0, 3, "first");
    // Both were decided on before either was agreed on, by two who each held leadership once.
    let (one, other) = (body(3, 5, "one"), body(3, 5, "other"));
    let (first, second) = (asked(&state, &one), asked(&state, &other));
    assert_eq!(settled(&mut state, 2, &first), ChangeDecision::Acknowledged);
    assert_eq!(settled(&mut state, 3, &second), ChangeDecision::Conflict { current: 5 });
    // Each is sent again, after a lost answer.
    assert_eq!(asked(&state, &one), ChangeDecision::Acknowledged);
    assert_eq!(asked(&state, &other), ChangeDecision::Conflict { current: 5 });
    assert_eq!(state.configuration().unwrap().body, one);
}

#[test]
fn change_proposed_twice_is_applied_once_and_acknowledged_twice() {
    let mut state = ControlState::new();
    let order = body(0, 3, "one");
    let (first, again) = (asked(&state, &order), asked(&state, &order));
    assert_eq!(settled(&mut state, 1, &first), ChangeDecision::Acknowledged);
    let index = state.configuration().unwrap().index;
    assert_eq!(settled(&mut state, 2, &again), ChangeDecision::Acknowledged);
    assert_eq!(state.configuration().unwrap().index, index, "it is in force since the first time");
    assert_eq!(
        ChangeDecision::after_commit(None, 3),
        ChangeDecision::Unknown,
        "no answer is neither yes nor no"
    );
}

#[test]
fn applied_change_is_acknowledged_again_even_if_now_invalid() {
    let mut state = ControlState::new();
    let order = taken(&mut state, 1, 0, 3, "one");
    let error = ConfigurationError::Malformed("not sound any more".into());
    let stricter = |_: &[u8]| Err(error.clone());
    assert_eq!(decide_change(&state, &order, stricter), ChangeDecision::Acknowledged);
    taken(&mut state, 2, 3, 4, "two");
    assert_eq!(
        decide_change(&state, &order, stricter),
        ChangeDecision::Acknowledged,
        "behind another one, too"
    );
    assert_eq!(
        decide_change(&state, &body(4, 5, "new"), stricter),
        ChangeDecision::Invalid(InvalidChange::Configuration(error.clone()))
    );
}

#[test]
fn refusals_are_checked_in_order() {
    let mut state = ControlState::new();
    taken(&mut state, 1, 0, 3, "one");
    taken(&mut state, 2, 3, 7, "two");
    assert!(
        matches!(asked(&state, &body(3, 9, "nobody")), ChangeDecision::Invalid(_)),
        "invalid on any base"
    );
    assert!(
        matches!(asked(&state, &body(7, 7, "x")), ChangeDecision::Invalid(_)),
        "not greater than the current one"
    );
    assert_eq!(asked(&state, &body(3, 8, "x")), ChangeDecision::Conflict { current: 7 });
    assert_eq!(
        asked(&state, &body(3, 7, "x")),
        ChangeDecision::Conflict { current: 7 },
        "other bytes, known number"
    );
    assert_eq!(
        asked(&state, &body(9, 10, "x")),
        ChangeDecision::Conflict { current: 7 },
        "a base that never was"
    );
    assert!(matches!(asked(&state, &body(7, 8, "x")), ChangeDecision::Propose(_)));
    // Cut short, or none of ours at all.
    assert!(matches!(asked(&state, b"7"), ChangeDecision::Invalid(_)));
    assert!(matches!(asked(&state, b"\xff"), ChangeDecision::Invalid(_)));
}

#[test]
fn digests_cover_two_days_and_older_changes_are_unknown() {
    let mut state = ControlState::new();
    let last = MAX_APPLIED_VERSIONS as u32 + 100;
    let mut orders = Vec::new();
    for n in 0..last {
        // Versions climb in uneven steps.
        orders.push(taken(&mut state, u64::from(n) + 1, 3 * n, 3 * n + 3, "op"));
    }
    for (n, order) in orders.iter().enumerate() {
        let wanted = if n < 100 { ChangeDecision::Unknown } else { ChangeDecision::Acknowledged };
        assert_eq!(asked(&state, order), wanted, "order {n}");
    }
    // One that lost its race is refused as long as it is certain that it was never taken.
    assert_eq!(asked(&state, &body(303, 304, "x")), ChangeDecision::Conflict { current: 3 * last });
    let encoded = state.encode();
    assert!(encoded.len() < 31 * MAX_APPLIED_VERSIONS + 1000, "{} bytes", encoded.len());
    assert_eq!(ControlState::decode(&encoded), Some(state.clone()), "a state carries them");
    let command = Command::ReplaceConfiguration { base: 0, version: 303, body: orders[100].clone() };
    assert_eq!(state.apply(u64::from(last) + 1, &command), ApplyOutcome::Unchanged);
}
