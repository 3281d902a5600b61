//! A fake disk in memory. It can lose power at a given operation, fail operations, and simulate any outcome of a power loss
//! that a real disk allows: unsynced writes are kept, lost or torn, and each unsynced creation, renaming or removal of a name is
//! kept or lost on its own.

use super::directory::{DataFile, Directory};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    SetLength(u64),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// Contents as read by the running process.
    contents: Vec<u8>,
    /// Contents that survive any power loss.
    durable: Vec<u8>,
    /// Changes that have not been synced.
    unsynced: Vec<Change>,
}

/// How the disk responds to operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskBehaviour {
    #[default]
    Healthy,
    /// Writes fail and reads succeed. A failed sync discards the unsynced changes, as operating systems do.
    Full,
    /// Writes and reads fail.
    Failed,
    /// Writes block until the behaviour changes.
    Stalled,
}

/// What happens to unsynced changes.
#[derive(Clone, Copy, Debug)]
pub enum PowerLoss {
    /// The process is killed: the operating system keeps all changes.
    None,
    /// Power is lost: all unsynced changes are lost.
    All,
    /// Power is lost: each unsynced change is kept, lost or torn at random.
    Random(u64),
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    /// Changes of names since the directory was last synced, in order.
    unsynced_names: Vec<(String, Option<u64>)>,
    last_inode: u64,
    behaviour: DiskBehaviour,
    /// Number of write operations before the one at which power is lost.
    writes_until_power_loss: Option<u64>,
    /// Number of write operations before the one that fails.
    writes_until_failure: Option<u64>,
    counts: Counts,
}

/// Counts of the operations on the disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub operations: u64,
    pub writes: u64,
    pub bytes: u64,
    pub syncs: u64,
    /// Maximum total length of all files.
    pub peak_bytes: u64,
}

/// The fake disk; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk(Arc<(Mutex<State>, Condvar)>);

#[derive(Debug)]
struct OpenFile(FakeDisk, u64);

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap()
    }

    /// Returns the state once the disk is not stalled.
    fn responsive_state(&self) -> MutexGuard<'_, State> {
        self.0 .1.wait_while(self.state(), |state| state.behaviour == DiskBehaviour::Stalled).unwrap()
    }

    pub fn set_behaviour(&self, behaviour: DiskBehaviour) {
        self.state().behaviour = behaviour;
        self.0 .1.notify_all();
    }

    /// Loses power at the write operation after this many.
    pub fn lose_power_after(&self, operations: u64) {
        self.state().writes_until_power_loss = Some(operations);
    }

    /// Fails the write operation after this many, and only that one.
    pub fn fail_write_after(&self, operations: u64) {
        self.state().writes_until_failure = Some(operations);
    }

    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Returns the names of all files.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Replaces a file's contents durably.
    pub fn corrupt(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let inode = state.names[name];
        state.files.insert(inode, File { contents: bytes.clone(), durable: bytes, unsynced: Vec::new() });
    }

    /// Returns the disk as the next process finds it.
    pub fn restarted_after(&self, loss: PowerLoss) -> FakeDisk {
        let state = self.state();
        let mut rng = Rng::with_seed(if let PowerLoss::Random(seed) = loss { seed } else { 0 });
        let mut new = State { last_inode: state.last_inode, ..State::default() };
        if matches!(loss, PowerLoss::None) {
            (new.files, new.names) = (state.files.clone(), state.names.clone());
            (new.durable_names, new.unsynced_names) =
                (state.durable_names.clone(), state.unsynced_names.clone());
            return FakeDisk(Arc::new((Mutex::new(new), Condvar::new())));
        }
        let mut is_kept = |one_in: u64| matches!(loss, PowerLoss::Random(_)) && rng.u64(..one_in) > 0;
        new.names = state.durable_names.clone();
        for (name, inode) in &state.unsynced_names {
            match inode {
                _ if !is_kept(2) => {}
                Some(inode) => drop(new.names.insert(name.clone(), *inode)),
                None => drop(new.names.remove(name)),
            }
        }
        for (inode, file) in &state.files {
            let mut bytes = file.durable.clone();
            for change in &file.unsynced {
                let change = match change {
                    _ if !is_kept(3) => continue,
                    Change::Write(offset, written) if !is_kept(4) => {
                        Change::Write(*offset, written[..written.len() / 2].to_vec())
                    }
                    change => change.clone(),
                };
                apply(&mut bytes, &change);
            }
            new.files.insert(*inode, File { contents: bytes.clone(), durable: bytes, unsynced: Vec::new() });
        }
        new.durable_names = new.names.clone();
        FakeDisk(Arc::new((Mutex::new(new), Condvar::new())))
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::SetLength(length) => bytes.resize(*length as usize, 0),
        Change::Write(offset, written) => {
            let (from, to) = (*offset as usize, *offset as usize + written.len());
            if bytes.len() < to {
                bytes.resize(to, 0);
            }
            bytes[from..to].copy_from_slice(written);
        }
    }
}

