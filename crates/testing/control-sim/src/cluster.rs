//! Control nodes, links among them, disks, and gateways that follow, as both kinds of worlds play them: what the
//! program's drivers do, on a simulated network. What the worlds are to look at is handed to them as [`Seen`].

use crate::defect::Defect;
use crate::disks::Disks;
use crate::gateways::{bytes, Gateway, Link};
use crate::machine::{address, machine_index, Machine, MachineSettings};
use crate::network::Net;
use crate::rules::Violation;
use crate::{Time, MS};
use configuration::ConfigurationError;
use consensus::{EntryPayload, MessageBody, NodeId};
use control_node::{AppliedRecord, ControlNode, Effect, Reply, HELLO_INTERVAL, UPDATE_INTERVAL};
use control_state::{DeclaredVersions, LogIndex};
use fastrand::Rng;
use messages::{ControlMessage, GatewayMessage, GatewayUpdate, Greeting};
use quota::LeaseGrant;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::IpAddr;
use subscription::{DisconnectReason, NextNode, ViewChange, PROBE_INTERVAL, SILENCE_TIMEOUT};
use trial::UnixMillis;

/// Who is not linked yet is dialled so often.
const DIALS: Time = 100 * MS;
/// A connection to a machine that says nothing is given up.
const CONNECT: Time = 200 * MS;
/// A gateway pauses where all control nodes are shunned.
const PAUSE: Time = 40 * MS;

/// What happens. `E`: of the world's own.
#[derive(Debug)]
pub enum Event<E> {
    Peer {
        from: usize,
        to: usize,
        /// The lives of both when it was sent.
        lives: (u64, u64),
        sent: Time,
        peer: Box<ControlMessage>,
    },
    Wake(usize),
    /// The disk of a machine, in that life of its, has done a write.
    Written(usize, u64, u64),
    Start(usize),
    /// A control node, in this life of its, dials the others, and says who it is.
    Links(usize, u64),
    /// A gateway looks for a control node to follow.
    Dial(usize),
    /// It is connected to this one, in this try of its.
    Linked {
        g: usize,
        number: u64,
        ip: IpAddr,
    },
    /// A try, or a link, has ended.
    Ended {
        g: usize,
        number: u64,
        ip: IpAddr,
        end: DisconnectReason,
    },
    /// The control node at the other side of a link hears that it has ended.
    Unlinked {
        link: Link,
        g: usize,
    },
    SubscriptionHeartbeat {
        g: usize,
        link: Link,
    },
    Down {
        g: usize,
        number: u64,
        down: Box<GatewayUpdate>,
    },
    Up {
        g: usize,
        link: Link,
        up: Box<GatewayMessage>,
    },
    Silent {
        g: usize,
        number: u64,
    },
    Probe {
        g: usize,
        number: u64,
    },
    World(E),
}

struct Scheduled<E>(Time, u64, Event<E>);

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

/// What a world is to look at.
#[derive(Debug)]
pub enum Observation {
    Applied {
        index: LogIndex,
        command: Vec<u8>,
    },
    /// A control node answers a call.
    Answered {
        n: usize,
        call: u64,
        reply: Reply,
    },
    /// A gateway was told of rights.
    Granted {
        g: usize,
        lent: LeaseGrant,
    },
    /// It was told of something else.
    ViewChanged {
        g: usize,
        changes: Vec<ViewChange>,
    },
}

/// What a machine reads a configuration with.
pub type Check = fn(&[u8]) -> Result<DeclaredVersions, ConfigurationError>;

pub struct Cluster<E> {
    pub rng: Rng,
    pub defect: Option<Defect>,
    pub now: Time,
    /// True time at the beginning, in Unix milliseconds.
    pub began: UnixMillis,
    queue: BinaryHeap<Scheduled<E>>,
    next: u64,
    pub machines: Vec<Machine>,
    /// When each is looked at next.
    wakes: Vec<Time>,
    pub net: Net,
    pub disks: Disks,
    pub gateways: Vec<Gateway>,
    check: Check,
    /// Links among control nodes that stand, with the lives at both ends, and when they said who they are.
    links: BTreeMap<(usize, usize), ((u64, u64), Time)>,
    pub seen: VecDeque<Observation>,
}

