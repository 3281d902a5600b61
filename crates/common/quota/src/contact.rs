//! Which gateways the coordinator hears, and what the others may be using meanwhile.

use crate::time::Time;
use crate::{CONTINUATION_PERIOD, FALLBACK_RESERVE_TIMEOUT, ISOLATION_TIMEOUT, PHASE_NOTICE};
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
    /// Gateways that this coordinator has never heard may go on at rates that the one before granted.
    pub unheard_may_continue: bool,
}

impl Reserve {
    /// The part of all rates that is no silent gateway's fallback share.
    pub fn available_share(&self) -> f64 {
        1.0 - self.fallback_share * self.silent as f64
    }
}

/// When each gateway was last heard.
#[derive(Clone, Debug)]
pub(crate) struct GatewayContacts {
    /// When the coordinator began.
    since: Time,
    heard: BTreeMap<String, Option<Time>>,
}

impl GatewayContacts {
    /// None has been heard yet.
    pub fn new(since: Time, names: &BTreeSet<String>) -> Self {
        GatewayContacts { since, heard: names.iter().map(|name| (name.clone(), None)).collect() }
    }

    /// These gateways exist.
    pub fn add(&mut self, names: &BTreeSet<String>) {
        for name in names {
            self.heard.entry(name.clone()).or_insert(None);
        }
    }

    /// Whether a gateway is known.
    pub fn knows(&self, name: &str) -> bool {
        self.heard.contains_key(name)
    }

    /// A gateway is heard now.
    pub fn record(&mut self, now: Time, name: &str) {
        self.heard.insert(name.to_string(), Some(now));
    }

    /// Whether no gateway can go by anything that it was told of a phase.
    pub fn all_missed_announcements(&self, now: Time) -> bool {
        self.heard.values().all(|at| at.is_none_or(|at| now.saturating_sub(at) >= PHASE_NOTICE))
    }

    /// What gateways that are not heard may be using now.
    pub fn reserve(&self, now: Time) -> Reserve {
        let mut reserve = Reserve {
            fallback_share: 1.0 / self.heard.len().max(1) as f64,
            silent: 0,
            recently_silent: Vec::new(),
            unheard_may_continue: false,
        };
        for (name, heard_at) in &self.heard {
            let silent_since = heard_at.unwrap_or(self.since);
            let silence = now.saturating_sub(silent_since);
            let may_continue = silence < CONTINUATION_ENDS;
            match heard_at {
                Some(_) if silence < FALLBACK_RESERVE_TIMEOUT => {}
                Some(at) if may_continue => {
                    reserve.silent += 1;
                    reserve.recently_silent.push(RecentlySilent { name: name.clone(), heard_at: *at });
                }
                Some(_) => reserve.silent += 1,
                None => {
                    reserve.silent += 1;
                    reserve.unheard_may_continue |= may_continue;
                }
            }
        }
        reserve
    }
}
