//! Long runs of bytes, most of them configurations: each is stored once, under its digest, however many entries and snapshots
//! hold it. The longest are files of their own, which takes two more syncs; the others are values in the generation file.

use super::directory::Directory;
use super::StorageError;
use control_node::MIN_DEDUP_BYTES;
use control_state::{Command, ControlState};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// From this length on, in bytes, a run is a file.
pub const MIN_BLOB_BYTES: usize = 64 << 10;
/// All files together, in bytes: five configurations of the longest that is accepted. One more is refused.
pub const MAX_TOTAL_BYTES: u64 = 40 << 20;
const PREFIX: &str = "blob-";

/// SHA-256 of a run.
pub type Digest = [u8; 32];

/// A segment of what an entry or a snapshot holds. Variants are stored under the names of store format 2.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Segment {
    /// Its bytes.
    #[serde(rename = "Here")]
    Inline(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A value in the generation file.
    Value(Digest),
    /// A file of its own.
    Blob(Digest),
}

/// Values of a generation file.
pub type Values = BTreeMap<Digest, Vec<u8>>;

/// The blobs of one directory.
#[derive(Debug, Default)]
pub struct Blobs {
    /// Whole and synced, with their lengths.
    known: BTreeMap<Digest, u64>,
    /// Of them those whose names may not last.
    unsynced: Vec<Digest>,
}

impl Blobs {
    /// Bytes of all blobs.
    pub fn bytes(&self) -> u64 {
        self.known.values().sum()
    }

    /// Splits bytes into segments. What is to be a value is added to `values`; a blob is on the disk when this returns, and
    /// lasts after [`Blobs::make_durable`].
    ///
    /// # Errors
    /// The disk refuses, or there would be too many bytes.
    pub fn put(
        &mut self,
        directory: &dyn Directory,
        bytes: &[u8],
        values: &mut Values,
    ) -> Result<Vec<Segment>, StorageError> {
        let runs = split_body(bytes).into_iter().filter(|run| !run.is_empty());
        runs.map(|run| self.put_run(directory, run, values)).collect()
    }

    /// Whatever was put lasts from here on.
    ///
    /// # Errors
    /// The disk refuses; then what is new is written again when it is next put.
    pub fn make_durable(&mut self, directory: &dyn Directory) -> Result<(), StorageError> {
        let unsynced = std::mem::take(&mut self.unsynced);
        if unsynced.is_empty() {
            return Ok(());
        }
        directory.sync().map_err(|error| {
            self.known.retain(|digest, _| !unsynced.contains(digest));
            StorageError::of_directory(error)
        })
    }

    fn put_run(
        &mut self,
        directory: &dyn Directory,
        bytes: &[u8],
        values: &mut Values,
    ) -> Result<Segment, StorageError> {
        if bytes.len() < MIN_DEDUP_BYTES {
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
        write_blob(directory, &digest, bytes)?;
        self.known.insert(digest, bytes.len() as u64);
        self.unsynced.push(digest);
        Ok(Segment::Blob(digest))
    }

    /// Puts segments together. A blob that an earlier process has put, and something refers to, was made durable by it.
    ///
    /// # Errors
    /// A value or blob is missing or damaged; or the disk refuses.
    pub fn assemble(
        &mut self,
        directory: &dyn Directory,
        segments: &[Segment],
        values: &Values,
    ) -> Result<Vec<u8>, StorageError> {
        let mut bytes = Vec::new();
        for segment in segments {
            match segment {
                Segment::Inline(run) => bytes.extend_from_slice(run),
                Segment::Value(digest) => match values.get(digest) {
                    Some(value) if Digest::from(Sha256::digest(value)) == *digest => bytes.extend(value),
                    _ => return Err(StorageError::Damaged("a value does not match its digest".into())),
                },
                Segment::Blob(digest) => {
                    let blob = read_blob(directory, digest)?;
                    self.known.insert(*digest, blob.len() as u64);
                    bytes.extend(blob);
                }
            }
        }
        Ok(bytes)
    }

    /// Removes all others. One that cannot be removed, or comes back after a loss of power, goes another time.
    pub fn retain(&mut self, wanted: &BTreeSet<Digest>, directory: &dyn Directory) {
        self.known.retain(|digest, _| {
            wanted.contains(digest) || {
                if let Err(error) = directory.remove(&file_name(digest)) {
                    log::warn!("storage: {}: {error}; it stays for now", file_name(digest));
                }
                false
            }
        });
    }

    /// The same, also of those that an earlier process has left.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn remove_unreferenced(
        &mut self,
        wanted: &BTreeSet<Digest>,
        directory: &dyn Directory,
    ) -> io::Result<()> {
        let wanted_names: BTreeSet<String> = wanted.iter().map(file_name).collect();
        for (name, _) in directory.list()? {
            if name.starts_with(PREFIX) && !wanted_names.contains(&name) {
                directory.remove(&name)?;
            }
        }
        self.known.retain(|digest, _| wanted.contains(digest));
        Ok(())
    }
}

fn file_name(digest: &Digest) -> String {
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{PREFIX}{hex}")
}

fn write_blob(directory: &dyn Directory, digest: &Digest, bytes: &[u8]) -> Result<(), StorageError> {
    let name = file_name(digest);
    let written = directory.open(&name, true).and_then(|file| {
        file.write(0, bytes)?;
        file.sync()
    });
    written.map_err(|error| {
        // Half of it would only take room.
        let _ = directory.remove(&name);
        StorageError::Io(name, error)
    })
}

fn read_blob(directory: &dyn Directory, digest: &Digest) -> Result<Vec<u8>, StorageError> {
    let name = file_name(digest);
    match directory.read(&name) {
        Ok(bytes) if Digest::from(Sha256::digest(&bytes)) == *digest => Ok(bytes),
        Ok(_) => Err(StorageError::Damaged(format!("{name} does not match its digest"))),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            Err(StorageError::Damaged(format!("{name} is missing")))
        }
        Err(error) => Err(StorageError::Io(name, error)),
    }
}

/// What stands before the configuration that a command or a state holds, the configuration, and what stands behind it.
fn split_body(bytes: &[u8]) -> [&[u8]; 3] {
    let unsplit = [bytes, &[], &[]];
    if bytes.len() < MIN_DEDUP_BYTES {
        return unsplit;
    }
    let body = match Command::decode(bytes) {
        Some(Command::ReplaceConfiguration { body, .. }) => body,
        Some(_) => return unsplit,
        None => match ControlState::decode(bytes).and_then(|state| state.configuration().cloned()) {
            Some(configuration) => configuration.body.clone(),
            None => return unsplit,
        },
    };
    let last_offset = bytes.len().saturating_sub(body.len());
    let offset = (0..=last_offset).find(|offset| bytes[*offset..].starts_with(&body));
    match offset {
        Some(offset) if body.len() >= MIN_DEDUP_BYTES => {
            let end = offset + body.len();
            [&bytes[..offset], &bytes[offset..end], &bytes[end..]]
        }
        _ => unsplit,
    }
}