impl<E> Cluster<E> {
    pub fn new(rng: Rng, defect: Option<Defect>, check: Check) -> Self {
        Cluster {
            rng,
            defect,
            now: 0,
            began: 1_000_000_000,
            queue: BinaryHeap::new(),
            next: 0,
            machines: Vec::new(),
            wakes: Vec::new(),
            net: Net::default(),
            disks: Disks::default(),
            gateways: Vec::new(),
            check,
            links: BTreeMap::new(),
            seen: VecDeque::new(),
        }
    }

    /// One more machine; it starts when [`Event::Start`] says so.
    pub fn add(&mut self, votes: bool, told: MachineSettings) -> usize {
        let n = self.machines.len();
        self.machines.push(Machine::new(n, votes, told, self.defect));
        self.wakes.push(Time::MAX);
        n
    }

    pub fn at(&mut self, at: Time, event: Event<E>) {
        self.next += 1;
        self.queue.push(Scheduled(at, self.next, event));
    }

    pub fn later(&mut self, at: Time, event: E) {
        self.at(at, Event::World(event));
    }

    /// The next that happens, at its time.
    pub fn pop(&mut self) -> Option<Event<E>> {
        let Scheduled(at, _, event) = self.queue.pop()?;
        self.now = at;
        Some(event)
    }

    /// Gateways look for control nodes, from the beginning on.
    pub fn begin(&mut self) {
        for g in 0..self.gateways.len() {
            let at = self.rng.u64(..300) * MS;
            self.at(at, Event::Dial(g));
        }
    }

    /// When this machine goes on, if it stands still.
    fn thaws(&self, n: usize) -> Option<Time> {
        Some(self.machines[n].frozen_until).filter(|until| *until > self.now)
    }

    /// Plays something that is not the world's own.
    ///
    /// # Errors
    /// A rule was broken.
    pub fn step(&mut self, event: Event<E>) -> Result<Option<E>, Violation> {
        match event {
            Event::World(event) => return Ok(Some(event)),
            Event::Peer { from, to, lives, sent, peer } => {
                if let Some(thaws) = self.thaws(to) {
                    self.at(thaws, Event::Peer { from, to, lives, sent, peer });
                } else if self.net.arrives(from, to, sent) && self.machines[to].starts == lives.1 {
                    let now = self.now;
                    // Who says it is told by the connection's first word.
                    let id = NodeId { name: address(from), disk_id: 0 };
                    self.with(to, |p| p.on_control_message(now, &id, *peer))?;
                }
            }
            Event::Wake(n) => {
                self.wakes[n] = Time::MAX;
                self.work(n)?;
            }
            Event::Written(n, life, number) => {
                if self.machines[n].starts == life && self.machines[n].is_up() {
                    if let Some(thaws) = self.thaws(n) {
                        self.at(thaws, Event::Written(n, life, number));
                    } else {
                        let done = !self.disks.refuses(n, self.now);
                        self.machines[n].written(self.now, number, done);
                        self.work(n)?;
                    }
                }
            }
            Event::Start(n) => self.start(n)?,
            Event::Links(n, life) => self.greet_others(n, life),
            Event::Dial(g) => self.dial(g),
            Event::Linked { g, number, ip } => self.linked(g, number, ip)?,
            Event::Ended { g, number, ip, end } => self.ended(g, number, ip, end),
            Event::Unlinked { link, g } => {
                if self.machines[link.machine].starts == link.machine_start {
                    let name = self.gateways[g].name.clone();
                    self.machines[link.machine].with(|p| p.unsubscribe(&name, link.remote_number));
                }
            }
            Event::SubscriptionHeartbeat { g, link } => self.subscription_heartbeat(g, link)?,
            Event::Down { g, number, down } => self.down(g, number, down),
            Event::Up { g, link, up } => {
                let (to, name, now) = (link.machine, self.gateways[g].name.clone(), self.now);
                if let Some(thaws) = self.thaws(to) {
                    self.at(thaws, Event::Up { g, link, up });
                } else if self.machines[to].starts == link.machine_start {
                    self.with(to, |p| p.on_gateway_message(now, &name, link.remote_number, *up))?;
                }
            }
            Event::Silent { g, number } => {
                let gateway = &self.gateways[g];
                let (ends, awake) = (gateway.last_heard_at + SILENCE_TIMEOUT, gateway.suspended_until);
                if gateway.link.is_some_and(|l| l.number == number) {
                    if ends.max(awake) > self.now {
                        self.at(ends.max(awake), Event::Silent { g, number });
                    } else {
                        self.end_link(g, DisconnectReason::Lost);
                    }
                }
            }
            Event::Probe { g, number } => self.probe_nodes(g, number),
        }
        Ok(None)
    }

