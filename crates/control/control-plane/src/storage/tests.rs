//! What is kept, against a stand-in that loses power at each operation, refuses, and forgets.

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
const ID: u64 = 77;

fn open(folder: &FakeDisk) -> (Store, LoadedState) {
    Store::open(Arc::new(folder.clone()) as Arc<dyn Directory>, NAME, ID).unwrap()
}

/// A follower, and a leader that makes up what it is told: long and short words, new terms, ends of the log that are
/// replaced, the whole state now and then.
struct Follower {
    core: RaftNode,
    log: Vec<Entry>,
    term: Term,
    agreed: LogIndex,
    rng: Rng,
    state: ControlState,
    applied: LogIndex,
}

impl Follower {
    fn new(held: LoadedState, seed: u64) -> Self {
        let id = NodeId { name: NAME.into(), disk_id: held.disk_id };
        let stored = held.stored;
        let (term, agreed) = (stored.term.max(1), stored.commit_index);
        let mut log = vec![Entry { term: 1, payload: EntryPayload::Noop }; stored.snapshot.index as usize];
        log.extend(stored.entries.iter().cloned());
        let state = ControlState::decode(&stored.snapshot.state).unwrap();
        let applied = stored.snapshot.index;
        let mut new = Follower {
            core: RaftNode::new(id, stored, seed, 0),
            log,
            term,
            agreed,
            rng: Rng::with_seed(seed),
            state,
            applied,
        };
        let known = new.core.committed_outputs();
        known.iter().for_each(|o| new.apply(o));
        new
    }

    fn apply(&mut self, output: &Output) {
        if let Output::Apply { index, command: word, .. } = output {
            self.state.apply(*index, &Command::decode(word).unwrap());
            self.applied = *index;
        }
    }

    fn word(&mut self) -> EntryPayload {
        if self.rng.bool() {
            return EntryPayload::Command(
                Command::Drain { instance: format!("i-{}", self.rng.u16(..)) }.encode(),
            );
        }
        let version = self.state.version() + 1 + self.rng.u32(..3);
        // Some stand where they are, some are values, some files.
        let bytes = [3000, 9000, 70_000][self.rng.usize(..3)];
        let body = vec![self.rng.u8(..); bytes];
        EntryPayload::Command(
            Command::ReplaceConfiguration { base: self.state.version(), version, body }.encode(),
        )
    }

    /// What is to be saved next.
    fn step(&mut self) -> Vec<Persist> {
        let mut outputs = Vec::new();
        if self.core.commit_index() > self.core.snapshot().index
            && self.rng.u8(..4) == 0
            && self.applied > self.core.snapshot().index
        {
            return self.core.compact(self.applied, self.state.encode()).into_iter().collect();
        }
        if self.rng.u8(..5) == 0 {
            self.term += 1;
            // Another leader, which may not have the end.
            let kept = self.agreed + self.rng.u64(..=self.log.len() as u64 - self.agreed);
            self.log.truncate(kept as usize);
        }
        // The term of the last that is known of.
        for _ in 0..1 + self.rng.usize(..2) {
            let said = self.word();
            self.log.push(Entry { term: self.term, payload: said });
        }
        let before = self.core.commit_index();
        let at = before as usize;
        let known = self.core.persisted_state();
        let term = match at.checked_sub(1) {
            _ if before == known.snapshot.index => known.snapshot.term,
            Some(n) => self.log[n].term,
            None => 0,
        };
        self.agreed += self.rng.u64(..=self.log.len() as u64 - self.agreed);
        let entries = self.log[at..].to_vec();
        let body = MessageBody::AppendEntries {
            previous: PreviousEntry { index: before, term },
            entries,
            commit_index: self.agreed,
            round: 1,
        };
        let from = NodeId { name: "10.0.0.2".into(), disk_id: 2 };
        let message = Message { from, to: self.core.id().clone(), term: self.term, body };
        self.core.handle(0, Input::Message(message), &mut outputs);
        outputs.iter().for_each(|o| self.apply(o));
        let save = |o| if let Output::Persist(save) = o { Some(save) } else { None };
        outputs.into_iter().filter_map(save).collect()
    }
}

