//! Scripted scenarios of leases: a planner and accounts, step by step, without a network. Each shows in a few steps which
//! fault a rule of the pool prevents, and that a defect in the rule exceeds an allowance.

use forward::{Account, Mode, Verdict};
use interface::{Name, Time};
use plan::message::{Entry, Lease, Report, Seat};
use plan::{defects, Allowance, LeaseConfig, Planner};
use std::sync::{Mutex, MutexGuard, PoisonError};

const NS_PER_MS: Time = 1_000_000;

/// Planted defects are process-wide, so that the tests run one at a time.
static DEFECT_LOCK: Mutex<()> = Mutex::new(());

fn without_defects() -> MutexGuard<'static, ()> {
    let guard = DEFECT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    defects::plant(None);
    guard
}

/// Returns the results of a scenario without and with a defect.
fn run_without_and_with<T>(defect: &str, scenario: impl Fn() -> T) -> (T, T) {
    let without_defect = scenario();
    assert!(defects::plant(Some(defect)), "{defect}");
    let with_defect = scenario();
    defects::plant(None);
    (without_defect, with_defect)
}

fn slots(slots: f64) -> Allowance {
    Allowance { slots, ..Allowance::default() }
}

fn quota(quota_rate: f64, quota_depth: f64) -> Allowance {
    Allowance { quota_rate, quota_depth, ..Allowance::default() }
}

fn name(customer: usize) -> Name {
    format!("c-{customer}").into()
}

/// Planners, and accounts that each reach at most one of them.
struct Cluster {
    now: Time,
    tick: Time,
    planners: Vec<Planner>,
    accounts: Vec<Account>,
    /// Per account: the planner that receives its reports, and whether the grants are delivered. `None`: neither.
    reachable_planner: Vec<Option<(usize, bool)>>,
    /// Attempts in flight: seat, customer, and time of the end.
    in_flight: Vec<(usize, usize, Time)>,
}

impl Cluster {
    /// Creates accounts that have just started to spend their own shares.
    fn new(config: &LeaseConfig, max_customers: usize) -> Self {
        let planners =
            (1..3).map(|nonce| Planner::new(config.clone(), nonce, max_customers).unwrap()).collect();
        let account = |seat| Account::new(config.clone(), seat, 10 + u64::from(seat), 1, 0).unwrap();
        let accounts: Vec<_> = (0..config.seats).map(account).collect();
        let reachable_planner = vec![None; accounts.len()];
        let mut cluster = Cluster {
            now: 0,
            tick: config.tick,
            planners,
            accounts,
            reachable_planner,
            in_flight: Vec::new(),
        };
        cluster.advance(config.loan_duration_at_forwarder() + 2 * config.tick);
        cluster
    }

    /// Runs one account's tick: delivers its report to the planner, and the grant to the account.
    fn tick_one(&mut self, seat: usize) {
        for (_, report) in self.accounts[seat].tick(self.now) {
            let Some((planner, grants_delivered)) = self.reachable_planner[seat] else { continue };
            let grant = self.planners[planner].handle(self.now, &report).expect("a report in order");
            if grants_delivered {
                let _ = self.accounts[seat].grant(self.now, 0, &grant);
            }
        }
    }

    fn step(&mut self) {
        self.now += self.tick;
        let (now, accounts) = (self.now, &mut self.accounts);
        self.in_flight.retain(|(seat, customer, until)| {
            let has_ended = *until <= now;
            if has_ended {
                accounts[*seat].request_ended(&name(*customer), 0.0);
            }
            !has_ended
        });
        (0..self.accounts.len()).for_each(|seat| self.tick_one(seat));
    }

    fn advance(&mut self, time: Time) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn spend(&mut self, seat: usize, customer: usize, units: f64, duration: Time) -> bool {
        let verdict = self.accounts[seat].spend(self.now, &name(customer), 0, units, false);
        if verdict == Verdict::Granted {
            self.in_flight.push((seat, customer, self.now + duration));
        }
        verdict == Verdict::Granted
    }

    fn in_flight_of(&self, customer: usize) -> usize {
        self.in_flight.iter().filter(|o| o.1 == customer).count()
    }

    /// Returns the number of units granted at a seat to a customer that spends as much as it can for `ticks` ticks.
    fn drain(&mut self, seat: usize, ticks: usize) -> f64 {
        let mut units = 0.0;
        for _ in 0..ticks {
            while self.spend(seat, 0, 1.0, 0) {
                units += 1.0;
            }
            self.step();
        }
        units
    }
}

