//! Tests of the store on a fake disk that loses power at any operation, fails operations and loses unsynced writes.

use super::directory::Directory;
use super::fake_disk::{DiskBehaviour, FakeDisk, PowerLoss};
use super::store::{Store, MAX_BYTES};
use super::*;
use consensus::{
    Entry, EntryPayload, Input, LogIndex, Message, MessageBody, NodeId, Output, Persist, PersistedState,
    PreviousEntry, RaftNode, Snapshot, Term, VoterSet,
};
use control_state::{Command, ControlState};
use fastrand::Rng;

const NAME: &str = "10.0.0.1";
const DISK_ID: u64 = 77;

fn open(disk: &FakeDisk) -> (Store, LoadedState) {
    Store::open(Arc::new(disk.clone()) as Arc<dyn Directory>, NAME, DISK_ID).unwrap()
}

/// A follower with a simulated leader, which sends random input: long and short commands, new terms, and log suffixes that are
/// replaced. The follower takes a snapshot now and then.
struct Follower {
    raft: RaftNode,
    log: Vec<Entry>,
    term: Term,
    commit_index: LogIndex,
    rng: Rng,
    state: ControlState,
    applied_index: LogIndex,
}

impl Follower {
    fn new(loaded: LoadedState, seed: u64) -> Self {
        let id = NodeId { name: NAME.into(), disk_id: loaded.disk_id };
        let stored = loaded.stored;
        let (term, commit_index) = (stored.term.max(1), stored.commit_index);
        let mut log = vec![Entry { term: 1, payload: EntryPayload::Noop }; stored.snapshot.index as usize];
        log.extend(stored.entries.iter().cloned());
        let state = ControlState::decode(&stored.snapshot.state).unwrap();
        let applied_index = stored.snapshot.index;
        let mut follower = Follower {
            raft: RaftNode::new(id, stored, seed, 0),
            log,
            term,
            commit_index,
            rng: Rng::with_seed(seed),
            state,
            applied_index,
        };
        let committed = follower.raft.committed_outputs();
        committed.iter().for_each(|output| follower.apply(output));
        follower
    }

    fn apply(&mut self, output: &Output) {
        if let Output::Apply { index, command, .. } = output {
            self.state.apply(*index, &Command::decode(command).unwrap());
            self.applied_index = *index;
        }
    }

    fn random_command(&mut self) -> EntryPayload {
        if self.rng.bool() {
            return EntryPayload::Command(
                Command::Drain { instance: format!("i-{}", self.rng.u16(..)) }.encode(),
            );
        }
        let version = self.state.version() + 1 + self.rng.u32(..3);
        // These lengths are stored inline, as a value and as a blob.
        let bytes = [3000, 9000, 70_000][self.rng.usize(..3)];
        let body = vec![self.rng.u8(..); bytes];
        EntryPayload::Command(
            Command::ReplaceConfiguration { base: self.state.version(), version, body }.encode(),
        )
    }

    /// Makes a random step and returns the changes to save.
    fn step(&mut self) -> Vec<Persist> {
        let mut outputs = Vec::new();
        if self.raft.commit_index() > self.raft.snapshot().index
            && self.rng.u8(..4) == 0
            && self.applied_index > self.raft.snapshot().index
        {
            return self.raft.compact(self.applied_index, self.state.encode()).into_iter().collect();
        }
        if self.rng.u8(..5) == 0 {
            self.term += 1;
            // Another leader, which may lack the uncommitted end of the log.
            let kept_length = self.commit_index + self.rng.u64(..=self.log.len() as u64 - self.commit_index);
            self.log.truncate(kept_length as usize);
        }
        for _ in 0..1 + self.rng.usize(..2) {
            let payload = self.random_command();
            self.log.push(Entry { term: self.term, payload });
        }
        let previous_index = self.raft.commit_index();
        let first = previous_index as usize;
        let persisted = self.raft.persisted_state();
        // Term of the previous entry, which may be the last of the snapshot.
        let term = match first.checked_sub(1) {
            _ if previous_index == persisted.snapshot.index => persisted.snapshot.term,
            Some(n) => self.log[n].term,
            None => 0,
        };
        self.commit_index += self.rng.u64(..=self.log.len() as u64 - self.commit_index);
        let entries = self.log[first..].to_vec();
        let body = MessageBody::AppendEntries {
            previous: PreviousEntry { index: previous_index, term },
            entries,
            commit_index: self.commit_index,
            round: 1,
        };
        let from = NodeId { name: "10.0.0.2".into(), disk_id: 2 };
        let message = Message { from, to: self.raft.id().clone(), term: self.term, body };
        self.raft.handle(0, Input::Message(message), &mut outputs);
        outputs.iter().for_each(|output| self.apply(output));
        let persist = |output| if let Output::Persist(change) = output { Some(change) } else { None };
        outputs.into_iter().filter_map(persist).collect()
    }
}