/// What was saved, and what may be found.
#[derive(Default)]
struct Seen {
    /// Saved for sure.
    sure: Option<PersistedState>,
    /// Asked to be saved since.
    maybe: Vec<PersistedState>,
}

impl Seen {
    fn note<T>(&mut self, asked: PersistedState, done: &Result<T, StorageError>) {
        self.maybe.push(asked);
        if done.is_ok() {
            self.sure = self.maybe.pop();
            self.maybe.clear();
        }
    }

    fn check(&self, held: &LoadedState, what: &str) {
        let found = &held.stored;
        match &self.sure {
            Some(sure) => {
                assert_eq!(held.disk_id, ID, "{what}: the voter is another");
                let one = found == sure || self.maybe.contains(found);
                assert!(
                    one,
                    "{what}: term {} agreed {} found, {} {} saved",
                    found.term, found.commit_index, sure.term, sure.commit_index
                );
            }
            None => {
                let one = *found == PersistedState::default() || self.maybe.contains(found);
                assert!(one, "{what}: something that nobody saved");
            }
        }
    }
}

/// A process of so many steps, or until the disk is gone.
fn play(disk: &FakeDisk, seen: &mut Seen, seed: u64, steps: usize) {
    let (mut storage, held) = open(disk);
    let mut follower = Follower::new(held, seed);
    let whole = follower.core.persisted_state();
    let done = storage.save_full(&whole);
    seen.note(whole, &done);
    let mut works = done.is_ok();
    for _ in 0..steps {
        let saves = follower.step();
        if saves.is_empty() {
            continue;
        }
        let stored = follower.core.persisted_state();
        let done = if works { storage.save(&saves, stored.commit_index) } else { storage.save_full(&stored) };
        works = done.is_ok();
        seen.note(stored, &done);
        storage.sync_registry();
    }
}

/// Power is lost, or the process is killed, at each operation that writes: no voter ever finds less than it has saved.
#[test]
fn crash_at_any_operation_keeps_saved_state_and_disk_id() {
    let whole = {
        let disk = FakeDisk::default();
        play(&disk, &mut Seen::default(), 1, 10);
        disk.counts().operations
    };
    assert!(whole > 100, "{whole} operations");
    for at in 0..whole {
        for (n, loss) in
            [PowerLoss::None, PowerLoss::All, PowerLoss::Random(at), PowerLoss::Random(at + 1000)]
                .into_iter()
                .enumerate()
        {
            let (mut disk, mut seen) = (FakeDisk::default(), Seen::default());
            disk.dies_after(at);
            play(&disk, &mut seen, 1, 10);
            // It comes back, and is cut short again: in the middle of its new generation, or soon after.
            for again in 0..3 {
                let what = format!("operation {at}, {loss:?}, {again}");
                disk = disk.after(loss);
                let held = open(&disk).1;
                seen.check(&held, &what);
                if again < 2 {
                    // What was found is what there is now, though it is not sure that it will be found again.
                    if seen.sure.is_some() {
                        seen.maybe.push(held.stored);
                    }
                    disk.dies_after((7 * at + 13 * again + n as u64) % 40);
                    play(&disk, &mut seen, at + again, 4);
                }
            }
        }
    }
}

/// A disk that takes nothing for a while, and forgets what it was to sync: what is saved afterwards is found, whatever happens then.
#[test]
fn disk_that_was_full_holds_everything_again() {
    for seed in 0..24 {
        let (disk, mut seen) = (FakeDisk::default(), Seen::default());
        let (mut storage, held) = open(&disk);
        let mut follower = Follower::new(held, seed);
        let mut rng = Rng::with_seed(seed);
        let mut works = false;
        for step in 0..30 {
            if rng.u8(..6) == 0 {
                disk.set_behaviour(
                    [DiskBehaviour::Full, DiskBehaviour::Dead, DiskBehaviour::Healthy][rng.usize(..3)],
                );
            }
            if rng.bool() {
                disk.refuses_after(rng.u64(..24));
            }
            let saves = follower.step();
            let stored = follower.core.persisted_state();
            let done =
                if works { storage.save(&saves, stored.commit_index) } else { storage.save_full(&stored) };
            works = done.is_ok();
            seen.note(stored, &done);
            for loss in [PowerLoss::None, PowerLoss::All, PowerLoss::Random(rng.u64(..))] {
                seen.check(&open(&disk.after(loss)).1, &format!("seed {seed}, step {step}, {loss:?}"));
            }
        }
        disk.set_behaviour(DiskBehaviour::Healthy);
        disk.refuses_after(u64::MAX);
        let stored = follower.core.persisted_state();
        storage.save_full(&stored).unwrap();
        assert_eq!(open(&disk.after(PowerLoss::All)).1.stored, stored);
    }
}

