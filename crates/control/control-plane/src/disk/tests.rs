//! What is kept, against a stand-in that loses power at each operation, refuses, and forgets.

use super::folder::Folder;
use super::stand_in::{Loss, Mood, StandIn};
use super::storage::{Storage, MOST};
use super::*;
use consensus::{
    Body, Core, Entry, Id, Input, Members, Message, Output, Place, Said, Save, Snapshot, Stored, Term,
};
use control_state::{Book, Word};
use fastrand::Rng;

const NAME: &str = "10.0.0.1";
const ID: u64 = 77;

fn open(folder: &StandIn) -> (Storage, Held) {
    Storage::open(Arc::new(folder.clone()) as Arc<dyn Folder>, NAME, ID).unwrap()
}

/// A follower, and a leader that makes up what it is told: long and short words, new terms, ends of the log that are
/// replaced, the whole state now and then.
struct Follower {
    core: Core,
    log: Vec<Entry>,
    term: Term,
    agreed: Place,
    rng: Rng,
    book: Book,
    applied: Place,
}

impl Follower {
    fn new(held: Held, seed: u64) -> Self {
        let id = Id { name: NAME.into(), disk: held.id };
        let stored = held.stored;
        let (term, agreed) = (stored.term.max(1), stored.agreed);
        let mut log = vec![Entry { term: 1, said: Said::Nothing }; stored.snapshot.place as usize];
        log.extend(stored.entries.iter().cloned());
        let book = Book::read(&stored.snapshot.state).unwrap();
        let applied = stored.snapshot.place;
        let mut new = Follower {
            core: Core::new(id, stored, seed, 0),
            log,
            term,
            agreed,
            rng: Rng::with_seed(seed),
            book,
            applied,
        };
        let known = new.core.known();
        known.iter().for_each(|o| new.apply(o));
        new
    }

    fn apply(&mut self, output: &Output) {
        if let Output::Apply { place, word, .. } = output {
            self.book.apply(*place, &Word::read(word).unwrap());
            self.applied = *place;
        }
    }

    fn word(&mut self) -> Said {
        if self.rng.bool() {
            return Said::Word(Word::Leaving { instance: format!("i-{}", self.rng.u16(..)) }.write());
        }
        let version = self.book.version() + 1 + self.rng.u32(..3);
        // Some stand where they are, some are values, some files.
        let bytes = [3000, 9000, 70_000][self.rng.usize(..3)];
        let body = vec![self.rng.u8(..); bytes];
        Said::Word(Word::Configuration { base: self.book.version(), version, body }.write())
    }

    /// What is to be saved next.
    fn step(&mut self) -> Vec<Save> {
        let mut outputs = Vec::new();
        if self.core.agreed() > self.core.start().0
            && self.rng.u8(..4) == 0
            && self.applied > self.core.start().0
        {
            return self.core.compact(self.applied, self.book.write()).into_iter().collect();
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
            self.log.push(Entry { term: self.term, said });
        }
        let before = self.core.agreed();
        let at = before as usize;
        let known = self.core.stored();
        let term = match at.checked_sub(1) {
            _ if before == known.snapshot.place => known.snapshot.term,
            Some(n) => self.log[n].term,
            None => 0,
        };
        self.agreed += self.rng.u64(..=self.log.len() as u64 - self.agreed);
        let entries = self.log[at..].to_vec();
        let body = Body::Append { before: (before, term), entries, agreed: self.agreed, round: 1 };
        let from = Id { name: "10.0.0.2".into(), disk: 2 };
        let message = Message { from, to: self.core.id().clone(), term: self.term, body };
        self.core.handle(0, Input::Message(message), &mut outputs);
        outputs.iter().for_each(|o| self.apply(o));
        let save = |o| if let Output::Save(save) = o { Some(save) } else { None };
        outputs.into_iter().filter_map(save).collect()
    }
}

/// What was saved, and what may be found.
#[derive(Default)]
struct Seen {
    /// Saved for sure.
    sure: Option<Stored>,
    /// Asked to be saved since.
    maybe: Vec<Stored>,
}

impl Seen {
    fn note<T>(&mut self, asked: Stored, done: &Result<T, Fault>) {
        self.maybe.push(asked);
        if done.is_ok() {
            self.sure = self.maybe.pop();
            self.maybe.clear();
        }
    }

