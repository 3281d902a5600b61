//! The world `members`: membership views on a virtual network with loss, delay, duplication, partitions and
//! replays, and with members that are killed, paused, restarted or asked to leave. Everything is determined
//! by the seed.

use membership::wire::Message;
use membership::{Config, Input, Keys, Output, State, Time, View};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

pub const MS: Time = 1_000_000;
pub const S: Time = 1_000 * MS;
/// Shared key of the simulated fleet.
const FLEET_KEY: &[u8] = b"the key of a virtual fleet";

/// Slot of the fleet: a fixed name, whichever process runs under it.
pub struct Node {
    pub name: String,
    pub view: Option<View>,
    generation: u64,
    /// While paused: the time at which it resumes.
    paused_until: Option<Time>,
    /// Datagrams received while paused; delivered when it resumes.
    inbox: Vec<Vec<u8>>,
    due: Time,
    pub datagrams: u64,
    pub bytes: u64,
    /// Number of versions of the stable view published.
    pub versions: u64,
    pub superseded: bool,
}

/// Delivery time of a datagram, its sequence number, its recipient and its contents.
type QueuedDatagram = (Time, u64, usize, Vec<u8>);

/// The virtual network: partitions, link faults and datagrams in flight.
pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub partition: Vec<u32>,
    /// Ordered pairs (sender, recipient) whose datagrams are all lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Probabilities of loss and of duplication.
    pub loss: f64,
    pub duplication: f64,
    /// Maximum delay of a datagram, and the nodes whose datagrams are slower still.
    pub max_delay: Time,
    pub slow_nodes: BTreeSet<usize>,
    /// Whether datagrams to a paused member are lost, as on a suspended machine.
    pub drops_while_paused: bool,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<QueuedDatagram>>,
    timers: BinaryHeap<Reverse<(Time, usize)>>,
    sent: u64,
    /// All datagrams sent, if they are recorded for a replay.
    pub recording: Option<Vec<(usize, Vec<u8>)>>,
    /// False death reports about a member that ran and was reachable by all: (observer, subject).
    pub false_deaths: Vec<(usize, usize)>,
}

/// Returns the address of a slot.
pub fn address(n: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1), 7000).into()
}

fn node_index(to: SocketAddr) -> Option<usize> {
    match to.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
        }
        std::net::IpAddr::V6(_) => None,
    }
}

/// Decodes a datagram of this fleet.
pub fn read(bytes: &[u8]) -> Option<Message> {
    Some(Keys::new(vec![FLEET_KEY.to_vec()]).ok()?.open(bytes).ok()?.message)
}

impl Net {
    /// Creates a network with `size` slots, none of them running.
    pub fn new(size: usize, seed: u64) -> Self {
        let node = |n| Node {
            name: format!("m{n:04}"),
            view: None,
            generation: 0,
            paused_until: None,
            inbox: Vec::new(),
            due: 0,
            datagrams: 0,
            bytes: 0,
            versions: 0,
            superseded: false,
        };
        Net {
            now: 0,
            nodes: (0..size).map(node).collect(),
            partition: vec![0; size],
            blocked_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            max_delay: 2 * MS,
            slow_nodes: BTreeSet::new(),
            drops_while_paused: false,
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            sent: 0,
            recording: None,
            false_deaths: Vec::new(),
        }
    }

    /// Starts a process in this slot with a later generation than any before, and the first three slots
    /// as seeds.
    pub fn start(&mut self, n: usize) {
        let generation = (1_700_000_000_000 + self.now / MS).max(self.nodes[n].generation + 1);
        self.start_with(n, generation, &self.nodes[n].name.clone());
    }

    /// Starts a process in this slot with a given generation and name.
    pub fn start_with(&mut self, n: usize, generation: u64, name: &str) {
        let mut config = Config::new(name, generation, address(n));
        config.seeds = (0..3).map(address).collect();
        let keys = Keys::new(vec![FLEET_KEY.to_vec()]).expect("long enough");
        let view = View::new(config, keys, self.rng.u64(..), self.rng.u128(..).to_be_bytes(), self.now);
        let node = &mut self.nodes[n];
        (node.generation, node.paused_until, node.superseded) = (generation, None, false);
        node.inbox.clear();
        node.view = Some(view);
        self.schedule(n);
    }