/// A save is refused, and so is something of the whole that is to make up for it, at each operation of both: the process is killed then.
#[test]
fn failed_save_is_found_whole_or_not_at_all() {
    for first in 0..12 {
        for second in 0..16 {
            let (disk, mut seen) = (FakeDisk::default(), Seen::default());
            let (mut storage, held) = open(&disk);
            let (mut core, mut state) = (sole(held.disk_id), ControlState::new());
            let done = storage.save_full(&core.persisted_state());
            seen.note(core.persisted_state(), &done);
            disk.refuses_after(first);
            let saves = change(&mut core, &mut state, 1, 70_000, false);
            let done = storage.save(&saves, core.commit_index());
            seen.note(core.persisted_state(), &done);
            disk.refuses_after(second);
            let done = storage.save_full(&core.persisted_state());
            seen.note(core.persisted_state(), &done);
            for loss in [PowerLoss::None, PowerLoss::All, PowerLoss::Random(first * 16 + second)] {
                seen.check(&open(&disk.after(loss)).1, &format!("{first}, {second}, {loss:?}"));
            }
        }
    }
}

fn configuration(version: u32, bytes: usize) -> Vec<u8> {
    let mut body = vec![b'x'; bytes];
    body[..4].copy_from_slice(&version.to_be_bytes());
    Command::ReplaceConfiguration { base: version - 1, version, body }.encode()
}

/// A sole voter, so that all is agreed on at once.
fn sole(id: u64) -> RaftNode {
    let me = NodeId { name: NAME.into(), disk_id: id };
    let members: VoterSet = [(NAME.to_string(), id)].into();
    let mut core = RaftNode::new(me, PersistedState::default(), 1, 0);
    core.handle(0, Input::Bootstrap { voters: members }, &mut Vec::new());
    core
}

/// Changes without end: what stands on the disk is bounded, and a configuration is written once.
#[test]
fn thousand_changes_take_no_more_disk_than_ten() {
    let disk = FakeDisk::default();
    let (mut storage, held) = open(&disk);
    let (mut core, mut state) = (sole(held.disk_id), ControlState::new());
    storage.save_full(&core.persisted_state()).unwrap();
    let (mut before, mut after_ten) = (disk.counts(), 0);
    let mut folds = 0;
    for version in 1..=1000 {
        let fold = core.entry_count() >= 64;
        folds += usize::from(fold);
        storage.save(&change(&mut core, &mut state, version, 20_000, fold), core.commit_index()).unwrap();
        if version == 10 {
            (before, after_ten) = (disk.counts(), disk.counts().peak);
        }
    }
    let counts = disk.counts();
    let bytes = (counts.bytes - before.bytes) / 990;
    let syncs = (counts.syncs - before.syncs) as f64 / 990.0;
    println!(
        "{bytes} bytes and {syncs:.2} syncs a change, {} peak, {after_ten} after ten, {folds} folds",
        counts.peak
    );
    assert!(bytes < 80_000, "{bytes} bytes a change of 20,000");
    assert!(syncs < 1.1, "{syncs} syncs a change");
    assert!(counts.peak < 65 * 20_100 + (4 << 20), "{} bytes at the peak", counts.peak);
    assert_eq!(open(&disk.after(PowerLoss::All)).1.stored, core.persisted_state());
}

