//! What this prompter has on its disk: its id, and what the agreement saves. One thread writes and waits for the disk;
//! nobody else does.

use displaydoc::Display;
use fjall::{Config, Keyspace, PartitionCreateOptions, PartitionHandle, PersistMode};
use greenroom::Fact;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::oneshot;
use understudy::{Entry, Id, Place, Save, Snapshot, Stored, Term};

/// The least that the store allows; a configuration and a few hundred entries are far less.
const JOURNAL: u64 = 24 << 20;
const MEMTABLE: u32 = 2 << 20;
/// A disk that refuses is asked again so often, so long apart.
const TRIES: u32 = 8;
const AGAIN: Duration = Duration::from_millis(300);

/// What is wrong with a disk.
#[derive(Debug, Display)]
pub enum Fault {
    /// {0}: {1}
    Store(String, fjall::Error),
    /// {0}: it holds what cannot be read
    Unread(String),
    /// no random numbers are to be had: {0}
    Random(getrandom::Error),
    /// the thread that writes to the disk has ended
    Gone,
}

impl Fault {
    /// Whether the disk holds what cannot be made sense of; else it may do better another time.
    fn is_damage(&self) -> bool {
        let store = match self {
            Fault::Unread(_) => return true,
            Fault::Store(_, store) => store,
            Fault::Random(_) | Fault::Gone => return false,
        };
        let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(store);
        while let Some(e) = cause {
            if let Some(io) = e.downcast_ref::<io::Error>() {
                // A file that ends too soon, or is missing; what the system refuses is no damage.
                let kinds =
                    [io::ErrorKind::UnexpectedEof, io::ErrorKind::NotFound, io::ErrorKind::InvalidData];
                return kinds.contains(&io.kind());
            }
            cause = e.source();
        }
        !matches!(store, fjall::Error::Poisoned)
    }
}

struct Store {
    name: String,
    keyspace: Keyspace,
    all: PartitionHandle,
}

enum Work {
    /// With how far the log is agreed on.
    Save(Vec<Save>, Place, oneshot::Sender<Result<(), Fault>>),
    /// The cell's lives, for the next start: not synced by themselves.
    Cell(Vec<Fact>),
}

/// A handle to the thread that writes; without a disk there is none, and nothing is kept.
#[derive(Clone)]
pub struct Disk(Option<mpsc::Sender<Work>>);

/// What a disk holds at the start.
pub struct Held {
    /// The disk's own.
    pub id: u64,
    pub stored: Stored,
    /// Backends as they were known last, maybe long ago.
    pub cell: Vec<Fact>,
}

impl Disk {
    /// No disk: whoever has none has no vote, and another id at each start.
    ///
    /// # Errors
    /// No random numbers are to be had.
    pub fn none() -> Result<(Disk, Held), Fault> {
        Ok((Disk(None), Held { id: random()?, stored: Stored::default(), cell: Vec::new() }))
    }

    /// Opens the folder and reads what is there; an empty one gets a new id. One that is damaged is emptied, which makes of
    /// this prompter another one, as if the disk had been lost. One that refuses for the moment is asked again, and never
    /// emptied for it.
    ///
    /// # Errors
    /// What is wrong, if it stays so.
    pub fn open(folder: &Path) -> Result<(Disk, Held), Fault> {
        let mut tries = 0;
        let (store, held) = loop {
            match Store::open(folder) {
                Ok(whole) => break whole,
                Err(fault) if fault.is_damage() => {
                    log::warn!("disk: {fault}; begun anew, as with a lost disk");
                    let path = folder.join("prompter");
                    let emptied = std::fs::remove_dir_all(&path);
                    emptied.map_err(|e| Fault::Store(path.display().to_string(), fjall::Error::Io(e)))?;
                    break Store::open(folder)?;
                }
                Err(fault) if tries == TRIES => return Err(fault),
                Err(fault) => {
                    tries += 1;
                    log::warn!("disk: {fault}; tried again");
                    std::thread::sleep(AGAIN);
                }
            }
        };
        let (sender, works) = mpsc::channel();
        let work = move || {
            for work in works {
                match work {
                    Work::Save(all, agreed, done) => {
                        // Whoever waited is gone when the process ends.
                        let _ = done.send(store.save(&all, agreed));
                    }
                    Work::Cell(facts) => {
                        if let Err(e) = store.all.insert("cell", encode(&facts)) {
                            log::warn!("disk: the cell is not kept: {e}");
                        }
                    }
                }
            }
        };
        let thread = std::thread::Builder::new().name("disk".into()).spawn(work);
        thread.map_err(|e| Fault::Store("thread".into(), fjall::Error::Io(e)))?;
        Ok((Disk(Some(sender)), held))
    }

