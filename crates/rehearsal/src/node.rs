//! A prompter as a value: the agreement, its disk, the book, the office. What the program's `agreement` task does, in one step.

use crate::defect::Defect;
use crate::rules::{Broken, Seen};
use crate::{guest, Time, MS};
use boxoffice::{Ask, Keeper, Lent, Limit};
use curtain::{Clocks, Wall};
use promptbook::{Applied, Book, Word};
use std::collections::{BTreeMap, BTreeSet};
use understudy::{Core, Entry, Id, Input, Message, Output, Place, Save, Stored, Term};

/// A call that waits here.
#[derive(Clone, Debug)]
pub enum Call {
    /// Before a change is proposed, what stands is read.
    Change {
        base: u32,
        version: u32,
        ends: Option<Wall>,
    },
    /// Proposed, at this place of this term.
    Proposed {
        word: Word,
        at: Option<(Place, Term)>,
    },
    Read {
        acknowledged: u32,
        drains: BTreeSet<String>,
    },
}

pub struct Node {
    pub id: Id,
    /// Without a disk it has no vote, and another id at each start.
    pub votes: bool,
    /// What would be there after a loss of power.
    pub disk: Stored,
    /// Saves that have not come to the disk, with [`Defect::SendBeforeSync`].
    pub late: Vec<(Time, Vec<Save>)>,
    pub core: Option<Core>,
    pub frozen_until: Time,
    pub wiped_at: Option<Time>,
    /// What prompters say of the time of day.
    pub clocks: Clocks,
    /// How far this machine's own is from true time, in ms.
    pub skew: i64,
    book: Book,
    applied: Place,
    calls: BTreeMap<u64, Call>,
    next: u64,
    office: Option<(Term, Keeper)>,
}

/// What a step brings.
#[derive(Default)]
pub struct Step {
    pub send: Vec<Message>,
    /// An operator's call has ended: what was acknowledged, if anything.
    pub ended: Vec<Option<u32>>,
}

impl Node {
    pub fn new(id: Id, votes: bool) -> Self {
        Node {
            id,
            votes,
            disk: Stored::default(),
            late: Vec::new(),
            core: None,
            frozen_until: 0,
            wiped_at: None,
            clocks: Clocks::default(),
            skew: 0,
            book: Book::new(),
            applied: 0,
            calls: BTreeMap::new(),
            next: 0,
            office: None,
        }
    }

    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    pub fn start(&mut self, now: Time, seed: u64, defect: Option<Defect>) -> Result<(), Broken> {
        if !self.votes {
            (self.disk, self.id.disk) = (Stored::default(), self.id.disk + 1);
        }
        if defect == Some(Defect::TailLost) {
            self.disk.entries.pop();
        }
        // Time before zero, so that no promise of silence stands.
        let born = if defect == Some(Defect::NoSilenceAfterStart) { 0 } else { now };
        let core = Core::new(self.id.clone(), self.disk.clone(), seed, born);
        let (place, state) = core.start();
        self.book = Book::read(state).unwrap_or_default();
        self.applied = place;
        for output in core.known() {
            if let Output::Apply { place, word, .. } = output {
                self.fold(place, &word, defect);
            }
        }
        self.core = Some(core);
        Ok(())
    }

