//! Trace of a run: a digest for comparing two runs, and optionally a human-readable story.

use interface::Time;
use sha2::{Digest, Sha256};
use std::fmt::Write as _;

const FLUSH_BYTES: usize = 1 << 16;
/// Maximum number of story lines kept; older lines are dropped.
const MAX_STORY_LINES: usize = 200_000;

#[derive(Default)]
pub struct Trace {
    hash: Sha256,
    buffer: Vec<u8>,
    pub steps: u64,
    story: Option<std::collections::VecDeque<String>>,
}

impl Trace {
    /// Creates a trace that also keeps a story, which costs time and memory.
    pub fn with_story() -> Self {
        Trace { story: Some(Default::default()), ..Trace::default() }
    }

    /// Adds a step to the digest as plain numbers.
    pub fn note(&mut self, words: &[u64]) {
        self.steps += 1;
        words.iter().for_each(|w| self.buffer.extend_from_slice(&w.to_be_bytes()));
        if self.buffer.len() >= FLUSH_BYTES {
            self.hash.update(&self.buffer);
            self.buffer.clear();
        }
    }

    /// Appends a line to the story, if one is kept.
    pub fn log(&mut self, now: Time, line: impl FnOnce() -> String) {
        if let Some(story) = &mut self.story {
            if story.len() >= MAX_STORY_LINES {
                story.pop_front();
            }
            story.push_back(format!("{:10.3} ms  {}", now as f64 / 1e6, line()));
        }
    }

    /// Returns the digest and the story's lines.
    pub fn finish(mut self) -> (String, Vec<String>) {
        self.hash.update(&self.buffer);
        let mut text = String::new();
        for byte in self.hash.finalize() {
            let _ = write!(text, "{byte:02x}");
        }
        (text, self.story.map(Vec::from).unwrap_or_default())
    }
}
