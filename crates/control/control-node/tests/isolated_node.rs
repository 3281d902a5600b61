//! A control-plane node that is isolated from all others.

use consensus::{Message, MessageBody, NodeId, PersistedState, PreviousEntry};
use control_node::{ControlNode, Effect, NodeConfig, Reply, Time};
use messages::ControlMessage;
use registry::Heartbeat;
use trial::TenantTerms;

const MS: Time = 1_000_000;
const HEARTBEAT_INTERVAL: Time = 1000 * MS;

fn isolated_node() -> ControlNode {
    let me = NodeId { name: "10.0.0.1".into(), disk_id: 1 };
    let setup = NodeConfig {
        id: me,
        zone: "z".into(),
        can_vote: true,
        initial_start: true,
        seeds: vec!["10.0.0.1".into(), "10.0.0.2".into(), "10.0.0.3".into()],
        heartbeat_interval: HEARTBEAT_INTERVAL,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        seed: 7,
    };
    ControlNode::new(setup, PersistedState::default(), Vec::new(), 0)
}

/// What it wants done up to then, with a disk that works at once.
fn run(p: &mut ControlNode, from: Time, to: Time) -> Vec<Effect> {
    let (mut now, mut all) = (from, Vec::new());
    loop {
        for effect in p.take_effects() {
            if let Effect::Persist { number, .. } = effect {
                p.on_persisted(now, number, true);
            } else {
                all.push(effect);
            }
        }
        let due = p.next_due().max(now + MS);
        if !p.has_ready_input() && due > to {
            return all;
        }
        now = if p.has_ready_input() { now } else { due };
        p.advance(now, 0);
    }
}

fn answers(effects: &[Effect]) -> Vec<(u64, Reply)> {
    let answer = |e: &Effect| match e {
        Effect::Reply { call, reply } => Some((*call, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

#[test]
fn isolated_node_answers_every_call_in_time_and_acknowledges_nothing() {
    let mut p = isolated_node();
    run(&mut p, 0, 100 * MS);
    let heartbeat =
        Heartbeat { instance: "i".into(), address: "a:1".into(), sequence: 1, ..Heartbeat::default() };
    p.heartbeat(100 * MS, 1, heartbeat);
    p.deregister(100 * MS, 2, "i");
    p.replace_configuration(100 * MS, 3, b"{}".as_slice().into());
    p.read_configuration(100 * MS, 4);
    let later = |call| (call, Reply::Unavailable);
    assert_eq!(answers(&p.take_effects()), [later(1), later(2), later(3), later(4)]);
}

/// A leader tells it that it is in touch until 3 s; the backend has heartbeat last 1.4 s before, here, and elsewhere
/// from then on.
#[test]
fn isolated_node_expires_no_backend() {
    let mut p = isolated_node();
    run(&mut p, 0, 100 * MS);
    let leader = NodeId { name: "10.0.0.2".into(), disk_id: 2 };
    for now in (100..=3000).step_by(50).map(|ms| ms * MS) {
        let body = MessageBody::AppendEntries {
            previous: PreviousEntry::default(),
            entries: Vec::new(),
            commit_index: 0,
            round: now,
        };
        let message = Message { from: leader.clone(), to: p.id().clone(), term: 1, body };
        p.on_control_message(now, &leader, ControlMessage::Consensus(message));
        for effect in run(&mut p, now, now) {
            if let Effect::SendToNode { message: ControlMessage::ContactRequest { number }, .. } = effect {
                p.on_control_message(
                    now,
                    &leader,
                    ControlMessage::ContactResponse { number, age_ns: 0, commit_index: 0 },
                );
            }
        }
        if now == 1600 * MS {
            assert!(p.quorum_contact_age(now) < 200 * MS);
            let heartbeat = Heartbeat {
                instance: "i".into(),
                address: "a:1".into(),
                sequence: 1,
                ..Heartbeat::default()
            };
            p.heartbeat(now, 1, heartbeat);
        }
    }
    run(&mut p, 3000 * MS, 60_000 * MS);
    assert!(p.registry().get("i").is_some(), "others may have heard it all the time");
}

/// All seeds of its settings file are gone; its log names those who vote.
#[test]
fn node_knows_the_voters_of_its_log() {
    let mut stored = PersistedState { term: 3, ..PersistedState::default() };
    stored.snapshot.index = 4;
    stored.snapshot.term = 3;
    stored.snapshot.voters = [("10.0.0.1".to_string(), 1), ("10.0.7.7".to_string(), 2)].into();
    let setup = NodeConfig {
        id: NodeId { name: "10.0.0.1".into(), disk_id: 1 },
        zone: "z".into(),
        can_vote: true,
        initial_start: false,
        seeds: vec!["10.0.0.9".into()],
        heartbeat_interval: HEARTBEAT_INTERVAL,
        read_terms: |_| TenantTerms::default(),
        fallback_lifetime: quota::FALLBACK_LIFETIME,
        seed: 7,
    };
    let p = ControlNode::new(setup, stored, Vec::new(), 0);
    assert!(p.known_nodes().iter().any(|(name, _)| name == "10.0.7.7"));
}

/// Callers that come and go at once leave calls behind, which wait for their time.
#[test]
fn pending_calls_are_bounded() {
    let mut p = isolated_node();
    run(&mut p, 0, 100 * MS);
    let members = [("10.0.0.1".to_string(), 1)].into();
    let leader = NodeId { name: "10.0.0.2".into(), disk_id: 2 };
    p.on_control_message(100 * MS, &leader, ControlMessage::BootstrapChosen { voters: members });
    run(&mut p, 100 * MS, 3000 * MS);
    assert!(p.leadership().is_leader, "a sole voter");
    for call in 0..3000 {
        p.read_configuration(3000 * MS, call);
    }
    assert_eq!(answers(&p.take_effects()).len(), 3000 - 1024);
}
