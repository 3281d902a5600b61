//! Messages by which a configuration is transferred to a gateway, in full or as deltas to the one that the gateway holds.
//!
//! A transfer is split into chunks, so that other updates can be interleaved and a slow link is never blocked for long.

use crate::applied_versions::BodyDigest;
use crate::LogIndex;
use configuration::Version;
use serde::{Deserialize, Serialize};

/// Maximum number of bytes in a chunk.
pub const CHUNK_BYTES: usize = 16 << 10;

/// Description of a transfer, sent with its first chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferHeader {
    /// Index of the configuration that the transferred delta applies to; `None` for a full configuration.
    pub base_index: Option<LogIndex>,
    /// Log index of the transferred configuration.
    pub index: LogIndex,
    /// Version of the transferred configuration.
    pub version: Version,
    /// Digest of the configuration's bytes.
    pub digest: BodyDigest,
    /// Total number of bytes in all chunks.
    pub length: u32,
}

/// One chunk of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChunk {
    /// The transfer's header, in the first chunk only.
    pub header: Option<TransferHeader>,
    /// The chunk's bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}
