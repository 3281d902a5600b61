//! Deterministic subsets: each gateway keeps connections to few servers, every server is kept by as many gateways
//! as any other within one, and little moves when a gateway or a server comes or goes.
//!
//! Servers stand on a ring in the order of their hashes; of `n` servers and `g` gateways, gateway `i` takes `k` from
//! place `floor(i n / g)` on (the deterministic aperture of Finagle, on whole servers). So the starts lie as evenly
//! as whole numbers can: any `k` places in a row hold `floor` or `ceil` of `k g / n` of them, which is how many
//! gateways keep a server.
//!
//! | what changes | servers that one gateway replaces, at most |
//! | --- | --- |
//! | a server comes or goes | 2 |
//! | a gateway comes or goes, `g` to `g + 1` | `ceil(n / (g + 1)) + 1` |
//! | `k` grows by one | 1 comes, none goes |
//!
//! Weighed: Google SRE's subsets (chapter 20) leave up to `k - 1` servers out of a round and move most subsets when a
//! server goes; rendezvous subsets move least and spread servers by chance: with 64 gateways, 1000 servers and 32
//! each, some server is kept by none and another by eight.

use interface::Name;
use xxhash_rust::xxh3::xxh3_64;

/// One gateway's servers, in the order in which the subset widens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// All servers of the pool, from this gateway's start on.
    ring: Vec<Name>,
    size: usize,
}

impl Subset {
    /// The subset of gateway `me` of `gateways`, of `size` servers at least 1 and at most all.
    ///
    /// A gateway that is told a wrong count or number keeps servers all the same; only the evenness goes.
    pub fn new(servers: &[Name], me: u32, gateways: u32, size: usize) -> Self {
        let mut ring: Vec<(u64, &Name)> = servers.iter().map(|n| (xxh3_64(n.as_bytes()), n)).collect();
        ring.sort_unstable();
        ring.dedup();
        let n = ring.len();
        if n == 0 {
            return Subset::default();
        }
        let (me, gateways) = (u64::from(me), u64::from(gateways.max(1)));
        let start = ((me % gateways) * n as u64 / gateways) as usize;
        ring.rotate_left(start);
        let ring = ring.into_iter().map(|(_, name)| name.clone()).collect();
        Subset { ring, size: size.clamp(1, n) }
    }

    /// The servers that are kept.
    pub fn kept(&self) -> &[Name] {
        &self.ring[..self.size]
    }

    /// How many there are in all.
    pub fn ring_size(&self) -> usize {
        self.ring.len()
    }

    /// Whether it holds all servers of the pool.
    pub fn holds_all(&self) -> bool {
        self.size == self.ring.len()
    }

    /// Widens by half, since room is short. False if it holds all already.
    pub fn widen(&mut self) -> bool {
        let before = self.size;
        self.size = (self.size + self.size.div_ceil(2)).min(self.ring.len());
        self.size > before
    }

    /// Narrows by one server, down to `least`; the last to come is the first to go.
    pub fn narrow(&mut self, least: usize) -> bool {
        let narrow = self.size > least.max(1);
        self.size -= usize::from(narrow);
        narrow
    }
}

/// A size that keeps every server with `cover` gateways at least, and no gateway with fewer than `least`.
pub fn size(servers: usize, gateways: u32, cover: u32, least: usize) -> usize {
    let even = (servers as u64 * u64::from(cover)).div_ceil(u64::from(gateways.max(1))) as usize;
    even.max(least).min(servers)
}
