//! Connects the engine to the sockets: what happens on them becomes an input, and the engine's outputs are carried out.
//! No decision is made here.

mod allowances;
mod attempt;
mod clock;
mod discovery;
mod input_context;
mod status;

pub use attempt::Ticket;

use crate::backends::{AttemptStage, Backends, Outcome, Outgoing, Served};
use crate::list::{ListSnapshot, Target};
use attempt::Attempt;
use clock::Clock;
use engine::{
    AnswerCounts, AttemptFacts, Engine, Error, Input, ModuleFactory, Notice, Output, Reply, Step, Timing,
    Totals,
};
use hyper::StatusCode;
use input_context::InputContext;
use interface::{Ending, Module, Name, RequestId, Settings, Time};
use maintenance::NeverListed;
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
    /// Nothing has run; the client may try again after this time.
    Refused {
        tried: bool,
        retry_after: Duration,
    },
    /// A backend rejected the request itself.
    Rejected(StatusCode),
    Failed {
        late: bool,
    },
}

/// A client's well-formed request.
pub struct Incoming {
    pub request: engine::Incoming,
    pub arrived: Instant,
    pub outgoing: Outgoing,
}

/// What a request has on sockets until it is over.
struct RequestHandles {
    /// None once it is answered, or its client has left.
    client: Option<oneshot::Sender<Answer>>,
    outgoing: Rc<Outgoing>,
    attempt: Option<AbortHandle>,
    /// A backend's own error answer, of 64 KiB at most: the client gets it in place of ours if the request fails.
    failure: Option<Served>,
}

struct DriverState {
    engine: Engine<Box<dyn Module>>,
    handles: HashMap<RequestId, RequestHandles>,
    /// Empty except while they are carried out: kept to reuse its allocation.
    outputs: Vec<Output>,
}

/// Connects one engine to its sockets.
pub struct Driver {
    state: RefCell<DriverState>,
    wake: Notify,
    backends: Rc<Backends>,
    /// The list for a next process, if it is exported; and a notification of its changes.
    exported_list: RefCell<Option<ListSnapshot>>,
    list_changed: Notify,
    clock: Clock,
    /// Final answers up to the last status line.
    reported_answers: Cell<AnswerCounts>,
    /// The largest delay of a timer since the last status line.
    max_timer_delay: Cell<Duration>,
    zones: Vec<String>,
    /// The pools of a backend, a bit each.
    pools: Box<dyn Fn(&Target) -> u32>,
    /// The longest that any request may wait for its answer, by the settings.
    max_deadline: Cell<Time>,
}

/// Builds a [`Driver`].
pub struct Config {
    pub settings: Settings,
    pub seed: u64,
    pub timing: Timing,
    pub module: ModuleFactory<Box<dyn Module>>,
    pub backends: Rc<Backends>,
    /// Zone names; a zone's number is its index.
    pub zones: Vec<String>,
    /// The pools of a backend, a bit each.
    pub pools: Box<dyn Fn(&Target) -> u32>,
}

impl Driver {
    /// A driver without requests that knows no backend.
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

    /// Applies new settings, which name at least the old classes, plans and pools, at their indices.
    pub fn reconfigure(&self, settings: Settings) {
        self.max_deadline.set(max_deadline(&settings));
        self.state.borrow_mut().engine.reconfigure(settings);
    }

    /// The time on the engine's clock.
    pub fn time(&self, at: Instant) -> Time {
        self.clock.time(at)
    }

