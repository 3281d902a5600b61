use super::*;

fn rows(goodput: impl Fn(u64) -> f64) -> Vec<Row> {
    let row = |seed| Row {
        experiment: "t".into(),
        arm: "a".into(),
        point: BTreeMap::new(),
        seed,
        figures: BTreeMap::from([("goodput".into(), goodput(seed)), ("p99_ms".into(), 100.0)]),
        broken: None,
        digest: String::new(),
        latency_ms: Vec::new(),
        seconds: Vec::new(),
    };
    (0..30).map(row).collect()
}

fn worse(a: &[Row], b: &[Row], margin: f64) -> bool {
    let all = compare(&a.iter().collect::<Vec<_>>(), &b.iter().collect::<Vec<_>>(), margin).unwrap();
    all.iter().any(|d| d.worse)
}

/// Runs differ from each other by far more than the arms do; pairing still detects the difference.
#[test]
fn pairs_tell_a_small_loss_from_a_large_spread() {
    let base = rows(|s| 0.5 + 0.4 * (s as f64 * 0.7).sin());
    let lower = rows(|s| 0.49 + 0.4 * (s as f64 * 0.7).sin());
    let noise = rows(|s| 0.5 + 0.4 * (s as f64 * 0.7).sin() + 0.01 * (s as f64 * 2.1).cos());
    assert!(worse(&base, &lower, 0.0));
    assert!(!worse(&lower, &base, 0.0), "better is not worse");
    assert!(!worse(&base, &noise, 0.0), "noise is not worse");
    assert!(!worse(&base, &lower, 0.05), "within the margin");
}

#[test]
fn rows_that_cant_be_paired_are_refused() {
    let all = rows(|_| 0.5);
    let twice: Vec<&Row> = all.iter().chain(&all).collect();
    assert!(compare(&twice, &twice, 0.0).is_err());
    assert!(compare(&all.iter().collect::<Vec<_>>(), &[], 0.0).is_err());
}
