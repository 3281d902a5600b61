//! Simulated disks that are slow, stall, or refuse writes.

use crate::{Time, MS};
use fastrand::Rng;

/// The disks of all machines.
#[derive(Default)]
pub struct Disks {
    /// For each machine: until when its disk stalls, until when it refuses writes, and when its current writes
    /// complete.
    stalled_until: Vec<Time>,
    full_until: Vec<Time>,
    busy_until: Vec<Time>,
    /// Maximum duration of a write on each disk.
    max_write_time: Vec<Time>,
}

fn time_of(all: &[Time], n: usize) -> Time {
    all.get(n).copied().unwrap_or(0)
}

fn extend(all: &mut Vec<Time>, n: usize, to: Time) {
    all.resize(all.len().max(n + 1), 0);
    all[n] = all[n].max(to);
}

impl Disks {
    /// Returns when a write that starts now completes on this machine's disk, which processes writes one by one.
    pub fn write_completes_at(&mut self, n: usize, now: Time, rng: &mut Rng) -> Time {
        while self.max_write_time.len() <= n {
            self.max_write_time.push([2, 5, 20][rng.usize(..3)] * MS);
        }
        let starts_at = now.max(time_of(&self.stalled_until, n)).max(time_of(&self.busy_until, n));
        let completes_at = starts_at + MS / 5 + rng.u64(..self.max_write_time[n]);
        extend(&mut self.busy_until, n, completes_at);
        completes_at
    }

    pub fn stall(&mut self, n: usize, to: Time) {
        extend(&mut self.stalled_until, n, to);
    }

    pub fn fill(&mut self, n: usize, to: Time) {
        extend(&mut self.full_until, n, to);
    }

    pub fn refuses_writes(&self, n: usize, now: Time) -> bool {
        time_of(&self.full_until, n) > now
    }

    pub fn is_impaired(&self, n: usize, now: Time) -> bool {
        self.refuses_writes(n, now) || time_of(&self.stalled_until, n) > now
    }
}
