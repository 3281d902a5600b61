//! A prompter as a value, for worlds of minutes: what the program's `agreement`, `view` and `control` do, with a disk that
//! takes its time. Inputs wait in a queue; a turn takes some of them; what comes of it is carried out once it is on the disk.

use crate::defect::Defect;
use crate::ledger::{Ask, Reply};
use crate::node::save;
use crate::rules::Broken;
use crate::{Time, MS};
use playbill::Version;
use promptbook::{Applied, Book, Word};
use std::collections::{BTreeMap, VecDeque};
use understudy::{Core, Id, Input, Members, Message, Output, Place, Save, Stored, Term};

/// Inputs taken in one turn, and those that wait at the most, as in the program.
const TURN: usize = 64;
const QUEUE: usize = 4096;
/// A call is answered within so long.
pub const ANSWERED: Time = 850 * MS;
/// Who knew of a majority within so long may say where the leader is.
const FRESH: Time = 1000 * MS;

/// What the other tasks of the process see of the agreement.
#[derive(Clone, Debug, Default)]
pub struct Duty {
    pub leader: Option<Id>,
    pub is_leader: bool,
    pub term: Term,
    pub lease: Option<Time>,
    pub touch: Option<Time>,
    pub members: Members,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// For its turn.
    Waits,
    Reads,
    Proposed,
}

/// A call that is being answered.
#[derive(Clone, Debug)]
struct Open {
    ask: Ask,
    came: Time,
    stage: Stage,
}

/// What has come of something that was asked of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Done {
    Agreed(Outcome),
    Newest,
    NotLeader,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Stands,
    Other,
}

/// A save that is under way, and what waits for it.
struct Pending {
    saves: Vec<Save>,
    agreed: Place,
    outputs: Vec<Output>,
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
    pub answers: Vec<Answer>,
    /// Words that were applied, for the ledger.
    pub applied: Vec<(Place, Vec<u8>)>,
    /// A save is under way.
    pub saves: bool,
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
    pending: Option<Pending>,
    inbox: VecDeque<(Input, Option<u64>)>,
    /// Who waits for an answer of the agreement, by tag.
    waiting: BTreeMap<u64, u64>,
    places: BTreeMap<Place, (Term, u64)>,
    tag: u64,
    calls: BTreeMap<u64, Open>,
    /// One change at a time: whose turn it is, and who is next.
    turn: Option<u64>,
    line: VecDeque<u64>,
    fold: usize,
}

