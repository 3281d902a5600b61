//! Selection of the control node that a gateway subscribes to, and conclusions from its updates. The seeds are those
//! of `control-sim` that first showed the fault.

use control_state::{CommittedConfiguration, ConfigurationSender, DeltaHistory, CHUNK_BYTES};
use messages::{GatewayMessage, GatewayUpdate, Greeting};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use subscription::{DisconnectReason, Effect, Subscription, SubscriptionConfig, Time};

const MS: Time = 1_000_000;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn new_subscription() -> Subscription {
    Subscription::new(SubscriptionConfig {
        name: "g".into(),
        zone: "z".into(),
        ip: IpAddr::from([10, 9, 0, 1]),
    })
}

fn heartbeat(contact_number: u64, quorum_contact_ms: u32, newest_configuration: u64) -> GatewayUpdate {
    let control_nodes = (1..=3).map(|n| (ip(n).to_string(), String::new())).collect();
    GatewayUpdate::Heartbeat { contact_number, quorum_contact_ms, newest_configuration, control_nodes }
}

fn connect(subscription: &mut Subscription, now: Time, node: IpAddr) -> u64 {
    match subscription.on_connected(now, node, true) {
        Greeting::Gateway { contact_number: contact, .. } => contact,
        other => panic!("{other:?}"),
    }
}

fn sent_contact_number(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(GatewayMessage::ContactNumber { number }) => Some(*number),
        _ => None,
    })
}

/// Seed 591. The second heartbeat was sent at 200 ms and is read by a gateway that was suspended for twenty seconds.
#[test]
fn heartbeat_proves_no_more_than_its_contact_number() {
    let mut subscription = new_subscription();
    let first = connect(&mut subscription, 0, ip(1));
    let number = sent_contact_number(&subscription.on_update(10 * MS, heartbeat(first, 5, 0), Vec::new))
        .expect("a contact number for the next heartbeat");
    assert_eq!(
        subscription.freshness().last_quorum_contact(),
        None,
        "the proof is older than the gateway's start"
    );
    subscription.on_update(20_000 * MS, heartbeat(number, 5, 0), Vec::new);
    assert_eq!(subscription.freshness().last_quorum_contact(), Some(5 * MS));
    assert!(
        !subscription.freshness().is_fresh(20_000 * MS) && !subscription.freshness().is_ready(20_000 * MS)
    );
    // A number that was already answered proves nothing again, nor does one that was never sent.
    subscription.on_update(20_000 * MS, heartbeat(number, 0, 0), Vec::new);
    subscription.on_update(20_000 * MS, heartbeat(99, 0, 0), Vec::new);
    assert_eq!(subscription.freshness().last_quorum_contact(), Some(5 * MS));
}

#[test]
fn gateway_without_the_newest_configuration_is_not_fresh() {
    let mut subscription = new_subscription();
    let first = connect(&mut subscription, 1000 * MS, ip(1));
    subscription.on_update(1010 * MS, heartbeat(first, 5, 7), Vec::new);
    assert!(subscription.freshness().is_ready(1020 * MS) && !subscription.freshness().is_fresh(1020 * MS));
}

/// After all processes were killed: a restarted gateway holds no configuration, and no control node is in contact
/// with a majority yet.
#[test]
fn gateway_without_a_configuration_accepts_one_without_contact() {
    let mut subscription = new_subscription();
    let first = connect(&mut subscription, 0, ip(1));
    let body = vec![7; 3 * CHUNK_BYTES];
    let committed = Arc::new(CommittedConfiguration { version: 5, index: 9, body });
    let (history, mut sender) = (DeltaHistory::default(), ConfigurationSender::new(0));
    let chunks: Vec<_> = std::iter::from_fn(|| sender.next_chunk(&history, Some(&committed))).collect();
    for chunk in chunks {
        subscription.on_update(MS, GatewayUpdate::ConfigurationChunk(chunk), Vec::new);
        let effects = subscription.on_update(2 * MS, heartbeat(first, u32::MAX, 9), Vec::new);
        assert!(sent_contact_number(&effects).is_some(), "the connection is kept");
    }
    sender.on_received(9, 2 * CHUNK_BYTES as u32);
    subscription.on_update(
        3 * MS,
        GatewayUpdate::ConfigurationChunk(
            sender.next_chunk(&history, Some(&committed)).expect("the last chunk"),
        ),
        Vec::new,
    );
    assert_eq!(subscription.configuration_index(), 9);
    let effects = subscription.on_update(4 * MS, heartbeat(first, u32::MAX, 9), Vec::new);
    assert!(
        matches!(effects[..], [Effect::Disconnect(DisconnectReason::NoQuorum)]),
        "it now disconnects to find a node with a quorum: {effects:?}"
    );
    assert!(!subscription.freshness().is_fresh(5 * MS) && !subscription.freshness().is_ready(5 * MS));
}

