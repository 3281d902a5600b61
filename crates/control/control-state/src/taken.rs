//! Which configurations have been taken: a mark of each, the latest [`MARKS`] of them.

use configuration::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// So many are known again when they come once more: two days of 1,000 changes. 20 bytes each in memory, 31 at most in a state.
pub const MARKS: usize = 2048;

/// The first half of a SHA-256 of the bytes that the operator sent.
pub type Mark = [u8; 16];

pub fn mark(body: &[u8]) -> Mark {
    let whole = Sha256::digest(body);
    let mut mark = Mark::default();
    mark.copy_from_slice(&whole[..16]);
    mark
}

/// In the order in which they were taken, so that versions rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Taken(VecDeque<(Version, Mark)>);

impl Taken {
    /// The version under which these bytes were taken.
    pub fn knows(&self, mark: &Mark) -> Option<Version> {
        // The latest are asked for most.
        self.0.iter().rev().find(|(_, m)| m == mark).map(|(version, _)| *version)
    }

    /// Whether one of this version may have been taken and be forgotten.
    pub fn may_be_forgotten(&self, version: Version) -> bool {
        self.0.len() >= MARKS && self.0.front().is_some_and(|(oldest, _)| version < *oldest)
    }

    pub fn take(&mut self, version: Version, mark: Mark) {
        self.0.push_back((version, mark));
        if self.0.len() > MARKS {
            self.0.pop_front();
        }
    }
}
