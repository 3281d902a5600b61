//! Tenants' quota, granted by the leader within its lease.

use crate::{ControlNode, Defect, Time, MS};
use consensus::Term;
use control_state::LogIndex;
use quota::{LeaseGrant, LeaseRequest, QuotaCoordinator, TrialStatus};
use std::collections::BTreeSet;
use std::rc::Rc;
use trial::{ClockReadings, TenantTerms, UnixMillis};

/// How much longer than its lease a leader with the defect grants.
const DEFECTIVE_LEASE_EXTENSION: Time = 1000 * MS;

/// What of the replicated state quota rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct QuotaInputs {
    configuration_index: LogIndex,
    last_expiry_index: LogIndex,
    /// Counts changes of the replicated gateways.
    gateways_generation: u64,
}

/// The coordinator of one of this leader's terms.
#[derive(Debug)]
pub(crate) struct CoordinatorTerm {
    pub term: Term,
    pub coordinator: QuotaCoordinator,
    inputs: QuotaInputs,
}

/// What the configuration of an index says of tenants.
#[derive(Debug, Default)]
struct IndexedTerms {
    configuration_index: LogIndex,
    terms: Rc<TenantTerms>,
}

/// A node's part in quota and trials.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub(crate) coordinator: Option<CoordinatorTerm>,
    terms: IndexedTerms,
    /// What control nodes say of the time of day.
    pub clocks: ClockReadings,
    pub next_trial_poll: Time,
    pub next_removal_poll: Time,
    pub next_report: Time,
    /// Counts changes of the replicated gateways.
    pub gateways_generation: u64,
}

impl QuotaState {
    /// A node that coordinates nothing yet.
    pub fn new(now: Time) -> Self {
        QuotaState {
            coordinator: None,
            terms: IndexedTerms::default(),
            clocks: ClockReadings::default(),
            next_trial_poll: now + crate::trial_expiry::IDLE_POLL_INTERVAL,
            next_removal_poll: now + crate::gateway_removal::POLL_INTERVAL,
            next_report: now + crate::quota_report::REPORT_INTERVAL,
            gateways_generation: 0,
        }
    }

    /// When trials are next looked at.
    pub fn next_due(&self) -> Time {
        self.next_trial_poll
    }

    /// A node says what time of day it is.
    pub fn record_clock(&mut self, now: Time, node: &str, unix_ms: UnixMillis) {
        self.clocks.record(now, node, unix_ms);
    }
}

impl ControlNode {
    /// What the configuration in force says of tenants, read once for each configuration.
    pub fn terms(&mut self) -> Rc<TenantTerms> {
        let current = self.state.configuration();
        let configuration_index = current.map_or(0, |current| current.index);
        if self.quota.terms.configuration_index != configuration_index {
            let read_terms = self.config.read_terms;
            let terms = Rc::new(current.map(|current| read_terms(&current.body)).unwrap_or_default());
            self.quota.terms = IndexedTerms { configuration_index, terms };
        }
        self.quota.terms.terms.clone()
    }

    fn quota_inputs(&self) -> QuotaInputs {
        QuotaInputs {
            configuration_index: self.state.configuration().map_or(0, |current| current.index),
            last_expiry_index: self.state.last_expiry_index(),
            gateways_generation: self.quota.gateways_generation,
        }
    }

    /// The term in which this node grants quota now, if it does: while no other node can have been elected.
    pub fn coordinator_term(&self, now: Time) -> Option<Term> {
        let extension = if self.has_defect(Defect::LeasePastItsEnd) { DEFECTIVE_LEASE_EXTENSION } else { 0 };
        let lease_until = self.leadership.lease_until?.saturating_add(extension);
        (now < lease_until).then_some(self.leadership.term)
    }

    pub(crate) fn grant_lease(&mut self, gateway: &str, request: &LeaseRequest) -> Option<LeaseGrant> {
        let term = self.coordinator_term(self.now)?;
        let terms = self.terms();
        let inputs = self.quota_inputs();
        let now = self.now;
        let gateways = self.state.gateways();
        let current = match self.quota.coordinator.take().filter(|current| current.term == term) {
            Some(current) => current,
            None => {
                log::info!("quota: coordinating in term {term}");
                let previous = self.leadership.history.previous_coordinator(now, term);
                let expired = self.expired_tenants(&terms);
                let coordinator =
                    QuotaCoordinator::new(now, term, previous, &terms.limits, &expired, gateways);
                CoordinatorTerm { term, coordinator, inputs }
            }
        };
        let new_expired = (current.inputs != inputs).then(|| self.expired_tenants(&terms));
        let current = self.quota.coordinator.insert(current);
        current.inputs = inputs;
        if let Some(expired) = new_expired {
            current.coordinator.set_limits(now, &terms.limits, &expired);
            current.coordinator.set_gateways(now, gateways);
        }
        #[cfg(feature = "simulation")]
        if self.defect == Some(Defect::FallbackSharesGranted) {
            let nothing = LeaseRequest::default();
            gateways.iter().for_each(|gateway| drop(current.coordinator.grant(now, gateway, &nothing)));
        }
        current.coordinator.grant(now, gateway, request)
    }

    /// The tenants whose trial has expired, as replicated; they change with the inputs alone.
    fn expired_tenants(&self, terms: &TenantTerms) -> BTreeSet<String> {
        if self.has_defect(Defect::ExpiredTrialsForgotten) {
            return BTreeSet::new();
        }
        terms.expired_tenants(&self.state)
    }

    /// How trials stand, if this node grants quota.
    pub fn trial_status(&self, now: Time) -> Vec<TrialStatus> {
        let is_current = self.leadership.is_leader;
        let current = self.quota.coordinator.as_ref();
        let current = current.filter(|current| is_current && current.term == self.leadership.term);
        current.map(|current| current.coordinator.trial_status(now)).unwrap_or_default()
    }
}
