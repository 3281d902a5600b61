//! Which configurations have been taken: a mark of each, the latest [`MARKS`] of them.

use configuration::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// So many are known again when they come once more: two days of 1,000 changes. 20 bytes each in memory, 31 at most in a state.
pub const MAX_APPLIED_VERSIONS: usize = 2048;

/// The first half of a SHA-256 of the bytes that the operator sent.
pub type BodyDigest = [u8; 16];

pub fn body_digest(body: &[u8]) -> BodyDigest {
    let whole = Sha256::digest(body);
    let mut mark = BodyDigest::default();
    mark.copy_from_slice(&whole[..16]);
    mark
}

/// In the order in which they were taken, so that versions rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AppliedVersions(VecDeque<(Version, BodyDigest)>);

impl AppliedVersions {
    /// The version under which these bytes were taken.
    pub fn version_of(&self, mark: &BodyDigest) -> Option<Version> {
        // The latest are asked for most.
        self.0.iter().rev().find(|(_, m)| m == mark).map(|(version, _)| *version)
    }

    /// Whether one of this version may have been taken and be forgotten.
    pub fn may_be_forgotten(&self, version: Version) -> bool {
        self.0.len() >= MAX_APPLIED_VERSIONS && self.0.front().is_some_and(|(oldest, _)| version < *oldest)
    }

    pub fn record(&mut self, version: Version, mark: BodyDigest) {
        self.0.push_back((version, mark));
        if self.0.len() > MAX_APPLIED_VERSIONS {
            self.0.pop_front();
        }
    }
}