impl Machine {
    /// `fold`: the log is folded into the state at so many entries.
    pub fn new(id: Id, votes: bool, fold: usize) -> Self {
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
            pending: None,
            inbox: VecDeque::new(),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            tag: 0,
            calls: BTreeMap::new(),
            turn: None,
            line: VecDeque::new(),
            fold,
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

    pub fn start(&mut self, now: Time, seed: u64, defect: Option<Defect>) {
        self.life += 1;
        if !self.votes {
            (self.disk, self.id.disk) = (Stored::default(), self.id.disk + 1);
        }
        if defect == Some(Defect::TailLost) {
            self.disk.entries.pop();
        }
        if defect == Some(Defect::LogCutAtStart) {
            self.disk.entries.clear();
        }
        let core = Core::new(self.id.clone(), self.disk.clone(), seed, now);
        let (place, state) = core.start();
        self.book = Book::read(state).unwrap_or_default();
        self.applied = place;
        for output in core.known() {
            if let Output::Apply { place, word, .. } = output {
                self.fold_in(place, &word, defect);
            }
        }
        self.core = Some(core);
        self.tell_duty(defect);
    }

    /// Power is lost, or the process is killed. Whether a save that is under way comes to the disk is chance.
    pub fn stop(&mut self, saved: bool) {
        if let Some(pending) = self.pending.take().filter(|_| saved) {
            self.keep(&pending.saves, pending.agreed);
        }
        self.core = None;
        self.duty = Duty::default();
        self.inbox.clear();
        self.waiting.clear();
        self.places.clear();
        self.calls.clear();
        self.turn = None;
        self.line.clear();
        self.book = Book::new();
        self.applied = 0;
    }

    fn keep(&mut self, saves: &[Save], agreed: Place) {
        saves.iter().for_each(|s| save(&mut self.disk, s));
        self.disk.agreed = agreed;
    }

    /// When the agreement next wants to be looked at.
    pub fn next_due(&self) -> Time {
        self.core.as_ref().map_or(Time::MAX, Core::next_due)
    }

    /// Something comes for the agreement; of too much some is lost.
    pub fn put(&mut self, input: Input) {
        self.ask(input, None);
    }

    fn ask(&mut self, input: Input, call: Option<u64>) {
        if self.is_up() && self.inbox.len() < QUEUE {
            self.inbox.push_back((input, call));
        }
    }

    /// Takes what waits, if no save is under way.
    pub fn work(&mut self, now: Time, defect: Option<Defect>) -> Result<Step, Broken> {
        let mut step = Step::default();
        loop {
            if self.pending.is_some() {
                break;
            }
            let Some(core) = &mut self.core else { break };
            let due = core.next_due() <= now;
            if !due && self.inbox.is_empty() {
                break;
            }
            let mut outputs = Vec::new();
            if due {
                core.handle(now, Input::Tick, &mut outputs);
            }
            for (input, call) in self.inbox.drain(..TURN.min(self.inbox.len())) {
                self.tag += 1;
                let tag = self.tag;
                let input = match input {
                    Input::Propose { word, .. } => Input::Propose { tag, word },
                    Input::Read { .. } => Input::Read { tag },
                    other => other,
                };
                if let Some(call) = call {
                    self.waiting.insert(tag, call);
                }
                core.handle(now, input, &mut outputs);
            }
            let mut saves = Vec::new();
            outputs.retain_mut(|o| match o {
                Output::Save(save) => {
                    saves.push(save.clone());
                    false
                }
                _ => true,
            });
            if saves.is_empty() {
                self.carry_out(now, outputs, defect, &mut step)?;
            } else {
                let agreed = core.agreed();
                if defect == Some(Defect::SendBeforeSync) {
                    let sends = |o: &Output| matches!(o, Output::Send(_));
                    let (first, rest) = outputs.into_iter().partition(sends);
                    outputs = rest;
                    self.carry_out(now, first, defect, &mut step)?;
                }
                self.pending = Some(Pending { saves, agreed, outputs });
                step.saves = true;
            }
        }
        Ok(step)
    }

    /// The save that was under way is on the disk.
    pub fn saved(&mut self, now: Time, defect: Option<Defect>) -> Result<Step, Broken> {
        let mut step = Step::default();
        if let Some(pending) = self.pending.take() {
            self.keep(&pending.saves, pending.agreed);
            self.carry_out(now, pending.outputs, defect, &mut step)?;
        }
        Ok(step)
    }

    fn carry_out(
        &mut self,
        now: Time,
        outputs: Vec<Output>,
        defect: Option<Defect>,
        step: &mut Step,
    ) -> Result<(), Broken> {
        for output in outputs {
            match output {
                Output::Save(_) => {}
                Output::Send(message) => step.send.push(message),
                Output::Proposed { tag, place, term } => {
                    self.places.insert(place, (term, tag));
                    if defect == Some(Defect::AckBeforeAgreed) {
                        self.done(now, tag, Done::Agreed(Outcome::Stands), defect, step);
                    }
                }
                Output::Apply { place, term, word } => {
                    if place <= self.applied {
                        return Err(Broken::Order(place));
                    }
                    let applied = self.fold_in(place, &word, defect);
                    step.applied.push((place, word));
                    self.settle(now, (place, term), applied, defect, step);
                }
                Output::Install { place, state } => {
                    if place < self.applied {
                        return Err(Broken::Order(place));
                    }
                    self.book = Book::read(&state).unwrap_or_default();
                    self.applied = place;
                }
                Output::Newest { tag } => self.done(now, tag, Done::Newest, defect, step),
                Output::NotHolder { tag } => self.done(now, tag, Done::NotLeader, defect, step),
            }
        }
        self.compact(defect);
        self.tell_duty(defect);
        Ok(())
    }

    fn fold_in(&mut self, place: Place, word: &[u8], defect: Option<Defect>) -> Applied {
        self.applied = place;
        let Some(mut word) = Word::read(word) else { return Applied::Same };
        if let (Word::Configuration { base, .. }, Some(Defect::BaseIgnored)) = (&mut word, defect) {
            *base = self.book.version();
        }
        self.book.apply(place, &word)
    }

    fn compact(&mut self, defect: Option<Defect>) {
        let (applied, fold) = (self.applied, self.fold);
        let Some(core) = self.core.as_mut().filter(|c| c.entries() > fold && applied > c.start().0) else {
            return;
        };
        let state = match defect {
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
        if let Some(s) = core.compact(applied, state) {
            save(&mut self.disk, &s);
        }
    }

    fn settle(
        &mut self,
        now: Time,
        (place, term): (Place, Term),
        applied: Applied,
        defect: Option<Defect>,
        step: &mut Step,
    ) {
        while let Some((at, (proposed, tag))) = self.places.first_key_value().map(|(p, t)| (*p, *t)) {
            if at > place {
                break;
            }
            self.places.remove(&at);
            let outcome = if applied == Applied::Other { Outcome::Other } else { Outcome::Stands };
            let same = at == place && proposed == term;
            self.done(now, tag, if same { Done::Agreed(outcome) } else { Done::NotLeader }, defect, step);
        }
    }

    fn tell_duty(&mut self, defect: Option<Defect>) {
        let Some(core) = &self.core else { return };
        if defect == Some(Defect::StaysInTouch) && self.duty.touch.is_some() {
            self.duty.touch = Some(Time::MAX);
        } else {
            self.duty.touch = core.in_touch();
        }
        if self.duty.leader.as_ref() != core.holder() {
            self.duty.leader = core.holder().cloned();
        }
        self.duty.is_leader = core.is_holder();
        self.duty.term = core.term();
        self.duty.lease = core.lease();
        if self.duty.members != *core.members() {
            self.duty.members = core.members().clone();
        }
    }

    // ---- Calls ----

    /// An operator's call comes in.
    pub fn call(&mut self, now: Time, call: u64, ask: Ask, defect: Option<Defect>) -> Step {
        let mut step = Step::default();
        if !self.duty.is_leader {
            let fresh = self.duty.touch.is_some_and(|at| now.saturating_sub(at) < FRESH);
            let leader = self.duty.leader.as_ref().filter(|_| fresh);
            let reply = leader.map_or(Reply::Later, |l| Reply::Elsewhere(l.name.clone()));
            step.answers.push(Answer { call, ask, came: now, reply });
            return step;
        }
        let is_order = matches!(ask, Ask::Replace(_));
        self.calls.insert(call, Open { ask, came: now, stage: Stage::Waits });
        if !is_order {
            self.read(now, call, defect, &mut step);
        } else if self.turn.is_some() {
            self.line.push_back(call);
        } else {
            self.turn = Some(call);
            self.read(now, call, defect, &mut step);
        }
        step
    }

    fn read(&mut self, now: Time, call: u64, defect: Option<Defect>, step: &mut Step) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.stage = Stage::Reads;
            let order = matches!(open.ask, Ask::Replace(_));
            let alone = match defect {
                Some(Defect::ReadAlone) => !order,
                Some(Defect::DecidesAlone) => order,
                _ => false,
            };
            if alone {
                self.known_here(now, call, defect, step);
            } else {
                self.ask(Input::Read { tag: 0 }, Some(call));
            }
        }
    }

