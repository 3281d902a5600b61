//! One whole gateway as a state machine: requests, the decision module, the account of allowances and timers. No I/O
//! and no clock: [`Engine::handle`] takes an input with its time and returns outputs; [`Engine::next_due`] is when it
//! wants to be woken. The proxy turns sockets into inputs and outputs into socket operations; the simulator does so in
//! virtual time.
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

/// Makes a decision module without state, from a seed and the time.
pub type ModuleFactory<M> = Box<dyn Fn(u64, Time) -> Result<M, String>>;

/// Time limits of requests, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long before the client's time is up the final answer is due; a tenth of that time at most.
    pub way_back: Time,
    /// How long after that the module may still answer.
    pub module_grace: Time,
    /// How long before servers forget a key its last repeat may be written.
    pub key_margin: Time,
    /// The least time between two calls of the module: events in between are handed over together. 0: events are handed
    /// over at once when the loop is idle, and otherwise with the next batch.
    pub min_batch_interval: Time,
}

/// An open request that is not complete by then is given up; its front end gives up on slow ones long before.
const MAX_OPEN_REQUEST_TIME: Time = 3_600_000_000_000;

pub struct Engine<M> {
    settings: Settings,
    way_back: Time,
    min_batch_interval: Time,
    module: M,
    module_factory: ModuleFactory<M>,
    requests: RequestTable,
    admission: Admission,
    /// Discovery's list as it stands.
    nodes: BTreeMap<Name, ListEntry>,
    /// Applied to the list wherever it is passed on.
    bans: Bans,
    list_lost: bool,
    /// Events for the module's next call, and the earliest time of that call.
    events: Vec<Event>,
    next_batch_at: Time,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    /// The share of all work that the module was told last.
    announced_share: f64,
    counts: EngineCounts,
    /// Final answers since the start, by class; and attempts that were completely written.
    answers: Vec<AnswerCounts>,
    attempts: u64,
    /// Empty between calls: kept to reuse their allocations.
    orders: Vec<Command>,
    actions: Vec<Action>,
}

impl<M: Module> Engine<M> {
    /// An engine without requests that knows no server.
    ///
    /// # Errors
    /// What the module says of the settings, or that they name no class.
    pub fn new(
        settings: Settings,
        seed: u64,
        figures: Timing,
        now: Time,
        make: ModuleFactory<M>,
    ) -> Result<Self, String> {
        if settings.classes.is_empty() {
            return Err("no class is named".into());
        }
        let limits = Limits {
            max_attempts: settings.max_attempts,
            grace: figures.module_grace,
            key_margin: figures.key_margin,
        };
        Ok(Engine {
            module: make(seed, now)?,
            module_factory: make,
            way_back: figures.way_back,
            min_batch_interval: figures.min_batch_interval,
            requests: RequestTable::new(limits),
            admission: Admission::default(),
            nodes: BTreeMap::new(),
            bans: Bans::default(),
            list_lost: false,
            events: Vec::new(),
            next_batch_at: now,
            timers: BinaryHeap::new(),
            announced_share: 1.0 / f64::from(settings.gateways.max(1)),
            counts: EngineCounts::default(),
            answers: vec![AnswerCounts::default(); settings.classes.len()],
            attempts: 0,
            orders: Vec::new(),
            actions: Vec::new(),
            settings,
        })
    }

