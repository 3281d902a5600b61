//! The store's directory and the order of its writes. Blobs are written before the records that refer to them. A new
//! generation is complete and synced, and the removal of all other generations is durable, before anything relies on it.

use super::blobs::{self, Blobs, Digest, Values};
use super::directory::Directory;
use super::generation::{self, Generation, GenerationContents, Owner};
use super::registry_file::{self, RegistryFile};
use super::stored_log::{StoredChange, StoredEntry, StoredPayload, StoredSnapshot};
use super::{LoadedState, StorageError};
use consensus::{Entry, EntryPayload, LogIndex, Persist, PersistedState, Snapshot};
use registry::Heartbeat;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Limit on the disk usage in bytes: blobs, two generations, a damaged one, and the two registry files.
pub const MAX_BYTES: u64 =
    blobs::MAX_TOTAL_BYTES + 3 * generation::MAX_BYTES + 2 * registry_file::MAX_BYTES as u64;
/// Name under which a damaged generation is kept for inspection.
const DAMAGED_FILE: &str = "damaged";
/// Number of saves between log lines on the disk usage.
const REPORT_INTERVAL: u64 = 64;

/// The store's directory, owned by the storage thread.
#[derive(Debug)]
pub struct Store {
    directory: Arc<dyn Directory>,
    owner: Owner,
    /// The generation that is written to; `None` if a full save has to come first.
    generation: Option<Generation>,
    /// Number of the newest complete generation, or of the newest file if none is complete; 0 if there is no file.
    number: u64,
    /// Number of a damaged generation.
    damaged: Option<u64>,
    blobs: Blobs,
    /// Digests that the state found after a crash may refer to, whichever of the unfinished saves survives it.
    referenced: BTreeSet<Digest>,
    registry_file: RegistryFile,
    saves: u64,
}

/// A complete generation.
struct CompleteGeneration {
    number: u64,
    contents: GenerationContents,
    stored: PersistedState,
}

/// Result of examining the generations of a directory.
#[derive(Default)]
struct GenerationScan {
    newest_complete: Option<CompleteGeneration>,
    damaged: Option<u64>,
}

impl Store {
    /// Loads the stored state. Nothing is written, so that nothing can be lost. `new_disk_id` is used if the directory holds no
    /// complete generation.
    ///
    /// # Errors
    /// Returns an error if the disk cannot be read.
    pub fn open(
        directory: Arc<dyn Directory>,
        name: &str,
        new_disk_id: u64,
    ) -> Result<(Store, LoadedState), StorageError> {
        let (registry_file, heartbeats) = RegistryFile::read(&*directory);
        let numbers = generation::numbers(&*directory).map_err(StorageError::of_directory)?;
        let mut blobs = Blobs::default();
        let GenerationScan { newest_complete, damaged } =
            find_newest(&*directory, &numbers, name, &mut blobs)?;
        let (number, referenced, disk_id, stored) = match newest_complete {
            Some(found) => {
                let referenced = found.contents.references();
                (found.number, referenced, found.contents.owner.disk_id, found.stored)
            }
            None => {
                if damaged.is_some() {
                    log::warn!("storage: begun anew, as with a lost disk");
                }
                let number = numbers.first().copied().unwrap_or(0);
                (number, BTreeSet::new(), new_disk_id, PersistedState::default())
            }
        };
        let store = Store {
            directory,
            owner: Owner::new(name, disk_id),
            generation: None,
            number,
            damaged: damaged.filter(|damaged| *damaged == number),
            blobs,
            referenced,
            registry_file,
            saves: 0,
        };
        Ok((store, LoadedState { disk_id, stored, heartbeats }))
    }

    /// Saves the changes in order, with one sync.
    ///
    /// # Errors
    /// Returns the error of the disk or of `redb`. After an error only [`Store::save_full`] can succeed.
    pub fn save(&mut self, changes: &[Persist], commit_index: LogIndex) -> Result<(), StorageError> {
        let mut generation = self.generation.take().ok_or(StorageError::PreviousFailure)?;
        let (changes, values) = self.prepare(changes)?;
        generation.save(&changes, &values, commit_index)?;
        self.referenced = generation.references();
        self.blobs.retain(&self.referenced, &*self.directory);
        self.generation = Some(generation);
        self.report_size();
        Ok(())
    }

