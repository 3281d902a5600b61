//! One whole gateway as a value: the lives of its requests, the decision module, the account of allowances, held
//! requests and timers, joined. No I/O and no clock: [`Engine::handle`] takes what happened with the time, and
//! says what to do about it; [`Engine::next_due`] says when it wants to be woken. The program turns sockets into
//! inputs and outputs into sockets; the simulator does the same in virtual time.
#![forbid(unsafe_code)]

mod admission;
mod words;

pub use lifecycle::{Final, Listed, Reply, Step};
pub use words::{Calls, Counts, Entry, Error, Facts, Incoming, Input, Notice, Output, Totals};

use admission::Admission;
use forward::{Account, Mode};
use interface::{Action, AttemptEnd, Event, Health, Module, Name, Request, RequestId, Scope, Settings, Time};
use lifecycle::{self as lifecycle, Arrival, Limits, Lives, Order, Told};
use maintenance::{Bans, NeverListed};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Makes a module that knows nothing, from a seed and the time.
pub type Make<M> = Box<dyn Fn(u64, Time) -> Result<M, String>>;

/// Figures of a request's life, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// So long before the client's time is up the final answer is due; a tenth of that time at most.
    pub way_back: Time,
    /// How long past that the module may still have the last word.
    pub module_grace: Time,
    /// So long before servers forget a key its last repeat is written.
    pub key_margin: Time,
    /// Between two calls of the module, at the least: what comes in between is handed over together. 0: what finds
    /// the loop idle is handed over at once, and what comes while it works is the next batch.
    pub gap: Time,
}

/// An open request whose last byte has not come by then is given up; its front gives up on slow ones long before.
const LONGEST_OPEN: Time = 3_600_000_000_000;

pub struct Engine<M> {
    settings: Settings,
    way_back: Time,
    gap: Time,
    module: M,
    make: Make<M>,
    lives: Lives,
    admission: Admission,
    /// Discovery's list as it stands.
    nodes: BTreeMap<Name, Entry>,
    /// Laid over it wherever it goes on.
    bans: Bans,
    list_lost: bool,
    /// What the module has yet to hear, and no sooner than when.
    events: Vec<Event>,
    earliest: Time,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    /// The part of all work that the module was told last.
    placed: f64,
    counts: Counts,
    /// Since the start, by class; and attempts written whole.
    calls: Vec<Calls>,
    attempts: u64,
    /// Empty between calls: kept for their room.
    orders: Vec<Order>,
    actions: Vec<Action>,
}

impl<M: Module> Engine<M> {
    /// An engine that holds nothing and knows no server.
    ///
    /// # Errors
    /// What the module says of the settings, or that they name no class.
    pub fn new(
        settings: Settings,
        seed: u64,
        figures: Figures,
        now: Time,
        make: Make<M>,
    ) -> Result<Self, String> {
        if settings.classes.is_empty() {
            return Err("no class is named".into());
        }
        let limits = Limits {
            attempts: settings.try_limit,
            grace: figures.module_grace,
            key_margin: figures.key_margin,
        };
        Ok(Engine {
            module: make(seed, now)?,
            make,
            way_back: figures.way_back,
            gap: figures.gap,
            lives: Lives::new(limits),
            admission: Admission::default(),
            nodes: BTreeMap::new(),
            bans: Bans::default(),
            list_lost: false,
            events: Vec::new(),
            earliest: now,
            timers: BinaryHeap::new(),
            placed: 1.0 / f64::from(settings.gateways.max(1)),
            counts: Counts::default(),
            calls: vec![Calls::default(); settings.classes.len()],
            attempts: 0,
            orders: Vec::new(),
            actions: Vec::new(),
            settings,
        })
    }

