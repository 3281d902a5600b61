//! What is kept in the folder, and in which order it is written: blobs before what names them; a new generation whole and synced,
//! and every other one gone for good, before anything rests on it.

use super::blobs::{self, Blobs, Digest, Values};
use super::cell::{self, RegistryFile};
use super::folder::Directory;
use super::generation::{self, Generation, Owner, StoredEntry, StoredPayload, StoredSnapshot};
use super::{LoadedState, StorageError};
use consensus::{LogIndex, Persist, PersistedState};
use registry::Heartbeat;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Bytes on the disk at the most, whatever comes: blobs, two generations, one that made no sense, and the cell's two files.
pub const MAX_BYTES: u64 = blobs::MAX_TOTAL_BYTES + 3 * generation::MAX_BYTES + 2 * cell::MAX_BYTES as u64;
/// A generation that made no sense, for whoever wants to look at it.
const DAMAGED_FILE: &str = "damaged";
/// It is said how much is on the disk whenever so many saves were done.
const REPORT_INTERVAL: u64 = 64;

/// The folder, as the thread that writes holds it.
#[derive(Debug)]
pub struct Store {
    folder: Arc<dyn Directory>,
    owner: Owner,
    /// That which is written to. None: the whole is to be saved first.
    generation: Option<Generation>,
    /// The latest that is whole; no later one is.
    number: u64,
    /// One that made no sense.
    damaged: Option<u64>,
    blobs: Blobs,
    /// Blobs that are named by what would be found after a crash, whichever of the saves under way is found.
    referenced: BTreeSet<Digest>,
    registry_file: RegistryFile,
    saves: u64,
}

impl Store {
    /// Reads what is there. Nothing is written, so that nothing can be lost. `new`: the id, if there is none.
    ///
    /// # Errors
    /// The disk refuses to be read.
    pub fn open(
        folder: Arc<dyn Directory>,
        name: &str,
        new: u64,
    ) -> Result<(Store, LoadedState), StorageError> {
        let (cell, facts) = RegistryFile::read(&*folder);
        let numbers = generation::numbers(&*folder).map_err(|e| StorageError::Io("the folder".into(), e))?;
        let (mut found, mut damaged, mut blobs) = (None, None, Blobs::default());
        // Of two that are whole the later one holds all of the earlier. One that makes no sense beside an earlier one was never
        // whole, for whatever rests on a generation is said after all others are gone.
        for number in &numbers {
            match read_generation(&*folder, *number, name, &mut blobs) {
                Ok(None) => log::info!("disk: {} was never whole", generation::name(*number)),
                Ok(Some(held)) => {
                    found = Some((*number, held));
                    break;
                }
                Err(StorageError::Damaged(why)) => {
                    log::warn!("disk: {why}");
                    damaged = damaged.or(Some(*number));
                }
                Err(fault) => return Err(fault),
            }
        }
        let (number, named, disk, stored) = match found {
            Some((number, (held, stored))) => (number, held.blobs(), held.owner.disk_id, stored),
            None => {
                if damaged.is_some() {
                    log::warn!("disk: begun anew, as with a lost disk");
                }
                (numbers.first().copied().unwrap_or(0), BTreeSet::new(), new, PersistedState::default())
            }
        };
        let owner = Owner::new(name, disk);
        let storage = Store {
            folder,
            owner,
            generation: None,
            number,
            damaged: damaged.filter(|d| *d == number),
            blobs,
            referenced: named,
            registry_file: cell,
            saves: 0,
        };
        Ok((storage, LoadedState { disk_id: disk, stored, heartbeats: facts }))
    }

    /// Saves all of it, in order, synced together.
    ///
    /// # Errors
    /// What the disk says. Then nothing more is saved but the whole.
    pub fn save(&mut self, saves: &[Persist], agreed: LogIndex) -> Result<(), StorageError> {
        let mut generation = self.generation.take().ok_or(StorageError::PreviousFailure)?;
        let (kept, values) = self.prepare(saves)?;
        generation.save(&kept, &values, agreed)?;
        self.referenced = generation.blobs();
        self.blobs.retain(&self.referenced, &*self.folder);
        self.generation = Some(generation);
        self.report_size();
        Ok(())
    }

    /// Saves the whole: in the generation that is written to, or in a new one if that has failed or there is none yet.
    ///
    /// # Errors
    /// What the disk says. Then nothing more is saved but the whole.
    pub fn save_full(&mut self, stored: &PersistedState) -> Result<(), StorageError> {
        let saves = [
            Persist::HardState { term: stored.term, vote: stored.vote.clone() },
            Persist::Snapshot { snapshot: stored.snapshot.clone(), replaces_log: true },
            Persist::Entries { from: stored.snapshot.index + 1, entries: stored.entries.clone() },
        ];
        if self.generation.is_some() {
            return self.save(&saves, stored.commit_index);
        }
        let folder = self.folder.clone();
        let io = |e| StorageError::Io("the folder".into(), e);
        // Those that never came to be whole, of earlier tries, and blobs that nothing names.
        for number in generation::numbers(&*folder).map_err(io)?.into_iter().filter(|n| *n > self.number) {
            folder.remove(&generation::name(number)).map_err(io)?;
        }
        self.blobs.remove_unreferenced(&self.referenced, &*folder).map_err(io)?;
        let (kept, values) = self.prepare(&saves)?;
        let number = self.number + 1;
        let generation =
            Generation::create(&*folder, number, &self.owner, &kept, &values, stored.commit_index)?;
        folder.sync().map_err(io)?;
        // It is whole and holds all that there was, and nothing rests on it yet: either may be found after a crash.
        self.number = number;
        for number in generation::numbers(&*folder).map_err(io)?.into_iter().filter(|n| *n != self.number) {
            let name = generation::name(number);
            let damaged = self.damaged.take_if(|d| *d == number).is_some();
            let gone = if damaged { folder.rename(&name, DAMAGED_FILE) } else { folder.remove(&name) };
            gone.map_err(io)?;
        }
        folder.sync().map_err(io)?;
        // From here on it alone is found.
        self.referenced = generation.blobs();
        self.blobs.remove_unreferenced(&self.referenced, &*folder).map_err(io)?;
        self.generation = Some(generation);
        self.report_size();
        Ok(())
    }

