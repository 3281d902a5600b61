//! What a gateway knows, folded from what prompters tell: the configuration, backends, gateways. Nothing in it goes back within
//! one life, whoever tells: not a configuration, not a drain. No I/O.

#[cfg(test)]
mod tests;

use control_state::CommittedConfiguration;
use messages::message::{FleetChange, FleetSnapshot};
use registry::Heartbeat;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;

/// A backend that a scene of a young prompter did not name, and that nobody has named since, is over after so long.
const DOUBT_TIMEOUT: Time = 8_000_000_000;
/// Ids of those who leave that are remembered, beside those of backends that are still known.
const MAX_DRAINING: usize = 8192;

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewChange {
    Configuration(Arc<CommittedConfiguration>),
    /// It takes new work, or has said something new of itself.
    BackendReady(Heartbeat),
    /// It takes no new work any more.
    BackendDraining(String),
    BackendRemoved(String),
    Gateways,
}

#[derive(Clone, Debug, Default)]
pub struct View {
    configuration: Option<Arc<CommittedConfiguration>>,
    /// With when each was first in doubt.
    backends: BTreeMap<String, (Heartbeat, Option<Time>)>,
    draining: BTreeSet<String>,
    /// The same, in the order in which they were heard of.
    drain_order: VecDeque<String>,
    gateways: Vec<String>,
}

impl View {
    /// The newest that was told.
    pub fn configuration(&self) -> Option<&Arc<CommittedConfiguration>> {
        self.configuration.as_ref()
    }

    /// Whether this backend is known, and takes new work.
    pub fn accepts_work(&self, id: &str) -> bool {
        self.backends.contains_key(id) && !self.draining.contains(id)
    }

    pub fn gateways(&self) -> &[String] {
        &self.gateways
    }

    /// A prompter's whole word.
    pub fn apply_snapshot(&mut self, now: Time, scene: FleetSnapshot) -> Vec<ViewChange> {
        let mut news = Vec::new();
        for id in scene.draining {
            self.record_drain(id, &mut news);
        }
        let named: BTreeSet<String> = scene.backends.iter().map(|f| f.instance.clone()).collect();
        for fact in scene.backends {
            self.record_backend(fact, &mut news);
        }
        let missing: Vec<String> = self.backends.keys().filter(|id| !named.contains(*id)).cloned().collect();
        for id in missing {
            if scene.complete {
                self.remove_backend(id, &mut news);
            } else if let Some((_, doubt)) = self.backends.get_mut(&id) {
                doubt.get_or_insert(now);
            }
        }
        self.set_gateways(scene.gateways, &mut news);
        news
    }

    pub fn apply_change(&mut self, change: FleetChange) -> Vec<ViewChange> {
        let mut news = Vec::new();
        match change {
            FleetChange::Backend(fact) => self.record_backend(fact, &mut news),
            FleetChange::BackendRemoved(id) => self.remove_backend(id, &mut news),
            FleetChange::BackendDraining(id) => self.record_drain(id, &mut news),
            FleetChange::Gateways(all) => self.set_gateways(all, &mut news),
        }
        news
    }

    /// A link begins: while there was none nobody could name those who are in doubt.
    pub fn on_connected(&mut self, now: Time) {
        self.backends.values_mut().filter_map(|(_, doubt)| doubt.as_mut()).for_each(|at| *at = now);
    }

    /// Those who were in doubt for too long.
    pub fn expire_doubtful(&mut self, now: Time) -> Vec<ViewChange> {
        let late = |doubt: &Option<Time>| doubt.is_some_and(|at| now.saturating_sub(at) >= DOUBT_TIMEOUT);
        let over: Vec<String> =
            self.backends.iter().filter(|(_, (_, d))| late(d)).map(|(id, _)| id.clone()).collect();
        let mut news = Vec::new();
        over.into_iter().for_each(|id| self.remove_backend(id, &mut news));
        news
    }

    /// Another stands at this one's address: it said so itself. Its next beat with another address would bring it back.
    pub fn on_misdirected(&mut self, id: &str) -> Vec<ViewChange> {
        let mut news = Vec::new();
        self.remove_backend(id.into(), &mut news);
        news
    }

    /// A configuration that was agreed on. An older one than that which is held changes nothing.
    pub fn replace_configuration(&mut self, new: Arc<CommittedConfiguration>) -> Vec<ViewChange> {
        if new.index <= self.configuration.as_ref().map_or(0, |c| c.index) {
            return Vec::new();
        }
        self.configuration = Some(new.clone());
        vec![ViewChange::Configuration(new)]
    }

    fn record_backend(&mut self, fact: Heartbeat, news: &mut Vec<ViewChange>) {
        let leaving = fact.draining || self.draining.contains(&fact.instance);
        if fact.draining {
            self.record_drain(fact.instance.clone(), news);
        }
        if let Some((_, doubt)) = self.backends.get_mut(&fact.instance) {
            // Whoever names it will say when it is over, however old its word on it is.
            *doubt = None;
        }
        let known = self.backends.get(&fact.instance).map(|(f, _)| f);
        if known.is_some_and(|f| f.sequence > fact.sequence) {
            return;
        }
        let same = known.is_some_and(|f| (&f.address, &f.service) == (&fact.address, &fact.service));
        self.backends.insert(fact.instance.clone(), (fact.clone(), None));
        if !same && !leaving {
            news.push(ViewChange::BackendReady(fact));
        }
    }

    fn record_drain(&mut self, id: String, news: &mut Vec<ViewChange>) {
        if !self.draining.insert(id.clone()) {
            return;
        }
        self.drain_order.push_back(id.clone());
        if self.drain_order.len() > MAX_DRAINING {
            // The one heard of first that is not known any more: what is known may still get requests. Backends are bounded
            // where they beat, so that this is, too.
            let gone = self.drain_order.iter().position(|id| !self.backends.contains_key(id));
            if let Some(gone) = gone.and_then(|n| self.drain_order.remove(n)) {
                self.draining.remove(&gone);
            }
        }
        if self.backends.contains_key(&id) {
            news.push(ViewChange::BackendDraining(id));
        }
    }

    fn remove_backend(&mut self, id: String, news: &mut Vec<ViewChange>) {
        if self.backends.remove(&id).is_some() {
            news.push(ViewChange::BackendRemoved(id));
        }
    }

    fn set_gateways(&mut self, all: Vec<String>, news: &mut Vec<ViewChange>) {
        // Gateways are only ever added: fewer are an older word.
        if all.len() > self.gateways.len() {
            self.gateways = all;
            news.push(ViewChange::Gateways);
        }
    }
}
