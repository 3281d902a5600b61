//! A world of minutes: prompters on links that are cut, reset, narrow or rough, operators that send again what was not
//! answered, backends that come and leave, gateways that follow. Storms and calm spells by turns; `storm` draws what goes wrong.

use crate::backends::Backend;
use crate::defect::Defect;
use crate::gateways::Gateway;
use crate::ledger::{check, Ask, Ledger, Reply};
use crate::machine::{address, place, Machine, Told};
use crate::operators::{Next, Operator, SILENCE};
use crate::rules::Broken;
use crate::storm::{Storm, Trouble};
use crate::system::{Event, Seen, System};
use crate::world::Story;
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
/// A prompter that has known of a majority within so long is one to follow, in the gateway's eyes.
const STALE: Time = 1_000 * MS;
/// A backend that was heard all the time for so long is known to all who are in touch.
const KNOWN: Time = 4_000 * MS;
const GATEWAYS: usize = 4;
const BACKENDS: usize = 6;
const LOOK: Time = 100 * MS;
/// Where a seed that is lost at the very first start is lost: before, while and after the core is founded.
const FOUNDING: Time = 1_500 * MS;

/// What happens beside what the system does.
#[derive(Debug)]
pub enum Happens {
    Start(usize),
    Kill(usize, Time),
    /// Told to end.
    Leaving(usize, u64),
    /// Ends for good.
    Gone(usize),
    /// An operator's call comes to a machine.
    Call {
        to: usize,
        call: u64,
        operator: usize,
        ask: Ask,
    },
    Reply {
        operator: usize,
        call: u64,
        reply: Option<Reply>,
    },
    Operator(usize),
    /// A backend's turn to say something.
    Beat(usize),
    /// What it says comes to a machine.
    Said {
        to: usize,
        call: u64,
        b: usize,
        id: String,
    },
    Heard {
        b: usize,
        call: u64,
        acknowledged: bool,
    },
    /// A backend's fate turns.
    Fate(usize),
    Look,
    Trouble(Trouble),
    /// Something of the storm's ends by itself.
    Mark,
}

/// Who waits for an answer.
#[derive(Debug)]
enum Caller {
    Operator { operator: usize, ask: Ask, came: Time },
    Backend { b: usize, id: String, drains: bool },
}

pub struct Long {
    system: System<Happens>,
    /// Machines that callers do not reach, and until when; and how many in a thousand of their messages are lost.
    pub deaf: Vec<Time>,
    pub calls_lost: (u32, Time),
    /// When a machine was last down, frozen, slowed or cut off: this may lie ahead.
    pub lost: Vec<Time>,
    operators: Vec<Operator>,
    told: Told,
    /// Between two orders of one operator, at the most.
    pace: Time,
    /// Bytes of a configuration at the most.
    bytes: u32,
    backends: Vec<Backend>,
    /// Lives so far.
    lives: u64,
    call: u64,
    calls: BTreeMap<u64, Caller>,
    pub ledger: Ledger,
    /// When each last had a way to a majority of those that it takes for voters, both ways by itself; and when it may
    /// have heard of one by others.
    contact: Vec<Time>,
    hearsay: Vec<Time>,
    /// When two that were both in contact with a majority last had no way to each other, or something was slowed.
    apart: Time,
    /// When something was last killed, frozen, cut off or reset: a beat that it had acknowledged may be lost with it.
    pub struck: Time,
    /// The last event that unsettles the core.
    pub event: Time,
    settled: Option<Time>,
    /// When callers last had no way to the leader, or only a rough one.
    unheard: Time,
    /// Since when each runs and is joined with all others that run.
    joined: Vec<Option<Time>>,
    /// Since when each gateway runs and reaches prompters.
    well: Vec<Time>,
    storm: Storm,
    pub story: Story,
}

impl Deref for Long {
    type Target = System<Happens>;
    fn deref(&self) -> &System<Happens> {
        &self.system
    }
}

