//! Recovery from overload: a coordinator with bounded CPU time, and gateways whose requests queue up at it, on a
//! virtual clock.

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
/// Client requests per second on each gateway.
const REQUESTS_PER_SECOND: f64 = 13.0;
/// Ratio of each limit to the demand.
const HEADROOM: f64 = 1.6;
/// CPU time that the coordinator spends on a request. Leaves a quarter of its CPU idle while the coordinator is on
/// time.
const SERVICE_TIME: Time = 100_000;
/// One-way delay.
const LINK_DELAY: Time = 5 * MS;
const RUN_LENGTH: Time = 8 * SECOND;
/// Length of runs with random faults, which start within `FAULT_WINDOW`.
const RANDOM_RUN_LENGTH: Time = 13 * SECOND;
const FAULT_WINDOW: Range<Time> = SECOND..7 * SECOND;
/// Time after the last fault from which no request within its limit is refused.
const RECOVERY: Time = 3 * SECOND;
/// Environment variable that sets the number of random runs, for longer manual runs.
const DRAWN_PLAYS: &str = "DRAWN_PLAYS";
const DEFAULT_RANDOM_RUNS: u64 = 10;

fn tenant(number: usize) -> String {
    format!("t{number}")
}

/// A message in flight, and when it arrives.
struct InFlight<M> {
    arrives_at: Time,
    gateway: usize,
    message: M,
}

/// A client request waiting for a unit.
struct Waiting {
    tenant: String,
    since: Time,
    /// Time of the next attempt, unless a grant that lets it proceed arrives before.
    until: Time,
}

/// Faults injected into a run.
#[derive(Debug, Default)]
struct Faults {
    /// Spans in which the coordinator is stalled.
    stalls: Vec<Range<Time>>,
    /// Times at which a new coordinator starts that does not know what was granted.
    failovers: Vec<Time>,
    /// Gateways that restart, one after another.
    restarts: Vec<(Time, usize)>,
}

impl Faults {
    fn stall(span: Range<Time>) -> Self {
        Faults { stalls: vec![span], ..Faults::default() }
    }

    /// Creates random series of faults that overlap.
    fn random(rng: &mut Rng) -> Self {
        let stalls = (0..rng.usize(1..5)).map(|_| {
            let start = rng.u64(FAULT_WINDOW);
            start..start + rng.u64(50..1800) * MS
        });
        let stalls = stalls.collect();
        let failovers = (0..rng.usize(..4)).map(|_| rng.u64(FAULT_WINDOW)).collect();
        let first_restart = rng.u64(FAULT_WINDOW);
        let restarts = (0..rng.usize(..GATEWAYS / 2)).map(|n| (first_restart + n as Time * 20 * MS, n));
        Faults { stalls, failovers, restarts: restarts.collect() }
    }

    fn end(&self) -> Time {
        let stalls = self.stalls.iter().map(|span| span.end);
        let restarts = self.restarts.iter().map(|(at, _)| *at);
        stalls.chain(self.failovers.iter().copied()).chain(restarts).max().unwrap_or_default()
    }
}

