//! A configuration on its way to a gateway: whole, or as deltas to one that the gateway holds, in chunks, so that other
//! updates go between them and a slow link is never filled for long.

use crate::applied_versions::BodyDigest;
use crate::LogIndex;
use configuration::Version;
use serde::{Deserialize, Serialize};

/// Bytes of one chunk.
pub const CHUNK_BYTES: usize = 16 << 10;

/// What the chunks that follow come to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferHeader {
    /// The chunks are the delta to the configuration of this index; none: they are the whole.
    pub base_index: Option<LogIndex>,
    /// The configuration's index in the log.
    pub index: LogIndex,
    /// The configuration's version.
    pub version: Version,
    /// Of the configuration's bytes.
    pub digest: BodyDigest,
    /// Bytes of all chunks together.
    pub length: u32,
}

/// A chunk, with a header if it is the first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChunk {
    /// Present in the first chunk.
    pub header: Option<TransferHeader>,
    /// The chunk.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}
