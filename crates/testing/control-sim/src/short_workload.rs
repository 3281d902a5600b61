//! A world of seconds: control nodes, gateways with one hot tenant and one on trial, operators and leaving backends,
//! and what goes wrong, on a network that keeps no order.

use crate::change_history::check;
use crate::cluster::{Cluster, Event, Observation as Happened};
use crate::defect::Defect;
use crate::gateways::Gateway;
use crate::machine::{address, MachineSettings};
use crate::restless_reader::{RestlessReader, READ_INTERVAL};
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

/// How long a seed is played, and how long nothing goes wrong at its end.
const LENGTH: Time = 16_000 * MS;
const CALM: Time = 4_000 * MS;
/// Nothing goes wrong before the core is bootstrapped, which takes no longer than that.
const FOUNDED: Time = 2_500 * MS;
const GATEWAYS: usize = 5;
/// A disk is lost again no sooner: the machine has come back and caught up by then.
const CATCH_UP: Time = 4_000 * MS;

/// What happens beside what the system does.
#[derive(Debug)]
pub enum WorkloadEvent {
    HandOver(usize),
    Kill(usize, Time),
    /// One way, until then.
    Partition(usize, usize, Time),
    Operator,
    Fault,
    Gateway,
    RestlessReader,
}

/// A call that waits for its answer.
#[derive(Debug)]
enum Call {
    Change { base: u32, version: u32, body: Vec<u8> },
    Drain { instance: String },
    Read { acknowledged: u32, drains: BTreeSet<String>, is_restless: bool },
}

