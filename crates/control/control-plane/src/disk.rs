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

use consensus::Stored;
use control_node::Work;
use displaydoc::Display;
use folder::{Directory, Folder};
use registry::Fact;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::time::Duration;
use storage::Storage;
use tokio::sync::oneshot;

/// Our own in the folder that we are given.
const FOLDER: &str = "agreement";
/// The same of an earlier form, which is not read.
const EARLIER: &str = "prompter";
/// A disk that refuses to be read is asked again so often.
const AGAIN: Duration = Duration::from_millis(300);

/// What is wrong with a disk.
#[derive(Debug, Display)]
pub enum Fault {
    /// {0}: {1}
    Io(String, io::Error),
    /// {0}: {1}
    Store(String, Box<redb::Error>),
    /// {0}
    Damaged(String),
    /// it holds as much as it may
    Bound,
    /// an earlier save has failed
    Given,
    /// no random numbers are to be had: {0}
    Random(getrandom::Error),
    /// the thread that writes to the disk has ended
    Gone,
}

enum Asked {
    Work(Work, oneshot::Sender<Result<(), Fault>>),
    /// The cell's lives are to be kept for the next start: not synced by themselves.
    Cell,
}

/// A handle to the thread that writes; without a disk there is none, and nothing is kept.
#[derive(Clone)]
pub struct Disk(Option<Thread>);

#[derive(Clone)]
struct Thread {
    asked: mpsc::Sender<Asked>,
    /// The latest that are to be kept.
    cell: Arc<Mutex<Option<Vec<Fact>>>>,
}

/// What a disk holds at the start.
#[derive(Debug)]
pub struct Held {
    /// The disk's own.
    pub id: u64,
    pub stored: Stored,
    /// Backends as they were known last, maybe long ago.
    pub cell: Vec<Fact>,
}

/// What comes of a work: waits for the disk.
pub type Done = oneshot::Receiver<Result<(), Fault>>;

impl Disk {
    /// No disk: whoever has none has no vote, and another id at each start.
    ///
    /// # Errors
    /// No random numbers are to be had.
    pub fn none() -> Result<(Disk, Held), Fault> {
        Ok((Disk(None), Held { id: random()?, stored: Stored::default(), cell: Vec::new() }))
    }

    /// Reads what is there; nothing is written before [`Work::Whole`] is asked for. An empty folder gets a new id, and so does
    /// one that makes no sense, is of another form or another prompter's: that is a lost disk. One that refuses to be read is
    /// asked again until it does not.
    ///
    /// # Errors
    /// There is no thread or no random number to be had.
    pub async fn open(folder: &Path, name: &str) -> Result<(Disk, Held), Fault> {
        let (folder, name, earlier) = (folder.to_path_buf(), name.to_string(), folder.join(EARLIER));
        Disk::begin(move || begin(&folder, &name), earlier).await
    }

    /// The thread, with what it begins with; and where a store of an earlier form may be.
    pub(crate) async fn begin(
        opens: impl FnOnce() -> Result<(Storage, Held), Fault> + Send + 'static,
        earlier: PathBuf,
    ) -> Result<(Disk, Held), Fault> {
        let (sender, asked) = mpsc::channel();
        let (tell, held) = oneshot::channel();
        let cell: Arc<Mutex<Option<Vec<Fact>>>> = Arc::default();
        let thread = Thread { asked: sender, cell: cell.clone() };
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
                    Asked::Work(Work::Save(saves, agreed), done) => {
                        drop(done.send(storage.save(&saves, agreed)))
                    }
                    Asked::Work(Work::Whole(stored), done) => {
                        let saved = storage.whole(&stored);
                        if let Some(earlier) = earlier.take_if(|_| saved.is_ok()) {
                            remove_earlier(&earlier);
                        }
                        drop(done.send(saved));
                    }
                    Asked::Cell => {
                        let facts = cell.lock().unwrap_or_else(PoisonError::into_inner).take();
                        storage.keep(&facts.unwrap_or_default());
                    }
                }
                storage.rest();
            }
        });
        begun.map_err(|e| Fault::Io("thread".into(), e))?;
        let held = held.await.map_err(|_| Fault::Gone)??;
        Ok((Disk(Some(thread)), held))
    }

    /// Has it saved.
    pub fn work(&self, work: Work) -> Done {
        let (done, wait) = oneshot::channel();
        match &self.0 {
            // If the thread has ended, `done` goes with what was sent, and whoever waits hears so.
            Some(thread) => drop(thread.asked.send(Asked::Work(work, done))),
            None => drop(done.send(Ok(()))),
        }
        wait
    }

    /// Keeps the cell's lives for the next start, some time.
    pub fn keep(&self, cell: Vec<Fact>) {
        let Some(thread) = &self.0 else { return };
        let waits = thread.cell.lock().unwrap_or_else(PoisonError::into_inner).replace(cell).is_some();
        if !waits {
            // Who has lost its disk hears so with the next save.
            let _ = thread.asked.send(Asked::Cell);
        }
    }
}

/// Asks until it can be read.
fn begin(folder: &Path, name: &str) -> Result<(Storage, Held), Fault> {
    if folder.join(EARLIER).exists() {
        log::warn!("disk: it holds a store of an earlier form, which is not read: as with a lost disk");
    }
    let mut tries = 0_u32;
    loop {
        let path: PathBuf = folder.join(FOLDER);
        let opened = Directory::new(path.clone()).map_err(|e| Fault::Io(path.display().to_string(), e));
        let fault = match opened.and_then(|d| Storage::open(Arc::new(d) as Arc<dyn Folder>, name, random()?))
        {
            Err(fault @ Fault::Random(_)) => return Err(fault),
            Err(fault) => fault,
            done => return done,
        };
        if tries.is_multiple_of(32) {
            log::warn!("disk: {fault}; asked again until it can be read");
        }
        tries += 1;
        std::thread::sleep(AGAIN);
    }
}

fn remove_earlier(path: &Path) {
    match std::fs::remove_dir_all(path) {
        Ok(()) => log::warn!("disk: the store of an earlier form was removed"),
        Err(e) => log::warn!("disk: {}: {e}; it stays", path.display()),
    }
}

fn random() -> Result<u64, Fault> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(Fault::Random)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}