    /// Saves all of it, in order, synced together.
    ///
    /// # Errors
    /// What the disk says; then nothing is known of what it holds.
    pub async fn save(&self, all: Vec<Save>, agreed: Place) -> Result<(), Fault> {
        let Some(thread) = &self.0 else { return Ok(()) };
        let (done, wait) = oneshot::channel();
        thread.send(Work::Save(all, agreed, done)).map_err(|_| Fault::Gone)?;
        wait.await.map_err(|_| Fault::Gone)?
    }

    /// Keeps the cell's lives for the next start, some time.
    pub fn keep(&self, cell: Vec<Fact>) {
        // Who has lost its disk hears so with the next save.
        if let Some(thread) = &self.0 {
            let _ = thread.send(Work::Cell(cell));
        }
    }
}

fn random() -> Result<u64, Fault> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(Fault::Random)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}

fn entry_key(place: Place) -> [u8; 9] {
    let mut key = [b'e'; 9];
    key[1..].copy_from_slice(&place.to_be_bytes());
    key
}

impl Store {
    fn open(folder: &Path) -> Result<(Store, Held), Fault> {
        let path: PathBuf = folder.join("prompter");
        let name = path.display().to_string();
        let fault = |e| Fault::Store(name.clone(), e);
        let config =
            Config::new(&path).max_journaling_size(JOURNAL).max_write_buffer_size(2 * u64::from(MEMTABLE));
        let config = config.cache_size(256 << 10).compaction_workers(1).flush_workers(1).fsync_ms(None);
        let keyspace = config.open().map_err(fault)?;
        let options = PartitionCreateOptions::default().max_memtable_size(MEMTABLE);
        let all = keyspace.open_partition("agreed", options).map_err(fault)?;
        let store = Store { name: name.clone(), keyspace, all };
        let disk = match store.read::<u64>("id")? {
            Some(disk) => disk,
            None => {
                let disk = random()?;
                store.all.insert("id", encode(&disk)).map_err(fault)?;
                store.keyspace.persist(PersistMode::SyncAll).map_err(fault)?;
                disk
            }
        };
        let (term, vote): (Term, Option<Id>) = store.read("term")?.unwrap_or_default();
        let snapshot: Snapshot = store.read("snapshot")?.unwrap_or_default();
        let agreed: Place = store.read("agreed")?.unwrap_or_default();
        let mut entries: Vec<Entry> = Vec::new();
        for pair in store.all.range(entry_key(snapshot.place + 1)..=entry_key(Place::MAX)) {
            let (key, value) = pair.map_err(fault)?;
            let wanted = entry_key(snapshot.place + 1 + entries.len() as Place);
            if *key != wanted {
                return Err(Fault::Unread(name));
            }
            entries.push(rmp_serde::from_slice(&value).map_err(|_| Fault::Unread(name.clone()))?);
        }
        // Soft: what cannot be read is heard anew.
        let cell = store.read("cell").ok().flatten().unwrap_or_default();
        Ok((store, Held { id: disk, stored: Stored { term, vote, snapshot, entries, agreed }, cell }))
    }

    fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Fault> {
        let value = self.all.get(key).map_err(|e| Fault::Store(self.name.clone(), e))?;
        let Some(value) = value else { return Ok(None) };
        rmp_serde::from_slice(&value).map(Some).map_err(|_| Fault::Unread(self.name.clone()))
    }

