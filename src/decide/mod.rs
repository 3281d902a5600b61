//! The decision module; `interface` defines its events and actions. `queues` schedules requests, `quota`
//! tracks customers, `choice` selects servers, `answers` handles ends of attempts, and `server_list` tracks
//! the fleet. Comments that begin with `Beyond the paper` mark extensions of the paper.

mod answers;
mod choice;
mod exported_state;
mod queues;
mod quota;
mod server_list;

use crate::interface::*;
use crate::settings::check;
use fastrand::Rng;
use route::subset::{self, Subset};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Resources of each pool: attempts and units that this gateway has in flight.
const RESOURCES: usize = 2;
/// Initial capacity of a server, in concurrent attempts of all gateways together.
const INITIAL_CAPACITY: f64 = 12.0;
/// Weight of a new observation in the moving averages over answers.
const GAIN: f64 = 0.2;
/// Retry budget: retries of attempts that may have run, as a fraction of first attempts.
const RETRY_RATIO: f64 = 0.2;
/// Fraction of the latency target past which an answer is late: too little is left for time in the queue.
const LATE_FRACTION: f64 = 0.35;
/// Time constant of the decay of outcomes, in latency targets.
const DECAY_IN_TARGETS: f64 = 10.0;
/// Width of the range of near-best servers, in expected waits of the best one, with very many gateways.
const NEAR_BEST_WIDTH: f64 = 0.3;
/// Requests in the even share of the bucket at which local traffic and the meter have equal weight.
const LOCAL_EVIDENCE_SCALE: f64 = 0.1;
/// Time constant of the decay of meter readings, in averaging times of the customer.
const METER_DECAY: f64 = 8.0;
/// Fraction of a cap on concurrent attempts that is in use at best, since arrivals are random.
const CAP_UTILISATION: f64 = 0.3;
/// Expected failure share from which a server is reported as avoided.
const AVOID_THRESHOLD: f64 = 0.5;
/// Cost of a failure, relative to a wait of one latency target.
const FAILURE_COST: f64 = 2.0;
/// Weight, as evidence of demand, of a request to this gateway, relative to one that only the meter shows:
/// with many gateways, one rarely gets a second request of a customer whose demand is not high.
const LOCAL_REQUEST_WEIGHT: f64 = 12.0;
/// Steepness of the admission chance per request missing in the bucket, where excess costs its full value.
const SHORTAGE_STEEPNESS: f64 = 4.7;
/// Largest debt assumed of a bucket, as a fraction of its depth.
const MAX_DEBT_FRACTION: f64 = 0.25;
/// Weight of the even share, in plan rates: the ratio of two small counts is noise that scales all charges.
const EVEN_SHARE_WEIGHT: f64 = 1.0;
/// Usable fraction of the capacities below which the backends are under pressure.
const PRESSED_BELOW: f64 = 0.9;
/// Fleets up to this size are scanned for each request; from larger ones, this many servers are sampled, and
/// the summary is refreshed at this interval.
const MAX_SCANNED: usize = 32;
const SAMPLE_SIZE: usize = 16;
const REFRESH_INTERVAL: Time = 50_000_000;
/// With many gateways: least number of healthy servers in a subset, and of subsets with any one server.
const MIN_SUBSET: usize = 8;
const MIN_COVERAGE: u32 = 8;
/// Version of the exported state, and number of customers, those seen last, that it holds.
const STATE_VERSION: u32 = 1;
const MAX_EXPORTED_CUSTOMERS: usize = 1000;
const TIMER_DISPATCH: u64 = 0;
const TIMER_DISCOVERY: u64 = 1;
const TIMER_REQUESTS: u64 = 2;

type Capacities = [f64; RESOURCES];

#[derive(Clone, Debug)]
struct PendingRequest {
    class: usize,
    pool: usize,
    plan: usize,
    customer: Name,
    deadline: Time,
    /// Past this time no attempt is sent: its answer could no longer meet the latency target.
    send_by: Time,
    units: f64,
    /// Its units and its slot come from a lease, granted or still awaited.
    leased: bool,
    awaiting: bool,
    sends: u32,
    /// Random point of the fleet's warmth that selects the cold server, if any, for the next attempt.
    cold_draw: f64,
    attempt: Option<InFlight>,
    streaming: bool,
    client_left: bool,
    /// Time, zone and cell of the first attempt that may have run.
    executed: Option<(Time, u32, u32)>,
    tried: Vec<Name>,
}

#[derive(Clone, Debug)]
struct InFlight {
    server: Name,
    sent_at: Time,
    attempt: u32,
    cancelled: bool,
}

