use super::*;

#[test]
fn an_interval_holds_the_mean_and_narrows_with_more_values() {
    let few: Vec<f64> = (0..8).map(f64::from).collect();
    let many: Vec<f64> = (0..800).map(|n| f64::from(n % 8)).collect();
    let (a, b) = (estimate(&few), estimate(&many));
    assert!((a.mean - 3.5).abs() < 1e-9 && a.low < 3.5 && a.high > 3.5);
    assert!(b.high - b.low < (a.high - a.low) / 5.0);
    assert_eq!(estimate(&few), a, "the same values give the same interval");
    assert_eq!(estimate(&[]).count, 0);
}

/// One in twenty intervals may miss a known mean; far more misses indicate a fault.
#[test]
fn intervals_cover_the_true_mean_about_as_often_as_they_say() {
    let mut rng = Rng::with_seed(3);
    let covers = (0..200)
        .filter(|_| {
            let e = estimate(&(0..40).map(|_| rng.f64()).collect::<Vec<_>>());
            (e.low..=e.high).contains(&0.5)
        })
        .count();
    assert!((176..=200).contains(&covers), "{covers} of 200");
}
