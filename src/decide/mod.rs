//! Every decision; what goes in and out is in `interface`. Events arrive here, then in `queues`, `quota`,
//! `choice`, `answers`. Exceptions to the paper's path carry a comment that begins with `Beyond the paper`.

mod answers;
mod choice;
mod fleet;
mod legacy;
mod queues;
mod quota;

use crate::interface::*;
use crate::settings::check;
use fastrand::Rng;
use route::subset::{self, Subset};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The two resources of each pool: attempts in flight here, and units in flight here.
const RESOURCES: usize = 2;
/// A server's room at its start, in attempts of all gateways together; "a few" for each.
const FIRST_ROOM: f64 = 12.0;
/// Weight of one more observation in every average over answers.
const GAIN: f64 = 0.2;
/// Further attempts of work that may have run, as a share of first attempts.
const RETRY_SHARE: f64 = 0.2;
/// An answer later than this part of the aim leaves too little for the wait before it.
const LATE: f64 = 0.35;
/// How many aims ends are remembered.
const MEMORY: f64 = 10.0;
/// How far above the least expected wait a server may lie to be drawn, with very many gateways.
const NEAR: f64 = 0.3;
/// Requests of the even part in the store at which own traffic and the meter weigh alike.
const LOCAL: f64 = 0.1;
/// How long the meter's word counts, in filling times of the store.
const SPAN: f64 = 8.0;
/// The part of a cap on attempts out at once that is in use at best, when they come by chance.
const OPEN_USE: f64 = 0.3;
/// From which expected share of bad ends on a server is told as avoided: a bad end costs `LOSS` aims, so that
/// half of it outweighs any usual wait.
const AVOIDED: f64 = 0.5;
/// What a bad end costs beside a wait of one aim.
const LOSS: f64 = 2.0;
/// What an own request tells of the demand beside one that the meter tells of: the even part that it is
/// multiplied by is a guess, yet at a wide spread a second request here is rare but for heavy customers.
const OWN: f64 = 12.0;
/// How steeply a request's chance falls with what the store is short of, in requests' worth, where what is
/// sent beyond a quota costs all of its worth.
const SHORT: f64 = 4.7;
/// The most that the store is taken to owe, as a part of what it holds.
const DEBT: f64 = 0.25;
/// Weight of the even part beside what passed here and what the meter told, in rates: the ratio of two small
/// counts is noise that every request of the customer is then multiplied by.
const EVEN: f64 = 1.0;
/// Under how much of the rooms open the back end counts as pressed.
const PRESSED: f64 = 0.9;
/// A fleet of so many servers is looked at whole for every request; of a larger one so many are drawn, and
/// what is known of the whole is brought up to date so often.
const FEW: usize = 32;
const DRAWN: usize = 16;
const REFRESH: Time = 50_000_000;
/// Among many gateways each keeps to a part of the fleet: so many warm and sound servers at the least, and
/// enough that each server is kept by so many gateways.
const KEPT: usize = 8;
const COVER: u32 = 8;
/// The form of what is left for another process; and of how many customers, the latest seen, it tells.
const LEGACY: u32 = 1;
const LEFT: usize = 1000;
const TIMER_PUMP: u64 = 0;
const TIMER_ASK: u64 = 1;
const TIMER_REQUESTS: u64 = 2;

/// The room of each resource.
type Rooms = [f64; RESOURCES];

/// What is held of a request until its final answer.
#[derive(Clone, Debug)]
struct Held {
    class: usize,
    pool: usize,
    plan: usize,
    customer: Name,
    deadline: Time,
    /// Past this time an answer can no longer be within the aim, so it is not sent on.
    hope: Time,
    units: f64,
    /// Its units and its place under the cap are taken from a lease, or are yet to be granted.
    leased: bool,
    awaited: bool,
    sends: u32,
    /// A random part of the fleet's warmth: which cold server, if any, may take the next attempt.
    draw: f64,
    out: Option<Out>,
    streaming: bool,
    gone: bool,
    /// The first attempt that may have run: when it was sent, and to which zone and cell.
    ran: Option<(Time, u32, u32)>,
    tried: Vec<Name>,
}

