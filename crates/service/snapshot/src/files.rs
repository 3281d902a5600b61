//! Writes a snapshot to a disk and reads it back. Each write goes to a temporary file, which is synced and renamed, and
//! then the directory is synced: after a power failure the file is the complete previous snapshot or the complete new
//! one.

use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Name of the snapshot file.
pub const FILE_NAME: &str = "granitethread.snapshot";
const NEW_FILE_NAME: &str = "granitethread.snapshot.new";
/// Name of the snapshot file until the process that loaded it has shown that it survives with that state.
pub const TRIED_FILE_NAME: &str = "granitethread.snapshot.tried";

/// File operations on one directory.
pub trait Disk {
    /// # Errors
    /// Returns the error of the operating system, as do the methods below.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Reads at most `max_bytes` bytes. Returns none if there is no such file.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Saves these bytes for the next process.
///
/// # Errors
/// Returns the error of the disk; the previous snapshot is then still in place.
pub fn save(disk: &mut impl Disk, bytes: &[u8]) -> io::Result<()> {
    if planted!(WrittenInPlace) {
        disk.write(FILE_NAME, bytes)?;
        return disk.sync(FILE_NAME);
    }
    disk.write(NEW_FILE_NAME, bytes)?;
    if !planted!(RenamedBeforeSync) {
        disk.sync(NEW_FILE_NAME)?;
    }
    disk.rename(NEW_FILE_NAME, FILE_NAME)?;
    if planted!(FolderNotSynced) {
        return Ok(());
    }
    disk.sync_directory()
}

/// Loads the snapshot of an earlier process and moves it aside, so that a process that crashes because of it does not
/// load it again.
///
/// # Errors
/// Returns the error of the disk.
pub fn load(disk: &mut impl Disk) -> io::Result<Option<Vec<u8>>> {
    let Some(bytes) = disk.read(FILE_NAME, crate::MAX_BYTES + 1)? else { return Ok(None) };
    if !planted!(TriedAgain) {
        disk.rename(FILE_NAME, TRIED_FILE_NAME)?;
    }
    Ok(Some(bytes))
}

/// Confirms that the process survives with the snapshot that it loaded: it is moved back unless a newer one exists.
///
/// # Errors
/// Returns the error of the disk.
pub fn confirm(disk: &mut impl Disk) -> io::Result<()> {
    if disk.read(FILE_NAME, 0)?.is_some() {
        return disk.remove(TRIED_FILE_NAME);
    }
    match disk.rename(TRIED_FILE_NAME, FILE_NAME) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    }
}

/// A directory of the file system.
pub struct Directory(PathBuf);

impl Directory {
    /// Opens a directory and checks that files can be written to it.
    ///
    /// # Errors
    /// Fails if the path does not exist, is not a directory, or is not writable.
    pub fn open(path: &Path) -> io::Result<Self> {
        let probe = path.join("granitethread.snapshot.probe");
        File::create(&probe)?;
        std::fs::remove_file(probe)?;
        Ok(Directory(path.to_path_buf()))
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Disk for Directory {
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.0.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let mut bytes = Vec::new();
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.0.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }
}
