//! The bans by hand, as one process of a gateway leaves them for the other.

use interface::{Name, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// No text longer than this is read.
pub const LONGEST: usize = 1 << 20;
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Text {
    version: u32,
    /// Since when, in Unix nanoseconds.
    out: BTreeMap<String, Time>,
}

/// A text that says nothing for certain: what is known already stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Garbled {
    TooLong,
    Version(u32),
    Unreadable(String),
}

impl fmt::Display for Garbled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Garbled::TooLong => write!(f, "longer than {LONGEST} bytes"),
            Garbled::Version(v) => write!(f, "of version {v}: {VERSION} is wanted"),
            Garbled::Unreadable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Garbled {}

pub fn write(out: &BTreeMap<Name, Time>) -> String {
    let out = out.iter().map(|(name, since)| (name.to_string(), *since)).collect();
    serde_json::to_string(&Text { version: VERSION, out }).unwrap_or_default()
}

/// # Errors
/// [`Garbled`].
pub fn read(text: &[u8]) -> Result<BTreeMap<Name, Time>, Garbled> {
    if text.len() > LONGEST {
        return Err(Garbled::TooLong);
    }
    let text: Text = serde_json::from_slice(text).map_err(|e| Garbled::Unreadable(e.to_string()))?;
    if text.version != VERSION {
        return Err(Garbled::Version(text.version));
    }
    Ok(text.out.into_iter().map(|(name, since)| (name.into(), since)).collect())
}