/// The saved states, to check which state is found after a crash.
#[derive(Default)]
struct SavedStates {
    /// The last state whose save succeeded.
    confirmed: Option<PersistedState>,
    /// Later states whose save failed or was interrupted; any of them may be found.
    unconfirmed: Vec<PersistedState>,
}

impl SavedStates {
    fn record<T>(&mut self, state: PersistedState, result: &Result<T, StorageError>) {
        self.unconfirmed.push(state);
        if result.is_ok() {
            self.confirmed = self.unconfirmed.pop();
            self.unconfirmed.clear();
        }
    }

    fn check(&self, loaded: &LoadedState, scenario: &str) {
        let found = &loaded.stored;
        match &self.confirmed {
            Some(confirmed) => {
                assert_eq!(loaded.disk_id, DISK_ID, "{scenario}: the disk id has changed");
                let is_expected = found == confirmed || self.unconfirmed.contains(found);
                assert!(
                    is_expected,
                    "{scenario}: found term {} and commit index {}, saved {} and {}",
                    found.term, found.commit_index, confirmed.term, confirmed.commit_index
                );
            }
            None => {
                let is_expected = *found == PersistedState::default() || self.unconfirmed.contains(found);
                assert!(is_expected, "{scenario}: found a state that was never saved");
            }
        }
    }
}

/// Runs a process for this many steps; saves fail once the disk has failed.
fn run_process(disk: &FakeDisk, saved: &mut SavedStates, seed: u64, steps: usize) {
    let (mut store, loaded) = open(disk);
    let mut follower = Follower::new(loaded, seed);
    let initial = follower.raft.persisted_state();
    let result = store.save_full(&initial);
    saved.record(initial, &result);
    let mut can_append = result.is_ok();
    for _ in 0..steps {
        let changes = follower.step();
        if changes.is_empty() {
            continue;
        }
        let stored = follower.raft.persisted_state();
        let result =
            if can_append { store.save(&changes, stored.commit_index) } else { store.save_full(&stored) };
        can_append = result.is_ok();
        saved.record(stored, &result);
        store.sync_registry();
    }
}

/// Loses power, or kills the process, at each write operation: a voter must never find less than it has saved.
#[test]
fn crash_at_any_operation_keeps_saved_state_and_disk_id() {
    let operations = {
        let disk = FakeDisk::default();
        run_process(&disk, &mut SavedStates::default(), 1, 10);
        disk.counts().operations
    };
    assert!(operations > 100, "{operations} operations");
    for operation in 0..operations {
        for (n, loss) in [
            PowerLoss::None,
            PowerLoss::All,
            PowerLoss::Random(operation),
            PowerLoss::Random(operation + 1000),
        ]
        .into_iter()
        .enumerate()
        {
            let (mut disk, mut saved) = (FakeDisk::default(), SavedStates::default());
            disk.lose_power_after(operation);
            run_process(&disk, &mut saved, 1, 10);
            // The process restarts and crashes again, while it creates its new generation or soon after.
            for restart in 0..3 {
                let scenario = format!("operation {operation}, {loss:?}, {restart}");
                disk = disk.restarted_after(loss);
                let loaded = open(&disk).1;
                saved.check(&loaded, &scenario);
                if restart < 2 {
                    // The process continues from the state that it found, which another crash may still undo.
                    if saved.confirmed.is_some() {
                        saved.unconfirmed.push(loaded.stored);
                    }
                    disk.lose_power_after((7 * operation + 13 * restart + n as u64) % 40);
                    run_process(&disk, &mut saved, operation + restart, 4);
                }
            }
        }
    }
}

