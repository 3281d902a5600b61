//! Links between machines: cuts of either direction, resets, loss, delay, and bandwidth with a bounded queue.

use crate::{Time, MS};
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// Messages that wait for a link at the most, as in the program; more are lost.
const QUEUE: usize = 512;

#[derive(Default)]
pub struct Net {
    /// One-way cuts, and until when.
    partitions: BTreeMap<(usize, usize), Time>,
    /// What was sent before has been lost with its connection.
    resets: BTreeMap<(usize, usize), Time>,
    /// Machines with narrow links: bytes a second, and until when.
    narrow: BTreeMap<usize, (f64, Time)>,
    /// When what waits for a narrow link will have left it.
    lines: BTreeMap<(usize, usize), VecDeque<Time>>,
    /// When the last message on each connection arrives.
    arrived: BTreeMap<(usize, usize), Time>,
    /// Of a thousand messages so many are lost, and as many are late, until then.
    rough: (u32, Time),
    /// No order is kept, and of a hundred messages one is lost, one comes twice, and two are late.
    pub wild: bool,
}

impl Net {
    pub fn partition(&mut self, from: usize, to: usize, until: Time) {
        let held = self.partitions.entry((from, to)).or_insert(until);
        *held = until.max(*held);
    }

    /// Both connections between these are reset.
    pub fn reset(&mut self, a: usize, b: usize, now: Time) {
        self.resets.insert((a, b), now);
        self.resets.insert((b, a), now);
    }

    pub fn narrow(&mut self, machine: usize, bytes_a_second: f64, until: Time) {
        self.narrow.insert(machine, (bytes_a_second, until));
    }

    pub fn make_lossy(&mut self, per_mille: u32, until: Time) {
        self.rough = (per_mille, until);
    }

    /// No cut lasts any more.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn is_open(&self, from: usize, to: usize, now: Time) -> bool {
        from == to || self.partitions.get(&(from, to)).is_none_or(|until| *until <= now)
    }

    /// Both ways.
    pub fn is_connected(&self, a: usize, b: usize, now: Time) -> bool {
        self.is_open(a, b, now) && self.is_open(b, a, now)
    }

    /// A machine's links are narrow, or all are rough.
    pub fn is_slowed(&self, machine: usize, now: Time) -> bool {
        self.rough.1 > now || self.narrow.get(&machine).is_some_and(|(_, until)| *until > now)
    }

    /// Whether what was sent then still arrives.
    pub fn arrives(&self, from: usize, to: usize, sent: Time) -> bool {
        self.resets.get(&(from, to)).is_none_or(|at| *at < sent)
    }

    /// When a message of so many bytes arrives, if it does, and its copies.
    pub fn send(&mut self, now: Time, link: (usize, usize), bytes: u64, rng: &mut Rng) -> Vec<Time> {
        if !self.wild {
            return self.arrives_at(now, link, bytes, rng).into_iter().collect();
        }
        if !self.is_open(link.0, link.1, now) || rng.u8(..100) == 0 {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.u8(..100) == 0);
        let mut late = || if rng.u8(..50) == 0 { rng.u64(1..300) * MS } else { MS / 2 + rng.u64(..3 * MS) };
        (0..copies).map(|_| now + late()).collect()
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
        if self.rough.1 > now && chance < 2 * self.rough.0 {
            if chance < self.rough.0 {
                return None;
            }
            delay += rng.u64(..300 * MS);
        } else if chance == 999 {
            delay += rng.u64(..200 * MS);
        }
        let narrow = [from, to].into_iter().filter_map(|m| self.narrow.get(&m)).filter(|n| n.1 > now);
        let narrow = narrow.copied().min_by(|a, b| a.0.total_cmp(&b.0));
        let line = self.lines.entry((from, to)).or_default();
        while line.front().is_some_and(|left| *left <= now) {
            line.pop_front();
        }
        if line.len() >= QUEUE {
            return None;
        }
        let mut left = line.back().copied().unwrap_or(now).max(now);
        if let Some((rate, until)) = narrow {
            // What still waits when the link is wide again leaves at once.
            left = (left + (bytes as f64 / rate * 1e9) as Time).min(until);
            line.push_back(left);
        }
        // A connection keeps the order of what is sent on it.
        let last = self.arrived.entry((from, to)).or_insert(0);
        *last = (left + delay).max(*last + 1);
        Some(*last)
    }
}