    /// Kills the slot's process without a leave message.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].view = None;
    }

    /// Has the member announce its leave, then stops it.
    pub fn leave(&mut self, n: usize) {
        self.deliver(n, Input::Leave);
        self.kill(n);
    }

    /// Pauses the member until the given time, which replaces that of an earlier pause; the member does not
    /// notice the pause.
    pub fn pause(&mut self, n: usize, until: Time) {
        self.nodes[n].paused_until = Some(until);
        self.timers.push(Reverse((until, n)));
    }

    /// Returns the members that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        let runs = |n: &usize| self.nodes[*n].view.is_some() && self.nodes[*n].paused_until.is_none();
        (0..self.nodes.len()).filter(runs).collect()
    }

    /// Queues a datagram without a sender for a member, with no delay and unaffected by link faults.
    pub fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.sent += 1;
        self.queue.push(Reverse((self.now, self.sent, to, bytes)));
    }

    fn schedule(&mut self, n: usize) {
        let due = self.nodes[n].view.as_ref().and_then(View::next_due).unwrap_or(Time::MAX);
        self.nodes[n].due = due;
        if due < Time::MAX {
            self.timers.push(Reverse((due.max(self.now), n)));
        }
    }

    fn deliver(&mut self, n: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(view) = &mut self.nodes[n].view else { return };
        view.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, bytes } => self.transmit(n, to, bytes),
                Output::StableView(_) => self.nodes[n].versions += 1,
                Output::Superseded { .. } => self.nodes[n].superseded = true,
            }
        }
        self.schedule(n);
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let node = &mut self.nodes[from];
        node.datagrams += 1;
        node.bytes += bytes.len() as u64;
        let Some(to) = node_index(to).filter(|n| *n < self.nodes.len()) else { return };
        if let Some(recording) = &mut self.recording {
            recording.push((to, bytes.clone()));
        }
        let cut = self.partition[from] != self.partition[to] || self.blocked_links.contains(&(from, to));
        if cut || self.rng.f64() < self.loss {
            return;
        }
        let times = 1 + usize::from(self.rng.f64() < self.duplication);
        for _ in 0..times {
            let extra_delay =
                if self.slow_nodes.contains(&from) || self.slow_nodes.contains(&to) { 150 * MS } else { 0 };
            let at = self.now + MS / 10 + self.rng.u64(0..self.max_delay) + extra_delay;
            self.sent += 1;
            self.queue.push(Reverse((at, self.sent, to, bytes.clone())));
        }
    }

    /// Advances the simulation to this time.
    pub fn advance_to(&mut self, until: Time) {
        loop {
            let next_timer = self.timers.peek().map_or(Time::MAX, |Reverse((at, _))| *at);
            let next_datagram = self.queue.peek().map_or(Time::MAX, |Reverse((at, ..))| *at);
            if next_timer.min(next_datagram) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next_timer.min(next_datagram));
            if next_datagram <= next_timer {
                let Some(Reverse((_, _, to, bytes))) = self.queue.pop() else { continue };
                if self.nodes[to].paused_until.is_some() {
                    // A socket buffer is bounded.
                    if self.nodes[to].inbox.len() < 200 && !self.drops_while_paused {
                        self.nodes[to].inbox.push(bytes);
                    }
                } else {
                    self.deliver(to, Input::Datagram(&bytes));
                }
                continue;
            }
            let Some(Reverse((at, n))) = self.timers.pop() else { continue };
            if self.nodes[n].paused_until.is_some_and(|until| until > at) {
                continue;
            }
            if self.nodes[n].paused_until.take().is_some() {
                for bytes in std::mem::take(&mut self.nodes[n].inbox) {
                    self.deliver(n, Input::Datagram(&bytes));
                }
            }
            if self.nodes[n].due <= self.now {
                self.deliver(n, Input::Tick);
            }
        }
    }

    /// Returns whether all running members that can reach each other see exactly each other.
    pub fn converged(&self) -> bool {
        let running = self.running();
        let groups: BTreeSet<u32> = running.iter().map(|n| self.partition[*n]).collect();
        groups.into_iter().all(|group| {
            let of: Vec<usize> = running.iter().copied().filter(|n| self.partition[*n] == group).collect();
            let digests: BTreeSet<u64> =
                of.iter().filter_map(|n| Some(self.nodes[*n].view.as_ref()?.digest())).collect();
            let seen = of.first().and_then(|n| self.nodes[*n].view.as_ref());
            digests.len() == 1
                && seen.is_some_and(|v| v.members().filter(|m| m.record.state.is_alive()).count() == of.len())
        })
    }

    /// Advances until the views have converged. Returns the time it took, or `None` after `limit`.
    pub fn advance_until_converged(&mut self, limit: Time) -> Option<Time> {
        let started_at = self.now;
        while !self.converged() {
            if self.now >= started_at + limit {
                return None;
            }
            self.advance_to(self.now + 20 * MS);
        }
        Some(self.now - started_at)
    }

    /// Returns whether this member sees exactly the running members.
    pub fn sees_all_running(&self, at: usize) -> bool {
        self.disagreements().iter().all(|(who, _)| *who != at)
    }

    /// Returns the differences between views and the running members: the observer, and a description.
    pub fn disagreements(&self) -> Vec<(usize, String)> {
        let running: BTreeSet<usize> = self.running().into_iter().collect();
        let mut all = Vec::new();
        for at in &running {
            let Some(view) = &self.nodes[*at].view else { continue };
            let seen: std::collections::BTreeMap<_, _> =
                view.members().map(|m| (m.record.name.to_string(), m.record)).collect();
            for n in 0..self.nodes.len() {
                let node = &self.nodes[n];
                let seen = seen.get(&node.name);
                let seen_alive = seen.is_some_and(|r| r.state.is_alive() && r.generation == node.generation);
                if seen_alive != running.contains(&n) {
                    let seen = seen.map(|r| (r.state, r.generation == node.generation, r.incarnation));
                    all.push((*at, format!("{at} sees {n} as {seen:?}, health {:?}", view.health())));
                }
            }
        }
        all
    }

    /// Counts running members that some running member considers dead.
    pub fn false_deaths(&self) -> usize {
        let running = self.running();
        let dead = |n: &usize| {
            let view = self.nodes[*n].view.as_ref();
            let of = |m: membership::Member| {
                let state = m.record.state == State::Dead;
                state
                    && running.iter().any(|r| {
                        *self.nodes[*r].name == *m.record.name
                            && self.nodes[*r].generation == m.record.generation
                    })
            };
            view.map_or(0, |v| v.members().filter(|m| of(m.clone())).count())
        };
        running.iter().map(dead).sum()
    }
}

