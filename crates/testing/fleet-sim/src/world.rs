//! The world: everything that happens, in virtual time. What decides is the engine's and the planners'; here is
//! only what surrounds them.

mod backends;
mod clients;
mod faults;
mod gateways;
mod memory;
mod planning;

use crate::chance::{exponential, long_tailed, stream};
use crate::mind::{Choice, Mind, Truth};
use crate::observer::{Observer, Violation};
use crate::quota::Quotas;
use crate::record::Record;
use crate::servers::{Job, Listed, Mood, Server, Taken, COLD};
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

const FIGURES: Timing =
    Timing { way_back: 20 * MS, module_grace: 5 * MS, key_margin: 20 * MS, min_batch_interval: 2 * MS };
/// Where clocks stand at the start, at the least.
const EPOCH: Time = 1_000_000_000 * MS;
/// After the last request all is over within so long: the longest deadline, and the way of what is still out.
const TAIL: Time = 12_000 * MS;
const PERIOD: Time = 500 * MS;
/// Mean work of a request, of one warm core.
pub(crate) const WORK: f64 = 85e6;

/// Counts of a run.
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
    /// Attempts that a full server turned away.
    pub turned_away: u64,
    /// Cold servers that fell over.
    pub fallen: u64,
    pub faults: u64,
    /// Tries refused before anything was sent though the quota, counted over all gateways, had room for them.
    pub refused_with_room: u64,
    pub most_over: f64,
    /// Units that were sent first, and those of them for which the quota, counted over all gateways, had no room.
    pub sent_units: f64,
    pub beyond_units: f64,
    /// Of the attempts that reached a server, the mean of those before them there, for each core.
    pub queue: f64,
    /// Worth of first tries inside the quotas, as one gateway that saw them all would count, and what of it was
    /// answered within the aim.
    pub worth_asked: f64,
    pub worth_served: f64,
}

/// How a run ended.
#[derive(Debug)]
pub struct Outcome {
    pub violation: Option<Violation>,
    pub stats: Stats,
    pub digest: String,
    pub steps: u64,
    pub story: Vec<String>,
    /// Virtual time that has passed.
    pub time: Time,
    pub record: Record,
}

/// Plays a world to its end, or to the first broken rule.
pub fn play(spec: &Spec, seed: u64, tell: bool) -> Outcome {
    play_cut(spec, seed, tell, &Cuts::default())
}

/// The same with some of it left out.
pub fn play_cut(spec: &Spec, seed: u64, tell: bool, cuts: &Cuts) -> Outcome {
    let mut world = World::new(spec.clone(), seed, tell, cuts.clone());
    world.run();
    let (digest, story) = std::mem::take(&mut world.trace).finish();
    Outcome {
        violation: world.observer.broken.take(),
        stats: Stats { most_over: world.observer.most_over, ..world.stats() },
        steps: world.steps,
        digest,
        story,
        time: world.now,
        record: std::mem::take(&mut world.record),
    }
}

/// What comes to a gateway's process.
#[derive(Clone, Debug)]
enum Inward {
    Connected {
        id: u64,
        attempt: u32,
    },
    /// What came back, or that nothing will.
    Back {
        id: u64,
        attempt: u32,
        ending: Ending,
        facts: AttemptFacts,
    },
    /// An attempt was told to stop.
    Stopped {
        id: u64,
        attempt: u32,
        written: bool,
    },
    /// An attempt's time is up.
    Limit {
        id: u64,
        attempt: u32,
    },
    Left {
        id: u64,
    },
    Told {
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
    Arrive,
    Ask(Ask),
    To { gateway: usize, life: u64, what: Inward },
    AtServer { server: usize, job: Job },
    Done { server: usize, born: Time, job: Job },
    TimeUp { id: u64 },
    AtPlanner { planner: usize, report: Report },
    Fault,
    Lie,
    Snapshot { gateway: usize },
    Planned(Planned),
    Mend(Mend),
    Sweep,
}

/// What a world has go wrong at a stated time.
#[derive(Clone, Copy, Debug)]
enum Planned {
    PlannerDown(Time),
    PowerCut,
    Flood(Time),
    Crash,
    Blackout(usize),
}

/// What heals, or comes back.
#[derive(Clone, Debug)]
enum Mend {
    Server(usize),
    Mood(usize),
    Drained(usize),
    Gateway(usize),
    Planner(usize),
    Links,
    Flood,
}

/// A client's try.
#[derive(Clone, Debug)]
struct Ask {
    customer: usize,
    class: usize,
    units: f64,
    tries: u32,
    begun: Time,
    /// Chance of its own: what happens to others changes nothing in it.
    chance: u64,
    /// What it is worth, if it was inside the quota when it was first asked.
    worth: f64,
}

struct Waiting {
    ask: Ask,
    gateway: usize,
    life: u64,
    since: Time,
}

/// An attempt that is out, as its gateway's sockets know it.
struct Out {
    attempt: u32,
    server: usize,
    written: bool,
    since: Time,
}

struct Process {
    engine: Engine<Mind>,
    life: u64,
    up: bool,
    paused_until: Time,
    /// Its clock: where it stood at the start, and its rate.
    offset: Time,
    rate: f64,
    out: BTreeMap<u64, Out>,
    /// The last list that it was told.
    rev: u64,
    list: Vec<(usize, Listed, Time)>,
    wake: u64,
    wake_at: Option<Time>,
    /// Snapshots on its disk, the last one last. A disk that lies may have lost some.
    kept: VecDeque<Vec<u8>>,
}

impl Process {
    fn clock(&self, now: Time) -> Time {
        self.offset + (now as f64 * self.rate) as Time
    }

