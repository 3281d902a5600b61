//! What a gateway knows, folded from what prompters tell: the configuration, backends, gateways. Nothing in it goes back within
//! one life, whoever tells: not a configuration, not a drain. No I/O.

use greenroom::Fact;
use promptbook::Configuration;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wings::message::{Change, Scene};

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;

/// A backend that a scene of a young prompter did not name, and that nobody has named since, is over after so long.
const DOUBT: Time = 8_000_000_000;
/// Ids of those who leave that are remembered.
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
    gateways: Vec<String>,
}

impl Fold {
    pub fn gateways(&self) -> &[String] {
        &self.gateways
    }

    /// A prompter's whole word.
    pub fn scene(&mut self, now: Time, scene: Scene) -> Vec<News> {
        let mut news = Vec::new();
        self.configuration(scene.configuration, &mut news);
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
            Change::Configuration(c) => self.configuration(Some(c), &mut news),
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

    fn configuration(&mut self, new: Option<Arc<Configuration>>, news: &mut Vec<News>) {
        let held = self.configuration.as_ref().map_or(0, |c| c.place);
        if let Some(new) = new.filter(|c| c.place > held) {
            self.configuration = Some(new.clone());
            news.push(News::Configuration(new));
        }
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
        if self.leaving.len() < LEAVING && self.leaving.insert(id.clone()) && self.backends.contains_key(&id)
        {
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

    fn scene(place: u64, backends: &[Fact], whole: bool) -> Scene {
        let backends = backends.to_vec();
        Scene { configuration: Some(configuration(place)), backends, whole, ..Scene::default() }
    }

    #[test]
    fn nothing_goes_back_whoever_tells() {
        let mut f = Fold::default();
        assert_eq!(f.scene(0, scene(5, &[fact("a", 1, false)], true)).len(), 2);
        assert_eq!(f.change(Change::Leaving("a".into())), [News::Leaving("a".into())]);
        // A slower prompter: an older configuration, and the backend still takes work there.
        assert_eq!(f.scene(0, scene(4, &[fact("a", 3, false)], true)), []);
        assert_eq!(f.change(Change::Backend(fact("a", 4, false))), []);
        assert_eq!(f.change(Change::Over("a".into())), [News::Over("a".into())]);
        assert_eq!(f.change(Change::Backend(fact("a", 5, false))), [], "also when it is told as new");
    }

    #[test]
    fn a_young_prompter_ends_nobody_at_once() {
        let mut f = Fold::default();
        f.scene(0, scene(1, &[fact("a", 1, false), fact("b", 1, false)], true));
        assert_eq!(f.scene(10, scene(1, &[fact("b", 2, false)], false)), []);
        assert_eq!(f.sweep(10 + DOUBT - 1), []);
        let mut told = f.clone();
        told.change(Change::Backend(fact("a", 3, false)));
        assert_eq!(told.sweep(10 + DOUBT), [], "it was heard of since");
        assert_eq!(f.sweep(10 + DOUBT), [News::Over("a".into())]);
        assert_eq!(f.scene(20, scene(1, &[], true)), [News::Over("b".into())]);
    }

    #[test]
    fn a_drain_known_before_its_backend_counts() {
        let mut f = Fold::default();
        assert_eq!(f.change(Change::Leaving("a".into())), []);
        assert_eq!(f.change(Change::Backend(fact("a", 1, false))), []);
        assert_eq!(f.change(Change::Backend(fact("b", 1, true))), []);
    }
}
