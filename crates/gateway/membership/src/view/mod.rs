//! State machine of the view: probes, suspicions, dissemination and digests.

mod merge;
mod receive;
mod send;
mod timers;

use crate::broadcasts::BroadcastQueue;
use crate::isolation::IsolationDetector;
use crate::join_cookies::JoinCookies;
use crate::record::{hash, Name, Record, Role, State};
use crate::stable_view::{member_digest, ChangeCollector, StableView};
use crate::window::{ReplayWindow, TokenBucket};
use crate::wire::{
    encoded_size, Datagram, DatagramError, Keys, Message, Piggyback, BUCKETS, MAX_DATAGRAM_BYTES,
};
use crate::Time;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MS: Time = 1_000_000;
/// Number of helpers that ping indirectly for one probe.
const INDIRECT_PROBES: usize = 3;
/// Number of accusers at which a suspicion is at its shortest.
const MAX_ACCUSERS: usize = 3;
/// Number of its own pings, half a probe interval apart, that must go unanswered before a verifying member accuses a
/// suspect or declares it dead.
const MIN_UNANSWERED_PINGS: u32 = 3;
/// Mean number of members that verify a suspicion reported to them with pings of their own.
const MEAN_VERIFIERS: f64 = 12.0;
/// Ratio of the longest to the shortest suspicion timeout.
const MAX_SUSPICION_FACTOR: Time = 6;
/// Worst local health score. Intervals are multiplied by the score plus one.
const MAX_LOCAL_HEALTH: u8 = 8;
/// Lateness of a tick above which this process is taken to have been suspended.
const SUSPENSION_THRESHOLD: Time = 1000 * MS;
/// Lateness of a tick above which a missing answer says nothing about the probed member.
const LATE_TICK_THRESHOLD: Time = 50 * MS;
const DEAD_PROBE_INTERVAL: Time = 400 * MS;
const SEED_INTERVAL: Time = 2000 * MS;
const JOIN_INTERVAL: Time = 500 * MS;
/// Time after a join request during which its answer is accepted from an unknown member.
const JOIN_ECHO_LIFETIME: Time = 1000 * MS;
/// Maximum size of the updates on a ping; the rest of a datagram is for names and numbers.
const MAX_PIGGYBACK_BYTES: usize = 900;
/// Maximum size of the records in one datagram.
const MAX_RECORDS_BYTES: usize = 1000;
/// Maximum number of datagrams with records in one answer.
const MAX_RECORD_DATAGRAMS: usize = 4;
const MAX_RELAYS: usize = 256;
/// Number of members that are notified of a leave directly.
const LEAVE_RECIPIENTS: usize = 8;
const HELLO_PADDING: usize = 160;

/// Configuration of a [`View`].
#[derive(Clone, Debug)]
pub struct Config {
    pub name: Name,
    /// Unix milliseconds at the start of the process.
    pub generation: u64,
    /// Address that this member advertises.
    pub address: SocketAddr,
    pub zone: String,
    pub role: Role,
    /// Addresses of members to join through; may include this member's own.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub probe_interval: Time,
    /// Time for which dead members are retained, and pinged.
    pub dead_retention: Time,
    /// Maximum number of members that are retained, alive and dead.
    pub max_members: usize,
}

impl Config {
    /// Returns a configuration with defaults for all other fields.
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

/// An event for [`View::handle`].
pub enum Input<'a> {
    Datagram(&'a [u8]),
    /// Timer tick, at [`View::next_due`] or any other time.
    Tick,
    /// This process is shutting down.
    Leave,
}

/// An action for the owner of the [`View`].
#[derive(Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// There is a new stable version of the view.
    StableView(StableView),
    /// Another process started later under this name; this one sends nothing from now on.
    Superseded {
        generation: u64,
    },
}

/// A member as seen by this one.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub record: Record,
    /// Time at which the member entered its state in this view; 0 for this member.
    pub since: Time,
    /// Local health score, as last reported by the member.
    pub health: u8,
}

/// Health of this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Local health score: 0 is best, 8 is worst.
    pub health: u8,
    pub isolated_since: Option<Time>,
    pub is_superseded: bool,
    /// Whether this member has joined, or has found any other member.
    pub has_joined: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No member has answered yet.
    Joining {
        /// Whether this member has raised its generation above one that another member knew.
        is_generation_raised: bool,
    },
    Joined,
    Superseded,
    Left,
}

struct Suspicion {
    since: Time,
    accusers: Vec<u32>,
    /// If this member verifies the suspicion itself: time of its next ping, and number of pings sent.
    verification: Option<(Time, u32)>,
}

