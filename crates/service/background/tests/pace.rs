//! A fleet before one discovery service of fixed capacity, on a virtual clock: calls are served in turn, one that
//! has waited too long fails and is worked off all the same.

use background::{Pace, Service};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const GATEWAYS: u32 = 100;
const WITHIN: Duration = Duration::from_secs(10);
/// The service's time for a call, how long a call may wait, and how long a backlog it takes on.
const COST: f64 = 0.051;
const PATIENCE: f64 = 2.0;

/// The fleet's pauses, by gateway: before the first call, and after a failure.
type Pauses<'a> = &'a mut dyn FnMut(usize, bool) -> f64;

#[derive(Debug, Default)]
struct Seen {
    /// When each gateway's watch stood.
    stood: Vec<f64>,
    calls: usize,
}

/// All gateways start at once. Each calls until one call is served: its watch stands then.
fn fleet(pause: Pauses, for_s: f64) -> Seen {
    let mut seen = Seen::default();
    let mut busy_until = 0.0_f64;
    let nanos = |s: f64| (s * 1e9) as u64;
    let mut due: BinaryHeap<_> =
        (0..GATEWAYS as usize).map(|n| Reverse((nanos(pause(n, true)), n))).collect();
    while let Some(Reverse((at, n))) = due.pop() {
        let now = at as f64 / 1e9;
        if now > for_s {
            break;
        }
        seen.calls += 1;
        let begins = busy_until.max(now);
        busy_until = begins + COST;
        if begins - now <= PATIENCE {
            seen.stood.push(busy_until);
        } else {
            due.push(Reverse((nanos(now + PATIENCE + pause(n, false)), n)));
        }
    }
    seen
}

fn paces(seed: u64, service: Service) -> Vec<Pace> {
    (0..u64::from(GATEWAYS)).map(|n| Pace::new(service, seed * 1_000 + n)).collect()
}

#[test]
fn a_fleet_that_starts_at_once_has_its_list_soon_and_hammers_nobody() {
    for seed in 0..50 {
        let mut paces = paces(seed, Service::Shared { gateways: GATEWAYS, within: WITHIN });
        let mut pause = |n: usize, first| {
            let pace: &mut Pace = &mut paces[n];
            if first { pace.first() } else { pace.failed() }.as_secs_f64()
        };
        let seen = fleet(&mut pause, 30.0);
        assert_eq!(seen.stood.len(), GATEWAYS as usize, "seed {seed}: all watches stand");
        assert!(seen.stood.iter().all(|at| *at < 12.0), "seed {seed}: {:?}", seen.stood.last());
        assert!(seen.calls <= 110, "seed {seed}: {} calls", seen.calls);
    }
}

/// What the watch did before: at once, and every 100 ms after a failure. The test above can fail.
#[test]
fn calls_a_fixed_pause_apart_keep_the_backlog_up() {
    let mut pause = |_, first| if first { 0.0 } else { 0.1 };
    let seen = fleet(&mut pause, 30.0);
    assert!(seen.stood.len() < 60, "{} stand", seen.stood.len());
    assert!(seen.calls > 500, "{} calls", seen.calls);
}

#[test]
fn repeats_back_off_to_the_longest_window_and_no_further() {
    let mut pace = Pace::new(Service::Shared { gateways: 3, within: WITHIN }, 7);
    let waits: Vec<Duration> = (0..40).map(|_| pace.failed()).collect();
    assert!(waits[0] <= Duration::from_millis(160) && waits[0] >= Duration::from_millis(80));
    assert!(waits[30..].iter().all(|w| *w >= WITHIN / 2 && *w <= WITHIN), "{waits:?}");
    pace.answered();
    assert!(pace.failed() <= Duration::from_millis(160), "an answer ends the back-off");
}

#[test]
fn gateways_that_fail_together_do_not_repeat_together() {
    let mut paces = paces(1, Service::Shared { gateways: GATEWAYS, within: WITHIN });
    let mut waits: Vec<u128> = paces.iter_mut().map(|p| p.failed().as_millis() / 500).collect();
    waits.sort_unstable();
    let most = waits.chunk_by(|a, b| a == b).map(<[u128]>::len).max();
    assert!(most < Some(30), "{most:?} of 100 within the same half second");
}

#[test]
fn an_agent_on_the_own_machine_is_asked_at_once_and_soon_again() {
    let mut pace = Pace::new(Service::Local, 3);
    assert_eq!(pace.first(), Duration::ZERO);
    let most = (0..100).map(|_| pace.failed()).max();
    assert!(most <= Some(Duration::from_millis(200)), "{most:?}");
}

#[test]
fn a_lone_gateway_need_not_wait_to_ask() {
    let mut pace = Pace::new(Service::Shared { gateways: 1, within: WITHIN }, 3);
    assert_eq!(pace.first(), Duration::ZERO);
}

/// A shared service that answers every watch at once would be called ten times a second by each gateway.
#[test]
fn a_service_that_does_not_hold_calls_is_called_ever_more_seldom() {
    let mut pace = Pace::new(Service::Shared { gateways: GATEWAYS, within: WITHIN }, 5);
    let wait = Duration::from_secs(20);
    let pauses: Vec<Duration> = (0..5).map(|_| pace.unchanged(Duration::from_millis(2), wait)).collect();
    assert!(pauses.iter().all(|p| *p >= Duration::from_secs(4)), "{pauses:?}");
    let next = pace.unchanged(wait, wait);
    assert!(next < Duration::from_millis(200), "a watch that waited goes on: {next:?}");
    let mut own = Pace::new(Service::Local, 5);
    assert!((0..50).all(|_| own.unchanged(Duration::ZERO, wait) <= Duration::from_millis(200)));
}

#[test]
fn the_pace_follows_how_many_are_believed_to_call() {
    let within = Duration::from_secs(8);
    let many = Service::Shared { gateways: 100, within };
    let longest = |pace: &mut Pace| (0..200).map(|_| pace.first()).max().expect("some");
    let mut pace = Pace::new(many, 3);
    assert!(longest(&mut pace) > Duration::from_secs(5));
    pace.shared_by(10);
    assert!(longest(&mut pace) <= Duration::from_millis(720), "seven in ten and more have died");
    pace.shared_by(1);
    assert_eq!(longest(&mut pace), Duration::ZERO, "alone it asks at once");
    // A belief can be wrong: no wait grows past what was asked for.
    pace.shared_by(u32::MAX);
    assert!((0..200).all(|_| pace.failed() <= within));
    let mut local = Pace::new(Service::Local, 3);
    local.shared_by(1000);
    assert_eq!(local.first(), Duration::ZERO, "an agent serves nobody else");
}
