//! Callers of the long workload: operators, whose unanswered requests are sent again, and backends with their heartbeats.

use super::*;

impl LongWorkload {
    /// Returns whether a message between a caller and this machine arrives.
    pub(super) fn call_arrives(&mut self, n: usize) -> bool {
        let is_lost = self.call_loss.1 > self.now && self.rng.u32(..1000) < self.call_loss.0;
        self.unreachable_until[n] <= self.now && !is_lost
    }

    pub(super) fn operator(&mut self, o: usize) {
        let listed: Vec<usize> = (0..self.machines.len()).filter(|n| !self.machines[*n].is_removed).collect();
        let acknowledged = self.history.newest();
        self.call += 1;
        let (call, now) = (self.call, self.now);
        let operator = &mut self.operators[o];
        if operator.pending.is_none() {
            let bytes = self.system.rng.u32(self.max_body_bytes / 4..self.max_body_bytes);
            operator.start_request(&mut self.system.rng, now, call, bytes, acknowledged);
        }
        if let Some(to) = operator.next(&mut self.system.rng, call, &listed) {
            self.send_call(o, to);
        }
    }

    pub(super) fn send_call(&mut self, o: usize, to: usize) {
        let Some(pending) = &self.operators[o].pending else { return };
        let (call, request, now) = (pending.call, pending.request.clone(), self.now);
        let delay = MS / 2 + self.rng.u64(..3 * MS) + upload_time(&request);
        if self.call_arrives(to) {
            if !self.machines[to].is_up() {
                self.schedule_workload(
                    now + MS,
                    WorkloadEvent::Reply { operator: o, call, reply: Some(Reply::Unavailable) },
                );
                return;
            }
            self.schedule_workload(now + delay, WorkloadEvent::Call { to, call, operator: o, request });
        }
        self.schedule_workload(
            now + delay + CALL_TIMEOUT,
            WorkloadEvent::Reply { operator: o, call, reply: None },
        );
    }

    pub(super) fn call(
        &mut self,
        to: usize,
        call: u64,
        operator: usize,
        request: Request,
    ) -> Result<(), Violation> {
        let now = self.now;
        let resumes_at = self.machines[to].frozen_until;
        if resumes_at > now {
            // It waits in the machine's socket, whether or not its caller still waits.
            self.schedule_workload(resumes_at, WorkloadEvent::Call { to, call, operator, request });
            return Ok(());
        }
        if !self.machines[to].is_up() {
            return Ok(());
        }
        let request = match request {
            Request::Read(_) => Request::Read(self.history.newest()),
            change => change,
        };
        self.calls.insert(call, Caller::Operator { operator, request: request.clone(), arrived_at: now });
        match request {
            Request::Replace(change) => {
                let body = change.body();
                self.history.sent(&change, &body);
                self.with_node(to, |node| node.replace_configuration(now, call, body.into()))
            }
            Request::Read(_) => self.with_node(to, |node| node.read_configuration(now, call)),
        }
    }

    pub(super) fn reply(&mut self, o: usize, call: u64, reply: Option<Reply>) {
        if self.operators[o].pending.as_ref().is_none_or(|j| j.call != call) {
            return;
        }
        match self.operators[o].on_reply(reply.as_ref(), machine_index) {
            Next::Send(to) => {
                self.call += 1;
                let call = self.call;
                if let Some(pending) = &mut self.operators[o].pending {
                    pending.call = call;
                }
                self.send_call(o, to);
            }
            Next::Pause(pause) => {
                let at = self.now + pause;
                self.schedule_workload(at, WorkloadEvent::Operator(o));
            }
            Next::Ended => {
                let calm_factor = if self.faults.is_calm(self.now) { 3 } else { 1 };
                let at = self.now + calm_factor * self.system.rng.u64(self.max_pause / 8..self.max_pause);
                self.schedule_workload(at, WorkloadEvent::Operator(o));
            }
        }
    }

    // ---- Backends ----