/// Result of one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RandomRun {
    pub seed: u64,
    /// Faults in order, with the time in milliseconds.
    pub faults: Vec<(u64, String)>,
    /// Time from the end of the last fault until all members that reach each other had one view; `None`
    /// if not within the bound.
    pub settled_ms: Option<u64>,
    /// Fewer than an eighth of the members are left, so that they can't tell at first whether they or all
    /// others failed; later they had one view, or each member whose view differs reports that it is
    /// isolated. That is the guarantee in this case.
    pub too_few: bool,
    /// The differences, if the views did not converge.
    pub wrong: Vec<String>,
    pub datagrams_a_second: f64,
    pub bytes_a_second: f64,
}

/// Bound on the time from the last fault until there is one view.
pub const CONVERGENCE_BOUND: Time = 8 * S;

/// The same bound where fewer than an eighth are left: for most of a wave of failures they consider
/// themselves isolated.
pub const CONVERGENCE_BOUND_FEW: Time = 30 * S;

/// Runs a random scenario: all members start, faults come and go, the last one ends; then there must be one
/// view within the bound.
pub fn random(size: usize, seed: u64) -> RandomRun {
    let (mut run, mut net) = random_net(size, seed);
    let (datagrams, bytes) = traffic(&mut net, 10 * S);
    (run.datagrams_a_second, run.bytes_a_second) = (datagrams, bytes);
    run
}

