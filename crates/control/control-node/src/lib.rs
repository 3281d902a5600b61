//! One prompter as a value: the agreement and its disk, the book, calls of operators and backends, gateways that follow, rights,
//! the founding. Whoever drives it hands in what came, when, and what the disk said, and carries out the [`Effect`]s: the
//! program with sockets, a disk and a clock, `rehearsal` with its own. No I/O. `docs/design/prompter.md`.
#![forbid(unsafe_code)]

mod backends;
mod board;
mod calls;
mod contact;
mod defect;
mod drains;
mod duty;
mod followers;
mod founder;
mod orders;
mod peers;
mod rights;
mod standing;
mod turns;

pub use defect::Defect;
pub use duty::Duty;
pub use followers::PULSE;
pub use peers::HELLO;
pub use turns::{Work, LONG};

use board::News;
use bytes::Bytes;
use change_log::Contact;
use consensus::{Core, Id, Input, Output, Stored};
use control_state::{Book, Configuration};
use drains::Drain;
use followers::Follower;
use founder::Founder;
use messages::message::{Down, Peer};
use orders::Orders;
use quota::Lent;
use registry::{Cell, Fact};
use rights::Rights;
use std::collections::BTreeMap;
use std::sync::Arc;
use trial::{Terms, Wall};
use turns::Turns;

/// Nanoseconds on the driver's steady clock.
pub type Time = consensus::Time;
pub(crate) const MS: Time = 1_000_000;

/// What a prompter is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    pub me: Id,
    pub zone: String,
    /// It has a disk, and so a vote.
    pub votes: bool,
    /// The whole system starts for the first time.
    pub first: bool,
    /// Addresses of prompters.
    pub seeds: Vec<String>,
    /// How often a backend is heard.
    pub beat: Time,
    /// What a configuration says of tenants.
    pub terms: fn(&[u8]) -> Terms,
    /// Chance: of the agreement's time-outs, and this life's number.
    pub seed: u64,
}

/// What the driver is to do, in order.
#[derive(Debug)]
pub enum Effect {
    /// To another prompter, if there is a link and room on it: it may be lost.
    Tell { to: String, peer: Peer },
    /// The same to each prompter that there is a link to.
    TellAll { peer: Peer },
    /// To a gateway that follows, if there is room: it may be lost.
    Hand { gateway: String, down: Down },
    /// This gateway's link may have something to tell: [`Prompter::part`].
    Room { gateway: String },
    /// All who follow look again: [`Prompter::news`].
    News,
    /// To the disk, if there is one; [`Prompter::written`] tells what came of it. One at a time.
    Write { number: u64, work: Work },
    /// Whether this configuration is sound is wanted: [`Prompter::checked`].
    Check { job: u64, body: Bytes },
    /// A call's answer.
    Answer { call: u64, reply: Reply },
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It was taken, now or earlier.
    Acknowledged,
    /// Another version is current.
    Conflict { current: u32 },
    /// It is not sound, for this reason.
    Invalid(String),
    /// What stands.
    Stands(Option<Arc<Configuration>>),
    /// This prompter leads.
    Elsewhere(String),
    /// Nobody can say now: another may.
    Later,
}

/// What was applied, for whoever plays it.
#[cfg(feature = "simulation")]
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    Word(control_state::Place, Vec<u8>),
    /// The book as a whole, as of this place.
    Book(control_state::Place),
}

pub struct Prompter {
    setup: Setup,
    /// As of the latest call.
    now: Time,
    wall: Wall,
    core: Core,
    turns: Turns,
    duty: Duty,
    contact: Contact,
    /// When the leader is asked for proof of contact next.
    asks_at: Time,
    book: Book,
    news: News,
    cell: Cell,
    /// When it was last looked at for those who are silent; when next.
    swept: Time,
    sweeps_at: Time,
    /// Beats heard first-hand since they were last passed on: those that say something new whole, of the others id and sequence.
    fresh: (Vec<Fact>, Vec<(String, u64)>),
    rights: Rights,
    /// Prompters that were ever heard of: names, and zones as far as they are known.
    known: BTreeMap<String, String>,
    founder: Option<Founder>,
    orders: Orders,
    drains: Vec<Drain>,
    followers: BTreeMap<String, Follower>,
    links: u64,
    /// Told to end: when it says so again.
    leaves_at: Option<Time>,
    effects: Vec<Effect>,
    #[cfg(feature = "simulation")]
    defect: Option<Defect>,
    /// What was applied, in order, since it was last taken.
    #[cfg(feature = "simulation")]
    pub journal: Vec<Applied>,
}

impl Prompter {
    /// With what its disk held, and with backends as they were known before this process began.
    pub fn new(setup: Setup, stored: Stored, cell: Vec<Fact>, now: Time) -> Self {
        Prompter::begin(setup, stored, cell, now, None)
    }

