//! Which prompter a gateway follows, and how far it takes its word. Stories that `rehearsal` told first.

use control_state::{Configuration, Sender, Steps, PART};
use messages::message::{Down, First, Up};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use subscription::{Effect, End, Follow, Setup, Time};

const MS: Time = 1_000_000;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn follow() -> Follow {
    Follow::new(Setup { name: "g".into(), zone: "z".into(), ip: IpAddr::from([10, 9, 0, 1]) })
}

fn pulse(contact: u64, touch_ms: u32, newest: u64) -> Down {
    let prompters = (1..=3).map(|n| (ip(n).to_string(), String::new())).collect();
    Down::Pulse { contact, touch_ms, newest, prompters }
}

fn begin(f: &mut Follow, now: Time, at: IpAddr) -> u64 {
    match f.begin(now, at, true) {
        First::Gateway { contact, .. } => contact,
        other => panic!("{other:?}"),
    }
}

fn said(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::Say(Up::Contact { number }) => Some(*number),
        _ => None,
    })
}

/// Seed 591. The second pulse was sent at 200 ms and is read by a gateway that has stood still for twenty seconds.
#[test]
fn a_pulse_proves_no_more_than_the_number_that_it_bears() {
    let mut f = follow();
    let first = begin(&mut f, 0, ip(1));
    let number = said(&f.hear(10 * MS, pulse(first, 5, 0), Vec::new)).expect("a number for the next");
    assert_eq!(f.touch().at(), None, "5 ms before it asked there was no gateway");
    f.hear(20_000 * MS, pulse(number, 5, 0), Vec::new);
    assert_eq!(f.touch().at(), Some(5 * MS));
    assert!(!f.touch().is_fresh(20_000 * MS) && !f.touch().is_ready(20_000 * MS));
    // One that was answered proves nothing again, nor does one that was never said.
    f.hear(20_000 * MS, pulse(number, 0, 0), Vec::new);
    f.hear(20_000 * MS, pulse(99, 0, 0), Vec::new);
    assert_eq!(f.touch().at(), Some(5 * MS));
}

#[test]
fn who_lacks_the_newest_configuration_is_not_fresh() {
    let mut f = follow();
    let first = begin(&mut f, 1000 * MS, ip(1));
    f.hear(1010 * MS, pulse(first, 5, 7), Vec::new);
    assert!(f.touch().is_ready(1020 * MS) && !f.touch().is_fresh(1020 * MS));
}

/// All processes were killed: whoever begins again holds nothing, and no prompter is in contact with a majority yet.
#[test]
fn who_holds_nothing_takes_what_is_on_its_way_from_whoever_has_it() {
    let mut f = follow();
    let first = begin(&mut f, 0, ip(1));
    let body = vec![7; 3 * PART];
    let agreed = Arc::new(Configuration { version: 5, place: 9, body });
    let (steps, mut sender) = (Steps::default(), Sender::new(0));
    let parts: Vec<_> = std::iter::from_fn(|| sender.part(&steps, Some(&agreed))).collect();
    for part in parts {
        f.hear(MS, Down::Configuration(part), Vec::new);
        let effects = f.hear(2 * MS, pulse(first, u32::MAX, 9), Vec::new);
        assert!(said(&effects).is_some(), "it stays");
    }
    sender.got(9, 2 * PART as u32);
    f.hear(3 * MS, Down::Configuration(sender.part(&steps, Some(&agreed)).expect("the rest")), Vec::new);
    assert_eq!(f.holds(), 9);
    let effects = f.hear(4 * MS, pulse(first, u32::MAX, 9), Vec::new);
    assert!(
        matches!(effects[..], [Effect::Leave(End::Stale)]),
        "now it looks for one that can prove it: {effects:?}"
    );
    assert!(!f.touch().is_fresh(5 * MS) && !f.touch().is_ready(5 * MS));
}

/// Seed 11763: a gateway in the middle of a long configuration left for its own zone's prompter, which was cut off, and began anew.
#[test]
fn nobody_leaves_for_a_nearer_one_in_the_middle_of_a_configuration() {
    let mut f = follow();
    let near = |contact| {
        let prompters = vec![(ip(1).to_string(), "z".into()), (ip(2).to_string(), String::new())];
        Down::Pulse { contact, touch_ms: 0, newest: 9, prompters }
    };
    let first = begin(&mut f, 0, ip(2));
    let agreed = Arc::new(Configuration { version: 5, place: 9, body: vec![7; PART + 1] });
    let (steps, mut sender) = (Steps::default(), Sender::new(0));
    f.hear(MS, Down::Configuration(sender.part(&steps, Some(&agreed)).expect("the first")), Vec::new);
    assert!(said(&f.hear(2 * MS, near(first), Vec::new)).is_some(), "it stays");
    f.hear(3 * MS, Down::Configuration(sender.part(&steps, Some(&agreed)).expect("the rest")), Vec::new);
    let effects = f.hear(4 * MS, near(first), Vec::new);
    assert!(matches!(effects[..], [Effect::Leave(End::Nearer)]), "{effects:?}");
}

/// Seed 3471: one that refuses is not dialled again and again while others have not been tried for long.
#[test]
fn where_none_answers_each_is_tried_in_turn() {
    let (mut f, seeds) = (follow(), [ip(1), ip(2), ip(3)]);
    let (mut now, mut tried) = (0, Vec::new());
    for _ in 0..40 {
        let (at, _) = f.next(now, &seeds, |_| 0).expect("one of three");
        tried.push(at);
        let (end, takes) = if at == ip(2) { (End::Refused, 1) } else { (End::Unheard, 200) };
        let began = now;
        now += takes * MS;
        f.ended(now, at, began, end);
        now += 50 * MS;
    }
    for three in tried[30..].windows(3) {
        assert_eq!(three.iter().collect::<BTreeSet<_>>().len(), 3, "{tried:?}");
    }
}

/// Seed 1543: a gateway was cut off from all; the first that it reaches again is a control machine that is cut off itself.
#[test]
fn who_reaches_a_prompter_without_a_majority_tries_those_that_it_could_not_reach_before() {
    let (mut f, seeds) = (follow(), [ip(1), ip(2), ip(3)]);
    let mut now = 0;
    for _ in 0..20 {
        let (at, _) = f.next(now, &seeds, |_| 0).expect("one of three");
        f.ended(now + 200 * MS, at, now, End::Unheard);
        now += 250 * MS;
    }
    let first = begin(&mut f, now, ip(1));
    let effects = f.hear(now + 5 * MS, pulse(first, 9000, 0), Vec::new);
    assert!(matches!(effects[..], [Effect::Leave(End::Stale)]), "{effects:?}");
    f.ended(now + 5 * MS, ip(1), now, End::Stale);
    let mut tried = BTreeSet::new();
    for _ in 0..2 {
        let (at, open) = f.next(now + 6 * MS, &seeds, |_| 0).expect("one of three");
        assert!(open, "at once");
        tried.insert(at);
        f.ended(now + 206 * MS, at, now + 6 * MS, End::Unheard);
    }
    assert_eq!(tried, [ip(2), ip(3)].into());
    // They are not there: the one that is, is better than none, and they are let be for as long as before.
    now += 300 * MS;
    let first = begin(&mut f, now, ip(1));
    let effects = f.hear(now + 5 * MS, pulse(first, 9300, 0), Vec::new);
    assert!(said(&effects).is_some(), "{effects:?}");
}
