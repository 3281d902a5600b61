//! The delta from one configuration to the next, as bytes: runs copied from the old one, and new bytes between them.
//!
//! Whoever has the old one and applies the delta has the new one, byte for byte; a digest says whether that is so. Nothing
//! here reads what the bytes mean, so that any two will do: JSON whose objects keep their bytes gives a short delta.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::Range;

/// Old bytes are split into runs behind each of these: the end of a JSON object.
const RUN_END: u8 = b'}';
/// A run that is shorter than this is inserted rather than copied.
const MIN_COPY_BYTES: usize = 24;

/// Stored under the names of state format 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Bytes of the old configuration.
    #[serde(rename = "Old")]
    Copy { offset: u32, length: u32 },
    #[serde(rename = "New")]
    Insert {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

/// How to get from one configuration to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Delta(Vec<Edit>);

impl Delta {
    /// The delta from `old` to `new`.
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

    /// The new bytes, at most `max_bytes` of them; none if this is no delta to these old ones.
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

    /// Its bytes in the log and in messages.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a delta has no value that cannot be encoded")
    }

    /// The delta that these bytes are, if they are one.
    pub fn decode(bytes: &[u8]) -> Option<Delta> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Where each run of these bytes first begins.
fn index_runs(bytes: &[u8]) -> HashMap<&[u8], usize> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for run in runs(bytes) {
        offsets.entry(run).or_insert(offset);
        offset += run.len();
    }
    offsets
}

fn runs(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split_inclusive(|byte| *byte == RUN_END)
}

#[derive(Default)]
struct DeltaBuilder {
    edits: Vec<Edit>,
    /// New bytes that no edit holds yet.
    inserted: Vec<u8>,
    /// Old bytes behind them that no edit holds yet.
    copied: Range<usize>,
}

impl DeltaBuilder {
    /// The copied run goes on no further.
    fn end_copy(&mut self, old: &[u8]) {
        let copied = std::mem::take(&mut self.copied);
        if copied.len() < MIN_COPY_BYTES {
            return self.inserted.extend_from_slice(&old[copied]);
        }
        self.flush_insert();
        self.edits.push(Edit::Copy { offset: copied.start as u32, length: copied.len() as u32 });
    }

    fn flush_insert(&mut self) {
        if !self.inserted.is_empty() {
            self.edits.push(Edit::Insert { bytes: std::mem::take(&mut self.inserted) });
        }
    }
}