struct Simulation {
    rng: Rng,
    limits: BTreeMap<String, Limit>,
    names: BTreeSet<String>,
    coordinator: QuotaCoordinator,
    coordinator_since: Time,
    clients: Vec<QuotaClient>,
    waiting: Vec<Vec<Waiting>>,
    /// Whether waiting requests may proceed, per gateway.
    may_proceed: Vec<bool>,
    /// In the order in which the coordinator reads them.
    requests: VecDeque<InFlight<LeaseRequest>>,
    grants: VecDeque<InFlight<LeaseGrant>>,
    /// When the coordinator can read the next request.
    next_read_at: Time,
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
        let clients = (0..GATEWAYS).map(|_| new_client(0, &limits)).collect();
        Simulation {
            rng: Rng::with_seed(seed),
            limits,
            names,
            coordinator,
            coordinator_since: 0,
            clients,
            waiting: (0..GATEWAYS).map(|_| Vec::new()).collect(),
            may_proceed: vec![false; GATEWAYS],
            requests: VecDeque::new(),
            grants: VecDeque::new(),
            next_read_at: 0,
            refused: Vec::new(),
            lease_requests: Vec::new(),
        }
    }

    fn run(mut self, faults: &Faults, length: Time) -> Self {
        for now in (0..length).step_by(STEP as usize) {
            self.apply_restarts(now, faults);
            self.answer_requests(now, &faults.stalls);
            self.deliver_grants(now);
            (0..GATEWAYS).for_each(|gateway| self.serve_clients(now, gateway));
        }
        self
    }

    /// Restarts the coordinator and the gateways that are due in this step.
    fn apply_restarts(&mut self, now: Time, faults: &Faults) {
        let step = now..now + STEP;
        for at in faults.failovers.iter().filter(|at| step.contains(at)) {
            let age = now.saturating_sub(std::mem::replace(&mut self.coordinator_since, now));
            let previous = PreviousCoordinator::from_age(age);
            let no_expired_trials = BTreeSet::new();
            self.coordinator =
                QuotaCoordinator::new(now, *at, previous, &self.limits, &no_expired_trials, &self.names);
            // Requests that waited for the previous coordinator are lost.
            self.requests.clear();
            self.next_read_at = now;
        }
        for (_, gateway) in faults.restarts.iter().filter(|(at, _)| step.contains(at)) {
            self.clients[*gateway] = new_client(now, &self.limits);
            self.waiting[*gateway].clear();
        }
    }

    fn answer_requests(&mut self, now: Time, stalls: &[Range<Time>]) {
        while let Some(span) = stalls.iter().find(|span| span.contains(&self.next_read_at.max(now))) {
            self.next_read_at = span.end;
        }
        while self.requests.front().is_some_and(|request| request.arrives_at.max(self.next_read_at) <= now) {
            let Some(InFlight { arrives_at, gateway, message }) = self.requests.pop_front() else { return };
            self.next_read_at = self.next_read_at.max(arrives_at) + SERVICE_TIME;
            let grant = self.coordinator.grant(now, &format!("g{gateway}"), &message);
            let message = grant.expect("the gateway is known");
            self.grants.push_back(InFlight { arrives_at: self.next_read_at + LINK_DELAY, gateway, message });
        }
    }

    fn deliver_grants(&mut self, now: Time) {
        while self.grants.front().is_some_and(|grant| grant.arrives_at <= now) {
            let Some(InFlight { gateway, message, .. }) = self.grants.pop_front() else { return };
            self.may_proceed[gateway] |= self.clients[gateway].on_grant(now, &message);
        }
    }

    fn serve_clients(&mut self, now: Time, gateway: usize) {
        let client = &mut self.clients[gateway];
        let may_proceed = std::mem::take(&mut self.may_proceed[gateway]);
        let due = self.waiting[gateway].extract_if(.., |waiting| may_proceed || waiting.until <= now);
        let mut attempts: Vec<(String, Option<Time>)> =
            due.map(|waiting| (waiting.tenant, Some(waiting.since))).collect();
        if self.rng.f64() < REQUESTS_PER_SECOND * STEP as f64 / SECOND as f64 {
            attempts.push((tenant(self.rng.usize(..TENANTS)), None));
        }
        for (tenant, waiting_since) in attempts {
            match client.acquire(now, &tenant, self.rng.f64(), waiting_since) {
                Decision::Granted => {}
                Decision::Refused { .. } => self.refused.push(now),
                Decision::Wait { until } => {
                    self.waiting[gateway].push(Waiting {
                        tenant,
                        since: waiting_since.unwrap_or(now),
                        until,
                    });
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

fn new_client(now: Time, limits: &BTreeMap<String, Limit>) -> QuotaClient {
    let mut client = QuotaClient::new(now);
    client.set_limits(now, limits);
    client.set_gateway_count(GATEWAYS as u32);
    client
}

fn count_within(times: &[Time], span: Range<Time>) -> usize {
    times.iter().filter(|at| span.contains(at)).count()
}

#[test]
fn coordinator_that_stood_still_for_a_second_is_in_time_again() {
    let run = Simulation::new(1).run(&Faults::stall(2 * SECOND..3 * SECOND), RUN_LENGTH);
    let before = count_within(&run.refused, SECOND..2 * SECOND);
    let after = count_within(&run.refused, 6 * SECOND..8 * SECOND);
    assert_eq!(
        (before, after),
        (0, 0),
        "requests within their limits refused in the second before the stall, and from three seconds after it"
    );
}

#[test]
fn gateways_do_not_ask_more_often_than_idle_ones_while_they_are_not_answered() {
    let run = Simulation::new(2).run(&Faults::stall(2 * SECOND..4 * SECOND), RUN_LENGTH);
    let unanswered = count_within(&run.lease_requests, 3 * SECOND..4 * SECOND);
    let idle = GATEWAYS * (SECOND / REQUEST_INTERVAL) as usize;
    assert!(
        unanswered <= idle,
        "{unanswered} requests in a second without an answer, {idle} from idle gateways"
    );
}

#[test]
fn drawn_series_of_standstills_failovers_and_restarts_leave_no_refusals_behind() {
    let run_count = std::env::var(DRAWN_PLAYS).ok().and_then(|run_count| run_count.parse().ok());
    for seed in 0..run_count.unwrap_or(DEFAULT_RANDOM_RUNS) {
        let mut rng = Rng::with_seed(seed);
        let faults = Faults::random(&mut rng);
        let settled_at = faults.end() + RECOVERY;
        let run = Simulation::new(seed).run(&faults, RANDOM_RUN_LENGTH);
        let refused = count_within(&run.refused, settled_at..RANDOM_RUN_LENGTH);
        assert_eq!(refused, 0, "seed {seed}: refused within their limits after {settled_at} ns: {faults:?}");
    }
}
