//! Every decision of the gateway. What goes in and what comes out is in `src/interface.rs`.
//!
//! Reading order: an event arrives (`handle`); a request meets its customer's quota (`admit`) and joins the
//! queue of its plan and dominant resource; the main scheduler (`pump`) picks among the heads (`pick`), a
//! server is chosen (`choose`), the attempt goes out (`send`), its end comes back (`ended`) and refills what
//! it took. Exceptions to the paper's path carry a comment that begins with `Beyond the paper`.

use crate::interface::*;
use fastrand::Rng;
use granite_route::subset::{self, Subset};
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

fn secs(t: Time) -> f64 {
    t as f64 / 1e9
}

fn nanos(s: f64) -> Time {
    (s.max(0.0) * 1e9) as Time
}

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
    /// Its units and its place under the cap are taken from a lease.
    leased: bool,
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

/// What one process of a gateway leaves for the next.
#[derive(Serialize, Deserialize)]
struct Legacy {
    version: u32,
    born: Time,
    hold: f64,
    mean_units: f64,
    usual: Vec<f64>,
    customers: BTreeMap<String, Customer>,
    servers: BTreeMap<String, Learnt>,
}

/// What was learnt of a server that started then.
#[derive(Serialize, Deserialize)]
struct Learnt {
    since: Time,
    room: f64,
    slow: f64,
    ends: Vec<(f64, f64)>,
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
                Event::Streaming { id, attempt } => {
                    let held = self.held.get_mut(&id);
                    if let Some(h) = held.filter(|h| h.out.as_ref().is_some_and(|o| o.attempt == attempt)) {
                        h.streaming = true;
                    }
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

    // ---- From one process of this gateway to the next ----

    /// What the next one is to go on with, as text.
    pub fn leave(&self) -> String {
        let mut latest: Vec<(&Name, &Customer)> = self.customers.iter().collect();
        latest.sort_by_key(|(_, c)| std::cmp::Reverse(c.seen));
        let customers = latest.into_iter().take(LEFT).map(|(n, c)| (n.to_string(), c.clone())).collect();
        let learnt = |s: &Server| Learnt { since: s.since, room: s.room, slow: s.slow, ends: s.ends.clone() };
        let servers = self.servers.iter().map(|(n, s)| (n.to_string(), learnt(s))).collect();
        let (version, born, hold, mean_units) = (LEGACY, self.born, self.hold, self.mean_units);
        let usual = self.usual.clone();
        let left = Legacy { version, born, hold, mean_units, usual, customers, servers };
        serde_json::to_string(&left).unwrap_or_default()
    }

    /// Goes on with it, less what this one has let pass since it began.
    pub fn take_over(&mut self, now: Time, left: &str) -> Result<(), String> {
        // Numbers that are not finite don't come through the text.
        let left: Legacy = serde_json::from_str(left).map_err(|e| e.to_string())?;
        let slots = self.s.classes.len() + self.s.plans.len();
        let fits = left.version == LEGACY
            && left.usual.len() == self.usual.len()
            && left.usual.iter().all(|u| *u > 0.0)
            && left.customers.values().all(|c| c.plan < self.s.plans.len() && c.spread >= 1.0)
            && left.servers.values().all(|s| s.ends.len() == slots && s.room > 0.0 && s.slow > 0.0);
        if !fits {
            return Err("not of this version, or not of these settings".into());
        }
        self.now = self.now.max(now);
        let now = self.now;
        for (name, mut old) in left.customers {
            let plan = &self.s.plans[old.plan];
            old.out = 0;
            for time in [&mut old.seen, &mut old.at, &mut old.metered_at] {
                *time = now.min(*time);
            }
            if let Some(own) = self.customers.get(&*name) {
                let burst = secs(now - self.born) * plan.ceiling_rate;
                old.level -= (plan.depth - own.level).max(0.0);
                old.ceiling -= (burst.min(plan.ceiling_burst) / own.spread - own.ceiling).max(0.0);
                (old.out, old.seen) = (own.out, own.seen);
                (old.asked, old.passed) = (old.asked + own.asked, old.passed + own.passed);
            }
            self.customers.insert(name.into(), old);
        }
        for (name, old) in left.servers {
            if let Some(s) = self.servers.get_mut(&*name).filter(|s| s.since == old.since) {
                (s.room, s.slow, s.ends, s.ended) = (old.room, old.slow, old.ends, now);
            }
        }
        (self.born, self.hold, self.mean_units) = (left.born.min(now), left.hold, left.mean_units);
        self.usual = left.usual;
        Ok(())
    }

    // ---- The list of servers ----

    fn fleet(&mut self, scope: Scope, nodes: Vec<Node>, out: &mut Vec<Action>) {
        if self.s.subscribe {
            match scope {
                Scope::Cached => out.push(Action::Subscribe { on: true }),
                Scope::Failed => {
                    let at = self.now + self.s.ask_within / 8;
                    out.push(Action::Timer { token: TIMER_ASK, at });
                }
                _ => {}
            }
        }
        if scope == Scope::Failed {
            return;
        }
        if scope != Scope::Changes {
            for s in self.servers.values_mut() {
                s.health = Health::Removed;
            }
        }
        let count = if scope == Scope::Changes { self.servers.len().max(nodes.len()) } else { nodes.len() };
        let fresh_room = FIRST_ROOM * self.stake(count);
        let (now, slots) = (self.now, self.s.classes.len() + self.s.plans.len());
        for n in nodes {
            let fresh = Server {
                pools: n.pools,
                zone: n.zone,
                cell: n.cell,
                health: n.health,
                rating: n.rating,
                since: n.since,
                own: 0,
                room: fresh_room,
                narrowed: now,
                slow: 1.0,
                ends: vec![(0.0, 0.0); slots],
                ended: now,
                heard: now,
                others: 0.0,
                reported: 0,
            };
            let known = self.servers.entry(n.name).or_insert(fresh);
            if n.since > known.since {
                // A restart: what was learnt of the old process says nothing of the new one.
                (known.room, known.slow) = (fresh_room, 1.0);
                known.ends = vec![(0.0, 0.0); slots];
            }
            (known.pools, known.zone, known.cell, known.health) = (n.pools, n.zone, n.cell, n.health);
            (known.rating, known.since) = (n.rating, n.since);
        }
        self.servers.retain(|_, s| s.health != Health::Removed || s.own > 0);
        self.fleet.stale = true;
    }

    /// Brings what is known of the whole up to date: always for a small fleet, now and then for a large one.
    fn survey(&mut self) {
        let now = self.now;
        if self.servers.len() > FEW && !self.fleet.stale && now < self.fleet.at + REFRESH {
            return;
        }
        let (memory, slots) = (self.memory(), self.s.classes.len() + self.s.plans.len());
        let mut all = Overview { at: now, ..Overview::default() };
        if self.fleet.stale {
            self.fleet.pools = (0..self.s.pools.max(1)).map(|n| self.pool(n)).collect();
        }
        all.pools = std::mem::take(&mut self.fleet.pools);
        let mut sums = vec![(0.0, 0.0); slots];
        for s in self.servers.values() {
            let keep = (-secs(now - s.ended) / memory).exp();
            for (sum, end) in sums.iter_mut().zip(&s.ends) {
                let (ends, bad) = (keep * end.0, keep * end.1);
                *sum = (sum.0 + ends / (ends + 1.0), sum.1 + bad / (ends + 1.0));
            }
        }
        all.bad = sums.into_iter().map(|(n, bad)| bad / (n + 1.0)).collect();
        for pool in &mut all.pools {
            self.keep(pool, &all.bad);
        }
        // Beyond the paper: slow start. A request's draw opens at most one cold server to it, each by its
        // warmth: it gets its part of all gateways' traffic at most, far below the multiple at which it
        // falls, and nothing need be remembered. Harms where they warm up sooner than at worst.
        for pool in &mut all.pools {
            let mut end = 0.0;
            for (part, _) in &mut pool.cold {
                end += *part / pool.warmth;
                *part = end;
            }
        }
        self.fleet = all;
    }

    /// How many of so many servers this gateway keeps to. Beyond the paper: among a hundred gateways each
    /// would see any one server so seldom that it never learnt of it in time, and open a connection for
    /// nearly every request. Harms where a gateway's few are worse than the rest and it can't tell.
    fn kept(&self, servers: usize, gateways: u32) -> usize {
        // More than half of them is no part worth keeping to.
        Some(subset::size(servers, gateways, COVER, KEPT)).filter(|n| 2 * n <= servers).unwrap_or(servers)
    }

    /// This gateway's part of one server among so many: the fewer it keeps to, the more of each.
    fn stake(&self, servers: usize) -> f64 {
        self.part * servers.max(1) as f64 / self.kept(servers, self.s.gateways).max(1) as f64
    }

    /// A pool's servers that take new work, in the order in which this gateway would keep to them.
    fn pool(&self, n: usize) -> Pool {
        let up = self.servers.iter().filter(|(_, s)| s.health == Health::Up && s.pools & (1 << n) != 0);
        let up: Vec<Name> = up.map(|(name, _)| name.clone()).collect();
        let (me, gateways) = self.among;
        let kept = self.kept(up.len(), gateways);
        let all: Arc<[Name]> =
            if kept < up.len() { Subset::new(&up, me, gateways, up.len()).kept().into() } else { up.into() };
        Pool { up: all.clone(), all, ..Pool::default() }
    }

    /// Brings a pool up to date: of its servers as many are kept as have the warmth and soundness of the
    /// number wanted, so that neither a cold start nor a failure of many leaves a gateway to few.
    fn keep(&self, pool: &mut Pool, bad: &[f64]) {
        let (want, large) = (self.kept(pool.all.len(), self.among.1), pool.all.len() > FEW);
        let whole = want >= pool.all.len();
        (pool.room, pool.warmth) = (0.0, 0.0);
        pool.warm.clear();
        pool.cold.clear();
        let (mut kept, mut sound) = (0, 0.0);
        for name in &*pool.all {
            if !whole && sound >= want as f64 {
                break;
            }
            kept += 1;
            let Some(s) = self.servers.get(name) else { continue };
            let warmth = self.warmth(s);
            if !whole {
                let worst = (0..bad.len()).map(|slot| self.bad(s, slot, bad[slot])).fold(0.0, f64::max);
                sound += warmth * (1.0 - worst).max(0.0);
            }
            pool.room += s.room * warmth;
            pool.warmth += warmth;
            if warmth < 1.0 {
                // What all pools together send it is its part of them.
                let pools = f64::from(s.pools.count_ones()).min(self.s.pools.max(1) as f64);
                pool.cold.push((warmth / pools, name.clone()));
            } else if large {
                pool.warm.push(name.clone());
            }
        }
        if !whole && kept != pool.up.len() {
            pool.up = pool.all[..kept].into();
        }
    }

    /// The cold server that this draw opens, if it opens one.
    fn opened(&self, pool: usize, draw: f64) -> Option<&Name> {
        let cold = &self.fleet.pools[pool].cold;
        cold.get(cold.partition_point(|(end, _)| *end <= draw)).map(|(_, name)| name)
    }

    // ---- Quotas ----

    /// Brings a customer's store and averages up to now.
    fn advance(&mut self, name: &Name) {
        let (now, period, mean) = (self.now, secs(self.s.meter_period), self.mean_units);
        let Some(c) = self.customers.get_mut(name) else { return };
        let plan = &self.s.plans[c.plan];
        let rate = within(plan, mean, self.hold);
        let dt = secs(now - c.at);
        if dt <= 0.0 {
            return;
        }
        c.at = now;
        c.ceiling = (c.ceiling + dt * plan.ceiling_rate / c.spread).min(plan.ceiling_burst / c.spread);
        if plan.rate <= 0.0 {
            return;
        }
        // The true store owes next to nothing: what is beyond the quota takes no units of it.
        c.level = c.level.max(-DEBT * plan.depth);
        // What the meter shows unused of the rate, the true store has kept: half of it, in own units, goes to
        // each gateway that is short, so that a share moves to where it is asked for.
        let unused = if c.level < 0.0 && c.metered_at > 0 { plan.rate - c.metered_long } else { 0.0 };
        let (local, demand) = (c.local(plan, mean), c.demand(plan, mean));
        c.level = (c.level + dt * local * (plan.rate + 0.5 * c.spread * unused.max(0.0))).min(plan.depth);
        // The wider the spread, the less own traffic tells and the more the meter's word drains the store.
        let drained = c.level + dt * (1.0 - local) * (rate - demand);
        c.level = drained.clamp(c.level.min(0.0), plan.depth);
        let fade = (-dt / (SPAN * memory(period, plan))).exp();
        (c.told, c.span) = (c.told * fade, (c.span + OWN * dt / c.spread) * fade);
        let keep = (-dt / memory(period, plan)).exp();
        c.share_then += ((rate / demand.max(1e-9)).min(1.0) - c.share_then) * (1.0 - keep);
        c.passed_then += (c.passed - c.passed_then) * (1.0 - keep);
        if c.metered_at > 0 {
            let long = keep.sqrt();
            c.passed_long += (c.passed_then - c.passed_long) * (1.0 - long);
            c.metered_long += (c.metered - c.metered_long) * (1.0 - long);
        }
        c.asked *= keep;
        c.passed *= keep;
        // A customer refused entirely sends no more readings: a reading ages out.
        if secs(now - c.metered_at) > 4.0 * memory(period, plan) {
            c.metered *= keep;
        }
    }

    /// The store of the customer's plan, then the chance: may this request pass?
    fn within_quota(&mut self, r: &Request) -> bool {
        let now = self.now;
        let (mean, plan) = (self.mean_units, &self.s.plans[r.plan]);
        let (depth, rate) = (plan.depth, plan.rate);
        let filled =
            (secs(now - self.born) * plan.ceiling_rate).min(plan.ceiling_burst) / r.spread.max(1) as f64;
        let tau = memory(secs(self.s.meter_period), plan);
        let c = self.customers.entry(r.customer.clone()).or_insert(Customer {
            plan: r.plan,
            spread: 1.0,
            seen: now,
            at: now,
            level: depth,
            // An instance cannot tell a restart from a first start, and a restart must not refill the
            // ceiling: its store was empty when this gateway began, and nothing went out here since.
            ceiling: filled,
            share_then: 1.0,
            ..Customer::default()
        });
        c.seen = now;
        c.plan = r.plan;
        c.spread = c.spread.max(r.spread as f64);
        self.advance(&r.customer);
        if rate <= 0.0 {
            return true;
        }
        let draw = self.rng.f64();
        let queued = self.subs.iter().any(|s| s.queues.iter().any(|q| !q.is_empty()));
        let plan = &self.s.plans[r.plan];
        let c = self.customers.get_mut(&r.customer).expect("entered above");
        c.asked += r.units / tau;
        let used = if c.metered_at > 0 { (2.0 * c.metered / rate).min(1.0) } else { 1.0 };
        c.told += OWN * used * r.units;
        let local = c.local(plan, mean);
        let asked = c.asks(plan, mean);
        let cost = if plan.over_cost > plan.over_worth { plan.over_cost } else { 1.0 };
        // The chance is met once for each quarter of a request's worth that the store is short of.
        let short = ((r.units - c.level) / mean.max(1e-9)).max(0.0) * SHORT * cost * local + 1.0 - local;
        let rate = within(plan, mean, self.hold);
        let chance = 1.0 - (rate / asked.max(1e-9)).min(1.0).powf(short);
        // Beyond the paper: where a plan says that what is beyond its quota earns more than it costs, it is
        // refused only while the back end is pressed.
        let welcome = plan.over_worth > plan.over_cost && self.open > PRESSED && !queued;
        let pass = c.level >= r.units || draw >= chance || welcome;
        if pass {
            c.level -= r.units * c.weight(plan, mean);
            c.passed += r.units / tau;
        }
        pass
    }

    fn admit(&mut self, r: Request, out: &mut Vec<Action>) {
        if r.class >= self.s.classes.len()
            || r.plan >= self.s.plans.len()
            || r.pool >= self.s.pools.max(1)
            || self.held.contains_key(&r.id)
        {
            return;
        }
        // Beyond the paper: nobody waits for a pool that has no server.
        if self.s.pools > 1 {
            self.survey();
            if self.fleet.pools[r.pool].up.is_empty() {
                out.push(Action::Reject { id: r.id, advice: self.s.max_retry_after });
                return;
            }
        }
        // A lease's word goes before the own guess.
        let refused = match r.allowance {
            Allowance::Unknown => (!self.within_quota(&r)).then_some(0),
            Allowance::Granted => None,
            Allowance::Refused { advice } => Some(advice),
        };
        if let Some(advice) = refused {
            out.push(Action::Reject { id: r.id, advice });
            return;
        }
        self.mean_units += (r.units - self.mean_units) * GAIN / 4.0;
        let class = &self.s.classes[r.class];
        // Every held request has a timer: at the last moment from which an answer could be within the aim.
        let last = self.now + class.aim.saturating_sub(nanos(2.0 * self.usual[r.class])).max(class.aim / 4);
        let hope = last.min(r.deadline.saturating_sub(2 * self.s.tick)).max(self.now);
        // A client that waits for more than half of its time and is then refused has lost that time for good:
        // what has not gone out by then is decided a little earlier.
        let decided = hope.min(self.now + r.deadline.saturating_sub(self.now) / 20 * 9);
        self.timer(r.id, decided, out);
        let held = Held {
            class: r.class,
            pool: r.pool,
            plan: r.plan,
            customer: r.customer,
            deadline: r.deadline,
            hope,
            units: r.units,
            leased: r.allowance == Allowance::Granted,
            sends: 0,
            draw: self.rng.f64(),
            out: None,
            streaming: false,
            gone: false,
            ran: None,
            tried: Vec::new(),
        };
        self.held.insert(r.id, held);
        let res = self.dominant(r.pool, r.units);
        self.subs[res].queues[r.plan].push_back(r.id);
    }

    fn timer(&mut self, id: RequestId, at: Time, out: &mut Vec<Action>) {
        self.next_timer += 1;
        self.timers.insert(self.next_timer, id);
        out.push(Action::Timer { token: self.next_timer, at });
    }

    fn dominant(&self, pool: usize, units: f64) -> usize {
        RESOURCES * pool + usize::from(units > self.mean_units)
    }

    // ---- The scheduler ----

    fn room(&self, pool: usize, kind: usize) -> f64 {
        self.open * self.fleet.pools[pool].room * if kind == 0 { 1.0 } else { self.mean_units.max(1.0) }
    }

    /// The main scheduler: wakes the sub-scheduler of the most available resource, else the next.
    fn pump(&mut self, out: &mut Vec<Action>) {
        if self.subs.iter().all(|s| s.queues.iter().all(|q| q.is_empty())) {
            return;
        }
        self.survey();
        (0..self.s.pools.max(1)).for_each(|pool| self.pump_pool(pool, out));
        let waiting = self.subs.iter().any(|s| s.queues.iter().any(|q| !q.is_empty()));
        if waiting && !self.pumping {
            // What holds the queue may ease with time alone: budgets, ceilings, ejections.
            self.pumping = true;
            let at = self.now + (self.s.fall / 50).max(self.s.tick);
            out.push(Action::Timer { token: TIMER_PUMP, at });
        }
    }

    fn pump_pool(&mut self, pool: usize, out: &mut Vec<Action>) {
        let base = RESOURCES * pool;
        if self.subs[base..base + RESOURCES].iter().all(|s| s.queues.iter().all(|q| q.is_empty())) {
            return;
        }
        // A quantum covers any request, so three rounds without a send mean that room lacks, not deficit.
        let (mut short, mut idle) = (false, 0);
        let rooms = [self.room(pool, 0), self.room(pool, 1)];
        while idle < 3 {
            let share = |kind: usize| 1.0 - self.subs[base + kind].in_flight / rooms[kind].max(1e-9);
            let (a, u) = (share(0), share(1));
            let first = if a == u { self.rng.usize(..RESOURCES) } else { usize::from(u > a) };
            idle += 1;
            for kind in [first, 1 - first] {
                if let Some((id, server)) = self.pick(base + kind, rooms, &mut short) {
                    self.send(id, server, out);
                    (short, idle) = (false, 0);
                    break;
                }
            }
            if idle > 0 && !short {
                break;
            }
        }
    }

    /// One sub-scheduler's turn: the head under its pointer goes if every availability counter and every
    /// deficit counter of its plan covers it; else the pointer moves on. `short`: only deficits lacked.
    fn pick(&mut self, res: usize, rooms: [f64; 2], short: &mut bool) -> Option<(RequestId, Name)> {
        let plans = self.s.plans.len();
        for _ in 0..=plans {
            let plan = self.subs[res].pointer;
            if let Some((id, server, place)) = self.head(res, plan, rooms) {
                let cost = [1.0, self.held[&id].units.min(self.quantum(1, plan))];
                let both = self.subs.chunks_exact_mut(RESOURCES).nth(res / RESOURCES).expect("a pool's");
                if both.iter().zip(cost).all(|(s, cost)| s.deficit[plan] >= cost) {
                    both.iter_mut().zip(cost).for_each(|(s, cost)| s.deficit[plan] -= cost);
                    self.subs[res].queues[plan].remove(place);
                    return Some((id, server));
                }
                *short = true;
            }
            self.subs[res].pointer = (plan + 1) % plans;
            // A wrap that found no plan short leaves the counters: else they would fill while room lacks.
            if self.subs[res].pointer == 0 && *short {
                for p in 0..plans {
                    let quantum = self.quantum(res % RESOURCES, p);
                    let d = &mut self.subs[res].deficit[p];
                    *d = (*d + quantum).min(2.0 * quantum);
                }
            }
        }
        None
    }

    fn quantum(&self, res: usize, plan: usize) -> f64 {
        let least = self.s.plans.iter().map(|p| p.value_factor).fold(f64::INFINITY, f64::min).max(1e-9);
        let weight = (self.s.plans[plan].value_factor / least).max(1.0);
        weight * if res == 0 { 1.0 } else { self.s.most_units.max(self.mean_units) }
    }

    /// The first request of a queue that every availability counter covers and that may be sent now, where,
    /// and its place. The cheap checks come first, and a class that finds no server is asked for once.
    fn head(&mut self, res: usize, plan: usize, rooms: [f64; 2]) -> Option<(RequestId, Name, usize)> {
        let pool = res / RESOURCES;
        let fits = |g: &Self, kind: usize, cost: f64| {
            let used = g.subs[RESOURCES * pool + kind].in_flight;
            used == 0.0 || used + cost <= rooms[kind]
        };
        if !fits(self, 0, 1.0) {
            return None;
        }
        let held = &self.held;
        self.subs[res].queues[plan].retain(|id| held.contains_key(id));
        let mut none = vec![false; self.s.classes.len()];
        let cold = !self.fleet.pools[pool].cold.is_empty();
        let mut looked = vec![false; self.s.classes.len()];
        let all = self.fleet.pools[pool].all.len();
        let more = all > FEW || all > self.fleet.pools[pool].up.len();
        for place in 0..self.subs[res].queues[plan].len() {
            let id = self.subs[res].queues[plan][place];
            let (class, units) = (self.held[&id].class, self.held[&id].units);
            if none[class] || !fits(self, 1, units.min(self.quantum(1, plan))) || !self.may_go(id) {
                continue;
            }
            let found = match self.choose(id, false) {
                // What few that were drawn had no room for, the rest may have; they are asked for once.
                None if more && !std::mem::replace(&mut looked[class], true) => self.choose(id, true),
                found => found,
            };
            match found {
                Some(server) => return Some((id, server, place)),
                None => none[class] = !cold && self.held[&id].ran.is_none(),
            }
        }
        None
    }

    /// Beyond the paper: a plan's cap on attempts out at once and its ceiling, kept alone, by shares.
    fn may_go(&mut self, id: RequestId) -> bool {
        let h = &self.held[&id];
        let (name, units, sends) = (h.customer.clone(), h.units, h.sends);
        if h.leased {
            return true;
        }
        self.advance(&name);
        let Some(c) = self.customers.get(&name) else { return true };
        let plan = &self.s.plans[c.plan];
        let cap = (f64::from(plan.parallel) / c.spread).floor().max(1.0);
        let capped = plan.parallel > 0 && f64::from(c.out) >= cap;
        let over = plan.ceiling_rate > 0.0 && sends == 0 && c.ceiling < units;
        !capped && !over
    }

    // ---- Servers ----

    /// The share of its capacity that a server has at least: cold ones warm up evenly, at worst.
    fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.since);
        if s.since == 0 || age >= self.s.cold {
            return 1.0;
        }
        self.s.cold_from + (1.0 - self.s.cold_from) * age as f64 / self.s.cold as f64
    }

    /// The share of bad ends to expect of a server in a slot. Beyond the paper: outlier detection. A gateway
    /// seldom sees one server, so little evidence counts at once, and the fleet's mean stands in for none.
    /// Guards against what fails, hangs or is full for one class or one plan or all of them on part of the
    /// fleet, and leaves the others alone; harms for a while whoever was unlucky.
    fn bad(&self, s: &Server, slot: usize, pool: f64) -> f64 {
        let keep = (-secs(self.now - s.ended) / self.memory()).exp();
        (keep * s.ends[slot].1 + 0.5 * pool) / (keep * s.ends[slot].0 + 0.5)
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

    /// How long ends are remembered, in seconds: a trouble lasts many aims.
    fn memory(&self) -> f64 {
        MEMORY * self.s.classes.iter().map(|c| secs(c.aim)).fold(0.0, f64::max)
    }

    /// Those that one request looks at. Of a large fleet some are drawn, unless it is looked at whole, and
    /// the cold one that its draw opens.
    fn candidates(&mut self, pool: usize, draw: f64, whole: bool) -> Arc<[Name]> {
        if whole {
            return self.fleet.pools[pool].all.clone();
        }
        if self.fleet.pools[pool].up.len() <= FEW {
            return self.fleet.pools[pool].up.clone();
        }
        let (warm, rng) = (&self.fleet.pools[pool].warm, &mut self.rng);
        let n = warm.len();
        let mut drawn: Vec<Name> = (0..DRAWN.min(n)).map(|_| warm[rng.usize(..n)].clone()).collect();
        drawn.extend(self.opened(pool, draw).cloned());
        drawn.into()
    }

    /// A server of the least expected wait, or nearly, among those that may take this request.
    fn choose(&mut self, id: RequestId, whole: bool) -> Option<Name> {
        let (pool, draw) = (self.held[&id].pool, self.held[&id].draw);
        let candidates = self.candidates(pool, draw, whole);
        let h = &self.held[&id];
        let class = &self.s.classes[h.class];
        let classes = self.s.classes.len();
        let (class_pool, plan_pool) = (self.fleet.bad[h.class], self.fleet.bad[classes + h.plan]);
        let opened = self.opened(pool, draw);
        // What a bad end costs, in usual answer times; twice if the request can't be repeated.
        let loss = if class.effect == Effect::Unsafe { 2.0 * LOSS } else { LOSS };
        let loss = loss * secs(class.aim) / self.usual[h.class].max(1e-9);
        let mut found: Vec<(bool, f64, f64, &Name)> = Vec::new();
        for name in &*candidates {
            let Some(s) = self.servers.get(name).filter(|s| s.health == Health::Up) else { continue };
            let warmth = self.warmth(s);
            if warmth < 1.0 && opened != Some(name) {
                continue;
            }
            if f64::from(s.own) + 1.0 > (s.room * warmth).max(1.0) {
                continue;
            }
            if let Some((first, zone, cell)) = h.ran {
                let same = match class.group {
                    Group::All => true,
                    Group::Zone => zone == s.zone,
                    Group::Cell => cell == s.cell,
                };
                let late = self.now + self.s.tick >= first + class.key_ttl;
                if class.effect == Effect::Keyed && (late || !same) {
                    continue;
                }
            }
            let again = h.tried.contains(name);
            // An old report decays to what is usual over the fleet, never to idle.
            let age = secs(self.now.saturating_sub(s.reported));
            let fresh = (-age / secs(class.aim).max(1e-9)).exp();
            let others = self.others + (s.others - self.others) * fresh;
            let silent = secs(self.now - s.heard.min(self.now)) / self.usual[h.class].max(1e-9);
            let hung = if s.own > 0 { (silent / 3.0).max(1.0) } else { 1.0 };
            let far = if s.zone == self.s.zone { 1.0 } else { 1.0 + self.s.cross_zone_price };
            let load = f64::from(s.own) + others + 1.0;
            // What was learnt of a pace fades while the server is not used, or it would never be again.
            let quiet = if s.own > 0 { 0.0 } else { silent / 16.0 };
            let slow = 1.0 + (s.slow - 1.0) * (-quiet).exp();
            // The draw has weighed a cold server by its warmth already.
            let wait = load * slow * hung * far / s.rating.max(1e-9);
            let bad = self.bad(s, h.class, class_pool) + self.bad(s, classes + h.plan, plan_pool);
            found.push((again, wait + loss * bad, wait, name));
        }
        let (again, least, wait, _) =
            *found.iter().min_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).expect("finite"))?;
        // Beyond the paper: near-equal servers are drawn at random, the more gateways the wider, or all
        // gateways would follow one report, or one name, to the same server.
        let width = NEAR * wait * (1.0 - 2.0 / f64::from(self.s.gateways)).max(0.0);
        found.retain(|f| f.0 == again && f.1 <= least + width);
        // A cold server that the draw opens gets its part if it is near the best: among many gateways some
        // warm one always seems idle, and the cold would get nothing while the warm drown.
        if let Some(cold) = opened.filter(|cold| found.iter().any(|f| f.3 == *cold)) {
            return Some(cold.clone());
        }
        let one = self.rng.usize(..found.len());
        Some(found[one].3.clone())
    }

    fn send(&mut self, id: RequestId, server: Name, out: &mut Vec<Action>) {
        let (now, memory) = (self.now, self.memory());
        let h = self.held.get_mut(&id).expect("picked from the held");
        let s = self.servers.get_mut(&server).expect("chosen from the servers");
        // No leaving a server early: work is spread so widely that what takes long is mostly heavy, not hung,
        // and a second attempt takes as long again. A server that hangs is avoided by the next requests.
        let not_past = h.deadline;
        if s.own == 0 {
            s.heard = now;
        }
        s.own += 1;
        if let Some(c) = self.customers.get_mut(&h.customer) {
            c.out += 1;
            if h.sends == 0 {
                c.ceiling -= h.units;
            }
        }
        if h.sends == 0 {
            let most = 1.0 + RETRY_SHARE * self.sent_rate * memory;
            self.retries = (self.retries + RETRY_SHARE).min(most);
        }
        h.out = Some(Out { server: server.clone(), at: now, attempt: h.sends, cancelled: false });
        h.sends += 1;
        let base = RESOURCES * h.pool;
        self.subs[base].in_flight += 1.0;
        self.subs[base + 1].in_flight += h.units;
        self.sent_rate = self.sent_rate * (-secs(now - self.sent_at) / memory).exp() + 1.0 / memory;
        self.sent_at = now;
        out.push(Action::Send { id, server, not_past });
    }

    // ---- Answers ----

    fn ended(&mut self, e: AttemptEnd, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(l) = e.load {
            if let Some(s) = self.servers.get_mut(&e.server) {
                let told = l.inflight.map(|n| n - f64::from(s.own)).or(l.queue);
                (s.others, s.reported) = (told.unwrap_or(0.0).max(0.0), now);
                self.others += (s.others - self.others) * GAIN / 4.0;
            }
        }
        let Some(h) = self.held.get_mut(&e.id) else { return };
        if h.out.as_ref().is_none_or(|o| o.attempt != e.attempt) {
            return;
        }
        let o = h.out.take().expect("just seen");
        let (class, units, customer) = (h.class, h.units, h.customer.clone());
        let never = matches!(e.ending, Ending::Full | Ending::NoRoute | Ending::Stale);
        if !never && h.ran.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            h.ran = Some((o.at, zone, cell));
        }
        h.tried.push(o.server.clone());
        h.draw = self.rng.f64();
        let (plan, base) = (h.plan, RESOURCES * h.pool);
        let done = e.last || e.ending == Ending::Pass || h.streaming || h.gone;
        self.subs[base].in_flight -= 1.0;
        self.subs[base + 1].in_flight = (self.subs[base + 1].in_flight - units).max(0.0);
        self.answer(&o, class, plan, &e);
        self.settle(&customer, units, &e);
        if done {
            self.held.remove(&e.id);
        } else if self.may_repeat(e.id, never) {
            if !never {
                self.retries -= 1.0;
            }
            let (res, plan) = (self.dominant(self.held[&e.id].pool, units), self.held[&e.id].plan);
            self.subs[res].queues[plan].push_front(e.id);
        } else {
            self.finish(e.id, out);
        }
    }

    /// What an answer tells of its server: room, pace, health.
    fn answer(&mut self, o: &Out, class: usize, plan: usize, e: &AttemptEnd) {
        let now = self.now;
        let took = secs(e.elapsed);
        let aim = secs(self.s.classes[class].aim);
        self.hold += (took - self.hold) * GAIN / 4.0;
        let usual = self.usual[class].max(1e-6);
        // Beyond the paper: late answers from one server narrow its own room; when they outnumber one in
        // five over all servers, the whole is too full, and each closes a part of every room. Guards against
        // jams that feed on themselves, whatever began them; harms where a class is late on idle servers.
        let pass = e.ending == Ending::Pass;
        let silent = e.ending == Ending::Late && !o.cancelled;
        if silent || took > aim * LATE {
            self.open = (self.open * (1.0 - GAIN / 4.0)).max(GAIN / 4.0);
        } else if pass {
            self.open = (self.open + GAIN / 20.0).min(1.0);
        }
        if pass {
            self.usual[class] += (took.min(aim) - usual) * GAIN / 4.0;
        }
        let (memory, classes) = (self.memory(), self.s.classes.len());
        let least = self.stake(self.servers.len());
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        s.own = s.own.saturating_sub(1);
        s.heard = now;
        let full = e.ending == Ending::Full;
        if pass && took <= aim * LATE && f64::from(s.own) + 1.0 >= s.room / 2.0 {
            s.room += (4.0 * least).min(1.0) / s.room.max(1.0);
        } else if (full || e.ending == Ending::Late || pass && took > aim) && now - s.narrowed > nanos(usual)
        {
            (s.room, s.narrowed) = ((s.room * 0.75).max(least), now);
        }
        if pass || e.ending == Ending::Late {
            s.slow += ((took / usual).min(10.0) - s.slow) * GAIN;
        }
        let failed = silent || matches!(e.ending, Ending::Fault | Ending::Cut | Ending::NoRoute);
        let keep = (-secs(now - s.ended) / memory).exp();
        s.ended = now;
        s.ends.iter_mut().for_each(|x| *x = (x.0 * keep, x.1 * keep));
        for (slot, bad) in [(class, failed), (classes + plan, full)] {
            if bad || failed || pass {
                let (n, b) = s.ends[slot];
                s.ends[slot] = (n * (1.0 - GAIN) + 1.0, b * (1.0 - GAIN) + f64::from(bad));
            }
        }
    }

    /// What an answer tells of its customer: true units, and the meter.
    fn settle(&mut self, customer: &Name, units: f64, e: &AttemptEnd) {
        self.advance(customer);
        let (now, after, mean) = (self.now, self.s.cost_after, self.mean_units);
        let period = secs(self.s.meter_period);
        let Some(c) = self.customers.get_mut(customer) else { return };
        c.out = c.out.saturating_sub(1);
        let plan = &self.s.plans[c.plan];
        if after && e.ending == Ending::Pass && e.settled > 0.0 {
            c.level = (c.level + (units - e.settled) * c.weight(plan, mean)).min(plan.depth);
        }
        if let Some(share) = e.metered.filter(|_| plan.rate > 0.0) {
            // Others are taken to refuse as this gateway did, or, where the meter shows the rate exceeded all
            // the same, a good part of it: at a wide spread hardly any of them knew.
            let span = period.min(secs(now - c.metered_at));
            let passed = c.share_then.min(share.max(1.0).powi(-4).max(0.1));
            c.told += span * share * plan.rate;
            c.span += span * passed;
            if c.metered_at == 0 {
                let over = c.demand(plan, mean) - plan.rate;
                c.level -= (1.0 - c.local(plan, mean)) * over.max(0.0) * memory(period, plan);
            }
            (c.metered, c.metered_at) = (share * plan.rate, now);
        }
    }

    fn may_repeat(&self, id: RequestId, never: bool) -> bool {
        let h = &self.held[&id];
        let class = &self.s.classes[h.class];
        let allowed = match (h.ran, class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some((first, ..)), Effect::Keyed) => self.now + self.s.tick < first + class.key_ttl,
            (Some(_), Effect::Unsafe) => false,
        };
        allowed && h.sends < self.s.try_limit && self.now < h.hope && (never || self.retries >= 1.0)
    }

    /// The final answer of a request that is not out: a refusal only if nothing can have run.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.remove(&id) else { return };
        if h.ran.is_some() {
            out.push(Action::Fail { id });
        } else {
            out.push(Action::Reject { id, advice: self.relief() });
        }
    }

    /// When there should be room for one more, for a client that was given up on: as long as it takes, at the
    /// pace of the attempts that are out, to end as many as wait before it.
    fn relief(&self) -> Time {
        let waiting: usize = self.subs.iter().flat_map(|s| &s.queues).map(VecDeque::len).sum();
        let out: f64 = self.subs.iter().step_by(RESOURCES).map(|s| s.in_flight).sum();
        let pace = out.max(1.0) / self.hold.max(secs(self.s.tick));
        if self.s.retry_after {
            nanos((waiting + 1) as f64 / pace).min(self.s.max_retry_after)
        } else {
            0
        }
    }

    /// A request's timer: if it still waits here, it waits no longer; one that was sent before may wait again
    /// while there is hope.
    fn due(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(id) = self.timers.remove(&token) else { return };
        let Some(h) = self.held.get(&id) else { return };
        if h.out.is_none() && (h.sends == 0 || self.now >= h.hope) {
            self.finish(id, out);
        } else if self.now < h.hope {
            self.timer(id, h.hope, out);
        }
    }

    /// The client left. The attempt still out keeps its room until its end is known.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancelling = self.s.cancelling;
        let Some(h) = self.held.get_mut(&id) else { return };
        match h.out.as_mut() {
            Some(o) => {
                if cancelling && !o.cancelled && !h.streaming {
                    o.cancelled = true;
                    out.push(Action::Cancel { id, attempt: o.attempt });
                }
                h.gone = true;
            }
            None => drop(self.held.remove(&id)),
        }
    }

    /// Forgets customers long quiet.
    fn sweep(&mut self) {
        let (now, s) = (self.now, &self.s);
        if now - self.swept < nanos(1.0).max(s.meter_period) {
            return;
        }
        self.swept = now;
        self.customers.retain(|_, c| {
            let plan = &s.plans[c.plan];
            let quiet = SPAN * memory(secs(s.meter_period), plan) + plan.depth / plan.rate.max(0.01);
            c.out > 0 || secs(now - c.seen) < quiet
        });
    }
}

