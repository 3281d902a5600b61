//! A disk in memory that stands in for one: it loses power at a set operation, refuses, and may make of a loss of power whatever a
//! disk may. Written bytes that were not synced are there, missing or torn; names made, renamed and removed are kept or
//! lost one by one before the folder was synced.

use super::directory::{DataFile, Directory};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Len(u64),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// As it is read.
    seen: Vec<u8>,
    /// As it would be after a loss of power, whatever comes.
    lasting: Vec<u8>,
    /// What has changed since, and is not synced.
    open: Vec<Change>,
}

/// What the disk does when it is asked for something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskBehaviour {
    #[default]
    Healthy,
    /// Nothing more is written; what was is read. A sync that is refused forgets what it was to write, as systems do.
    Full,
    /// Nothing at all.
    Dead,
    /// Whoever writes waits until it does something else.
    Stalled,
}

/// What becomes of what was not synced.
#[derive(Clone, Copy, Debug)]
pub enum PowerLoss {
    /// The process is killed: the system has it all.
    None,
    /// Power is lost, and all of it.
    All,
    /// Power is lost, and each by lot.
    Random(u64),
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    lasting: BTreeMap<String, u64>,
    /// Names that have changed since the folder was synced, in order.
    open: Vec<(String, Option<u64>)>,
    next: u64,
    behaviour: DiskBehaviour,
    /// Operations that write, until power is lost.
    left: Option<u64>,
    /// Operations that write, until one is refused.
    refuses: Option<u64>,
    counts: Counts,
}

/// What was asked of the disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub operations: u64,
    pub writes: u64,
    pub bytes: u64,
    pub syncs: u64,
    /// The most bytes that stood on it at once.
    pub peak: u64,
}

#[derive(Clone, Debug, Default)]
pub struct FakeDisk(Arc<(Mutex<State>, Condvar)>);

#[derive(Debug)]
struct Open(FakeDisk, u64);

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap()
    }

    /// The same, once whoever writes gets an answer.
    fn answers(&self) -> MutexGuard<'_, State> {
        self.0 .1.wait_while(self.state(), |state| state.behaviour == DiskBehaviour::Stalled).unwrap()
    }

    pub fn set_behaviour(&self, mood: DiskBehaviour) {
        self.state().behaviour = mood;
        self.0 .1.notify_all();
    }

    /// Power is lost at the operation behind so many that write.
    pub fn dies_after(&self, operations: u64) {
        self.state().left = Some(operations);
    }

    /// The operation behind so many that write is refused; the others are not.
    pub fn refuses_after(&self, operations: u64) {
        self.state().refuses = Some(operations);
    }

    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// The names that are there.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// A file's bytes are these from now on, for good.
    pub fn spoil(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let inode = state.names[name];
        state.files.insert(inode, File { seen: bytes.clone(), lasting: bytes, open: Vec::new() });
    }

    /// The disk as the next process finds it.
    pub fn after(&self, loss: PowerLoss) -> FakeDisk {
        let state = self.state();
        let mut rng = Rng::with_seed(if let PowerLoss::Random(seed) = loss { seed } else { 0 });
        let mut new = State { next: state.next, ..State::default() };
        if matches!(loss, PowerLoss::None) {
            (new.files, new.names) = (state.files.clone(), state.names.clone());
            (new.lasting, new.open) = (state.lasting.clone(), state.open.clone());
            return FakeDisk(Arc::new((Mutex::new(new), Condvar::new())));
        }
        let mut kept = |one_in: u64| matches!(loss, PowerLoss::Random(_)) && rng.u64(..one_in) > 0;
        new.names = state.lasting.clone();
        for (name, inode) in &state.open {
            match inode {
                _ if !kept(2) => {}
                Some(inode) => drop(new.names.insert(name.clone(), *inode)),
                None => drop(new.names.remove(name)),
            }
        }
        for (inode, file) in &state.files {
            let mut bytes = file.lasting.clone();
            for change in &file.open {
                let change = match change {
                    _ if !kept(3) => continue,
                    Change::Write(at, written) if !kept(4) => {
                        Change::Write(*at, written[..written.len() / 2].to_vec())
                    }
                    change => change.clone(),
                };
                apply(&mut bytes, &change);
            }
            new.files.insert(*inode, File { seen: bytes.clone(), lasting: bytes, open: Vec::new() });
        }
        new.lasting = new.names.clone();
        FakeDisk(Arc::new((Mutex::new(new), Condvar::new())))
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Len(len) => bytes.resize(*len as usize, 0),
        Change::Write(at, written) => {
            let (from, to) = (*at as usize, *at as usize + written.len());
            if bytes.len() < to {
                bytes.resize(to, 0);
            }
            bytes[from..to].copy_from_slice(written);
        }
    }
}

