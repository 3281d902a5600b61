//! Three control nodes in one process, each with a disk that a test may fill, stall, or take power from.

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

/// Nothing takes so long.
const LONG_ENOUGH: Duration = Duration::from_secs(20);
struct One {
    driver: Rc<Driver>,
    task: JoinHandle<()>,
}

struct Three {
    disks: Vec<FakeDisk>,
    ones: Vec<Option<One>>,
    starts: u64,
}

fn name(n: usize) -> String {
    format!("10.0.0.{}", n + 1)
}

/// A configuration here: its base, its version, then whatever.
fn body(base: u32, version: u32, fill: usize) -> Vec<u8> {
    let mut body = vec![version as u8; fill.max(8)];
    body[..4].copy_from_slice(&base.to_be_bytes());
    body[4..8].copy_from_slice(&version.to_be_bytes());
    body
}

fn check(body: &[u8]) -> Result<DeclaredVersions, ConfigurationError> {
    let number = |at: usize| body.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    let read = number(0).zip(number(4));
    read.map(|(base, version)| DeclaredVersions { base, version })
        .ok_or_else(|| ConfigurationError::Malformed("too short".into()))
}

impl Three {
    async fn new() -> Self {
        let disks = (0..3).map(|_| FakeDisk::default()).collect();
        let mut three = Three { disks, ones: vec![None, None, None], starts: 0 };
        let mut members = VoterSet::new();
        for n in 0..3 {
            members.insert(name(n), three.start(n).await);
        }
        // Its first save makes it a voter; before that it founds nothing.
        while three.leader().is_none() {
            three.say(0, ControlMessage::BootstrapChosen { voters: members.clone() });
            three.news(0).await;
        }
        three
    }

    fn one(&self, n: usize) -> &One {
        self.ones[n].as_ref().unwrap()
    }

    async fn start(&mut self, n: usize) -> u64 {
        self.starts += 1;
        let (folder, id) =
            (Arc::new(self.disks[n].clone()) as Arc<dyn Directory>, 100 * self.starts + n as u64);
        let opens = move || Store::open(folder, &name(n), id);
        let (disk, held) = StorageHandle::spawn(opens, PathBuf::new()).await.unwrap();
        let setup = NodeConfig {
            id: NodeId { name: name(n), disk_id: held.disk_id },
            zone: "a".into(),
            can_vote: true,
            initial_start: true,
            seeds: Vec::new(),
            heartbeat_interval: 1_000_000_000,
            read_terms: |_| trial::TenantTerms::default(),
            fallback_lifetime: quota::FALLBACK_LIFETIME,
            seed: self.starts,
        };
        let driver =
            Driver::new(ControlNode::new(setup, held.stored, held.heartbeats, 0), disk, Arc::new(check));
        self.ones[n] = Some(One { task: spawn_local(driver.clone().run()), driver });
        (0..3).for_each(|other| self.connect(other));
        held.disk_id
    }

    /// Another control-plane node says this.
    fn say(&self, n: usize, peer: ControlMessage) {
        let from = NodeId { name: name((n + 1) % 3), disk_id: 0 };
        self.one(n).driver.with(|p, now| p.on_control_message(now, &from, peer));
    }

    /// What this one says reaches those that run.
    fn connect(&self, n: usize) {
        let Some(one) = &self.ones[n] else { return };
        one.driver.links.borrow_mut().clear();
        for (to, other) in self.ones.iter().enumerate().filter(|(to, _)| *to != n) {
            let Some(other) = other else { continue };
            let (sender, mut queue) = mpsc::channel(512);
            one.driver.links.borrow_mut().insert(name(to), sender);
            let (driver, from) = (other.driver.clone(), one.driver.node().id().clone());
            spawn_local(async move {
                while let Some(message) = queue.recv().await {
                    driver.with(|p, now| p.on_control_message(now, &from, message));
                }
            });
        }
    }

    /// Nothing that it says reaches anybody, nor the other way.
    fn cut(&self, n: usize) {
        for (other, one) in self.ones.iter().enumerate() {
            if let Some(one) = one {
                let mut links = one.driver.links.borrow_mut();
                links.retain(|to, _| other != n && *to != name(n));
            }
        }
    }