#[derive(Clone, Debug)]
struct Out {
    server: Name,
    at: Time,
    attempt: u32,
    cancelled: bool,
}

/// One resource's sub-scheduler: a queue and a deficit counter per plan, and a round-robin pointer.
#[derive(Clone, Debug)]
struct Sub {
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
    /// How many of this gateway's attempts it may hold: widened by answers, narrowed by refusals.
    room: f64,
    narrowed: Time,
    /// EWMA of its elapsed time over the class's usual one.
    slow: f64,
    /// Weights of recent ends and of the bad ones, by class (bad: failed) and then by plan (bad: full).
    ends: Vec<(f64, f64)>,
    ended: Time,
    /// When it last answered or was first owed an answer.
    heard: Time,
    /// Requests of others that it reported, and when.
    others: f64,
    reported: Time,
}

/// One customer's quota as this gateway sees it. Rates are units a second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Customer {
    plan: usize,
    spread: f64,
    seen: Time,
    at: Time,
    level: f64,
    ceiling: f64,
    out: u32,
    /// EWMA of what was asked and passed here, now and as late as the meter.
    asked: f64,
    passed: f64,
    passed_then: f64,
    metered: f64,
    metered_at: Time,
    /// Longer averages of the two, whose ratio is this gateway's part of the customer's use.
    passed_long: f64,
    metered_long: f64,
    /// Units that the meter told of lately, and over how many seconds, each by the part that then passed.
    told: f64,
    span: f64,
    /// The share let pass by the meter's word, as late as the meter.
    share_then: f64,
}

/// What is known of the whole fleet, so that one request need not look at every server.
#[derive(Clone, Debug, Default)]
struct Overview {
    at: Time,
    /// The list has changed since.
    stale: bool,
    /// The mean share of bad ends, by class and then by plan, each server counted by what is known of it.
    bad: Vec<f64>,
    pools: Vec<Pool>,
}

/// The same of one pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Servers that take new work, and those of them, the first, that this gateway keeps to.
    all: Arc<[Name]>,
    up: Arc<[Name]>,
    /// Of a large fleet the warm ones; and the cold ones, each with where the part of all draws ends that
    /// opens it.
    warm: Vec<Name>,
    cold: Vec<(f64, Name)>,
    /// Their rooms and their warmth together.
    room: f64,
    warmth: f64,
}

#[derive(Clone, Debug)]
pub struct Gateway {
    s: Settings,
    rng: Rng,
    born: Time,
    now: Time,
    servers: BTreeMap<Name, Server>,
    fleet: Overview,
    held: BTreeMap<RequestId, Held>,
    customers: BTreeMap<Name, Customer>,
    /// Two for each pool, so that a flood of one is not noticed in another.
    subs: Vec<Sub>,
    timers: BTreeMap<u64, RequestId>,
    next_timer: u64,
    pumping: bool,
    swept: Time,
    mean_units: f64,
    /// EWMA of the elapsed time of good answers, by class, in seconds.
    usual: Vec<f64>,
    /// EWMA of attempts sent per second, and when it was brought up to date.
    sent_rate: f64,
    sent_at: Time,
    retries: f64,
    /// How much of the rooms is open: closed by late answers from all over, opened by timely ones.
    open: f64,
    /// EWMA of how long an attempt is out, in seconds.
    hold: f64,
    /// EWMA of the load that servers report.
    others: f64,
    /// This gateway's part of all work: an even one, unless a planner says otherwise.
    part: f64,
    /// Its place among how many gateways, for the servers that it keeps to.
    among: (u32, u32),
}

