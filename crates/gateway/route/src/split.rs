//! Weighted splits between pools, sticky by customer, and traffic shadowing.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): the score of a pool is
//! `-weight / ln(u)`, where `u` is a hash of customer and pool, and the pool with the highest score is selected. A
//! change of one weight moves customers only to or from that pool, and no more of them than the change of the shares.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum weight.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// A weighted split between pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Index and weight of each pool; a pool of weight 0 gets no requests.
    pub weights: Vec<(usize, u32)>,
}

/// Hashes a name and a salt to a number in the open interval (0, 1).
fn unit_hash(name: &str, salt: u64) -> f64 {
    let bits = xxh3_64_with_seed(name.as_bytes(), salt) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}

impl Split {
    /// Returns a split that sends everything to one pool.
    pub fn all(pool: usize) -> Self {
        Split { weights: vec![(pool, 1)] }
    }

    /// Validates the split for this number of pools.
    ///
    /// # Errors
    /// A description of the first problem.
    pub fn check(&self, pools: usize) -> Result<(), String> {
        if self.weights.iter().all(|(_, weight)| *weight == 0) {
            return Err("no pool has a weight above 0".into());
        }
        for (n, (pool, weight)) in self.weights.iter().enumerate() {
            if *pool >= pools {
                return Err(format!("pool {pool} does not exist"));
            }
            if *weight > MAX_WEIGHT {
                return Err(format!("weight is {weight}: must be 0 to {MAX_WEIGHT}"));
            }
            if self.weights[..n].iter().any(|(other, _)| other == pool) {
                return Err("a pool is listed twice in a split".into());
            }
        }
        Ok(())
    }

    /// Returns the pool of a customer. It stays the same as long as the weights do.
    pub fn pool(&self, customer: &str) -> Option<usize> {
        if let [(pool, weight)] = self.weights[..] {
            return (weight > 0).then_some(pool);
        }
        let score = |(pool, weight): &(usize, u32)| {
            (-f64::from(*weight) / unit_hash(customer, *pool as u64).ln(), *pool)
        };
        let scores = self.weights.iter().filter(|(_, weight)| *weight > 0).map(score);
        scores.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, pool)| pool)
    }
}

/// Sends a copy of a fraction of the safe requests to another pool and discards the responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shadow {
    /// Index of the pool.
    pub pool: usize,
    /// Fraction of the requests, 0 to 1.
    pub fraction: f64,
}

impl Shadow {
    /// Validates the shadow for this number of pools.
    ///
    /// # Errors
    /// A description of the first problem.
    pub fn check(&self, pools: usize) -> Result<(), String> {
        if self.pool >= pools {
            return Err(format!("pool {} does not exist", self.pool));
        }
        if !(0.0..=1.0).contains(&self.fraction) {
            return Err(format!("share is {}: must be 0 to 1", self.fraction));
        }
        Ok(())
    }

    /// Whether a request is shadowed. Only safe requests are, since they run twice.
    pub fn selects(&self, request: u64, safe: bool) -> bool {
        safe && unit_hash("shadow", request) < self.fraction
    }
}
