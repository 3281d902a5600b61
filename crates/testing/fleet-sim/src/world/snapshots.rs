//! Snapshots that a gateway saves to disk, and their restoration at its next start.

use super::*;
use snapshot::age::{join, split, Quota, Times};
use snapshot::{decode, encode, Author, Kind, Section};

/// Number of snapshots kept: a disk that loses acknowledged writes may return one this old.
const MAX_SAVED_SNAPSHOTS: usize = 8;

fn name(g: usize) -> String {
    format!("g{g}")
}

impl World {
    pub(super) fn snapshot(&mut self, gateway: usize) {
        let Some(every) = self.spec.snapshot_every.filter(|_| self.now < self.end()) else { return };
        self.schedule(self.now + every, Event::Snapshot { gateway });
        let (now, p) = (self.now, &mut self.processes[gateway]);
        if !p.running || p.paused_until > now {
            return;
        }
        let Some((stores, servers)) = split(&p.engine.export_state()) else { return };
        let author = Author { name: name(gateway), generation: p.generation, taken_at: p.clock(now) };
        let section = |kind, bytes| Section { kind, bytes };
        p.saved_snapshots
            .push_back(encode(&author, &[section(Kind::Stores, stores), section(Kind::Servers, servers)]));
        if p.saved_snapshots.len() > MAX_SAVED_SNAPSHOTS {
            p.saved_snapshots.pop_front();
        }
    }

    /// Restores a snapshot at a gateway's start. A faulty disk may return a damaged, lost or outdated
    /// one, or another gateway's.
    pub(super) fn restore_snapshot(&mut self, g: usize) {
        let disk_fault = if self.spec.bad_disks { self.snapshot_rng.u32(0..8) } else { 7 };
        let owner = if disk_fault == 0 { self.snapshot_rng.usize(0..self.processes.len()) } else { g };
        let age = if disk_fault == 1 { self.snapshot_rng.usize(0..MAX_SAVED_SNAPSHOTS) } else { 0 };
        let saved_snapshots = &self.processes[owner].saved_snapshots;
        let Some(mut bytes) = saved_snapshots.iter().rev().nth(age).cloned().filter(|_| disk_fault != 2)
        else {
            return;
        };
        if disk_fault == 3 {
            let at = self.snapshot_rng.usize(0..bytes.len());
            bytes[at] ^= 1 << self.snapshot_rng.u32(0..8);
        }
        if disk_fault == 4 {
            bytes.truncate(self.snapshot_rng.usize(0..bytes.len()));
        }
        let plans: Vec<Quota> =
            self.spec.settings(g).plans.iter().map(|p| Quota { rate: p.rate, depth: p.depth }).collect();
        let every = self.spec.snapshot_every.unwrap_or_default();
        let p = &mut self.processes[g];
        let now = p.clock(self.now);
        let text = decode(&bytes, &name(g), now).map_err(|refused| refused.to_string()).and_then(|read| {
            let times = Times::new(read.author.taken_at, every, now);
            let section = |kind| read.sections.get(&kind).and_then(|s| s.as_deref().ok());
            let stores = section(Kind::Stores).ok_or("the stores are damaged")?;
            join(stores, section(Kind::Servers), &plans, times).ok_or_else(|| "no memory".to_string())
        });
        let done = text.and_then(|text| p.engine.import_state(now, &text));
        self.trace.log(self.now, || format!("gateway {g} goes on with its snapshot: {done:?}"));
    }
}
