//! Loads the snapshot at the start and writes snapshots from a dedicated thread. The `snapshot` crate defines their format
//! and the rules for old ones.

use granitehub::Settings;
use handover::Role;
use operator::Snapshot as Table;
use proxy::driver::Driver;
use proxy::list::List;
use serde_json::json;
use snapshot::age::{is_list_usable, join, split, Quota, Times};
use snapshot::files::{confirm, load, save, Directory};
use snapshot::{decode, encode, inspect, Author, Kind, Section};
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};
use tracing::{info, warn};

/// A process that runs this long has not crashed because of the snapshot that it loaded.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Pause between two attempts to queue a snapshot for the writer thread.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// State to be written. The module's text is as exported; the writer thread splits it.
struct CapturedState {
    captured_at: u64,
    module: String,
    bans: String,
    list: Option<String>,
}

/// Writes snapshots of the gateway's state, and restores one at the start.
pub struct Snapshots {
    name: String,
    generation: u64,
    interval: Duration,
    directory: Directory,
}

impl Snapshots {
    /// Restores the usable parts of an earlier process's snapshot. Without a writable directory it logs one line and returns
    /// none: the gateway then serves without snapshots. `known_revision` is the revision of the driver's server list, if it
    /// has one; a snapshot's list replaces it only if it is later.
    pub fn open(
        table: &Table,
        settings: &Settings,
        role: Role,
        driver: &Rc<Driver>,
        known_revision: &mut Option<u64>,
    ) -> Option<Self> {
        let path = table.folder.display();
        let mut directory = Directory::open(&table.folder)
            .inspect_err(|e| warn!(cause = %e, "snapshot: {path}: {e}; nothing is kept for a next process"))
            .ok()?;
        // While another process of this gateway runs, the file belongs to that process, which will hand over its state.
        if role.saves_state() {
            match load(&mut directory) {
                Ok(None) => {}
                Ok(Some(bytes)) => restore(&bytes, table, settings, driver, known_revision),
                Err(e) => warn!(cause = %e, "snapshot: {path}: {e}; begun with nothing"),
            }
        }
        let generation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        Some(Snapshots { name: table.name.clone(), generation, interval: table.interval, directory })
    }

    /// Writes a snapshot at each interval and after each change of the server list, until the process ends. `role` is the
    /// process's current role: of two processes of a gateway only the earlier one writes.
    pub async fn run(self, driver: Rc<Driver>, role: impl Fn() -> Role) {
        let (sender, states) = sync_channel(1);
        let (name, generation, directory) = (self.name, self.generation, self.directory);
        let thread = std::thread::Builder::new().name("snapshot".into());
        if let Err(e) = thread.spawn(move || write(directory, &name, generation, &states)) {
            warn!(cause = %e, "snapshot: cannot start the writer thread: {e}");
            return;
        }
        sleep(SURVIVAL_TIME).await;
        let mut ticks = interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // The next process must know of every drain that was announced, whenever this one ends.
            tokio::select! {
                _ = ticks.tick() => {}
                () = driver.list_changed() => {}
            }
            // A slow disk gets fewer snapshots, not older ones; and a list that changes continually is not written each time.
            while role().saves_state() {
                match enqueue(&sender, &driver) {
                    QueueResult::Closed => return,
                    QueueResult::Queued => break,
                    QueueResult::Full => sleep(WRITE_PAUSE).await,
                }
            }
            sleep(WRITE_PAUSE).await;
        }
    }
}

/// Outcome of queueing a state for the writer thread.
enum QueueResult {
    Queued,
    /// One snapshot is being written and another one waits.
    Full,
    /// The writer thread has ended.
    Closed,
}

fn enqueue(sender: &SyncSender<CapturedState>, driver: &Driver) -> QueueResult {
    let captured_at = driver.time(Instant::now());
    let (module, bans) = (driver.export_state(), handover::write(&driver.bans()));
    let state = CapturedState { captured_at, module, bans, list: driver.exported_list() };
    match sender.try_send(state) {
        Ok(()) => QueueResult::Queued,
        Err(TrySendError::Full(_)) => QueueResult::Full,
        Err(TrySendError::Disconnected(_)) => QueueResult::Closed,
    }
}

fn write(mut directory: Directory, name: &str, generation: u64, states: &Receiver<CapturedState>) {
    let (mut confirmed, mut last_error) = (false, None);
    for state in states {
        if !std::mem::replace(&mut confirmed, true) {
            let _ = confirm(&mut directory);
        }
        let mut sections = vec![Section { kind: Kind::Bans, bytes: state.bans.into_bytes() }];
        if let Some((stores, servers)) = split(&state.module) {
            sections.push(Section { kind: Kind::Stores, bytes: stores });
            sections.push(Section { kind: Kind::Servers, bytes: servers });
        }
        if let Some(list) = state.list {
            sections.push(Section { kind: Kind::List, bytes: list.into_bytes() });
        }
        let author = Author { name: name.into(), generation, taken_at: state.captured_at };
        match save(&mut directory, &encode(&author, &sections)) {
            Ok(()) => last_error = None,
            Err(e) => warn_once(&mut last_error, &directory, &e),
        }
    }
}

