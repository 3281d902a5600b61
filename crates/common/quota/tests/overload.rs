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
/// Of plays with drawn troubles, which begin within the span that follows, the length.
const DRAWN_LENGTH: Time = 13 * SECOND;
const TROUBLED: Range<Time> = SECOND..7 * SECOND;
/// From the last trouble on no request within its limit is refused after so long.
const RECOVERY: Time = 3 * SECOND;
/// Drawn plays; more by hand with the environment variable of this name.
const DRAWN_PLAYS: &str = "DRAWN_PLAYS";
const DEFAULT_DRAWN_PLAYS: u64 = 10;

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

/// What goes wrong in a play.
#[derive(Debug, Default)]
struct Troubles {
    /// The coordinator stands still.
    standstills: Vec<Range<Time>>,
    /// Another coordinator begins, and knows nothing of what was granted.
    failovers: Vec<Time>,
    /// These gateways begin anew, one after the other.
    restarts: Vec<(Time, usize)>,
}

impl Troubles {
    fn standstill(span: Range<Time>) -> Self {
        Troubles { standstills: vec![span], ..Troubles::default() }
    }

    /// Series that overlap.
    fn draw(rng: &mut Rng) -> Self {
        let standstills = (0..rng.usize(1..5)).map(|_| {
            let begin = rng.u64(TROUBLED);
            begin..begin + rng.u64(50..1800) * MS
        });
        let standstills = standstills.collect();
        let failovers = (0..rng.usize(..4)).map(|_| rng.u64(TROUBLED)).collect();
        let first_restart = rng.u64(TROUBLED);
        let restarts = (0..rng.usize(..GATEWAYS / 2)).map(|n| (first_restart + n as Time * 20 * MS, n));
        Troubles { standstills, failovers, restarts: restarts.collect() }
    }

    fn end(&self) -> Time {
        let standstills = self.standstills.iter().map(|span| span.end);
        let restarts = self.restarts.iter().map(|(at, _)| *at);
        standstills.chain(self.failovers.iter().copied()).chain(restarts).max().unwrap_or_default()
    }
}

struct Simulation {
    rng: Rng,
    limits: BTreeMap<String, Limit>,
    names: BTreeSet<String>,
    coordinator: QuotaCoordinator,
    coordinator_began: Time,
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
        let clients = (0..GATEWAYS).map(|_| new_client(0, &limits)).collect();
        Simulation {
            rng: Rng::with_seed(seed),
            limits,
            names,
            coordinator,
            coordinator_began: 0,
            clients,
            waiting: (0..GATEWAYS).map(|_| Vec::new()).collect(),
            may_go_on: vec![false; GATEWAYS],
            requests: VecDeque::new(),
            grants: VecDeque::new(),
            free_at: 0,
            refused: Vec::new(),
            lease_requests: Vec::new(),
        }
    }

    fn play(mut self, troubles: &Troubles, length: Time) -> Self {
        for now in (0..length).step_by(STEP as usize) {
            self.begin_anew(now, troubles);
            self.answer_requests(now, &troubles.standstills);
            self.deliver_grants(now);
            (0..GATEWAYS).for_each(|gateway| self.serve_clients(now, gateway));
        }
        self
    }

    /// Whoever begins anew in this step does.
    fn begin_anew(&mut self, now: Time, troubles: &Troubles) {
        let step = now..now + STEP;
        for at in troubles.failovers.iter().filter(|at| step.contains(at)) {
            let age = now.saturating_sub(std::mem::replace(&mut self.coordinator_began, now));
            let previous = PreviousCoordinator::from_age(age);
            let nothing = BTreeSet::new();
            self.coordinator = QuotaCoordinator::new(now, *at, previous, &self.limits, &nothing, &self.names);
            // What waited for the one before is lost.
            self.requests.clear();
            self.free_at = now;
        }
        for (_, gateway) in troubles.restarts.iter().filter(|(at, _)| step.contains(at)) {
            self.clients[*gateway] = new_client(now, &self.limits);
            self.waiting[*gateway].clear();
        }
    }

    fn answer_requests(&mut self, now: Time, standstills: &[Range<Time>]) {
        while let Some(span) = standstills.iter().find(|span| span.contains(&self.free_at.max(now))) {
            self.free_at = span.end;
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
    let play = Simulation::new(1).play(&Troubles::standstill(2 * SECOND..3 * SECOND), LENGTH);
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
    let play = Simulation::new(2).play(&Troubles::standstill(2 * SECOND..4 * SECOND), LENGTH);
    let unanswered = count_within(&play.lease_requests, 3 * SECOND..4 * SECOND);
    let idle = GATEWAYS * (SECOND / REQUEST_INTERVAL) as usize;
    assert!(
        unanswered <= idle,
        "{unanswered} requests in a second without an answer, {idle} of idle gateways"
    );
}

#[test]
fn drawn_series_of_standstills_failovers_and_restarts_leave_no_refusals_behind() {
    let plays = std::env::var(DRAWN_PLAYS).ok().and_then(|plays| plays.parse().ok());
    for seed in 0..plays.unwrap_or(DEFAULT_DRAWN_PLAYS) {
        let mut rng = Rng::with_seed(seed);
        let troubles = Troubles::draw(&mut rng);
        let settled = troubles.end() + RECOVERY;
        let play = Simulation::new(seed).play(&troubles, DRAWN_LENGTH);
        let refused = count_within(&play.refused, settled..DRAWN_LENGTH);
        assert_eq!(refused, 0, "seed {seed}: refused within their limits from {settled} ns on: {troubles:?}");
    }
}