    pub(super) fn send_heartbeat(&mut self, b: usize) {
        if self.backends[b].has_ended {
            return;
        }
        let listed: Vec<usize> = (0..self.machines.len()).filter(|n| !self.machines[*n].is_removed).collect();
        let to = listed[self.rng.usize(..listed.len())];
        self.call += 1;
        let (call, now, id) = (self.call, self.now, self.backends[b].id.clone());
        self.backends[b].call = call;
        let delay = MS / 2 + self.rng.u64(..3 * MS);
        if self.call_arrives(to) {
            if !self.machines[to].is_up() {
                return self.schedule_workload(
                    now + MS,
                    WorkloadEvent::HeartbeatAnswered { b, call, acknowledged: false },
                );
            }
            self.schedule_workload(now + delay, WorkloadEvent::HeartbeatArrives { to, call, b, id });
        }
        self.schedule_workload(
            now + CALL_TIMEOUT,
            WorkloadEvent::HeartbeatAnswered { b, call, acknowledged: false },
        );
    }

    /// Delivers a backend's heartbeat to a machine, or its deregistration once its drain has been acknowledged for
    /// long enough.
    pub(super) fn heartbeat_arrives(
        &mut self,
        to: usize,
        call: u64,
        b: usize,
        id: &str,
    ) -> Result<(), Violation> {
        let now = self.now;
        let resumes_at = self.machines[to].frozen_until;
        if resumes_at > now {
            self.schedule_workload(
                resumes_at,
                WorkloadEvent::HeartbeatArrives { to, call, b, id: id.into() },
            );
            return Ok(());
        }
        if !self.machines[to].is_up() || self.backends[b].id != id {
            return Ok(());
        }
        let backend = &mut self.backends[b];
        let drains = backend.is_draining;
        self.calls.insert(call, Caller::Backend { b, id: id.into(), drains });
        if backend.drained_at.is_some_and(|at| now >= at + MAX_APPLY_TIME) {
            backend.has_ended = true;
            return self.system.with_node(to, |node| node.deregister(now, call, id));
        }
        let heartbeat = backend.next_heartbeat();
        self.system.with_node(to, |node| node.heartbeat(now, call, heartbeat))
    }

    pub(super) fn heartbeat_answered(&mut self, b: usize, call: u64, acknowledged: bool) {
        let now = self.now;
        if self.backends[b].call != call || self.backends[b].has_ended {
            return;
        }
        self.backends[b].call = 0;
        if acknowledged {
            self.backends[b].acknowledged(now);
            let pause = Backend::heartbeat_pause(&mut self.rng);
            return self.schedule_workload(now + pause, WorkloadEvent::Heartbeat(b));
        }
        self.backends[b].attempts += 1;
        let pause = ((30 * MS) << self.backends[b].attempts.min(4)).min(400 * MS);
        self.schedule_workload(now + pause, WorkloadEvent::Heartbeat(b));
    }

    /// A backend starts draining, ends without notice, or is succeeded by a new instance at its address.
    pub(super) fn advance_backend(&mut self, b: usize) {
        let at = self.now + self.rng.u64(6_000..40_000) * MS;
        self.schedule_workload(at, WorkloadEvent::AdvanceBackend(b));
        let id = self.backends[b].id.clone();
        if self.backends[b].has_ended {
            self.backend_starts += 1;
            self.backends[b] = Backend::new(b, self.backend_starts);
            let (now, id) = (self.now, self.backends[b].id.clone());
            self.log(|| format!("{id} starts"));
            return self.schedule_workload(now, WorkloadEvent::Heartbeat(b));
        }
        if self.rng.u8(..4) == 0 {
            self.log(|| format!("{id} ends without notice"));
            self.backends[b].has_ended = true;
        } else {
            self.log(|| format!("{id} starts draining"));
            self.backends[b].is_draining = true;
        }
    }

    /// Checks the report to a gateway that a backend has ended.
    pub(super) fn check_backend_end(&mut self, g: usize, id: &str) -> Result<(), Violation> {
        let now = self.now;
        self.log(|| format!("gateway {g} is told that {id} has ended"));
        let heard_since = self.backends.iter().find(|b| b.id == id).and_then(|b| b.alive_since(now));
        // Two nodes that are both in contact with a majority but not with each other do not forward heartbeats to each
        // other; one of them ends the backend: worst-days, 1.
        let is_undisturbed = now >= self.partitioned_at + BACKEND_DISCOVERY_TIME + 4_000 * MS
            && now >= self.last_fault_at + BACKEND_DISCOVERY_TIME;
        match heard_since.filter(|since| is_undisturbed && now >= since + BACKEND_DISCOVERY_TIME) {
            Some(_) => Err(Violation::EndedAlive { gateway: g, id: id.into() }),
            None => Ok(()),
        }
    }
}
