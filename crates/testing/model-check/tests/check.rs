//! Tests of the checker itself: it visits the same number of states in every run, and finds every planted defect.

use serde_json::Value;
use std::process::{Command, Output};

fn check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_model-check")).args(args).output().expect("model-check runs")
}

fn last_line(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(text.lines().last().expect("a line")).expect("JSON")
}

#[test]
fn every_rule_holds_in_every_state_of_the_small_worlds() {
    let output = check(&["--json"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    let report = last_line(&output);
    let world = |name: &str| {
        let all = report["worlds"].as_array().expect("worlds");
        all.iter().find(|w| w["world"] == name).expect(name).clone()
    };
    // The counts are deterministic: they change only if the state machine or its model changes.
    for (name, states, transitions) in [
        ("connection", 157307, 246843),
        ("drain", 254, 275),
        ("unsafe", 74998, 625900),
        ("keyed", 164068, 1425601),
        ("safe", 334402, 3007462),
        ("open", 63806, 566700),
        ("reuse", 389064, 2619683),
        ("upstream-double", 339594, 1443358),
        ("upstream-reset", 452395, 1981471),
    ] {
        let w = world(name);
        assert_eq!(
            (w["states"].as_u64(), w["transitions"].as_u64()),
            (Some(states), Some(transitions)),
            "{name}"
        );
        assert_eq!(w["bounded"], false, "{name}");
    }
    for name in ["real-keyed", "real-unsafe"] {
        assert!(world(name)["states"].as_u64() > Some(10_000), "{name}");
    }
}

#[test]
fn every_planted_defect_is_found_with_a_way_there() {
    let names = String::from_utf8(check(&["--list-defects"]).stdout).expect("text");
    let names: Vec<&str> = names.lines().filter_map(|l| l.split_whitespace().next()).collect();
    assert!(names.len() >= 15, "{names:?}");
    for name in names {
        let output = check(&["--defect", name, "--json"]);
        assert_eq!(output.status.code(), Some(1), "{name} is not found");
        let worlds = last_line(&output)["worlds"].clone();
        let broken = worlds.as_array().expect("worlds").iter().find_map(|w| w["broken"].as_object());
        let steps = broken.and_then(|b| b["steps"].as_array()).expect("a trace");
        assert!((2..=12).contains(&steps.len()), "{name}: {steps:?}");
    }
}

#[test]
fn a_command_line_that_will_not_do_is_one_plain_line() {
    for args in [["--defect", "none-such"], ["--world", "none-such"]] {
        let output = check(&args);
        assert_eq!(output.status.code(), Some(2));
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
    }
}