    /// Power is lost, or the process is killed.
    pub fn stop(&mut self) {
        self.core = None;
        self.calls.clear();
        self.office = None;
        self.late.clear();
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    fn fold(&mut self, place: Place, word: &[u8], defect: Option<Defect>) -> Applied {
        self.applied = place;
        let Some(mut word) = Word::read(word) else { return Applied::Same };
        if let (Word::Configuration { base, .. }, Some(Defect::BaseIgnored)) = (&mut word, defect) {
            *base = self.book.version();
        }
        self.book.apply(place, &word)
    }

    /// One input, and all that comes of it. `breaks`: the process dies in the middle: nothing is sent, and what was to be
    /// saved is or is not.
    pub fn take(
        &mut self,
        now: Time,
        input: Input,
        defect: Option<Defect>,
        breaks: Option<bool>,
        seen: &mut Seen,
    ) -> Result<Step, Broken> {
        let mut step = Step::default();
        let mut outputs = Vec::new();
        let Some(core) = &mut self.core else { return Ok(step) };
        core.handle(now, input, &mut outputs);
        let agreed = core.agreed();
        let saves: Vec<Save> = outputs
            .iter()
            .filter_map(|o| match o {
                Output::Save(save) => Some(save.clone()),
                _ => None,
            })
            .collect();
        if breaks != Some(false) {
            if defect == Some(Defect::SendBeforeSync) && !saves.is_empty() {
                self.late.push((now + 5 * MS, saves));
            } else {
                saves.iter().for_each(|s| save(&mut self.disk, s));
                if !saves.is_empty() {
                    self.disk.agreed = agreed;
                }
            }
        }
        if breaks.is_some() && defect != Some(Defect::SendBeforeSync) {
            self.stop();
            return Ok(step);
        }
        let mut again = Vec::new();
        for output in outputs {
            match output {
                Output::Save(_) => {}
                Output::Send(message) => step.send.push(message),
                Output::Proposed { tag, place, term } => {
                    if let Some(Call::Proposed { at, word }) = self.calls.get_mut(&tag) {
                        *at = Some((place, term));
                        if defect == Some(Defect::AckBeforeAgreed) {
                            seen.acknowledge(word)?;
                        }
                    }
                }
                Output::Apply { place, term, word } => {
                    self.apply(now, (place, term), &word, defect, seen, &mut step)?
                }
                Output::Install { place, state } => {
                    if place < self.applied {
                        return Err(Broken::Order(place));
                    }
                    self.book = Book::read(&state).unwrap_or_default();
                    self.applied = place;
                }
                Output::Newest { tag } => again.extend(self.newest(tag, seen, &mut step)?),
                Output::NotHolder { tag } => {
                    if self.calls.remove(&tag).is_some() {
                        step.ended.push(None);
                    }
                }
            }
        }
        self.compact();
        for input in again {
            let more = self.take(now, input, defect, None, seen)?;
            step.send.extend(more.send);
            step.ended.extend(more.ended);
        }
        Ok(step)
    }

    fn compact(&mut self) {
        let (applied, state) = (self.applied, self.book.write());
        let Some(core) = self.core.as_mut().filter(|c| c.entries() > 24) else { return };
        if let Some(s) = core.compact(applied, state) {
            save(&mut self.disk, &s);
        }
    }

    fn apply(
        &mut self,
        now: Time,
        (place, term): (Place, Term),
        word: &[u8],
        defect: Option<Defect>,
        seen: &mut Seen,
        step: &mut Step,
    ) -> Result<(), Broken> {
        if place <= self.applied {
            return Err(Broken::Order(place));
        }
        seen.applied(now, place, word)?;
        let applied = self.fold(place, word, defect);
        let here = |call: &Call| matches!(call, Call::Proposed { at: Some((p, _)), .. } if *p <= place);
        let tags: Vec<u64> = self.calls.iter().filter(|(_, c)| here(c)).map(|(t, _)| *t).collect();
        for tag in tags {
            let Some(Call::Proposed { word, at }) = self.calls.remove(&tag) else { continue };
            let taken = at == Some((place, term)) && applied != Applied::Other;
            if taken && defect != Some(Defect::AckBeforeAgreed) {
                seen.acknowledge(&word)?;
            }
            let version = match word {
                Word::Configuration { version, .. } => Some(version),
                _ => None,
            };
            step.ended.push(version.filter(|_| taken));
        }
        Ok(())
    }

    fn newest(&mut self, tag: u64, seen: &mut Seen, step: &mut Step) -> Result<Option<Input>, Broken> {
        match self.calls.remove(&tag) {
            Some(Call::Read { acknowledged, drains }) => {
                let book = &self.book;
                seen.read(book.version(), acknowledged, |d| book.is_leaving(d), &drains)?;
                step.ended.push(Some(book.version()));
                Ok(None)
            }
            Some(Call::Change { base, version, ends }) => {
                let body = guest::body(version, ends);
                if self.book.has_taken(version, &body) {
                    step.ended.push(Some(version));
                } else if self.book.version() != base {
                    step.ended.push(Some(self.book.version()));
                } else {
                    let word = Word::Configuration { base, version, body };
                    return Ok(Some(self.propose(word)));
                }
                Ok(None)
            }
            other => {
                debug_assert!(other.is_none(), "a proposal is no read");
                Ok(None)
            }
        }
    }

    fn propose(&mut self, word: Word) -> Input {
        self.next += 1;
        let (tag, bytes) = (self.next, word.write());
        self.calls.insert(tag, Call::Proposed { word, at: None });
        Input::Propose { tag, word: bytes }
    }

    /// A call comes in. What is to be done, if this one can do it.
    pub fn call(&mut self, call: Call) -> Option<Input> {
        self.core.as_ref().filter(|c| c.is_holder())?;
        match call {
            Call::Proposed { word, .. } => Some(self.propose(word)),
            call => {
                self.next += 1;
                self.calls.insert(self.next, call);
                Some(Input::Read { tag: self.next })
            }
        }
    }

    /// The guest's trial by the agreed configuration.
    pub fn ends(&self) -> Option<Wall> {
        guest::ends(&self.book.configuration()?.body)
    }

    /// This machine's time of day.
    pub fn wall(&self, now: Time) -> Wall {
        (guest::BEGAN + now / MS).saturating_add_signed(self.skew)
    }

    /// Trials that have passed by the clocks of a majority, as proposals of the holder's.
    pub fn trials(&mut self, now: Time, defect: Option<Defect>) -> Vec<Input> {
        let Some(core) = self.core.as_ref().filter(|c| c.is_holder()) else { return Vec::new() };
        let members = core.members().clone();
        let wall = self.wall(now);
        self.clocks.hear(now, &self.id.name, wall);
        let mut voters: BTreeSet<&str> = members.keys().map(String::as_str).collect();
        if defect == Some(Defect::HoldersClock) {
            voters.retain(|name| *name == self.id.name);
        }
        let terms = guest::terms(&BTreeMap::new(), self.ends());
        let due = terms.due(&self.book, now, &self.clocks, &voters);
        due.into_iter().map(|word| Input::Propose { tag: 0, word: word.write() }).collect()
    }

    /// The term in which it lends now, if it does.
    pub fn lends(&self, now: Time, defect: Option<Defect>) -> Option<Term> {
        let core = self.core.as_ref()?;
        let more = if defect == Some(Defect::LeasePastItsEnd) { 1000 * MS } else { 0 };
        core.lease().filter(|until| now < until.saturating_add(more)).map(|_| core.term())
    }

    pub fn lend(
        &mut self,
        now: Time,
        gateway: &str,
        ask: &Ask,
        others: &BTreeMap<String, Limit>,
        gateways: &BTreeSet<String>,
        defect: Option<Defect>,
    ) -> Option<Lent> {
        let term = self.lends(now, defect)?;
        let terms = guest::terms(others, self.ends());
        let mut over = terms.over(&self.book);
        if self.office.as_ref().is_none_or(|(t, _)| *t != term) {
            if defect == Some(Defect::OverForgotten) {
                over.clear();
            }
            let keeper = Keeper::begin(now, term, &terms.limits, &over, gateways);
            self.office = Some((term, keeper));
        }
        let keeper = &mut self.office.as_mut()?.1;
        if defect != Some(Defect::OverForgotten) {
            keeper.limits(now, &terms.limits, &over);
        }
        if defect == Some(Defect::EvenPartsLentToo) {
            let nothing = Ask::default();
            gateways.iter().for_each(|g| drop(keeper.ask(now, g, &nothing)));
        }
        keeper.ask(now, gateway, ask)
    }
}

/// What the disk holds after a save.
pub fn save(disk: &mut Stored, save: &Save) {
    match save {
        Save::Term { term, vote } => (disk.term, disk.vote) = (*term, vote.clone()),
        Save::Entries { from, entries } => {
            let kept = from.saturating_sub(disk.snapshot.place + 1) as usize;
            disk.entries.truncate(kept);
            disk.entries.extend(entries.iter().cloned());
        }
        Save::Snapshot { snapshot, whole } => {
            let behind = snapshot.place.saturating_sub(disk.snapshot.place) as usize;
            let kept: Vec<Entry> = if *whole || behind > disk.entries.len() {
                Vec::new()
            } else {
                disk.entries.split_off(behind)
            };
            (disk.entries, disk.snapshot) = (kept, snapshot.clone());
        }
    }
}