    /// When its clock will have reached that.
    fn world(&self, at: Time) -> Time {
        (at.saturating_sub(self.offset) as f64 / self.rate).ceil() as Time + 1
    }
}

struct Planning {
    what: Planner,
    offset: Time,
    rate: f64,
    up: bool,
    paused_until: Time,
}

struct World {
    spec: Spec,
    cuts: Cuts,
    seed: u64,
    now: Time,
    steps: u64,
    queue: BTreeMap<(Time, u32, u64), Event>,
    number: u64,
    trace: Trace,
    observer: Observer,
    processes: Vec<Process>,
    planners: Vec<Planning>,
    terms: LeaseConfig,
    /// By gateway and planner: whether reports and whether grants get through.
    links: Vec<Vec<(bool, bool)>>,
    servers: Vec<Server>,
    rev: u64,
    /// When keyed requests ran first.
    keys: BTreeMap<u64, Time>,
    /// Units that each customer used, by period.
    meter: BTreeMap<(usize, u64), f64>,
    waiting: BTreeMap<u64, Waiting>,
    /// What is left of each customer's quota over all gateways, and as of when.
    truth: Truth,
    quotas: Quotas,
    /// The same if all first tries were sent.
    offers: Quotas,
    record: Record,
    /// What a request asks: customer, class, units.
    asked: BTreeMap<u64, (usize, usize, f64)>,
    flood: Option<usize>,
    /// By how many halvings the present fault's waits are cut short.
    sooner: u32,
    next_id: u64,
    jobs: u64,
    counts: Stats,
    queued: f64,
    net: Rng,
    load: Rng,
    chance: Rng,
    work: Rng,
    memory: Rng,
    tie: Rng,
    lives: Rng,
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
    fn new(spec: Spec, seed: u64, tell: bool, cuts: Cuts) -> Self {
        let mut clocks = stream(seed, "clocks");
        let mut lives = stream(seed, "lives");
        let terms = spec.terms();
        let truth = Truth::new(RefCell::new(vec![0.0; spec.servers]));
        let mut clock = || (EPOCH + clocks.u64(0..1000) * 1000 * MS, 0.997 + clocks.f64() * 0.006);
        let processes = (0..spec.gateways)
            .map(|n| {
                let (offset, rate) = clock();
                Process {
                    engine: engine(&spec, &terms, n, 1, offset, (&mut lives, &truth)),
                    life: 1,
                    up: true,
                    paused_until: 0,
                    offset,
                    rate,
                    out: BTreeMap::new(),
                    rev: 0,
                    list: Vec::new(),
                    wake: 0,
                    wake_at: None,
                    kept: VecDeque::new(),
                }
            })
            .collect();
        let planners = (0..spec.planners)
            .map(|_| {
                let (offset, rate) = clock();
                Planning { what: planner(&terms, &mut lives), offset, rate, up: true, paused_until: 0 }
            })
            .collect();
        let mut kinds = stream(seed, "servers");
        let servers = (0..spec.servers).map(|_| Server::new(2, kinds.usize(8..16))).collect();
        let mut observer = Observer::default();
        let partner = &spec.settings(0).plans[1];
        for customer in (0..spec.customers).filter(|c| plan_of(*c) == 1) {
            // Leases keep it but for the drift of clocks; who guesses has the rule's slack.
            let slack = if spec.planners > 0 { 1.0 } else { (0.1 * partner.hard_limit_burst).max(8.0) };
            let slack = if spec.mischief { f64::INFINITY } else { slack };
            observer.ceiling(customer, partner.hard_limit_rate, partner.hard_limit_burst, slack);
        }
        let mut world = World {
            links: vec![vec![(true, true); spec.planners]; spec.gateways],
            cuts,
            seed,
            now: 0,
            steps: 0,
            queue: BTreeMap::new(),
            number: 0,
            trace: if tell { Trace::telling() } else { Trace::default() },
            observer,
            processes,
            planners,
            terms,
            servers,
            rev: 1,
            keys: BTreeMap::new(),
            meter: BTreeMap::new(),
            waiting: BTreeMap::new(),
            truth,
            quotas: Quotas::default(),
            offers: Quotas::default(),
            record: Record::new(spec.servers),
            asked: BTreeMap::new(),
            flood: None,
            sooner: 0,
            next_id: seed << 32,
            jobs: 0,
            counts: Stats::default(),
            queued: 0.0,
            net: stream(seed, "network"),
            load: stream(seed, "load"),
            chance: stream(seed, "faults"),
            work: stream(seed, "work"),
            memory: stream(seed, "memory"),
            tie: stream(seed, "ties"),
            lives,
            outputs: Vec::new(),
            spec,
        };
        let entries = world.entries();
        for gateway in 0..world.spec.gateways {
            let what = Inward::Told { rev: 1, entries: entries.clone() };
            world.at(0, Event::To { gateway, life: 1, what });
            if world.spec.planners > 0 {
                let first = world.net.u64(0..50) * MS;
                world.at(first, Event::To { gateway, life: 1, what: Inward::Tick });
            }
        }
        // Loans are made, and stores fill, before the first request.
        world.at(if world.spec.planners > 0 { 4000 * MS } else { 100 * MS }, Event::Arrive);
        if let Some(every) = world.spec.fault_every {
            world.at(5000 * MS + every, Event::Fault);
        }
        if world.spec.lies.is_some() {
            world.at(0, Event::Lie);
        }
        for gateway in 0..world.processes.len() * usize::from(world.spec.snapshots.is_some()) {
            let first = world.memory.u64(0..1000) * MS;
            world.at(first, Event::Snapshot { gateway });
        }
        world.at(5000 * MS, Event::Sweep);
        world.planned();
        world
    }