    fn stop(&mut self, n: usize) {
        self.ones[n].take().unwrap().task.abort();
        (0..3).for_each(|other| self.connect(other));
    }

    /// Something has happened at this one, or some time has passed.
    async fn news(&self, n: usize) {
        let _ = timeout(Duration::from_millis(20), self.one(n).driver.changes().changed()).await;
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|n| self.ones[*n].as_ref().is_some_and(|o| o.driver.node().leadership().is_leader))
    }

    async fn until(&self, what: &str, holds: impl Fn(&Three) -> bool) {
        let wait = async {
            while !holds(self) {
                self.news((0..3).find(|n| self.ones[*n].is_some()).unwrap()).await;
            }
        };
        timeout(LONG_ENOUGH, wait).await.unwrap_or_else(|_| panic!("never: {what}"));
    }

    fn version(&self, n: usize) -> u32 {
        self.one(n).driver.node().state().version()
    }

    /// Changes to this version, at whoever leads, until it is taken.
    async fn change(&self, version: u32, bytes: usize) -> usize {
        let body = body(version - 1, version, bytes);
        let taken = async {
            loop {
                if let Some(leader) = self.leader() {
                    let body = body.clone().into();
                    let reply = self
                        .one(leader)
                        .driver
                        .call(|p, now, call| p.replace_configuration(now, call, body))
                        .await;
                    // It may have been taken without an answer.
                    if reply == Some(Reply::Acknowledged) {
                        return leader;
                    }
                }
                self.news((0..3).find(|n| self.ones[*n].is_some()).unwrap()).await;
            }
        };
        timeout(LONG_ENOUGH, taken).await.expect("it was never taken")
    }

    /// Has a command agreed on, by whoever leads.
    async fn take(&self, command: &Command, stands: impl Fn(&control_state::ControlState) -> bool) {
        let taken = async {
            while !self.leader().is_some_and(|n| stands(self.one(n).driver.node().state())) {
                if let Some(leader) = self.leader() {
                    self.say(leader, ControlMessage::Propose { command: command.encode() });
                }
                self.news(0).await;
            }
        };
        timeout(LONG_ENOUGH, taken).await.expect("it was never taken");
    }
}

async fn local<T>(work: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(work).await
}

/// The leader's disk takes nothing, or does not answer: another leads, changes are taken, this one hears of them; and it counts again
/// once it holds all.
async fn without_the_leaders_disk(mood: DiskBehaviour) {
    let mut three = Three::new().await;
    let old = three.change(1, 9000).await;
    three.disks[old].set_behaviour(mood);
    let new = three.change(2, 9000).await;
    assert!(new != old, "{mood:?}: nothing is agreed on under a leader that cannot save");
    three.until("it hears of it", |t| t.version(old) == 2).await;
    assert!(!three.one(old).task.is_finished());
    let follows = |t: &Three| {
        t.one(old).driver.node().leadership().leader.as_ref().is_some_and(|h| h.name != name(old))
    };
    three.until("it follows another", follows).await;
    three.disks[old].set_behaviour(DiskBehaviour::Healthy);
    // Its command is wanted now.
    three.cut(3 - old - new);
    three.change(3, 9000).await;
    three.until("it has it", |t| t.version(old) == 3).await;
    // All that was agreed on is on two disks, whoever lost power.
    three.stop(new);
    three.stop(old);
    three.disks[old] = three.disks[old].after(PowerLoss::All);
    three.start(old).await;
    (0..3).for_each(|n| three.connect(n));
    three.until("both hold it", |t| t.version(old) == 3 && t.version(3 - old - new) == 3).await;
}

#[tokio::test]
async fn full_disk_of_the_leader_transfers_leadership() {
    local(without_the_leaders_disk(DiskBehaviour::Full)).await;
}

#[tokio::test]
async fn stalled_disk_of_the_leader_transfers_leadership() {
    local(without_the_leaders_disk(DiskBehaviour::Stalled)).await;
}

