//! The thin part between the engine and the sockets: what happens on them goes in, what the engine orders is
//! carried out. No policy and no rule stands here: the engine joins the deciding parts.

mod attempt;
mod clock;

pub use attempt::Ticket;

use crate::backends::{Backends, Note, Outcome, Outgoing, Served};
use crate::list::{Held, List, State, Target};
use attempt::Attempt;
use clock::Clock;
use engine::{
    Calls, Engine, Entry, Error, Facts, Figures, Final, Input, Make, Notice, Output, Reply, Step, Totals,
};
use forward::{Account, Mode};
use hyper::StatusCode;
use interface::{Allowance, Ending, Health, Module, Name, Node, RequestId, Scope, Settings, Time};
use maintenance::NeverListed;
use plan::message::{Grant, Report};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

const STATUS_EVERY: Duration = Duration::from_secs(10);

/// The final answer to a request.
pub enum Answer {
    Served(Served),
    /// Trying again is harmless, after so long.
    Refused {
        tried: bool,
        retry_after: Duration,
    },
    /// A backend found fault with the request itself.
    Turned(StatusCode),
    Failed {
        late: bool,
    },
}

/// A client's request that the server found well-formed.
pub struct Incoming {
    pub request: engine::Incoming,
    pub arrived: Instant,
    pub outgoing: Outgoing,
}

/// A request's ends in the world of sockets, for as long as its life lasts.
struct Ends {
    /// None once answered, or when the client is gone.
    client: Option<oneshot::Sender<Answer>>,
    outgoing: Rc<Outgoing>,
    out: Option<AbortHandle>,
    /// A backend's own failure, of 64 KiB at most: its client hears it in place of ours if the request ends as failed.
    failure: Option<Served>,
}

struct Inner {
    engine: Engine<Box<dyn Module>>,
    ends: HashMap<RequestId, Ends>,
    /// Empty but while they are carried out: kept for its room.
    outputs: Vec<Output>,
}

pub struct Driver {
    state: RefCell<Inner>,
    wake: Notify,
    backends: Rc<Backends>,
    /// The list for a next process, if one is to have it; and word of its changes.
    held: RefCell<Option<Held>>,
    relisted: Notify,
    clock: Clock,
    /// Final answers up to the last status line.
    said: Cell<Calls>,
    /// The longest that the loop came late to a timer, since the last status line.
    latest: Cell<Duration>,
    zones: Vec<String>,
    /// The pools of a backend, a bit each.
    pools: Box<dyn Fn(&Target) -> u32>,
    /// The longest that any request may wait for its answer, by the settings.
    longest: Cell<Time>,
}

/// What a driver is made of.
pub struct Setup {
    pub settings: Settings,
    pub seed: u64,
    pub figures: Figures,
    pub module: Make<Box<dyn Module>>,
    pub backends: Rc<Backends>,
    /// Zone names; a zone's number is its place.
    pub zones: Vec<String>,
    /// The pools of a backend, a bit each.
    pub pools: Box<dyn Fn(&Target) -> u32>,
}

impl Driver {
    /// A driver that holds nothing and knows no backend.
    ///
    /// # Errors
    /// What the module says of the settings.
    pub fn new(setup: Setup) -> Result<Rc<Self>, String> {
        let Setup { settings, seed, figures, module, backends, zones, pools } = setup;
        let clock = Clock::new();
        let now = clock.time(Instant::now());
        let longest = Cell::new(longest(&settings));
        let engine = Engine::new(settings, seed, figures, now, module);
        let engine = engine.map_err(|e| format!("settings: {e}"))?;
        Ok(Rc::new(Driver {
            wake: Notify::new(),
            held: RefCell::default(),
            relisted: Notify::new(),
            backends,
            latest: Cell::default(),
            said: Cell::default(),
            zones,
            pools,
            longest,
            state: RefCell::new(Inner { engine, ends: HashMap::new(), outputs: Vec::new() }),
            clock,
        }))
    }

    /// Goes on by these settings, which name at least the classes, plans and pools that the old ones did, in their
    /// places.
    pub fn reconfigure(&self, settings: Settings) {
        self.longest.set(longest(&settings));
        self.state.borrow_mut().engine.reconfigure(settings);
    }

    /// The time on the engine's clock.
    pub fn time(&self, at: Instant) -> Time {
        self.clock.time(at)
    }

