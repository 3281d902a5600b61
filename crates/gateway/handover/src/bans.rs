//! The bans by hand, as one process of a gateway leaves them for the other.

use interface::{Name, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// No text longer than this is read.
pub const MAX_BYTES: usize = 1 << 20;
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Text {
    version: u32,
    /// Since when, in Unix nanoseconds.
    out: BTreeMap<String, Time>,
}

/// A text that says nothing for certain: what is known already stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidBans {
    TooLong,
    Version(u32),
    Unreadable(String),
}

impl fmt::Display for InvalidBans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidBans::TooLong => write!(f, "longer than {MAX_BYTES} bytes"),
            InvalidBans::Version(v) => write!(f, "of version {v}: {VERSION} is wanted"),
            InvalidBans::Unreadable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for InvalidBans {}

/// The bans as text for the other process.
pub fn write(out: &BTreeMap<Name, Time>) -> String {
    let out = out.iter().map(|(name, since)| (name.to_string(), *since)).collect();
    serde_json::to_string(&Text { version: VERSION, out }).unwrap_or_default()
}

/// # Errors
/// [`InvalidBans`].
pub fn read(text: &[u8]) -> Result<BTreeMap<Name, Time>, InvalidBans> {
    if text.len() > MAX_BYTES {
        return Err(InvalidBans::TooLong);
    }
    let text: Text = serde_json::from_slice(text).map_err(|e| InvalidBans::Unreadable(e.to_string()))?;
    if text.version != VERSION {
        return Err(InvalidBans::Version(text.version));
    }
    Ok(text.out.into_iter().map(|(name, since)| (name.into(), since)).collect())
}
