//! A bounded log of changes with offsets, and proofs of contact with a quorum. No I/O.
//!
//! Whoever follows the log from an offset on gets all changes since, as long as the log still holds them; else it takes a
//! snapshot and follows from there.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod quorum_contact;

pub use quorum_contact::QuorumContact;

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// An offset in one incarnation of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offset {
    /// Drawn when the log begins, so that its lives are told apart.
    pub incarnation: u64,
    /// How many changes stand before it.
    pub position: u64,
}

/// The log: its latest changes.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    incarnation: u64,
    /// The position of the first change that is held.
    first_position: u64,
    changes: VecDeque<T>,
    capacity: usize,
}

impl<T> Extend<T> for ChangeLog<T> {
    fn extend<I: IntoIterator<Item = T>>(&mut self, changes: I) {
        changes.into_iter().for_each(|change| self.append(change));
    }
}

impl<T> ChangeLog<T> {
    /// An empty log that holds so many changes.
    pub fn new(incarnation: u64, capacity: usize) -> Self {
        ChangeLog { incarnation, first_position: 0, changes: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// The offset behind the last change.
    pub fn end(&self) -> Offset {
        let position = self.first_position + self.changes.len() as u64;
        Offset { incarnation: self.incarnation, position }
    }

    /// Appends a change; the oldest goes if the log is full.
    pub fn append(&mut self, change: T) {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
            self.first_position += 1;
        }
        self.changes.push_back(change);
    }

    /// The changes since an offset; none if they are not held any more or the offset is another incarnation's, so that a
    /// snapshot is needed.
    pub fn since(&self, offset: Offset) -> Option<impl Iterator<Item = &T>> {
        let is_held = (self.first_position..=self.end().position).contains(&offset.position);
        if offset.incarnation != self.incarnation || !is_held {
            return None;
        }
        Some(self.changes.range((offset.position - self.first_position) as usize..))
    }
}

/// What a follower does with changes that it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangesOutcome {
    /// It applies all but the first so many, which it knows.
    SkipFirst(usize),
    /// Some are missing before them: it needs a snapshot.
    NeedsSnapshot,
}

/// How far a follower has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubscriberPosition {
    offset: Option<Offset>,
}

impl SubscriberPosition {
    /// From where it goes on; none before its first snapshot.
    pub fn offset(&self) -> Option<Offset> {
        self.offset
    }

    /// It has taken a snapshot as of this offset.
    pub fn on_snapshot(&mut self, offset: Offset) {
        self.offset = Some(offset);
    }

    /// It is sent so many changes that stand from this offset on.
    pub fn on_changes(&mut self, from: Offset, count: usize) -> ChangesOutcome {
        match &mut self.offset {
            Some(offset) if offset.incarnation == from.incarnation && from.position <= offset.position => {
                let known = ((offset.position - from.position) as usize).min(count);
                offset.position = offset.position.max(from.position + count as u64);
                ChangesOutcome::SkipFirst(known)
            }
            _ => ChangesOutcome::NeedsSnapshot,
        }
    }
}
