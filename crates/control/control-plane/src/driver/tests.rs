//! Tests of three control nodes in one process, each on a fake disk that can fill up, stall or lose power.

use super::*;
use crate::storage::directory::Directory;
use crate::storage::fake_disk::{DiskBehaviour, FakeDisk, PowerLoss};
use crate::storage::store::Store;
use consensus::{NodeId, VoterSet};
use control_node::NodeConfig;
use control_state::Command;
use std::future::Future;
use std::path::PathBuf;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::timeout;

/// Time limit for each wait.
const TIMEOUT: Duration = Duration::from_secs(20);
struct RunningNode {
    driver: Rc<Driver>,
    task: JoinHandle<()>,
}

struct Cluster {
    disks: Vec<FakeDisk>,
    nodes: Vec<Option<RunningNode>>,
    starts: u64,
}

fn name(n: usize) -> String {
    format!("10.0.0.{}", n + 1)
}

/// Returns a configuration in the format of these tests: base, version and filler bytes.
fn body(base: u32, version: u32, length: usize) -> Vec<u8> {
    let mut body = vec![version as u8; length.max(8)];
    body[..4].copy_from_slice(&base.to_be_bytes());
    body[4..8].copy_from_slice(&version.to_be_bytes());
    body
}

fn parse_versions(body: &[u8]) -> Result<DeclaredVersions, ConfigurationError> {
    let number = |offset: usize| {
        body.get(offset..offset + 4).and_then(|bytes| bytes.try_into().ok()).map(u32::from_be_bytes)
    };
    let versions = number(0).zip(number(4));
    versions
        .map(|(base, version)| DeclaredVersions { base, version })
        .ok_or_else(|| ConfigurationError::Malformed("too short".into()))
}

impl Cluster {
    async fn new() -> Self {
        let disks = (0..3).map(|_| FakeDisk::default()).collect();
        let mut cluster = Cluster { disks, nodes: vec![None, None, None], starts: 0 };
        let mut voters = VoterSet::new();
        for n in 0..3 {
            voters.insert(name(n), cluster.start(n).await);
        }
        // A node can vote, and so bootstrap the cluster, only after its first save; until then the message has no effect.
        while cluster.leader().is_none() {
            cluster.deliver(0, ControlMessage::BootstrapChosen { voters: voters.clone() });
            cluster.wait_for_change(0).await;
        }
        cluster
    }

    fn running_node(&self, n: usize) -> &RunningNode {
        self.nodes[n].as_ref().unwrap()
    }

    async fn start(&mut self, n: usize) -> u64 {
        self.starts += 1;
        let (directory, disk_id) =
            (Arc::new(self.disks[n].clone()) as Arc<dyn Directory>, 100 * self.starts + n as u64);
        let open = move || Store::open(directory, &name(n), disk_id);
        let (storage, loaded) = StorageHandle::spawn(open, PathBuf::new()).await.unwrap();
        let config = NodeConfig {
            id: NodeId { name: name(n), disk_id: loaded.disk_id },
            zone: "a".into(),
            can_vote: true,
            initial_start: true,
            seeds: Vec::new(),
            heartbeat_interval: 1_000_000_000,
            read_terms: |_| trial::TenantTerms::default(),
            fallback_lifetime: quota::FALLBACK_LIFETIME,
            min_voters: None,
            seed: self.starts,
        };
        let driver = Driver::new(
            ControlNode::new(config, loaded.stored, loaded.heartbeats, 0),
            storage,
            Arc::new(parse_versions),
        );
        self.nodes[n] = Some(RunningNode { task: spawn_local(driver.clone().run()), driver });
        (0..3).for_each(|other| self.connect(other));
        loaded.disk_id
    }

    /// Delivers a message from another control node to node `n`.
    fn deliver(&self, n: usize, message: ControlMessage) {
        let from = NodeId { name: name((n + 1) % 3), disk_id: 0 };
        self.running_node(n).driver.with(|node, now| node.on_control_message(now, &from, message));
    }

    /// Connects node `n` to all running nodes, for the messages that it sends.
    fn connect(&self, n: usize) {
        let Some(sending_node) = &self.nodes[n] else { return };
        sending_node.driver.links.borrow_mut().clear();
        for (to, other) in self.nodes.iter().enumerate().filter(|(to, _)| *to != n) {
            let Some(other) = other else { continue };
            let (sender, mut queue) = mpsc::channel(512);
            sending_node.driver.links.borrow_mut().insert(name(to), sender);
            let (driver, from) = (other.driver.clone(), sending_node.driver.node().id().clone());
            spawn_local(async move {
                while let Some(message) = queue.recv().await {
                    driver.with(|node, now| node.on_control_message(now, &from, message));
                }
            });
        }
    }