impl DerefMut for Long {
    fn deref_mut(&mut self) -> &mut System<Happens> {
        &mut self.system
    }
}

impl Long {
    pub fn new(seed: u64, defect: Option<Defect>, pairs: bool) -> Self {
        let mut rng = Rng::with_seed(seed);
        let voters = if rng.bool() { 3 } else { 5 };
        let fold = if rng.bool() { 64 } else { rng.usize(6..30) };
        let operators = rng.usize(2..9);
        // Of forty worlds one has hundreds of changes.
        let dense = rng.u8(..40) == 0;
        let storm = Storm::new(&mut rng, voters, pairs);
        // Large configurations are few: their bytes are real ones.
        let heavy = !dense && rng.u8(..12) == 0;
        let pace = if heavy { 12_000 } else { [400, 1500, 6000][rng.usize(..3)] };
        let pace = if dense { 60 } else { pace };
        let operators = (0..operators).map(|_| Operator::new(&mut rng)).collect();
        let mut system = System::new(rng, defect, check);
        let terms = |_: &[u8]| TenantTerms::default();
        let seeds = (0..3).map(address).collect();
        let told = Told { seeds, first: true, zone: String::new(), terms, fold };
        // The last has no disk.
        for n in 0..=voters {
            system.add(n < voters, Told { zone: format!("z{}", n % 3), ..told.clone() });
        }
        for g in 0..GATEWAYS {
            let mut gateway = Gateway::new(g, &format!("z{}", g % 3), &[0, 1, 2]);
            gateway.rate = (g % 2 == 0).then_some(250_000.0);
            system.gateways.push(gateway);
        }
        let count = system.machines.len();
        Long {
            system,
            deaf: vec![0; count],
            calls_lost: (0, 0),
            lost: vec![0; count],
            operators,
            told,
            pace: pace * MS,
            bytes: if heavy { 250_000 } else { 400 },
            backends: (0..BACKENDS).map(|b| Backend::new(b, 0)).collect(),
            lives: 0,
            call: 0,
            calls: BTreeMap::new(),
            ledger: Ledger::default(),
            contact: vec![0; count],
            hearsay: vec![0; count],
            apart: 0,
            struck: 0,
            event: 0,
            settled: None,
            unheard: 0,
            joined: vec![None; count],
            well: vec![0; GATEWAYS],
            storm,
            story: Story::default(),
        }
    }

