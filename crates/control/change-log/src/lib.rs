//! A log of changes with places: whoever follows it from a place on gets all that came since, as long as the log
//! still has it; else a snapshot, and follows from there. Bounded by a number of changes. No I/O.
#![forbid(unsafe_code)]

mod contact;

pub use contact::QuorumContact;

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A place in one life of a log; lives are told apart by a number drawn at the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offset {
    pub incarnation: u64,
    /// How many changes stand before it.
    pub position: u64,
}

/// The log itself.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    incarnation: u64,
    /// How many changes the log has let go of.
    first_position: u64,
    changes: VecDeque<T>,
    capacity: usize,
}

impl<T> Extend<T> for ChangeLog<T> {
    fn extend<I: IntoIterator<Item = T>>(&mut self, changes: I) {
        changes.into_iter().for_each(|c| self.append(c));
    }
}

impl<T> ChangeLog<T> {
    /// An empty log that keeps so many changes.
    pub fn new(incarnation: u64, most: usize) -> Self {
        ChangeLog { incarnation, first_position: 0, changes: VecDeque::new(), capacity: most.max(1) }
    }

    /// Behind the last change.
    pub fn end(&self) -> Offset {
        Offset { incarnation: self.incarnation, position: self.first_position + self.changes.len() as u64 }
    }

    pub fn append(&mut self, change: T) {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
            self.first_position += 1;
        }
        self.changes.push_back(change);
    }

    /// What came since; none if that is not known any more, or the place is of another life: then a snapshot is wanted.
    pub fn since(&self, place: Offset) -> Option<impl Iterator<Item = &T>> {
        let end = self.end();
        if place.incarnation != self.incarnation
            || place.position < self.first_position
            || place.position > end.position
        {
            return None;
        }
        Some(self.changes.range((place.position - self.first_position) as usize..))
    }
}

/// What is to be done with changes that were told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// All but so many at the beginning, which are known.
    SkipFirst(usize),
    /// Something between is missing: a snapshot is wanted.
    NeedsSnapshot,
}

/// A follower's place.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowPosition {
    offset: Option<Offset>,
}

impl FollowPosition {
    /// From where it goes on; none before its first snapshot.
    pub fn offset(&self) -> Option<Offset> {
        self.offset
    }

    /// It has a snapshot as of this place.
    pub fn on_snapshot(&mut self, place: Offset) {
        self.offset = Some(place);
    }

    /// So many changes came that stand from this place on.
    pub fn on_changes(&mut self, from: Offset, changes: usize) -> FollowOutcome {
        match &mut self.offset {
            Some(place) if place.incarnation == from.incarnation && from.position <= place.position => {
                let known = ((place.position - from.position) as usize).min(changes);
                place.position = place.position.max(from.position + changes as u64);
                FollowOutcome::SkipFirst(known)
            }
            _ => FollowOutcome::NeedsSnapshot,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_is_not_too_far_behind_gets_what_came_since_and_others_a_snapshot() {
        let mut board = ChangeLog::new(7, 3);
        let start = board.end();
        (0..5).for_each(|n| board.append(n));
        let since = |life, at| {
            board.since(Offset { incarnation: life, position: at }).map(|c| c.copied().collect::<Vec<_>>())
        };
        assert_eq!(since(7, 2), Some(vec![2, 3, 4]));
        assert_eq!(since(7, 5), Some(vec![]));
        assert_eq!(since(7, start.position), None, "too old");
        assert_eq!((since(7, 6), since(8, 5)), (None, None), "of another life");
    }

    #[test]
    fn a_follower_takes_each_change_once_and_none_behind_a_gap() {
        let at = |at| Offset { incarnation: 7, position: at };
        let mut f = FollowPosition::default();
        assert_eq!(f.on_changes(at(0), 2), FollowOutcome::NeedsSnapshot);
        f.on_snapshot(at(4));
        assert_eq!(f.on_changes(at(4), 2), FollowOutcome::SkipFirst(0));
        assert_eq!(f.on_changes(at(3), 4), FollowOutcome::SkipFirst(3), "the first three are known");
        assert_eq!(f.on_changes(at(1), 2), FollowOutcome::SkipFirst(2));
        assert_eq!(f.offset(), Some(at(7)));
        assert_eq!(f.on_changes(at(8), 1), FollowOutcome::NeedsSnapshot, "one is missing");
        assert_eq!(f.on_changes(Offset { incarnation: 9, position: 7 }, 1), FollowOutcome::NeedsSnapshot);
    }
}