fn refused() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl State {
    fn reads(&self) -> io::Result<()> {
        if self.behaviour == DiskBehaviour::Dead {
            Err(io::Error::other("it does not answer"))
        } else {
            Ok(())
        }
    }

    /// An operation that writes. None: it is refused; else whether power is lost while it is at work.
    fn writes(&mut self) -> io::Result<bool> {
        self.counts.operations += 1;
        if let Some(left) = &mut self.refuses {
            if *left == 0 {
                self.refuses = None;
                return Err(refused());
            }
            *left -= 1;
        }
        match &mut self.left {
            Some(0) => {
                self.behaviour = DiskBehaviour::Dead;
                self.left = None;
                Ok(true)
            }
            Some(left) => {
                *left -= 1;
                Ok(false)
            }
            None if self.behaviour == DiskBehaviour::Healthy => Ok(false),
            None => Err(refused()),
        }
    }

    fn rename(&mut self, name: &str, inode: Option<u64>) {
        match inode {
            Some(inode) => drop(self.names.insert(name.into(), inode)),
            None => drop(self.names.remove(name)),
        }
        self.open.push((name.into(), inode));
    }

    fn inode(&self, name: &str) -> io::Result<u64> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change(&mut self, inode: u64, change: Change) {
        let file = self.files.get_mut(&inode).unwrap();
        apply(&mut file.seen, &change);
        file.open.push(change);
        let bytes: u64 = self.names.values().map(|i| self.files[i].seen.len() as u64).sum();
        self.counts.peak = self.counts.peak.max(bytes);
    }
}

/// Done, but power went while it was at work.
fn done(dies: bool) -> io::Result<()> {
    if dies {
        Err(io::Error::other("power was lost"))
    } else {
        Ok(())
    }
}

impl Directory for FakeDisk {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let state = self.state();
        state.reads()?;
        Ok(state.names.iter().map(|(n, i)| (n.clone(), state.files[i].seen.len() as u64)).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        state.reads()?;
        Ok(state.files[&state.inode(name)?].seen.clone())
    }

    fn open(&self, name: &str, new: bool) -> io::Result<Arc<dyn DataFile>> {
        let mut state = self.answers();
        if !new {
            state.reads()?;
            return Ok(Arc::new(Open(self.clone(), state.inode(name)?)));
        }
        let dies = state.writes()?;
        let inode = match state.inode(name) {
            Ok(inode) => {
                state.change(inode, Change::Len(0));
                inode
            }
            Err(_) => {
                state.next += 1;
                let inode = state.next;
                state.files.insert(inode, File::default());
                state.rename(name, Some(inode));
                inode
            }
        };
        done(dies)?;
        Ok(Arc::new(Open(self.clone(), inode)))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.answers();
        // It takes no room.
        if state.behaviour == DiskBehaviour::Full {
            state.inode(name)?;
            state.rename(name, None);
            return Ok(());
        }
        let dies = state.writes()?;
        state.inode(name)?;
        state.rename(name, None);
        done(dies)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.answers();
        let dies = state.writes()?;
        let inode = state.inode(from)?;
        state.rename(to, Some(inode));
        state.rename(from, None);
        done(dies)
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.answers();
        state.counts.syncs += 1;
        // Power that is lost in the middle of it has synced nothing for sure.
        done(state.writes()?)?;
        state.lasting = state.names.clone();
        state.open.clear();
        Ok(())
    }
}

impl DataFile for Open {
    fn len(&self) -> io::Result<u64> {
        let state = self.0.state();
        state.reads()?;
        Ok(state.files[&self.1].seen.len() as u64)
    }

    fn read(&self, at: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.state();
        state.reads()?;
        let bytes = state.files[&self.1].seen.get(at as usize..at as usize + out.len());
        out.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.answers();
        let dies = state.writes()?;
        state.counts.writes += 1;
        state.counts.bytes += bytes.len() as u64;
        state.change(self.1, Change::Write(at, bytes.to_vec()));
        done(dies)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.0.answers();
        let dies = state.writes()?;
        state.change(self.1, Change::Len(len));
        done(dies)
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.0.answers();
        state.counts.syncs += 1;
        let dies = match state.writes() {
            Ok(dies) => dies,
            Err(refused) => {
                state.files.get_mut(&self.1).unwrap().open.clear();
                return Err(refused);
            }
        };
        done(dies)?;
        let file = state.files.get_mut(&self.1).unwrap();
        let open = std::mem::take(&mut file.open);
        open.iter().for_each(|change| apply(&mut file.lasting, change));
        Ok(())
    }
}
