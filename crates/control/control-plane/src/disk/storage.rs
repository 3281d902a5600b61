//! What is kept in the folder, and in which order it is written: blobs before what names them; a new generation whole and synced,
//! and every other one gone for good, before anything rests on it.

use super::blobs::{self, Blobs, Digest, Values};
use super::cell::{self, Kept};
use super::folder::Folder;
use super::generation::{self, Entry, Generation, Owner, Said, Snapshot};
use super::{Fault, Held};
use consensus::{Place, Save, Stored};
use registry::Fact;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Bytes on the disk at the most, whatever comes: blobs, two generations, one that made no sense, and the cell's two files.
pub const MOST: u64 = blobs::MOST + 3 * generation::MOST + 2 * cell::MOST as u64;
/// A generation that made no sense, for whoever wants to look at it.
const DAMAGED: &str = "damaged";
/// It is said how much is on the disk whenever so many saves were done.
const SAY: u64 = 64;

/// The folder, as the thread that writes holds it.
#[derive(Debug)]
pub struct Storage {
    folder: Arc<dyn Folder>,
    owner: Owner,
    /// That which is written to. None: the whole is to be saved first.
    generation: Option<Generation>,
    /// The latest that is whole; no later one is.
    number: u64,
    /// One that made no sense.
    damaged: Option<u64>,
    blobs: Blobs,
    /// Blobs that are named by what would be found after a crash, whichever of the saves under way is found.
    named: BTreeSet<Digest>,
    cell: Kept,
    saves: u64,
}

impl Storage {
    /// Reads what is there. Nothing is written, so that nothing can be lost. `new`: the id, if there is none.
    ///
    /// # Errors
    /// The disk refuses to be read.
    pub fn open(folder: Arc<dyn Folder>, name: &str, new: u64) -> Result<(Storage, Held), Fault> {
        let (cell, facts) = Kept::read(&*folder);
        let numbers = generation::numbers(&*folder).map_err(|e| Fault::Io("the folder".into(), e))?;
        let (mut found, mut damaged, mut blobs) = (None, None, Blobs::default());
        // Of two that are whole the later one holds all of the earlier. One that makes no sense beside an earlier one was never
        // whole, for whatever rests on a generation is said after all others are gone.
        for number in &numbers {
            match read(&*folder, *number, name, &mut blobs) {
                Ok(None) => log::info!("disk: {} was never whole", generation::name(*number)),
                Ok(Some(held)) => {
                    found = Some((*number, held));
                    break;
                }
                Err(Fault::Damaged(why)) => {
                    log::warn!("disk: {why}");
                    damaged = damaged.or(Some(*number));
                }
                Err(fault) => return Err(fault),
            }
        }
        let (number, named, disk, stored) = match found {
            Some((number, (held, stored))) => (number, held.blobs(), held.owner.disk, stored),
            None => {
                if damaged.is_some() {
                    log::warn!("disk: begun anew, as with a lost disk");
                }
                (numbers.first().copied().unwrap_or(0), BTreeSet::new(), new, Stored::default())
            }
        };
        let owner = Owner::new(name, disk);
        let storage = Storage {
            folder,
            owner,
            generation: None,
            number,
            damaged: damaged.filter(|d| *d == number),
            blobs,
            named,
            cell,
            saves: 0,
        };
        Ok((storage, Held { id: disk, stored, cell: facts }))
    }

    /// Saves all of it, in order, synced together.
    ///
    /// # Errors
    /// What the disk says. Then nothing more is saved but the whole.
    pub fn save(&mut self, saves: &[Save], agreed: Place) -> Result<(), Fault> {
        let mut generation = self.generation.take().ok_or(Fault::Given)?;
        let (kept, values) = self.take_apart(saves)?;
        generation.save(&kept, &values, agreed)?;
        self.named = generation.blobs();
        self.blobs.keep_only(&self.named, &*self.folder);
        self.generation = Some(generation);
        self.count();
        Ok(())
    }

    /// Saves the whole: in the generation that is written to, or in a new one if that has failed or there is none yet.
    ///
    /// # Errors
    /// What the disk says. Then nothing more is saved but the whole.
    pub fn whole(&mut self, stored: &Stored) -> Result<(), Fault> {
        let saves = [
            Save::Term { term: stored.term, vote: stored.vote.clone() },
            Save::Snapshot { snapshot: stored.snapshot.clone(), whole: true },
            Save::Entries { from: stored.snapshot.place + 1, entries: stored.entries.clone() },
        ];
        if self.generation.is_some() {
            return self.save(&saves, stored.agreed);
        }
        let folder = self.folder.clone();
        let io = |e| Fault::Io("the folder".into(), e);
        // Those that never came to be whole, of earlier tries, and blobs that nothing names.
        for number in generation::numbers(&*folder).map_err(io)?.into_iter().filter(|n| *n > self.number) {
            folder.remove(&generation::name(number)).map_err(io)?;
        }
        self.blobs.sweep(&self.named, &*folder).map_err(io)?;
        let (kept, values) = self.take_apart(&saves)?;
        let number = self.number + 1;
        let generation = Generation::begin(&*folder, number, &self.owner, &kept, &values, stored.agreed)?;
        folder.sync().map_err(io)?;
        // It is whole and holds all that there was, and nothing rests on it yet: either may be found after a crash.
        self.number = number;
        for number in generation::numbers(&*folder).map_err(io)?.into_iter().filter(|n| *n != self.number) {
            let name = generation::name(number);
            let damaged = self.damaged.take_if(|d| *d == number).is_some();
            let gone = if damaged { folder.rename(&name, DAMAGED) } else { folder.remove(&name) };
            gone.map_err(io)?;
        }
        folder.sync().map_err(io)?;
        // From here on it alone is found.
        self.named = generation.blobs();
        self.blobs.sweep(&self.named, &*folder).map_err(io)?;
        self.generation = Some(generation);
        self.count();
        Ok(())
    }

