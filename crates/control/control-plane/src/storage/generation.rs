//! Generation files of the store, `agreed-N`. Each holds all that consensus has persisted except the blobs that it refers to.
//! Each save is one transaction of `redb` with one sync, so that after a crash it is present as a whole or not at all.

use super::blobs::{Digest, Values};
use super::database_file::{BoundedFile, MemoryCopy};
use super::directory::Directory;
use super::stored_log::{StoredChange, StoredEntry, StoredSnapshot};
use super::StorageError;
use consensus::{LogIndex, NodeId, Term};
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

pub use super::database_file::MAX_BYTES;

/// Size of the page cache of `redb`, in bytes.
const CACHE_BYTES: usize = 256 << 10;
const PREFIX: &str = "agreed-";
/// Version of the stored format.
const FORMAT: u32 = 2;
/// Table of the records. The names of tables and keys are part of the stored format.
const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("agreed");
/// Table of the values, in chunks of [`VALUE_CHUNK_BYTES`]. The key is the value's digest and the chunk's number.
const VALUES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("values");
const OWNER_KEY: &[u8] = b"owner";
const HARD_STATE_KEY: &[u8] = b"term";
const SNAPSHOT_KEY: &[u8] = b"snapshot";
const COMMIT_INDEX_KEY: &[u8] = b"agreed";
/// Fits into one page; the space for a longer chunk would be rounded up to a power of two.
const VALUE_CHUNK_BYTES: usize = 3900;

/// The owner of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    format: u32,
    /// Name of the node, which is its address.
    pub name: String,
    /// Id of the disk.
    pub disk_id: u64,
}

impl Owner {
    /// Creates the owner record for a node and the id of its disk.
    pub fn new(name: &str, disk_id: u64) -> Self {
        Owner { format: FORMAT, name: name.into(), disk_id }
    }
}

/// The contents of a generation file.
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

/// The generation file that is open for writing.
#[derive(Debug)]
pub struct Generation {
    database: Database,
    /// Digests of the values and blobs that the snapshot refers to.
    snapshot_references: BTreeSet<Digest>,
    /// Digests of the values and blobs that each entry refers to.
    entry_references: BTreeMap<LogIndex, BTreeSet<Digest>>,
    /// Digests of the values in the file.
    values: BTreeSet<Digest>,
}

/// Returns the name of the generation file with this number.
pub fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:08}")
}

/// Returns the numbers of the generation files in a directory, the newest first.
///
/// # Errors
/// Returns an error if the directory cannot be listed.
pub fn numbers(directory: &dyn Directory) -> io::Result<Vec<u64>> {
    let files = directory.list()?;
    let number = |name: &str| name.strip_prefix(PREFIX)?.parse().ok();
    let mut numbers: Vec<u64> = files.iter().filter_map(|(name, _)| number(name)).collect();
    numbers.sort_unstable_by(|a, b| b.cmp(a));
    Ok(numbers)
}

impl Generation {
    /// Creates a file with the given contents and syncs it. Removes the file again on failure.
    ///
    /// # Errors
    /// Returns the error of the disk or of `redb`.
    pub fn create(
        directory: &dyn Directory,
        number: u64,
        owner: &Owner,
        changes: &[StoredChange],
        values: &Values,
        commit_index: LogIndex,
    ) -> Result<Generation, StorageError> {
        let name = file_name(number);
        let file = directory.open(&name, true).map_err(|error| StorageError::Io(name.clone(), error))?;
        let created = catch_store_panic(&name, || {
            let mut builder = Database::builder();
            let database = builder.set_cache_size(CACHE_BYTES).create_with_backend(BoundedFile(file))?;
            let mut generation = Generation {
                database,
                snapshot_references: BTreeSet::new(),
                entry_references: BTreeMap::new(),
                values: BTreeSet::new(),
            };
            generation.write(Some(owner), changes, values, commit_index)?;
            Ok(generation)
        });
        if created.is_err() {
            // An incomplete file would only use space.
            let _ = directory.remove(&name);
        }
        created
    }

    /// Writes the changes in one transaction and syncs it.
    ///
    /// # Errors
    /// Returns the error of the disk or of `redb`. The contents of the file are unknown after that, and it must not be written
    /// to again.
    pub fn save(
        &mut self,
        changes: &[StoredChange],
        values: &Values,
        commit_index: LogIndex,
    ) -> Result<(), StorageError> {
        catch_store_panic("agreed", || self.write(None, changes, values, commit_index))
    }

