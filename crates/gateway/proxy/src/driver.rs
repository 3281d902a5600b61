//! The thin part between the engine and the sockets: what happens on them goes in, what the engine orders is
//! carried out. No policy and no rule stands here: the engine joins the deciding parts.

mod attempt;
mod clock;

pub use attempt::Ticket;

use crate::backends::{AttemptStage, Backends, Outcome, Outgoing, Served};
use crate::list::{List, ListSnapshot, State, Target};
use attempt::Attempt;
use clock::Clock;
use engine::{
    AnswerCounts, AttemptFacts, Engine, Error, FinalAnswer, Input, ListEntry, ModuleFactory, Notice, Output,
    Reply, Step, Timing, Totals,
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

const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// The final answer to a request.
pub enum Answer {
    Served(Served),
    /// Trying again is harmless, after so long.
    Refused {
        tried: bool,
        retry_after: Duration,
    },
    /// A backend found fault with the request itself.
    Rejected(StatusCode),
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
struct RequestHandles {
    /// None once answered, or when the client is gone.
    client: Option<oneshot::Sender<Answer>>,
    outgoing: Rc<Outgoing>,
    attempt: Option<AbortHandle>,
    /// A backend's own failure, of 64 KiB at most: its client hears it in place of ours if the request ends as failed.
    failure: Option<Served>,
}

struct DriverState {
    engine: Engine<Box<dyn Module>>,
    handles: HashMap<RequestId, RequestHandles>,
    /// Empty but while they are carried out: kept for its room.
    outputs: Vec<Output>,
}

pub struct Driver {
    state: RefCell<DriverState>,
    wake: Notify,
    backends: Rc<Backends>,
    /// The list for a next process, if one is to have it; and word of its changes.
    exported_list: RefCell<Option<ListSnapshot>>,
    list_changed: Notify,
    clock: Clock,
    /// Final answers up to the last status line.
    reported_answers: Cell<AnswerCounts>,
    /// The longest that the loop came late to a timer, since the last status line.
    max_timer_delay: Cell<Duration>,
    zones: Vec<String>,
    /// The pools of a backend, a bit each.
    pools: Box<dyn Fn(&Target) -> u32>,
    /// The longest that any request may wait for its answer, by the settings.
    max_deadline: Cell<Time>,
}

/// What a driver is made of.
pub struct Config {
    pub settings: Settings,
    pub seed: u64,
    pub timing: Timing,
    pub module: ModuleFactory<Box<dyn Module>>,
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
    pub fn new(setup: Config) -> Result<Rc<Self>, String> {
        let Config { settings, seed, timing: figures, module, backends, zones, pools } = setup;
        let clock = Clock::new();
        let now = clock.time(Instant::now());
        let longest = Cell::new(max_deadline(&settings));
        let engine = Engine::new(settings, seed, figures, now, module);
        let engine = engine.map_err(|e| format!("settings: {e}"))?;
        Ok(Rc::new(Driver {
            wake: Notify::new(),
            exported_list: RefCell::default(),
            list_changed: Notify::new(),
            backends,
            max_timer_delay: Cell::default(),
            reported_answers: Cell::default(),
            zones,
            pools,
            max_deadline: longest,
            state: RefCell::new(DriverState { engine, handles: HashMap::new(), outputs: Vec::new() }),
            clock,
        }))
    }

    /// Goes on by these settings, which name at least the classes, plans and pools that the old ones did, in their
    /// places.
    pub fn reconfigure(&self, settings: Settings) {
        self.max_deadline.set(max_deadline(&settings));
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
    pub fn max_deadline(&self) -> Time {
        self.max_deadline.get()
    }

    pub fn can_serve(&self) -> bool {
        self.state.borrow().engine.can_serve()
    }

    // ---- Discovery ----

    /// The list that the configuration gave; it may be old.
    pub fn apply_cached_list(self: &Rc<Self>, known: List) {
        self.apply_list(Scope::Cached, known);
    }

    /// Who is believed to live: this gateway's place among how many; none: what the settings say.
    pub fn neighbours(self: &Rc<Self>, seen: Option<(u32, u32)>) {
        let (me, gateways) = seen.unwrap_or_default();
        let input = Input::Neighbours { me, gateways };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// What the fleet's view says of each planner.
    pub fn planners(self: &Rc<Self>, lives: Vec<Option<bool>>) {
        let input = Input::Planners(lives);
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Discovery failed, and why. The old list stands.
    pub fn list_failed(self: &Rc<Self>, what: String) {
        let brought = InputContext { discovery_failure: Some(what), ..InputContext::default() };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), Input::ListFailed, brought);
    }

    /// From now on the list is held for a next process.
    pub fn export_list(&self) {
        *self.exported_list.borrow_mut() = Some(ListSnapshot::default());
    }

    /// The list that is held, as text, if there is one.
    pub fn exported_list(&self) -> Option<String> {
        self.exported_list.borrow().as_ref()?.to_json()
    }

    /// Until the list that is held has changed.
    pub async fn list_changed(&self) {
        self.list_changed.notified().await;
    }

    /// Discovery: the list, or what changed in it.
    pub fn apply_list(self: &Rc<Self>, scope: Scope, list: List) {
        if let Some(held) = &mut *self.exported_list.borrow_mut() {
            held.apply(scope, &list);
            self.list_changed.notify_one();
        }
        let replaced = self.backends.update(scope, &list.targets);
        let placed = |t: Target| {
            let place = t.endpoint.parse().ok().filter(|_| t.state == State::Ready);
            let pools = (self.pools)(&t);
            (t.node(&self.zones, pools), place)
        };
        let mut entries: Vec<ListEntry> = list.targets.into_iter().map(placed).collect();
        entries.extend(replaced.iter().map(|name| (Node::new(name, Health::Removed), None)));
        let input = Input::List { scope, rev: list.rev, entries };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
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

    pub fn ban(&self, target: &str) -> Result<bool, NeverListed> {
        self.with_engine(|engine, now| engine.ban(now, target))
    }

    pub fn unban(&self, target: &str) -> Result<bool, NeverListed> {
        self.with_engine(|engine, now| engine.unban(now, target))
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
    pub fn export_state(&self) -> String {
        self.state.borrow().engine.export_state()
    }

    pub fn import_state(&self, left: &str) -> Result<(), String> {
        self.with_engine(|engine, now| engine.import_state(now, left))
    }

    pub fn totals(&self) -> Totals {
        self.state.borrow().engine.totals()
    }

    // ---- Requests ----

    /// Takes in a request. None if the life of one with its id is not over.
    pub fn submit(self: &Rc<Self>, r: Incoming) -> Option<Ticket> {
        let mut state = self.state.borrow_mut();
        let id = r.request.id;
        self.handle(&mut state, r.arrived, Input::Received(r.request), &mut InputContext::default()).ok()?;
        let (client, answer) = oneshot::channel();
        state.handles.insert(
            id,
            RequestHandles {
                client: Some(client),
                outgoing: Rc::new(r.outgoing),
                attempt: None,
                failure: None,
            },
        );
        Some(Ticket { id, answer, driver: self.clone(), answered: false })
    }

    /// The last byte of an open request has come: its time counts from here.
    pub fn body_completed(self: &Rc<Self>, id: RequestId, timeout: Time) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if let Some(ends) = state.handles.get(&id) {
            ends.outgoing.completed_at.set(Some(now));
        }
        self.handle_or_warn(&mut state, now, Input::BodyCompleted { id, timeout }, InputContext::default());
        // What is due has changed.
        self.wake.notify_one();
    }

    /// Nobody waits for the answer any more.
    fn client_left(self: &Rc<Self>, id: RequestId) {
        self.handle_or_warn(
            &mut self.state.borrow_mut(),
            Instant::now(),
            Input::ClientLeft { id },
            InputContext::default(),
        );
    }

    // ---- Allowances ----

    /// What is known by now of the allowance of a request that awaited it. Whether it is still in hand.
    pub fn set_allowance(self: &Rc<Self>, id: RequestId, allowance: Allowance) -> bool {
        let mut state = self.state.borrow_mut();
        let held = state.engine.has_request(id);
        if held {
            self.handle_or_warn(
                &mut state,
                Instant::now(),
                Input::Allowed { id, allowance },
                InputContext::default(),
            );
        }
        held
    }

    /// From now on this account says what may be spent.
    pub fn set_account(&self, account: Account) {
        self.state.borrow_mut().engine.set_account(account);
    }

    /// Once a tick: the reports to send. What waited too long for a grant is told so.
    pub fn reports(self: &Rc<Self>) -> Vec<(usize, Report)> {
        let mut brought = InputContext::default();
        // Nothing in it can be wrong.
        let _ = self.handle(&mut self.state.borrow_mut(), Instant::now(), Input::PlanningTick, &mut brought);
        brought.reports
    }

    /// A planner's grant.
    pub fn apply_grant(self: &Rc<Self>, planner: usize, grant: Grant) {
        let input = Input::Grant { planner, grant };
        self.handle_or_warn(&mut self.state.borrow_mut(), Instant::now(), input, InputContext::default());
    }

    /// Whether the share is with this planner.
    pub fn is_lent_to(&self, n: usize) -> bool {
        matches!(self.state.borrow().engine.mode(), Some(Mode::Lent { planner, .. }) if planner == n)
    }

    // ---- Outputs ----

    /// Hands the engine an input and carries out what it orders. Whether a leave to write was among it.
    fn handle(
        self: &Rc<Self>,
        state: &mut DriverState,
        now: Instant,
        input: Input,
        brought: &mut InputContext,
    ) -> Result<bool, Error> {
        let mut outputs = std::mem::take(&mut state.outputs);
        let done = state.engine.handle(self.clock.time(now), input, &mut outputs);
        let mut leave = false;
        for output in outputs.drain(..) {
            match output {
                Output::Start { id, attempt, server, address: place, not_past } => {
                    let not_past = self.clock.instant(not_past);
                    if let Some(ends) = state.handles.get_mut(&id) {
                        let driver = self.clone();
                        let request = ends.outgoing.clone();
                        let run = Attempt { driver, id, number: attempt, sent: now, request, done: false };
                        ends.attempt = Some(run.start(server, place, not_past));
                    }
                }
                Output::Write { .. } => leave = true,
                Output::Withhold { .. } => {}
                Output::Abort { id, .. } => {
                    state.handles.get(&id).and_then(|e| e.attempt.as_ref()).inspect(|out| out.abort());
                }
                Output::Answer { id, answer } => {
                    let ends = state.handles.get_mut(&id);
                    let (client, failure) =
                        ends.map(|e| (e.client.take(), e.failure.take())).unwrap_or_default();
                    if let (Some(client), Some(answer)) = (client, brought.answer(answer, failure)) {
                        // An error means that the client has just gone.
                        let _ = client.send(answer);
                    }
                }
                Output::Over { id } => drop(state.handles.remove(&id)),
                Output::Report { planner, report } => brought.reports.push((planner, report)),
                Output::Notice(Notice::ListLost) => {
                    let why = brought.discovery_failure.as_deref().unwrap_or("lost");
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
    fn handle_or_warn(
        self: &Rc<Self>,
        state: &mut DriverState,
        now: Instant,
        input: Input,
        mut brought: InputContext,
    ) -> bool {
        self.handle(state, now, input, &mut brought).unwrap_or_else(|wrong| {
            warn!(cause = %wrong, "lifecycle: {wrong}");
            false
        })
    }

    // ---- Attempts ----

    /// An attempt tells how far it has come. Whether it may go on.
    fn attempt_reached(self: &Rc<Self>, id: RequestId, attempt: u32, note: AttemptStage) -> bool {
        let mut state = self.state.borrow_mut();
        let step = match note {
            AttemptStage::Connected => {
                let input = Input::Connected { id, attempt };
                return self.handle_or_warn(&mut state, Instant::now(), input, InputContext::default());
            }
            AttemptStage::Written => Step::Written,
            AttemptStage::Answering => Step::Answering,
        };
        // Nothing is ordered on such news, and it needs no time.
        let DriverState { engine, outputs, .. } = &mut *state;
        if let Err(wrong) = engine.handle(0, Input::Progress { id, attempt, step }, outputs) {
            warn!(request = format!("{id:016x}"), attempt, cause = %wrong, "lifecycle: {wrong}");
        }
        true
    }

    /// A good answer has begun that is passed on as it comes. Whether anybody waits for it.
    fn answer_started(self: &Rc<Self>, run: &Attempt, outcome: Outcome) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let Outcome { served, settled, metered, load, .. } = outcome;
        let elapsed = run.elapsed(now);
        let facts = AttemptFacts { elapsed, settled, metered, load };
        let input = Input::AnswerStarted { id: run.id, attempt: run.number, facts };
        let mut brought = InputContext { served, ..InputContext::default() };
        let done = self.handle(&mut state, now, input, &mut brought);
        // What was brought has gone to the client, or nobody wants it.
        done.is_ok() && brought.served.is_none()
    }

    /// An attempt is over, however it came to that.
    fn attempt_ended(self: &Rc<Self>, run: &Attempt, outcome: Outcome) {
        let (id, attempt) = (run.id, run.number);
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let reply = match (&outcome.served, outcome.rejected) {
            (Some(_), _) => Reply::Good,
            (None, Some(_)) => Reply::Rejected,
            (None, None) => Reply::None,
        };
        let Outcome { ending, served, failure, rejected: turned, settled, metered, load } = outcome;
        if let Some(ends) = state.handles.get_mut(&id).filter(|_| failure.is_some()) {
            ends.failure = failure;
        }
        let elapsed = run.elapsed(now);
        let facts = AttemptFacts { elapsed, settled, metered, load };
        let input = Input::AttemptEnded { id, attempt, ending, reply, facts };
        let mut brought = InputContext { served, rejected: turned, ..InputContext::default() };
        if let Err(wrong) = self.handle(&mut state, now, input, &mut brought) {
            warn!(request = format!("{id:016x}"), attempt, cause = %wrong, "lifecycle: {wrong}");
            // It must not stay out for ever.
            let (ending, reply, facts) = (Ending::Cancelled, Reply::None, AttemptFacts::default());
            let undone = Input::AttemptEnded { id, attempt, ending, reply, facts };
            let _ = self.handle(&mut state, now, undone, &mut InputContext::default());
        }
    }

    // ---- The loop ----

    /// Hands the module what has happened: at once, or the stated gap apart.
    pub async fn run(self: &Rc<Self>) -> Infallible {
        let mut status = Instant::now() + STATUS_INTERVAL;
        loop {
            let due = self.state.borrow().engine.next_due().map_or(status, |at| self.clock.instant(at));
            let due = due.min(status);
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due) => {
                    let late = due.elapsed();
                    self.max_timer_delay.set(self.max_timer_delay.get().max(late));
                }
            }
            // Only a wait that something ends costs a wake-up: after a quiet spell there is none.
            let earliest = self.clock.instant(self.state.borrow().engine.next_batch_at());
            if earliest > Instant::now() {
                sleep_until(earliest).await;
            }
            let now = Instant::now();
            self.handle_or_warn(&mut self.state.borrow_mut(), now, Input::Wake, InputContext::default());
            if now >= status {
                self.log_status();
                status = now + STATUS_INTERVAL;
            }
        }
    }

    /// A line for whoever carries the pager, if anything went on.
    fn log_status(&self) {
        let mut state = self.state.borrow_mut();
        let c = state.engine.take_counts();
        let mut sum = AnswerCounts::default();
        for of in state.engine.totals().answers {
            sum.served += of.served;
            sum.refused += of.refused;
            sum.failed += of.failed;
        }
        let said = self.reported_answers.replace(sum);
        let (served, refused, failed) =
            (sum.served - said.served, sum.refused - said.refused, sum.failed - said.failed);
        let (connects, latest) = (self.backends.connects.take(), self.max_timer_delay.take().as_millis());
        if served + refused + failed > 0 {
            info!(
                served,
                refused,
                failed,
                overdue = c.overdue,
                held = state.engine.request_count(),
                connects,
                batches = c.batches,
                late_ms = latest as u64,
                "served {served}, refused {refused}, failed {failed} ({} overdue), held {}; \
                 new connections {connects}, batches {}, loop late by {latest} ms at most",
                c.overdue,
                state.engine.request_count(),
                c.batches
            );
        }
    }
}

fn max_deadline(settings: &Settings) -> Time {
    settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
}

/// What an input brings along that the engine has no use for, and what its outputs leave behind.
#[derive(Default)]
struct InputContext {
    served: Option<Served>,
    rejected: Option<StatusCode>,
    /// Why discovery failed.
    discovery_failure: Option<String>,
    reports: Vec<(usize, Report)>,
}

impl InputContext {
    fn answer(&mut self, answer: FinalAnswer, failure: Option<Served>) -> Option<Answer> {
        match answer {
            FinalAnswer::Served => self.served.take().map(Answer::Served),
            FinalAnswer::Rejected => self.rejected.map(Answer::Rejected),
            FinalAnswer::Refused { tried, advice } => {
                Some(Answer::Refused { tried, retry_after: Duration::from_nanos(advice) })
            }
            FinalAnswer::Failed { late } => Some(failure.map_or(Answer::Failed { late }, Answer::Served)),
        }
    }
}
