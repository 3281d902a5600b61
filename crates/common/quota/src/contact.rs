//! Which gateways the coordinator hears. A gateway's state changes at moments that are known ahead, so that no request looks
//! at any gateway but its own.

use crate::decaying_rate::DecayingRate;
use crate::time::Time;
use crate::{
    CONTINUATION_PERIOD, FALLBACK_RESERVE_TIMEOUT, GRANT_RATE_WINDOW_S, ISOLATION_TIMEOUT,
    NEW_PROCESS_FALLBACK_LIFETIME,
};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway that was heard so long ago has its fallback share alone.
const CONTINUATION_ENDS: Time = ISOLATION_TIMEOUT + CONTINUATION_PERIOD;
/// A tenant of which a gateway was granted fewer units a second than this may be forgotten.
const MIN_GRANT_RATE: f64 = 0.1;
/// So many tenants of a gateway are remembered before any is forgotten.
const MIN_REMEMBERED_TENANTS: usize = 32;

/// How a gateway stands with this coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ContactState {
    /// Never heard; it may go on with what the coordinator before granted.
    Unheard,
    /// Heard lately: it reports what it uses.
    Heard,
    /// It may go on at the rate of its last grants.
    RecentlySilent,
    /// It has its fallback share alone.
    Silent,
}

/// A gateway's state has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transition {
    pub at: Time,
    pub gateway: String,
    pub from: ContactState,
    pub to: ContactState,
}

/// What is known of one gateway's contact with this coordinator.
#[derive(Clone, Debug)]
struct Contact {
    /// When this coordinator began, or learnt of the gateway.
    known_since: Time,
    /// When it was last heard, if it ever was.
    heard_at: Option<Time>,
    state: ContactState,
    /// When its state may change next, if nothing is heard of it until then.
    deadline: Option<Time>,
    /// Units a second that it was granted lately, by tenant.
    grant_rates: BTreeMap<String, DecayingRate>,
    /// At so many tenants those of long ago are forgotten: twice as many as there were when that was last done, so that it
    /// costs each grant the same.
    max_tenants: usize,
}

impl Contact {
    fn new(now: Time) -> Self {
        Contact {
            known_since: now,
            heard_at: None,
            state: ContactState::Unheard,
            deadline: Some(now + CONTINUATION_ENDS),
            grant_rates: BTreeMap::new(),
            max_tenants: MIN_REMEMBERED_TENANTS,
        }
    }

    fn forget_old_grants(&mut self, now: Time) {
        self.grant_rates.retain(|_, rate| rate.at(now) >= MIN_GRANT_RATE);
        self.max_tenants = (2 * self.grant_rates.len()).max(MIN_REMEMBERED_TENANTS);
    }

    fn silence(&self, now: Time) -> Time {
        now.saturating_sub(self.heard_at.unwrap_or(self.known_since))
    }

    /// The state at its deadline, and the next deadline.
    fn after_deadline(&self, deadline: Time) -> (ContactState, Option<Time>) {
        let Some(heard_at) = self.heard_at else { return (ContactState::Silent, None) };
        let falls_silent_at = heard_at + FALLBACK_RESERVE_TIMEOUT;
        if deadline < falls_silent_at {
            (ContactState::Heard, Some(falls_silent_at))
        } else if deadline < heard_at + CONTINUATION_ENDS {
            (ContactState::RecentlySilent, Some(heard_at + CONTINUATION_ENDS))
        } else {
            (ContactState::Silent, None)
        }
    }
}

/// The gateways, and when each was last heard.
#[derive(Clone, Debug)]
pub(crate) struct GatewayContacts {
    contacts: BTreeMap<String, Contact>,
    /// The deadline of each gateway that has one.
    deadlines: BTreeSet<(Time, String)>,
    /// Gateways that are not heard.
    silent: usize,
    /// Of these, those that were never heard and may go on.
    unheard: usize,
    /// When a gateway was last heard.
    last_heard: Option<Time>,
    /// What is kept back for gateways that were never heard, as a part of any rate.
    unheard_reserve: f64,
    /// Gateways that were removed so lately that a new process of the name may not know it, and when.
    removed: BTreeMap<String, Time>,
    /// When the first of them is known to all, if there are any.
    next_removed_expiry: Option<Time>,
    /// Gateways that are being removed: they are not answered until they are added again.
    leaving: BTreeSet<String>,
}

