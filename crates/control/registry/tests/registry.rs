use registry::{Heartbeat, HeartbeatOutcome, Time, ZoneRegistry};

const S: Time = 1_000_000_000;

fn heartbeat(id: &str, address: &str, sequence: u64) -> Heartbeat {
    Heartbeat { instance: id.into(), address: address.into(), sequence, ..Heartbeat::default() }
}

#[test]
fn stale_heartbeat_is_ignored_and_draining_is_final() {
    let mut replica = ZoneRegistry::new(S, 0);
    assert_eq!(replica.on_heartbeat(0, heartbeat("a", "x", 1)), HeartbeatOutcome::New);
    let draining = Heartbeat { draining: true, ..heartbeat("a", "x", 4) };
    assert_eq!(replica.on_heartbeat(S, draining), HeartbeatOutcome::Changed);
    assert_eq!(replica.on_heartbeat(S, heartbeat("a", "x", 3)), HeartbeatOutcome::Stale);
    assert_eq!(replica.on_heartbeat(S, heartbeat("a", "x", 5)), HeartbeatOutcome::Unchanged);
    assert!(replica.get("a").unwrap().draining);
}

#[test]
fn new_backend_at_an_address_replaces_the_old_one() {
    let mut replica = ZoneRegistry::new(S, 0);
    replica.on_heartbeat(0, heartbeat("a", "x", 9));
    assert_eq!(replica.on_heartbeat(S, heartbeat("b", "x", 1)), HeartbeatOutcome::New);
    assert_eq!(replica.heartbeats().map(|f| f.instance.as_str()).collect::<Vec<_>>(), ["b"]);
}

/// `simulation`, seed 4119: a control-plane node told another of a life that it had not heard for long, and the one
/// that stood at that address by then was taken for over.
#[test]
fn only_recently_alive_backends_are_told_to_others() {
    let mut replica = ZoneRegistry::new(S, 0);
    replica.on_heartbeat(0, heartbeat("a", "x", 1));
    replica.on_heartbeat(0, heartbeat("b", "y", 1));
    replica.record_direct_heartbeat(0, "a");
    let living = |replica: &ZoneRegistry, at| {
        replica.recently_alive(at).map(|f| f.instance.clone()).collect::<Vec<_>>()
    };
    assert_eq!(living(&replica, S), ["a"], "of the other there was only another's word");
    replica.restart_expiry_timers(2 * S);
    assert!(living(&replica, 2 * S).is_empty(), "its time begins anew, and yet it may have ended");
    replica.on_forwarded_heartbeat(2 * S, "b", 2);
    assert_eq!(living(&replica, 2 * S), ["b"]);
}

#[test]
fn silent_backend_expires_and_young_registry_is_incomplete() {
    let mut replica = ZoneRegistry::new(S, 10 * S);
    replica.on_heartbeat(10 * S, heartbeat("a", "x", 1));
    replica.on_heartbeat(10 * S, heartbeat("b", "y", 1));
    assert!(!replica.is_complete(12 * S) && replica.is_complete(14 * S));
    assert!(
        replica.on_forwarded_heartbeat(13 * S, "b", 2) && !replica.on_forwarded_heartbeat(13 * S, "c", 2)
    );
    assert_eq!(replica.expire_stale(14 * S), ["a"]);
    assert_eq!(replica.heartbeats().count(), 1);
}

#[test]
fn backend_silent_while_isolated_does_not_expire() {
    let mut replica = ZoneRegistry::new(S, 0);
    replica.on_heartbeat(0, heartbeat("a", "x", 1));
    // Cut off, or standing still, for twenty seconds.
    replica.restart_expiry_timers(20 * S);
    assert_eq!(replica.expire_stale(20 * S), Vec::<String>::new());
    assert!(!replica.is_complete(20 * S), "what others heard meanwhile is not known here");
    assert_eq!(replica.expire_stale(23 * S), Vec::<String>::new());
    assert_eq!(replica.expire_stale(24 * S), ["a"], "its time begins anew");
    assert!(replica.is_complete(24 * S));
}

#[test]
fn silent_backend_is_suspected_once_before_it_expires() {
    let mut replica = ZoneRegistry::new(S, 0);
    replica.on_heartbeat(0, heartbeat("a", "x", 1));
    assert!(replica.take_suspects(2 * S).is_empty());
    assert_eq!(replica.take_suspects(5 * S / 2), ["a"]);
    assert!(replica.take_suspects(3 * S).is_empty(), "it was named");
    replica.on_heartbeat(3 * S, heartbeat("a", "x", 1));
    assert!(replica.expire_stale(6 * S).is_empty(), "another node heard it");
    assert_eq!(replica.take_suspects(6 * S), ["a"]);
    assert_eq!(replica.expire_stale(13 * S / 2), ["a"]);
}
