//! A prompter as a value, for worlds of minutes: what the program's `agreement`, `view` and `control` do, with a disk that
//! takes its time or refuses. What an order comes to, how contact is proven and how a disk stands are the program's own code.

use crate::defect::Defect;
use crate::ledger::{Ask, Order, Reply};
use crate::node::save;
use crate::rules::Broken;
use crate::standing::{Standing, WAIT};
use crate::{Time, MS};
use callboard::Contact;
use promptbook::{decide, Applied, Book, Verdict, Versions, Word};
use std::collections::{BTreeMap, VecDeque};
use understudy::{Core, Id, Input, Members, Message, Output, Place, Save, Stored, Term};

/// Inputs taken in one turn, and those that wait at the most, as in the program.
const TURN: usize = 64;
const QUEUE: usize = 4096;
/// The log is folded into the state when so many bytes of it are agreed on.
const FOLD_BYTES: usize = 1 << 20;
/// A call is answered within so long; a proposal is waited for so long.
pub const ANSWERED: Time = 850 * MS;
const PROPOSED: Time = 15_000 * MS;
/// Who proved contact within so long may say where the leader is.
const SENDS_ON: Time = 800 * MS;
/// Orders under way at once.
const ORDERS: usize = 32;

/// What the other tasks of the process see of the agreement.
#[derive(Clone, Debug, Default)]
pub struct Duty {
    pub leader: Option<Id>,
    pub is_leader: bool,
    pub term: Term,
    lease: Option<Time>,
    touch: Option<Time>,
    pub members: Members,
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
struct Open {
    ask: Ask,
    came: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// For a round that began after it came.
    Reads,
    /// For its turn.
    Waits,
    Proposed,
}

/// An order under way, whoever waits for its end.
#[derive(Clone, Debug)]
struct Job {
    order: Order,
    stage: Stage,
    term: Term,
    calls: Vec<u64>,
}

/// Who waits for the agreement.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Read(u64),
    Job(u64),
}

/// Something that ends after a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    Call(u64),
    Job(u64),
    Proposal(u64),
    /// A save is waited for no longer.
    Save(u64),
}

/// From one prompter to another, beside the agreement.
#[derive(Clone, Copy, Debug)]
pub enum Peer {
    Contact { number: u64 },
    Contacted { number: u64, age: Time, agreed: Place },
}

/// What has come of something that was asked of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Done {
    Stands,
    Other,
    Newest,
    NotLeader,
}

/// What the disk is to do.
enum Write {
    Saves(Vec<Save>, Place),
    Whole(Box<Stored>),
}

/// What a turn waits for the disk with.
enum Pending {
    Outputs(Vec<Output>),
    Fold,
    Whole,
}

/// An answer that goes out: to which call, which came when.
pub struct Answer {
    pub call: u64,
    pub ask: Ask,
    pub came: Time,
    pub reply: Reply,
}

/// What a step brings.
#[derive(Default)]
pub struct Step {
    pub send: Vec<Message>,
    pub peers: Vec<(String, Peer)>,
    pub answers: Vec<Answer>,
    /// Words that were applied, for the ledger.
    pub applied: Vec<(Place, Vec<u8>)>,
    /// What the disk is at, by number.
    pub writes: Vec<u64>,
    pub timers: Vec<(Time, Timer)>,
}

pub struct Machine {
    pub id: Id,
    /// It has a disk.
    pub votes: bool,
    /// Replaced for good.
    pub gone: bool,
    pub disk: Stored,
    /// Starts of its process.
    pub life: u64,
    pub frozen_until: Time,
    /// What it was last told of others: a bit for each.
    pub known: u64,
    pub duty: Duty,
    core: Option<Core>,
    book: Book,
    applied: Place,
    contact: Contact,
    standing: Standing,
    /// What the disk is at, in order, by number.
    writes: VecDeque<(u64, Write)>,
    write: u64,
    /// What the turn waits for.
    pending: Option<(u64, Pending)>,
    /// What the disk is at while the turns go on without it.
    saving: Option<u64>,
    inbox: VecDeque<(Input, Option<Waiter>)>,
    waiting: BTreeMap<u64, Waiter>,
    places: BTreeMap<Place, (Term, u64)>,
    tag: u64,
    calls: BTreeMap<u64, Open>,
    jobs: BTreeMap<u64, Job>,
    job: u64,
    /// One proposal at a time: whose turn it is, and who is next.
    turn: Option<u64>,
    line: VecDeque<u64>,
    fold: usize,
    defect: Option<Defect>,
    now: Time,
}