impl Gateway {
    /// A gateway that knows nothing but its settings. Refuses settings outside their sensible range.
    pub fn new(s: Settings, seed: u64, now: Time) -> Result<Self, String> {
        check(&s)?;
        let sub = || Sub {
            queues: vec![VecDeque::new(); s.plans.len()],
            deficit: vec![0.0; s.plans.len()],
            pointer: 0,
            in_flight: 0.0,
        };
        let mut rng = Rng::with_seed(seed);
        Ok(Gateway {
            born: now,
            now,
            servers: BTreeMap::new(),
            // Its pools are there before any list is.
            fleet: Overview { stale: true, ..Overview::default() },
            held: BTreeMap::new(),
            customers: BTreeMap::new(),
            subs: (0..RESOURCES * s.pools.max(1)).map(|_| sub()).collect(),
            timers: BTreeMap::new(),
            next_timer: TIMER_REQUESTS,
            pumping: false,
            swept: now,
            mean_units: 1.0,
            usual: s.classes.iter().map(|c| secs(c.aim) / 4.0).collect(),
            sent_rate: 0.0,
            sent_at: now,
            retries: rng.f64() + RETRY_SHARE,
            hold: 0.0,
            others: 0.0,
            open: 1.0,
            rng,
            part: 1.0 / f64::from(s.gateways.max(1)),
            among: (s.me, s.gateways),
            s,
        })
    }

    /// Takes what happened by `now` and appends what to do about it. Unknown ids are ignored.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::Fleet { scope, nodes, .. } => self.fleet(scope, nodes, out),
                Event::Request(r) => self.admit(r, out),
                Event::ClientGone { id } => self.forget(id, out),
                Event::AttemptEnd(e) => self.ended(e, out),
                Event::Allowed { id, allowance } => self.allowed(id, allowance, out),
                Event::Streaming { id, attempt } => {
                    let out = |h: &&mut Held| h.out.as_ref().is_some_and(|o| o.attempt == attempt);
                    self.held.get_mut(&id).filter(out).into_iter().for_each(|h| h.streaming = true);
                }
                Event::Timer { token: TIMER_PUMP } => self.pumping = false,
                Event::Timer { token: TIMER_ASK } => out.push(Action::Subscribe { on: true }),
                Event::Timer { token } => self.due(token, out),
                Event::Placement { share } => self.place(share),
                Event::Neighbours { me, gateways } => self.neighbours(me, gateways),
                Event::Probed { .. } | Event::Counted { .. } | Event::Peer { .. } => {}
            }
        }
        self.sweep();
        self.pump(out);
    }

    /// A planner's word on this gateway's part of the work: the rooms follow it, by twice or half at a time.
    fn place(&mut self, share: f64) {
        let part = if share > 0.0 && share <= 1.0 { share } else { return };
        let by = (part / self.part).clamp(0.5, 2.0);
        self.part *= by;
        let least = self.stake(self.servers.len());
        self.servers.values_mut().for_each(|s| s.room = (s.room * by).max(least));
    }

    /// Who is believed to live settles which servers are kept to, and nothing else: rooms stay as they are.
    fn neighbours(&mut self, me: u32, gateways: u32) {
        let told = if gateways == 0 { (self.s.me, self.s.gateways) } else { (me, gateways) };
        self.fleet.stale |= std::mem::replace(&mut self.among, told) != told;
    }

    /// New settings, which name at least the classes and plans of the old ones, in their places.
    pub fn reconfigure(&mut self, s: &Settings) {
        if s.plans.len() != self.s.plans.len() || s.pools != self.s.pools || check(s).is_err() {
            return;
        }
        let (old, new) = (self.s.classes.len(), s.classes.len());
        self.usual.extend(s.classes.iter().skip(old).map(|c| secs(c.aim) / 4.0));
        for server in self.servers.values_mut() {
            server.ends.splice(old..old, (old..new).map(|_| (0.0, 0.0)));
        }
        self.s = s.clone();
        self.fleet.stale = true;
    }

    /// Servers that are up and of which so much goes wrong for some class or plan that another is chosen.
    pub fn avoided(&self) -> Vec<Name> {
        let worst = |s: &Server| {
            let slots = self.fleet.bad.iter().enumerate();
            slots.map(|(slot, pool)| self.bad(s, slot, *pool)).fold(0.0, f64::max)
        };
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && worst(s) >= AVOIDED);
        up.map(|(name, _)| name.clone()).collect()
    }
}