/// A change, agreed on at once, and folded or not.
fn change(
    core: &mut RaftNode,
    state: &mut ControlState,
    version: u32,
    bytes: usize,
    fold: bool,
) -> Vec<Persist> {
    let mut outputs = Vec::new();
    core.handle(0, Input::Propose { tag: 1, command: configuration(version, bytes) }, &mut outputs);
    let mut saves = Vec::new();
    for output in outputs {
        match output {
            Output::Persist(save) => saves.push(save),
            Output::Apply { index, command: word, .. } => {
                _ = state.apply(index, &Command::decode(&word).unwrap())
            }
            _ => {}
        }
    }
    if fold {
        saves.extend(core.compact(core.commit_index(), state.encode()));
    }
    saves
}

/// The longest configurations, one after the other, with a disk that fails between them: each is taken, within the bound. Without folding
/// the sixth is refused, nothing of the five is lost, and the bound holds.
#[test]
fn longest_configurations_stay_within_the_disk_bound() {
    let disk = FakeDisk::default();
    let (mut storage, held) = open(&disk);
    let (mut core, mut state) = (sole(held.disk_id), ControlState::new());
    storage.save_full(&core.persisted_state()).unwrap();
    for version in 1..=3 {
        let saves = change(&mut core, &mut state, version, 8 << 20, true);
        disk.set_behaviour(if version == 2 { DiskBehaviour::Full } else { DiskBehaviour::Healthy });
        let done = storage.save(&saves, core.commit_index());
        assert_eq!(done.is_ok(), version == 1, "{done:?}");
    }
    storage.save_full(&core.persisted_state()).unwrap();
    assert_eq!(open(&disk.after(PowerLoss::All)).1.stored, core.persisted_state());
    for version in 4..=7 {
        storage.save(&change(&mut core, &mut state, version, 8 << 20, false), core.commit_index()).unwrap();
    }
    let sure = core.persisted_state();
    let saves = change(&mut core, &mut state, 8, 8 << 20, false);
    assert!(matches!(storage.save(&saves, core.commit_index()), Err(StorageError::SizeLimit)));
    assert!(matches!(storage.save_full(&core.persisted_state()), Err(StorageError::SizeLimit)));
    assert_eq!(open(&disk.after(PowerLoss::All)).1.stored, sure, "as it was");
    assert!(disk.counts().peak <= MAX_BYTES, "{} bytes at the peak", disk.counts().peak);
    const { assert!(MAX_BYTES < 64_000_000) };
}

/// Whatever the file is: one that makes no sense, half of one, another's. A lost disk, one line, no panic.
#[test]
fn damaged_generation_counts_as_a_lost_disk_and_is_kept() {
    let disk = FakeDisk::default();
    let (mut storage, held) = open(&disk);
    let mut follower = Follower::new(held, 3);
    storage.save_full(&follower.core.persisted_state()).unwrap();
    for _ in 0..8 {
        let saves = follower.step();
        storage.save(&saves, follower.core.commit_index()).unwrap();
    }
    let file = disk.names().into_iter().find(|n| n.starts_with("agreed-")).unwrap();
    let bytes = disk.read(&file).unwrap();
    let blob = disk.names().into_iter().find(|n| n.starts_with("blob-")).unwrap();
    let mut rng = Rng::with_seed(1);
    let mut broken: Vec<(&str, Vec<u8>)> = vec![
        (&file, b"another's".to_vec()),
        (&file, vec![0; bytes.len()]),
        (&file, vec![7; 5 << 20]),
        (&blob, b"short".to_vec()),
    ];
    for _ in 0..40 {
        broken.push((&file, bytes[..rng.usize(1..bytes.len())].to_vec()));
        let mut turned = bytes.clone();
        (0..200).for_each(|_| turned[rng.usize(..bytes.len())] = rng.u8(..));
        broken.push((&file, turned));
    }
    let mut lost = 0;
    for (name, bytes) in broken {
        let disk = disk.after(PowerLoss::All);
        disk.spoil(name, bytes);
        let (mut storage, held) =
            Store::open(Arc::new(disk.clone()) as Arc<dyn Directory>, NAME, 78).unwrap();
        // What is left of it may be whole.
        let same = held.disk_id == ID && held.stored == follower.core.persisted_state();
        assert!(
            same || held.disk_id == 78 && held.stored == PersistedState::default(),
            "older under the same id"
        );
        lost += usize::from(!same);
        storage.save_full(&held.stored).unwrap();
        let kept = disk.names().iter().any(|n| n == "damaged");
        assert!(same || kept, "{:?}", disk.names());
        assert_eq!(open(&disk.after(PowerLoss::All)).1.disk_id, held.disk_id);
    }
    assert!(lost > 40, "{lost}");
    // A machine that was given another's disk.
    let disk = disk.after(PowerLoss::All);
    let held = Store::open(Arc::new(disk) as Arc<dyn Directory>, "10.0.0.9", 79).unwrap().1;
    assert_eq!((held.disk_id, held.stored), (79, PersistedState::default()));
}

