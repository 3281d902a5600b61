//! The few operations that storage needs of a disk, so that a test can stand in for one: files in one directory, and
//! their names.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

/// One directory. Names that were created, renamed or removed last once the directory was synced.
pub trait Directory: Debug + Send + Sync {
    /// Names of files and their lengths in bytes.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// A file's bytes.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Opens a file; `truncate`: it is created if it is not there, and empty in any case.
    fn open(&self, name: &str, truncate: bool) -> io::Result<Arc<dyn DataFile>>;
    /// Removes a name.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Renames a file.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes the names durable.
    fn sync(&self) -> io::Result<()>;
}

/// An open file. What was written or isolated lasts once the file was synced.
pub trait DataFile: Debug + Send + Sync {
    /// Its length in bytes.
    fn len(&self) -> io::Result<u64>;
    /// Reads exactly as many bytes as `out` has.
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()>;
    /// Writes all bytes.
    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Cuts it off or extends it.
    fn set_len(&self, length: u64) -> io::Result<()>;
    /// Makes its bytes durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the operating system's.
#[derive(Debug)]
pub struct SystemDirectory(PathBuf);

impl SystemDirectory {
    /// The directory is created if it is not there.
    ///
    /// # Errors
    /// It can neither be found nor created.
    pub fn new(path: PathBuf) -> io::Result<Self> {
        std::fs::create_dir_all(&path)?;
        Ok(SystemDirectory(path))
    }
}

impl Directory for SystemDirectory {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.0)? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            if let Some(name) = entry.file_name().to_str().filter(|_| metadata.is_file()) {
                files.push((name.to_string(), metadata.len()));
            }
        }
        Ok(files)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.0.join(name))
    }

    fn open(&self, name: &str, truncate: bool) -> io::Result<Arc<dyn DataFile>> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(truncate).truncate(truncate);
        Ok(Arc::new(options.open(self.0.join(name))?))
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

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.read_exact_at(out, offset)
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        File::set_len(self, length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
