//! The view as a state machine: probes, suspicions, rumours, digests joined.

mod merge;
mod receive;
mod send;
mod timers;

use crate::broadcasts::BroadcastQueue;
use crate::isolation::IsolationDetector;
use crate::join_cookies::Cookies;
use crate::record::{hash, Name, Record, Role, State};
use crate::settled::{digest_of, ChangeCollector, Settled};
use crate::window::{ReplayWindow, TokenBucket};
use crate::wire::{
    encoded_size, Datagram, DatagramError, Keys, Message, Piggyback, BUCKETS, MAX_DATAGRAM_BYTES,
};
use crate::Time;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MS: Time = 1_000_000;
/// Helpers asked for one probe, and the accusers that shorten a suspicion to its least.
const INDIRECT_PROBES: usize = 3;
const MAX_ACCUSERS: usize = 3;
/// So many of its own, half a period apart, must have had no answer before a member accuses or buries.
const MIN_UNANSWERED_PINGS: u32 = 3;
/// So many look for themselves when they hear of a suspicion, in the mean.
const MEAN_WATCHERS: f64 = 12.0;
/// The longest suspicion beside the shortest.
const MAX_SUSPICION_FACTOR: Time = 6;
/// The worst own health: times are stretched by one more than it.
const MAX_LOCAL_HEALTH: u8 = 8;
/// A tick that comes so late means that this process was stopped.
const SLEEP_THRESHOLD: Time = 1000 * MS;
/// A tick so late says nothing about the one who is being probed.
const LATE_TICK: Time = 50 * MS;
const DEAD_PROBE_INTERVAL: Time = 400 * MS;
const SEED_INTERVAL: Time = 2000 * MS;
const JOIN_INTERVAL: Time = 500 * MS;
/// So long after a greeting its answer may come from somebody unknown.
const JOIN_ECHO_LIFETIME: Time = 1000 * MS;
/// What rides on a ping at the most; the rest of a datagram's bytes is for names and figures.
const MAX_PIGGYBACK_BYTES: usize = 900;
/// Of one answer to differing digests.
const MAX_RECORDS_BYTES: usize = 1000;
const MAX_RECORD_DATAGRAMS: usize = 4;
const MAX_RELAYS: usize = 256;
/// How many of those who live are told of a leave.
const LEAVE_RECIPIENTS: usize = 8;
const HELLO_PADDING: usize = 160;

#[derive(Clone, Debug)]
pub struct Config {
    pub name: Name,
    /// Unix milliseconds at the start.
    pub generation: u64,
    /// Where others reach this member.
    pub address: SocketAddr,
    pub zone: String,
    pub role: Role,
    /// Members that may live; this member's own address among them does no harm.
    pub seeds: Vec<SocketAddr>,
    /// Between two probes.
    pub probe_interval: Time,
    /// So long the dead are kept, and tried.
    pub dead_retention: Time,
    /// Members kept at the most, living and dead.
    pub max_members: usize,
}

impl Config {
    pub fn new(name: &str, generation: u64, address: SocketAddr) -> Self {
        Config {
            name: name.into(),
            generation,
            address,
            zone: String::new(),
            role: Role::Gateway,
            seeds: Vec::new(),
            probe_interval: 200 * MS,
            dead_retention: 600_000 * MS,
            max_members: 4096,
        }
    }
}

pub enum Input<'a> {
    Datagram(&'a [u8]),
    /// The time that [`View::next_due`] named, or any other.
    Tick,
    /// This process ends in order.
    Leave,
}

#[derive(Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A new version of the settled view.
    Settled(Settled),
    /// Another process runs under this name, and began later: this one speaks no more.
    Superseded {
        generation: u64,
    },
}

/// A member as this one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub record: Record,
    /// Since when it is in this state here; 0 for this one.
    pub since: Time,
    /// Its own health, as it said last.
    pub health: u8,
}

/// How this member stands itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// 0 is best, 8 worst.
    pub health: u8,
    pub isolated_since: Option<Time>,
    pub is_superseded: bool,
    /// Whether anybody has taken it in, or has been found.
    pub has_joined: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nobody has answered yet. `renamed`: its life was raised above one that was known.
    Joining {
        renamed: bool,
    },
    In,
    Superseded,
    Left,
}

struct Suspicion {
    since: Time,
    accusers: Vec<u32>,
    /// Who looks for itself: when it next pings, and how often it has.
    watch: Option<(Time, u32)>,
}

impl Suspicion {
    fn new(since: Time, accusers: Vec<u32>) -> Self {
        Suspicion { since, accusers, watch: None }
    }
}

