//! The module in a fleet of a hundred gateways: what is safe for one must be so for all of them together, and what
//! one gateway alone sees seldom must be learnt in time.

use granitehub::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const SEC: Time = 1_000_000_000;
const GATEWAYS: u32 = 100;

fn settings(me: u32) -> Settings {
    Settings {
        gateway_index: me,
        gateways: GATEWAYS,
        classes: vec![Class::new("quote", SEC, 4 * SEC, Effect::Safe, Group::All)],
        plans: vec![Plan::new("basic", 100.0, 200.0)],
        warm_up_time: 10 * SEC,
        initial_warmth: 0.2,
        tick: MS,
        ..Settings::default()
    }
}

struct Rig {
    g: Gateway,
    now: Time,
    next: u64,
}

impl Rig {
    fn new(me: u32, nodes: Vec<Node>) -> Rig {
        let g = Gateway::new(settings(me), u64::from(me) + 1, 100 * SEC).expect("settings in range");
        let mut rig = Rig { g, now: 100 * SEC, next: 1 };
        rig.publish(Event::Fleet { seq: 1, scope: Scope::Cached, nodes });
        rig
    }

    fn publish(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.g.handle(self.now, vec![event], &mut out);
        out
    }

    /// A request a fifth of a second after the last one. Where each of its attempts went, which `end` says how
    /// it went; it takes 50 ms.
    fn request(&mut self, end: &mut dyn FnMut(&str) -> Ending) -> Vec<String> {
        self.now += 200 * MS;
        let id = self.next;
        self.next += 1;
        let customer = format!("c{}", id % 7);
        let deadline = self.now + 4 * SEC;
        let request = Request { spread: GATEWAYS, ..Request::new(id, 0, 0, &customer, deadline, 1.0) };
        let mut actions = self.publish(Event::Request(request));
        let mut went = Vec::new();
        while let Some(server) = actions.iter().find_map(|a| match a {
            Action::Send { id: sent, server, .. } if *sent == id => Some(server.clone()),
            _ => None,
        }) {
            self.now += 50 * MS;
            let ending = end(&server);
            let attempt = went.len() as u32;
            went.push(server.to_string());
            actions = self.publish(Event::AttemptEnd(AttemptEnd {
                id,
                attempt,
                server,
                ending,
                last: ending == Ending::Success,
                elapsed: 50 * MS,
                settled: 0.0,
                metered: None,
                load: None,
            }));
        }
        went
    }
}

fn servers(n: usize) -> Vec<Node> {
    (0..n).map(|i| Node::new(&format!("s{i}"), Health::Up)).collect()
}

/// Sixty connections from each of a hundred gateways are more than servers hold, and a gateway of five requests a
/// second would use each once in twelve seconds: long after it was closed, and too seldom to learn anything of it.
#[test]
fn each_of_many_gateways_keeps_to_few_servers_and_all_are_kept_alike() {
    let mut keepers: BTreeMap<String, u32> = BTreeMap::new();
    for me in 0..GATEWAYS {
        let mut rig = Rig::new(me, servers(60));
        let used: BTreeSet<String> = (0..100).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
        assert!((4..=9).contains(&used.len()), "gateway {me} used {} servers", used.len());
        used.into_iter().for_each(|name| *keepers.entry(name).or_default() += 1);
    }
    assert_eq!(keepers.len(), 60, "some server is used by nobody");
    let (least, most) = (keepers.values().min(), keepers.values().max());
    assert!(least >= Some(&7) && most <= Some(&16), "kept by {least:?} to {most:?} of 100 gateways");
}

/// A gateway whose servers all fail must not be left to them: the next ones take their place.
#[test]
fn servers_that_fail_are_replaced_in_the_subset() {
    let mut rig = Rig::new(3, servers(60));
    let first: BTreeSet<String> = (0..60).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
    let mut down = |name: &str| if first.contains(name) { Ending::Unreachable } else { Ending::Success };
    (0..20).for_each(|_| drop(rig.request(&mut down)));
    let later: Vec<String> = (0..40).flat_map(|_| rig.request(&mut down)).collect();
    let failed = later.iter().filter(|name| first.contains(*name)).count();
    assert!(failed <= 4, "{failed} of {} attempts went to servers that are down", later.len());
}

/// A list whose servers are all down: every request is refused after three attempts at the most, and once they are
/// up again they are used again at once.
#[test]
fn with_all_servers_bad_requests_end_and_the_fleet_is_found_again() {
    let mut rig = Rig::new(3, servers(60));
    for _ in 0..100 {
        let went = rig.request(&mut |_| Ending::Unreachable);
        assert!((1..=3).contains(&went.len()), "{} attempts", went.len());
    }
    let served = (0..20).filter(|_| rig.request(&mut |_| Ending::Success).len() == 1).count();
    assert_eq!(served, 20, "served at the first attempt once the servers are up again");
}

/// After a zone came back cold a gateway that keeps to cold servers alone would send each of them a full part.
#[test]
fn among_cold_servers_a_gateway_keeps_to_more_of_them() {
    let cold = |i: usize| Node { since: 99 * SEC, ..Node::new(&format!("s{i}"), Health::Up) };
    let mut rig = Rig::new(3, (0..60).map(cold).collect());
    let used: BTreeSet<String> = (0..60).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
    assert!(used.len() > 12, "kept to {} cold servers", used.len());
}

/// After a release most servers are cold. They get their part at once, by warmth: not nothing while the warm ones
/// drown, and not more than twice it, far from what pushes them over.
#[test]
fn cold_servers_get_their_part_from_a_hundred_gateways_at_once() {
    let node = |i: usize| Node {
        // Warmth 0.52 to 0.64 for two in three, over the time that the test lasts.
        since: if i.is_multiple_of(3) { 0 } else { 96 * SEC },
        ..Node::new(&format!("s{i}"), Health::Up)
    };
    let (mut cold, mut warm) = (0.0, 0.0);
    for me in 0..GATEWAYS {
        let mut rig = Rig::new(me, (0..60).map(node).collect());
        for server in (0..6).flat_map(|_| rig.request(&mut |_| Ending::Success)) {
            let n: usize = server[1..].parse().expect("a number");
            *(if n.is_multiple_of(3) { &mut warm } else { &mut cold }) += 1.0;
        }
    }
    let (each_cold, each_warm) = (cold / 40.0, warm / 20.0);
    let part = each_cold / each_warm;
    assert!((0.35..0.9).contains(&part), "a cold server gets {part} of what a warm one does");
}

/// Few gateways see each server often enough: they use all of them.
#[test]
fn few_gateways_use_the_whole_fleet() {
    let mut rig = Rig::new(0, Vec::new());
    rig.g = Gateway::new(Settings { gateways: 4, ..settings(0) }, 5, 100 * SEC).expect("settings in range");
    rig.publish(Event::Fleet { seq: 1, scope: Scope::Cached, nodes: servers(17) });
    let used: BTreeSet<String> = (0..200).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
    assert_eq!(used.len(), 17);
}