impl Customer {
    /// How much own traffic tells of the whole: near 1 where the store holds many requests of this gateway's
    /// even part, near 0 where it holds a fraction of one and only the meter knows.
    fn local(&self, plan: &Plan, mean: f64) -> f64 {
        let n = plan.depth / (self.spread * mean.max(1e-9));
        n / (n + LOCAL)
    }

    /// How many units of the store one that passes here stands for: what others pass beside it is known at
    /// once so far as own traffic tells of it.
    fn weight(&self, plan: &Plan, mean: f64) -> f64 {
        1.0 + (1.0 / self.part(plan.rate) - 1.0) * self.local(plan, mean)
    }

    /// What the customer asks over all gateways, by own traffic and by the meter.
    fn asks(&self, plan: &Plan, mean: f64) -> f64 {
        let local = self.local(plan, mean);
        local * self.asked / self.part(plan.rate) + (1.0 - local) * self.demand(plan, mean)
    }

    /// What the customer asks over all gateways by the meter, in units a second; little evidence is drawn
    /// towards a bit over half of the rate by a guess that weighs as one request.
    fn demand(&self, plan: &Plan, mean: f64) -> f64 {
        let prior = mean / plan.rate.max(1e-9);
        (self.told + 0.6 * plan.rate * prior) / (self.span + prior).max(1e-9)
    }

