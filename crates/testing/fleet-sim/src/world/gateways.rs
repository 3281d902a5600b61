//! Gateway processes: delivery of their events, and execution of their outputs.

use super::*;

impl World {
    pub(super) fn handle_gateway_event(&mut self, gateway: usize, generation: u64, event: GatewayEvent) {
        let p = &mut self.processes[gateway];
        if !p.running || p.generation != generation {
            return;
        }
        if p.paused_until > self.now {
            // A paused process handles the event when it resumes.
            let at = p.paused_until;
            return self.schedule(at, Event::AtGateway { gateway, generation, event });
        }
        match event {
            GatewayEvent::Connected { id, attempt } => {
                if p.open_attempts.get(&id).is_some_and(|o| o.attempt == attempt) {
                    self.handle_input(gateway, Input::Connected { id, attempt });
                }
            }
            GatewayEvent::AttemptResult { id, attempt, ending, facts } => {
                let Some(open) = p.open_attempts.get(&id).filter(|o| o.attempt == attempt) else { return };
                let facts = AttemptFacts { elapsed: self.now - open.since, ..facts };
                p.open_attempts.remove(&id);
                self.finish_attempt(gateway, id, attempt, ending, facts);
            }
            GatewayEvent::Stopped { id, attempt, written } => {
                let did_not_run = !written;
                self.observer.ended(id, attempt, did_not_run);
                self.report_attempt_end(gateway, id, attempt, Ending::Cancelled, AttemptFacts::default());
            }
            GatewayEvent::AttemptTimeout { id, attempt } => {
                let Some(open) = p.open_attempts.get(&id).filter(|o| o.attempt == attempt) else { return };
                let ending = if open.written { Ending::TimedOut } else { Ending::Unreachable };
                let facts = AttemptFacts { elapsed: self.now - open.since, ..AttemptFacts::default() };
                p.open_attempts.remove(&id);
                self.finish_attempt(gateway, id, attempt, ending, facts);
            }
            GatewayEvent::ClientGone { id } => {
                self.observer.client_left(id);
                self.waiting.remove(&id);
                self.handle_input(gateway, Input::ClientLeft { id });
            }
            GatewayEvent::ServerListUpdate { rev, entries } => self.apply_server_list(gateway, rev, entries),
            GatewayEvent::Grant { planner, grant } => {
                self.handle_input(gateway, Input::Grant { planner, grant })
            }
            GatewayEvent::Tick => {
                let tick = (self.lease_config.tick as f64 / p.rate) as Time;
                self.schedule(
                    self.now + tick,
                    Event::AtGateway { gateway, generation, event: GatewayEvent::Tick },
                );
                self.handle_input(gateway, Input::PlanningTick);
            }
            GatewayEvent::Wake { number } => {
                if p.wake == number {
                    p.wake_at = None;
                    self.handle_input(gateway, Input::Wake);
                }
            }
        }
    }

    /// Ends an attempt at its gateway.
    pub(super) fn finish_attempt(
        &mut self,
        gateway: usize,
        id: u64,
        attempt: u32,
        ending: Ending,
        facts: AttemptFacts,
    ) {
        let did_not_run = matches!(ending, Ending::Overloaded | Ending::Unreachable | Ending::Stale);
        self.observer.ended(id, attempt, did_not_run);
        self.trace.log(self.now, || format!("  {id:x}: attempt {attempt} ends: {ending:?}"));
        self.report_attempt_end(gateway, id, attempt, ending, facts);
    }

    pub(super) fn report_attempt_end(
        &mut self,
        gateway: usize,
        id: u64,
        attempt: u32,
        ending: Ending,
        facts: AttemptFacts,
    ) {
        let reply = if ending == Ending::Success { Reply::Good } else { Reply::None };
        self.handle_input(gateway, Input::AttemptEnded { id, attempt, ending, reply, facts });
    }

    /// Passes an input to a gateway's engine and executes its outputs.
    pub(super) fn handle_input(&mut self, gateway: usize, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let p = &mut self.processes[gateway];
        let clock = p.clock(self.now);
        // Inputs about something that has already ended are no fault here: the simulated sockets
        // report as late as real ones.
        let _ = p.engine.handle(clock, input, &mut outputs);
        let mut written_attempts = Vec::new();
        for output in outputs.drain(..) {
            self.apply_output(gateway, output, &mut written_attempts);
        }
        self.outputs = outputs;
        for (id, attempt) in written_attempts {
            let _ = self.processes[gateway].engine.handle(
                clock,
                Input::Progress { id, attempt, step: Step::Written },
                &mut Vec::new(),
            );
        }
        self.schedule_wake(gateway);
    }