impl GatewayContacts {
    /// None has been heard yet; `unheard_reserve`: what is kept back for them, as a part of any rate.
    pub fn new(now: Time, unheard_reserve: f64, names: &BTreeSet<String>) -> Self {
        let mut all = GatewayContacts {
            contacts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            silent: 0,
            unheard: 0,
            last_heard: None,
            unheard_reserve,
            removed: BTreeMap::new(),
            next_removed_expiry: None,
            leaving: BTreeSet::new(),
        };
        all.set_names(now, names);
        all
    }

    /// These gateways exist, and no others. Transitions up to now were taken before.
    pub fn set_names(&mut self, now: Time, names: &BTreeSet<String>) {
        let gone = self.contacts.keys().filter(|name| !names.contains(*name));
        self.removed.extend(gone.map(|name| (name.clone(), now)));
        self.forget_removed(now);
        self.contacts.retain(|name, _| names.contains(name));
        self.leaving.retain(|name| names.contains(name));
        for name in names {
            self.contacts.entry(name.clone()).or_insert_with(|| Contact::new(now));
        }
        let is_in = |state: ContactState| move |contact: &&Contact| contact.state == state;
        let heard = self.contacts.values().filter(is_in(ContactState::Heard)).count();
        self.silent = self.contacts.len() - heard;
        self.unheard = self.contacts.values().filter(is_in(ContactState::Unheard)).count();
        self.last_heard = self.contacts.values().filter_map(|contact| contact.heard_at).max();
        let deadlines = self.contacts.iter();
        self.deadlines =
            deadlines.filter_map(|(name, contact)| Some((contact.deadline?, name.clone()))).collect();
    }

    /// How many gateways are known.
    pub fn len(&self) -> usize {
        self.contacts.len()
    }

    /// How many are not heard.
    pub fn silent(&self) -> usize {
        self.silent
    }

    /// Whether a gateway is known, and is to be answered.
    pub fn answers(&self, name: &str) -> bool {
        self.contacts.contains_key(name) && !self.leaving.contains(name)
    }

    /// The next change of a gateway's state that was due by now.
    pub fn next_transition(&mut self, now: Time) -> Option<Transition> {
        while self.deadlines.first().is_some_and(|(at, _)| *at <= now) {
            let (at, gateway) = self.deadlines.pop_first()?;
            let Some(contact) = self.contacts.get_mut(&gateway) else { continue };
            let (to, deadline) = contact.after_deadline(at);
            contact.deadline = deadline;
            self.deadlines.extend(deadline.map(|next| (next, gateway.clone())));
            if to != contact.state {
                return Some(self.change_state(at, gateway, to));
            }
        }
        None
    }

    /// A gateway is heard now: the change of its state, if there is one. Transitions up to now were taken before.
    pub fn record(&mut self, now: Time, name: &str) -> Option<Transition> {
        let contact = self.contacts.get_mut(name)?;
        contact.heard_at = Some(now);
        self.last_heard = self.last_heard.max(Some(now));
        if contact.state == ContactState::Heard {
            // Its deadline is looked at when it comes.
            return None;
        }
        let deadline = now + FALLBACK_RESERVE_TIMEOUT;
        if let Some(earlier) = contact.deadline.replace(deadline) {
            self.deadlines.remove(&(earlier, name.to_string()));
        }
        self.deadlines.insert((deadline, name.to_string()));
        Some(self.change_state(now, name.to_string(), ContactState::Heard))
    }

