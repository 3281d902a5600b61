//! Contact state of each gateway, as seen by the coordinator. Every state change has a deadline that is known in
//! advance, so that a request only touches the state of its own gateway.

use crate::decaying_rate::DecayingRate;
use crate::time::Time;
use crate::{
    CONTINUATION_PERIOD, FALLBACK_RESERVE_TIMEOUT, GRANT_RATE_WINDOW_S, ISOLATION_TIMEOUT,
    NEW_PROCESS_FALLBACK_LIFETIME,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time since its last request after which a gateway has only its fallback share.
const CONTINUATION_DEADLINE: Time = ISOLATION_TIMEOUT + CONTINUATION_PERIOD;
/// Units per second below which the grant rate of a tenant may be pruned.
const MIN_TRACKED_GRANT_RATE: f64 = 0.1;
/// Number of tenants tracked per gateway before any is pruned.
const MIN_TRACKED_TENANTS: usize = 32;

/// Contact state of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ContactState {
    /// The gateway has not contacted this coordinator; it may continue at a fraction of its grant rate from
    /// the predecessor.
    Unseen,
    /// The gateway sent a request recently, so its usage is reported.
    Active,
    /// The gateway may continue at [`crate::CONTINUATION_RATIO`] of its grant rate.
    RecentlySilent,
    /// The gateway has only its fallback share.
    Silent,
}

/// Change of a gateway's contact state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transition {
    pub occurred_at: Time,
    pub gateway: String,
    pub from: ContactState,
    pub to: ContactState,
}

/// Contact of one gateway with this coordinator.
#[derive(Clone, Debug)]
struct Contact {
    /// When this coordinator started, or when the gateway was added.
    known_since: Time,
    /// When the gateway's last request arrived, if any has.
    last_request_at: Option<Time>,
    state: ContactState,
    /// When the state may change next if no further request arrives.
    deadline: Option<Time>,
    /// Units per second that the gateway was granted recently, by tenant.
    grant_rates: BTreeMap<String, DecayingRate>,
    /// Number of tenants at which old grant rates are pruned: twice the number left by the previous pruning, so that
    /// the amortized cost per grant is constant.
    prune_threshold: usize,
}

impl Contact {
    fn new(now: Time) -> Self {
        Contact {
            known_since: now,
            last_request_at: None,
            state: ContactState::Unseen,
            deadline: Some(now + CONTINUATION_DEADLINE),
            grant_rates: BTreeMap::new(),
            prune_threshold: MIN_TRACKED_TENANTS,
        }
    }

    fn prune_grant_rates(&mut self, now: Time) {
        self.grant_rates.retain(|_, rate| rate.at(now) >= MIN_TRACKED_GRANT_RATE);
        self.prune_threshold = (2 * self.grant_rates.len()).max(MIN_TRACKED_TENANTS);
    }

    fn silence(&self, now: Time) -> Time {
        now.saturating_sub(self.last_request_at.unwrap_or(self.known_since))
    }

    /// Returns the state after a deadline has passed, and the next deadline.
    fn after_deadline(&self, deadline: Time) -> (ContactState, Option<Time>) {
        let Some(last_request_at) = self.last_request_at else { return (ContactState::Silent, None) };
        let silent_at = last_request_at + FALLBACK_RESERVE_TIMEOUT;
        if deadline < silent_at {
            (ContactState::Active, Some(silent_at))
        } else if deadline < last_request_at + CONTINUATION_DEADLINE {
            (ContactState::RecentlySilent, Some(last_request_at + CONTINUATION_DEADLINE))
        } else {
            (ContactState::Silent, None)
        }
    }
}

/// Contact states of all gateways.
#[derive(Clone, Debug)]
pub(crate) struct GatewayContacts {
    contacts: BTreeMap<String, Contact>,
    /// `Contact::deadline` of each gateway that has one, with the gateway's name.
    deadlines: BTreeSet<(Time, String)>,
    /// Number of gateways that are not active.
    silent: usize,
    /// Number of silent gateways that have not contacted this coordinator and may continue.
    unseen: usize,
    /// When the latest request of any gateway arrived.
    latest_request_at: Option<Time>,
    /// Fraction of each rate that is reserved for unseen gateways.
    unseen_reserve: f64,
    /// Gateways removed so recently that a new process of the same name may not know of the removal yet, with the time
    /// of removal.
    recently_removed: BTreeMap<String, Time>,
    /// When the earliest entry of `recently_removed` expires, if there is one.
    next_removed_expiry: Option<Time>,
    /// Gateways pending removal. They are not answered until they are removed and added again.
    pending_removal: BTreeSet<String>,
}

