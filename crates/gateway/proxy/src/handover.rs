//! The link between two processes of one gateway during an upgrade: a lock that shows which one is alive, and a file of
//! bans, in a directory that both are given. The `handover` crate decides what they mean.

use crate::driver::Driver;
use handover::{Input, Role};
use interface::{Name, Time};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// How often the other process and its bans are looked for; and its state, while it is expected.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const BANS_FILE: &str = "granitethread.bans";
const STATE_FILE: &str = "granitethread.left";

/// The link to another process of this gateway.
pub struct Link {
    /// None: no directory is given, or the socket is not inherited, and no process takes over.
    folder: Option<PathBuf>,
    role: Cell<Role>,
    /// Locked while this process is alive, once the previous one has ended.
    alive: Option<File>,
}

impl Link {
    /// `folder`: the directory that both processes use.
    pub fn new(folder: Option<PathBuf>) -> Rc<Self> {
        let open =
            |f: &PathBuf| OpenOptions::new().create(true).append(true).open(f.join("granitethread.alive"));
        let alive = folder
            .as_ref()
            .and_then(|f| open(f).inspect_err(|e| warn!(cause = %e, "handover: {}: {e}", f.display())).ok());
        let other = alive.as_ref().is_some_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)));
        // Any state file is not from the process that is still alive.
        if let Some(folder) = &folder {
            let _ = fs::remove_file(folder.join(STATE_FILE));
        }
        Rc::new(Link { folder, role: Cell::new(Role::initial(other)), alive })
    }

    /// This process's role.
    pub fn role(&self) -> Role {
        self.role.get()
    }

    /// This process shuts down: its state is left for the next.
    pub fn on_shutdown(&self, driver: &Driver) {
        self.role.set(self.role.get().after(Input::ShutdownRequested));
        if let Some(folder) = &self.folder {
            if let Err(e) = replace(folder, STATE_FILE, &driver.export_state()) {
                warn!(cause = %e, "handover: nothing left for the next process: {e}");
            }
        }
    }

    /// Whether another process takes over this one's clients.
    pub fn is_shared(&self) -> bool {
        self.folder.is_some()
    }

    /// Follows the other process for as long as this one is alive.
    pub async fn follow(self: Rc<Self>, driver: Rc<Driver>) {
        let Some(folder) = &self.folder else { return };
        let (mut last, mut wrong) = (None, None);
        let mut awaits = self.role() == Role::Joining;
        loop {
            if awaits {
                awaits = !self.take_over(folder, &driver) && self.role() == Role::Joining;
            }
            match read(folder) {
                Ok(None) => {}
                Ok(Some(bans)) if last.as_ref() != Some(&bans) => {
                    driver.adopt_bans(&bans);
                    last = Some(bans);
                }
                Ok(Some(_)) => {}
                // Logged once, not five times a second.
                Err(what) if wrong.as_ref() != Some(&what) => {
                    warn!(cause = what, "handover: bans: {what}; what is known stands");
                    wrong = Some(what);
                }
                Err(_) => {}
            }
            let alive = self.alive.as_ref();
            if self.role() == Role::Joining && alive.is_some_and(|f| f.try_lock().is_ok()) {
                self.role.set(self.role().after(Input::OtherEnded));
                info!("handover: the process before this one has ended");
            }
            sleep(if awaits { STATE_POLL_INTERVAL } else { POLL_INTERVAL }).await;
        }
    }

    /// Returns whether the previous process has left its state.
    fn take_over(&self, folder: &Path, driver: &Driver) -> bool {
        let Ok(Some(text)) = read_file(folder, STATE_FILE) else { return false };
        let _ = fs::remove_file(folder.join(STATE_FILE));
        let text = String::from_utf8_lossy(&text);
        match driver.import_state(&text) {
            Ok(()) => {
                info!(bytes = text.len(), "handover: took over {} bytes of what was learnt", text.len())
            }
            Err(what) => warn!(cause = what, "handover: what was left is of no use: {what}"),
        }
        true
    }

    /// Adopts the bans of the other process, makes a change, and writes the result for both; one process at a time.
    pub fn change<T>(&self, driver: &Rc<Driver>, change: impl FnOnce() -> T) -> (T, io::Result<()>) {
        let Some(folder) = &self.folder else { return (change(), Ok(())) };
        let turn = File::create(folder.join("granitethread.bans.turn"));
        // Locked for a moment by the process that writes; released by the system if that dies.
        let turn = turn.and_then(|f| f.lock().map(|()| f));
        if let Ok(Some(bans)) = read(folder) {
            driver.adopt_bans(&bans);
        }
        let done = change();
        (done, turn.and_then(|_turn| store(folder, &driver.bans())))
    }
}

fn store(folder: &Path, bans: &BTreeMap<Name, Time>) -> io::Result<()> {
    replace(folder, BANS_FILE, &handover::write(bans))
}

/// Written completely, then renamed: no reader sees half of it.
fn replace(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    let new = folder.join(format!("{name}.new"));
    fs::write(&new, text)?;
    fs::rename(new, folder.join(name))
}

fn read(folder: &Path) -> Result<Option<BTreeMap<Name, Time>>, String> {
    let text = read_file(folder, BANS_FILE).map_err(|e| e.to_string())?;
    text.map(|t| handover::read(&t).map_err(|e| e.to_string())).transpose()
}

/// Reads a file up to just beyond the longest valid one, which is then refused.
fn read_file(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(folder.join(name)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file?,
    };
    let mut text = Vec::new();
    file.take(handover::MAX_BYTES as u64 + 1).read_to_end(&mut text)?;
    Ok(Some(text))
}