/// Sub-scheduler of one resource: a queue and a deficit counter per plan, and a round-robin pointer.
#[derive(Clone, Debug)]
struct SubScheduler {
    queues: Vec<VecDeque<RequestId>>,
    deficit: Vec<f64>,
    pointer: usize,
    in_flight: f64,
}

#[derive(Clone, Debug)]
struct Server {
    pools: u32,
    zone: u32,
    cell: u32,
    health: Health,
    rating: f64,
    since: Time,
    in_flight: u32,
    /// Limit on this gateway's attempts in flight: raised by timely answers, lowered by overload or delay.
    capacity: f64,
    reduced_at: Time,
    /// EWMA of its elapsed time relative to the class's mean latency.
    slowness: f64,
    /// Weights of recent outcomes and of the bad ones: per class (failed), then per plan (overloaded).
    outcomes: Vec<(f64, f64)>,
    outcome_at: Time,
    /// Time of its latest answer, or of the first attempt sent to it while idle.
    last_heard_at: Time,
    /// Load from other gateways by its latest report, and the time of that report.
    load: f64,
    reported_at: Time,
}

/// One customer's quota as estimated here; rates are in units per second. Attributes keep the stored names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Customer {
    plan: usize,
    spread: f64,
    seen: Time,
    #[serde(rename = "at")]
    updated_at: Time,
    level: f64,
    ceiling: f64,
    #[serde(rename = "out")]
    in_flight: u32,
    /// EWMA of the units requested and admitted here; `lagged` ones are as late as the meter.
    #[serde(rename = "asked")]
    requested: f64,
    #[serde(rename = "passed")]
    admitted: f64,
    #[serde(rename = "passed_then")]
    admitted_lagged: f64,
    metered: f64,
    metered_at: Time,
    /// Slower averages, whose ratio is this gateway's share of the customer's use.
    #[serde(rename = "passed_long")]
    admitted_long: f64,
    metered_long: f64,
    /// Recent units, metered and requested here, and the seconds that they cover, less the refused share.
    #[serde(rename = "told")]
    evidence_units: f64,
    #[serde(rename = "span")]
    evidence_secs: f64,
    /// Share admitted according to the meter, as late as the meter.
    #[serde(rename = "share_then")]
    admit_share_lagged: f64,
}

/// Summary of the whole fleet, so that a request does not have to look at every server.
#[derive(Clone, Debug, Default)]
struct FleetView {
    updated_at: Time,
    /// Whether the server list has changed since `updated_at`.
    stale: bool,
    /// Mean failure share per class, then per plan; servers are weighted by the evidence on them.
    failures: Vec<f64>,
    pools: Vec<Pool>,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    /// Servers that take new work, and the first of them, which are this gateway's subset.
    ready: Arc<[Name]>,
    subset: Arc<[Name]>,
    /// In a large fleet: the warm servers, and the cold ones with the end of their interval of draws.
    warm: Vec<Name>,
    cold: Vec<(f64, Name)>,
    /// Sums over the servers of capacity and of warmth.
    capacity: f64,
    warmth: f64,
}

#[derive(Clone, Debug)]
pub struct Gateway {
    settings: Settings,
    rng: Rng,
    started_at: Time,
    now: Time,
    servers: BTreeMap<Name, Server>,
    fleet: FleetView,
    pending: BTreeMap<RequestId, PendingRequest>,
    customers: BTreeMap<Name, Customer>,
    /// One for each resource of each pool, in order of pools: overload of one pool does not affect another.
    schedulers: Vec<SubScheduler>,
    timers: BTreeMap<u64, RequestId>,
    next_timer: u64,
    dispatch_timer_set: bool,
    swept_at: Time,
    mean_units: f64,
    /// EWMA of the elapsed time of successful attempts, per class, in seconds.
    latency: Vec<f64>,
    /// EWMA of attempts sent per second, and the time of its last update.
    sent_rate: f64,
    sent_at: Time,
    retry_budget: f64,
    /// Usable fraction of all capacities: lowered by late answers, raised by timely ones.
    usable: f64,
    /// EWMA of the duration of attempts, whatever their outcome, in seconds.
    attempt_time: f64,
    mean_load: f64,
    /// This gateway's share of all work: even, unless a planner sets another.
    work_share: f64,
    /// Index of this gateway and number of gateways, for subsetting.
    position: (u32, u32),
}

