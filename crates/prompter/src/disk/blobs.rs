//! Long runs of bytes, most of them configurations: each in a file of its own that is named by its digest, written once, however
//! many entries and snapshots name it.

use super::folder::Folder;
use super::Fault;
use promptbook::{Book, Word};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Shorter runs stand where they are.
pub const LONG: usize = 4 << 10;
/// All blobs together, in bytes: five configurations of the longest that is taken. One more is refused.
pub const MOST: u64 = 40 << 20;
const PREFIX: &str = "blob-";

pub type Digest = [u8; 32];

/// A part of what an entry or a snapshot holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    Here(#[serde(with = "serde_bytes")] Vec<u8>),
    Blob(Digest),
}

/// The blobs of one folder.
#[derive(Debug, Default)]
pub struct Blobs {
    /// Whole and synced, with their lengths.
    known: BTreeMap<Digest, u64>,
}

impl Blobs {
    /// Bytes in all.
    pub fn bytes(&self) -> u64 {
        self.known.values().sum()
    }

    /// Takes bytes apart; what is long is on the disk, synced, when this returns.
    ///
    /// # Errors
    /// The disk refuses, or there would be too many.
    pub fn put(&mut self, folder: &dyn Folder, bytes: &[u8]) -> Result<Vec<Piece>, Fault> {
        cut(bytes).into_iter().filter(|b| !b.is_empty()).map(|b| self.put_one(folder, b)).collect()
    }

    fn put_one(&mut self, folder: &dyn Folder, bytes: &[u8]) -> Result<Piece, Fault> {
        if bytes.len() < LONG {
            return Ok(Piece::Here(bytes.to_vec()));
        }
        let digest: Digest = Sha256::digest(bytes).into();
        if self.known.contains_key(&digest) {
            return Ok(Piece::Blob(digest));
        }
        if self.bytes() + bytes.len() as u64 > MOST {
            return Err(Fault::Bound);
        }
        let name = name(&digest);
        let fault = |e| Fault::Io(name.clone(), e);
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
        Ok(Piece::Blob(digest))
    }

    /// Puts together what was taken apart.
    ///
    /// # Errors
    /// A blob is missing or is not what its name says; or the disk refuses.
    pub fn get(folder: &dyn Folder, pieces: &[Piece]) -> Result<Vec<u8>, Fault> {
        let mut all = Vec::new();
        for piece in pieces {
            match piece {
                Piece::Here(bytes) => all.extend_from_slice(bytes),
                Piece::Blob(digest) => all.extend(read(folder, digest)?),
            }
        }
        Ok(all)
    }

    /// A blob of an earlier process: it may stand in the system's memory alone. Its own bytes are written over it, which harms
    /// nothing at any moment, and synced.
    ///
    /// # Errors
    /// It is not what its name says; or the disk refuses.
    pub fn renew(&mut self, folder: &dyn Folder, digest: &Digest) -> Result<(), Fault> {
        if self.known.contains_key(digest) {
            return Ok(());
        }
        let bytes = read(folder, digest)?;
        let file = folder.open(&name(digest), false);
        let done = file.and_then(|file| {
            file.write(0, &bytes)?;
            file.sync()
        });
        done.map_err(|e| Fault::Io(name(digest), e))?;
        self.known.insert(*digest, bytes.len() as u64);
        Ok(())
    }

    /// Removes all others. One that cannot be removed, or comes back after a loss of power, goes another time.
    pub fn keep_only(&mut self, wanted: &BTreeSet<Digest>, folder: &dyn Folder) {
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
    pub fn sweep(&mut self, wanted: &BTreeSet<Digest>, folder: &dyn Folder) -> io::Result<()> {
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

fn read(folder: &dyn Folder, digest: &Digest) -> Result<Vec<u8>, Fault> {
    let name = name(digest);
    match folder.read(&name) {
        Ok(bytes) if Digest::from(Sha256::digest(&bytes)) == *digest => Ok(bytes),
        Ok(_) => Err(Fault::Damaged(format!("{name} is not what its name says"))),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Err(Fault::Damaged(format!("{name} is missing"))),
        Err(e) => Err(Fault::Io(name, e)),
    }
}

/// Before the configuration that a word or a book holds, the configuration, and behind it.
fn cut(bytes: &[u8]) -> [&[u8]; 3] {
    let whole = [bytes, &[], &[]];
    if bytes.len() < LONG {
        return whole;
    }
    let body = match Word::read(bytes) {
        Some(Word::Configuration { body, .. }) => body,
        Some(_) => return whole,
        None => match Book::read(bytes).and_then(|b| b.configuration().cloned()) {
            Some(configuration) => configuration.body.clone(),
            None => return whole,
        },
    };
    let at = (0..bytes.len().saturating_sub(body.len()) + 1).find(|at| bytes[*at..].starts_with(&body));
    match at {
        Some(at) if body.len() >= LONG => {
            [&bytes[..at], &bytes[at..at + body.len()], &bytes[at + body.len()..]]
        }
        _ => whole,
    }
}
