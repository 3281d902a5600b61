//! The file-system operations that storage needs: files in one directory. They are traits so that tests can use a fake disk.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

/// One directory. Creating, renaming or removing a name is durable once the directory has been synced.
pub trait Directory: Debug + Send + Sync {
    /// Returns the names of the files and their lengths in bytes.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Opens a file. With `truncate`, creates the file if it does not exist and truncates it otherwise.
    fn open(&self, name: &str, truncate: bool) -> io::Result<Arc<dyn DataFile>>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Renames a file.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes changes of names durable.
    fn sync(&self) -> io::Result<()>;
}

/// An open file. Writes and changes of the length are durable once the file has been synced.
pub trait DataFile: Debug + Send + Sync {
    /// Returns the length in bytes.
    fn len(&self) -> io::Result<u64>;
    /// Fills `out` with the bytes from `offset` on.
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()>;
    /// Writes all `bytes` at `offset`.
    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Truncates or extends the file.
    fn set_len(&self, length: u64) -> io::Result<()>;
    /// Makes the contents and the length durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the operating system.
#[derive(Debug)]
pub struct SystemDirectory(PathBuf);

impl SystemDirectory {
    /// Creates the directory if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the directory does not exist and cannot be created.
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
