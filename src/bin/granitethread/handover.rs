//! The thin link between two processes of one gateway at an upgrade: a lock that tells who lives, and a file of bans,
//! in the folder that both are given. What they mean is settled in `granite_handover`.

use crate::driver::Driver;
use granite_handover::{Input, Role};
use granitehub::{Name, Time};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// How often the other process is looked for, and its bans.
const LOOK_EVERY: Duration = Duration::from_millis(200);

pub struct Link {
    /// None: no folder is given, or the socket is our own, and nobody takes over.
    folder: Option<PathBuf>,
    role: Cell<Role>,
    /// Held locked for as long as this process lives, once the one before it has ended.
    alive: Option<File>,
}

impl Link {
    /// `folder`: where the other process looks too.
    pub fn new(folder: Option<PathBuf>) -> Rc<Self> {
        let open =
            |f: &PathBuf| OpenOptions::new().create(true).append(true).open(f.join("granitethread.alive"));
        let alive = folder
            .as_ref()
            .and_then(|f| open(f).inspect_err(|e| warn!(cause = %e, "handover: {}: {e}", f.display())).ok());
        let other = alive.as_ref().is_some_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)));
        Rc::new(Link { folder, role: Cell::new(Role::first(other)), alive })
    }

    pub fn role(&self) -> Role {
        self.role.get()
    }

    pub fn told(&self) {
        self.role.set(self.role.get().after(Input::Told));
    }

    /// Whether another process takes the clients that this one leaves.
    pub fn is_shared(&self) -> bool {
        self.folder.is_some()
    }

    /// Looks for what the other process does, for as long as this one lives.
    pub async fn follow(self: Rc<Self>, driver: Rc<Driver>) {
        let Some(folder) = &self.folder else { return };
        let mut last = None;
        loop {
            match read(folder) {
                Ok(None) => {}
                Ok(Some(bans)) if last.as_ref() != Some(&bans) => {
                    driver.adopt_bans(&bans);
                    last = Some(bans);
                }
                Ok(Some(_)) => {}
                Err(what) => warn!(cause = what, "handover: bans: {what}; what is known stands"),
            }
            let alive = self.alive.as_ref();
            if self.role() == Role::Joining && alive.is_some_and(|f| f.try_lock().is_ok()) {
                self.role.set(self.role().after(Input::OtherEnded));
                info!("handover: the process before this one has ended");
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// Takes in what the other process has banned, has this change made, and leaves the result for both; one
    /// process at a time.
    pub fn change<T>(&self, driver: &Rc<Driver>, change: impl FnOnce() -> T) -> (T, io::Result<()>) {
        let Some(folder) = &self.folder else { return (change(), Ok(())) };
        let turn = File::create(folder.join("granitethread.bans.turn"));
        // Held for a moment by whoever writes; the system lets it go with its holder.
        let turn = turn.and_then(|f| f.lock().map(|()| f));
        if let Ok(Some(bans)) = read(folder) {
            driver.adopt_bans(&bans);
        }
        let done = change();
        (done, turn.and_then(|_turn| store(folder, &driver.bans())))
    }
}

fn store(folder: &std::path::Path, bans: &BTreeMap<Name, Time>) -> io::Result<()> {
    // Whole, then in place of the old one: nobody reads half of it.
    let new = folder.join("granitethread.bans.new");
    fs::write(&new, granite_handover::write(bans))?;
    fs::rename(new, folder.join("granitethread.bans"))
}

fn read(folder: &std::path::Path) -> Result<Option<BTreeMap<Name, Time>>, String> {
    let file = match File::open(folder.join("granitethread.bans")) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.to_string()),
    };
    let mut text = Vec::new();
    file.take(granite_handover::LONGEST as u64 + 1).read_to_end(&mut text).map_err(|e| e.to_string())?;
    granite_handover::read(&text).map(Some).map_err(|e| e.to_string())
}
