//! What a gateway knows, folded from what prompters tell: the configuration, backends, gateways. Nothing in it goes back within
//! one life, whoever tells: not a configuration, not a drain. No I/O.

#[cfg(test)]
mod tests;

use control_state::Configuration;
use messages::message::{Change, Scene};
use registry::Fact;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;

/// A backend that a scene of a young prompter did not name, and that nobody has named since, is over after so long.
const DOUBT: Time = 8_000_000_000;
/// Ids of those who leave that are remembered, beside those of backends that are still known.
const LEAVING: usize = 8192;

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Configuration(Arc<Configuration>),
    /// It takes new work, or has said something new of itself.
    Up(Fact),
    /// It takes no new work any more.
    Leaving(String),
    Over(String),
    Gateways,
}

#[derive(Clone, Debug, Default)]
pub struct Fold {
    configuration: Option<Arc<Configuration>>,
    /// With when each was first in doubt.
    backends: BTreeMap<String, (Fact, Option<Time>)>,
    leaving: BTreeSet<String>,
    /// The same, in the order in which they were heard of.
    left: VecDeque<String>,
    gateways: Vec<String>,
}

impl Fold {
    /// The newest that was told.
    pub fn held(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether this backend is known, and takes new work.
    pub fn takes_work(&self, id: &str) -> bool {
        self.backends.contains_key(id) && !self.leaving.contains(id)
    }

    pub fn gateways(&self) -> &[String] {
        &self.gateways
    }

    /// A prompter's whole word.
    pub fn scene(&mut self, now: Time, scene: Scene) -> Vec<News> {
        let mut news = Vec::new();
        for id in scene.leaving {
            self.leaves(id, &mut news);
        }
        let named: BTreeSet<String> = scene.backends.iter().map(|f| f.id.clone()).collect();
        for fact in scene.backends {
            self.backend(fact, &mut news);
        }
        let missing: Vec<String> = self.backends.keys().filter(|id| !named.contains(*id)).cloned().collect();
        for id in missing {
            if scene.whole {
                self.over(id, &mut news);
            } else if let Some((_, doubt)) = self.backends.get_mut(&id) {
                doubt.get_or_insert(now);
            }
        }
        self.set_gateways(scene.gateways, &mut news);
        news
    }

    pub fn change(&mut self, change: Change) -> Vec<News> {
        let mut news = Vec::new();
        match change {
            Change::Backend(fact) => self.backend(fact, &mut news),
            Change::Over(id) => self.over(id, &mut news),
            Change::Leaving(id) => self.leaves(id, &mut news),
            Change::Gateways(all) => self.set_gateways(all, &mut news),
        }
        news
    }

    /// A link begins: while there was none nobody could name those who are in doubt.
    pub fn linked(&mut self, now: Time) {
        self.backends.values_mut().filter_map(|(_, doubt)| doubt.as_mut()).for_each(|at| *at = now);
    }

    /// Those who were in doubt for too long.
    pub fn sweep(&mut self, now: Time) -> Vec<News> {
        let late = |doubt: &Option<Time>| doubt.is_some_and(|at| now.saturating_sub(at) >= DOUBT);
        let over: Vec<String> =
            self.backends.iter().filter(|(_, (_, d))| late(d)).map(|(id, _)| id.clone()).collect();
        let mut news = Vec::new();
        over.into_iter().for_each(|id| self.over(id, &mut news));
        news
    }

    /// Another stands at this one's address: it said so itself. Its next beat with another address would bring it back.
    pub fn misdirected(&mut self, id: &str) -> Vec<News> {
        let mut news = Vec::new();
        self.over(id.into(), &mut news);
        news
    }

    /// A configuration that was agreed on. An older one than that which is held changes nothing.
    pub fn configuration(&mut self, new: Arc<Configuration>) -> Vec<News> {
        if new.place <= self.configuration.as_ref().map_or(0, |c| c.place) {
            return Vec::new();
        }
        self.configuration = Some(new.clone());
        vec![News::Configuration(new)]
    }

    fn backend(&mut self, fact: Fact, news: &mut Vec<News>) {
        let leaving = fact.draining || self.leaving.contains(&fact.id);
        if fact.draining {
            self.leaves(fact.id.clone(), news);
        }
        if let Some((_, doubt)) = self.backends.get_mut(&fact.id) {
            // Whoever names it will say when it is over, however old its word on it is.
            *doubt = None;
        }
        let known = self.backends.get(&fact.id).map(|(f, _)| f);
        if known.is_some_and(|f| f.sequence > fact.sequence) {
            return;
        }
        let same = known.is_some_and(|f| (&f.address, &f.service) == (&fact.address, &fact.service));
        self.backends.insert(fact.id.clone(), (fact.clone(), None));
        if !same && !leaving {
            news.push(News::Up(fact));
        }
    }

    fn leaves(&mut self, id: String, news: &mut Vec<News>) {
        if !self.leaving.insert(id.clone()) {
            return;
        }
        self.left.push_back(id.clone());
        if self.left.len() > LEAVING {
            // The one heard of first that is not known any more: what is known may still get requests. Backends are bounded
            // where they beat, so that this is, too.
            let gone = self.left.iter().position(|id| !self.backends.contains_key(id));
            if let Some(gone) = gone.and_then(|n| self.left.remove(n)) {
                self.leaving.remove(&gone);
            }
        }
        if self.backends.contains_key(&id) {
            news.push(News::Leaving(id));
        }
    }

    fn over(&mut self, id: String, news: &mut Vec<News>) {
        if self.backends.remove(&id).is_some() {
            news.push(News::Over(id));
        }
    }

    fn set_gateways(&mut self, all: Vec<String>, news: &mut Vec<News>) {
        // Gateways are only ever added: fewer are an older word.
        if all.len() > self.gateways.len() {
            self.gateways = all;
            news.push(News::Gateways);
        }
    }
}