    /// The same with a defect planted from the start.
    #[cfg(feature = "simulation")]
    pub fn defective(
        setup: Setup,
        stored: Stored,
        cell: Vec<Fact>,
        now: Time,
        defect: Option<Defect>,
    ) -> Self {
        Prompter::begin(setup, stored, cell, now, defect)
    }

    fn begin(setup: Setup, stored: Stored, lives: Vec<Fact>, now: Time, _defect: Option<Defect>) -> Self {
        #[cfg(feature = "simulation")]
        let born = if _defect == Some(Defect::NoSilenceAfterStart) { 0 } else { now };
        #[cfg(not(feature = "simulation"))]
        let born = now;
        let mut core = Core::new(setup.me.clone(), stored, setup.seed, born);
        // What was read is to be saved once before anything rests on it.
        core.handle(born, Input::Disk { works: false }, &mut Vec::new());
        let mut known: BTreeMap<String, String> =
            setup.seeds.iter().map(|s| (s.clone(), String::new())).collect();
        known.insert(setup.me.name.clone(), setup.zone.clone());
        let mut prompter = Prompter {
            now,
            wall: 0,
            turns: Turns::new(now),
            duty: Duty::default(),
            contact: Contact::default(),
            asks_at: now,
            book: Book::new(),
            news: News::new(setup.seed),
            cell: Cell::new(setup.beat, now),
            swept: now,
            sweeps_at: now,
            fresh: Default::default(),
            rights: Rights::new(now),
            known,
            founder: Founder::new(&setup, now),
            orders: Orders::default(),
            drains: Vec::new(),
            followers: BTreeMap::new(),
            links: 0,
            leaves_at: None,
            effects: Vec::new(),
            #[cfg(feature = "simulation")]
            defect: _defect,
            #[cfg(feature = "simulation")]
            journal: Vec::new(),
            core,
            setup,
        };
        prompter.read_log();
        for fact in lives {
            // Whatever it says itself counts more.
            prompter.cell.beat(now, Fact { sequence: 0, cold_ms: 0, ..fact });
        }
        prompter.tell_duty();
        prompter
    }

    /// What the core knew at its start.
    fn read_log(&mut self) {
        let (place, state) = self.core.start();
        let state = state.to_vec();
        if place > 0 {
            self.install(place, &state);
        }
        for output in self.core.known() {
            if let Output::Apply { place, word, .. } = output {
                self.fold_in(place, &word);
            }
        }
    }

    /// Does what is due, and takes what waits for the agreement, unless that waits for the disk. `wall`: this machine's time of day.
    pub fn work(&mut self, now: Time, wall: Wall) {
        (self.now, self.wall) = (now, wall);
        self.do_due();
        self.take_turns();
    }

    /// When [`Prompter::work`] is next wanted.
    pub fn next_due(&self) -> Time {
        let turns = self.turns_due();
        let calls = self.orders.next_due().min(self.drains_due());
        let founder = self.founder.as_ref().map_or(Time::MAX, Founder::next_due);
        let leaves = self.leaves_at.unwrap_or(Time::MAX);
        turns
            .min(calls)
            .min(self.asks_at)
            .min(self.sweeps_at)
            .min(self.rights.next_due())
            .min(founder)
            .min(leaves)
    }

    /// Something waits for the agreement, which could take it now.
    pub fn wants_work(&self) -> bool {
        self.turns.wants_work()
    }

    fn do_due(&mut self) {
        self.ask_contact();
        self.pass_beats_on();
        self.look_at_trials();
        self.found();
        self.say_that_it_leaves();
        self.end_late_orders();
        self.look_at_drains();
    }

    /// What is to be done about all that has come.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// This process is told to end: its duty is for another, and its vote if one waits for it. It says so again and again.
    pub fn leave(&mut self, now: Time) {
        self.now = now;
        self.leaves_at = Some(now);
    }

    fn say_that_it_leaves(&mut self) {
        if self.leaves_at.is_some_and(|at| at <= self.now) {
            self.leaves_at = Some(self.now + duty::LEAVE);
            self.put(Input::HandOver);
        }
    }

    // ---- What is known ----

    pub fn me(&self) -> &Id {
        &self.setup.me
    }

    pub fn zone(&self) -> &str {
        &self.setup.zone
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    pub fn cell(&self) -> &Cell {
        &self.cell
    }

    pub fn core(&self) -> &Core {
        &self.core
    }

    pub fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Prompters that are known, by address, each with its zone.
    pub fn prompters(&self) -> Vec<(String, String)> {
        self.known.iter().map(|(name, zone)| (name.clone(), zone.clone())).collect()
    }

    fn tell(&mut self, to: &str, peer: Peer) {
        self.effects.push(Effect::Tell { to: to.into(), peer });
    }

    fn hand(&mut self, gateway: &str, lent: Lent) {
        self.effects.push(Effect::Hand { gateway: gateway.into(), down: Down::Lent(lent) });
    }
}
