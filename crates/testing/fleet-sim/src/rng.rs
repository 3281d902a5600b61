//! Random number streams derived from one seed. Streams are named, so an additional draw in one place does
//! not change the numbers drawn elsewhere.

use fastrand::Rng;
use sha2::{Digest, Sha256};

/// Returns the stream with this name. The same seed and name yield the same numbers on every machine.
pub fn stream(seed: u64, name: &str) -> Rng {
    let digest = Sha256::new().chain_update(seed.to_be_bytes()).chain_update(name).finalize();
    let bytes = digest.first_chunk::<8>().copied().unwrap_or_default();
    Rng::with_seed(u64::from_be_bytes(bytes))
}

/// Draws from an exponential distribution with this mean.
pub fn exponential(rng: &mut Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

/// Draws from a log-normal distribution with this mean: mostly short, occasionally long (sigma 0.7: about one
/// in a hundred is some 4 times the mean).
pub fn long_tailed(rng: &mut Rng, mean: f64) -> f64 {
    const SIGMA: f64 = 0.7;
    let (a, b) = (1.0 - rng.f64(), rng.f64());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}
