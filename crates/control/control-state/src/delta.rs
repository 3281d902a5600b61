//! A binary delta between two configurations: byte ranges copied from the old one, and new bytes inserted between them.
//!
//! Applying the delta to the old configuration yields the new one byte for byte, which the caller verifies by a digest. The
//! bytes are not interpreted, so that any two byte strings work. The delta is short for JSON in which most objects keep
//! their bytes.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::Range;

/// Byte after which a run ends: the end of a JSON object.
const RUN_END: u8 = b'}';
/// Shorter copies are inserted instead.
const MIN_COPY_BYTES: usize = 24;

/// One step of a delta. Variants are stored under their names in state format 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Copies bytes of the old configuration.
    #[serde(rename = "Old")]
    Copy { offset: u32, length: u32 },
    /// Inserts new bytes.
    #[serde(rename = "New")]
    Insert {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

/// The edits that turn one configuration into the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Delta(Vec<Edit>);

impl Delta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let old_runs = index_runs(old);
        let mut builder = DeltaBuilder::default();
        for run in runs(new) {
            let copied_to = builder.copied.end;
            let continues_copy = copied_to > 0 && old[copied_to..].starts_with(run);
            let offset = if continues_copy { Some(copied_to) } else { old_runs.get(run).copied() };
            match offset {
                Some(offset) if continues_copy => builder.copied.end = offset + run.len(),
                Some(offset) => {
                    builder.end_copy(old);
                    builder.copied = offset..offset + run.len();
                }
                None => {
                    builder.end_copy(old);
                    builder.inserted.extend_from_slice(run);
                }
            }
        }
        builder.end_copy(old);
        builder.flush_insert();
        Delta(builder.edits)
    }

    /// Applies the delta to `old`. Returns `None` if it does not fit `old` or yields more than `max_bytes`.
    pub fn apply(&self, old: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
        let mut new = Vec::new();
        for edit in &self.0 {
            let bytes = match edit {
                Edit::Copy { offset, length } => {
                    let offset = *offset as usize;
                    old.get(offset..offset.checked_add(*length as usize)?)?
                }
                Edit::Insert { bytes } => bytes,
            };
            if new.len() + bytes.len() > max_bytes {
                return None;
            }
            new.extend_from_slice(bytes);
        }
        Some(new)
    }

    /// Encodes the delta for the log and for messages.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("all values of a delta can be encoded")
    }

    /// Decodes a delta; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Delta> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Returns the offset of the first occurrence of each run.
fn index_runs(bytes: &[u8]) -> HashMap<&[u8], usize> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for run in runs(bytes) {
        offsets.entry(run).or_insert(offset);
        offset += run.len();
    }
    offsets
}

/// Splits bytes into runs, each up to and including the next [`RUN_END`].
fn runs(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split_inclusive(|byte| *byte == RUN_END)
}

/// Collects the edits of a delta. Adjacent runs that are copied become one edit, as do adjacent runs that are inserted.
#[derive(Default)]
struct DeltaBuilder {
    edits: Vec<Edit>,
    /// New bytes that are not yet part of an edit.
    inserted: Vec<u8>,
    /// Range of old bytes that follow `inserted` and are not yet part of an edit.
    copied: Range<usize>,
}

impl DeltaBuilder {
    /// Ends the current copy: adds it as an edit, or to `inserted` if it is too short.
    fn end_copy(&mut self, old: &[u8]) {
        let copied = std::mem::take(&mut self.copied);
        if copied.len() < MIN_COPY_BYTES {
            return self.inserted.extend_from_slice(&old[copied]);
        }
        self.flush_insert();
        self.edits.push(Edit::Copy { offset: copied.start as u32, length: copied.len() as u32 });
    }

    /// Adds the pending new bytes as an edit.
    fn flush_insert(&mut self) {
        if !self.inserted.is_empty() {
            self.edits.push(Edit::Insert { bytes: std::mem::take(&mut self.inserted) });
        }
    }
}
