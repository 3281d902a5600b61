//! The simulated world, in virtual time. Engines and planners decide; this module provides only their
//! environment.

mod backends;
mod clients;
mod faults;
mod gateways;

mod planning;
mod snapshots;

use crate::module::{Choice, SimulatedModule, TrueLoads};
use crate::observer::{Observer, Violation};
use crate::quota::Quotas;
use crate::record::Record;
use crate::rng::{exponential, long_tailed, stream};
use crate::servers::{Admission, Condition, Job, Listed, Server, WARM_UP_TIME};
use crate::shrink::Cuts;
use crate::spec::{plan_of, Spec, MS};
use crate::trace::Trace;
use engine::{
    AttemptFacts, Engine, FinalAnswer, Incoming, Input, ListEntry, Notice, Output, Reply, Step, Timing,
};
use fastrand::Rng;
use forward::Account;
use granitehub::Gateway;
use interface::{Ending, Health, Name, Node, Scope, Time};
use plan::message::{Grant, Report};
use plan::{LeaseConfig, Planner};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

const TIMING: Timing =
    Timing { way_back: 20 * MS, module_grace: 5 * MS, key_margin: 20 * MS, min_batch_interval: 2 * MS };
/// Lower bound of the processes' clock readings at the start.
const MIN_CLOCK_OFFSET: Time = 1_000_000_000 * MS;
/// Time after the last request by which all must be over: the longest deadline, plus the way back of
/// outstanding attempts.
const DRAIN_TIME: Time = 12_000 * MS;
const METER_PERIOD: Time = 500 * MS;
/// Mean work of a request, in nanoseconds of one warm core.
pub(crate) const MEAN_WORK: f64 = 85e6;

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stats {
    pub asked: u64,
    pub served: u64,
    pub in_aim: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
    /// Attempts that reached a server.
    pub reached: u64,
    /// Attempts rejected by a full server.
    pub turned_away: u64,
    /// Cold servers that collapsed.
    pub collapsed: u64,
    pub faults: u64,
    /// Tries refused before anything was sent although the quota, counted over all gateways, had room.
    pub refused_with_room: u64,
    pub max_over_ceiling: f64,
    /// Units of first attempts sent, and those of them beyond the quota counted over all gateways.
    pub sent_units: f64,
    pub units_over_quota: f64,
    /// Mean number of jobs per core already at the server when an attempt reaches it.
    pub mean_queue: f64,
    /// Value of first tries inside the quotas, as counted by a single observer of all gateways, and the
    /// part of it served within the latency target.
    pub worth_asked: f64,
    pub worth_served: f64,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub violation: Option<Violation>,
    pub stats: Stats,
    pub digest: String,
    pub steps: u64,
    pub story: Vec<String>,
    /// Virtual time at the end.
    pub time: Time,
    pub record: Record,
}

/// Plays a world to its end, or to the first violation.
pub fn play(spec: &Spec, seed: u64, keep_story: bool) -> Outcome {
    play_with_cuts(spec, seed, keep_story, &Cuts::default())
}

/// Plays a world with parts of it removed.
pub fn play_with_cuts(spec: &Spec, seed: u64, keep_story: bool, cuts: &Cuts) -> Outcome {
    let mut world = World::new(spec.clone(), seed, keep_story, cuts.clone());
    world.run();
    let (digest, story) = std::mem::take(&mut world.trace).finish();
    Outcome {
        violation: world.observer.violation.take(),
        stats: Stats { max_over_ceiling: world.observer.max_over_ceiling, ..world.stats() },
        steps: world.steps,
        digest,
        story,
        time: world.now,
        record: std::mem::take(&mut world.record),
    }
}

/// Event delivered to a gateway's process.
#[derive(Clone, Debug)]
enum GatewayEvent {
    Connected {
        id: u64,
        attempt: u32,
    },
    /// Result of an attempt, including a failure to reach the server.
    AttemptResult {
        id: u64,
        attempt: u32,
        ending: Ending,
        facts: AttemptFacts,
    },
    /// An attempt was withheld or aborted.
    Stopped {
        id: u64,
        attempt: u32,
        written: bool,
    },
    /// An attempt's deadline has passed.
    AttemptTimeout {
        id: u64,
        attempt: u32,
    },
    ClientGone {
        id: u64,
    },
    ServerListUpdate {
        rev: u64,
        entries: Vec<(usize, Listed, Time)>,
    },
    Grant {
        planner: usize,
        grant: Grant,
    },
    Tick,
    Wake {
        number: u64,
    },
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    ClientTry(ClientTry),
    AtGateway { gateway: usize, generation: u64, event: GatewayEvent },
    AtServer { server: usize, job: Job },
    Done { server: usize, started_at: Time, job: Job },
    ClientTimeout { id: u64 },
    AtPlanner { planner: usize, report: Report },
    Fault,
    FalsePosition,
    Snapshot { gateway: usize },
    PlannedFault(PlannedFault),
    Recovery(Recovery),
    Sweep,
}

