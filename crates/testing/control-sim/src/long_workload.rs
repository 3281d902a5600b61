//! A world of minutes: control nodes on links that are cut, reset, narrow or rough, operators that send again what was
//! not answered, backends that come and leave, gateways that follow. Fault phases and calm spells by turns; `fault
//! schedule` draws what goes wrong.

use crate::backends::Backend;
use crate::change_history::{check, ChangeHistory, Reply, Request};
use crate::cluster::{Cluster, Event, Observation};
use crate::defect::Defect;
use crate::fault_schedule::{FaultEvent, FaultSchedule};
use crate::gateways::Gateway;
use crate::machine::{address, machine_index, Machine, MachineSettings};
use crate::operators::{Next, Operator, CALL_TIMEOUT};
use crate::rules::Violation;
use crate::story::Story;
use crate::{Time, MS};
use consensus::{EntryPayload, PersistedState, VoterSet};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use subscription::ViewChange;
use trial::TenantTerms;

/// `contactMs`: so long after the last event the core is settled.
const CONTACT: Time = 3_000 * MS;
/// `ackMs`: an order has its answer within so long in a settled stretch.
const ACKNOWLEDGED: Time = 5_000 * MS;
/// `catchUpS`: who is back, or new, counts again after so long.
pub const CATCH_UP: Time = 6_000 * MS;
/// Who has had no way to a majority for so long confirms and refuses nothing, and does not say that it is in touch.
const ALONE: Time = 1_500 * MS;
/// What a gateway may refuse for good rests on all that was acknowledged so long ago.
const FRESH: Time = 1_502 * MS;
/// `configApplyMs`: a gateway knows what was acknowledged so long ago, in a settled stretch.
const APPLIED: Time = 3_000 * MS;
/// A control node that has known of a majority within so long is one to follow, in the gateway's eyes.
const STALE: Time = 1_000 * MS;
/// A backend that was heard all the time for so long is known to all who are in touch.
const KNOWN: Time = 4_000 * MS;
const GATEWAYS: usize = 4;
const BACKENDS: usize = 6;
const LOOK: Time = 100 * MS;
/// Where a seed that is lost at the very first start is lost: before, while and after the core is bootstrapped.
const FOUNDING: Time = 1_500 * MS;

/// What happens beside what the system does.
#[derive(Debug)]
pub enum WorkloadEvent {
    Start(usize),
    Kill(usize, Time),
    /// Told to end.
    Shutdown(usize, u64),
    /// Ends for good.
    Removed(usize),
    /// An operator's call comes to a machine.
    Call {
        to: usize,
        call: u64,
        operator: usize,
        request: Request,
    },
    Reply {
        operator: usize,
        call: u64,
        reply: Option<Reply>,
    },
    Operator(usize),
    /// A backend's turn to say something.
    Heartbeat(usize),
    /// What it says comes to a machine.
    HeartbeatArrives {
        to: usize,
        call: u64,
        b: usize,
        id: String,
    },
    HeartbeatAnswered {
        b: usize,
        call: u64,
        acknowledged: bool,
    },
    /// A backend's fate turns.
    Fate(usize),
    CheckRules,
    Fault(FaultEvent),
    /// Something of the fault schedule's ends by itself.
    FaultEnded,
}

/// Who waits for an answer.
#[derive(Debug)]
enum Caller {
    Operator { operator: usize, ask: Request, came: Time },
    Backend { b: usize, id: String, drains: bool },
}

pub struct LongWorkload {
    system: Cluster<WorkloadEvent>,
    /// Machines that callers do not reach, and until when; and how many in a thousand of their messages are lost.
    pub deaf: Vec<Time>,
    pub calls_lost: (u32, Time),
    /// When a machine was last down, frozen, slowed or isolated: this may lie ahead.
    pub lost: Vec<Time>,
    operators: Vec<Operator>,
    settings: MachineSettings,
    /// Between two orders of one operator, at the most.
    pace: Time,
    /// Bytes of a configuration at the most.
    bytes: u32,
    backends: Vec<Backend>,
    /// Lives so far.
    backend_starts: u64,
    call: u64,
    calls: BTreeMap<u64, Caller>,
    pub history: ChangeHistory,
    /// When each last had a way to a majority of those that it takes for voters, both ways by itself; and when it may
    /// have heard of one by others.
    contact: Vec<Time>,
    hearsay: Vec<Time>,
    /// When two that were both in contact with a majority last had no way to each other, or something was slowed.
    partitioned_at: Time,
    /// When something was last killed, frozen, isolated or reset: a heartbeat that it had acknowledged may be lost with
    /// it.
    pub last_fault_at: Time,
    /// The last event that unsettles the core.
    pub event: Time,
    settled: Option<Time>,
    /// When callers last had no way to the leader, or only a rough one.
    unheard: Time,
    /// Since when each runs and is joined with all others that run.
    joined: Vec<Option<Time>>,
    /// Since when each gateway runs and reaches control nodes.
    well: Vec<Time>,
    faults: FaultSchedule,
    pub story: Story,
}

