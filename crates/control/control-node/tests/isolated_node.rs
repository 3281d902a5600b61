//! Behaviour of a control node that is isolated from all others.

use consensus::{Message, MessageBody, NodeId, PersistedState, PreviousEntry};
use control_node::{ControlNode, Effect, NodeConfig, Reply, Time};
use messages::ControlMessage;
use registry::Heartbeat;
use trial::TenantTerms;

const MS: Time = 1_000_000;
const HEARTBEAT_INTERVAL: Time = 1000 * MS;

fn isolated_node() -> ControlNode {
    let node_id = NodeId { name: "10.0.0.1".into(), disk_id: 1 };
    let config = NodeConfig {
        id: node_id,
        zone: "z".into(),
        can_vote: true,
        initial_start: true,
        seeds: vec!["10.0.0.1".into(), "10.0.0.2".into(), "10.0.0.3".into()],
        heartbeat_interval: HEARTBEAT_INTERVAL,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        min_voters: None,
        seed: 7,
    };
    ControlNode::new(config, PersistedState::default(), Vec::new(), 0)
}

/// Runs the node from `from` to `to` with a disk that saves at once, and returns its other effects.
fn run(node: &mut ControlNode, from: Time, to: Time) -> Vec<Effect> {
    let (mut now, mut all) = (from, Vec::new());
    loop {
        for effect in node.take_effects() {
            if let Effect::Persist { number, .. } = effect {
                node.on_persisted(now, number, true);
            } else {
                all.push(effect);
            }
        }
        let due = node.next_due().max(now + MS);
        if !node.has_ready_input() && due > to {
            return all;
        }
        now = if node.has_ready_input() { now } else { due };
        node.advance(now, 0);
    }
}

fn replies(effects: &[Effect]) -> Vec<(u64, Reply)> {
    let as_reply = |effect: &Effect| match effect {
        Effect::Reply { call, reply } => Some((*call, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(as_reply).collect()
}

#[test]
fn isolated_node_answers_every_call_in_time_and_acknowledges_nothing() {
    let mut node = isolated_node();
    run(&mut node, 0, 100 * MS);
    let heartbeat =
        Heartbeat { instance: "i".into(), address: "a:1".into(), sequence: 1, ..Heartbeat::default() };
    node.heartbeat(100 * MS, 1, heartbeat);
    node.deregister(100 * MS, 2, "i");
    node.replace_configuration(100 * MS, 3, b"{}".as_slice().into());
    node.read_configuration(100 * MS, 4);
    let unavailable = |call| (call, Reply::Unavailable);
    assert_eq!(
        replies(&node.take_effects()),
        [unavailable(1), unavailable(2), unavailable(3), unavailable(4)]
    );
}

/// The leader confirms quorum contact until 3 s. The backend's last heartbeat to this node is 1.4 s before that; from
/// then on it sends its heartbeats to other nodes.
#[test]
fn isolated_node_expires_no_backend() {
    let mut node = isolated_node();
    run(&mut node, 0, 100 * MS);
    let leader = NodeId { name: "10.0.0.2".into(), disk_id: 2 };
    for now in (100..=3000).step_by(50).map(|ms| ms * MS) {
        let body = MessageBody::AppendEntries {
            previous: PreviousEntry::default(),
            entries: Vec::new(),
            commit_index: 0,
            round: now,
        };
        let message = Message { from: leader.clone(), to: node.id().clone(), term: 1, body };
        node.on_control_message(now, &leader, ControlMessage::Consensus(message));
        for effect in run(&mut node, now, now) {
            if let Effect::SendToNode { message: ControlMessage::ContactRequest { number }, .. } = effect {
                node.on_control_message(
                    now,
                    &leader,
                    ControlMessage::ContactResponse { number, age_ns: 0, commit_index: 0 },
                );
            }
        }
        if now == 1600 * MS {
            assert!(node.quorum_contact_age(now) < 200 * MS);
            let heartbeat = Heartbeat {
                instance: "i".into(),
                address: "a:1".into(),
                sequence: 1,
                ..Heartbeat::default()
            };
            node.heartbeat(now, 1, heartbeat);
        }
    }
    run(&mut node, 3000 * MS, 60_000 * MS);
    assert!(node.registry().get("i").is_some(), "other nodes may have received its heartbeats all the time");
}

/// All seeds of the settings file are gone; the persisted snapshot names the voters.
#[test]
fn node_knows_the_voters_of_its_log() {
    let mut stored = PersistedState { term: 3, ..PersistedState::default() };
    stored.snapshot.index = 4;
    stored.snapshot.term = 3;
    stored.snapshot.voters = [("10.0.0.1".to_string(), 1), ("10.0.7.7".to_string(), 2)].into();
    let config = NodeConfig {
        id: NodeId { name: "10.0.0.1".into(), disk_id: 1 },
        zone: "z".into(),
        can_vote: true,
        initial_start: false,
        seeds: vec!["10.0.0.9".into()],
        heartbeat_interval: HEARTBEAT_INTERVAL,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        min_voters: None,
        seed: 7,
    };
    let node = ControlNode::new(config, stored, Vec::new(), 0);
    assert!(node.known_nodes().iter().any(|(name, _)| name == "10.0.7.7"));
}

/// Callers that disconnect at once leave calls behind, which stay pending until their deadline.
#[test]
fn pending_calls_are_bounded() {
    let mut node = isolated_node();
    run(&mut node, 0, 100 * MS);
    let voters = [("10.0.0.1".to_string(), 1)].into();
    let leader = NodeId { name: "10.0.0.2".into(), disk_id: 2 };
    node.on_control_message(100 * MS, &leader, ControlMessage::BootstrapChosen { voters });
    run(&mut node, 100 * MS, 3000 * MS);
    assert!(node.leadership().is_leader, "the sole voter leads");
    for call in 0..3000 {
        node.read_configuration(3000 * MS, call);
    }
    assert_eq!(replies(&node.take_effects()).len(), 3000 - 1024);
}