/// Seat 0 keeps 40 attempts in flight, on its own share and on that of seat 1. Seat 1 loses the planner and uses its
/// share again once no attempt can be in flight on it. Returns the maximum number of attempts in flight.
fn max_in_flight_on_withdrawn_shares() -> usize {
    let mut config = LeaseConfig::new(2, vec![slots(40.0)]);
    config.max_attempt = 1000 * NS_PER_MS;
    let mut cluster = Cluster::new(&config, 10);
    cluster.reachable_planner = vec![Some((0, true)); 2];
    cluster.advance(3000 * NS_PER_MS);
    let mut most = 0;
    for tick in 0..200 {
        if tick == 60 {
            assert!(cluster.in_flight_of(0) > 36);
            cluster.reachable_planner[1] = None;
        }
        // Two attempts per tick, each of 20 ticks.
        (0..2).for_each(|_| _ = cluster.spend(0, 0, 1.0, 1000 * NS_PER_MS));
        while tick > 60 && cluster.spend(1, 0, 1.0, 1000 * NS_PER_MS) {}
        most = most.max(cluster.in_flight_of(0));
        cluster.step();
    }
    most
}

/// The lease that covers the slots ends and is followed by a new one. The fault schedule of seed 623 in `storms.rs` was a
/// longer form of this.
#[test]
fn slots_in_use_on_withdrawn_shares_are_not_used_again() {
    let _guard = without_defects();
    let (without_defect, with_defect) =
        run_without_and_with("slots-laundered", max_in_flight_on_withdrawn_shares);
    assert!(without_defect <= 40, "{without_defect}");
    assert!(with_defect > 40, "the defect shows: {with_defect}");
}

#[test]
fn slots_of_an_ended_lease_are_taken_up_only_as_far_as_the_shares_go() {
    let _guard = without_defects();
    let (without_defect, with_defect) =
        run_without_and_with("withdrawn-taken-up", max_in_flight_on_withdrawn_shares);
    assert!(without_defect <= 40, "{without_defect}");
    assert!(with_defect > 40, "the defect shows: {with_defect}");
}

#[test]
fn what_is_out_on_a_share_when_it_is_lent_counts_there() {
    let _guard = without_defects();
    let mut config = LeaseConfig::new(2, vec![slots(4.0)]);
    config.max_attempt = 10_000 * NS_PER_MS;
    let scenario = || {
        let mut cluster = Cluster::new(&config, 10);
        cluster.advance(config.lease_ttl + config.max_attempt_duration());
        while cluster.spend(0, 0, 1.0, 9000 * NS_PER_MS) {}
        assert_eq!(cluster.in_flight_of(0), 2, "its own share");
        // Seat 0 sends no more requests, and lends its share.
        cluster.advance(3000 * NS_PER_MS);
        cluster.reachable_planner = vec![Some((0, true)); 2];
        cluster.advance(1000 * NS_PER_MS);
        for _ in 0..20 {
            while cluster.spend(1, 0, 1.0, 9000 * NS_PER_MS) {}
            cluster.step();
        }
        cluster.in_flight_of(0)
    };
    assert_eq!(run_without_and_with("in-use-uncounted", scenario), (4, 6));
}

#[test]
fn a_share_of_slots_with_more_customers_than_a_report_holds_is_lent_late() {
    let _guard = without_defects();
    let mut config = LeaseConfig::new(2, vec![slots(2.0)]);
    config.max_attempt = 10_000 * NS_PER_MS;
    let customers = 2 * forward::MAX_REPORT_ENTRIES;
    let scenario = || {
        let mut cluster = Cluster::new(&config, 100_000);
        cluster.advance(config.lease_ttl + config.max_attempt_duration());
        cluster.reachable_planner[1] = Some((0, true));
        for customer in 0..customers {
            assert!(cluster.spend(0, customer, 1.0, 9000 * NS_PER_MS), "one is its own");
        }
        cluster.advance(3000 * NS_PER_MS);
        for tick in 0..10 {
            cluster.reachable_planner[0] = (tick > 2).then_some((0, true));
            for customer in customers - 1000..customers {
                while cluster.spend(1, customer, 1.0, 9000 * NS_PER_MS) {}
            }
            cluster.step();
        }
        let mut per_customer = vec![0; customers];
        cluster.in_flight.iter().for_each(|o| per_customer[o.1] += 1);
        per_customer.into_iter().max()
    };
    // The first report holds half of the customers; the next holds the others, after the grants to seat 1.
    assert_eq!(run_without_and_with("uncounted-lent", scenario), (Some(2), Some(3)));
}

