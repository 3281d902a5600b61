//! A voter whose disk does not save: it promises nothing, hands its duty on, and goes on hearing what is agreed on.

use consensus::{Input, LogIndex, NodeId, Output, PersistedState, RaftNode, Time, VoterSet};
use std::collections::VecDeque;

const MS: Time = 1_000_000;
const STEP: Time = 5 * MS;

/// Three voters, messages without delay, disks that save at once or not at all.
struct Three {
    now: Time,
    cores: Vec<RaftNode>,
    /// The last that came to each disk.
    disks: Vec<PersistedState>,
    violation: Vec<bool>,
    applied: Vec<Vec<(LogIndex, Vec<u8>)>>,
    /// Messages of these reach nobody.
    cut: Vec<bool>,
}

fn id(n: usize) -> NodeId {
    NodeId { name: n.to_string(), disk_id: n as u64 + 1 }
}

impl Three {
    fn new() -> Self {
        let members: VoterSet = (0..3).map(|n| (id(n).name, id(n).disk_id)).collect();
        let cores = (0..3).map(|n| RaftNode::new(id(n), PersistedState::default(), n as u64, 0)).collect();
        let (disks, applied) = (vec![PersistedState::default(); 3], vec![Vec::new(); 3]);
        let mut three =
            Three { now: 0, cores, disks, violation: vec![false; 3], applied, cut: vec![false; 3] };
        three.give(0, Input::Bootstrap { voters: members });
        three.run(2000 * MS);
        three
    }

    fn give(&mut self, to: usize, input: Input) {
        let mut queue = VecDeque::from([(to, input)]);
        while let Some((n, input)) = queue.pop_front() {
            let mut outputs = Vec::new();
            self.cores[n].handle(self.now, input, &mut outputs);
            let saves = outputs.iter().any(|o| matches!(o, Output::Persist(_)));
            if saves && !self.violation[n] {
                self.disks[n] = self.cores[n].persisted_state();
            }
            for output in outputs {
                match output {
                    Output::Send(m) => {
                        let to: usize = m.to.name.parse().unwrap();
                        if !self.cut[n] && !self.cut[to] {
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
                if self.cores[n].next_due() <= self.now {
                    self.give(n, Input::Tick);
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let leaders: Vec<usize> = (0..3).filter(|n| self.cores[*n].is_leader()).collect();
        assert_eq!(leaders.len(), 1, "{leaders:?} lead");
        leaders[0]
    }

    fn breaks(&mut self, n: usize) {
        self.violation[n] = true;
        self.give(n, Input::StorageHealth { healthy: false });
    }

    fn mends(&mut self, n: usize) {
        self.violation[n] = false;
        self.disks[n] = self.cores[n].persisted_state();
        self.give(n, Input::StorageHealth { healthy: true });
    }

    fn propose(&mut self, command: &[u8]) {
        let leader = self.leader();
        self.give(leader, Input::Propose { tag: 1, command: command.to_vec() });
    }

    fn has(&self, n: usize, command: &[u8]) -> bool {
        self.applied[n].iter().any(|(_, w)| w == command)
    }

    fn kills_and_starts(&mut self, n: usize) {
        self.cores[n] = RaftNode::new(id(n), self.disks[n].clone(), 9, self.now);
        self.applied[n].clear();
        self.violation[n] = false;
    }
}

#[test]
fn leader_without_storage_transfers_leadership_and_keeps_applying() {
    let mut three = Three::new();
    let old = three.leader();
    three.breaks(old);
    three.run(20 * MS);
    let new = three.leader();
    assert!(new != old, "named, without waiting for silence");
    three.propose(b"a");
    three.run(300 * MS);
    assert!((0..3).all(|n| three.has(n, b"a")), "who does not save hears it all the same");
    assert!(three.disks[old].entries.len() < three.disks[new].entries.len());
    // Nothing rests on it meanwhile: nothing is committed by its acknowledgment.
    three.cut[3 - old - new] = true;
    three.propose(b"b");
    three.run(400 * MS);
    assert!(!three.has(new, b"b") && !three.has(old, b"b"));
    three.mends(old);
    three.run(1500 * MS);
    three.propose(b"c");
    three.run(300 * MS);
    assert!(three.has(new, b"c") && three.has(old, b"c"), "it votes again");
}

#[test]
fn node_without_storage_neither_votes_nor_campaigns() {
    let mut three = Three::new();
    let leader = three.leader();
    let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
    three.breaks(one);
    three.cut[leader] = true;
    three.run(5000 * MS);
    let leads = |three: &Three, n: usize| three.cores[n].is_leader();
    assert!(!leads(&three, one) && !leads(&three, other), "the third needs a vote that can be kept");
    three.mends(one);
    three.run(3000 * MS);
    assert!(leads(&three, one) || leads(&three, other));
}

#[test]
fn state_kept_while_storage_failed_survives_a_restart() {
    for seed in 0..3 {
        let mut three = Three::new();
        let leader = three.leader();
        let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
        three.breaks(if seed == 0 { leader } else { one });
        three.run(700 * MS);
        three.propose(b"a");
        three.run(300 * MS);
        let violation = if seed == 0 { leader } else { one };
        assert!(three.has(violation, b"a"));
        three.kills_and_starts(violation);
        assert!(!three.has(violation, b"a"), "it was not on its disk");
        three.run(300 * MS);
        assert!(three.has(violation, b"a"), "the others hold it");
        // Whoever is lost now, a majority has it.
        three.cut[if seed == 1 { leader } else { other }] = true;
        three.run(4000 * MS);
        three.propose_to_the_leader(b"b", violation);
        three.run(500 * MS);
        assert!(three.has(violation, b"a") && three.has(violation, b"b"));
    }
}

impl Three {
    /// There may be a leader that is isolated beside the one that this one believes in.
    fn propose_to_the_leader(&mut self, command: &[u8], believes: usize) {
        let leader: usize = self.cores[believes].leader().unwrap().name.parse().unwrap();
        self.give(leader, Input::Propose { tag: 1, command: command.to_vec() });
    }
}

#[test]
fn lost_message_is_resent_to_a_node_that_cannot_save() {
    let mut three = Three::new();
    let leader = three.leader();
    let one = (leader + 1) % 3;
    three.breaks(one);
    three.cut[one] = true;
    three.propose(b"a");
    three.run(200 * MS);
    three.cut[one] = false;
    three.run(300 * MS);
    assert!(three.has(one, b"a"));
}
