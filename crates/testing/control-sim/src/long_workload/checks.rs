//! Rules that the long workload checks: what gateways and machines claim and know, and what settled periods bring.

use super::*;

impl LongWorkload {
    // ---- Gateways ----

    /// Checks what a gateway with a fresh view knows.
    pub(super) fn check_gateways_know_backends(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let acknowledged = self.history.acknowledged_by(now.saturating_sub(FRESHNESS_AGE));
        for (g, gateway) in self.system.gateways.iter().enumerate() {
            if gateway.suspended_until > now {
                continue;
            }
            let (view_freshness, view) = (gateway.subscription.freshness(), gateway.subscription.view());
            let version = view.configuration().map_or(0, |c| c.version);
            if view_freshness.is_fresh(now) && version < acknowledged {
                return Err(Violation::ServedOld { gateway: g, version, acknowledged });
            }
            // A view as of a later time includes the drain; the tolerance is there because the time is in ms.
            let is_included = |at: Time| {
                view_freshness.last_quorum_contact().is_some_and(|last_contact| last_contact > at + 2 * MS)
            };
            let drained = self
                .backends
                .iter()
                .find(|b| b.drained_at.is_some_and(is_included) && view.accepts_work(&b.id));
            if let Some(b) = drained {
                return Err(Violation::DrainUnknown { gateway: g, id: b.id.clone() });
            }
        }
        Ok(())
    }

    /// Checks that no node claims a contact with a majority later than it can have heard of one.
    pub(super) fn check_contact_claims(&mut self) -> Result<(), Violation> {
        let now = self.now;
        for n in 0..self.machines.len() {
            if !self.machines[n].is_running(now) {
                continue;
            }
            let age = self.machines[n].with_node(|node| node.quorum_contact_age(now)).unwrap_or(Time::MAX);
            let claimed_at = now.saturating_sub(age);
            if claimed_at > self.last_heard_contact_at[n] {
                return Err(Violation::SaysInTouch(n));
            }
        }
        Ok(())
    }

    /// Checks, in a settled period, that each gateway that reaches control nodes has the current configuration and
    /// knows all live backends.
    pub(super) fn check_gateways_follow(&mut self, since: Time) -> Result<(), Violation> {
        let now = self.now;
        let max_apply_time = if self.max_body_bytes > 1000 { 2 * MAX_APPLY_TIME } else { MAX_APPLY_TIME };
        let acknowledged = self.history.acknowledged_by(now.saturating_sub(max_apply_time));
        for (g, gateway) in self.system.gateways.iter().enumerate() {
            if now < since.max(self.gateway_healthy_since[g]) + max_apply_time {
                continue;
            }
            let view = gateway.subscription.view();
            let version = view.configuration().map_or(0, |c| c.version);
            if version < acknowledged {
                return Err(Violation::GatewayBehind { gateway: g, version, acknowledged });
            }
            let known =
                |b: &&Backend| b.alive_since(now).is_some_and(|at| now >= at + BACKEND_DISCOVERY_TIME);
            let unknown = self.backends.iter().filter(known).find(|b| !view.accepts_work(&b.id));
            // Two nodes that are both in contact with a majority but not with each other do not forward heartbeats to
            // each other; one of them does not know the backend: worst-days, 1.
            if let Some(b) = unknown
                .filter(|_| now >= since.max(self.partitioned_at) + BACKEND_DISCOVERY_TIME + MAX_APPLY_TIME)
            {
                return Err(Violation::LifeUnknown { gateway: g, id: b.id.clone() });
            }
        }
        Ok(())
    }

    // ---- Rules of settled periods ----

    /// Checks the rules that hold at any time, and those that must hold once everything has been calm for long enough.
    pub(super) fn check_rules(&mut self) -> Result<(), Violation> {
        let now = self.now;
        self.schedule_workload(now + CHECK_INTERVAL, WorkloadEvent::CheckRules);
        let (has_full_majority, slowed) = self.update_contacts();
        self.check_gateways_know_backends()?;
        self.check_contact_claims()?;
        if slowed {
            self.last_disturbance_at = now;
        }
        let settled = has_full_majority && !slowed && now >= self.last_disturbance_at + SETTLE_TIME;
        self.settled_since = if settled { self.settled_since.or(Some(now)) } else { None };
        let Some(since) = self.settled_since else { return Ok(()) };
        self.check_answers_come(since)?;
        self.check_gateways_follow(since)?;
        self.check_returned_machines()
    }

