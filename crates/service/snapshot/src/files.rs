//! How a snapshot gets onto a disk, and back. Under its name lies the one before or the new one, whole, whenever the power
//! goes: written beside, synced, renamed, the folder synced.

use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The name of the snapshot's file.
pub const NAME: &str = "granitethread.snapshot";
const NEW: &str = "granitethread.snapshot.new";
/// Under this name while the process that reads it has not yet shown that it lives on with it.
pub const TRIED: &str = "granitethread.snapshot.tried";

/// What is done to a folder.
pub trait Disk {
    /// # Errors
    /// What the system says; the same below.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
    /// None if there is none; so many bytes at the most.
    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Leaves these bytes for the next process.
///
/// # Errors
/// What the disk says: then the one before still lies there.
pub fn save(disk: &mut impl Disk, bytes: &[u8]) -> io::Result<()> {
    if planted!(WrittenInPlace) {
        disk.write(NAME, bytes)?;
        return disk.sync(NAME);
    }
    disk.write(NEW, bytes)?;
    if !planted!(RenamedBeforeSync) {
        disk.sync(NEW)?;
    }
    disk.rename(NEW, NAME)?;
    if planted!(FolderNotSynced) {
        return Ok(());
    }
    disk.sync_folder()
}

/// What an earlier process left. It is set aside while it is used: a process that dies of it finds nothing the next time.
///
/// # Errors
/// What the disk says.
pub fn load(disk: &mut impl Disk) -> io::Result<Option<Vec<u8>>> {
    let Some(bytes) = disk.read(NAME, crate::MOST_BYTES + 1)? else { return Ok(None) };
    if !planted!(TriedAgain) {
        disk.rename(NAME, TRIED)?;
    }
    Ok(Some(bytes))
}

/// The process lives on with what it read: it may be read again, if nothing newer lies there.
///
/// # Errors
/// What the disk says.
pub fn keep(disk: &mut impl Disk) -> io::Result<()> {
    if disk.read(NAME, 0)?.is_some() {
        return disk.remove(TRIED);
    }
    match disk.rename(TRIED, NAME) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        done => done,
    }
}

/// A folder of the system's.
pub struct Folder(PathBuf);

impl Folder {
    /// # Errors
    /// If it is not there, is no folder, or can't be written to.
    pub fn open(path: &Path) -> io::Result<Self> {
        let probe = path.join("granitethread.snapshot.probe");
        File::create(&probe)?;
        std::fs::remove_file(probe)?;
        Ok(Folder(path.to_path_buf()))
    }

    /// The snapshot's path in a directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Disk for Folder {
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.0.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let mut bytes = Vec::new();
        file.take(most as u64).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.0.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }
}
