//! What this prompter has on its disk: its id, and what the agreement saves, in bytes that are bounded whatever comes. One thread
//! writes and waits for the disk; nobody else does. `docs/design/disk.md` says why it holds.

mod blobs;
mod cell;
pub(crate) mod folder;
mod generation;
#[cfg(test)]
mod golden_tests;
#[cfg(test)]
pub(crate) mod stand_in;
pub(crate) mod storage;
#[cfg(test)]
mod tests;

use consensus::PersistedState;
use control_node::StorageRequest;
use displaydoc::Display;
use folder::{Directory, SystemDirectory};
use registry::Heartbeat;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::time::Duration;
use storage::Store;
use tokio::sync::oneshot;

/// Our own in the folder that we are given.
const STORE_DIRECTORY: &str = "agreement";
/// The same of an earlier form, which is not read.
const LEGACY_STORE_DIRECTORY: &str = "prompter";
/// A disk that refuses to be read is asked again so often.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// What is wrong with a disk.
#[derive(Debug, Display)]
pub enum StorageError {
    /// {0}: {1}
    Io(String, io::Error),
    /// {0}: {1}
    Store(String, Box<redb::Error>),
    /// {0}
    Damaged(String),
    /// it holds as much as it may
    SizeLimit,
    /// an earlier save has failed
    PreviousFailure,
    /// no random numbers are to be had: {0}
    Random(getrandom::Error),
    /// the thread that writes to the disk has ended
    ThreadEnded,
}

enum StorageCommand {
    Request(StorageRequest, oneshot::Sender<Result<(), StorageError>>),
    /// The cell's lives are to be kept for the next start: not synced by themselves.
    SaveRegistry,
}

/// A handle to the thread that writes; without a disk there is none, and nothing is kept.
#[derive(Clone)]
pub struct StorageHandle(Option<StorageThread>);

#[derive(Clone)]
struct StorageThread {
    commands: mpsc::Sender<StorageCommand>,
    /// The latest that are to be kept.
    latest_registry: Arc<Mutex<Option<Vec<Heartbeat>>>>,
}

/// What a disk holds at the start.
#[derive(Debug)]
pub struct LoadedState {
    /// The disk's own.
    pub disk_id: u64,
    pub stored: PersistedState,
    /// Backends as they were known last, maybe long ago.
    pub heartbeats: Vec<Heartbeat>,
}

/// What comes of a work: waits for the disk.
pub type Completion = oneshot::Receiver<Result<(), StorageError>>;

impl StorageHandle {
    /// No disk: whoever has none has no vote, and another id at each start.
    ///
    /// # Errors
    /// No random numbers are to be had.
    pub fn without_disk() -> Result<(StorageHandle, LoadedState), StorageError> {
        Ok((
            StorageHandle(None),
            LoadedState { disk_id: random_id()?, stored: PersistedState::default(), heartbeats: Vec::new() },
        ))
    }

    /// Reads what is there; nothing is written before [`Work::Whole`] is asked for. An empty folder gets a new id, and so does
    /// one that makes no sense, is of another form or another prompter's: that is a lost disk. One that refuses to be read is
    /// asked again until it does not.
    ///
    /// # Errors
    /// There is no thread or no random number to be had.
    pub async fn open(folder: &Path, name: &str) -> Result<(StorageHandle, LoadedState), StorageError> {
        let (folder, name, earlier) =
            (folder.to_path_buf(), name.to_string(), folder.join(LEGACY_STORE_DIRECTORY));
        StorageHandle::spawn(move || open_with_retries(&folder, &name), earlier).await
    }