    /// Updates which machines have paths to which. Returns whether there is a fully connected majority, and whether
    /// something is slowed.
    pub(super) fn update_contacts(&mut self) -> (bool, bool) {
        let now = self.now;
        let count = self.machines.len();
        let running: Vec<bool> = self.machines.iter().map(|m| m.is_running(now)).collect();
        let are_connected = |a: usize, b: usize| running[a] && running[b] && self.net.is_connected(a, b, now);
        // Whether a majority of the voters that `n` knows have a path of this kind to it, counting itself.
        let has_majority = |n: usize, way: &dyn Fn(usize, usize) -> bool| {
            let Some(leader_status) = self.machines[n].leadership() else { return false };
            let members = &leader_status.voters;
            let has_path = |(name, disk): &(&String, &u64)| {
                let m = machine_index(name);
                self.machines[m].id.disk_id == **disk && (m == n || way(m, n))
            };
            2 * members.iter().filter(has_path).count() > members.len()
        };
        let mut in_contact = vec![false; count];
        for n in (0..count).filter(|n| running[*n]) {
            let (id, leader_status) = (&self.machines[n].id, self.machines[n].leadership());
            in_contact[n] = leader_status.is_some_and(|d| d.voters.get(&id.name) == Some(&id.disk_id))
                && has_majority(n, &are_connected);
        }
        // A leader with a majority proves contact.
        let hears_majority: Vec<bool> = (0..count)
            .map(|n| in_contact[n] || (0..count).any(|m| in_contact[m] && are_connected(m, n)))
            .collect();
        // Members of a fully connected majority: each has a path to each other.
        let is_fully_connected =
            |n: usize| (0..count).all(|m| m == n || !in_contact[m] || !in_contact[n] || are_connected(n, m));
        let reaches_majority = |n: usize| !in_contact[n] || has_majority(n, &|m, _| in_contact[m]);
        let has_full_majority =
            in_contact.iter().any(|c| *c) && (0..count).all(|n| is_fully_connected(n) && reaches_majority(n));
        // During a joint consensus a majority of the old voters is needed too: a just lost disk and another isolated
        // machine are two failures.
        let reaches_old_majority = |n: usize| {
            let Some(raft_node) = self.machines[n].raft().filter(|c| in_contact[n] && c.is_reconfiguring())
            else {
                return true;
            };
            let entries = raft_node.persisted_state().entries;
            let old = entries.iter().rev().find_map(|e| match &e.payload {
                EntryPayload::JointConfiguration { old, .. } => Some(old),
                _ => None,
            });
            let has_path = |(name, disk): &(&String, &u64)| {
                let m = machine_index(name);
                self.machines[m].id.disk_id == **disk && (m == n || are_connected(m, n))
            };
            old.is_none_or(|old| 2 * old.iter().filter(has_path).count() > old.len())
        };
        let has_full_majority = has_full_majority && (0..count).all(reaches_old_majority);
        let is_connected_to_all =
            |n: usize| hears_majority[n] && (0..count).all(|m| m == n || !running[m] || are_connected(n, m));
        let connected_to_all: Vec<bool> = (0..count).map(is_connected_to_all).collect();
        let slowed = (0..count).any(|n| self.net.is_slowed(n, now) || self.disks.is_impaired(n, now));
        let is_partitioned = |a: usize| {
            (0..count).any(|b| hears_majority[a] && hears_majority[b] && a != b && !are_connected(a, b))
        };
        let any_partitioned = slowed || (0..count).any(is_partitioned);
        // Any machine that a node hears may report when it last had a majority.
        let last_contact_of = |m: usize| if in_contact[m] { now } else { self.last_contact_at[m] };
        let reported_contact =
            |n: usize| (0..count).filter(|m| are_connected(*m, n)).map(last_contact_of).max().unwrap_or(0);
        let last_heard_contact_at: Vec<Time> =
            (0..count).map(|n| self.last_heard_contact_at[n].max(reported_contact(n))).collect();
        self.last_heard_contact_at = last_heard_contact_at;
        if any_partitioned {
            self.partitioned_at = now;
        }
        for g in 0..self.gateways.len() {
            if self.gateways[g].isolated_until > now || self.gateways[g].suspended_until > now {
                self.gateway_healthy_since[g] = now;
            }
        }
        for n in 0..count {
            if in_contact[n] {
                self.last_contact_at[n] = now;
            }
            self.connected_since[n] =
                if connected_to_all[n] && !slowed { self.connected_since[n].or(Some(now)) } else { None };
        }
        (has_full_majority, slowed)
    }

