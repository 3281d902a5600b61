//! Control nodes, the links among them, their disks, and subscribed gateways, shared by the short and the long
//! workload: what the program's drivers do, on a simulated network. What a workload has to check is passed to it as an
//! [`Observation`].

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

/// Number of scheduled events, most of them messages in flight, that no run in order comes near.
const MAX_SCHEDULED_EVENTS: usize = 30_000;
/// Interval at which a node dials unconnected peers.
const DIAL_INTERVAL: Time = 100 * MS;
/// Time after which a connection attempt to an unresponsive machine is given up.
const CONNECT_TIMEOUT: Time = 200 * MS;
/// Pause of a gateway when it has backed off from all control nodes.
const RETRY_PAUSE: Time = 40 * MS;

/// A scheduled event. `E` is the workload's own event type.
#[derive(Debug)]
pub enum Event<E> {
    MessageArrives {
        from: usize,
        to: usize,
        /// Start counts of both machines when the message was sent.
        machine_starts: (u64, u64),
        sent: Time,
        message: Box<ControlMessage>,
    },
    Wake(usize),
    /// The disk of a machine has completed a write, in this run of the machine's process.
    WriteCompleted(usize, u64, u64),
    Start(usize),
    /// A control node, in this run of its process, dials the others and sends them its greeting.
    DialPeers(usize, u64),
    /// A gateway looks for a control node to subscribe to.
    Dial(usize),
    /// A gateway's connection attempt with this number has succeeded.
    Connected {
        g: usize,
        number: u64,
        ip: IpAddr,
    },
    /// A connection attempt or a link has ended.
    Disconnected {
        g: usize,
        number: u64,
        ip: IpAddr,
        end: DisconnectReason,
    },
    /// The control node's end of a link learns that the link has ended.
    LinkClosed {
        link: Link,
        g: usize,
    },
    SubscriptionHeartbeat {
        g: usize,
        link: Link,
    },
    UpdateArrives {
        g: usize,
        number: u64,
        update: Box<GatewayUpdate>,
    },
    GatewayMessageArrives {
        g: usize,
        link: Link,
        message: Box<GatewayMessage>,
    },
    CheckSilence {
        g: usize,
        number: u64,
    },
    ProbeNodes {
        g: usize,
        number: u64,
    },
    Workload(E),
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

/// Something that a workload has to check.
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
    /// A gateway received a lease grant.
    Granted {
        g: usize,
        grant: LeaseGrant,
    },
    /// A gateway's view of the fleet changed.
    ViewChanged {
        g: usize,
        changes: Vec<ViewChange>,
    },
}

/// Function with which a machine validates a configuration.
pub type ValidateFn = fn(&[u8]) -> Result<DeclaredVersions, ConfigurationError>;

/// The simulated control plane and its gateways, with the queue of scheduled events.
pub struct Cluster<E> {
    pub rng: Rng,
    pub defect: Option<Defect>,
    pub now: Time,
    /// True time at the start, in Unix milliseconds.
    pub epoch_unix_ms: UnixMillis,
    queue: BinaryHeap<Scheduled<E>>,
    next_event_number: u64,
    pub machines: Vec<Machine>,
    /// When each machine is woken next.
    wake_times: Vec<Time>,
    pub net: Net,
    pub disks: Disks,
    pub gateways: Vec<Gateway>,
    validate: ValidateFn,
    /// Open links among control nodes, with the start counts of both ends and the time of the last greeting.
    links: BTreeMap<(usize, usize), ((u64, u64), Time)>,
    pub pending_observations: VecDeque<Observation>,
}

impl<E> Cluster<E> {
    pub fn new(rng: Rng, defect: Option<Defect>, validate: ValidateFn) -> Self {
        Cluster {
            rng,
            defect,
            now: 0,
            epoch_unix_ms: 1_000_000_000,
            queue: BinaryHeap::new(),
            next_event_number: 0,
            machines: Vec::new(),
            wake_times: Vec::new(),
            net: Net::default(),
            disks: Disks::default(),
            gateways: Vec::new(),
            validate,
            links: BTreeMap::new(),
            pending_observations: VecDeque::new(),
        }
    }

    /// Adds a machine; it starts at its [`Event::Start`].
    pub fn add(&mut self, can_vote: bool, settings: MachineSettings) -> usize {
        let n = self.machines.len();
        self.machines.push(Machine::new(n, can_vote, settings, self.defect));
        self.wake_times.push(Time::MAX);
        n
    }

