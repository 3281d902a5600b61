//! Replication over links of 2 Mbit/s, with snapshots and commands of 700 KB and more.

mod common;

use common::net::Net;
use common::MS;
use consensus::Input;

/// 2 Mbit/s, in bytes per second.
const SLOW_BYTES_PER_SECOND: u64 = 250_000;
const LARGE_BYTES: usize = 700_000;

fn slow_down(net: &mut Net, name: &str) {
    let others: Vec<String> = net.members.iter().map(|m| m.id.name.clone()).collect();
    for other in others {
        net.bandwidth.insert((other, name.to_string()), SLOW_BYTES_PER_SECOND);
    }
}

/// Returns the name of a follower and of the leader.
fn follower_and_leader(net: &Net) -> (String, String) {
    let leader = net.leader().expect("no leader").id.name.clone();
    let other = ["a", "b", "c"].into_iter().find(|n| *n != leader).expect("no other member");
    (other.to_string(), leader)
}

#[test]
fn node_returning_after_500_changes_gets_one_snapshot_and_heartbeats() {
    let mut net = Net::bootstrapped(1, &["a", "b", "c"]);
    let (returning, _) = follower_and_leader(&net);
    net.stop(&returning);
    for n in 0..500 {
        net.command_size = if n % 50 == 0 { LARGE_BYTES } else { 200 };
        net.propose();
        net.run(50);
    }
    net.command_size = LARGE_BYTES;
    net.propose();
    net.max_log_entries = 0;
    net.run(1_000);
    let (term, target) = (net.term(), net.observations.last_applied_index());
    slow_down(&mut net, &returning);
    net.start(&returning);
    net.sent_bytes.clear();
    let mut max_contact_gap_ms = 0;
    let mut elapsed_ms = 0;
    while net.member(&returning).applied < target && elapsed_ms < 10_000 {
        net.run(10);
        elapsed_ms += 10;
        let last_contact = net
            .member(&returning)
            .node
            .as_ref()
            .and_then(|node| node.last_quorum_contact())
            .unwrap_or(net.now);
        max_contact_gap_ms = max_contact_gap_ms.max((net.now - last_contact) / MS);
    }
    let sent = net.sent_bytes[&returning];
    assert!(elapsed_ms < 4_500, "{LARGE_BYTES} bytes take 2.8 s on the link, but {elapsed_ms} ms elapsed");
    assert!(sent < LARGE_BYTES as u64 * 11 / 10, "must be sent once, but {sent} bytes were sent");
    assert!(max_contact_gap_ms < 500, "no leader contact for {max_contact_gap_ms} ms");
    assert_eq!(net.term(), term);
}

/// Regression test (`simulation`, seed 991): a follower restarted in the middle of a snapshot transfer, and
/// the leader repeated the last chunk forever.
#[test]
fn restarted_node_gets_a_snapshot_transfer_from_its_start() {
    let mut net = Net::bootstrapped(5, &["a", "b", "c"]);
    let (returning, _) = follower_and_leader(&net);
    net.stop(&returning);
    net.command_size = 200;
    for _ in 0..70 {
        net.propose();
        net.run(50);
    }
    (net.command_size, net.max_log_entries) = (LARGE_BYTES, 0);
    net.propose();
    net.run(1_000);
    let (term, target) = (net.term(), net.observations.last_applied_index());
    slow_down(&mut net, &returning);
    for _ in 0..3 {
        net.start(&returning);
        net.run(1_500);
        assert!(net.member(&returning).applied < target, "the transfer must still be in progress");
        net.stop(&returning);
    }
    net.start(&returning);
    net.run(4_500);
    assert!(net.member(&returning).applied >= target);
    assert_eq!(net.term(), term);
}

#[test]
fn large_command_delays_no_heartbeat_and_is_sent_once() {
    let mut net = Net::bootstrapped(2, &["a", "b", "c"]);
    let (behind, leader) = follower_and_leader(&net);
    slow_down(&mut net, &behind);
    let term = net.term();
    net.command_size = LARGE_BYTES;
    net.sent_bytes.clear();
    let before = net.observations.last_applied_index();
    net.propose();
    net.run(300);
    assert!(
        net.observations.last_applied_index() > before,
        "the other voters must commit without the slow link"
    );
    net.command_size = 100;
    let mut max_contact_gap_ms = 0;
    for _ in 0..450 {
        net.run(10);
        let last_contact = net
            .member(&behind)
            .node
            .as_ref()
            .and_then(|node| node.last_quorum_contact())
            .expect("no leader contact");
        max_contact_gap_ms = max_contact_gap_ms.max((net.now - last_contact) / MS);
    }
    assert!(net.member(&behind).applied >= net.observations.last_applied_index());
    assert!(net.sent_bytes[&behind] < LARGE_BYTES as u64 * 11 / 10, "{} bytes", net.sent_bytes[&behind]);
    assert!(max_contact_gap_ms < 500, "no leader contact for {max_contact_gap_ms} ms");
    assert_eq!((net.term(), net.leader().expect("no leader").id.name.clone()), (term, leader));
}