/// All disks are full at once, as with one log on all of them: nothing is taken, nothing ends, and it goes on when they work.
#[tokio::test]
async fn all_disks_full_at_once_lose_nothing() {
    local(async {
        let mut three = Three::new().await;
        three.change(1, 9000).await;
        three.disks.iter().for_each(|d| d.set_behaviour(DiskBehaviour::Full));
        let leader = three.leader().unwrap();
        let (one, order) = (&three.one(leader).driver, body(1, 2, 9000).into());
        let (drain, change) = tokio::join!(
            one.call(|p, now, call| p.deregister(now, call, "i-1")),
            one.call(|p, now, call| p.replace_configuration(now, call, order)),
        );
        assert_eq!(drain, Some(Reply::Unavailable), "nothing is confirmed that is on no disk");
        assert_eq!(change, Some(Reply::Unavailable), "nothing is confirmed that is on no disk");
        three.until("nobody leads", |t| t.leader().is_none()).await;
        assert!((0..3).all(|n| !three.one(n).task.is_finished()));
        // Power is lost while they are full, and they stay so for a while.
        for n in 0..3 {
            three.stop(n);
            three.disks[n] = three.disks[n].after(PowerLoss::All);
            three.disks[n].set_behaviour(DiskBehaviour::Full);
        }
        for n in 0..3 {
            three.start(n).await;
        }
        for _ in 0..60 {
            three.news(0).await;
            assert_eq!(three.leader(), None, "a vote needs a disk");
        }
        three.disks.iter().for_each(|d| d.set_behaviour(DiskBehaviour::Healthy));
        three.change(2, 9000).await;
    })
    .await;
}

/// A member that was away for hundreds of changes, and is started anew: it has the state at once, and whoever leads then, leads with it.
#[tokio::test]
async fn node_returning_after_hundreds_of_changes_catches_up_and_leads() {
    local(async {
        let mut three = Three::new().await;
        three.take(&Command::Drain { instance: "i-1".into() }, |b| b.is_draining("i-1")).await;
        three.take(&Command::AddGateway { name: "g-1".into() }, |b| b.gateways().contains("g-1")).await;
        three
            .take(&Command::ExpireTrial { tenant: "t-1".into(), ends_at: 7 }, |b| {
                b.is_trial_expired("t-1", 7)
            })
            .await;
        for version in 1..=70 {
            three.change(version, 5000).await;
        }
        let leader = three.leader().unwrap();
        let (away, other) = ((leader + 1) % 3, (leader + 2) % 3);
        three.until("all have it", |t| t.version(away) == 70).await;
        three.stop(away);
        for version in 71..=470 {
            three.change(version, 5000).await;
        }
        three.disks[away] = three.disks[away].after(PowerLoss::All);
        three.start(away).await;
        assert!(three.version(away) >= 65, "what was saved: {}", three.version(away));
        three.until("it has caught up", |t| t.version(away) == 470).await;
        // The leader goes: of the two that are left one leads, with all.
        three.cut(leader);
        three
            .until("another leads", |t| {
                [away, other].iter().any(|n| t.one(*n).driver.node().leadership().is_leader)
            })
            .await;
        three.stop(leader);
        three.change(471, 5000).await;
        three.until("both have it", |t| t.version(away) == 471 && t.version(other) == 471).await;
        // The snapshot holds all that was ever said, and both know earlier configurations again in the same way.
        let before = three.one(away).driver.node().state().clone();
        assert_eq!(before, *three.one(other).driver.node().state());
        let state = &before;
        assert!(
            state.is_draining("i-1") && state.gateways().contains("g-1") && state.is_trial_expired("t-1", 7)
        );
        assert!(state.is_applied_as(470, &body(469, 470, 5000)));
        // All lose power: the same is there again.
        for n in [away, other] {
            three.stop(n);
            three.disks[n] = three.disks[n].after(PowerLoss::All);
        }
        for n in [away, other] {
            three.start(n).await;
        }
        three
            .until("both have it again", |t| {
                [away, other].iter().all(|n| *t.one(*n).driver.node().state() == before)
            })
            .await;
    })
    .await;
}
