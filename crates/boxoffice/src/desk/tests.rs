//! Desks and a keeper, some of them cut off from it.

use super::*;
use crate::roster::{Change, Roster};
use crate::{gone_after, Keeper};
use std::collections::BTreeSet;

const S: Time = 1_000_000_000;

fn limits(rate: f64, burst: f64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("t".to_string(), Limit::new(rate, burst))])
}

/// So many gateways, all of which have their even parts.
fn names(n: u64) -> Roster {
    let mut all = Roster::default();
    for g in 0..n {
        all.apply(g + 1, &Change::There { name: format!("g{g}"), life: 1 });
    }
    all.apply(n + 1, &Change::Parts { until: n });
    all
}

/// The same without this one, and with that one in another life.
fn but(mut all: Roster, gone: Option<&str>, anew: Option<&str>) -> Roster {
    if let Some(name) = gone {
        assert!(all.apply(20, &Change::Gone { name: name.into(), life: 1 }));
    }
    if let Some(name) = anew {
        assert!(all.apply(21, &Change::There { name: name.into(), life: 2 }));
    }
    all
}

/// A tenant's requests at several desks, some of them cut off from the keeper for a while; the keeper changes once.
/// How many passed in each 10 ms, and how many were turned away.
fn play(rate: f64, asked: f64, cut: std::ops::Range<u64>, new_keeper: u64) -> (Vec<u32>, u32) {
    let (all, limits) = (names(6), limits(rate, rate));
    let mut keeper = Keeper::begin(0, 1, &limits, &BTreeSet::new(), &all);
    let mut desks: Vec<Desk> = (0..6).map(|_| Desk::new(0)).collect();
    desks.iter_mut().for_each(|d| {
        d.limits(0, &limits);
        d.gateways(6, 7);
    });
    let (mut passed, mut refused, mut x) = (Vec::new(), 0, 12345u64);
    let mut draw = move || {
        x = x.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (x >> 33) as f64 / (1u64 << 31) as f64
    };
    let mut waits: Vec<Vec<Time>> = vec![Vec::new(); 6];
    for step in 0..3000u64 {
        let now = step * 10 * MS;
        if step == new_keeper {
            keeper = Keeper::begin(now, step, &limits, &BTreeSet::new(), &all);
        }
        let mut through = 0;
        for (g, desk) in desks.iter_mut().enumerate() {
            let reached = !(cut.contains(&step) && g < 2);
            let mut tries: Vec<Option<Time>> = waits[g].drain(..).map(Some).collect();
            if draw() < asked * 0.01 / 6.0 {
                tries.push(None);
            }
            for since in tries {
                match desk.spend(now, "t", draw(), since) {
                    Verdict::Granted => through += 1,
                    Verdict::Refused { .. } => refused += 1,
                    Verdict::Wait { .. } => waits[g].push(since.unwrap_or(now)),
                    Verdict::Slowed { .. } => unreachable!("it has no trial"),
                }
            }
            if let Some(ask) = desk.ask(now).filter(|_| reached) {
                let lent = keeper.ask(now, &format!("g{g}"), &ask).expect("it is known");
                desk.lent(now, &lent);
            }
        }
        passed.push(through);
    }
    (passed, refused)
}

fn most_in_five_seconds(passed: &[u32]) -> u32 {
    passed.windows(500).map(|w| w.iter().sum()).max().unwrap_or(0)
}

#[test]
fn what_is_asked_beyond_the_limit_never_passes_whoever_is_cut_off_and_whoever_keeps() {
    for rate in [10.0, 60.0] {
        let (passed, refused) = play(rate, 5.0 * rate, 500..1500, 1200);
        let most = f64::from(most_in_five_seconds(&passed));
        assert!(most <= (5.0 * rate + rate) * 1.1 + 20.0, "{most} at {rate} a second");
        assert!(refused > 0);
        // And the limit is had.
        let whole: u32 = passed[1500..].iter().sum();
        assert!(f64::from(whole) >= 0.9 * 15.0 * rate, "{whole} in 15 s at {rate} a second");
    }
}

#[test]
fn below_the_limit_nearly_all_pass() {
    let (passed, refused) = play(30.0, 30.0 / 1.6, 0..0, 9999);
    let passed: u32 = passed.iter().sum();
    assert!(f64::from(refused) <= 0.01 * f64::from(passed), "{refused} refused beside {passed}");
}

