//! The short workload, a run of seconds: control nodes, gateways with a hot tenant and a trial tenant, operators,
//! leaving backends, and faults, on a network that does not preserve order.

use crate::change_history::validate;
use crate::cluster::{Cluster, Event, Observation as ClusterObservation};
use crate::continuous_reader::{ContinuousReader, READ_INTERVAL};
use crate::defect::Defect;
use crate::gateways::Gateway;
use crate::machine::{address, MachineSettings};
use crate::rules::{Observations, Violation};
use crate::story::Story;
use crate::trial_configuration;
use crate::trial_tenant::TrialTenant;
use crate::{Time, MS, SHORT_FALLBACK_LIFETIME};
use control_node::Reply;
use control_state::Command;
use fastrand::Rng;
use messages::GatewayMessage;
use quota::{Decision, QuotaClient, FALLBACK_LIFETIME};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use subscription::ViewChange;

/// Duration of a run, and of the calm period at its end.
const RUN_TIME: Time = 16_000 * MS;
const CALM_TIME: Time = 4_000 * MS;
/// Earliest time of a fault: the control plane is bootstrapped by then.
const BOOTSTRAPPED_BY: Time = 2_500 * MS;
const GATEWAYS: usize = 5;
/// Minimum time between two losses of a disk: the machine has come back and caught up by then.
const CATCH_UP: Time = 4_000 * MS;

/// An event of the workload itself.
#[derive(Debug)]
pub enum WorkloadEvent {
    Shutdown(usize),
    Kill(usize, Time),
    /// A one-way partition until a time.
    Partition(usize, usize, Time),
    Operator,
    Fault,
    GatewayRequests,
    ContinuousReader,
}

/// A call that waits for its answer.
#[derive(Debug)]
enum Call {
    Change { base: u32, version: u32, body: Vec<u8> },
    Drain { instance: String },
    Read { acknowledged: u32, drains: BTreeSet<String>, is_continuous: bool },
}

/// State of the short workload.
pub struct ShortWorkload {
    system: Cluster<WorkloadEvent>,
    quota_clients: Vec<QuotaClient>,
    fallback_lifetime: Time,
    waiting_for_units: Vec<Vec<Time>>,
    trial_tenant: TrialTenant,
    /// Rate of the trial tenant's requests per second.
    trial_request_rate: f64,
    /// When a clock that had jumped was last correct again.
    clock_corrected_at: Time,
    restored_at: Vec<Option<Time>>,
    observations: Observations,
    reader: ContinuousReader,
    /// The newest version that operators know of.
    known_version: u32,
    version: u32,
    instance: u32,
    /// Rate of the hot tenant's requests per second, and when they start: its bucket is full by then.
    hot_request_rate: f64,
    hot_start: Time,
    /// Whether traffic has started: all gateways know of each other.
    has_traffic: bool,
    call: u64,
    calls: BTreeMap<u64, Call>,
    pub story: Story,
    last_ack: Time,
    /// The newest version that was acknowledged a second before the end.
    settled_version: u32,
}

impl Deref for ShortWorkload {
    type Target = Cluster<WorkloadEvent>;
    fn deref(&self) -> &Cluster<WorkloadEvent> {
        &self.system
    }
}

impl DerefMut for ShortWorkload {
    fn deref_mut(&mut self) -> &mut Cluster<WorkloadEvent> {
        &mut self.system
    }
}