    /// Saves the whole state: in the current generation, or in a new one if that has failed or there is none yet.
    ///
    /// # Errors
    /// Returns the error of the disk or of `redb`. After an error only [`Store::save_full`] can succeed.
    pub fn save_full(&mut self, stored: &PersistedState) -> Result<(), StorageError> {
        let changes = [
            Persist::HardState { term: stored.term, vote: stored.vote.clone() },
            Persist::Snapshot { snapshot: stored.snapshot.clone(), replaces_log: true },
            Persist::Entries { from: stored.snapshot.index + 1, entries: stored.entries.clone() },
        ];
        if self.generation.is_some() {
            return self.save(&changes, stored.commit_index);
        }
        let directory = self.directory.clone();
        self.remove_unfinished_generations()?;
        self.remove_unreferenced_blobs()?;
        let (changes, values) = self.prepare(&changes)?;
        let number = self.number + 1;
        let commit_index = stored.commit_index;
        let generation =
            Generation::create(&*directory, number, &self.owner, &changes, &values, commit_index)?;
        directory.sync().map_err(StorageError::of_directory)?;
        // The new generation is complete and holds all of the previous state, but nothing relies on it yet. After a crash either
        // generation may be found.
        self.number = number;
        self.remove_earlier_generations()?;
        directory.sync().map_err(StorageError::of_directory)?;
        // From here on only the new generation can be found.
        self.referenced = generation.references();
        self.remove_unreferenced_blobs()?;
        self.generation = Some(generation);
        self.report_size();
        Ok(())
    }

    /// Removes generations whose creation was not completed.
    fn remove_unfinished_generations(&self) -> Result<(), StorageError> {
        let numbers = generation::numbers(&*self.directory).map_err(StorageError::of_directory)?;
        for number in numbers.into_iter().filter(|number| *number > self.number) {
            let name = generation::file_name(number);
            self.directory.remove(&name).map_err(StorageError::of_directory)?;
        }
        Ok(())
    }

    /// Removes all generations except the newest; a damaged one is renamed and kept.
    fn remove_earlier_generations(&mut self) -> Result<(), StorageError> {
        let numbers = generation::numbers(&*self.directory).map_err(StorageError::of_directory)?;
        for number in numbers.into_iter().filter(|number| *number != self.number) {
            let name = generation::file_name(number);
            let is_damaged = self.damaged.take_if(|damaged| *damaged == number).is_some();
            let removed = if is_damaged {
                self.directory.rename(&name, DAMAGED_FILE)
            } else {
                self.directory.remove(&name)
            };
            removed.map_err(StorageError::of_directory)?;
        }
        Ok(())
    }

    fn remove_unreferenced_blobs(&mut self) -> Result<(), StorageError> {
        let removed = self.blobs.remove_unreferenced(&self.referenced, &*self.directory);
        removed.map_err(StorageError::of_directory)
    }

    /// Writes the registry for the next start, without a sync.
    pub fn write_registry(&mut self, heartbeats: &[Heartbeat]) {
        if let Err(error) = self.registry_file.write(&*self.directory, heartbeats) {
            log::warn!("storage: the registry was not saved: {error}");
        }
    }

    /// Syncs the registry. Called after a save has been reported as complete, so that no request waits for this sync.
    pub fn sync_registry(&mut self) {
        if self.generation.is_none() {
            return;
        }
        if let Err(error) = self.registry_file.sync(&*self.directory) {
            log::warn!("storage: the registry was not saved: {error}");
        }
    }

    /// Converts changes to their stored form. Returns them with the values that they refer to; their blobs are durable then.
    fn prepare(&mut self, changes: &[Persist]) -> Result<(Vec<StoredChange>, Values), StorageError> {
        let (mut prepared, mut values) = (Vec::new(), Values::new());
        for change in changes {
            let change = self.prepare_change(change, &mut values)?;
            // A save that fails may still be found after a crash.
            self.referenced.extend(change.references());
            prepared.push(change);
        }
        self.blobs.make_durable(&*self.directory)?;
        Ok((prepared, values))
    }