/// Seed 11763: a gateway that was receiving a long configuration disconnected in favour of the control node in its
/// own zone, which was isolated, and the transfer had to restart.
#[test]
fn subscription_stays_while_a_configuration_is_in_transfer() {
    let mut subscription = new_subscription();
    let near_heartbeat = |contact| {
        let control_nodes = vec![(ip(1).to_string(), "z".into()), (ip(2).to_string(), String::new())];
        GatewayUpdate::Heartbeat {
            contact_number: contact,
            quorum_contact_ms: 0,
            newest_configuration: 9,
            control_nodes,
        }
    };
    let first = connect(&mut subscription, 0, ip(2));
    let committed = Arc::new(CommittedConfiguration { version: 5, index: 9, body: vec![7; CHUNK_BYTES + 1] });
    let (history, mut sender) = (DeltaHistory::default(), ConfigurationSender::new(0));
    subscription.on_update(
        MS,
        GatewayUpdate::ConfigurationChunk(
            sender.next_chunk(&history, Some(&committed)).expect("the first chunk"),
        ),
        Vec::new,
    );
    assert!(
        sent_contact_number(&subscription.on_update(2 * MS, near_heartbeat(first), Vec::new)).is_some(),
        "the connection is kept"
    );
    subscription.on_update(
        3 * MS,
        GatewayUpdate::ConfigurationChunk(
            sender.next_chunk(&history, Some(&committed)).expect("the last chunk"),
        ),
        Vec::new,
    );
    let effects = subscription.on_update(4 * MS, near_heartbeat(first), Vec::new);
    assert!(matches!(effects[..], [Effect::Disconnect(DisconnectReason::NearerNode)]), "{effects:?}");
}

/// Seed 3471: a node that refuses connections is not tried repeatedly while others have not been tried for longer.
#[test]
fn unreachable_nodes_are_tried_in_turn() {
    let (mut subscription, seeds) = (new_subscription(), [ip(1), ip(2), ip(3)]);
    let (mut now, mut tried) = (0, Vec::new());
    for _ in 0..40 {
        let node = subscription.next_node(now, &seeds, |_| 0).expect("one of the seeds").ip;
        tried.push(node);
        let (end, duration) =
            if node == ip(2) { (DisconnectReason::Refused, 1) } else { (DisconnectReason::TimedOut, 200) };
        let started = now;
        now += duration * MS;
        subscription.on_disconnected(now, node, started, end);
        now += 50 * MS;
    }
    for window in tried[30..].windows(3) {
        assert_eq!(window.iter().collect::<BTreeSet<_>>().len(), 3, "{tried:?}");
    }
}