    pub fn tell(&mut self, line: impl FnOnce() -> String) {
        if self.story.lines.len() >= 400 {
            self.story.lines.pop_front();
        }
        let now = self.now as f64 / 1e6;
        self.story.lines.push_back(format!("{now:10.3} {}", line()));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result<Story, Box<(Broken, Story)>> {
        let result = self.run();
        let counts = self.ledger.counts;
        (self.story.acknowledged, self.story.reads) = (counts.acknowledged, counts.reads);
        (self.story.again, self.story.refused) = (counts.again, counts.refused);
        (self.story.drains, self.story.changes) = (counts.drains, counts.changes);
        self.story.lasted = self.now;
        match result {
            Ok(()) => Ok(self.story),
            Err(broken) => {
                let state: Vec<String> = self.machines.iter().map(describe).collect();
                state.into_iter().for_each(|line| self.tell(|| line));
                Err(Box::new((broken, self.story)))
            }
        }
    }

    fn run(&mut self) -> Result<(), Broken> {
        for n in 0..self.machines.len() {
            let at = self.rng.u64(..300) * MS;
            self.at(at, Event::Start(n));
        }
        self.begin();
        if self.rng.u8(..6) == 0 {
            // A seed ends before the core is founded, or just behind that.
            let (n, at) = (self.rng.usize(..3), self.rng.u64(1..FOUNDING / MS) * MS);
            let lasts = self.rng.u64(50..1000) * MS;
            self.later(at, Happens::Kill(n, lasts));
        }
        self.later(LOOK, Happens::Look);
        for o in 0..self.operators.len() {
            let at = self.rng.u64(1500..4000) * MS;
            self.later(at, Happens::Operator(o));
        }
        for b in 0..self.backends.len() {
            let at = self.rng.u64(..1000) * MS;
            self.later(at, Happens::Beat(b));
            let at = self.rng.u64(8_000..40_000) * MS;
            self.later(at, Happens::Fate(b));
        }
        let ends = self.storm.ends();
        let first = self.storm.first();
        self.later(first, Happens::Trouble(Trouble::Next));
        if self.rng.u8(..4) == 0 {
            self.later(first + 1000 * MS, Happens::Trouble(Trouble::Replace));
        }
        while let Some(event) = self.pop() {
            if self.now >= ends {
                break;
            }
            self.story.steps += 1;
            if let Some(event) = self.system.step(event)? {
                self.step(event)?;
            }
            self.look_at_what_was_seen()?;
        }
        Ok(())
    }

    fn step(&mut self, event: Happens) -> Result<(), Broken> {
        let now = self.now;
        match event {
            Happens::Start(n) => {
                if !self.machines[n].is_up() && !self.machines[n].gone {
                    self.tell(|| format!("p{n} begins"));
                    self.tell_new_seeds(n);
                    self.event = now;
                    self.lost[n] = self.lost[n].max(now);
                    self.at(now, Event::Start(n));
                }
            }
            Happens::Kill(n, lasts) => self.kill(n, lasts),
            Happens::Leaving(n, life) => {
                if self.machines[n].life == life {
                    let thaws = self.machines[n].frozen_until;
                    if thaws > now {
                        self.later(thaws, Happens::Leaving(n, life));
                    } else {
                        self.with(n, |p| p.begin_shutdown(now))?;
                    }
                }
            }
            Happens::Gone(n) => {
                self.kill(n, 0);
                self.machines[n].gone = true;
                (0..self.machines.len()).for_each(|m| self.tell_new_seeds(m));
            }
            Happens::Call { to, call, operator, ask } => self.call(to, call, operator, ask)?,
            Happens::Reply { operator, call, reply } => self.reply(operator, call, reply),
            Happens::Operator(o) => self.operator(o),
            Happens::Beat(b) => self.beat(b),
            Happens::Said { to, call, b, id } => self.said(to, call, b, &id)?,
            Happens::Heard { b, call, acknowledged } => self.heard(b, call, acknowledged),
            Happens::Fate(b) => self.fate(b),
            Happens::Look => self.look()?,
            Happens::Trouble(trouble) => self.trouble(trouble)?,
            Happens::Mark => self.event = self.event.max(now),
        }
        Ok(())
    }

    fn look_at_what_was_seen(&mut self) -> Result<(), Broken> {
        while let Some(seen) = self.seen.pop_front() {
            match seen {
                Seen::Applied { place, word } => {
                    let now = self.now;
                    self.ledger.applied(now, place, &word)?;
                }
                Seen::Answered { n, call, reply } => self.answered(n, call, &reply)?,
                Seen::News { g, news } => {
                    // A word that tells of an end and of what came behind it is one word.
                    let fold = self.system.gateways[g].follow.view();
                    let over = news.into_iter().filter_map(|n| match n {
                        ViewChange::BackendRemoved(id) if !fold.accepts_work(&id) => Some(id),
                        _ => None,
                    });
                    for id in over.collect::<Vec<_>>() {
                        self.ended(g, &id)?;
                    }
                }
                Seen::Lent { .. } => {}
            }
        }
        Ok(())
    }

    // ---- Machines ----

    fn answered(&mut self, n: usize, call: u64, said: &control_node::Reply) -> Result<(), Broken> {
        let now = self.now;
        match self.calls.remove(&call) {
            Some(Caller::Operator { operator, ask, came }) => {
                self.operator_answered(n, call, operator, &ask, came, Reply::of(said))
            }
            Some(Caller::Backend { b, id, drains }) => {
                let acknowledged = *said == control_node::Reply::Acknowledged;
                if acknowledged && drains {
                    self.ledger.drained(&id)?;
                    if self.backends[b].id == id {
                        self.backends[b].drained.get_or_insert(now);
                    }
                }
                let delay = MS / 2 + self.rng.u64(..3 * MS);
                if self.call_arrives(n) {
                    self.later(now + delay, Happens::Heard { b, call, acknowledged });
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
        ask: &Ask,
        came: Time,
        reply: Reply,
    ) -> Result<(), Broken> {
        let now = self.now;
        let clear = !matches!(reply, Reply::Elsewhere(_) | Reply::Later);
        if clear {
            self.tell(|| format!("p{n} answers {ask:?}: {}", short(&reply)));
        }
        self.ledger.answered(now, came, ask, &reply)?;
        // A call that lay here while the machine stood still has no caller any more; what it is told was true before.
        let has_caller = now <= came + SILENCE;
        if clear && has_caller && now.saturating_sub(self.contact[n]) > ALONE && self.is_alone(n).0 {
            return Err(Broken::DecidedAlone(n));
        }
        let delay = MS / 2 + self.rng.u64(..3 * MS);
        if self.call_arrives(n) {
            self.later(now + delay, Happens::Reply { operator, call, reply: Some(reply) });
        }
        Ok(())
    }

    pub fn kill(&mut self, n: usize, lasts: Time) {
        if !self.machines[n].is_up() {
            return;
        }
        self.tell(|| format!("p{n} dies for {} ms", lasts / MS));
        self.stop(n);
        (self.event, self.struck) = (self.now, self.now);
        let at = self.now + lasts;
        self.lost[n] = self.lost[n].max(at);
        self.later(at, Happens::Start(n));
    }

    /// The operators' list names some that are there. A voter whose seeds are all gone or down knows the others by its log; one that
    /// has nothing is told anew.
    fn tell_new_seeds(&mut self, n: usize) {
        let now = self.now;
        let gone = |s: &String| place(s) == n || !self.machines[place(s)].runs(now);
        let machine = &self.machines[n];
        if machine.votes && machine.disk != PersistedState::default() || !machine.told.seeds.iter().all(gone)
        {
            return;
        }
        let mut there: Vec<usize> =
            (0..self.machines.len()).filter(|m| *m != n && !self.machines[*m].gone).collect();
        self.rng.shuffle(&mut there);
        there.sort_by_key(|m| !self.machines[*m].runs(now));
        let seeds: Vec<String> = there.into_iter().take(3).map(address).collect();
        // One that runs is told by a signal.
        self.machines[n].with(|p| seeds.iter().for_each(|s| p.learn_node(s, "")));
        self.machines[n].told.seeds = seeds;
    }

    /// A new machine under a new name, with an empty disk, which is told of these others.
    pub fn newcomer(&mut self, seeds: &[usize], begins: Time) -> usize {
        let seeds = seeds.iter().map(|n| address(*n)).collect();
        let zone = format!("z{}", self.machines.len() % 3);
        let told = Told { seeds, first: false, zone, ..self.told.clone() };
        let n = self.add(true, told);
        self.deaf.push(0);
        self.lost.push(begins);
        self.contact.push(0);
        self.hearsay.push(0);
        self.joined.push(None);
        self.later(begins, Happens::Start(n));
        n
    }

    // ---- Operators ----

    /// Whether something between a caller and this machine arrives.
    fn call_arrives(&mut self, n: usize) -> bool {
        let rough = self.calls_lost.1 > self.now && self.rng.u32(..1000) < self.calls_lost.0;
        self.deaf[n] <= self.now && !rough
    }

    fn operator(&mut self, o: usize) {
        let listed: Vec<usize> = (0..self.machines.len()).filter(|n| !self.machines[*n].gone).collect();
        let acknowledged = self.ledger.newest();
        self.call += 1;
        let (call, now) = (self.call, self.now);
        let operator = &mut self.operators[o];
        if operator.job.is_none() {
            let bytes = self.system.rng.u32(self.bytes / 4..self.bytes);
            operator.wants(&mut self.system.rng, now, call, bytes, acknowledged);
        }
        if let Some(to) = operator.next(&mut self.system.rng, call, &listed) {
            self.send_call(o, to);
        }
    }

    fn send_call(&mut self, o: usize, to: usize) {
        let Some(job) = &self.operators[o].job else { return };
        let (call, ask, now) = (job.call, job.ask.clone(), self.now);
        let delay = MS / 2 + self.rng.u64(..3 * MS) + upload(&ask);
        if self.call_arrives(to) {
            if !self.machines[to].is_up() {
                self.later(now + MS, Happens::Reply { operator: o, call, reply: Some(Reply::Later) });
                return;
            }
            self.later(now + delay, Happens::Call { to, call, operator: o, ask });
        }
        self.later(now + delay + SILENCE, Happens::Reply { operator: o, call, reply: None });
    }

    fn call(&mut self, to: usize, call: u64, operator: usize, ask: Ask) -> Result<(), Broken> {
        let now = self.now;
        let thaws = self.machines[to].frozen_until;
        if thaws > now {
            // It waits in the machine's socket, whether its caller still does or not.
            self.later(thaws, Happens::Call { to, call, operator, ask });
            return Ok(());
        }
        if !self.machines[to].is_up() {
            return Ok(());
        }
        let ask = match ask {
            Ask::Read(_) => Ask::Read(self.ledger.newest()),
            order => order,
        };
        self.calls.insert(call, Caller::Operator { operator, ask: ask.clone(), came: now });
        match ask {
            Ask::Replace(order) => {
                let body = order.body();
                self.ledger.sends(&order, &body);
                self.with(to, |p| p.replace_configuration(now, call, body.into()))
            }
            Ask::Read(_) => self.with(to, |p| p.read_configuration(now, call)),
        }
    }

    fn reply(&mut self, o: usize, call: u64, reply: Option<Reply>) {
        if self.operators[o].job.as_ref().is_none_or(|j| j.call != call) {
            return;
        }
        match self.operators[o].hears(reply.as_ref(), place) {
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
                self.later(at, Happens::Operator(o));
            }
            Next::Ended => {
                let calm = if self.storm.is_calm(self.now) { 3 } else { 1 };
                let at = self.now + calm * self.system.rng.u64(self.pace / 8..self.pace);
                self.later(at, Happens::Operator(o));
            }
        }
    }

    // ---- Backends ----

    fn beat(&mut self, b: usize) {
        if self.backends[b].over {
            return;
        }
        let listed: Vec<usize> = (0..self.machines.len()).filter(|n| !self.machines[*n].gone).collect();
        let to = listed[self.rng.usize(..listed.len())];
        self.call += 1;
        let (call, now, id) = (self.call, self.now, self.backends[b].id.clone());
        self.backends[b].call = call;
        let delay = MS / 2 + self.rng.u64(..3 * MS);
        if self.call_arrives(to) {
            if !self.machines[to].is_up() {
                return self.later(now + MS, Happens::Heard { b, call, acknowledged: false });
            }
            self.later(now + delay, Happens::Said { to, call, b, id });
        }
        self.later(now + SILENCE, Happens::Heard { b, call, acknowledged: false });
    }

    /// It comes to a machine: a beat, or the word that it ends, if its leaving is known for long enough.
    fn said(&mut self, to: usize, call: u64, b: usize, id: &str) -> Result<(), Broken> {
        let now = self.now;
        let thaws = self.machines[to].frozen_until;
        if thaws > now {
            self.later(thaws, Happens::Said { to, call, b, id: id.into() });
            return Ok(());
        }
        if !self.machines[to].is_up() || self.backends[b].id != id {
            return Ok(());
        }
        let backend = &mut self.backends[b];
        let drains = backend.drains;
        self.calls.insert(call, Caller::Backend { b, id: id.into(), drains });
        if backend.drained.is_some_and(|at| now >= at + APPLIED) {
            backend.over = true;
            return self.system.with(to, |p| p.deregister(now, call, id));
        }
        let fact = backend.fact();
        self.system.with(to, |p| p.heartbeat(now, call, fact))
    }

    fn heard(&mut self, b: usize, call: u64, acknowledged: bool) {
        let now = self.now;
        if self.backends[b].call != call || self.backends[b].over {
            return;
        }
        self.backends[b].call = 0;
        if acknowledged {
            self.backends[b].acknowledged(now);
            let pause = Backend::pause(&mut self.rng);
            return self.later(now + pause, Happens::Beat(b));
        }
        self.backends[b].tries += 1;
        let pause = ((30 * MS) << self.backends[b].tries.min(4)).min(400 * MS);
        self.later(now + pause, Happens::Beat(b));
    }

    /// It leaves, ends without a word, or another life begins at its address.
    fn fate(&mut self, b: usize) {
        let at = self.now + self.rng.u64(6_000..40_000) * MS;
        self.later(at, Happens::Fate(b));
        let id = self.backends[b].id.clone();
        if self.backends[b].over {
            self.lives += 1;
            self.backends[b] = Backend::new(b, self.lives);
            let (now, id) = (self.now, self.backends[b].id.clone());
            self.tell(|| format!("{id} begins"));
            return self.later(now, Happens::Beat(b));
        }
        if self.rng.u8(..4) == 0 {
            self.tell(|| format!("{id} ends without a word"));
            self.backends[b].over = true;
        } else {
            self.tell(|| format!("{id} wants to leave"));
            self.backends[b].drains = true;
        }
    }

    /// A gateway takes a backend's life for over.
    fn ended(&mut self, g: usize, id: &str) -> Result<(), Broken> {
        let now = self.now;
        self.tell(|| format!("gateway {g} hears that {id} is over"));
        let lives = self.backends.iter().find(|b| b.id == id).and_then(|b| b.lives_since(now));
        // Whom two that both are in touch do not tell each other of, one of them ends: worst-days, 1.
        let whole = now >= self.apart + KNOWN + 4_000 * MS && now >= self.struck + KNOWN;
        match lives.filter(|since| whole && now >= since + KNOWN) {
            Some(_) => Err(Broken::EndedAlive { gateway: g, id: id.into() }),
            None => Ok(()),
        }
    }

    // ---- Gateways ----

    /// What a gateway that believes to be in touch knows.
    fn gateways_know(&mut self) -> Result<(), Broken> {
        let now = self.now;
        let acknowledged = self.ledger.acknowledged_by(now.saturating_sub(FRESH));
        for (g, gateway) in self.system.gateways.iter().enumerate() {
            if gateway.asleep > now {
                continue;
            }
            let (touch, fold) = (gateway.follow.freshness(), gateway.follow.view());
            let version = fold.configuration().map_or(0, |c| c.version);
            if touch.is_fresh(now) && version < acknowledged {
                return Err(Broken::ServedOld { gateway: g, version, acknowledged });
            }
            // What it was told as of then it has heard of; a time in ms says no more.
            let heard = |at: Time| touch.last_quorum_contact().is_some_and(|told| told > at + 2 * MS);
            let drained =
                self.backends.iter().find(|b| b.drained.is_some_and(heard) && fold.accepts_work(&b.id));
            if let Some(b) = drained {
                return Err(Broken::DrainUnknown { gateway: g, id: b.id.clone() });
            }
        }
        Ok(())
    }

    /// Who says that it is in touch could have heard of a majority.
    fn in_touch_is_true(&mut self) -> Result<(), Broken> {
        let now = self.now;
        for n in 0..self.machines.len() {
            if !self.machines[n].runs(now) || now.saturating_sub(self.hearsay[n]) <= ALONE {
                continue;
            }
            let age = self.machines[n].with(|p| p.quorum_contact_age(now));
            if age.is_some_and(|age| age <= STALE) && self.is_alone(n).1 {
                return Err(Broken::SaysInTouch(n));
            }
        }
        Ok(())
    }

    /// In a settled stretch each gateway that reaches prompters has what is in force, and knows all backends that live.
    fn gateways_follow(&mut self, since: Time) -> Result<(), Broken> {
        let now = self.now;
        let long = if self.bytes > 1000 { 2 * APPLIED } else { APPLIED };
        let acknowledged = self.ledger.acknowledged_by(now.saturating_sub(long));
        for (g, gateway) in self.system.gateways.iter().enumerate() {
            if now < since.max(self.well[g]) + long {
                continue;
            }
            let fold = gateway.follow.view();
            let version = fold.configuration().map_or(0, |c| c.version);
            if version < acknowledged {
                return Err(Broken::GatewayBehind { gateway: g, version, acknowledged });
            }
            let known = |b: &&Backend| b.lives_since(now).is_some_and(|at| now >= at + KNOWN);
            let unknown = self.backends.iter().filter(known).find(|b| !fold.accepts_work(&b.id));
            // Whom two that both are in touch do not tell each other of, one of them does not know: worst-days, 1.
            if let Some(b) = unknown.filter(|_| now >= since.max(self.apart) + KNOWN + APPLIED) {
                return Err(Broken::LifeUnknown { gateway: g, id: b.id.clone() });
            }
        }
        Ok(())
    }

    // ---- What holds in calm spells ----

    /// What must hold once all has been calm for long enough.
    fn look(&mut self) -> Result<(), Broken> {
        let now = self.now;
        self.later(now + LOOK, Happens::Look);
        let (whole, slowed) = self.contacts();
        self.gateways_know()?;
        self.in_touch_is_true()?;
        if slowed {
            self.event = now;
        }
        let settled = whole && !slowed && now >= self.event + CONTACT;
        self.settled = if settled { self.settled.or(Some(now)) } else { None };
        let Some(since) = self.settled else { return Ok(()) };
        self.answers_come(since)?;
        self.gateways_follow(since)?;
        self.all_know()
    }

    /// Who has a way to whom. Whether there is a majority that is whole, and whether something is slowed.
    fn contacts(&mut self) -> (bool, bool) {
        let now = self.now;
        let count = self.machines.len();
        let runs: Vec<bool> = self.machines.iter().map(|m| m.runs(now)).collect();
        let joined = |a: usize, b: usize| runs[a] && runs[b] && self.net.joined(a, b, now);
        // Of the voters that `n` knows, how many have a way to it of this kind; itself counts.
        let most = |n: usize, way: &dyn Fn(usize, usize) -> bool| {
            let Some(duty) = self.machines[n].duty() else { return false };
            let members = &duty.voters;
            let with = |(name, disk): &(&String, &u64)| {
                let m = place(name);
                self.machines[m].id.disk_id == **disk && (m == n || way(m, n))
            };
            2 * members.iter().filter(with).count() > members.len()
        };
        let mut contact = vec![false; count];
        for n in (0..count).filter(|n| runs[*n]) {
            let (id, duty) = (&self.machines[n].id, self.machines[n].duty());
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
        // While voters are exchanged a majority of the old ones is wanted too: a disk that was just lost, and another machine cut off
        // meanwhile, are two.
        let reaches_old = |n: usize| {
            let Some(core) = self.machines[n].core().filter(|c| contact[n] && c.is_reconfiguring()) else {
                return true;
            };
            let entries = core.persisted_state().entries;
            let old = entries.iter().rev().find_map(|e| match &e.payload {
                EntryPayload::JointConfiguration { old, .. } => Some(old),
                _ => None,
            });
            let with = |(name, disk): &(&String, &u64)| {
                let m = place(name);
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
            self.apart = now;
        }
        for g in 0..self.gateways.len() {
            if self.gateways[g].cut_until > now || self.gateways[g].asleep > now {
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

    /// Whether this one has no way to a majority now, by itself and by others: what has just been healed is seen here first.
    fn is_alone(&mut self, n: usize) -> (bool, bool) {
        self.contacts();
        (self.contact[n] < self.now, self.hearsay[n] < self.now)
    }

    fn answers_come(&mut self, since: Time) -> Result<(), Broken> {
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
        // One that may have been taken so long ago that nobody knows is neither acknowledged nor refused: worst-days, 2.
        let book = self.leader().and_then(|n| self.machines[n].book());
        let forgotten = |ask: &Ask| match ask {
            Ask::Replace(order) => book.is_some_and(|b| b.may_have_forgotten_version(order.version)),
            Ask::Read(_) => false,
        };
        for operator in &self.operators {
            let Some(job) = operator.job.as_ref().filter(|j| !forgotten(&j.ask)) else { continue };
            // It is sent whole to each, and once more to whoever an answer names.
            let sends = upload(&job.ask) * (mute + 3);
            if now.saturating_sub(job.began.max(since)) > ACKNOWLEDGED + mute * (SILENCE + 500 * MS) + sends {
                return Err(Broken::NotAnswered(format!("{:?}", job.ask)));
            }
        }
        Ok(())
    }

    /// Who has been back for long enough knows all, and votes.
    fn all_know(&mut self) -> Result<(), Broken> {
        let now = self.now;
        let known = self.ledger.acknowledged_by(now - 1500 * MS);
        let back = |n: usize| self.joined[n].is_some_and(|at| now >= at + CATCH_UP + CONTACT);
        for (_, m) in self.machines.iter().enumerate().filter(|(n, _)| back(*n)) {
            if m.version() < known {
                return Err(Broken::Behind(m.id.to_string()));
            }
        }
        let voters: Vec<(usize, &Machine)> =
            self.machines.iter().enumerate().filter(|(_, m)| m.votes && !m.gone).collect();
        if voters.iter().all(|(n, _)| back(*n)) {
            let wanted: VoterSet = voters.iter().map(|(_, m)| (m.id.name.clone(), m.id.disk_id)).collect();
            if let Some((_, m)) = voters.iter().find(|(_, m)| m.duty().is_none_or(|d| d.voters != wanted)) {
                return Err(Broken::NotRepaired(m.id.to_string()));
            }
        }
        Ok(())
    }

    fn trouble(&mut self, trouble: Trouble) -> Result<(), Broken> {
        // What follows may end a contact that was seen by nobody yet.
        self.contacts();
        let mut storm = std::mem::take(&mut self.storm);
        let result = storm.strike(self, trouble);
        self.storm = storm;
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
        let there: Vec<usize> = (0..self.machines.len()).filter(|m| !self.machines[*m].gone).collect();
        self.gateways[g].tell_seeds(&there);
    }

    /// Those that count: neither gone nor without a disk.
    pub fn voters(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|n| self.machines[*n].votes && !self.machines[*n].gone).collect()
    }
}

/// How long a caller takes to send this: 3 ms for each route, of some 250 bytes.
fn upload(ask: &Ask) -> Time {
    match ask {
        Ask::Replace(order) => 3 * MS * Time::from(order.bytes) / 250,
        Ask::Read(_) => 0,
    }
}

fn short(reply: &Reply) -> String {
    match reply {
        Reply::Stands(held) => format!("stands {:?}", held.as_ref().map(|(v, _)| *v)),
        reply => format!("{reply:?}"),
    }
}

fn describe(machine: &Machine) -> String {
    let Machine { id, votes, gone, .. } = machine;
    let Some(prompter) = machine.prompter() else { return format!("{id}: down, votes {votes}, gone {gone}") };
    let (core, duty) = (prompter.raft(), prompter.leadership());
    format!(
        "{id}: {}, votes {votes}, gone {gone}, term {}, agreed {}, from {}, {} entries, configuration {}, leads {}, follows {:?}, \
         members {:?}",
        prompter.describe_storage(),
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
