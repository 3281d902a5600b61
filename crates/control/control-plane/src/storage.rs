//! What this node has on its disk: its id, and what consensus persists, in bytes that are bounded whatever comes. One thread
//! writes and waits for the disk; nobody else does. `docs/design/disk.md` says why it holds.

mod blobs;
mod database_file;
pub(crate) mod directory;
#[cfg(test)]
pub(crate) mod fake_disk;
mod generation;
#[cfg(test)]
mod golden_tests;
mod registry_file;
#[cfg(test)]
mod role_directory_tests;
pub(crate) mod store;
mod stored_log;
#[cfg(test)]
mod tests;

use consensus::PersistedState;
use control_node::StorageRequest;
use directory::{Directory, SystemDirectory};
use displaydoc::Display;
use process::settings::Settings;
use registry::Heartbeat;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::Store;
use tokio::sync::oneshot;

/// The store's own directory in the data directory.
const STORE_DIRECTORY: &str = "agreement";
/// The same of an earlier format, which is not read.
const LEGACY_STORE_DIRECTORY: &str = "prompter";
/// A disk that refuses to be read is tried again this often.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// A warning is logged with each so many tries.
const RETRIES_PER_WARNING: u32 = 32;

/// What is wrong with storage.
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
    /// the storage thread has ended
    ThreadEnded,
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StorageError::Io(_, error) => Some(error),
            StorageError::Store(_, error) => Some(error.as_ref()),
            StorageError::Random(error) => Some(error),
            StorageError::Damaged(_)
            | StorageError::SizeLimit
            | StorageError::PreviousFailure
            | StorageError::ThreadEnded => None,
        }
    }
}

impl StorageError {
    /// Something that was done to the directory itself.
    fn of_directory(error: io::Error) -> Self {
        StorageError::Io("the store's directory".into(), error)
    }
}

enum StorageCommand {
    Request(StorageRequest, oneshot::Sender<Result<(), StorageError>>),
    /// The registry is to be saved for the next start: not synced by itself.
    SaveRegistry,
}

/// A handle to the thread that writes; without a disk there is none, and nothing is kept.
#[derive(Clone)]
pub struct StorageHandle(Option<StorageThread>);

#[derive(Clone)]
struct StorageThread {
    commands: mpsc::Sender<StorageCommand>,
    /// The latest registry to be saved.
    latest_registry: LatestRegistry,
}

/// The latest registry to be saved, until the thread takes it.
#[derive(Clone, Default)]
struct LatestRegistry(Arc<Mutex<Option<Vec<Heartbeat>>>>);

impl LatestRegistry {
    fn lock(&self) -> MutexGuard<'_, Option<Vec<Heartbeat>>> {
        // It is whole even if a thread has panicked over it.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a disk holds at the start.
#[derive(Debug)]
pub struct LoadedState {
    /// The disk's own id.
    pub disk_id: u64,
    /// What consensus persisted.
    pub stored: PersistedState,
    /// Backends as they were known last, maybe long ago.
    pub heartbeats: Vec<Heartbeat>,
}

/// What comes of a request: waits for the disk.
pub type Completion = oneshot::Receiver<Result<(), StorageError>>;

impl StorageHandle {
    /// No disk: such a node has no vote, and another id at each start.
    ///
    /// # Errors
    /// No random numbers are to be had.
    pub fn without_disk() -> Result<(StorageHandle, LoadedState), StorageError> {
        let loaded =
            LoadedState { disk_id: random_id()?, stored: PersistedState::default(), heartbeats: Vec::new() };
        Ok((StorageHandle(None), loaded))
    }

    /// Reads what is there; nothing is written before [`StorageRequest::Full`]. An empty directory gets a new id, and so does
    /// one that is damaged, of another format or another node's: that is a lost disk. One that refuses to be read is tried
    /// again until it does not.
    ///
    /// # Errors
    /// There is no thread or no random number to be had.
    pub async fn open(
        data_directory: &Path,
        name: &str,
    ) -> Result<(StorageHandle, LoadedState), StorageError> {
        let legacy = data_directory.join(LEGACY_STORE_DIRECTORY);
        let (data_directory, name) = (data_directory.to_path_buf(), name.to_string());
        StorageHandle::spawn(move || open_with_retries(&data_directory, &name), legacy).await
    }

