//! The one task that runs the agreement: inputs in, saves to the disk before anything that rests on them, outputs out. While the
//! disk does not save, it goes on without: it takes in and tells what others have agreed on, and promises nothing.

#[cfg(test)]
mod tests;

use crate::disk::{Disk, Done as Saving, Fault, Standing, LONG, WAIT};
use crate::view::{Duty, View};
use boxoffice::{Ask, Keeper, Lent};
use promptbook::Applied;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};
use understudy::{Core, Id, Input, Output, Place, Save, Stored, Term};
use wings::message::Peer;

/// Inputs taken in one turn, so that their saves share a sync.
const TURN: usize = 64;
/// A turn ends sooner when so many bytes are to be saved.
const TURN_BYTES: usize = 512 << 10;
/// The log is folded into the state when so many entries are agreed on, or so many bytes of them.
const FOLD: usize = 64;
const FOLD_BYTES: usize = 512 << 10;
/// No more is proposed while so many bytes are not agreed on: of words that are long, and of others. What a disk is to hold is bounded by
/// it.
const OPEN_LONG: usize = 1 << 20;
const OPEN_SHORT: usize = 512 << 10;

/// What has come of something that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It was agreed on, and came to this.
    Agreed(Outcome),
    /// All that was agreed on before is known here.
    Newest,
    /// This one does not hold the duty, or lost it: nothing is known.
    NotHolder,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Stands,
    Other,
}

/// How other tasks reach the agreement.
#[derive(Clone)]
pub struct Agreement {
    inputs: mpsc::Sender<(Input, Option<oneshot::Sender<Done>>)>,
    office: Rc<RefCell<Option<Office>>>,
    view: Rc<View>,
}

/// The stores of tenants, in the holder's term.
struct Office {
    term: Term,
    keeper: Keeper,
    /// Of the book that its limits, trials and gateways are from: the configuration's place, the latest trial's, how many
    /// gateways.
    as_of: (Place, Place, usize),
}

impl Agreement {
    /// Starts the task. It ends only with the process.
    pub fn start(
        view: &Rc<View>,
        disk: Disk,
        stored: Stored,
        seed: u64,
    ) -> (Agreement, impl std::future::Future<Output = String>) {
        let (inputs, queue) = mpsc::channel(4096);
        let agreement = Agreement { inputs, office: Rc::default(), view: view.clone() };
        let mut core = Core::new(view.me.clone(), stored, seed, view.now());
        // What was read is to be saved once before anything rests on it.
        core.handle(view.now(), Input::Disk { works: false }, &mut Vec::new());
        let (place, state) = core.start();
        if place > 0 {
            view.install(place, state);
        }
        let mut applied = place;
        for output in core.known() {
            if let Output::Apply { place, word, .. } = output {
                view.apply(place, &word);
                applied = place;
            }
        }
        let run = Run {
            view: view.clone(),
            disk,
            core,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            applied,
            tag: 0,
            standing: Standing::begin(view.now()),
            saving: None,
            withheld: Vec::new(),
        };
        (agreement, run.run(queue))
    }

    pub fn tell(&self, input: Input) {
        // A full queue means that the disk hangs: messages may be lost.
        let _ = self.inputs.try_send((input, None));
    }

    async fn ask(&self, input: Input, most: Duration) -> Done {
        let (done, wait) = oneshot::channel();
        if self.inputs.try_send((input, Some(done))).is_err() {
            return Done::NotHolder;
        }
        timeout(most, wait).await.ok().and_then(Result::ok).unwrap_or(Done::NotHolder)
    }

    pub async fn propose(&self, word: Vec<u8>, most: Duration) -> Done {
        self.ask(Input::Propose { tag: 0, word }, most).await
    }

    /// Until all that was agreed on by now is known here; only the holder can say.
    pub async fn newest(&self, most: Duration) -> bool {
        self.ask(Input::Read { tag: 0 }, most).await == Done::Newest
    }