    /// The call has waited long enough.
    pub fn give_up(&mut self, now: Time, call: u64, defect: Option<Defect>) -> Step {
        let mut step = Step::default();
        self.answer(now, call, Reply::Later, defect, &mut step);
        step
    }

    fn answer(&mut self, now: Time, call: u64, reply: Reply, defect: Option<Defect>, step: &mut Step) {
        let Some(open) = self.calls.remove(&call) else { return };
        step.answers.push(Answer { call, ask: open.ask, came: open.came, reply });
        self.line.retain(|c| *c != call);
        if self.turn == Some(call) {
            self.turn = self.line.pop_front();
            if let Some(next) = self.turn {
                self.read(now, next, defect, step);
            }
        }
    }

    fn done(&mut self, now: Time, tag: u64, done: Done, defect: Option<Defect>, step: &mut Step) {
        let Some(call) = self.waiting.remove(&tag) else { return };
        match done {
            Done::Newest => self.known_here(now, call, defect, step),
            Done::Agreed(Outcome::Stands) => self.answer(now, call, Reply::Taken, defect, step),
            Done::Agreed(Outcome::Other) => self.answer(now, call, Reply::Other, defect, step),
            Done::NotLeader => self.answer(now, call, Reply::Later, defect, step),
        }
    }

    /// All that was agreed on when the call came is known here.
    fn known_here(&mut self, now: Time, call: u64, defect: Option<Defect>, step: &mut Step) {
        let Some(open) = self.calls.get_mut(&call).filter(|o| o.stage == Stage::Reads) else { return };
        let Ask::Replace(order) = open.ask else {
            let held = self.book.configuration().map(|c| (c.version, c.body.clone()));
            return self.answer(now, call, Reply::Stands(held), defect, step);
        };
        let (base, version, body) = (order.base, order.version, order.body());
        match decide(&self.book, base, version, &body, defect) {
            Some(reply) => self.answer(now, call, reply, defect, step),
            None => {
                open.stage = Stage::Proposed;
                let word = Word::Configuration { base, version, body }.write();
                self.ask(Input::Propose { tag: 0, word }, Some(call));
            }
        }
    }

    /// What followers are told: when a majority was last known of.
    pub fn touch_age(&self, now: Time) -> Time {
        self.duty.touch.map_or(Time::MAX, |at| now.saturating_sub(at))
    }
}

/// What is to be said of an order without proposing it.
fn decide(book: &Book, base: Version, version: Version, body: &[u8], defect: Option<Defect>) -> Option<Reply> {
    let stands = book.version();
    let taken = match defect {
        Some(Defect::OrderForgotten) => stands == version && book.has_taken(version, body),
        Some(Defect::NumberIsEnough) => version <= stands && book.has_taken(version, body) || version == stands,
        Some(Defect::BaseFirst) => base == stands && book.has_taken(version, body),
        _ => book.has_taken(version, body),
    };
    if taken {
        Some(Reply::Taken)
    } else if version <= stands && base == stands {
        Some(Reply::Invalid)
    } else if base != stands {
        Some(Reply::Other)
    } else {
        None
    }
}