#[test]
fn a_customer_that_found_no_room_at_its_planner_begins_with_its_slots_held_back() {
    let _guard = without_defects();
    let mut config = LeaseConfig::new(2, vec![slots(2.0)]);
    config.max_attempt = 10_000 * NS_PER_MS;
    let scenario = || {
        let mut cluster = Cluster::new(&config, 1);
        cluster.advance(config.lease_ttl + config.max_attempt_duration());
        cluster.reachable_planner[1] = Some((0, true));
        // Seat 1 takes the only place at the planner, for another customer that it soon forgets.
        cluster.spend(1, 7, 1.0, 0);
        cluster.advance(200 * NS_PER_MS);
        assert!(cluster.spend(0, 0, 1.0, 9000 * NS_PER_MS), "one is its own");
        cluster.reachable_planner[0] = Some((0, true));
        let mut most = 0;
        for _ in 0..100 {
            while cluster.spend(1, 0, 1.0, 9000 * NS_PER_MS) {}
            most = most.max(cluster.in_flight_of(0));
            cluster.step();
        }
        most
    };
    let (without_defect, with_defect) = run_without_and_with("turned-away-uncounted", scenario);
    assert!(without_defect <= 2, "{without_defect}");
    assert_eq!(with_defect, 3, "the defect shows");
}

#[test]
fn a_lease_that_its_holder_has_forgotten_is_not_offered_again() {
    let _guard = without_defects();
    let mut config = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    (config.tick, config.lease_ttl, config.loan_ttl) =
        (20 * NS_PER_MS, 10_000 * NS_PER_MS, 20_000 * NS_PER_MS);
    let scenario = || {
        let mut cluster = Cluster::new(&config, 10);
        cluster.reachable_planner = vec![Some((0, true))];
        cluster.advance(120_000 * NS_PER_MS);
        let first = cluster.drain(0, 100);
        assert!(first > 900.0, "{first}");
        // After 200 ticks without a request the account forgets its customer. Its lease is valid for 500 ticks.
        cluster.advance(4500 * NS_PER_MS);
        cluster.drain(0, 50)
    };
    let (without_defect, with_defect) = run_without_and_with("forgotten-offered-again", scenario);
    assert!(without_defect < 80.0, "some 55 units were refilled since: {without_defect}");
    assert!(with_defect > 500.0, "the defect shows: {with_defect}");
}

#[test]
fn an_own_store_is_kept_until_it_has_filled_again() {
    let _guard = without_defects();
    let config = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let scenario = || {
        let mut cluster = Cluster::new(&config, 10);
        cluster.advance(120_000 * NS_PER_MS);
        assert!(matches!(cluster.accounts[0].mode(), Mode::Own { .. }));
        assert!(cluster.drain(0, 2) > 900.0);
        cluster.advance(12_000 * NS_PER_MS);
        let units = cluster.drain(0, 1);
        cluster.advance(300_000 * NS_PER_MS);
        assert_eq!(cluster.accounts[0].customers(), 0, "the customer is forgotten once its bucket is full");
        units
    };
    let (without_defect, with_defect) = run_without_and_with("own-store-forgotten", scenario);
    assert!((100.0..130.0).contains(&without_defect), "{without_defect}");
    assert!(with_defect > 900.0, "the defect shows: {with_defect}");
}

/// Grants in transit or lost offer the same lease until its holder names it in a report.
#[test]
fn one_lease_is_offered_until_it_is_heard_of() {
    let _guard = without_defects();
    let config = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let mut cluster = Cluster::new(&config, 10);
    cluster.reachable_planner = vec![Some((0, true))];
    cluster.advance(20_000 * NS_PER_MS);
    assert!(!cluster.spend(0, 0, 1.0, 0));
    cluster.reachable_planner = vec![Some((0, false))];
    cluster.advance(5 * config.tick);
    let state = cluster.planners[0].state(cluster.now);
    assert_eq!(state.customers[0].leases, 1);
    cluster.reachable_planner = vec![Some((0, true))];
    cluster.step();
    assert!(cluster.spend(0, 0, 1.0, 0), "the first delivered grant contains the full lease");
}

