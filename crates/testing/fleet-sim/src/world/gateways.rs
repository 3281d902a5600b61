//! Gateways' processes: what reaches them, and what they order.

use super::*;

impl World {
    pub(super) fn inward(&mut self, gateway: usize, life: u64, what: Inward) {
        let p = &mut self.processes[gateway];
        if !p.up || p.life != life {
            return;
        }
        if p.paused_until > self.now {
            // It finds it when it goes on.
            let at = p.paused_until;
            return self.at(at, Event::To { gateway, life, what });
        }
        match what {
            Inward::Connected { id, attempt } => {
                if p.out.get(&id).is_some_and(|o| o.attempt == attempt) {
                    self.give(gateway, Input::Connected { id, attempt });
                }
            }
            Inward::Back { id, attempt, ending, facts } => {
                let Some(out) = p.out.get(&id).filter(|o| o.attempt == attempt) else { return };
                let facts = AttemptFacts { elapsed: self.now - out.since, ..facts };
                p.out.remove(&id);
                self.over(gateway, id, attempt, ending, facts);
            }
            Inward::Stopped { id, attempt, written } => {
                let never = !written;
                self.observer.ended(id, attempt, never);
                self.tell_ended(gateway, id, attempt, Ending::Cancelled, AttemptFacts::default());
            }
            Inward::Limit { id, attempt } => {
                let Some(out) = p.out.get(&id).filter(|o| o.attempt == attempt) else { return };
                let ending = if out.written { Ending::TimedOut } else { Ending::Unreachable };
                let facts = AttemptFacts { elapsed: self.now - out.since, ..AttemptFacts::default() };
                p.out.remove(&id);
                self.over(gateway, id, attempt, ending, facts);
            }
            Inward::Left { id } => {
                self.observer.left(id);
                self.waiting.remove(&id);
                self.give(gateway, Input::ClientLeft { id });
            }
            Inward::Told { rev, entries } => self.told(gateway, rev, entries),
            Inward::Grant { planner, grant } => self.give(gateway, Input::Grant { planner, grant }),
            Inward::Tick => {
                let tick = (self.terms.tick as f64 / p.rate) as Time;
                self.at(self.now + tick, Event::To { gateway, life, what: Inward::Tick });
                self.give(gateway, Input::PlanningTick);
            }
            Inward::Wake { number } => {
                if p.wake == number {
                    p.wake_at = None;
                    self.give(gateway, Input::Wake);
                }
            }
        }
    }

    /// An attempt has come to its end at its gateway.
    pub(super) fn over(
        &mut self,
        gateway: usize,
        id: u64,
        attempt: u32,
        ending: Ending,
        facts: AttemptFacts,
    ) {
        let never = matches!(ending, Ending::Overloaded | Ending::Unreachable | Ending::Stale);
        self.observer.ended(id, attempt, never);
        self.trace.tell(self.now, || format!("  {id:x}: attempt {attempt} ends: {ending:?}"));
        self.tell_ended(gateway, id, attempt, ending, facts);
    }

    pub(super) fn tell_ended(
        &mut self,
        gateway: usize,
        id: u64,
        attempt: u32,
        ending: Ending,
        facts: AttemptFacts,
    ) {
        let reply = if ending == Ending::Success { Reply::Good } else { Reply::None };
        self.give(gateway, Input::AttemptEnded { id, attempt, ending, reply, facts });
    }

    /// Hands a gateway an input and carries out what it orders.
    pub(super) fn give(&mut self, gateway: usize, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let p = &mut self.processes[gateway];
        let clock = p.clock(self.now);
        // What tells of something that is over already is no fault here: the world is late as sockets are.
        let _ = p.engine.handle(clock, input, &mut outputs);
        let mut begun = Vec::new();
        for output in outputs.drain(..) {
            self.carry(gateway, output, &mut begun);
        }
        self.outputs = outputs;
        for (id, attempt) in begun {
            let _ = self.processes[gateway].engine.handle(
                clock,
                Input::Progress { id, attempt, step: Step::Written },
                &mut Vec::new(),
            );
        }
        self.schedule(gateway);
    }