    /// Cuts node `n` off from all others, in both directions.
    fn isolate(&self, n: usize) {
        for (other, node) in self.nodes.iter().enumerate() {
            if let Some(node) = node {
                let mut links = node.driver.links.borrow_mut();
                links.retain(|to, _| other != n && *to != name(n));
            }
        }
    }

    fn stop(&mut self, n: usize) {
        self.nodes[n].take().unwrap().task.abort();
        (0..3).for_each(|other| self.connect(other));
    }

    /// Waits until node `n` reports a change or 20 ms have passed.
    async fn wait_for_change(&self, n: usize) {
        let _ = timeout(Duration::from_millis(20), self.running_node(n).driver.changes().changed()).await;
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|n| self.nodes[*n].as_ref().is_some_and(|node| node.driver.node().leadership().is_leader))
    }

    async fn wait_until(&self, condition: &str, holds: impl Fn(&Cluster) -> bool) {
        let wait = async {
            while !holds(self) {
                self.wait_for_change((0..3).find(|n| self.nodes[*n].is_some()).unwrap()).await;
            }
        };
        timeout(TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out waiting until {condition}"));
    }

    fn version(&self, n: usize) -> u32 {
        self.running_node(n).driver.node().state().version()
    }

    /// Retries a change to this version at the current leader until it is acknowledged; returns that leader.
    async fn replace_configuration(&self, version: u32, bytes: usize) -> usize {
        let body = body(version - 1, version, bytes);
        let acknowledged = async {
            loop {
                if let Some(leader) = self.leader() {
                    let body = body.clone().into();
                    let reply = self
                        .running_node(leader)
                        .driver
                        .call(|node, now, call| node.replace_configuration(now, call, body))
                        .await;
                    // A change that was applied without a reply is acknowledged when it is repeated.
                    if reply == Some(Reply::Acknowledged) {
                        return leader;
                    }
                }
                self.wait_for_change((0..3).find(|n| self.nodes[*n].is_some()).unwrap()).await;
            }
        };
        timeout(TIMEOUT, acknowledged).await.expect("the change is acknowledged in time")
    }

    /// Proposes a command at the current leader until it is applied there.
    async fn commit_command(
        &self,
        command: &Command,
        is_applied: impl Fn(&control_state::ControlState) -> bool,
    ) {
        let applied = async {
            while !self.leader().is_some_and(|n| is_applied(self.running_node(n).driver.node().state())) {
                if let Some(leader) = self.leader() {
                    self.deliver(leader, ControlMessage::Propose { command: command.encode() });
                }
                self.wait_for_change(0).await;
            }
        };
        timeout(TIMEOUT, applied).await.expect("the command is applied in time");
    }
}

async fn run_local<T>(future: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(future).await
}

/// The leader's disk fails writes or stalls: another node becomes leader, changes are committed, and the former leader learns of
/// them. Once its disk works again, it counts towards the quorum.
async fn check_leader_disk_failure(behaviour: DiskBehaviour) {
    let mut cluster = Cluster::new().await;
    let old = cluster.replace_configuration(1, 9000).await;
    cluster.disks[old].set_behaviour(behaviour);
    let new = cluster.replace_configuration(2, 9000).await;
    assert!(new != old, "{behaviour:?}: a leader that cannot save commits nothing");
    cluster.wait_until("the former leader has applied version 2", |c| c.version(old) == 2).await;
    assert!(!cluster.running_node(old).task.is_finished());
    let follows_another = |c: &Cluster| {
        c.running_node(old).driver.node().leadership().leader.as_ref().is_some_and(|id| id.name != name(old))
    };
    cluster.wait_until("the former leader follows another", follows_another).await;
    cluster.disks[old].set_behaviour(DiskBehaviour::Healthy);
    // With the third node isolated, the quorum needs the former leader.
    cluster.isolate(3 - old - new);
    cluster.replace_configuration(3, 9000).await;
    cluster.wait_until("the former leader has applied version 3", |c| c.version(old) == 3).await;
    // Every committed entry is on two disks, so that it survives a power loss of either node.
    cluster.stop(new);
    cluster.stop(old);
    cluster.disks[old] = cluster.disks[old].restarted_after(PowerLoss::All);
    cluster.start(old).await;
    (0..3).for_each(|n| cluster.connect(n));
    cluster
        .wait_until("both remaining nodes have applied version 3", |c| {
            c.version(old) == 3 && c.version(3 - old - new) == 3
        })
        .await;
}

#[tokio::test]
async fn full_disk_of_the_leader_transfers_leadership() {
    run_local(check_leader_disk_failure(DiskBehaviour::Full)).await;
}

#[tokio::test]
async fn stalled_disk_of_the_leader_transfers_leadership() {
    run_local(check_leader_disk_failure(DiskBehaviour::Stalled)).await;
}