    /// When it is this time on the engine's clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.clock.instant(time)
    }

    /// The longest that any request may wait for its answer, by the settings.
    pub fn longest(&self) -> Time {
        self.longest.get()
    }

    pub fn can_serve(&self) -> bool {
        self.state.borrow().engine.can_serve()
    }

    // ---- Discovery ----

    /// The list that the configuration gave; it may be old.
    pub fn cached(self: &Rc<Self>, known: List) {
        self.list(Scope::Cached, known);
    }

    /// Who is believed to live: this gateway's place among how many; none: what the settings say.
    pub fn neighbours(self: &Rc<Self>, seen: Option<(u32, u32)>) {
        let (me, gateways) = seen.unwrap_or_default();
        let input = Input::Neighbours { me, gateways };
        self.take(&mut self.state.borrow_mut(), Instant::now(), input, Brought::default());
    }

    /// What the fleet's view says of each planner.
    pub fn planners(self: &Rc<Self>, lives: Vec<Option<bool>>) {
        let input = Input::Planners(lives);
        self.take(&mut self.state.borrow_mut(), Instant::now(), input, Brought::default());
    }

    /// Discovery failed, and why. The old list stands.
    pub fn list_failed(self: &Rc<Self>, what: String) {
        let brought = Brought { why: Some(what), ..Brought::default() };
        self.take(&mut self.state.borrow_mut(), Instant::now(), Input::ListFailed, brought);
    }

    /// From now on the list is held for a next process.
    pub fn hold_list(&self) {
        *self.held.borrow_mut() = Some(Held::default());
    }

    /// The list that is held, as text, if there is one.
    pub fn held_list(&self) -> Option<String> {
        self.held.borrow().as_ref()?.text()
    }

    /// Until the list that is held has changed.
    pub async fn list_changed(&self) {
        self.relisted.notified().await;
    }

    /// Discovery: the list, or what changed in it.
    pub fn list(self: &Rc<Self>, scope: Scope, list: List) {
        if let Some(held) = &mut *self.held.borrow_mut() {
            held.apply(scope, &list);
            self.relisted.notify_one();
        }
        let replaced = self.backends.update(scope, &list.targets);
        let placed = |t: Target| {
            let place = t.endpoint.parse().ok().filter(|_| t.state == State::Ready);
            let pools = (self.pools)(&t);
            (t.node(&self.zones, pools), place)
        };
        let mut entries: Vec<Entry> = list.targets.into_iter().map(placed).collect();
        entries.extend(replaced.iter().map(|name| (Node::new(name, Health::Removed), None)));
        let input = Input::List { scope, rev: list.rev, entries };
        self.take(&mut self.state.borrow_mut(), Instant::now(), input, Brought::default());
    }

    // ---- Maintenance by hand, figures ----

    /// Has the engine do something that the module is to hear of.
    fn with_engine<T>(&self, act: impl FnOnce(&mut Engine<Box<dyn Module>>, Time) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let done = act(&mut state.engine, self.clock.time(Instant::now()));
        if state.engine.wants_wake() {
            self.wake.notify_one();
        }
        done
    }

    pub fn take_out(&self, target: &str) -> Result<bool, NeverListed> {
        self.with_engine(|engine, now| engine.take_out(now, target))
    }

    pub fn put_back(&self, target: &str) -> Result<bool, NeverListed> {
        self.with_engine(|engine, now| engine.put_back(now, target))
    }

    pub fn bans(&self) -> BTreeMap<Name, Time> {
        self.state.borrow().engine.bans()
    }

    /// What another process of this gateway has banned counts here.
    pub fn adopt_bans(&self, bans: &BTreeMap<Name, Time>) {
        if self.with_engine(|engine, now| engine.adopt_bans(now, bans)) > 0 {
            info!(out = bans.len(), "handover: {} backends are out by hand", bans.len());
        }
    }

    /// What the process after this one is to go on with.
    pub fn leave(&self) -> String {
        self.state.borrow().engine.leave()
    }

    pub fn take_over(&self, left: &str) -> Result<(), String> {
        self.with_engine(|engine, now| engine.take_over(now, left))
    }

    pub fn totals(&self) -> Totals {
        self.state.borrow().engine.totals()
    }

    // ---- Requests ----

    /// Takes in a request. None if the life of one with its id is not over.
    pub fn submit(self: &Rc<Self>, r: Incoming) -> Option<Ticket> {
        let mut state = self.state.borrow_mut();
        let id = r.request.id;
        self.handle(&mut state, r.arrived, Input::Received(r.request), &mut Brought::default()).ok()?;
        let (client, answer) = oneshot::channel();
        state.ends.insert(
            id,
            Ends { client: Some(client), outgoing: Rc::new(r.outgoing), out: None, failure: None },
        );
        Some(Ticket { id, answer, driver: self.clone(), answered: false })
    }

    /// The last byte of an open request has come: its time counts from here.
    pub fn whole(self: &Rc<Self>, id: RequestId, timeout: Time) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if let Some(ends) = state.ends.get(&id) {
            ends.outgoing.whole_at.set(Some(now));
        }
        self.take(&mut state, now, Input::Whole { id, timeout }, Brought::default());
        // What is due has changed.
        self.wake.notify_one();
    }

    /// Nobody waits for the answer any more.
    fn gone(self: &Rc<Self>, id: RequestId) {
        self.take(&mut self.state.borrow_mut(), Instant::now(), Input::Left { id }, Brought::default());
    }

    // ---- Allowances ----

    /// What is known by now of the allowance of a request that awaited it. Whether it is still in hand.
    pub fn allowed(self: &Rc<Self>, id: RequestId, allowance: Allowance) -> bool {
        let mut state = self.state.borrow_mut();
        let held = state.engine.holds(id);
        if held {
            self.take(&mut state, Instant::now(), Input::Allowed { id, allowance }, Brought::default());
        }
        held
    }

    /// From now on this account says what may be spent.
    pub fn lease(&self, account: Account) {
        self.state.borrow_mut().engine.set_account(account);
    }

    /// Once a tick: the reports to send. What waited too long for a grant is told so.
    pub fn reports(self: &Rc<Self>) -> Vec<(usize, Report)> {
        let mut brought = Brought::default();
        // Nothing in it can be wrong.
        let _ = self.handle(&mut self.state.borrow_mut(), Instant::now(), Input::PlanningTick, &mut brought);
        brought.reports
    }

    /// A planner's grant.
    pub fn granted(self: &Rc<Self>, planner: usize, grant: Grant) {
        let input = Input::Grant { planner, grant };
        self.take(&mut self.state.borrow_mut(), Instant::now(), input, Brought::default());
    }

    /// Whether the share is with this planner.
    pub fn with_planner(&self, n: usize) -> bool {
        matches!(self.state.borrow().engine.mode(), Some(Mode::Lent { planner, .. }) if planner == n)
    }

    // ---- Outputs ----

    /// Hands the engine an input and carries out what it orders. Whether a leave to write was among it.
    fn handle(
        self: &Rc<Self>,
        state: &mut Inner,
        now: Instant,
        input: Input,
        brought: &mut Brought,
    ) -> Result<bool, Error> {
        let mut outputs = std::mem::take(&mut state.outputs);
        let done = state.engine.handle(self.clock.time(now), input, &mut outputs);
        let mut leave = false;
        for output in outputs.drain(..) {
            match output {
                Output::Start { id, attempt, server, place, not_past } => {
                    let not_past = self.clock.instant(not_past);
                    if let Some(ends) = state.ends.get_mut(&id) {
                        let driver = self.clone();
                        let request = ends.outgoing.clone();
                        let run = Attempt { driver, id, number: attempt, sent: now, request, done: false };
                        ends.out = Some(run.start(server, place, not_past));
                    }
                }
                Output::Write { .. } => leave = true,
                Output::Withhold { .. } => {}
                Output::Abort { id, .. } => {
                    state.ends.get(&id).and_then(|e| e.out.as_ref()).inspect(|out| out.abort());
                }
                Output::Answer { id, answer } => {
                    let ends = state.ends.get_mut(&id);
                    let (client, failure) =
                        ends.map(|e| (e.client.take(), e.failure.take())).unwrap_or_default();
                    if let (Some(client), Some(answer)) = (client, brought.answer(answer, failure)) {
                        // An error means that the client has just gone.
                        let _ = client.send(answer);
                    }
                }
                Output::Over { id } => drop(state.ends.remove(&id)),
                Output::Report { planner, report } => brought.reports.push((planner, report)),
                Output::Notice(Notice::ListLost) => {
                    let why = brought.why.as_deref().unwrap_or("lost");
                    warn!(cause = why, "discovery: {why}; the old list stands");
                }
                Output::Notice(notice) => warn!("{notice}"),
            }
        }
        state.outputs = outputs;
        if state.engine.wants_wake() {
            self.wake.notify_one();
        }
        done.map(|()| leave)
    }

    /// The same where nothing can be wrong but our own telling.
    fn take(self: &Rc<Self>, state: &mut Inner, now: Instant, input: Input, mut brought: Brought) -> bool {
        self.handle(state, now, input, &mut brought).unwrap_or_else(|wrong| {
            warn!(cause = %wrong, "lifecycle: {wrong}");
            false
        })
    }

    // ---- Attempts ----

    /// An attempt tells how far it has come. Whether it may go on.
    fn note(self: &Rc<Self>, id: RequestId, attempt: u32, note: Note) -> bool {
        let mut state = self.state.borrow_mut();
        let step = match note {
            Note::Connected => {
                let input = Input::Connected { id, attempt };
                return self.take(&mut state, Instant::now(), input, Brought::default());
            }
            Note::Written => Step::Written,
            Note::Answering => Step::Answering,
        };
        // Nothing is ordered on such news, and it needs no time.
        let Inner { engine, outputs, .. } = &mut *state;
        if let Err(wrong) = engine.handle(0, Input::Progress { id, attempt, step }, outputs) {
            warn!(request = format!("{id:016x}"), attempt, cause = %wrong, "lifecycle: {wrong}");
        }
        true
    }

    /// A good answer has begun that is passed on as it comes. Whether anybody waits for it.
    fn begun(self: &Rc<Self>, run: &Attempt, outcome: Outcome) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let Outcome { served, settled, metered, load, .. } = outcome;
        let elapsed = run.elapsed(now);
        let facts = Facts { elapsed, settled, metered, load };
        let input = Input::Begun { id: run.id, attempt: run.number, facts };
        let mut brought = Brought { served, ..Brought::default() };
        let done = self.handle(&mut state, now, input, &mut brought);
        // What was brought has gone to the client, or nobody wants it.
        done.is_ok() && brought.served.is_none()
    }

    /// An attempt is over, however it came to that.
    fn ended(self: &Rc<Self>, run: &Attempt, outcome: Outcome) {
        let (id, attempt) = (run.id, run.number);
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let reply = match (&outcome.served, outcome.turned) {
            (Some(_), _) => Reply::Good,
            (None, Some(_)) => Reply::Turned,
            (None, None) => Reply::None,
        };
        let Outcome { ending, served, failure, turned, settled, metered, load } = outcome;
        if let Some(ends) = state.ends.get_mut(&id).filter(|_| failure.is_some()) {
            ends.failure = failure;
        }
        let elapsed = run.elapsed(now);
        let facts = Facts { elapsed, settled, metered, load };
        let input = Input::Ended { id, attempt, ending, reply, facts };
        let mut brought = Brought { served, turned, ..Brought::default() };
        if let Err(wrong) = self.handle(&mut state, now, input, &mut brought) {
            warn!(request = format!("{id:016x}"), attempt, cause = %wrong, "lifecycle: {wrong}");
            // It must not stay out for ever.
            let (ending, reply, facts) = (Ending::Undone, Reply::None, Facts::default());
            let undone = Input::Ended { id, attempt, ending, reply, facts };
            let _ = self.handle(&mut state, now, undone, &mut Brought::default());
        }
    }

    // ---- The loop ----

    /// Hands the module what has happened: at once, or the stated gap apart.
    pub async fn run(self: &Rc<Self>) -> Infallible {
        let mut status = Instant::now() + STATUS_EVERY;
        loop {
            let due = self.state.borrow().engine.next_due().map_or(status, |at| self.clock.instant(at));
            let due = due.min(status);
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due) => {
                    let late = due.elapsed();
                    self.latest.set(self.latest.get().max(late));
                }
            }
            // Only a wait that something ends costs a wake-up: after a quiet spell there is none.
            let earliest = self.clock.instant(self.state.borrow().engine.earliest());
            if earliest > Instant::now() {
                sleep_until(earliest).await;
            }
            let now = Instant::now();
            self.take(&mut self.state.borrow_mut(), now, Input::Wake, Brought::default());
            if now >= status {
                self.status();
                status = now + STATUS_EVERY;
            }
        }
    }

    /// A line for whoever carries the pager, if anything went on.
    fn status(&self) {
        let mut state = self.state.borrow_mut();
        let c = state.engine.take_counts();
        let mut sum = Calls::default();
        for of in state.engine.totals().calls {
            sum.served += of.served;
            sum.refused += of.refused;
            sum.failed += of.failed;
        }
        let said = self.said.replace(sum);
        let (served, refused, failed) =
            (sum.served - said.served, sum.refused - said.refused, sum.failed - said.failed);
        let (connects, latest) = (self.backends.connects.take(), self.latest.take().as_millis());
        if served + refused + failed > 0 {
            info!(
                served,
                refused,
                failed,
                overdue = c.overdue,
                held = state.engine.held(),
                connects,
                batches = c.batches,
                late_ms = latest as u64,
                "served {served}, refused {refused}, failed {failed} ({} overdue), held {}; \
                 new connections {connects}, batches {}, loop late by {latest} ms at most",
                c.overdue,
                state.engine.held(),
                c.batches
            );
        }
    }
}

fn longest(settings: &Settings) -> Time {
    settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
}

/// What an input brings along that the engine has no use for, and what its outputs leave behind.
#[derive(Default)]
struct Brought {
    served: Option<Served>,
    turned: Option<StatusCode>,
    /// Why discovery failed.
    why: Option<String>,
    reports: Vec<(usize, Report)>,
}

impl Brought {
    fn answer(&mut self, answer: Final, failure: Option<Served>) -> Option<Answer> {
        match answer {
            Final::Served => self.served.take().map(Answer::Served),
            Final::Turned => self.turned.map(Answer::Turned),
            Final::Refused { tried, advice } => {
                Some(Answer::Refused { tried, retry_after: Duration::from_nanos(advice) })
            }
            Final::Failed { late } => Some(failure.map_or(Answer::Failed { late }, Answer::Served)),
        }
    }
}
