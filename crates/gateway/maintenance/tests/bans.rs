//! What the call says binds until the call back, whatever discovery says in between.

use interface::{Health, Name, Node};
use maintenance::{Bans, NeverListed, MAX_NAMES};
use std::collections::BTreeMap;

fn bans(names: &[&str]) -> Bans {
    let mut bans = Bans::default();
    bans.record_names(&names.iter().map(|n| Name::from(*n)).collect::<Vec<_>>());
    bans
}

fn laid(bans: &Bans, health: Health, since: u64) -> Node {
    let mut node = Node { since, ..Node::new("s-1", health) };
    bans.apply_to(&mut node);
    node
}

#[test]
fn a_server_that_no_list_named_is_a_no_either_way() {
    let mut b = bans(&["s-1"]);
    assert_eq!(b.ban(1, "s-2"), Err(NeverListed));
    assert_eq!(b.unban(1, "s-2"), Err(NeverListed));
    assert_eq!(b.banned().count(), 0);
}

#[test]
fn one_call_back_ends_any_number_of_calls_out() {
    let mut b = bans(&["s-1"]);
    assert_eq!([b.ban(1, "s-1"), b.ban(2, "s-1"), b.ban(3, "s-1")], [Ok(true), Ok(false), Ok(false)]);
    assert_eq!([b.unban(4, "s-1"), b.unban(5, "s-1")], [Ok(true), Ok(false)]);
    assert!(!b.is_banned(&"s-1".into()));
}

#[test]
fn no_word_of_discovery_lifts_a_ban() {
    let mut b = bans(&["s-1"]);
    b.ban(100, "s-1").unwrap();
    for since in [0, 50, 100, 500] {
        assert_eq!(laid(&b, Health::Up, since).health, Health::Draining);
    }
    // It left the list, and many others came and went.
    let others: Vec<Name> = (0..=MAX_NAMES).map(|n| format!("t-{n}").as_str().into()).collect();
    b.record_names(&others);
    b.sweep(|_| false);
    assert_eq!(laid(&b, Health::Up, 900).health, Health::Draining);
    assert_eq!(b.unban(1000, "s-1"), Ok(true), "it can still be put back");
    assert_eq!(b.ban(1000, "t-0"), Err(NeverListed), "past the stated number the absent are forgotten");
}

#[test]
fn what_drains_or_is_gone_stays_so_after_the_call_back() {
    let mut b = bans(&["s-1"]);
    b.ban(100, "s-1").unwrap();
    b.unban(200, "s-1").unwrap();
    assert_eq!(laid(&b, Health::Draining, 0).health, Health::Draining);
    assert_eq!(laid(&b, Health::Removed, 0).health, Health::Removed);
    assert_eq!(laid(&b, Health::Up, 0).health, Health::Up);
}

#[test]
fn a_server_put_back_counts_as_started_then_until_discovery_knows_better() {
    let mut b = bans(&["s-1"]);
    b.ban(100, "s-1").unwrap();
    b.unban(200, "s-1").unwrap();
    assert_eq!(laid(&b, Health::Up, 0).since, 200, "discovery has yet to hear of the restart");
    assert_eq!(laid(&b, Health::Up, 150).since, 150, "it has");
}

#[test]
fn what_the_other_process_holds_is_taken_over_whole() {
    let mut b = bans(&["s-1", "s-2"]);
    b.ban(100, "s-1").unwrap();
    let other = BTreeMap::from([("s-2".into(), 90), ("s-9".into(), 95)]);
    let changed = b.adopt(120, &other);
    assert_eq!(changed, ["s-1", "s-2", "s-9"].map(Name::from));
    assert!(!b.is_banned(&"s-1".into()) && b.is_banned(&"s-2".into()));
    assert_eq!(laid(&b, Health::Up, 0).since, 120);
    assert_eq!(b.unban(130, "s-9"), Ok(true), "though no list named it here");
    assert!(b.adopt(140, &BTreeMap::from([("s-2".into(), 90)])).is_empty());
}
