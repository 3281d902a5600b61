//! What a gateway knows, folded from what prompters tell: the configuration, backends, gateways. Nothing in it goes back within
//! one life, whoever tells: not a configuration, not a drain. No I/O.

use greenroom::Fact;
use promptbook::Configuration;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use wings::message::{Change, Scene};

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

#[cfg(test)]
mod tests {
    use super::*;

    fn fact(id: &str, sequence: u64, draining: bool) -> Fact {
        let (id, address) = (id.to_string(), format!("{id}:1"));
        Fact { id, address, service: "s".into(), sequence, draining, ..Fact::default() }
    }

    fn configuration(place: u64) -> Arc<Configuration> {
        Arc::new(Configuration { version: place as u32, place, body: vec![] })
    }

    fn scene(backends: &[Fact], whole: bool) -> Scene {
        Scene { backends: backends.to_vec(), whole, ..Scene::default() }
    }

    #[test]
    fn nothing_goes_back_whoever_tells() {
        let mut f = Fold::default();
        assert_eq!(f.configuration(configuration(5)).len(), 1);
        assert_eq!(f.scene(0, scene(&[fact("a", 1, false)], true)).len(), 1);
        assert_eq!(f.change(Change::Leaving("a".into())), [News::Leaving("a".into())]);
        // A slower prompter: an older configuration, and the backend still takes work there.
        assert_eq!(f.configuration(configuration(4)), []);
        assert_eq!(f.scene(0, scene(&[fact("a", 3, false)], true)), []);
        assert_eq!(f.change(Change::Backend(fact("a", 4, false))), []);
        assert_eq!(f.change(Change::Over("a".into())), [News::Over("a".into())]);
        assert_eq!(f.change(Change::Backend(fact("a", 5, false))), [], "also when it is told as new");
    }

    #[test]
    fn a_young_prompter_ends_nobody_at_once() {
        let mut f = Fold::default();
        f.scene(0, scene(&[fact("a", 1, false), fact("b", 1, false)], true));
        assert_eq!(f.scene(10, scene(&[fact("b", 2, false)], false)), []);
        assert_eq!(f.sweep(10 + DOUBT - 1), []);
        let mut told = f.clone();
        told.change(Change::Backend(fact("a", 3, false)));
        assert_eq!(told.sweep(10 + DOUBT), [], "it was heard of since");
        assert_eq!(f.sweep(10 + DOUBT), [News::Over("a".into())]);
        assert_eq!(f.scene(20, scene(&[], true)), [News::Over("b".into())]);
    }

    #[test]
    fn a_gateway_that_lives_for_long_hears_every_drain_and_forgets_those_that_are_over() {
        let mut f = Fold::default();
        f.scene(0, scene(&[fact("old", 1, false), fact("new", 1, false)], true));
        f.change(Change::Leaving("old".into()));
        for n in 0..LEAVING + 10 {
            f.change(Change::Leaving(format!("i-{n}")));
        }
        assert_eq!(f.leaving.len(), LEAVING);
        assert_eq!(
            f.change(Change::Leaving("new".into())),
            [News::Leaving("new".into())],
            "though all is full"
        );
        // The first is remembered for as long as it is there.
        assert_eq!(f.change(Change::Backend(fact("old", 2, false))), []);
        assert!(f.leaving.contains("old") && !f.leaving.contains("i-0"));
        f.change(Change::Over("old".into()));
        f.change(Change::Leaving("one more".into()));
        assert!(!f.leaving.contains("old"));
    }

    #[test]
    fn a_drain_known_before_its_backend_counts() {
        let mut f = Fold::default();
        assert_eq!(f.change(Change::Leaving("a".into())), []);
        assert_eq!(f.change(Change::Backend(fact("a", 1, false))), []);
        assert_eq!(f.change(Change::Backend(fact("b", 1, true))), []);
    }
}
