//! A fleet that calls one discovery service of fixed capacity, on a virtual clock. The service handles calls in order; a
//! call that has waited too long fails, and the service still processes it.

use background::{Pace, Service};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const GATEWAYS: u32 = 100;
const WITHIN: Duration = Duration::from_secs(10);
/// The service's time for a call, and how long a call may wait, which also bounds the backlog, both in seconds.
const CALL_COST_S: f64 = 0.051;
const CALL_TIMEOUT_S: f64 = 2.0;

/// Returns a gateway's delay in seconds before the first call (`true`) or after a failure (`false`).
type Delays<'a> = &'a mut dyn FnMut(usize, bool) -> f64;

#[derive(Debug, Default)]
struct Outcome {
    /// When each gateway's watch was established.
    established: Vec<f64>,
    calls: usize,
}

/// Starts all gateways at once. Each calls until one call is served: its watch is established then.
fn run_fleet(delay: Delays, duration_s: f64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut busy_until = 0.0_f64;
    let nanos = |s: f64| (s * 1e9) as u64;
    let mut due: BinaryHeap<_> =
        (0..GATEWAYS as usize).map(|n| Reverse((nanos(delay(n, true)), n))).collect();
    while let Some(Reverse((at, n))) = due.pop() {
        let now = at as f64 / 1e9;
        if now > duration_s {
            break;
        }
        outcome.calls += 1;
        let started = busy_until.max(now);
        busy_until = started + CALL_COST_S;
        if started - now <= CALL_TIMEOUT_S {
            outcome.established.push(busy_until);
        } else {
            due.push(Reverse((nanos(now + CALL_TIMEOUT_S + delay(n, false)), n)));
        }
    }
    outcome
}

fn paces(seed: u64, service: Service) -> Vec<Pace> {
    (0..u64::from(GATEWAYS)).map(|n| Pace::new(service, seed * 1_000 + n)).collect()
}

#[test]
fn simultaneous_start_establishes_all_watches_soon_with_few_calls() {
    for seed in 0..50 {
        let mut paces = paces(seed, Service::Shared { gateways: GATEWAYS, within: WITHIN });
        let mut delay = |n: usize, first| {
            let pace: &mut Pace = &mut paces[n];
            if first { pace.first() } else { pace.failed() }.as_secs_f64()
        };
        let outcome = run_fleet(&mut delay, 30.0);
        assert_eq!(outcome.established.len(), GATEWAYS as usize, "seed {seed}: all watches are established");
        assert!(
            outcome.established.iter().all(|at| *at < 12.0),
            "seed {seed}: {:?}",
            outcome.established.last()
        );
        assert!(outcome.calls <= 110, "seed {seed}: {} calls", outcome.calls);
    }
}

/// The former behaviour of the watch: an immediate first call, and a retry every 100 ms after a failure. It shows that
/// the test above can fail.
#[test]
fn fixed_retry_interval_keeps_the_backlog_up() {
    let mut delay = |_, first| if first { 0.0 } else { 0.1 };
    let outcome = run_fleet(&mut delay, 30.0);
    assert!(outcome.established.len() < 60, "{} established", outcome.established.len());
    assert!(outcome.calls > 500, "{} calls", outcome.calls);
}

#[test]
fn retries_back_off_up_to_the_maximum_window() {
    let mut pace = Pace::new(Service::Shared { gateways: 3, within: WITHIN }, 7);
    let waits: Vec<Duration> = (0..40).map(|_| pace.failed()).collect();
    assert!(waits[0] <= Duration::from_millis(160) && waits[0] >= Duration::from_millis(80));
    assert!(waits[30..].iter().all(|w| *w >= WITHIN / 2 && *w <= WITHIN), "{waits:?}");
    pace.answered();
    assert!(pace.failed() <= Duration::from_millis(160), "an answer resets the backoff");
}

#[test]
fn gateways_that_fail_together_do_not_retry_together() {
    let mut paces = paces(1, Service::Shared { gateways: GATEWAYS, within: WITHIN });
    let mut waits: Vec<u128> = paces.iter_mut().map(|p| p.failed().as_millis() / 500).collect();
    waits.sort_unstable();
    let largest_group = waits.chunk_by(|a, b| a == b).map(<[u128]>::len).max();
    assert!(largest_group < Some(30), "{largest_group:?} of 100 within the same half second");
}

#[test]
fn local_agent_is_called_immediately_and_retried_soon() {
    let mut pace = Pace::new(Service::Local, 3);
    assert_eq!(pace.first(), Duration::ZERO);
    let max_delay = (0..100).map(|_| pace.failed()).max();
    assert!(max_delay <= Some(Duration::from_millis(200)), "{max_delay:?}");
}

#[test]
fn single_gateway_calls_immediately() {
    let mut pace = Pace::new(Service::Shared { gateways: 1, within: WITHIN }, 3);
    assert_eq!(pace.first(), Duration::ZERO);
}

/// Without backoff, a shared service that answers every watch at once would be called ten times a second by each
/// gateway.
#[test]
fn service_that_does_not_hold_calls_is_backed_off_from() {
    let mut pace = Pace::new(Service::Shared { gateways: GATEWAYS, within: WITHIN }, 5);
    let max_wait = Duration::from_secs(20);
    let delays: Vec<Duration> = (0..5).map(|_| pace.unchanged(Duration::from_millis(2), max_wait)).collect();
    assert!(delays.iter().all(|p| *p >= Duration::from_secs(4)), "{delays:?}");
    let next = pace.unchanged(max_wait, max_wait);
    assert!(next < Duration::from_millis(200), "a watch that waited continues: {next:?}");
    let mut local = Pace::new(Service::Local, 5);
    assert!((0..50).all(|_| local.unchanged(Duration::ZERO, max_wait) <= Duration::from_millis(200)));
}

#[test]
fn pace_follows_the_estimated_number_of_callers() {
    let within = Duration::from_secs(8);
    let many = Service::Shared { gateways: 100, within };
    let longest = |pace: &mut Pace| (0..200).map(|_| pace.first()).max().expect("some");
    let mut pace = Pace::new(many, 3);
    assert!(longest(&mut pace) > Duration::from_secs(5));
    pace.shared_by(10);
    assert!(longest(&mut pace) <= Duration::from_millis(720), "seven in ten gateways or more are gone");
    pace.shared_by(1);
    assert_eq!(longest(&mut pace), Duration::ZERO, "a single gateway calls immediately");
    // The estimate can be wrong: no delay exceeds the required interval.
    pace.shared_by(u32::MAX);
    assert!((0..200).all(|_| pace.failed() <= within));
    let mut local = Pace::new(Service::Local, 3);
    local.shared_by(1000);
    assert_eq!(local.first(), Duration::ZERO, "a local agent serves no other gateway");
}