impl ShortWorkload {
    pub fn new(seed: u64, defect: Option<Defect>) -> Self {
        let mut rng = Rng::with_seed(seed);
        let count = if rng.bool() { 3 } else { 5 };
        let (trial_request_rate, hot_request_rate) =
            (5.0 + rng.f64() * 90.0, rng.f64() * 5.0 * trial_configuration::HOT_RATE);
        let hot_start = if rng.bool() { 0 } else { rng.u64(3_000..9_000) * MS };
        let is_short = rng.bool();
        let fallback_lifetime = if is_short { SHORT_FALLBACK_LIFETIME } else { FALLBACK_LIFETIME };
        let mut system = Cluster::new(rng, defect, validate);
        (system.net.is_unordered, system.epoch_unix_ms) = (true, trial_configuration::EPOCH_UNIX_MS);
        let seeds = (0..3).map(address).collect();
        let settings = MachineSettings {
            seeds,
            is_initial_start: true,
            zone: String::new(),
            read_terms: trial_configuration::terms,
            snapshot_threshold: 24,
            fallback_lifetime,
            min_voters: count,
        };
        // The last machine has no disk.
        for n in 0..=count {
            let n = system.add(n < count, settings.clone());
            system.machines[n].clock_skew_ms = system.rng.i64(-20..=20);
        }
        for g in 0..GATEWAYS {
            system.gateways.push(Gateway::new(g, "", &[g % 3, (g + 1) % 3]));
        }
        ShortWorkload {
            restored_at: vec![None; system.machines.len()],
            system,
            fallback_lifetime,
            quota_clients: (0..GATEWAYS).map(|_| quota_client(0, fallback_lifetime, defect)).collect(),
            waiting_for_units: vec![Vec::new(); GATEWAYS],
            trial_tenant: TrialTenant::new(GATEWAYS),
            trial_request_rate,
            clock_corrected_at: 0,
            observations: Observations::default(),
            reader: ContinuousReader::default(),
            known_version: 0,
            version: 0,
            instance: 0,
            hot_request_rate,
            hot_start,
            has_traffic: false,
            call: 0,
            calls: BTreeMap::new(),
            story: Story::default(),
            last_ack: 0,
            settled_version: 0,
        }
    }

    fn log(&mut self, line: String) {
        if self.story.lines.len() >= 400 {
            self.story.lines.pop_front();
        }
        let now = self.now as f64 / 1e6;
        self.story.lines.push_back(format!("{now:9.3} {line}"));
    }

    /// Runs to the end.
    pub fn play(mut self) -> Result<Story, Box<(Violation, Story)>> {
        match self.run() {
            Ok(()) => Ok(self.end()),
            Err(broken) => Err(Box::new((broken, self.end()))),
        }
    }

    fn end(mut self) -> Story {
        self.story.trial = self.observations.trial_counts();
        self.story.recovery_times = std::mem::take(&mut self.reader).into_recovery_times();
        let Observations { acknowledged, reads, hot_passed, .. } = self.observations;
        (self.story.acknowledged, self.story.reads, self.story.hot_passed) =
            (acknowledged, reads, hot_passed);
        self.story
    }

    fn run(&mut self) -> Result<(), Violation> {
        for n in 0..self.machines.len() {
            let at = self.rng.u64(..300) * MS;
            self.schedule(at, Event::Start(n));
        }
        self.start_gateways();
        for event in [WorkloadEvent::Operator, WorkloadEvent::GatewayRequests] {
            self.schedule_workload(200 * MS, event);
        }
        self.schedule_workload(BOOTSTRAPPED_BY, WorkloadEvent::Fault);
        self.schedule_workload(BOOTSTRAPPED_BY, WorkloadEvent::ContinuousReader);
        while let Some(event) = self.pop() {
            if self.now > RUN_TIME {
                break;
            }
            self.story.steps += 1;
            if self.now < RUN_TIME - 1000 * MS {
                self.settled_version = self.observations.newest();
            }
            let interruptible = interruptible_machine(&event);
            if let Some(event) = self.system.step(event)? {
                self.step(event)?;
            }
            self.process_observations()?;
            if let Some(n) = interruptible.filter(|_| self.now > BOOTSTRAPPED_BY && !self.is_calm()) {
                self.maybe_kill(n);
            }
            self.check_coordinators()?;
        }
        self.observations.check_trial_at_end(self.now)?;
        if self.now.saturating_sub(self.last_ack) > CALM_TIME {
            let cores = self.machines.iter().filter_map(|n| n.raft());
            let cores: Vec<String> = cores.map(|c| format!("{c:?}")).collect();
            cores.into_iter().for_each(|c| self.log(c));
            return Err(Violation::Stuck);
        }
        // A second suffices for every node, voter or not.
        let behind = self.machines.iter().find(|n| n.is_up() && n.version() < self.settled_version);
        behind.map_or(Ok(()), |n| Err(Violation::Behind(n.id.to_string())))
    }

    fn is_calm(&self) -> bool {
        self.now + CALM_TIME > RUN_TIME
    }

    /// Occasionally kills a machine in the middle of its work: some of its pending writes are done, and nothing that
    /// depends on the others was sent.
    fn maybe_kill(&mut self, n: usize) {
        if self.machines[n].is_up() && self.rng.u16(..4000) == 0 {
            let duration = self.rng.u64(50..900) * MS;
            self.kill(n, duration);
        }
    }

