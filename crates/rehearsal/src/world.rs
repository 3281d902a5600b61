//! The world: prompters, gateways with one hot tenant, operators and leaving backends, and what goes wrong.

use crate::defect::Defect;
use crate::guest::{self, Guest};
use crate::node::{save, Call, Node, Step};
use crate::rules::{Broken, Seen};
use crate::{Time, MS};
use boxoffice::{Ask, Desk, Lent, Limit, Verdict};
use fastrand::Rng;
use promptbook::Word;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use understudy::{Id, Input, Members, Message};

/// How long a seed is played, and how long nothing goes wrong at its end.
const LENGTH: Time = 14_000 * MS;
const CALM: Time = 4_000 * MS;
const GATEWAYS: usize = 5;
/// A disk is lost again no sooner: the machine has come back and caught up by then.
const CATCH_UP: Time = 4_000 * MS;
const RATE: f64 = 120.0;

#[derive(Debug)]
enum Event {
    Message(Box<Message>),
    Tick(usize),
    Start(usize),
    HandOver(usize),
    Kill(usize, Time),
    /// Prompters say who they are.
    Hello,
    Operator,
    Trouble,
    Gateway,
    /// Holders look whether a trial is over.
    Trials,
    Ask {
        gateway: usize,
        to: usize,
        ask: Ask,
    },
    Lent {
        gateway: usize,
        lent: Lent,
    },
}

/// What happened, a line each.
#[derive(Debug, Default)]
pub struct Story {
    pub lines: VecDeque<String>,
    pub steps: u64,
    pub acknowledged: u32,
    pub reads: u32,
    pub through: u32,
    /// Of the tenant on trial: at full speed, in turn, refused for the pace.
    pub guest: (u32, u32, u32),
    /// Of worlds of minutes: acknowledged again, refused, and how long they lasted.
    pub again: u32,
    pub refused: u32,
    pub lasted: Time,
}

pub struct World {
    rng: Rng,
    defect: Option<Defect>,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    nodes: Vec<Node>,
    /// One-way cuts, and until when.
    cuts: BTreeMap<(usize, usize), Time>,
    desks: Vec<Desk>,
    /// Which prompter each follows, and since when it may not reach it.
    follows: Vec<usize>,
    unreached: Vec<Time>,
    waits: Vec<Vec<Time>>,
    guest: Guest,
    /// Requests of the guest's a second.
    guests: f64,
    /// Until when each gateway stands still, and which configuration it has.
    asleep: Vec<Time>,
    configured: Vec<u32>,
    /// When a clock last jumped.
    stepped: Time,
    limits: BTreeMap<String, Limit>,
    names: BTreeSet<String>,
    seen: Seen,
    known: u32,
    version: u32,
    instance: u32,
    hot: f64,
    story: Story,
    last_ack: Time,
    /// The newest that was acknowledged a second before the end.
    settled: u32,
}

