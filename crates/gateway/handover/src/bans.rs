//! The encoding of manual bans that one process of a gateway writes for the other.

use interface::{Name, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The maximum length of an encoded text; longer ones are rejected.
pub const MAX_BYTES: usize = 1 << 20;
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct EncodedBans {
    version: u32,
    /// When each server was banned, in Unix nanoseconds.
    #[serde(rename = "out")]
    banned_at: BTreeMap<String, Time>,
}

/// An encoded text that cannot be used: the known bans stay in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidBans {
    TooLong,
    UnsupportedVersion(u32),
    Malformed(String),
}

impl fmt::Display for InvalidBans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidBans::TooLong => write!(f, "longer than {MAX_BYTES} bytes"),
            InvalidBans::UnsupportedVersion(v) => write!(f, "unsupported version {v}: expected {VERSION}"),
            InvalidBans::Malformed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for InvalidBans {}

/// Encodes the bans for the other process.
pub fn write(bans: &BTreeMap<Name, Time>) -> String {
    let banned_at = bans.iter().map(|(name, since)| (name.to_string(), *since)).collect();
    serde_json::to_string(&EncodedBans { version: VERSION, banned_at }).unwrap_or_default()
}

/// Decodes the bans of the other process.
///
/// # Errors
/// Returns [`InvalidBans`] if the text is too long, malformed or of another version.
pub fn read(text: &[u8]) -> Result<BTreeMap<Name, Time>, InvalidBans> {
    if text.len() > MAX_BYTES {
        return Err(InvalidBans::TooLong);
    }
    let decoded: EncodedBans =
        serde_json::from_slice(text).map_err(|e| InvalidBans::Malformed(e.to_string()))?;
    if decoded.version != VERSION {
        return Err(InvalidBans::UnsupportedVersion(decoded.version));
    }
    Ok(decoded.banned_at.into_iter().map(|(name, since)| (name.into(), since)).collect())
}
