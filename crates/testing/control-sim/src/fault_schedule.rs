//! What goes wrong in a world of minutes, and when: fault phases and calm spells by turns.

use crate::cluster::Event;
use crate::defect::Defect;
use crate::long_workload::{LongWorkload, WorkloadEvent, CATCH_UP};
use crate::rules::Violation;
use crate::{Time, MS};
use fastrand::Rng;

const SECOND: Time = 1000 * MS;
/// The first comes no sooner: a core is bootstrapped by then.
const FOUNDED: Time = 6 * SECOND;

/// How a machine is isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Both,
    /// It hears nobody.
    In,
    /// Nobody hears it.
    Out,
    /// Both, and what is on its way is lost.
    Reset,
}

/// A kind of trouble for one machine, of those that befall the leader and then its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Cut(Way),
    Freeze,
    Stall,
    /// Its disk is full.
    Full,
}

#[derive(Clone, Debug)]
pub enum FaultEvent {
    /// Whatever chance draws.
    Next,
    /// Machines are replaced in turn, each by one of another name, until the world ends.
    Replace,
    /// The leader of that moment, so often in a row, for so long.
    Leader(Fault, u8, Time),
}

#[derive(Default)]
pub struct FaultSchedule {
    /// Ends of fault phases and calm spells by turns.
    phases: Vec<Time>,
    /// Between two troubles at the most.
    gap: Time,
    tolerance: usize,
    /// As many may be replaced at a time as may be lost.
    pairs: bool,
    /// Those that were.
    replaced: Vec<usize>,
}

impl FaultSchedule {
    pub fn new(rng: &mut Rng, voters: usize, pairs: bool) -> Self {
        let length = rng.u64(120..300) * SECOND;
        let mut phases = vec![FOUNDED];
        while phases[phases.len() - 1] < length {
            let lasts = if phases.len() % 2 == 1 { rng.u64(10..60) } else { rng.u64(14..30) };
            phases.push(phases[phases.len() - 1] + lasts * SECOND);
        }
        if phases.len() % 2 == 0 {
            phases.push(phases[phases.len() - 1] + 15 * SECOND);
        }
        let gap = [1, 4, 15][rng.usize(..3)] * SECOND;
        FaultSchedule { phases, gap, tolerance: (voters - 1) / 2, pairs, replaced: Vec::new() }
    }

    pub fn first(&self) -> Time {
        self.phases[0]
    }

    pub fn ends(&self) -> Time {
        self.phases[self.phases.len() - 1]
    }

    /// The phase at this time: an odd one is a fault schedule.
    fn phase(&self, now: Time) -> usize {
        self.phases.iter().take_while(|end| **end <= now).count()
    }

    pub fn is_calm(&self, now: Time) -> bool {
        self.phase(now).is_multiple_of(2)
    }

    /// When what begins now ends at the latest.
    fn until(&self, now: Time, lasts: Time) -> Time {
        (now + lasts).min(self.phases.get(self.phase(now)).copied().unwrap_or(now))
    }

    pub fn inject(&mut self, world: &mut LongWorkload, trouble: FaultEvent) -> Result<(), Violation> {
        match trouble {
            FaultEvent::Next => self.next(world),
            FaultEvent::Replace => {
                let at = world.now + world.rng.u64(9..25) * SECOND;
                world.later(at, WorkloadEvent::Fault(FaultEvent::Replace));
                let voters = world.voters();
                // The oldest, which is at times the leader.
                self.replace(world, voters[0]);
                Ok(())
            }
            FaultEvent::Leader(..) if self.is_calm(world.now) => Ok(()),
            FaultEvent::Leader(blow, left, lasts) => {
                let Some(leader) = world.leader() else {
                    // Nobody leads yet: a little later.
                    let at = world.now + 50 * MS;
                    world.later(at, WorkloadEvent::Fault(FaultEvent::Leader(blow, left, lasts)));
                    return Ok(());
                };
                self.apply_fault(world, leader, blow, lasts);
                if left > 1 {
                    // Then its successor, at once.
                    let at = world.now + lasts;
                    world.later(at, WorkloadEvent::Fault(FaultEvent::Leader(blow, left - 1, lasts)));
                }
                Ok(())
            }
        }
    }

