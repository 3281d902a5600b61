//! What `redb` reads and writes: a file that is bounded, and a copy of one in memory.

use super::directory::DataFile;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

/// The most that a generation file takes, in bytes: the entries behind the snapshot and the values that they refer to, which
/// the leader bounds to half of it.
pub const MAX_BYTES: u64 = 5 << 20;

/// A file that takes [`MAX_BYTES`] and no more. A longer file is synced before anything is written there.
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
            let reason = "it would be longer than its bound";
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

/// A copy of a file: whatever `redb` does to it, the file stays as it is.
#[derive(Debug)]
pub struct MemoryCopy(Mutex<Vec<u8>>);

impl MemoryCopy {
    /// A copy of these bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        MemoryCopy(Mutex::new(bytes))
    }

    fn with<T>(&self, act: impl FnOnce(&mut Vec<u8>) -> Option<T>) -> io::Result<T> {
        // It is whole even if a thread has panicked over it.
        let mut bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut bytes).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
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
            // A damaged file may ask for anything.
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