    fn change_state(&mut self, at: Time, gateway: String, to: ContactState) -> Transition {
        let from = match self.contacts.get_mut(&gateway) {
            Some(contact) => std::mem::replace(&mut contact.state, to),
            None => to,
        };
        match (from, to) {
            (ContactState::Heard, _) => self.silent += 1,
            (_, ContactState::Heard) => self.silent -= 1,
            _ => {}
        }
        if from == ContactState::Unheard {
            self.unheard -= 1;
        }
        Transition { at, gateway, from, to }
    }

    /// A gateway was granted units of a tenant.
    pub fn record_grant(&mut self, now: Time, gateway: &str, tenant: &str, units: u32) {
        let Some(contact) = self.contacts.get_mut(gateway) else { return };
        if let Some(rate) = contact.grant_rates.get_mut(tenant) {
            rate.record(now, units);
            return;
        }
        if contact.grant_rates.len() >= contact.max_tenants {
            contact.forget_old_grants(now);
        }
        let mut rate = DecayingRate::new(now, GRANT_RATE_WINDOW_S);
        rate.record(now, units);
        contact.grant_rates.insert(tenant.to_string(), rate);
    }

    /// Units a second that a gateway was granted of each tenant when it was last heard.
    pub fn granted_when_heard(&self, gateway: &str) -> impl Iterator<Item = (&str, f64)> {
        let contact = self.contacts.get(gateway);
        let heard_at = contact.and_then(|contact| contact.heard_at).unwrap_or_default();
        let rates = contact.into_iter().flat_map(|contact| &contact.grant_rates);
        rates.map(move |(tenant, rate)| (tenant.as_str(), rate.at(heard_at)))
    }

    /// Gateways that may go on at the rate of their last grants.
    pub fn recently_silent(&self) -> impl Iterator<Item = &str> {
        let is_recent = |contact: &Contact| contact.state == ContactState::RecentlySilent;
        self.contacts.iter().filter(move |(_, contact)| is_recent(contact)).map(|(name, _)| name.as_str())
    }

    /// The gateways that were silent for so long, and all that were named here before: from now on they are not answered
    /// until they are removed, and added again.
    pub fn begin_removals(&mut self, now: Time, silence: Time) -> &BTreeSet<String> {
        let silent = self.contacts.iter().filter(|(_, contact)| contact.silence(now) >= silence);
        self.leaving.extend(silent.map(|(name, _)| name.clone()));
        &self.leaving
    }

    /// Whether no gateway has been heard for so long.
    pub fn all_silent_for(&self, now: Time, silence: Time) -> bool {
        self.last_heard.is_none_or(|at| now.saturating_sub(at) >= silence)
    }

    /// Forgets gateways that were removed long enough ago. Whether there were any.
    pub fn expire_removed(&mut self, now: Time) -> bool {
        let is_due = self.next_removed_expiry.is_some_and(|at| at <= now);
        if is_due {
            self.forget_removed(now);
        }
        is_due
    }

    fn forget_removed(&mut self, now: Time) {
        self.removed.retain(|_, at| now.saturating_sub(*at) < NEW_PROCESS_FALLBACK_LIFETIME);
        self.next_removed_expiry = self.removed.values().min().map(|at| at + NEW_PROCESS_FALLBACK_LIFETIME);
    }

    /// The fallback share of one gateway, as a part of any rate.
    pub fn fallback_share(&self) -> f64 {
        1.0 / (self.contacts.len() + self.removed.len()).max(1) as f64
    }

    /// The fallback shares of all gateways that are not heard.
    fn silent_share(&self) -> f64 {
        self.fallback_share() * (self.silent + self.removed.len()) as f64
    }

    /// The part of all rates that is no silent gateway's fallback share.
    pub fn share_without_fallback(&self) -> f64 {
        1.0 - self.silent_share()
    }

    /// The part of all rates that fills the buckets: what is kept back for unheard gateways covers their fallback shares.
    pub fn refill_share(&self) -> f64 {
        let unheard = if self.unheard > 0 { self.unheard_reserve } else { 0.0 };
        1.0 - self.silent_share().max(unheard)
    }
}
