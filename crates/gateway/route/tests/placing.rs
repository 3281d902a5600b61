//! Bounds of splits, subsets, zones and ejection.

use interface::Name;
use proptest::prelude::*;
use route::eject::{OutlierConfig, OutlierDetector};
use route::subset::{size, Subset};
use route::zone::{zone_shares, Spill, Zone};
use route::{Selector, Shadow, Split};
use std::collections::{BTreeMap, BTreeSet};

const SEC: u64 = 1_000_000_000;

fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| Name::from(format!("s-{i:05}"))).collect()
}

fn shares(split: &Split, customers: usize) -> BTreeMap<usize, f64> {
    let mut counts = BTreeMap::new();
    for c in 0..customers {
        *counts.entry(split.pool(&format!("c-{c}")).expect("a pool")).or_default() += 1.0 / customers as f64;
    }
    counts
}

#[test]
fn a_split_gives_each_pool_its_weight() {
    let actual = shares(&Split { weights: vec![(0, 70), (1, 25), (2, 5), (3, 0)] }, 100_000);
    for (pool, expected) in [(0, 0.70), (1, 0.25), (2, 0.05)] {
        assert!((actual[&pool] - expected).abs() < 0.005, "pool {pool}: {}", actual[&pool]);
    }
    assert!(!actual.contains_key(&3), "a pool of weight 0 gets nothing");
}

/// One percent more weight for a pool moves about 1% of the customers, all of them to that pool.
#[test]
fn a_changed_weight_moves_no_more_than_it_must() {
    let (before, after) =
        (Split { weights: vec![(0, 990), (1, 10)] }, Split { weights: vec![(0, 980), (1, 20)] });
    let (mut moved, mut moved_elsewhere) = (0, 0);
    for c in 0..100_000 {
        let name = format!("c-{c}");
        let (a, b) = (before.pool(&name), after.pool(&name));
        moved += usize::from(a != b);
        moved_elsewhere += usize::from(a != b && b != Some(1));
    }
    assert!((800..=1200).contains(&moved), "{moved} of 100,000 moved for 1%");
    assert_eq!(moved_elsewhere, 0, "customers moved to the other pool");
}

#[test]
fn a_pool_that_is_the_only_one_with_a_weight_takes_all() {
    let split = Split { weights: vec![(0, 0), (1, 100)] };
    assert!((0..1000).all(|c| split.pool(&format!("{c}")) == Some(1)));
    assert_eq!(Split { weights: vec![(0, 0)] }.pool("c"), None);
}

#[test]
fn only_safe_requests_are_shadowed_and_about_the_configured_share() {
    let shadow = Shadow { pool: 0, fraction: 0.03 };
    let shadowed = (0..100_000).filter(|id| shadow.selects(*id, true)).count();
    assert!((2700..=3300).contains(&shadowed), "{shadowed}");
    assert!((0..100_000).all(|id| !shadow.selects(id, false)));
    assert!((0..1000).all(|id| Shadow { pool: 0, fraction: 1.0 }.selects(id, true)));
    assert!((0..1000).all(|id| !Shadow { pool: 0, fraction: 0.0 }.selects(id, true)));
}

#[test]
fn a_selector_requires_every_label() {
    let labels = |zone: &str, model: &str| {
        BTreeMap::from([("zone".to_string(), zone.to_string()), ("model".to_string(), model.to_string())])
    };
    let s = Selector {
        match_labels: BTreeMap::from([("zone".to_string(), vec!["a".to_string(), "b".to_string()])]),
    };
    assert!(s.matches(&labels("a", "x")) && s.matches(&labels("b", "y")) && !s.matches(&labels("c", "x")));
    assert!(Selector::default().matches(&labels("c", "x")) && !s.matches(&BTreeMap::new()));
}

fn coverage(servers: &[Name], gateways: u32, k: usize) -> (usize, usize) {
    let mut counts: BTreeMap<&Name, usize> = servers.iter().map(|s| (s, 0)).collect();
    let subsets: Vec<Subset> = (0..gateways).map(|g| Subset::new(servers, g, gateways, k)).collect();
    subsets.iter().flat_map(Subset::kept).for_each(|s| *counts.get_mut(s).expect("one of them") += 1);
    (*counts.values().min().expect("some"), *counts.values().max().expect("some"))
}