    /// Goes on by these settings, which name at least the classes, plans and pools that the old ones did, in their
    /// places; requests in hand keep what they came with.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.calls.resize(settings.classes.len().max(self.calls.len()), Calls::default());
        self.module.reconfigure(&settings);
        self.settings = settings;
    }

    /// From now on this account says what may be spent.
    pub fn set_account(&mut self, account: Account) {
        self.admission.set_account(account);
    }

    /// Whether some server takes new work.
    pub fn can_serve(&self) -> bool {
        self.lives.fleet().any_ready()
    }

    /// Whether a request is in hand.
    pub fn holds(&self, id: RequestId) -> bool {
        self.lives.get(id).is_some()
    }

    /// How many requests are in hand.
    pub fn held(&self) -> usize {
        self.lives.len()
    }

    /// Whether nothing is held of any request: all tables are empty but for what servers and customers are known.
    pub fn is_idle(&self) -> bool {
        self.lives.is_empty() && self.admission.is_empty()
    }

    /// Where the account stands, if there is one.
    pub fn mode(&self) -> Option<Mode> {
        self.admission.mode()
    }

    /// What it has done since it began, and how it stands.
    pub fn totals(&self) -> Totals {
        let avoided = self.module.avoided();
        let down = |(node, _): &&Entry| {
            node.health != Health::Up || self.bans.is_out(&node.name) || avoided.contains(&node.name)
        };
        Totals {
            calls: self.calls.clone(),
            attempts: self.attempts,
            listed: self.nodes.len(),
            down: self.nodes.values().filter(down).count(),
        }
    }

    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// When the module may next be called: the stated gap after the last time.
    pub fn earliest(&self) -> Time {
        self.earliest
    }

    /// When [`Input::Wake`] is next wanted, if nothing else happens.
    pub fn next_due(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let event = (!self.events.is_empty()).then_some(self.earliest);
        timer.into_iter().chain(self.lives.next_due()).chain(event).min()
    }

    /// Whether the module has something to hear.
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
            Input::Whole { id, timeout } => {
                let deadline = self.deadline(now, timeout);
                self.feed(now, lifecycle::Input::Whole { id, deadline }, Facts::default(), out)?;
            }
            Input::Left { id } => {
                let (heard, class) = (self.events.len(), self.lives.get(id).map(|l| l.class()));
                self.feed(now, lifecycle::Input::Left { id }, Facts::default(), out)?;
                // It went without its answer; else the two have crossed.
                if let Some(class) = class.filter(|_| self.events.len() > heard) {
                    self.count(class, Final::Failed { late: false });
                }
            }
            Input::Connected { id, attempt } => {
                self.feed(now, lifecycle::Input::Connected { id, attempt }, Facts::default(), out)?;
            }
            // Nothing is ordered on such news.
            Input::Progress { id, attempt, step } => {
                let input = lifecycle::Input::Progress { id, attempt, step };
                self.lives.handle(now, input, &mut self.orders)?;
                self.attempts += u64::from(step == Step::Written);
            }
            Input::Begun { id, attempt, facts } => {
                self.feed(now, lifecycle::Input::Begun { id, attempt }, facts, out)?;
            }
            Input::Ended { id, attempt, ending, reply, facts } => {
                let input = lifecycle::Input::Ended { id, attempt, ending, reply };
                self.feed(now, input, facts, out)?;
            }
            Input::List { scope, rev, entries } => self.list(now, scope, rev, entries, out),
            Input::Allowed { id, allowance } => self.events.push(Event::Allowed { id, allowance }),
            Input::ListFailed => {
                if !std::mem::replace(&mut self.list_lost, true) {
                    out.push(Output::Notice(Notice::ListLost));
                }
                self.events.push(Event::Fleet { seq: 0, scope: Scope::Failed, nodes: Vec::new() });
            }
            Input::Grant { planner, grant } => {
                if self.admission.grant(now, planner, &grant) {
                    self.consider_again(now);
                }
                self.notice_account(out);
            }
            Input::Neighbours { me, gateways } => self.events.push(Event::Neighbours { me, gateways }),
            Input::Planners(lives) => self.admission.believe(&lives),
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
        let deadline = if r.open { now + LONGEST_OPEN } else { self.deadline(now, r.timeout) };
        let (effect, group, key_ttl) = (class.effect, class.group, class.key_ttl);
        let arrival = Arrival { id: r.id, class: number, effect, group, key_ttl, deadline, once: r.open };
        self.feed(now, lifecycle::Input::Received(arrival), Facts::default(), out)?;
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
        self.events.extend(self.admission.consider(now, request, None).map(Event::Request));
        self.notice_account(out);
        Ok(())
    }

    /// When the answer is due here to a client that waits for so long.
    fn deadline(&self, now: Time, timeout: Time) -> Time {
        now + timeout - self.way_back.min(timeout / 10)
    }

    fn consider_again(&mut self, now: Time) {
        for (request, since) in self.admission.waiting() {
            if self.lives.get(request.id).is_some() {
                self.events.extend(self.admission.consider(now, request, Some(since)).map(Event::Request));
            }
        }
    }

    fn planning_tick(&mut self, now: Time, out: &mut Vec<Output>) {
        let reports = self.admission.reports(now);
        out.extend(reports.into_iter().map(|(planner, report)| Output::Report { planner, report }));
        // The module is not woken for every small change.
        if let Some(share) = self.admission.share().filter(|s| (s - self.placed).abs() > self.placed / 8.0) {
            self.placed = share;
            self.events.push(Event::Placement { share });
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
        facts: Facts,
        out: &mut Vec<Output>,
    ) -> Result<(), Error> {
        let begun = matches!(input, lifecycle::Input::Begun { .. });
        let mut orders = std::mem::take(&mut self.orders);
        let done = self.lives.handle(now, input, &mut orders);
        for order in orders.drain(..) {
            match order {
                Order::Start { id, attempt, server, place, not_past } => {
                    self.admission.begun(id);
                    out.push(Output::Start { id, attempt, server, place, not_past });
                }
                Order::Write { id, attempt } => out.push(Output::Write { id, attempt }),
                Order::Withhold { id, attempt } => out.push(Output::Withhold { id, attempt }),
                Order::Abort { id, attempt } => out.push(Output::Abort { id, attempt }),
                Order::Answer { id, class, answer } => {
                    // What is passed on as it comes counts when it has come.
                    if !begun {
                        self.count(class, answer);
                    }
                    out.push(Output::Answer { id, answer });
                    self.over(now, id, out);
                }
                Order::Streamed { id, class, whole } => {
                    self.count(class, if whole { Final::Served } else { Final::Failed { late: false } });
                    self.over(now, id, out);
                }
                Order::Tell(told) => self.tell(now, told, facts, out),
            }
        }
        self.orders = orders;
        done
    }

    /// The one place where answers count.
    fn count(&mut self, class: usize, answer: Final) {
        let Some(calls) = self.calls.get_mut(class) else { return };
        *match answer {
            Final::Served => &mut calls.served,
            Final::Refused { .. } => &mut calls.refused,
            Final::Turned | Final::Failed { .. } => &mut calls.failed,
        } += 1;
    }

    /// Lets go of a request whose life is over.
    fn over(&mut self, now: Time, id: RequestId, out: &mut Vec<Output>) {
        if self.lives.get(id).is_none() {
            self.admission.over(id, now);
            out.push(Output::Over { id });
        }
    }

    /// Tells the module.
    fn tell(&mut self, now: Time, told: Told, facts: Facts, out: &mut Vec<Output>) {
        let Facts { elapsed, settled, metered, load } = facts;
        let event = match told {
            Told::ClientGone { id } => {
                self.over(now, id, out);
                Event::ClientGone { id }
            }
            Told::Ended { id, attempt, server, ending, last } => {
                self.over(now, id, out);
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

    fn list(&mut self, now: Time, scope: Scope, rev: u64, entries: Vec<Entry>, out: &mut Vec<Output>) {
        if scope != Scope::Cached && std::mem::take(&mut self.list_lost) {
            out.push(Output::Notice(Notice::ListBack { rev }));
        }
        if scope != Scope::Changes {
            self.nodes.clear();
        }
        self.bans.listed(entries.iter().map(|(n, _)| &n.name));
        self.nodes.extend(entries.iter().map(|e| (e.0.name.clone(), e.clone())));
        self.nodes.retain(|_, (n, _)| n.health != Health::Removed);
        let nodes = &self.nodes;
        self.bans.sweep(|name| nodes.contains_key(name));
        self.tell_list(now, scope, rev, entries);
    }

    /// Entries of the list go on, under the bans: the one way by which lives and module hear of servers.
    fn tell_list(&mut self, now: Time, scope: Scope, seq: u64, mut entries: Vec<Entry>) {
        for (node, place) in &mut entries {
            self.bans.lay_over(node);
            *place = place.filter(|_| node.health == Health::Up);
        }
        let servers = entries.iter().map(|(n, place)| Listed {
            name: n.name.clone(),
            zone: n.zone,
            cell: n.cell,
            place: *place,
            gone: n.health == Health::Removed,
        });
        // Before the module hears of it: an attempt on its way asks for the leave to write.
        let input = lifecycle::Input::Fleet { whole: scope != Scope::Changes, servers: servers.collect() };
        let done = self.lives.handle(now, input, &mut self.orders);
        debug_assert!(done.is_ok() && self.orders.is_empty(), "a list orders nothing");
        let nodes = entries.into_iter().map(|(n, _)| n).collect();
        self.events.push(Event::Fleet { seq, scope, nodes });
    }

    // ---- Maintenance by hand ----

    /// Nothing new goes to this server from here on, whatever discovery says, until it is put back.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn take_out(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let new = self.bans.enter(now, target)?;
        self.tell_again(now, &[target.into()]);
        Ok(new)
    }

    /// Puts a server back. It counts as just started.
    ///
    /// # Errors
    /// If no list has ever named it.
    pub fn put_back(&mut self, now: Time, target: &str) -> Result<bool, NeverListed> {
        let was_out = self.bans.exit(now, target)?;
        self.tell_again(now, &[target.into()]);
        Ok(was_out)
    }

    /// What another process of this gateway is to go on with.
    pub fn leave(&self) -> String {
        self.module.leave()
    }

    /// Goes on with what another process of this gateway has left.
    ///
    /// # Errors
    /// What is wrong with it. Nothing has changed then.
    pub fn take_over(&mut self, now: Time, left: &str) -> Result<(), String> {
        let module = &mut self.module;
        // It comes from outside: a panic on it must not take the gateway along.
        let done = catch_unwind(AssertUnwindSafe(|| module.take_over(now, left)));
        done.unwrap_or_else(|_| Err("the module panicked on it".into()))
    }

    /// Servers that are out by hand, and since when.
    pub fn bans(&self) -> BTreeMap<Name, Time> {
        self.bans.out().map(|(name, since)| (name.clone(), since)).collect()
    }

    /// Takes over the bans that another process of this gateway holds. How many that changes.
    pub fn adopt_bans(&mut self, now: Time, all: &BTreeMap<Name, Time>) -> usize {
        let changed = self.bans.adopt(now, all);
        self.tell_again(now, &changed);
        changed.len()
    }

    fn tell_again(&mut self, now: Time, names: &[Name]) {
        let entries: Vec<Entry> = names.iter().filter_map(|n| self.nodes.get(n).cloned()).collect();
        if !entries.is_empty() {
            self.tell_list(now, Scope::Changes, 0, entries);
        }
    }

    // ---- Time ----

    /// What is due is done, and the module hears what has happened.
    fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        self.earliest = now + self.gap;
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, token))) = self.timers.pop() {
                self.events.push(Event::Timer { token });
            }
        }
        if self.lives.next_due().is_some_and(|at| at <= now) {
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
            return self.begin_again(now, out);
        }
        for action in actions.drain(..) {
            let input = match action {
                Action::Send { id, server, not_past } => lifecycle::Input::Send { id, server, not_past },
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
            self.order(now, input, out);
        }
        self.actions = actions;
    }

    /// Hands the lives what can't be wrong but by a fault of ours.
    fn order(&mut self, now: Time, input: lifecycle::Input, out: &mut Vec<Output>) {
        if let Err(wrong) = self.feed(now, input, Facts::default(), out) {
            out.push(Output::Notice(Notice::Attempt(wrong)));
        }
    }

    /// The module kept silent: what is overdue is answered all the same, and nothing more goes out for it.
    fn overdue(&mut self, now: Time, out: &mut Vec<Output>) {
        let unserved = |calls: &[Calls]| calls.iter().map(|c| c.refused + c.failed).sum::<u64>();
        let before = unserved(&self.calls);
        self.order(now, lifecycle::Input::Tick, out);
        self.counts.overdue += unserved(&self.calls) - before;
    }

    /// The module panicked, and what it holds can't be trusted: as after a restart, a new one begins with the
    /// list alone, and what was held gets its answer. Connections and attempts that are out live on.
    fn begin_again(&mut self, now: Time, out: &mut Vec<Output>) {
        out.push(Output::Notice(Notice::ModulePanicked { ended: self.lives.len() }));
        // These settings were good at the start.
        let Ok(mut module) = (self.make)(now, now) else { return };
        module.reconfigure(&self.settings);
        self.module = module;
        self.order(now, lifecycle::Input::Panicked, out);
        self.timers.clear();
        let entries = self.nodes.values().cloned().collect();
        self.tell_list(now, Scope::Cached, 0, entries);
    }
}
