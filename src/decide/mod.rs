//! The decision module; what goes in and out is in `interface`. Events arrive here and go to `queues`
//! (scheduling), `quota`, `choice` (of a server), `answers` (attempts' ends) and `server_list`. Where it does
//! more than the paper, a comment begins with `Beyond the paper`.

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

/// The two resources of each pool: attempts in flight from here, and units in flight from here.
const RESOURCES: usize = 2;
/// A server's capacity at its start, in attempts of all gateways together.
const INITIAL_CAPACITY: f64 = 12.0;
/// Weight of one more observation in every average over answers.
const GAIN: f64 = 0.2;
/// Retries of work that may have run, as a share of first attempts.
const RETRY_RATIO: f64 = 0.2;
/// An answer later than this fraction of the latency target leaves too little for the wait before it.
const LATE_FRACTION: f64 = 0.35;
/// How long outcomes are remembered, in latency targets.
const MEMORY_IN_TARGETS: f64 = 10.0;
/// How far above the least expected wait a server may lie to be drawn, with very many gateways.
const NEAR_BEST_WIDTH: f64 = 0.3;
/// Requests of the even share in the store at which own traffic and the meter weigh alike.
const LOCAL_EVIDENCE_SCALE: f64 = 0.1;
/// How long the meter's readings count, in filling times of the store.
const METER_MEMORY: f64 = 8.0;
/// The fraction of a cap on concurrent attempts that is in use at best, since they come by chance.
const CAP_UTILISATION: f64 = 0.3;
/// The expected share of failures from which on a server is reported as avoided.
const AVOIDED_FROM: f64 = 0.5;
/// What a failure costs beside a wait of one latency target.
const FAILURE_COST: f64 = 2.0;
/// What an own request says of the demand beside one that the meter tells of: with many gateways a second
/// request here is rare but for heavy customers.
const OWN_REQUEST_WEIGHT: f64 = 12.0;
/// How steeply a request's chance falls with the store's shortage in requests, where excess costs all its
/// value.
const SHORTAGE_STEEPNESS: f64 = 4.7;
/// The most that the store is taken to owe, as a fraction of its depth.
const MAX_DEBT_FRACTION: f64 = 0.25;
/// Weight of the even share, in rates: the ratio of two small counts is noise that would multiply every
/// request.
const EVEN_SHARE_WEIGHT: f64 = 1.0;
/// Below this openness the backends count as under pressure.
const PRESSED_BELOW: f64 = 0.9;
/// A fleet of this size is looked at whole for each request; of a larger one this many servers are drawn, and
/// the view of the whole is refreshed this often.
const SMALL_FLEET: usize = 32;
const SAMPLE_SIZE: usize = 16;
const REFRESH_INTERVAL: Time = 50_000_000;
/// Of many gateways each keeps to a subset: at least this many sound servers, each kept by this many
/// gateways.
const MIN_SUBSET: usize = 8;
const MIN_COVERAGE: u32 = 8;
/// The version of the exported state, and how many customers, the latest seen, it holds.
const STATE_VERSION: u32 = 1;
const MAX_EXPORTED_CUSTOMERS: usize = 1000;
const TIMER_PUMP: u64 = 0;
const TIMER_DISCOVERY: u64 = 1;
const TIMER_REQUESTS: u64 = 2;

/// The capacity of each resource.
type Capacities = [f64; RESOURCES];

/// A request that has no final answer yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    class: usize,
    pool: usize,
    plan: usize,
    customer: Name,
    deadline: Time,
    /// Past this time an answer can no longer meet the latency target: no attempt is sent.
    send_by: Time,
    units: f64,
    /// Its units and its slot are taken from a lease, or are yet to be granted.
    leased: bool,
    awaited: bool,
    sends: u32,
    /// A random point of the fleet's warmth: it selects the cold server, if any, for the next attempt.
    cold_draw: f64,
    attempt: Option<InFlight>,
    streaming: bool,
    client_left: bool,
    /// The first attempt that may have run: when it was sent, and to which zone and cell.
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

/// One resource's sub-scheduler: a queue and a deficit counter per plan, and a round-robin pointer.
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
    own: u32,
    /// How many of this gateway's attempts it may hold: raised by answers, lowered by refusals.
    capacity: f64,
    narrowed_at: Time,
    /// EWMA of its elapsed time over the class's usual one.
    slowness: f64,
    /// Weights of recent outcomes and of the bad ones, by class (failed) and then by plan (overloaded).
    outcomes: Vec<(f64, f64)>,
    outcome_at: Time,
    /// When it last answered, or was first owed an answer.
    heard_at: Time,
    /// Requests of others that it reported, and when.
    load: f64,
    reported_at: Time,
}

/// One customer's quota as this gateway sees it; rates are units a second. Fields have their stored names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Customer {
    plan: usize,
    spread: f64,
    seen: Time,
    at: Time,
    level: f64,
    ceiling: f64,
    out: u32,
    /// EWMA of what was requested and admitted here, now and as late as the meter.
    asked: f64,
    passed: f64,
    passed_then: f64,
    metered: f64,
    metered_at: Time,
    /// Longer averages of both, whose ratio is this gateway's share of the customer's use.
    passed_long: f64,
    metered_long: f64,
    /// Units that the meter reported lately, and over how many seconds, each weighed by the share admitted.
    told: f64,
    span: f64,
    /// The share admitted by the meter's readings, as late as the meter.
    share_then: f64,
}