/// Seed 1543: a gateway was isolated from all control nodes, and the first node that it reaches again is isolated
/// itself.
#[test]
fn nodes_that_timed_out_are_retried_when_another_has_no_quorum() {
    let (mut subscription, seeds) = (new_subscription(), [ip(1), ip(2), ip(3)]);
    let mut now = 0;
    for _ in 0..20 {
        let node = subscription.next_node(now, &seeds, |_| 0).expect("one of the seeds").ip;
        subscription.on_disconnected(now + 200 * MS, node, now, DisconnectReason::TimedOut);
        now += 250 * MS;
    }
    let first = connect(&mut subscription, now, ip(1));
    let effects = subscription.on_update(now + 5 * MS, heartbeat(first, 9000, 0), Vec::new);
    assert!(matches!(effects[..], [Effect::Disconnect(DisconnectReason::NoQuorum)]), "{effects:?}");
    subscription.on_disconnected(now + 5 * MS, ip(1), now, DisconnectReason::NoQuorum);
    let mut tried = BTreeSet::new();
    for _ in 0..2 {
        let next = subscription.next_node(now + 6 * MS, &seeds, |_| 0).expect("one of the seeds");
        let (node, is_available) = (next.ip, !next.is_backed_off);
        assert!(is_available, "the node must be available at once");
        tried.insert(node);
        subscription.on_disconnected(now + 206 * MS, node, now + 6 * MS, DisconnectReason::TimedOut);
    }
    assert_eq!(tried, [ip(2), ip(3)].into());
    // Both are down: the node that is reachable is better than none, and the back-off of the others is as long as
    // before.
    now += 300 * MS;
    let first = connect(&mut subscription, now, ip(1));
    let effects = subscription.on_update(now + 5 * MS, heartbeat(first, 9300, 0), Vec::new);
    assert!(sent_contact_number(&effects).is_some(), "{effects:?}");
}

/// Seed 700831: elections over two minutes had made each failure the tenth in a row, so that a gateway stayed
/// connected to an isolated leader for 4.8 s while the other nodes had elected another leader.
#[test]
fn failures_of_long_ago_do_not_prolong_a_backoff() {
    let mut subscription = new_subscription();
    let without_quorum = |subscription: &mut Subscription, now: Time, node: IpAddr| {
        let contact = connect(subscription, now, node);
        subscription.on_update(now + MS, heartbeat(contact, 1200, 0), Vec::new);
        subscription.on_disconnected(now + 2 * MS, node, now, DisconnectReason::NoQuorum);
    };
    let mut now = 0;
    for _ in 0..10 {
        now += 30_000 * MS;
        without_quorum(&mut subscription, now, ip(2));
        without_quorum(&mut subscription, now + 3 * MS, ip(3));
    }
    let contact = connect(&mut subscription, now + 6 * MS, ip(1));
    let effects = subscription.on_update(now + 10 * MS, heartbeat(contact, 1300, 0), Vec::new);
    assert!(
        sent_contact_number(&effects).is_some(),
        "both other nodes were just without a quorum: {effects:?}"
    );
    let effects = subscription.on_update(now + 700 * MS, heartbeat(contact, 2000, 0), Vec::new);
    assert!(matches!(effects[..], [Effect::Disconnect(DisconnectReason::NoQuorum)]), "{effects:?}");
}

#[test]
fn gateway_whose_cut_has_healed_leaves_a_node_without_quorum_within_a_second() {
    let (mut subscription, seeds) = (new_subscription(), [ip(1), ip(2), ip(3)]);
    let mut now = 0;
    // During the partition one node without a quorum is reachable, and connections to the others time out repeatedly.
    while now < 30_000 * MS {
        let next = subscription.next_node(now, &seeds, |_| 0).expect("one of the seeds");
        let started = now;
        if next.ip != ip(1) {
            now += 250 * MS;
            subscription.on_disconnected(now, next.ip, started, DisconnectReason::TimedOut);
            continue;
        }
        let contact = connect(&mut subscription, now, ip(1));
        let mut effects = Vec::new();
        while !matches!(effects[..], [Effect::Disconnect(_)]) && now < 30_000 * MS {
            now += 200 * MS;
            effects = subscription.on_update(now, heartbeat(contact, 9000, 0), Vec::new);
        }
        if now < 30_000 * MS {
            subscription.on_disconnected(now, ip(1), started, DisconnectReason::NoQuorum);
        }
    }
    let probed = subscription.nodes_to_probe(now);
    assert!(probed.contains(&ip(2)), "{probed:?}");
    subscription.on_probed(now, ip(3), 1200);
    subscription.on_probed(now, ip(2), 40);
    let effects = subscription.on_update(now + 200 * MS, heartbeat(0, 9000, 0), Vec::new);
    assert!(matches!(effects[..], [Effect::Disconnect(DisconnectReason::NoQuorum)]), "{effects:?}");
    subscription.on_disconnected(now + 200 * MS, ip(1), now, DisconnectReason::NoQuorum);
    let next = subscription.next_node(now + 200 * MS, &seeds, |_| 0).expect("one of the seeds");
    assert_eq!((next.ip, next.is_backed_off), (ip(2), false));
}

