//! What all parts of this process see: the agreed book, the cell, the board, who holds the duty. Folded from what happens in
//! one place each; tasks wait for news of it.

use crate::trials::{wall, Current};
use callboard::{Board, Contact};
use curtain::Clocks;
use greenroom::{Cell, Fact, Heard};
use promptbook::{Applied, Book, Configuration, Part, Place, Sender, Steps, Word};
use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use understudy::{Id, Time};
use wings::message::{Change, Down, Peer, Scene};
use wings::settings::Settings;

/// Changes that a follower may be behind without a snapshot.
const CHANGES: usize = 1024;

/// Without contact with a majority for so long, or looked at so late, the cell was deaf.
const DEAF: Duration = Duration::from_millis(2500);
const STILL: Time = 2_500_000_000;

/// Who holds the duty, as the agreement told last.
#[derive(Clone, Debug, Default)]
pub struct Duty {
    pub holder: Option<Id>,
    pub is_holder: bool,
    pub term: u64,
    /// Until when its word alone counts.
    pub lease: Option<Time>,
    /// When a majority answered it, if it leads; when it heard the leader, if not, which proves nothing: [`View::touch`].
    pub touch: Option<Time>,
    pub members: BTreeMap<String, u64>,
}

pub struct View {
    pub settings: Settings,
    pub me: Id,
    begun: Instant,
    pub book: RefCell<Book>,
    /// Who drains or has ended is in the book, or here if it ended; both are told by the board.
    pub cell: RefCell<Cell>,
    /// When it was last looked at for those who are silent.
    swept: Value<Time>,
    board: RefCell<Board<Change>>,
    /// Lives of the board in this process.
    boards: Value<u64>,
    pub duty: RefCell<Duty>,
    contact: RefCell<Contact>,
    /// How followers come from one configuration to the next.
    steps: RefCell<Steps>,
    news: watch::Sender<()>,
    /// Gateways that follow: where their loans go, and whom they believe to be gone.
    pub followers: RefCell<HashMap<String, Follower>>,
    /// Links to the other prompters, by name.
    pub links: RefCell<BTreeMap<String, mpsc::Sender<Peer>>>,
    /// Prompters that were ever heard of: names, and zones as far as they are known.
    pub known: RefCell<BTreeMap<String, String>>,
    /// Beats heard first-hand since they were last passed on.
    fresh: RefCell<Fresh>,
    /// What prompters say of the time of day.
    pub clocks: RefCell<Clocks>,
    /// What tenants may do by the agreed configuration.
    pub current: Current,
}

/// A gateway that follows.
type Follower = (mpsc::Sender<Down>, Vec<String>);
/// Beats: those that say something new whole, of the others id and sequence.
type Fresh = (Vec<Fact>, Vec<(String, u64)>);

impl View {
    pub fn new(settings: Settings, me: Id, seed: u64) -> Rc<Self> {
        let begun = Instant::now();
        let beat = (settings.platform.heartbeat_interval_ms * 1e6) as Time;
        let mut known: BTreeMap<String, String> =
            settings.seeds().iter().map(|ip| (ip.to_string(), String::new())).collect();
        known.insert(me.name.clone(), settings.own.zone.clone());
        Rc::new(View {
            settings,
            me,
            begun,
            book: RefCell::new(Book::new()),
            cell: RefCell::new(Cell::new(beat, 0)),
            swept: Value::new(0),
            board: RefCell::new(Board::new(seed, CHANGES)),
            boards: Value::new(seed),
            duty: RefCell::default(),
            contact: RefCell::default(),
            steps: RefCell::default(),
            news: watch::Sender::new(()),
            followers: RefCell::default(),
            links: RefCell::default(),
            known: RefCell::new(known),
            fresh: RefCell::default(),
            clocks: RefCell::default(),
            current: Current::default(),
        })
    }

    /// Nanoseconds since the process began, on the steady clock.
    pub fn now(&self) -> Time {
        self.begun.elapsed().as_nanos() as Time
    }

    pub fn instant(&self, time: Time) -> Instant {
        let far = Duration::from_secs(3600);
        self.begun + Duration::from_nanos(time).min(self.begun.elapsed() + far)
    }

    /// Tells of each change from now on.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// Something has changed: all who wait look again.
    pub fn changed(&self) {
        self.news.send_replace(());
    }

    // ---- Contact with a majority ----

    /// All that was agreed on before then is held here, as far as can be proven: [`Contact`].
    pub fn touch(&self) -> Option<Time> {
        let (mut contact, led) = (self.contact.borrow_mut(), self.led());
        if let Some(at) = led {
            contact.prove(at);
        }
        contact.proven()
    }

