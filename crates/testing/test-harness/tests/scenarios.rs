//! The scenarios hold with any seed, and fail with each of their defects.

use std::time::Duration;
use test_harness::scenario::{Play, Scenario, Size, ALL};

fn play(scenario: &Scenario, seed: u64, defect: Option<&str>) -> Vec<String> {
    let time = Duration::from_secs(scenario.test_seconds);
    let size = Size::default();
    let play = Play { seed, time, defect: defect.map(String::from), schedule: None, size };
    let figures = (scenario.run)(&play).expect("it can be played");
    assert!(!figures.figures.is_empty());
    figures.broken
}

#[test]
fn every_scenario_holds() {
    for scenario in ALL {
        for seed in [1, 20_261] {
            let broken = play(scenario, seed, None);
            assert!(broken.is_empty(), "{} with seed {seed}: {broken:?}", scenario.name);
        }
    }
}

#[test]
fn every_defect_is_seen() {
    for scenario in ALL {
        for (name, _) in scenario.defects {
            assert!(!play(scenario, 3, Some(name)).is_empty(), "{}: {name} is not seen", scenario.name);
        }
    }
}

/// Defects of the program itself: `cargo test --release -p test-harness --test scenarios -- --ignored`.
#[test]
#[ignore = "a build of its own, and some three minutes"]
fn every_defect_of_the_program_is_seen() {
    for scenario in ALL {
        for (name, _) in scenario.planted {
            let broken = play(scenario, 3, Some(name));
            println!("{name}: {broken:?}");
            assert!(!broken.is_empty(), "{}: {name} is not seen", scenario.name);
        }
    }
}