    /// Keeps the cell's lives.
    pub fn keep(&mut self, facts: &[Fact]) {
        if let Err(e) = self.cell.write(&*self.folder, facts) {
            log::warn!("disk: the cell is not kept: {e}");
        }
    }

    /// What can be done behind a save, when whoever waited for it waits no longer.
    pub fn rest(&mut self) {
        if self.generation.is_none() {
            return;
        }
        if let Err(e) = self.cell.sync(&*self.folder) {
            log::warn!("disk: the cell is not kept: {e}");
        }
    }

    /// What is to be kept, its blobs on the disk, and the values that it names.
    fn take_apart(&mut self, saves: &[Save]) -> Result<(Vec<generation::Save>, Values), Fault> {
        let (mut kept, mut values) = (Vec::new(), Values::new());
        for save in saves {
            let save = self.take_one_apart(save, &mut values)?;
            // The save may fail and be found all the same.
            self.named.extend(save.blobs());
            kept.push(save);
        }
        self.blobs.last(&*self.folder)?;
        Ok((kept, values))
    }

    fn take_one_apart(&mut self, save: &Save, values: &mut Values) -> Result<generation::Save, Fault> {
        let folder = &*self.folder;
        Ok(match save {
            Save::Term { term, vote } => generation::Save::Term(*term, vote.clone()),
            Save::Entries { from, entries } => {
                let mut kept = Vec::new();
                for entry in entries {
                    let said = match &entry.said {
                        consensus::Said::Nothing => Said::Nothing,
                        consensus::Said::Members(members) => Said::Members(members.clone()),
                        consensus::Said::Joint { old, new } => Said::Joint(old.clone(), new.clone()),
                        consensus::Said::Word(word) => Said::Word(self.blobs.put(folder, word, values)?),
                    };
                    kept.push(Entry { term: entry.term, said });
                }
                generation::Save::Entries(*from, kept)
            }
            Save::Snapshot { snapshot: s, whole } => {
                let state = self.blobs.put(folder, &s.state, values)?;
                let snapshot = Snapshot { place: s.place, term: s.term, members: s.members.clone(), state };
                generation::Save::Snapshot(snapshot, *whole)
            }
        })
    }

    fn count(&mut self) {
        self.saves += 1;
        if self.saves % SAY == 1 {
            let listed = self.folder.list().unwrap_or_default();
            let bytes: u64 = listed.iter().map(|(_, length)| length).sum();
            log::info!(
                "disk: {bytes} bytes in {} files after {} saves, {MOST} at the most",
                listed.len(),
                self.saves
            );
        }
    }
}

/// What a generation holds, with its blobs. None, if nothing was ever saved in it.
fn read(
    folder: &dyn Folder,
    number: u64,
    name: &str,
    blobs: &mut Blobs,
) -> Result<Option<(generation::Held, Stored)>, Fault> {
    let Some(held) = generation::Held::read(folder, number)? else { return Ok(None) };
    if held.owner.name != name {
        let file = generation::name(number);
        return Err(Fault::Damaged(format!("{file} is {}'s, not {name}'s", held.owner.name)));
    }
    let mut entries = Vec::new();
    for entry in &held.entries {
        let said = match &entry.said {
            Said::Nothing => consensus::Said::Nothing,
            Said::Members(members) => consensus::Said::Members(members.clone()),
            Said::Joint(old, new) => consensus::Said::Joint { old: old.clone(), new: new.clone() },
            Said::Word(pieces) => consensus::Said::Word(blobs.get(folder, pieces, &held.values)?),
        };
        entries.push(consensus::Entry { term: entry.term, said });
    }
    let s = &held.snapshot;
    let state = blobs.get(folder, &s.state, &held.values)?;
    let snapshot = consensus::Snapshot { place: s.place, term: s.term, members: s.members.clone(), state };
    let stored = Stored { term: held.term, vote: held.vote.clone(), snapshot, entries, agreed: held.agreed };
    Ok(Some((held, stored)))
}
