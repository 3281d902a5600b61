//! Stories of leases: a planner and accounts, step by step, without a network. Each shows in a few steps what a
//! rule of the pool is for, and that a defect in it passes an allowance.

use forward::{Account, Mode, Verdict};
use interface::{Name, Time};
use plan::message::{Entry, Lease, Report, Seat};
use plan::{defects, Allowance, LeaseConfig, Planner};
use std::sync::{Mutex, MutexGuard, PoisonError};

const MS: Time = 1_000_000;

/// Defects are the process's, so that one test runs at a time.
static ONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    let one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    defects::plant(None);
    one
}

/// What a story comes to without and with a defect.
fn both<T>(defect: &str, story: impl Fn() -> T) -> (T, T) {
    let good = story();
    assert!(defects::plant(Some(defect)), "{defect}");
    let bad = story();
    defects::plant(None);
    (good, bad)
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

/// Planners, and accounts that know one of them each.
struct Room {
    now: Time,
    tick: Time,
    planners: Vec<Planner>,
    accounts: Vec<Account>,
    /// Which planner an account's reports come to, and whether its grants come back. None: neither.
    with: Vec<Option<(usize, bool)>>,
    /// Attempts that are out: seat, customer, until when.
    out: Vec<(usize, usize, Time)>,
}

impl Room {
    /// Accounts that have just begun to spend their own shares.
    fn new(terms: &LeaseConfig, most: usize) -> Self {
        let planners = (1..3).map(|nonce| Planner::new(terms.clone(), nonce, most).unwrap()).collect();
        let account = |seat| Account::new(terms.clone(), seat, 10 + u64::from(seat), 1, 0).unwrap();
        let accounts: Vec<_> = (0..terms.seats).map(account).collect();
        let with = vec![None; accounts.len()];
        let mut room = Room { now: 0, tick: terms.tick, planners, accounts, with, out: Vec::new() };
        room.pass(terms.loan_duration_at_forwarder() + 2 * terms.tick);
        room
    }

    /// One account's tick: its report, and the grant that answers it.
    fn tick_one(&mut self, seat: usize) {
        for (_, report) in self.accounts[seat].tick(self.now) {
            let Some((planner, heard)) = self.with[seat] else { continue };
            let grant = self.planners[planner].handle(self.now, &report).expect("a report in order");
            if heard {
                let _ = self.accounts[seat].grant(self.now, 0, &grant);
            }
        }
    }

    fn step(&mut self) {
        self.now += self.tick;
        let (now, accounts) = (self.now, &mut self.accounts);
        self.out.retain(|(seat, customer, until)| {
            let over = *until <= now;
            if over {
                accounts[*seat].request_ended(&name(*customer), 0.0);
            }
            !over
        });
        (0..self.accounts.len()).for_each(|seat| self.tick_one(seat));
    }

    fn pass(&mut self, time: Time) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn spend(&mut self, seat: usize, customer: usize, units: f64, lasts: Time) -> bool {
        let verdict = self.accounts[seat].spend(self.now, &name(customer), 0, units, false);
        if verdict == Verdict::Granted {
            self.out.push((seat, customer, self.now + lasts));
        }
        verdict == Verdict::Granted
    }

    fn out_of(&self, customer: usize) -> usize {
        self.out.iter().filter(|o| o.1 == customer).count()
    }

    /// How many units a seat gets for one customer that asks as long as it may, for some ticks.
    fn drain(&mut self, seat: usize, ticks: usize) -> f64 {
        let mut got = 0.0;
        for _ in 0..ticks {
            while self.spend(seat, 0, 1.0, 0) {
                got += 1.0;
            }
            self.step();
        }
        got
    }
}

/// Seat 0 keeps 40 attempts out, on its own share and on that of seat 1. Seat 1 loses the planner, and uses its
/// share again when nothing may rest on it any more. The most that were out.
fn withdrawn() -> usize {
    let mut terms = LeaseConfig::new(2, vec![slots(40.0)]);
    terms.max_attempt = 1000 * MS;
    let mut room = Room::new(&terms, 10);
    room.with = vec![Some((0, true)); 2];
    room.pass(3000 * MS);
    let mut most = 0;
    for tick in 0..200 {
        if tick == 60 {
            assert!(room.out_of(0) > 36);
            room.with[1] = None;
        }
        // Two a tick of 20 ticks each.
        (0..2).for_each(|_| _ = room.spend(0, 0, 1.0, 1000 * MS));
        while tick > 60 && room.spend(1, 0, 1.0, 1000 * MS) {}
        most = most.max(room.out_of(0));
        room.step();
    }
    most
}

/// The lease that covers them ends, and a fresh one follows it. Storm 623 was a long form of this.
#[test]
fn slots_in_use_on_withdrawn_shares_are_not_used_again() {
    let _one = alone();
    let (good, bad) = both("slots-laundered", withdrawn);
    assert!(good <= 40, "{good}");
    assert!(bad > 40, "the defect shows: {bad}");
}

#[test]
fn slots_of_an_ended_lease_are_taken_up_only_as_far_as_the_shares_go() {
    let _one = alone();
    let (good, bad) = both("withdrawn-taken-up", withdrawn);
    assert!(good <= 40, "{good}");
    assert!(bad > 40, "the defect shows: {bad}");
}

#[test]
fn what_is_out_on_a_share_when_it_is_lent_counts_there() {
    let _one = alone();
    let mut terms = LeaseConfig::new(2, vec![slots(4.0)]);
    terms.max_attempt = 10_000 * MS;
    let story = || {
        let mut room = Room::new(&terms, 10);
        room.pass(terms.lease_ttl + terms.max_attempt_duration());
        while room.spend(0, 0, 1.0, 9000 * MS) {}
        assert_eq!(room.out_of(0), 2, "its own share");
        // It asks for nothing more, and lends.
        room.pass(3000 * MS);
        room.with = vec![Some((0, true)); 2];
        room.pass(1000 * MS);
        for _ in 0..20 {
            while room.spend(1, 0, 1.0, 9000 * MS) {}
            room.step();
        }
        room.out_of(0)
    };
    assert_eq!(both("in-use-uncounted", story), (4, 6));
}

#[test]
fn a_share_of_slots_with_more_customers_than_a_report_holds_is_lent_late() {
    let _one = alone();
    let mut terms = LeaseConfig::new(2, vec![slots(2.0)]);
    terms.max_attempt = 10_000 * MS;
    let customers = 2 * forward::MAX_REPORT_ENTRIES;
    let story = || {
        let mut room = Room::new(&terms, 100_000);
        room.pass(terms.lease_ttl + terms.max_attempt_duration());
        room.with[1] = Some((0, true));
        for customer in 0..customers {
            assert!(room.spend(0, customer, 1.0, 9000 * MS), "one is its own");
        }
        room.pass(3000 * MS);
        for tick in 0..10 {
            room.with[0] = (tick > 2).then_some((0, true));
            for customer in customers - 1000..customers {
                while room.spend(1, customer, 1.0, 9000 * MS) {}
            }
            room.step();
        }
        let mut out = vec![0; customers];
        room.out.iter().for_each(|o| out[o.1] += 1);
        out.into_iter().max()
    };
    // Half of them are in the first report, and the others in the next, after what seat 1 was granted.
    assert_eq!(both("uncounted-lent", story), (Some(2), Some(3)));
}

#[test]
fn a_customer_that_found_no_room_at_its_planner_begins_with_its_slots_held_back() {
    let _one = alone();
    let mut terms = LeaseConfig::new(2, vec![slots(2.0)]);
    terms.max_attempt = 10_000 * MS;
    let story = || {
        let mut room = Room::new(&terms, 1);
        room.pass(terms.lease_ttl + terms.max_attempt_duration());
        room.with[1] = Some((0, true));
        // Seat 1 takes the only place, for another customer that it soon forgets.
        room.spend(1, 7, 1.0, 0);
        room.pass(200 * MS);
        assert!(room.spend(0, 0, 1.0, 9000 * MS), "one is its own");
        room.with[0] = Some((0, true));
        let mut most = 0;
        for _ in 0..100 {
            while room.spend(1, 0, 1.0, 9000 * MS) {}
            most = most.max(room.out_of(0));
            room.step();
        }
        most
    };
    let (good, bad) = both("turned-away-uncounted", story);
    assert!(good <= 2, "{good}");
    assert_eq!(bad, 3, "the defect shows");
}

#[test]
fn a_lease_that_its_holder_has_forgotten_is_not_offered_again() {
    let _one = alone();
    let mut terms = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    (terms.tick, terms.lease_ttl, terms.loan_ttl) = (20 * MS, 10_000 * MS, 20_000 * MS);
    let story = || {
        let mut room = Room::new(&terms, 10);
        room.with = vec![Some((0, true))];
        room.pass(120_000 * MS);
        let first = room.drain(0, 100);
        assert!(first > 900.0, "{first}");
        // 200 ticks without a word, and the account forgets its customer. Its lease lives for 500.
        room.pass(4500 * MS);
        room.drain(0, 50)
    };
    let (good, bad) = both("forgotten-offered-again", story);
    assert!(good < 80.0, "some 55 have come since: {good}");
    assert!(bad > 500.0, "the defect shows: {bad}");
}

#[test]
fn an_own_store_is_kept_until_it_has_filled_again() {
    let _one = alone();
    let terms = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let story = || {
        let mut room = Room::new(&terms, 10);
        room.pass(120_000 * MS);
        assert!(matches!(room.accounts[0].mode(), Mode::Own { .. }));
        assert!(room.drain(0, 2) > 900.0);
        room.pass(12_000 * MS);
        let again = room.drain(0, 1);
        room.pass(300_000 * MS);
        assert_eq!(room.accounts[0].customers(), 0, "full, it is forgotten");
        again
    };
    let (good, bad) = both("own-store-forgotten", story);
    assert!((100.0..130.0).contains(&good), "{good}");
    assert!(bad > 900.0, "the defect shows: {bad}");
}

/// Grants that are on their way, or lost, offer the same lease until its holder names it.
#[test]
fn one_lease_is_offered_until_it_is_heard_of() {
    let _one = alone();
    let terms = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let mut room = Room::new(&terms, 10);
    room.with = vec![Some((0, true))];
    room.pass(20_000 * MS);
    assert!(!room.spend(0, 0, 1.0, 0));
    room.with = vec![Some((0, false))];
    room.pass(5 * terms.tick);
    let state = room.planners[0].state(room.now);
    assert_eq!(state.customers[0].leases, 1);
    room.with = vec![Some((0, true))];
    room.step();
    assert!(room.spend(0, 0, 1.0, 0), "the first grant that is heard has all");
}

/// Slot-seconds that stay unused while a customer wants them all, over a loss of three leases in series: grants
/// are lost for 700 ms and heard for 200 ms in turn, while attempts last 200 ms. `cargo test` prints the figure.
#[test]
fn leases_lost_in_series_leave_few_slots_idle() {
    let _one = alone();
    let terms = LeaseConfig::new(2, vec![slots(40.0)]);
    let mut room = Room::new(&terms, 10);
    room.with = vec![Some((0, true)); 2];
    room.pass(5000 * MS);
    let (mut idle, mut after) = (0.0, 0.0);
    for tick in 0..200 {
        let lost = (60..120).contains(&tick) && (tick - 60) % 18 < 14;
        room.with[0] = Some((0, !lost));
        while room.spend(0, 0, 1.0, 200 * MS) {}
        if tick >= 60 {
            idle += (40 - room.out_of(0)) as f64 * 0.05;
        }
        if tick >= 120 {
            after += (40 - room.out_of(0)) as f64 * 0.05;
        }
        room.step();
    }
    eprintln!("idle slot-seconds: {idle:.1}, of them after the last loss {after:.1}");
    assert!(after < 10.0, "{after}");
}

// ---- Fractions, and what a panic leaves ----

fn entry(customer: usize, lease: u64, [spent, returned]: [f64; 2], demand: f64) -> Entry {
    let (spent, returned) = ([spent, 0.0, 0.0], [returned, 0.0, 0.0]);
    Entry { customer: name(customer), plan: 0, lease, spent, returned, demand, in_use: 0.0 }
}

/// A seat that lends to a planner and says what it likes.
struct Voice {
    planner: Planner,
    now: Time,
    number: u64,
    acked: u64,
    said: Vec<Entry>,
}

impl Voice {
    fn new(terms: &LeaseConfig) -> Self {
        let planner = Planner::new(terms.clone(), 1, 10).unwrap();
        let mut voice = Voice { planner, now: 0, number: 0, acked: 0, said: Vec::new() };
        voice.say(Vec::new());
        voice
    }

    fn say(&mut self, entries: Vec<Entry>) -> Vec<Lease> {
        self.now += 50 * MS;
        self.number += 1;
        self.said.clone_from(&entries);
        let report = Report {
            seat: 0 as Seat,
            incarnation: 1,
            number: self.number,
            known_epoch: 0,
            nonce: 1,
            acknowledged_grant: self.acked,
            is_lent: self.acked > 0,
            loan: 1,
            slots_free_in: 0,
            attempts_in_flight: 0.0,
            entries,
        };
        let grant = self.planner.handle(self.now, &report).expect("a report in order");
        self.acked = grant.number;
        grant.leases
    }
}

/// What was granted, returned and spent in fractions, over many shapes; leases kept and panics seen.
fn fractions() -> (f64, u64) {
    let terms = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let (mut most, mut panics) = (0.0_f64, 0);
    for part in 1..200 {
        let mut voice = Voice::new(&terms);
        let mut lease = 0;
        let mut granted = 0.0;
        for _ in 0..20 {
            let leases = voice.say(vec![entry(0, lease, [0.0; 2], 7.0 / 3.0)]);
            (lease, granted) = leases.first().map_or((lease, granted), |l| (l.lease, l.granted[0]));
        }
        for step in 1..10 {
            let spent = granted * f64::from(part) / 200.0 * f64::from(step) / 9.0;
            voice.say(vec![entry(0, lease, [spent, 1e6], 0.0)]);
            // A lease of nothing is known from 0 to what was granted, whatever is said of it.
            let state = voice.planner.state(voice.now);
            let held: f64 = state.customers.iter().map(|c| c.outstanding[0] + c.level[0]).sum();
            most = most.max(held);
        }
        panics += voice.planner.panics();
    }
    (most, panics)
}

#[test]
fn fractions_that_round_past_each_other_are_taken_as_they_are() {
    let _one = alone();
    let ((held, panics), (_, with_clamp)) = both("clamp-panics", fractions);
    assert_eq!(panics, 0);
    assert!(held <= 10.0 * 1.5 + 1e-9, "{held}");
    assert!(with_clamp > 0, "the defect shows");
}

/// Panics are planted by a clamp that rounding upsets; the customer alone is closed, and begins with nothing.
#[test]
fn a_customer_that_leads_to_a_panic_is_forgotten_alone() {
    let _one = alone();
    let terms = LeaseConfig::new(1, vec![quota(10.0, 1000.0)]);
    let story = || {
        for part in 1..200 {
            let mut voice = Voice::new(&terms);
            let (mut ours, mut other) = (0, 0);
            let mut granted = 0.0;
            for _ in 0..2000 {
                let entries = vec![entry(0, ours, [0.0; 2], 50.0 / 3.0), entry(1, other, [0.0; 2], 5.0)];
                let leases = voice.say(entries);
                let [first, second] = &leases[..] else { continue };
                (ours, granted, other) = (first.lease, first.granted[0], second.lease);
            }
            for step in 1..10 {
                let spent = granted * f64::from(part) / 200.0 * f64::from(step) / 9.0;
                let entries = vec![entry(0, ours, [spent, 1e6], 0.0), entry(1, other, [0.0, 0.0], 5.0)];
                let leases = voice.say(entries);
                if voice.planner.panics() == 0 {
                    continue;
                }
                assert_eq!(leases.len(), 1, "the other customer goes on");
                assert_eq!(leases[0].lease, other);
                // Until its leases have ended it is granted nothing.
                let closed = voice.now + terms.lease_ttl;
                while voice.now + 50 * MS <= closed {
                    assert_eq!(voice.say(vec![entry(0, 0, [0.0; 2], 50.0)]), []);
                }
                voice.say(vec![entry(0, 0, [0.0; 2], 50.0)]);
                let state = voice.planner.state(voice.now);
                let ours = state.customers.iter().find(|c| *c.customer == *name(0)).expect("it is known");
                return ours.level[0] + ours.outstanding[0];
            }
        }
        panic!("no fraction led to a panic");
    };
    assert!(defects::plant(Some("clamp-panics")));
    let good = story();
    assert!(good < 1.0, "a tick's worth at most: {good}");
    assert!(defects::plant(Some("clamp-panics+forgotten-begins-full")));
    let bad = std::panic::catch_unwind(story);
    assert!(!matches!(bad, Ok(level) if level < 1.0), "the defect shows");
    defects::plant(None);
}

// ---- Whom a forwarder asks ----

/// Whom an account that has just lost its planner asks, tick by tick; nobody answers.
fn asked(believed: &[Option<bool>], ticks: usize) -> Vec<usize> {
    let terms = LeaseConfig::new(2, vec![slots(40.0)]);
    let mut account = Account::new(terms.clone(), 0, 7, believed.len(), 0).unwrap();
    account.set_planner_liveness(believed);
    let at = |n: usize| n as Time * terms.tick;
    (0..ticks).flat_map(|n| account.tick(at(n))).map(|(planner, _)| planner).collect()
}

#[test]
fn a_planner_that_is_believed_dead_is_passed_over_but_in_every_fourth_turn() {
    let _one = alone();
    assert_eq!(asked(&[None, None], 10), [0, 0, 0, 0, 1, 1, 1, 1, 1, 0], "as ever, if nothing is known");
    let known = asked(&[Some(false), Some(true)], 40);
    assert_eq!(known[..9], [1; 9], "at once, not at the fifth tick");
    let doubted = known.iter().filter(|p| **p == 0).count();
    assert!((4..=10).contains(&doubted), "{known:?}");
    assert_eq!(known.iter().position(|p| *p == 0), Some(15), "a wrong belief costs three turns: {known:?}");
    assert_eq!(asked(&[Some(false), Some(false)], 10), asked(&[None, None], 10), "all dead: as if none were");
    assert_eq!(asked(&[Some(false), None, Some(true)], 8), [1, 1, 1, 1, 1, 2, 2, 2]);
}
