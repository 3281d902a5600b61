//! Before expiring a silent backend, a node queries the other nodes: a node whose link to this one is cut may still
//! receive the backend's heartbeats and forward them to the others (found by the simulation, seed 7395).

use consensus::{NodeId, PersistedState};
use control_node::{ControlNode, Effect, NodeConfig, Time};
use messages::ControlMessage;
use registry::Heartbeat;
use trial::TenantTerms;

const MS: Time = 1_000_000;
const HEARTBEAT_INTERVAL: Time = 1000 * MS;

/// Returns a node that is the sole voter, and so leads and has quorum contact.
fn leading_node() -> ControlNode {
    let config = NodeConfig {
        id: NodeId { name: "10.0.0.1".into(), disk_id: 1 },
        zone: "z".into(),
        can_vote: true,
        initial_start: true,
        seeds: vec!["10.0.0.1".into(), "10.0.0.2".into()],
        heartbeat_interval: HEARTBEAT_INTERVAL,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        min_voters: None,
        seed: 7,
    };
    let mut node = ControlNode::new(config, PersistedState::default(), Vec::new(), 0);
    run(&mut node, 0, 100 * MS);
    let voters = [("10.0.0.1".to_string(), 1)].into();
    node.on_control_message(100 * MS, &other_node(), ControlMessage::BootstrapChosen { voters });
    run(&mut node, 100 * MS, 3000 * MS);
    assert!(node.leadership().is_leader);
    node
}

fn other_node() -> NodeId {
    NodeId { name: "10.0.0.2".into(), disk_id: 2 }
}

fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat { instance: "i".into(), address: "a:1".into(), sequence, ..Heartbeat::default() }
}

/// Runs the node from `from` to `to` with a disk that saves at once, and returns the backends that it queries.
fn run(node: &mut ControlNode, from: Time, to: Time) -> Vec<String> {
    let mut requested_ids = Vec::new();
    for now in (from..=to).step_by(10 * MS as usize) {
        node.advance(now, 0);
        loop {
            let effects = effects(node, now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::Persist { number, .. } => node.on_persisted(now, number, true),
                    Effect::Broadcast { message: ControlMessage::UnknownInstances { instances } } => {
                        requested_ids.extend(instances);
                    }
                    _ => {}
                }
            }
        }
    }
    requested_ids
}

/// Returns the pending effects, or, if there are none, those of the inputs that are ready.
fn effects(node: &mut ControlNode, now: Time) -> Vec<Effect> {
    let mut all = node.take_effects();
    if all.is_empty() && node.has_ready_input() {
        node.advance(now, 0);
        all = node.take_effects();
    }
    all
}

#[test]
fn silent_backend_that_another_node_hears_is_kept() {
    let mut node = leading_node();
    node.heartbeat(3000 * MS, 1, heartbeat(1));
    assert!(run(&mut node, 3000 * MS, 5400 * MS).is_empty());
    assert_eq!(run(&mut node, 5410 * MS, 6000 * MS), ["i"]);
    let response = ControlMessage::Heartbeats { changed: vec![heartbeat(3)], unchanged: vec![] };
    node.on_control_message(6000 * MS, &other_node(), response);
    run(&mut node, 6010 * MS, 8000 * MS);
    assert!(node.registry().get("i").is_some());
}

#[test]
fn backend_that_nobody_hears_expires_after_one_question() {
    let mut node = leading_node();
    node.heartbeat(3000 * MS, 1, heartbeat(1));
    assert_eq!(run(&mut node, 3000 * MS, 8000 * MS), ["i"]);
    assert!(node.registry().get("i").is_none());
}

#[test]
fn node_names_only_backends_that_it_heard_lately() {
    let mut node = leading_node();
    node.heartbeat(3000 * MS, 1, heartbeat(1));
    let forwarded_count = |node: &mut ControlNode, now: Time| {
        run(node, now, now);
        let request = ControlMessage::UnknownInstances { instances: vec!["i".into(), "other".into()] };
        node.on_control_message(now, &other_node(), request);
        let heartbeat_count = |effect: &Effect| match effect {
            Effect::SendToNode { message: ControlMessage::Heartbeats { changed, .. }, .. } => changed.len(),
            _ => 0,
        };
        node.take_effects().iter().map(heartbeat_count).sum::<usize>()
    };
    assert_eq!(forwarded_count(&mut node, 4000 * MS), 1);
    assert_eq!(
        forwarded_count(&mut node, 5000 * MS),
        0,
        "a backend without a recent heartbeat may have ended"
    );
}
