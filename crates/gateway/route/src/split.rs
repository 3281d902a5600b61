//! Weighted splits between pools, sticky by customer, and shadows.
//!
//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): each pool draws
//! `-weight / ln(u)` with `u` from customer and pool alone, and the highest wins. A change of one weight moves
//! customers to that pool or from it and between no others: no more than the shares change.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weights are whole numbers up to this.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Which pool, by weight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Pools by their place, and weights; 0 takes nothing.
    pub weights: Vec<(usize, u32)>,
}

/// From 0 to 1, without both, from a name and a number.
fn unit_hash(name: &str, salt: u64) -> f64 {
    let bits = xxh3_64_with_seed(name.as_bytes(), salt) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}

impl Split {
    /// All to one pool.
    pub fn all(pool: usize) -> Self {
        Split { weights: vec![(pool, 1)] }
    }

    /// # Errors
    /// What is wrong, in words.
    pub fn check(&self, pools: usize) -> Result<(), String> {
        if self.weights.iter().all(|(_, weight)| *weight == 0) {
            return Err("no pool has a weight above 0".into());
        }
        for (n, (pool, weight)) in self.weights.iter().enumerate() {
            if *pool >= pools {
                return Err(format!("pool {pool} is not there"));
            }
            if *weight > MAX_WEIGHT {
                return Err(format!("weight is {weight}: 0 to {MAX_WEIGHT} is wanted"));
            }
            if self.weights[..n].iter().any(|(other, _)| other == pool) {
                return Err("a pool stands twice in a split".into());
            }
        }
        Ok(())
    }

    /// The pool of this customer: always the same while the weights are.
    pub fn pool(&self, customer: &str) -> Option<usize> {
        if let [(pool, weight)] = self.weights[..] {
            return (weight > 0).then_some(pool);
        }
        let draw = |(pool, weight): &(usize, u32)| {
            (-f64::from(*weight) / unit_hash(customer, *pool as u64).ln(), *pool)
        };
        let open = self.weights.iter().filter(|(_, weight)| *weight > 0).map(draw);
        open.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, pool)| pool)
    }
}

/// A share of safe requests is also sent elsewhere; its answers go nowhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shadow {
    pub pool: usize,
    /// 0 to 1.
    pub fraction: f64,
}

impl Shadow {
    /// # Errors
    /// What is wrong, in words.
    pub fn check(&self, pools: usize) -> Result<(), String> {
        if self.pool >= pools {
            return Err(format!("pool {} is not there", self.pool));
        }
        if !(0.0..=1.0).contains(&self.fraction) {
            return Err(format!("share is {}: 0 to 1 is wanted", self.fraction));
        }
        Ok(())
    }

    /// Whether this request is shadowed. Only what may run twice without harm ever is.
    pub fn takes(&self, request: u64, safe: bool) -> bool {
        safe && unit_hash("shadow", request) < self.fraction
    }
}