    /// Keeps the cell's lives.
    pub fn write_registry(&mut self, facts: &[Heartbeat]) {
        if let Err(e) = self.registry_file.write(&*self.folder, facts) {
            log::warn!("disk: the cell is not kept: {e}");
        }
    }

    /// What can be done behind a save, when whoever waited for it waits no longer.
    pub fn sync_registry(&mut self) {
        if self.generation.is_none() {
            return;
        }
        if let Err(e) = self.registry_file.sync(&*self.folder) {
            log::warn!("disk: the cell is not kept: {e}");
        }
    }

    /// What is to be kept, its blobs on the disk, and the values that it names.
    fn prepare(
        &mut self,
        saves: &[Persist],
    ) -> Result<(Vec<generation::StoredChange>, Values), StorageError> {
        let (mut kept, mut values) = (Vec::new(), Values::new());
        for save in saves {
            let save = self.prepare_one(save, &mut values)?;
            // The save may fail and be found all the same.
            self.referenced.extend(save.blobs());
            kept.push(save);
        }
        self.blobs.make_durable(&*self.folder)?;
        Ok((kept, values))
    }

    fn prepare_one(
        &mut self,
        save: &Persist,
        values: &mut Values,
    ) -> Result<generation::StoredChange, StorageError> {
        let folder = &*self.folder;
        Ok(match save {
            Persist::HardState { term, vote } => generation::StoredChange::HardState(*term, vote.clone()),
            Persist::Entries { from, entries } => {
                let mut kept = Vec::new();
                for entry in entries {
                    let said = match &entry.payload {
                        consensus::EntryPayload::Noop => StoredPayload::Noop,
                        consensus::EntryPayload::Configuration(members) => {
                            StoredPayload::Configuration(members.clone())
                        }
                        consensus::EntryPayload::JointConfiguration { old, new } => {
                            StoredPayload::JointConfiguration(old.clone(), new.clone())
                        }
                        consensus::EntryPayload::Command(word) => {
                            StoredPayload::Command(self.blobs.put(folder, word, values)?)
                        }
                    };
                    kept.push(StoredEntry { term: entry.term, payload: said });
                }
                generation::StoredChange::Entries(*from, kept)
            }
            Persist::Snapshot { snapshot: s, replaces_log: whole } => {
                let state = self.blobs.put(folder, &s.state, values)?;
                let snapshot =
                    StoredSnapshot { index: s.index, term: s.term, voters: s.voters.clone(), state };
                generation::StoredChange::Snapshot(snapshot, *whole)
            }
        })
    }

    fn report_size(&mut self) {
        self.saves += 1;
        if self.saves % REPORT_INTERVAL == 1 {
            let listed = self.folder.list().unwrap_or_default();
            let bytes: u64 = listed.iter().map(|(_, length)| length).sum();
            log::info!(
                "disk: {bytes} bytes in {} files after {} saves, {MAX_BYTES} at the most",
                listed.len(),
                self.saves
            );
        }
    }
}

/// What a generation holds, with its blobs. None, if nothing was ever saved in it.
fn read_generation(
    folder: &dyn Directory,
    number: u64,
    name: &str,
    blobs: &mut Blobs,
) -> Result<Option<(generation::GenerationContents, PersistedState)>, StorageError> {
    let Some(held) = generation::GenerationContents::read(folder, number)? else { return Ok(None) };
    if held.owner.name != name {
        let file = generation::name(number);
        return Err(StorageError::Damaged(format!("{file} is {}'s, not {name}'s", held.owner.name)));
    }
    let mut entries = Vec::new();
    for entry in &held.entries {
        let said = match &entry.payload {
            StoredPayload::Noop => consensus::EntryPayload::Noop,
            StoredPayload::Configuration(members) => consensus::EntryPayload::Configuration(members.clone()),
            StoredPayload::JointConfiguration(old, new) => {
                consensus::EntryPayload::JointConfiguration { old: old.clone(), new: new.clone() }
            }
            StoredPayload::Command(pieces) => {
                consensus::EntryPayload::Command(blobs.assemble(folder, pieces, &held.values)?)
            }
        };
        entries.push(consensus::Entry { term: entry.term, payload: said });
    }
    let s = &held.snapshot;
    let state = blobs.assemble(folder, &s.state, &held.values)?;
    let snapshot = consensus::Snapshot { index: s.index, term: s.term, voters: s.voters.clone(), state };
    let stored = PersistedState {
        term: held.term,
        vote: held.vote.clone(),
        snapshot,
        entries,
        commit_index: held.commit_index,
    };
    Ok(Some((held, stored)))
}