    fn next(&mut self, world: &mut LongWorkload) -> Result<(), Violation> {
        let now = world.now;
        let phase = self.phase(now);
        if self.is_calm(now) {
            // Whoever begins a fault schedule may do so with a lost disk: all had time to catch up.
            if let Some(ends) = self.phases.get(phase).copied() {
                world.later(ends, WorkloadEvent::Fault(FaultEvent::Next));
            }
            return Ok(());
        }
        let began = self.phases[phase - 1] + 50 * MS >= now;
        let gap = world.rng.u64(self.gap / 20..self.gap);
        let at = self.until(now, gap);
        world.later(at, WorkloadEvent::Fault(FaultEvent::Next));
        let count = world.machines.len();
        let leader = world.leader();
        let mut n = world.rng.usize(..count);
        if world.rng.u8(..3) == 0 {
            n = leader.unwrap_or(n);
        }
        let lasts = match world.rng.u8(..4) {
            0 => world.rng.u64(50..1000) * MS,
            1 | 2 => world.rng.u64(500..8000) * MS,
            _ => world.rng.u64(18_000..30_000) * MS,
        };
        let draw = if began && world.rng.u8(..2) == 0 { world.rng.u8(12..15) } else { world.rng.u8(..24) };
        match draw {
            0..=3 => {
                let blow = self.random_fault(&mut world.rng);
                let lasts = world.rng.u64(18..24) * SECOND;
                let left = world.rng.u8(1..4);
                return self.inject(world, FaultEvent::Leader(blow, left, lasts));
            }
            4 | 5 => {
                let blow = self.random_fault(&mut world.rng);
                self.apply_fault(world, n, blow, lasts);
            }
            6 => self.partition(world, lasts),
            7 => {
                let m = world.rng.usize(..count);
                let until = self.until(now, lasts);
                let both = world.rng.bool();
                world.log(|| format!("cut p{n} -> p{m}, both ways {both}, for {} ms", (until - now) / MS));
                world.net.partition(n, m, until);
                if both {
                    world.net.partition(m, n, until);
                }
                self.machines_lost(world, &[n, m], until);
            }
            8 | 9 => {
                let lasts = self.until(now, lasts) - now;
                world.kill(n, lasts);
            }
            10 => {
                world.log(|| "all lose power".into());
                for m in 0..count {
                    let lasts = self.until(now, world.rng.u64(50..3000) * MS) - now;
                    world.kill(m, lasts);
                }
            }
            11 => self.shut_down(world, n, lasts),
            12 | 13 => self.wipe(world, n),
            14 => self.replace(world, n),
            15 => {
                let rate = [250_000.0, 60_000.0][world.rng.usize(..2)];
                let until = self.until(now, lasts);
                world.log(|| format!("p{n} has a narrow link for {} ms", (until - now) / MS));
                world.net.narrow(n, rate, until);
                self.machines_lost(world, &[n], until);
            }
            16 => {
                let until = self.until(now, lasts);
                let per_mille = world.rng.u32(10..150);
                world.log(|| format!("links lose {per_mille} of 1000 for {} ms", (until - now) / MS));
                world.net.make_lossy(per_mille, until);
                let all: Vec<usize> = (0..count).collect();
                self.machines_lost(world, &all, until);
            }
            17 | 18 => {
                world.deaf[n] = self.until(now, lasts);
                world.log(|| format!("callers don't reach p{n} for {} ms", lasts / MS));
            }
            19 | 20 => {
                world.calls_lost = (world.rng.u32(50..600), self.until(now, lasts));
                world.log(|| format!("callers' messages are lost for {} ms", lasts / MS));
            }
            21 => {
                let (gateways, until) = (world.gateways.len(), self.until(now, lasts));
                let g = world.rng.usize(..gateways);
                if world.rng.u8(..3) == 0 {
                    world.log(|| format!("gateway {g} begins anew"));
                    world.restart_gateway(g);
                    world.gateway_struck(g);
                    return Ok(());
                }
                world.log(|| format!("gateway {g} reaches no node for {} ms", (until - now) / MS));
                world.gateways[g].isolated_until = until;
            }
            22 => {
                world.log(|| "connections are reset".into());
                let m = world.rng.usize(..count);
                (0..count)
                    .filter(|o| *o != n && (m == n || *o == m))
                    .for_each(|o| world.net.reset(n, o, now));
                (world.event, world.last_fault_at) = (now, now);
            }
            _ => {
                let blow = if world.rng.bool() { Fault::Stall } else { Fault::Full };
                self.apply_fault(world, n, blow, lasts.min(6 * SECOND));
            }
        }
        Ok(())
    }