/// Fault that a world schedules at a fixed time.
#[derive(Clone, Copy, Debug)]
enum PlannedFault {
    PlannerDown(Time),
    PowerCut,
    Flood(Time),
    Crash,
    Blackout(usize),
}

/// End of a fault.
#[derive(Clone, Debug)]
enum Recovery {
    Server(usize),
    Mood(usize),
    Drained(usize),
    Gateway(usize),
    Planner(usize),
    Links,
    Flood,
}

/// A client's request at its current try; a retry takes over all but the number of tries.
#[derive(Clone, Debug)]
struct ClientTry {
    customer: usize,
    class: usize,
    units: f64,
    /// Number of earlier tries.
    tries: u32,
    first_try_at: Time,
    /// Seed of the request, the same for all its tries; each try seeds its own random stream with this and
    /// its number.
    seed: u64,
    /// Value of the request; 0 if it exceeded the quota at its first try.
    worth: f64,
}

struct WaitingClient {
    client_try: ClientTry,
    gateway: usize,
    generation: u64,
    since: Time,
}

/// Open attempt, as the gateway's sockets see it.
struct OpenAttempt {
    attempt: u32,
    server: usize,
    written: bool,
    since: Time,
}

struct Process {
    engine: Engine<SimulatedModule>,
    generation: u64,
    running: bool,
    paused_until: Time,
    /// The process's clock: its offset at the start, and its rate.
    offset: Time,
    rate: f64,
    open_attempts: BTreeMap<u64, OpenAttempt>,
    /// Revision and contents of the last server list received.
    rev: u64,
    list: Vec<(usize, Listed, Time)>,
    wake: u64,
    wake_at: Option<Time>,
    /// Snapshots on disk, newest last. A faulty disk may return an older one.
    saved_snapshots: VecDeque<Vec<u8>>,
}

impl Process {
    fn clock(&self, now: Time) -> Time {
        self.offset + (now as f64 * self.rate) as Time
    }

    /// Returns the virtual time at which the process's clock reaches `at`.
    fn world(&self, at: Time) -> Time {
        (at.saturating_sub(self.offset) as f64 / self.rate).ceil() as Time + 1
    }
}

struct PlannerProcess {
    planner: Planner,
    offset: Time,
    rate: f64,
    running: bool,
    paused_until: Time,
}

struct World {
    spec: Spec,
    cuts: Cuts,
    seed: u64,
    now: Time,
    steps: u64,
    events: BTreeMap<(Time, u32, u64), Event>,
    number: u64,
    trace: Trace,
    observer: Observer,
    processes: Vec<Process>,
    planners: Vec<PlannerProcess>,
    lease_config: LeaseConfig,
    /// Whether reports and grants get through, by gateway and planner.
    links: Vec<Vec<(bool, bool)>>,
    servers: Vec<Server>,
    rev: u64,
    /// Time of the first execution of each keyed request.
    keys: BTreeMap<u64, Time>,
    /// Units used by each customer, by metering period.
    meter: BTreeMap<(usize, u64), f64>,
    waiting: BTreeMap<u64, WaitingClient>,
    /// True load of each server, for the baseline that uses it.
    true_loads: TrueLoads,
    /// Remaining quota of each customer over all gateways, and the time it was computed at.
    quotas: Quotas,
    /// Quotas as they would be if every first try were sent.
    offers: Quotas,
    record: Record,
    /// Customer, class and units of each request.
    requests: BTreeMap<u64, (usize, usize, f64)>,
    flood: Option<usize>,
    /// Number of times the delays of the present fault are halved.
    delay_halvings: u32,
    next_id: u64,
    jobs: u64,
    counts: Stats,
    queued: f64,
    network_rng: Rng,
    load_rng: Rng,
    fault_rng: Rng,
    work_rng: Rng,
    snapshot_rng: Rng,
    tie_rng: Rng,
    restart_rng: Rng,
    outputs: Vec<Output>,
}

fn server_name(n: usize) -> Name {
    format!("s-{n:04}").into()
}