/// Sums over those who live, this member among them. Kept up with each change: a wave of changes in a large fleet must
/// not cost a look at everybody for each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LivingSums {
    members: usize,
    digest: u64,
    buckets: [u32; BUCKETS],
}

impl LivingSums {
    fn add(&mut self, name: &Name, life: u64) {
        let one = digest_of(name, life);
        let bucket = &mut self.buckets[bucket(name)];
        *bucket = bucket.wrapping_add(one as u32);
        (self.members, self.digest) = (self.members + 1, self.digest.wrapping_add(one));
    }

    fn remove(&mut self, name: &Name, life: u64) {
        let one = digest_of(name, life);
        let bucket = &mut self.buckets[bucket(name)];
        *bucket = bucket.wrapping_sub(one as u32);
        (self.members, self.digest) = (self.members - 1, self.digest.wrapping_sub(one));
    }
}

struct Peer {
    record: Record,
    since: Time,
    window: ReplayWindow,
    bucket: TokenBucket,
    health: u8,
    suspicion: Option<Suspicion>,
    /// Where the life before this one was reached, if elsewhere: it may still run there.
    previous_address: Option<SocketAddr>,
}

impl Peer {
    fn new(record: Record, now: Time) -> Self {
        let bucket = TokenBucket::new(200.0, 100.0, now);
        Peer {
            record,
            since: now,
            window: ReplayWindow::default(),
            bucket,
            health: 0,
            suspicion: None,
            previous_address: None,
        }
    }
}

/// The probe that is out.
struct Probe {
    number: u32,
    target: Name,
    /// When others are asked, and when it is over.
    indirect_at: Time,
    ends_at: Time,
    helpers: Vec<Name>,
    is_answered: bool,
    /// Whether anybody at all was heard meanwhile.
    has_heard_anyone: bool,
}

/// A ping for somebody else.
struct Relay {
    number: u32,
    requester: Name,
    requested_probe: u32,
    until: Time,
}

pub struct View {
    config: Config,
    keys: Keys,
    cookies: Cookies,
    rng: Rng,
    record: Record,
    accuser_id: u32,
    phase: Phase,
    /// Of the last datagram sent.
    last_datagram: u64,
    health: u8,
    peers: BTreeMap<Name, Peer>,
    /// Those with a suspicion.
    suspects: BTreeSet<Name>,
    sums: LivingSums,
    broadcasts: BroadcastQueue,
    isolation: IsolationDetector,
    changes: ChangeCollector,
    /// Who is still to be probed in this round, the next last.
    probe_round: Vec<Name>,
    probe: Option<Probe>,
    last_probe: u32,
    relays: Vec<Relay>,
    next_dead: Time,
    next_seed: Time,
    join_attempts: u32,
    next_differs: Time,
    /// What the answer to a `Join` of ours must echo, and until when it may come; 0 is none.
    join_echo: (u64, Time),
    /// When the set of the living last changed here.
    changed_at: Time,
    /// When this was last due, for a tick that comes late.
    due: Time,
    unknown_sender_limit: TokenBucket,
    /// Pings beside the probes.
    extra_ping_limit: TokenBucket,
    /// Answers to differing digests.
    digest_answer_limit: TokenBucket,
    faults: BTreeMap<DatagramError, u64>,
}

impl View {
    /// `seed` settles every choice; `secret` need only be unknown to others.
    pub fn new(config: Config, keys: Keys, seed: u64, secret: [u8; 16], now: Time) -> Self {
        let record = Record {
            name: config.name.clone(),
            generation: config.generation,
            incarnation: 0,
            state: State::Alive,
            address: config.address,
            zone: config.zone.as_str().into(),
            role: config.role,
            versions: (crate::wire::VERSION, crate::wire::VERSION),
            accuser: 0,
        };
        let mut broadcasts = BroadcastQueue::default();
        broadcasts.add(record.clone());
        let mut sums = LivingSums::default();
        sums.add(&record.name, record.generation);
        let mut rng = Rng::with_seed(seed);
        // The first word is spread over a fifth of a second: hundreds may start at once.
        let first = now + rng.u64(0..200 * MS);
        View {
            keys,
            cookies: Cookies::new(secret),
            accuser_id: accuser(&record.name),
            phase: Phase::Joining { renamed: false },
            last_datagram: 0,
            health: 0,
            peers: BTreeMap::new(),
            suspects: BTreeSet::new(),
            sums,
            broadcasts,
            isolation: IsolationDetector::new(now),
            changes: ChangeCollector::new(record.name.clone(), record.generation, record.role, now),
            probe_round: Vec::new(),
            probe: None,
            last_probe: 0,
            relays: Vec::new(),
            next_dead: first + DEAD_PROBE_INTERVAL,
            next_seed: first,
            join_attempts: 0,
            next_differs: first,
            join_echo: (0, 0),
            changed_at: now,
            due: first,
            unknown_sender_limit: TokenBucket::new(200.0, 200.0, now),
            extra_ping_limit: TokenBucket::new(40.0, 100.0, now),
            digest_answer_limit: TokenBucket::new(10.0, 20.0, now),
            faults: BTreeMap::new(),
            record,
            rng,
            config,
        }
    }

