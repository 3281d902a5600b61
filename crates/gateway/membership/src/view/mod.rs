//! The view as a state machine: probes, suspicions, dissemination and digests.

mod merge;
mod receive;
mod send;
mod timers;

use crate::broadcasts::BroadcastQueue;
use crate::isolation::IsolationDetector;
use crate::join_cookies::Cookies;
use crate::record::{hash, Name, Record, Role, State};
use crate::settled::{digest_of, ChangeCollector, StableView};
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
/// How many pings of its own, half an interval apart, must go unanswered before a member accuses or declares dead.
const MIN_UNANSWERED_PINGS: u32 = 3;
/// How many members ping for themselves when they hear of a suspicion, on average.
const MEAN_WATCHERS: f64 = 12.0;
/// The longest suspicion as a multiple of the shortest.
const MAX_SUSPICION_FACTOR: Time = 6;
/// The worst local health score: intervals are multiplied by one more than the score.
const MAX_LOCAL_HEALTH: u8 = 8;
/// A tick this late means that this process was suspended.
const SLEEP_THRESHOLD: Time = 1000 * MS;
/// A tick this late says nothing about the probed member.
const LATE_TICK: Time = 50 * MS;
const DEAD_PROBE_INTERVAL: Time = 400 * MS;
const SEED_INTERVAL: Time = 2000 * MS;
const JOIN_INTERVAL: Time = 500 * MS;
/// How long after a join request its answer may come from an unknown member.
const JOIN_ECHO_LIFETIME: Time = 1000 * MS;
/// The most bytes of updates on a ping; the rest of a datagram is for names and numbers.
const MAX_PIGGYBACK_BYTES: usize = 900;
/// The most bytes of records in one datagram, and the most such datagrams in one answer.
const MAX_RECORDS_BYTES: usize = 1000;
const MAX_RECORD_DATAGRAMS: usize = 4;
const MAX_RELAYS: usize = 256;
/// How many members are told of a leave directly.
const LEAVE_RECIPIENTS: usize = 8;
const HELLO_PADDING: usize = 160;

/// Builds a [`View`].
#[derive(Clone, Debug)]
pub struct Config {
    pub name: Name,
    /// Unix milliseconds at the start.
    pub generation: u64,
    /// The address of this member for others.
    pub address: SocketAddr,
    pub zone: String,
    pub role: Role,
    /// Addresses of members that may be alive; this member's own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The time between two probes.
    pub probe_interval: Time,
    /// How long dead members are remembered, and pinged.
    pub dead_retention: Time,
    /// The most members that are remembered, living and dead.
    pub max_members: usize,
}

impl Config {
    /// A configuration with defaults for all but these.
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

/// What happened.
pub enum Input<'a> {
    Datagram(&'a [u8]),
    /// Time has passed: [`View::next_due`], or any other time.
    Tick,
    /// This process shuts down.
    Leave,
}

/// What must be done.
#[derive(Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A new stable version of the view.
    StableView(StableView),
    /// Another process started later under this name: this one is silent from now on.
    Superseded {
        generation: u64,
    },
}

/// A member as this one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub record: Record,
    /// Since when it is in this state here; 0 for this member.
    pub since: Time,
    /// Its local health score, as last reported.
    pub health: u8,
}

/// This member's own condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// 0 is best, 8 worst.
    pub health: u8,
    pub isolated_since: Option<Time>,
    pub is_superseded: bool,
    /// Whether it has joined, or found any member.
    pub has_joined: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No member has answered yet. `renamed`: its generation was raised above a known one.
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
    /// If this member pings the suspect itself: the next ping, and how many have been sent.
    watch: Option<(Time, u32)>,
}

impl Suspicion {
    fn new(since: Time, accusers: Vec<u32>) -> Self {
        Suspicion { since, accusers, watch: None }
    }
}

/// Sums over the living members, this one among them, updated with each change: in a large fleet a change must not cost
/// a pass over all members.
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
    /// The address of the previous generation, if different: it may still run there.
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

/// The probe in progress.
struct Probe {
    number: u32,
    target: Name,
    /// When other members are asked to ping, and when it ends.
    indirect_at: Time,
    ends_at: Time,
    helpers: Vec<Name>,
    is_answered: bool,
    /// Whether any member was heard meanwhile.
    has_heard_anyone: bool,
}