    pub fn schedule(&mut self, at: Time, event: Event<E>) {
        self.next_event_number += 1;
        self.queue.push(Scheduled(at, self.next_event_number, event));
    }

    pub fn schedule_workload(&mut self, at: Time, event: E) {
        self.schedule(at, Event::Workload(event));
    }

    /// Removes the next event and advances the clock to its time.
    pub fn pop(&mut self) -> Option<Event<E>> {
        let Scheduled(at, _, event) = self.queue.pop()?;
        self.now = at;
        Some(event)
    }

    /// Schedules the first dial of every gateway.
    pub fn start_gateways(&mut self) {
        for g in 0..self.gateways.len() {
            let at = self.rng.u64(..300) * MS;
            self.schedule(at, Event::Dial(g));
        }
    }

    /// Returns when this machine resumes, if it is frozen.
    fn resumes_at(&self, n: usize) -> Option<Time> {
        Some(self.machines[n].frozen_until).filter(|until| *until > self.now)
    }

    /// Processes an event; a workload's own event is returned to it.
    ///
    /// # Errors
    /// Returns the rule that was broken.
    pub fn step(&mut self, event: Event<E>) -> Result<Option<E>, Violation> {
        if self.queue.len() > MAX_SCHEDULED_EVENTS {
            return Err(Violation::Flood(self.queue.len()));
        }
        match event {
            Event::Workload(event) => return Ok(Some(event)),
            Event::MessageArrives { from, to, machine_starts, sent, message } => {
                if let Some(resumes_at) = self.resumes_at(to) {
                    self.schedule(
                        resumes_at,
                        Event::MessageArrives { from, to, machine_starts, sent, message },
                    );
                } else if self.net.arrives(from, to, sent) && self.machines[to].starts == machine_starts.1 {
                    let now = self.now;
                    // The sender is identified by the connection's greeting.
                    let id = NodeId { name: address(from), disk_id: 0 };
                    self.with_node(to, |node| node.on_control_message(now, &id, *message))?;
                }
            }
            Event::Wake(n) => {
                self.wake_times[n] = Time::MAX;
                self.advance_machine(n)?;
            }
            Event::WriteCompleted(n, machine_start, number) => {
                if self.machines[n].starts == machine_start && self.machines[n].is_up() {
                    if let Some(resumes_at) = self.resumes_at(n) {
                        self.schedule(resumes_at, Event::WriteCompleted(n, machine_start, number));
                    } else {
                        let succeeded = !self.disks.refuses_writes(n, self.now);
                        self.machines[n].complete_write(self.now, number, succeeded);
                        self.advance_machine(n)?;
                    }
                }
            }
            Event::Start(n) => self.start(n)?,
            Event::DialPeers(n, machine_start) => self.greet_others(n, machine_start),
            Event::Dial(g) => self.dial(g),
            Event::Connected { g, number, ip } => self.gateway_connected(g, number, ip)?,
            Event::Disconnected { g, number, ip, end } => self.gateway_disconnected(g, number, ip, end),
            Event::LinkClosed { link, g } => {
                if self.machines[link.machine].starts == link.machine_start {
                    let name = self.gateways[g].name.clone();
                    self.machines[link.machine].with_node(|node| node.unsubscribe(&name, link.remote_number));
                }
            }
            Event::SubscriptionHeartbeat { g, link } => self.subscription_heartbeat(g, link)?,
            Event::UpdateArrives { g, number, update } => self.update_arrives(g, number, update),
            Event::GatewayMessageArrives { g, link, message } => {
                let (to, name, now) = (link.machine, self.gateways[g].name.clone(), self.now);
                if let Some(resumes_at) = self.resumes_at(to) {
                    self.schedule(resumes_at, Event::GatewayMessageArrives { g, link, message });
                } else if self.machines[to].starts == link.machine_start {
                    self.with_node(to, |node| {
                        node.on_gateway_message(now, &name, link.remote_number, *message)
                    })?;
                }
            }
            Event::CheckSilence { g, number } => {
                let gateway = &self.gateways[g];
                let (silence_ends_at, awake_at) =
                    (gateway.last_heard_at + SILENCE_TIMEOUT, gateway.suspended_until);
                if gateway.link.is_some_and(|l| l.number == number) {
                    if silence_ends_at.max(awake_at) > self.now {
                        self.schedule(silence_ends_at.max(awake_at), Event::CheckSilence { g, number });
                    } else {
                        self.close_link(g, DisconnectReason::Lost);
                    }
                }
            }
            Event::ProbeNodes { g, number } => self.probe_nodes(g, number),
        }
        Ok(None)
    }