fn replaced(a: &Subset, b: &Subset) -> usize {
    let (a, b): (BTreeSet<_>, BTreeSet<_>) = (a.kept().iter().collect(), b.kept().iter().collect());
    a.difference(&b).count().max(b.difference(&a).count())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_server_is_kept_by_as_many_gateways_within_one(n in 1usize..300, g in 1u32..80, k in 1usize..300) {
        let (min, max) = coverage(&names(n), g, k);
        prop_assert!(max - min <= 1, "{} to {}", min, max);
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

    /// The shares sum to 1, and the other zones stay below their maximum utilisation.
    #[test]
    fn spill_over_keeps_the_other_zones_within_their_maximum(
        zones in prop::collection::vec((0.0f64..200.0, 0.0f64..100.0), 1..5),
        own in 0usize..5,
    ) {
        let zones: Vec<Zone> = zones.into_iter().map(|(used, capacity)| Zone { used, capacity }).collect();
        let own = own % zones.len();
        let spill = Spill::default();
        let shares = zone_shares(&zones, own, spill);
        let total: f64 = shares.iter().sum();
        let capacity: f64 = zones.iter().map(|z| z.capacity).sum();
        prop_assert!((total - 1.0).abs() < 1e-9 || (capacity <= 0.0 && total == 0.0), "{}", total);
        if zones[own].capacity > 0.0 {
            for (n, zone) in zones.iter().enumerate().filter(|(n, _)| *n != own) {
                let after = zone.used + shares[n] * zones[own].used;
                prop_assert!(shares[n] == 0.0 || after <= spill.max_target_utilisation * zone.capacity + 1e-6, "{:?} {}", zone, shares[n]);
            }
            if zones[own].used <= spill.threshold * zones[own].capacity {
                prop_assert!((shares[own] - 1.0).abs() < 1e-9, "nothing spills over below the threshold");
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
        assert!(subset.kept().starts_with(&first), "widening keeps the first servers");
    }
    assert!(subset.holds_all() && steps <= 7, "{steps} steps");
    while subset.narrow(8) {}
    assert_eq!(subset.kept(), first);
    assert!(!Subset::new(&[], 0, 1, 5).widen());
    assert_eq!(size(1000, 64, 2, 20), 32);
    assert_eq!(size(10, 64, 2, 20), 10);
    assert_eq!(size(1000, 4, 1, 20), 250);
}

/// With all servers of the own zone gone, the other zones share the work by capacity.
#[test]
fn a_zone_without_room_spills_everything() {
    let zones = [
        Zone { used: 5.0, capacity: 0.0 },
        Zone { used: 0.0, capacity: 30.0 },
        Zone { used: 0.0, capacity: 10.0 },
    ];
    assert_eq!(zone_shares(&zones, 0, Spill::default()), [0.0, 0.75, 0.25]);
}

fn detector_of(servers: &[Name]) -> OutlierDetector {
    let mut detector = OutlierDetector::new(OutlierConfig::default());
    detector.set_servers(servers);
    detector
}

/// A server that fails fast responds soonest, and would attract all requests.
#[test]
fn a_failing_server_is_ejected_and_comes_back() {
    let servers = names(10);
    let mut detector = detector_of(&servers);
    let mut now = SEC;
    for round in 0..40 {
        for (n, s) in servers.iter().enumerate() {
            now += SEC / 1000;
            detector.record_outcome(now, s, n == 3 && round % 10 < 8);
        }
    }
    assert!(detector.is_ejected(now, &servers[3], 10));
    assert!((0..10).filter(|n| *n != 3).all(|n| !detector.is_ejected(now, &servers[n], 10)));
    now += 30 * SEC;
    assert!(!detector.is_ejected(now, &servers[3], 10));
}

/// Cap on ejections: with four in ten servers failing, at most three in ten are ejected.
#[test]
fn no_more_than_the_maximum_share_is_ejected() {
    let servers = names(10);
    let mut detector = detector_of(&servers);
    let mut now = SEC;
    for _ in 0..60 {
        for (n, s) in servers.iter().enumerate() {
            now += SEC / 1000;
            detector.record_outcome(now, s, n % 5 < 2);
        }
    }
    let ejected = servers.iter().filter(|s| detector.is_ejected(now, s, 10)).count();
    assert!((1..=3).contains(&ejected), "{ejected}");
}

/// Panic: when too few healthy servers would be left, all are used.
#[test]
fn where_too_few_are_healthy_all_are_used() {
    let servers = names(10);
    let mut detector = detector_of(&servers);
    let mut now = SEC;
    for _ in 0..40 {
        for (n, s) in servers.iter().enumerate() {
            now += SEC / 1000;
            detector.record_outcome(now, s, n == 3);
        }
    }
    assert!(detector.is_ejected(now, &servers[3], 10));
    assert!(!detector.is_ejected(now, &servers[3], 5), "half of the servers can take no work");
}

#[test]
fn a_single_server_is_never_ejected_and_removed_servers_are_forgotten() {
    let servers = names(1);
    let mut detector = detector_of(&servers);
    for n in 0..50 {
        detector.record_outcome(n * SEC / 100, &servers[0], true);
    }
    assert!(!detector.is_ejected(SEC, &servers[0], 1));
    let two = names(2);
    let mut detector = detector_of(&two);
    for n in 0..50 {
        detector.record_outcome(SEC + n * SEC / 100, &two[1], true);
        detector.record_outcome(SEC + n * SEC / 100, &two[0], false);
    }
    assert!(detector.is_ejected(2 * SEC, &two[1], 2));
    detector.set_servers(&two[..1]);
    detector.set_servers(&two);
    assert!(!detector.is_ejected(2 * SEC, &two[1], 2), "a returning server is another process");
}
