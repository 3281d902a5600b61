//! The decision module in a fleet of a hundred gateways: behaviour that is safe for one must be safe for all of them
//! together, and events that a single gateway sees rarely must still be learnt in time.

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

/// A gateway under test, with its clock and the next request id.
struct Rig {
    gateway: Gateway,
    now: Time,
    next_id: u64,
}

impl Rig {
    fn new(me: u32, nodes: Vec<Node>) -> Rig {
        let gateway = Gateway::new(settings(me), u64::from(me) + 1, 100 * SEC).expect("settings in range");
        let mut rig = Rig { gateway, now: 100 * SEC, next_id: 1 };
        rig.publish(Event::Fleet { seq: 1, scope: Scope::Cached, nodes });
        rig
    }

    fn publish(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, vec![event], &mut out);
        out
    }

    /// Sends a request 200 ms after the last one and returns the server of each attempt. An attempt takes 50 ms and ends
    /// as `ending_of` says for its server.
    fn request(&mut self, ending_of: &mut dyn FnMut(&str) -> Ending) -> Vec<String> {
        self.now += 200 * MS;
        let id = self.next_id;
        self.next_id += 1;
        let customer = format!("c{}", id % 7);
        let deadline = self.now + 4 * SEC;
        let request = Request { spread: GATEWAYS, ..Request::new(id, 0, 0, &customer, deadline, 1.0) };
        let mut actions = self.publish(Event::Request(request));
        let mut attempt_servers = Vec::new();
        while let Some(server) = actions.iter().find_map(|a| match a {
            Action::Send { id: sent, server, .. } if *sent == id => Some(server.clone()),
            _ => None,
        }) {
            self.now += 50 * MS;
            let ending = ending_of(&server);
            let attempt = attempt_servers.len() as u32;
            attempt_servers.push(server.to_string());
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
        attempt_servers
    }
}

fn servers(n: usize) -> Vec<Node> {
    (0..n).map(|i| Node::new(&format!("s{i}"), Health::Up)).collect()
}

/// Guards the subset: sixty connections from each of a hundred gateways are more than the servers hold, and a gateway
/// with five requests a second would use each connection once in twelve seconds, which is long after it was closed and
/// too rarely to learn anything about the server.
#[test]
fn each_of_many_gateways_uses_a_small_subset_and_servers_are_used_evenly() {
    let mut gateways_per_server: BTreeMap<String, u32> = BTreeMap::new();
    for me in 0..GATEWAYS {
        let mut rig = Rig::new(me, servers(60));
        let used_servers: BTreeSet<String> =
            (0..100).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
        assert!((4..=9).contains(&used_servers.len()), "gateway {me} used {} servers", used_servers.len());
        used_servers.into_iter().for_each(|name| *gateways_per_server.entry(name).or_default() += 1);
    }
    assert_eq!(gateways_per_server.len(), 60, "some server is used by nobody");
    let (fewest, most) = (gateways_per_server.values().min(), gateways_per_server.values().max());
    assert!(fewest >= Some(&7) && most <= Some(&16), "used by {fewest:?} to {most:?} of 100 gateways");
}

/// When all servers of a gateway's subset fail, the next ones replace them.
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

/// When all servers of the list are down, every request is refused after at most three attempts, and servers that are
/// up again are used at once.
#[test]
fn with_all_servers_down_requests_end_and_recovered_servers_are_used_at_once() {
    let mut rig = Rig::new(3, servers(60));
    for _ in 0..100 {
        let attempt_servers = rig.request(&mut |_| Ending::Unreachable);
        assert!((1..=3).contains(&attempt_servers.len()), "{} attempts", attempt_servers.len());
    }
    let served = (0..20).filter(|_| rig.request(&mut |_| Ending::Success).len() == 1).count();
    assert_eq!(served, 20, "served at the first attempt once the servers are up again");
}

/// After a zone came back cold, a gateway whose subset holds only cold servers would send each of them a full share.
#[test]
fn a_gateway_uses_a_larger_subset_of_cold_servers() {
    let cold = |i: usize| Node { since: 99 * SEC, ..Node::new(&format!("s{i}"), Health::Up) };
    let mut rig = Rig::new(3, (0..60).map(cold).collect());
    let used_servers: BTreeSet<String> =
        (0..60).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
    assert!(used_servers.len() > 12, "used only {} cold servers", used_servers.len());
}

/// After a release most servers are cold. They must get their share by warmth at once: not nothing while the warm ones
/// are overloaded, and not more than twice that share, far below what overloads them.
#[test]
fn cold_servers_get_a_share_by_warmth_from_a_hundred_gateways() {
    let node = |i: usize| Node {
        // Two in three have a warmth of 0.52 to 0.64 while the test runs.
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
    let ratio = each_cold / each_warm;
    assert!((0.35..0.9).contains(&ratio), "a cold server gets {ratio} of what a warm one does");
}

/// With few gateways each one uses every server often enough, so there is no subset.
#[test]
fn few_gateways_use_the_whole_fleet() {
    let mut rig = Rig::new(0, Vec::new());
    rig.gateway =
        Gateway::new(Settings { gateways: 4, ..settings(0) }, 5, 100 * SEC).expect("settings in range");
    rig.publish(Event::Fleet { seq: 1, scope: Scope::Cached, nodes: servers(17) });
    let used_servers: BTreeSet<String> =
        (0..200).flat_map(|_| rig.request(&mut |_| Ending::Success)).collect();
    assert_eq!(used_servers.len(), 17);
}
