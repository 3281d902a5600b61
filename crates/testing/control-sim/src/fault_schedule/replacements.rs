//! Lost disks and replaced machines, one or several at a time.

use super::*;

/// Maximum number of machines of a run, including those that are gone.
const MAX_MACHINES: usize = 60;
/// The same where machines without a disk are replaced.
const MAX_MACHINES_WITH_LEARNERS: usize = 250;
/// Time between two starts or two shutdowns of an exchange: more than a machine needs to catch up.
const EXCHANGE_STEP: Time = 6 * SECOND;

impl FaultSchedule {
    fn max_machines(&self) -> usize {
        match self.replacement {
            Replacement::Learners => MAX_MACHINES_WITH_LEARNERS,
            _ => MAX_MACHINES,
        }
    }

    /// Removes a machine permanently, with or without a shutdown, and starts another with a new name. Its seeds are
    /// some of the existing machines, preferably machines that are isolated or down.
    pub(super) fn replace(&mut self, workload: &mut LongWorkload, n: usize) {
        let voters = workload.voters();
        if !voters.contains(&n)
            || self.replaced.contains(&n)
            || workload.machines.len() >= self.max_machines()
            || !self.tolerates_loss_of(workload, n)
        {
            return;
        }
        // One at a time, unless pairs are enabled.
        if self.replacement != Replacement::Pairs && voters.iter().any(|m| *m != n && !workload.is_back(*m)) {
            return;
        }
        let now = workload.now;
        let planned = workload.rng.u8(..3) > 0;
        let starts_at = now + workload.rng.u64(..3000) * MS;
        let mut seeds: Vec<usize> =
            (0..workload.machines.len()).filter(|m| !workload.machines[*m].is_removed).collect();
        workload.rng.shuffle(&mut seeds);
        seeds.sort_by_key(|m| workload.impaired_until[*m] <= now);
        seeds.truncate(3);
        // At least one of the three seeds is up.
        if let Some(there) = voters.iter().find(|m| **m != n && workload.machines[**m].is_running(now)) {
            seeds[0] = *there;
        }
        if self.replacement == Replacement::Learners {
            self.draw_gone_seeds(workload, &mut seeds);
        }
        self.replaced.push(n);
        let replacement = workload.add_machine(&seeds, starts_at, true);
        workload.log(|| format!("p{n} is replaced by p{replacement}, planned {planned}"));
        workload.last_disturbance_at = now;
        if planned {
            let (machine_start, ends) = (workload.machines[n].starts, now + workload.rng.u64(300..1200) * MS);
            workload.schedule_workload(now, WorkloadEvent::Shutdown(n, machine_start));
            workload.schedule_workload(ends, WorkloadEvent::Removed(n));
        } else {
            workload.schedule_workload(now, WorkloadEvent::Removed(n));
        }
    }

    /// In a fault phase, loses a machine without a disk for good and starts another with a new name.
    pub(super) fn replace_learner(&mut self, workload: &mut LongWorkload) {
        let now = workload.now;
        if self.is_calm(now) {
            if let Some(ends) = self.phases.get(self.phase(now)).copied() {
                workload.schedule_workload(ends, WorkloadEvent::Fault(FaultEvent::ReplaceLearner));
            }
            return;
        }
        let next_at = now + workload.rng.u64(50..400) * MS;
        workload.schedule_workload(next_at, WorkloadEvent::Fault(FaultEvent::ReplaceLearner));
        let is_learner = |n: &usize| !workload.machines[*n].can_vote && workload.machines[*n].is_up();
        let learners: Vec<usize> = workload.existing().into_iter().filter(is_learner).collect();
        if learners.is_empty() || workload.machines.len() >= self.max_machines() {
            return;
        }
        let lost = learners[workload.rng.usize(..learners.len())];
        let starts_at = now + workload.rng.u64(..500) * MS;
        let mut seeds = workload.voters();
        self.draw_gone_seeds(workload, &mut seeds);
        let replacement = workload.add_machine(&seeds, starts_at, false);
        workload.story.replaced_learners += 1;
        workload.log(|| format!("p{lost}, without a disk, is replaced by p{replacement}"));
        workload.schedule_workload(now, WorkloadEvent::Removed(lost));
    }

