//! Quota grants to gateways, made by the leader while it holds its leader lease.

use crate::{ControlNode, Defect, Time, MS};
use consensus::Term;
use control_state::LogIndex;
use quota::{LeaseGrant, LeaseRequest, QuotaCoordinator, TrialStatus};
use std::collections::BTreeSet;
use std::rc::Rc;
use trial::{ClockReadings, TenantTerms, UnixMillis};

/// How long after its lease a leader with [`Defect::LeasePastItsEnd`] keeps granting.
const DEFECTIVE_LEASE_EXTENSION: Time = 1000 * MS;

/// Versions of the replicated state from which the coordinator was last updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct QuotaInputs {
    configuration_index: LogIndex,
    last_expiry_index: LogIndex,
    /// Incremented with each change of the replicated gateways.
    gateways_generation: u64,
}

/// The quota coordinator of one term in which this node leads.
#[derive(Debug)]
pub(crate) struct CoordinatorTerm {
    pub term: Term,
    pub coordinator: QuotaCoordinator,
    inputs: QuotaInputs,
}

/// Tenant terms extracted from the configuration at `configuration_index`.
#[derive(Debug, Default)]
struct CachedTerms {
    configuration_index: LogIndex,
    terms: Rc<TenantTerms>,
}

/// Quota and trial state of a node.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub(crate) coordinator: Option<CoordinatorTerm>,
    cached_terms: CachedTerms,
    /// Wall-clock readings of the control nodes.
    pub clocks: ClockReadings,
    pub next_trial_poll: Time,
    pub next_removal_poll: Time,
    pub next_report: Time,
    /// Incremented with each change of the replicated gateways.
    pub gateways_generation: u64,
}

impl QuotaState {
    /// Creates the state without a coordinator.
    pub fn new(now: Time) -> Self {
        QuotaState {
            coordinator: None,
            cached_terms: CachedTerms::default(),
            clocks: ClockReadings::default(),
            next_trial_poll: now + crate::trial_expiry::IDLE_POLL_INTERVAL,
            next_removal_poll: now + crate::gateway_removal::POLL_INTERVAL,
            next_report: now + crate::quota_report::REPORT_INTERVAL,
            gateways_generation: 0,
        }
    }

    /// Returns when the next check for ended trials is due.
    pub fn next_due(&self) -> Time {
        self.next_trial_poll
    }

    /// Records another node's wall-clock reading.
    pub fn record_clock(&mut self, now: Time, node: &str, unix_ms: UnixMillis) {
        self.clocks.record(now, node, unix_ms);
    }
}

impl ControlNode {
    /// Returns the tenants' terms of the configuration in force, extracted once per configuration.
    pub fn terms(&mut self) -> Rc<TenantTerms> {
        let current = self.state.configuration();
        let configuration_index = current.map_or(0, |current| current.index);
        if self.quota.cached_terms.configuration_index != configuration_index {
            let read_terms = self.config.read_terms;
            let terms = Rc::new(current.map(|current| read_terms(&current.body)).unwrap_or_default());
            self.quota.cached_terms = CachedTerms { configuration_index, terms };
        }
        self.quota.cached_terms.terms.clone()
    }

    fn quota_inputs(&self) -> QuotaInputs {
        QuotaInputs {
            configuration_index: self.state.configuration().map_or(0, |current| current.index),
            last_expiry_index: self.state.last_expiry_index(),
            gateways_generation: self.quota.gateways_generation,
        }
    }

    /// Returns the current term if this node may grant quota: its leader lease has not expired, so that no other node
    /// can have been elected.
    pub fn coordinator_term(&self, now: Time) -> Option<Term> {
        let lease_extension =
            if self.has_defect(Defect::LeasePastItsEnd) { DEFECTIVE_LEASE_EXTENSION } else { 0 };
        let lease_until = self.leadership.lease_until?.saturating_add(lease_extension);
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
            let empty_request = LeaseRequest::default();
            gateways.iter().for_each(|gateway| drop(current.coordinator.grant(now, gateway, &empty_request)));
        }
        current.coordinator.grant(now, gateway, request)
    }

    /// Returns the tenants whose trial has expired in the replicated state. The result changes only with
    /// [`QuotaInputs`].
    fn expired_tenants(&self, terms: &TenantTerms) -> BTreeSet<String> {
        if self.has_defect(Defect::ExpiredTrialsForgotten) {
            return BTreeSet::new();
        }
        terms.expired_tenants(&self.state)
    }

    /// Returns the status of all trials if this node is the coordinator of the current term; otherwise an empty list.
    pub fn trial_status(&self, now: Time) -> Vec<TrialStatus> {
        let is_current = self.leadership.is_leader;
        let current = self.quota.coordinator.as_ref();
        let current = current.filter(|current| is_current && current.term == self.leadership.term);
        current.map(|current| current.coordinator.trial_status(now)).unwrap_or_default()
    }
}
