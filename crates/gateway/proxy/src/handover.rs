//! Link between two processes of one gateway during an upgrade, through files in a shared directory: a lock that shows
//! whether the previous process still runs, the bans, and the state that a process leaves when it shuts down. The
//! `handover` crate interprets them.

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

/// Poll interval for the other process and its bans; and for its state while that is expected.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const BANS_FILE: &str = "granitethread.bans";
const STATE_FILE: &str = "granitethread.left";

/// Link to another process of this gateway.
pub struct Link {
    /// None if no directory is configured or the socket is not inherited, so that no process takes over.
    directory: Option<PathBuf>,
    role: Cell<Role>,
    /// Locked for the lifetime of this process, once the previous one has ended.
    liveness_lock: Option<File>,
}

impl Link {
    /// Opens the link. `directory` is the directory that both processes use.
    pub fn new(directory: Option<PathBuf>) -> Rc<Self> {
        let open =
            |f: &PathBuf| OpenOptions::new().create(true).append(true).open(f.join("granitethread.alive"));
        let liveness_lock = directory
            .as_ref()
            .and_then(|f| open(f).inspect_err(|e| warn!(cause = %e, "handover: {}: {e}", f.display())).ok());
        let is_other_alive =
            liveness_lock.as_ref().is_some_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)));
        // An existing state file is not from the process that still runs, which writes its state only at shutdown.
        if let Some(directory) = &directory {
            let _ = fs::remove_file(directory.join(STATE_FILE));
        }
        Rc::new(Link { directory, role: Cell::new(Role::initial(is_other_alive)), liveness_lock })
    }

    /// Returns the role of this process.
    pub fn role(&self) -> Role {
        self.role.get()
    }

    /// Handles the shutdown of this process: writes its state for the next one.
    pub fn on_shutdown(&self, driver: &Driver) {
        self.role.set(self.role.get().after(Input::ShutdownRequested));
        if let Some(directory) = &self.directory {
            if let Err(e) = replace(directory, STATE_FILE, &driver.export_state()) {
                warn!(cause = %e, "handover: no state written for the next process: {e}");
            }
        }
    }

    /// Whether the socket is shared, so that another process can take over this one's clients.
    pub fn is_shared(&self) -> bool {
        self.directory.is_some()
    }

    /// Polls the other process's bans, state and end for the lifetime of this process.
    pub async fn follow(self: Rc<Self>, driver: Rc<Driver>) {
        let Some(directory) = &self.directory else { return };
        let (mut last_bans, mut last_error) = (None, None);
        let mut awaits_state = self.role() == Role::Joining;
        loop {
            if awaits_state {
                awaits_state = !self.take_over(directory, &driver) && self.role() == Role::Joining;
            }
            match read(directory) {
                Ok(None) => {}
                Ok(Some(bans)) if last_bans.as_ref() != Some(&bans) => {
                    driver.adopt_bans(&bans);
                    last_bans = Some(bans);
                }
                Ok(Some(_)) => {}
                // Logged once, not at every poll (five times per second).
                Err(reason) if last_error.as_ref() != Some(&reason) => {
                    warn!(cause = reason, "handover: bans: {reason}; what is known stands");
                    last_error = Some(reason);
                }
                Err(_) => {}
            }
            let liveness_lock = self.liveness_lock.as_ref();
            if self.role() == Role::Joining && liveness_lock.is_some_and(|f| f.try_lock().is_ok()) {
                self.role.set(self.role().after(Input::OtherEnded));
                info!("handover: the process before this one has ended");
            }
            sleep(if awaits_state { STATE_POLL_INTERVAL } else { POLL_INTERVAL }).await;
        }
    }

    /// Imports the state of the previous process. Returns whether it was there.
    fn take_over(&self, directory: &Path, driver: &Driver) -> bool {
        let Ok(Some(text)) = read_file(directory, STATE_FILE) else { return false };
        let _ = fs::remove_file(directory.join(STATE_FILE));
        let text = String::from_utf8_lossy(&text);
        match driver.import_state(&text) {
            Ok(()) => {
                info!(bytes = text.len(), "handover: took over {} bytes of learned state", text.len())
            }
            Err(reason) => {
                warn!(cause = reason, "handover: state of the previous process rejected: {reason}")
            }
        }
        true
    }

    /// Adopts the bans of the other process, applies a change, and writes the result for both. A file lock serializes the
    /// processes.
    pub fn change<T>(&self, driver: &Rc<Driver>, change: impl FnOnce() -> T) -> (T, io::Result<()>) {
        let Some(directory) = &self.directory else { return (change(), Ok(())) };
        let lock_file = File::create(directory.join("granitethread.bans.turn"));
        // Held briefly by the writing process. The system releases it if that process crashes.
        let lock_file = lock_file.and_then(|f| f.lock().map(|()| f));
        if let Ok(Some(bans)) = read(directory) {
            driver.adopt_bans(&bans);
        }
        let result = change();
        (result, lock_file.and_then(|_lock_file| store(directory, &driver.bans())))
    }
}

fn store(directory: &Path, bans: &BTreeMap<Name, Time>) -> io::Result<()> {
    replace(directory, BANS_FILE, &handover::write(bans))
}

/// Replaces a file atomically: writes a new file completely and renames it, so that no reader sees a partial one.
fn replace(directory: &Path, name: &str, text: &str) -> io::Result<()> {
    let new_path = directory.join(format!("{name}.new"));
    fs::write(&new_path, text)?;
    fs::rename(new_path, directory.join(name))
}

fn read(directory: &Path) -> Result<Option<BTreeMap<Name, Time>>, String> {
    let text = read_file(directory, BANS_FILE).map_err(|e| e.to_string())?;
    text.map(|t| handover::read(&t).map_err(|e| e.to_string())).transpose()
}

/// Reads a file up to one byte beyond the maximum valid size, so that a larger file is rejected by its parser.
fn read_file(directory: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(directory.join(name)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file?,
    };
    let mut text = Vec::new();
    file.take(handover::MAX_BYTES as u64 + 1).read_to_end(&mut text)?;
    Ok(Some(text))
}