    /// How long ago that was; very long, if it never was.
    pub fn untouched_for(&self) -> Duration {
        self.touch().map_or(Duration::MAX, |at| Duration::from_nanos(self.now().saturating_sub(at)))
    }

    /// When a majority answered this one, if it leads beyond doubt.
    fn led(&self) -> Option<Time> {
        let duty = self.duty.borrow();
        // Before its own first entry is agreed on it may lack what was agreed on before.
        duty.touch.filter(|_| duty.is_holder && duty.lease.is_some()).map(|at| at.min(self.now()))
    }

    /// Asks the leader for proof.
    pub fn ask_contact(&self) {
        let duty = self.duty.borrow();
        if let Some(holder) = duty.holder.as_ref().filter(|_| !duty.is_holder) {
            let number = self.contact.borrow_mut().ask(self.now());
            self.tell(&holder.name, Peer::Contact { number });
        }
    }

    /// Another's ask: answered by the leader alone.
    pub fn contact_asked(&self, from: &str, number: u64) {
        let Some(at) = self.led() else { return };
        let (age, agreed) = (self.now().saturating_sub(at), self.contact.borrow().place());
        self.tell(from, Peer::Contacted { number, age, agreed });
    }

    pub fn contacted(&self, number: u64, age: Time, agreed: Place) {
        self.contact.borrow_mut().told(number, age, agreed);
    }

    // ---- The book ----

    /// A word was agreed on.
    pub fn apply(&self, place: Place, word: &[u8]) -> Applied {
        self.contact.borrow_mut().applied(place);
        let Some(word) = Word::read(word) else {
            log::error!("agreed: the word at {place} is none of ours; it changes nothing");
            return Applied::Same;
        };
        let mut book = self.book.borrow_mut();
        let old = book.configuration().cloned();
        let applied = book.apply(place, &word);
        if applied == Applied::Changed {
            let change = match word {
                Word::Configuration { version, .. } | Word::Change { version, .. } => {
                    log::info!("agreed: configuration {version:08x} at {place}");
                    self.went(old.as_deref(), book.configuration().map(AsRef::as_ref));
                    None
                }
                Word::Leaving { instance } => Some(Change::Leaving(instance)),
                Word::Gateway { .. } => Some(Change::Gateways(book.gateways().iter().cloned().collect())),
                // Gateways hear of it with their rights.
                Word::TrialOver { tenant, ends } => {
                    log::info!("agreed: the trial of {tenant} that ended at {ends} is over");
                    None
                }
            };
            self.board.borrow_mut().extend(change);
        }
        drop(book);
        self.changed();
        applied
    }

    /// Trials whose end has passed by the clocks of a majority of the voters, as words to agree on.
    pub fn trials_passed(&self) -> Vec<Word> {
        let (now, terms, duty) = (self.now(), self.current.terms(self), self.duty.borrow());
        let mut clocks = self.clocks.borrow_mut();
        clocks.hear(now, &self.me.name, wall());
        let voters = duty.members.keys().map(String::as_str).collect();
        terms.due(&self.book.borrow(), now, &clocks, &voters)
    }

    /// Followers go from one configuration to the next.
    fn went(&self, old: Option<&Configuration>, new: Option<&Configuration>) {
        if let Some((old, new)) = old.zip(new).filter(|(old, new)| old.place != new.place) {
            self.steps.borrow_mut().went(old, new);
        }
    }

    /// The book as a whole, as of this place of the log; followers get it as a scene.
    pub fn install(&self, place: Place, state: &[u8]) {
        let Some(book) = Book::read(state) else {
            log::error!("agreed: a state that is none of ours; the old one stands");
            return;
        };
        let old = self.book.replace(book);
        let new = self.book.borrow().configuration().cloned();
        self.went(old.configuration().map(AsRef::as_ref), new.as_deref());
        self.contact.borrow_mut().applied(place);
        self.boards.set(self.boards.get().wrapping_add(1));
        *self.board.borrow_mut() = Board::new(self.boards.get(), CHANGES);
        self.changed();
    }

    pub fn scene(&self) -> Down {
        let book = self.book.borrow();
        let cell = self.cell.borrow();
        let scene = Scene {
            backends: cell.facts().cloned().collect(),
            whole: cell.is_whole(self.now()),
            // Of those who have ended nobody needs to hear, but a gateway may know of one from elsewhere.
            leaving: book.leaving().cloned().collect(),
            gateways: book.gateways().iter().cloned().collect(),
        };
        Down::Scene { place: self.board.borrow().end(), scene: Box::new(scene) }
    }