    /// Returns the digests of all values and blobs that the file refers to.
    pub fn references(&self) -> BTreeSet<Digest> {
        let from_entries = self.entry_references.values().flatten();
        self.snapshot_references.iter().chain(from_entries).copied().collect()
    }

    fn write(
        &mut self,
        owner: Option<&Owner>,
        changes: &[StoredChange],
        values: &Values,
        commit_index: LogIndex,
    ) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut records = transaction.open_table(RECORDS)?;
            if let Some(owner) = owner {
                put(&mut records, OWNER_KEY, owner)?;
            }
            for change in changes {
                self.write_change(&mut records, change)?;
            }
            put(&mut records, COMMIT_INDEX_KEY, &commit_index)?;
            let mut stored_values = transaction.open_table(VALUES)?;
            self.write_values(&mut stored_values, values)?;
        }
        Ok(transaction.commit()?)
    }

    fn write_change(
        &mut self,
        records: &mut Table<&[u8], &[u8]>,
        change: &StoredChange,
    ) -> Result<(), redb::Error> {
        match change {
            StoredChange::HardState { term, vote } => put(records, HARD_STATE_KEY, &(term, vote)),
            StoredChange::Entries { from, entries } => {
                remove_entries(records, *from, LogIndex::MAX)?;
                self.entry_references.split_off(from);
                for (index, entry) in (*from..).zip(entries) {
                    put(records, &entry_key(index), entry)?;
                    self.entry_references.insert(index, entry.references());
                }
                Ok(())
            }
            StoredChange::Snapshot { snapshot, replaces_log } => {
                let last_covered = if *replaces_log { LogIndex::MAX } else { snapshot.index };
                remove_entries(records, 0, last_covered)?;
                put(records, SNAPSHOT_KEY, snapshot)?;
                self.entry_references.retain(|index, _| *index > last_covered);
                self.snapshot_references = snapshot.references();
                Ok(())
            }
        }
    }

    /// Adds the values that are referred to and removes those that no longer are.
    fn write_values(&mut self, stored: &mut Table<&[u8], &[u8]>, values: &Values) -> Result<(), redb::Error> {
        let references = self.references();
        for (digest, value) in values.iter().filter(|(digest, _)| references.contains(*digest)) {
            if self.values.insert(*digest) {
                for (n, chunk) in value.chunks(VALUE_CHUNK_BYTES).enumerate() {
                    stored.insert(&value_key(digest, n as u32)[..], chunk)?;
                }
            }
        }
        for digest in self.values.difference(&references) {
            let (first, last) = (value_key(digest, 0), value_key(digest, u32::MAX));
            stored.retain_in(&first[..]..=&last[..], |_, _| false)?;
        }
        self.values.retain(|digest| references.contains(digest));
        Ok(())
    }
}

impl GenerationContents {
    /// Reads a file without modifying it. Returns `None` if its first save was never completed.
    ///
    /// # Errors
    /// Returns an error if the file is damaged or the disk fails.
    pub fn read(directory: &dyn Directory, number: u64) -> Result<Option<GenerationContents>, StorageError> {
        let name = file_name(number);
        let io = |error| StorageError::Io(name.clone(), error);
        let files = directory.list().map_err(io)?;
        if files.iter().any(|(file, length)| *file == name && *length > MAX_BYTES) {
            return Err(StorageError::Damaged(format!("{name} is longer than the size limit")));
        }
        let bytes = directory.read(&name).map_err(io)?;
        if bytes.is_empty() {
            return Ok(None);
        }
        match catch_store_panic(&name, || GenerationContents::parse(bytes)) {
            Ok(Parsed::Contents(contents)) => Ok(Some(*contents)),
            Ok(Parsed::NeverCompleted) => Ok(None),
            Ok(Parsed::Inconsistent) => Err(StorageError::Damaged(format!("{name}: an entry is missing"))),
            // `redb` read a copy in memory, so the error comes from the contents.
            Err(StorageError::Store(name, error)) => Err(StorageError::Damaged(format!("{name}: {error}"))),
            Err(error) => Err(error),
        }
    }