    pub(super) fn apply_output(
        &mut self,
        gateway: usize,
        output: Output,
        written_attempts: &mut Vec<(u64, u32)>,
    ) {
        let (now, generation) = (self.now, self.processes[gateway].generation);
        match output {
            Output::Start { id, attempt, server, attempt_deadline, .. } => {
                let server = server_number(&server);
                self.trace.note(&[1, id, u64::from(attempt), server as u64]);
                self.trace.log(now, || {
                    format!("  gateway {gateway} begins attempt {attempt} of {id:x} at server {server}")
                });
                self.counts.attempts += 1;
                self.observer.started(now, id, attempt);
                let p = &mut self.processes[gateway];
                p.open_attempts.insert(id, OpenAttempt { attempt, server, written: false, since: now });
                let limit = p.world(attempt_deadline);
                self.schedule(
                    limit,
                    Event::AtGateway {
                        gateway,
                        generation,
                        event: GatewayEvent::AttemptTimeout { id, attempt },
                    },
                );
                let at = now + self.network_rng.u64(200_000..1_500_000);
                let event = if self.servers[server].running {
                    GatewayEvent::Connected { id, attempt }
                } else {
                    GatewayEvent::AttemptResult {
                        id,
                        attempt,
                        ending: Ending::Unreachable,
                        facts: AttemptFacts::default(),
                    }
                };
                self.schedule(at, Event::AtGateway { gateway, generation, event });
            }
            Output::Write { id, attempt } => {
                let Some(open) = self.processes[gateway].open_attempts.get_mut(&id) else { return };
                open.written = true;
                let server = open.server;
                written_attempts.push((id, attempt));
                self.observer.written(now, id, attempt, server);
                let (customer, _, units) = self.requests.get(&id).copied().unwrap_or_default();
                if attempt == 0 {
                    self.observer.first_sent(now, customer, units);
                    let plan = self.plan(customer);
                    let within = plan.rate <= 0.0 || self.quotas.take(customer, &plan, now, units);
                    self.counts.sent_units += units;
                    self.counts.units_over_quota += if within { 0.0 } else { units };
                }
                self.jobs += 1;
                let work = long_tailed(&mut self.work_rng, MEAN_WORK * (0.4 + 0.15 * units));
                let job = Job { gateway, generation, id, attempt, work, number: self.jobs };
                let at = now + self.network_rng.u64(100_000..500_000);
                self.schedule(at, Event::AtServer { server, job });
            }
            Output::Withhold { id, attempt } => {
                self.processes[gateway].open_attempts.remove(&id);
                let event = GatewayEvent::Stopped { id, attempt, written: false };
                self.schedule(now, Event::AtGateway { gateway, generation, event });
            }
            Output::Abort { id, attempt } => {
                if let Some(open) = self.processes[gateway].open_attempts.remove(&id) {
                    let event = GatewayEvent::Stopped { id, attempt, written: open.written };
                    self.schedule(now, Event::AtGateway { gateway, generation, event });
                }
            }
            Output::Answer { id, answer } => {
                self.trace.note(&[2, id, u64::from(answer == FinalAnswer::Served)]);
                self.answered(id, answer);
            }
            Output::RequestEnded { .. } => {}
            Output::Report { planner, report } => self.report(gateway, planner, report),
            Output::Notice(notice @ (Notice::ModulePanicked { .. } | Notice::AccountPanicked))
                if !self.spec.faulty_module =>
            {
                self.observer.panicked(now, format!("gateway {gateway}: {notice}"));
            }
            Output::Notice(notice) => self.trace.log(now, || format!("gateway {gateway}: {notice}")),
        }
    }

    /// Schedules the engine's next wake-up, no earlier than its module may be called.
    pub(super) fn schedule_wake(&mut self, gateway: usize) {
        let p = &mut self.processes[gateway];
        let Some(due) = p.engine.next_due() else { return };
        let at = p.world(due.max(p.engine.next_batch_at())).max(self.now);
        if p.wake_at.is_some_and(|set| set <= at) {
            return;
        }
        p.wake += 1;
        p.wake_at = Some(at);
        let (generation, number) = (p.generation, p.wake);
        self.schedule(at, Event::AtGateway { gateway, generation, event: GatewayEvent::Wake { number } });
    }
}