    // ---- Machines ----

    /// Passes input to a machine, if it runs, and applies the resulting effects.
    ///
    /// # Errors
    /// Returns the rule that was broken.
    pub fn with_node(&mut self, n: usize, act: impl FnOnce(&mut ControlNode)) -> Result<(), Violation> {
        if self.machines[n].is_running(self.now) {
            self.machines[n].with_node(act);
            self.advance_machine(n)?;
        }
        Ok(())
    }

    /// Advances a machine, if it runs.
    ///
    /// # Errors
    /// Returns the rule that was broken.
    pub fn advance_machine(&mut self, n: usize) -> Result<(), Violation> {
        if !self.machines[n].is_running(self.now) {
            return Ok(());
        }
        self.apply_effects(n)?;
        let (now, wall_clock_ms) = (self.now, self.machines[n].wall_clock_ms(self.now, self.epoch_unix_ms));
        if self.machines[n].node().is_some_and(|node| node.has_ready_input() || node.next_due() <= now) {
            self.machines[n].with_node(|node| node.advance(now, wall_clock_ms));
            self.apply_effects(n)?;
        }
        let due = self.machines[n].next_due();
        if due < self.wake_times[n] {
            self.wake_times[n] = due.max(now + MS);
            self.schedule(due.max(now + MS), Event::Wake(n));
        }
        Ok(())
    }

