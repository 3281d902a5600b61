//! Splits, subsets, zones and ejection: their bounds, counted.

use interface::Name;
use proptest::prelude::*;
use route::eject::{Ejector, Limits};
use route::subset::{size, Subset};
use route::zone::{zone_shares, Spill, Zone};
use route::{Selector, Shadow, Split};
use std::collections::{BTreeMap, BTreeSet};

const SEC: u64 = 1_000_000_000;

fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| Name::from(format!("s-{i:05}"))).collect()
}

fn shares(split: &Split, customers: usize) -> BTreeMap<usize, f64> {
    let mut count = BTreeMap::new();
    for c in 0..customers {
        *count.entry(split.pool(&format!("c-{c}")).expect("a pool")).or_default() += 1.0 / customers as f64;
    }
    count
}

#[test]
fn a_split_gives_each_pool_its_weight() {
    let got = shares(&Split { weights: vec![(0, 70), (1, 25), (2, 5), (3, 0)] }, 100_000);
    for (pool, wanted) in [(0, 0.70), (1, 0.25), (2, 0.05)] {
        assert!((got[&pool] - wanted).abs() < 0.005, "pool {pool}: {}", got[&pool]);
    }
    assert!(!got.contains_key(&3), "a weight of 0 takes nothing");
}

/// 1% more for one pool moves about 1% of the customers, all of them to it.
#[test]
fn a_changed_weight_moves_no_more_than_it_must() {
    let (before, after) =
        (Split { weights: vec![(0, 990), (1, 10)] }, Split { weights: vec![(0, 980), (1, 20)] });
    let (mut moved, mut wrong) = (0, 0);
    for c in 0..100_000 {
        let name = format!("c-{c}");
        let (a, b) = (before.pool(&name), after.pool(&name));
        moved += usize::from(a != b);
        wrong += usize::from(a != b && b != Some(1));
    }
    assert!((800..=1200).contains(&moved), "{moved} of 100,000 moved for 1%");
    assert_eq!(wrong, 0, "and none the other way");
}

#[test]
fn a_pool_that_is_the_only_one_with_a_weight_takes_all() {
    let split = Split { weights: vec![(0, 0), (1, 100)] };
    assert!((0..1000).all(|c| split.pool(&format!("{c}")) == Some(1)));
    assert_eq!(Split { weights: vec![(0, 0)] }.pool("c"), None);
}

#[test]
fn only_safe_requests_are_shadowed_and_about_the_stated_share() {
    let shadow = Shadow { pool: 0, fraction: 0.03 };
    let taken = (0..100_000).filter(|id| shadow.takes(*id, true)).count();
    assert!((2700..=3300).contains(&taken), "{taken}");
    assert!((0..100_000).all(|id| !shadow.takes(id, false)));
    assert!((0..1000).all(|id| Shadow { pool: 0, fraction: 1.0 }.takes(id, true)));
    assert!((0..1000).all(|id| !Shadow { pool: 0, fraction: 0.0 }.takes(id, true)));
}

#[test]
fn a_selector_wants_every_stated_label() {
    let labels = |zone: &str, model: &str| {
        BTreeMap::from([("zone".to_string(), zone.to_string()), ("model".to_string(), model.to_string())])
    };
    let s = Selector {
        match_labels: BTreeMap::from([("zone".to_string(), vec!["a".to_string(), "b".to_string()])]),
    };
    assert!(s.matches(&labels("a", "x")) && s.matches(&labels("b", "y")) && !s.matches(&labels("c", "x")));
    assert!(Selector::default().matches(&labels("c", "x")) && !s.matches(&BTreeMap::new()));
}

fn covered(servers: &[Name], gateways: u32, k: usize) -> (usize, usize) {
    let mut count: BTreeMap<&Name, usize> = servers.iter().map(|s| (s, 0)).collect();
    let subsets: Vec<Subset> = (0..gateways).map(|g| Subset::new(servers, g, gateways, k)).collect();
    subsets.iter().flat_map(Subset::kept).for_each(|s| *count.get_mut(s).expect("one of them") += 1);
    (*count.values().min().expect("some"), *count.values().max().expect("some"))
}