/// Idle slot-seconds of a customer that wants all slots, while three successive leases are lost: grants are lost for
/// 700 ms and delivered for 200 ms in turn, and attempts last 200 ms. `cargo test` prints the figure.
#[test]
fn leases_lost_in_series_leave_few_slots_idle() {
    let _guard = without_defects();
    let config = LeaseConfig::new(2, vec![slots(40.0)]);
    let mut cluster = Cluster::new(&config, 10);
    cluster.reachable_planner = vec![Some((0, true)); 2];
    cluster.advance(5000 * NS_PER_MS);
    let (mut idle, mut after) = (0.0, 0.0);
    for tick in 0..200 {
        let lost = (60..120).contains(&tick) && (tick - 60) % 18 < 14;
        cluster.reachable_planner[0] = Some((0, !lost));
        while cluster.spend(0, 0, 1.0, 200 * NS_PER_MS) {}
        if tick >= 60 {
            idle += (40 - cluster.in_flight_of(0)) as f64 * 0.05;
        }
        if tick >= 120 {
            after += (40 - cluster.in_flight_of(0)) as f64 * 0.05;
        }
        cluster.step();
    }
    eprintln!("idle slot-seconds: {idle:.1}, of them after the last loss {after:.1}");
    assert!(after < 10.0, "{after}");
}

// ---- Fractions, and the state after a panic ----

fn entry(customer: usize, lease: u64, [spent, returned]: [f64; 2], demand: f64) -> Entry {
    let (spent, returned) = ([spent, 0.0, 0.0], [returned, 0.0, 0.0]);
    Entry { customer: name(customer), plan: 0, lease, spent, returned, demand, in_use: 0.0 }
}

/// A seat that has lent its share to a planner and reports arbitrary entries.
struct ReportingSeat {
    planner: Planner,
    now: Time,
    number: u64,
    acknowledged_grant_number: u64,
    last_entries: Vec<Entry>,
}

impl ReportingSeat {
    fn new(config: &LeaseConfig) -> Self {
        let planner = Planner::new(config.clone(), 1, 10).unwrap();
        let mut reporting_seat = ReportingSeat {
            planner,
            now: 0,
            number: 0,
            acknowledged_grant_number: 0,
            last_entries: Vec::new(),
        };
        reporting_seat.report(Vec::new());
        reporting_seat
    }

    fn report(&mut self, entries: Vec<Entry>) -> Vec<Lease> {
        self.now += 50 * NS_PER_MS;
        self.number += 1;
        self.last_entries.clone_from(&entries);
        let report = Report {
            seat: 0 as Seat,
            incarnation: 1,
            number: self.number,
            known_epoch: 0,
            nonce: 1,
            acknowledged_grant: self.acknowledged_grant_number,
            is_lent: self.acknowledged_grant_number > 0,
            loan: 1,
            slots_free_in: 0,
            attempts_in_flight: 0.0,
            entries,
        };
        let grant = self.planner.handle(self.now, &report).expect("a report in order");
        self.acknowledged_grant_number = grant.number;
        grant.leases
    }
}

/// Spends and returns many fractions of a grant. Returns the maximum held at the planner and the number of panics.
fn spend_fractions() -> (f64, u64) {
    let config = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let (mut most, mut panics) = (0.0_f64, 0);
    for part in 1..200 {
        let mut reporting_seat = ReportingSeat::new(&config);
        let mut lease = 0;
        let mut granted = 0.0;
        for _ in 0..20 {
            let leases = reporting_seat.report(vec![entry(0, lease, [0.0; 2], 7.0 / 3.0)]);
            (lease, granted) = leases.first().map_or((lease, granted), |l| (l.lease, l.granted[0]));
        }
        for step in 1..10 {
            let spent = granted * f64::from(part) / 200.0 * f64::from(step) / 9.0;
            reporting_seat.report(vec![entry(0, lease, [spent, 1e6], 0.0)]);
            // Whatever is reported of a lease, its known remainder is between 0 and the granted amount.
            let state = reporting_seat.planner.state(reporting_seat.now);
            let held: f64 = state.customers.iter().map(|c| c.outstanding[0] + c.level[0]).sum();
            most = most.max(held);
        }
        panics += reporting_seat.planner.panics();
    }
    (most, panics)
}

#[test]
fn fractions_that_round_past_each_other_are_taken_as_they_are() {
    let _guard = without_defects();
    let ((held, panics), (_, with_clamp)) = run_without_and_with("clamp-panics", spend_fractions);
    assert_eq!(panics, 0);
    assert!(held <= 10.0 * 1.5 + 1e-9, "{held}");
    assert!(with_clamp > 0, "the defect shows");
}

