//! One file of the store, `agreed-N`: all that the agreement has saved, but for the blobs that it names. Each save is one
//! transaction of `redb`'s with one sync: after a crash it is there whole or not at all.

use super::blobs::{Digest, Segment, Values};
use super::folder::{DataFile, Directory};
use super::StorageError;
use consensus::{LogIndex, NodeId, Term, VoterSet};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};

/// The most that such a file takes, in bytes: the entries behind the snapshot and the values that they name, which the leader
/// bounds to half of it.
pub const MAX_BYTES: u64 = 5 << 20;
/// Of the pages of the file, in bytes.
const CACHE_BYTES: usize = 256 << 10;
const PREFIX: &str = "agreed-";
/// The form of what is kept.
const FORMAT: u32 = 2;
const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("agreed");
/// Under a digest and a number, [`PART`] bytes of a value, which fit into one page: a longer value would take a power of two.
const VALUES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("values");
const VALUE_CHUNK_BYTES: usize = 3900;

/// Whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    format: u32,
    /// The prompter's name, which is its address.
    pub name: String,
    /// The disk's id.
    pub disk_id: u64,
}

impl Owner {
    pub fn new(name: &str, disk_id: u64) -> Self {
        Owner { format: FORMAT, name: name.into(), disk_id }
    }
}

/// What an entry says, as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoredPayload {
    #[serde(rename = "Nothing")]
    Noop,
    #[serde(rename = "Members")]
    Configuration(VoterSet),
    #[serde(rename = "Word")]
    Command(Vec<Segment>),
    #[serde(rename = "Joint")]
    JointConfiguration(VoterSet, VoterSet),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredEntry {
    pub term: Term,
    pub payload: StoredPayload,
}

/// A snapshot as it is kept.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoredSnapshot {
    pub index: LogIndex,
    pub term: Term,
    pub voters: VoterSet,
    pub state: Vec<Segment>,
}

/// A save as it is kept, see [`consensus::Save`].
pub enum StoredChange {
    HardState(Term, Option<NodeId>),
    Entries(LogIndex, Vec<StoredEntry>),
    Snapshot(StoredSnapshot, bool),
}

impl StoredChange {
    /// The blobs that it names.
    pub fn blobs(&self) -> BTreeSet<Digest> {
        match self {
            StoredChange::HardState(..) => BTreeSet::new(),
            StoredChange::Entries(_, entries) => entries.iter().flat_map(StoredEntry::blobs).collect(),
            StoredChange::Snapshot(snapshot, _) => digests(&snapshot.state),
        }
    }
}

/// What a file held.
#[derive(Debug)]
pub struct GenerationContents {
    pub owner: Owner,
    pub term: Term,
    pub vote: Option<NodeId>,
    pub snapshot: StoredSnapshot,
    pub entries: Vec<StoredEntry>,
    pub commit_index: LogIndex,
    pub values: Values,
}

/// The file that is written to.
#[derive(Debug)]
pub struct Generation {
    database: Database,
    /// The blobs that it names: the snapshot's, and each entry's.
    snapshot: BTreeSet<Digest>,
    entries: BTreeMap<LogIndex, BTreeSet<Digest>>,
    /// The values in it.
    values: BTreeSet<Digest>,
}

pub fn name(number: u64) -> String {
    format!("{PREFIX}{number:08}")
}

/// The numbers of those that are there, the latest first.
///
/// # Errors
/// The disk refuses.
pub fn numbers(folder: &dyn Directory) -> io::Result<Vec<u64>> {
    let names = folder.list()?;
    let number = |name: &str| name.strip_prefix(PREFIX)?.parse().ok();
    let mut all: Vec<u64> = names.iter().filter_map(|(name, _)| number(name)).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    Ok(all)
}

impl Generation {
    /// A new file with all of this in it, synced. Nothing is kept of it if it fails.
    ///
    /// # Errors
    /// What the disk says.
    pub fn create(
        folder: &dyn Directory,
        number: u64,
        owner: &Owner,
        saves: &[StoredChange],
        values: &Values,
        agreed: LogIndex,
    ) -> Result<Generation, StorageError> {
        let name = name(number);
        let file = folder.open(&name, true).map_err(|e| StorageError::Io(name.clone(), e))?;
        let whole = catch_store_panic(&name, || {
            let database =
                Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(BoundedFile(file))?;
            let (snapshot, entries, kept) = (BTreeSet::new(), BTreeMap::new(), BTreeSet::new());
            let mut new = Generation { database, snapshot, entries, values: kept };
            new.write(Some(owner), saves, values, agreed)?;
            Ok(new)
        });
        if whole.is_err() {
            // Half of it takes room for nothing.
            let _ = folder.remove(&name);
        }
        whole
    }