#[test]
fn learner_on_a_slow_link_votes_once_caught_up_despite_a_wipe() {
    let mut net = Net::bootstrapped(3, &["a", "b", "c"]);
    let (leaving, leader) = follower_and_leader(&net);
    let third = ["a", "b", "c"]
        .into_iter()
        .find(|n| *n != leaving && *n != leader)
        .expect("no third member")
        .to_string();
    net.command_size = LARGE_BYTES;
    net.propose();
    net.run(200);
    net.max_log_entries = 0;
    net.start_with_empty_disk("d");
    slow_down(&mut net, "d");
    net.run(1_000);
    // During the transfer to d, a follower shuts down and returns; no other node replaces it meanwhile.
    net.terminate(&leaving);
    assert_eq!(net.voters(), "a b c");
    net.start(&leaving);
    net.run(400);
    // The third voter loses its disk while d is still catching up, and the other voters restart.
    net.start_with_empty_disk(&third);
    for name in [&leaving, &leader] {
        net.stop(name);
        net.start(name);
    }
    net.run(4_000);
    net.command_size = 100;
    net.proposal_interval = 500 * MS;
    net.run(8_000);
    assert!(net.commits_within(2_000));
    // The lost voter is replaced by the same node with its new disk or by d; the other one waits.
    let voters = net.voters();
    assert!(voters.contains(&leaving) && voters.contains(&leader) && voters.len() == 5, "{voters}");
    net.stop(&leaving);
    net.run(4_000);
    let mut expected = [leader.as_str(), third.as_str(), "d"];
    expected.sort_unstable();
    assert_eq!(net.voters(), expected.join(" "));
}

#[test]
fn malformed_messages_are_ignored() {
    use consensus::{Message, MessageBody, NodeId, PreviousEntry, TransferContent};
    let mut net = Net::bootstrapped(4, &["a", "b", "c"]);
    let (other, leader) = follower_and_leader(&net);
    let (n, term) = (net.index_of(&other), net.term());
    let from = net.member(&leader).id.clone();
    let to = net.member(&other).id.clone();
    let snapshot_chunk = |offset: u64, size: u64, bytes: Vec<u8>| {
        let content = TransferContent::Snapshot { index: 99, term, voters: consensus::VoterSet::new() };
        MessageBody::Chunk { content, size, offset, bytes, round: 0 }
    };
    let bodies = [
        snapshot_chunk(0, u64::MAX, vec![0; 10]),
        snapshot_chunk(u64::MAX, 100, vec![0; 10]),
        snapshot_chunk(50, 100, vec![0; 10]),
        MessageBody::Chunk {
            content: TransferContent::Entry { previous: PreviousEntry { index: 50, term: 9 }, term },
            size: 10,
            offset: 0,
            bytes: vec![0; 10],
            round: 0,
        },
        MessageBody::ChunkReceived { index: 7, received: u64::MAX, round: 3 },
        MessageBody::LeaveRequest,
    ];
    for body in bodies {
        net.handle(
            n,
            Input::Message(Message { from: from.clone(), to: to.clone(), term, body: body.clone() }),
        );
        let non_member = NodeId { name: "x".into(), disk_id: 1 };
        let leader_index = net.index_of(&leader);
        let to = net.member(&leader).id.clone();
        net.handle(leader_index, Input::Message(Message { from: non_member, to, term: 0, body }));
    }
    net.run(1_000);
    assert!(net.commits_within(1_000));
    assert_eq!((net.term(), net.voters()), (term, "a b c".to_string()));
}

/// A configuration of 775 KB takes 3.1 s on one link of 2 Mbit/s.
#[test]
fn large_command_is_committed_over_slow_links_to_all_followers_and_keeps_the_leader() {
    const CONFIGURATION_BYTES: usize = 775_000;
    let mut net = Net::bootstrapped(6, &["a", "b", "c"]);
    let (_, leader) = follower_and_leader(&net);
    for name in ["a", "b", "c"] {
        slow_down(&mut net, name);
    }
    let (term, before) = (net.term(), net.observations.last_applied_index());
    net.command_size = CONFIGURATION_BYTES;
    net.propose();
    net.command_size = 100;
    let mut elapsed_ms = 0;
    while net.observations.last_applied_index() <= before && elapsed_ms < 40_000 {
        net.run(10);
        elapsed_ms += 10;
    }
    assert!(elapsed_ms < 5_000, "committed after {elapsed_ms} ms");
    assert_eq!((net.term(), net.leader().expect("no leader").id.name.clone()), (term, leader));
}
