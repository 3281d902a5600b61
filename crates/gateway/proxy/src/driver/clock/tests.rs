use super::*;

/// Discovery reports a backend's start in Unix milliseconds, and the module compares it with its own clock.
#[test]
fn the_clock_is_unix_time() {
    let clock = Clock::new();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as Time;
    let now = Instant::now();
    assert!(clock.time(now).abs_diff(unix) < 1_000_000_000);
    assert_eq!(clock.instant(clock.time(now)), now);
}
