//! Links between machines: one-way partitions, resets, loss, delay, and bandwidth with a bounded queue.

use crate::{Time, MS};
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of messages that wait for a link, as in the program; more are lost.
const MAX_QUEUED: usize = 512;

/// The links between all machines.
#[derive(Default)]
pub struct Net {
    /// One-way partitions, and until when.
    partitions: BTreeMap<(usize, usize), Time>,
    /// When a link was reset: messages sent before were lost with the connection.
    resets: BTreeMap<(usize, usize), Time>,
    /// Machines with narrow links: bytes per second, and until when.
    narrow: BTreeMap<usize, (f64, Time)>,
    /// When each message that waits for a narrow link will have left it.
    queues: BTreeMap<(usize, usize), VecDeque<Time>>,
    /// When the last message on each connection arrives.
    last_arrivals: BTreeMap<(usize, usize), Time>,
    /// How many messages per mille are lost, and as many again are late, until when.
    loss: (u32, Time),
    /// Does not preserve order; of a hundred messages one is lost, one is duplicated, and two are late.
    pub is_unordered: bool,
}

impl Net {
    pub fn partition(&mut self, from: usize, to: usize, until: Time) {
        let current_end = self.partitions.entry((from, to)).or_insert(until);
        *current_end = until.max(*current_end);
    }

    /// Resets both connections between two machines.
    pub fn reset(&mut self, a: usize, b: usize, now: Time) {
        self.resets.insert((a, b), now);
        self.resets.insert((b, a), now);
    }

    pub fn narrow(&mut self, machine: usize, bytes_a_second: f64, until: Time) {
        self.narrow.insert(machine, (bytes_a_second, until));
    }

    pub fn make_lossy(&mut self, per_mille: u32, until: Time) {
        self.loss = (per_mille, until);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn is_open(&self, from: usize, to: usize, now: Time) -> bool {
        from == to || self.partitions.get(&(from, to)).is_none_or(|until| *until <= now)
    }

    /// Returns whether messages pass both ways.
    pub fn is_connected(&self, a: usize, b: usize, now: Time) -> bool {
        self.is_open(a, b, now) && self.is_open(b, a, now)
    }

    /// Returns whether a machine's links are narrow, or all links are lossy.
    pub fn is_slowed(&self, machine: usize, now: Time) -> bool {
        self.loss.1 > now || self.narrow.get(&machine).is_some_and(|(_, until)| *until > now)
    }

    /// Returns whether a message sent at this time still arrives.
    pub fn arrives(&self, from: usize, to: usize, sent: Time) -> bool {
        self.resets.get(&(from, to)).is_none_or(|at| *at < sent)
    }

    /// Returns when a message of this size and its duplicates arrive, if they do.
    pub fn send(&mut self, now: Time, link: (usize, usize), bytes: u64, rng: &mut Rng) -> Vec<Time> {
        if !self.is_unordered {
            return self.arrives_at(now, link, bytes, rng).into_iter().collect();
        }
        if !self.is_open(link.0, link.1, now) || rng.u8(..100) == 0 {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.u8(..100) == 0);
        let mut random_delay =
            || if rng.u8(..50) == 0 { rng.u64(1..300) * MS } else { MS / 2 + rng.u64(..3 * MS) };
        (0..copies).map(|_| now + random_delay()).collect()
    }

    fn arrives_at(
        &mut self,
        now: Time,
        (from, to): (usize, usize),
        bytes: u64,
        rng: &mut Rng,
    ) -> Option<Time> {
        if !self.is_open(from, to, now) {
            return None;
        }
        let mut delay = MS / 2 + rng.u64(..3 * MS);
        let chance = rng.u32(..1000);
        if self.loss.1 > now && chance < 2 * self.loss.0 {
            if chance < self.loss.0 {
                return None;
            }
            delay += rng.u64(..300 * MS);
        } else if chance == 999 {
            delay += rng.u64(..200 * MS);
        }
        let narrow = [from, to].into_iter().filter_map(|m| self.narrow.get(&m)).filter(|n| n.1 > now);
        let narrow = narrow.copied().min_by(|a, b| a.0.total_cmp(&b.0));
        let queue = self.queues.entry((from, to)).or_default();
        while queue.front().is_some_and(|leaves_at| *leaves_at <= now) {
            queue.pop_front();
        }
        if queue.len() >= MAX_QUEUED {
            return None;
        }
        let mut leaves_at = queue.back().copied().unwrap_or(now).max(now);
        if let Some((rate, until)) = narrow {
            // Messages that still wait when the link is wide again leave at once.
            leaves_at = (leaves_at + (bytes as f64 / rate * 1e9) as Time).min(until);
            queue.push_back(leaves_at);
        }
        // A connection preserves the order of its messages.
        let last = self.last_arrivals.entry((from, to)).or_insert(0);
        *last = (leaves_at + delay).max(*last + 1);
        Some(*last)
    }
}
