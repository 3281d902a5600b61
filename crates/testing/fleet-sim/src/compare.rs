//! One set of rows against another: paired by parameters and seed, so that "no worse" is a statement.

use crate::experiment::{Row, FIGURES};
use crate::statistics::{estimate, Estimate};
use std::collections::BTreeMap;

/// A figure's paired difference, second less first.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub figure: &'static str,
    pub first: f64,
    pub second: f64,
    pub by: Estimate,
    /// The whole interval lies on the worse side of nothing, by more than the stated margin.
    pub worse: bool,
}

/// Compares every figure over the runs that both have, arms left aside. `margin`: by how much of the first's mean
/// it may be worse all the same.
///
/// # Errors
/// If the two have no run in common, or one has a run twice.
pub fn compare(first: &[&Row], second: &[&Row], margin: f64) -> Result<Vec<Difference>, String> {
    let index = |rows: &[&Row]| {
        let mut index: BTreeMap<(BTreeMap<String, String>, u64), Row> = BTreeMap::new();
        for row in rows {
            let key = (row.point.clone(), row.seed);
            if index.insert(key, (*row).clone()).is_some() {
                return Err(format!("seed {} stands twice: name one arm of each", row.seed));
            }
        }
        Ok(index)
    };
    let (a, b) = (index(first)?, index(second)?);
    let pairs: Vec<(&Row, &Row)> = a.iter().filter_map(|(key, row)| Some((row, b.get(key)?))).collect();
    if pairs.is_empty() {
        return Err("no run of one has its like in the other".into());
    }
    let difference = |(figure, _, more): &(&'static str, &str, bool)| {
        let value = |row: &Row| row.figures.get(*figure).copied().unwrap_or(0.0);
        let by: Vec<f64> = pairs.iter().map(|(a, b)| value(b) - value(a)).collect();
        let by = estimate(&by);
        let count = pairs.len() as f64;
        let first = pairs.iter().map(|(a, _)| value(a)).sum::<f64>() / count;
        let second = pairs.iter().map(|(_, b)| value(b)).sum::<f64>() / count;
        let allowed = margin * first.abs();
        let worse = if *more { by.high < -allowed } else { by.low > allowed };
        Difference { figure, first, second, by, worse }
    };
    Ok(FIGURES.iter().map(difference).collect())
}

#[cfg(test)]
mod tests {
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

    /// Runs differ by far more than the arms do: pairs tell them apart all the same.
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
}