/// A disk fails writes for a while and loses unsynced data: whatever is saved after that must survive any crash.
#[test]
fn disk_that_was_full_holds_everything_again() {
    for seed in 0..24 {
        let (disk, mut saved) = (FakeDisk::default(), SavedStates::default());
        let (mut store, loaded) = open(&disk);
        let mut follower = Follower::new(loaded, seed);
        let mut rng = Rng::with_seed(seed);
        let mut can_append = false;
        for step in 0..30 {
            if rng.u8(..6) == 0 {
                disk.set_behaviour(
                    [DiskBehaviour::Full, DiskBehaviour::Failed, DiskBehaviour::Healthy][rng.usize(..3)],
                );
            }
            if rng.bool() {
                disk.fail_write_after(rng.u64(..24));
            }
            let changes = follower.step();
            let stored = follower.raft.persisted_state();
            let result =
                if can_append { store.save(&changes, stored.commit_index) } else { store.save_full(&stored) };
            can_append = result.is_ok();
            saved.record(stored, &result);
            for loss in [PowerLoss::None, PowerLoss::All, PowerLoss::Random(rng.u64(..))] {
                saved.check(
                    &open(&disk.restarted_after(loss)).1,
                    &format!("seed {seed}, step {step}, {loss:?}"),
                );
            }
        }
        disk.set_behaviour(DiskBehaviour::Healthy);
        disk.fail_write_after(u64::MAX);
        let stored = follower.raft.persisted_state();
        store.save_full(&stored).unwrap();
        assert_eq!(open(&disk.restarted_after(PowerLoss::All)).1.stored, stored);
    }
}

/// Fails each operation of a save and each operation of the full save that follows it; then the process crashes.
#[test]
fn failed_save_is_found_whole_or_not_at_all() {
    for first in 0..12 {
        for second in 0..16 {
            let (disk, mut saved) = (FakeDisk::default(), SavedStates::default());
            let (mut store, loaded) = open(&disk);
            let (mut raft, mut state) = (single_voter(loaded.disk_id), ControlState::new());
            let result = store.save_full(&raft.persisted_state());
            saved.record(raft.persisted_state(), &result);
            disk.fail_write_after(first);
            let changes = change_configuration(&mut raft, &mut state, 1, 70_000, false);
            let result = store.save(&changes, raft.commit_index());
            saved.record(raft.persisted_state(), &result);
            disk.fail_write_after(second);
            let result = store.save_full(&raft.persisted_state());
            saved.record(raft.persisted_state(), &result);
            for loss in [PowerLoss::None, PowerLoss::All, PowerLoss::Random(first * 16 + second)] {
                saved.check(&open(&disk.restarted_after(loss)).1, &format!("{first}, {second}, {loss:?}"));
            }
        }
    }
}

fn configuration(version: u32, bytes: usize) -> Vec<u8> {
    let mut body = vec![b'x'; bytes];
    body[..4].copy_from_slice(&version.to_be_bytes());
    Command::ReplaceConfiguration { base: version - 1, version, body }.encode()
}

/// Returns the only voter of a cluster, so that every proposal is committed at once.
fn single_voter(disk_id: u64) -> RaftNode {
    let id = NodeId { name: NAME.into(), disk_id };
    let voters: VoterSet = [(NAME.to_string(), disk_id)].into();
    let mut raft = RaftNode::new(id, PersistedState::default(), 1, 0);
    raft.handle(0, Input::Bootstrap { voters }, &mut Vec::new());
    raft
}

/// Disk usage must stay bounded over many changes, and each configuration must be written only once.
#[test]
fn thousand_changes_take_no_more_disk_than_ten() {
    let disk = FakeDisk::default();
    let (mut store, loaded) = open(&disk);
    let (mut raft, mut state) = (single_voter(loaded.disk_id), ControlState::new());
    store.save_full(&raft.persisted_state()).unwrap();
    let (mut counts_after_ten, mut peak_after_ten) = (disk.counts(), 0);
    let mut compactions = 0;
    for version in 1..=1000 {
        let compact = raft.entry_count() >= 64;
        compactions += usize::from(compact);
        store
            .save(&change_configuration(&mut raft, &mut state, version, 20_000, compact), raft.commit_index())
            .unwrap();
        if version == 10 {
            (counts_after_ten, peak_after_ten) = (disk.counts(), disk.counts().peak_bytes);
        }
    }
    let counts = disk.counts();
    let bytes = (counts.bytes - counts_after_ten.bytes) / 990;
    let syncs = (counts.syncs - counts_after_ten.syncs) as f64 / 990.0;
    println!(
        "{bytes} bytes and {syncs:.2} syncs per change, {} bytes peak, {peak_after_ten} after ten changes, {compactions} compactions",
        counts.peak_bytes
    );
    assert!(bytes < 80_000, "{bytes} bytes per change of 20,000");
    assert!(syncs < 1.1, "{syncs} syncs per change");
    assert!(counts.peak_bytes < 65 * 20_100 + (4 << 20), "{} bytes at the peak", counts.peak_bytes);
    assert_eq!(open(&disk.restarted_after(PowerLoss::All)).1.stored, raft.persisted_state());
}