    /// Who lives, by whole versions.
    pub fn settled(&self) -> &Settled {
        self.changes.current()
    }

    /// All that are known, this one first.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        let me = Member { record: self.record.clone(), since: 0, health: self.health };
        let others = self.peers.values().map(|p| Member {
            record: p.record.clone(),
            since: p.since,
            health: p.health,
        });
        std::iter::once(me).chain(others)
    }

    /// Of those who live here, at this moment.
    pub fn digest(&self) -> u64 {
        self.sums.digest
    }

    /// The same counted anew.
    #[cfg(debug_assertions)]
    fn recount(&self) -> LivingSums {
        let mut sums = LivingSums::default();
        self.living_records().for_each(|r| sums.add(&r.name, r.generation));
        sums
    }

    pub fn health(&self) -> Health {
        Health {
            health: self.health,
            isolated_since: self.isolation.isolated_since(),
            is_superseded: self.phase == Phase::Superseded,
            has_joined: !matches!(self.phase, Phase::Joining { .. }),
        }
    }

    /// What may be worked by: this member's place among the living gateways, and how many they are. None if it is no
    /// gateway, or if the view is lost: cut off, superseded, or nobody was ever found.
    pub fn position(&self) -> Option<(usize, usize)> {
        let (all, me) = self.settled().gateways();
        me.filter(|_| self.is_usable()).map(|me| (me, all))
    }

    fn is_usable(&self) -> bool {
        let health = self.health();
        health.isolated_since.is_none()
            && !health.is_superseded
            && health.has_joined
            && self.settled().version != 0
    }

    /// Whether the member of this name lives, by the settled view. None if it is not known, or if the view is lost.
    pub fn is_alive(&self, name: &str) -> Option<bool> {
        self.is_usable().then_some(())?;
        if self.settled().members.iter().any(|(n, ..)| **n == *name) {
            return Some(true);
        }
        self.peers.get(name).filter(|p| !p.record.state.is_alive()).map(|_| false)
    }

    /// Datagrams dropped, by cause.
    pub fn faults(&self) -> impl Iterator<Item = (DatagramError, u64)> + '_ {
        self.faults.iter().map(|(f, n)| (*f, *n))
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_due(&self) -> Option<Time> {
        if matches!(self.phase, Phase::Superseded | Phase::Left) {
            return None;
        }
        let probe = self.probe.as_ref().map(|p| {
            if p.helpers.is_empty() && !p.is_answered {
                p.indirect_at
            } else {
                p.ends_at
            }
        });
        let suspects = self.suspects.iter().filter_map(|n| self.suspicion_ends(self.peers.get(n)?));
        let watches = self.suspects.iter().filter_map(|n| self.next_watch_ping(n));
        let suspects = suspects.chain(watches);
        let relays = self.relays.iter().map(|r| r.until);
        let others = [self.next_dead, self.next_seed];
        let due = probe.into_iter().chain(suspects).chain(relays).chain(others).chain(self.changes.due());
        due.min()
    }

    /// Takes what happened by `now` and appends what to do about it, in order.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        if matches!(self.phase, Phase::Superseded | Phase::Left) {
            return;
        }
        let late = now.saturating_sub(self.due);
        if late > SLEEP_THRESHOLD && !planted!(SleepNotSeen) {
            self.on_sleep(now, late);
        }
        match input {
            Input::Datagram(bytes) => {
                if let Err(fault) = self.datagram(now, bytes, out) {
                    *self.faults.entry(fault).or_default() += 1;
                }
            }
            Input::Tick => self.tick(now, late, out),
            Input::Leave => self.leave(out),
        }
        self.due = self.next_due().unwrap_or(now).max(now);
    }
}

fn accuser(name: &Name) -> u32 {
    // 0 is nobody's.
    (hash(&[name.as_bytes()]) as u32).max(1)
}

fn bucket(name: &Name) -> usize {
    (hash(&[name.as_bytes()]) >> 32) as usize % BUCKETS
}
