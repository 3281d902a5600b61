//! Disks that take their time, say nothing for a while, or take nothing more.

use crate::{Time, MS};
use fastrand::Rng;

#[derive(Default)]
pub struct Disks {
    /// Each machine's disk says nothing, or refuses, until then; and when it has done what it is at.
    stalls: Vec<Time>,
    full: Vec<Time>,
    busy: Vec<Time>,
    /// A write takes so long at the most, on each.
    takes: Vec<Time>,
}

fn until(all: &[Time], n: usize) -> Time {
    all.get(n).copied().unwrap_or(0)
}

fn raise(all: &mut Vec<Time>, n: usize, to: Time) {
    all.resize(all.len().max(n + 1), 0);
    all[n] = all[n].max(to);
}

impl Disks {
    /// When a write that comes now is done on this machine's disk, which does them one by one.
    pub fn write_done(&mut self, n: usize, now: Time, rng: &mut Rng) -> Time {
        while self.takes.len() <= n {
            self.takes.push([2, 5, 20][rng.usize(..3)] * MS);
        }
        let begins = now.max(until(&self.stalls, n)).max(until(&self.busy, n));
        let done = begins + MS / 5 + rng.u64(..self.takes[n]);
        raise(&mut self.busy, n, done);
        done
    }

    pub fn stall(&mut self, n: usize, to: Time) {
        raise(&mut self.stalls, n, to);
    }

    pub fn fill(&mut self, n: usize, to: Time) {
        raise(&mut self.full, n, to);
    }

    pub fn refuses(&self, n: usize, now: Time) -> bool {
        until(&self.full, n) > now
    }

    pub fn is_bad(&self, n: usize, now: Time) -> bool {
        self.refuses(n, now) || until(&self.stalls, n) > now
    }
}