/// Commits a configuration change, optionally followed by a compaction; returns the changes to save.
fn change_configuration(
    raft: &mut RaftNode,
    state: &mut ControlState,
    version: u32,
    bytes: usize,
    compact: bool,
) -> Vec<Persist> {
    let mut outputs = Vec::new();
    raft.handle(0, Input::Propose { tag: 1, command: configuration(version, bytes) }, &mut outputs);
    let mut changes = Vec::new();
    for output in outputs {
        match output {
            Output::Persist(change) => changes.push(change),
            Output::Apply { index, command, .. } => {
                _ = state.apply(index, &Command::decode(&command).unwrap())
            }
            _ => {}
        }
    }
    if compact {
        changes.extend(raft.compact(raft.commit_index(), state.encode()));
    }
    changes
}

/// Configurations of the maximum length, with a disk failure in between, are all saved within the size limit. Without compaction
/// the sixth is refused; the other five are not lost, and the limit holds.
#[test]
fn longest_configurations_stay_within_the_disk_bound() {
    let disk = FakeDisk::default();
    let (mut store, loaded) = open(&disk);
    let (mut raft, mut state) = (single_voter(loaded.disk_id), ControlState::new());
    store.save_full(&raft.persisted_state()).unwrap();
    for version in 1..=3 {
        let changes = change_configuration(&mut raft, &mut state, version, 8 << 20, true);
        disk.set_behaviour(if version == 2 { DiskBehaviour::Full } else { DiskBehaviour::Healthy });
        let result = store.save(&changes, raft.commit_index());
        assert_eq!(result.is_ok(), version == 1, "{result:?}");
    }
    store.save_full(&raft.persisted_state()).unwrap();
    assert_eq!(open(&disk.restarted_after(PowerLoss::All)).1.stored, raft.persisted_state());
    for version in 4..=7 {
        store
            .save(&change_configuration(&mut raft, &mut state, version, 8 << 20, false), raft.commit_index())
            .unwrap();
    }
    let confirmed = raft.persisted_state();
    let changes = change_configuration(&mut raft, &mut state, 8, 8 << 20, false);
    assert!(matches!(store.save(&changes, raft.commit_index()), Err(StorageError::SizeLimit)));
    assert!(matches!(store.save_full(&raft.persisted_state()), Err(StorageError::SizeLimit)));
    assert_eq!(
        open(&disk.restarted_after(PowerLoss::All)).1.stored,
        confirmed,
        "the saved state is unchanged"
    );
    assert!(disk.counts().peak_bytes <= MAX_BYTES, "{} bytes at the peak", disk.counts().peak_bytes);
    const { assert!(MAX_BYTES < 64_000_000) };
}

/// Any damage to a file (garbage, truncation, another node's file) must count as a lost disk, without a panic; the damaged file
/// is kept.
#[test]
fn damaged_generation_counts_as_a_lost_disk_and_is_kept() {
    let disk = FakeDisk::default();
    let (mut store, loaded) = open(&disk);
    let mut follower = Follower::new(loaded, 3);
    store.save_full(&follower.raft.persisted_state()).unwrap();
    for _ in 0..8 {
        let changes = follower.step();
        store.save(&changes, follower.raft.commit_index()).unwrap();
    }
    let file = disk.names().into_iter().find(|n| n.starts_with("agreed-")).unwrap();
    let bytes = disk.read(&file).unwrap();
    let blob = disk.names().into_iter().find(|n| n.starts_with("blob-")).unwrap();
    let mut rng = Rng::with_seed(1);
    let mut damaged_files: Vec<(&str, Vec<u8>)> = vec![
        (&file, b"another's".to_vec()),
        (&file, vec![0; bytes.len()]),
        (&file, vec![7; 5 << 20]),
        (&blob, b"short".to_vec()),
    ];
    for _ in 0..40 {
        damaged_files.push((&file, bytes[..rng.usize(1..bytes.len())].to_vec()));
        let mut corrupted = bytes.clone();
        (0..200).for_each(|_| corrupted[rng.usize(..bytes.len())] = rng.u8(..));
        damaged_files.push((&file, corrupted));
    }
    let mut lost_count = 0;
    for (name, bytes) in damaged_files {
        let disk = disk.restarted_after(PowerLoss::All);
        disk.corrupt(name, bytes);
        let (mut store, loaded) =
            Store::open(Arc::new(disk.clone()) as Arc<dyn Directory>, NAME, 78).unwrap();
        // The damage may not affect the stored state.
        let is_unchanged = loaded.disk_id == DISK_ID && loaded.stored == follower.raft.persisted_state();
        assert!(
            is_unchanged || loaded.disk_id == 78 && loaded.stored == PersistedState::default(),
            "an older state was found under the same disk id"
        );
        lost_count += usize::from(!is_unchanged);
        store.save_full(&loaded.stored).unwrap();
        let is_kept = disk.names().iter().any(|n| n == "damaged");
        assert!(is_unchanged || is_kept, "{:?}", disk.names());
        assert_eq!(open(&disk.restarted_after(PowerLoss::All)).1.disk_id, loaded.disk_id);
    }
    assert!(lost_count > 40, "{lost_count}");
    // A disk that was moved from another node.
    let disk = disk.restarted_after(PowerLoss::All);
    let loaded = Store::open(Arc::new(disk) as Arc<dyn Directory>, "10.0.0.9", 79).unwrap().1;
    assert_eq!((loaded.disk_id, loaded.stored), (79, PersistedState::default()));
}

