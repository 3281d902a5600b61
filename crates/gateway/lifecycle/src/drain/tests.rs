use super::*;

const MS: Time = 1_000_000;

#[test]
fn a_request_in_the_accept_window_has_the_maximum_timeout_of_the_settings() {
    for max_deadline in [400 * MS, 2500 * MS, 3000 * MS, 4655 * MS] {
        let drain = Drain::new(7000 * MS, max_deadline);
        for after_ms in [0, 171, 400, 500] {
            let now = 7000 * MS + after_ms * MS;
            assert_eq!(
                drain.wait(now, max_deadline),
                max_deadline,
                "{after_ms} ms after the shutdown request"
            );
            assert!(now + max_deadline < drain.end());
        }
    }
}

#[test]
fn a_drain_ends_after_its_max_duration_however_long_requests_may_wait() {
    assert_eq!(Drain::with_limits(MS, 2600 * MS, 10_000 * MS, 5500 * MS).end(), 5501 * MS);
    assert_eq!(Drain::with_limits(0, 2600 * MS, 1500 * MS, 5500 * MS).end(), 4200 * MS);
}

#[test]
fn a_request_completed_after_the_window_is_answered_before_the_end() {
    let drain = Drain::new(0, 2500 * MS);
    assert_eq!(drain.end(), 3100 * MS);
    assert_eq!(drain.wait(1000 * MS, 2500 * MS), 2050 * MS);
    assert_eq!(drain.wait(1000 * MS, 300 * MS), 300 * MS, "no longer than its client waits");
    assert_eq!(drain.wait(3080 * MS, 300 * MS), 1, "at once");
}

/// Guards against connections that begin so late that the close of the listener resets them, and against a window that is
/// shorter than a handshake.
#[test]
fn no_connection_begins_in_the_last_moments_of_the_window() {
    assert_eq!(handshake_window(ACCEPT_WINDOW), ACCEPT_WINDOW - HANDSHAKE_TIME);
    assert_eq!(handshake_window(HANDSHAKE_TIME / 2), 0);
}
