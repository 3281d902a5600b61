//! A manual ban holds until it is ended, whatever discovery reports in between.

use interface::{Health, Name, Node};
use maintenance::{Bans, NeverListed, MAX_NAMES};
use std::collections::BTreeMap;

fn bans(names: &[&str]) -> Bans {
    let mut bans = Bans::default();
    bans.record_names(&names.iter().map(|n| Name::from(*n)).collect::<Vec<_>>());
    bans
}

fn listed_node(bans: &Bans, health: Health, since: u64) -> Node {
    let mut node = Node { since, ..Node::new("s-1", health) };
    bans.apply_to(&mut node);
    node
}

#[test]
fn a_server_that_no_list_named_can_be_neither_banned_nor_unbanned() {
    let mut b = bans(&["s-1"]);
    assert_eq!(b.ban(1, "s-2"), Err(NeverListed));
    assert_eq!(b.unban(1, "s-2"), Err(NeverListed));
    assert_eq!(b.banned().count(), 0);
}

#[test]
fn one_unban_ends_any_number_of_bans() {
    let mut b = bans(&["s-1"]);
    assert_eq!([b.ban(1, "s-1"), b.ban(2, "s-1"), b.ban(3, "s-1")], [Ok(true), Ok(false), Ok(false)]);
    assert_eq!([b.unban(4, "s-1"), b.unban(5, "s-1")], [Ok(true), Ok(false)]);
    assert!(!b.is_banned(&"s-1".into()));
}

#[test]
fn no_update_from_discovery_lifts_a_ban() {
    let mut b = bans(&["s-1"]);
    b.ban(100, "s-1").unwrap();
    for since in [0, 50, 100, 500] {
        assert_eq!(listed_node(&b, Health::Up, since).health, Health::Draining);
    }
    // The server left the list, and many others were listed and removed.
    let others: Vec<Name> = (0..=MAX_NAMES).map(|n| format!("t-{n}").as_str().into()).collect();
    b.record_names(&others);
    b.sweep(|_| false);
    assert_eq!(listed_node(&b, Health::Up, 900).health, Health::Draining);
    assert_eq!(b.unban(1000, "s-1"), Ok(true), "it can still be unbanned");
    assert_eq!(
        b.ban(1000, "t-0"),
        Err(NeverListed),
        "beyond MAX_NAMES the names of unlisted servers are forgotten"
    );
}

#[test]
fn a_draining_or_removed_server_stays_so_after_the_unban() {
    let mut b = bans(&["s-1"]);
    b.ban(100, "s-1").unwrap();
    b.unban(200, "s-1").unwrap();
    assert_eq!(listed_node(&b, Health::Draining, 0).health, Health::Draining);
    assert_eq!(listed_node(&b, Health::Removed, 0).health, Health::Removed);
    assert_eq!(listed_node(&b, Health::Up, 0).health, Health::Up);
}

#[test]
fn an_unbanned_server_counts_as_started_then_until_discovery_reports_a_later_start() {
    let mut b = bans(&["s-1"]);
    b.ban(100, "s-1").unwrap();
    b.unban(200, "s-1").unwrap();
    assert_eq!(listed_node(&b, Health::Up, 0).since, 200, "discovery has not reported the restart yet");
    assert_eq!(listed_node(&b, Health::Up, 150).since, 150, "discovery has reported it");
}

#[test]
fn the_bans_of_the_other_process_are_adopted_entirely() {
    let mut b = bans(&["s-1", "s-2"]);
    b.ban(100, "s-1").unwrap();
    let other = BTreeMap::from([("s-2".into(), 90), ("s-9".into(), 95)]);
    let changed = b.adopt(120, &other);
    assert_eq!(changed, ["s-1", "s-2", "s-9"].map(Name::from));
    assert!(!b.is_banned(&"s-1".into()) && b.is_banned(&"s-2".into()));
    assert_eq!(listed_node(&b, Health::Up, 0).since, 120);
    assert_eq!(b.unban(130, "s-9"), Ok(true), "although no list named it here");
    assert!(b.adopt(140, &BTreeMap::from([("s-2".into(), 90)])).is_empty());
}