    fn stats(&self) -> Stats {
        Stats { queue: self.queued / self.counts.reached.max(1) as f64, ..self.counts }
    }

    fn end(&self) -> Time {
        self.spec.seconds * 1000 * MS
    }

    /// Events at one instant come in an order that chance settles.
    fn at(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.queue.insert((at.max(self.now), self.tie.u32(..), self.number), event);
    }

    fn run(&mut self) {
        let over = self.end() + TAIL;
        while let Some(((at, _, number), event)) = self.queue.pop_first() {
            if at > over || self.observer.broken.is_some() {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.trace.note(&[at, number]);
            self.step(event);
        }
        if self.observer.broken.is_some() {
            return;
        }
        self.now = over;
        for n in 0..self.processes.len() {
            let p = &self.processes[n];
            if p.up && p.paused_until < self.now && !p.engine.is_idle() {
                self.observer.not_idle(self.now, n, p.engine.request_count());
            }
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask(ask) => self.ask(ask),
            Event::To { gateway, life, what } => self.inward(gateway, life, what),
            Event::AtServer { server, job } => self.at_server(server, job),
            Event::Done { server, born, job } => self.done(server, born, &job),
            Event::TimeUp { id } => self.time_up(id),
            Event::AtPlanner { planner, report } => self.at_planner(planner, &report),
            Event::Fault => self.fault(),
            Event::Lie => self.lie(),
            Event::Snapshot { gateway } => self.snapshot(gateway),
            Event::Planned(what) => self.happen(what),
            Event::Mend(what) => self.mend(&what),
            Event::Sweep => {
                self.observer.sweep(self.now);
                let (now, since) = (self.now, self.now / PERIOD);
                self.meter.retain(|(_, period), _| *period + 10 > since);
                self.keys.retain(|_, at| *at + 10_000 * MS > now);
                self.at(self.now + 1000 * MS, Event::Sweep);
            }
        }
    }
}

/// A gateway's engine that begins now by its clock.
fn engine(
    spec: &Spec,
    terms: &LeaseConfig,
    n: usize,
    life: u64,
    clock: Time,
    (lives, truth): (&mut Rng, &Truth),
) -> Engine<Mind> {
    let settings = spec.settings(n);
    let own = crate::defects::spoil(settings.clone());
    let (mischief, servers, chance) = (spec.mischief, spec.servers, lives.u64(..));
    let (choice, truth) = (spec.choice, truth.clone());
    let make = move |seed: u64, now| {
        let gateway = Gateway::new(own.clone(), seed, now)?;
        let other = (choice != Choice::Module).then(|| (choice, chance ^ seed, truth.clone()));
        Ok(Mind::new(gateway, mischief.then_some((chance ^ now, servers)), other))
    };
    let seed = (n as u64) << 32 | life;
    let mut engine = Engine::new(settings, seed, FIGURES, clock, Box::new(make))
        .expect("the settings of a world are sound");
    if spec.planners > 0 {
        let incarnation = lives.u64(1..);
        let account = Account::new(terms.clone(), n as u16, incarnation, spec.planners, clock);
        engine.set_account(account.expect("the terms of a world are sound"));
    }
    engine
}

fn planner(terms: &LeaseConfig, lives: &mut Rng) -> Planner {
    Planner::new(terms.clone(), lives.u64(1..), 100_000).expect("the terms of a world are sound")
}

/// The list as an engine takes it.
fn list(p: &Process) -> Vec<ListEntry> {
    let entry = |(n, listed, born): &(usize, Listed, Time)| {
        let health = match listed {
            Listed::Up => Health::Up,
            Listed::Draining => Health::Draining,
            Listed::Gone => return None,
        };
        let since = if *born == 0 { p.offset.saturating_sub(2 * COLD) } else { p.clock(*born) };
        let place = (health == Health::Up).then(|| ([10, 0, (n >> 8) as u8, *n as u8], 80).into());
        Some((Node { since, ..Node::new(&server_name(*n), health) }, place))
    };
    p.list.iter().filter_map(entry).collect()
}