/// A generation that something rests on comes to make no sense, and power is lost: the one before it, which is older, never comes back
/// in its place.
#[test]
fn corrupted_generation_counts_as_a_lost_disk() {
    let disk = FakeDisk::default();
    for seed in 0..8 {
        let (mut storage, held) = open(&disk);
        let mut follower = Follower::new(held, seed);
        storage.save_full(&follower.core.persisted_state()).unwrap();
        for _ in 0..3 {
            let saves = follower.step();
            storage.save(&saves, follower.core.commit_index()).unwrap();
        }
        let after = disk.after(PowerLoss::Random(seed));
        let last = after.names().into_iter().filter(|n| n.starts_with("agreed-")).max().unwrap();
        after.spoil(&last, b"spoilt".to_vec());
        let folder = Arc::new(after) as Arc<dyn Directory>;
        let held = Store::open(folder, NAME, 78).unwrap().1;
        assert_eq!((held.disk_id, held.stored), (78, PersistedState::default()), "seed {seed}");
    }
}

/// The lives that were kept are there again, whichever of the two files was being written.
#[test]
fn registry_file_alternates_between_two_files() {
    let disk = FakeDisk::default();
    let (mut storage, held) = open(&disk);
    assert!(held.heartbeats.is_empty());
    storage.save_full(&PersistedState::default()).unwrap();
    let heartbeat = |n: u64| Heartbeat { instance: format!("i-{n}"), ..Heartbeat::default() };
    for n in 1..5 {
        storage.write_registry(&[heartbeat(n)]);
        storage.sync_registry();
        storage.write_registry(&[heartbeat(n + 100)]);
        assert_eq!(
            open(&disk.after(PowerLoss::None)).1.heartbeats,
            [heartbeat(n + 100)],
            "a process that is killed"
        );
        assert_eq!(open(&disk.after(PowerLoss::All)).1.heartbeats, [heartbeat(n)], "what was synced");
    }
}

/// The folder of the system's, and one of an earlier form beside it.
#[tokio::test]
async fn directory_is_reopened_and_a_legacy_store_counts_as_a_lost_disk() {
    let folder = std::env::temp_dir().join(format!("prompter-disk-{}", std::process::id()));
    // Of an earlier run.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join(LEGACY_STORE_DIRECTORY).join("journals")).unwrap();
    let (disk, held) = StorageHandle::open(&folder, NAME).await.unwrap();
    assert_eq!(held.stored, PersistedState::default());
    assert!(folder.join(LEGACY_STORE_DIRECTORY).exists(), "nothing is written or removed by reading");
    let snapshot = Snapshot { index: 4, term: 2, ..Snapshot::default() };
    let stored = PersistedState { term: 3, snapshot, commit_index: 4, ..PersistedState::default() };
    disk.request(StorageRequest::Full(Box::new(stored.clone()))).await.unwrap().unwrap();
    assert!(!folder.join(LEGACY_STORE_DIRECTORY).exists());
    let word = EntryPayload::Command(configuration(1, 9000));
    let entries = vec![Entry { term: 3, payload: word }];
    let save = Persist::Entries { from: 5, entries: entries.clone() };
    disk.request(StorageRequest::Append { changes: vec![save], commit_index: 5 }).await.unwrap().unwrap();
    drop(disk);
    let (_, again) = StorageHandle::open(&folder, NAME).await.unwrap();
    assert_eq!(
        (again.disk_id, again.stored),
        (held.disk_id, PersistedState { entries, commit_index: 5, ..stored })
    );
    std::fs::remove_dir_all(folder).unwrap();
}