    fn check(&self, held: &Held, what: &str) {
        let found = &held.stored;
        match &self.sure {
            Some(sure) => {
                assert_eq!(held.id, ID, "{what}: the voter is another");
                let one = found == sure || self.maybe.contains(found);
                assert!(
                    one,
                    "{what}: term {} agreed {} found, {} {} saved",
                    found.term, found.agreed, sure.term, sure.agreed
                );
            }
            None => {
                let one = *found == Stored::default() || self.maybe.contains(found);
                assert!(one, "{what}: something that nobody saved");
            }
        }
    }
}

/// A process of so many steps, or until the disk is gone.
fn play(disk: &StandIn, seen: &mut Seen, seed: u64, steps: usize) {
    let (mut storage, held) = open(disk);
    let mut follower = Follower::new(held, seed);
    let whole = follower.core.stored();
    let done = storage.whole(&whole);
    seen.note(whole, &done);
    let mut works = done.is_ok();
    for _ in 0..steps {
        let saves = follower.step();
        if saves.is_empty() {
            continue;
        }
        let stored = follower.core.stored();
        let done = if works { storage.save(&saves, stored.agreed) } else { storage.whole(&stored) };
        works = done.is_ok();
        seen.note(stored, &done);
        storage.rest();
    }
}

/// Power is lost, or the process is killed, at each operation that writes: no voter ever finds less than it has saved.
#[test]
fn whenever_it_is_cut_short_what_was_saved_is_found_under_the_same_id() {
    let whole = {
        let disk = StandIn::default();
        play(&disk, &mut Seen::default(), 1, 10);
        disk.counts().operations
    };
    assert!(whole > 100, "{whole} operations");
    for at in 0..whole {
        for (n, loss) in [Loss::None, Loss::All, Loss::Lot(at), Loss::Lot(at + 1000)].into_iter().enumerate()
        {
            let (mut disk, mut seen) = (StandIn::default(), Seen::default());
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
fn a_disk_that_was_full_holds_all_again_and_forgets_nothing() {
    for seed in 0..24 {
        let (disk, mut seen) = (StandIn::default(), Seen::default());
        let (mut storage, held) = open(&disk);
        let mut follower = Follower::new(held, seed);
        let mut rng = Rng::with_seed(seed);
        let mut works = false;
        for step in 0..30 {
            if rng.u8(..6) == 0 {
                disk.mood([Mood::Full, Mood::Dead, Mood::Works][rng.usize(..3)]);
            }
            if rng.bool() {
                disk.refuses_after(rng.u64(..24));
            }
            let saves = follower.step();
            let stored = follower.core.stored();
            let done = if works { storage.save(&saves, stored.agreed) } else { storage.whole(&stored) };
            works = done.is_ok();
            seen.note(stored, &done);
            for loss in [Loss::None, Loss::All, Loss::Lot(rng.u64(..))] {
                seen.check(&open(&disk.after(loss)).1, &format!("seed {seed}, step {step}, {loss:?}"));
            }
        }
        disk.mood(Mood::Works);
        disk.refuses_after(u64::MAX);
        let stored = follower.core.stored();
        storage.whole(&stored).unwrap();
        assert_eq!(open(&disk.after(Loss::All)).1.stored, stored);
    }
}

/// A save is refused, and so is something of the whole that is to make up for it, at each operation of both: the process is killed then.
#[test]
fn a_save_that_was_refused_may_be_found_whole_and_is_never_found_in_part() {
    for first in 0..12 {
        for second in 0..16 {
            let (disk, mut seen) = (StandIn::default(), Seen::default());
            let (mut storage, held) = open(&disk);
            let (mut core, mut book) = (sole(held.id), Book::new());
            let done = storage.whole(&core.stored());
            seen.note(core.stored(), &done);
            disk.refuses_after(first);
            let saves = change(&mut core, &mut book, 1, 70_000, false);
            let done = storage.save(&saves, core.agreed());
            seen.note(core.stored(), &done);
            disk.refuses_after(second);
            let done = storage.whole(&core.stored());
            seen.note(core.stored(), &done);
            for loss in [Loss::None, Loss::All, Loss::Lot(first * 16 + second)] {
                seen.check(&open(&disk.after(loss)).1, &format!("{first}, {second}, {loss:?}"));
            }
        }
    }
}

fn configuration(version: u32, bytes: usize) -> Vec<u8> {
    let mut body = vec![b'x'; bytes];
    body[..4].copy_from_slice(&version.to_be_bytes());
    Word::Configuration { base: version - 1, version, body }.write()
}

/// A sole voter, so that all is agreed on at once.
fn sole(id: u64) -> Core {
    let me = Id { name: NAME.into(), disk: id };
    let members: Members = [(NAME.to_string(), id)].into();
    let mut core = Core::new(me, Stored::default(), 1, 0);
    core.handle(0, Input::Found { members }, &mut Vec::new());
    core
}

/// Changes without end: what stands on the disk is bounded, and a configuration is written once.
#[test]
fn a_thousand_changes_take_no_more_room_than_ten() {
    let disk = StandIn::default();
    let (mut storage, held) = open(&disk);
    let (mut core, mut book) = (sole(held.id), Book::new());
    storage.whole(&core.stored()).unwrap();
    let (mut before, mut after_ten) = (disk.counts(), 0);
    let mut folds = 0;
    for version in 1..=1000 {
        let fold = core.entries() >= 64;
        folds += usize::from(fold);
        storage.save(&change(&mut core, &mut book, version, 20_000, fold), core.agreed()).unwrap();
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
    assert_eq!(open(&disk.after(Loss::All)).1.stored, core.stored());
}

/// A change, agreed on at once, and folded or not.
fn change(core: &mut Core, book: &mut Book, version: u32, bytes: usize, fold: bool) -> Vec<Save> {
    let mut outputs = Vec::new();
    core.handle(0, Input::Propose { tag: 1, word: configuration(version, bytes) }, &mut outputs);
    let mut saves = Vec::new();
    for output in outputs {
        match output {
            Output::Save(save) => saves.push(save),
            Output::Apply { place, word, .. } => drop(book.apply(place, &Word::read(&word).unwrap())),
            _ => {}
        }
    }
    if fold {
        saves.extend(core.compact(core.agreed(), book.write()));
    }
    saves
}

/// The longest configurations, one after the other, with a disk that fails between them: each is taken, within the bound. Without folding
/// the sixth is refused, nothing of the five is lost, and the bound holds.
#[test]
fn the_longest_configurations_stay_within_the_bound() {
    let disk = StandIn::default();
    let (mut storage, held) = open(&disk);
    let (mut core, mut book) = (sole(held.id), Book::new());
    storage.whole(&core.stored()).unwrap();
    for version in 1..=3 {
        let saves = change(&mut core, &mut book, version, 8 << 20, true);
        disk.mood(if version == 2 { Mood::Full } else { Mood::Works });
        let done = storage.save(&saves, core.agreed());
        assert_eq!(done.is_ok(), version == 1, "{done:?}");
    }
    storage.whole(&core.stored()).unwrap();
    assert_eq!(open(&disk.after(Loss::All)).1.stored, core.stored());
    for version in 4..=7 {
        storage.save(&change(&mut core, &mut book, version, 8 << 20, false), core.agreed()).unwrap();
    }
    let sure = core.stored();
    let saves = change(&mut core, &mut book, 8, 8 << 20, false);
    assert!(matches!(storage.save(&saves, core.agreed()), Err(Fault::Bound)));
    assert!(matches!(storage.whole(&core.stored()), Err(Fault::Bound)));
    assert_eq!(open(&disk.after(Loss::All)).1.stored, sure, "as it was");
    assert!(disk.counts().peak <= MOST, "{} bytes at the peak", disk.counts().peak);
    const { assert!(MOST < 64_000_000) };
}

/// Whatever the file is: one that makes no sense, half of one, another's. A lost disk, one line, no panic.
#[test]
fn what_makes_no_sense_is_a_lost_disk_and_stays_to_be_looked_at() {
    let disk = StandIn::default();
    let (mut storage, held) = open(&disk);
    let mut follower = Follower::new(held, 3);
    storage.whole(&follower.core.stored()).unwrap();
    for _ in 0..8 {
        let saves = follower.step();
        storage.save(&saves, follower.core.agreed()).unwrap();
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
        let disk = disk.after(Loss::All);
        disk.spoil(name, bytes);
        let (mut storage, held) = Storage::open(Arc::new(disk.clone()) as Arc<dyn Folder>, NAME, 78).unwrap();
        // What is left of it may be whole.
        let same = held.id == ID && held.stored == follower.core.stored();
        assert!(same || held.id == 78 && held.stored == Stored::default(), "older under the same id");
        lost += usize::from(!same);
        storage.whole(&held.stored).unwrap();
        let kept = disk.names().iter().any(|n| n == "damaged");
        assert!(same || kept, "{:?}", disk.names());
        assert_eq!(open(&disk.after(Loss::All)).1.id, held.id);
    }
    assert!(lost > 40, "{lost}");
    // A machine that was given another's disk.
    let disk = disk.after(Loss::All);
    let held = Storage::open(Arc::new(disk) as Arc<dyn Folder>, "10.0.0.9", 79).unwrap().1;
    assert_eq!((held.id, held.stored), (79, Stored::default()));
}

/// A generation that something rests on comes to make no sense, and power is lost: the one before it, which is older, never comes back
/// in its place.
#[test]
fn one_that_is_spoilt_later_is_a_lost_disk_and_not_the_one_before() {
    let disk = StandIn::default();
    for seed in 0..8 {
        let (mut storage, held) = open(&disk);
        let mut follower = Follower::new(held, seed);
        storage.whole(&follower.core.stored()).unwrap();
        for _ in 0..3 {
            let saves = follower.step();
            storage.save(&saves, follower.core.agreed()).unwrap();
        }
        let after = disk.after(Loss::Lot(seed));
        let last = after.names().into_iter().filter(|n| n.starts_with("agreed-")).max().unwrap();
        after.spoil(&last, b"spoilt".to_vec());
        let folder = Arc::new(after) as Arc<dyn Folder>;
        let held = Storage::open(folder, NAME, 78).unwrap().1;
        assert_eq!((held.id, held.stored), (78, Stored::default()), "seed {seed}");
    }
}

/// The lives that were kept are there again, whichever of the two files was being written.
#[test]
fn the_cell_is_kept_by_turns() {
    let disk = StandIn::default();
    let (mut storage, held) = open(&disk);
    assert!(held.cell.is_empty());
    storage.whole(&Stored::default()).unwrap();
    let fact = |n: u64| Fact { id: format!("i-{n}"), ..Fact::default() };
    for n in 1..5 {
        storage.keep(&[fact(n)]);
        storage.rest();
        storage.keep(&[fact(n + 100)]);
        assert_eq!(open(&disk.after(Loss::None)).1.cell, [fact(n + 100)], "a process that is killed");
        assert_eq!(open(&disk.after(Loss::All)).1.cell, [fact(n)], "what was synced");
    }
}

/// The folder of the system's, and one of an earlier form beside it.
#[tokio::test]
async fn a_folder_is_read_again_and_an_earlier_form_is_a_lost_disk() {
    let folder = std::env::temp_dir().join(format!("prompter-disk-{}", std::process::id()));
    // Of an earlier run.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join(EARLIER).join("journals")).unwrap();
    let (disk, held) = Disk::open(&folder, NAME).await.unwrap();
    assert_eq!(held.stored, Stored::default());
    assert!(folder.join(EARLIER).exists(), "nothing is written or removed by reading");
    let snapshot = Snapshot { place: 4, term: 2, ..Snapshot::default() };
    let stored = Stored { term: 3, snapshot, agreed: 4, ..Stored::default() };
    disk.work(Work::Whole(Box::new(stored.clone()))).await.unwrap().unwrap();
    assert!(!folder.join(EARLIER).exists());
    let word = Said::Word(configuration(1, 9000));
    let entries = vec![Entry { term: 3, said: word }];
    let save = Save::Entries { from: 5, entries: entries.clone() };
    disk.work(Work::Save(vec![save], 5)).await.unwrap().unwrap();
    drop(disk);
    let (_, again) = Disk::open(&folder, NAME).await.unwrap();
    assert_eq!((again.id, again.stored), (held.id, Stored { entries, agreed: 5, ..stored }));
    std::fs::remove_dir_all(folder).unwrap();
}
