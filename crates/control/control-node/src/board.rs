//! The agreed book, and news of it and of the cell for those who follow.

use crate::{Defect, Effect, Prompter};
use change_log::Board;
use control_state::{Applied, Book, Configuration, Place, Steps, Word};
use messages::message::{Change, Down, Scene};
use std::sync::Arc;

/// Changes that a follower may be behind without a scene.
const CHANGES: usize = 1024;

/// What followers are told from.
#[derive(Debug)]
pub(crate) struct News {
    board: Board<Change>,
    /// Lives of the board in this process.
    lives: u64,
    /// How followers come from one configuration to the next.
    pub steps: Steps,
}

impl News {
    pub fn new(seed: u64) -> Self {
        News { board: Board::new(seed, CHANGES), lives: seed, steps: Steps::default() }
    }

    pub fn end(&self) -> change_log::Place {
        self.board.end()
    }

    /// What came since; none if a scene is wanted.
    pub fn since(&self, place: change_log::Place) -> Option<Vec<Change>> {
        self.board.since(place).map(|c| c.cloned().collect())
    }
}

impl Prompter {
    /// Something that all who follow are to hear.
    pub(crate) fn change(&mut self, change: Change) {
        self.news.board.append(change);
        self.effects.push(Effect::News);
    }

    /// A word was agreed on.
    pub(crate) fn apply(&mut self, place: Place, bytes: &[u8]) -> Applied {
        self.contact.applied(place);
        let Some(mut word) = Word::read(bytes) else {
            log::error!("agreed: the word at {place} is none of ours; it changes nothing");
            return Applied::Same;
        };
        if self.has(Defect::BaseIgnored) {
            if let Word::Configuration { base, .. } = &mut word {
                *base = self.book.version();
            }
        }
        let old = self.book.configuration().cloned();
        let applied = self.book.apply(place, &word);
        if applied == Applied::Changed {
            match word {
                Word::Configuration { version, .. } | Word::Change { version, .. } => {
                    log::info!("agreed: configuration {version:08x} at {place}");
                    self.went(old);
                    self.effects.push(Effect::News);
                }
                Word::Leaving { instance } => self.change(Change::Leaving(instance)),
                Word::Gateway { .. } => {
                    let all = self.book.gateways().iter().cloned().collect();
                    self.change(Change::Gateways(all));
                }
                // Gateways hear of it with their rights.
                Word::TrialOver { tenant, ends } => {
                    log::info!("agreed: the trial of {tenant} that ended at {ends} is over");
                }
            }
        }
        self.settle_drains();
        applied
    }

    /// Followers go from one configuration to the next.
    fn went(&mut self, old: Option<Arc<Configuration>>) {
        let new = self.book.configuration();
        if let Some((old, new)) = old.zip(new).filter(|(old, new)| old.place != new.place) {
            self.news.steps.went(&old, new);
        }
    }

    /// The book as a whole, as of this place of the log; followers get it as a scene.
    pub(crate) fn replace_book(&mut self, place: Place, state: &[u8]) {
        let Some(book) = Book::read(state) else {
            log::error!("agreed: a state that is none of ours; the old one stands");
            return;
        };
        let old = std::mem::replace(&mut self.book, book);
        self.went(old.configuration().cloned());
        self.contact.applied(place);
        self.news.lives = self.news.lives.wrapping_add(1);
        self.news.board = Board::new(self.news.lives, CHANGES);
        self.effects.push(Effect::News);
        self.settle_drains();
    }

    /// All that is known.
    pub(crate) fn scene(&self) -> (change_log::Place, Down) {
        // Of those who have ended nobody needs to hear, but a gateway may know of one from elsewhere.
        let leaving =
            self.book.leaving().filter(|_| !self.has(Defect::SceneForgetsDrains)).cloned().collect();
        let scene = Scene {
            backends: self.cell.facts().cloned().collect(),
            whole: self.cell.is_whole(self.now),
            leaving,
            gateways: self.book.gateways().iter().cloned().collect(),
        };
        let place = self.news.end();
        (place, Down::Scene { place, scene: Box::new(scene) })
    }
}