/// Logs a failed write unless the previous one failed in the same way.
fn warn_once(last_error: &mut Option<String>, directory: &Directory, e: &std::io::Error) {
    let error = e.to_string();
    if last_error.as_ref() != Some(&error) {
        warn!(cause = error, "snapshot: {}: {error}; the one before stands", directory.path().display());
        *last_error = Some(error);
    }
}

/// Restores the usable parts of a snapshot, and logs each part that is not.
fn restore(
    bytes: &[u8],
    table: &Table,
    settings: &Settings,
    driver: &Rc<Driver>,
    known_revision: &mut Option<u64>,
) {
    let now = driver.time(Instant::now());
    let snapshot = match decode(bytes, &table.name, now) {
        Ok(snapshot) => snapshot,
        Err(error) => return warn!(cause = %error, "snapshot: {error}; begun with nothing"),
    };
    let times = Times::new(snapshot.author.taken_at, table.interval.as_nanos() as u64, now);
    for (kind, error) in snapshot.sections.iter().filter_map(|(k, s)| Some((k, s.as_ref().err()?))) {
        warn!(cause = %error, "snapshot: {kind}: {error}; begun without");
    }
    let section = |kind| snapshot.sections.get(&kind).and_then(|s| s.as_deref().ok());
    // The list comes first: observations are restored only for servers that are known.
    match section(Kind::List).map(serde_json::from_slice::<List>) {
        Some(Ok(list)) if is_list_usable(times, list.rev, *known_revision) => {
            *known_revision = Some(list.rev);
            driver.apply_cached_list(list);
        }
        Some(Err(e)) => warn!(cause = %e, "snapshot: list: {e}; begun without"),
        Some(Ok(_)) | None => {}
    }
    let bans = section(Kind::Bans).map(handover::read);
    match bans {
        Some(Ok(bans)) => driver.adopt_bans(&bans),
        Some(Err(e)) => warn!(cause = %e, "snapshot: bans: {e}; begun without"),
        None => {}
    }
    let plans: Vec<Quota> = settings.plans.iter().map(|p| Quota { rate: p.rate, depth: p.depth }).collect();
    let text = section(Kind::Stores).and_then(|stores| join(stores, section(Kind::Servers), &plans, times));
    let age = now.saturating_sub(snapshot.author.taken_at) / 1_000_000;
    match text.map(|text| driver.import_state(&text)) {
        Some(Ok(())) => info!(age, bytes = bytes.len(), "snapshot: goes on with one that is {age} ms old"),
        Some(Err(error)) => warn!(cause = error, "snapshot: stores and servers: {error}; begun without"),
        None => {}
    }
}

/// Runs `granitethread snapshot show`.
pub fn show(file: &Path, as_json: bool) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", file.display());
    let mut bytes = Vec::new();
    let max_bytes = snapshot::MAX_BYTES as u64 + 1;
    File::open(file).map_err(io_error)?.take(max_bytes).read_to_end(&mut bytes).map_err(io_error)?;
    let snapshot = inspect(&bytes).map_err(|error| format!("{}: {error}", file.display()))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let age = now.saturating_sub(snapshot.author.taken_at) / 1_000_000;
    let sections: Vec<_> = snapshot
        .sections
        .iter()
        .map(|(kind, content)| {
            let bytes = content.as_ref().map_or(0, Vec::len);
            let error = content.as_ref().err().map(ToString::to_string);
            (kind.to_string(), bytes, error)
        })
        .collect();
    let text = if as_json {
        let section_json = |(kind, bytes, error): &(String, usize, Option<String>)| json!({"section": kind, "bytes": bytes, "wrong": error});
        let all: Vec<_> = sections.iter().map(section_json).collect();
        let author = &snapshot.author;
        format!(
            "{}\n",
            json!({
                "name": author.name, "life": author.generation, "age_ms": age, "bytes": bytes.len(), "sections": all,
                "table_damaged": snapshot.table_damaged, "unknown_sections": snapshot.unknown,
            })
        )
    } else {
        let mut text = format!(
            "{}, life {}, {age} ms old, {} bytes\n",
            snapshot.author.name,
            snapshot.author.generation,
            bytes.len()
        );
        for (kind, bytes, error) in &sections {
            let status = error.as_deref().map_or_else(|| "sound".to_string(), |w| format!("of no use: {w}"));
            text.push_str(&format!("{kind:10} {bytes:>10} bytes  {status}\n"));
        }
        if snapshot.table_damaged {
            text.push_str("one of the two copies of its table is damaged\n");
        }
        text
    };
    // A closed pipe at the reader is not an error of this command.
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(())
}
