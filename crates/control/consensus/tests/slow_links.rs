//! Members behind links of 2 Mbit/s, with states and words of 700 KB.

mod common;

use common::net::Net;
use common::MS;
use consensus::Input;

/// 2 Mbit/s, in bytes a second.
const SLOW: u64 = 250_000;
const LARGE: usize = 700_000;

fn slow(net: &mut Net, name: &str) {
    let others: Vec<String> = net.members.iter().map(|m| m.id.name.clone()).collect();
    for other in others {
        net.slow.insert((other, name.to_string()), SLOW);
    }
}

/// Who is not the leader, and the leader.
fn pair(net: &Net) -> (String, String) {
    let leader = net.leader().expect("one leads").id.name.clone();
    let other = ["a", "b", "c"].into_iter().find(|n| *n != leader).expect("there are three");
    (other.to_string(), leader)
}

#[test]
fn node_returning_after_500_changes_gets_one_snapshot_and_heartbeats() {
    let mut net = Net::bootstrapped(1, &["a", "b", "c"]);
    let (back, _) = pair(&net);
    net.stop(&back);
    for n in 0..500 {
        net.size = if n % 50 == 0 { LARGE } else { 200 };
        net.propose();
        net.run(50);
    }
    net.size = LARGE;
    net.propose();
    net.compact = 0;
    net.run(1_000);
    let (term, target) = (net.term(), net.observations.newest());
    slow(&mut net, &back);
    net.start(&back);
    net.sent.clear();
    let mut unheard = 0;
    let mut took = 0;
    while net.member(&back).applied < target && took < 10_000 {
        net.run(10);
        took += 10;
        let heard = net.member(&back).core.as_ref().and_then(|c| c.last_quorum_contact()).unwrap_or(net.now);
        unheard = unheard.max((net.now - heard) / MS);
    }
    let sent = net.sent[&back];
    assert!(took < 4_500, "{LARGE} bytes take 2.8 s: {took} ms");
    assert!(sent < LARGE as u64 * 11 / 10, "once: {sent} bytes");
    assert!(unheard < 500, "its leader was not heard for {unheard} ms");
    assert_eq!(net.term(), term);
}

/// `simulation`, seed 991: the leader repeated the last part for ever to one that had begun again in the middle of a
/// state.
#[test]
fn restarted_node_gets_a_snapshot_transfer_from_its_start() {
    let mut net = Net::bootstrapped(5, &["a", "b", "c"]);
    let (back, _) = pair(&net);
    net.stop(&back);
    net.size = 200;
    for _ in 0..70 {
        net.propose();
        net.run(50);
    }
    (net.size, net.compact) = (LARGE, 0);
    net.propose();
    net.run(1_000);
    let (term, target) = (net.term(), net.observations.newest());
    slow(&mut net, &back);
    for _ in 0..3 {
        net.start(&back);
        net.run(1_500);
        assert!(net.member(&back).applied < target, "it is in the middle of it");
        net.stop(&back);
    }
    net.start(&back);
    net.run(4_500);
    assert!(net.member(&back).applied >= target);
    assert_eq!(net.term(), term);
}

#[test]
fn large_command_delays_no_heartbeat_and_is_sent_once() {
    let mut net = Net::bootstrapped(2, &["a", "b", "c"]);
    let (behind, leader) = pair(&net);
    slow(&mut net, &behind);
    let term = net.term();
    net.size = LARGE;
    net.sent.clear();
    let before = net.observations.newest();
    net.propose();
    net.run(300);
    assert!(net.observations.newest() > before, "the others agree at once");
    net.size = 100;
    let mut unheard = 0;
    for _ in 0..450 {
        net.run(10);
        let heard =
            net.member(&behind).core.as_ref().and_then(|c| c.last_quorum_contact()).expect("it has heard");
        unheard = unheard.max((net.now - heard) / MS);
    }
    assert!(net.member(&behind).applied >= net.observations.newest());
    assert!(net.sent[&behind] < LARGE as u64 * 11 / 10, "{} bytes", net.sent[&behind]);
    assert!(unheard < 500, "unheard for {unheard} ms");
    assert_eq!((net.term(), net.leader().expect("one leads").id.name.clone()), (term, leader));
}

