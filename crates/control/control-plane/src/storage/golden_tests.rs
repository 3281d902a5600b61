//! Compatibility tests: a store written by an earlier version is read completely, and the same state is written byte for byte
//! as that version wrote it.

use super::directory::{Directory, SystemDirectory};
use super::store::Store;
use super::*;
use compatibility::{Golden, RECORD_VARIABLE};
use consensus::{Entry, EntryPayload, NodeId, Snapshot, VoterSet};
use control_state::{Command, ControlState};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

pub(super) const NAME: &str = "10.0.0.1";
pub(super) const DISK_ID: u64 = 77;

/// Path of the store as written by version 0.1.0, before identifiers were renamed.
pub(super) fn recorded_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../testing/compatibility/golden/agreement")
}

fn voters() -> VoterSet {
    [(NAME.to_string(), DISK_ID), ("10.0.0.2".to_string(), 78), ("10.0.0.3".to_string(), 79)].into()
}

fn configuration(base: u32, bytes: usize) -> EntryPayload {
    let body = (0..bytes).map(|n| (n % 251) as u8).collect();
    EntryPayload::Command(Command::ReplaceConfiguration { base, version: base + 1, body }.encode())
}

/// A state with entries of each kind; their configurations are stored inline, as values and as blobs.
pub(super) fn stored_state() -> PersistedState {
    let mut state = ControlState::new();
    state.apply(2, &Command::ReplaceConfiguration { base: 0, version: 1, body: vec![b'x'; 5000] });
    state.apply(3, &Command::Drain { instance: "i-1".into() });
    let payloads = [
        EntryPayload::Noop,
        EntryPayload::Configuration(voters()),
        configuration(1, 1000),
        configuration(2, 9000),
        configuration(3, 70_000),
        EntryPayload::JointConfiguration { old: voters(), new: VoterSet::new() },
    ];
    PersistedState {
        term: 5,
        vote: Some(NodeId { name: "10.0.0.2".into(), disk_id: 78 }),
        snapshot: Snapshot { index: 3, term: 4, voters: voters(), state: state.encode() },
        entries: payloads.into_iter().map(|payload| Entry { term: 5, payload }).collect(),
        commit_index: 4,
    }
}

fn heartbeats() -> Vec<Heartbeat> {
    vec![Heartbeat {
        instance: "i-1".into(),
        address: "10.1.0.1:9000".into(),
        slots: 3,
        sequence: 4,
        ..Heartbeat::default()
    }]
}

fn open(path: &Path) -> (Store, LoadedState) {
    let directory = SystemDirectory::new(path.to_path_buf()).unwrap();
    Store::open(Arc::new(directory) as Arc<dyn Directory>, NAME, DISK_ID).unwrap()
}

/// Creates an empty temporary directory for one test.
pub(super) fn scratch_directory(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("granitethread-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn write(path: &Path) {
    let (mut store, _) = open(path);
    store.save_full(&stored_state()).unwrap();
    store.write_registry(&heartbeats());
    store.sync_registry();
}

pub(super) fn copy_files(from: &Path, to: &Path) {
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

fn rows(path: &Path) -> Vec<(String, Vec<u8>)> {
    let database = Database::open(path).unwrap();
    let transaction = database.begin_read().unwrap();
    let mut rows = Vec::new();
    for name in ["agreed", "values"] {
        let table = transaction.open_table(TableDefinition::<&[u8], &[u8]>::new(name)).unwrap();
        for row in table.iter().unwrap() {
            let (key, value) = row.unwrap();
            let key: String = key.value().iter().map(|b| format!("{b:02x}")).collect();
            rows.push((format!("{name}:{key}"), value.value().to_vec()));
        }
    }
    rows
}

#[test]
fn directory_of_the_previous_version_is_opened_with_all_it_held() {
    if std::env::var_os(RECORD_VARIABLE).is_some() && !recorded_directory().exists() {
        std::fs::create_dir_all(recorded_directory()).unwrap();
        write(&recorded_directory());
    }
    let path = scratch_directory("opened");
    copy_files(&recorded_directory(), &path);
    let (_, loaded) = open(&path);
    assert_eq!((loaded.disk_id, loaded.stored, loaded.heartbeats), (DISK_ID, stored_state(), heartbeats()));
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn state_is_written_as_the_same_rows_and_files_as_before() {
    let mut golden = Golden::open("stored-rows");
    let path = scratch_directory("written");
    write(&path);
    let names = |path: &Path| {
        let entries = std::fs::read_dir(path).unwrap().map(|e| e.unwrap().file_name());
        let mut names: Vec<_> = entries.collect();
        names.sort();
        names
    };
    assert_eq!(names(&path), names(&recorded_directory()));
    for name in names(&path) {
        let name = name.to_str().unwrap();
        if !name.starts_with("agreed-") {
            assert!(
                std::fs::read(path.join(name)).unwrap()
                    == std::fs::read(recorded_directory().join(name)).unwrap(),
                "{name}"
            );
        }
    }
    let rows = rows(&path.join("agreed-00000001"));
    for (name, bytes) in &rows {
        golden.assert_bytes(name, bytes);
    }
    assert_eq!(golden.len(), rows.len());
    std::fs::remove_dir_all(path).unwrap();
}
