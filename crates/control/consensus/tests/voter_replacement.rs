//! Voter replacement: members shut down, fail, lose their disks, are isolated and return. Checks the
//! resulting voters and that the cluster continues to commit.

mod common;

use common::net::Net;
use common::MS;
use consensus::Input;

const NAMES: [&str; 3] = ["a", "b", "c"];

#[test]
fn two_planned_replacements_leave_a_working_quorum() {
    let mut net = Net::bootstrapped(1, &NAMES);
    net.proposal_interval = 300 * MS;
    for (old, new) in [("a", "d"), ("b", "e")] {
        net.start_with_empty_disk(new);
        net.run(4_000);
        net.terminate(old);
        net.run(20_000);
    }
    assert_eq!(net.voters(), "c d e");
    net.stop("d");
    assert!(net.commits_within(4_000), "one more failure must be tolerated");
}

#[test]
fn voter_shutting_down_is_replaced_by_a_waiting_node() {
    let mut net = Net::bootstrapped(2, &NAMES);
    net.start_with_empty_disk("d");
    net.run(2_000);
    assert_eq!(net.voters(), "a b c", "an even number tolerates no more failures");
    let leader = net.leader().expect("no leader").id.name.clone();
    net.terminate(&leader);
    let others: Vec<&str> = ["a", "b", "c", "d"].into_iter().filter(|n| *n != leader).collect();
    assert_eq!(net.voters(), others.join(" "));
}

#[test]
fn failed_voter_is_replaced_only_by_a_waiting_node() {
    let mut net = Net::bootstrapped(3, &NAMES);
    net.stop("b");
    net.run(30_000);
    assert_eq!(net.voters(), "a b c", "an unresponsive voter is not removed without a replacement");
    net.start_with_empty_disk("d");
    net.run(2_000);
    assert_eq!(net.voters(), "a c d");
    net.start("b");
    net.run(2_000);
    assert_eq!(net.voters(), "a c d", "the returned node waits");
    net.stop("a");
    assert!(net.commits_within(4_000));
    net.run(4_000);
    assert_eq!(net.voters(), "b c d");
}

#[test]
fn rolling_restarts_and_partitions_change_no_voters() {
    let mut net = Net::bootstrapped(4, &NAMES);
    net.proposal_interval = 300 * MS;
    for name in NAMES {
        net.terminate(name);
        net.run(1_000);
        assert_eq!(net.voters(), "a b c");
        net.start(name);
        net.run(4_000);
        net.set_isolated(name, true);
        net.run(20_000);
        assert_eq!(net.voters(), "a b c");
        net.set_isolated(name, false);
        net.run(4_000);
    }
}

#[test]
fn partition_changes_voters_only_on_the_majority_side() {
    let mut net = Net::bootstrapped(5, &NAMES);
    net.start_with_empty_disk("d");
    net.proposal_interval = 300 * MS;
    net.run(2_000);
    let leader = net.leader().expect("no leader").id.name.clone();
    let other = NAMES.into_iter().find(|n| *n != leader).expect("no other member");
    // The leader and the waiting node d on one side have no majority, so the voters do not change.
    for name in NAMES.into_iter().filter(|n| *n != leader) {
        for pair in [(leader.clone(), name.to_string()), (name.to_string(), leader.clone())] {
            net.partitions.insert(pair);
        }
        for pair in [("d".to_string(), name.to_string()), (name.to_string(), "d".to_string())] {
            net.partitions.insert(pair);
        }
    }
    net.run(10_000);
    assert_eq!(net.voters(), "a b c");
    net.partitions.clear();
    net.run(4_000);
    assert!(net.commits_within(2_000));
    assert_eq!(net.voters(), "a b c");
    // A single isolated voter is replaced by d, and waits after its return. The number of voters stays the same.
    net.set_isolated(other, true);
    net.run(20_000);
    assert!(!net.voters().contains(other));
    net.set_isolated(other, false);
    net.run(5_000);
    assert!(net.voters().contains('d') && net.voters().split(' ').count() == 3);
}