pub struct ShortWorkload {
    system: Cluster<WorkloadEvent>,
    quota_clients: Vec<QuotaClient>,
    fallback_lifetime: Time,
    waiting_for_units: Vec<Vec<Time>>,
    trial_tenant: TrialTenant,
    /// Requests of the trial tenant's a second.
    trial_request_rate: f64,
    /// When a clock that had been stepped was last right again.
    stepped: Time,
    wiped_at: Vec<Option<Time>>,
    observations: Observations,
    reader: RestlessReader,
    /// What operators know of.
    known: u32,
    version: u32,
    instance: u32,
    /// Requests of the hot tenant's a second, and since when they come: its store is full by then.
    hot: f64,
    hot_from: Time,
    /// Traffic has begun: all gateways know of each other.
    is_open: bool,
    call: u64,
    calls: BTreeMap<u64, Call>,
    pub story: Story,
    last_ack: Time,
    /// The newest that was acknowledged a second before the end.
    settled: u32,
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
        let (trial_request_rate, hot) =
            (5.0 + rng.f64() * 90.0, rng.f64() * 5.0 * trial_configuration::HOT_RATE);
        let hot_from = if rng.bool() { 0 } else { rng.u64(3_000..9_000) * MS };
        let is_short = rng.bool();
        let fallback_lifetime = if is_short { SHORT_FALLBACK_LIFETIME } else { FALLBACK_LIFETIME };
        let mut system = Cluster::new(rng, defect, check);
        (system.net.wild, system.began) = (true, trial_configuration::START_OF_TIME);
        let seeds = (0..3).map(address).collect();
        let told = MachineSettings {
            seeds,
            is_initial_start: true,
            zone: String::new(),
            terms: trial_configuration::terms,
            snapshot_threshold: 24,
            fallback_lifetime,
        };
        // The last has no disk.
        for n in 0..=count {
            let n = system.add(n < count, told.clone());
            system.machines[n].skew = system.rng.i64(-20..=20);
        }
        for g in 0..GATEWAYS {
            system.gateways.push(Gateway::new(g, "", &[g % 3, (g + 1) % 3]));
        }
        ShortWorkload {
            wiped_at: vec![None; system.machines.len()],
            system,
            fallback_lifetime,
            quota_clients: (0..GATEWAYS).map(|_| quota_client(0, fallback_lifetime, defect)).collect(),
            waiting_for_units: vec![Vec::new(); GATEWAYS],
            trial_tenant: TrialTenant::new(GATEWAYS),
            trial_request_rate,
            stepped: 0,
            observations: Observations::default(),
            reader: RestlessReader::default(),
            known: 0,
            version: 0,
            instance: 0,
            hot,
            hot_from,
            is_open: false,
            call: 0,
            calls: BTreeMap::new(),
            story: Story::default(),
            last_ack: 0,
            settled: 0,
        }
    }

    fn log(&mut self, line: String) {
        if self.story.lines.len() >= 400 {
            self.story.lines.pop_front();
        }
        let now = self.now as f64 / 1e6;
        self.story.lines.push_back(format!("{now:9.3} {line}"));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result<Story, Box<(Violation, Story)>> {
        match self.run() {
            Ok(()) => Ok(self.end()),
            Err(broken) => Err(Box::new((broken, self.end()))),
        }
    }

    fn end(mut self) -> Story {
        self.story.trial = self.observations.trial_counts();
        self.story.recovery_times = std::mem::take(&mut self.reader).into_recovery_times();
        let Observations { acknowledged, reads, through, .. } = self.observations;
        (self.story.acknowledged, self.story.reads, self.story.through) = (acknowledged, reads, through);
        self.story
    }

    fn run(&mut self) -> Result<(), Violation> {
        for n in 0..self.machines.len() {
            let at = self.rng.u64(..300) * MS;
            self.at(at, Event::Start(n));
        }
        self.begin();
        for event in [WorkloadEvent::Operator, WorkloadEvent::Gateway] {
            self.later(200 * MS, event);
        }
        self.later(FOUNDED, WorkloadEvent::Fault);
        self.later(FOUNDED, WorkloadEvent::RestlessReader);
        while let Some(event) = self.pop() {
            if self.now > LENGTH {
                break;
            }
            self.story.steps += 1;
            if self.now < LENGTH - 1000 * MS {
                self.settled = self.observations.newest();
            }
            let stepped = at_which(&event);
            if let Some(event) = self.system.step(event)? {
                self.step(event)?;
            }
            self.process_observations()?;
            if let Some(n) = stepped.filter(|_| self.now > FOUNDED && !self.is_calm()) {
                self.may_die(n);
            }
            self.check_lease()?;
        }
        self.observations.trial_at_the_end(self.now)?;
        if self.now.saturating_sub(self.last_ack) > CALM {
            let cores = self.machines.iter().filter_map(|n| n.raft());
            let cores: Vec<String> = cores.map(|c| format!("{c:?}")).collect();
            cores.into_iter().for_each(|c| self.log(c));
            return Err(Violation::Stuck);
        }
        // A second is enough for everybody, with a vote or without one.
        let behind = self.machines.iter().find(|n| n.is_up() && n.version() < self.settled);
        behind.map_or(Ok(()), |n| Err(Violation::Behind(n.id.to_string())))
    }

    fn is_calm(&self) -> bool {
        self.now + CALM > LENGTH
    }

    /// One dies in the middle of what it does, at times: of what is to be saved some is, and nothing that rests on it
    /// was said.
    fn may_die(&mut self, n: usize) {
        if self.machines[n].is_up() && self.rng.u16(..4000) == 0 {
            let lasts = self.rng.u64(50..900) * MS;
            self.kill(n, lasts);
        }
    }

    fn check_lease(&mut self) -> Result<(), Violation> {
        let now = self.now;
        // One that stands still lends nothing: it looks at the clock when it goes on.
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
            WorkloadEvent::HandOver(n) => self.with(n, |p| p.begin_shutdown(now)),
            WorkloadEvent::Kill(n, lasts) => {
                self.kill(n, lasts);
                Ok(())
            }
            WorkloadEvent::Partition(from, to, until) => {
                self.net.partition(from, to, until);
                Ok(())
            }
            WorkloadEvent::Operator => self.operator(),
            WorkloadEvent::Fault => {
                self.inject_fault();
                Ok(())
            }
            WorkloadEvent::Gateway => self.gateways(),
            WorkloadEvent::RestlessReader => self.read_restlessly(),
        }
    }

    fn process_observations(&mut self) -> Result<(), Violation> {
        let now = self.now;
        while let Some(seen) = self.system.seen.pop_front() {
            match seen {
                Happened::Applied { index: place, command: word } => {
                    self.observations.applied(now, place, &word)?
                }
                Happened::Answered { n, call, reply } => self.answered(n, call, reply)?,
                Happened::Granted { g, lent } => drop(self.quota_clients[g].on_grant(now, &lent)),
                Happened::ViewChanged { g, changes: news } => {
                    news.into_iter().for_each(|n| self.view_changed(g, &n))
                }
            }
        }
        Ok(())
    }

    /// A gateway has heard of something; nothing that it knows goes back.
    fn view_changed(&mut self, g: usize, news: &ViewChange) {
        let now = self.now;
        match news {
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

    /// Operators change and read, backends leave, at any control node.
    fn operator(&mut self) -> Result<(), Violation> {
        let (now, next) = (self.now, self.rng.u64(10..120) * MS);
        self.later(now + next, WorkloadEvent::Operator);
        let count = self.machines.len();
        let mut n = self.rng.usize(..count);
        // In the end they find whoever leads, as they do by its word; chance alone may miss it for long.
        if self.is_calm() {
            n = self.leader().unwrap_or(n);
        }
        if !self.machines[n].runs(now) {
            return Ok(());
        }
        self.call += 1;
        let call = self.call;
        match self.rng.u8(..4) {
            // Now and then two on one base.
            0 | 1 => {
                self.version += 1;
                let old = self.rng.u8(..4) == 0;
                let state = self.machines[n].state();
                let held = state
                    .and_then(|b| b.configuration())
                    .and_then(|c| trial_configuration::trial_end(&c.body));
                let base = if old { self.known } else { self.machines[n].version() };
                let ends = trial_configuration::next_trial_end(&mut self.rng, now, held);
                let version = self.version.max(base + 1);
                let body = trial_configuration::body(base, version, ends);
                self.calls.insert(call, Call::Change { base, version, body: body.clone() });
                self.with(n, |p| p.replace_configuration(now, call, body.into()))
            }
            2 => {
                self.instance += 1;
                let instance = format!("i{}", self.instance);
                self.calls.insert(call, Call::Drain { instance: instance.clone() });
                self.with(n, |p| p.deregister(now, call, &instance))
            }
            _ => {
                let (acknowledged, drains) = (self.observations.newest(), self.observations.drains());
                self.calls.insert(call, Call::Read { acknowledged, drains, is_restless: false });
                self.with(n, |p| p.read_configuration(now, call))
            }
        }
    }

    /// One more read, at the next machine.
    fn read_restlessly(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.later(now + READ_INTERVAL, WorkloadEvent::RestlessReader);
        let is_healthy = self.is_healthy();
        self.reader.observe_health(now, is_healthy);
        let n = self.reader.next_machine(self.system.machines.len());
        if !self.machines[n].runs(now) {
            return Ok(());
        }
        self.call += 1;
        let call = self.call;
        let (acknowledged, drains) = (self.observations.newest(), self.observations.drains());
        self.calls.insert(call, Call::Read { acknowledged, drains, is_restless: true });
        self.with(n, |p| p.read_configuration(now, call))
    }

    /// Whether a majority of those that may vote runs, and all that run are connected both ways.
    fn is_healthy(&self) -> bool {
        let now = self.now;
        let running: Vec<usize> = (0..self.machines.len()).filter(|n| self.machines[*n].runs(now)).collect();
        let electorate = self.machines.iter().filter(|machine| machine.can_vote).count();
        let voters_running = running.iter().filter(|n| self.machines[**n].can_vote).count();
        let are_connected = |a: &usize| running.iter().all(|b| a == b || self.net.is_connected(*a, *b, now));
        voters_running > electorate / 2 && running.iter().all(are_connected)
    }

    fn answered(&mut self, n: usize, call: u64, reply: Reply) -> Result<(), Violation> {
        match (self.calls.remove(&call), reply) {
            (Some(Call::Change { base, version, body }), Reply::Acknowledged) => {
                self.known = self.known.max(version);
                self.last_ack = self.now;
                self.observations.acknowledge(&Command::ReplaceConfiguration { base, version, body })
            }
            (Some(Call::Drain { instance }), Reply::Acknowledged) => {
                self.last_ack = self.now;
                self.observations.acknowledge(&Command::Drain { instance })
            }
            (Some(Call::Read { acknowledged, drains, is_restless }), Reply::Current(held)) => {
                let version = held.map_or(0, |c| c.version);
                if is_restless {
                    if let Some(time) = self.reader.on_answer(self.now) {
                        self.log(format!("first read answered {} ms behind the last fault", time / MS));
                    }
                } else {
                    (self.known, self.last_ack) = (self.known.max(version), self.now);
                }
                let state = self.system.machines[n].state();
                let knows = |d: &str| state.is_some_and(|b| b.is_draining(d));
                self.observations.read(version, acknowledged, knows, &drains)
            }
            (_, Reply::Conflict { current }) => {
                (self.known, self.last_ack) = (self.known.max(current), self.now);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn inject_fault(&mut self) {
        if self.is_calm() {
            self.net.heal();
            self.machines.iter_mut().for_each(|n| n.skew = n.skew.clamp(-20, 20));
            return;
        }
        let (now, next) = (self.now, self.rng.u64(100..900) * MS);
        self.later(now + next, WorkloadEvent::Fault);
        let count = self.machines.len();
        let (n, m) = (self.rng.usize(..count), self.rng.usize(..count));
        let short = self.rng.bool();
        let lasts = if short { self.rng.u64(20..200) } else { self.rng.u64(200..2500) } * MS;
        let until = (now + lasts).min(LENGTH - CALM);
        match self.rng.u8(..10) {
            8 => self.one_against_the_leader(),
            9 => self.step_a_clock(n),
            0 | 1 => {
                self.log(format!("cut {n} -> {m} for {} ms", lasts / MS));
                self.net.partition(n, m, until);
                if self.rng.bool() {
                    self.net.partition(m, n, until);
                }
            }
            2 => {
                self.log(format!("cut {n} off for {} ms", lasts / MS));
                for other in (0..count).filter(|other| *other != n) {
                    self.net.partition(n, other, until);
                    self.net.partition(other, n, until);
                }
            }
            3 => {
                self.log(format!("freeze {n} for {} ms", lasts / MS));
                self.machines[n].frozen_until = until;
                self.at(until, Event::Wake(n));
            }
            4 => self.kill(n, lasts),
            5 => {
                // Told to end: it names its successor, and dies a little later.
                self.log(format!("{} is told to end", self.machines[n].id));
                self.later(now, WorkloadEvent::HandOver(n));
                self.later(now + 30 * MS, WorkloadEvent::Kill(n, lasts));
            }
            6 => {
                self.log("kill all".into());
                for n in 0..count {
                    let lasts = self.rng.u64(50..900) * MS;
                    self.kill(n, lasts);
                }
            }
            _ => self.wipe(n, lasts),
        }
        self.restart_a_gateway();
        // The unlucky gateways.
        let g = self.rng.usize(..GATEWAYS);
        if self.rng.u8(..3) == 0 {
            let lasts = self.rng.u64(200..4000) * MS;
            self.system.gateways[g].isolated_until = now + lasts;
        }
        if self.rng.u8(..5) == 0 {
            let (g, lasts) = (self.rng.usize(..GATEWAYS), self.rng.u64(50..2500) * MS);
            self.system.gateways[g].suspended_until = now + lasts;
            self.log(format!("gateway {g} stands still"));
        }
    }

    /// Another process of the same name: it knows nothing, and nothing that was granted is its own.
    fn restart_a_gateway(&mut self) {
        let now = self.now;
        let g = self.rng.usize(..GATEWAYS);
        if self.rng.u8(..8) > 0 || !self.is_open {
            return;
        }
        self.log(format!("gateway {g} begins anew"));
        self.system.gateways[g].restart();
        self.quota_clients[g] = quota_client(now, self.fallback_lifetime, self.defect);
        self.waiting_for_units[g].clear();
        self.trial_tenant.restart(g);
    }

    /// A removed gateway's fallback share is the others': its process must not use it any more.
    fn check_fallback_shares(&self) -> Result<(), Violation> {
        let now = self.now;
        let awake = self.machines.iter().filter(|n| n.frozen_until <= now);
        let coordinators = awake.filter_map(|n| n.node().filter(|node| node.coordinator_term(now).is_some()));
        for coordinator in coordinators {
            // A process that was not answered yet has its share for an election, whatever was agreed on before its start.
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

    /// One machine's time of day jumps, by seconds or by hours; never those of so many that they are a majority.
    fn step_a_clock(&mut self, n: usize) {
        let stepped = self.machines.iter().any(|n| n.skew.abs() > 20);
        if stepped {
            self.log("the clock that jumped is back".into());
            self.machines.iter_mut().for_each(|n| n.skew = n.skew.clamp(-20, 20));
            self.stepped = self.now;
        }
        if stepped || self.now < self.stepped + trial::MAX_READING_AGE + 500 * MS {
            return;
        }
        let by = if self.rng.bool() { self.rng.i64(500..5000) } else { self.rng.i64(5000..4_000_000) };
        let by = if self.rng.bool() { by } else { -by };
        self.log(format!("the clock of {n} jumps by {by} ms"));
        self.machines[n].skew = by;
    }

    fn kill(&mut self, n: usize, lasts: Time) {
        if !self.machines[n].is_up() {
            return;
        }
        self.log(format!("{} dies", self.machines[n].id));
        self.stop(n);
        let at = (self.now + lasts).min(LENGTH - CALM).max(self.now);
        self.at(at, Event::Start(n));
    }

    /// One does not hear the leader and stands up; another, who does, dies meanwhile and is back at once.
    fn one_against_the_leader(&mut self) {
        let Some(leader) = self.leader() else { return };
        let count = self.machines.iter().filter(|n| n.can_vote).count();
        let (deaf, dies) = ((leader + 1) % count, (leader + 2) % count);
        self.log(format!("{deaf} does not hear {leader}, {dies} dies for a moment"));
        let now = self.now;
        let until = (now + 1500 * MS).min(LENGTH - CALM);
        self.net.partition(leader, deaf, until);
        self.net.partition(deaf, leader, until);
        for _ in 0..3 {
            let at = now + self.rng.u64(500..1300) * MS;
            self.later(at, WorkloadEvent::Kill(dies, 20 * MS));
        }
        if self.rng.bool() {
            // Nor does that one hear the leader any more, once it is back.
            let at = now + self.rng.u64(500..1000) * MS;
            self.later(at, WorkloadEvent::Kill(dies, 20 * MS));
            self.later(at, WorkloadEvent::Partition(leader, dies, until));
        }
    }

    /// One disk at a time, and not before the one before has caught up.
    fn wipe(&mut self, n: usize, lasts: Time) {
        let now = self.now;
        let recent = |at: &Option<Time>| at.is_some_and(|at| now < at + CATCH_UP);
        let all_in =
            self.machines.iter().filter(|node| node.can_vote).all(|node| {
                node.raft().is_some_and(consensus::RaftNode::is_voter) && node.frozen_until <= now
            });
        if !self.machines[n].can_vote || self.wiped_at.iter().any(recent) || !all_in {
            return;
        }
        self.kill(n, lasts);
        self.wiped_at[n] = Some(now + lasts);
        let keeps_id = self.defect == Some(Defect::WipedVotes);
        self.machines[n].wipe(keeps_id);
        self.log(format!("and comes back without its disk, as {}", self.machines[n].id));
    }

    /// A hot tenant's requests through all gateways, each 10 ms.
    fn gateways(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.later(now + 10 * MS, WorkloadEvent::Gateway);
        self.check_fallback_shares()?;
        let defect = self.defect;
        // Before a gateway knows what tenants may do it refuses them all.
        let knows = |g: &Gateway| {
            g.subscription.configuration_index() > 0 && g.subscription.view().gateways().len() == GATEWAYS
        };
        self.is_open |= self.system.gateways.iter().all(knows);
        for g in 0..GATEWAYS {
            let gateway = &self.system.gateways[g];
            let knows_limits = gateway.subscription.configuration_index() > 0;
            if !self.is_open || !knows_limits || gateway.suspended_until > now {
                continue;
            }
            let rng = &mut self.system.rng;
            let comes = rng.f64() < self.trial_request_rate * 0.01 / GATEWAYS as f64;
            let client = &mut self.quota_clients[g];
            self.trial_tenant.turn((now, g), comes, client, rng, defect, &mut self.observations)?;
            let mut tries: Vec<Option<Time>> =
                std::mem::take(&mut self.waiting_for_units[g]).into_iter().map(Some).collect();
            if rng.f64() < self.hot * 0.01 / GATEWAYS as f64 && now >= self.hot_from {
                tries.push(None);
            }
            for since in tries {
                let draw = rng.f64();
                let mut verdict = client.acquire(now, trial_configuration::HOT, draw, since);
                if defect == Some(Defect::AloneAndFree) && client.is_isolated(now) {
                    verdict = Decision::Granted;
                }
                match verdict {
                    Decision::Granted => self.observations.pass(
                        now,
                        trial_configuration::HOT_RATE,
                        trial_configuration::HOT_RATE,
                    )?,
                    Decision::Refused { .. } | Decision::Throttled { .. } => {}
                    Decision::Wait { .. } => self.waiting_for_units[g].push(since.unwrap_or(now)),
                }
            }
            // Without a link it is lost.
            let ask = self.quota_clients[g].next_request(now);
            if let Some((ask, link)) = ask.zip(self.system.gateways[g].link) {
                self.send_to_control_node(g, link, GatewayMessage::LeaseRequest(ask));
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

/// At which machine something happens that it may die of.
fn at_which(event: &Event<WorkloadEvent>) -> Option<usize> {
    match event {
        Event::Peer { to, .. } => Some(*to),
        Event::Written(n, ..) => Some(*n),
        _ => None,
    }
}