    pub(super) fn carry(&mut self, gateway: usize, output: Output, begun: &mut Vec<(u64, u32)>) {
        let (now, life) = (self.now, self.processes[gateway].life);
        match output {
            Output::Start { id, attempt, server, attempt_deadline, .. } => {
                let server = server_number(&server);
                self.trace.note(&[1, id, u64::from(attempt), server as u64]);
                self.trace.tell(now, || {
                    format!("  gateway {gateway} begins attempt {attempt} of {id:x} at server {server}")
                });
                self.counts.attempts += 1;
                self.observer.started(now, id, attempt);
                let p = &mut self.processes[gateway];
                p.out.insert(id, Out { attempt, server, written: false, since: now });
                let limit = p.world(attempt_deadline);
                self.at(limit, Event::To { gateway, life, what: Inward::Limit { id, attempt } });
                let at = now + self.net.u64(200_000..1_500_000);
                let what = if self.servers[server].up {
                    Inward::Connected { id, attempt }
                } else {
                    Inward::Back { id, attempt, ending: Ending::Unreachable, facts: AttemptFacts::default() }
                };
                self.at(at, Event::To { gateway, life, what });
            }
            Output::Write { id, attempt } => {
                let Some(out) = self.processes[gateway].out.get_mut(&id) else { return };
                out.written = true;
                let server = out.server;
                begun.push((id, attempt));
                self.observer.written(now, id, attempt, server);
                let (customer, _, units) = self.asked.get(&id).copied().unwrap_or_default();
                if attempt == 0 {
                    self.observer.first_sent(now, customer, units);
                    let plan = self.plan(customer);
                    let within = plan.rate <= 0.0 || self.quotas.take(customer, &plan, now, units);
                    self.counts.sent_units += units;
                    self.counts.beyond_units += if within { 0.0 } else { units };
                }
                self.jobs += 1;
                let work = long_tailed(&mut self.work, WORK * (0.4 + 0.15 * units));
                let job = Job { gateway, life, id, attempt, work, number: self.jobs };
                let at = now + self.net.u64(100_000..500_000);
                self.at(at, Event::AtServer { server, job });
            }
            Output::Withhold { id, attempt } => {
                self.processes[gateway].out.remove(&id);
                let what = Inward::Stopped { id, attempt, written: false };
                self.at(now, Event::To { gateway, life, what });
            }
            Output::Abort { id, attempt } => {
                if let Some(out) = self.processes[gateway].out.remove(&id) {
                    let what = Inward::Stopped { id, attempt, written: out.written };
                    self.at(now, Event::To { gateway, life, what });
                }
            }
            Output::Answer { id, answer } => {
                self.trace.note(&[2, id, u64::from(answer == FinalAnswer::Served)]);
                self.answered(id, answer);
            }
            Output::RequestEnded { .. } => {}
            Output::Report { planner, report } => self.report(gateway, planner, report),
            Output::Notice(notice @ (Notice::ModulePanicked { .. } | Notice::AccountPanicked))
                if !self.spec.mischief =>
            {
                self.observer.panicked(now, format!("gateway {gateway}: {notice}"));
            }
            Output::Notice(notice) => self.trace.tell(now, || format!("gateway {gateway}: {notice}")),
        }
    }

    /// Has a gateway woken when it wants to be, no sooner than its module may be called.
    pub(super) fn schedule(&mut self, gateway: usize) {
        let p = &mut self.processes[gateway];
        let Some(due) = p.engine.next_due() else { return };
        let at = p.world(due.max(p.engine.next_batch_at())).max(self.now);
        if p.wake_at.is_some_and(|set| set <= at) {
            return;
        }
        p.wake += 1;
        p.wake_at = Some(at);
        let (life, number) = (p.life, p.wake);
        self.at(at, Event::To { gateway, life, what: Inward::Wake { number } });
    }
}
