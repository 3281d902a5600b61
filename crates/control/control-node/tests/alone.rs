//! A prompter that is cut off from all others.

use consensus::{Body, Id, Message, Stored};
use control_node::{Effect, Prompter, Reply, Setup, Time};
use messages::message::Peer;
use registry::Fact;
use trial::Terms;

const MS: Time = 1_000_000;
const BEAT: Time = 1000 * MS;

fn prompter() -> Prompter {
    let me = Id { name: "10.0.0.1".into(), disk: 1 };
    let setup = Setup {
        me,
        zone: "z".into(),
        votes: true,
        first: true,
        seeds: vec!["10.0.0.1".into(), "10.0.0.2".into(), "10.0.0.3".into()],
        beat: BEAT,
        terms: |_| Terms::default(),
        seed: 7,
    };
    Prompter::new(setup, Stored::default(), Vec::new(), 0)
}

/// What it wants done up to then, with a disk that works at once.
fn run(p: &mut Prompter, from: Time, to: Time) -> Vec<Effect> {
    let (mut now, mut all) = (from, Vec::new());
    loop {
        for effect in p.take_effects() {
            if let Effect::Write { number, .. } = effect {
                p.written(now, number, true);
            } else {
                all.push(effect);
            }
        }
        let due = p.next_due().max(now + MS);
        if !p.wants_work() && due > to {
            return all;
        }
        now = if p.wants_work() { now } else { due };
        p.work(now, 0);
    }
}

fn answers(effects: &[Effect]) -> Vec<(u64, Reply)> {
    let answer = |e: &Effect| match e {
        Effect::Answer { call, reply } => Some((*call, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

#[test]
fn each_call_is_answered_at_once_or_in_time_and_nothing_is_confirmed() {
    let mut p = prompter();
    run(&mut p, 0, 100 * MS);
    let fact = Fact { id: "i".into(), address: "a:1".into(), sequence: 1, ..Fact::default() };
    p.heartbeat(100 * MS, 1, fact);
    p.deregister(100 * MS, 2, "i");
    p.replace(100 * MS, 3, b"{}".as_slice().into());
    p.read(100 * MS, 4);
    let later = |call| (call, Reply::Later);
    assert_eq!(answers(&p.take_effects()), [later(1), later(2), later(3), later(4)]);
}

/// A leader tells it that it is in touch until 3 s; the backend has beat last 1.4 s before, here, and elsewhere from then on.
#[test]
fn it_ends_no_backend() {
    let mut p = prompter();
    run(&mut p, 0, 100 * MS);
    let leader = Id { name: "10.0.0.2".into(), disk: 2 };
    for now in (100..=3000).step_by(50).map(|ms| ms * MS) {
        let body = Body::Append { before: (0, 0), entries: Vec::new(), agreed: 0, round: now };
        let message = Message { from: leader.clone(), to: p.me().clone(), term: 1, body };
        p.hear(now, &leader, Peer::Agree(message));
        for effect in run(&mut p, now, now) {
            if let Effect::Tell { peer: Peer::Contact { number }, .. } = effect {
                p.hear(now, &leader, Peer::Contacted { number, age: 0, agreed: 0 });
            }
        }
        if now == 1600 * MS {
            assert!(p.untouched_for(now) < 200 * MS);
            let fact = Fact { id: "i".into(), address: "a:1".into(), sequence: 1, ..Fact::default() };
            p.heartbeat(now, 1, fact);
        }
    }
    run(&mut p, 3000 * MS, 60_000 * MS);
    assert!(p.cell().get("i").is_some(), "others may have heard it all the time");
}

/// All seeds of its settings file are gone; its log names those who vote.
#[test]
fn it_knows_the_voters_of_its_log() {
    let mut stored = Stored { term: 3, ..Stored::default() };
    stored.snapshot.place = 4;
    stored.snapshot.term = 3;
    stored.snapshot.members = [("10.0.0.1".to_string(), 1), ("10.0.7.7".to_string(), 2)].into();
    let setup = Setup {
        me: Id { name: "10.0.0.1".into(), disk: 1 },
        zone: "z".into(),
        votes: true,
        first: false,
        seeds: vec!["10.0.0.9".into()],
        beat: BEAT,
        terms: |_| Terms::default(),
        seed: 7,
    };
    let p = Prompter::new(setup, stored, Vec::new(), 0);
    assert!(p.prompters().iter().any(|(name, _)| name == "10.0.7.7"));
}

/// Callers that come and go at once leave calls behind, which wait for their time.
#[test]
fn what_waits_is_bounded_and_one_more_is_told_at_once() {
    let mut p = prompter();
    run(&mut p, 0, 100 * MS);
    let members = [("10.0.0.1".to_string(), 1)].into();
    let leader = Id { name: "10.0.0.2".into(), disk: 2 };
    p.hear(100 * MS, &leader, Peer::Found { members });
    run(&mut p, 100 * MS, 3000 * MS);
    assert!(p.duty().is_leader, "a sole voter");
    for call in 0..3000 {
        p.read(3000 * MS, call);
    }
    assert_eq!(answers(&p.take_effects()).len(), 3000 - 1024);
}