    fn random_fault(&self, rng: &mut Rng) -> Fault {
        match rng.u8(..8) {
            0 | 1 => Fault::Cut(Way::Both),
            2 => Fault::Cut(Way::In),
            3 => Fault::Cut(Way::Out),
            4 => Fault::Cut(Way::Reset),
            5 => [Fault::Stall, Fault::Full][rng.usize(..2)],
            _ => Fault::Freeze,
        }
    }

    /// The core is unsettled by this, and by its end.
    fn machines_lost(&mut self, world: &mut LongWorkload, machines: &[usize], until: Time) {
        (world.event, world.last_fault_at) = (world.now, world.now);
        world.later(until, WorkloadEvent::FaultEnded);
        for n in machines {
            world.lost[*n] = world.lost[*n].max(until);
        }
    }

    fn apply_fault(&mut self, world: &mut LongWorkload, n: usize, blow: Fault, lasts: Time) {
        let now = world.now;
        let until = self.until(now, lasts);
        world.log(|| format!("p{n}: {blow:?} for {} ms", (until - now) / MS));
        self.machines_lost(world, &[n], until);
        match blow {
            Fault::Freeze => {
                let thaws = until.max(world.machines[n].frozen_until);
                world.machines[n].frozen_until = thaws;
                world.at(thaws, Event::Wake(n));
            }
            Fault::Stall => {
                world.disks.stall(n, until);
            }
            Fault::Full => {
                world.disks.fill(n, until);
            }
            Fault::Cut(way) => {
                // Callers, in the other half of the cases, are on its side of the cut.
                if world.rng.bool() {
                    world.deaf[n] = until;
                }
                for m in (0..world.machines.len()).filter(|m| *m != n) {
                    if way != Way::Out {
                        world.net.partition(m, n, until);
                    }
                    if way != Way::In {
                        world.net.partition(n, m, until);
                    }
                    if way == Way::Reset {
                        world.net.reset(n, m, now);
                    }
                }
            }
        }
    }

    /// Two sides that do not hear each other.
    fn partition(&mut self, world: &mut LongWorkload, lasts: Time) {
        let until = self.until(world.now, lasts);
        let count = world.machines.len();
        let side: Vec<bool> = (0..count).map(|_| world.rng.bool()).collect();
        let some: Vec<usize> = (0..side.len()).filter(|n| side[*n]).collect();
        world.log(|| format!("{some:?} are cut from the others for {} ms", lasts / MS));
        for a in 0..side.len() {
            for b in (0..side.len()).filter(|b| side[*b] != side[a]) {
                world.net.partition(a, b, until);
            }
        }
        let all: Vec<usize> = (0..side.len()).collect();
        self.machines_lost(world, &all, until);
    }