impl Machine {
    /// `fold`: the log is folded into the state at so many entries.
    pub fn new(id: Id, votes: bool, fold: usize, defect: Option<Defect>) -> Self {
        Machine {
            id,
            votes,
            gone: false,
            disk: Stored::default(),
            life: 0,
            frozen_until: 0,
            known: 0,
            duty: Duty::default(),
            core: None,
            book: Book::new(),
            applied: 0,
            contact: Contact::default(),
            standing: Standing::begin(0),
            writes: VecDeque::new(),
            write: 0,
            pending: None,
            saving: None,
            inbox: VecDeque::new(),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            tag: 0,
            calls: BTreeMap::new(),
            jobs: BTreeMap::new(),
            job: 0,
            turn: None,
            line: VecDeque::new(),
            fold,
            defect,
            now: 0,
        }
    }

    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Its process runs.
    pub fn runs(&self, now: Time) -> bool {
        self.is_up() && self.frozen_until <= now
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    pub fn core(&self) -> Option<&Core> {
        self.core.as_ref()
    }

    /// What it waits for, for a story.
    pub fn waits(&self) -> String {
        let due = self.next_due() as f64 / 1e6;
        let (pending, writes) = (self.pending.as_ref().map(|(n, _)| n), self.writes.len());
        format!(
            "due at {due:.0}, waits for {pending:?} of {writes} writes, {} inputs, {:?}",
            self.inbox.len(),
            self.standing
        )
    }

    fn has(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    pub fn start(&mut self, now: Time, seed: u64) {
        self.now = now;
        self.life += 1;
        if !self.votes {
            (self.disk, self.id.disk) = (Stored::default(), self.id.disk + 1);
        }
        if self.has(Defect::TailLost) {
            self.disk.entries.pop();
        }
        if self.has(Defect::LogCutAtStart) {
            self.disk.entries.clear();
        }
        let mut core = Core::new(self.id.clone(), self.disk.clone(), seed, now);
        core.handle(now, Input::Disk { works: false }, &mut Vec::new());
        let (place, state) = core.start();
        self.book = Book::read(state).unwrap_or_default();
        self.applied = place;
        self.contact = Contact::default();
        self.contact.applied(place);
        for output in core.known() {
            if let Output::Apply { place, word, .. } = output {
                self.fold_in(place, &word);
            }
        }
        self.standing = Standing::begin(now);
        self.core = Some(core);
        let mut none = Step::default();
        self.tell_duty(&mut none);
    }

    /// Power is lost, or the process is killed. How much of what the disk is at comes to it is chance.
    pub fn stop(&mut self, writes: usize) {
        for (_, write) in std::mem::take(&mut self.writes).into_iter().take(writes) {
            self.keep(write);
        }
        self.core = None;
        self.duty = Duty::default();
        self.inbox.clear();
        self.waiting.clear();
        self.places.clear();
        self.calls.clear();
        self.jobs.clear();
        self.turn = None;
        self.line.clear();
        self.pending = None;
        self.saving = None;
        self.book = Book::new();
        self.applied = 0;
    }

    /// How many writes the disk is at.
    pub fn writes(&self) -> usize {
        self.writes.len()
    }

    fn keep(&mut self, write: Write) {
        match write {
            Write::Saves(saves, agreed) => {
                saves.iter().for_each(|s| save(&mut self.disk, s));
                self.disk.agreed = agreed;
            }
            Write::Whole(stored) => self.disk = *stored,
        }
    }

    /// When the agreement next wants to be looked at.
    pub fn next_due(&self) -> Time {
        self.core.as_ref().map_or(Time::MAX, |c| c.next_due().min(self.standing.next_due()))
    }

    /// Something comes for the agreement; of too much some is lost.
    pub fn put(&mut self, input: Input) {
        self.ask(input, None);
    }

    fn ask(&mut self, input: Input, waiter: Option<Waiter>) {
        if self.is_up() && self.inbox.len() < QUEUE {
            self.inbox.push_back((input, waiter));
        }
    }

    /// Takes what waits, unless a turn waits for the disk.
    pub fn work(&mut self, now: Time) -> Result<Step, Broken> {
        self.now = now;
        let mut step = Step::default();
        self.turns(&mut step)?;
        Ok(step)
    }

    fn turns(&mut self, step: &mut Step) -> Result<(), Broken> {
        while self.pending.is_none() {
            let (now, due) = (self.now, self.next_due() <= self.now);
            let Some(core) = &mut self.core else { break };
            if !due && self.inbox.is_empty() {
                break;
            }
            let mut outputs = Vec::new();
            if due {
                core.handle(now, Input::Tick, &mut outputs);
            }
            for (input, waiter) in self.inbox.drain(..TURN.min(self.inbox.len())) {
                self.tag += 1;
                let tag = self.tag;
                let input = match input {
                    Input::Propose { word, .. } => Input::Propose { tag, word },
                    Input::Read { .. } => Input::Read { tag },
                    other => other,
                };
                if let Some(waiter) = waiter {
                    self.waiting.insert(tag, waiter);
                }
                core.handle(now, input, &mut outputs);
            }
            self.carry_out(outputs, step)?;
            if self.standing.say(now).is_some() && self.pending.is_none() {
                continue;
            }
            if due && self.inbox.is_empty() && self.next_due() <= now {
                // Whatever is due is done once a step.
                break;
            }
        }
        Ok(())
    }

    /// All saves first, and what rests on them when they are on the disk.
    fn carry_out(&mut self, mut outputs: Vec<Output>, step: &mut Step) -> Result<(), Broken> {
        let mut saves = Vec::new();
        outputs.retain_mut(|o| match o {
            Output::Save(save) => {
                saves.push(save.clone());
                false
            }
            _ => true,
        });
        if saves.is_empty() {
            self.perform(outputs, step)?;
            return self.fold(step);
        }
        if self.votes && !self.standing.works() {
            self.standing.missed();
            self.perform(outputs, step)?;
            return self.fold(step);
        }
        if self.has(Defect::SendBeforeSync) {
            let (first, rest) = outputs.into_iter().partition(|o| matches!(o, Output::Send(_)));
            outputs = rest;
            self.perform(first, step)?;
        }
        let agreed = self.core.as_ref().map_or(0, Core::agreed);
        self.wait_for(Write::Saves(saves, agreed), Pending::Outputs(outputs), step);
        Ok(())
    }

    fn write(&mut self, write: Write, step: &mut Step) -> u64 {
        self.write += 1;
        self.writes.push_back((self.write, write));
        step.writes.push(self.write);
        self.write
    }

    fn wait_for(&mut self, write: Write, pending: Pending, step: &mut Step) {
        let number = self.write(write, step);
        self.pending = Some((number, pending));
        step.timers.push((self.now + WAIT, Timer::Save(number)));
    }

    /// The disk has done this, or has refused it.
    pub fn written(&mut self, now: Time, number: u64, done: bool) -> Result<Step, Broken> {
        self.now = now;
        let mut step = Step::default();
        if let Some((_, write)) = self.writes.pop_front().filter(|(n, _)| *n == number) {
            if done {
                self.keep(write);
            }
        }
        if self.pending.as_ref().is_some_and(|(n, _)| *n == number) {
            self.waited(Some(done), &mut step)?;
        } else if self.saving == Some(number) {
            let mut outputs = Vec::new();
            self.saved(done, &mut outputs);
            self.carry_out(outputs, &mut step)?;
        }
        self.turns(&mut step)?;
        Ok(step)
    }

    /// The turn waits for the disk no longer: it has done its work, refused, or takes too long.
    fn waited(&mut self, done: Option<bool>, step: &mut Step) -> Result<(), Broken> {
        let Some((number, pending)) = self.pending.take() else { return Ok(()) };
        if matches!(pending, Pending::Whole) {
            let mut outputs = Vec::new();
            match done {
                Some(done) => self.saved(done, &mut outputs),
                None => self.saving = Some(number),
            }
            self.perform(outputs, step)?;
            self.tell_duty(step);
            return Ok(());
        }
        let (mut outputs, fold) = match pending {
            Pending::Outputs(outputs) => (outputs, false),
            Pending::Fold | Pending::Whole => (Vec::new(), true),
        };
        if done != Some(true) {
            if done.is_none() {
                self.saving = Some(number);
                self.standing.late(self.now);
            } else {
                self.standing.refused(self.now);
            }
            // What rests on it is not said.
            if !self.has(Defect::SpeaksWithoutDisk) {
                outputs.retain(|o| !matches!(o, Output::Send(_)));
                if let Some(core) = &mut self.core {
                    core.handle(self.now, Input::Disk { works: false }, &mut outputs);
                }
            }
        }
        self.perform(outputs, step)?;
        if fold {
            return self.save_whole(step);
        }
        self.fold(step)
    }

    fn saved(&mut self, done: bool, outputs: &mut Vec<Output>) {
        self.saving = None;
        if !done {
            self.standing.refused(self.now);
        } else if self.standing.done(self.now).is_some() {
            if let Some(core) = &mut self.core {
                core.handle(self.now, Input::Disk { works: true }, outputs);
            }
        }
    }

    /// The log up to what is applied becomes the state, when it is long.
    fn fold(&mut self, step: &mut Step) -> Result<(), Broken> {
        let (applied, fold) = (self.applied, self.fold);
        let Some(core) = &mut self.core else { return Ok(()) };
        let sizes = || core.sizes().filter(|(place, _)| *place <= applied).map(|(_, size)| size);
        if sizes().count() <= fold && sizes().sum::<usize>() <= FOLD_BYTES {
            return self.save_whole(step);
        }
        let state = match self.defect {
            // Of what was taken the newest alone.
            Some(Defect::SnapshotForgets) => {
                let mut book = Book::new();
                if let Some(c) = self.book.configuration() {
                    let (version, body) = (c.version, c.body.clone());
                    book.apply(c.place, &Word::Configuration { base: 0, version, body });
                }
                book.write()
            }
            Some(Defect::OldSnapshot) => core.start().1.to_vec(),
            _ => self.book.write(),
        };
        let Some(save) = core.compact(applied, state) else { return self.save_whole(step) };
        let agreed = core.agreed();
        if self.votes && !self.standing.works() {
            self.standing.missed();
            return self.save_whole(step);
        }
        self.wait_for(Write::Saves(vec![save], agreed), Pending::Fold, step);
        Ok(())
    }

    /// Saves the whole, if it is time.
    fn save_whole(&mut self, step: &mut Step) -> Result<(), Broken> {
        let due = self.saving.is_none() && self.standing.is_due(self.now);
        if let Some(core) = self.core.as_ref().filter(|_| due) {
            let whole = Write::Whole(Box::new(core.stored()));
            if self.standing.saving() {
                self.wait_for(whole, Pending::Whole, step);
                return Ok(());
            }
            self.saving = Some(self.write(whole, step));
        }
        self.tell_duty(step);
        Ok(())
    }

    fn perform(&mut self, outputs: Vec<Output>, step: &mut Step) -> Result<(), Broken> {
        for output in outputs {
            match output {
                Output::Save(_) => self.standing.missed(),
                Output::Send(message) => step.send.push(message),
                Output::Proposed { tag, place, term } => {
                    self.places.insert(place, (term, tag));
                    if self.has(Defect::AckBeforeAgreed) {
                        self.done(tag, Done::Stands, step);
                    }
                }
                Output::Apply { place, term, word } => {
                    if place <= self.applied {
                        return Err(Broken::Order(place));
                    }
                    let applied = self.fold_in(place, &word);
                    step.applied.push((place, word));
                    self.settle((place, term), applied, step);
                }
                Output::Install { place, state } => {
                    if place < self.applied {
                        return Err(Broken::Order(place));
                    }
                    self.book = Book::read(&state).unwrap_or_default();
                    self.applied = place;
                    self.contact.applied(place);
                }
                Output::Newest { tag } => self.done(tag, Done::Newest, step),
                Output::NotHolder { tag } => self.done(tag, Done::NotLeader, step),
            }
        }
        Ok(())
    }

    fn fold_in(&mut self, place: Place, word: &[u8]) -> Applied {
        self.applied = place;
        self.contact.applied(place);
        let Some(mut word) = Word::read(word) else { return Applied::Same };
        if self.has(Defect::BaseIgnored) {
            if let Word::Configuration { base, .. } = &mut word {
                *base = self.book.version();
            }
        }
        self.book.apply(place, &word)
    }

    fn settle(&mut self, (place, term): (Place, Term), applied: Applied, step: &mut Step) {
        while let Some((at, (proposed, tag))) = self.places.first_key_value().map(|(p, t)| (*p, *t)) {
            if at > place {
                break;
            }
            self.places.remove(&at);
            let outcome = if applied == Applied::Other { Done::Other } else { Done::Stands };
            let same = at == place && proposed == term;
            self.done(tag, if same { outcome } else { Done::NotLeader }, step);
        }
    }

    fn tell_duty(&mut self, step: &mut Step) {
        let Some(core) = &self.core else { return };
        self.duty.touch = core.in_touch();
        if self.duty.leader.as_ref() != core.holder() {
            self.duty.leader = core.holder().cloned();
        }
        self.duty.is_leader = core.is_holder();
        self.duty.term = core.term();
        self.duty.lease = core.lease();
        if self.duty.members != *core.members() {
            self.duty.members = core.members().clone();
        }
        // Who has lost the duty does not know what comes of its proposals.
        let lost = |j: &Job| j.stage == Stage::Proposed && (!self.duty.is_leader || j.term != self.duty.term);
        let lost: Vec<u64> = self.jobs.iter().filter(|(_, j)| lost(j)).map(|(job, _)| *job).collect();
        lost.into_iter().for_each(|job| self.end(job, &Reply::Later, step));
    }

    // ---- Contact ----

    /// When a majority answered this one, if it leads beyond doubt.
    fn led(&self, now: Time) -> Option<Time> {
        self.duty.touch.filter(|_| self.duty.is_leader && self.duty.lease.is_some()).map(|at| at.min(now))
    }

    /// What followers are told: how long ago all that was agreed on was held here for certain.
    pub fn touch_age(&mut self, now: Time) -> Time {
        if let Some(at) = self.led(now) {
            self.contact.prove(at);
        }
        match self.contact.proven() {
            Some(_) if self.has(Defect::StaysInTouch) => 0,
            Some(at) => now.saturating_sub(at),
            None => Time::MAX,
        }
    }

    /// Each 150 ms: asks the leader for proof.
    pub fn ask_contact(&mut self, now: Time) -> Step {
        let mut step = Step::default();
        if self.has(Defect::HearingIsTouch) {
            // To have heard the leader is taken for proof.
            if let Some(at) = self.duty.touch {
                self.contact.prove(at);
            }
        }
        self.touch_age(now);
        if let Some(leader) = self.duty.leader.as_ref().filter(|_| !self.duty.is_leader) {
            let number = self.contact.ask(now);
            step.peers.push((leader.name.clone(), Peer::Contact { number }));
        }
        step
    }

    pub fn peer(&mut self, now: Time, from: &str, peer: Peer) -> Step {
        let mut step = Step::default();
        match peer {
            Peer::Contact { number } => {
                if let Some(at) = self.led(now) {
                    let (age, agreed) = (now.saturating_sub(at), self.contact.place());
                    step.peers.push((from.to_string(), Peer::Contacted { number, age, agreed }));
                }
            }
            Peer::Contacted { number, age, agreed } => self.contact.told(number, age, agreed),
        }
        step
    }

    // ---- Calls ----

    /// An operator's call comes in.
    pub fn call(&mut self, now: Time, call: u64, ask: Ask) -> Step {
        self.now = now;
        let mut step = Step::default();
        if !self.duty.is_leader {
            let fresh = self.touch_age(now) < SENDS_ON;
            let leader = self.duty.leader.as_ref().filter(|_| fresh);
            let reply = leader.map_or(Reply::Later, |l| Reply::Elsewhere(l.name.clone()));
            step.answers.push(Answer { call, ask, came: now, reply });
            return step;
        }
        self.calls.insert(call, Open { ask: ask.clone(), came: now });
        step.timers.push((now + ANSWERED, Timer::Call(call)));
        let Ask::Replace(order) = ask else {
            if self.has(Defect::ReadAlone) {
                self.stands(call, &mut step);
            } else {
                self.ask(Input::Read { tag: 0 }, Some(Waiter::Read(call)));
            }
            return step;
        };
        // One that is under way already is not begun again.
        if let Some(job) = self.jobs.values_mut().find(|j| j.order == order) {
            job.calls.push(call);
            return step;
        }
        if self.jobs.len() >= ORDERS {
            self.answer(call, Reply::Later, &mut step);
            return step;
        }
        self.job += 1;
        let job = self.job;
        self.jobs.insert(job, Job { order, stage: Stage::Reads, term: 0, calls: vec![call] });
        step.timers.push((now + ANSWERED, Timer::Job(job)));
        if self.has(Defect::DecidesAlone) {
            self.newest(job, &mut step);
        } else {
            self.ask(Input::Read { tag: 0 }, Some(Waiter::Job(job)));
        }
        step
    }

    /// Something has taken long enough.
    pub fn timer(&mut self, now: Time, timer: Timer) -> Result<Step, Broken> {
        self.now = now;
        let mut step = Step::default();
        match timer {
            Timer::Call(call) => self.answer(call, Reply::Later, &mut step),
            Timer::Job(job) => {
                if self.jobs.get(&job).is_some_and(|j| j.stage == Stage::Reads) {
                    self.end(job, &Reply::Later, &mut step);
                }
            }
            Timer::Proposal(job) => self.end(job, &Reply::Later, &mut step),
            Timer::Save(number) => {
                if self.pending.as_ref().is_some_and(|(n, _)| *n == number) {
                    self.waited(None, &mut step)?;
                }
            }
        }
        self.turns(&mut step)?;
        Ok(step)
    }

    fn answer(&mut self, call: u64, reply: Reply, step: &mut Step) {
        if let Some(open) = self.calls.remove(&call) {
            step.answers.push(Answer { call, ask: open.ask, came: open.came, reply });
        }
    }

    /// It is known what comes of an order, or that this is not known.
    fn end(&mut self, job: u64, reply: &Reply, step: &mut Step) {
        let Some(ended) = self.jobs.remove(&job) else { return };
        ended.calls.into_iter().for_each(|call| self.answer(call, reply.clone(), step));
        self.line.retain(|j| *j != job);
        if self.turn == Some(job) {
            self.turn = self.line.pop_front();
            if let Some(next) = self.turn {
                self.decide(next, step);
            }
        }
    }

    fn done(&mut self, tag: u64, done: Done, step: &mut Step) {
        let Some(waiter) = self.waiting.remove(&tag) else { return };
        match (waiter, done) {
            (Waiter::Read(call), Done::Newest) => self.stands(call, step),
            (Waiter::Read(call), _) => self.answer(call, Reply::Later, step),
            (Waiter::Job(job), Done::Newest) => self.newest(job, step),
            (Waiter::Job(job), Done::Stands) => self.end(job, &Reply::Taken, step),
            (Waiter::Job(job), Done::Other) => self.end(job, &Reply::Other, step),
            (Waiter::Job(job), Done::NotLeader) => self.end(job, &Reply::Later, step),
        }
    }

    fn stands(&mut self, call: u64, step: &mut Step) {
        let held = self.book.configuration().map(|c| (c.version, c.body.clone()));
        self.answer(call, Reply::Stands(held), step);
    }

    /// All that was agreed on when the order came is known here: it waits for its turn.
    fn newest(&mut self, job: u64, step: &mut Step) {
        let Some(waits) = self.jobs.get_mut(&job).filter(|j| j.stage == Stage::Reads) else { return };
        waits.stage = Stage::Waits;
        if self.turn.is_some() {
            self.line.push_back(job);
            return;
        }
        self.turn = Some(job);
        self.decide(job, step);
    }

    fn decide(&mut self, job: u64, step: &mut Step) {
        let Some(order) = self.jobs.get(&job).map(|j| j.order) else { return };
        let verdict = self.verdict(&order);
        let Verdict::Propose(word) = verdict else {
            let reply = match verdict {
                Verdict::Acknowledged => Reply::Taken,
                Verdict::Invalid(_) => Reply::Invalid,
                Verdict::Conflict { .. } => Reply::Other,
                Verdict::Unclear | Verdict::Propose(_) => Reply::Later,
            };
            return self.end(job, &reply, step);
        };
        let term = self.duty.term;
        if let Some(job) = self.jobs.get_mut(&job) {
            (job.stage, job.term) = (Stage::Proposed, term);
        }
        step.timers.push((self.now + PROPOSED, Timer::Proposal(job)));
        self.ask(Input::Propose { tag: 0, word: word.write() }, Some(Waiter::Job(job)));
    }

    fn verdict(&self, order: &Order) -> Verdict {
        let (Order { base, version, .. }, body) = (*order, order.body());
        let (current, taken) = (self.book.version(), self.book.is_taken(&body));
        let other = || Verdict::Conflict { current };
        match self.defect {
            Some(Defect::OrderForgotten) if taken && current != version => other(),
            Some(Defect::BaseFirst) if base != current => other(),
            Some(Defect::NumberIsEnough) if version == current => Verdict::Acknowledged,
            _ => decide(&self.book, &body, |_| Ok(Versions { base, version })),
        }
    }
}