    fn prepare_change(
        &mut self,
        change: &Persist,
        values: &mut Values,
    ) -> Result<StoredChange, StorageError> {
        Ok(match change {
            Persist::HardState { term, vote } => StoredChange::HardState { term: *term, vote: vote.clone() },
            Persist::Entries { from, entries } => {
                let prepared = entries.iter().map(|entry| self.prepare_entry(entry, values));
                StoredChange::Entries { from: *from, entries: prepared.collect::<Result<_, _>>()? }
            }
            Persist::Snapshot { snapshot, replaces_log } => {
                let state = self.blobs.put(&*self.directory, &snapshot.state, values)?;
                let (index, term, voters) = (snapshot.index, snapshot.term, snapshot.voters.clone());
                let snapshot = StoredSnapshot { index, term, voters, state };
                StoredChange::Snapshot { snapshot, replaces_log: *replaces_log }
            }
        })
    }

    /// Returns an entry as it is stored. Adds its new values to `values`, and writes its new blobs to the disk.
    fn prepare_entry(&mut self, entry: &Entry, values: &mut Values) -> Result<StoredEntry, StorageError> {
        let payload = match &entry.payload {
            EntryPayload::Noop => StoredPayload::Noop,
            EntryPayload::Configuration(voters) => StoredPayload::Configuration(voters.clone()),
            EntryPayload::JointConfiguration { old, new } => {
                StoredPayload::JointConfiguration(old.clone(), new.clone())
            }
            EntryPayload::Command(command) => {
                StoredPayload::Command(self.blobs.put(&*self.directory, command, values)?)
            }
        };
        Ok(StoredEntry { term: entry.term, payload })
    }

    fn report_size(&mut self) {
        self.saves += 1;
        if self.saves % REPORT_INTERVAL == 1 {
            let files = self.directory.list().unwrap_or_default();
            let bytes: u64 = files.iter().map(|(_, length)| length).sum();
            let (count, saves) = (files.len(), self.saves);
            log::info!("storage: {bytes} bytes in {count} files after {saves} saves, {MAX_BYTES} at most");
        }
    }
}

/// Finds the newest complete generation. Of two complete ones the newer holds all of the older one's state. A damaged generation
/// next to an older one was never completed, because nothing relies on a generation before all others are gone.
fn find_newest(
    directory: &dyn Directory,
    numbers: &[u64],
    name: &str,
    blobs: &mut Blobs,
) -> Result<GenerationScan, StorageError> {
    let mut found = GenerationScan::default();
    for number in numbers {
        match read_generation(directory, *number, name, blobs) {
            Ok(None) => log::info!("storage: {} was never completed", generation::file_name(*number)),
            Ok(Some((contents, stored))) => {
                found.newest_complete = Some(CompleteGeneration { number: *number, contents, stored });
                break;
            }
            Err(StorageError::Damaged(reason)) => {
                log::warn!("storage: {reason}");
                found.damaged = found.damaged.or(Some(*number));
            }
            Err(error) => return Err(error),
        }
    }
    Ok(found)
}

/// Reads a generation and its blobs. Returns `None` if its first save was never completed.
fn read_generation(
    directory: &dyn Directory,
    number: u64,
    name: &str,
    blobs: &mut Blobs,
) -> Result<Option<(GenerationContents, PersistedState)>, StorageError> {
    let Some(contents) = GenerationContents::read(directory, number)? else { return Ok(None) };
    if contents.owner.name != name {
        let file = generation::file_name(number);
        let owner = &contents.owner.name;
        return Err(StorageError::Damaged(format!("{file} belongs to {owner}, not to {name}")));
    }
    let mut entries = Vec::new();
    for entry in &contents.entries {
        let payload = match &entry.payload {
            StoredPayload::Noop => EntryPayload::Noop,
            StoredPayload::Configuration(voters) => EntryPayload::Configuration(voters.clone()),
            StoredPayload::JointConfiguration(old, new) => {
                EntryPayload::JointConfiguration { old: old.clone(), new: new.clone() }
            }
            StoredPayload::Command(segments) => {
                EntryPayload::Command(blobs.assemble(directory, segments, &contents.values)?)
            }
        };
        entries.push(Entry { term: entry.term, payload });
    }
    let StoredSnapshot { index, term, ref voters, ref state } = contents.snapshot;
    let state = blobs.assemble(directory, state, &contents.values)?;
    let snapshot = Snapshot { index, term, voters: voters.clone(), state };
    let stored = PersistedState {
        term: contents.term,
        vote: contents.vote.clone(),
        snapshot,
        entries,
        commit_index: contents.commit_index,
    };
    Ok(Some((contents, stored)))
}