    /// The thread, with what it begins with; and where a store of an earlier form may be.
    pub(crate) async fn spawn(
        opens: impl FnOnce() -> Result<(Store, LoadedState), StorageError> + Send + 'static,
        earlier: PathBuf,
    ) -> Result<(StorageHandle, LoadedState), StorageError> {
        let (sender, asked) = mpsc::channel();
        let (tell, held) = oneshot::channel();
        let cell: Arc<Mutex<Option<Vec<Heartbeat>>>> = Arc::default();
        let thread = StorageThread { commands: sender, latest_registry: cell.clone() };
        let begun = std::thread::Builder::new().name("disk".into()).spawn(move || {
            let mut storage = match opens() {
                Ok((storage, held)) => {
                    // Whoever waited is gone when the process ends.
                    let _ = tell.send(Ok(held));
                    storage
                }
                Err(fault) => return drop(tell.send(Err(fault))),
            };
            let mut earlier = Some(earlier).filter(|e| e.exists());
            for asked in asked {
                match asked {
                    StorageCommand::Request(StorageRequest::Append(saves, agreed), done) => {
                        drop(done.send(storage.save(&saves, agreed)))
                    }
                    StorageCommand::Request(StorageRequest::Full(stored), done) => {
                        let saved = storage.save_full(&stored);
                        if let Some(earlier) = earlier.take_if(|_| saved.is_ok()) {
                            remove_legacy_store(&earlier);
                        }
                        drop(done.send(saved));
                    }
                    StorageCommand::SaveRegistry => {
                        let facts = cell.lock().unwrap_or_else(PoisonError::into_inner).take();
                        storage.write_registry(&facts.unwrap_or_default());
                    }
                }
                storage.sync_registry();
            }
        });
        begun.map_err(|e| StorageError::Io("thread".into(), e))?;
        let held = held.await.map_err(|_| StorageError::ThreadEnded)??;
        Ok((StorageHandle(Some(thread)), held))
    }

    /// Has it saved.
    pub fn request(&self, work: StorageRequest) -> Completion {
        let (done, wait) = oneshot::channel();
        match &self.0 {
            // If the thread has ended, `done` goes with what was sent, and whoever waits hears so.
            Some(thread) => drop(thread.commands.send(StorageCommand::Request(work, done))),
            None => drop(done.send(Ok(()))),
        }
        wait
    }

    /// Keeps the cell's lives for the next start, some time.
    pub fn save_registry(&self, cell: Vec<Heartbeat>) {
        let Some(thread) = &self.0 else { return };
        let waits =
            thread.latest_registry.lock().unwrap_or_else(PoisonError::into_inner).replace(cell).is_some();
        if !waits {
            // Who has lost its disk hears so with the next save.
            let _ = thread.commands.send(StorageCommand::SaveRegistry);
        }
    }
}

/// Asks until it can be read.
fn open_with_retries(folder: &Path, name: &str) -> Result<(Store, LoadedState), StorageError> {
    if folder.join(LEGACY_STORE_DIRECTORY).exists() {
        log::warn!("disk: it holds a store of an earlier form, which is not read: as with a lost disk");
    }
    let mut tries = 0_u32;
    loop {
        let path: PathBuf = folder.join(STORE_DIRECTORY);
        let opened =
            SystemDirectory::new(path.clone()).map_err(|e| StorageError::Io(path.display().to_string(), e));
        let fault =
            match opened.and_then(|d| Store::open(Arc::new(d) as Arc<dyn Directory>, name, random_id()?)) {
                Err(fault @ StorageError::Random(_)) => return Err(fault),
                Err(fault) => fault,
                done => return done,
            };
        if tries.is_multiple_of(32) {
            log::warn!("disk: {fault}; asked again until it can be read");
        }
        tries += 1;
        std::thread::sleep(RETRY_INTERVAL);
    }
}

fn remove_legacy_store(path: &Path) {
    match std::fs::remove_dir_all(path) {
        Ok(()) => log::warn!("disk: the store of an earlier form was removed"),
        Err(e) => log::warn!("disk: {}: {e}; it stays", path.display()),
    }
}

fn random_id() -> Result<u64, StorageError> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(StorageError::Random)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}
