//! Deduplicated storage of long byte slices, most of which are configurations. Each is stored once under its digest, however
//! many entries and snapshots contain it. The longest are separate files, which costs two more syncs; the others are values in
//! the generation file.

use super::directory::Directory;
use super::StorageError;
use control_node::MIN_DEDUP_BYTES;
use control_state::{Command, ControlState};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Minimum length in bytes at which a slice is stored as a separate file.
pub const MIN_BLOB_BYTES: usize = 64 << 10;
/// Limit on the total bytes of all blobs: five configurations of the maximum accepted length. A blob beyond it is refused.
pub const MAX_TOTAL_BYTES: u64 = 40 << 20;
const PREFIX: &str = "blob-";

/// SHA-256 digest of a slice.
pub type Digest = [u8; 32];

/// A segment of the payload of an entry or snapshot. Variants are stored under the names of store format 2.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Segment {
    /// The bytes themselves.
    #[serde(rename = "Here")]
    Inline(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Digest of a value in the generation file.
    Value(Digest),
    /// Digest of a blob, which is a separate file.
    Blob(Digest),
}

/// The values of a generation file, by digest.
pub type Values = BTreeMap<Digest, Vec<u8>>;

/// The blobs of one directory.
#[derive(Debug, Default)]
pub struct Blobs {
    /// Lengths of the blobs that are complete and whose contents are synced.
    known: BTreeMap<Digest, u64>,
    /// Blobs in `known` whose file names are not durable yet.
    unsynced: Vec<Digest>,
}

impl Blobs {
    /// Returns the total bytes of all blobs.
    pub fn bytes(&self) -> u64 {
        self.known.values().sum()
    }

    /// Splits bytes into segments. Adds new values to `values`, and writes new blobs to the disk; these are durable after
    /// [`Blobs::make_durable`].
    ///
    /// # Errors
    /// Returns an error if the disk fails or the limit on total bytes would be exceeded.
    pub fn put(
        &mut self,
        directory: &dyn Directory,
        bytes: &[u8],
        values: &mut Values,
    ) -> Result<Vec<Segment>, StorageError> {
        let slices = split_body(bytes).into_iter().filter(|slice| !slice.is_empty());
        slices.map(|slice| self.put_slice(directory, slice, values)).collect()
    }

    /// Makes all blobs durable that [`Blobs::put`] has written.
    ///
    /// # Errors
    /// Returns an error if the disk fails; the new blobs are then written again by the next [`Blobs::put`].
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

    fn put_slice(
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

    /// Joins segments into the original bytes. A referenced blob of an earlier process is durable already, because that process
    /// made it so before it stored the reference.
    ///
    /// # Errors
    /// Returns an error if a value or blob is missing or damaged, or if the disk fails.
    pub fn assemble(
        &mut self,
        directory: &dyn Directory,
        segments: &[Segment],
        values: &Values,
    ) -> Result<Vec<u8>, StorageError> {
        let mut bytes = Vec::new();
        for segment in segments {
            match segment {
                Segment::Inline(slice) => bytes.extend_from_slice(slice),
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

    /// Removes all blobs that are not referenced. One that cannot be removed, or reappears after a power loss, is removed by
    /// [`Blobs::remove_unreferenced`].
    pub fn retain(&mut self, referenced: &BTreeSet<Digest>, directory: &dyn Directory) {
        self.known.retain(|digest, _| {
            referenced.contains(digest) || {
                if let Err(error) = directory.remove(&file_name(digest)) {
                    log::warn!("storage: {}: {error}; it will be removed later", file_name(digest));
                }
                false
            }
        });
    }

    /// Removes all blob files that are not referenced, including those left by earlier processes.
    ///
    /// # Errors
    /// Returns an error if the disk fails.
    pub fn remove_unreferenced(
        &mut self,
        referenced: &BTreeSet<Digest>,
        directory: &dyn Directory,
    ) -> io::Result<()> {
        let referenced_names: BTreeSet<String> = referenced.iter().map(file_name).collect();
        for (name, _) in directory.list()? {
            if name.starts_with(PREFIX) && !referenced_names.contains(&name) {
                directory.remove(&name)?;
            }
        }
        self.known.retain(|digest, _| referenced.contains(digest));
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
        // An incomplete file would only use space.
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

/// Splits an encoded command or state into the bytes before the configuration that it contains, the configuration, and the
/// bytes after it.
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