impl World {
    pub fn new(seed: u64, defect: Option<Defect>) -> Self {
        let mut rng = Rng::with_seed(seed);
        let count = if rng.bool() { 3 } else { 5 };
        let id = |n: usize| Id { name: format!("p{n}"), disk: 100 + n as u64 };
        let limits = BTreeMap::from([("t".to_string(), Limit::new(RATE, RATE))]);
        let mut desks: Vec<Desk> = (0..GATEWAYS).map(|_| Desk::new(0)).collect();
        for d in &mut desks {
            d.limits(0, &guest::terms(&limits, None).limits);
            d.gateways(GATEWAYS as u32);
        }
        World {
            defect,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            // The last has no disk.
            nodes: (0..=count).map(|n| Node::new(id(n), n < count)).collect(),
            cuts: BTreeMap::new(),
            desks,
            follows: (0..GATEWAYS).map(|g| g % count).collect(),
            unreached: vec![0; GATEWAYS],
            waits: vec![Vec::new(); GATEWAYS],
            guest: Guest::new(GATEWAYS),
            guests: 5.0 + rng.f64() * 90.0,
            asleep: vec![0; GATEWAYS],
            configured: vec![0; GATEWAYS],
            stepped: 0,
            limits,
            names: (0..GATEWAYS).map(|g| format!("g{g}")).collect(),
            seen: Seen::default(),
            known: 0,
            version: 0,
            instance: 0,
            hot: rng.f64() * 5.0 * RATE,
            rng,
            story: Story::default(),
            last_ack: 0,
            settled: 0,
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn tell(&mut self, line: String) {
        if self.story.lines.len() >= 400 {
            self.story.lines.pop_front();
        }
        self.story.lines.push_back(format!("{:9.3} {line}", self.now as f64 / 1e6));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Result<Story, Box<(Broken, Story)>> {
        match self.run() {
            Ok(()) => Ok(self.end()),
            Err(broken) => Err(Box::new((broken, self.end()))),
        }
    }

    fn end(mut self) -> Story {
        self.story.guest = self.seen.guest_counts();
        let Seen { acknowledged, reads, through, .. } = self.seen;
        (self.story.acknowledged, self.story.reads, self.story.through) = (acknowledged, reads, through);
        self.story
    }

    fn run(&mut self) -> Result<(), Broken> {
        for n in 0..self.nodes.len() {
            self.nodes[n].start(0, self.rng.u64(..), None)?;
        }
        let members: Members =
            self.nodes.iter().filter(|n| n.votes).map(|n| (n.id.name.clone(), n.id.disk)).collect();
        // Whoever dies before its founding is on the disk leaves nobody to found: docs/operate/system.md.
        let step = self.nodes[0].take(0, Input::Found { members }, None, None, &mut self.seen)?;
        self.send(0, step);
        (0..self.nodes.len()).for_each(|n| self.at(0, Event::Tick(n)));
        for n in 0..self.nodes.len() {
            self.nodes[n].skew = self.rng.i64(-20..=20);
        }
        for event in [Event::Hello, Event::Operator, Event::Trouble, Event::Gateway, Event::Trials] {
            self.at(200 * MS, event);
        }
        while let Some(Reverse((at, key))) = self.queue.pop() {
            self.now = at;
            if at > LENGTH {
                break;
            }
            let Some(event) = self.events.remove(&key) else { continue };
            self.story.steps += 1;
            if at < LENGTH - 1000 * MS {
                self.settled = self.seen.newest();
            }
            self.settle_late();
            self.step(event)?;
            self.check_lease()?;
        }
        self.seen.trial_at_the_end(self.now)?;
        if self.now.saturating_sub(self.last_ack) > CALM {
            let cores = self.nodes.iter().filter_map(|n| n.core.as_ref());
            let cores: Vec<String> = cores.map(|c| format!("{c:?}")).collect();
            cores.into_iter().for_each(|c| self.tell(c));
            return Err(Broken::Stuck);
        }
        // A second is enough for everybody, with a vote or without one.
        let behind = self.nodes.iter().find(|n| n.is_up() && n.book().version() < self.settled);
        behind.map_or(Ok(()), |n| Err(Broken::Behind(n.id.to_string())))
    }

    fn is_calm(&self) -> bool {
        self.now + CALM > LENGTH
    }

    fn settle_late(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let (done, late) = std::mem::take(&mut node.late).into_iter().partition(|(at, _)| *at <= now);
            let done: Vec<_> = done;
            done.iter().flat_map(|(_, saves)| saves).for_each(|s| save(&mut node.disk, s));
            node.late = late;
        }
    }

    fn check_lease(&mut self) -> Result<(), Broken> {
        let (now, defect) = (self.now, self.defect);
        // One that stands still lends nothing: it looks at the clock when it goes on.
        let mut all =
            self.nodes.iter().filter(|n| n.frozen_until <= now).filter_map(|n| n.lends(now, defect));
        match (all.next(), all.next()) {
            (Some(a), Some(b)) => Err(Broken::TwoLend(a, b)),
            _ => Ok(()),
        }
    }

    fn step(&mut self, event: Event) -> Result<(), Broken> {
        match event {
            Event::Message(message) => {
                let to = self.place(&message.to.name);
                let frozen = self.nodes[to].frozen_until;
                if frozen > self.now {
                    self.at(frozen, Event::Message(message));
                    return Ok(());
                }
                self.take(to, Input::Message(*message))
            }
            Event::Tick(n) => {
                let later = self.nodes[n].frozen_until.max(self.now + 10 * MS);
                let due = self.nodes[n].core.as_ref().is_some_and(|c| c.next_due() <= self.now);
                if due && self.nodes[n].frozen_until <= self.now {
                    self.take(n, Input::Tick)?;
                }
                self.at(later, Event::Tick(n));
                Ok(())
            }
            Event::Start(n) => {
                let (seed, now, defect) = (self.rng.u64(..), self.now, self.defect);
                self.tell(format!("{} begins", self.nodes[n].id));
                self.nodes[n].start(now, seed, defect)
            }
            Event::HandOver(n) if self.nodes[n].frozen_until <= self.now => self.take(n, Input::HandOver),
            Event::HandOver(_) => Ok(()),
            Event::Kill(n, lasts) => {
                self.kill(n, lasts);
                Ok(())
            }
            Event::Hello => {
                self.at(self.now + 300 * MS, Event::Hello);
                let up = self.nodes.iter().filter(|n| n.is_up());
                let ids: Vec<(Id, bool)> = up.map(|n| (n.id.clone(), n.votes)).collect();
                for n in 0..self.nodes.len() {
                    for (id, votes) in &ids {
                        let from = self.place(&id.name);
                        if self.reaches(from, n) && self.nodes[n].frozen_until <= self.now {
                            if self.nodes[from].frozen_until <= self.now {
                                let wall = self.nodes[from].wall(self.now);
                                self.nodes[n].clocks.hear(self.now, &id.name, wall);
                            }
                            self.take(n, Input::Knock { id: id.clone(), votes: *votes })?;
                        }
                    }
                }
                Ok(())
            }
            Event::Operator => self.operator(),
            Event::Trouble => {
                self.trouble();
                Ok(())
            }
            Event::Gateway => self.gateways(),
            Event::Trials => {
                self.at(self.now + 100 * MS, Event::Trials);
                for n in 0..self.nodes.len() {
                    if self.nodes[n].frozen_until <= self.now {
                        for input in self.nodes[n].trials(self.now, self.defect) {
                            self.take(n, input)?;
                        }
                    }
                }
                Ok(())
            }
            Event::Ask { gateway, to, ask } => {
                let (now, defect) = (self.now, self.defect);
                let name = format!("g{gateway}");
                if self.nodes[to].frozen_until > now {
                    return Ok(());
                }
                let lent = self.nodes[to].lend(now, &name, &ask, &self.limits, &self.names, defect);
                if let Some(lent) = lent {
                    let at = now + self.delay();
                    self.at(at, Event::Lent { gateway, lent });
                }
                Ok(())
            }
            Event::Lent { gateway, lent } => {
                let awake = self.asleep[gateway];
                if awake > self.now {
                    self.at(awake, Event::Lent { gateway, lent });
                    return Ok(());
                }
                self.desks[gateway].lent(self.now, &lent);
                Ok(())
            }
        }
    }

    fn place(&self, name: &str) -> usize {
        self.nodes.iter().position(|n| n.id.name == name).unwrap_or(0)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cuts.get(&(from, to)).is_none_or(|until| *until <= self.now)
    }

    fn delay(&mut self) -> Time {
        // Mostly quick, at times very late.
        if self.rng.u8(..50) == 0 {
            self.rng.u64(1..300) * MS
        } else {
            MS / 2 + self.rng.u64(..3 * MS)
        }
    }

    fn take(&mut self, n: usize, input: Input) -> Result<(), Broken> {
        let breaks = (!self.is_calm() && self.rng.u16(..4000) == 0).then(|| self.rng.bool());
        let before = self.seen.acknowledged;
        let step = self.nodes[n].take(self.now, input, self.defect, breaks, &mut self.seen)?;
        // A drain's end tells no version.
        if self.seen.acknowledged > before {
            self.last_ack = self.now;
        }
        if breaks.is_some() {
            self.tell(format!("{} dies in the middle of a step", self.nodes[n].id));
            self.nodes[n].stop();
            let at = self.now + self.rng.u64(50..900) * MS;
            self.at(at, Event::Start(n));
        }
        self.send(n, step);
        Ok(())
    }

    fn send(&mut self, n: usize, step: Step) {
        for message in step.send {
            let to = self.place(&message.to.name);
            if !self.reaches(n, to) || self.rng.u8(..100) == 0 {
                continue;
            }
            let copies = 1 + usize::from(self.rng.u8(..100) == 0);
            for _ in 0..copies {
                let at = self.now + self.delay();
                self.at(at, Event::Message(Box::new(message.clone())));
            }
        }
        for version in step.ended.into_iter().flatten() {
            self.known = self.known.max(version);
            self.last_ack = self.now;
        }
    }

    /// Operators change and read, backends leave, at any prompter.
    fn operator(&mut self) -> Result<(), Broken> {
        let at = self.now + self.rng.u64(10..120) * MS;
        self.at(at, Event::Operator);
        let mut n = self.rng.usize(..self.nodes.len());
        // In the end they find whoever holds the duty, as they do by its word; chance alone may miss it for long.
        let holds = |n: &Node| n.core.as_ref().is_some_and(understudy::Core::is_holder);
        if self.is_calm() {
            n = self.nodes.iter().position(holds).unwrap_or(n);
        }
        if self.nodes[n].frozen_until > self.now {
            return Ok(());
        }
        let call = match self.rng.u8(..4) {
            // Now and then two on one base.
            0 | 1 => {
                self.version += 1;
                let old = self.rng.u8(..4) == 0;
                let base = if old { self.known } else { self.nodes[n].book().version() };
                let ends = guest::moved(&mut self.rng, self.now, self.nodes[n].ends());
                Call::Change { base, version: self.version.max(base + 1), ends }
            }
            2 => {
                self.instance += 1;
                let word = Word::Leaving { instance: format!("i{}", self.instance) };
                if self.defect == Some(Defect::DrainForgotten) {
                    self.seen.acknowledge(&word)?;
                }
                Call::Proposed { word, at: None }
            }
            _ => Call::Read { acknowledged: self.seen.newest(), drains: self.seen.drains() },
        };
        if let (Some(Defect::ReadAlone), Call::Read { acknowledged, drains }) = (self.defect, &call) {
            let node = &self.nodes[n];
            if node.core.as_ref().is_some_and(understudy::Core::is_holder) {
                let book = node.book();
                return self.seen.read(book.version(), *acknowledged, |d| book.is_leaving(d), drains);
            }
        }
        match self.nodes[n].call(call) {
            Some(input) => self.take(n, input),
            None => Ok(()),
        }
    }

    fn trouble(&mut self) {
        if self.is_calm() {
            self.cuts.clear();
            self.nodes.iter_mut().for_each(|n| n.skew = n.skew.clamp(-20, 20));
            return;
        }
        let at = self.now + self.rng.u64(100..900) * MS;
        self.at(at, Event::Trouble);
        let (n, m) = (self.rng.usize(..self.nodes.len()), self.rng.usize(..self.nodes.len()));
        let short = self.rng.bool();
        let lasts = if short { self.rng.u64(20..200) } else { self.rng.u64(200..2500) } * MS;
        let until = (self.now + lasts).min(LENGTH - CALM);
        match self.rng.u8(..10) {
            8 => self.one_against_the_holder(),
            9 => self.step_a_clock(n),
            0 | 1 => {
                self.tell(format!("cut {n} -> {m} for {} ms", lasts / MS));
                self.cuts.insert((n, m), until);
                if self.rng.bool() {
                    self.cuts.insert((m, n), until);
                }
            }
            2 => {
                self.tell(format!("cut {n} off for {} ms", lasts / MS));
                for other in 0..self.nodes.len() {
                    self.cuts.insert((n, other), until);
                    self.cuts.insert((other, n), until);
                }
            }
            3 => {
                self.tell(format!("freeze {n} for {} ms", lasts / MS));
                self.nodes[n].frozen_until = until;
            }
            4 => self.kill(n, lasts),
            5 => {
                // Told to end: it names its successor, and dies a little later.
                self.tell(format!("{} is told to end", self.nodes[n].id));
                self.at(self.now, Event::HandOver(n));
                self.at(self.now + 30 * MS, Event::Kill(n, lasts));
            }
            6 => {
                self.tell("kill all".into());
                for n in 0..self.nodes.len() {
                    let lasts = self.rng.u64(50..900) * MS;
                    self.kill(n, lasts);
                }
            }
            _ => self.wipe(n, lasts),
        }
        // The unlucky gateways.
        let g = self.rng.usize(..GATEWAYS);
        if self.rng.u8(..3) == 0 {
            self.unreached[g] = self.now + self.rng.u64(200..4000) * MS;
        }
        if self.rng.u8(..5) == 0 {
            let g = self.rng.usize(..GATEWAYS);
            self.asleep[g] = self.now + self.rng.u64(50..2500) * MS;
            self.tell(format!("gateway {g} stands still"));
        }
    }

    /// One machine's time of day jumps, by seconds or by hours; never those of so many that they are a majority.
    fn step_a_clock(&mut self, n: usize) {
        let stepped = self.nodes.iter().any(|n| n.skew.abs() > 20);
        if stepped {
            self.tell("the clock that jumped is back".into());
            self.nodes.iter_mut().for_each(|n| n.skew = n.skew.clamp(-20, 20));
            self.stepped = self.now;
        }
        if stepped || self.now < self.stepped + curtain::OLD + 500 * MS {
            return;
        }
        let by = if self.rng.bool() { self.rng.i64(500..5000) } else { self.rng.i64(5000..4_000_000) };
        let by = if self.rng.bool() { by } else { -by };
        self.tell(format!("the clock of {n} jumps by {by} ms"));
        self.nodes[n].skew = by;
    }

    fn kill(&mut self, n: usize, lasts: Time) {
        if !self.nodes[n].is_up() {
            return;
        }
        self.tell(format!("{} dies", self.nodes[n].id));
        self.nodes[n].stop();
        let at = (self.now + lasts).min(LENGTH - CALM);
        self.at(at, Event::Start(n));
    }

    /// One does not hear the holder and stands up; another, who does, dies meanwhile and is back at once.
    fn one_against_the_holder(&mut self) {
        let holder = self.nodes.iter().position(|n| n.core.as_ref().is_some_and(understudy::Core::is_holder));
        let Some(holder) = holder else { return };
        let count = self.nodes.iter().filter(|n| n.votes).count();
        let (deaf, dies) = ((holder + 1) % count, (holder + 2) % count);
        self.tell(format!("{deaf} does not hear {holder}, {dies} dies for a moment"));
        let until = (self.now + 1500 * MS).min(LENGTH - CALM);
        self.cuts.insert((holder, deaf), until);
        self.cuts.insert((deaf, holder), until);
        for _ in 0..3 {
            let at = self.now + self.rng.u64(500..1300) * MS;
            self.at(at, Event::Kill(dies, 20 * MS));
        }
    }

    /// One disk at a time, and not before the one before has caught up.
    fn wipe(&mut self, n: usize, lasts: Time) {
        let recent = |node: &Node| node.wiped_at.is_some_and(|at| self.now < at + CATCH_UP);
        let all_in = self.nodes.iter().filter(|node| node.votes).all(|node| {
            node.core.as_ref().is_some_and(understudy::Core::is_member) && node.frozen_until <= self.now
        });
        if !self.nodes[n].votes || self.nodes.iter().any(recent) || !all_in {
            return;
        }
        self.kill(n, lasts);
        let node = &mut self.nodes[n];
        node.wiped_at = Some(self.now + lasts);
        node.disk = understudy::Stored::default();
        if self.defect != Some(Defect::WipedVotes) {
            node.id.disk += 1000;
        }
        self.tell(format!("and comes back without its disk, as {}", self.nodes[n].id));
    }

    /// A hot tenant's requests through all gateways, each 10 ms.
    fn gateways(&mut self) -> Result<(), Broken> {
        self.at(self.now + 10 * MS, Event::Gateway);
        let now = self.now;
        for g in 0..GATEWAYS {
            if self.asleep[g] > now {
                continue;
            }
            self.configure(g);
            let comes = self.rng.f64() < self.guests * 0.01 / GATEWAYS as f64;
            let desk = &mut self.desks[g];
            self.guest.turn((now, g), comes, desk, &mut self.rng, self.defect, &mut self.seen)?;
            let mut tries: Vec<Option<Time>> =
                std::mem::take(&mut self.waits[g]).into_iter().map(Some).collect();
            if self.rng.f64() < self.hot * 0.01 / GATEWAYS as f64 {
                tries.push(None);
            }
            for since in tries {
                let draw = self.rng.f64();
                let mut verdict = self.desks[g].spend(now, "t", draw, since);
                if self.defect == Some(Defect::AloneAndFree) && self.desks[g].is_alone(now) {
                    verdict = Verdict::Granted;
                }
                match verdict {
                    Verdict::Granted => self.seen.pass(now, RATE, RATE)?,
                    Verdict::Refused { .. } | Verdict::Slowed { .. } => {}
                    Verdict::Wait { .. } => self.waits[g].push(since.unwrap_or(now)),
                }
            }
            if let Some(ask) = self.desks[g].ask(now).filter(|_| self.unreached[g] <= now) {
                // Through the prompter that it follows to whom that takes for the holder.
                let by = self.follows[g];
                let holder = self.nodes[by].core.as_ref().and_then(|c| c.holder().cloned());
                if !self.nodes[by].is_up() || self.nodes[by].frozen_until > now {
                    self.follows[g] = self.rng.usize(..self.nodes.len());
                }
                let Some(holder) = holder else { continue };
                let to = self.place(&holder.name);
                if self.reaches(by, to) && self.reaches(to, by) {
                    let at = now + self.delay();
                    self.at(at, Event::Ask { gateway: g, to, ask });
                }
            }
        }
        Ok(())
    }

    /// A gateway hears of the configuration from the prompter that it follows; it never goes back.
    fn configure(&mut self, g: usize) {
        let node = &self.nodes[self.follows[g]];
        let reached = self.unreached[g] <= self.now && node.is_up() && node.frozen_until <= self.now;
        if reached && node.book().version() > self.configured[g] {
            self.configured[g] = node.book().version();
            let ends = node.ends();
            if ends.is_some() {
                self.guest.unaware.remove(&g);
            } else {
                self.guest.unaware.insert(g);
            }
            let terms = guest::terms(&self.limits, ends);
            self.desks[g].limits(self.now, &terms.limits);
        }
    }
}
