//! A log of changes with places: whoever follows it from a place on gets all that came since, as long as the log
//! still has it; else a snapshot, and follows from there. Bounded by a number of changes. No I/O.
#![forbid(unsafe_code)]

mod contact;

pub use contact::Contact;

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A place in one life of a log; lives are told apart by a number drawn at the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub life: u64,
    /// How many changes stand before it.
    pub at: u64,
}

/// The log itself.
#[derive(Clone, Debug)]
pub struct Board<T> {
    life: u64,
    /// How many changes the log has let go of.
    gone: u64,
    changes: VecDeque<T>,
    most: usize,
}

impl<T> Extend<T> for Board<T> {
    fn extend<I: IntoIterator<Item = T>>(&mut self, changes: I) {
        changes.into_iter().for_each(|c| self.append(c));
    }
}

impl<T> Board<T> {
    /// An empty log that keeps so many changes.
    pub fn new(life: u64, most: usize) -> Self {
        Board { life, gone: 0, changes: VecDeque::new(), most: most.max(1) }
    }

    /// Behind the last change.
    pub fn end(&self) -> Place {
        Place { life: self.life, at: self.gone + self.changes.len() as u64 }
    }

    pub fn append(&mut self, change: T) {
        if self.changes.len() == self.most {
            self.changes.pop_front();
            self.gone += 1;
        }
        self.changes.push_back(change);
    }

    /// What came since; none if that is not known any more, or the place is of another life: then a snapshot is wanted.
    pub fn since(&self, place: Place) -> Option<impl Iterator<Item = &T>> {
        let end = self.end();
        if place.life != self.life || place.at < self.gone || place.at > end.at {
            return None;
        }
        Some(self.changes.range((place.at - self.gone) as usize..))
    }
}

/// What is to be done with changes that were told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// All but so many at the beginning, which are known.
    From(usize),
    /// Something between is missing: a snapshot is wanted.
    Snapshot,
}

/// A follower's place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Follower {
    place: Option<Place>,
}

impl Follower {
    /// From where it goes on; none before its first snapshot.
    pub fn place(&self) -> Option<Place> {
        self.place
    }

    /// It has a snapshot as of this place.
    pub fn begun(&mut self, place: Place) {
        self.place = Some(place);
    }

    /// So many changes came that stand from this place on.
    pub fn told(&mut self, from: Place, changes: usize) -> Take {
        match &mut self.place {
            Some(place) if place.life == from.life && from.at <= place.at => {
                let known = ((place.at - from.at) as usize).min(changes);
                place.at = place.at.max(from.at + changes as u64);
                Take::From(known)
            }
            _ => Take::Snapshot,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_is_not_too_far_behind_gets_what_came_since_and_others_a_snapshot() {
        let mut board = Board::new(7, 3);
        let start = board.end();
        (0..5).for_each(|n| board.append(n));
        let since = |life, at| board.since(Place { life, at }).map(|c| c.copied().collect::<Vec<_>>());
        assert_eq!(since(7, 2), Some(vec![2, 3, 4]));
        assert_eq!(since(7, 5), Some(vec![]));
        assert_eq!(since(7, start.at), None, "too old");
        assert_eq!((since(7, 6), since(8, 5)), (None, None), "of another life");
    }

    #[test]
    fn a_follower_takes_each_change_once_and_none_behind_a_gap() {
        let at = |at| Place { life: 7, at };
        let mut f = Follower::default();
        assert_eq!(f.told(at(0), 2), Take::Snapshot);
        f.begun(at(4));
        assert_eq!(f.told(at(4), 2), Take::From(0));
        assert_eq!(f.told(at(3), 4), Take::From(3), "the first three are known");
        assert_eq!(f.told(at(1), 2), Take::From(2));
        assert_eq!(f.place(), Some(at(7)));
        assert_eq!(f.told(at(8), 1), Take::Snapshot, "one is missing");
        assert_eq!(f.told(Place { life: 9, at: 7 }, 1), Take::Snapshot);
    }
}