    // ---- Machines ----

    /// Hands a machine something, if it runs, and does what comes of it.
    ///
    /// # Errors
    /// A rule was broken.
    pub fn with(&mut self, n: usize, act: impl FnOnce(&mut ControlNode)) -> Result<(), Violation> {
        if self.machines[n].runs(self.now) {
            self.machines[n].with(act);
            self.work(n)?;
        }
        Ok(())
    }

    /// The machine goes on, if it can.
    ///
    /// # Errors
    /// A rule was broken.
    pub fn work(&mut self, n: usize) -> Result<(), Violation> {
        if !self.machines[n].runs(self.now) {
            return Ok(());
        }
        self.carry_out(n)?;
        let (now, wall) = (self.now, self.machines[n].wall(self.now, self.began));
        if self.machines[n].node().is_some_and(|p| p.has_ready_input() || p.next_due() <= now) {
            self.machines[n].with(|p| p.advance(now, wall));
            self.carry_out(n)?;
        }
        let due = self.machines[n].next_due();
        if due < self.wakes[n] {
            self.wakes[n] = due.max(now + MS);
            self.at(due.max(now + MS), Event::Wake(n));
        }
        Ok(())
    }

    fn carry_out(&mut self, n: usize) -> Result<(), Violation> {
        let mut news = false;
        loop {
            let (effects, applied) = self.machines[n].effects()?;
            for applied in applied {
                if let AppliedRecord::Command(place, word) = applied {
                    self.seen.push_back(Observation::Applied { index: place, command: word });
                }
            }
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::SendToNode { to, message: peer } => {
                        self.send_to_node(n, machine_index(&to), peer)
                    }
                    Effect::Broadcast { message: peer } => {
                        let all: Vec<usize> = self.others(n);
                        all.into_iter().for_each(|to| self.send_to_node(n, to, peer.clone()));
                    }
                    Effect::SendToGateway { gateway, update: down } => {
                        if let Some(g) = self.gateways.iter().position(|g| g.name == gateway) {
                            self.send_down(g, n, down);
                        }
                    }
                    Effect::ChunkWindowOpened { gateway } => {
                        if let Some(g) = self.gateways.iter().position(|g| g.name == gateway) {
                            self.update_subscriber(g, n);
                        }
                    }
                    Effect::NotifySubscribers => news = true,
                    Effect::Persist { number, request: work } => {
                        let (life, done) =
                            (self.machines[n].starts, self.disks.write_done(n, self.now, &mut self.rng));
                        self.machines[n].begin_write(number, work);
                        self.at(done, Event::Written(n, life, number));
                    }
                    Effect::Validate { change: job, body } => {
                        let (read, now) = ((self.check)(&body), self.now);
                        self.machines[n].with(|p| p.on_validated(now, job, Some(read)));
                    }
                    Effect::Reply { call, reply } => {
                        self.seen.push_back(Observation::Answered { n, call, reply })
                    }
                }
            }
        }
        if news {
            (0..self.gateways.len()).for_each(|g| self.update_subscriber(g, n));
        }
        Ok(())
    }

    fn start(&mut self, n: usize) -> Result<(), Violation> {
        if self.machines[n].is_up() || self.machines[n].is_removed {
            return Ok(());
        }
        let (seed, now) = (self.rng.u64(..), self.now);
        self.machines[n].start(now, seed);
        self.wakes[n] = Time::MAX;
        let (life, dials) = (self.machines[n].starts, self.rng.u64(..DIALS));
        self.at(now + dials, Event::Links(n, life));
        self.work(n)
    }

    /// Power is lost, or the process is killed; links to it end.
    pub fn stop(&mut self, n: usize) {
        if !self.machines[n].is_up() {
            return;
        }
        let writes = self.rng.usize(..=self.machines[n].writes());
        self.machines[n].stop(writes);
        for g in 0..self.gateways.len() {
            if self.gateways[g].link.is_some_and(|l| l.machine == n) {
                let (number, ip) = (self.gateways[g].number, ip(n));
                // Where it is isolated it hears nothing of it.
                if self.gateways[g].isolated_until <= self.now {
                    self.at(self.now + MS, Event::Ended { g, number, ip, end: DisconnectReason::Lost });
                }
            }
        }
    }

    // ---- Among control nodes ----

    /// Other machines that this one knows of.
    fn others(&self, n: usize) -> Vec<usize> {
        let known = self.machines[n].node().map(ControlNode::known_nodes).unwrap_or_default();
        let known = known.iter().map(|(name, _)| machine_index(name));
        known.filter(|m| *m != n && *m < self.machines.len()).collect()
    }

    fn greet_others(&mut self, n: usize, life: u64) {
        if self.machines[n].starts != life || !self.machines[n].is_up() {
            return;
        }
        let now = self.now;
        let next = self.thaws(n).unwrap_or(now + DIALS);
        self.at(next, Event::Links(n, life));
        if !self.machines[n].runs(now) {
            return;
        }
        for m in self.others(n) {
            let lives = (life, self.machines[m].starts);
            let held = self.links.get(&(n, m)).filter(|(l, at)| *l == lives && self.net.arrives(n, m, *at));
            let held = held.map(|(_, at)| *at);
            if held.is_some_and(|at| now < at + HELLO_INTERVAL) {
                continue;
            }
            if held.is_none() && (!self.machines[m].runs(now) || !self.net.is_connected(n, m, now)) {
                self.links.remove(&(n, m));
                continue;
            }
            self.links.insert((n, m), (lives, now));
            let wall = self.machines[n].wall(now, self.began);
            let Some(p) = self.machines[n].node() else { continue };
            let (beats, hello) = (p.all_heartbeats(now), p.hello(wall));
            if held.is_none() {
                self.send_to_node(n, m, beats);
            }
            self.send_to_node(n, m, hello);
        }
    }

    fn send_to_node(&mut self, from: usize, to: usize, peer: ControlMessage) {
        if to >= self.machines.len() || !self.machines[to].is_up() {
            return;
        }
        let lives = (self.machines[from].starts, self.machines[to].starts);
        if self.links.get(&(from, to)).is_none_or(|(linked, _)| *linked != lives) {
            return;
        }
        let now = self.now;
        for at in self.net.send(now, (from, to), size(&peer), &mut self.rng) {
            self.at(at, Event::Peer { from, to, lives, sent: now, peer: Box::new(peer.clone()) });
        }
    }

    // ---- Gateways ----

    fn dial(&mut self, g: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[g]);
        if gateway.suspended_until > now {
            let awake = gateway.suspended_until;
            return self.at(awake, Event::Dial(g));
        }
        let seeds = gateway.seeds.clone();
        let rng = &mut self.rng;
        let Some(NextNode { ip, is_backed_off }) =
            gateway.subscription.next_node(now, &seeds, |n| rng.usize(..n))
        else {
            return self.at(now + PAUSE, Event::Dial(g));
        };
        gateway.number += 1;
        let (number, n) = (gateway.number, machine_index(&ip.to_string()));
        let cut = gateway.isolated_until > now;
        let wait = if is_backed_off { PAUSE + self.rng.u64(..PAUSE) } else { 0 };
        self.gateways[g].attempt_started_at = now + wait;
        let there = n < self.machines.len() && !self.machines[n].is_removed;
        let event = match there {
            true if !cut && self.machines[n].is_up() => Event::Linked { g, number, ip },
            true if !cut => Event::Ended { g, number, ip, end: DisconnectReason::Refused },
            _ => {
                let unheard = Event::Ended { g, number, ip, end: DisconnectReason::TimedOut };
                return self.at(now + wait + CONNECT, unheard);
            }
        };
        let delay = MS + self.rng.u64(..2 * MS);
        self.at(now + wait + delay, event);
    }

    /// The connection is there; the first word goes out on it. One that stands still hears it later.
    fn linked(&mut self, g: usize, number: u64, ip: IpAddr) -> Result<(), Violation> {
        let now = self.now;
        let n = machine_index(&ip.to_string());
        if self.gateways[g].number != number {
            return Ok(());
        }
        if !self.machines[n].is_up() || self.gateways[g].isolated_until > now {
            self.ended(g, number, ip, DisconnectReason::Lost);
            return Ok(());
        }
        if let Some(thaws) = self.thaws(n) {
            // What is sent lies in its socket.
            let event = match thaws < now + SILENCE_TIMEOUT {
                true => Event::Linked { g, number, ip },
                false => Event::Ended { g, number, ip, end: DisconnectReason::Lost },
            };
            self.at(thaws.min(now + SILENCE_TIMEOUT), event);
            return Ok(());
        }
        let gateway = &mut self.gateways[g];
        let Greeting::Gateway {
            name,
            offset: place,
            configuration_index: holds,
            contact_number: contact,
            ..
        } = gateway.subscription.on_connected(now, ip, true)
        else {
            return Ok(());
        };
        gateway.last_heard_at = now;
        let life = self.machines[n].starts;
        let theirs = self.machines[n].with(|p| p.subscribe(&name, place, holds, contact)).unwrap_or(0);
        let link = Link { number, machine: n, machine_start: life, remote_number: theirs };
        self.gateways[g].link = Some(link);
        self.at(now + SILENCE_TIMEOUT, Event::Silent { g, number });
        self.at(now + PROBE_INTERVAL, Event::Probe { g, number });
        self.at(now, Event::SubscriptionHeartbeat { g, link });
        self.update_subscriber(g, n);
        Ok(())
    }

    /// Asks the nodes that the gateway tried in vain for their contact with a majority, for as long as this link stands.
    fn probe_nodes(&mut self, g: usize, number: u64) {
        let (now, gateway) = (self.now, &self.gateways[g]);
        if gateway.link.is_none_or(|link| link.number != number) {
            return;
        }
        if gateway.suspended_until <= now && gateway.isolated_until <= now {
            for ip in gateway.subscription.nodes_to_probe(now) {
                if let Some(contact) = self.quorum_contact(machine_index(&ip.to_string())) {
                    let age_ms = now.saturating_sub(contact) / MS;
                    self.gateways[g].subscription.on_probed(now, ip, age_ms);
                }
            }
        }
        let next = (now + PROBE_INTERVAL).max(self.gateways[g].suspended_until);
        self.at(next, Event::Probe { g, number });
    }

    /// When this machine was last in contact with a majority, if it can say.
    fn quorum_contact(&mut self, n: usize) -> Option<Time> {
        let now = self.now;
        let machine = self.machines.get_mut(n).filter(|machine| !machine.is_removed && machine.runs(now))?;
        machine.with(|node| node.last_quorum_contact(now)).flatten()
    }

    /// The gateway's link ends, by its own will.
    fn end_link(&mut self, g: usize, end: DisconnectReason) {
        let Some(link) = self.gateways[g].link else { return };
        let (joined, ip) = (self.now.max(self.gateways[g].isolated_until), ip(link.machine));
        self.at(joined + MS, Event::Unlinked { link, g });
        self.ended(g, link.number, ip, end);
    }

    fn ended(&mut self, g: usize, number: u64, ip: IpAddr, end: DisconnectReason) {
        let now = self.now;
        let gateway = &mut self.gateways[g];
        if gateway.number != number {
            return;
        }
        if gateway.suspended_until > now {
            let awake = gateway.suspended_until;
            return self.at(awake, Event::Ended { g, number, ip, end });
        }
        gateway.number += 1;
        gateway.link = None;
        gateway.link_busy_until = now;
        gateway.subscription.on_disconnected(now, ip, gateway.attempt_started_at, end);
        self.at(now, Event::Dial(g));
    }

    /// A gateway's process is killed and begins anew: it knows nothing.
    pub fn restart_gateway(&mut self, g: usize) {
        let now = self.now;
        if let Some(link) = self.gateways[g].link {
            self.at(now.max(self.gateways[g].isolated_until) + MS, Event::Unlinked { link, g });
        }
        self.gateways[g].restart();
        let at = now + self.rng.u64(1..100) * MS;
        self.at(at, Event::Dial(g));
    }

    fn subscription_heartbeat(&mut self, g: usize, link: Link) -> Result<(), Violation> {
        let (n, now) = (link.machine, self.now);
        if self.machines[n].starts != link.machine_start || !self.machines[n].is_up() {
            return Ok(());
        }
        if let Some(thaws) = self.thaws(n) {
            self.at(thaws, Event::SubscriptionHeartbeat { g, link });
            return Ok(());
        }
        let name = self.gateways[g].name.clone();
        if let Some(Some(pulse)) =
            self.machines[n].with(|p| p.heartbeat_update(now, &name, link.remote_number))
        {
            self.at(now + UPDATE_INTERVAL, Event::SubscriptionHeartbeat { g, link });
            self.update_subscriber(g, n);
            self.send_down(g, n, pulse);
        }
        self.work(n)
    }

    /// Whatever this control node has to tell a gateway that follows it.
    fn update_subscriber(&mut self, g: usize, n: usize) {
        let Some(link) =
            self.gateways[g].link.filter(|l| l.machine == n && l.machine_start == self.machines[n].starts)
        else {
            return;
        };
        let (now, name) = (self.now, self.gateways[g].name.clone());
        if let Some(Some(news)) = self.machines[n].with(|p| p.next_update(now, &name, link.remote_number)) {
            self.send_down(g, n, news);
        }
        while let Some(Some(part)) = self.machines[n].with(|p| p.next_chunk(&name, link.remote_number)) {
            self.send_down(g, n, part);
        }
    }

    fn send_down(&mut self, g: usize, n: usize, down: GatewayUpdate) {
        let Some(link) = self.gateways[g].link.filter(|l| l.machine == n) else { return };
        let now = self.now;
        let delay = MS / 2 + self.rng.u64(..2 * MS);
        let gateway = &mut self.gateways[g];
        // What is sent while it is isolated comes behind that, if the connection still stands.
        gateway.link_busy_until = gateway.link_busy_until.max(gateway.isolated_until);
        let at = gateway.arrives(now, bytes(&down), delay);
        self.at(at, Event::Down { g, number: link.number, down: Box::new(down) });
    }

    fn down(&mut self, g: usize, number: u64, down: Box<GatewayUpdate>) {
        let now = self.now;
        let gateway = &mut self.gateways[g];
        if gateway.suspended_until > now {
            let awake = gateway.suspended_until;
            return self.at(awake, Event::Down { g, number, down });
        }
        let Some(link) = gateway.link.filter(|l| l.number == number) else { return };
        if gateway.isolated_until > now {
            let joined = gateway.isolated_until;
            return self.at(joined, Event::Down { g, number, down });
        }
        gateway.last_heard_at = now;
        for effect in gateway.subscription.on_update(now, *down, Vec::new) {
            match effect {
                subscription::Effect::Changed(news) => {
                    self.seen.push_back(Observation::ViewChanged { g, changes: news })
                }
                subscription::Effect::LeaseGrant(lent) => {
                    self.seen.push_back(Observation::Granted { g, lent })
                }
                subscription::Effect::Send(up) => self.send_to_control_node(g, link, up),
                subscription::Effect::Disconnect(end) => return self.end_link(g, end),
            }
        }
    }

    /// A gateway says something to the control node that it follows.
    pub fn send_to_control_node(&mut self, g: usize, link: Link, up: GatewayMessage) {
        let joined = self.now.max(self.gateways[g].isolated_until);
        let delay = MS / 2 + self.rng.u64(..2 * MS);
        self.at(joined + delay, Event::Up { g, link, up: Box::new(up) });
    }

    /// Who leads, as the newest term has it.
    pub fn leader(&self) -> Option<usize> {
        let leads = (0..self.machines.len()).filter(|n| self.machines[*n].is_leader());
        leads.max_by_key(|n| self.machines[*n].leadership().map(|d| d.term))
    }
}

fn ip(n: usize) -> IpAddr {
    address(n).parse().expect("an address")
}

/// Bytes of a message on a link.
fn size(peer: &ControlMessage) -> u64 {
    let word = |said: &EntryPayload| match said {
        EntryPayload::Command(word) => word.len() + 16,
        EntryPayload::Configuration(members) => 32 * members.len(),
        EntryPayload::JointConfiguration { old, new } => 32 * (old.len() + new.len()),
        EntryPayload::Noop => 8,
    };
    let many = match peer {
        ControlMessage::Consensus(message) => match &message.body {
            MessageBody::AppendEntries { entries, .. } => entries.iter().map(|e| word(&e.payload)).sum(),
            MessageBody::Chunk { bytes, .. } => bytes.len(),
            _ => 0,
        },
        ControlMessage::Heartbeats { changed: facts, unchanged: again } => {
            100 * facts.len() + 20 * again.len()
        }
        ControlMessage::Propose { command: word } => word.len(),
        _ => 0,
    };
    80 + many as u64
}
