//! What has changed between two configurations, as bytes: runs of the old one, and new bytes between them. Whoever has the old
//! one and folds this in has the new one, byte for byte; a mark of it says whether that is so. Nothing here reads what the
//! bytes mean, so that any two will do: JSON whose parts keep their bytes gives a short one.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Old bytes are cut behind each of these: the end of an object.
const CUT: u8 = b'}';
/// A run of old bytes that is shorter than this is written anew.
const SHORTEST: usize = 24;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// So many old bytes from there on.
    Old { from: u32, len: u32 },
    New {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Difference(Vec<Edit>);

impl Difference {
    pub fn between(old: &[u8], new: &[u8]) -> Difference {
        let mut places: HashMap<&[u8], usize> = HashMap::new();
        let mut at = 0;
        for piece in pieces(old) {
            places.entry(piece).or_insert(at);
            at += piece.len();
        }
        let mut edits = Edits::default();
        for piece in pieces(new) {
            let end = edits.run.end;
            // The run goes on, if it can; else the first place where the old one says so.
            let goes_on = end > 0 && old[end..].starts_with(piece);
            let from = if goes_on { Some(end) } else { places.get(piece).copied() };
            match from {
                Some(from) if goes_on => edits.run.end = from + piece.len(),
                Some(from) => {
                    edits.close(old);
                    edits.run = from..from + piece.len();
                }
                None => {
                    edits.close(old);
                    edits.new.extend_from_slice(piece);
                }
            }
        }
        edits.close(old);
        edits.flush();
        Difference(edits.all)
    }

    /// The new bytes, at most `most` of them; none if this is not a difference to these old ones.
    pub fn fold(&self, old: &[u8], most: usize) -> Option<Vec<u8>> {
        let mut new = Vec::new();
        for edit in &self.0 {
            let bytes = match edit {
                Edit::Old { from, len } => {
                    let from = *from as usize;
                    old.get(from..from.checked_add(*len as usize)?)?
                }
                Edit::New { bytes } => bytes,
            };
            if new.len() + bytes.len() > most {
                return None;
            }
            new.extend_from_slice(bytes);
        }
        Some(new)
    }

    pub fn write(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a difference can be written")
    }

    /// None, if it is none of ours.
    pub fn read(bytes: &[u8]) -> Option<Difference> {
        rmp_serde::from_slice(bytes).ok()
    }
}

#[derive(Default)]
struct Edits {
    all: Vec<Edit>,
    /// New bytes that have yet to be written, and behind them a run of old ones.
    new: Vec<u8>,
    run: std::ops::Range<usize>,
}

impl Edits {
    /// The run has ended.
    fn close(&mut self, old: &[u8]) {
        let run = std::mem::take(&mut self.run);
        if run.len() < SHORTEST {
            return self.new.extend_from_slice(&old[run]);
        }
        self.flush();
        self.all.push(Edit::Old { from: run.start as u32, len: run.len() as u32 });
    }

    fn flush(&mut self) {
        if !self.new.is_empty() {
            self.all.push(Edit::New { bytes: std::mem::take(&mut self.new) });
        }
    }
}

fn pieces(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split_inclusive(|b| *b == CUT)
}