    /// The holder lends, for as long as its term is beyond doubt.
    pub fn lend(&self, gateway: &str, ask: &Ask) -> Option<Lent> {
        let (now, duty) = (self.view.now(), self.view.duty.borrow());
        if duty.lease.is_none_or(|until| now >= until) {
            return None;
        }
        let mut office = self.office.borrow_mut();
        if office.as_ref().is_none_or(|o| o.term != duty.term) {
            let (terms, book) = (self.view.current.terms(&self.view), self.view.book.borrow());
            let keeper = Keeper::begin(now, duty.term, &terms.limits, &terms.over(&book), book.gateways());
            log::info!("rights: lending in term {}", duty.term);
            *office = Some(Office { term: duty.term, keeper, as_of: self.as_of() });
        }
        let office = office.as_mut()?;
        let as_of = self.as_of();
        if std::mem::replace(&mut office.as_of, as_of) != as_of {
            let (terms, book) = (self.view.current.terms(&self.view), self.view.book.borrow());
            office.keeper.limits(now, &terms.limits, &terms.over(&book));
            office.keeper.gateways(book.gateways());
        }
        office.keeper.ask(now, gateway, ask)
    }

    /// How trials stand, if this one lends.
    pub fn trials(&self) -> Vec<boxoffice::Trial> {
        let (office, term) = (self.office.borrow(), self.view.duty.borrow().term);
        let lends = office.as_ref().filter(|o| self.view.duty.borrow().is_holder && o.term == term);
        lends.map(|o| o.keeper.trials(self.view.now())).unwrap_or_default()
    }

    fn as_of(&self) -> (Place, Place, usize) {
        let book = self.view.book.borrow();
        (book.configuration().map_or(0, |c| c.place), book.over_at(), book.gateways().len())
    }
}

struct Run {
    view: Rc<View>,
    disk: Disk,
    core: Core,
    /// Who waits, by tag.
    waiting: BTreeMap<u64, oneshot::Sender<Done>>,
    /// What was proposed here, by place.
    places: BTreeMap<Place, (Term, u64)>,
    applied: Place,
    tag: u64,
    standing: Standing,
    /// What the disk is at while the task goes on without it.
    saving: Option<Saving>,
    /// Agreed on by this one alone, and not on its disk yet.
    withheld: Vec<Output>,
}

type Queue = mpsc::Receiver<(Input, Option<oneshot::Sender<Done>>)>;

impl Run {
    async fn run(mut self, mut queue: Queue) -> String {
        let mut outputs = Vec::new();
        self.tell_duty();
        loop {
            let due = self.view.instant(self.core.next_due().min(self.standing.next_due()));
            tokio::select! {
                biased;
                saved = answer(&mut self.saving) => self.saved(saved, &mut outputs),
                () = sleep_until(due) => self.core.handle(self.view.now(), Input::Tick, &mut outputs),
                input = queue.recv() => match input {
                    None => return "nobody is left to ask".into(),
                    Some(input) => self.take(input, &mut outputs),
                },
            }
            for _ in 1..TURN {
                if bytes(&outputs) > TURN_BYTES {
                    break;
                }
                let Ok(input) = queue.try_recv() else { break };
                self.take(input, &mut outputs);
            }
            self.carry_out(&mut outputs).await;
            self.fold(&mut outputs).await;
            self.save_whole(&mut outputs).await;
            self.tell_duty();
        }
    }

    fn take(&mut self, (input, done): (Input, Option<oneshot::Sender<Done>>), outputs: &mut Vec<Output>) {
        self.tag += 1;
        let tag = self.tag;
        let input = match input {
            Input::Propose { word, .. } => Input::Propose { tag, word },
            Input::Read { .. } => Input::Read { tag },
            other => other,
        };
        if let Some(done) = done {
            self.waiting.insert(tag, done);
        }
        if matches!(&input, Input::Propose { word, .. } if self.is_too_much(word.len())) {
            return self.done(tag, Done::NotHolder);
        }
        self.core.handle(self.view.now(), input, outputs);
    }

