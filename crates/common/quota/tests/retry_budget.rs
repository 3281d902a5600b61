//! The retries of all gateways together stay within the allowed ratio.

use quota::RetryBudget;

#[test]
fn gateways_together_stay_within_the_retry_ratio() {
    let (gateways, requests) = (13, 100);
    let mut spent = 0;
    for _ in 0..gateways {
        let mut budget = RetryBudget::new(0.2);
        for _ in 0..requests {
            budget.deposit(0);
            spent += u32::from(budget.withdraw(0));
        }
    }
    assert!(spent > 0 && f64::from(spent) <= 0.2 * f64::from(gateways * requests));
    let mut budget = RetryBudget::new(0.2);
    (0..1000).for_each(|_| budget.deposit(7));
    assert_eq!((0..10).filter(|_| budget.withdraw(7)).count(), 2, "at most two retries are held");
    assert!(!budget.withdraw(8), "each service has its own balance");
}