impl Suspicion {
    fn new(since: Time, accusers: Vec<u32>) -> Self {
        Suspicion { since, accusers, verification: None }
    }
}

/// Totals over the members that are alive, including this one. Updated incrementally: in a large fleet a change must not
/// cost a pass over all members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct AliveTotals {
    members: usize,
    digest: u64,
    buckets: [u32; BUCKETS],
}

impl AliveTotals {
    fn add(&mut self, name: &Name, generation: u64) {
        let digest = member_digest(name, generation);
        let bucket = &mut self.buckets[bucket(name)];
        *bucket = bucket.wrapping_add(digest as u32);
        (self.members, self.digest) = (self.members + 1, self.digest.wrapping_add(digest));
    }

    fn remove(&mut self, name: &Name, generation: u64) {
        let digest = member_digest(name, generation);
        let bucket = &mut self.buckets[bucket(name)];
        *bucket = bucket.wrapping_sub(digest as u32);
        (self.members, self.digest) = (self.members - 1, self.digest.wrapping_sub(digest));
    }
}

struct Peer {
    record: Record,
    since: Time,
    window: ReplayWindow,
    bucket: TokenBucket,
    health: u8,
    suspicion: Option<Suspicion>,
    /// Address of the previous generation, if different: that process may still be running.
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
    /// Time of the indirect pings.
    indirect_at: Time,
    /// End of the probe.
    ends_at: Time,
    helpers: Vec<Name>,
    is_answered: bool,
    /// Whether any member was heard during the probe.
    has_heard_anyone: bool,
}

/// An indirect ping on behalf of another member.
struct Relay {
    number: u32,
    requester: Name,
    requested_probe: u32,
    expires_at: Time,
}

/// The membership view of one member.
pub struct View {
    config: Config,
    keys: Keys,
    cookies: JoinCookies,
    rng: Rng,
    record: Record,
    accuser_id: u32,
    phase: Phase,
    /// Sequence number of the last datagram sent.
    last_datagram: u64,
    health: u8,
    peers: BTreeMap<Name, Peer>,
    /// Members under suspicion.
    suspects: BTreeSet<Name>,
    alive_totals: AliveTotals,
    broadcasts: BroadcastQueue,
    isolation: IsolationDetector,
    changes: ChangeCollector,
    /// Members still to be probed in this round, in reverse order.
    probe_round: Vec<Name>,
    probe: Option<Probe>,
    last_probe: u32,
    relays: Vec<Relay>,
    next_dead_ping: Time,
    next_seed_contact: Time,
    join_attempts: u32,
    next_digest_mismatch: Time,
    /// Echo expected in the answer to a `Join`, and its expiry; 0 is none.
    join_echo: (u64, Time),
    /// Time of the last change to the set of members that are alive.
    alive_changed_at: Time,
    /// Time for which the next tick was due after the last input, to detect late ticks.
    expected_tick: Time,
    unknown_sender_limit: TokenBucket,
    /// Rate limit of pings other than probes.
    extra_ping_limit: TokenBucket,
    /// Rate limit of answers to digest mismatches.
    digest_answer_limit: TokenBucket,
    dropped_datagrams: BTreeMap<DatagramError, u64>,
}