    /// All of it in one transaction, synced.
    ///
    /// # Errors
    /// What the disk says; then nothing is known of what the file holds, and it is not to be written to again.
    pub fn save(
        &mut self,
        saves: &[StoredChange],
        values: &Values,
        agreed: LogIndex,
    ) -> Result<(), StorageError> {
        catch_store_panic("agreed", || self.write(None, saves, values, agreed))
    }

    /// The blobs and values that it names.
    pub fn blobs(&self) -> BTreeSet<Digest> {
        self.entries.values().flatten().chain(&self.snapshot).copied().collect()
    }

    fn write(
        &mut self,
        owner: Option<&Owner>,
        saves: &[StoredChange],
        values: &Values,
        agreed: LogIndex,
    ) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(RECORDS)?;
            if let Some(owner) = owner {
                put(&mut table, b"owner", owner)?;
            }
            for save in saves {
                match save {
                    StoredChange::HardState(term, vote) => put(&mut table, b"term", &(term, vote))?,
                    StoredChange::Entries(from, entries) => {
                        remove_entries(&mut table, *from, LogIndex::MAX)?;
                        self.entries.split_off(from);
                        for (place, entry) in (*from..).zip(entries) {
                            put(&mut table, &key(place), entry)?;
                            self.entries.insert(place, entry.blobs());
                        }
                    }
                    StoredChange::Snapshot(snapshot, whole) => {
                        let to = if *whole { LogIndex::MAX } else { snapshot.index };
                        remove_entries(&mut table, 0, to)?;
                        put(&mut table, b"snapshot", snapshot)?;
                        self.entries.retain(|place, _| *place > to);
                        self.snapshot = digests(&snapshot.state);
                    }
                }
            }
            put(&mut table, b"agreed", &agreed)?;
            let mut table = transaction.open_table(VALUES)?;
            let named = self.blobs();
            for (digest, value) in values.iter().filter(|(digest, _)| named.contains(*digest)) {
                if self.values.insert(*digest) {
                    for (n, part) in value.chunks(VALUE_CHUNK_BYTES).enumerate() {
                        table.insert(&part_key(digest, n as u32)[..], part)?;
                    }
                }
            }
            for digest in self.values.difference(&named) {
                let all = part_key(digest, 0)..=part_key(digest, u32::MAX);
                table.retain_in(&all.start()[..]..=&all.end()[..], |_, _| false)?;
            }
            self.values.retain(|digest| named.contains(digest));
        }
        Ok(transaction.commit()?)
    }
}

impl GenerationContents {
    /// What the file holds, which is not written to. None, if nothing was ever saved in it: its first save never came to an end.
    ///
    /// # Errors
    /// It makes no sense; or the disk refuses.
    pub fn read(folder: &dyn Directory, number: u64) -> Result<Option<GenerationContents>, StorageError> {
        let name = name(number);
        let listed = folder.list().map_err(|e| StorageError::Io(name.clone(), e))?;
        let long = listed.iter().any(|(n, length)| *n == name && *length > MAX_BYTES);
        if long {
            return Err(StorageError::Damaged(format!("{name} is longer than any of ours")));
        }
        let bytes = folder.read(&name).map_err(|e| StorageError::Io(name.clone(), e))?;
        if bytes.is_empty() {
            return Ok(None);
        }
        let damaged = |fault| match fault {
            // It stands in memory: what is wrong is in it.
            StorageError::Store(name, e) => StorageError::Damaged(format!("{name}: {e}")),
            other => other,
        };
        let held = catch_store_panic(&name, || GenerationContents::of(bytes)).map_err(damaged)?;
        held.map_or(Ok(None), |held| {
            held.ok_or_else(|| StorageError::Damaged(format!("{name}: an entry is missing"))).map(Some)
        })
    }