    /// Replaces the seeds of one new machine in four by some that are gone: its settings name others later.
    fn draw_gone_seeds(&self, workload: &mut LongWorkload, seeds: &mut Vec<usize>) {
        let mut gone: Vec<usize> =
            (0..workload.machines.len()).filter(|n| workload.machines[*n].is_removed).collect();
        if workload.rng.u8(..4) > 0 || gone.is_empty() {
            return;
        }
        workload.rng.shuffle(&mut gone);
        gone.truncate(3);
        *seeds = gone;
    }

    /// Starts the new machines of an exchange one after the other, and schedules the shutdown of the old ones. Waits
    /// until all machines are back.
    pub(super) fn begin_exchange(&mut self, workload: &mut LongWorkload) {
        let now = workload.now;
        let voters = workload.voters();
        let is_ready = workload.history.newest() > 0 && voters.iter().all(|n| workload.is_back(*n));
        if !is_ready || workload.machines.len() + voters.len() > MAX_MACHINES {
            let retry_at = now + SECOND;
            return workload.schedule_workload(retry_at, WorkloadEvent::Fault(FaultEvent::Exchange));
        }
        let count = workload.rng.usize(2..=voters.len());
        let old: Vec<usize> = voters[..count].to_vec();
        for n in 0..count {
            let new = workload.add_machine(&voters, now + n as Time * EXCHANGE_STEP, true);
            workload.log(|| format!("p{new} will replace one of {old:?}"));
        }
        workload.last_disturbance_at = now;
        let first_shutdown_at = now + count as Time * EXCHANGE_STEP;
        workload.schedule_workload(first_shutdown_at, WorkloadEvent::Fault(FaultEvent::Retire(old)));
    }

    /// Shuts down the next old machine of an exchange for good, once all others are back.
    pub(super) fn retire_next(&mut self, workload: &mut LongWorkload, mut old: Vec<usize>) {
        let now = workload.now;
        let Some(next) = old.first().copied() else {
            workload.story.exchanges += 1;
            let next_at = now + workload.rng.u64(5..20) * SECOND;
            return workload.schedule_workload(next_at, WorkloadEvent::Fault(FaultEvent::Exchange));
        };
        let others_are_back = workload.voters().iter().all(|n| *n == next || workload.is_back(*n));
        if others_are_back && !workload.machines[next].is_removed {
            self.replaced.push(next);
            workload.log(|| format!("p{next} is shut down for good"));
            workload.last_disturbance_at = now;
            let machine_start = workload.machines[next].starts;
            workload.schedule_workload(now, WorkloadEvent::Shutdown(next, machine_start));
            let ends_at = now + workload.rng.u64(300..1200) * MS;
            workload.schedule_workload(ends_at, WorkloadEvent::Removed(next));
            old.remove(0);
        }
        workload.schedule_workload(now + EXCHANGE_STEP, WorkloadEvent::Fault(FaultEvent::Retire(old)));
    }

    /// Returns whether one more machine may lose its disk: no more voters are lost at a time than the control plane
    /// tolerates.
    pub(super) fn tolerates_loss_of(&self, workload: &LongWorkload, n: usize) -> bool {
        // A new machine needs time to catch up while there is a majority to catch up with.
        let is_lost = |m: &usize| {
            *m != n && (workload.now < workload.impaired_until[*m] + CATCH_UP || !workload.is_back(*m))
        };
        let others = workload.voters().into_iter().filter(is_lost).count();
        workload.history.newest() > 0 && others < self.tolerance && workload.now > BOOTSTRAPPED_BY
    }

    pub(super) fn wipe(&mut self, workload: &mut LongWorkload, n: usize) {
        let voters = workload.voters();
        let n = if voters.contains(&n) { n } else { voters[0] };
        if !self.tolerates_loss_of(workload, n) {
            return;
        }
        let now = workload.now;
        let others_too = workload.rng.u8(..3) == 0;
        let duration = self.fault_ends_at(now, workload.rng.u64(20..4000) * MS) - now;
        if workload.machines[n].is_removed {
            return;
        }
        workload.kill(n, duration);
        workload.impaired_until[n] = workload.impaired_until[n].max(now + duration);
        let keeps_id = workload.defect == Some(Defect::WipedVotes);
        workload.machines[n].wipe(keeps_id);
        let name = workload.machines[n].id.to_string();
        workload.log(|| format!("and comes back without its disk, as {name}"));
        if others_too {
            workload.log(|| "all others lose power meanwhile".into());
            for m in (0..workload.machines.len()).filter(|m| *m != n) {
                let duration = self.fault_ends_at(now, workload.rng.u64(20..3000) * MS) - now;
                workload.kill(m, duration);
            }
        }
    }
}