impl GatewayContacts {
    /// Creates the contacts with all gateways unseen. `unseen_reserve` is the fraction of each rate reserved for them.
    pub fn new(now: Time, unseen_reserve: f64, names: &BTreeSet<String>) -> Self {
        let mut contacts = GatewayContacts {
            contacts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            silent: 0,
            unseen: 0,
            latest_request_at: None,
            unseen_reserve,
            recently_removed: BTreeMap::new(),
            next_removed_expiry: None,
            pending_removal: BTreeSet::new(),
        };
        contacts.set_names(now, names);
        contacts
    }

    /// Replaces the set of gateways. Transitions up to `now` must have been taken.
    pub fn set_names(&mut self, now: Time, names: &BTreeSet<String>) {
        let removed_names = self.contacts.keys().filter(|name| !names.contains(*name));
        self.recently_removed.extend(removed_names.map(|name| (name.clone(), now)));
        self.prune_removed(now);
        self.contacts.retain(|name, _| names.contains(name));
        self.pending_removal.retain(|name| names.contains(name));
        for name in names {
            self.contacts.entry(name.clone()).or_insert_with(|| Contact::new(now));
        }
        let has_state = |state: ContactState| move |contact: &&Contact| contact.state == state;
        let active = self.contacts.values().filter(has_state(ContactState::Active)).count();
        self.silent = self.contacts.len() - active;
        self.unseen = self.contacts.values().filter(has_state(ContactState::Unseen)).count();
        self.latest_request_at = self.contacts.values().filter_map(|contact| contact.last_request_at).max();
        let deadlines = self.contacts.iter();
        self.deadlines =
            deadlines.filter_map(|(name, contact)| Some((contact.deadline?, name.clone()))).collect();
    }

    /// Returns the number of known gateways.
    pub fn len(&self) -> usize {
        self.contacts.len()
    }

    /// Returns the number of gateways that are not active.
    pub fn silent(&self) -> usize {
        self.silent
    }

    /// Whether a gateway is known and not pending removal, so that its requests are answered.
    pub fn accepts(&self, name: &str) -> bool {
        self.contacts.contains_key(name) && !self.pending_removal.contains(name)
    }

    /// Returns the next state change that was due by `now`.
    pub fn next_transition(&mut self, now: Time) -> Option<Transition> {
        while self.deadlines.first().is_some_and(|(due_at, _)| *due_at <= now) {
            let (due_at, gateway) = self.deadlines.pop_first()?;
            let Some(contact) = self.contacts.get_mut(&gateway) else { continue };
            let (to, deadline) = contact.after_deadline(due_at);
            contact.deadline = deadline;
            self.deadlines.extend(deadline.map(|next| (next, gateway.clone())));
            if to != contact.state {
                return Some(self.change_state(due_at, gateway, to));
            }
        }
        None
    }

    /// Records a request of a gateway and returns the resulting state change, if any. Transitions up to `now` must have
    /// been taken.
    pub fn record_request(&mut self, now: Time, name: &str) -> Option<Transition> {
        let contact = self.contacts.get_mut(name)?;
        contact.last_request_at = Some(now);
        self.latest_request_at = self.latest_request_at.max(Some(now));
        if contact.state == ContactState::Active {
            // The deadline is not moved here; it is re-evaluated when it is due.
            return None;
        }
        let deadline = now + FALLBACK_RESERVE_TIMEOUT;
        if let Some(earlier) = contact.deadline.replace(deadline) {
            self.deadlines.remove(&(earlier, name.to_string()));
        }
        self.deadlines.insert((deadline, name.to_string()));
        Some(self.change_state(now, name.to_string(), ContactState::Active))
    }