    /// None: nothing was ever saved in it; `Some(None)`: it makes no sense.
    fn of(bytes: Vec<u8>) -> Result<Option<Option<GenerationContents>>, redb::Error> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let database = builder.create_with_backend(MemoryCopy(Mutex::new(bytes)))?;
        let table = match database.begin_read()?.open_table(RECORDS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            other => other?,
        };
        let owner: Option<Owner> = get(&table, b"owner")?;
        let Some(owner) = owner.filter(|o| o.format == FORMAT) else { return Ok(Some(None)) };
        let (term, vote) = get(&table, b"term")?.unwrap_or_default();
        let snapshot: StoredSnapshot = get(&table, b"snapshot")?.unwrap_or_default();
        let agreed = get(&table, b"agreed")?.unwrap_or_default();
        let mut held = GenerationContents {
            owner,
            term,
            vote,
            snapshot,
            entries: Vec::new(),
            commit_index: agreed,
            values: Values::new(),
        };
        for pair in table.range(&key(0)[..]..=&key(LogIndex::MAX)[..])? {
            let (at, value) = pair?;
            let wanted = key(held.snapshot.index + 1 + held.entries.len() as LogIndex);
            let entry = rmp_serde::from_slice(value.value());
            let (true, Ok(entry)) = (at.value() == wanted, entry) else { return Ok(Some(None)) };
            held.entries.push(entry);
        }
        for pair in database.begin_read()?.open_table(VALUES)?.iter()? {
            let (key, part) = pair?;
            let Some(digest) = key.value().first_chunk::<32>() else { return Ok(Some(None)) };
            held.values.entry(*digest).or_default().extend_from_slice(part.value());
        }
        Ok(Some(Some(held)))
    }

    /// The blobs and values that it names.
    pub fn blobs(&self) -> BTreeSet<Digest> {
        let entries = self.entries.iter().flat_map(StoredEntry::blobs);
        entries.chain(digests(&self.snapshot.state)).collect()
    }
}

impl StoredEntry {
    fn blobs(&self) -> BTreeSet<Digest> {
        match &self.payload {
            StoredPayload::Command(pieces) => digests(pieces),
            _ => BTreeSet::new(),
        }
    }
}

fn digests(pieces: &[Segment]) -> BTreeSet<Digest> {
    let digest = |piece: &Segment| match piece {
        Segment::Value(digest) | Segment::Blob(digest) => Some(*digest),
        Segment::Inline(_) => None,
    };
    pieces.iter().filter_map(digest).collect()
}

fn key(place: LogIndex) -> [u8; 9] {
    let mut key = [b'e'; 9];
    key[1..].copy_from_slice(&place.to_be_bytes());
    key
}

fn part_key(digest: &Digest, number: u32) -> [u8; 36] {
    let mut key = [0; 36];
    key[..32].copy_from_slice(digest);
    key[32..].copy_from_slice(&number.to_be_bytes());
    key
}

fn put<T: Serialize>(table: &mut Table<&[u8], &[u8]>, key: &[u8], value: &T) -> Result<(), redb::Error> {
    let bytes = rmp_serde::to_vec(value).expect("it can be written");
    table.insert(key, &bytes[..])?;
    Ok(())
}

/// What stands under a key. What cannot be read is an error of the store's.
fn get<T: serde::de::DeserializeOwned>(
    table: &impl ReadableTable<&'static [u8], &'static [u8]>,
    key: &[u8],
) -> Result<Option<T>, redb::Error> {
    let Some(value) = table.get(key)? else { return Ok(None) };
    let read = rmp_serde::from_slice(value.value());
    read.map(Some).map_err(|e| redb::Error::Corrupted(e.to_string()))
}

fn remove_entries(table: &mut Table<&[u8], &[u8]>, from: LogIndex, to: LogIndex) -> Result<(), redb::Error> {
    table.retain_in(&key(from)[..]..=&key(to)[..], |_, _| false)?;
    Ok(())
}

/// Whatever a store makes of a broken file is an outcome, not the end of a process.
fn catch_store_panic<T>(
    name: &str,
    work: impl FnOnce() -> Result<T, redb::Error>,
) -> Result<T, StorageError> {
    match catch_unwind(AssertUnwindSafe(work)) {
        Ok(done) => done.map_err(|e| StorageError::Store(name.into(), Box::new(e))),
        Err(_) => Err(StorageError::Damaged(format!("{name}: the store gave up on it"))),
    }
}

/// A file that takes [`MOST`] bytes and no more. A longer file is synced before anything is written there.
#[derive(Debug)]
struct BoundedFile(Arc<dyn DataFile>);

impl StorageBackend for BoundedFile {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        if len > MAX_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "it would be longer than its bound"));
        }
        self.0.set_len(len)?;
        self.0.sync()
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

/// A copy of a file: whatever the store does to it, the file stays as it is.
#[derive(Debug)]
struct MemoryCopy(Mutex<Vec<u8>>);

impl MemoryCopy {
    fn with<T>(&self, work: impl FnOnce(&mut Vec<u8>) -> Option<T>) -> io::Result<T> {
        // It is whole even if a thread has ended over it.
        let mut bytes = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        work(&mut bytes).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
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

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.with(|bytes| {
            // A broken file may ask for anything.
            let len = usize::try_from(len).ok().filter(|len| *len as u64 <= 2 * MAX_BYTES)?;
            bytes.resize(len, 0);
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
