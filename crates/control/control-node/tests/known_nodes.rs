//! Which control nodes a node knows, tells others of, and forgets.

use consensus::{NodeId, PersistedState};
use control_node::{ControlNode, NodeConfig, Time};
use messages::ControlMessage;
use trial::TenantTerms;

const SECOND: Time = 1_000_000_000;
const HELLO_INTERVAL: Time = SECOND / 2;
/// Maximum size of a Hello, in bytes: 64 nodes besides voters and seeds, each of some 30 bytes.
const MAX_HELLO_BYTES: usize = 2_500;

fn id(name: &str) -> NodeId {
    NodeId { name: name.into(), disk_id: 1 }
}

/// Returns the name of a node that isn't a seed.
fn name(n: usize) -> String {
    format!("10.1.{}.{}", n / 250, n % 250 + 1)
}

/// Returns a node whose stored log names three voters, itself among them.
fn node(own: &str) -> ControlNode {
    let mut stored = PersistedState { term: 3, ..PersistedState::default() };
    (stored.snapshot.index, stored.snapshot.term) = (4, 3);
    stored.snapshot.voters = ["10.0.0.1", "10.0.0.2", "10.0.0.9"].map(|name| (name.to_string(), 1)).into();
    let config = NodeConfig {
        id: id(own),
        zone: "z".into(),
        can_vote: true,
        initial_start: false,
        seeds: vec!["10.0.0.1".into(), "10.0.0.2".into(), "10.0.0.3".into()],
        heartbeat_interval: SECOND,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        min_voters: None,
        seed: 7,
    };
    ControlNode::new(config, stored, Vec::new(), 0)
}

/// Returns the Hello of a node without a disk, which knows these.
fn hello(from: &str, known: &[&str]) -> ControlMessage {
    ControlMessage::Hello {
        id: id(from),
        zone: "z1".into(),
        initial_start: false,
        can_vote: false,
        known_nodes: known.iter().map(|name| (name.to_string(), String::new())).collect(),
        unix_ms: 0,
    }
}

fn hears(node: &mut ControlNode, now: Time, from: &str, known: &[&str]) {
    node.on_control_message(now, &id(from), hello(from, known));
}

fn knows(node: &ControlNode, name: &str) -> bool {
    node.known_nodes().iter().any(|(known, _)| known == name)
}

fn tells(node: &ControlNode, name: &str) -> bool {
    let ControlMessage::Hello { known_nodes, .. } = node.hello(0) else { unreachable!() };
    known_nodes.iter().any(|(known, _)| known == name)
}

/// Guards against a table that fills with machines that are gone: the 65th address was ignored, and the successor of a
/// lost voter got no log (review, case 7).
#[test]
fn a_newcomer_is_known_after_hundreds_of_replacements() {
    let mut node = node("10.0.0.1");
    let mut most_known = 0;
    for n in 0..900_usize {
        // A new machine comes every half second, and is heard for 1.5 s.
        let now = n as Time * HELLO_INTERVAL;
        for living in n.saturating_sub(2)..=n {
            hears(&mut node, now, &name(living), &["10.0.0.2"]);
        }
        assert!(knows(&node, &name(n)) && tells(&node, &name(n)), "replacement {n}");
        most_known = most_known.max(node.known_nodes().len());
        let bytes = rmp_serde::to_vec(&node.hello(0)).expect("a message is encoded").len();
        assert!(bytes <= MAX_HELLO_BYTES, "{bytes} bytes after {n} replacements");
    }
    assert!(most_known <= 64 + 5, "{most_known} nodes are known");
    assert!(!knows(&node, &name(700)));
}

/// Guards against an address that lives on by hearsay: each of two nodes heard of it from the other, for ever.
#[test]
fn two_nodes_do_not_keep_an_address_that_neither_hears() {
    let mut nodes = [node("10.0.0.1"), node("10.0.0.2")];
    nodes.iter_mut().for_each(|node| hears(node, 0, "10.1.0.1", &[]));
    for step in 0..150 {
        let now = step * HELLO_INTERVAL;
        let hellos = [nodes[0].hello(0), nodes[1].hello(0)];
        for (n, message) in hellos.into_iter().enumerate() {
            let from = id(["10.0.0.1", "10.0.0.2"][n]);
            nodes[1 - n].on_control_message(now, &from, message);
        }
        assert_eq!(knows(&nodes[0], "10.1.0.1"), now < 65 * SECOND, "at {} ms", now / 1_000_000);
    }
}