    fn check_coordinators(&mut self) -> Result<(), Violation> {
        let now = self.now;
        // A frozen node grants nothing: it reads the clock when it resumes.
        let awake = self.machines.iter().filter(|n| n.frozen_until <= now);
        let mut all = awake.filter_map(|n| n.node()?.coordinator_term(now));
        match (all.next(), all.next()) {
            (Some(a), Some(b)) => Err(Violation::TwoLend(a, b)),
            _ => Ok(()),
        }
    }

    fn step(&mut self, event: WorkloadEvent) -> Result<(), Violation> {
        let now = self.now;
        match event {
            WorkloadEvent::Shutdown(n) => self.with_node(n, |node| node.begin_shutdown(now)),
            WorkloadEvent::Kill(n, duration) => {
                self.kill(n, duration);
                Ok(())
            }
            WorkloadEvent::Partition(from, to, until) => {
                self.net.partition(from, to, until);
                Ok(())
            }
            WorkloadEvent::Operator => self.call_as_operator(),
            WorkloadEvent::Fault => {
                self.inject_fault();
                Ok(())
            }
            WorkloadEvent::GatewayRequests => self.send_requests(),
            WorkloadEvent::ContinuousReader => self.read_continuously(),
        }
    }

    fn process_observations(&mut self) -> Result<(), Violation> {
        let now = self.now;
        while let Some(observation) = self.system.pending_observations.pop_front() {
            match observation {
                ClusterObservation::Applied { index, command } => {
                    self.observations.applied(now, index, &command)?
                }
                ClusterObservation::Answered { n, call, reply } => self.on_reply(n, call, reply)?,
                ClusterObservation::Granted { g, grant } => drop(self.quota_clients[g].on_grant(now, &grant)),
                ClusterObservation::ViewChanged { g, changes } => {
                    changes.into_iter().for_each(|change| self.view_changed(g, &change))
                }
            }
        }
        Ok(())
    }

    /// Applies a change of a gateway's view to its quota client; the view never goes back to an older state.
    fn view_changed(&mut self, g: usize, change: &ViewChange) {
        let now = self.now;
        match change {
            ViewChange::Configuration(c) => {
                if trial_configuration::trial_end(&c.body).is_some() {
                    self.trial_tenant.unaware.remove(&g);
                } else {
                    self.trial_tenant.unaware.insert(g);
                }
                self.quota_clients[g].set_limits(now, &trial_configuration::terms(&c.body).limits);
            }
            ViewChange::Gateways => {
                let gateway = &self.system.gateways[g];
                let all = gateway.subscription.view().gateways();
                let is_one = all.contains(&gateway.name);
                self.quota_clients[g].set_gateway_count(if is_one { all.len() as u32 } else { 0 });
            }
            ViewChange::BackendReady(_) | ViewChange::BackendDraining(_) | ViewChange::BackendRemoved(_) => {}
        }
    }

    /// Makes a call to a random control node: operators change and read the configuration, backends leave.
    fn call_as_operator(&mut self) -> Result<(), Violation> {
        let (now, next) = (self.now, self.rng.u64(10..120) * MS);
        self.schedule_workload(now + next, WorkloadEvent::Operator);
        let count = self.machines.len();
        let mut n = self.rng.usize(..count);
        // In the calm period the operators find the leader, as they would by redirects; random choice may miss it for
        // a long time.
        if self.is_calm() {
            n = self.leader().unwrap_or(n);
        }
        if !self.machines[n].is_running(now) {
            return Ok(());
        }
        self.call += 1;
        let call = self.call;
        match self.rng.u8(..4) {
            // Some changes share their base with another.
            0 | 1 => {
                self.version += 1;
                let old = self.rng.u8(..4) == 0;
                let state = self.machines[n].state();
                let held = state
                    .and_then(|b| b.configuration())
                    .and_then(|c| trial_configuration::trial_end(&c.body));
                let base = if old { self.known_version } else { self.machines[n].version() };
                let ends = trial_configuration::next_trial_end(&mut self.rng, now, held);
                let version = self.version.max(base + 1);
                let body = trial_configuration::body(base, version, ends);
                self.calls.insert(call, Call::Change { base, version, body: body.clone() });
                self.with_node(n, |node| node.replace_configuration(now, call, body.into()))
            }
            2 => {
                self.instance += 1;
                let instance = format!("i{}", self.instance);
                self.calls.insert(call, Call::Drain { instance: instance.clone() });
                self.with_node(n, |node| node.deregister(now, call, &instance))
            }
            _ => {
                let (acknowledged, drains) = (self.observations.newest(), self.observations.drains());
                self.calls.insert(call, Call::Read { acknowledged, drains, is_continuous: false });
                self.with_node(n, |node| node.read_configuration(now, call))
            }
        }
    }