impl Deref for LongWorkload {
    type Target = Cluster<WorkloadEvent>;
    fn deref(&self) -> &Cluster<WorkloadEvent> {
        &self.system
    }
}

impl DerefMut for LongWorkload {
    fn deref_mut(&mut self) -> &mut Cluster<WorkloadEvent> {
        &mut self.system
    }
}

impl LongWorkload {
    pub fn new(seed: u64, defect: Option<Defect>, pairs: bool) -> Self {
        let mut rng = Rng::with_seed(seed);
        let voters = if rng.bool() { 3 } else { 5 };
        let fold = if rng.bool() { 64 } else { rng.usize(6..30) };
        let operators = rng.usize(2..9);
        // Of forty worlds one has hundreds of changes.
        let dense = rng.u8(..40) == 0;
        let faults = FaultSchedule::new(&mut rng, voters, pairs);
        // Large configurations are few: their bytes are real ones.
        let heavy = !dense && rng.u8(..12) == 0;
        let pace = if heavy { 12_000 } else { [400, 1500, 6000][rng.usize(..3)] };
        let pace = if dense { 60 } else { pace };
        let operators = (0..operators).map(|_| Operator::new(&mut rng)).collect();
        let mut system = Cluster::new(rng, defect, check);
        let terms = |_: &[u8]| TenantTerms::default();
        let seeds = (0..3).map(address).collect();
        let settings = MachineSettings {
            seeds,
            is_initial_start: true,
            zone: String::new(),
            terms,
            snapshot_threshold: fold,
            fallback_lifetime: quota::FALLBACK_LIFETIME,
        };
        // The last has no disk.
        for n in 0..=voters {
            system.add(n < voters, MachineSettings { zone: format!("z{}", n % 3), ..settings.clone() });
        }
        for g in 0..GATEWAYS {
            let mut gateway = Gateway::new(g, &format!("z{}", g % 3), &[0, 1, 2]);
            gateway.rate = (g % 2 == 0).then_some(250_000.0);
            system.gateways.push(gateway);
        }
        let count = system.machines.len();
        LongWorkload {
            system,
            deaf: vec![0; count],
            calls_lost: (0, 0),
            lost: vec![0; count],
            operators,
            settings,
            pace: pace * MS,
            bytes: if heavy { 250_000 } else { 400 },
            backends: (0..BACKENDS).map(|b| Backend::new(b, 0)).collect(),
            backend_starts: 0,
            call: 0,
            calls: BTreeMap::new(),
            history: ChangeHistory::default(),
            contact: vec![0; count],
            hearsay: vec![0; count],
            partitioned_at: 0,
            last_fault_at: 0,
            event: 0,
            settled: None,
            unheard: 0,
            joined: vec![None; count],
            well: vec![0; GATEWAYS],
            faults,
            story: Story::default(),
        }
    }