    fn parse(bytes: Vec<u8>) -> Result<Parsed, redb::Error> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let database = builder.create_with_backend(MemoryCopy::new(bytes))?;
        let records = match database.begin_read()?.open_table(RECORDS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Parsed::NeverCompleted),
            records => records?,
        };
        let owner: Option<Owner> = get(&records, OWNER_KEY)?;
        let Some(owner) = owner.filter(|owner| owner.format == FORMAT) else {
            return Ok(Parsed::Inconsistent);
        };
        let (term, vote) = get(&records, HARD_STATE_KEY)?.unwrap_or_default();
        let snapshot: StoredSnapshot = get(&records, SNAPSHOT_KEY)?.unwrap_or_default();
        let commit_index = get(&records, COMMIT_INDEX_KEY)?.unwrap_or_default();
        let Some(entries) = read_entries(&records, snapshot.index + 1)? else {
            return Ok(Parsed::Inconsistent);
        };
        let Some(values) = read_values(&database.begin_read()?.open_table(VALUES)?)? else {
            return Ok(Parsed::Inconsistent);
        };
        let contents = GenerationContents { owner, term, vote, snapshot, entries, commit_index, values };
        Ok(Parsed::Contents(Box::new(contents)))
    }

    /// Returns the digests of all values and blobs that the contents refer to.
    pub fn references(&self) -> BTreeSet<Digest> {
        let from_entries = self.entries.iter().flat_map(StoredEntry::references);
        from_entries.chain(self.snapshot.references()).collect()
    }
}

/// Result of parsing a file.
enum Parsed {
    Contents(Box<GenerationContents>),
    /// The first save was never completed.
    NeverCompleted,
    Inconsistent,
}

/// Reads the entries from index `first` on. Returns `None` if an entry is missing or cannot be decoded.
fn read_entries(
    records: &impl ReadableTable<&'static [u8], &'static [u8]>,
    first: LogIndex,
) -> Result<Option<Vec<StoredEntry>>, redb::Error> {
    let mut entries = Vec::new();
    for row in records.range(&entry_key(0)[..]..=&entry_key(LogIndex::MAX)[..])? {
        let (key, value) = row?;
        let expected_key = entry_key(first + entries.len() as LogIndex);
        let entry = rmp_serde::from_slice(value.value());
        let (true, Ok(entry)) = (key.value() == expected_key, entry) else { return Ok(None) };
        entries.push(entry);
    }
    Ok(Some(entries))
}

/// Reads all values. Returns `None` if a key is too short to hold a digest.
fn read_values(
    table: &impl ReadableTable<&'static [u8], &'static [u8]>,
) -> Result<Option<Values>, redb::Error> {
    let mut values = Values::new();
    for row in table.iter()? {
        let (key, chunk) = row?;
        let Some(digest) = key.value().first_chunk::<32>() else { return Ok(None) };
        values.entry(*digest).or_default().extend_from_slice(chunk.value());
    }
    Ok(Some(values))
}

/// Returns the key of an entry: `e` and the index in big-endian order, so that keys sort by index.
fn entry_key(index: LogIndex) -> [u8; 9] {
    let mut key = [b'e'; 9];
    key[1..].copy_from_slice(&index.to_be_bytes());
    key
}

/// Returns the key of a value's chunk: the digest and the chunk's number in big-endian order.
fn value_key(digest: &Digest, chunk: u32) -> [u8; 36] {
    let mut key = [0; 36];
    key[..32].copy_from_slice(digest);
    key[32..].copy_from_slice(&chunk.to_be_bytes());
    key
}

fn put<T: Serialize>(records: &mut Table<&[u8], &[u8]>, key: &[u8], value: &T) -> Result<(), redb::Error> {
    let bytes = rmp_serde::to_vec(value).expect("a record has no value that cannot be encoded");
    records.insert(key, &bytes[..])?;
    Ok(())
}

/// Reads the record under a key. A record that cannot be decoded is reported as corruption of the file.
fn get<T: DeserializeOwned>(
    records: &impl ReadableTable<&'static [u8], &'static [u8]>,
    key: &[u8],
) -> Result<Option<T>, redb::Error> {
    let Some(value) = records.get(key)? else { return Ok(None) };
    let read = rmp_serde::from_slice(value.value());
    read.map(Some).map_err(|error| redb::Error::Corrupted(error.to_string()))
}

fn remove_entries(
    records: &mut Table<&[u8], &[u8]>,
    from: LogIndex,
    to: LogIndex,
) -> Result<(), redb::Error> {
    records.retain_in(&entry_key(from)[..]..=&entry_key(to)[..], |_, _| false)?;
    Ok(())
}

/// Turns a panic of `redb` over a damaged file into an error.
fn catch_store_panic<T>(
    name: &str,
    operation: impl FnOnce() -> Result<T, redb::Error>,
) -> Result<T, StorageError> {
    match catch_unwind(AssertUnwindSafe(operation)) {
        Ok(result) => result.map_err(|error| StorageError::Store(name.into(), Box::new(error))),
        Err(_) => Err(StorageError::Damaged(format!("{name}: the store panicked while accessing it"))),
    }
}
