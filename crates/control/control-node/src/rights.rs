//! Tenants' rights in the leader's term, and the ends of their trials by the clocks of a majority.

use crate::{ControlNode, Defect, Time, MS};
use consensus::{Input, Term};
use control_state::LogIndex;
use quota::{LeaseGrant, LeaseRequest, QuotaCoordinator, TrialStatus};
use std::collections::BTreeSet;
use std::rc::Rc;
use trial::{ClockReadings, TenantTerms, UnixMillis};

/// Trials are looked at so often while some have yet to end; else seldom.
const TRIAL_POLL_INTERVAL: Time = 100 * MS;
const IDLE_POLL_INTERVAL: Time = 1000 * MS;

/// The stores of tenants, in the leader's term.
#[derive(Debug)]
struct CoordinatorTerm {
    term: Term,
    coordinator: QuotaCoordinator,
    /// Of the book that its limits, trials and gateways are from: the configuration's place, the latest trial's, how many
    /// gateways.
    state_version: (LogIndex, LogIndex, usize),
}

#[derive(Debug)]
pub(crate) struct QuotaState {
    coordinator: Option<CoordinatorTerm>,
    /// What the configuration of this place says of tenants.
    terms: (LogIndex, Rc<TenantTerms>),
    /// What prompters say of the time of day.
    clocks: ClockReadings,
    next_trial_poll: Time,
}

impl QuotaState {
    pub fn new(now: Time) -> Self {
        QuotaState {
            coordinator: None,
            terms: Default::default(),
            clocks: ClockReadings::default(),
            next_trial_poll: now + IDLE_POLL_INTERVAL,
        }
    }

    pub fn next_due(&self) -> Time {
        self.next_trial_poll
    }

    /// A machine says what time of day it is.
    pub fn record_clock(&mut self, now: Time, name: &str, wall: UnixMillis) {
        self.clocks.record(now, name, wall);
    }
}

impl ControlNode {
    /// What the agreed configuration says of tenants, read once for each.
    pub fn terms(&mut self) -> Rc<TenantTerms> {
        let configuration = self.state.configuration();
        let place = configuration.map_or(0, |c| c.index);
        if self.quota.terms.0 != place {
            let terms = configuration.map(|c| (self.config.read_terms)(&c.body)).unwrap_or_default();
            self.quota.terms = (place, Rc::new(terms));
        }
        self.quota.terms.1.clone()
    }

    fn quota_state_version(&self) -> (LogIndex, LogIndex, usize) {
        let book = &self.state;
        (book.configuration().map_or(0, |c| c.index), book.last_expiry_index(), book.gateways().len())
    }

    /// The term in which it lends at this moment, if it does: for as long as that is beyond doubt.
    pub fn coordinator_term(&self, now: Time) -> Option<Term> {
        let more = if self.has(Defect::LeasePastItsEnd) { 1000 * MS } else { 0 };
        self.leadership
            .lease_until
            .filter(|until| now < until.saturating_add(more))
            .map(|_| self.leadership.term)
    }

    pub(crate) fn grant_lease(&mut self, gateway: &str, ask: &LeaseRequest) -> Option<LeaseGrant> {
        let (now, term) = (self.now, self.coordinator_term(self.now)?);
        let (terms, as_of) = (self.terms(), self.quota_state_version());
        let forgets = self.has(Defect::ExpiredTrialsForgotten);
        let over = |book| if forgets { BTreeSet::new() } else { terms.expired_tenants(book) };
        let book = &self.state;
        let office = match self.quota.coordinator.take().filter(|o| o.term == term) {
            Some(office) => office,
            None => {
                log::info!("rights: lending in term {term}");
                let keeper = QuotaCoordinator::new(now, term, &terms.limits, &over(book), book.gateways());
                CoordinatorTerm { term, coordinator: keeper, state_version: as_of }
            }
        };
        let office = self.quota.coordinator.insert(office);
        if std::mem::replace(&mut office.state_version, as_of) != as_of {
            office.coordinator.set_limits(now, &terms.limits, &over(book));
            office.coordinator.add_gateways(book.gateways());
        }
        #[cfg(feature = "simulation")]
        if self.defect == Some(Defect::FallbackSharesGranted) {
            let nothing = LeaseRequest::default();
            book.gateways().iter().for_each(|g| drop(office.coordinator.grant(now, g, &nothing)));
        }
        office.coordinator.grant(now, gateway, ask)
    }

    /// How trials stand, if this one lends.
    pub fn trial_status(&self, now: Time) -> Vec<TrialStatus> {
        let lends = self
            .quota
            .coordinator
            .as_ref()
            .filter(|o| self.leadership.is_leader && o.term == self.leadership.term);
        lends.map(|o| o.coordinator.trial_status(now)).unwrap_or_default()
    }

    /// The leader has those agreed on to be over whose end has passed.
    pub(crate) fn expire_trials(&mut self) {
        if self.quota.next_trial_poll > self.now {
            return;
        }
        let terms = self.terms();
        let leads = self.leadership.is_leader;
        self.quota.next_trial_poll = self.now
            + if leads && !terms.trial_ends.is_empty() { TRIAL_POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
        if !leads {
            return;
        }
        self.quota.clocks.record(self.now, &self.config.id.name, self.unix_ms);
        let mut voters: BTreeSet<&str> = self.leadership.voters.keys().map(String::as_str).collect();
        if self.has(Defect::LeadersClockAlone) {
            voters.retain(|name| *name == self.config.id.name);
        }
        for word in terms.due_expiries(&self.state, self.now, &self.quota.clocks, &voters) {
            // It may be lost; it is looked at again.
            self.enqueue(Input::Propose { tag: 0, command: word.encode() });
        }
    }
}
