use super::*;

#[test]
fn a_request_may_have_run_once_its_head_is_written_unless_backends_wait_for_the_full_request() {
    assert_eq!(
        (
            ExecutionStart::FullHead.byte_count(90, Some(10)),
            ExecutionStart::FullRequest.byte_count(90, Some(10))
        ),
        (90, 100)
    );
    assert_eq!(
        (ExecutionStart::FullHead.byte_count(90, None), ExecutionStart::FullRequest.byte_count(90, None)),
        (90, usize::MAX)
    );
}

#[test]
fn a_reset_of_an_idle_connection_narrows_the_idle_limit_for_a_while() {
    let mut idle_limit = IdleLimit::new(5000, 10_000, 50);
    assert_eq!(idle_limit.limit(7), 5000);
    idle_limit.on_reset(100, 320);
    assert_eq!(idle_limit.limit(10_099), 160);
    idle_limit.on_reset(200, 3000);
    assert_eq!(idle_limit.limit(300), 160, "the lowest limit counts");
    idle_limit.on_reset(300, 2);
    assert_eq!(idle_limit.limit(400), 50, "a reset after a short idle time is usually a crash");
    assert_eq!(idle_limit.limit(10_300), 5000);
}

#[test]
fn a_request_is_written_only_where_its_answer_cannot_be_confused_with_a_duplicate() {
    let mut upstream = Upstream::new(1, 0);
    upstream.begin_exchange();
    assert!(!upstream.may_carry(false, &[]), "it is busy");
    assert!(upstream.is_answer(Echo::Same) && !upstream.is_answer(Echo::Other));
    upstream.end_exchange(10, true);
    assert!(upstream.is_idle_for_less_than(15, 6) && !upstream.is_idle_for_less_than(16, 6));
    assert!(upstream.may_carry(true, &[2]) && !upstream.may_carry(false, &[1]));

    upstream.begin_exchange();
    assert!(!upstream.is_answer(Echo::Missing { is_rejection: false }));
    assert!(upstream.is_answer(Echo::Missing { is_rejection: true }));
    upstream.end_exchange(20, true);
    assert!(!upstream.may_carry(true, &[]) && upstream.may_carry(false, &[]));
    upstream.begin_exchange();
    assert!(upstream.is_answer(Echo::Same));
    upstream.end_exchange(30, true);
    assert!(upstream.may_carry(true, &[]));
    upstream.on_unexpected_bytes();
    assert!(
        upstream.is_closed() && !upstream.is_idle_for_less_than(30, 6) && !upstream.may_carry(false, &[])
    );
}