    /// This gateway's part of the customer's use, by the meter; before it tells, an even part.
    fn part(&self, rate: f64) -> f64 {
        let prior = EVEN * rate;
        ((self.passed_long + prior / self.spread) / (self.metered_long + prior))
            .clamp(0.25 / self.spread, 1.0)
    }
}

/// How long the averages of a customer remember: the time to fill its store, and a meter's period at least.
fn memory(period: f64, plan: &Plan) -> f64 {
    (plan.depth / plan.rate.max(1e-9)).clamp(0.1, 10.0).max(period)
}

/// Beyond the paper: the rate that a plan's quotas let through. A cap on attempts out at once is a rate too:
/// the cap over how long an attempt is out, less what chance needs to stay under it.
fn within(plan: &Plan, mean: f64, hold: f64) -> f64 {
    match plan.parallel {
        0 => plan.rate,
        n => plan.rate.min(OPEN_USE * f64::from(n) * mean / hold.max(1e-9)),
    }
}

fn check(s: &Settings) -> Result<(), String> {
    let mut figures = Vec::new();
    let mut add =
        |of: &str, all: &[(&str, f64)]| figures.extend(all.iter().map(|(n, v)| (format!("{of}{n}"), *v)));
    add("", &[("cold_from", s.cold_from), ("fall_multiple", s.fall_multiple)]);
    add("", &[("most_units", s.most_units), ("cross_zone_price", s.cross_zone_price)]);
    for p in &s.plans {
        let of = format!("plan {}: ", p.name);
        add(&of, &[("rate", p.rate), ("depth", p.depth), ("ceiling_rate", p.ceiling_rate)]);
        add(&of, &[("ceiling_burst", p.ceiling_burst), ("value_factor", p.value_factor)]);
        add(&of, &[("over_worth", p.over_worth), ("over_cost", p.over_cost)]);
    }
    for c in &s.classes {
        add(&format!("class {}: ", c.name), &[("points", c.points), ("late_worth", c.late_worth)]);
    }
    match figures.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
        Some((name, v)) => Err(format!("{name} is {v}: not a number of zero or more")),
        None if s.gateways == 0 => Err("gateways is 0: at least one".to_string()),
        None => Ok(()),
    }
}