#[test]
fn learner_on_a_slow_link_votes_once_caught_up_despite_a_wipe() {
    let mut net = Net::bootstrapped(3, &["a", "b", "c"]);
    let (gone, leader) = pair(&net);
    let third = ["a", "b", "c"].into_iter().find(|n| *n != gone && *n != leader).expect("three").to_string();
    net.size = LARGE;
    net.propose();
    net.run(200);
    net.compact = 0;
    net.join("d");
    slow(&mut net, "d");
    net.run(1_000);
    // In the middle of it the old one is told to end, and comes back; nobody else replaces it meanwhile.
    net.terminate(&gone);
    assert_eq!(net.voters(), "a b c");
    net.start(&gone);
    net.run(400);
    // The third loses its disk while the newcomer is still behind, and all others lose power.
    net.join(&third);
    for name in [&gone, &leader] {
        net.stop(name);
        net.start(name);
    }
    net.run(4_000);
    net.size = 100;
    net.every = 500 * MS;
    net.run(8_000);
    assert!(net.commits_within(2_000));
    // Its new disk or the newcomer replaces it, and the other waits.
    let now = net.voters();
    assert!(now.contains(&gone) && now.contains(&leader) && now.len() == 5, "{now}");
    net.stop(&gone);
    net.run(4_000);
    let mut all = [leader.as_str(), third.as_str(), "d"];
    all.sort_unstable();
    assert_eq!(net.voters(), all.join(" "));
}

#[test]
fn malformed_messages_are_ignored() {
    use consensus::{Message, MessageBody, NodeId, PreviousEntry, TransferContent};
    let mut net = Net::bootstrapped(4, &["a", "b", "c"]);
    let (other, leader) = pair(&net);
    let (n, term) = (net.at(&other), net.term());
    let from = net.member(&leader).id.clone();
    let to = net.member(&other).id.clone();
    let state = |at: u64, size: u64, bytes: Vec<u8>| {
        let whole = TransferContent::Snapshot { index: 99, term, voters: consensus::VoterSet::new() };
        MessageBody::Chunk { content: whole, size, offset: at, bytes, round: 0 }
    };
    let sent_messages = [
        state(0, u64::MAX, vec![0; 10]),
        state(u64::MAX, 100, vec![0; 10]),
        state(50, 100, vec![0; 10]),
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
    for body in sent_messages {
        net.take(n, Input::Message(Message { from: from.clone(), to: to.clone(), term, body: body.clone() }));
        let stranger = NodeId { name: "x".into(), disk_id: 1 };
        let at = net.at(&leader);
        let to = net.member(&leader).id.clone();
        net.take(at, Input::Message(Message { from: stranger, to, term: 0, body }));
    }
    net.run(1_000);
    assert!(net.commits_within(1_000));
    assert_eq!((net.term(), net.voters()), (term, "a b c".to_string()));
}

/// A configuration of 775 KB takes 3.1 s on one link of 2 Mbit/s.
#[test]
fn large_command_is_committed_over_slow_links_to_all_followers_and_keeps_the_leader() {
    const CONFIGURATION: usize = 775_000;
    let mut net = Net::bootstrapped(6, &["a", "b", "c"]);
    let (_, leader) = pair(&net);
    for name in ["a", "b", "c"] {
        slow(&mut net, name);
    }
    let (term, before) = (net.term(), net.observations.newest());
    net.size = CONFIGURATION;
    net.propose();
    net.size = 100;
    let mut took = 0;
    while net.observations.newest() <= before && took < 40_000 {
        net.run(10);
        took += 10;
    }
    assert!(took < 5_000, "committed after {took} ms");
    assert_eq!((net.term(), net.leader().expect("one leads").id.name.clone()), (term, leader));
}
