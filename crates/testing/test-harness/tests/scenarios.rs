//! The scenarios hold with any seed, and fail with each of their defects.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use test_harness::scenario::{Play, Scenario, Size, ALL};

/// Plays at a time in each test: they wait on the clock for most of their time.
const PARALLEL_PLAYS: usize = 2;

fn play(scenario: &Scenario, seed: u64, defect: Option<&str>) -> Vec<String> {
    let time = Duration::from_secs(scenario.test_seconds);
    let size = Size::default();
    let play = Play { seed, time, defect: defect.map(String::from), schedule: None, size };
    let figures = (scenario.run)(&play).expect("it can be played");
    assert!(!figures.figures.is_empty());
    figures.broken
}

/// Runs all checks, a few at a time: what those say that fail.
fn failures<T: Sync>(cases: &[T], check: impl Fn(&T) -> Option<String> + Sync) -> Vec<String> {
    let (next, failed) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let work = || {
        while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
            if let Some(failure) = check(case) {
                failed.lock().expect("no check panics while it holds this").push(failure);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_PLAYS {
            scope.spawn(work);
        }
    });
    failed.into_inner().expect("no check panics while it holds this")
}

#[test]
fn every_scenario_holds() {
    let cases: Vec<(&Scenario, u64)> =
        ALL.iter().flat_map(|scenario| [1, 20_261].map(|seed| (scenario, seed))).collect();
    let failures = failures(&cases, |(scenario, seed)| {
        let broken = play(scenario, *seed, None);
        (!broken.is_empty()).then(|| format!("{} with seed {seed}: {broken:?}", scenario.name))
    });
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn every_defect_is_seen() {
    let cases: Vec<(&Scenario, &str)> = ALL
        .iter()
        .flat_map(|scenario| scenario.defects.iter().map(move |(name, _)| (scenario, *name)))
        .collect();
    let failures = failures(&cases, |(scenario, name)| {
        play(scenario, 3, Some(name)).is_empty().then(|| format!("{}: {name} is not seen", scenario.name))
    });
    assert!(failures.is_empty(), "{failures:#?}");
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
