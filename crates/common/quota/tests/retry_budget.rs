//! Retries of all gateways together stay within their ratio.

use quota::RetryBudget;

#[test]
fn gateways_together_stay_within_the_retry_ratio() {
    let (gateways, requests) = (13, 100);
    let mut spent = 0;
    for _ in 0..gateways {
        let mut tries = RetryBudget::new(0.2);
        for _ in 0..requests {
            tries.deposit(0);
            spent += u32::from(tries.withdraw(0));
        }
    }
    assert!(spent > 0 && f64::from(spent) <= 0.2 * f64::from(gateways * requests));
    let mut tries = RetryBudget::new(0.2);
    (0..1000).for_each(|_| tries.deposit(7));
    assert_eq!((0..10).filter(|_| tries.withdraw(7)).count(), 2, "no more than two are held");
    assert!(!tries.withdraw(8), "another service's are another's");
}
