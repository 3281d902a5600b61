use handover::{read, write, Input, InvalidBans, Role, MAX_BYTES};
use std::collections::BTreeMap;

#[test]
fn two_processes_never_have_more_than_one_gateway_may() {
    for whole in [1, 344, 984] {
        let (old, new) = (Role::initial(false).after(Input::ShutdownRequested), Role::initial(true));
        assert!(old.share_of(whole) + new.share_of(whole) <= whole);
        assert_eq!(new.after(Input::OtherEnded).share_of(whole), whole, "alone again");
    }
}

#[test]
fn who_is_told_to_end_takes_nobody_new_whatever_comes_after() {
    for role in [Role::Alone, Role::Joining] {
        assert!(role.accepts());
        assert!(!role.after(Input::ShutdownRequested).after(Input::OtherEnded).accepts());
    }
}

#[test]
fn bans_come_back_as_they_were_and_half_a_text_says_nothing() {
    let out = BTreeMap::from([("s-1".into(), 7), ("\"odd\"/name".into(), u64::MAX)]);
    let text = write(&out);
    assert_eq!(read(text.as_bytes()), Ok(out));
    for cut in 0..text.len() {
        assert!(matches!(read(&text.as_bytes()[..cut]), Err(InvalidBans::Unreadable(_))), "cut at {cut}");
    }
    assert_eq!(read(br#"{"version":2,"out":{}}"#), Err(InvalidBans::Version(2)));
    assert_eq!(read(&vec![b' '; MAX_BYTES + 1]), Err(InvalidBans::TooLong));
}
