//! Storage backends for `redb`: a file with a size limit, and an in-memory copy of a file.

use super::directory::DataFile;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

/// Size limit of a generation file, in bytes. It holds the snapshot, the entries after it and the values that these refer to.
/// The leader's limits on the bytes of applied and uncommitted entries add up to less than half of this.
pub const MAX_BYTES: u64 = 5 << 20;

/// A file of at most [`MAX_BYTES`]. After a change of the length the file is synced before anything is written to the new part.
#[derive(Debug)]
pub struct BoundedFile(pub Arc<dyn DataFile>);

impl StorageBackend for BoundedFile {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        if length > MAX_BYTES {
            let reason = "the file would grow longer than its limit";
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, reason));
        }
        self.0.set_len(length)?;
        self.0.sync()
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

/// An in-memory copy of a file, so that `redb` cannot modify the file itself.
#[derive(Debug)]
pub struct MemoryCopy(Mutex<Vec<u8>>);

impl MemoryCopy {
    /// Wraps a copy of the file's bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        MemoryCopy(Mutex::new(bytes))
    }

    fn with<T>(&self, operation: impl FnOnce(&mut Vec<u8>) -> Option<T>) -> io::Result<T> {
        // The bytes are usable even if a thread panicked while holding the lock.
        let mut bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        operation(&mut bytes).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

impl StorageBackend for MemoryCopy {
    fn len(&self) -> io::Result<u64> {
        self.with(|bytes| Some(bytes.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.with(|bytes| {
            let from = usize::try_from(offset).ok()?;
            out.copy_from_slice(bytes.get(from..from.checked_add(out.len())?)?);
            Some(())
        })
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.with(|bytes| {
            // A damaged file may cause a request for any length.
            let length = usize::try_from(length).ok().filter(|length| *length as u64 <= 2 * MAX_BYTES)?;
            bytes.resize(length, 0);
            Some(())
        })
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.with(|bytes| {
            let from = usize::try_from(offset).ok()?;
            bytes.get_mut(from..from.checked_add(data.len())?)?.copy_from_slice(data);
            Some(())
        })
    }
}
