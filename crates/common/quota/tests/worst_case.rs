//! The hard bound on a tenant's requests, `(rate × 5 s + burst) × 1.1` in any five seconds, against drawn worst cases: a
//! flood on a full bucket, through few gateways, while gateways are cut off one way or both and coordinators change. The
//! operators bear 20 requests more, which are left out here.

use fastrand::Rng;
use quota::{Decision, Limit, PreviousCoordinator, QuotaClient, QuotaCoordinator, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

const STEP: Time = 10_000_000;
const STEPS_PER_SECOND: u64 = 100;
/// A leader that is handed over to by name follows the one before at once.
const MIN_FAILOVER_STEPS: u64 = 1;
/// A process that has just started, and has seen no leader, is elected no sooner.
const ELECTION_TIMEOUT_STEPS: u64 = 50;
const WINDOW_STEPS: usize = 5 * STEPS_PER_SECOND as usize;
const RATE: f64 = 100.0;
/// The flood, as a multiple of the rate.
const FLOOD: f64 = 8.0;
/// Schedules drawn.
const SEEDS: u64 = 300;

/// One drawn schedule, in steps.
#[derive(Debug)]
struct Schedule {
    burst: f64,
    gateways: usize,
    flood_from: u64,
    /// The gateway that the flood comes through, from each of these moments on.
    flood_moves: Vec<(u64, usize)>,
    /// Gateways that cannot reach the coordinator.
    cuts: Vec<(usize, Range<u64>)>,
    /// Gateways that reach the coordinator and do not hear it.
    lost_answers: Vec<(usize, Range<u64>)>,
    /// Requests come through all gateways alike, and not beyond each one's fallback share.
    is_spread: bool,
    /// Times without a coordinator, each ended by a new one.
    failovers: Vec<Range<u64>>,
}

impl Schedule {
    fn draw(rng: &mut Rng) -> Schedule {
        let gateways = [2, 6, 12][rng.usize(..3)];
        let flood_from = 250 + rng.u64(..50);
        let mut at = flood_from;
        let mut flood_moves = vec![(0, rng.usize(..gateways))];
        let mut cuts = Vec::new();
        for _ in 0..rng.usize(..5) {
            at += rng.u64(10..200);
            let current = flood_moves.last().map_or(0, |(_, gateway)| *gateway);
            // The gateway that serves the flood loses the coordinator, and the flood goes to another one as well.
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
        // Clients of a gateway that is cut off stay with it: whoever served the flood before goes on being asked.
        self.flood_moves.iter().any(|(from, hot)| *from <= step && *hot == gateway)
    }

    /// Requests that arrive at a gateway in one step.
    fn arrivals(&self, rng: &mut Rng, step: u64, gateway: usize) -> usize {
        let mut per_step = |rate: f64| {
            let whole = rate / STEPS_PER_SECOND as f64;
            whole as usize + usize::from(rng.f64() < whole.fract())
        };
        if step < self.flood_from {
            0
        } else if self.serves_flood(step, gateway) {
            per_step(RATE * FLOOD)
        } else if self.is_spread {
            per_step(RATE / self.gateways as f64)
        } else {
            0
        }
    }

    fn covers(spans: &[(usize, Range<u64>)], step: u64, gateway: usize) -> bool {
        spans.iter().any(|(affected, span)| *affected == gateway && span.contains(&step))
    }

    /// How many requests pass in each step.
    fn play(&self, rng: &mut Rng) -> Vec<u32> {
        let names: BTreeSet<String> = (0..self.gateways).map(|gateway| format!("g{gateway}")).collect();
        let limits = BTreeMap::from([("t".to_string(), Limit::new(RATE, self.burst))]);
        let nothing = BTreeSet::new();
        let mut coordinator =
            QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &nothing, &names);
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
                coordinator = QuotaCoordinator::new(now, step + 2, previous, &limits, &nothing, &names);
                coordinator_since = now;
            }
            let has_coordinator = !self.failovers.iter().any(|span| span.contains(&step));
            let mut passed_now = 0;
            for (gateway, client) in clients.iter_mut().enumerate() {
                let mut attempts: Vec<Option<Time>> = waiting[gateway].drain(..).map(Some).collect();
                attempts.extend((0..self.arrivals(rng, step, gateway)).map(|_| None));
                for since in attempts {
                    match client.acquire(now, "t", rng.f64(), since) {
                        Decision::Granted => passed_now += 1,
                        Decision::Refused { .. } => {}
                        Decision::Wait { .. } => waiting[gateway].push(since.unwrap_or(now)),
                        Decision::Throttled { .. } => unreachable!("the tenant has no trial"),
                    }
                }
                let is_reached = has_coordinator && !Self::covers(&self.cuts, step, gateway);
                let hears = !Self::covers(&self.lost_answers, step, gateway);
                if let Some(request) = client.next_request(now).filter(|_| is_reached) {
                    let grant = coordinator.grant(now, &format!("g{gateway}"), &request);
                    let grant = grant.expect("the gateway is known");
                    let _ = hears && client.on_grant(now, &grant);
                }
            }
            passed.push(passed_now);
        }
        passed
    }
}

fn most_in_a_window(passed: &[u32]) -> f64 {
    passed.windows(WINDOW_STEPS).map(|window| f64::from(window.iter().sum::<u32>())).fold(0.0, f64::max)
}

#[test]
fn floods_partitions_and_failovers_keep_the_hard_bound() {
    let mut worst = (0.0, 0);
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let schedule = Schedule::draw(&mut rng);
        let most = most_in_a_window(&schedule.play(&mut rng));
        let bound = (RATE * 5.0 + schedule.burst) * 1.1;
        if most / bound > worst.0 {
            worst = (most / bound, seed);
        }
    }
    assert!(worst.0 <= 1.0, "seed {}: {:.3} of the bound", worst.1, worst.0);
}