    /// The instant of a time on the engine's clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.clock.instant(time)
    }

    /// The longest that any request may wait for its answer, by the settings.
    pub fn max_deadline(&self) -> Time {
        self.max_deadline.get()
    }

    /// Whether some server takes new work.
    pub fn can_serve(&self) -> bool {
        self.state.borrow().engine.can_serve()
    }

    // ---- Manual bans and totals ----

    /// Calls the engine, and wakes the loop if the module must be told.
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

    /// The servers that are banned by hand, and since when.
    pub fn bans(&self) -> BTreeMap<Name, Time> {
        self.state.borrow().engine.bans()
    }

    /// Adopts the bans of another process of this gateway.
    pub fn adopt_bans(&self, bans: &BTreeMap<Name, Time>) {
        if self.with_engine(|engine, now| engine.adopt_bans(now, bans)) > 0 {
            info!(out = bans.len(), "handover: {} backends are out by hand", bans.len());
        }
    }

    /// The decision module's state for the next process of this gateway.
    pub fn export_state(&self) -> String {
        self.state.borrow().engine.export_state()
    }

    pub fn import_state(&self, left: &str) -> Result<(), String> {
        self.with_engine(|engine, now| engine.import_state(now, left))
    }

    /// Counts since the start, and the present state of the server list.
    pub fn totals(&self) -> Totals {
        self.state.borrow().engine.totals()
    }

    // ---- Requests ----

    /// Accepts a request. None if a request with its id is not over.
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

    /// The last byte of an open request has arrived: its timeout counts from now.
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

    // ---- Outputs ----

    /// Passes an input to the engine and carries out its outputs. Returns whether the attempt may write.
    fn handle(
        self: &Rc<Self>,
        state: &mut DriverState,
        now: Instant,
        input: Input,
        brought: &mut InputContext,
    ) -> Result<bool, Error> {
        let mut outputs = std::mem::take(&mut state.outputs);
        let done = state.engine.handle(self.clock.time(now), input, &mut outputs);
        let mut may_write = false;
        for output in outputs.drain(..) {
            match output {
                Output::Start { id, attempt, server, address: place, attempt_deadline } => {
                    let attempt_deadline = self.clock.instant(attempt_deadline);
                    if let Some(ends) = state.handles.get_mut(&id) {
                        let driver = self.clone();
                        let request = ends.outgoing.clone();
                        let run = Attempt { driver, id, number: attempt, sent: now, request, done: false };
                        ends.attempt = Some(run.start(server, place, attempt_deadline));
                    }
                }
                Output::Write { .. } => may_write = true,
                Output::Withhold { .. } => {}
                Output::Abort { id, .. } => {
                    state.handles.get(&id).and_then(|e| e.attempt.as_ref()).inspect(|out| out.abort());
                }
                Output::Answer { id, answer } => {
                    let ends = state.handles.get_mut(&id);
                    let (client, failure) =
                        ends.map(|e| (e.client.take(), e.failure.take())).unwrap_or_default();
                    if let (Some(client), Some(answer)) = (client, brought.answer(answer, failure)) {
                        // An error means that the client has just left.
                        let _ = client.send(answer);
                    }
                }
                Output::RequestEnded { id } => drop(state.handles.remove(&id)),
                Output::Report { planner, report } => brought.reports.push((planner, report)),
                Output::Notice(Notice::DiscoveryLost) => {
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
        done.map(|()| may_write)
    }

    /// The same for inputs that only a fault of this program can make invalid.
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

    /// An attempt has reached a stage. Returns whether it may go on.
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
        // Nothing follows from this input, and it needs no time.
        let DriverState { engine, outputs, .. } = &mut *state;
        if let Err(wrong) = engine.handle(0, Input::Progress { id, attempt, step }, outputs) {
            warn!(request = format!("{id:016x}"), attempt, cause = %wrong, "lifecycle: {wrong}");
        }
        true
    }

    /// A good answer has begun that is streamed. Returns whether anybody waits for it.
    fn answer_started(self: &Rc<Self>, run: &Attempt, outcome: Outcome) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let Outcome { served, settled, metered, load, .. } = outcome;
        let elapsed = run.elapsed(now);
        let facts = AttemptFacts { elapsed, settled, metered, load };
        let input = Input::AnswerStarted { id: run.id, attempt: run.number, facts };
        let mut brought = InputContext { served, ..InputContext::default() };
        let done = self.handle(&mut state, now, input, &mut brought);
        // The answer has gone to the client, or nobody waits for it.
        done.is_ok() && brought.served.is_none()
    }

    /// An attempt has ended, for whatever reason.
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
            // It must not stay in flight for ever.
            let (ending, reply, facts) = (Ending::Cancelled, Reply::None, AttemptFacts::default());
            let undone = Input::AttemptEnded { id, attempt, ending, reply, facts };
            let _ = self.handle(&mut state, now, undone, &mut InputContext::default());
        }
    }

    // ---- The loop ----

    /// Calls the module with what has happened: at once, or at the configured interval.
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
            // After a quiet spell there is nothing to wait for.
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
}

fn max_deadline(settings: &Settings) -> Time {
    settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
}
