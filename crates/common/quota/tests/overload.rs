//! A coordinator with a bounded processor, and gateways whose requests queue before it, on a virtual clock.

use fastrand::Rng;
use quota::{
    Decision, LeaseGrant, LeaseRequest, Limit, PreviousCoordinator, QuotaClient, QuotaCoordinator, Time,
    REQUEST_INTERVAL,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;

const MS: Time = 1_000_000;
const SECOND: Time = 1000 * MS;
const STEP: Time = 5 * MS;
const GATEWAYS: usize = 300;
const TENANTS: usize = 40;
/// Clients' requests a second at each gateway.
const REQUESTS_PER_SECOND: f64 = 13.0;
/// Limits are so much more than what is asked for.
const HEADROOM: f64 = 1.6;
/// What the coordinator takes for a request: a quarter of its processor is left while it is in time.
const SERVICE_TIME: Time = 100_000;
/// One way.
const LINK_DELAY: Time = 5 * MS;
const LENGTH: Time = 8 * SECOND;

fn tenant(number: usize) -> String {
    format!("t{number}")
}

/// A message on its way, and when it arrives.
struct InFlight<M> {
    arrives_at: Time,
    gateway: usize,
    message: M,
}

/// A client's request that waits for a unit.
struct Waiting {
    tenant: String,
    since: Time,
    /// It is tried again then, or when a grant arrives by which it may go on.
    until: Time,
}

struct Simulation {
    rng: Rng,
    coordinator: QuotaCoordinator,
    clients: Vec<QuotaClient>,
    waiting: Vec<Vec<Waiting>>,
    /// Whether requests that wait may go on.
    may_go_on: Vec<bool>,
    /// In the order in which they are read.
    requests: VecDeque<InFlight<LeaseRequest>>,
    grants: VecDeque<InFlight<LeaseGrant>>,
    /// When the coordinator can read the next request.
    free_at: Time,
    refused: Vec<Time>,
    lease_requests: Vec<Time>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let names: BTreeSet<String> = (0..GATEWAYS).map(|gateway| format!("g{gateway}")).collect();
        let rate = REQUESTS_PER_SECOND * GATEWAYS as f64 / TENANTS as f64 * HEADROOM;
        let limits: BTreeMap<String, Limit> =
            (0..TENANTS).map(|number| (tenant(number), Limit::new(rate, rate))).collect();
        let coordinator =
            QuotaCoordinator::new(0, 1, PreviousCoordinator::LongAgo, &limits, &BTreeSet::new(), &names);
        let client = |_| {
            let mut client = QuotaClient::new(0);
            client.set_limits(0, &limits);
            client.set_gateway_count(GATEWAYS as u32);
            client
        };
        Simulation {
            rng: Rng::with_seed(seed),
            coordinator,
            clients: (0..GATEWAYS).map(client).collect(),
            waiting: (0..GATEWAYS).map(|_| Vec::new()).collect(),
            may_go_on: vec![false; GATEWAYS],
            requests: VecDeque::new(),
            grants: VecDeque::new(),
            free_at: 0,
            refused: Vec::new(),
            lease_requests: Vec::new(),
        }
    }

    /// The coordinator stands still over `pause`.
    fn play(mut self, pause: Range<Time>) -> Self {
        for now in (0..LENGTH).step_by(STEP as usize) {
            self.answer_requests(now, &pause);
            self.deliver_grants(now);
            (0..GATEWAYS).for_each(|gateway| self.serve_clients(now, gateway));
        }
        self
    }

    fn answer_requests(&mut self, now: Time, pause: &Range<Time>) {
        if pause.contains(&self.free_at.max(now)) {
            self.free_at = pause.end;
        }
        while self.requests.front().is_some_and(|request| request.arrives_at.max(self.free_at) <= now) {
            let Some(InFlight { arrives_at, gateway, message }) = self.requests.pop_front() else { return };
            self.free_at = self.free_at.max(arrives_at) + SERVICE_TIME;
            let grant = self.coordinator.grant(now, &format!("g{gateway}"), &message);
            let message = grant.expect("the gateway is known");
            self.grants.push_back(InFlight { arrives_at: self.free_at + LINK_DELAY, gateway, message });
        }
    }

    fn deliver_grants(&mut self, now: Time) {
        while self.grants.front().is_some_and(|grant| grant.arrives_at <= now) {
            let Some(InFlight { gateway, message, .. }) = self.grants.pop_front() else { return };
            self.may_go_on[gateway] |= self.clients[gateway].on_grant(now, &message);
        }
    }

    fn serve_clients(&mut self, now: Time, gateway: usize) {
        let client = &mut self.clients[gateway];
        let may_go_on = std::mem::take(&mut self.may_go_on[gateway]);
        let due = self.waiting[gateway].extract_if(.., |waiting| may_go_on || waiting.until <= now);
        let mut tries: Vec<(String, Option<Time>)> =
            due.map(|waiting| (waiting.tenant, Some(waiting.since))).collect();
        if self.rng.f64() < REQUESTS_PER_SECOND * STEP as f64 / SECOND as f64 {
            tries.push((tenant(self.rng.usize(..TENANTS)), None));
        }
        for (tenant, since) in tries {
            match client.acquire(now, &tenant, self.rng.f64(), since) {
                Decision::Granted => {}
                Decision::Refused { .. } => self.refused.push(now),
                Decision::Wait { until } => {
                    self.waiting[gateway].push(Waiting { tenant, since: since.unwrap_or(now), until });
                }
                Decision::Throttled { .. } => unreachable!("no tenant has a trial"),
            }
        }
        if let Some(message) = client.next_request(now) {
            self.lease_requests.push(now);
            self.requests.push_back(InFlight { arrives_at: now + LINK_DELAY, gateway, message });
        }
    }
}

fn count_within(times: &[Time], span: Range<Time>) -> usize {
    times.iter().filter(|at| span.contains(at)).count()
}

#[test]
fn coordinator_that_stood_still_for_a_second_is_in_time_again() {
    let play = Simulation::new(1).play(2 * SECOND..3 * SECOND);
    let before = count_within(&play.refused, SECOND..2 * SECOND);
    let after = count_within(&play.refused, 6 * SECOND..8 * SECOND);
    assert_eq!(
        (before, after),
        (0, 0),
        "requests within their limits refused in the second before, and from three seconds on behind it"
    );
}

#[test]
fn gateways_do_not_ask_more_often_than_idle_ones_while_they_are_not_answered() {
    let play = Simulation::new(2).play(2 * SECOND..4 * SECOND);
    let unanswered = count_within(&play.lease_requests, 3 * SECOND..4 * SECOND);
    let idle = GATEWAYS * (SECOND / REQUEST_INTERVAL) as usize;
    assert!(
        unanswered <= idle,
        "{unanswered} requests in a second without an answer, {idle} of idle gateways"
    );
}