    /// Returns whether this node has no path to a majority now, by itself and through others. A link that has just
    /// healed is noticed here first.
    pub(super) fn is_alone(&mut self, n: usize) -> (bool, bool) {
        self.update_contacts();
        (self.last_contact_at[n] < self.now, self.last_heard_contact_at[n] < self.now)
    }

    pub(super) fn check_answers_come(&mut self, since: Time) -> Result<(), Violation> {
        let now = self.now;
        let is_unreachable = |n: &usize| self.unreachable_until[*n] > now;
        if self.call_loss.1 > now || self.leader().is_some_and(|n| is_unreachable(&n)) {
            self.leader_unreachable_at = now;
        }
        // A caller that tries an unresponsive machine goes on to another after a second.
        let count = self.machines.len();
        let unresponsive = |n: &usize| {
            !self.machines[*n].is_running(now) || self.last_contact_at[*n] < now || is_unreachable(n)
        };
        let unresponsive = (0..count).filter(unresponsive).count() as Time;
        let since = since.max(self.leader_unreachable_at);
        // A change that may have been committed so long ago that no record is left is neither acknowledged nor
        // refused: worst-days, 2.
        let state = self.leader().and_then(|n| self.machines[n].state());
        let forgotten = |request: &Request| match request {
            Request::Replace(change) => state.is_some_and(|b| b.may_have_forgotten_version(change.version)),
            Request::Read(_) => false,
        };
        for operator in &self.operators {
            let Some(pending) = operator.pending.as_ref().filter(|j| !forgotten(&j.request)) else {
                continue;
            };
            // The whole request is sent to each machine, and once more to each redirect target.
            let total_upload_time = upload_time(&pending.request) * (unresponsive + 3);
            if now.saturating_sub(pending.began_at.max(since))
                > MAX_ACK_TIME + unresponsive * (CALL_TIMEOUT + 500 * MS) + total_upload_time
            {
                return Err(Violation::NotAnswered(format!("{:?}", pending.request)));
            }
        }
        Ok(())
    }

    /// Checks that a machine that has been back for long enough has every acknowledged configuration, and votes.
    pub(super) fn check_returned_machines(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let known = self.history.acknowledged_by(now - 1500 * MS);
        let has_been_back =
            |n: usize| self.connected_since[n].is_some_and(|at| now >= at + CATCH_UP + SETTLE_TIME);
        for (_, m) in self.machines.iter().enumerate().filter(|(n, _)| has_been_back(*n)) {
            if m.version() < known {
                return Err(Violation::Behind(m.id.to_string()));
            }
        }
        let voters: Vec<(usize, &Machine)> =
            self.machines.iter().enumerate().filter(|(_, m)| m.can_vote && !m.is_removed).collect();
        // Of an even number of machines one waits, or a set of one more keeps a machine that is gone.
        let is_odd = voters.len() % 2 == 1;
        if is_odd && voters.iter().all(|(n, _)| has_been_back(*n)) {
            let expected: VoterSet = voters.iter().map(|(_, m)| (m.id.name.clone(), m.id.disk_id)).collect();
            if let Some((_, m)) =
                voters.iter().find(|(_, m)| m.leadership().is_none_or(|d| d.voters != expected))
            {
                return Err(Violation::NotRepaired(m.id.to_string()));
            }
        }
        Ok(())
    }
}
