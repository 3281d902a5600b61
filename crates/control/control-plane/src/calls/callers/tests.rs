use super::{Caller, Callers, MAX_CALLERS, MAX_CLOSING};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

async fn is_evicted(caller: &Caller) -> bool {
    timeout(Duration::ZERO, caller.evicted()).await.is_ok()
}

fn admit_maximum(callers: &Rc<Callers>, now: Instant) -> Vec<Caller> {
    (0..MAX_CALLERS).map(|_| callers.admit(now).expect("below the limit")).collect()
}

#[tokio::test]
async fn longest_idle_caller_is_evicted() {
    let (callers, now) = (Rc::new(Callers::default()), Instant::now());
    let mut admitted = admit_maximum(&callers, now);
    admitted[0].begin_request();
    admitted[1].begin_request();
    admitted[1].end_request(now + Duration::from_secs(1));
    admitted.push(callers.admit(now).expect("an idle caller is evicted"));
    assert!(!is_evicted(&admitted[0]).await, "its request is in progress");
    assert!(!is_evicted(&admitted[1]).await, "it became idle later than the others");
    assert!(is_evicted(&admitted[2]).await);
    admitted.remove(2);
    assert_eq!(callers.closing.get(), 0);
}

#[test]
fn busy_callers_are_not_evicted_and_closing_connections_are_bounded() {
    let (callers, now) = (Rc::new(Callers::default()), Instant::now());
    let mut admitted = admit_maximum(&callers, now);
    for _ in 0..MAX_CLOSING {
        admitted.push(callers.admit(now).expect("an idle caller is evicted"));
    }
    assert!(callers.admit(now).is_none(), "the limit on closing connections is reached");
    admitted.drain(..MAX_CLOSING);
    admitted.iter().for_each(Caller::begin_request);
    assert!(callers.admit(now).is_none(), "every caller has a request in progress");
    admitted.pop();
    assert!(callers.admit(now).is_some());
}