/// Guards against a node that is told of while it is heard elsewhere, and forgotten where a cut keeps it from being heard.
#[test]
fn a_node_that_another_hears_is_kept() {
    let mut node = node("10.0.0.1");
    for step in 0..400 {
        hears(&mut node, step * HELLO_INTERVAL, "10.0.0.2", &["10.1.0.1"]);
    }
    assert!(knows(&node, "10.1.0.1"));
    assert!(!tells(&node, "10.1.0.1"), "it isn't heard here");
}

/// Guards against a cut that leaves a node alone: it neither forgets nor ceases to tell what it heard before, and knows
/// the others when the cut ends.
#[test]
fn a_node_that_is_cut_off_forgets_nobody() {
    let mut node = node("10.0.0.1");
    hears(&mut node, SECOND, "10.1.0.1", &[]);
    hears(&mut node, SECOND, "10.1.0.2", &[]);
    node.advance(3600 * SECOND, 0);
    assert!(knows(&node, "10.1.0.1") && tells(&node, "10.1.0.1"));
    hears(&mut node, 3601 * SECOND, "10.1.0.2", &[]);
    assert!(knows(&node, "10.1.0.1"));
    // From then on it counts as silent.
    (0..130).for_each(|step| hears(&mut node, 3601 * SECOND + step * HELLO_INTERVAL, "10.1.0.2", &[]));
    assert!(!knows(&node, "10.1.0.1"));
    // It comes back at the same address.
    hears(&mut node, 3700 * SECOND, "10.1.0.1", &[]);
    assert!(knows(&node, "10.1.0.1"));
}

/// Guards against the loss of a member that is down for long: voters and seeds keep their places, and a former seed
/// doesn't.
#[test]
fn voters_and_seeds_are_never_forgotten() {
    let mut node = node("10.0.0.1");
    let hear_for = |node: &mut ControlNode, from: Time, until: Time| {
        for step in from * 2..until * 2 {
            // 100 others come and go meanwhile.
            let passing = name(100 + (step % 100) as usize);
            hears(node, step * HELLO_INTERVAL, &passing, &[]);
        }
    };
    hear_for(&mut node, 0, 300);
    assert!(knows(&node, "10.0.0.9") && knows(&node, "10.0.0.3"));
    assert!(tells(&node, "10.0.0.9"), "a voter is told even if it isn't heard");
    node.set_seeds(300 * SECOND, &["10.0.0.4".into()]);
    hear_for(&mut node, 300, 400);
    assert!(knows(&node, "10.0.0.4") && !knows(&node, "10.0.0.3"));
}

/// Guards against living nodes that push each other out of a full table, and against hearsay that takes the place of
/// one that is heard.
#[test]
fn a_table_of_living_nodes_takes_no_more() {
    let mut node = node("10.0.0.1");
    for step in 0..20 {
        (0..64).for_each(|n| hears(&mut node, step * HELLO_INTERVAL, &name(n), &["10.2.0.1"]));
    }
    hears(&mut node, 10 * SECOND, "10.2.0.2", &["10.2.0.3"]);
    assert!((0..64).all(|n| knows(&node, &name(n))));
    assert!(!knows(&node, "10.2.0.1") && !knows(&node, "10.2.0.2") && !knows(&node, "10.2.0.3"));
    // One of them falls silent, and makes room.
    for step in 20..40 {
        (1..64).for_each(|n| hears(&mut node, step * HELLO_INTERVAL, &name(n), &[]));
    }
    hears(&mut node, 20 * SECOND, "10.2.0.2", &[]);
    assert!(knows(&node, "10.2.0.2") && !knows(&node, &name(0)));
}