/// If the current generation is corrupted and power is lost, the older generation before it must not be found in its place.
#[test]
fn corrupted_generation_counts_as_a_lost_disk() {
    let disk = FakeDisk::default();
    for seed in 0..8 {
        let (mut store, loaded) = open(&disk);
        let mut follower = Follower::new(loaded, seed);
        store.save_full(&follower.raft.persisted_state()).unwrap();
        for _ in 0..3 {
            let changes = follower.step();
            store.save(&changes, follower.raft.commit_index()).unwrap();
        }
        let restarted = disk.restarted_after(PowerLoss::Random(seed));
        let newest = restarted.names().into_iter().filter(|n| n.starts_with("agreed-")).max().unwrap();
        restarted.corrupt(&newest, b"spoilt".to_vec());
        let directory = Arc::new(restarted) as Arc<dyn Directory>;
        let loaded = Store::open(directory, NAME, 78).unwrap().1;
        assert_eq!((loaded.disk_id, loaded.stored), (78, PersistedState::default()), "seed {seed}");
    }
}

/// The last synced registry is found after a crash, whichever of the two files was being written.
#[test]
fn registry_file_alternates_between_two_files() {
    let disk = FakeDisk::default();
    let (mut store, loaded) = open(&disk);
    assert!(loaded.heartbeats.is_empty());
    store.save_full(&PersistedState::default()).unwrap();
    let heartbeat = |n: u64| Heartbeat { instance: format!("i-{n}"), ..Heartbeat::default() };
    for n in 1..5 {
        store.write_registry(&[heartbeat(n)]);
        store.sync_registry();
        store.write_registry(&[heartbeat(n + 100)]);
        assert_eq!(
            open(&disk.restarted_after(PowerLoss::None)).1.heartbeats,
            [heartbeat(n + 100)],
            "after the process was killed"
        );
        assert_eq!(
            open(&disk.restarted_after(PowerLoss::All)).1.heartbeats,
            [heartbeat(n)],
            "after a power loss"
        );
    }
}

/// Uses a directory of the operating system, with a store of an earlier format next to the current one.
#[tokio::test]
async fn directory_is_reopened_and_a_legacy_store_counts_as_a_lost_disk() {
    let directory = std::env::temp_dir().join(format!("prompter-disk-{}", std::process::id()));
    // Left over from an earlier run.
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(directory.join(LEGACY_STORE_DIRECTORY).join("journals")).unwrap();
    let (storage, loaded) = StorageHandle::open(&directory, NAME).await.unwrap();
    assert_eq!(loaded.stored, PersistedState::default());
    assert!(directory.join(LEGACY_STORE_DIRECTORY).exists(), "opening writes and removes nothing");
    let snapshot = Snapshot { index: 4, term: 2, ..Snapshot::default() };
    let stored = PersistedState { term: 3, snapshot, commit_index: 4, ..PersistedState::default() };
    storage.request(StorageRequest::Full(Box::new(stored.clone()))).await.unwrap().unwrap();
    assert!(!directory.join(LEGACY_STORE_DIRECTORY).exists());
    let command = EntryPayload::Command(configuration(1, 9000));
    let entries = vec![Entry { term: 3, payload: command }];
    let change = Persist::Entries { from: 5, entries: entries.clone() };
    storage
        .request(StorageRequest::Append { changes: vec![change], commit_index: 5 })
        .await
        .unwrap()
        .unwrap();
    drop(storage);
    let (_, reloaded) = StorageHandle::open(&directory, NAME).await.unwrap();
    assert_eq!(
        (reloaded.disk_id, reloaded.stored),
        (loaded.disk_id, PersistedState { entries, commit_index: 5, ..stored })
    );
    std::fs::remove_dir_all(directory).unwrap();
}