    /// Whether as much waits to be agreed on as may, for a word of so many bytes.
    fn is_too_much(&self, bytes: usize) -> bool {
        let is_long = |bytes: usize| bytes >= LONG;
        let agreed = self.core.agreed();
        let open =
            self.core.sizes().filter(|(place, size)| *place > agreed && is_long(*size) == is_long(bytes));
        open.map(|(_, size)| size).sum::<usize>() > if is_long(bytes) { OPEN_LONG } else { OPEN_SHORT }
    }

    /// All saves first: that is sooner than asked for, and one sync does for all.
    async fn carry_out(&mut self, outputs: &mut Vec<Output>) {
        let mut saves = Vec::new();
        outputs.retain_mut(|o| match o {
            Output::Save(save) => {
                saves.push(save.clone());
                false
            }
            _ => true,
        });
        if !self.save(saves).await {
            self.without_disk(outputs);
        }
        self.perform(outputs);
    }

    fn perform(&mut self, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                // Nothing rests on it: it comes with the whole.
                Output::Save(_) => self.standing.missed(),
                Output::Send(message) => {
                    let to = message.to.name.clone();
                    self.view.tell(&to, Peer::Agree(message));
                }
                Output::Proposed { tag, place, term } => {
                    self.places.insert(place, (term, tag));
                }
                Output::Apply { place, term, word } => self.apply(place, term, &word),
                Output::Install { place, state } => {
                    self.applied = place;
                    self.view.install(place, &state);
                }
                Output::Newest { tag } => self.done(tag, Done::Newest),
                Output::NotHolder { tag } => self.done(tag, Done::NotHolder),
            }
        }
    }

    /// The log up to what is applied becomes the state, when it is long.
    async fn fold(&mut self, outputs: &mut Vec<Output>) {
        let applied = self.applied;
        let sizes = || self.core.sizes().filter(|(place, _)| *place <= applied);
        if sizes().count() <= FOLD && sizes().map(|(_, size)| size).sum::<usize>() <= FOLD_BYTES {
            return;
        }
        let state = self.view.book.borrow().write();
        let Some(save) = self.core.compact(applied, state) else { return };
        if !self.save(vec![save]).await {
            self.without_disk(outputs);
            self.perform(outputs);
        }
    }

    // ---- The disk ----

    /// Whether it is on the disk now, or need not be since nothing rests on it. Waits for it no longer than the others wait for a leader.
    async fn save(&mut self, saves: Vec<Save>) -> bool {
        if saves.is_empty() {
            return true;
        }
        if !self.standing.works() {
            // What the agreement makes of it while it knows of no disk promises nothing.
            self.standing.missed();
            return true;
        }
        let mut saving = self.disk.save(saves, self.core.agreed());
        match timeout(Duration::from_nanos(WAIT), &mut saving).await {
            Ok(Ok(Ok(()))) => return true,
            Ok(outcome) => {
                let fault = outcome.unwrap_or(Err(Fault::Gone)).err().unwrap_or(Fault::Gone);
                log::warn!("disk: {fault}; this one leads and votes no more until all is saved, and goes on with the rest");
                self.standing.refused(self.view.now());
            }
            Err(_) => {
                log::warn!(
                    "disk: a save takes longer than {} ms; this one leads and votes no more until all is saved, and goes \
                     on with the rest",
                    WAIT / 1_000_000
                );
                self.saving = Some(saving);
                self.standing.late(self.view.now());
            }
        }
        false
    }

    /// A save did not come to the disk. What rests on it is not said; messages may be lost at any time.
    fn without_disk(&mut self, outputs: &mut Vec<Output>) {
        outputs.retain(|o| !matches!(o, Output::Send(_)));
        if self.core.is_holder() && self.core.members().len() == 1 {
            // Nobody else has it: it is agreed on when the disk has it.
            let (withheld, others) = outputs.drain(..).partition(|o| matches!(o, Output::Apply { .. }));
            self.withheld.extend::<Vec<_>>(withheld);
            *outputs = others;
        }
        self.core.handle(self.view.now(), Input::Disk { works: false }, outputs);
    }

    /// Saves the whole, if it is time. When the disk has just done so, and there was more by then, the task waits for it.
    async fn save_whole(&mut self, outputs: &mut Vec<Output>) {
        let now = self.view.now();
        if let Some(time) = self.standing.say(now) {
            log::warn!("disk: nothing was saved for {} s; tried again and again", time / 1_000_000_000);
        }
        if self.saving.is_some() || !self.standing.is_due(now) {
            return;
        }
        let mut saving = self.disk.whole(self.core.stored());
        let waits = self.standing.saving();
        if waits {
            if let Ok(saved) = timeout(Duration::from_nanos(WAIT), &mut saving).await {
                self.saved(saved.unwrap_or(Err(Fault::Gone)), outputs);
                return self.perform(outputs);
            }
        }
        self.saving = Some(saving);
    }

    /// The disk has answered while the task went on without it.
    fn saved(&mut self, saved: Result<(), Fault>, outputs: &mut Vec<Output>) {
        self.saving = None;
        let now = self.view.now();
        match saved {
            Ok(()) => {
                if let Some(time) = self.standing.done(now) {
                    log::info!("disk: all is saved, after {} ms", time / 1_000_000);
                    outputs.append(&mut self.withheld);
                    self.core.handle(now, Input::Disk { works: true }, outputs);
                }
            }
            Err(fault) => {
                log::warn!("disk: {fault}; tried again");
                self.standing.refused(now);
            }
        }
    }

    fn apply(&mut self, place: Place, term: Term, word: &[u8]) {
        self.applied = place;
        let applied = self.view.apply(place, word);
        // Whatever was proposed here for an earlier place, or this one in another term, never will be agreed on.
        while let Some((at, (proposed, tag))) = self.places.first_key_value().map(|(p, t)| (*p, *t)) {
            if at > place {
                break;
            }
            self.places.remove(&at);
            let same = at == place && proposed == term;
            let outcome = if applied == Applied::Other { Outcome::Other } else { Outcome::Stands };
            self.done(tag, if same { Done::Agreed(outcome) } else { Done::NotHolder });
        }
    }

    fn done(&mut self, tag: u64, done: Done) {
        if let Some(wait) = self.waiting.remove(&tag) {
            // It may have given up waiting.
            let _ = wait.send(done);
        }
        self.waiting.retain(|_, w| !w.is_closed());
    }

    fn tell_duty(&self) {
        let mut duty = self.view.duty.borrow_mut();
        let new = Duty {
            holder: self.core.holder().cloned(),
            is_holder: self.core.is_holder(),
            term: self.core.term(),
            lease: self.core.lease(),
            touch: self.core.in_touch(),
            members: self.core.members().clone(),
        };
        let changed = (duty.is_holder, &duty.holder) != (new.is_holder, &new.holder);
        if changed {
            let holder = new.holder.as_ref().map_or("nobody".into(), Id::to_string);
            log::info!("duty: term {}, held by {holder}", new.term);
        }
        *duty = new;
        drop(duty);
        if changed {
            self.view.changed();
        }
    }
}

/// What the disk says, when it is at something.
async fn answer(saving: &mut Option<Saving>) -> Result<(), Fault> {
    match saving {
        Some(saving) => saving.await.unwrap_or(Err(Fault::Gone)),
        None => std::future::pending().await,
    }
}

/// What is to be saved, in bytes.
fn bytes(outputs: &[Output]) -> usize {
    let entry = |e: &understudy::Entry| match &e.said {
        understudy::Said::Word(word) => word.len(),
        _ => 0,
    };
    let one = |output: &Output| match output {
        Output::Save(Save::Entries { entries, .. }) => entries.iter().map(entry).sum(),
        Output::Save(Save::Snapshot { snapshot, .. }) => snapshot.state.len(),
        _ => 0,
    };
    outputs.iter().map(one).sum()
}