#[test]
fn units_end_and_go_back() {
    let mut desk = Desk::new(0);
    desk.limits(0, &limits(10.0, 10.0));
    assert!(!matches!(desk.spend(0, "t", 0.5, None), Verdict::Granted), "nothing is known yet");
    let ask = desk.ask(0).expect("it is time");
    desk.lent(MS, &Lent { number: ask.number, ..Lent::default() });
    assert!(matches!(desk.spend(MS, "t", 0.5, None), Verdict::Wait { .. }));
    let ask = desk.ask(MS).expect("somebody waits");
    let loan = crate::Loan { tenant: "t".into(), units: 3, left: 5.0, metered: 1.0 };
    assert!(desk.lent(2 * MS, &Lent { number: ask.number, loans: vec![loan], ..Lent::default() }));
    assert_eq!(desk.spend(3 * MS, "t", 0.5, Some(MS)), Verdict::Granted);
    // Awake from a freeze: the two others have ended, whatever the desk thinks of the time between.
    assert!(!matches!(desk.spend(S, "t", 0.5, None), Verdict::Granted));
    let ask = desk.ask(S).expect("it is time");
    assert_eq!(ask.wants[0].back, 2);
}

/// Three gateways share 60 a second; one is cut off from the beginning on, or from 10 s on. Its part ends at 5 s without an answer, and
/// is the others' from [`gone_after`] that on, once that is agreed on; never both.
#[test]
fn a_part_ends_at_its_gateway_before_the_keeper_gives_it_away() {
    let ends = 5 * S;
    for cut in [0, 10 * S] {
        let (limits, all) = (limits(60.0, 60.0), names(3));
        let mut keeper = Keeper::begin(0, 1, &limits, &BTreeSet::new(), &all);
        let (mut last, mut gone) = (0, None);
        let mut alone = Desk::new(0);
        alone.limits(0, &limits);
        alone.gateways(3, 4);
        alone.part_ends(ends);
        let mut others = 0;
        for now in (0..40 * S).step_by(10 * MS as usize) {
            if let Some(ask) = alone.ask(now).filter(|_| now < cut) {
                alone.lent(now, &keeper.ask(now, "g0", &ask).expect("it is known"));
            }
            if alone.spend(now, "t", 1.0, Some(0)) == Verdict::Granted {
                last = now;
            }
            for name in ["g1", "g2"] {
                let wants = vec![Want { tenant: "t".into(), units: 60, asked: 60, back: 0 }];
                let ask = Ask { number: 1, wants, ..Ask::default() };
                let lent = keeper.ask(now, name, &ask).expect("it is known");
                others += lent.loans.iter().map(|l| l.units).sum::<u32>();
            }
            let out = keeper.gone(now, gone_after(ends));
            if gone.is_none() && !out.is_empty() {
                assert_eq!(out, [("g0".to_string(), 1)]);
                // Nobody is answered between the word and its being agreed on.
                let ask = alone.ask(now + S).expect("it asks on");
                assert_eq!(keeper.ask(now, "g0", &ask), None);
                keeper.gateways(now, &but(names(3), Some("g0"), None));
                (gone, others) = (Some(now), 0);
            }
        }
        let gone = gone.expect("it is taken for gone");
        assert!(last < cut + ends && last > cut + ends - S, "spent until {last}");
        assert!(gone >= last + ends / 10, "{gone}");
        // All of the rate is the others' now.
        let rate = f64::from(others) / secs(40 * S - gone);
        assert!((57.0..63.0).contains(&rate), "{rate} a second");
    }
}

#[test]
fn one_that_begins_anew_is_another_and_counts_from_then() {
    let limits = limits(60.0, 60.0);
    let mut keeper = Keeper::begin(0, 1, &limits, &BTreeSet::new(), &names(2));
    keeper.gateways(50 * S, &but(names(2), None, Some("g0")));
    assert_eq!(keeper.gone(60 * S, 30 * S), [("g1".to_string(), 1)]);
    assert_eq!(keeper.gone(80 * S, 30 * S).len(), 2);
    // Agreed on once more, it is answered again.
    keeper.gateways(80 * S, &Roster::default());
    keeper.gateways(81 * S, &names(2));
    assert!(keeper.ask(81 * S, "g1", &Ask::default()).is_some());
}
