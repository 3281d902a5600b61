//! What has changed between two configurations, as bytes: runs of the old one, and new bytes between them. Whoever has the old
//! one and folds this in has the new one, byte for byte; a mark of it says whether that is so. Nothing here reads what the
//! bytes mean, so that any two will do: JSON whose parts keep their bytes gives a short one.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Old bytes are cut behind each of these: the end of an object.
const RUN_END: u8 = b'}';
/// A run of old bytes that is shorter than this is written anew.
const MIN_COPY_BYTES: usize = 24;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// So many old bytes from there on.
    #[serde(rename = "Old")]
    Copy { offset: u32, length: u32 },
    #[serde(rename = "New")]
    Insert {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Delta(Vec<Edit>);

impl Delta {
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let mut places: HashMap<&[u8], usize> = HashMap::new();
        let mut at = 0;
        for piece in runs(old) {
            places.entry(piece).or_insert(at);
            at += piece.len();
        }
        let mut edits = DeltaBuilder::default();
        for piece in runs(new) {
            let end = edits.copied.end;
            // The run goes on, if it can; else the first place where the old one says so.
            let goes_on = end > 0 && old[end..].starts_with(piece);
            let from = if goes_on { Some(end) } else { places.get(piece).copied() };
            match from {
                Some(from) if goes_on => edits.copied.end = from + piece.len(),
                Some(from) => {
                    edits.end_copy(old);
                    edits.copied = from..from + piece.len();
                }
                None => {
                    edits.end_copy(old);
                    edits.inserted.extend_from_slice(piece);
                }
            }
        }
        edits.end_copy(old);
        edits.flush_insert();
        Delta(edits.edits)
    }

    /// The new bytes, at most `most` of them; none if this is not a difference to these old ones.
    pub fn apply(&self, old: &[u8], most: usize) -> Option<Vec<u8>> {
        let mut new = Vec::new();
        for edit in &self.0 {
            let bytes = match edit {
                Edit::Copy { offset: from, length: len } => {
                    let from = *from as usize;
                    old.get(from..from.checked_add(*len as usize)?)?
                }
                Edit::Insert { bytes } => bytes,
            };
            if new.len() + bytes.len() > most {
                return None;
            }
            new.extend_from_slice(bytes);
        }
        Some(new)
    }

    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a difference can be written")
    }

    /// None, if it is none of ours.
    pub fn decode(bytes: &[u8]) -> Option<Delta> {
        rmp_serde::from_slice(bytes).ok()
    }
}

#[derive(Default)]
struct DeltaBuilder {
    edits: Vec<Edit>,
    /// New bytes that have yet to be written, and behind them a run of old ones.
    inserted: Vec<u8>,
    copied: std::ops::Range<usize>,
}

impl DeltaBuilder {
    /// The run has ended.
    fn end_copy(&mut self, old: &[u8]) {
        let run = std::mem::take(&mut self.copied);
        if run.len() < MIN_COPY_BYTES {
            return self.inserted.extend_from_slice(&old[run]);
        }
        self.flush_insert();
        self.edits.push(Edit::Copy { offset: run.start as u32, length: run.len() as u32 });
    }

    fn flush_insert(&mut self) {
        if !self.inserted.is_empty() {
            self.edits.push(Edit::Insert { bytes: std::mem::take(&mut self.inserted) });
        }
    }
}

fn runs(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split_inclusive(|b| *b == RUN_END)
}
