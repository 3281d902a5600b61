//! What a gateway leaves on its disk while it lives, and what its next life makes of it.

use super::*;
use snapshot::age::{join, split, Quota, Times};
use snapshot::{decode, encode, Author, Kind, Section};

/// So many snapshots back a disk that lies about syncs may go.
const KEPT: usize = 8;

fn name(g: usize) -> String {
    format!("g{g}")
}

impl World {
    pub(super) fn snapshot(&mut self, gateway: usize) {
        let Some(every) = self.spec.snapshots.filter(|_| self.now < self.end()) else { return };
        self.at(self.now + every, Event::Snapshot { gateway });
        let (now, p) = (self.now, &mut self.processes[gateway]);
        if !p.up || p.paused_until > now {
            return;
        }
        let Some((stores, servers)) = split(&p.engine.export_state()) else { return };
        let author = Author { name: name(gateway), generation: p.life, taken_at: p.clock(now) };
        let section = |kind, bytes| Section { kind, bytes };
        p.kept.push_back(encode(&author, &[section(Kind::Stores, stores), section(Kind::Servers, servers)]));
        if p.kept.len() > KEPT {
            p.kept.pop_front();
        }
    }

    /// The next life reads what is on its disk, or on what it takes for its disk.
    pub(super) fn remember(&mut self, g: usize) {
        let what = if self.spec.bad_disks { self.memory.u32(0..8) } else { 7 };
        let whose = if what == 0 { self.memory.usize(0..self.processes.len()) } else { g };
        let back = if what == 1 { self.memory.usize(0..KEPT) } else { 0 };
        let kept = &self.processes[whose].kept;
        let Some(mut bytes) = kept.iter().rev().nth(back).cloned().filter(|_| what != 2) else { return };
        if what == 3 {
            let at = self.memory.usize(0..bytes.len());
            bytes[at] ^= 1 << self.memory.u32(0..8);
        }
        if what == 4 {
            bytes.truncate(self.memory.usize(0..bytes.len()));
        }
        let plans: Vec<Quota> =
            self.spec.settings(g).plans.iter().map(|p| Quota { rate: p.rate, depth: p.depth }).collect();
        let every = self.spec.snapshots.unwrap_or_default();
        let p = &mut self.processes[g];
        let now = p.clock(self.now);
        let text = decode(&bytes, &name(g), now).map_err(|refused| refused.to_string()).and_then(|read| {
            let times = Times::new(read.author.taken_at, every, now);
            let section = |kind| read.sections.get(&kind).and_then(|s| s.as_deref().ok());
            let stores = section(Kind::Stores).ok_or("the stores are damaged")?;
            join(stores, section(Kind::Servers), &plans, times).ok_or_else(|| "no memory".to_string())
        });
        let done = text.and_then(|text| p.engine.import_state(now, &text));
        self.trace.tell(self.now, || format!("gateway {g} goes on with its snapshot: {done:?}"));
    }
}