#[test]
fn empty_disk_replaces_a_lost_one_but_not_a_responding_voter() {
    let mut net = Net::bootstrapped(6, &NAMES);
    net.proposal_interval = 300 * MS;
    let leader = net.leader().expect("no leader").id.name.clone();
    let wiped = NAMES.into_iter().find(|n| *n != leader).expect("no other member");
    // A node with another disk id claims a name that is in use.
    let mut impostor = net.member(wiped).id.clone();
    impostor.disk_id += 500;
    for _ in 0..20 {
        let n = net.index_of(&leader);
        net.handle(n, Input::Join { id: impostor.clone(), wants_vote: true });
        net.run(200);
    }
    let disk_id = net.member(wiped).id.disk_id;
    let voter = |net: &Net| net.leader().and_then(|l| l.node.as_ref()?.voters().get(wiped).copied());
    assert_eq!(voter(&net), Some(disk_id));
    net.start_with_empty_disk(wiped);
    let disk_id = net.member(wiped).id.disk_id;
    net.run(2_000);
    assert_eq!(voter(&net), Some(disk_id));
    net.stop(&leader);
    assert!(net.commits_within(4_000));
}

#[test]
fn all_voters_replaced_three_times_with_changes_and_wipes() {
    for seed in 0..8 {
        let mut net = Net::bootstrapped(10 + seed, &NAMES);
        net.proposal_interval = 100 * MS;
        let mut names: Vec<String> = NAMES.iter().map(|n| (*n).to_string()).collect();
        for round in 0..9 {
            let new = format!("n{round}");
            net.start_with_empty_disk(&new);
            net.run(4_000);
            let old = names.remove(0);
            net.terminate(&old);
            names.push(new);
            // Immediately afterwards one disk is lost; with odd seeds all other voters restart too.
            let wiped = names[round % 3].clone();
            net.start_with_empty_disk(&wiped);
            for name in names.iter().filter(|n| **n != wiped && seed % 2 == 1) {
                net.stop(name);
                net.start(name);
            }
            net.run(4_000);
            assert!(net.commits_within(3_000), "seed {seed}, round {round}");
            net.run(1_000);
            let mut expected = names.clone();
            expected.sort();
            assert_eq!(net.voters(), expected.join(" "), "seed {seed}, round {round}");
        }
    }
}

#[test]
fn second_waiting_node_extends_three_voters_to_five() {
    let mut net = Net::bootstrapped(7, &NAMES);
    net.start_with_empty_disk("d");
    net.run(5_000);
    assert_eq!(net.voters(), "a b c");
    net.start_with_empty_disk("e");
    net.run(5_000);
    assert_eq!(net.voters(), "a b c d e");
    net.stop("a");
    net.stop("b");
    assert!(net.commits_within(4_000), "five voters tolerate two failures");
}

/// Guards against voters that have left in order and keep their votes, so that one more failure ends the quorum.
#[test]
fn planned_replacement_of_three_at_once_tolerates_one_more_failure() {
    for seed in 0..8 {
        let mut net = Net::bootstrapped(20 + seed, &NAMES);
        net.proposal_interval = 300 * MS;
        for new in ["d", "e", "f"] {
            net.start_with_empty_disk(new);
            net.run(5_000);
        }
        assert_eq!(net.voters(), "a b c d e", "seed {seed}: the sixth node waits");
        for old in NAMES {
            net.terminate(old);
            net.run(5_000);
        }
        assert_eq!(net.voters(), "d e f", "seed {seed}");
        net.stop("d");
        assert!(net.commits_within(4_000), "seed {seed}: one more failure must be tolerated");
    }
}

