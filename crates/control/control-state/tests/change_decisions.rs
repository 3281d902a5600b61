//! What becomes of an operator's order: the order of the questions, and what is known again for how long.

use configuration::ConfigurationError;
use control_state::{
    decide_change, Applied, Command, ControlState, Decision, DeclaredVersions, InvalidChange,
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

fn asked(book: &ControlState, body: &[u8]) -> Decision {
    decide_change(book, body, read)
}

/// Has what is proposed agreed on at `place`.
fn settled(book: &mut ControlState, place: u64, verdict: &Decision) -> Decision {
    let Decision::Propose(word) = verdict else { panic!("{verdict:?}") };
    let applied = book.apply(place, word);
    Decision::after_commit(Some(&applied), book.version())
}

fn taken(book: &mut ControlState, place: u64, base: u32, version: u32, by: &str) -> Vec<u8> {
    let body = body(base, version, by);
    let verdict = asked(book, &body);
    assert_eq!(settled(book, place, &verdict), Decision::Acknowledged);
    body
}

#[test]
fn one_of_two_concurrent_changes_of_one_version_is_acknowledged() {
    let mut book = ControlState::new();
    taken(&mut book, 1, 0, 3, "first");
    // Both were decided on before either was agreed on, by two who each held the duty once.
    let (one, other) = (body(3, 5, "one"), body(3, 5, "other"));
    let (first, second) = (asked(&book, &one), asked(&book, &other));
    assert_eq!(settled(&mut book, 2, &first), Decision::Acknowledged);
    assert_eq!(settled(&mut book, 3, &second), Decision::Conflict { current: 5 });
    // Each is sent again, after a lost answer.
    assert_eq!(asked(&book, &one), Decision::Acknowledged);
    assert_eq!(asked(&book, &other), Decision::Conflict { current: 5 });
    assert_eq!(book.configuration().unwrap().body, one);
}

#[test]
fn change_proposed_twice_is_applied_once_and_acknowledged_twice() {
    let mut book = ControlState::new();
    let order = body(0, 3, "one");
    let (first, again) = (asked(&book, &order), asked(&book, &order));
    assert_eq!(settled(&mut book, 1, &first), Decision::Acknowledged);
    let place = book.configuration().unwrap().index;
    assert_eq!(settled(&mut book, 2, &again), Decision::Acknowledged);
    assert_eq!(book.configuration().unwrap().index, place, "it is in force since the first time");
    assert_eq!(Decision::after_commit(None, 3), Decision::Unknown, "no answer is neither yes nor no");
}

#[test]
fn applied_change_is_acknowledged_again_even_if_now_invalid() {
    let mut book = ControlState::new();
    let order = taken(&mut book, 1, 0, 3, "one");
    let error = ConfigurationError::Malformed("not sound any more".into());
    let stricter = |_: &[u8]| Err(error.clone());
    assert_eq!(decide_change(&book, &order, stricter), Decision::Acknowledged);
    taken(&mut book, 2, 3, 4, "two");
    assert_eq!(decide_change(&book, &order, stricter), Decision::Acknowledged, "behind another one, too");
    assert_eq!(
        decide_change(&book, &body(4, 5, "new"), stricter),
        Decision::Invalid(InvalidChange::Configuration(error.clone()))
    );
}

#[test]
fn refusals_are_checked_in_order() {
    let mut book = ControlState::new();
    taken(&mut book, 1, 0, 3, "one");
    taken(&mut book, 2, 3, 7, "two");
    assert!(matches!(asked(&book, &body(3, 9, "nobody")), Decision::Invalid(_)), "invalid on any base");
    assert!(
        matches!(asked(&book, &body(7, 7, "x")), Decision::Invalid(_)),
        "not greater than the current one"
    );
    assert_eq!(asked(&book, &body(3, 8, "x")), Decision::Conflict { current: 7 });
    assert_eq!(
        asked(&book, &body(3, 7, "x")),
        Decision::Conflict { current: 7 },
        "other bytes, known number"
    );
    assert_eq!(asked(&book, &body(9, 10, "x")), Decision::Conflict { current: 7 }, "a base that never was");
    assert!(matches!(asked(&book, &body(7, 8, "x")), Decision::Propose(_)));
    // Cut short, or none of ours at all.
    assert!(matches!(asked(&book, b"7"), Decision::Invalid(_)));
    assert!(matches!(asked(&book, b"\xff"), Decision::Invalid(_)));
}

#[test]
fn digests_cover_two_days_and_older_changes_are_unknown() {
    let mut book = ControlState::new();
    let last = MAX_APPLIED_VERSIONS as u32 + 100;
    let mut orders = Vec::new();
    for n in 0..last {
        // Versions climb in uneven steps.
        orders.push(taken(&mut book, u64::from(n) + 1, 3 * n, 3 * n + 3, "op"));
    }
    for (n, order) in orders.iter().enumerate() {
        let wanted = if n < 100 { Decision::Unknown } else { Decision::Acknowledged };
        assert_eq!(asked(&book, order), wanted, "order {n}");
    }
    // One that lost its race is refused as long as it is certain that it was never taken.
    assert_eq!(asked(&book, &body(303, 304, "x")), Decision::Conflict { current: 3 * last });
    let state = book.encode();
    assert!(state.len() < 31 * MAX_APPLIED_VERSIONS + 1000, "{} bytes", state.len());
    assert_eq!(ControlState::decode(&state), Some(book.clone()), "a state carries them");
    let word = Command::ReplaceConfiguration { base: 0, version: 303, body: orders[100].clone() };
    assert_eq!(book.apply(u64::from(last) + 1, &word), Applied::Unchanged);
}