/// Like [`random`], and also returns the network in its final state.
pub fn random_net(size: usize, seed: u64) -> (RandomRun, Net) {
    let mut net = Net::new(size, seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut run = RandomRun { seed, ..RandomRun::default() };
    (0..size).for_each(|n| net.start(n));
    net.advance_to(3 * S);
    for _ in 0..rng.usize(2..6) {
        let some = |rng: &mut fastrand::Rng, part: f64| {
            let count = (size as f64 * part) as usize;
            rng.choose_multiple(0..size, count.max(1))
        };
        let what = match rng.u32(0..9) {
            0 => {
                let part = rng.f64() * 0.7;
                let killed = some(&mut rng, part);
                killed.iter().for_each(|n| net.kill(*n));
                format!("{} killed", killed.len())
            }
            1 => {
                let back: Vec<usize> = (0..size).filter(|n| net.nodes[*n].view.is_none()).collect();
                back.iter().for_each(|n| net.start(*n));
                format!("{} started again", back.len())
            }
            2 => {
                let part = 0.1 + rng.f64() * 0.4;
                let cut = some(&mut rng, part);
                cut.iter().for_each(|n| net.partition[*n] = 1);
                format!("{} cut off", cut.len())
            }
            3 => {
                net.partition.fill(0);
                net.blocked_links.clear();
                "healed".into()
            }
            4 => {
                let part = rng.f64() * 0.2;
                let paused_until = some(&mut rng, part);
                let until = net.now + rng.u64(500 * MS..6 * S);
                paused_until.iter().for_each(|n| net.pause(*n, until));
                format!("{} stopped", paused_until.len())
            }
            5 => {
                (net.loss, net.duplication) = (rng.f64() * 0.3, rng.f64() * 0.1);
                format!("loss {:.2}", net.loss)
            }
            6 => {
                let left = some(&mut rng, 0.05);
                left.iter().for_each(|n| net.leave(*n));
                format!("{} left", left.len())
            }
            7 => {
                let restarted = some(&mut rng, 0.3);
                restarted.iter().for_each(|n| {
                    net.kill(*n);
                    net.start(*n);
                });
                format!("{} restarted at once", restarted.len())
            }
            _ => {
                let (a, b) = (rng.usize(0..size), rng.usize(0..size));
                net.blocked_links.insert((a, b));
                format!("{a} is not heard at {b}")
            }
        };
        run.faults.push((net.now / MS, what));
        let next = net.now + rng.u64(200 * MS..8 * S);
        net.advance_to(next);
    }
    // All faults end: every running member can reach all others, and none is paused any more.
    net.partition.fill(0);
    net.blocked_links.clear();
    (net.loss, net.duplication) = (0.0, 0.0);
    let resumed_at = net.nodes.iter().filter_map(|n| n.paused_until).max().unwrap_or(net.now);
    net.advance_to(resumed_at.max(net.now));
    if net.running().is_empty() {
        net.start(0);
    }
    run.faults.push((net.now / MS, "all is mended".into()));
    run.settled_ms = net.advance_until_converged(CONVERGENCE_BOUND).map(|t| t / MS);
    if run.settled_ms.is_none() {
        run.wrong = net.disagreements().into_iter().map(|(_, what)| what).collect();
        let running = net.running();
        let few = running.len() * 8 < size;
        if few {
            net.advance_until_converged(CONVERGENCE_BOUND_FEW);
        }
        let consistent = |n: &usize| {
            let view = net.nodes[*n].view.as_ref();
            view.is_some_and(|v| v.health().isolated_since.is_some() || net.sees_all_running(*n))
        };
        run.too_few = few && running.iter().all(consistent);
    }
    (run, net)
}

/// Returns the mean datagrams and bytes that a running member sends per second, measured over `time`.
pub fn traffic(net: &mut Net, time: Time) -> (f64, f64) {
    let sum = |net: &Net| net.nodes.iter().fold((0, 0), |(d, b), n| (d + n.datagrams, b + n.bytes));
    let before = sum(net);
    let until = net.now + time;
    net.advance_to(until);
    let after = sum(net);
    let share = net.running().len().max(1) as f64 * time as f64 / S as f64;
    ((after.0 - before.0) as f64 / share, (after.1 - before.1) as f64 / share)
}
