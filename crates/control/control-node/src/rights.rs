//! Tenants' rights in the leader's term, and the ends of their trials by the clocks of a majority.

use crate::{Defect, Prompter, Time, MS};
use consensus::{Input, Term};
use control_state::Place;
use quota::{Ask, Keeper, Lent, Trial};
use std::collections::BTreeSet;
use std::rc::Rc;
use trial::{Clocks, Terms, Wall};

/// Trials are looked at so often while some have yet to end; else seldom.
const LOOK: Time = 100 * MS;
const SELDOM: Time = 1000 * MS;

/// The stores of tenants, in the leader's term.
#[derive(Debug)]
struct Office {
    term: Term,
    keeper: Keeper,
    /// Of the book that its limits, trials and gateways are from: the configuration's place, the latest trial's, how many
    /// gateways.
    as_of: (Place, Place, usize),
}

#[derive(Debug)]
pub(crate) struct Rights {
    office: Option<Office>,
    /// What the configuration of this place says of tenants.
    terms: (Place, Rc<Terms>),
    /// What prompters say of the time of day.
    clocks: Clocks,
    looks_at: Time,
}

impl Rights {
    pub fn new(now: Time) -> Self {
        Rights { office: None, terms: Default::default(), clocks: Clocks::default(), looks_at: now + SELDOM }
    }

    pub fn next_due(&self) -> Time {
        self.looks_at
    }

    /// A machine says what time of day it is.
    pub fn clock(&mut self, now: Time, name: &str, wall: Wall) {
        self.clocks.hear(now, name, wall);
    }
}

impl Prompter {
    /// What the agreed configuration says of tenants, read once for each.
    pub fn terms(&mut self) -> Rc<Terms> {
        let configuration = self.book.configuration();
        let place = configuration.map_or(0, |c| c.place);
        if self.rights.terms.0 != place {
            let terms = configuration.map(|c| (self.setup.terms)(&c.body)).unwrap_or_default();
            self.rights.terms = (place, Rc::new(terms));
        }
        self.rights.terms.1.clone()
    }

    fn as_of(&self) -> (Place, Place, usize) {
        let book = &self.book;
        (book.configuration().map_or(0, |c| c.place), book.over_at(), book.gateways().len())
    }

    /// The term in which it lends at this moment, if it does: for as long as that is beyond doubt.
    pub fn lends(&self, now: Time) -> Option<Term> {
        let more = if self.has(Defect::LeasePastItsEnd) { 1000 * MS } else { 0 };
        self.duty.lease.filter(|until| now < until.saturating_add(more)).map(|_| self.duty.term)
    }

    pub(crate) fn lend(&mut self, gateway: &str, ask: &Ask) -> Option<Lent> {
        let (now, term) = (self.now, self.lends(self.now)?);
        let (terms, as_of) = (self.terms(), self.as_of());
        let forgets = self.has(Defect::OverForgotten);
        let over = |book| if forgets { BTreeSet::new() } else { terms.over(book) };
        let book = &self.book;
        let office = match self.rights.office.take().filter(|o| o.term == term) {
            Some(office) => office,
            None => {
                log::info!("rights: lending in term {term}");
                let keeper = Keeper::begin(now, term, &terms.limits, &over(book), book.gateways());
                Office { term, keeper, as_of }
            }
        };
        let office = self.rights.office.insert(office);
        if std::mem::replace(&mut office.as_of, as_of) != as_of {
            office.keeper.limits(now, &terms.limits, &over(book));
            office.keeper.gateways(book.gateways());
        }
        #[cfg(feature = "simulation")]
        if self.defect == Some(Defect::EvenPartsLentToo) {
            let nothing = Ask::default();
            book.gateways().iter().for_each(|g| drop(office.keeper.ask(now, g, &nothing)));
        }
        office.keeper.ask(now, gateway, ask)
    }

    /// How trials stand, if this one lends.
    pub fn trials(&self, now: Time) -> Vec<Trial> {
        let lends = self.rights.office.as_ref().filter(|o| self.duty.is_leader && o.term == self.duty.term);
        lends.map(|o| o.keeper.trials(now)).unwrap_or_default()
    }

    /// The leader has those agreed on to be over whose end has passed.
    pub(crate) fn look_at_trials(&mut self) {
        if self.rights.looks_at > self.now {
            return;
        }
        let terms = self.terms();
        let leads = self.duty.is_leader;
        self.rights.looks_at = self.now + if leads && !terms.endings.is_empty() { LOOK } else { SELDOM };
        if !leads {
            return;
        }
        self.rights.clocks.hear(self.now, &self.setup.me.name, self.wall);
        let mut voters: BTreeSet<&str> = self.duty.members.keys().map(String::as_str).collect();
        if self.has(Defect::HoldersClock) {
            voters.retain(|name| *name == self.setup.me.name);
        }
        for word in terms.due(&self.book, self.now, &self.rights.clocks, &voters) {
            // It may be lost; it is looked at again.
            self.put(Input::Propose { tag: 0, word: word.write() });
        }
    }
}