    fn save(&self, all: &[Save], agreed: Place) -> Result<(), Fault> {
        let fault = |e| Fault::Store(self.name.clone(), e);
        let mut batch = self.keyspace.batch().durability(Some(PersistMode::SyncAll));
        let drop_entries = |batch: &mut fjall::Batch, from: Place, to: Place| -> Result<(), Fault> {
            for pair in self.all.range(entry_key(from)..=entry_key(to)) {
                batch.remove(&self.all, pair.map_err(fault)?.0);
            }
            Ok(())
        };
        for save in all {
            match save {
                Save::Term { term, vote } => batch.insert(&self.all, "term", encode(&(term, vote))),
                Save::Entries { from, entries } => {
                    // What an earlier save of this batch has written behind them is among those before it: a log only grows
                    // within a batch, or is replaced from a place that is on the disk.
                    drop_entries(&mut batch, *from, Place::MAX)?;
                    for (place, entry) in (*from..).zip(entries) {
                        batch.insert(&self.all, entry_key(place), encode(entry));
                    }
                }
                Save::Snapshot { snapshot, whole } => {
                    let to = if *whole { Place::MAX } else { snapshot.place };
                    drop_entries(&mut batch, 0, to)?;
                    batch.insert(&self.all, "snapshot", encode(snapshot));
                }
            }
        }
        batch.insert(&self.all, "agreed", encode(&agreed));
        batch.commit().map_err(fault)
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("it can be written")
}

#[cfg(test)]
mod tests {
    use super::*;
    use understudy::Said;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("prompter-{name}-{}", std::process::id()));
        // Of an earlier run.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn entries(from: Place, count: u64) -> Save {
        let said = |n| Said::Word(vec![n as u8; 40]);
        Save::Entries { from, entries: (0..count).map(|n| Entry { term: 1, said: said(n) }).collect() }
    }

    fn save(store: &Store, all: &[Save], agreed: Place) {
        store.save(all, agreed).unwrap();
    }

    #[test]
    fn what_was_saved_is_there_again_and_the_id_stays() {
        let folder = folder("again");
        let (store, held) = Store::open(&folder).unwrap();
        let vote = Some(Id { name: "p".into(), disk: 7 });
        save(&store, &[entries(1, 5), Save::Term { term: 3, vote: vote.clone() }], 0);
        // From the third on it is another's.
        save(&store, &[entries(3, 1)], 2);
        let snapshot = Snapshot { place: 2, term: 1, ..Snapshot::default() };
        save(&store, &[Save::Snapshot { snapshot: snapshot.clone(), whole: false }], 3);
        drop(store);
        let (_, again) = Store::open(&folder).unwrap();
        assert_eq!(again.id, held.id);
        let stored = again.stored;
        assert_eq!((stored.term, stored.vote, stored.agreed, stored.snapshot), (3, vote, 3, snapshot));
        assert_eq!(stored.entries.len(), 1, "the third alone is behind the snapshot");
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_damaged_disk_is_another_one_and_one_that_refuses_is_not() {
        let folder = folder("damaged");
        let (store, held) = Store::open(&folder).unwrap();
        save(&store, &[entries(1, 5), entries(7, 1)], 0);
        drop(store);
        let fault = Store::open(&folder).err().expect("an entry is missing");
        assert!(fault.is_damage(), "{fault}");
        let (_, again) = Disk::open(&folder).unwrap();
        assert!(again.id != held.id && again.stored == Stored::default());
        std::fs::remove_dir_all(folder).unwrap();
        let refused = |kind| Fault::Store("f".into(), fjall::Error::Io(io::Error::from(kind)));
        assert!(!refused(io::ErrorKind::StorageFull).is_damage());
        assert!(!refused(io::ErrorKind::PermissionDenied).is_damage());
        assert!(refused(io::ErrorKind::UnexpectedEof).is_damage());
    }
}
