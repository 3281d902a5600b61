//! The agreement and its disk: inputs in, saves to the disk before anything that rests on them, outputs out. While the disk
//! does not save, it goes on without: it takes in and tells what others have agreed on, and promises nothing.

use crate::standing::{Standing, WAIT};
use crate::{Defect, Effect, Prompter, Time};
use consensus::{Input, Output, Place, Save, Stored, Term};
use control_state::{Applied, Book, Word};
use messages::message::Peer;
use std::collections::{BTreeMap, VecDeque};

/// Inputs taken in one turn, so that their saves share a sync.
const TURN: usize = 64;
/// A turn ends sooner when so many bytes are to be saved.
const TURN_BYTES: usize = 512 << 10;
/// Inputs that wait at the most, while the disk hangs: messages may be lost.
const QUEUE: usize = 4096;
/// The log is folded into the state when so many entries are agreed on, or so many bytes of them.
const FOLD: usize = 64;
const FOLD_BYTES: usize = 512 << 10;
/// A run of so many bytes or more is a long one: the disk keeps it by itself, once. Shorter ones stand where they are.
pub const LONG: usize = 4 << 10;
/// No more is proposed while so many bytes are not agreed on: of words that are long, and of others. What a disk is to hold is
/// bounded by it.
const OPEN_LONG: usize = 1 << 20;
const OPEN_SHORT: usize = 512 << 10;

/// What the disk is to do.
#[derive(Clone, Debug)]
pub enum Work {
    /// All of it, in order, synced together; with how far the log is agreed on.
    Save(Vec<Save>, Place),
    /// The whole, in place of whatever is there.
    Whole(Box<Stored>),
}

/// Who waits for the agreement.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Waiter {
    Read(u64),
    Order(u64),
}

/// What has come of something that was asked of the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Done {
    /// It was agreed on, and stands.
    Stands,
    /// It was agreed on, and another came first.
    Other,
    /// All that was agreed on before is known here.
    Newest,
    /// This one does not lead, or leads no more: nothing is known.
    NotLeader,
}

/// What a turn waits for the disk with.
enum Pending {
    Outputs(Vec<Output>),
    Fold,
    Whole,
}

pub(crate) struct Turns {
    inbox: VecDeque<(Input, Option<Waiter>)>,
    /// Who waits, by tag.
    waiting: BTreeMap<u64, Waiter>,
    /// What was proposed here, by place.
    places: BTreeMap<Place, (Term, u64)>,
    applied: Place,
    tag: u64,
    standing: Standing,
    /// The number of the latest write.
    write: u64,
    /// What the turn waits for, and until when.
    pending: Option<(u64, Time, Pending)>,
    /// What the disk is at while the turns go on without it.
    saving: Option<u64>,
    /// Agreed on by this one alone, and not on its disk yet.
    withheld: Vec<Output>,
    fold: usize,
}

impl Turns {
    pub fn new(now: Time) -> Self {
        Turns {
            inbox: VecDeque::new(),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            applied: 0,
            tag: 0,
            standing: Standing::begin(now),
            write: 0,
            pending: None,
            saving: None,
            withheld: Vec::new(),
            fold: FOLD,
        }
    }

    pub fn wants_work(&self) -> bool {
        self.pending.is_none() && !self.inbox.is_empty()
    }
}

impl Prompter {
    /// The log is folded at so many entries; for worlds that are to fold it often.
    pub fn fold_at(&mut self, entries: usize) {
        self.turns.fold = entries;
    }

    /// How its disk stands, for a story.
    pub fn disk_told(&self) -> String {
        let pending = self.turns.pending.as_ref().map(|(n, until, _)| (n, until));
        format!("{} inputs, waits for {pending:?}, {:?}", self.turns.inbox.len(), self.turns.standing)
    }

    pub(crate) fn turns_due(&self) -> Time {
        let turns = &self.turns;
        match turns.pending {
            // Nothing else is looked at meanwhile.
            Some((_, until, _)) => until,
            None => self.core.next_due().min(turns.standing.next_due()),
        }
    }

