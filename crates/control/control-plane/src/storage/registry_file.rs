//! The registry for the next start: soft state, in two files by turns, so that one of them is whole whenever power is lost.

use super::directory::{DataFile, Directory};
use registry::Heartbeat;
use sha2::{Digest, Sha256};
use std::io;
use std::sync::Arc;

/// The most that one of the two files takes, in bytes; a registry that takes more is not saved.
pub const MAX_BYTES: usize = 2 << 20;
const FILE_NAMES: [&str; 2] = ["cell-a", "cell-b"];
const DIGEST_BYTES: usize = 32;

/// The two files.
#[derive(Debug, Default)]
pub struct RegistryFile {
    /// Rises with each write; the file of the higher one is the later.
    generation: u64,
    /// Which of the two is written next.
    next: usize,
    /// The file that was written and is not synced yet.
    unsynced: Option<Arc<dyn DataFile>>,
    /// How often this process has synced.
    sync_count: usize,
}

impl RegistryFile {
    /// What was saved last. What cannot be read is learnt from heartbeats.
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

    /// Writes the registry, not synced: over what was written last if that is not synced yet.
    ///
    /// # Errors
    /// The disk refuses, or the registry is too long.
    pub fn write(&mut self, directory: &dyn Directory, heartbeats: &[Heartbeat]) -> io::Result<()> {
        let contents = rmp_serde::to_vec(&(self.generation + 1, heartbeats))
            .expect("a heartbeat has no value that cannot be encoded");
        if DIGEST_BYTES + contents.len() > MAX_BYTES {
            let reason = "more backends than are saved";
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

    /// Syncs what was written last, if that is not done yet.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn sync(&mut self, directory: &dyn Directory) -> io::Result<()> {
        let Some(file) = self.unsynced.take() else { return Ok(()) };
        file.sync()?;
        self.next = 1 - self.next;
        self.sync_count += 1;
        // Each name is new the first time.
        if self.sync_count <= FILE_NAMES.len() {
            directory.sync()?;
        }
        Ok(())
    }
}

/// One file's generation and registry, if it is whole.
fn read_file(directory: &dyn Directory, name: &str) -> Option<(u64, Vec<Heartbeat>)> {
    let bytes = directory.read(name).ok().filter(|bytes| bytes.len() <= MAX_BYTES)?;
    let (digest, contents) = bytes.split_at_checked(DIGEST_BYTES)?;
    let is_whole = *digest == Sha256::digest(contents)[..];
    is_whole.then(|| rmp_serde::from_slice(contents).ok())?
}
