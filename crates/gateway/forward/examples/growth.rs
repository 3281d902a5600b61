//! Measures the cost of planning as the fleet grows: one planner, 8 to 512 forwarders, and 100,000 customers of which
//! 2,000 are active, each through three forwarders. Prints the CPU use of the planner and of one forwarder per second of
//! simulated time, and the bytes per second of each forwarder, framed as on the wire.

use forward::Account;
use interface::{Name, Time};
use plan::wire::{Link, Message, Side, LATEST};
use plan::{Allowance, LeaseConfig, Planner};
use std::time::{Duration, Instant};

const SECONDS: u64 = 4;
const ACTIVE_CUSTOMERS: usize = 2000;
const CUSTOMERS: usize = 100_000;
const FORWARDERS_PER_CUSTOMER: usize = 3;

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
        let config = LeaseConfig::new(seats, vec![plan]);
        let tick = config.tick;
        let mut planner = Planner::new(config.clone(), 7, 200_000).expect("sound terms");
        let mut fleet: Vec<_> = (0..seats)
            .map(|seat| {
                let account =
                    Account::new(config.clone(), seat, 1 + u64::from(seat), 1, 0).expect("sound terms");
                let mut forwarder_link =
                    Link::new(Side::Forwarder, b"a key of sixteen bytes or more", [1; 16], LATEST);
                let mut planner_link =
                    Link::new(Side::Planner, b"a key of sixteen bytes or more", [2; 16], LATEST);
                planner_link.receive(&forwarder_link.hello()).expect("a hello");
                forwarder_link.receive(&planner_link.hello()).expect("a hello");
                (account, forwarder_link, planner_link)
            })
            .collect();
        let names: Vec<Name> = (0..CUSTOMERS).map(|n| format!("customer-{n:06}").into()).collect();
        let (mut planner_cpu, mut forwarder_cpu, mut bytes, mut max_customers) =
            (Duration::ZERO, Duration::ZERO, 0usize, 0);
        let warmup_steps = config.loan_duration_at_forwarder() / tick + 20;
        for step in 0..warmup_steps + SECONDS * 1_000_000_000 / tick {
            let now: Time = step * tick;
            // The set of active customers changes once per second.
            let first_active = (step / 20) as usize * 97 % CUSTOMERS;
            if step == warmup_steps {
                (planner_cpu, forwarder_cpu, bytes) = (Duration::ZERO, Duration::ZERO, 0);
            }
            for (seat, (account, forwarder_link, planner_link)) in fleet.iter_mut().enumerate() {
                let started = Instant::now();
                for n in 0..ACTIVE_CUSTOMERS {
                    if (n + seat) % usize::from(seats) < FORWARDERS_PER_CUSTOMER
                        && (n + step as usize).is_multiple_of(4)
                    {
                        let customer = &names[(first_active + n) % CUSTOMERS];
                        account.spend(now, customer, 0, 1.0, false);
                        account.request_ended(customer, 0.0);
                    }
                }
                let reports = account.tick(now);
                for (_, report) in reports {
                    let frame = forwarder_link.seal(&Message::Report(report));
                    bytes += frame.len();
                    forwarder_cpu += started.elapsed();
                    let started = Instant::now();
                    let mut responses = Vec::new();
                    for message in planner_link.receive(&frame).expect("sound") {
                        let Message::Report(report) = message else { continue };
                        let grant = planner.handle(now, &report).expect("in order");
                        responses.push(planner_link.seal(&Message::Grant(grant)));
                    }
                    planner_cpu += started.elapsed();
                    let started = Instant::now();
                    for frame in responses {
                        bytes += frame.len();
                        for message in forwarder_link.receive(&frame).expect("sound") {
                            if let Message::Grant(grant) = message {
                                let _ = account.grant(now, 0, &grant);
                            }
                        }
                    }
                    forwarder_cpu += started.elapsed();
                }
            }
            max_customers = max_customers.max(fleet.iter().map(|f| f.0.customers()).max().unwrap_or(0));
        }
        let percent = |d: Duration| 100.0 * d.as_secs_f64() / SECONDS as f64;
        println!(
            "{seats:10}  {:10.1}%  {:18.2}%  {:26}  {max_customers:14}",
            percent(planner_cpu),
            percent(forwarder_cpu) / f64::from(seats),
            bytes / SECONDS as usize / usize::from(seats)
        );
    }
}