    /// Something for the agreement, which nobody waits for; of too much some is lost.
    pub(crate) fn put(&mut self, input: Input) {
        if self.turns.inbox.len() < QUEUE {
            self.turns.inbox.push_back((input, None));
        }
    }

    /// The same; whoever waits for it hears what came of it.
    pub(crate) fn ask(&mut self, input: Input, waiter: Waiter) {
        if self.turns.inbox.len() < QUEUE {
            self.turns.inbox.push_back((input, Some(waiter)));
        } else {
            self.done(waiter, Done::NotLeader);
        }
    }

    pub(crate) fn take_turns(&mut self) {
        if self.turns.pending.as_ref().is_some_and(|(_, until, _)| *until <= self.now) {
            self.waited(None);
        }
        while self.turns.pending.is_none() {
            let due = self.turns_due() <= self.now;
            if !due && self.turns.inbox.is_empty() {
                break;
            }
            let mut outputs = Vec::new();
            if due {
                self.core.handle(self.now, Input::Tick, &mut outputs);
            }
            for _ in 0..TURN {
                if bytes(&outputs) > TURN_BYTES {
                    break;
                }
                let Some((input, waiter)) = self.turns.inbox.pop_front() else { break };
                self.take(input, waiter, &mut outputs);
            }
            self.carry_out(outputs);
            if due && self.turns.inbox.is_empty() && self.turns_due() <= self.now {
                // Whatever is due is done once a step.
                break;
            }
        }
    }

    fn take(&mut self, input: Input, waiter: Option<Waiter>, outputs: &mut Vec<Output>) {
        self.turns.tag += 1;
        let tag = self.turns.tag;
        let input = match input {
            Input::Propose { word, .. } => Input::Propose { tag, word },
            Input::Read { .. } => Input::Read { tag },
            other => other,
        };
        if matches!(&input, Input::Propose { word, .. } if self.is_too_much(word.len())) {
            if let Some(waiter) = waiter {
                self.done(waiter, Done::NotLeader);
            }
            return;
        }
        if let Some(waiter) = waiter {
            if self.turns.waiting.len() >= QUEUE {
                // Some have long given up waiting.
                let (orders, turns) = (&self.orders, &mut self.turns);
                turns.waiting.retain(|_, w| orders.waits(*w));
            }
            self.turns.waiting.insert(tag, waiter);
        }
        self.core.handle(self.now, input, outputs);
    }

    /// Whether as much waits to be agreed on as may, for a word of so many bytes.
    fn is_too_much(&self, bytes: usize) -> bool {
        let is_long = |bytes: usize| bytes >= LONG;
        let agreed = self.core.agreed();
        let open =
            self.core.sizes().filter(|(place, size)| *place > agreed && is_long(*size) == is_long(bytes));
        open.map(|(_, size)| size).sum::<usize>() > if is_long(bytes) { OPEN_LONG } else { OPEN_SHORT }
    }

    /// All saves first: that is sooner than asked for, and one sync does for all. What rests on them waits for the disk, if it works.
    fn carry_out(&mut self, mut outputs: Vec<Output>) {
        let mut saves = Vec::new();
        outputs.retain_mut(|o| match o {
            Output::Save(save) => {
                saves.push(save.clone());
                false
            }
            _ => true,
        });
        if saves.is_empty() || !self.is_to_wait() {
            self.perform(outputs);
            return self.fold();
        }
        if self.has(Defect::SendBeforeSync) {
            let (first, rest) = outputs.into_iter().partition(|o| matches!(o, Output::Send(_)));
            outputs = rest;
            self.perform(first);
        }
        let agreed = self.core.agreed();
        self.wait_for(Work::Save(saves, agreed), Pending::Outputs(outputs));
    }

    /// Whether something to be saved is to be waited for. If the disk does not work, nothing rests on it: what the agreement makes of
    /// it while it knows of no disk promises nothing, and it comes with the whole.
    fn is_to_wait(&mut self) -> bool {
        let works = self.turns.standing.works();
        if !works {
            self.turns.standing.missed();
        }
        works
    }