#[test]
fn nodes_are_not_probed_while_the_followed_one_has_a_quorum() {
    let (mut subscription, seeds) = (new_subscription(), [ip(1), ip(2)]);
    subscription.next_node(0, &seeds, |_| 1);
    subscription.on_disconnected(200 * MS, ip(2), 0, DisconnectReason::TimedOut);
    let contact = connect(&mut subscription, 250 * MS, ip(1));
    subscription.on_update(260 * MS, heartbeat(contact, 5, 0), Vec::new);
    assert!(subscription.nodes_to_probe(270 * MS).is_empty());
    subscription.on_update(460 * MS, heartbeat(contact, 9000, 0), Vec::new);
    subscription.on_disconnected(470 * MS, ip(1), 250 * MS, DisconnectReason::NoQuorum);
    subscription.on_disconnected(700 * MS, ip(2), 500 * MS, DisconnectReason::TimedOut);
    let contact = connect(&mut subscription, 750 * MS, ip(1));
    subscription.on_update(760 * MS, heartbeat(contact, 9000, 0), Vec::new);
    assert_eq!(subscription.nodes_to_probe(770 * MS), [ip(2)]);
    subscription.on_update(960 * MS, heartbeat(contact, 5, 0), Vec::new);
    assert!(subscription.nodes_to_probe(970 * MS).is_empty());
}

/// Returns the heartbeat of a node in contact with a majority that tells of these nodes.
fn list_of(nodes: std::ops::RangeInclusive<u8>, quorum_contact_ms: u32) -> GatewayUpdate {
    let control_nodes = nodes.map(|n| (ip(n).to_string(), String::new())).collect();
    GatewayUpdate::Heartbeat { contact_number: 0, quorum_contact_ms, newest_configuration: 0, control_nodes }
}

/// Sends such a list to a connected gateway five times a second for this number of seconds.
fn receive_lists(
    subscription: &mut Subscription,
    from_s: Time,
    seconds: Time,
    list: impl Fn() -> GatewayUpdate,
) {
    for step in 0..5 * seconds {
        subscription.on_update((1000 * from_s + 200 * step) * MS, list(), Vec::new);
    }
}

/// Lets connections time out until the gateway knows no node that isn't in back-off, and returns those it tried.
fn tried_nodes(subscription: &mut Subscription, now: Time, seeds: &[IpAddr]) -> Vec<IpAddr> {
    let mut tried = Vec::new();
    while let Some(next) = subscription.next_node(now, seeds, |_| 0).filter(|next| !next.is_backed_off) {
        tried.push(next.ip);
        subscription.on_disconnected(now, next.ip, now, DisconnectReason::TimedOut);
    }
    tried
}

/// Guards against the seconds that a gateway spent on the addresses of nodes that were gone, one after the other, before
/// it tried one that was up (seed 2450 of `control-sim --exchanges`).
#[test]
fn nodes_that_are_told_at_present_are_tried_before_others() {
    let mut subscription = new_subscription();
    connect(&mut subscription, 0, ip(20));
    receive_lists(&mut subscription, 0, 2, || list_of(1..=20, 0));
    receive_lists(&mut subscription, 2, 3, || list_of(18..=20, 0));
    let tried = tried_nodes(&mut subscription, 5000 * MS, &[ip(1), ip(30)]);
    assert_eq!(tried[..3], [ip(18), ip(19), ip(20)]);
    assert_eq!(tried.len(), 21, "the others are tried as well");
}

/// Guards against a table of nodes that only grows.
#[test]
fn nodes_that_are_told_no_more_are_forgotten() {
    let mut subscription = new_subscription();
    connect(&mut subscription, 0, ip(1));
    receive_lists(&mut subscription, 0, 2, || list_of(1..=20, 0));
    receive_lists(&mut subscription, 2, 70, || list_of(1..=3, 0));
    let tried = tried_nodes(&mut subscription, 72_000 * MS, &[ip(30)]);
    assert_eq!(tried, [ip(1), ip(2), ip(3), ip(30)]);
    // Two hundred come and go within the time in which none is forgotten.
    connect(&mut subscription, 73_000 * MS, ip(1));
    for n in 10..210 {
        subscription.on_update((73_000 + 200 * Time::from(n)) * MS, list_of(n..=n, 0), Vec::new);
    }
    assert!(tried_nodes(&mut subscription, 116_000 * MS, &[]).len() <= 128);
}