    /// Starts the thread. `legacy`: where a store of an earlier format may be.
    pub(crate) async fn spawn(
        open: impl FnOnce() -> Result<(Store, LoadedState), StorageError> + Send + 'static,
        legacy: PathBuf,
    ) -> Result<(StorageHandle, LoadedState), StorageError> {
        let (sender, commands) = mpsc::channel();
        let (send_loaded, loaded) = oneshot::channel();
        let latest_registry = LatestRegistry::default();
        let thread = StorageThread { commands: sender, latest_registry: latest_registry.clone() };
        let run = move || match open() {
            Ok((store, loaded)) => {
                // Nobody waits for it any more if the process ends.
                let _ = send_loaded.send(Ok(loaded));
                serve(store, &commands, &latest_registry, legacy);
            }
            Err(error) => drop(send_loaded.send(Err(error))),
        };
        let spawned = std::thread::Builder::new().name("storage".into()).spawn(run);
        spawned.map_err(|error| StorageError::Io("the storage thread".into(), error))?;
        let loaded = loaded.await.map_err(|_| StorageError::ThreadEnded)??;
        Ok((StorageHandle(Some(thread)), loaded))
    }

    /// Has something written.
    pub fn request(&self, request: StorageRequest) -> Completion {
        let (sender, completion) = oneshot::channel();
        match &self.0 {
            // If the thread has ended, `sender` is dropped with the command, and whoever waits learns that.
            Some(thread) => drop(thread.commands.send(StorageCommand::Request(request, sender))),
            None => drop(sender.send(Ok(()))),
        }
        completion
    }

    /// Saves the registry for the next start, some time.
    pub fn save_registry(&self, heartbeats: Vec<Heartbeat>) {
        let Some(thread) = &self.0 else { return };
        let is_waiting = thread.latest_registry.lock().replace(heartbeats).is_some();
        if !is_waiting {
            // If the thread has ended, the next request tells.
            let _ = thread.commands.send(StorageCommand::SaveRegistry);
        }
    }
}

/// Carries out commands until nobody is left to send any.
fn serve(
    mut store: Store,
    commands: &mpsc::Receiver<StorageCommand>,
    latest_registry: &LatestRegistry,
    legacy: PathBuf,
) {
    let mut legacy = Some(legacy).filter(|legacy| legacy.exists());
    for command in commands {
        match command {
            StorageCommand::Request(StorageRequest::Append { changes, commit_index }, completed) => {
                drop(completed.send(store.save(&changes, commit_index)));
            }
            StorageCommand::Request(StorageRequest::Full(stored), completed) => {
                let saved = store.save_full(&stored);
                if let Some(legacy) = legacy.take_if(|_| saved.is_ok()) {
                    remove_legacy_store(&legacy);
                }
                drop(completed.send(saved));
            }
            StorageCommand::SaveRegistry => {
                let heartbeats = latest_registry.lock().take();
                store.write_registry(&heartbeats.unwrap_or_default());
            }
        }
        store.sync_registry();
    }
}

/// Tries until the disk can be read.
fn open_with_retries(data_directory: &Path, name: &str) -> Result<(Store, LoadedState), StorageError> {
    if data_directory.join(LEGACY_STORE_DIRECTORY).exists() {
        log::warn!("storage: a store of an earlier format is not read: as with a lost disk");
    }
    let mut tries = 0_u32;
    loop {
        let error = match open(data_directory, name) {
            Err(error @ StorageError::Random(_)) => return Err(error),
            Err(error) => error,
            opened => return opened,
        };
        if tries.is_multiple_of(RETRIES_PER_WARNING) {
            log::warn!("storage: {error}; retrying until it can be read");
        }
        tries += 1;
        std::thread::sleep(RETRY_INTERVAL);
    }
}

fn open(data_directory: &Path, name: &str) -> Result<(Store, LoadedState), StorageError> {
    let path = data_directory.join(STORE_DIRECTORY);
    let directory = SystemDirectory::new(path.clone())
        .map_err(|error| StorageError::Io(path.display().to_string(), error))?;
    Store::open(Arc::new(directory) as Arc<dyn Directory>, name, random_id()?)
}

fn remove_legacy_store(path: &Path) {
    match std::fs::remove_dir_all(path) {
        Ok(()) => log::warn!("storage: the store of an earlier format was removed"),
        Err(error) => log::warn!("storage: {}: {error}; it stays", path.display()),
    }
}

/// The line to log if a data directory is empty though this is not the first start of the system: the node then begins no
/// log, and has no vote until the others have replaced its old disk's id.
pub fn empty_directory_warning(settings: &Settings, stored: &PersistedState) -> Option<String> {
    let data_directory = settings.identity.data_directory.as_ref()?;
    let is_empty = stored.term == 0 && stored.snapshot.index == 0;
    (is_empty && !settings.identity.initial_start).then(|| {
        format!(
            "storage: {} holds no log though the system has started before: as with a lost disk, this node waits for a \
             vote; was the directory to be moved (docs/operate/upgrade.md)?",
            data_directory.display()
        )
    })
}

fn random_id() -> Result<u64, StorageError> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(StorageError::Random)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}