    /// SIGTERM: it names its successor, answers what it has, and ends.
    fn shut_down(&mut self, world: &mut LongWorkload, n: usize, lasts: Time) {
        let now = world.now;
        let name = world.machines[n].id.to_string();
        world.log(|| format!("{name} is told to end"));
        let life = world.machines[n].starts;
        world.later(now, WorkloadEvent::Shutdown(n, life));
        let ends = self.until(now, world.rng.u64(20..1200) * MS);
        let lasts = self.until(ends, lasts) - ends;
        world.event = now;
        world.lost[n] = world.lost[n].max(ends + lasts);
        world.later(ends, WorkloadEvent::Kill(n, lasts));
    }

    /// A machine is removed for good, told to end or not, and another of a new name begins, which is told of some that
    /// there are, at times of those that are isolated or down first.
    fn replace(&mut self, world: &mut LongWorkload, n: usize) {
        let voters = world.voters();
        if !voters.contains(&n)
            || self.replaced.contains(&n)
            || world.machines.len() >= 60
            || !self.tolerates_loss_of(world, n)
        {
            return;
        }
        // One after the other, unless it is asked for otherwise.
        if !self.pairs && voters.iter().any(|m| *m != n && !world.is_back(*m)) {
            return;
        }
        let now = world.now;
        let planned = world.rng.u8(..3) > 0;
        let begins = now + world.rng.u64(..3000) * MS;
        let mut seeds: Vec<usize> =
            (0..world.machines.len()).filter(|m| !world.machines[*m].is_removed).collect();
        world.rng.shuffle(&mut seeds);
        seeds.sort_by_key(|m| world.lost[*m] <= now);
        seeds.truncate(3);
        // One of three is there.
        if let Some(there) = voters.iter().find(|m| **m != n && world.machines[**m].runs(now)) {
            seeds[0] = *there;
        }
        self.replaced.push(n);
        let newcomer = world.add_machine(&seeds, begins);
        world.log(|| format!("p{n} is replaced by p{newcomer}, planned {planned}"));
        world.event = now;
        if planned {
            let (life, ends) = (world.machines[n].starts, now + world.rng.u64(300..1200) * MS);
            world.later(now, WorkloadEvent::Shutdown(n, life));
            world.later(ends, WorkloadEvent::Removed(n));
        } else {
            world.later(now, WorkloadEvent::Removed(n));
        }
    }

    /// Whether one more may lose its disk: of those that count no more than the stated ones are lost at a time.
    fn tolerates_loss_of(&self, world: &LongWorkload, n: usize) -> bool {
        // Who is new has its time to catch up while there is a majority to catch up with.
        let lost = |m: &usize| *m != n && (world.now < world.lost[*m] + CATCH_UP || !world.is_back(*m));
        let others = world.voters().into_iter().filter(lost).count();
        world.history.newest() > 0 && others < self.tolerance && world.now > FOUNDED
    }

    fn wipe(&mut self, world: &mut LongWorkload, n: usize) {
        let voters = world.voters();
        let n = if voters.contains(&n) { n } else { voters[0] };
        if !self.tolerates_loss_of(world, n) {
            return;
        }
        let now = world.now;
        let others_too = world.rng.u8(..3) == 0;
        let lasts = self.until(now, world.rng.u64(20..4000) * MS) - now;
        if world.machines[n].is_removed {
            return;
        }
        world.kill(n, lasts);
        world.lost[n] = world.lost[n].max(now + lasts);
        let keeps_id = world.defect == Some(Defect::WipedVotes);
        world.machines[n].wipe(keeps_id);
        let name = world.machines[n].id.to_string();
        world.log(|| format!("and comes back without its disk, as {name}"));
        if others_too {
            world.log(|| "all others lose power meanwhile".into());
            for m in (0..world.machines.len()).filter(|m| *m != n) {
                let lasts = self.until(now, world.rng.u64(20..3000) * MS) - now;
                world.kill(m, lasts);
            }
        }
    }
}