/// A summary of the whole fleet, so that one request need not look at every server.
#[derive(Clone, Debug, Default)]
struct FleetView {
    updated_at: Time,
    /// Whether the list has changed since.
    stale: bool,
    /// The mean failure share, by class and then by plan; servers weigh by what is known of them.
    bad: Vec<f64>,
    pools: Vec<Pool>,
}

/// A summary of one pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Servers that take new work, and the first of them, which this gateway keeps to.
    ready: Arc<[Name]>,
    kept: Arc<[Name]>,
    /// Of a large fleet the warm ones; and the cold ones, each with the end of its interval of draws.
    warm: Vec<Name>,
    cold: Vec<(f64, Name)>,
    /// Sums of their capacities and of their warmth.
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
    /// Two for each pool, so that overload of one pool does not affect another.
    schedulers: Vec<SubScheduler>,
    timers: BTreeMap<u64, RequestId>,
    next_timer: u64,
    pump_timer: bool,
    swept_at: Time,
    mean_units: f64,
    /// EWMA of the elapsed time of good answers, by class, in seconds.
    latency: Vec<f64>,
    /// EWMA of attempts sent per second, and when it was brought up to date.
    sent_rate: f64,
    sent_at: Time,
    retries: f64,
    /// The fraction of all capacities that is used: lowered by late answers, raised by timely ones.
    open: f64,
    /// EWMA of an attempt's duration, in seconds.
    attempt_time: f64,
    /// EWMA of the load that servers report.
    mean_load: f64,
    /// This gateway's share of all work: an even one, unless a planner sets another.
    work_share: f64,
    /// Its position among how many gateways, for the subset of servers.
    position: (u32, u32),
}

impl Gateway {
    /// A gateway that knows nothing but its settings. Settings out of range are refused.
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
            pump_timer: false,
            swept_at: now,
            mean_units: 1.0,
            latency: s.classes.iter().map(|c| secs(c.latency_target) / 4.0).collect(),
            sent_rate: 0.0,
            sent_at: now,
            retries: rng.f64() + RETRY_RATIO,
            attempt_time: 0.0,
            mean_load: 0.0,
            open: 1.0,
            rng,
            work_share: 1.0 / f64::from(s.gateways.max(1)),
            position: (s.gateway_index, s.gateways),
            settings: s,
        })
    }

    /// Takes what happened by `now` and appends what to do about it. Unknown ids are ignored.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::Fleet { scope, nodes, .. } => self.apply_server_list(scope, nodes, out),
                Event::Request(r) => self.admit(r, out),
                Event::ClientLeft { id } => self.client_left(id, out),
                Event::AttemptEnd(e) => self.attempt_ended(e, out),
                Event::AllowanceDecided { id, allowance } => self.allowed(id, allowance, out),
                Event::Streaming { id, attempt } => {
                    if let Some(request) = self.pending.get_mut(&id) {
                        request.streaming |= request.attempt.as_ref().is_some_and(|a| a.attempt == attempt);
                    }
                }
                Event::Timer { token: TIMER_PUMP } => self.pump_timer = false,
                Event::Timer { token: TIMER_DISCOVERY } => out.push(Action::Subscribe { on: true }),
                Event::Timer { token } => self.request_timer_fired(token, out),
                Event::WorkShare { work_share } => self.set_work_share(work_share),
                Event::GatewayPosition { position, gateways } => self.neighbours(position, gateways),
                Event::Probed { .. } | Event::Counted { .. } | Event::Peer { .. } => {}
            }
        }
        self.forget_idle_customers();
        self.pump(out);
    }

    /// A planner has set this gateway's share of the work: capacities follow, by a factor of two at a time.
    fn set_work_share(&mut self, share: f64) {
        let part = if share > 0.0 && share <= 1.0 { share } else { return };
        let by = (part / self.work_share).clamp(0.5, 2.0);
        self.work_share *= by;
        let least = self.server_share(self.servers.len());
        self.servers.values_mut().for_each(|s| s.capacity = (s.capacity * by).max(least));
    }

    /// The gateways believed alive decide which servers are kept to, and nothing else.
    fn neighbours(&mut self, me: u32, gateways: u32) {
        let Settings { gateway_index, gateways: count, .. } = self.settings;
        let position = if gateways == 0 { (gateway_index, count) } else { (me, gateways) };
        self.fleet.stale |= std::mem::replace(&mut self.position, position) != position;
    }

    /// Applies new settings, which name at least the old classes and plans, at their indices.
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

    /// Servers that are up, and that fail so often for some class or plan that others are chosen.
    pub fn avoided(&self) -> Vec<Name> {
        let worst = |s: &Server| self.worst_failure_share(s, &self.fleet.bad);
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && worst(s) >= AVOIDED_FROM);
        up.map(|(name, _)| name.clone()).collect()
    }
}
