//! Which gateways the coordinator hears, and what the others may be using meanwhile.

use crate::time::Time;
use crate::{
    CONTINUATION_PERIOD, FALLBACK_RESERVE_TIMEOUT, ISOLATION_TIMEOUT, NEW_PROCESS_FALLBACK_LIFETIME,
    PHASE_NOTICE,
};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway that was heard so long ago has its fallback share alone.
const CONTINUATION_ENDS: Time = ISOLATION_TIMEOUT + CONTINUATION_PERIOD;

/// A gateway that fell silent so lately that it may go on at the rate of its last grants.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecentlySilent {
    pub name: String,
    pub heard_at: Time,
}

/// What gateways that are not heard may be using.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reserve {
    /// The fallback share of one gateway, as a part of any rate.
    pub fallback_share: f64,
    /// How many gateways are silent.
    pub silent: usize,
    /// Those of them that may go on at the rate of their last grants.
    pub recently_silent: Vec<RecentlySilent>,
    /// What gateways that this coordinator has never heard may go on with, as granted by the one before: a part of any rate.
    pub unheard_share: f64,
}

impl Reserve {
    /// The part of all rates that is no silent gateway's fallback share.
    pub fn available_share(&self) -> f64 {
        1.0 - self.fallback_share * self.silent as f64
    }
}

/// What is known of one gateway's contact with this coordinator.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When this coordinator began, or learnt of the gateway.
    known_since: Time,
    /// When it was last heard, if it ever was.
    heard_at: Option<Time>,
}

impl Contact {
    fn silence(&self, now: Time) -> Time {
        now.saturating_sub(self.heard_at.unwrap_or(self.known_since))
    }
}

/// The gateways, and when each was last heard.
#[derive(Clone, Debug)]
pub(crate) struct GatewayContacts {
    contacts: BTreeMap<String, Contact>,
    /// What is kept back for those that were never heard, as long as they may go on.
    unheard_reserve: f64,
    /// Gateways that were removed so lately that a new process of the name may not know it, and when.
    removed: BTreeMap<String, Time>,
    /// Gateways that are being removed: they are not answered until they are added again.
    leaving: BTreeSet<String>,
}

impl GatewayContacts {
    /// None has been heard yet; `unheard_reserve`: what is kept back for them, as a part of any rate.
    pub fn new(now: Time, unheard_reserve: f64, names: &BTreeSet<String>) -> Self {
        let (contacts, removed, leaving) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        let mut all = GatewayContacts { contacts, unheard_reserve, removed, leaving };
        all.set_names(now, names);
        all
    }

    /// These gateways exist, and no others.
    pub fn set_names(&mut self, now: Time, names: &BTreeSet<String>) {
        let gone = self.contacts.keys().filter(|name| !names.contains(*name));
        self.removed.extend(gone.map(|name| (name.clone(), now)));
        self.removed.retain(|_, at| now.saturating_sub(*at) < NEW_PROCESS_FALLBACK_LIFETIME);
        self.contacts.retain(|name, _| names.contains(name));
        self.leaving.retain(|name| names.contains(name));
        for name in names {
            self.contacts.entry(name.clone()).or_insert(Contact { known_since: now, heard_at: None });
        }
    }

    /// How many gateways are known.
    pub fn len(&self) -> usize {
        self.contacts.len()
    }

    /// Whether a gateway is known, and is to be answered.
    pub fn answers(&self, name: &str) -> bool {
        self.contacts.contains_key(name) && !self.leaving.contains(name)
    }

    /// A gateway is heard now.
    pub fn record(&mut self, now: Time, name: &str) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.heard_at = Some(now);
        }
    }

    /// The gateways that were silent for so long, and all that were named here before: from now on they are not answered
    /// until they are removed, and added again.
    pub fn begin_removals(&mut self, now: Time, silence: Time) -> &BTreeSet<String> {
        let silent = self.contacts.iter().filter(|(_, contact)| contact.silence(now) >= silence);
        self.leaving.extend(silent.map(|(name, _)| name.clone()));
        &self.leaving
    }

    /// Whether no gateway can go by anything that it was told of a phase.
    pub fn all_missed_announcements(&self, now: Time) -> bool {
        let has_missed =
            |contact: &Contact| contact.heard_at.is_none_or(|at| now.saturating_sub(at) >= PHASE_NOTICE);
        self.contacts.values().all(has_missed)
    }

    /// What gateways that are not heard may be using now.
    pub fn reserve(&self, now: Time) -> Reserve {
        let is_recent = |at: &&Time| now.saturating_sub(**at) < NEW_PROCESS_FALLBACK_LIFETIME;
        let removed = self.removed.values().filter(is_recent).count();
        let mut reserve = Reserve {
            fallback_share: 1.0 / (self.contacts.len() + removed).max(1) as f64,
            silent: removed,
            recently_silent: Vec::new(),
            unheard_share: 0.0,
        };
        for (name, contact) in &self.contacts {
            let silence = contact.silence(now);
            if contact.heard_at.is_some() && silence < FALLBACK_RESERVE_TIMEOUT {
                continue;
            }
            reserve.silent += 1;
            let may_continue = silence < CONTINUATION_ENDS;
            match contact.heard_at {
                Some(heard_at) if may_continue => {
                    reserve.recently_silent.push(RecentlySilent { name: name.clone(), heard_at });
                }
                Some(_) => {}
                None if may_continue => reserve.unheard_share = self.unheard_reserve,
                None => {}
            }
        }
        reserve
    }
}
