//! A gateway as one state machine: requests, the decision module, the allowance account and timers. It has no I/O and no
//! clock: [`Engine::handle`] takes an input with its time and appends outputs, and [`Engine::next_due`] returns when the
//! next [`Input::Wake`] is due. The proxy translates socket events to inputs and outputs to socket operations; the
//! simulator does the same in virtual time.
#![forbid(unsafe_code)]

mod admission;
mod events;

pub use events::{
    AnswerCounts, AttemptFacts, EngineCounts, Error, Incoming, Input, ListEntry, Notice, Output, Totals,
};
pub use lifecycle::{FinalAnswer, ListedServer, Reply, Step};

use admission::Admission;
use forward::{Account, Mode};
use interface::{Action, AttemptEnd, Event, Health, Module, Name, Request, RequestId, Scope, Settings, Time};
use lifecycle::{self as lifecycle, Arrival, Command, Limits, ModuleEvent, RequestTable};
use maintenance::{Bans, NeverListed};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Creates a decision module without state, from a seed and the time.
pub type ModuleFactory<M> = Box<dyn Fn(u64, Time) -> Result<M, String>>;

/// Time limits of requests, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long before the client's timeout the final answer is due, for its transmission; at most a tenth of the
    /// timeout.
    pub way_back: Time,
    /// How long after that deadline the module may still answer.
    pub module_grace: Time,
    /// How long before servers forget an idempotency key its last retry may be written.
    pub key_margin: Time,
    /// The minimum time between two calls of the module; events in between are delivered as one batch. 0: events are
    /// delivered at once when the loop is idle, and otherwise with the next batch.
    pub min_batch_interval: Time,
}

/// A request whose body is incomplete after this time is given up; its front end gives up on slow ones long before.
const MAX_PENDING_BODY_TIME: Time = 3_600_000_000_000;

/// The state machine of one gateway.
pub struct Engine<M> {
    settings: Settings,
    way_back: Time,
    min_batch_interval: Time,
    module: M,
    module_factory: ModuleFactory<M>,
    requests: RequestTable,
    admission: Admission,
    /// The current server list of discovery.
    nodes: BTreeMap<Name, ListEntry>,
    /// Applied to every list entry before it is passed on.
    bans: Bans,
    is_discovery_lost: bool,
    /// Events for the module's next call, and the earliest time of that call.
    events: Vec<Event>,
    next_batch_at: Time,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    /// This gateway's share of all work, as last sent to the module; before that, 1 divided by the settings' number of
    /// gateways.
    announced_share: f64,
    counts: EngineCounts,
    /// Since the start: final answers by class, and attempts that reached [`Step::Written`].
    answers: Vec<AnswerCounts>,
    attempts: u64,
    /// Empty between calls; kept to reuse their allocations.
    commands: Vec<Command>,
    actions: Vec<Action>,
}

impl<M: Module> Engine<M> {
    /// Creates an engine without requests and servers.
    ///
    /// # Errors
    /// Returns the module's reason if it rejects the settings, or an error if they contain no class.
    pub fn new(
        settings: Settings,
        seed: u64,
        timing: Timing,
        now: Time,
        module_factory: ModuleFactory<M>,
    ) -> Result<Self, String> {
        if settings.classes.is_empty() {
            return Err("no class is named".into());
        }
        let limits = Limits {
            max_attempts: settings.max_attempts,
            grace: timing.module_grace,
            key_margin: timing.key_margin,
        };
        Ok(Engine {
            module: module_factory(seed, now)?,
            module_factory,
            way_back: timing.way_back,
            min_batch_interval: timing.min_batch_interval,
            requests: RequestTable::new(limits),
            admission: Admission::default(),
            nodes: BTreeMap::new(),
            bans: Bans::default(),
            is_discovery_lost: false,
            events: Vec::new(),
            next_batch_at: now,
            timers: BinaryHeap::new(),
            announced_share: 1.0 / f64::from(settings.gateways.max(1)),
            counts: EngineCounts::default(),
            answers: vec![AnswerCounts::default(); settings.classes.len()],
            attempts: 0,
            commands: Vec::new(),
            actions: Vec::new(),
            settings,
        })
    }

