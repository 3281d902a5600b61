//! Bootstrap: the seeds choose a single voter set at the first start, despite message loss and a stopping seed.

use consensus::{Bootstrap, BootstrapMessage, NodeId, VoterSet};
use fastrand::Rng;
use std::collections::BTreeSet;

fn id(name: &str) -> NodeId {
    NodeId { name: name.into(), disk_id: 1 }
}

#[test]
fn bootstrap_chooses_one_voter_set_despite_loss_and_restarts() {
    let names = ["a", "b", "c"];
    let mut chosen_runs = 0;
    for seed in 0..3000 {
        let mut rng = Rng::with_seed(seed);
        let new = |name: &str| Some(Bootstrap::new(name, names.map(String::from)));
        let mut seeds = names.map(new);
        let mut in_flight: Vec<(usize, String, BootstrapMessage)> = Vec::new();
        let mut chosen: BTreeSet<VoterSet> = BTreeSet::new();
        let mut stop_budget = 2;
        for _ in 0..120 {
            let n = rng.usize(..3);
            let sent_messages = if rng.u8(..12) == 0 {
                // Each seed knows other nodes and proposes another set.
                let mut voters = VoterSet::from([(names[n].to_string(), 1)]);
                voters.extend((rng.bool()).then(|| (format!("x{}", rng.u8(..3)), 2)));
                seeds[n].as_mut().map(|s| s.propose(voters))
            } else if rng.u16(..200) == 0 && stop_budget > 1 {
                // The seed stops, at most one in a run. A restarted seed does not take part again.
                stop_budget -= 1;
                seeds[n] = None;
                None
            } else if !in_flight.is_empty() {
                let index = rng.usize(..in_flight.len());
                let (from, to, message) = in_flight[index].clone();
                if rng.u8(..10) > 0 {
                    in_flight.swap_remove(index);
                }
                let to = names.iter().position(|name| *name == to).expect("unknown seed");
                let lost = rng.u8(..8) == 0;
                let responses =
                    seeds[to].as_mut().filter(|_| !lost).map(|s| s.on_message(&id(names[from]), message));
                responses.map(|a| {
                    in_flight.extend(a.into_iter().map(|(recipient, response)| (to, recipient, response)));
                    Vec::new()
                })
            } else {
                None
            };
            in_flight.extend(sent_messages.into_iter().flatten().map(|(to, message)| (n, to, message)));
            chosen.extend(seeds.iter().flatten().filter_map(|s| s.chosen().cloned()));
            assert!(chosen.len() < 2, "seed {seed}: {chosen:?}");
        }
        chosen_runs += chosen.len();
    }
    assert!(chosen_runs > 1500, "only {chosen_runs} of 3000 runs chose a voter set");
}

#[test]
fn messages_of_non_seeds_are_ignored_and_a_single_seed_bootstraps() {
    let mut single_seed = Bootstrap::new("a", ["a".to_string()]);
    let voters = VoterSet::from([("a".to_string(), 1)]);
    assert!(single_seed.propose(voters.clone()).is_empty());
    assert_eq!(single_seed.chosen(), Some(&voters));
    let mut seed = Bootstrap::new("a", ["a", "b", "c"].map(String::from));
    let sent_messages = seed.propose(voters);
    assert_eq!(sent_messages.len(), 2);
    let Some((_, BootstrapMessage::Prepare { ballot })) = sent_messages.into_iter().next() else {
        panic!("expected a Prepare message")
    };
    let promise = BootstrapMessage::Promise { ballot: ballot.clone(), accepted: None };
    assert!(seed.on_message(&id("x"), promise.clone()).is_empty());
    assert!(!seed.on_message(&id("b"), promise).is_empty());
    seed.on_message(&id("x"), BootstrapMessage::Accepted { ballot: ballot.clone() });
    assert_eq!(seed.chosen(), None);
    seed.on_message(&id("c"), BootstrapMessage::Accepted { ballot });
    assert!(seed.chosen().is_some());
}
