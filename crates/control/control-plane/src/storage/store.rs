//! What is in the directory, and in which order it is written: blobs before what refers to them; a new generation whole and
//! synced, and every other one gone for good, before anything rests on it.

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

/// Bytes on the disk at most, whatever comes: blobs, two generations, one that is damaged, and the registry's two files.
pub const MAX_BYTES: u64 =
    blobs::MAX_TOTAL_BYTES + 3 * generation::MAX_BYTES + 2 * registry_file::MAX_BYTES as u64;
/// A generation that was damaged, for whoever wants to look at it.
const DAMAGED_FILE: &str = "damaged";
/// How much is on the disk is logged with each so many saves.
const REPORT_INTERVAL: u64 = 64;

/// The directory, as the thread that writes holds it.
#[derive(Debug)]
pub struct Store {
    directory: Arc<dyn Directory>,
    owner: Owner,
    /// The generation that is written to. None: everything is to be saved first.
    generation: Option<Generation>,
    /// The number of the latest generation that is whole; no later one is.
    number: u64,
    /// One that was damaged.
    damaged: Option<u64>,
    blobs: Blobs,
    /// Blobs that are referred to by what would be found after a crash, whichever of the saves under way is found.
    referenced: BTreeSet<Digest>,
    registry_file: RegistryFile,
    saves: u64,
}

/// A generation that is whole.
struct FoundGeneration {
    number: u64,
    contents: GenerationContents,
    stored: PersistedState,
}

/// What the generations in a directory come to.
#[derive(Default)]
struct Found {
    newest_whole: Option<FoundGeneration>,
    damaged: Option<u64>,
}

impl Store {
    /// Reads what is there. Nothing is written, so that nothing can be lost. `new_disk_id`: if there is none.
    ///
    /// # Errors
    /// The disk refuses to be read.
    pub fn open(
        directory: Arc<dyn Directory>,
        name: &str,
        new_disk_id: u64,
    ) -> Result<(Store, LoadedState), StorageError> {
        let (registry_file, heartbeats) = RegistryFile::read(&*directory);
        let numbers = generation::numbers(&*directory).map_err(StorageError::of_directory)?;
        let mut blobs = Blobs::default();
        let Found { newest_whole, damaged } = find_newest(&*directory, &numbers, name, &mut blobs)?;
        let (number, referenced, disk_id, stored) = match newest_whole {
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

    /// Saves all of it, in order, synced together.
    ///
    /// # Errors
    /// What the disk says. Then nothing but [`Store::save_full`] succeeds.
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

    /// Saves everything: in the generation that is written to, or in a new one if that has failed or there is none yet.
    ///
    /// # Errors
    /// What the disk says. Then nothing but [`Store::save_full`] succeeds.
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
        // It is whole and holds all that there was, and nothing rests on it yet: either may be found after a crash.
        self.number = number;
        self.remove_earlier_generations()?;
        directory.sync().map_err(StorageError::of_directory)?;
        // From here on it alone is found.
        self.referenced = generation.references();
        self.remove_unreferenced_blobs()?;
        self.generation = Some(generation);
        self.report_size();
        Ok(())
    }

    /// Removes generations of earlier tries that never became whole.
    fn remove_unfinished_generations(&self) -> Result<(), StorageError> {
        let numbers = generation::numbers(&*self.directory).map_err(StorageError::of_directory)?;
        for number in numbers.into_iter().filter(|number| *number > self.number) {
            let name = generation::file_name(number);
            self.directory.remove(&name).map_err(StorageError::of_directory)?;
        }
        Ok(())
    }

    /// Removes all generations but the latest; one that was damaged is kept under another name.
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

    /// Writes the registry, for the next start.
    pub fn write_registry(&mut self, heartbeats: &[Heartbeat]) {
        if let Err(error) = self.registry_file.write(&*self.directory, heartbeats) {
            log::warn!("storage: the registry is not saved: {error}");
        }
    }

    /// Syncs the registry behind a save, when whoever waited for that waits no longer.
    pub fn sync_registry(&mut self) {
        if self.generation.is_none() {
            return;
        }
        if let Err(error) = self.registry_file.sync(&*self.directory) {
            log::warn!("storage: the registry is not saved: {error}");
        }
    }

    /// What is to be stored, with its blobs on the disk, and the values that it refers to.
    fn prepare(&mut self, changes: &[Persist]) -> Result<(Vec<StoredChange>, Values), StorageError> {
        let (mut prepared, mut values) = (Vec::new(), Values::new());
        for change in changes {
            let change = self.prepare_change(change, &mut values)?;
            // The save may fail and be found all the same.
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

/// The newest generation that is whole. Of two that are whole the later one holds all of the earlier. One that is damaged
/// beside an earlier one was never whole, for nothing rests on a generation before all others are gone.
fn find_newest(
    directory: &dyn Directory,
    numbers: &[u64],
    name: &str,
    blobs: &mut Blobs,
) -> Result<Found, StorageError> {
    let mut found = Found::default();
    for number in numbers {
        match read_generation(directory, *number, name, blobs) {
            Ok(None) => log::info!("storage: {} was never whole", generation::file_name(*number)),
            Ok(Some((contents, stored))) => {
                found.newest_whole = Some(FoundGeneration { number: *number, contents, stored });
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

/// What a generation holds, with its blobs. None, if nothing was ever saved in it.
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
        return Err(StorageError::Damaged(format!("{file} is {owner}'s, not {name}'s")));
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