impl Gateway {
    /// Creates a gateway without servers or customers. Rejects settings out of range.
    pub fn new(s: Settings, seed: u64, now: Time) -> Result<Self, String> {
        check(&s)?;
        let (queues, deficit) = (vec![VecDeque::new(); s.plans.len()], vec![0.0; s.plans.len()]);
        let scheduler = SubScheduler { queues, deficit, pointer: 0, in_flight: 0.0 };
        let mut rng = Rng::with_seed(seed);
        Ok(Gateway {
            started_at: now,
            now,
            servers: BTreeMap::new(),
            fleet: FleetView { stale: true, ..FleetView::default() },
            pending: BTreeMap::new(),
            customers: BTreeMap::new(),
            schedulers: vec![scheduler; RESOURCES * s.pools.max(1)],
            timers: BTreeMap::new(),
            next_timer: TIMER_REQUESTS,
            dispatch_timer_set: false,
            swept_at: now,
            mean_units: 1.0,
            latency: s.classes.iter().map(|c| secs(c.latency_target) / 4.0).collect(),
            sent_rate: 0.0,
            sent_at: now,
            retry_budget: rng.f64() + RETRY_RATIO,
            attempt_time: 0.0,
            mean_load: 0.0,
            usable: 1.0,
            rng,
            work_share: 1.0 / f64::from(s.gateways.max(1)),
            position: (s.gateway_index, s.gateways),
            settings: s,
        })
    }

    /// Processes the events up to `now` and appends the resulting actions. Ignores unknown ids.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::Fleet { scope, nodes, .. } => self.apply_server_list(scope, nodes, out),
                Event::Request(r) => self.admit(r, out),
                Event::ClientLeft { id } => self.client_left(id, out),
                Event::AttemptEnd(e) => self.attempt_ended(e, out),
                Event::AllowanceDecided { id, allowance } => self.allowance_decided(id, allowance, out),
                Event::Streaming { id, attempt } => {
                    if let Some(request) = self.pending.get_mut(&id) {
                        request.streaming |= request.attempt.as_ref().is_some_and(|a| a.attempt == attempt);
                    }
                }
                Event::Timer { token: TIMER_DISPATCH } => self.dispatch_timer_set = false,
                Event::Timer { token: TIMER_DISCOVERY } => out.push(Action::Subscribe { on: true }),
                Event::Timer { token } => self.request_timer_fired(token, out),
                Event::WorkShare { work_share } => self.set_work_share(work_share),
                Event::GatewayPosition { position, gateways } => self.set_position(position, gateways),
                Event::Probed { .. } | Event::Counted { .. } | Event::Peer { .. } => {}
            }
        }
        self.evict_idle_customers();
        self.dispatch(out);
    }

    /// Moves the work share to a planner's by a factor of at most two; all capacities change by that factor.
    fn set_work_share(&mut self, share: f64) {
        let share = if share > 0.0 && share <= 1.0 { share } else { return };
        let factor = (share / self.work_share).clamp(0.5, 2.0);
        self.work_share *= factor;
        let min_capacity = self.server_share(self.servers.len());
        self.servers.values_mut().for_each(|s| s.capacity = (s.capacity * factor).max(min_capacity));
    }

    /// Sets the position among the gateways believed alive; it affects only the subset of servers.
    fn set_position(&mut self, index: u32, gateways: u32) {
        let Settings { gateway_index, gateways: configured, .. } = self.settings;
        let position = if gateways == 0 { (gateway_index, configured) } else { (index, gateways) };
        self.fleet.stale |= std::mem::replace(&mut self.position, position) != position;
    }

    /// Applies settings if valid and with as many plans and pools as before; old classes keep their indices.
    pub fn reconfigure(&mut self, s: &Settings) {
        if s.plans.len() != self.settings.plans.len() || s.pools != self.settings.pools || check(s).is_err() {
            return;
        }
        let (old, new) = (self.settings.classes.len(), s.classes.len());
        self.latency.extend(s.classes.iter().skip(old).map(|c| secs(c.latency_target) / 4.0));
        for server in self.servers.values_mut() {
            server.outcomes.splice(old..old, (old..new).map(|_| (0.0, 0.0)));
        }
        self.settings = s.clone();
        self.fleet.stale = true;
    }

    /// Returns the servers that are up but avoided, as they fail requests of some class or plan too often.
    pub fn avoided(&self) -> Vec<Name> {
        let worst = |s: &Server| self.worst_failure_share(s, &self.fleet.failures);
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && worst(s) >= AVOID_THRESHOLD);
        up.map(|(name, _)| name.clone()).collect()
    }
}
