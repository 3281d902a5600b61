//! Hard bound on a tenant's requests, `(rate × 5 s + burst) × 1.1` in any five seconds, against randomized worst cases:
//! a flood on a full bucket through few gateways, while gateways are cut off in one or both directions and coordinators
//! change. The operators tolerate 20 more requests; this test does not.

use fastrand::Rng;
use quota::{Decision, Limit, PreviousCoordinator, QuotaClient, QuotaCoordinator, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

const STEP: Time = 10_000_000;
const STEPS_PER_SECOND: u64 = 100;
/// After a leadership transfer to a named node, the new leader follows the previous one immediately.
const MIN_FAILOVER_STEPS: u64 = 1;
/// A process that has just started and has seen no leader is not elected before this time.
const ELECTION_TIMEOUT_STEPS: u64 = 50;
const WINDOW_STEPS: usize = 5 * STEPS_PER_SECOND as usize;
const RATE: f64 = 100.0;
/// Rate of the flood, as a multiple of the tenant's rate.
const FLOOD_RATIO: f64 = 8.0;
/// Number of random schedules.
const SEEDS: u64 = 300;

/// A random schedule, in steps.
#[derive(Debug)]
struct Schedule {
    burst: f64,
    gateways: usize,
    flood_from: u64,
    /// Gateways that receive the flood, each from the given step on.
    flood_moves: Vec<(u64, usize)>,
    /// Gateways that cannot reach the coordinator.
    cuts: Vec<(usize, Range<u64>)>,
    /// Gateways whose requests reach the coordinator but whose answers are lost.
    lost_answers: Vec<(usize, Range<u64>)>,
    /// Whether the other gateways also receive requests, evenly and within their fallback shares.
    is_spread: bool,
    /// Spans without a coordinator, each ended by a new one.
    failovers: Vec<Range<u64>>,
}

impl Schedule {
    fn random(rng: &mut Rng) -> Schedule {
        let gateways = [2, 6, 12][rng.usize(..3)];
        let flood_from = 250 + rng.u64(..50);
        let mut at = flood_from;
        let mut flood_moves = vec![(0, rng.usize(..gateways))];
        let mut cuts = Vec::new();
        for _ in 0..rng.usize(..5) {
            at += rng.u64(10..200);
            let current = flood_moves.last().map_or(0, |(_, gateway)| *gateway);
            // The gateway that receives the flood loses the coordinator, and the flood also moves to another gateway.
            cuts.push((current, at..at + rng.u64(30..400)));
            flood_moves.push((at, rng.usize(..gateways)));
        }
        let mut failovers = Vec::new();
        let mut from = flood_from.saturating_sub(50);
        for _ in 0..rng.usize(..4) {
            from += rng.u64(10..200);
            let until = from + rng.u64(MIN_FAILOVER_STEPS..60);
            failovers.push(from..until);
            from = until;
        }
        let is_spread = rng.usize(..4) == 0;
        let mut lost_answers = Vec::new();
        if rng.bool() {
            let from = flood_from + rng.u64(..100);
            let until = from + rng.u64(30..600);
            lost_answers
                .extend((0..gateways).filter(|_| rng.usize(..4) > 0).map(|gateway| (gateway, from..until)));
        }
        let burst = RATE * [0.3, 1.0, 2.0][rng.usize(..3)];
        Schedule { burst, gateways, flood_from, flood_moves, cuts, lost_answers, is_spread, failovers }
    }

    fn serves_flood(&self, step: u64, gateway: usize) -> bool {
        // Clients stay with a gateway that is cut off, so gateways that received the flood earlier continue to receive
        // it.
        self.flood_moves.iter().any(|(from, flooded)| *from <= step && *flooded == gateway)
    }

    /// Returns the number of requests that arrive at a gateway in one step.
    fn arrivals(&self, rng: &mut Rng, step: u64, gateway: usize) -> usize {
        let mut per_step = |rate: f64| {
            let whole = rate / STEPS_PER_SECOND as f64;
            whole as usize + usize::from(rng.f64() < whole.fract())
        };
        if step < self.flood_from {
            0
        } else if self.serves_flood(step, gateway) {
            per_step(RATE * FLOOD_RATIO)
        } else if self.is_spread {
            per_step(RATE / self.gateways as f64)
        } else {
            0
        }
    }

    fn covers(spans: &[(usize, Range<u64>)], step: u64, gateway: usize) -> bool {
        spans.iter().any(|(affected, span)| *affected == gateway && span.contains(&step))
    }

    /// Returns the number of requests admitted in each step.
    fn run(&self, rng: &mut Rng) -> Vec<u32> {
        let names: BTreeSet<String> = (0..self.gateways).map(|gateway| format!("g{gateway}")).collect();
        let limits = BTreeMap::from([("t".to_string(), Limit::new(RATE, self.burst))]);
        let no_expired_trials = BTreeSet::new();
        let mut coordinator =
            QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &no_expired_trials, &names);
        let mut coordinator_since = 0;
        let mut clients: Vec<QuotaClient> = (0..self.gateways).map(|_| QuotaClient::new(0)).collect();
        for client in &mut clients {
            client.set_limits(0, &limits);
            client.set_gateway_count(self.gateways as u32);
        }
        let mut waiting: Vec<Vec<Time>> = vec![Vec::new(); self.gateways];
        let mut passed = Vec::new();
        for step in 0..1400 {
            let now = step * STEP;
            if self.failovers.iter().any(|span| span.end == step) {
                let was_long = self
                    .failovers
                    .iter()
                    .any(|span| span.end == step && span.end - span.start >= ELECTION_TIMEOUT_STEPS);
                let previous = if was_long {
                    PreviousCoordinator::Unknown
                } else {
                    PreviousCoordinator::from_age(now - coordinator_since)
                };
                coordinator =
                    QuotaCoordinator::new(now, step + 2, previous, &limits, &no_expired_trials, &names);
                coordinator_since = now;
            }
            let has_coordinator = !self.failovers.iter().any(|span| span.contains(&step));
            let mut passed_now = 0;
            for (gateway, client) in clients.iter_mut().enumerate() {
                let mut attempts: Vec<Option<Time>> = waiting[gateway].drain(..).map(Some).collect();
                attempts.extend((0..self.arrivals(rng, step, gateway)).map(|_| None));
                for waiting_since in attempts {
                    match client.acquire(now, "t", rng.f64(), waiting_since) {
                        Decision::Granted => passed_now += 1,
                        Decision::Refused { .. } => {}
                        Decision::Wait { .. } => waiting[gateway].push(waiting_since.unwrap_or(now)),
                        Decision::Throttled { .. } => unreachable!("the tenant has no trial"),
                    }
                }
                let reaches_coordinator = has_coordinator && !Self::covers(&self.cuts, step, gateway);
                let receives_answers = !Self::covers(&self.lost_answers, step, gateway);
                if let Some(request) = client.next_request(now).filter(|_| reaches_coordinator) {
                    let grant = coordinator.grant(now, &format!("g{gateway}"), &request);
                    let grant = grant.expect("the gateway is known");
                    let _ = receives_answers && client.on_grant(now, &grant);
                }
            }
            passed.push(passed_now);
        }
        passed
    }
}

fn max_in_window(passed: &[u32]) -> f64 {
    passed.windows(WINDOW_STEPS).map(|window| f64::from(window.iter().sum::<u32>())).fold(0.0, f64::max)
}

#[test]
fn floods_partitions_and_failovers_keep_the_hard_bound() {
    let mut worst = (0.0, 0);
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let schedule = Schedule::random(&mut rng);
        let max_admitted = max_in_window(&schedule.run(&mut rng));
        let bound = (RATE * 5.0 + schedule.burst) * 1.1;
        if max_admitted / bound > worst.0 {
            worst = (max_admitted / bound, seed);
        }
    }
    assert!(worst.0 <= 1.0, "seed {}: {:.3} of the bound", worst.1, worst.0);
}
