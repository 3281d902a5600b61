//! A bounded log of changes that subscribers follow by offset, and proofs of contact with a quorum. No I/O.
//!
//! A subscriber gets all changes since its offset as long as the log still holds them. Otherwise it gets a snapshot and
//! follows the log from the snapshot's offset.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod quorum_contact;

pub use quorum_contact::QuorumContact;

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A position in one incarnation of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offset {
    /// Incarnation of the log, chosen when it starts empty. Offsets of different incarnations are not comparable.
    pub incarnation: u64,
    /// Number of changes before this offset.
    pub position: u64,
}

/// A log that keeps its latest changes.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    incarnation: u64,
    /// Position of the oldest change that is kept.
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
    /// Creates an empty log that keeps up to `capacity` changes, at least one.
    pub fn new(incarnation: u64, capacity: usize) -> Self {
        ChangeLog { incarnation, first_position: 0, changes: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Returns the offset after the last change.
    pub fn end(&self) -> Offset {
        let position = self.first_position + self.changes.len() as u64;
        Offset { incarnation: self.incarnation, position }
    }

    /// Appends a change, and drops the oldest if the log is full.
    pub fn append(&mut self, change: T) {
        if self.changes.len() == self.capacity {
            self.changes.pop_front();
            self.first_position += 1;
        }
        self.changes.push_back(change);
    }

    /// Returns the changes since an offset. `None` if some of them are no longer kept or the offset is of another
    /// incarnation, so that a snapshot is needed.
    pub fn since(&self, offset: Offset) -> Option<impl Iterator<Item = &T>> {
        let is_in_range = (self.first_position..=self.end().position).contains(&offset.position);
        if offset.incarnation != self.incarnation || !is_in_range {
            return None;
        }
        Some(self.changes.range((offset.position - self.first_position) as usize..))
    }
}

/// How a subscriber handles changes that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangesOutcome {
    /// Skip this many changes, which are already applied, and apply the others.
    SkipFirst(usize),
    /// Changes before them are missing; a snapshot is needed.
    NeedsSnapshot,
}

/// Progress of a subscriber in a log.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubscriberPosition {
    offset: Option<Offset>,
}

impl SubscriberPosition {
    /// Offset from which the subscriber continues; `None` before its first snapshot.
    pub fn offset(&self) -> Option<Offset> {
        self.offset
    }

    /// Handles a snapshot that was taken at this offset.
    pub fn on_snapshot(&mut self, offset: Offset) {
        self.offset = Some(offset);
    }

    /// Handles the receipt of `count` changes that begin at offset `start`.
    pub fn on_changes(&mut self, start: Offset, count: usize) -> ChangesOutcome {
        match &mut self.offset {
            Some(offset) if offset.incarnation == start.incarnation && start.position <= offset.position => {
                let already_applied = ((offset.position - start.position) as usize).min(count);
                offset.position = offset.position.max(start.position + count as u64);
                ChangesOutcome::SkipFirst(already_applied)
            }
            _ => ChangesOutcome::NeedsSnapshot,
        }
    }
}
