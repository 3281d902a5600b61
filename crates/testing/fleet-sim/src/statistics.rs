//! Means with bootstrap confidence intervals (Efron 1979: percentile method), also used for paired
//! differences.

use fastrand::Rng;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 2000;
/// Confidence level: the fraction of resampled means inside the interval.
const CONFIDENCE: f64 = 0.95;

/// Mean of a sample, with the interval that contains 95% of the resampled means.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    /// Sample size.
    pub count: usize,
}

/// Returns the mean of these values with its interval. The same values yield the same interval.
pub fn estimate(values: &[f64]) -> Estimate {
    let count = values.len();
    if count == 0 {
        return Estimate::default();
    }
    let mean = |sum: f64| sum / count as f64;
    let mut rng = Rng::with_seed(count as u64);
    let mut draws: Vec<f64> =
        (0..RESAMPLES).map(|_| mean((0..count).map(|_| values[rng.usize(0..count)]).sum())).collect();
    draws.sort_by(f64::total_cmp);
    let quantile = |part: f64| draws[((RESAMPLES - 1) as f64 * part).round() as usize];
    let tail = (1.0 - CONFIDENCE) / 2.0;
    Estimate { mean: mean(values.iter().sum()), low: quantile(tail), high: quantile(1.0 - tail), count }
}

#[cfg(test)]
mod tests;
