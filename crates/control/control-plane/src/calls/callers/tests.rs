use super::{Caller, Callers, MAX_CALLERS, MAX_CLOSING};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

async fn is_evicted(caller: &Caller) -> bool {
    timeout(Duration::ZERO, caller.evicted()).await.is_ok()
}

fn full(callers: &Rc<Callers>, now: Instant) -> Vec<Caller> {
    (0..MAX_CALLERS).map(|_| callers.admit(now).expect("there is room")).collect()
}

#[tokio::test]
async fn caller_that_was_idle_for_the_longest_makes_room() {
    let (callers, now) = (Rc::new(Callers::default()), Instant::now());
    let mut admitted = full(&callers, now);
    admitted[0].begin_request();
    admitted[1].begin_request();
    admitted[1].end_request(now + Duration::from_secs(1));
    admitted.push(callers.admit(now).expect("an idle one makes room"));
    assert!(!is_evicted(&admitted[0]).await, "it is being answered");
    assert!(!is_evicted(&admitted[1]).await, "it was answered later than others");
    assert!(is_evicted(&admitted[2]).await);
    admitted.remove(2);
    assert_eq!(callers.closing.get(), 0);
}

#[test]
fn callers_that_are_being_answered_make_no_room_and_closing_ones_are_bounded() {
    let (callers, now) = (Rc::new(Callers::default()), Instant::now());
    let mut admitted = full(&callers, now);
    for _ in 0..MAX_CLOSING {
        admitted.push(callers.admit(now).expect("an idle one makes room"));
    }
    assert!(callers.admit(now).is_none(), "as many are closing as may");
    admitted.drain(..MAX_CLOSING);
    admitted.iter().for_each(Caller::begin_request);
    assert!(callers.admit(now).is_none(), "all are being answered");
    admitted.pop();
    assert!(callers.admit(now).is_some());
}
