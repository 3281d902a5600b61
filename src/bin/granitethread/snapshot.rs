//! Snapshots on the disk: read at the start, written by a thread of their own. What they mean, and what may be made of
//! old ones, is settled in `snapshot`.

use granitehub::Settings;
use handover::Role;
use operator::Snapshot as Table;
use proxy::driver::Driver;
use proxy::list::List;
use serde_json::json;
use snapshot::age::{join, list_counts, split, Quota, Times};
use snapshot::files::{keep, load, save, Folder};
use snapshot::{decode, encode, inspect, Author, Kind, Section};
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};
use tracing::{info, warn};

/// A process that lives for so long has not died of what it read.
const SURVIVED: Duration = Duration::from_secs(1);

/// Between two that are handed over.
const GAP: Duration = Duration::from_millis(100);

/// What is to be written: as the module left it, to be taken apart by the thread.
struct Memory {
    at: u64,
    module: String,
    bans: String,
    list: Option<String>,
}

/// Writes snapshots of what the gateway has learnt, and restores one at the start.
pub struct Snapshots {
    name: String,
    life: u64,
    every: Duration,
    disk: Folder,
}

impl Snapshots {
    /// Goes on with what an earlier process left, as far as it is of use. None, after one line, if there is no folder to
    /// write to: service goes on without. `rev`: of the list that the driver has, if it has one; a later one takes its place.
    pub fn begin(
        table: &Table,
        settings: &Settings,
        role: Role,
        driver: &Rc<Driver>,
        rev: &mut Option<u64>,
    ) -> Option<Self> {
        let folder = table.folder.display();
        let mut disk = Folder::open(&table.folder)
            .inspect_err(|e| warn!(cause = %e, "snapshot: {folder}: {e}; nothing is kept for a next process"))
            .ok()?;
        // What lies there while another process of this gateway lives is that one's, and it will leave the rest.
        if role.saves_state() {
            match load(&mut disk) {
                Ok(None) => {}
                Ok(Some(bytes)) => go_on(&bytes, table, settings, driver, rev),
                Err(e) => warn!(cause = %e, "snapshot: {folder}: {e}; begun with nothing"),
            }
        }
        let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        Some(Snapshots { name: table.name.clone(), life, every: table.every, disk })
    }

    /// For as long as the process lives. `role`: only one of two processes of this gateway writes.
    pub async fn run(self, driver: Rc<Driver>, role: impl Fn() -> Role) {
        let (sender, memories) = sync_channel(1);
        let (name, life, disk) = (self.name, self.life, self.disk);
        let thread = std::thread::Builder::new().name("snapshot".into());
        if let Err(e) = thread.spawn(move || write(disk, &name, life, &memories)) {
            warn!(cause = %e, "snapshot: no thread to write with: {e}");
            return;
        }
        sleep(SURVIVED).await;
        let mut every = interval(self.every);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // A drain that was told must be known to the next process, whenever this one ends.
            tokio::select! {
                _ = every.tick() => {}
                () = driver.list_changed() => {}
            }
            // A disk that is slow gets fewer, not older ones; and a list that changes all the time is not written each time.
            while role().saves_state() {
                match hand_over(&sender, &driver) {
                    Handed::Gone => return,
                    Handed::Taken => break,
                    Handed::Busy => sleep(GAP).await,
                }
            }
            sleep(GAP).await;
        }
    }
}

enum Handed {
    Taken,
    /// The one before is still being written, and another waits.
    Busy,
    /// There is nobody left to write it.
    Gone,
}

fn hand_over(to: &SyncSender<Memory>, driver: &Driver) -> Handed {
    let at = driver.time(Instant::now());
    let (module, bans) = (driver.export_state(), handover::write(&driver.bans()));
    let memory = Memory { at, module, bans, list: driver.exported_list() };
    match to.try_send(memory) {
        Ok(()) => Handed::Taken,
        Err(TrySendError::Full(_)) => Handed::Busy,
        Err(TrySendError::Disconnected(_)) => Handed::Gone,
    }
}

