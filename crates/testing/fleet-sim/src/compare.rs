//! Compares two sets of rows, paired by parameters and seed, so that "no worse" is a statistical statement.

use crate::experiment::{Row, FIGURES};
use crate::statistics::{estimate, Estimate};
use std::collections::BTreeMap;

/// Paired difference of one figure: second minus first.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub figure: &'static str,
    pub first: f64,
    pub second: f64,
    pub change: Estimate,
    /// Whether the whole interval lies on the worse side of zero by more than the given margin.
    pub worse: bool,
}

/// Compares every figure over the runs present in both sets, ignoring the arm. `margin` is the fraction of
/// the first set's mean by which the second may be worse without being reported.
///
/// # Errors
/// Returns an error if the sets have no run in common, or if one set contains a run twice.
pub fn compare(first: &[&Row], second: &[&Row], margin: f64) -> Result<Vec<Difference>, String> {
    let index = |rows: &[&Row]| {
        let mut index: BTreeMap<(BTreeMap<String, String>, u64), Row> = BTreeMap::new();
        for row in rows {
            let key = (row.point.clone(), row.seed);
            if index.insert(key, (*row).clone()).is_some() {
                return Err(format!("seed {} occurs twice: select one arm of each set", row.seed));
            }
        }
        Ok(index)
    };
    let (a, b) = (index(first)?, index(second)?);
    let pairs: Vec<(&Row, &Row)> = a.iter().filter_map(|(key, row)| Some((row, b.get(key)?))).collect();
    if pairs.is_empty() {
        return Err("the two sets have no run in common".into());
    }
    let difference = |(figure, _, more): &(&'static str, &str, bool)| {
        let value = |row: &Row| row.figures.get(*figure).copied().unwrap_or(0.0);
        let change: Vec<f64> = pairs.iter().map(|(a, b)| value(b) - value(a)).collect();
        let change = estimate(&change);
        let count = pairs.len() as f64;
        let first = pairs.iter().map(|(a, _)| value(a)).sum::<f64>() / count;
        let second = pairs.iter().map(|(_, b)| value(b)).sum::<f64>() / count;
        let allowed = margin * first.abs();
        let worse = if *more { change.high < -allowed } else { change.low > allowed };
        Difference { figure, first, second, change, worse }
    };
    Ok(FIGURES.iter().map(difference).collect())
}

#[cfg(test)]
mod tests;