/// All disks are full at once, as can happen because all hold the same log: nothing is committed, no node exits, and the cluster
/// continues when the disks work again.
#[tokio::test]
async fn all_disks_full_at_once_lose_nothing() {
    run_local(async {
        let mut cluster = Cluster::new().await;
        cluster.replace_configuration(1, 9000).await;
        cluster.disks.iter().for_each(|d| d.set_behaviour(DiskBehaviour::Full));
        let leader = cluster.leader().unwrap();
        let (driver, new_body) = (&cluster.running_node(leader).driver, body(1, 2, 9000).into());
        let (drain, change) = tokio::join!(
            driver.call(|node, now, call| node.deregister(now, call, "i-1")),
            driver.call(|node, now, call| node.replace_configuration(now, call, new_body)),
        );
        assert_eq!(drain, Some(Reply::Unavailable), "nothing is acknowledged before it is on a disk");
        assert_eq!(change, Some(Reply::Unavailable), "nothing is acknowledged before it is on a disk");
        cluster.wait_until("there is no leader", |c| c.leader().is_none()).await;
        assert!((0..3).all(|n| !cluster.running_node(n).task.is_finished()));
        // All nodes lose power while their disks are full, and the disks stay full for a while.
        for n in 0..3 {
            cluster.stop(n);
            cluster.disks[n] = cluster.disks[n].restarted_after(PowerLoss::All);
            cluster.disks[n].set_behaviour(DiskBehaviour::Full);
        }
        for n in 0..3 {
            cluster.start(n).await;
        }
        for _ in 0..60 {
            cluster.wait_for_change(0).await;
            assert_eq!(cluster.leader(), None, "a vote needs a durable write");
        }
        cluster.disks.iter().for_each(|d| d.set_behaviour(DiskBehaviour::Healthy));
        cluster.replace_configuration(2, 9000).await;
    })
    .await;
}

/// A node restarts after missing hundreds of changes: it catches up, and after the leader is lost the cluster continues with it
/// and the complete state.
#[tokio::test]
async fn node_returning_after_hundreds_of_changes_catches_up_and_leads() {
    run_local(async {
        let mut cluster = Cluster::new().await;
        cluster
            .commit_command(&Command::Drain { instance: "i-1".into() }, |state| state.is_draining("i-1"))
            .await;
        cluster
            .commit_command(&Command::AddGateway { name: "g-1".into() }, |state| {
                state.gateways().contains("g-1")
            })
            .await;
        cluster
            .commit_command(&Command::ExpireTrial { tenant: "t-1".into(), ends_at: 7 }, |state| {
                state.is_trial_expired("t-1", 7)
            })
            .await;
        for version in 1..=70 {
            cluster.replace_configuration(version, 5000).await;
        }
        let leader = cluster.leader().unwrap();
        let (stopped, other) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster
            .wait_until("the node to be stopped has applied version 70", |c| c.version(stopped) == 70)
            .await;
        cluster.stop(stopped);
        for version in 71..=470 {
            cluster.replace_configuration(version, 5000).await;
        }
        cluster.disks[stopped] = cluster.disks[stopped].restarted_after(PowerLoss::All);
        cluster.start(stopped).await;
        assert!(cluster.version(stopped) >= 65, "the saved version is {}", cluster.version(stopped));
        cluster.wait_until("the restarted node has caught up", |c| c.version(stopped) == 470).await;
        // The leader is lost: one of the two remaining nodes becomes leader with the complete state.
        cluster.isolate(leader);
        cluster
            .wait_until("another node leads", |c| {
                [stopped, other].iter().any(|n| c.running_node(*n).driver.node().leadership().is_leader)
            })
            .await;
        cluster.stop(leader);
        cluster.replace_configuration(471, 5000).await;
        cluster
            .wait_until("both have applied version 471", |c| {
                c.version(stopped) == 471 && c.version(other) == 471
            })
            .await;
        // The snapshot covers all commands, and both nodes recognize earlier configurations in the same way.
        let expected_state = cluster.running_node(stopped).driver.node().state().clone();
        assert_eq!(expected_state, *cluster.running_node(other).driver.node().state());
        let state = &expected_state;
        assert!(
            state.is_draining("i-1") && state.gateways().contains("g-1") && state.is_trial_expired("t-1", 7)
        );
        assert!(state.is_applied_as(470, &body(469, 470, 5000)));
        // Both lose power: they recover the same state.
        for n in [stopped, other] {
            cluster.stop(n);
            cluster.disks[n] = cluster.disks[n].restarted_after(PowerLoss::All);
        }
        for n in [stopped, other] {
            cluster.start(n).await;
        }
        cluster
            .wait_until("both have recovered the state", |c| {
                [stopped, other].iter().all(|n| *c.running_node(*n).driver.node().state() == expected_state)
            })
            .await;
    })
    .await;
}