    /// Goes on by these settings, which name at least the classes, plans and pools that the old ones did, in their
    /// places; requests in hand keep what they came with.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.answers.resize(settings.classes.len().max(self.answers.len()), AnswerCounts::default());
        self.module.reconfigure(&settings);
        self.settings = settings;
    }

    /// From now on this account decides on allowances.
    pub fn set_account(&mut self, account: Account) {
        self.admission.set_account(account);
    }

    /// Whether some server takes new work.
    pub fn can_serve(&self) -> bool {
        self.requests.server_list().any_ready()
    }

    /// Whether a request with this id is not over.
    pub fn has_request(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some()
    }

    /// How many requests are not over.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is kept of any request.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.admission.is_empty()
    }

    /// Where the account stands, if there is one.
    pub fn mode(&self) -> Option<Mode> {
        self.admission.mode()
    }

    /// Counts since the start, and the present state of the server list.
    pub fn totals(&self) -> Totals {
        let avoided = self.module.avoided();
        let down = |(node, _): &&ListEntry| {
            node.health != Health::Up || self.bans.is_banned(&node.name) || avoided.contains(&node.name)
        };
        Totals {
            answers: self.answers.clone(),
            attempts: self.attempts,
            listed: self.nodes.len(),
            down: self.nodes.values().filter(down).count(),
        }
    }

    /// The counts since the last call.
    pub fn take_counts(&mut self) -> EngineCounts {
        std::mem::take(&mut self.counts)
    }

    /// When the module may next be called.
    pub fn next_batch_at(&self) -> Time {
        self.next_batch_at
    }

    /// When [`Input::Wake`] is next wanted, if nothing else happens.
    pub fn next_due(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let event = (!self.events.is_empty()).then_some(self.next_batch_at);
        timer.into_iter().chain(self.requests.next_due()).chain(event).min()
    }

    /// Whether events wait for the module's next call.
    pub fn wants_wake(&self) -> bool {
        !self.events.is_empty()
    }

    /// Takes in what happened by `now` and appends what to do about it, in order.
    ///
    /// # Errors
    /// [`Error`], if a front or an attempt tells what can't be; nothing has changed then.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) -> Result<(), Error> {
        match input {
            Input::Received(incoming) => return self.received(now, incoming, out),
            Input::BodyCompleted { id, timeout } => {
                let deadline = self.deadline(now, timeout);
                self.feed(
                    now,
                    lifecycle::Input::BodyCompleted { id, deadline },
                    AttemptFacts::default(),
                    out,
                )?;
            }
            Input::ClientLeft { id } => {
                let (heard, class) = (self.events.len(), self.requests.get(id).map(|l| l.class()));
                self.feed(now, lifecycle::Input::ClientLeft { id }, AttemptFacts::default(), out)?;
                // It left without its answer; else the two have crossed.
                if let Some(class) = class.filter(|_| self.events.len() > heard) {
                    self.count(class, FinalAnswer::Failed { late: false });
                }
            }
            Input::Connected { id, attempt } => {
                self.feed(now, lifecycle::Input::Connected { id, attempt }, AttemptFacts::default(), out)?;
            }
            // No commands follow from progress.
            Input::Progress { id, attempt, step } => {
                let input = lifecycle::Input::Progress { id, attempt, step };
                self.requests.handle(now, input, &mut self.orders)?;
                self.attempts += u64::from(step == Step::Written);
            }
            Input::AnswerStarted { id, attempt, facts } => {
                self.feed(now, lifecycle::Input::AnswerStarted { id, attempt }, facts, out)?;
            }
            Input::AttemptEnded { id, attempt, ending, reply, facts } => {
                let input = lifecycle::Input::AttemptEnded { id, attempt, ending, reply };
                self.feed(now, input, facts, out)?;
            }
            Input::ServerList { scope, rev, entries } => self.list(now, scope, rev, entries, out),
            Input::AllowanceDecided { id, allowance } => {
                self.events.push(Event::AllowanceDecided { id, allowance })
            }
            Input::DiscoveryFailed => {
                if !std::mem::replace(&mut self.list_lost, true) {
                    out.push(Output::Notice(Notice::DiscoveryLost));
                }
                self.events.push(Event::Fleet { seq: 0, scope: Scope::Failed, nodes: Vec::new() });
            }
            Input::Grant { planner, grant } => {
                if self.admission.grant(now, planner, &grant) {
                    self.consider_again(now);
                }
                self.notice_account(out);
            }
            Input::GatewayPosition { position, gateways } => {
                self.events.push(Event::GatewayPosition { position, gateways })
            }
            Input::PlannerLiveness(lives) => self.admission.planners_observed(&lives),
            Input::PlanningTick => self.planning_tick(now, out),
            Input::Wake => self.wake(now, out),
        }
        Ok(())
    }

    // ---- Requests ----

    fn received(&mut self, now: Time, r: Incoming, out: &mut Vec<Output>) -> Result<(), Error> {
        let classes = &self.settings.classes;
        let number = if r.class < classes.len() { r.class } else { 0 };
        let class = &classes[number];
        let deadline =
            if r.body_pending { now + MAX_OPEN_REQUEST_TIME } else { self.deadline(now, r.timeout) };
        let (effect, group, key_ttl) = (class.effect, class.group, class.key_ttl);
        let arrival = Arrival {
            id: r.id,
            class: number,
            effect,
            group,
            key_ttl,
            deadline,
            has_single_attempt: r.body_pending,
        };
        self.feed(now, lifecycle::Input::Received(arrival), AttemptFacts::default(), out)?;
        let request = Request {
            id: r.id,
            class: r.class,
            plan: r.plan,
            customer: r.customer,
            deadline,
            units: r.units,
            spread: r.spread,
            repeat: r.repeat,
            pool: r.pool,
            allowance: r.allowance,
        };
        self.events.extend(self.admission.admit(now, request, None).map(Event::Request));
        self.notice_account(out);
        Ok(())
    }

    /// When the answer is due here to a client that waits for so long.
    fn deadline(&self, now: Time, timeout: Time) -> Time {
        now + timeout - self.way_back.min(timeout / 10)
    }

    fn consider_again(&mut self, now: Time) {
        for (request, since) in self.admission.waiting() {
            if self.requests.get(request.id).is_some() {
                self.events.extend(self.admission.admit(now, request, Some(since)).map(Event::Request));
            }
        }
    }

    fn planning_tick(&mut self, now: Time, out: &mut Vec<Output>) {
        let reports = self.admission.reports(now);
        out.extend(reports.into_iter().map(|(planner, report)| Output::Report { planner, report }));
        // The module is not woken for every small change.
        if let Some(share) = self
            .admission
            .work_share()
            .filter(|s| (s - self.announced_share).abs() > self.announced_share / 8.0)
        {
            self.announced_share = share;
            self.events.push(Event::WorkShare { work_share: share });
        }
        self.consider_again(now);
        self.notice_account(out);
    }

    fn notice_account(&mut self, out: &mut Vec<Output>) {
        if self.admission.panicked() {
            out.push(Output::Notice(Notice::AccountPanicked));
        }
    }

    // ---- Lives ----

    /// Hands the lives an input; what they order goes on.
    fn feed(
        &mut self,
        now: Time,
        input: lifecycle::Input,
        facts: AttemptFacts,
        out: &mut Vec<Output>,
    ) -> Result<(), Error> {
        let begun = matches!(input, lifecycle::Input::AnswerStarted { .. });
        let mut orders = std::mem::take(&mut self.orders);
        let done = self.requests.handle(now, input, &mut orders);
        for order in orders.drain(..) {
            match order {
                Command::Start { id, attempt, server, address: place, attempt_deadline } => {
                    self.admission.attempt_started(id);
                    out.push(Output::Start { id, attempt, server, address: place, attempt_deadline });
                }
                Command::Write { id, attempt } => out.push(Output::Write { id, attempt }),
                Command::Withhold { id, attempt } => out.push(Output::Withhold { id, attempt }),
                Command::Abort { id, attempt } => out.push(Output::Abort { id, attempt }),
                Command::Answer { id, class, answer } => {
                    // What is passed on as it comes counts when it has come.
                    if !begun {
                        self.count(class, answer);
                    }
                    out.push(Output::Answer { id, answer });
                    self.request_ended(now, id, out);
                }
                Command::Streamed { id, class, is_complete: whole } => {
                    self.count(
                        class,
                        if whole { FinalAnswer::Served } else { FinalAnswer::Failed { late: false } },
                    );
                    self.request_ended(now, id, out);
                }
                Command::NotifyModule(told) => self.notify_module(now, told, facts, out),
            }
        }
        self.orders = orders;
        done
    }

    /// The one place where answers count.
    fn count(&mut self, class: usize, answer: FinalAnswer) {
        let Some(calls) = self.answers.get_mut(class) else { return };
        *match answer {
            FinalAnswer::Served => &mut calls.served,
            FinalAnswer::Refused { .. } => &mut calls.refused,
            FinalAnswer::Rejected | FinalAnswer::Failed { .. } => &mut calls.failed,
        } += 1;
    }

    /// Lets go of a request whose life is over.
    fn request_ended(&mut self, now: Time, id: RequestId, out: &mut Vec<Output>) {
        if self.requests.get(id).is_none() {
            self.admission.request_ended(id, now);
            out.push(Output::RequestEnded { id });
        }
    }

    /// Tells the module.
    fn notify_module(&mut self, now: Time, told: ModuleEvent, facts: AttemptFacts, out: &mut Vec<Output>) {
        let AttemptFacts { elapsed, settled, metered, load } = facts;
        let event = match told {
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

    // ---- The list ----

    fn list(&mut self, now: Time, scope: Scope, rev: u64, entries: Vec<ListEntry>, out: &mut Vec<Output>) {
        if scope != Scope::Cached && std::mem::take(&mut self.list_lost) {
            out.push(Output::Notice(Notice::DiscoveryRestored { rev }));
        }
        if scope != Scope::Changes {
            self.nodes.clear();
        }
        self.bans.record_names(entries.iter().map(|(n, _)| &n.name));
        self.nodes.extend(entries.iter().map(|e| (e.0.name.clone(), e.clone())));
        self.nodes.retain(|_, (n, _)| n.health != Health::Removed);
        let nodes = &self.nodes;
        self.bans.sweep(|name| nodes.contains_key(name));
        self.apply_list(now, scope, rev, entries);
    }

    /// Entries of the list go on, under the bans: the one way by which lives and module hear of servers.
    fn apply_list(&mut self, now: Time, scope: Scope, seq: u64, mut entries: Vec<ListEntry>) {
        for (node, place) in &mut entries {
            self.bans.apply_to(node);
            *place = place.filter(|_| node.health == Health::Up);
        }
        let servers = entries.iter().map(|(n, place)| ListedServer {
            name: n.name.clone(),
            zone: n.zone,
            cell: n.cell,
            address: *place,
            is_removed: n.health == Health::Removed,
        });
        // Before the module hears of it: an attempt on its way asks for the leave to write.
        let input =
            lifecycle::Input::ServerList { is_full: scope != Scope::Changes, servers: servers.collect() };
        let done = self.requests.handle(now, input, &mut self.orders);
        debug_assert!(done.is_ok() && self.orders.is_empty(), "a list orders nothing");
        let nodes = entries.into_iter().map(|(n, _)| n).collect();
        self.events.push(Event::Fleet { seq, scope, nodes });
    }

    // ---- Manual bans ----

    /// Nothing new goes to this server from here on, whatever discovery says, until it is put back.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn ban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let new = self.bans.ban(now, target)?;
        self.reapply_entries(now, &[target.into()]);
        Ok(new)
    }

    /// Puts a server back. It counts as just started.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn unban(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let was_out = self.bans.unban(now, target)?;
        self.reapply_entries(now, &[target.into()]);
        Ok(was_out)
    }

    /// What another process of this gateway is to go on with.
    pub fn export_state(&self) -> String {
        self.module.export_state()
    }

    /// Goes on with what another process of this gateway has left.
    ///
    /// # Errors
    /// What is wrong with it. Nothing has changed then.
    pub fn import_state(&mut self, now: Time, left: &str) -> Result<(), String> {
        let module = &mut self.module;
        // It comes from outside: a panic on it must not take the gateway along.
        let done = catch_unwind(AssertUnwindSafe(|| module.import_state(now, left)));
        done.unwrap_or_else(|_| Err("the module panicked on it".into()))
    }

    /// Servers that are out by hand, and since when.
    pub fn bans(&self) -> BTreeMap<Name, Time> {
        self.bans.banned().map(|(name, since)| (name.clone(), since)).collect()
    }

    /// Takes over the bans that another process of this gateway holds. How many that changes.
    pub fn adopt_bans(&mut self, now: Time, all: &BTreeMap<Name, Time>) -> usize {
        let changed = self.bans.adopt(now, all);
        self.reapply_entries(now, &changed);
        changed.len()
    }

    fn reapply_entries(&mut self, now: Time, names: &[Name]) {
        let entries: Vec<ListEntry> = names.iter().filter_map(|n| self.nodes.get(n).cloned()).collect();
        if !entries.is_empty() {
            self.apply_list(now, Scope::Changes, 0, entries);
        }
    }

    // ---- Time ----

    /// What is due is done, and the module hears what has happened.
    fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next_batch_at = now + self.min_batch_interval;
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, token))) = self.timers.pop() {
                self.events.push(Event::Timer { token });
            }
        }
        if self.requests.next_due().is_some_and(|at| at <= now) {
            self.overdue(now, out);
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
                // The watch always stands.
                Action::Subscribe { .. } => continue,
            };
            self.feed_or_report(now, input, out);
        }
        self.actions = actions;
    }

    /// Hands the lives what can't be wrong but by a fault of ours.
    fn feed_or_report(&mut self, now: Time, input: lifecycle::Input, out: &mut Vec<Output>) {
        if let Err(wrong) = self.feed(now, input, AttemptFacts::default(), out) {
            out.push(Output::Notice(Notice::Attempt(wrong)));
        }
    }

    /// The module kept silent: what is overdue is answered all the same, and nothing more goes out for it.
    fn overdue(&mut self, now: Time, out: &mut Vec<Output>) {
        let unserved = |calls: &[AnswerCounts]| calls.iter().map(|c| c.refused + c.failed).sum::<u64>();
        let before = unserved(&self.answers);
        self.feed_or_report(now, lifecycle::Input::Tick, out);
        self.counts.overdue += unserved(&self.answers) - before;
    }

    /// The module panicked, and what it holds can't be trusted: as after a restart, a new one begins with the
    /// list alone, and what was held gets its answer. Connections and attempts that are out live on.
    fn restart_module(&mut self, now: Time, out: &mut Vec<Output>) {
        out.push(Output::Notice(Notice::ModulePanicked { ended: self.requests.len() }));
        // These settings were good at the start.
        let Ok(mut module) = (self.module_factory)(now, now) else { return };
        module.reconfigure(&self.settings);
        self.module = module;
        self.feed_or_report(now, lifecycle::Input::Panicked, out);
        self.timers.clear();
        let entries = self.nodes.values().cloned().collect();
        self.apply_list(now, Scope::Cached, 0, entries);
    }
}
