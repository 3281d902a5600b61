//! The registry as saved for the next start. This is soft state, written to two files alternately, so that one of them is
//! intact whenever power is lost.

use super::directory::{DataFile, Directory};
use registry::Heartbeat;
use sha2::{Digest, Sha256};
use std::io;
use std::sync::Arc;

/// Size limit of each of the two files, in bytes; a larger registry is not saved.
pub const MAX_BYTES: usize = 2 << 20;
const FILE_NAMES: [&str; 2] = ["cell-a", "cell-b"];
const DIGEST_BYTES: usize = 32;

/// The two files.
#[derive(Debug, Default)]
pub struct RegistryFile {
    /// Incremented by each write; the file with the higher generation is the newer one.
    generation: u64,
    /// Index of the file that is written next.
    next: usize,
    /// The file that has been written but not synced.
    unsynced: Option<Arc<dyn DataFile>>,
    /// Number of syncs by this process.
    sync_count: usize,
}

impl RegistryFile {
    /// Reads the registry that was saved last. Heartbeats will supply whatever cannot be read.
    pub fn read(directory: &dyn Directory) -> (RegistryFile, Vec<Heartbeat>) {
        let mut found: Vec<_> =
            FILE_NAMES.iter().map(|name| read_file(directory, name)).enumerate().collect();
        found.sort_by_key(|(_, contents)| contents.as_ref().map_or(0, |(generation, _)| *generation));
        match found.pop() {
            Some((n, Some((generation, heartbeats)))) => {
                (RegistryFile { generation, next: 1 - n, ..RegistryFile::default() }, heartbeats)
            }
            _ => (RegistryFile::default(), Vec::new()),
        }
    }

    /// Writes the registry without a sync; overwrites the last written file if that has not been synced yet.
    ///
    /// # Errors
    /// Returns an error if the disk fails or the registry is too large.
    pub fn write(&mut self, directory: &dyn Directory, heartbeats: &[Heartbeat]) -> io::Result<()> {
        let contents = rmp_serde::to_vec(&(self.generation + 1, heartbeats))
            .expect("a heartbeat has no value that cannot be encoded");
        if DIGEST_BYTES + contents.len() > MAX_BYTES {
            let reason = "the registry exceeds the size limit";
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, reason));
        }
        let mut bytes = Sha256::digest(&contents).to_vec();
        bytes.extend(contents);
        let file = directory.open(FILE_NAMES[self.next], true)?;
        file.write(0, &bytes)?;
        self.generation += 1;
        self.unsynced = Some(file);
        Ok(())
    }

    /// Syncs the last written file, if it has not been synced yet.
    ///
    /// # Errors
    /// Returns an error if the disk fails.
    pub fn sync(&mut self, directory: &dyn Directory) -> io::Result<()> {
        let Some(file) = self.unsynced.take() else { return Ok(()) };
        file.sync()?;
        self.next = 1 - self.next;
        self.sync_count += 1;
        // The first sync of each file may have created its name.
        if self.sync_count <= FILE_NAMES.len() {
            directory.sync()?;
        }
        Ok(())
    }
}

/// Reads one file's generation and registry, if the file is intact.
fn read_file(directory: &dyn Directory, name: &str) -> Option<(u64, Vec<Heartbeat>)> {
    let bytes = directory.read(name).ok().filter(|bytes| bytes.len() <= MAX_BYTES)?;
    let (digest, contents) = bytes.split_at_checked(DIGEST_BYTES)?;
    let is_intact = *digest == Sha256::digest(contents)[..];
    is_intact.then(|| rmp_serde::from_slice(contents).ok())?
}
