//! Decisions on operators' changes: the order of the checks, and how long applied changes are recognized.

use configuration::ConfigurationError;
use control_state::{
    decide_change, ApplyOutcome, ChangeDecision, Command, ControlState, DeclaredVersions, InvalidChange,
    MAX_APPLIED_VERSIONS,
};

fn body(base: u32, version: u32, author: &str) -> Vec<u8> {
    format!("{base} {version} {author}").into_bytes()
}

/// Reads the output of [`body`]; a change by "nobody" is invalid.
fn read(body: &[u8]) -> Result<DeclaredVersions, ConfigurationError> {
    let text = std::str::from_utf8(body).map_err(|e| ConfigurationError::Malformed(e.to_string()))?;
    let fields: Vec<&str> = text.split(' ').collect();
    match fields[..] {
        [base, version, author] if author != "nobody" => {
            Ok(DeclaredVersions { base: base.parse().unwrap(), version: version.parse().unwrap() })
        }
        _ => Err(ConfigurationError::Malformed("invalid change".into())),
    }
}

fn decide(state: &ControlState, body: &[u8]) -> ChangeDecision {
    decide_change(state, body, read)
}

/// Commits the proposed command at `index`, and returns the outcome.
fn commit(state: &mut ControlState, index: u64, decision: &ChangeDecision) -> ChangeDecision {
    let ChangeDecision::Propose(command) = decision else { panic!("{decision:?}") };
    let applied = state.apply(index, command);
    ChangeDecision::after_commit(Some(&applied), state.version())
}

fn apply_change(state: &mut ControlState, index: u64, base: u32, version: u32, author: &str) -> Vec<u8> {
    let body = body(base, version, author);
    let decision = decide(state, &body);
    assert_eq!(commit(state, index, &decision), ChangeDecision::Acknowledged);
    body
}

#[test]
fn one_of_two_concurrent_changes_of_one_version_is_acknowledged() {
    let mut state = ControlState::new();
    apply_change(&mut state, 1, 0, 3, "first");
    // Both changes are decided on before either is committed, by two nodes that were each leader at some time.
    let (winner, loser) = (body(3, 5, "one"), body(3, 5, "other"));
    let (first, second) = (decide(&state, &winner), decide(&state, &loser));
    assert_eq!(commit(&mut state, 2, &first), ChangeDecision::Acknowledged);
    assert_eq!(commit(&mut state, 3, &second), ChangeDecision::Conflict { current: 5 });
    // Each is sent again because its response was lost.
    assert_eq!(decide(&state, &winner), ChangeDecision::Acknowledged);
    assert_eq!(decide(&state, &loser), ChangeDecision::Conflict { current: 5 });
    assert_eq!(state.configuration().unwrap().body, winner);
}

#[test]
fn change_proposed_twice_is_applied_once_and_acknowledged_twice() {
    let mut state = ControlState::new();
    let change = body(0, 3, "one");
    let (first, repeated) = (decide(&state, &change), decide(&state, &change));
    assert_eq!(commit(&mut state, 1, &first), ChangeDecision::Acknowledged);
    let index = state.configuration().unwrap().index;
    assert_eq!(commit(&mut state, 2, &repeated), ChangeDecision::Acknowledged);
    assert_eq!(state.configuration().unwrap().index, index, "applied once");
    assert_eq!(
        ChangeDecision::after_commit(None, 3),
        ChangeDecision::Unknown,
        "unknown outcome is neither success nor failure"
    );
}

#[test]
fn applied_change_is_acknowledged_again_even_if_now_invalid() {
    let mut state = ControlState::new();
    let change = apply_change(&mut state, 1, 0, 3, "one");
    let error = ConfigurationError::Malformed("no longer valid".into());
    let stricter = |_: &[u8]| Err(error.clone());
    assert_eq!(decide_change(&state, &change, stricter), ChangeDecision::Acknowledged);
    apply_change(&mut state, 2, 3, 4, "two");
    assert_eq!(
        decide_change(&state, &change, stricter),
        ChangeDecision::Acknowledged,
        "also after a later change"
    );
    assert_eq!(
        decide_change(&state, &body(4, 5, "new"), stricter),
        ChangeDecision::Invalid(InvalidChange::Configuration(error.clone()))
    );
}

#[test]
fn refusals_are_checked_in_order() {
    let mut state = ControlState::new();
    apply_change(&mut state, 1, 0, 3, "one");
    apply_change(&mut state, 2, 3, 7, "two");
    assert!(
        matches!(decide(&state, &body(3, 9, "nobody")), ChangeDecision::Invalid(_)),
        "invalid on any base"
    );
    assert!(
        matches!(decide(&state, &body(7, 7, "x")), ChangeDecision::Invalid(_)),
        "not greater than the current one"
    );
    assert_eq!(decide(&state, &body(3, 8, "x")), ChangeDecision::Conflict { current: 7 });
    assert_eq!(
        decide(&state, &body(3, 7, "x")),
        ChangeDecision::Conflict { current: 7 },
        "other bytes under an applied version"
    );
    assert_eq!(
        decide(&state, &body(9, 10, "x")),
        ChangeDecision::Conflict { current: 7 },
        "a base that was never applied"
    );
    assert!(matches!(decide(&state, &body(7, 8, "x")), ChangeDecision::Propose(_)));
    // Truncated, or not a configuration.
    assert!(matches!(decide(&state, b"7"), ChangeDecision::Invalid(_)));
    assert!(matches!(decide(&state, b"\xff"), ChangeDecision::Invalid(_)));
}

#[test]
fn digests_cover_two_days_and_older_changes_are_unknown() {
    let mut state = ControlState::new();
    let last = MAX_APPLIED_VERSIONS as u32 + 100;
    let mut changes = Vec::new();
    for n in 0..last {
        // Not every version number is used.
        changes.push(apply_change(&mut state, u64::from(n) + 1, 3 * n, 3 * n + 3, "op"));
    }
    for (n, change) in changes.iter().enumerate() {
        let expected = if n < 100 { ChangeDecision::Unknown } else { ChangeDecision::Acknowledged };
        assert_eq!(decide(&state, change), expected, "change {n}");
    }
    // A change that lost a race is rejected as long as it is certain that it was never applied.
    assert_eq!(decide(&state, &body(303, 304, "x")), ChangeDecision::Conflict { current: 3 * last });
    let encoded = state.encode();
    assert!(encoded.len() < 31 * MAX_APPLIED_VERSIONS + 1000, "{} bytes", encoded.len());
    assert_eq!(ControlState::decode(&encoded), Some(state.clone()), "digests are part of the encoded state");
    let command = Command::ReplaceConfiguration { base: 0, version: 303, body: changes[100].clone() };
    assert_eq!(state.apply(u64::from(last) + 1, &command), ApplyOutcome::Unchanged);
}