    pub fn log(&mut self, line: impl FnOnce() -> String) {
        if self.story.lines.len() >= 400 {
            self.story.lines.pop_front();
        }
        let now = self.now as f64 / 1e6;
        self.story.lines.push_back(format!("{now:10.3} {}", line()));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result<Story, Box<(Violation, Story)>> {
        let result = self.run();
        let counts = self.history.counts;
        (self.story.acknowledged, self.story.reads) = (counts.acknowledged, counts.reads);
        (self.story.again, self.story.refused) = (counts.again, counts.refused);
        (self.story.drains, self.story.changes) = (counts.drains, counts.changes);
        self.story.lasted = self.now;
        match result {
            Ok(()) => Ok(self.story),
            Err(broken) => {
                let state: Vec<String> = self.machines.iter().map(describe).collect();
                state.into_iter().for_each(|line| self.log(|| line));
                Err(Box::new((broken, self.story)))
            }
        }
    }

    fn run(&mut self) -> Result<(), Violation> {
        for n in 0..self.machines.len() {
            let at = self.rng.u64(..300) * MS;
            self.at(at, Event::Start(n));
        }
        self.begin();
        if self.rng.u8(..6) == 0 {
            // A seed ends before the core is bootstrapped, or just behind that.
            let (n, at) = (self.rng.usize(..3), self.rng.u64(1..FOUNDING / MS) * MS);
            let lasts = self.rng.u64(50..1000) * MS;
            self.later(at, WorkloadEvent::Kill(n, lasts));
        }
        self.later(LOOK, WorkloadEvent::CheckRules);
        for o in 0..self.operators.len() {
            let at = self.rng.u64(1500..4000) * MS;
            self.later(at, WorkloadEvent::Operator(o));
        }
        for b in 0..self.backends.len() {
            let at = self.rng.u64(..1000) * MS;
            self.later(at, WorkloadEvent::Heartbeat(b));
            let at = self.rng.u64(8_000..40_000) * MS;
            self.later(at, WorkloadEvent::Fate(b));
        }
        let ends = self.faults.ends();
        let first = self.faults.first();
        self.later(first, WorkloadEvent::Fault(FaultEvent::Next));
        if self.rng.u8(..4) == 0 {
            self.later(first + 1000 * MS, WorkloadEvent::Fault(FaultEvent::Replace));
        }
        while let Some(event) = self.pop() {
            if self.now >= ends {
                break;
            }
            self.story.steps += 1;
            if let Some(event) = self.system.step(event)? {
                self.step(event)?;
            }
            self.process_observations()?;
        }
        Ok(())
    }

    fn step(&mut self, event: WorkloadEvent) -> Result<(), Violation> {
        let now = self.now;
        match event {
            WorkloadEvent::Start(n) => {
                if !self.machines[n].is_up() && !self.machines[n].is_removed {
                    self.log(|| format!("p{n} begins"));
                    self.set_new_seeds(n);
                    self.event = now;
                    self.lost[n] = self.lost[n].max(now);
                    self.at(now, Event::Start(n));
                }
            }
            WorkloadEvent::Kill(n, lasts) => self.kill(n, lasts),
            WorkloadEvent::Shutdown(n, life) => {
                if self.machines[n].starts == life {
                    let thaws = self.machines[n].frozen_until;
                    if thaws > now {
                        self.later(thaws, WorkloadEvent::Shutdown(n, life));
                    } else {
                        self.with(n, |p| p.begin_shutdown(now))?;
                    }
                }
            }
            WorkloadEvent::Removed(n) => {
                self.kill(n, 0);
                self.machines[n].is_removed = true;
                (0..self.machines.len()).for_each(|m| self.set_new_seeds(m));
            }
            WorkloadEvent::Call { to, call, operator, request: ask } => self.call(to, call, operator, ask)?,
            WorkloadEvent::Reply { operator, call, reply } => self.reply(operator, call, reply),
            WorkloadEvent::Operator(o) => self.operator(o),
            WorkloadEvent::Heartbeat(b) => self.send_heartbeat(b),
            WorkloadEvent::HeartbeatArrives { to, call, b, id } => {
                self.heartbeat_arrives(to, call, b, &id)?
            }
            WorkloadEvent::HeartbeatAnswered { b, call, acknowledged } => {
                self.heartbeat_answered(b, call, acknowledged)
            }
            WorkloadEvent::Fate(b) => self.fate(b),
            WorkloadEvent::CheckRules => self.check_rules()?,
            WorkloadEvent::Fault(trouble) => self.inject_fault(trouble)?,
            WorkloadEvent::FaultEnded => self.event = self.event.max(now),
        }
        Ok(())
    }

    fn process_observations(&mut self) -> Result<(), Violation> {
        while let Some(seen) = self.seen.pop_front() {
            match seen {
                Observation::Applied { index: place, command: word } => {
                    let now = self.now;
                    self.history.applied(now, place, &word)?;
                }
                Observation::Answered { n, call, reply } => self.answered(n, call, &reply)?,
                Observation::ViewChanged { g, changes: news } => {
                    // A word that tells of an end and of what came behind it is one word.
                    let fold = self.system.gateways[g].subscription.view();
                    let over = news.into_iter().filter_map(|n| match n {
                        ViewChange::BackendRemoved(id) if !fold.accepts_work(&id) => Some(id),
                        _ => None,
                    });
                    for id in over.collect::<Vec<_>>() {
                        self.ended(g, &id)?;
                    }
                }
                Observation::Granted { .. } => {}
            }
        }
        Ok(())
    }

    // ---- Machines ----

    fn answered(&mut self, n: usize, call: u64, said: &control_node::Reply) -> Result<(), Violation> {
        let now = self.now;
        match self.calls.remove(&call) {
            Some(Caller::Operator { operator, ask, came }) => {
                self.operator_answered(n, call, operator, &ask, came, Reply::of(said))
            }
            Some(Caller::Backend { b, id, drains }) => {
                let acknowledged = *said == control_node::Reply::Acknowledged;
                if acknowledged && drains {
                    self.history.drained(&id)?;
                    if self.backends[b].id == id {
                        self.backends[b].drained_at.get_or_insert(now);
                    }
                }
                let delay = MS / 2 + self.rng.u64(..3 * MS);
                if self.call_arrives(n) {
                    self.later(now + delay, WorkloadEvent::HeartbeatAnswered { b, call, acknowledged });
                }
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn operator_answered(
        &mut self,
        n: usize,
        call: u64,
        operator: usize,
        ask: &Request,
        came: Time,
        reply: Reply,
    ) -> Result<(), Violation> {
        let now = self.now;
        let clear = !matches!(reply, Reply::Redirect(_) | Reply::Unavailable);
        if clear {
            self.log(|| format!("p{n} answers {ask:?}: {}", short(&reply)));
        }
        self.history.answered(now, came, ask, &reply)?;
        // A call that lay here while the machine stood still has no caller any more; what it is told was true before.
        let has_caller = now <= came + CALL_TIMEOUT;
        if clear && has_caller && now.saturating_sub(self.contact[n]) > ALONE && self.is_alone(n).0 {
            return Err(Violation::DecidedAlone(n));
        }
        let delay = MS / 2 + self.rng.u64(..3 * MS);
        if self.call_arrives(n) {
            self.later(now + delay, WorkloadEvent::Reply { operator, call, reply: Some(reply) });
        }
        Ok(())
    }

    pub fn kill(&mut self, n: usize, lasts: Time) {
        if !self.machines[n].is_up() {
            return;
        }
        self.log(|| format!("p{n} dies for {} ms", lasts / MS));
        self.stop(n);
        (self.event, self.last_fault_at) = (self.now, self.now);
        let at = self.now + lasts;
        self.lost[n] = self.lost[n].max(at);
        self.later(at, WorkloadEvent::Start(n));
    }

    /// The operators' list names some that are there. A voter whose seeds are all gone or down knows the others by its
    /// log; one that has nothing is told anew.
    fn set_new_seeds(&mut self, n: usize) {
        let now = self.now;
        let gone = |s: &String| machine_index(s) == n || !self.machines[machine_index(s)].runs(now);
        let machine = &self.machines[n];
        if machine.can_vote && machine.disk != PersistedState::default()
            || !machine.settings.seeds.iter().all(gone)
        {
            return;
        }
        let mut there: Vec<usize> =
            (0..self.machines.len()).filter(|m| *m != n && !self.machines[*m].is_removed).collect();
        self.rng.shuffle(&mut there);
        there.sort_by_key(|m| !self.machines[*m].runs(now));
        let seeds: Vec<String> = there.into_iter().take(3).map(address).collect();
        // One that runs is told by a signal.
        self.machines[n].with(|p| seeds.iter().for_each(|s| p.learn_node(s, "")));
        self.machines[n].settings.seeds = seeds;
    }

    /// A new machine under a new name, with an empty disk, which is told of these others.
    pub fn add_machine(&mut self, seeds: &[usize], begins: Time) -> usize {
        let seeds = seeds.iter().map(|n| address(*n)).collect();
        let zone = format!("z{}", self.machines.len() % 3);
        let told = MachineSettings { seeds, is_initial_start: false, zone, ..self.settings.clone() };
        let n = self.add(true, told);
        self.deaf.push(0);
        self.lost.push(begins);
        self.contact.push(0);
        self.hearsay.push(0);
        self.joined.push(None);
        self.later(begins, WorkloadEvent::Start(n));
        n
    }

    // ---- Operators ----

    /// Whether something between a caller and this machine arrives.
    fn call_arrives(&mut self, n: usize) -> bool {
        let rough = self.calls_lost.1 > self.now && self.rng.u32(..1000) < self.calls_lost.0;
        self.deaf[n] <= self.now && !rough
    }

    fn operator(&mut self, o: usize) {
        let listed: Vec<usize> = (0..self.machines.len()).filter(|n| !self.machines[*n].is_removed).collect();
        let acknowledged = self.history.newest();
        self.call += 1;
        let (call, now) = (self.call, self.now);
        let operator = &mut self.operators[o];
        if operator.job.is_none() {
            let bytes = self.system.rng.u32(self.bytes / 4..self.bytes);
            operator.start_request(&mut self.system.rng, now, call, bytes, acknowledged);
        }
        if let Some(to) = operator.next(&mut self.system.rng, call, &listed) {
            self.send_call(o, to);
        }
    }

    fn send_call(&mut self, o: usize, to: usize) {
        let Some(job) = &self.operators[o].job else { return };
        let (call, ask, now) = (job.call, job.request.clone(), self.now);
        let delay = MS / 2 + self.rng.u64(..3 * MS) + upload(&ask);
        if self.call_arrives(to) {
            if !self.machines[to].is_up() {
                self.later(
                    now + MS,
                    WorkloadEvent::Reply { operator: o, call, reply: Some(Reply::Unavailable) },
                );
                return;
            }
            self.later(now + delay, WorkloadEvent::Call { to, call, operator: o, request: ask });
        }
        self.later(now + delay + CALL_TIMEOUT, WorkloadEvent::Reply { operator: o, call, reply: None });
    }

    fn call(&mut self, to: usize, call: u64, operator: usize, ask: Request) -> Result<(), Violation> {
        let now = self.now;
        let thaws = self.machines[to].frozen_until;
        if thaws > now {
            // It waits in the machine's socket, whether its caller still does or not.
            self.later(thaws, WorkloadEvent::Call { to, call, operator, request: ask });
            return Ok(());
        }
        if !self.machines[to].is_up() {
            return Ok(());
        }
        let ask = match ask {
            Request::Read(_) => Request::Read(self.history.newest()),
            order => order,
        };
        self.calls.insert(call, Caller::Operator { operator, ask: ask.clone(), came: now });
        match ask {
            Request::Replace(order) => {
                let body = order.body();
                self.history.sent(&order, &body);
                self.with(to, |p| p.replace_configuration(now, call, body.into()))
            }
            Request::Read(_) => self.with(to, |p| p.read_configuration(now, call)),
        }
    }

    fn reply(&mut self, o: usize, call: u64, reply: Option<Reply>) {
        if self.operators[o].job.as_ref().is_none_or(|j| j.call != call) {
            return;
        }
        match self.operators[o].on_reply(reply.as_ref(), machine_index) {
            Next::Send(to) => {
                self.call += 1;
                let call = self.call;
                if let Some(job) = &mut self.operators[o].job {
                    job.call = call;
                }
                self.send_call(o, to);
            }
            Next::Pause(pause) => {
                let at = self.now + pause;
                self.later(at, WorkloadEvent::Operator(o));
            }
            Next::Ended => {
                let calm = if self.faults.is_calm(self.now) { 3 } else { 1 };
                let at = self.now + calm * self.system.rng.u64(self.pace / 8..self.pace);
                self.later(at, WorkloadEvent::Operator(o));
            }
        }
    }

    // ---- Backends ----

    fn send_heartbeat(&mut self, b: usize) {
        if self.backends[b].has_ended {
            return;
        }
        let listed: Vec<usize> = (0..self.machines.len()).filter(|n| !self.machines[*n].is_removed).collect();
        let to = listed[self.rng.usize(..listed.len())];
        self.call += 1;
        let (call, now, id) = (self.call, self.now, self.backends[b].id.clone());
        self.backends[b].call = call;
        let delay = MS / 2 + self.rng.u64(..3 * MS);
        if self.call_arrives(to) {
            if !self.machines[to].is_up() {
                return self
                    .later(now + MS, WorkloadEvent::HeartbeatAnswered { b, call, acknowledged: false });
            }
            self.later(now + delay, WorkloadEvent::HeartbeatArrives { to, call, b, id });
        }
        self.later(now + CALL_TIMEOUT, WorkloadEvent::HeartbeatAnswered { b, call, acknowledged: false });
    }

    /// It comes to a machine: a heartbeat, or the word that it ends, if its leaving is known for long enough.
    fn heartbeat_arrives(&mut self, to: usize, call: u64, b: usize, id: &str) -> Result<(), Violation> {
        let now = self.now;
        let thaws = self.machines[to].frozen_until;
        if thaws > now {
            self.later(thaws, WorkloadEvent::HeartbeatArrives { to, call, b, id: id.into() });
            return Ok(());
        }
        if !self.machines[to].is_up() || self.backends[b].id != id {
            return Ok(());
        }
        let backend = &mut self.backends[b];
        let drains = backend.is_draining;
        self.calls.insert(call, Caller::Backend { b, id: id.into(), drains });
        if backend.drained_at.is_some_and(|at| now >= at + APPLIED) {
            backend.has_ended = true;
            return self.system.with(to, |p| p.deregister(now, call, id));
        }
        let fact = backend.next_heartbeat();
        self.system.with(to, |p| p.heartbeat(now, call, fact))
    }

    fn heartbeat_answered(&mut self, b: usize, call: u64, acknowledged: bool) {
        let now = self.now;
        if self.backends[b].call != call || self.backends[b].has_ended {
            return;
        }
        self.backends[b].call = 0;
        if acknowledged {
            self.backends[b].acknowledged(now);
            let pause = Backend::heartbeat_pause(&mut self.rng);
            return self.later(now + pause, WorkloadEvent::Heartbeat(b));
        }
        self.backends[b].attempts += 1;
        let pause = ((30 * MS) << self.backends[b].attempts.min(4)).min(400 * MS);
        self.later(now + pause, WorkloadEvent::Heartbeat(b));
    }

    /// It leaves, ends without a word, or another life begins at its address.
    fn fate(&mut self, b: usize) {
        let at = self.now + self.rng.u64(6_000..40_000) * MS;
        self.later(at, WorkloadEvent::Fate(b));
        let id = self.backends[b].id.clone();
        if self.backends[b].has_ended {
            self.backend_starts += 1;
            self.backends[b] = Backend::new(b, self.backend_starts);
            let (now, id) = (self.now, self.backends[b].id.clone());
            self.log(|| format!("{id} begins"));
            return self.later(now, WorkloadEvent::Heartbeat(b));
        }
        if self.rng.u8(..4) == 0 {
            self.log(|| format!("{id} ends without a word"));
            self.backends[b].has_ended = true;
        } else {
            self.log(|| format!("{id} wants to leave"));
            self.backends[b].is_draining = true;
        }
    }

    /// A gateway takes a backend's life for over.
    fn ended(&mut self, g: usize, id: &str) -> Result<(), Violation> {
        let now = self.now;
        self.log(|| format!("gateway {g} hears that {id} is over"));
        let lives = self.backends.iter().find(|b| b.id == id).and_then(|b| b.alive_since(now));
        // Whom two that both are in touch do not tell each other of, one of them ends: worst-days, 1.
        let whole = now >= self.partitioned_at + KNOWN + 4_000 * MS && now >= self.last_fault_at + KNOWN;
        match lives.filter(|since| whole && now >= since + KNOWN) {
            Some(_) => Err(Violation::EndedAlive { gateway: g, id: id.into() }),
            None => Ok(()),
        }
    }

    // ---- Gateways ----

    /// What a gateway that believes to be in touch knows.
    fn check_gateways_know_backends(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let acknowledged = self.history.acknowledged_by(now.saturating_sub(FRESH));
        for (g, gateway) in self.system.gateways.iter().enumerate() {
            if gateway.suspended_until > now {
                continue;
            }
            let (touch, fold) = (gateway.subscription.freshness(), gateway.subscription.view());
            let version = fold.configuration().map_or(0, |c| c.version);
            if touch.is_fresh(now) && version < acknowledged {
                return Err(Violation::ServedOld { gateway: g, version, acknowledged });
            }
            // What it was told as of then it has heard of; a time in ms says no more.
            let heard = |at: Time| touch.last_quorum_contact().is_some_and(|told| told > at + 2 * MS);
            let drained =
                self.backends.iter().find(|b| b.drained_at.is_some_and(heard) && fold.accepts_work(&b.id));
            if let Some(b) = drained {
                return Err(Violation::DrainUnknown { gateway: g, id: b.id.clone() });
            }
        }
        Ok(())
    }

    /// Who says that it is in touch could have heard of a majority.
    fn check_contact_claims(&mut self) -> Result<(), Violation> {
        let now = self.now;
        for n in 0..self.machines.len() {
            if !self.machines[n].runs(now) || now.saturating_sub(self.hearsay[n]) <= ALONE {
                continue;
            }
            let age = self.machines[n].with(|p| p.quorum_contact_age(now));
            if age.is_some_and(|age| age <= STALE) && self.is_alone(n).1 {
                return Err(Violation::SaysInTouch(n));
            }
        }
        Ok(())
    }

    /// In a settled stretch each gateway that reaches control nodes has what is in force, and knows all backends that
    /// live.
    fn check_gateways_follow(&mut self, since: Time) -> Result<(), Violation> {
        let now = self.now;
        let long = if self.bytes > 1000 { 2 * APPLIED } else { APPLIED };
        let acknowledged = self.history.acknowledged_by(now.saturating_sub(long));
        for (g, gateway) in self.system.gateways.iter().enumerate() {
            if now < since.max(self.well[g]) + long {
                continue;
            }
            let fold = gateway.subscription.view();
            let version = fold.configuration().map_or(0, |c| c.version);
            if version < acknowledged {
                return Err(Violation::GatewayBehind { gateway: g, version, acknowledged });
            }
            let known = |b: &&Backend| b.alive_since(now).is_some_and(|at| now >= at + KNOWN);
            let unknown = self.backends.iter().filter(known).find(|b| !fold.accepts_work(&b.id));
            // Whom two that both are in touch do not tell each other of, one of them does not know: worst-days, 1.
            if let Some(b) = unknown.filter(|_| now >= since.max(self.partitioned_at) + KNOWN + APPLIED) {
                return Err(Violation::LifeUnknown { gateway: g, id: b.id.clone() });
            }
        }
        Ok(())
    }

    // ---- What holds in calm spells ----

    /// What must hold once all has been calm for long enough.
    fn check_rules(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.later(now + LOOK, WorkloadEvent::CheckRules);
        let (whole, slowed) = self.contacts();
        self.check_gateways_know_backends()?;
        self.check_contact_claims()?;
        if slowed {
            self.event = now;
        }
        let settled = whole && !slowed && now >= self.event + CONTACT;
        self.settled = if settled { self.settled.or(Some(now)) } else { None };
        let Some(since) = self.settled else { return Ok(()) };
        self.check_answers_come(since)?;
        self.check_gateways_follow(since)?;
        self.check_returned_machines()
    }

    /// Who has a way to whom. Whether there is a majority that is whole, and whether something is slowed.
    fn contacts(&mut self) -> (bool, bool) {
        let now = self.now;
        let count = self.machines.len();
        let runs: Vec<bool> = self.machines.iter().map(|m| m.runs(now)).collect();
        let joined = |a: usize, b: usize| runs[a] && runs[b] && self.net.is_connected(a, b, now);
        // Of the voters that `n` knows, how many have a way to it of this kind; itself counts.
        let most = |n: usize, way: &dyn Fn(usize, usize) -> bool| {
            let Some(duty) = self.machines[n].leadership() else { return false };
            let members = &duty.voters;
            let with = |(name, disk): &(&String, &u64)| {
                let m = machine_index(name);
                self.machines[m].id.disk_id == **disk && (m == n || way(m, n))
            };
            2 * members.iter().filter(with).count() > members.len()
        };
        let mut contact = vec![false; count];
        for n in (0..count).filter(|n| runs[*n]) {
            let (id, duty) = (&self.machines[n].id, self.machines[n].leadership());
            contact[n] =
                duty.is_some_and(|d| d.voters.get(&id.name) == Some(&id.disk_id)) && most(n, &joined);
        }
        // Contact is proven by a leader that has a majority.
        let hears: Vec<bool> =
            (0..count).map(|n| contact[n] || (0..count).any(|m| contact[m] && joined(m, n))).collect();
        // Those of a majority that is whole: each has a way to each other.
        let all = |n: usize| (0..count).all(|m| m == n || !contact[m] || !contact[n] || joined(n, m));
        let enough = |n: usize| !contact[n] || most(n, &|m, _| contact[m]);
        let whole = contact.iter().any(|c| *c) && (0..count).all(|n| all(n) && enough(n));
        // While voters are exchanged a majority of the old ones is wanted too: a disk that was just lost, and another
        // machine isolated meanwhile, are two.
        let reaches_old = |n: usize| {
            let Some(core) = self.machines[n].raft().filter(|c| contact[n] && c.is_reconfiguring()) else {
                return true;
            };
            let entries = core.persisted_state().entries;
            let old = entries.iter().rev().find_map(|e| match &e.payload {
                EntryPayload::JointConfiguration { old, .. } => Some(old),
                _ => None,
            });
            let with = |(name, disk): &(&String, &u64)| {
                let m = machine_index(name);
                self.machines[m].id.disk_id == **disk && (m == n || joined(m, n))
            };
            old.is_none_or(|old| 2 * old.iter().filter(with).count() > old.len())
        };
        let whole = whole && (0..count).all(reaches_old);
        let well = |n: usize| hears[n] && (0..count).all(|m| m == n || !runs[m] || joined(n, m));
        let joins: Vec<bool> = (0..count).map(well).collect();
        let slowed = (0..count).any(|n| self.net.is_slowed(n, now) || self.disks.is_bad(n, now));
        let parted = |a: usize| (0..count).any(|b| hears[a] && hears[b] && a != b && !joined(a, b));
        let apart = slowed || (0..count).any(parted);
        // Whoever one hears may tell when that one last had a majority.
        let kept = |m: usize| if contact[m] { now } else { self.contact[m] };
        let told = |n: usize| (0..count).filter(|m| joined(*m, n)).map(kept).max().unwrap_or(0);
        let hearsay: Vec<Time> = (0..count).map(|n| self.hearsay[n].max(told(n))).collect();
        self.hearsay = hearsay;
        if apart {
            self.partitioned_at = now;
        }
        for g in 0..self.gateways.len() {
            if self.gateways[g].isolated_until > now || self.gateways[g].suspended_until > now {
                self.well[g] = now;
            }
        }
        for n in 0..count {
            if contact[n] {
                self.contact[n] = now;
            }
            self.joined[n] = if joins[n] && !slowed { self.joined[n].or(Some(now)) } else { None };
        }
        (whole, slowed)
    }

    /// Whether this one has no way to a majority now, by itself and by others: what has just been healed is seen here
    /// first.
    fn is_alone(&mut self, n: usize) -> (bool, bool) {
        self.contacts();
        (self.contact[n] < self.now, self.hearsay[n] < self.now)
    }

    fn check_answers_come(&mut self, since: Time) -> Result<(), Violation> {
        let now = self.now;
        let deaf = |n: &usize| self.deaf[*n] > now;
        if self.calls_lost.1 > now || self.leader().is_some_and(|n| deaf(&n)) {
            self.unheard = now;
        }
        // A caller that tries one of those that do not answer goes on after a second.
        let count = self.machines.len();
        let mute = |n: &usize| !self.machines[*n].runs(now) || self.contact[*n] < now || deaf(n);
        let mute = (0..count).filter(mute).count() as Time;
        let since = since.max(self.unheard);
        // One that may have been taken so long ago that nobody knows is neither acknowledged nor refused: worst-days,
        // 2.
        let state = self.leader().and_then(|n| self.machines[n].state());
        let forgotten = |ask: &Request| match ask {
            Request::Replace(order) => state.is_some_and(|b| b.may_have_forgotten_version(order.version)),
            Request::Read(_) => false,
        };
        for operator in &self.operators {
            let Some(job) = operator.job.as_ref().filter(|j| !forgotten(&j.request)) else { continue };
            // It is sent whole to each, and once more to whoever an answer names.
            let sends = upload(&job.request) * (mute + 3);
            if now.saturating_sub(job.began.max(since))
                > ACKNOWLEDGED + mute * (CALL_TIMEOUT + 500 * MS) + sends
            {
                return Err(Violation::NotAnswered(format!("{:?}", job.request)));
            }
        }
        Ok(())
    }

    /// Who has been back for long enough knows all, and votes.
    fn check_returned_machines(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let known = self.history.acknowledged_by(now - 1500 * MS);
        let back = |n: usize| self.joined[n].is_some_and(|at| now >= at + CATCH_UP + CONTACT);
        for (_, m) in self.machines.iter().enumerate().filter(|(n, _)| back(*n)) {
            if m.version() < known {
                return Err(Violation::Behind(m.id.to_string()));
            }
        }
        let voters: Vec<(usize, &Machine)> =
            self.machines.iter().enumerate().filter(|(_, m)| m.can_vote && !m.is_removed).collect();
        if voters.iter().all(|(n, _)| back(*n)) {
            let wanted: VoterSet = voters.iter().map(|(_, m)| (m.id.name.clone(), m.id.disk_id)).collect();
            if let Some((_, m)) =
                voters.iter().find(|(_, m)| m.leadership().is_none_or(|d| d.voters != wanted))
            {
                return Err(Violation::NotRepaired(m.id.to_string()));
            }
        }
        Ok(())
    }

    fn inject_fault(&mut self, trouble: FaultEvent) -> Result<(), Violation> {
        // What follows may end a contact that was seen by nobody yet.
        self.contacts();
        let mut storm = std::mem::take(&mut self.faults);
        let result = storm.inject(self, trouble);
        self.faults = storm;
        result
    }

    /// It has been joined with all others, with a majority among them, for as long as it takes to catch up.
    pub fn is_back(&self, n: usize) -> bool {
        self.joined[n].is_some_and(|at| self.now >= at + CATCH_UP)
    }

    /// A gateway has to catch up from now on.
    pub fn gateway_struck(&mut self, g: usize) {
        self.well[g] = self.now;
        // Its settings file names some that are there.
        let there: Vec<usize> = (0..self.machines.len()).filter(|m| !self.machines[*m].is_removed).collect();
        self.gateways[g].set_seeds(&there);
    }

    /// Those that count: neither gone nor without a disk.
    pub fn voters(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|n| self.machines[*n].can_vote && !self.machines[*n].is_removed)
            .collect()
    }
}

/// How long a caller takes to send this: 3 ms for each route, of some 250 bytes.
fn upload(ask: &Request) -> Time {
    match ask {
        Request::Replace(order) => 3 * MS * Time::from(order.bytes) / 250,
        Request::Read(_) => 0,
    }
}

fn short(reply: &Reply) -> String {
    match reply {
        Reply::Current(held) => format!("stands {:?}", held.as_ref().map(|(v, _)| *v)),
        reply => format!("{reply:?}"),
    }
}

fn describe(machine: &Machine) -> String {
    let Machine { id, can_vote: votes, is_removed: gone, .. } = machine;
    let Some(node) = machine.node() else { return format!("{id}: down, votes {votes}, gone {gone}") };
    let (core, duty) = (node.raft(), node.leadership());
    format!(
        "{id}: {}, votes {votes}, gone {gone}, term {}, agreed {}, from {}, {} entries, configuration {}, leads {}, follows {:?}, \
         members {:?}",
        node.describe_storage(),
        core.term(),
        core.commit_index(),
        core.snapshot().index,
        core.entry_count(),
        machine.version(),
        duty.is_leader,
        duty.leader,
        duty.voters
    )
}