fn server_number(name: &str) -> usize {
    name.trim_start_matches("s-").parse().unwrap_or(0)
}

fn customer_name(n: usize) -> Name {
    format!("c-{n:06}").into()
}

impl World {
    fn new(spec: Spec, seed: u64, keep_story: bool, cuts: Cuts) -> Self {
        let mut clocks = stream(seed, "clocks");
        let mut restart_rng = stream(seed, "lives");
        let lease_config = spec.lease_config();
        let true_loads = TrueLoads::new(RefCell::new(vec![0.0; spec.servers]));
        let mut clock = || (MIN_CLOCK_OFFSET + clocks.u64(0..1000) * 1000 * MS, 0.997 + clocks.f64() * 0.006);
        let processes = (0..spec.gateways)
            .map(|n| {
                let (offset, rate) = clock();
                Process {
                    engine: new_engine(&spec, &lease_config, n, 1, offset, (&mut restart_rng, &true_loads)),
                    generation: 1,
                    running: true,
                    paused_until: 0,
                    offset,
                    rate,
                    open_attempts: BTreeMap::new(),
                    rev: 0,
                    list: Vec::new(),
                    wake: 0,
                    wake_at: None,
                    saved_snapshots: VecDeque::new(),
                }
            })
            .collect();
        let planners = (0..spec.planners)
            .map(|_| {
                let (offset, rate) = clock();
                PlannerProcess {
                    planner: new_planner(&lease_config, &mut restart_rng),
                    offset,
                    rate,
                    running: true,
                    paused_until: 0,
                }
            })
            .collect();
        let mut kinds = stream(seed, "servers");
        let servers = (0..spec.servers).map(|_| Server::new(2, kinds.usize(8..16))).collect();
        let mut observer = Observer::default();
        let partner = &spec.settings(0).plans[1];
        for customer in (0..spec.customers).filter(|c| plan_of(*c) == 1) {
            // With planners the ceiling is kept except for clock drift; gateways that estimate
            // usage have the slack that the rule permits.
            let slack = if spec.planners > 0 { 1.0 } else { (0.1 * partner.hard_limit_burst).max(8.0) };
            let slack = if spec.faulty_module { f64::INFINITY } else { slack };
            observer.set_ceiling(customer, partner.hard_limit_rate, partner.hard_limit_burst, slack);
        }
        let mut world = World {
            links: vec![vec![(true, true); spec.planners]; spec.gateways],
            cuts,
            seed,
            now: 0,
            steps: 0,
            events: BTreeMap::new(),
            number: 0,
            trace: if keep_story { Trace::with_story() } else { Trace::default() },
            observer,
            processes,
            planners,
            lease_config,
            servers,
            rev: 1,
            keys: BTreeMap::new(),
            meter: BTreeMap::new(),
            waiting: BTreeMap::new(),
            true_loads,
            quotas: Quotas::default(),
            offers: Quotas::default(),
            record: Record::new(spec.servers),
            requests: BTreeMap::new(),
            flood: None,
            delay_halvings: 0,
            next_id: seed << 32,
            jobs: 0,
            counts: Stats::default(),
            queued: 0.0,
            network_rng: stream(seed, "network"),
            load_rng: stream(seed, "load"),
            fault_rng: stream(seed, "faults"),
            work_rng: stream(seed, "work"),
            snapshot_rng: stream(seed, "memory"),
            tie_rng: stream(seed, "ties"),
            restart_rng,
            outputs: Vec::new(),
            spec,
        };
        let entries = world.entries();
        for gateway in 0..world.spec.gateways {
            let event = GatewayEvent::ServerListUpdate { rev: 1, entries: entries.clone() };
            world.schedule(0, Event::AtGateway { gateway, generation: 1, event });
            if world.spec.planners > 0 {
                let first = world.network_rng.u64(0..50) * MS;
                world.schedule(first, Event::AtGateway { gateway, generation: 1, event: GatewayEvent::Tick });
            }
        }
        // Loans are granted and buckets fill before the first request.
        world.schedule(if world.spec.planners > 0 { 4000 * MS } else { 100 * MS }, Event::Arrival);
        if let Some(every) = world.spec.fault_every {
            world.schedule(5000 * MS + every, Event::Fault);
        }
        if world.spec.false_position_every.is_some() {
            world.schedule(0, Event::FalsePosition);
        }
        for gateway in 0..world.processes.len() * usize::from(world.spec.snapshot_every.is_some()) {
            let first = world.snapshot_rng.u64(0..1000) * MS;
            world.schedule(first, Event::Snapshot { gateway });
        }
        world.schedule(5000 * MS, Event::Sweep);
        world.schedule_planned_faults();
        world
    }

