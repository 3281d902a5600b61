//! Long runs of bytes, most of them configurations: each is written once, under its digest, however many entries and snapshots
//! name it. The longer ones are files of their own, which takes two syncs more; the others are values in the store.

use super::folder::Directory;
use super::StorageError;
use control_node::LONG_RUN_BYTES;
use control_state::{Command, ControlState};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// From this length on, in bytes, a run is a file.
pub const MIN_BLOB_BYTES: usize = 64 << 10;
/// All files together, in bytes: five configurations of the longest that is taken. One more is refused.
pub const MAX_TOTAL_BYTES: u64 = 40 << 20;
const PREFIX: &str = "blob-";

pub type Digest = [u8; 32];

/// A part of what an entry or a snapshot holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Segment {
    #[serde(rename = "Here")]
    Inline(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A value in the store.
    Value(Digest),
    Blob(Digest),
}

/// Values for the store, or of it.
pub type Values = BTreeMap<Digest, Vec<u8>>;

/// The blobs of one folder.
#[derive(Debug, Default)]
pub struct Blobs {
    /// Whole and synced, with their lengths.
    known: BTreeMap<Digest, u64>,
    /// Of them those whose names are not sure to last.
    unsynced: Vec<Digest>,
}

impl Blobs {
    /// Bytes in all.
    pub fn bytes(&self) -> u64 {
        self.known.values().sum()
    }

    /// Takes bytes apart. What is to be a value is put among them; a file is on the disk when this returns, and lasts after
    /// [`Blobs::last`].
    ///
    /// # Errors
    /// The disk refuses, or there would be too many.
    pub fn put(
        &mut self,
        folder: &dyn Directory,
        bytes: &[u8],
        values: &mut Values,
    ) -> Result<Vec<Segment>, StorageError> {
        split_body(bytes)
            .into_iter()
            .filter(|b| !b.is_empty())
            .map(|b| self.put_one(folder, b, values))
            .collect()
    }

    /// Whatever was put lasts from here on.
    ///
    /// # Errors
    /// The disk refuses; then what is new is written again when it is next put.
    pub fn make_durable(&mut self, folder: &dyn Directory) -> Result<(), StorageError> {
        let fresh = std::mem::take(&mut self.unsynced);
        if fresh.is_empty() {
            return Ok(());
        }
        folder.sync().map_err(|e| {
            self.known.retain(|digest, _| !fresh.contains(digest));
            StorageError::Io("the folder".into(), e)
        })
    }

    fn put_one(
        &mut self,
        folder: &dyn Directory,
        bytes: &[u8],
        values: &mut Values,
    ) -> Result<Segment, StorageError> {
        if bytes.len() < LONG_RUN_BYTES {
            return Ok(Segment::Inline(bytes.to_vec()));
        }
        let digest: Digest = Sha256::digest(bytes).into();
        if bytes.len() < MIN_BLOB_BYTES {
            values.entry(digest).or_insert_with(|| bytes.to_vec());
            return Ok(Segment::Value(digest));
        }
        if self.known.contains_key(&digest) {
            return Ok(Segment::Blob(digest));
        }
        if self.bytes() + bytes.len() as u64 > MAX_TOTAL_BYTES {
            return Err(StorageError::SizeLimit);
        }
        let name = name(&digest);
        let fault = |e| StorageError::Io(name.clone(), e);
        let written = folder.open(&name, true).and_then(|file| {
            file.write(0, bytes)?;
            file.sync()
        });
        if let Err(e) = written {
            // Half of it takes room for nothing.
            let _ = folder.remove(&name);
            return Err(fault(e));
        }
        self.known.insert(digest, bytes.len() as u64);
        self.unsynced.push(digest);
        Ok(Segment::Blob(digest))
    }

    /// Puts together what was taken apart. What an earlier process has put, and something names, was made to last by it.
    ///
    /// # Errors
    /// A blob is missing or is not what its name says; or the disk refuses.
    pub fn assemble(
        &mut self,
        folder: &dyn Directory,
        pieces: &[Segment],
        values: &Values,
    ) -> Result<Vec<u8>, StorageError> {
        let mut all = Vec::new();
        for piece in pieces {
            match piece {
                Segment::Inline(bytes) => all.extend_from_slice(bytes),
                Segment::Value(digest) => match values.get(digest) {
                    Some(bytes) if Digest::from(Sha256::digest(bytes)) == *digest => all.extend(bytes),
                    _ => return Err(StorageError::Damaged("a value is not what its name says".into())),
                },
                Segment::Blob(digest) => {
                    let bytes = read(folder, digest)?;
                    self.known.insert(*digest, bytes.len() as u64);
                    all.extend(bytes);
                }
            }
        }
        Ok(all)
    }

    /// Removes all others. One that cannot be removed, or comes back after a loss of power, goes another time.
    pub fn retain(&mut self, wanted: &BTreeSet<Digest>, folder: &dyn Directory) {
        self.known.retain(|digest, _| {
            wanted.contains(digest) || {
                if let Err(e) = folder.remove(&name(digest)) {
                    log::warn!("disk: {}: {e}; it stays for now", name(digest));
                }
                false
            }
        });
    }

    /// The same for those that an earlier process has left.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn remove_unreferenced(
        &mut self,
        wanted: &BTreeSet<Digest>,
        folder: &dyn Directory,
    ) -> io::Result<()> {
        let names: BTreeSet<String> = wanted.iter().map(name).collect();
        for (name, _) in folder.list()? {
            if name.starts_with(PREFIX) && !names.contains(&name) {
                folder.remove(&name)?;
            }
        }
        self.known.retain(|digest, _| wanted.contains(digest));
        Ok(())
    }
}

fn name(digest: &Digest) -> String {
    let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
    format!("{PREFIX}{hex}")
}

fn read(folder: &dyn Directory, digest: &Digest) -> Result<Vec<u8>, StorageError> {
    let name = name(digest);
    match folder.read(&name) {
        Ok(bytes) if Digest::from(Sha256::digest(&bytes)) == *digest => Ok(bytes),
        Ok(_) => Err(StorageError::Damaged(format!("{name} is not what its name says"))),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            Err(StorageError::Damaged(format!("{name} is missing")))
        }
        Err(e) => Err(StorageError::Io(name, e)),
    }
}

/// Before the configuration that a word or a book holds, the configuration, and behind it.
fn split_body(bytes: &[u8]) -> [&[u8]; 3] {
    let whole = [bytes, &[], &[]];
    if bytes.len() < LONG_RUN_BYTES {
        return whole;
    }
    let body = match Command::decode(bytes) {
        Some(Command::ReplaceConfiguration { body, .. }) => body,
        Some(_) => return whole,
        None => match ControlState::decode(bytes).and_then(|b| b.configuration().cloned()) {
            Some(configuration) => configuration.body.clone(),
            None => return whole,
        },
    };
    let at = (0..bytes.len().saturating_sub(body.len()) + 1).find(|at| bytes[*at..].starts_with(&body));
    match at {
        Some(at) if body.len() >= LONG_RUN_BYTES => {
            [&bytes[..at], &bytes[at..at + body.len()], &bytes[at + body.len()..]]
        }
        _ => whole,
    }
}