/// Guards against a gateway behind a cut that forgets all nodes but the one that is cut off with it.
#[test]
fn a_node_without_a_majority_makes_none_forgotten() {
    let mut subscription = new_subscription();
    connect(&mut subscription, 0, ip(1));
    receive_lists(&mut subscription, 0, 2, || list_of(1..=5, 0));
    receive_lists(&mut subscription, 2, 100, || list_of(1..=1, 100_000));
    assert_eq!(tried_nodes(&mut subscription, 102_000 * MS, &[]).len(), 5);
}

/// Guards against a gateway that stays with a node without a majority which tells of itself alone, though its settings
/// name others (seed 128 of `control-sim --exchanges` on a draft).
#[test]
fn a_node_without_a_majority_is_left_for_a_seed() {
    let mut subscription = new_subscription();
    assert!(subscription.next_node(0, &[ip(1), ip(2)], |_| 0).is_some());
    connect(&mut subscription, 0, ip(1));
    let effects = subscription.on_update(10 * MS, list_of(1..=1, 5000), Vec::new);
    assert!(matches!(effects[..], [Effect::Disconnect(DisconnectReason::NoQuorum)]), "{effects:?}");
}

/// Guards against a gateway that tries hundreds of former nodes before the seeds of its settings, after a time in which
/// the nodes that it followed had no majority (seeds 1 and 51 of `control-sim --replacements` on drafts).
#[test]
fn a_seed_is_tried_before_former_nodes() {
    let mut subscription = new_subscription();
    connect(&mut subscription, 0, ip(1));
    receive_lists(&mut subscription, 0, 1, || list_of(1..=100, 0));
    receive_lists(&mut subscription, 1, 5, || list_of(101..=102, 100_000));
    let tried = tried_nodes(&mut subscription, 6000 * MS, &[ip(200)]);
    assert_eq!(tried[..3], [ip(101), ip(102), ip(200)]);
    // Again before former ones, though it timed out, once its back-off has ended.
    let next = subscription.next_node(6750 * MS, &[ip(200)], |_| 0);
    assert!(next.is_some_and(|next| next.ip == ip(101)));
}

/// Guards against a gateway that leaves a node for a nearer one and then goes to a third one, again and again, since the
/// nearer one had timed out once (quiet-1 of otjikoto-gate-large on 3b15177: 0.871 to 0.685).
#[test]
fn a_gateway_goes_to_the_nearer_node_for_which_it_leaves_another() {
    let mut subscription = new_subscription();
    let list = || {
        let zones = ["z", "y", "x"];
        let control_nodes = (1..=3).map(|n| (ip(n).to_string(), zones[n as usize - 1].into())).collect();
        GatewayUpdate::Heartbeat {
            contact_number: 0,
            quorum_contact_ms: 0,
            newest_configuration: 0,
            control_nodes,
        }
    };
    // The near node times out, as its machine is just starting.
    subscription.on_disconnected(200 * MS, ip(1), 0, DisconnectReason::TimedOut);
    connect(&mut subscription, 300 * MS, ip(2));
    let effects = subscription.on_update(400 * MS, list(), Vec::new);
    assert!(sent_contact_number(&effects).is_some(), "the near node is in back-off: {effects:?}");
    let effects = subscription.on_update(1000 * MS, list(), Vec::new);
    assert!(matches!(effects[..], [Effect::Disconnect(DisconnectReason::NearerNode)]), "{effects:?}");
    subscription.on_disconnected(1000 * MS, ip(2), 300 * MS, DisconnectReason::NearerNode);
    let next = subscription.next_node(1000 * MS, &[ip(2), ip(3)], |_| 0);
    assert_eq!(next.map(|next| next.ip), Some(ip(1)));
}
