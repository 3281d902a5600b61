//! A voter with failed storage: it neither votes nor acknowledges entries, transfers leadership, and
//! continues to apply committed entries.

use consensus::{Input, LogIndex, NodeId, Output, PersistedState, RaftNode, Time, VoterSet};
use std::collections::VecDeque;

const MS: Time = 1_000_000;
const STEP: Time = 5 * MS;

/// A cluster of three voters. Messages have no delay; disks save immediately or, when failed, not at all.
struct Cluster {
    now: Time,
    nodes: Vec<RaftNode>,
    /// Latest state saved on each disk.
    disks: Vec<PersistedState>,
    storage_failed: Vec<bool>,
    applied: Vec<Vec<(LogIndex, Vec<u8>)>>,
    /// Nodes that can neither send nor receive messages.
    isolated: Vec<bool>,
}

fn id(n: usize) -> NodeId {
    NodeId { name: n.to_string(), disk_id: n as u64 + 1 }
}

impl Cluster {
    fn new() -> Self {
        let voters: VoterSet = (0..3).map(|n| (id(n).name, id(n).disk_id)).collect();
        let nodes = (0..3).map(|n| RaftNode::new(id(n), PersistedState::default(), n as u64, 0)).collect();
        let (disks, applied) = (vec![PersistedState::default(); 3], vec![Vec::new(); 3]);
        let mut cluster = Cluster {
            now: 0,
            nodes,
            disks,
            storage_failed: vec![false; 3],
            applied,
            isolated: vec![false; 3],
        };
        cluster.handle(0, Input::Bootstrap { voters });
        cluster.run(2000 * MS);
        cluster
    }

    fn handle(&mut self, to: usize, input: Input) {
        let mut queue = VecDeque::from([(to, input)]);
        while let Some((n, input)) = queue.pop_front() {
            let mut outputs = Vec::new();
            self.nodes[n].handle(self.now, input, &mut outputs);
            let persists = outputs.iter().any(|o| matches!(o, Output::Persist(_)));
            if persists && !self.storage_failed[n] {
                self.disks[n] = self.nodes[n].persisted_state();
            }
            for output in outputs {
                match output {
                    Output::Send(m) => {
                        let to: usize = m.to.name.parse().unwrap();
                        if !self.isolated[n] && !self.isolated[to] {
                            queue.push_back((to, Input::Message(m)));
                        }
                    }
                    Output::Apply { index, command, .. } => self.applied[n].push((index, command)),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, time: Time) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for n in 0..3 {
                if self.nodes[n].next_due() <= self.now {
                    self.handle(n, Input::Tick);
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let leaders: Vec<usize> = (0..3).filter(|n| self.nodes[*n].is_leader()).collect();
        assert_eq!(leaders.len(), 1, "leaders: {leaders:?}");
        leaders[0]
    }

    fn fail_storage(&mut self, n: usize) {
        self.storage_failed[n] = true;
        self.handle(n, Input::StorageHealth { healthy: false });
    }

    /// Repairs the disk of a running node: its whole state is saved before it learns that storage is healthy.
    fn restore_storage(&mut self, n: usize) {
        self.storage_failed[n] = false;
        self.disks[n] = self.nodes[n].persisted_state();
        self.handle(n, Input::StorageHealth { healthy: true });
    }

    fn propose(&mut self, command: &[u8]) {
        let leader = self.leader();
        self.handle(leader, Input::Propose { tag: 1, command: command.to_vec() });
    }

    fn has_applied(&self, n: usize, command: &[u8]) -> bool {
        self.applied[n].iter().any(|(_, applied)| applied == command)
    }

    fn crash_and_restart(&mut self, n: usize) {
        self.nodes[n] = RaftNode::new(id(n), self.disks[n].clone(), 9, self.now);
        self.applied[n].clear();
        self.storage_failed[n] = false;
    }
}

#[test]
fn leader_without_storage_transfers_leadership_and_keeps_applying() {
    let mut cluster = Cluster::new();
    let old = cluster.leader();
    cluster.fail_storage(old);
    cluster.run(20 * MS);
    let new = cluster.leader();
    assert!(new != old, "leadership must be transferred without an election timeout");
    cluster.propose(b"a");
    cluster.run(300 * MS);
    assert!((0..3).all(|n| cluster.has_applied(n, b"a")), "the node without storage must apply it too");
    assert!(cluster.disks[old].entries.len() < cluster.disks[new].entries.len());
    // The node does not count towards commit meanwhile: with the third node isolated, nothing is committed.
    cluster.isolated[3 - old - new] = true;
    cluster.propose(b"b");
    cluster.run(400 * MS);
    assert!(!cluster.has_applied(new, b"b") && !cluster.has_applied(old, b"b"));
    cluster.restore_storage(old);
    cluster.run(1500 * MS);
    cluster.propose(b"c");
    cluster.run(300 * MS);
    assert!(
        cluster.has_applied(new, b"c") && cluster.has_applied(old, b"c"),
        "the recovered node must count towards commit again"
    );
}

#[test]
fn node_without_storage_neither_votes_nor_campaigns() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.fail_storage(one);
    cluster.isolated[leader] = true;
    cluster.run(5000 * MS);
    let leads = |cluster: &Cluster, n: usize| cluster.nodes[n].is_leader();
    assert!(
        !leads(&cluster, one) && !leads(&cluster, other),
        "the third node needs a vote that can be persisted"
    );
    cluster.restore_storage(one);
    cluster.run(3000 * MS);
    assert!(leads(&cluster, one) || leads(&cluster, other));
}

#[test]
fn state_kept_while_storage_failed_survives_a_restart() {
    for seed in 0..3 {
        let mut cluster = Cluster::new();
        let leader = cluster.leader();
        let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.fail_storage(if seed == 0 { leader } else { one });
        cluster.run(700 * MS);
        cluster.propose(b"a");
        cluster.run(300 * MS);
        let failed = if seed == 0 { leader } else { one };
        assert!(cluster.has_applied(failed, b"a"));
        cluster.crash_and_restart(failed);
        assert!(!cluster.has_applied(failed, b"a"), "the entry must not be on its disk");
        cluster.run(300 * MS);
        assert!(cluster.has_applied(failed, b"a"), "the other nodes must replicate the entry again");
        // Whichever node is isolated now, a majority has the entry.
        cluster.isolated[if seed == 1 { leader } else { other }] = true;
        cluster.run(4000 * MS);
        cluster.propose_to_leader_of(b"b", failed);
        cluster.run(500 * MS);
        assert!(cluster.has_applied(failed, b"a") && cluster.has_applied(failed, b"b"));
    }
}

impl Cluster {
    /// Proposes to the leader known to a node. An isolated former leader may still exist beside it.
    fn propose_to_leader_of(&mut self, command: &[u8], node: usize) {
        let leader: usize = self.nodes[node].leader().unwrap().name.parse().unwrap();
        self.handle(leader, Input::Propose { tag: 1, command: command.to_vec() });
    }
}

#[test]
fn lost_message_is_resent_to_a_node_that_cannot_save() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let one = (leader + 1) % 3;
    cluster.fail_storage(one);
    cluster.isolated[one] = true;
    cluster.propose(b"a");
    cluster.run(200 * MS);
    cluster.isolated[one] = false;
    cluster.run(300 * MS);
    assert!(cluster.has_applied(one, b"a"));
}
