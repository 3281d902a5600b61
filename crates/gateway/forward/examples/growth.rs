//! What planning costs as the fleet grows: one planner, 8 to 512 forwarders, 100,000 customers of which 2,000 are
//! active, each through three forwarders. CPU of the planner and of one forwarder for a second of their time, and
//! bytes a second for each forwarder, sealed as on the wire.

use forward::Account;
use interface::{Name, Time};
use plan::wire::{Link, Message, Side, LATEST};
use plan::{Allowance, LeaseConfig, Planner};
use std::time::{Duration, Instant};

const SECONDS: u64 = 4;
const ACTIVE: usize = 2000;
const CUSTOMERS: usize = 100_000;
const THROUGH: usize = 3;

fn main() {
    println!("forwarders  planner CPU  one forwarder's CPU  bytes a second a forwarder  customers kept");
    for seats in [8u16, 64, 512] {
        let plan = Allowance {
            quota_rate: 60.0,
            quota_depth: 90.0,
            hard_limit_rate: 120.0,
            hard_limit_depth: 150.0,
            slots: 0.0,
        };
        let terms = LeaseConfig::new(seats, vec![plan]);
        let tick = terms.tick;
        let mut planner = Planner::new(terms.clone(), 7, 200_000).expect("sound terms");
        let mut fleet: Vec<_> = (0..seats)
            .map(|seat| {
                let account =
                    Account::new(terms.clone(), seat, 1 + u64::from(seat), 1, 0).expect("sound terms");
                let mut here = Link::new(Side::Forwarder, b"a key of sixteen bytes or more", [1; 16], LATEST);
                let mut there = Link::new(Side::Planner, b"a key of sixteen bytes or more", [2; 16], LATEST);
                there.receive(&here.hello()).expect("a hello");
                here.receive(&there.hello()).expect("a hello");
                (account, here, there)
            })
            .collect();
        let names: Vec<Name> = (0..CUSTOMERS).map(|n| format!("customer-{n:06}").into()).collect();
        let (mut planning, mut forwarding, mut bytes, mut kept) = (Duration::ZERO, Duration::ZERO, 0usize, 0);
        let warm = terms.loan_duration_at_forwarder() / tick + 20;
        for step in 0..warm + SECONDS * 1_000_000_000 / tick {
            let now: Time = step * tick;
            // Which customers are active changes once a second.
            let first = (step / 20) as usize * 97 % CUSTOMERS;
            if step == warm {
                (planning, forwarding, bytes) = (Duration::ZERO, Duration::ZERO, 0);
            }
            for (seat, (account, here, there)) in fleet.iter_mut().enumerate() {
                let started = Instant::now();
                for n in 0..ACTIVE {
                    if (n + seat) % usize::from(seats) < THROUGH && (n + step as usize).is_multiple_of(4) {
                        let customer = &names[(first + n) % CUSTOMERS];
                        account.spend(now, customer, 0, 1.0, false);
                        account.request_ended(customer, 0.0);
                    }
                }
                let reports = account.tick(now);
                for (_, report) in reports {
                    let frame = here.seal(&Message::Report(report));
                    bytes += frame.len();
                    forwarding += started.elapsed();
                    let started = Instant::now();
                    let mut answers = Vec::new();
                    for message in there.receive(&frame).expect("sound") {
                        let Message::Report(report) = message else { continue };
                        let grant = planner.handle(now, &report).expect("in order");
                        answers.push(there.seal(&Message::Grant(grant)));
                    }
                    planning += started.elapsed();
                    let started = Instant::now();
                    for frame in answers {
                        bytes += frame.len();
                        for message in here.receive(&frame).expect("sound") {
                            if let Message::Grant(grant) = message {
                                let _ = account.grant(now, 0, &grant);
                            }
                        }
                    }
                    forwarding += started.elapsed();
                }
            }
            kept = kept.max(fleet.iter().map(|f| f.0.customers()).max().unwrap_or(0));
        }
        let part = |d: Duration| 100.0 * d.as_secs_f64() / SECONDS as f64;
        println!(
            "{seats:10}  {:10.1}%  {:18.2}%  {:26}  {kept:14}",
            part(planning),
            part(forwarding) / f64::from(seats),
            bytes / SECONDS as usize / usize::from(seats)
        );
    }
}