    /// Sends one more read, to the next machine.
    fn read_continuously(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.schedule_workload(now + READ_INTERVAL, WorkloadEvent::ContinuousReader);
        let is_healthy = self.is_healthy();
        self.reader.observe_health(now, is_healthy);
        let n = self.reader.next_machine(self.system.machines.len());
        if !self.machines[n].is_running(now) {
            return Ok(());
        }
        self.call += 1;
        let call = self.call;
        let (acknowledged, drains) = (self.observations.newest(), self.observations.drains());
        self.calls.insert(call, Call::Read { acknowledged, drains, is_continuous: true });
        self.with_node(n, |node| node.read_configuration(now, call))
    }

    /// Returns whether a majority of the machines that may vote runs, and all running machines are connected both
    /// ways.
    fn is_healthy(&self) -> bool {
        let now = self.now;
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|n| self.machines[*n].is_running(now)).collect();
        let electorate = self.machines.iter().filter(|machine| machine.can_vote).count();
        let voters_running = running.iter().filter(|n| self.machines[**n].can_vote).count();
        let are_connected = |a: &usize| running.iter().all(|b| a == b || self.net.is_connected(*a, *b, now));
        voters_running > electorate / 2 && running.iter().all(are_connected)
    }

    fn on_reply(&mut self, n: usize, call: u64, reply: Reply) -> Result<(), Violation> {
        match (self.calls.remove(&call), reply) {
            (Some(Call::Change { base, version, body }), Reply::Acknowledged) => {
                self.known_version = self.known_version.max(version);
                self.last_ack = self.now;
                self.observations.acknowledge(&Command::ReplaceConfiguration { base, version, body })
            }
            (Some(Call::Drain { instance }), Reply::Acknowledged) => {
                self.last_ack = self.now;
                self.observations.acknowledge(&Command::Drain { instance })
            }
            (Some(Call::Read { acknowledged, drains, is_continuous }), Reply::Current(held)) => {
                let version = held.map_or(0, |c| c.version);
                if is_continuous {
                    if let Some(time) = self.reader.on_answer(self.now) {
                        self.log(format!("first read answered {} ms after the last fault", time / MS));
                    }
                } else {
                    (self.known_version, self.last_ack) = (self.known_version.max(version), self.now);
                }
                let state = self.system.machines[n].state();
                let knows = |d: &str| state.is_some_and(|b| b.is_draining(d));
                self.observations.read(version, acknowledged, knows, &drains)
            }
            (_, Reply::Conflict { current }) => {
                (self.known_version, self.last_ack) = (self.known_version.max(current), self.now);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn inject_fault(&mut self) {
        if self.is_calm() {
            self.net.heal();
            self.machines.iter_mut().for_each(|n| n.clock_skew_ms = n.clock_skew_ms.clamp(-20, 20));
            return;
        }
        let (now, next) = (self.now, self.rng.u64(100..900) * MS);
        self.schedule_workload(now + next, WorkloadEvent::Fault);
        let count = self.machines.len();
        let (n, m) = (self.rng.usize(..count), self.rng.usize(..count));
        let short = self.rng.bool();
        let duration = if short { self.rng.u64(20..200) } else { self.rng.u64(200..2500) } * MS;
        let until = (now + duration).min(RUN_TIME - CALM_TIME);
        match self.rng.u8(..10) {
            8 => self.isolate_voter_from_leader(),
            9 => self.jump_clock(n),
            0 | 1 => {
                self.log(format!("cut {n} -> {m} for {} ms", duration / MS));
                self.net.partition(n, m, until);
                if self.rng.bool() {
                    self.net.partition(m, n, until);
                }
            }
            2 => {
                self.log(format!("isolate {n} for {} ms", duration / MS));
                for other in (0..count).filter(|other| *other != n) {
                    self.net.partition(n, other, until);
                    self.net.partition(other, n, until);
                }
            }
            3 => {
                self.log(format!("freeze {n} for {} ms", duration / MS));
                self.machines[n].frozen_until = until;
                self.schedule(until, Event::Wake(n));
            }
            4 => self.kill(n, duration),
            5 => {
                // On shutdown the node hands over leadership; it is killed a little later.
                self.log(format!("{} is shut down", self.machines[n].id));
                self.schedule_workload(now, WorkloadEvent::Shutdown(n));
                self.schedule_workload(now + 30 * MS, WorkloadEvent::Kill(n, duration));
            }
            6 => {
                self.log("kill all".into());
                for n in 0..count {
                    let duration = self.rng.u64(50..900) * MS;
                    self.kill(n, duration);
                }
            }
            _ => self.wipe(n, duration),
        }
        self.restart_a_gateway();
        // Faults of gateways.
        let g = self.rng.usize(..GATEWAYS);
        if self.rng.u8(..3) == 0 {
            let duration = self.rng.u64(200..4000) * MS;
            self.system.gateways[g].isolated_until = now + duration;
        }
        if self.rng.u8(..5) == 0 {
            let (g, duration) = (self.rng.usize(..GATEWAYS), self.rng.u64(50..2500) * MS);
            self.system.gateways[g].suspended_until = now + duration;
            self.log(format!("gateway {g} is suspended"));
        }
    }

    /// Restarts a gateway process under the same name: it has no state, and nothing that was granted before belongs to
    /// it.
    fn restart_a_gateway(&mut self) {
        let now = self.now;
        let g = self.rng.usize(..GATEWAYS);
        if self.rng.u8(..8) > 0 || !self.has_traffic {
            return;
        }
        self.log(format!("gateway {g} restarts"));
        self.system.gateways[g].restart();
        self.quota_clients[g] = quota_client(now, self.fallback_lifetime, self.defect);
        self.waiting_for_units[g].clear();
        self.trial_tenant.restart(g);
    }

    /// Checks that the process of a removed gateway does not use its fallback share any more, which now belongs to the
    /// others.
    fn check_fallback_shares(&self) -> Result<(), Violation> {
        let now = self.now;
        let awake = self.machines.iter().filter(|n| n.frozen_until <= now);
        let coordinators = awake.filter_map(|n| n.node().filter(|node| node.coordinator_term(now).is_some()));
        for coordinator in coordinators {
            // A process that was not answered yet keeps its share for an election, whatever was committed before its
            // start.
            let has_share = |g: &usize| {
                let client = &self.quota_clients[*g];
                client.was_answered() && client.has_fallback_share(now)
            };
            let is_removed = |g: &usize| !coordinator.state().gateways().contains(&self.gateways[*g].name);
            if let Some(gateway) = (0..GATEWAYS).filter(has_share).find(is_removed) {
                return Err(Violation::ShareTwice { gateway });
            }
        }
        Ok(())
    }

    /// Makes one machine's clock jump, by seconds or by hours; never those of a majority.
    fn jump_clock(&mut self, n: usize) {
        let has_jumped = self.machines.iter().any(|n| n.clock_skew_ms.abs() > 20);
        if has_jumped {
            self.log("the clock that jumped is corrected".into());
            self.machines.iter_mut().for_each(|n| n.clock_skew_ms = n.clock_skew_ms.clamp(-20, 20));
            self.clock_corrected_at = self.now;
        }
        if has_jumped || self.now < self.clock_corrected_at + trial::MAX_READING_AGE + 500 * MS {
            return;
        }
        let by = if self.rng.bool() { self.rng.i64(500..5000) } else { self.rng.i64(5000..4_000_000) };
        let by = if self.rng.bool() { by } else { -by };
        self.log(format!("the clock of {n} jumps by {by} ms"));
        self.machines[n].clock_skew_ms = by;
    }

    fn kill(&mut self, n: usize, duration: Time) {
        if !self.machines[n].is_up() {
            return;
        }
        self.log(format!("{} is killed", self.machines[n].id));
        self.stop(n);
        let at = (self.now + duration).min(RUN_TIME - CALM_TIME).max(self.now);
        self.schedule(at, Event::Start(n));
    }

    /// Cuts one node off from the leader, so that it stands for election, while another node that hears the leader is
    /// killed and restarts at once.
    fn isolate_voter_from_leader(&mut self) {
        let Some(leader) = self.leader() else { return };
        let count = self.machines.iter().filter(|n| n.can_vote).count();
        let (isolated, restarting) = ((leader + 1) % count, (leader + 2) % count);
        self.log(format!("{isolated} does not hear {leader}, {restarting} restarts"));
        let now = self.now;
        let until = (now + 1500 * MS).min(RUN_TIME - CALM_TIME);
        self.net.partition(leader, isolated, until);
        self.net.partition(isolated, leader, until);
        for _ in 0..3 {
            let at = now + self.rng.u64(500..1300) * MS;
            self.schedule_workload(at, WorkloadEvent::Kill(restarting, 20 * MS));
        }
        if self.rng.bool() {
            // After its restart the other node does not hear the leader either.
            let at = now + self.rng.u64(500..1000) * MS;
            self.schedule_workload(at, WorkloadEvent::Kill(restarting, 20 * MS));
            self.schedule_workload(at, WorkloadEvent::Partition(leader, restarting, until));
        }
    }

    /// Loses one disk at a time, and only after the previous machine has caught up.
    fn wipe(&mut self, n: usize, duration: Time) {
        let now = self.now;
        let was_recent = |at: &Option<Time>| at.is_some_and(|at| now < at + CATCH_UP);
        let all_voters_present =
            self.machines.iter().filter(|node| node.can_vote).all(|node| {
                node.raft().is_some_and(consensus::RaftNode::is_voter) && node.frozen_until <= now
            });
        if !self.machines[n].can_vote || self.restored_at.iter().any(was_recent) || !all_voters_present {
            return;
        }
        self.kill(n, duration);
        self.restored_at[n] = Some(now + duration);
        let keeps_id = self.defect == Some(Defect::WipedVotes);
        self.machines[n].wipe(keeps_id);
        self.log(format!("and comes back without its disk, as {}", self.machines[n].id));
    }

    /// Sends the hot tenant's and the trial tenant's requests through all gateways, every 10 ms.
    fn send_requests(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.schedule_workload(now + 10 * MS, WorkloadEvent::GatewayRequests);
        self.check_fallback_shares()?;
        let defect = self.defect;
        // A gateway refuses every tenant until it knows the tenants' limits.
        let knows = |g: &Gateway| {
            g.subscription.configuration_index() > 0 && g.subscription.view().gateways().len() == GATEWAYS
        };
        self.has_traffic |= self.system.gateways.iter().all(knows);
        for g in 0..GATEWAYS {
            let gateway = &self.system.gateways[g];
            let knows_limits = gateway.subscription.configuration_index() > 0;
            if !self.has_traffic || !knows_limits || gateway.suspended_until > now {
                continue;
            }
            let rng = &mut self.system.rng;
            let has_new_request = rng.f64() < self.trial_request_rate * 0.01 / GATEWAYS as f64;
            let client = &mut self.quota_clients[g];
            self.trial_tenant.process_requests(
                (now, g),
                has_new_request,
                client,
                rng,
                defect,
                &mut self.observations,
            )?;
            let mut attempts: Vec<Option<Time>> =
                std::mem::take(&mut self.waiting_for_units[g]).into_iter().map(Some).collect();
            if rng.f64() < self.hot_request_rate * 0.01 / GATEWAYS as f64 && now >= self.hot_start {
                attempts.push(None);
            }
            for since in attempts {
                let draw = rng.f64();
                let mut decision = client.acquire(now, trial_configuration::HOT, draw, since);
                if defect == Some(Defect::AloneAndFree) && client.is_isolated(now) {
                    decision = Decision::Granted;
                }
                match decision {
                    Decision::Granted => self.observations.pass(
                        now,
                        trial_configuration::HOT_RATE,
                        trial_configuration::HOT_RATE,
                    )?,
                    Decision::Refused { .. } | Decision::Throttled { .. } => {}
                    Decision::Wait { .. } => self.waiting_for_units[g].push(since.unwrap_or(now)),
                }
            }
            // Without a link the request is lost.
            let request = self.quota_clients[g].next_request(now);
            if let Some((request, link)) = request.zip(self.system.gateways[g].link) {
                self.send_to_control_node(g, link, GatewayMessage::LeaseRequest(request));
            }
        }
        Ok(())
    }
}

fn quota_client(now: Time, fallback_lifetime: Time, defect: Option<Defect>) -> QuotaClient {
    let mut client = QuotaClient::new(now);
    let is_endless = defect == Some(Defect::FallbackWithoutEnd);
    client.set_fallback_lifetime(if is_endless { Time::MAX } else { fallback_lifetime });
    client
}

/// Returns the machine at which an event happens that may be interrupted by a crash.
fn interruptible_machine(event: &Event<WorkloadEvent>) -> Option<usize> {
    match event {
        Event::MessageArrives { to, .. } => Some(*to),
        Event::WriteCompleted(n, ..) => Some(*n),
        _ => None,
    }
}
