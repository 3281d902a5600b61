use handover::{read, write, Garbled, Input, Role, LONGEST};
use std::collections::BTreeMap;

#[test]
fn two_processes_never_have_more_than_one_gateway_may() {
    for whole in [1, 344, 984] {
        let (old, new) = (Role::first(false).after(Input::Told), Role::first(true));
        assert!(old.part(whole) + new.part(whole) <= whole);
        assert_eq!(new.after(Input::OtherEnded).part(whole), whole, "alone again");
    }
}

#[test]
fn who_is_told_to_end_takes_nobody_new_whatever_comes_after() {
    for role in [Role::Alone, Role::Joining] {
        assert!(role.accepts());
        assert!(!role.after(Input::Told).after(Input::OtherEnded).accepts());
    }
}

#[test]
fn bans_come_back_as_they_were_and_half_a_text_says_nothing() {
    let out = BTreeMap::from([("s-1".into(), 7), ("\"odd\"/name".into(), u64::MAX)]);
    let text = write(&out);
    assert_eq!(read(text.as_bytes()), Ok(out));
    for cut in 0..text.len() {
        assert!(matches!(read(&text.as_bytes()[..cut]), Err(Garbled::Unreadable(_))), "cut at {cut}");
    }
    assert_eq!(read(br#"{"version":2,"out":{}}"#), Err(Garbled::Version(2)));
    assert_eq!(read(&vec![b' '; LONGEST + 1]), Err(Garbled::TooLong));
}