    fn stats(&self) -> Stats {
        Stats { mean_queue: self.queued / self.counts.reached.max(1) as f64, ..self.counts }
    }

    fn end(&self) -> Time {
        self.spec.seconds * 1000 * MS
    }

    /// Schedules an event. Events at the same instant are ordered randomly, by the seed.
    fn schedule(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.insert((at.max(self.now), self.tie_rng.u32(..), self.number), event);
    }

    fn run(&mut self) {
        let over = self.end() + DRAIN_TIME;
        while let Some(((at, _, number), event)) = self.events.pop_first() {
            if at > over || self.observer.violation.is_some() {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.trace.note(&[at, number]);
            self.step(event);
        }
        if self.observer.violation.is_some() {
            return;
        }
        self.now = over;
        for n in 0..self.processes.len() {
            let p = &self.processes[n];
            if p.running && p.paused_until < self.now && !p.engine.is_idle() {
                self.observer.not_idle(self.now, n, p.engine.request_count());
            }
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::ClientTry(client_try) => self.start_try(client_try),
            Event::AtGateway { gateway, generation, event } => {
                self.handle_gateway_event(gateway, generation, event)
            }
            Event::AtServer { server, job } => self.at_server(server, job),
            Event::Done { server, started_at, job } => self.done(server, started_at, &job),
            Event::ClientTimeout { id } => self.client_timeout(id),
            Event::AtPlanner { planner, report } => self.at_planner(planner, &report),
            Event::Fault => self.next_fault(),
            Event::FalsePosition => self.inject_false_position(),
            Event::Snapshot { gateway } => self.snapshot(gateway),
            Event::PlannedFault(what) => self.apply_planned_fault(what),
            Event::Recovery(what) => self.recover(&what),
            Event::Sweep => {
                self.observer.sweep(self.now);
                let (now, since) = (self.now, self.now / METER_PERIOD);
                self.meter.retain(|(_, period), _| *period + 10 > since);
                self.keys.retain(|_, at| *at + 10_000 * MS > now);
                self.schedule(self.now + 1000 * MS, Event::Sweep);
            }
        }
    }
}

/// Creates a gateway's engine, started at this reading of its clock.
fn new_engine(
    spec: &Spec,
    lease_config: &LeaseConfig,
    n: usize,
    generation: u64,
    clock: Time,
    (restart_rng, true_loads): (&mut Rng, &TrueLoads),
) -> Engine<SimulatedModule> {
    let settings = spec.settings(n);
    let own = crate::defects::apply_defect(settings.clone());
    let (faulty, servers, chance) = (spec.faulty_module, spec.servers, restart_rng.u64(..));
    let (choice, true_loads) = (spec.choice, true_loads.clone());
    let make = move |seed: u64, now| {
        let gateway = Gateway::new(own.clone(), seed, now)?;
        let other = (choice != Choice::Module).then(|| (choice, chance ^ seed, true_loads.clone()));
        Ok(SimulatedModule::new(gateway, faulty.then_some((chance ^ now, servers)), other))
    };
    let seed = (n as u64) << 32 | generation;
    let mut engine = Engine::new(settings, seed, TIMING, clock, Box::new(make))
        .expect("the settings of a world are sound");
    if spec.planners > 0 {
        let incarnation = restart_rng.u64(1..);
        let account = Account::new(lease_config.clone(), n as u16, incarnation, spec.planners, clock);
        engine.set_account(account.expect("the terms of a world are sound"));
    }
    engine
}

fn new_planner(lease_config: &LeaseConfig, restart_rng: &mut Rng) -> Planner {
    Planner::new(lease_config.clone(), restart_rng.u64(1..), 100_000).expect("the terms of a world are sound")
}

/// Converts the process's server list to the engine's input.
fn server_list(p: &Process) -> Vec<ListEntry> {
    let entry = |(n, listed, started_at): &(usize, Listed, Time)| {
        let health = match listed {
            Listed::Up => Health::Up,
            Listed::Draining => Health::Draining,
            Listed::Gone => return None,
        };
        let since =
            if *started_at == 0 { p.offset.saturating_sub(2 * WARM_UP_TIME) } else { p.clock(*started_at) };
        let place = (health == Health::Up).then(|| ([10, 0, (n >> 8) as u8, *n as u8], 80).into());
        Some((Node { since, ..Node::new(&server_name(*n), health) }, place))
    };
    p.list.iter().filter_map(entry).collect()
}