/// Guards against failed voters that keep their votes while nobody waits to replace them.
#[test]
fn five_voters_shrink_to_three_when_two_fail_and_grow_again_when_both_return() {
    let mut net = Net::bootstrapped(30, &["a", "b", "c", "d", "e"]);
    net.proposal_interval = 300 * MS;
    net.stop("d");
    net.run(20_000);
    assert_eq!(
        net.voters(),
        "a b c d e",
        "four voters tolerate no more failures than five of which one is down"
    );
    net.stop("e");
    net.run(5_000);
    assert_eq!(net.voters(), "a b c");
    net.start("d");
    net.start("e");
    net.run(2_000);
    assert_eq!(net.voters(), "a b c d e");
    net.stop("a");
    net.stop("b");
    assert!(net.commits_within(4_000), "five voters tolerate two failures");
}

/// Guards against voters that are taken in again while they shut down.
#[test]
fn two_voters_that_shut_down_at_once_are_removed_once() {
    for seed in 0..8 {
        let mut net = Net::bootstrapped(40 + seed, &["a", "b", "c", "d", "e"]);
        net.proposal_interval = 300 * MS;
        let mut observed = vec![net.voters()];
        for _ in 0..12 {
            net.request_shutdown("d");
            net.request_shutdown("e");
            for _ in 0..10 {
                net.run(10);
                observed.extend(Some(net.voters()).filter(|voters| !voters.is_empty()));
            }
        }
        observed.dedup();
        assert_eq!(observed, ["a b c d e", "a b c"], "seed {seed}");
        net.stop("d");
        net.stop("e");
        net.run(1_000);
        assert_eq!(net.voters(), "a b c", "seed {seed}");
        net.stop("a");
        assert!(net.commits_within(4_000), "seed {seed}: one more failure must be tolerated");
    }
}

/// Two disks may be lost while two other voters are down, so each command must be on three of five voters.
#[test]
fn five_voters_that_must_tolerate_two_failures_are_not_shrunk() {
    let mut net = Net::empty(31);
    net.min_voters = Some(5);
    net.bootstrap(&["a", "b", "c", "d", "e"]);
    net.stop("d");
    net.stop("e");
    net.run(20_000);
    assert_eq!(net.voters(), "a b c d e");
    assert!(net.commits_within(1_000));
}

#[test]
fn four_bootstrapped_voters_shrink_to_three_when_one_fails() {
    let mut net = Net::bootstrapped(8, &["a", "b", "c", "d"]);
    net.stop("d");
    net.run(5_000);
    assert_eq!(net.voters(), "a b c");
    net.start("d");
    net.run(3_000);
    net.stop("a");
    assert!(net.commits_within(4_000));
}

#[test]
fn killed_bootstrapper_is_succeeded_by_another_seed() {
    let mut net = Net::empty(9);
    NAMES.iter().for_each(|name| net.start_with_empty_disk(name));
    let voters: consensus::VoterSet = net.members.iter().map(|m| (m.id.name.clone(), m.id.disk_id)).collect();
    // The first seed by name crashes before it receives the bootstrap input, and returns much later with its
    // still empty disk.
    net.stop("a");
    for n in 1..3 {
        net.handle(n, Input::Bootstrap { voters: voters.clone() });
    }
    net.run(3_000);
    assert!(net.commits_within(1_000));
    net.start("a");
    net.run(1_000);
    assert!(net.member("a").node.as_ref().is_some_and(consensus::RaftNode::is_voter));
    // A node that has already voted when it receives the bootstrap input bootstraps too: the candidate it
    // voted for may never return.
    let mut net = Net::empty(10);
    NAMES.iter().for_each(|name| net.start_with_empty_disk(name));
    let voters: consensus::VoterSet = net.members.iter().map(|m| (m.id.name.clone(), m.id.disk_id)).collect();
    net.handle(0, Input::Bootstrap { voters: voters.clone() });
    net.run(10);
    net.stop("a");
    net.run(1_000);
    for n in 1..3 {
        net.handle(n, Input::Bootstrap { voters: voters.clone() });
    }
    net.run(3_000);
    assert!(net.commits_within(1_000));
}