fn replaced(a: &Subset, b: &Subset) -> usize {
    let (a, b): (BTreeSet<_>, BTreeSet<_>) = (a.kept().iter().collect(), b.kept().iter().collect());
    a.difference(&b).count().max(b.difference(&a).count())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_server_is_kept_by_as_many_gateways_within_one(n in 1usize..300, g in 1u32..80, k in 1usize..300) {
        let (least, most) = covered(&names(n), g, k);
        prop_assert!(most - least <= 1, "{} to {}", least, most);
    }

    #[test]
    fn a_server_that_comes_or_goes_replaces_two_at_most(n in 2usize..200, g in 1u32..64, k in 1usize..40, which in 0usize..200) {
        let all = names(n);
        let mut fewer = all.clone();
        fewer.remove(which % n);
        for me in 0..g {
            let moved = replaced(&Subset::new(&all, me, g, k), &Subset::new(&fewer, me, g, k));
            prop_assert!(moved <= 2, "gateway {}: {}", me, moved);
        }
    }

    #[test]
    fn a_gateway_that_comes_or_goes_replaces_its_bound_at_most(n in 1usize..300, g in 1u32..64, k in 1usize..40) {
        let all = names(n);
        let bound = n.div_ceil(g as usize + 1) + 1;
        for me in 0..g {
            let moved = replaced(&Subset::new(&all, me, g, k), &Subset::new(&all, me, g + 1, k));
            prop_assert!(moved <= bound, "gateway {}: {} of {}", me, moved, bound);
        }
    }

    #[test]
    fn a_wrong_count_of_gateways_keeps_servers_all_the_same(n in 1usize..100, me in 0u32..u32::MAX, g in 0u32..u32::MAX, k in 0usize..200) {
        let subset = Subset::new(&names(n), me, g, k);
        prop_assert!(!subset.kept().is_empty() && subset.kept().len() <= n);
    }

    /// What leaves and what stays is all of it, and the other zones stay under their aim.
    #[test]
    fn spill_over_keeps_the_other_zones_within_their_aim(
        zones in prop::collection::vec((0.0f64..200.0, 0.0f64..100.0), 1..5),
        own in 0usize..5,
    ) {
        let zones: Vec<Zone> = zones.into_iter().map(|(used, room)| Zone { used, capacity: room }).collect();
        let own = own % zones.len();
        let spill = Spill::default();
        let all = zone_shares(&zones, own, spill);
        let sum: f64 = all.iter().sum();
        let room: f64 = zones.iter().map(|z| z.capacity).sum();
        prop_assert!((sum - 1.0).abs() < 1e-9 || (room <= 0.0 && sum == 0.0), "{}", sum);
        if zones[own].capacity > 0.0 {
            for (n, zone) in zones.iter().enumerate().filter(|(n, _)| *n != own) {
                let after = zone.used + all[n] * zones[own].used;
                prop_assert!(all[n] == 0.0 || after <= spill.max_target_utilisation * zone.capacity + 1e-6, "{:?} {}", zone, all[n]);
            }
            if zones[own].used <= spill.threshold * zones[own].capacity {
                prop_assert!((all[own] - 1.0).abs() < 1e-9, "nothing leaves without need");
            }
        }
    }
}

#[test]
fn a_subset_widens_until_it_is_whole_and_narrows_again() {
    let mut subset = Subset::new(&names(100), 3, 10, 8);
    let first: Vec<Name> = subset.kept().to_vec();
    let mut steps = 0;
    while subset.widen() {
        steps += 1;
        assert!(subset.kept().starts_with(&first), "it widens, it does not move");
    }
    assert!(subset.holds_all() && steps <= 7, "{steps} steps");
    while subset.narrow(8) {}
    assert_eq!(subset.kept(), first);
    assert!(!Subset::new(&[], 0, 1, 5).widen());
    assert_eq!(size(1000, 64, 2, 20), 32);
    assert_eq!(size(10, 64, 2, 20), 10);
    assert_eq!(size(1000, 4, 1, 20), 250);
}

/// All servers of the own zone are gone: the rest have the work by their room.
#[test]
fn a_zone_without_room_spills_everything() {
    let zones = [
        Zone { used: 5.0, capacity: 0.0 },
        Zone { used: 0.0, capacity: 30.0 },
        Zone { used: 0.0, capacity: 10.0 },
    ];
    assert_eq!(zone_shares(&zones, 0, Spill::default()), [0.0, 0.75, 0.25]);
}

fn ejector(servers: &[Name]) -> Ejector {
    let mut e = Ejector::new(Limits::default());
    e.set_servers(servers);
    e
}

/// A server that fails fast answers soonest, and would draw everything to itself.
#[test]
fn a_server_that_fails_is_left_alone_and_comes_back() {
    let servers = names(10);
    let mut e = ejector(&servers);
    let mut now = SEC;
    for round in 0..40 {
        for (n, s) in servers.iter().enumerate() {
            now += SEC / 1000;
            e.attempt_ended(now, s, n == 3 && round % 10 < 8);
        }
    }
    assert!(e.is_ejected(now, &servers[3], 10));
    assert!((0..10).filter(|n| *n != 3).all(|n| !e.is_ejected(now, &servers[n], 10)));
    now += 30 * SEC;
    assert!(!e.is_ejected(now, &servers[3], 10));
}

/// Its cap: half of the pool failing leaves alone three in ten at most.
#[test]
fn no_more_than_the_stated_share_is_left_alone() {
    let servers = names(10);
    let mut e = ejector(&servers);
    let mut now = SEC;
    for _ in 0..60 {
        for (n, s) in servers.iter().enumerate() {
            now += SEC / 1000;
            e.attempt_ended(now, s, n % 5 < 2);
        }
    }
    let alone = servers.iter().filter(|s| e.is_ejected(now, s, 10)).count();
    assert!((1..=3).contains(&alone), "{alone}");
}

/// Panic: where too few would be left, all are used.
#[test]
fn where_too_few_are_healthy_all_are_used() {
    let servers = names(10);
    let mut e = ejector(&servers);
    let mut now = SEC;
    for _ in 0..40 {
        for (n, s) in servers.iter().enumerate() {
            now += SEC / 1000;
            e.attempt_ended(now, s, n == 3);
        }
    }
    assert!(e.is_ejected(now, &servers[3], 10));
    assert!(!e.is_ejected(now, &servers[3], 5), "half of them can take no work");
}

#[test]
fn a_single_server_is_never_left_alone_and_who_goes_is_forgotten() {
    let servers = names(1);
    let mut e = ejector(&servers);
    for n in 0..50 {
        e.attempt_ended(n * SEC / 100, &servers[0], true);
    }
    assert!(!e.is_ejected(SEC, &servers[0], 1));
    let two = names(2);
    let mut e = ejector(&two);
    for n in 0..50 {
        e.attempt_ended(SEC + n * SEC / 100, &two[1], true);
        e.attempt_ended(SEC + n * SEC / 100, &two[0], false);
    }
    assert!(e.is_ejected(2 * SEC, &two[1], 2));
    e.set_servers(&two[..1]);
    e.set_servers(&two);
    assert!(!e.is_ejected(2 * SEC, &two[1], 2), "one that came back is another process");
}
