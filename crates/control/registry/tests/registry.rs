use registry::{Heartbeat, HeartbeatOutcome, Time, ZoneRegistry};

const S: Time = 1_000_000_000;

fn heartbeat(id: &str, address: &str, sequence: u64) -> Heartbeat {
    Heartbeat { instance: id.into(), address: address.into(), sequence, ..Heartbeat::default() }
}

#[test]
fn stale_heartbeat_is_ignored_and_draining_is_final() {
    let mut registry = ZoneRegistry::new(S, 0);
    assert_eq!(registry.on_heartbeat(0, heartbeat("a", "x", 1)), HeartbeatOutcome::New);
    let draining = Heartbeat { draining: true, ..heartbeat("a", "x", 4) };
    assert_eq!(registry.on_heartbeat(S, draining), HeartbeatOutcome::Changed);
    assert_eq!(registry.on_heartbeat(S, heartbeat("a", "x", 3)), HeartbeatOutcome::Stale);
    assert_eq!(registry.on_heartbeat(S, heartbeat("a", "x", 5)), HeartbeatOutcome::Unchanged);
    assert!(registry.get("a").unwrap().draining);
}

#[test]
fn new_backend_at_an_address_replaces_the_old_one() {
    let mut registry = ZoneRegistry::new(S, 0);
    registry.on_heartbeat(0, heartbeat("a", "x", 9));
    assert_eq!(registry.on_heartbeat(S, heartbeat("b", "x", 1)), HeartbeatOutcome::New);
    assert_eq!(registry.heartbeats().map(|heartbeat| heartbeat.instance.as_str()).collect::<Vec<_>>(), ["b"]);
}

/// `simulation`, seed 4119: a control node reported a backend to another node long after the backend's last heartbeat.
/// The other node then took the backend that used the address by that time to have ended.
#[test]
fn only_recently_alive_backends_are_reported_to_other_nodes() {
    let mut registry = ZoneRegistry::new(S, 0);
    registry.on_heartbeat(0, heartbeat("a", "x", 1));
    registry.on_heartbeat(0, heartbeat("b", "y", 1));
    registry.record_direct_heartbeat(0, "a");
    let recently_alive = |registry: &ZoneRegistry, now| {
        registry.recently_alive(now).map(|heartbeat| heartbeat.instance.clone()).collect::<Vec<_>>()
    };
    assert_eq!(recently_alive(&registry, S), ["a"], "the other's heartbeat was only forwarded");
    registry.restart_expiry_timers(2 * S);
    assert!(recently_alive(&registry, 2 * S).is_empty(), "its timer is restarted, but it may have ended");
    registry.on_forwarded_heartbeat(2 * S, "b", 2);
    assert_eq!(recently_alive(&registry, 2 * S), ["b"]);
}

#[test]
fn silent_backend_expires_and_young_registry_is_incomplete() {
    let mut registry = ZoneRegistry::new(S, 10 * S);
    registry.on_heartbeat(10 * S, heartbeat("a", "x", 1));
    registry.on_heartbeat(10 * S, heartbeat("b", "y", 1));
    assert!(!registry.is_complete(12 * S) && registry.is_complete(14 * S));
    assert!(
        registry.on_forwarded_heartbeat(13 * S, "b", 2) && !registry.on_forwarded_heartbeat(13 * S, "c", 2)
    );
    assert_eq!(registry.expire_stale(14 * S), ["a"]);
    assert_eq!(registry.heartbeats().count(), 1);
}

#[test]
fn backend_silent_while_isolated_does_not_expire() {
    let mut registry = ZoneRegistry::new(S, 0);
    registry.on_heartbeat(0, heartbeat("a", "x", 1));
    // The node was isolated or frozen for twenty seconds.
    registry.restart_expiry_timers(20 * S);
    assert_eq!(registry.expire_stale(20 * S), Vec::<String>::new());
    assert!(!registry.is_complete(20 * S), "heartbeats that other nodes received meanwhile are unknown here");
    assert_eq!(registry.expire_stale(23 * S), Vec::<String>::new());
    assert_eq!(registry.expire_stale(24 * S), ["a"], "after a full timeout since the restart");
    assert!(registry.is_complete(24 * S));
}

#[test]
fn silent_backend_is_suspected_once_before_it_expires() {
    let mut registry = ZoneRegistry::new(S, 0);
    registry.on_heartbeat(0, heartbeat("a", "x", 1));
    assert!(registry.take_suspects(2 * S).is_empty());
    assert_eq!(registry.take_suspects(5 * S / 2), ["a"]);
    assert!(registry.take_suspects(3 * S).is_empty(), "already returned");
    registry.on_heartbeat(3 * S, heartbeat("a", "x", 1));
    assert!(registry.expire_stale(6 * S).is_empty(), "another node forwarded a heartbeat");
    assert_eq!(registry.take_suspects(6 * S), ["a"]);
    assert_eq!(registry.expire_stale(13 * S / 2), ["a"]);
}
