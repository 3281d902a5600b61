//! Which configurations have been applied: a digest of each, the latest [`MAX_APPLIED_VERSIONS`] of them.

use configuration::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// So many configurations are recognised when they are sent again: two days of 1,000 changes. 20 bytes each in memory, 31 at
/// most in an encoded state.
pub const MAX_APPLIED_VERSIONS: usize = 2048;

/// The first half of the SHA-256 of the bytes that the operator sent.
pub type BodyDigest = [u8; 16];

/// The digest of a configuration's bytes.
pub fn body_digest(body: &[u8]) -> BodyDigest {
    let whole = Sha256::digest(body);
    let mut digest = BodyDigest::default();
    digest.copy_from_slice(&whole[..16]);
    digest
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AppliedVersion {
    version: Version,
    digest: BodyDigest,
}

/// In the order in which they were applied, so that versions rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct AppliedVersions(VecDeque<AppliedVersion>);

impl AppliedVersions {
    /// The version under which bytes of this digest were applied.
    pub fn version_of(&self, digest: &BodyDigest) -> Option<Version> {
        // The latest are asked for most.
        let mut latest_first = self.0.iter().rev();
        latest_first.find(|applied| applied.digest == *digest).map(|applied| applied.version)
    }

    /// Whether one of this version may have been applied and be forgotten.
    pub fn may_have_forgotten(&self, version: Version) -> bool {
        let oldest = self.0.front().filter(|_| self.0.len() >= MAX_APPLIED_VERSIONS);
        oldest.is_some_and(|oldest| version < oldest.version)
    }

    /// A configuration of this digest was applied.
    pub fn record(&mut self, version: Version, digest: BodyDigest) {
        self.0.push_back(AppliedVersion { version, digest });
        if self.0.len() > MAX_APPLIED_VERSIONS {
            self.0.pop_front();
        }
    }
}
