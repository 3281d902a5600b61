//! The data directory is named after its role, and the role was renamed. A directory that an operator moves to the new name is
//! opened with all its contents; an empty directory at a later start does not bootstrap a log (`docs/operate/upgrade.md`).

use super::golden_tests::{copy_files, recorded_directory, scratch_directory, stored_state, DISK_ID, NAME};
use super::*;
use control_node::{ControlNode, Effect, NodeConfig};
use trial::TenantTerms;

const SECOND: u64 = 1_000_000_000;

/// Creates the data directory of a role with this name, which holds a store written by an earlier version.
fn data_directory(parent: &Path, role: &str) -> PathBuf {
    let path = parent.join(role);
    std::fs::create_dir_all(path.join(STORE_DIRECTORY)).unwrap();
    copy_files(&recorded_directory(), &path.join(STORE_DIRECTORY));
    path
}

fn settings(data_directory: &Path, initial_start: bool) -> Settings {
    let text = format!(
        r#"
        [ownIdentity]
        nodeName = "edge-1"
        ipAddress = "{NAME}"
        zone = "a"
        initialStart = {initial_start}
        dataDirectory = {data_directory:?}
        [networkTerms]
        internalPortRange = [7660, 7675]
        seedNodes = ["{NAME}:8407"]
        [networkTerms.listenAddresses]
        controlPlane = "{NAME}:8407"
        "#
    );
    Settings::parse("test", &text).unwrap()
}

#[tokio::test]
async fn directory_moved_from_the_previous_role_name_is_opened_with_all_it_held() {
    let parent = scratch_directory("moved-role");
    let (old, new) = (data_directory(&parent, "prompter"), parent.join("control-plane"));
    std::fs::rename(old, &new).unwrap();
    let (storage, loaded) = StorageHandle::open(&new, NAME).await.unwrap();
    assert_eq!((loaded.disk_id, &loaded.stored), (DISK_ID, &stored_state()));
    assert_eq!(empty_directory_warning(&settings(&new, false), &loaded.stored), None);
    // The store accepts further writes.
    storage.request(StorageRequest::Full(Box::new(loaded.stored))).await.unwrap().unwrap();
    let (_, reloaded) = StorageHandle::open(&new, NAME).await.unwrap();
    assert_eq!((reloaded.disk_id, reloaded.stored), (DISK_ID, stored_state()));
    std::fs::remove_dir_all(parent).unwrap();
}

#[tokio::test]
async fn empty_directory_at_a_later_start_begins_no_log_and_is_reported_in_one_line() {
    let parent = scratch_directory("empty-role");
    let (_, loaded) = StorageHandle::open(&parent, NAME).await.unwrap();
    assert_eq!(loaded.stored, PersistedState::default());
    let warning = empty_directory_warning(&settings(&parent, false), &loaded.stored).unwrap();
    assert!(warning.contains(parent.to_str().unwrap()) && warning.contains("upgrade.md"), "{warning}");
    assert!(!warning.contains('\n'), "{warning}");
    assert_eq!(
        empty_directory_warning(&settings(&parent, true), &loaded.stored),
        None,
        "no warning at the initial start"
    );
    let config = NodeConfig {
        id: consensus::NodeId { name: NAME.into(), disk_id: loaded.disk_id },
        zone: "a".into(),
        can_vote: true,
        initial_start: false,
        seeds: vec![NAME.into()],
        heartbeat_interval: SECOND,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        min_voters: None,
        seed: 7,
    };
    let mut node = ControlNode::new(config, loaded.stored, Vec::new(), 0);
    for step in 0..600 {
        let now = step * SECOND / 10;
        node.advance(now, 0);
        for effect in node.take_effects() {
            if let Effect::Persist { number, .. } = effect {
                node.on_persisted(now, number, true);
            }
        }
    }
    let leadership = node.leadership();
    assert!(leadership.voters.is_empty() && leadership.leader.is_none(), "{leadership:?}");
    assert_eq!(node.raft().persisted_state(), PersistedState::default());
    std::fs::remove_dir_all(parent).unwrap();
}