/// The planted defect panics in a clamp when rounding swaps its bounds. Only that customer is closed, and it starts again
/// with empty buckets.
#[test]
fn a_customer_that_leads_to_a_panic_is_forgotten_alone() {
    let _guard = without_defects();
    let config = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let scenario = || {
        for part in 1..200 {
            let mut reporting_seat = ReportingSeat::new(&config);
            let (mut ours, mut other) = (0, 0);
            let mut granted = 0.0;
            for _ in 0..2000 {
                let entries = vec![entry(0, ours, [0.0; 2], 50.0 / 3.0), entry(1, other, [0.0; 2], 5.0)];
                let leases = reporting_seat.report(entries);
                let [first, second] = &leases[..] else { continue };
                (ours, granted, other) = (first.lease, first.granted[0], second.lease);
            }
            for step in 1..10 {
                let spent = granted * f64::from(part) / 200.0 * f64::from(step) / 9.0;
                let entries = vec![entry(0, ours, [spent, 1e6], 0.0), entry(1, other, [0.0, 0.0], 5.0)];
                let leases = reporting_seat.report(entries);
                if reporting_seat.planner.panics() == 0 {
                    continue;
                }
                assert_eq!(leases.len(), 1, "the other customer is still served");
                assert_eq!(leases[0].lease, other);
                // Nothing is granted to it until its leases have ended.
                let closed = reporting_seat.now + config.lease_ttl;
                while reporting_seat.now + 50 * NS_PER_MS <= closed {
                    assert_eq!(reporting_seat.report(vec![entry(0, 0, [0.0; 2], 50.0)]), []);
                }
                reporting_seat.report(vec![entry(0, 0, [0.0; 2], 50.0)]);
                let state = reporting_seat.planner.state(reporting_seat.now);
                let ours = state
                    .customers
                    .iter()
                    .find(|c| *c.customer == *name(0))
                    .expect("the planner knows the customer");
                return ours.level[0] + ours.outstanding[0];
            }
        }
        panic!("no fraction led to a panic");
    };
    assert!(defects::plant(Some("clamp-panics")));
    let without_defect = scenario();
    assert!(without_defect < 1.0, "at most the refill of one tick: {without_defect}");
    assert!(defects::plant(Some("clamp-panics+forgotten-begins-full")));
    let with_defect = std::panic::catch_unwind(scenario);
    assert!(!matches!(with_defect, Ok(level) if level < 1.0), "the defect shows");
    defects::plant(None);
}

// ---- Selection of a planner by a forwarder ----

/// Returns the planners that an account without a planner sends its reports to, tick by tick; none answers.
fn planners_asked(believed: &[Option<bool>], ticks: usize) -> Vec<usize> {
    let config = LeaseConfig::new(2, vec![slots(40.0)]);
    let mut account = Account::new(config.clone(), 0, 7, believed.len(), 0).unwrap();
    account.set_planner_liveness(believed);
    let time_of_tick = |n: usize| n as Time * config.tick;
    (0..ticks).flat_map(|n| account.tick(time_of_tick(n))).map(|(planner, _)| planner).collect()
}

#[test]
fn a_planner_that_is_believed_dead_is_passed_over_but_in_every_fourth_turn() {
    let _guard = without_defects();
    assert_eq!(
        planners_asked(&[None, None], 10),
        [0, 0, 0, 0, 1, 1, 1, 1, 1, 0],
        "the usual order, if nothing is known"
    );
    let asked_planners = planners_asked(&[Some(false), Some(true)], 40);
    assert_eq!(asked_planners[..9], [1; 9], "at once, not at the fifth tick");
    let reports_to_dead = asked_planners.iter().filter(|p| **p == 0).count();
    assert!((4..=10).contains(&reports_to_dead), "{asked_planners:?}");
    assert_eq!(
        asked_planners.iter().position(|p| *p == 0),
        Some(15),
        "a wrong belief costs three turns: {asked_planners:?}"
    );
    assert_eq!(
        planners_asked(&[Some(false), Some(false)], 10),
        planners_asked(&[None, None], 10),
        "all believed dead: as if none were"
    );
    assert_eq!(planners_asked(&[Some(false), None, Some(true)], 8), [1, 1, 1, 1, 1, 2, 2, 2]);
}
