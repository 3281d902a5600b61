//! The cell's lives, for the next start: soft, in two files by turns, so that one of them is whole whenever power is lost.

use super::folder::{Data, Folder};
use registry::Fact;
use sha2::{Digest, Sha256};
use std::io;
use std::sync::Arc;

/// The most that one of the two files takes, in bytes; lives that take more are not kept.
pub const MOST: usize = 2 << 20;
const NAMES: [&str; 2] = ["cell-a", "cell-b"];
const MARK: usize = 32;

/// What is kept of the cell.
#[derive(Debug, Default)]
pub struct Kept {
    written: u64,
    /// Which of the two is written next.
    next: usize,
    /// Written, not synced yet.
    open: Option<Arc<dyn Data>>,
    /// Times it was synced by this process.
    synced: usize,
}

impl Kept {
    /// What was kept last. What cannot be read is heard anew.
    pub fn read(folder: &dyn Folder) -> (Kept, Vec<Fact>) {
        let one = |name: &&str| {
            let bytes = folder.read(name).ok().filter(|b| b.len() <= MOST)?;
            let (mark, rest) = bytes.split_at_checked(MARK)?;
            let whole = *mark == Sha256::digest(rest)[..];
            whole.then(|| rmp_serde::from_slice::<(u64, Vec<Fact>)>(rest).ok())?
        };
        let mut found: Vec<_> = NAMES.iter().map(one).enumerate().collect();
        found.sort_by_key(|(_, one)| one.as_ref().map_or(0, |o| o.0));
        match found.pop() {
            Some((at, Some((written, facts)))) => (Kept { written, next: 1 - at, ..Kept::default() }, facts),
            _ => (Kept::default(), Vec::new()),
        }
    }

    /// Writes them, not synced: where what was written last and is not synced yet stands.
    ///
    /// # Errors
    /// The disk refuses, or they are too long.
    pub fn write(&mut self, folder: &dyn Folder, facts: &[Fact]) -> io::Result<()> {
        let rest = rmp_serde::to_vec(&(self.written + 1, facts)).expect("it can be written");
        if MARK + rest.len() > MOST {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "more lives than are kept"));
        }
        let mut bytes = Sha256::digest(&rest).to_vec();
        bytes.extend(rest);
        let file = folder.open(NAMES[self.next], true)?;
        file.write(0, &bytes)?;
        self.written += 1;
        self.open = Some(file);
        Ok(())
    }

    /// Syncs what was written last, if that is to be done.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn sync(&mut self, folder: &dyn Folder) -> io::Result<()> {
        let Some(file) = self.open.take() else { return Ok(()) };
        file.sync()?;
        self.next = 1 - self.next;
        self.synced += 1;
        // Their names are new at the first time each.
        if self.synced <= NAMES.len() {
            folder.sync()?;
        }
        Ok(())
    }
}
