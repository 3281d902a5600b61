//! Checks that the rules hold over a small set of seeds, that planted defects are detected, and that runs are
//! reproducible.

use fleet_sim::shrink::shrink;
use fleet_sim::story::Story;
use fleet_sim::world::play_with_cuts;
use fleet_sim::{defects, play, Spec};
use std::sync::{Mutex, PoisonError};

/// Defects are planted process-wide, so only one test runs at a time.
static ONE: Mutex<()> = Mutex::new(());

fn world(name: &str) -> Spec {
    Spec::named(name).expect("a world of this name")
}

#[test]
fn every_rule_holds_in_every_world() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    defects::plant(None);
    for name in ["calm", "faults", "mischief", "planners", "leases", "fleet"] {
        for seed in 0..6 {
            let outcome = play(&world(name), seed, false);
            assert_eq!(outcome.violation, None, "{name}, seed {seed}");
            assert!(outcome.stats.served > 100, "{name}, seed {seed}: {:?}", outcome.stats);
        }
    }
}

/// Nothing may depend on per-process state: hash map order, addresses, the system clock. The digest is stored
/// in a file, so that debug and release builds and other machines must produce the same. Any change of
/// decisions changes it.
#[test]
fn one_seed_is_one_run() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    defects::plant(None);
    let spec = Spec { seconds: 10, ..world("planners") };
    let runs = [play(&spec, 7, false), play(&spec, 7, true)].map(|o| (o.digest, o.steps));
    assert_eq!(runs[0], runs[1], "telling changes nothing");
    assert_ne!(runs[0].0, play(&spec, 8, false).digest);
    assert_eq!(runs[0].0, include_str!("digest").trim(), "the digest of planners, seed 7, 10 s");
}

/// A few defects that are found quickly; `fleet-sim explore --defect NAME` finds the others.
#[test]
fn planted_defects_break_a_rule() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    for (name, world_name) in [
        ("send-while-out", "mischief"),
        ("refused-though-run", "faults"),
        ("quiet-skipped", "leases"),
        ("ceilings-by-view", "lies"),
    ] {
        assert!(defects::plant(Some(name)));
        let found = (0..40).find_map(|seed| play(&world(world_name), seed, false).violation);
        defects::plant(None);
        assert!(found.is_some(), "{name} is not found");
    }
}

#[test]
fn a_story_tells_who_what_and_when() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    defects::plant(None);
    let outcome = play(&Spec { seconds: 1, ..world("calm") }, 1, true);
    let has = |what: &str| outcome.story.iter().any(|line| line.contains(what));
    assert!(has("takes") && has("begins attempt 0") && has("is answered: Served"));
    assert!(play(&Spec { seconds: 1, ..world("calm") }, 1, false).story.is_empty());
}

/// A failing run is shrunk while the same rule breaks, and replaying the result ends the same way.
#[test]
fn a_story_is_shrunk_to_what_matters() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(defects::plant(Some("refused-though-run")));
    let spec = world("faults");
    let seed = (0..100).find(|seed| play(&spec, *seed, false).violation.is_some()).expect("it is found");
    let first = play(&spec, seed, false);
    let small = shrink(&spec, seed).expect("it breaks");
    let again = play_with_cuts(&small.spec, seed, false, &small.cuts);
    defects::plant(None);
    assert_eq!(again.violation.as_ref(), Some(&small.violation));
    assert_eq!(first.violation.map(|v| v.rule), Some(small.violation.rule));
    assert!(small.customers_left < spec.customers / 2, "{} customers", small.customers_left);
    assert!(small.faults_left <= first.stats.faults / 2, "{} faults", small.faults_left);
    assert!(again.stats.asked < first.stats.asked / 2, "{} tries", again.stats.asked);
    assert_eq!(shrink(&spec, seed).map(|s| s.violation), None, "without the defect nothing breaks");
}

/// Every story in `tests/stories` breaks its rule with its defect planted, and holds without it.
#[test]
fn stories_break_with_their_defect_and_hold_without() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/stories");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the folder of stories") {
        let path = file.expect("a file of it").path();
        let text = std::fs::read_to_string(&path).expect("a story");
        let story = Story::read(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert!(defects::plant(story.defect.as_deref()));
        let broken = story.play(false).and_then(|o| o.violation);
        defects::plant(None);
        let held = story.play(false).expect("its world").violation;
        assert_eq!(broken.map(|v| v.rule), Some(story.rule.as_str()), "{}", path.display());
        assert_eq!(held, None, "{} without its defect", path.display());
        played += 1;
    }
    assert!(played >= 4, "{played} stories");
}

/// A scenario with a scheduled fault has its intended effect, and no rule is broken.
#[test]
fn planned_days_hold_the_rules_and_leave_their_mark() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    defects::plant(None);
    let calm = play(&world("calm"), 3, false);
    for name in ["crash", "cold", "flood"] {
        let day = play(&world(name), 3, false);
        assert_eq!(day.violation, None, "{name}");
        assert_ne!(day.digest, calm.digest, "{name}");
    }
    let goodput = |o: &fleet_sim::Outcome| o.stats.worth_served / o.stats.worth_asked;
    let cold = play(&world("cold"), 3, false);
    assert!(goodput(&cold) < goodput(&calm), "{} {}", goodput(&cold), goodput(&calm));
    assert!(goodput(&calm) <= 1.0 && goodput(&calm) > 0.5, "{}", goodput(&calm));
}