    /// The next part of the newest configuration for this follower.
    pub fn part(&self, to: &mut Sender) -> Option<Part> {
        to.part(&self.steps.borrow(), self.book.borrow().configuration())
    }

    /// What came since; none if a scene is wanted.
    pub fn since(&self, place: callboard::Place) -> Option<Vec<Change>> {
        self.board.borrow().since(place).map(|c| c.cloned().collect())
    }

    // ---- The cell ----

    /// A beat; `first_hand`: from the backend itself, so that the others have yet to hear of it.
    pub fn beat(&self, fact: Fact, first_hand: bool) {
        let heard = self.cell.borrow_mut().beat(self.now(), fact.clone());
        if matches!(heard, Heard::New | Heard::Changed) {
            self.board.borrow_mut().append(Change::Backend(fact.clone()));
            self.changed();
        }
        if first_hand {
            let mut fresh = self.fresh.borrow_mut();
            match heard {
                Heard::New | Heard::Changed => fresh.0.push(fact),
                Heard::Same => fresh.1.push((fact.id, fact.sequence)),
                Heard::Late | Heard::Full => {}
            }
        }
    }

    /// A backend as it was known before this process began. Whatever it says itself counts more.
    pub fn remember(&self, fact: Fact) {
        let fact = Fact { sequence: 0, cold_ms: 0, ..fact };
        self.cell.borrow_mut().beat(self.now(), fact);
    }

    /// Which lives there are, and a number that changes with them.
    pub fn lives(&self) -> (u64, Vec<Fact>) {
        let book = self.book.borrow();
        let cell = self.cell.borrow();
        let facts = cell.facts().filter(|f| !f.draining && !book.is_leaving(&f.id)).cloned().collect();
        (self.board.borrow().end().at.wrapping_add(1), facts)
    }

    /// Beats that the others have yet to hear of.
    pub fn take_fresh(&self) -> Option<Peer> {
        let (facts, again) = std::mem::take(&mut *self.fresh.borrow_mut());
        let some = !facts.is_empty() || !again.is_empty();
        some.then_some(Peer::Beats { facts, again })
    }

    /// A backend's life is over.
    pub fn over(&self, instance: &str) {
        if self.cell.borrow_mut().over(instance) {
            self.board.borrow_mut().append(Change::Over(instance.into()));
            self.changed();
        }
    }

    /// Ends the lives of those who are silent; looked at a few times a second. While this prompter was cut off from the majority, or
    /// stood still, others may have heard them.
    pub fn sweep(&self) {
        let now = self.now();
        let stood_still = now.saturating_sub(self.swept.replace(now)) > STILL;
        if stood_still || self.untouched_for() >= DEAF {
            return self.cell.borrow_mut().was_deaf(now);
        }
        let over = self.cell.borrow_mut().sweep(now);
        if !over.is_empty() {
            log::info!("backends: {} silent ones are over", over.len());
            self.board.borrow_mut().extend(over.into_iter().map(Change::Over));
            self.changed();
        }
    }

    /// Hands a gateway something, if it follows and there is room: whatever is handed may be lost.
    pub fn hand(&self, gateway: &str, down: Down) {
        if let Some((follower, _)) = self.followers.borrow().get(gateway) {
            let _ = follower.try_send(down);
        }
    }

    // ---- The others ----

    /// Sends to another prompter, if there is a link and room on it: whatever is sent may be lost.
    pub fn tell(&self, name: &str, message: Peer) {
        if let Some(link) = self.links.borrow().get(name) {
            let _ = link.try_send(message);
        }
    }

    pub fn tell_all(&self, message: &Peer) {
        for link in self.links.borrow().values() {
            let _ = link.try_send(message.clone());
        }
    }

    /// Prompters that are known, by address, each with its zone.
    pub fn prompters(&self) -> Vec<(String, String)> {
        self.known.borrow().iter().map(|(name, zone)| (name.clone(), zone.clone())).collect()
    }

    /// Somebody has told of a prompter.
    pub fn knows(&self, name: &str, zone: &str) {
        let mut known = self.known.borrow_mut();
        // No fleet has so many.
        if name.parse::<IpAddr>().is_ok() && (known.len() < 64 || known.contains_key(name)) {
            let held = known.entry(name.to_string()).or_default();
            if !zone.is_empty() {
                *held = zone.to_string();
            }
        }
    }
}