    fn change_state(&mut self, occurred_at: Time, gateway: String, to: ContactState) -> Transition {
        let from = match self.contacts.get_mut(&gateway) {
            Some(contact) => std::mem::replace(&mut contact.state, to),
            None => to,
        };
        match (from, to) {
            (ContactState::Active, _) => self.silent += 1,
            (_, ContactState::Active) => self.silent -= 1,
            _ => {}
        }
        if from == ContactState::Unseen {
            self.unseen -= 1;
        }
        Transition { occurred_at, gateway, from, to }
    }

    /// Records units of a tenant that were granted to a gateway.
    pub fn record_grant(&mut self, now: Time, gateway: &str, tenant: &str, units: u32) {
        let Some(contact) = self.contacts.get_mut(gateway) else { return };
        if let Some(rate) = contact.grant_rates.get_mut(tenant) {
            rate.record(now, units);
            return;
        }
        if contact.grant_rates.len() >= contact.prune_threshold {
            contact.prune_grant_rates(now);
        }
        let mut rate = DecayingRate::new(now, GRANT_RATE_WINDOW_S);
        rate.record(now, units);
        contact.grant_rates.insert(tenant.to_string(), rate);
    }

    /// Returns the grant rate per tenant, in units per second, at the time of the gateway's last request.
    pub fn grant_rates_at_last_request(&self, gateway: &str) -> impl Iterator<Item = (&str, f64)> {
        let contact = self.contacts.get(gateway);
        let last_request_at = contact.and_then(|contact| contact.last_request_at).unwrap_or_default();
        let rates = contact.into_iter().flat_map(|contact| &contact.grant_rates);
        rates.map(move |(tenant, rate)| (tenant.as_str(), rate.at(last_request_at)))
    }

    /// Returns the gateways in the state [`ContactState::RecentlySilent`].
    pub fn recently_silent(&self) -> impl Iterator<Item = &str> {
        let is_recent = |contact: &Contact| contact.state == ContactState::RecentlySilent;
        self.contacts.iter().filter(move |(_, contact)| is_recent(contact)).map(|(name, _)| name.as_str())
    }

    /// Marks the gateways that have been silent for `min_silence` as pending removal, and returns all that are pending.
    /// They are not answered until they are removed and added again.
    pub fn begin_removals(&mut self, now: Time, min_silence: Time) -> &BTreeSet<String> {
        let silent = self.contacts.iter().filter(|(_, contact)| contact.silence(now) >= min_silence);
        self.pending_removal.extend(silent.map(|(name, _)| name.clone()));
        &self.pending_removal
    }

    /// Whether no gateway has sent a request for `silence`.
    pub fn all_silent_for(&self, now: Time, silence: Time) -> bool {
        self.latest_request_at.is_none_or(|at| now.saturating_sub(at) >= silence)
    }

    /// Drops gateways that were removed long enough ago, and returns whether any were due.
    pub fn expire_removed(&mut self, now: Time) -> bool {
        let is_due = self.next_removed_expiry.is_some_and(|at| at <= now);
        if is_due {
            self.prune_removed(now);
        }
        is_due
    }

    fn prune_removed(&mut self, now: Time) {
        self.recently_removed.retain(|_, at| now.saturating_sub(*at) < NEW_PROCESS_FALLBACK_LIFETIME);
        self.next_removed_expiry =
            self.recently_removed.values().min().map(|at| at + NEW_PROCESS_FALLBACK_LIFETIME);
    }

    /// Returns the fallback share of one gateway, as a fraction of any rate.
    pub fn fallback_share(&self) -> f64 {
        1.0 / (self.contacts.len() + self.recently_removed.len()).max(1) as f64
    }

    /// Returns the total fallback share of all gateways that are not active.
    fn silent_fallback_share(&self) -> f64 {
        self.fallback_share() * (self.silent + self.recently_removed.len()) as f64
    }

    /// Returns the fraction of all rates outside the fallback shares of gateways that are not active.
    pub fn share_without_fallback(&self) -> f64 {
        1.0 - self.silent_fallback_share()
    }

    /// Returns the fraction of all rates that refills the buckets. The reserve for unseen gateways covers their
    /// fallback shares.
    pub fn refill_share(&self) -> f64 {
        let unseen = if self.unseen > 0 { self.unseen_reserve } else { 0.0 };
        1.0 - self.silent_fallback_share().max(unseen)
    }
}
