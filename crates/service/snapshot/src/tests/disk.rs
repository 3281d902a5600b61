//! Checks with a fake disk that stops after any step and keeps an arbitrary part of what was not synced.

use super::ensure;
use crate::files::{confirm, load, save, Disk, FILE_NAME};
use std::collections::BTreeMap;
use std::io;

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    /// Content written since the last sync.
    unsynced: Option<Vec<u8>>,
}

/// Keeps names and contents apart, as a file system does: each becomes durable by its own sync.
#[derive(Clone, Default)]
struct FakeDisk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    /// Changes of names since the directory was synced, in order.
    pending_names: Vec<(String, Option<usize>)>,
    /// Number of steps that succeed before the power fails or the disk refuses every operation.
    remaining_steps: Option<usize>,
}

impl FakeDisk {
    fn step(&mut self) -> io::Result<()> {
        match &mut self.remaining_steps {
            Some(0) => Err(io::Error::other("no space left")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn bind(&mut self, name: &str, to: Option<usize>) {
        match to {
            Some(content) => drop(self.names.insert(name.into(), content)),
            None => drop(self.names.remove(name)),
        }
        self.pending_names.push((name.into(), to));
    }

    /// Returns every state in which this disk may be found after a power failure.
    fn crash_states(&self) -> Vec<FakeDisk> {
        let mut states = Vec::new();
        for renamed in 0..=self.pending_names.len() {
            for kept in 0..3 {
                let mut names = self.synced_names.clone();
                for (name, to) in &self.pending_names[..renamed] {
                    match to {
                        Some(content) => drop(names.insert(name.clone(), *content)),
                        None => drop(names.remove(name)),
                    }
                }
                let content = |c: &Content| {
                    let durable = c.unsynced.as_ref().map(|unsynced| match kept {
                        0 => c.synced.clone(),
                        1 => unsynced[..unsynced.len() / 2].to_vec(),
                        _ => unsynced.clone(),
                    });
                    Content { synced: durable.unwrap_or_else(|| c.synced.clone()), unsynced: None }
                };
                let contents = self.contents.iter().map(content).collect();
                states.push(FakeDisk {
                    contents,
                    names: names.clone(),
                    synced_names: names,
                    ..FakeDisk::default()
                });
            }
        }
        states
    }
}

impl Disk for FakeDisk {
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let content = match self.names.get(name) {
            Some(content) => *content,
            None => {
                self.contents.push(Content::default());
                self.bind(name, Some(self.contents.len() - 1));
                self.contents.len() - 1
            }
        };
        self.contents[content].unsynced = Some(bytes.to_vec());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let content = &mut self.contents[self.names[name]];
        if let Some(unsynced) = content.unsynced.take() {
            content.synced = unsynced;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let content = *self.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        // A rename is atomic: one of the two names always exists.
        self.names.remove(from);
        self.names.insert(to.into(), content);
        self.pending_names.push((to.into(), Some(content)));
        self.pending_names.push((from.into(), None));
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced_names = self.names.clone();
        self.pending_names.clear();
        Ok(())
    }

    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let content = self.names.get(name).map(|c| &self.contents[*c]);
        let bytes = content.map(|c| c.unsynced.as_ref().unwrap_or(&c.synced));
        Ok(bytes.map(|b| b[..b.len().min(max_bytes)].to_vec()))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.bind(name, None);
        Ok(())
    }
}

const OLD: &[u8] = b"the previous snapshot, complete";
const NEW: &[u8] = b"the new snapshot: different bytes, and more of them";

fn disk_with_old_snapshot() -> Result<FakeDisk, String> {
    let mut disk = FakeDisk::default();
    save(&mut disk, OLD).map_err(|e| e.to_string())?;
    Ok(disk)
}

pub(super) fn crash_points() -> Result<(), String> {
    let mut states = 0;
    for steps in 0..8 {
        let mut disk = disk_with_old_snapshot()?;
        disk.remaining_steps = Some(steps);
        let saved = save(&mut disk, NEW).is_ok();
        for mut found in disk.crash_states() {
            states += 1;
            let read = load(&mut found).map_err(|e| e.to_string())?;
            let allowed = if saved { [NEW, NEW] } else { [OLD, NEW] };
            ensure(read.as_deref().is_some_and(|r| allowed.contains(&r)), || {
                let text = read.map(|r| String::from_utf8_lossy(&r).to_string());
                format!("after {steps} steps (saved: {saved}): {text:?}")
            })?;
        }
    }
    ensure(states > 30, || format!("{states} states"))
}

pub(super) fn failing_disk() -> Result<(), String> {
    for steps in 0..4 {
        let mut disk = disk_with_old_snapshot()?;
        disk.remaining_steps = Some(steps);
        ensure(save(&mut disk, NEW).is_err(), || format!("{steps} steps are enough"))?;
        disk.remaining_steps = None;
        let read = disk.read(FILE_NAME, 1000).map_err(|e| e.to_string())?;
        ensure(read.as_deref().is_some_and(|r| [OLD, NEW].contains(&r)), || format!("{read:?}"))?;
        // The next save succeeds.
        save(&mut disk, NEW).map_err(|e| e.to_string())?;
        let read = disk.read(FILE_NAME, 1000).map_err(|e| e.to_string())?;
        ensure(read.as_deref() == Some(NEW), || format!("{read:?}"))?;
    }
    Ok(())
}

pub(super) fn tried_once() -> Result<(), String> {
    let message = |e: io::Error| e.to_string();
    let mut disk = disk_with_old_snapshot()?;
    ensure(load(&mut disk).map_err(message)?.is_some(), || "no snapshot was loaded".into())?;
    // The process crashes with it and is restarted.
    ensure(load(&mut disk).map_err(message)?.is_none(), || "the snapshot is loaded again".into())?;
    // If the process survives, the snapshot is available again,
    let mut disk = disk_with_old_snapshot()?;
    load(&mut disk).map_err(message)?;
    confirm(&mut disk).map_err(message)?;
    ensure(load(&mut disk).map_err(message)?.as_deref() == Some(OLD), || "the snapshot is lost".into())?;
    // or a newer one in its place.
    let mut disk = disk_with_old_snapshot()?;
    load(&mut disk).map_err(message)?;
    save(&mut disk, NEW).map_err(message)?;
    confirm(&mut disk).map_err(message)?;
    ensure(load(&mut disk).map_err(message)?.as_deref() == Some(NEW), || {
        "the older snapshot came back".into()
    })?;
    // Confirming without a loaded snapshot does nothing.
    confirm(&mut FakeDisk::default()).map_err(message)
}
