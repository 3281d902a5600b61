use handover::{read, write, Input, InvalidBans, Role, MAX_BYTES};
use std::collections::BTreeMap;

#[test]
fn two_processes_never_exceed_the_limit_of_one_gateway() {
    for limit in [1, 344, 984] {
        let (old, new) = (Role::initial(false).after(Input::ShutdownRequested), Role::initial(true));
        assert!(old.share_of(limit) + new.share_of(limit) <= limit);
        assert_eq!(new.after(Input::OtherEnded).share_of(limit), limit, "alone again");
    }
}

#[test]
fn a_leaving_process_never_accepts_clients_again() {
    for role in [Role::Alone, Role::Joining] {
        assert!(role.accepts());
        assert!(!role.after(Input::ShutdownRequested).after(Input::OtherEnded).accepts());
    }
}

#[test]
fn bans_round_trip_and_a_truncated_text_is_an_error() {
    let bans = BTreeMap::from([("s-1".into(), 7), ("\"odd\"/name".into(), u64::MAX)]);
    let text = write(&bans);
    assert_eq!(read(text.as_bytes()), Ok(bans));
    for cut in 0..text.len() {
        assert!(matches!(read(&text.as_bytes()[..cut]), Err(InvalidBans::Malformed(_))), "cut at {cut}");
    }
    assert_eq!(read(br#"{"version":2,"out":{}}"#), Err(InvalidBans::UnsupportedVersion(2)));
    assert_eq!(read(&vec![b' '; MAX_BYTES + 1]), Err(InvalidBans::TooLong));
}