    fn write(&mut self, work: Work) -> u64 {
        self.turns.write += 1;
        let number = self.turns.write;
        self.effects.push(Effect::Write { number, work });
        number
    }

    /// No longer than the others wait for a leader.
    fn wait_for(&mut self, work: Work, pending: Pending) {
        let number = self.write(work);
        self.turns.pending = Some((number, self.now + WAIT, pending));
    }

    /// The disk has done this, or has refused it.
    pub fn written(&mut self, now: Time, number: u64, done: bool) {
        self.now = now;
        if self.turns.pending.as_ref().is_some_and(|(n, ..)| *n == number) {
            self.waited(Some(done));
        } else if self.turns.saving == Some(number) {
            let outputs = self.saved(done);
            self.carry_out(outputs);
        }
    }

    /// What the turn has waited for is done or refused; none: it is waited for no longer.
    fn waited(&mut self, done: Option<bool>) {
        let Some((number, _, pending)) = self.turns.pending.take() else { return };
        let (outputs, is_whole) = match pending {
            Pending::Outputs(outputs) => (outputs, false),
            Pending::Fold => (Vec::new(), false),
            Pending::Whole => (Vec::new(), true),
        };
        match (done, is_whole) {
            (Some(done), true) => {
                let outputs = self.saved(done);
                return self.carry_out(outputs);
            }
            (None, true) => self.turns.saving = Some(number),
            (Some(true), false) => self.perform(outputs),
            (Some(false), false) => {
                log::warn!(
                    "disk: this one leads and votes no more until all is saved, and goes on with the rest"
                );
                self.turns.standing.refused(self.now);
                self.without_disk(outputs);
            }
            (None, false) => {
                log::warn!(
                    "disk: a save takes longer than {} ms; this one leads and votes no more until all is saved, and goes on \
                     with the rest",
                    WAIT / 1_000_000
                );
                self.turns.saving = Some(number);
                self.turns.standing.late(self.now);
                self.without_disk(outputs);
            }
        }
        self.fold();
    }

    /// A save did not come to the disk. What rests on it is not said; messages may be lost at any time.
    fn without_disk(&mut self, mut outputs: Vec<Output>) {
        if self.has(Defect::SpeaksWithoutDisk) {
            return self.perform(outputs);
        }
        outputs.retain(|o| !matches!(o, Output::Send(_)));
        if self.core.is_holder() && self.core.members().len() == 1 {
            // Nobody else has it: it is agreed on when the disk has it.
            let (withheld, others) = outputs.into_iter().partition(|o| matches!(o, Output::Apply { .. }));
            self.turns.withheld.extend::<Vec<_>>(withheld);
            outputs = others;
        }
        self.core.handle(self.now, Input::Disk { works: false }, &mut outputs);
        self.perform(outputs);
    }

    /// The whole was saved, or not, or a save that was late.
    fn saved(&mut self, done: bool) -> Vec<Output> {
        self.turns.saving = None;
        let mut outputs = Vec::new();
        if !done {
            self.turns.standing.refused(self.now);
        } else if let Some(time) = self.turns.standing.done(self.now) {
            log::info!("disk: all is saved, after {} ms", time / 1_000_000);
            outputs.append(&mut self.turns.withheld);
            self.core.handle(self.now, Input::Disk { works: true }, &mut outputs);
        }
        outputs
    }

    /// The log up to what is applied becomes the state, when it is long.
    fn fold(&mut self) {
        let applied = self.turns.applied;
        let sizes = || self.core.sizes().filter(|(place, _)| *place <= applied).map(|(_, size)| size);
        if sizes().count() <= self.turns.fold && sizes().sum::<usize>() <= FOLD_BYTES {
            return self.save_whole();
        }
        let state = self.state();
        let Some(save) = self.core.compact(applied, state) else { return self.save_whole() };
        if !self.is_to_wait() {
            return self.save_whole();
        }
        let agreed = self.core.agreed();
        self.wait_for(Work::Save(vec![save], agreed), Pending::Fold);
    }

