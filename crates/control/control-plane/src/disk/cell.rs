//! The cell's lives, for the next start: soft, in two files by turns, so that one of them is whole whenever power is lost.

use super::folder::{DataFile, Directory};
use registry::Heartbeat;
use sha2::{Digest, Sha256};
use std::io;
use std::sync::Arc;

/// The most that one of the two files takes, in bytes; lives that take more are not kept.
pub const MAX_BYTES: usize = 2 << 20;
const FILE_NAMES: [&str; 2] = ["cell-a", "cell-b"];
const DIGEST_BYTES: usize = 32;

/// What is kept of the cell.
#[derive(Debug, Default)]
pub struct RegistryFile {
    generation: u64,
    /// Which of the two is written next.
    next: usize,
    /// Written, not synced yet.
    unsynced: Option<Arc<dyn DataFile>>,
    /// Times it was synced by this process.
    sync_count: usize,
}

impl RegistryFile {
    /// What was kept last. What cannot be read is heard anew.
    pub fn read(folder: &dyn Directory) -> (RegistryFile, Vec<Heartbeat>) {
        let one = |name: &&str| {
            let bytes = folder.read(name).ok().filter(|b| b.len() <= MAX_BYTES)?;
            let (mark, rest) = bytes.split_at_checked(DIGEST_BYTES)?;
            let whole = *mark == Sha256::digest(rest)[..];
            whole.then(|| rmp_serde::from_slice::<(u64, Vec<Heartbeat>)>(rest).ok())?
        };
        let mut found: Vec<_> = FILE_NAMES.iter().map(one).enumerate().collect();
        found.sort_by_key(|(_, one)| one.as_ref().map_or(0, |o| o.0));
        match found.pop() {
            Some((at, Some((written, facts)))) => {
                (RegistryFile { generation: written, next: 1 - at, ..RegistryFile::default() }, facts)
            }
            _ => (RegistryFile::default(), Vec::new()),
        }
    }

    /// Writes them, not synced: where what was written last and is not synced yet stands.
    ///
    /// # Errors
    /// The disk refuses, or they are too long.
    pub fn write(&mut self, folder: &dyn Directory, facts: &[Heartbeat]) -> io::Result<()> {
        let rest = rmp_serde::to_vec(&(self.generation + 1, facts)).expect("it can be written");
        if DIGEST_BYTES + rest.len() > MAX_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "more lives than are kept"));
        }
        let mut bytes = Sha256::digest(&rest).to_vec();
        bytes.extend(rest);
        let file = folder.open(FILE_NAMES[self.next], true)?;
        file.write(0, &bytes)?;
        self.generation += 1;
        self.unsynced = Some(file);
        Ok(())
    }

    /// Syncs what was written last, if that is to be done.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn sync(&mut self, folder: &dyn Directory) -> io::Result<()> {
        let Some(file) = self.unsynced.take() else { return Ok(()) };
        file.sync()?;
        self.next = 1 - self.next;
        self.sync_count += 1;
        // Their names are new at the first time each.
        if self.sync_count <= FILE_NAMES.len() {
            folder.sync()?;
        }
        Ok(())
    }
}
