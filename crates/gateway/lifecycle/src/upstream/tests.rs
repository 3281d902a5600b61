use super::*;

#[test]
fn a_request_may_have_run_from_the_heads_last_byte_on_unless_backends_wait_for_the_whole() {
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
fn what_was_forgotten_narrows_freshness_for_a_while() {
    let mut fresh = IdleLimit::new(5000, 10_000, 50);
    assert_eq!(fresh.limit(7), 5000);
    fresh.on_reset(100, 320);
    assert_eq!(fresh.limit(10_099), 160);
    fresh.on_reset(200, 3000);
    assert_eq!(fresh.limit(300), 160, "the shortest counts");
    fresh.on_reset(300, 2);
    assert_eq!(fresh.limit(400), 50, "a crash behind a busy one says little");
    assert_eq!(fresh.limit(10_300), 5000);
}

#[test]
fn a_request_goes_out_only_where_its_answer_can_be_told_from_a_second_copy() {
    let mut line = Upstream::new(1, 0);
    line.begin_exchange();
    assert!(!line.may_carry(false, &[]), "it is busy");
    assert!(line.is_answer(Echo::Same) && !line.is_answer(Echo::Other));
    line.end_exchange(10, true);
    assert!(line.is_idle_for_less_than(15, 6) && !line.is_idle_for_less_than(16, 6));
    assert!(line.may_carry(true, &[2]) && !line.may_carry(false, &[1]));

    line.begin_exchange();
    assert!(!line.is_answer(Echo::Missing { is_rejection: false }));
    assert!(line.is_answer(Echo::Missing { is_rejection: true }));
    line.end_exchange(20, true);
    assert!(!line.may_carry(true, &[]) && line.may_carry(false, &[]));
    line.begin_exchange();
    assert!(line.is_answer(Echo::Same));
    line.end_exchange(30, true);
    assert!(line.may_carry(true, &[]));
    line.on_unexpected_bytes();
    assert!(line.is_closed() && !line.is_idle_for_less_than(30, 6) && !line.may_carry(false, &[]));
}
