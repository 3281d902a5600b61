//! Gateways are agreed on, as many as there may be, each by the life that it has; and their even parts never come to more than all.

use boxoffice::roster::Change;
use boxoffice::{Ask, Keeper, Roster};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

fn there(name: &str, life: u64) -> Change {
    Change::There { name: name.into(), life }
}

fn gone(name: &str, life: u64) -> Change {
    Change::Gone { name: name.into(), life }
}

#[test]
fn beyond_the_most_nothing_is_asked_for_again_and_again() {
    let mut all = Roster::default();
    let mut place = 0;
    while all.wants(&format!("edge-{place}"), 1) {
        place += 1;
        assert!(all.apply(place, &there(&format!("edge-{}", place - 1), 1)));
        assert!(place < 10_000, "they are bounded");
    }
    assert_eq!(all.members().len(), 4096);
    assert!(!all.wants("edge-7", 1), "it is known");
    // A prompter of another mind proposes it all the same: nothing changes, for anybody.
    assert!(!all.apply(place + 1, &there("one more", 1)));
    // One that begins anew has the place that it had, and one that is over leaves room.
    assert!(all.apply(place + 2, &there("edge-7", 2)));
    assert!(all.apply(place + 3, &gone("edge-9", 1)));
    assert!(all.wants("one more", 1));
}

#[test]
fn a_word_on_an_earlier_life_changes_nothing() {
    let mut all = Roster::default();
    assert!(all.apply(1, &there("g", 5)));
    assert!(!all.apply(2, &there("g", 5)) && all.at() == 1);
    assert!(all.apply(3, &there("g", 6)) && all.at() == 3);
    assert!(!all.apply(4, &gone("g", 5)) && all.at() == 3);
    assert!(all.apply(5, &gone("g", 6)) && all.at() == 5);
    assert!(!all.apply(6, &gone("g", 6)) && all.at() == 5);
    assert!(all.members().is_empty() && all.wants("g", 6));
}

#[test]
fn one_that_joins_counts_at_once_and_has_its_part_later_and_one_that_begins_anew_has_what_it_had() {
    let mut all = Roster::default();
    all.apply(1, &there("a", 1));
    all.apply(2, &there("b", 1));
    assert_eq!((all.parts("a", 1), all.parts("b", 1)), (0, 0));
    assert!(all.apply(3, &Change::Parts { until: 1 }));
    assert_eq!((all.parts("a", 1), all.parts("b", 1)), (2, 0));
    assert!(!all.apply(4, &Change::Parts { until: 1 }), "once more");
    assert!(all.apply(5, &Change::Parts { until: 2 }) && all.parts("b", 1) == 2);
    assert!(all.apply(6, &there("a", 2)));
    assert_eq!((all.parts("a", 1), all.parts("a", 2)), (0, 2));
    // Back from being gone it joins like a new one, whatever was said of it before.
    all.apply(7, &gone("b", 1));
    all.apply(8, &there("b", 1));
    assert!(!all.apply(9, &Change::Parts { until: 2 }) && all.parts("b", 1) == 0);
}

/// A gateway as the keeper hears it, with the roster that it has heard of.
struct Gateway {
    name: String,
    life: u64,
    knows: Roster,
}

/// Gateways come, begin anew and are gone; some hear of it late, some for long not at all, and keepers change, the words of the last
/// one still under way.
#[test]
fn parts_never_come_to_more_than_all_whoever_hears_late() {
    let mut granted = 0;
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let (mut agreed, mut log) = (Roster::default(), Vec::new());
        let mut gateways: Vec<Gateway> = Vec::new();
        let mut keeper = Keeper::begin(0, 1, &BTreeMap::new(), &BTreeSet::new(), &agreed);
        // Proposed, and to be agreed on some time, in any order.
        let mut under_way: Vec<Change> = Vec::new();
        for step in 0..400u64 {
            match rng.u8(..20) {
                0 if gateways.len() < 8 => {
                    let name = format!("g{}", rng.u8(..12));
                    if gateways.iter().all(|g| g.name != name) {
                        under_way.push(there(&name, step + 1));
                        gateways.push(Gateway { name, life: step + 1, knows: Roster::default() });
                    }
                }
                1 if !gateways.is_empty() => {
                    // Another process of the name.
                    let n = rng.usize(..gateways.len());
                    let g = &mut gateways[n];
                    (g.life, g.knows) = (step + 1, Roster::default());
                    under_way.push(there(&g.name, g.life));
                }
                2 if !gateways.is_empty() && rng.bool() => {
                    // It ends; what is agreed on of it follows.
                    let g = gateways.swap_remove(rng.usize(..gateways.len()));
                    under_way.retain(|c| !matches!(c, Change::There { name, .. } if *name == g.name));
                    under_way.push(gone(&g.name, g.life));
                }
                3 => keeper = Keeper::begin(step, step, &BTreeMap::new(), &BTreeSet::new(), &agreed),
                4..=8 if !under_way.is_empty() => {
                    let change = under_way.swap_remove(rng.usize(..under_way.len()));
                    let at = log.len() as u64 + 1;
                    agreed.apply(at, &change);
                    log.push(change);
                    keeper.gateways(step, &agreed);
                }
                9..=14 if !gateways.is_empty() => {
                    // One hears more of the log; the first two seldom.
                    let n = rng.usize(..gateways.len());
                    let g = &mut gateways[n];
                    if n > 1 || rng.u8(..8) == 0 {
                        let until = rng.usize(..=log.len());
                        let mut all = Roster::default();
                        for (n, change) in log.iter().take(until).enumerate() {
                            all.apply(n as u64 + 1, change);
                        }
                        if all.at() > g.knows.at() {
                            g.knows = all;
                        }
                    }
                }
                15..=18 if !gateways.is_empty() => {
                    let g = &gateways[rng.usize(..gateways.len())];
                    if agreed.knows(&g.name, g.life) {
                        let ask = Ask { roster: g.knows.at(), ..Ask::default() };
                        drop(keeper.ask(step, &g.name, &ask));
                    }
                }
                _ => under_way.extend(keeper.joined().map(|until| Change::Parts { until })),
            }
            under_way.truncate(12);
            let parts = gateways.iter().map(|g| g.knows.parts(&g.name, g.life));
            let parts: Vec<u32> = parts.filter(|p| *p > 0).collect();
            granted += parts.len();
            let sum: f64 = parts.iter().map(|p| 1.0 / f64::from(*p)).sum();
            assert!(sum <= 1.0 + 1e-9, "seed {seed}, step {step}: {sum} of one, over {parts:?}");
        }
    }
    assert!(granted > 50_000, "they are had: {granted}");
}
