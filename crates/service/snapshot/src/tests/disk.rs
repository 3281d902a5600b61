//! A disk that stops after any step, and of what was not synced keeps what it likes.

use super::ensure;
use crate::files::{keep, load, save, Disk, NAME};
use std::collections::BTreeMap;
use std::io;

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    /// What was written since.
    now: Option<Vec<u8>>,
}

/// Names and contents apart, as a file system has them: each lasts by its own sync.
#[derive(Clone, Default)]
struct Fake {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    /// Changes of names since the folder was synced, in order.
    pending: Vec<(String, Option<usize>)>,
    /// So many steps are done before the power goes, or before the disk refuses everything.
    steps: Option<usize>,
}

impl Fake {
    fn step(&mut self) -> io::Result<()> {
        match &mut self.steps {
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
        self.pending.push((name.into(), to));
    }

    /// Every state that this disk may be found in after the power went.
    fn after_a_crash(&self) -> Vec<Fake> {
        let mut all = Vec::new();
        for renamed in 0..=self.pending.len() {
            for kept in 0..3 {
                let mut names = self.synced.clone();
                for (name, to) in &self.pending[..renamed] {
                    match to {
                        Some(content) => drop(names.insert(name.clone(), *content)),
                        None => drop(names.remove(name)),
                    }
                }
                let content = |c: &Content| {
                    let written = c.now.as_ref().map(|now| match kept {
                        0 => c.synced.clone(),
                        1 => now[..now.len() / 2].to_vec(),
                        _ => now.clone(),
                    });
                    Content { synced: written.unwrap_or_else(|| c.synced.clone()), now: None }
                };
                let contents = self.contents.iter().map(content).collect();
                all.push(Fake { contents, names: names.clone(), synced: names, ..Fake::default() });
            }
        }
        all
    }
}

impl Disk for Fake {
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
        self.contents[content].now = Some(bytes.to_vec());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let content = &mut self.contents[self.names[name]];
        if let Some(now) = content.now.take() {
            content.synced = now;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let content = *self.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        // One step of the file system: either name, never neither.
        self.names.remove(from);
        self.names.insert(to.into(), content);
        self.pending.push((to.into(), Some(content)));
        self.pending.push((from.into(), None));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced = self.names.clone();
        self.pending.clear();
        Ok(())
    }

    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>> {
        let content = self.names.get(name).map(|c| &self.contents[*c]);
        let bytes = content.map(|c| c.now.as_ref().unwrap_or(&c.synced));
        Ok(bytes.map(|b| b[..b.len().min(most)].to_vec()))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.bind(name, None);
        Ok(())
    }
}

const OLD: &[u8] = b"what the one before left, whole";
const NEWER: &[u8] = b"what this one leaves: other bytes, and more of them";

fn before() -> Result<Fake, String> {
    let mut disk = Fake::default();
    save(&mut disk, OLD).map_err(|e| e.to_string())?;
    Ok(disk)
}

pub(super) fn crash_points() -> Result<(), String> {
    let mut states = 0;
    for steps in 0..8 {
        let mut disk = before()?;
        disk.steps = Some(steps);
        let done = save(&mut disk, NEWER).is_ok();
        for mut found in disk.after_a_crash() {
            states += 1;
            let read = load(&mut found).map_err(|e| e.to_string())?;
            let sound = if done { [NEWER, NEWER] } else { [OLD, NEWER] };
            ensure(read.as_deref().is_some_and(|r| sound.contains(&r)), || {
                let text = read.map(|r| String::from_utf8_lossy(&r).to_string());
                format!("after {steps} steps (done: {done}): {text:?}")
            })?;
        }
    }
    ensure(states > 30, || format!("{states} states"))
}

pub(super) fn a_disk_that_refuses() -> Result<(), String> {
    for steps in 0..4 {
        let mut disk = before()?;
        disk.steps = Some(steps);
        ensure(save(&mut disk, NEWER).is_err(), || format!("{steps} steps are enough"))?;
        disk.steps = None;
        let read = disk.read(NAME, 1000).map_err(|e| e.to_string())?;
        ensure(read.as_deref().is_some_and(|r| [OLD, NEWER].contains(&r)), || format!("{read:?}"))?;
        // And the next goes well.
        save(&mut disk, NEWER).map_err(|e| e.to_string())?;
        let read = disk.read(NAME, 1000).map_err(|e| e.to_string())?;
        ensure(read.as_deref() == Some(NEWER), || format!("{read:?}"))?;
    }
    Ok(())
}

pub(super) fn tried_once() -> Result<(), String> {
    let wrong = |e: io::Error| e.to_string();
    let mut disk = before()?;
    ensure(load(&mut disk).map_err(wrong)?.is_some(), || "nothing to read".into())?;
    // It dies of it, and is started again.
    ensure(load(&mut disk).map_err(wrong)?.is_none(), || "it is read again".into())?;
    // Had it lived on, it would be there again,
    let mut disk = before()?;
    load(&mut disk).map_err(wrong)?;
    keep(&mut disk).map_err(wrong)?;
    ensure(load(&mut disk).map_err(wrong)?.as_deref() == Some(OLD), || "it is lost".into())?;
    // or a newer one in its place.
    let mut disk = before()?;
    load(&mut disk).map_err(wrong)?;
    save(&mut disk, NEWER).map_err(wrong)?;
    keep(&mut disk).map_err(wrong)?;
    ensure(load(&mut disk).map_err(wrong)?.as_deref() == Some(NEWER), || "the older came back".into())?;
    // Nothing was read, nothing is kept.
    keep(&mut Fake::default()).map_err(wrong)
}