impl View {
    /// Creates a view. `seed` determines every random choice; `secret` must be unknown to others.
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
        let mut alive_totals = AliveTotals::default();
        alive_totals.add(&record.name, record.generation);
        let mut rng = Rng::with_seed(seed);
        // First messages are spread over 200 ms, since hundreds of members may start at once.
        let first_due = now + rng.u64(0..200 * MS);
        View {
            keys,
            cookies: JoinCookies::new(secret),
            accuser_id: accuser_id(&record.name),
            phase: Phase::Joining { is_generation_raised: false },
            last_datagram: 0,
            health: 0,
            peers: BTreeMap::new(),
            suspects: BTreeSet::new(),
            alive_totals,
            broadcasts,
            isolation: IsolationDetector::new(now),
            changes: ChangeCollector::new(record.name.clone(), record.generation, record.role, now),
            probe_round: Vec::new(),
            probe: None,
            last_probe: 0,
            relays: Vec::new(),
            next_dead_ping: first_due + DEAD_PROBE_INTERVAL,
            next_seed_contact: first_due,
            join_attempts: 0,
            next_digest_mismatch: first_due,
            join_echo: (0, 0),
            alive_changed_at: now,
            expected_tick: first_due,
            unknown_sender_limit: TokenBucket::new(200.0, 200.0, now),
            extra_ping_limit: TokenBucket::new(40.0, 100.0, now),
            digest_answer_limit: TokenBucket::new(10.0, 20.0, now),
            dropped_datagrams: BTreeMap::new(),
            record,
            rng,
            config,
        }
    }

    /// Returns the latest stable version of the view.
    pub fn stable_view(&self) -> &StableView {
        self.changes.current()
    }

    /// Returns all known members, this one first.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        let own = Member { record: self.record.clone(), since: 0, health: self.health };
        let others = self.peers.values().map(|p| Member {
            record: p.record.clone(),
            since: p.since,
            health: p.health,
        });
        std::iter::once(own).chain(others)
    }

    /// Returns the digest of the members that are alive at present.
    pub fn digest(&self) -> u64 {
        self.alive_totals.digest
    }

    /// Recomputes the totals from all records.
    #[cfg(debug_assertions)]
    fn recount(&self) -> AliveTotals {
        let mut alive_totals = AliveTotals::default();
        self.alive_records().for_each(|r| alive_totals.add(&r.name, r.generation));
        alive_totals
    }

    /// Returns the health of this member.
    pub fn health(&self) -> Health {
        Health {
            health: self.health,
            isolated_since: self.isolation.isolated_since(),
            is_superseded: self.phase == Phase::Superseded,
            has_joined: !matches!(self.phase, Phase::Joining { .. }),
        }
    }

    /// Returns this member's position among the gateways that are alive, and their number. `None` if it is not a gateway,
    /// or if the view is not usable: isolated, superseded, never joined, or without a stable version yet.
    pub fn position(&self) -> Option<(usize, usize)> {
        let (gateways, position) = self.stable_view().gateways();
        position.filter(|_| self.is_usable()).map(|position| (position, gateways))
    }

    fn is_usable(&self) -> bool {
        let health = self.health();
        health.isolated_since.is_none()
            && !health.is_superseded
            && health.has_joined
            && self.stable_view().version != 0
    }

    /// Whether the member of this name is alive, according to the stable view. `None` if it is unknown or the view is not
    /// usable.
    pub fn is_alive(&self, name: &str) -> Option<bool> {
        self.is_usable().then_some(())?;
        if self.stable_view().members.iter().any(|(n, ..)| **n == *name) {
            return Some(true);
        }
        self.peers.get(name).filter(|p| !p.record.state.is_alive()).map(|_| false)
    }

    /// Returns the number of dropped datagrams by reason.
    pub fn dropped_datagrams(&self) -> impl Iterator<Item = (DatagramError, u64)> + '_ {
        self.dropped_datagrams.iter().map(|(error, count)| (*error, *count))
    }

    /// Returns the time at which the next [`Input::Tick`] is due. `None` if this member is superseded or has left.
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
        let suspects = self.suspects.iter().filter_map(|n| self.suspicion_deadline(self.peers.get(n)?));
        let pings = self.suspects.iter().filter_map(|n| self.next_suspect_ping(n));
        let suspects = suspects.chain(pings);
        let relays = self.relays.iter().map(|r| r.expires_at);
        let others = [self.next_dead_ping, self.next_seed_contact];
        let due = probe.into_iter().chain(suspects).chain(relays).chain(others).chain(self.changes.due());
        due.min()
    }

    /// Handles an input and appends the resulting actions to `out`, in order.
    pub fn handle(&mut self, now: Time, input: Input<'_>, out: &mut Vec<Output>) {
        if matches!(self.phase, Phase::Superseded | Phase::Left) {
            return;
        }
        let lateness = now.saturating_sub(self.expected_tick);
        if lateness > SUSPENSION_THRESHOLD && !planted!(SleepNotSeen) {
            self.on_suspended(now, lateness);
        }
        match input {
            Input::Datagram(bytes) => {
                if let Err(error) = self.on_datagram(now, bytes, out) {
                    *self.dropped_datagrams.entry(error).or_default() += 1;
                }
            }
            Input::Tick => self.tick(now, lateness, out),
            Input::Leave => self.leave(out),
        }
        self.expected_tick = self.next_due().unwrap_or(now).max(now);
    }
}

fn accuser_id(name: &Name) -> u32 {
    // 0 stands for no accuser.
    (hash(&[name.as_bytes()]) as u32).max(1)
}

fn bucket(name: &Name) -> usize {
    (hash(&[name.as_bytes()]) >> 32) as usize % BUCKETS
}
