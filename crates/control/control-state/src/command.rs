//! Commands of the replicated state, as they stand in the log.

use crate::applied_versions::{body_digest, BodyDigest};
use crate::delta::Delta;
use crate::state::ControlState;
use configuration::Version;
use serde::{Deserialize, Serialize};

/// A configuration that is no longer than this stands whole in the log.
const MIN_DELTA_BODY_BYTES: usize = 16 << 10;
/// A delta is used if it takes at most this part of the whole.
const MAX_DELTA_RATIO: usize = 4;

/// A command. Variants are stored under the names of state format 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration of version `base`, which must be the current one.
    #[serde(rename = "Configuration")]
    ReplaceConfiguration {
        /// The version that it replaces; 0 before the first.
        base: Version,
        /// Its own version.
        version: Version,
        /// The bytes that the operator sent.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// The same, as the delta to the bytes of the current configuration, which all nodes hold.
    #[serde(rename = "Change")]
    ConfigurationDelta {
        /// The version that it replaces.
        base: Version,
        /// Its own version.
        version: Version,
        /// Of the bytes that it comes to.
        digest: BodyDigest,
        /// An encoded [`Delta`].
        #[serde(with = "serde_bytes")]
        delta: Vec<u8>,
    },
    /// This backend takes no new work for the rest of its life.
    #[serde(rename = "Leaving")]
    Drain {
        /// The backend's id.
        instance: String,
    },
    /// This gateway exists, and has its fallback share of every quota.
    #[serde(rename = "Gateway")]
    AddGateway {
        /// The gateway's name.
        name: String,
    },
    /// This gateway is gone for good. Its name may be added again.
    RemoveGateway {
        /// The gateway's name.
        name: String,
        /// The term of the leader that has not heard it for long: an entry of any other term changes nothing.
        term: u64,
    },
    /// A tenant's trial has expired.
    #[serde(rename = "TrialOver")]
    ExpireTrial {
        /// Whose.
        tenant: String,
        /// Which end of the trial has passed, in Unix milliseconds.
        ends_at: u64,
    },
}

impl Command {
    /// A long configuration as a delta to the current one, if that is much shorter: an entry of the log delays heartbeats
    /// for as long as its bytes take.
    pub fn into_delta_if_smaller(self, state: &ControlState) -> Command {
        let Command::ReplaceConfiguration { base, version, body } = &self else { return self };
        let is_worth_it = body.len() > MIN_DELTA_BODY_BYTES;
        let current = state.configuration().filter(|current| current.version == *base && is_worth_it);
        let Some(current) = current else { return self };
        let delta = Delta::between(&current.body, body).encode();
        if delta.len() > body.len() / MAX_DELTA_RATIO {
            return self;
        }
        Command::ConfigurationDelta { base: *base, version: *version, digest: body_digest(body), delta }
    }

    /// Whether it may be applied from an entry of this term.
    pub fn is_valid_in_term(&self, entry_term: u64) -> bool {
        match self {
            Command::RemoveGateway { term, .. } => *term == entry_term,
            _ => true,
        }
    }

    /// Its bytes in the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a command has no value that cannot be encoded")
    }

    /// The command that these bytes are, if they are one.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        rmp_serde::from_slice(bytes).ok()
    }
}