    /// Applies new settings. They contain at least the old classes, plans and pools, at their indices. Requests that
    /// are in progress keep the terms with which they arrived.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.answers.resize(settings.classes.len().max(self.answers.len()), AnswerCounts::default());
        self.module.reconfigure(&settings);
        self.settings = settings;
    }

    /// Sets the account that decides on allowances from now on.
    pub fn set_account(&mut self, account: Account) {
        self.admission.set_account(account);
    }

    /// Returns whether any server accepts new requests.
    pub fn can_serve(&self) -> bool {
        self.requests.server_list().any_ready()
    }

    /// Returns whether a request with this id is in progress.
    pub fn has_request(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some()
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no state of any request is left.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.admission.is_empty()
    }

    /// Returns the mode of the allowance account, if there is one.
    pub fn mode(&self) -> Option<Mode> {
        self.admission.mode()
    }

    /// Returns the counts since the start, and the state of the server list.
    pub fn totals(&self) -> Totals {
        let avoided = self.module.avoided();
        let is_unavailable = |(node, _): &&ListEntry| {
            node.health != Health::Up || self.bans.is_banned(&node.name) || avoided.contains(&node.name)
        };
        Totals {
            answers: self.answers.clone(),
            attempts: self.attempts,
            listed: self.nodes.len(),
            down: self.nodes.values().filter(is_unavailable).count(),
        }
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> EngineCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the earliest time of the next call to the module.
    pub fn next_batch_at(&self) -> Time {
        self.next_batch_at
    }

    /// Returns when the next [`Input::Wake`] is due, if no other input comes before.
    pub fn next_due(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let event = (!self.events.is_empty()).then_some(self.next_batch_at);
        timer.into_iter().chain(self.requests.next_due()).chain(event).min()
    }

    /// Returns whether events are queued for the next call to the module.
    pub fn wants_wake(&self) -> bool {
        !self.events.is_empty()
    }

    /// Handles an input at time `now` and appends the resulting outputs, in order.
    ///
    /// # Errors
    /// Returns [`Error`] if an input of a front end or an attempt is invalid in the present state. Nothing has changed
    /// then.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) -> Result<(), Error> {
        match input {
            Input::Received(incoming) => return self.request_received(now, incoming, out),
            Input::BodyCompleted { id, timeout } => {
                let deadline = self.answer_deadline(now, timeout);
                self.handle_lifecycle_input(
                    now,
                    lifecycle::Input::BodyCompleted { id, deadline },
                    AttemptFacts::default(),
                    out,
                )?;
            }
            Input::ClientLeft { id } => {
                let (events_before, class) =
                    (self.events.len(), self.requests.get(id).map(|request| request.class()));
                self.handle_lifecycle_input(
                    now,
                    lifecycle::Input::ClientLeft { id },
                    AttemptFacts::default(),
                    out,
                )?;
                // Counted only if it left without its answer, and not if it left just as the answer was sent.
                if let Some(class) = class.filter(|_| self.events.len() > events_before) {
                    self.count_answer(class, FinalAnswer::Failed { late: false });
                }
            }
            Input::Connected { id, attempt } => {
                self.handle_lifecycle_input(
                    now,
                    lifecycle::Input::Connected { id, attempt },
                    AttemptFacts::default(),
                    out,
                )?;
            }
            // Progress yields no commands.
            Input::Progress { id, attempt, step } => {
                let input = lifecycle::Input::Progress { id, attempt, step };
                self.requests.handle(now, input, &mut self.commands)?;
                self.attempts += u64::from(step == Step::Written);
            }
            Input::AnswerStarted { id, attempt, facts } => {
                self.handle_lifecycle_input(
                    now,
                    lifecycle::Input::AnswerStarted { id, attempt },
                    facts,
                    out,
                )?;
            }
            Input::AttemptEnded { id, attempt, ending, reply, facts } => {
                let input = lifecycle::Input::AttemptEnded { id, attempt, ending, reply };
                self.handle_lifecycle_input(now, input, facts, out)?;
            }
            Input::ServerList { scope, rev, entries } => {
                self.server_list_received(now, scope, rev, entries, out)
            }
            Input::AllowanceDecided { id, allowance } => {
                self.events.push(Event::AllowanceDecided { id, allowance })
            }
            Input::DiscoveryFailed => {
                if !std::mem::replace(&mut self.is_discovery_lost, true) {
                    out.push(Output::Notice(Notice::DiscoveryLost));
                }
                self.events.push(Event::Fleet { seq: 0, scope: Scope::Failed, nodes: Vec::new() });
            }
            Input::Grant { planner, grant } => {
                if self.admission.grant(now, planner, &grant) {
                    self.retry_admission(now);
                }
                self.report_account_panic(out);
            }
            Input::GatewayPosition { position, gateways } => {
                self.events.push(Event::GatewayPosition { position, gateways })
            }
            Input::PlannerLiveness(alive) => self.admission.set_planner_liveness(&alive),
            Input::PlanningTick => self.planning_tick(now, out),
            Input::Wake => self.wake(now, out),
        }
        Ok(())
    }

    // ---- Requests ----

    fn request_received(
        &mut self,
        now: Time,
        incoming: Incoming,
        out: &mut Vec<Output>,
    ) -> Result<(), Error> {
        let classes = &self.settings.classes;
        let class_index = if incoming.class < classes.len() { incoming.class } else { 0 };
        let class = &classes[class_index];
        let deadline = if incoming.body_pending {
            now + MAX_PENDING_BODY_TIME
        } else {
            self.answer_deadline(now, incoming.timeout)
        };
        let (effect, group, key_ttl) = (class.effect, class.group, class.key_ttl);
        let arrival = Arrival {
            id: incoming.id,
            class: class_index,
            effect,
            group,
            key_ttl,
            deadline,
            has_single_attempt: incoming.body_pending,
        };
        self.handle_lifecycle_input(now, lifecycle::Input::Received(arrival), AttemptFacts::default(), out)?;
        let request = Request {
            id: incoming.id,
            class: incoming.class,
            plan: incoming.plan,
            customer: incoming.customer,
            deadline,
            units: incoming.units,
            spread: incoming.spread,
            repeat: incoming.repeat,
            pool: incoming.pool,
            allowance: incoming.allowance,
        };
        self.events.extend(self.admission.admit(now, request, None).map(Event::Request));
        self.report_account_panic(out);
        Ok(())
    }

    /// Returns when the final answer is due to a client with this timeout: [`Timing::way_back`] before the timeout, but
    /// at most a tenth of it.
    fn answer_deadline(&self, now: Time, timeout: Time) -> Time {
        now + timeout - self.way_back.min(timeout / 10)
    }

    fn retry_admission(&mut self, now: Time) {
        for (request, since) in self.admission.waiting() {
            if self.requests.get(request.id).is_some() {
                self.events.extend(self.admission.admit(now, request, Some(since)).map(Event::Request));
            }
        }
    }

    fn planning_tick(&mut self, now: Time, out: &mut Vec<Output>) {
        let reports = self.admission.reports(now);
        out.extend(reports.into_iter().map(|(planner, report)| Output::Report { planner, report }));
        // Small changes are not worth a call to the module.
        if let Some(share) = self
            .admission
            .work_share()
            .filter(|s| (s - self.announced_share).abs() > self.announced_share / 8.0)
        {
            self.announced_share = share;
            self.events.push(Event::WorkShare { work_share: share });
        }
        self.retry_admission(now);
        self.report_account_panic(out);
    }

    fn report_account_panic(&mut self, out: &mut Vec<Output>) {
        if self.admission.panicked() {
            out.push(Output::Notice(Notice::AccountPanicked));
        }
    }

    // ---- Request state machines ----

    /// Passes an input to the request table and carries out the resulting commands.
    fn handle_lifecycle_input(
        &mut self,
        now: Time,
        input: lifecycle::Input,
        facts: AttemptFacts,
        out: &mut Vec<Output>,
    ) -> Result<(), Error> {
        let answer_started = matches!(input, lifecycle::Input::AnswerStarted { .. });
        let mut commands = std::mem::take(&mut self.commands);
        let result = self.requests.handle(now, input, &mut commands);
        for command in commands.drain(..) {
            match command {
                Command::Start { id, attempt, server, address, attempt_deadline } => {
                    self.admission.attempt_started(id);
                    out.push(Output::Start { id, attempt, server, address, attempt_deadline });
                }
                Command::Write { id, attempt } => out.push(Output::Write { id, attempt }),
                Command::Withhold { id, attempt } => out.push(Output::Withhold { id, attempt }),
                Command::Abort { id, attempt } => out.push(Output::Abort { id, attempt }),
                Command::Answer { id, class, answer } => {
                    // A streamed answer is counted when it ends.
                    if !answer_started {
                        self.count_answer(class, answer);
                    }
                    out.push(Output::Answer { id, answer });
                    self.request_ended(now, id, out);
                }
                Command::Streamed { id, class, is_complete } => {
                    self.count_answer(
                        class,
                        if is_complete { FinalAnswer::Served } else { FinalAnswer::Failed { late: false } },
                    );
                    self.request_ended(now, id, out);
                }
                Command::NotifyModule(event) => self.notify_module(now, event, facts, out),
            }
        }
        self.commands = commands;
        result
    }

    /// Counts a final answer. Nothing else updates these counts.
    fn count_answer(&mut self, class: usize, answer: FinalAnswer) {
        let Some(counts) = self.answers.get_mut(class) else { return };
        *match answer {
            FinalAnswer::Served => &mut counts.served,
            FinalAnswer::Refused { .. } => &mut counts.refused,
            FinalAnswer::Rejected | FinalAnswer::Failed { .. } => &mut counts.failed,
        } += 1;
    }

    /// Releases the resources of a request if it has ended.
    fn request_ended(&mut self, now: Time, id: RequestId, out: &mut Vec<Output>) {
        if self.requests.get(id).is_none() {
            self.admission.request_ended(id, now);
            out.push(Output::RequestEnded { id });
        }
    }

    /// Queues an event for the module.
    fn notify_module(
        &mut self,
        now: Time,
        module_event: ModuleEvent,
        facts: AttemptFacts,
        out: &mut Vec<Output>,
    ) {
        let AttemptFacts { elapsed, settled, metered, load } = facts;
        let event = match module_event {
            ModuleEvent::ClientLeft { id } => {
                self.request_ended(now, id, out);
                Event::ClientLeft { id }
            }
            ModuleEvent::Ended { id, attempt, server, ending, last } => {
                self.request_ended(now, id, out);
                Event::AttemptEnd(AttemptEnd {
                    id,
                    attempt,
                    server,
                    ending,
                    last,
                    elapsed,
                    settled,
                    metered,
                    load,
                })
            }
        };
        self.events.push(event);
    }

    // ---- Server list ----

    fn server_list_received(
        &mut self,
        now: Time,
        scope: Scope,
        rev: u64,
        entries: Vec<ListEntry>,
        out: &mut Vec<Output>,
    ) {
        if scope != Scope::Cached && std::mem::take(&mut self.is_discovery_lost) {
            out.push(Output::Notice(Notice::DiscoveryRestored { rev }));
        }
        if scope != Scope::Changes {
            self.nodes.clear();
        }
        self.bans.record_names(entries.iter().map(|(node, _)| &node.name));
        self.nodes.extend(entries.iter().map(|entry| (entry.0.name.clone(), entry.clone())));
        self.nodes.retain(|_, (node, _)| node.health != Health::Removed);
        let nodes = &self.nodes;
        self.bans.sweep(|name| nodes.contains_key(name));
        self.apply_list(now, scope, rev, entries);
    }

    /// Applies the bans to list entries and passes them on. The request table and the module learn of servers in no
    /// other way.
    fn apply_list(&mut self, now: Time, scope: Scope, seq: u64, mut entries: Vec<ListEntry>) {
        for (node, address) in &mut entries {
            self.bans.apply_to(node);
            *address = address.filter(|_| node.health == Health::Up);
        }
        let servers = entries.iter().map(|(node, address)| ListedServer {
            name: node.name.clone(),
            zone: node.zone,
            cell: node.cell,
            address: *address,
            is_removed: node.health == Health::Removed,
        });
        // Before the module is notified: an attempt that is connecting checks the list before it writes.
        let input =
            lifecycle::Input::ServerList { is_full: scope != Scope::Changes, servers: servers.collect() };
        let result = self.requests.handle(now, input, &mut self.commands);
        debug_assert!(result.is_ok() && self.commands.is_empty(), "a server list yields no commands");
        let nodes = entries.into_iter().map(|(node, _)| node).collect();
        self.events.push(Event::Fleet { seq, scope, nodes });
    }

    // ---- Manual bans ----

    /// Bans a server: no new attempt is sent to it, whatever discovery reports, until it is unbanned. Returns whether
    /// the ban is new.
    ///
    /// # Errors
    /// Returns an error if no list has ever contained the server.
    pub fn ban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let is_new = self.bans.ban(now, target)?;
        self.reapply_entries(now, &[target.into()]);
        Ok(is_new)
    }

    /// Ends the ban of a server. If it was last started before the ban, it counts as just started. Returns whether it was
    /// banned.
    ///
    /// # Errors
    /// Returns an error if no list has ever contained the server.
    pub fn unban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let was_banned = self.bans.unban(now, target)?;
        self.reapply_entries(now, &[target.into()]);
        Ok(was_banned)
    }

    /// Returns the module's state for another process of this gateway to continue from.
    pub fn export_state(&self) -> String {
        self.module.export_state()
    }

    /// Continues from the state that another process of this gateway exported.
    ///
    /// # Errors
    /// Returns the reason if the state cannot be used. Nothing has changed then, unless the module panicked.
    pub fn import_state(&mut self, now: Time, state: &str) -> Result<(), String> {
        let module = &mut self.module;
        // The state comes from outside the process: a panic on it must not end the gateway.
        let result = catch_unwind(AssertUnwindSafe(|| module.import_state(now, state)));
        result.unwrap_or_else(|_| Err("the module panicked while importing the state".into()))
    }

    /// Returns the manually banned servers, and when each was banned.
    pub fn bans(&self) -> BTreeMap<Name, Time> {
        self.bans.banned().map(|(name, since)| (name.clone(), since)).collect()
    }

    /// Adopts the bans of another process of this gateway. Returns the number of changes.
    pub fn adopt_bans(&mut self, now: Time, bans: &BTreeMap<Name, Time>) -> usize {
        let changed = self.bans.adopt(now, bans);
        self.reapply_entries(now, &changed);
        changed.len()
    }

    fn reapply_entries(&mut self, now: Time, names: &[Name]) {
        let entries: Vec<ListEntry> = names.iter().filter_map(|name| self.nodes.get(name).cloned()).collect();
        if !entries.is_empty() {
            self.apply_list(now, Scope::Changes, 0, entries);
        }
    }

    // ---- Timers ----

    /// Fires due timers and calls the module with the queued events.
    fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next_batch_at = now + self.min_batch_interval;
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, token))) = self.timers.pop() {
                self.events.push(Event::Timer { token });
            }
        }
        if self.requests.next_due().is_some_and(|at| at <= now) {
            self.answer_overdue(now, out);
        }
        if self.events.is_empty() {
            return;
        }
        self.counts.batches += 1;
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        let module = &mut self.module;
        if catch_unwind(AssertUnwindSafe(|| module.handle(now, events, &mut actions))).is_err() {
            return self.restart_module(now, out);
        }
        for action in actions.drain(..) {
            let input = match action {
                Action::Send { id, server, attempt_deadline } => {
                    lifecycle::Input::Send { id, server, attempt_deadline }
                }
                Action::Reject { id, advice } => lifecycle::Input::Refuse { id, advice },
                Action::Fail { id } => lifecycle::Input::Fail { id },
                Action::Cancel { id, attempt } => lifecycle::Input::Cancel { id, attempt },
                Action::Timer { token, at } => {
                    self.timers.push(Reverse((at, token)));
                    continue;
                }
                // The caller is always subscribed to discovery.
                Action::Subscribe { .. } => continue,
            };
            self.handle_or_report(now, input, out);
        }
        self.actions = actions;
    }

    /// Handles an input that is invalid only through a defect of this program.
    fn handle_or_report(&mut self, now: Time, input: lifecycle::Input, out: &mut Vec<Output>) {
        if let Err(error) = self.handle_lifecycle_input(now, input, AttemptFacts::default(), out) {
            out.push(Output::Notice(Notice::InvalidReport(error)));
        }
    }

    /// Answers requests on which the module did not decide in time, and aborts their attempts.
    fn answer_overdue(&mut self, now: Time, out: &mut Vec<Output>) {
        let unserved = |answers: &[AnswerCounts]| answers.iter().map(|c| c.refused + c.failed).sum::<u64>();
        let before = unserved(&self.answers);
        self.handle_or_report(now, lifecycle::Input::Tick, out);
        self.counts.overdue += unserved(&self.answers) - before;
    }

    /// Replaces the module after a panic, since its state cannot be trusted. As after a restart, the new one starts from
    /// the server list alone, and all requests in progress are answered. Connections and attempts in flight stay.
    fn restart_module(&mut self, now: Time, out: &mut Vec<Output>) {
        out.push(Output::Notice(Notice::ModulePanicked { ended: self.requests.len() }));
        // The factory's settings were valid at startup.
        let Ok(mut module) = (self.module_factory)(now, now) else { return };
        module.reconfigure(&self.settings);
        self.module = module;
        self.handle_or_report(now, lifecycle::Input::Panicked, out);
        self.timers.clear();
        let entries = self.nodes.values().cloned().collect();
        self.apply_list(now, Scope::Cached, 0, entries);
    }
}