/// A ping on behalf of another member.
struct Relay {
    number: u32,
    requester: Name,
    requested_probe: u32,
    until: Time,
}

/// The membership view of one member.
pub struct View {
    config: Config,
    keys: Keys,
    cookies: Cookies,
    rng: Rng,
    record: Record,
    accuser_id: u32,
    phase: Phase,
    /// Number of the last datagram sent.
    last_datagram: u64,
    health: u8,
    peers: BTreeMap<Name, Peer>,
    /// Members with a suspicion.
    suspects: BTreeSet<Name>,
    sums: LivingSums,
    broadcasts: BroadcastQueue,
    isolation: IsolationDetector,
    changes: ChangeCollector,
    /// Members still to be probed in this round, the next one last.
    probe_round: Vec<Name>,
    probe: Option<Probe>,
    last_probe: u32,
    relays: Vec<Relay>,
    next_dead: Time,
    next_seed: Time,
    join_attempts: u32,
    next_differs: Time,
    /// The echo expected in the answer to a `Join`, and until when; 0 is none.
    join_echo: (u64, Time),
    /// When the set of living members last changed here.
    changed_at: Time,
    /// When it was last due, to detect late ticks.
    due: Time,
    unknown_sender_limit: TokenBucket,
    /// Limits pings other than probes.
    extra_ping_limit: TokenBucket,
    /// Limits answers to digest mismatches.
    digest_answer_limit: TokenBucket,
    dropped_datagrams: BTreeMap<DatagramError, u64>,
}

impl View {
    /// `seed` determines every random choice; `secret` must be unknown to others.
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
        // The first message is spread over a fifth of a second: hundreds of members may start at once.
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
            dropped_datagrams: BTreeMap::new(),
            record,
            rng,
            config,
        }
    }

    /// The latest stable version of the view.
    pub fn stable_view(&self) -> &StableView {
        self.changes.current()
    }

    /// All known members, this one first.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        let me = Member { record: self.record.clone(), since: 0, health: self.health };
        let others = self.peers.values().map(|p| Member {
            record: p.record.clone(),
            since: p.since,
            health: p.health,
        });
        std::iter::once(me).chain(others)
    }

    /// Digest of the living members at this moment.
    pub fn digest(&self) -> u64 {
        self.sums.digest
    }

    /// The sums counted anew.
    #[cfg(debug_assertions)]
    fn recount(&self) -> LivingSums {
        let mut sums = LivingSums::default();
        self.living_records().for_each(|r| sums.add(&r.name, r.generation));
        sums
    }

    /// This member's own condition.
    pub fn health(&self) -> Health {
        Health {
            health: self.health,
            isolated_since: self.isolation.isolated_since(),
            is_superseded: self.phase == Phase::Superseded,
            has_joined: !matches!(self.phase, Phase::Joining { .. }),
        }
    }

    /// This member's position among the living gateways, and their number. None if it is no gateway, or if the view is
    /// not usable: isolated, superseded, or never joined.
    pub fn position(&self) -> Option<(usize, usize)> {
        let (all, me) = self.stable_view().gateways();
        me.filter(|_| self.is_usable()).map(|me| (me, all))
    }

    fn is_usable(&self) -> bool {
        let health = self.health();
        health.isolated_since.is_none()
            && !health.is_superseded
            && health.has_joined
            && self.stable_view().version != 0
    }

    /// Whether the member of this name is alive, by the stable view. None if it is unknown, or the view is not usable.
    pub fn is_alive(&self, name: &str) -> Option<bool> {
        self.is_usable().then_some(())?;
        if self.stable_view().members.iter().any(|(n, ..)| **n == *name) {
            return Some(true);
        }
        self.peers.get(name).filter(|p| !p.record.state.is_alive()).map(|_| false)
    }

    /// Datagrams dropped, by cause.
    pub fn dropped_datagrams(&self) -> impl Iterator<Item = (DatagramError, u64)> + '_ {
        self.dropped_datagrams.iter().map(|(f, n)| (*f, *n))
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

    /// Handles an input and appends what to do about it, in order.
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
                    *self.dropped_datagrams.entry(fault).or_default() += 1;
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
