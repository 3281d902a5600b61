//! Seeds agree on who votes at the first start, whatever is lost and whoever ends.

use consensus::{Bootstrap, BootstrapMessage, NodeId, VoterSet};
use fastrand::Rng;
use std::collections::BTreeSet;

fn id(name: &str) -> NodeId {
    NodeId { name: name.into(), disk_id: 1 }
}

#[test]
fn bootstrap_chooses_one_voter_set_despite_loss_and_restarts() {
    let names = ["a", "b", "c"];
    let mut ends = 0;
    for seed in 0..3000 {
        let mut rng = Rng::with_seed(seed);
        let new = |name: &str| Some(Bootstrap::new(name, names.map(String::from)));
        let mut seeds = names.map(new);
        let mut in_flight: Vec<(usize, String, BootstrapMessage)> = Vec::new();
        let mut committed: BTreeSet<VoterSet> = BTreeSet::new();
        let mut left = 2;
        for _ in 0..120 {
            let n = rng.usize(..3);
            let sent_messages = if rng.u8(..12) == 0 {
                // Each has heard of others.
                let mut members = VoterSet::from([(names[n].to_string(), 1)]);
                members.extend((rng.bool()).then(|| (format!("x{}", rng.u8(..3)), 2)));
                seeds[n].as_mut().map(|s| s.propose(members))
            } else if rng.u16(..200) == 0 && left > 1 {
                // It ends, and begins again as nobody's seed.
                left -= 1;
                seeds[n] = None;
                None
            } else if !in_flight.is_empty() {
                let at = rng.usize(..in_flight.len());
                let (from, to, what) = in_flight[at].clone();
                if rng.u8(..10) > 0 {
                    in_flight.swap_remove(at);
                }
                let to = names.iter().position(|name| *name == to).expect("a seed");
                let lost = rng.u8(..8) == 0;
                let answers =
                    seeds[to].as_mut().filter(|_| !lost).map(|s| s.on_message(&id(names[from]), what));
                answers.map(|a| {
                    in_flight.extend(a.into_iter().map(|(back, sent_messages)| (to, back, sent_messages)));
                    Vec::new()
                })
            } else {
                None
            };
            in_flight.extend(sent_messages.into_iter().flatten().map(|(to, what)| (n, to, what)));
            committed.extend(seeds.iter().flatten().filter_map(|s| s.chosen().cloned()));
            assert!(committed.len() < 2, "seed {seed}: {committed:?}");
        }
        ends += committed.len();
    }
    assert!(ends > 1500, "most come to an end: {ends}");
}

#[test]
fn messages_of_non_seeds_are_ignored_and_a_single_seed_bootstraps() {
    let mut alone = Bootstrap::new("a", ["a".to_string()]);
    let members = VoterSet::from([("a".to_string(), 1)]);
    assert!(alone.propose(members.clone()).is_empty());
    assert_eq!(alone.chosen(), Some(&members));
    let mut one = Bootstrap::new("a", ["a", "b", "c"].map(String::from));
    let sent_messages = one.propose(members);
    assert_eq!(sent_messages.len(), 2);
    let Some((_, BootstrapMessage::Prepare { ballot })) = sent_messages.into_iter().next() else {
        panic!("it prepares")
    };
    let promise = BootstrapMessage::Promise { ballot: ballot.clone(), accepted: None };
    assert!(one.on_message(&id("x"), promise.clone()).is_empty());
    assert!(!one.on_message(&id("b"), promise).is_empty());
    one.on_message(&id("x"), BootstrapMessage::Accepted { ballot: ballot.clone() });
    assert_eq!(one.chosen(), None);
    one.on_message(&id("c"), BootstrapMessage::Accepted { ballot });
    assert!(one.chosen().is_some());
}
