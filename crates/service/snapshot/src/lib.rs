//! Snapshots of a gateway's state, which the next process of the gateway restores: the file format with its sections,
//! atomic writes to a disk, and the rules for ageing old state (`docs/design/recovery.md`).
//!
//! The format and the rules do no I/O. [`files`] works on a [`files::Disk`]; the implementation for a real disk is small.
#![forbid(unsafe_code)]

/// Whether a named defect is planted. Constantly false, and removed by the compiler, without the feature `defects`.
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

pub use format::{
    decode, encode, inspect, Author, Kind, Section, SectionError, Snapshot, SnapshotError, MAX_BYTES,
};

/// Time in Unix nanoseconds.
pub type Time = u64;

#[cfg(test)]
mod tests;