fn disk_full_error() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl State {
    fn check_readable(&self) -> io::Result<()> {
        if self.behaviour == DiskBehaviour::Failed {
            Err(io::Error::other("the disk has failed"))
        } else {
            Ok(())
        }
    }

    /// Starts a write operation. Returns an error if it fails, and otherwise whether power is lost during it.
    fn begin_write(&mut self) -> io::Result<bool> {
        self.counts.operations += 1;
        if let Some(remaining) = &mut self.writes_until_failure {
            if *remaining == 0 {
                self.writes_until_failure = None;
                return Err(disk_full_error());
            }
            *remaining -= 1;
        }
        match &mut self.writes_until_power_loss {
            Some(0) => {
                self.behaviour = DiskBehaviour::Failed;
                self.writes_until_power_loss = None;
                Ok(true)
            }
            Some(remaining) => {
                *remaining -= 1;
                Ok(false)
            }
            None if self.behaviour == DiskBehaviour::Healthy => Ok(false),
            None => Err(disk_full_error()),
        }
    }

    fn set_name(&mut self, name: &str, inode: Option<u64>) {
        match inode {
            Some(inode) => drop(self.names.insert(name.into(), inode)),
            None => drop(self.names.remove(name)),
        }
        self.unsynced_names.push((name.into(), inode));
    }

    fn inode(&self, name: &str) -> io::Result<u64> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn apply_change(&mut self, inode: u64, change: Change) {
        let file = self.files.get_mut(&inode).unwrap();
        apply(&mut file.contents, &change);
        file.unsynced.push(change);
        let bytes: u64 = self.names.values().map(|i| self.files[i].contents.len() as u64).sum();
        self.counts.peak_bytes = self.counts.peak_bytes.max(bytes);
    }
}

/// Ends a write operation: returns an error if power was lost during it.
fn finish_write(loses_power: bool) -> io::Result<()> {
    if loses_power {
        Err(io::Error::other("power was lost"))
    } else {
        Ok(())
    }
}

impl Directory for FakeDisk {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let state = self.state();
        state.check_readable()?;
        Ok(state.names.iter().map(|(n, i)| (n.clone(), state.files[i].contents.len() as u64)).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        state.check_readable()?;
        Ok(state.files[&state.inode(name)?].contents.clone())
    }

    fn open(&self, name: &str, truncate: bool) -> io::Result<Arc<dyn DataFile>> {
        let mut state = self.responsive_state();
        if !truncate {
            state.check_readable()?;
            return Ok(Arc::new(OpenFile(self.clone(), state.inode(name)?)));
        }
        let loses_power = state.begin_write()?;
        let inode = match state.inode(name) {
            Ok(inode) => {
                state.apply_change(inode, Change::SetLength(0));
                inode
            }
            Err(_) => {
                state.last_inode += 1;
                let inode = state.last_inode;
                state.files.insert(inode, File::default());
                state.set_name(name, Some(inode));
                inode
            }
        };
        finish_write(loses_power)?;
        Ok(Arc::new(OpenFile(self.clone(), inode)))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.responsive_state();
        // Removing a name needs no space.
        if state.behaviour == DiskBehaviour::Full {
            state.inode(name)?;
            state.set_name(name, None);
            return Ok(());
        }
        let loses_power = state.begin_write()?;
        state.inode(name)?;
        state.set_name(name, None);
        finish_write(loses_power)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.responsive_state();
        let loses_power = state.begin_write()?;
        let inode = state.inode(from)?;
        state.set_name(to, Some(inode));
        state.set_name(from, None);
        finish_write(loses_power)
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.responsive_state();
        state.counts.syncs += 1;
        // If power is lost during the sync, nothing is guaranteed to be durable.
        finish_write(state.begin_write()?)?;
        state.durable_names = state.names.clone();
        state.unsynced_names.clear();
        Ok(())
    }
}

impl DataFile for OpenFile {
    fn len(&self) -> io::Result<u64> {
        let state = self.0.state();
        state.check_readable()?;
        Ok(state.files[&self.1].contents.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.state();
        state.check_readable()?;
        let bytes = state.files[&self.1].contents.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.responsive_state();
        let loses_power = state.begin_write()?;
        state.counts.writes += 1;
        state.counts.bytes += bytes.len() as u64;
        state.apply_change(self.1, Change::Write(offset, bytes.to_vec()));
        finish_write(loses_power)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut state = self.0.responsive_state();
        let loses_power = state.begin_write()?;
        state.apply_change(self.1, Change::SetLength(length));
        finish_write(loses_power)
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.0.responsive_state();
        state.counts.syncs += 1;
        let loses_power = match state.begin_write() {
            Ok(loses_power) => loses_power,
            Err(error) => {
                state.files.get_mut(&self.1).unwrap().unsynced.clear();
                return Err(error);
            }
        };
        finish_write(loses_power)?;
        let file = state.files.get_mut(&self.1).unwrap();
        let unsynced = std::mem::take(&mut file.unsynced);
        unsynced.iter().for_each(|change| apply(&mut file.durable, change));
        Ok(())
    }
}
