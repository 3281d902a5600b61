//! What a gateway keeps over its own death: sections in one file, how they get onto a disk whole, and what may still be
//! made of them when they are old (`docs/design/recovery.md`).
//!
//! The format and the rules do no I/O; [`files`] works over a [`files::Disk`], of which the real one is a few lines.
#![forbid(unsafe_code)]

/// Whether a named defect is planted. Constantly false, and gone, in what is shipped.
macro_rules! planted {
    ($name:ident) => {{
        #[cfg(any(test, feature = "defects"))]
        let on = crate::defects::active(crate::defects::Defect::$name);
        #[cfg(not(any(test, feature = "defects")))]
        let on = false;
        on
    }};
}

pub mod age;
#[cfg(any(test, feature = "defects"))]
pub mod defects;
pub mod files;
mod format;

pub use format::{decode, encode, inspect, Author, Kind, Refused, Section, Snapshot, Spoilt, MOST_BYTES};

/// Unix nanoseconds.
pub type Time = u64;

#[cfg(test)]
mod tests;
