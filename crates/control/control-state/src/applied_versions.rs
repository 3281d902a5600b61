//! Digests of the last [`MAX_APPLIED_VERSIONS`] applied configurations, by which a configuration that is sent again is
//! recognized.

use configuration::Version;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// Number of applied configurations that are recognized when they are sent again: two days at 1,000 changes a day. Each
/// takes 20 bytes in memory and about 31 in an encoded state.
pub const MAX_APPLIED_VERSIONS: usize = 2048;

/// The first half of the SHA-256 of the bytes that the operator sent.
pub type BodyDigest = [u8; 16];

/// Returns the digest of a configuration's bytes.
pub fn body_digest(body: &[u8]) -> BodyDigest {
    let sha256 = Sha256::digest(body);
    let mut digest = BodyDigest::default();
    digest.copy_from_slice(&sha256[..16]);
    digest
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AppliedVersion {
    version: Version,
    digest: BodyDigest,
}

/// Applied versions in the order in which they were applied, hence in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct AppliedVersions(VecDeque<AppliedVersion>);

impl AppliedVersions {
    /// Returns the version under which the configuration with this digest was applied.
    pub fn version_of(&self, digest: &BodyDigest) -> Option<Version> {
        // Most lookups are for recent versions.
        let mut newest_first = self.0.iter().rev();
        newest_first.find(|applied| applied.digest == *digest).map(|applied| applied.version)
    }

    /// Whether a configuration of this version may have been applied and since been dropped from this list.
    pub fn may_have_forgotten(&self, version: Version) -> bool {
        let oldest = self.0.front().filter(|_| self.0.len() >= MAX_APPLIED_VERSIONS);
        oldest.is_some_and(|oldest| version < oldest.version)
    }

    /// Records that a configuration with this digest was applied.
    pub fn record(&mut self, version: Version, digest: BodyDigest) {
        self.0.push_back(AppliedVersion { version, digest });
        if self.0.len() > MAX_APPLIED_VERSIONS {
            self.0.pop_front();
        }
    }
}
