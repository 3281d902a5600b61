//! Chance from one seed, by named streams: a draw added in one place changes nothing in another.

use fastrand::Rng;
use sha2::{Digest, Sha256};

/// The stream of this name: the same for the same seed on every machine.
pub fn stream(seed: u64, name: &str) -> Rng {
    let digest = Sha256::new().chain_update(seed.to_be_bytes()).chain_update(name).finalize();
    let bytes = digest.first_chunk::<8>().copied().unwrap_or_default();
    Rng::with_seed(u64::from_be_bytes(bytes))
}

/// Exponentially distributed with this mean.
pub fn exponential(rng: &mut Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

/// Log-normal work with this mean: most of it short, some of it long (sigma 0.7: one in a hundred some 4 times).
pub fn long_tailed(rng: &mut Rng, mean: f64) -> f64 {
    const SIGMA: f64 = 0.7;
    let (a, b) = (1.0 - rng.f64(), rng.f64());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}
