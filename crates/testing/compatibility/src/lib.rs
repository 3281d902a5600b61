//! Golden bytes: data that an earlier version stored or sent, kept as hexadecimal text in `golden/`.
//!
//! Renaming a type, variant or field must not change any of these bytes, or a process of the previous version could not
//! read them. A test compares the bytes that are written now with the recorded ones, and decodes the recorded ones.
//! A deliberate change of a format needs a new version and a new record next to the old one. If the variable
//! [`RECORD_VARIABLE`] is set, missing records are added; an existing record is never overwritten.
#![forbid(unsafe_code)]

use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Environment variable that makes the tests add missing records.
pub const RECORD_VARIABLE: &str = "GRANITETHREAD_RECORD_GOLDEN";

/// The records of one file, by name.
#[derive(Debug)]
pub struct Golden {
    path: PathBuf,
    records: BTreeMap<String, String>,
}

impl Golden {
    /// Opens `golden/FILE.txt`. Each line is a record: its name, a space, and its bytes in hexadecimal digits.
    pub fn open(file: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("golden").join(format!("{file}.txt"));
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let records = text.lines().filter_map(|line| line.split_once(' '));
        let records = records.map(|(name, hex)| (name.to_string(), hex.to_string())).collect();
        Golden { path, records }
    }

    /// Returns the number of records in the file.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the file has no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Asserts that the recorded bytes equal `written`, and returns them.
    ///
    /// # Panics
    /// The bytes differ, or the record does not exist and [`RECORD_VARIABLE`] is not set.
    pub fn assert_bytes(&mut self, name: &str, written: &[u8]) -> Vec<u8> {
        let hex = to_hex(written);
        if !self.records.contains_key(name) && std::env::var_os(RECORD_VARIABLE).is_some() {
            self.records.insert(name.to_string(), hex.clone());
            self.save();
        }
        let recorded = self.records.get(name).unwrap_or_else(|| panic!("no golden record named {name}"));
        assert_eq!(hex, *recorded, "{name}: the bytes differ from the golden record");
        from_hex(recorded)
    }

    /// Asserts that `rmp-serde` encodes a message as recorded, and that the decoded record has the same encoding.
    ///
    /// # Panics
    /// The bytes differ, or cannot be decoded.
    pub fn assert_message<T: Serialize + DeserializeOwned>(&mut self, name: &str, message: &T) {
        let written = rmp_serde::to_vec(message).expect("a message can be written");
        let recorded = self.assert_bytes(name, &written);
        let read: T = rmp_serde::from_slice(&recorded)
            .unwrap_or_else(|e| panic!("{name}: the golden record cannot be decoded: {e}"));
        assert_eq!(rmp_serde::to_vec(&read).expect("a message can be written"), recorded, "{name}");
    }

    fn save(&self) {
        let lines: String = self.records.iter().map(|(name, hex)| format!("{name} {hex}\n")).collect();
        std::fs::write(&self.path, lines).expect("the golden file can be written");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digit).collect()
}