    fn apply_effects(&mut self, n: usize) -> Result<(), Violation> {
        let mut must_notify = false;
        loop {
            let (effects, applied) = self.machines[n].effects()?;
            for applied in applied {
                if let AppliedRecord::Command(index, command) = applied {
                    self.pending_observations.push_back(Observation::Applied { index, command });
                }
            }
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::SendToNode { to, message } => self.send_to_node(n, machine_index(&to), message),
                    Effect::Broadcast { message } => {
                        let all: Vec<usize> = self.other_machines(n);
                        all.into_iter().for_each(|to| self.send_to_node(n, to, message.clone()));
                    }
                    Effect::SendToGateway { gateway, update } => {
                        if let Some(g) = self.gateways.iter().position(|g| g.name == gateway) {
                            self.send_update(g, n, update);
                        }
                    }
                    Effect::ChunkWindowOpened { gateway } => {
                        if let Some(g) = self.gateways.iter().position(|g| g.name == gateway) {
                            self.update_subscriber(g, n);
                        }
                    }
                    Effect::NotifySubscribers => must_notify = true,
                    Effect::Persist { number, request } => {
                        let (machine_start, completes_at) = (
                            self.machines[n].starts,
                            self.disks.write_completes_at(n, self.now, &mut self.rng),
                        );
                        self.machines[n].begin_write(number, request);
                        self.schedule(completes_at, Event::WriteCompleted(n, machine_start, number));
                    }
                    Effect::Validate { change, body } => {
                        let (result, now) = ((self.validate)(&body), self.now);
                        self.machines[n].with_node(|node| node.on_validated(now, change, Some(result)));
                    }
                    Effect::Reply { call, reply } => {
                        self.pending_observations.push_back(Observation::Answered { n, call, reply })
                    }
                }
            }
        }
        if must_notify {
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
        self.wake_times[n] = Time::MAX;
        let (machine_start, dial_delay) = (self.machines[n].starts, self.rng.u64(..DIAL_INTERVAL));
        self.schedule(now + dial_delay, Event::DialPeers(n, machine_start));
        self.advance_machine(n)
    }

    /// Simulates a loss of power or a killed process; the links to the machine end.
    pub fn stop(&mut self, n: usize) {
        if !self.machines[n].is_up() {
            return;
        }
        let completed_writes = self.rng.usize(..=self.machines[n].pending_write_count());
        self.machines[n].stop(completed_writes);
        for g in 0..self.gateways.len() {
            if self.gateways[g].link.is_some_and(|l| l.machine == n) {
                let (number, ip) = (self.gateways[g].number, ip(n));
                // An isolated gateway does not notice.
                if self.gateways[g].isolated_until <= self.now {
                    self.schedule(
                        self.now + MS,
                        Event::Disconnected { g, number, ip, end: DisconnectReason::Lost },
                    );
                }
            }
        }
    }

    // ---- Links among control nodes ----

    /// Returns the other machines that this one knows of.
    fn other_machines(&self, n: usize) -> Vec<usize> {
        let known = self.machines[n].node().map(ControlNode::known_nodes).unwrap_or_default();
        let known = known.iter().map(|(name, _)| machine_index(name));
        known.filter(|m| *m != n && *m < self.machines.len()).collect()
    }

    fn greet_others(&mut self, n: usize, machine_start: u64) {
        if self.machines[n].starts != machine_start || !self.machines[n].is_up() {
            return;
        }
        let now = self.now;
        let next = self.resumes_at(n).unwrap_or(now + DIAL_INTERVAL);
        self.schedule(next, Event::DialPeers(n, machine_start));
        if !self.machines[n].is_running(now) {
            return;
        }
        // Drawn from the machine, so that the other draws of a seed stay the same.
        self.machines[n].reload_settings(now, (n % 4) as f64 / 4.0);
        for m in self.other_machines(n) {
            let machine_starts = (machine_start, self.machines[m].starts);
            let last_greeting =
                self.links.get(&(n, m)).filter(|(l, at)| *l == machine_starts && self.net.arrives(n, m, *at));
            let last_greeting = last_greeting.map(|(_, at)| *at);
            if last_greeting.is_some_and(|at| now < at + HELLO_INTERVAL) {
                continue;
            }
            if last_greeting.is_none()
                && (!self.machines[m].is_running(now) || !self.net.is_connected(n, m, now))
            {
                self.links.remove(&(n, m));
                continue;
            }
            self.links.insert((n, m), (machine_starts, now));
            let wall_clock_ms = self.machines[n].wall_clock_ms(now, self.epoch_unix_ms);
            let Some(node) = self.machines[n].node() else { continue };
            let (heartbeats, hello) = (node.all_heartbeats(now), node.hello(wall_clock_ms));
            if last_greeting.is_none() {
                self.send_to_node(n, m, heartbeats);
            }
            self.send_to_node(n, m, hello);
        }
    }

    fn send_to_node(&mut self, from: usize, to: usize, message: ControlMessage) {
        if to >= self.machines.len() || !self.machines[to].is_up() {
            return;
        }
        let machine_starts = (self.machines[from].starts, self.machines[to].starts);
        if self.links.get(&(from, to)).is_none_or(|(link_starts, _)| *link_starts != machine_starts) {
            return;
        }
        let now = self.now;
        for at in self.net.send(now, (from, to), size(&message), &mut self.rng) {
            self.schedule(
                at,
                Event::MessageArrives {
                    from,
                    to,
                    machine_starts,
                    sent: now,
                    message: Box::new(message.clone()),
                },
            );
        }
    }

    // ---- Gateways ----

    fn dial(&mut self, g: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[g]);
        if gateway.suspended_until > now {
            let awake_at = gateway.suspended_until;
            return self.schedule(awake_at, Event::Dial(g));
        }
        let seeds = gateway.seeds.clone();
        let rng = &mut self.rng;
        let Some(NextNode { ip, is_backed_off, .. }) =
            gateway.subscription.next_node(now, &seeds, |n| rng.usize(..n))
        else {
            return self.schedule(now + RETRY_PAUSE, Event::Dial(g));
        };
        gateway.number += 1;
        let (number, n) = (gateway.number, machine_index(&ip.to_string()));
        let is_isolated = gateway.isolated_until > now;
        let wait = if is_backed_off { RETRY_PAUSE + self.rng.u64(..RETRY_PAUSE) } else { 0 };
        self.gateways[g].attempt_started_at = now + wait;
        let exists = n < self.machines.len() && !self.machines[n].is_removed;
        let event = match exists {
            true if !is_isolated && self.machines[n].is_up() => Event::Connected { g, number, ip },
            true if !is_isolated => Event::Disconnected { g, number, ip, end: DisconnectReason::Refused },
            _ => {
                let timed_out = Event::Disconnected { g, number, ip, end: DisconnectReason::TimedOut };
                return self.schedule(now + wait + CONNECT_TIMEOUT, timed_out);
            }
        };
        let delay = MS + self.rng.u64(..2 * MS);
        self.schedule(now + wait + delay, event);
    }

    /// Sends the greeting on an established connection. A frozen machine receives it later.
    fn gateway_connected(&mut self, g: usize, number: u64, ip: IpAddr) -> Result<(), Violation> {
        let now = self.now;
        let n = machine_index(&ip.to_string());
        if self.gateways[g].number != number {
            return Ok(());
        }
        if !self.machines[n].is_up() || self.gateways[g].isolated_until > now {
            self.gateway_disconnected(g, number, ip, DisconnectReason::Lost);
            return Ok(());
        }
        if let Some(resumes_at) = self.resumes_at(n) {
            // The greeting waits in the machine's socket.
            let event = match resumes_at < now + SILENCE_TIMEOUT {
                true => Event::Connected { g, number, ip },
                false => Event::Disconnected { g, number, ip, end: DisconnectReason::Lost },
            };
            self.schedule(resumes_at.min(now + SILENCE_TIMEOUT), event);
            return Ok(());
        }
        let gateway = &mut self.gateways[g];
        let Greeting::Gateway { name, offset, configuration_index, contact_number, .. } =
            gateway.subscription.on_connected(now, ip, true)
        else {
            return Ok(());
        };
        gateway.last_heard_at = now;
        let machine_start = self.machines[n].starts;
        let remote_number = self.machines[n]
            .with_node(|node| node.subscribe(&name, offset, configuration_index, contact_number))
            .unwrap_or(0);
        let link = Link { number, machine: n, machine_start, remote_number };
        self.gateways[g].link = Some(link);
        self.schedule(now + SILENCE_TIMEOUT, Event::CheckSilence { g, number });
        self.schedule(now + PROBE_INTERVAL, Event::ProbeNodes { g, number });
        self.schedule(now, Event::SubscriptionHeartbeat { g, link });
        self.update_subscriber(g, n);
        Ok(())
    }

    /// Asks the nodes that the gateway failed to reach for their last contact with a majority, while this link is
    /// open.
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
        self.schedule(next, Event::ProbeNodes { g, number });
    }

    /// Returns when this machine was last in contact with a majority, if it can answer.
    fn quorum_contact(&mut self, n: usize) -> Option<Time> {
        let now = self.now;
        let machine =
            self.machines.get_mut(n).filter(|machine| !machine.is_removed && machine.is_running(now))?;
        machine.with_node(|node| node.last_quorum_contact(now)).flatten()
    }

    /// Closes the gateway's link from the gateway's side.
    fn close_link(&mut self, g: usize, end: DisconnectReason) {
        let Some(link) = self.gateways[g].link else { return };
        let (reachable_at, ip) = (self.now.max(self.gateways[g].isolated_until), ip(link.machine));
        self.schedule(reachable_at + MS, Event::LinkClosed { link, g });
        self.gateway_disconnected(g, link.number, ip, end);
    }

    fn gateway_disconnected(&mut self, g: usize, number: u64, ip: IpAddr, end: DisconnectReason) {
        let now = self.now;
        let gateway = &mut self.gateways[g];
        if gateway.number != number {
            return;
        }
        if gateway.suspended_until > now {
            let awake_at = gateway.suspended_until;
            return self.schedule(awake_at, Event::Disconnected { g, number, ip, end });
        }
        gateway.number += 1;
        gateway.link = None;
        gateway.link_busy_until = now;
        gateway.subscription.on_disconnected(now, ip, gateway.attempt_started_at, end);
        self.schedule(now, Event::Dial(g));
    }

    /// Simulates a killed and restarted gateway process, which has no state.
    pub fn restart_gateway(&mut self, g: usize) {
        let now = self.now;
        if let Some(link) = self.gateways[g].link {
            self.schedule(now.max(self.gateways[g].isolated_until) + MS, Event::LinkClosed { link, g });
        }
        self.gateways[g].restart();
        let at = now + self.rng.u64(1..100) * MS;
        self.schedule(at, Event::Dial(g));
    }

    fn subscription_heartbeat(&mut self, g: usize, link: Link) -> Result<(), Violation> {
        let (n, now) = (link.machine, self.now);
        if self.machines[n].starts != link.machine_start || !self.machines[n].is_up() {
            return Ok(());
        }
        if let Some(resumes_at) = self.resumes_at(n) {
            self.schedule(resumes_at, Event::SubscriptionHeartbeat { g, link });
            return Ok(());
        }
        let name = self.gateways[g].name.clone();
        if let Some(Some(heartbeat)) =
            self.machines[n].with_node(|node| node.heartbeat_update(now, &name, link.remote_number))
        {
            self.schedule(now + UPDATE_INTERVAL, Event::SubscriptionHeartbeat { g, link });
            self.update_subscriber(g, n);
            self.send_update(g, n, heartbeat);
        }
        self.advance_machine(n)
    }

    /// Sends a subscribed gateway every update that this control node has for it.
    fn update_subscriber(&mut self, g: usize, n: usize) {
        let Some(link) =
            self.gateways[g].link.filter(|l| l.machine == n && l.machine_start == self.machines[n].starts)
        else {
            return;
        };
        let (now, name) = (self.now, self.gateways[g].name.clone());
        if let Some(Some(update)) =
            self.machines[n].with_node(|node| node.next_update(now, &name, link.remote_number))
        {
            self.send_update(g, n, update);
        }
        while let Some(Some(chunk)) =
            self.machines[n].with_node(|node| node.next_chunk(&name, link.remote_number))
        {
            self.send_update(g, n, chunk);
        }
    }

    fn send_update(&mut self, g: usize, n: usize, update: GatewayUpdate) {
        let Some(link) = self.gateways[g].link.filter(|l| l.machine == n) else { return };
        let now = self.now;
        let delay = MS / 2 + self.rng.u64(..2 * MS);
        let gateway = &mut self.gateways[g];
        // An update sent during the isolation arrives after it, if the connection is still open.
        gateway.link_busy_until = gateway.link_busy_until.max(gateway.isolated_until);
        let at = gateway.arrives(now, bytes(&update), delay);
        self.schedule(at, Event::UpdateArrives { g, number: link.number, update: Box::new(update) });
    }

    fn update_arrives(&mut self, g: usize, number: u64, update: Box<GatewayUpdate>) {
        let now = self.now;
        let gateway = &mut self.gateways[g];
        if gateway.suspended_until > now {
            let awake_at = gateway.suspended_until;
            return self.schedule(awake_at, Event::UpdateArrives { g, number, update });
        }
        let Some(link) = gateway.link.filter(|l| l.number == number) else { return };
        if gateway.isolated_until > now {
            let reachable_at = gateway.isolated_until;
            return self.schedule(reachable_at, Event::UpdateArrives { g, number, update });
        }
        gateway.last_heard_at = now;
        for effect in gateway.subscription.on_update(now, *update, Vec::new) {
            match effect {
                subscription::Effect::Changed(changes) => {
                    self.pending_observations.push_back(Observation::ViewChanged { g, changes })
                }
                subscription::Effect::LeaseGrant(grant) => {
                    self.pending_observations.push_back(Observation::Granted { g, grant })
                }
                subscription::Effect::Send(message) => self.send_to_control_node(g, link, message),
                subscription::Effect::Disconnect(end) => return self.close_link(g, end),
            }
        }
    }

    /// Sends a message from a gateway to the control node that it is subscribed to.
    pub fn send_to_control_node(&mut self, g: usize, link: Link, message: GatewayMessage) {
        let reachable_at = self.now.max(self.gateways[g].isolated_until);
        let delay = MS / 2 + self.rng.u64(..2 * MS);
        self.schedule(
            reachable_at + delay,
            Event::GatewayMessageArrives { g, link, message: Box::new(message) },
        );
    }

    /// Returns the leader of the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.machines.len()).filter(|n| self.machines[*n].is_leader());
        leaders.max_by_key(|n| self.machines[*n].leadership().map(|d| d.term))
    }
}

fn ip(n: usize) -> IpAddr {
    address(n).parse().expect("valid address")
}

/// Returns the approximate size of a message on a link, in bytes.
fn size(message: &ControlMessage) -> u64 {
    let payload_size = |payload: &EntryPayload| match payload {
        EntryPayload::Command(command) => command.len() + 16,
        EntryPayload::Configuration(members) => 32 * members.len(),
        EntryPayload::JointConfiguration { old, new } => 32 * (old.len() + new.len()),
        EntryPayload::Noop => 8,
    };
    let content_size = match message {
        ControlMessage::Consensus(consensus_message) => match &consensus_message.body {
            MessageBody::AppendEntries { entries, .. } => {
                entries.iter().map(|e| payload_size(&e.payload)).sum()
            }
            MessageBody::Chunk { bytes, .. } => bytes.len(),
            _ => 0,
        },
        ControlMessage::Heartbeats { changed, unchanged } => 100 * changed.len() + 20 * unchanged.len(),
        ControlMessage::Propose { command } => command.len(),
        _ => 0,
    };
    80 + content_size as u64
}
