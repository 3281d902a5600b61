//! The few things that are asked of a disk, so that a test can stand in for one: files in one folder, and their names.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

/// One folder. Names made, renamed or removed are sure to be so only once the folder was synced.
pub trait Directory: Debug + Send + Sync {
    /// Files: names and lengths in bytes.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// `new`: made if it is not there, empty in any case.
    fn open(&self, name: &str, new: bool) -> io::Result<Arc<dyn DataFile>>;
    fn remove(&self, name: &str) -> io::Result<()>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn sync(&self) -> io::Result<()>;
}

/// An open file. What was written or cut off is sure to be so only once the file was synced.
pub trait DataFile: Debug + Send + Sync {
    fn len(&self) -> io::Result<u64>;
    fn read(&self, at: u64, out: &mut [u8]) -> io::Result<()>;
    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()>;
    fn set_len(&self, len: u64) -> io::Result<()>;
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the system's.
#[derive(Debug)]
pub struct SystemDirectory(PathBuf);

impl SystemDirectory {
    /// The folder is made if it is not there.
    ///
    /// # Errors
    /// It can neither be found nor made.
    pub fn new(path: PathBuf) -> io::Result<Self> {
        std::fs::create_dir_all(&path)?;
        Ok(SystemDirectory(path))
    }
}

impl Directory for SystemDirectory {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.0)? {
            let entry = entry?;
            let facts = entry.metadata()?;
            if let Some(name) = entry.file_name().to_str().filter(|_| facts.is_file()) {
                all.push((name.to_string(), facts.len()));
            }
        }
        Ok(all)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.0.join(name))
    }

    fn open(&self, name: &str, new: bool) -> io::Result<Arc<dyn DataFile>> {
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create(new).truncate(new).open(self.0.join(name))?;
        Ok(Arc::new(file))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

impl DataFile for File {
    fn len(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read(&self, at: u64, out: &mut [u8]) -> io::Result<()> {
        self.read_exact_at(out, at)
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, at)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        File::set_len(self, len)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