    /// What a snapshot holds.
    fn state(&self) -> Vec<u8> {
        if self.has(Defect::OldSnapshot) {
            return self.core.start().1.to_vec();
        }
        if !self.has(Defect::SnapshotForgets) {
            return self.book.write();
        }
        // Of what was taken the newest alone.
        let mut book = Book::new();
        if let Some(c) = self.book.configuration() {
            let (version, body) = (c.version, c.body.clone());
            book.apply(c.place, &Word::Configuration { base: 0, version, body });
        }
        book.write()
    }

    /// Saves the whole, if it is time. When the disk has just done so, and there was more by then, the turn waits for it.
    fn save_whole(&mut self) {
        if let Some(time) = self.turns.standing.say(self.now) {
            log::warn!("disk: nothing was saved for {} s; tried again and again", time / 1_000_000_000);
        }
        if self.turns.saving.is_none() && self.turns.standing.is_due(self.now) {
            let whole = Work::Whole(Box::new(self.core.stored()));
            if self.turns.standing.saving() {
                self.wait_for(whole, Pending::Whole);
            } else {
                self.turns.saving = Some(self.write(whole));
            }
        }
        self.tell_duty();
    }

    fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                // Nothing rests on it: it comes with the whole.
                Output::Save(_) => self.turns.standing.missed(),
                Output::Send(message) => {
                    let to = message.to.name.clone();
                    self.tell(&to, Peer::Agree(message));
                }
                Output::Proposed { tag, place, term } => {
                    self.turns.places.insert(place, (term, tag));
                    if self.has(Defect::AckBeforeAgreed) {
                        self.tagged(tag, Done::Stands);
                    }
                }
                Output::Apply { place, term, word } => {
                    let applied = self.fold_in(place, &word);
                    self.settle((place, term), &applied);
                }
                Output::Install { place, state } => self.install(place, &state),
                Output::Newest { tag } => self.tagged(tag, Done::Newest),
                Output::NotHolder { tag } => self.tagged(tag, Done::NotLeader),
            }
        }
    }

    /// A word that was agreed on.
    pub(crate) fn fold_in(&mut self, place: Place, word: &[u8]) -> Applied {
        self.turns.applied = place;
        #[cfg(feature = "simulation")]
        self.journal.push(crate::Applied::Word(place, word.to_vec()));
        self.apply(place, word)
    }

    /// The book as a whole, as of this place of the log.
    pub(crate) fn install(&mut self, place: Place, state: &[u8]) {
        self.turns.applied = place;
        #[cfg(feature = "simulation")]
        self.journal.push(crate::Applied::Book(place));
        self.replace_book(place, state);
    }

    fn settle(&mut self, (place, term): (Place, Term), applied: &Applied) {
        // Whatever was proposed here for an earlier place, or this one in another term, never will be agreed on.
        while let Some((at, (proposed, tag))) = self.turns.places.first_key_value().map(|(p, t)| (*p, *t)) {
            if at > place {
                break;
            }
            self.turns.places.remove(&at);
            let outcome = if *applied == Applied::Other { Done::Other } else { Done::Stands };
            let same = at == place && proposed == term;
            self.tagged(tag, if same { outcome } else { Done::NotLeader });
        }
    }

    fn tagged(&mut self, tag: u64, done: Done) {
        if let Some(waiter) = self.turns.waiting.remove(&tag) {
            self.done(waiter, done);
        }
    }

    fn done(&mut self, waiter: Waiter, done: Done) {
        match waiter {
            Waiter::Read(call) => self.read_done(call, done),
            Waiter::Order(job) => self.order_done(job, done),
        }
    }
}

/// What is to be saved, in bytes.
fn bytes(outputs: &[Output]) -> usize {
    let entry = |e: &consensus::Entry| match &e.said {
        consensus::Said::Word(word) => word.len(),
        _ => 0,
    };
    let one = |output: &Output| match output {
        Output::Save(Save::Entries { entries, .. }) => entries.iter().map(entry).sum(),
        Output::Save(Save::Snapshot { snapshot, .. }) => snapshot.state.len(),
        _ => 0,
    };
    outputs.iter().map(one).sum()
}
