//! Commands of the replicated state machine, the payload of log entries.

use crate::applied_versions::{body_digest, BodyDigest};
use crate::delta::Delta;
use crate::state::ControlState;
use configuration::Version;
use serde::{Deserialize, Serialize};

/// A configuration of at most this length is always logged in full.
const MIN_DELTA_BODY_BYTES: usize = 16 << 10;
/// A delta is used only if the full configuration is at least this many times as long.
const MIN_BODY_TO_DELTA_RATIO: usize = 4;

/// A command. Variants are stored under their names in state format 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration of version `base`, which must be the current one.
    #[serde(rename = "Configuration")]
    ReplaceConfiguration {
        /// Version of the configuration that is replaced; 0 if there is none.
        base: Version,
        /// Version of the new configuration.
        version: Version,
        /// Bytes of the new configuration, exactly as the operator sent them.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Replaces the configuration of version `base` by a delta to its bytes, which all nodes hold.
    #[serde(rename = "Change")]
    ConfigurationDelta {
        /// Version of the configuration that is replaced.
        base: Version,
        /// Version of the new configuration.
        version: Version,
        /// Digest of the new configuration's bytes.
        digest: BodyDigest,
        /// An encoded [`Delta`].
        #[serde(with = "serde_bytes")]
        delta: Vec<u8>,
    },
    /// Drains a backend permanently: it gets no new work until it ends.
    #[serde(rename = "Leaving")]
    Drain {
        /// The backend's id.
        instance: String,
    },
    /// Adds a gateway, which then has a fallback share of every quota.
    #[serde(rename = "Gateway")]
    AddGateway {
        /// The gateway's name.
        name: String,
    },
    /// Removes a gateway that is permanently gone. The name may be added again later.
    RemoveGateway {
        /// The gateway's name.
        name: String,
        /// Term of the leader that proposes the removal because it has not heard from the gateway for a long time. The
        /// command has no effect in an entry of any other term.
        term: u64,
    },
    /// Expires a tenant's trial.
    #[serde(rename = "TrialOver")]
    ExpireTrial {
        /// The tenant's name.
        tenant: String,
        /// The end of the trial that has passed, in Unix milliseconds.
        ends_at: u64,
    },
}

impl Command {
    /// Turns the replacement by a long configuration into a delta to the current one if that is much shorter; returns any
    /// other command unchanged. A log entry delays heartbeats by the time that sending its bytes takes.
    pub fn into_delta_if_smaller(self, state: &ControlState) -> Command {
        let Command::ReplaceConfiguration { base, version, body } = &self else { return self };
        let is_long = body.len() > MIN_DELTA_BODY_BYTES;
        let current = state.configuration().filter(|current| current.version == *base && is_long);
        let Some(current) = current else { return self };
        let delta = Delta::between(&current.body, body).encode();
        if delta.len() > body.len() / MIN_BODY_TO_DELTA_RATIO {
            return self;
        }
        Command::ConfigurationDelta { base: *base, version: *version, digest: body_digest(body), delta }
    }

    /// Whether the command may be applied from a log entry of this term.
    pub fn is_valid_in_term(&self, entry_term: u64) -> bool {
        match self {
            Command::RemoveGateway { term, .. } => *term == entry_term,
            _ => true,
        }
    }

    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("all values of a command can be encoded")
    }

    /// Decodes a command; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        rmp_serde::from_slice(bytes).ok()
    }
}
