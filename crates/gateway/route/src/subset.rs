//! Deterministic subsetting: each gateway keeps connections to few servers, the numbers of gateways per server differ
//! by at most one, and few connections move when a gateway or a server is added or removed.
//!
//! Servers are ordered on a ring by their hashes. Of `n` servers and `g` gateways, gateway `i` keeps `k` servers starting
//! at position `floor(i n / g)` (the deterministic aperture of Finagle, on whole servers). The starts are therefore
//! spaced as evenly as integers allow: any `k` consecutive positions hold `floor` or `ceil` of `k g / n` starts, which
//! is the number of gateways that keep a server.
//!
//! | change | maximum number of servers that one gateway replaces |
//! | --- | --- |
//! | a server is added or removed | 2 |
//! | a gateway is added or removed, `g` to `g + 1` | `ceil(n / (g + 1)) + 1` |
//! | `k` grows by one | 1 added, none removed |
//!
//! Alternatives considered: the subsets of Google SRE (chapter 20) leave up to `k - 1` servers out of a round and move
//! most subsets when a server is removed. Rendezvous subsets move the least but spread servers at random: with 64
//! gateways, 1000 servers and 32 servers each, some server is kept by no gateway and another by eight.

use interface::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Servers of one gateway, in the order in which the subset widens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// All servers of the pool, beginning at the start position of this gateway.
    ring: Vec<Name>,
    size: usize,
}

impl Subset {
    /// Returns the subset of the gateway at index `gateway` of `gateways`. `size` is clamped to the range from 1 to the
    /// number of servers.
    ///
    /// With a wrong index or number of gateways the gateway still keeps servers; only the even spread is lost.
    pub fn new(servers: &[Name], gateway: u32, gateways: u32, size: usize) -> Self {
        let mut ring: Vec<(u64, &Name)> = servers.iter().map(|n| (xxh3_64(n.as_bytes()), n)).collect();
        ring.sort_unstable();
        ring.dedup();
        let n = ring.len();
        if n == 0 {
            return Subset::default();
        }
        let (gateway, gateways) = (u64::from(gateway), u64::from(gateways.max(1)));
        let start = ((gateway % gateways) * n as u64 / gateways) as usize;
        ring.rotate_left(start);
        let ring = ring.into_iter().map(|(_, name)| name.clone()).collect();
        Subset { ring, size: size.clamp(1, n) }
    }

    /// Returns the servers of the subset.
    pub fn kept(&self) -> &[Name] {
        &self.ring[..self.size]
    }

    /// Returns the number of servers of the pool.
    pub fn ring_size(&self) -> usize {
        self.ring.len()
    }

    /// Whether the subset holds all servers of the pool.
    pub fn holds_all(&self) -> bool {
        self.size == self.ring.len()
    }

    /// Widens the subset by half, for more capacity. Returns false if it already holds all servers.
    pub fn widen(&mut self) -> bool {
        let old_size = self.size;
        self.size = (self.size + self.size.div_ceil(2)).min(self.ring.len());
        self.size > old_size
    }

    /// Narrows the subset by one server, the last one added, but not below `min_size`. Returns whether it did.
    pub fn narrow(&mut self, min_size: usize) -> bool {
        let can_narrow = self.size > min_size.max(1);
        self.size -= usize::from(can_narrow);
        can_narrow
    }
}

/// Returns the subset size at which every server is kept by at least `min_coverage` gateways and every gateway keeps at
/// least `min_size` servers.
pub fn size(servers: usize, gateways: u32, min_coverage: u32, min_size: usize) -> usize {
    let even_size = (servers as u64 * u64::from(min_coverage)).div_ceil(u64::from(gateways.max(1))) as usize;
    even_size.max(min_size).min(servers)
}