fn write(mut disk: Folder, name: &str, life: u64, memories: &Receiver<Memory>) {
    let (mut kept, mut wrong) = (false, None);
    for memory in memories {
        if !std::mem::replace(&mut kept, true) {
            let _ = keep(&mut disk);
        }
        let mut sections = vec![Section { kind: Kind::Bans, bytes: memory.bans.into_bytes() }];
        if let Some((stores, servers)) = split(&memory.module) {
            sections.push(Section { kind: Kind::Stores, bytes: stores });
            sections.push(Section { kind: Kind::Servers, bytes: servers });
        }
        if let Some(list) = memory.list {
            sections.push(Section { kind: Kind::List, bytes: list.into_bytes() });
        }
        let author = Author { name: name.into(), generation: life, taken_at: memory.at };
        match save(&mut disk, &encode(&author, &sections)) {
            Ok(()) => wrong = None,
            Err(e) => told_once(&mut wrong, &disk, &e),
        }
    }
}

/// One line for each trouble, not one a second.
fn told_once(wrong: &mut Option<String>, disk: &Folder, e: &std::io::Error) {
    let what = e.to_string();
    if wrong.as_ref() != Some(&what) {
        warn!(cause = what, "snapshot: {}: {what}; the one before stands", disk.path().display());
        *wrong = Some(what);
    }
}

fn go_on(bytes: &[u8], table: &Table, settings: &Settings, driver: &Rc<Driver>, rev: &mut Option<u64>) {
    let now = driver.time(Instant::now());
    let read = match decode(bytes, &table.name, now) {
        Ok(read) => read,
        Err(refused) => return warn!(cause = %refused, "snapshot: {refused}; begun with nothing"),
    };
    let times = Times::new(read.author.taken_at, table.every.as_nanos() as u64, now);
    for (kind, spoilt) in read.sections.iter().filter_map(|(k, s)| Some((k, s.as_ref().err()?))) {
        warn!(cause = %spoilt, "snapshot: {kind}: {spoilt}; begun without");
    }
    let section = |kind| read.sections.get(&kind).and_then(|s| s.as_deref().ok());
    // First: what was learnt of servers is taken of those that are known.
    match section(Kind::List).map(serde_json::from_slice::<List>) {
        Some(Ok(list)) if list_counts(times, list.rev, *rev) => {
            *rev = Some(list.rev);
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
    let age = now.saturating_sub(read.author.taken_at) / 1_000_000;
    match text.map(|text| driver.import_state(&text)) {
        Some(Ok(())) => info!(age, bytes = bytes.len(), "snapshot: goes on with one that is {age} ms old"),
        Some(Err(what)) => warn!(cause = what, "snapshot: stores and servers: {what}; begun without"),
        None => {}
    }
}

/// `granitethread snapshot show`.
pub fn show(file: &Path, as_json: bool) -> Result<(), String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", file.display());
    let mut bytes = Vec::new();
    let most = snapshot::MOST_BYTES as u64 + 1;
    File::open(file).map_err(wrong)?.take(most).read_to_end(&mut bytes).map_err(wrong)?;
    let read = inspect(&bytes).map_err(|refused| format!("{}: {refused}", file.display()))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let age = now.saturating_sub(read.author.taken_at) / 1_000_000;
    let sections: Vec<_> = read
        .sections
        .iter()
        .map(|(kind, found)| {
            let bytes = found.as_ref().map_or(0, Vec::len);
            let wrong = found.as_ref().err().map(ToString::to_string);
            (kind.to_string(), bytes, wrong)
        })
        .collect();
    let text = if as_json {
        let one = |(kind, bytes, wrong): &(String, usize, Option<String>)| json!({"section": kind, "bytes": bytes, "wrong": wrong});
        let all: Vec<_> = sections.iter().map(one).collect();
        let author = &read.author;
        format!(
            "{}\n",
            json!({
                "name": author.name, "life": author.generation, "age_ms": age, "bytes": bytes.len(), "sections": all,
                "table_damaged": read.table_damaged, "unknown_sections": read.unknown,
            })
        )
    } else {
        let mut text = format!(
            "{}, life {}, {age} ms old, {} bytes\n",
            read.author.name,
            read.author.generation,
            bytes.len()
        );
        for (kind, bytes, wrong) in &sections {
            let state = wrong.as_deref().map_or_else(|| "sound".to_string(), |w| format!("of no use: {w}"));
            text.push_str(&format!("{kind:10} {bytes:>10} bytes  {state}\n"));
        }
        if read.table_damaged {
            text.push_str("one of its two tables is damaged\n");
        }
        text
    };
    // A reader that goes away is no trouble of ours.
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(())
}
