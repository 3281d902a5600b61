//! Connects the engine to the sockets: socket events become inputs of the engine, and its outputs are carried out. No
//! decisions are made here.

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

/// Final answer to a request.
pub enum Answer {
    Served(Served),
    /// No backend has executed the request; the client may retry after this time.
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

/// Well-formed request of a client.
pub struct Incoming {
    pub request: engine::Incoming,
    pub arrived: Instant,
    pub outgoing: Outgoing,
}

/// Handles to the client and the current attempt of a request until it has ended.
struct RequestHandles {
    /// None once the request is answered or its client has left.
    client: Option<oneshot::Sender<Answer>>,
    outgoing: Rc<Outgoing>,
    attempt: Option<AbortHandle>,
    /// Error response of a backend, at most 64 KiB. If the request fails, the client gets it instead of the gateway's own.
    failure: Option<Served>,
}

struct DriverState {
    engine: Engine<Box<dyn Module>>,
    handles: HashMap<RequestId, RequestHandles>,
    /// Empty except while outputs are carried out. Kept to reuse its allocation.
    outputs: Vec<Output>,
}

/// Connects one engine to its sockets.
pub struct Driver {
    state: RefCell<DriverState>,
    wake: Notify,
    backends: Rc<Backends>,
    /// Server list for the next process, if it is exported, and the notification of its changes.
    exported_list: RefCell<Option<ListSnapshot>>,
    list_changed: Notify,
    clock: Clock,
    /// Counts of final answers at the last status line.
    reported_answers: Cell<AnswerCounts>,
    /// Largest delay of a timer since the last status line.
    max_timer_delay: Cell<Duration>,
    zones: Vec<String>,
    /// Returns the pools of a backend, one bit each.
    pools: Box<dyn Fn(&Target) -> u32>,
    /// Longest deadline of any request class in the settings.
    max_deadline: Cell<Time>,
}

/// Configuration of a [`Driver`].
pub struct Config {
    pub settings: Settings,
    pub seed: u64,
    pub timing: Timing,
    pub module: ModuleFactory<Box<dyn Module>>,
    pub backends: Rc<Backends>,
    /// Zone names; a zone's number is its index.
    pub zones: Vec<String>,
    /// Returns the pools of a backend, one bit each.
    pub pools: Box<dyn Fn(&Target) -> u32>,
}

impl Driver {
    /// Returns a driver without requests and backends.
    ///
    /// # Errors
    /// The module's reason for rejecting the settings.
    pub fn new(config: Config) -> Result<Rc<Self>, String> {
        let Config { settings, seed, timing, module, backends, zones, pools } = config;
        let clock = Clock::new();
        let now = clock.time(Instant::now());
        let max_deadline = Cell::new(max_deadline(&settings));
        let engine = Engine::new(settings, seed, timing, now, module);
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
            max_deadline,
            state: RefCell::new(DriverState { engine, handles: HashMap::new(), outputs: Vec::new() }),
            clock,
        }))
    }

    /// Applies new settings. They must contain the old classes, plans and pools at the same indices.
    pub fn reconfigure(&self, settings: Settings) {
        self.max_deadline.set(max_deadline(&settings));
        self.state.borrow_mut().engine.reconfigure(settings);
    }

    /// Converts an instant to a time on the engine's clock.
    pub fn time(&self, at: Instant) -> Time {
        self.clock.time(at)
    }

    /// Converts a time on the engine's clock to an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.clock.instant(time)
    }

    /// Returns the longest deadline of any request class in the settings.
    pub fn max_deadline(&self) -> Time {
        self.max_deadline.get()
    }

    /// Whether any server accepts new work.
    pub fn can_serve(&self) -> bool {
        self.state.borrow().engine.can_serve()
    }

    // ---- Manual bans and totals ----

    /// Runs an operation on the engine, and wakes the loop if the module must be called.
    fn with_engine<T>(&self, operation: impl FnOnce(&mut Engine<Box<dyn Module>>, Time) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let result = operation(&mut state.engine, self.clock.time(Instant::now()));
        if state.engine.wants_wake() {
            self.wake.notify_one();
        }
        result
    }

    /// Bans a server manually. Returns whether it was not banned before.
    ///
    /// # Errors
    /// [`NeverListed`] if no list has named the server.
    pub fn ban(&self, target: &str) -> Result<bool, NeverListed> {
        self.with_engine(|engine, now| engine.ban(now, target))
    }

    /// Ends a manual ban. Returns whether the server was banned.
    ///
    /// # Errors
    /// [`NeverListed`] if no list has named the server.
    pub fn unban(&self, target: &str) -> Result<bool, NeverListed> {
        self.with_engine(|engine, now| engine.unban(now, target))
    }

    /// Returns the manually banned servers and the start of each ban.
    pub fn bans(&self) -> BTreeMap<Name, Time> {
        self.state.borrow().engine.bans()
    }

    /// Replaces the bans by those of another process of this gateway.
    pub fn adopt_bans(&self, bans: &BTreeMap<Name, Time>) {
        if self.with_engine(|engine, now| engine.adopt_bans(now, bans)) > 0 {
            info!(out = bans.len(), "handover: {} backends are banned manually", bans.len());
        }
    }

    /// Returns the decision module's state for the next process of this gateway.
    pub fn export_state(&self) -> String {
        self.state.borrow().engine.export_state()
    }

    /// Imports the state that the previous process of this gateway exported.
    ///
    /// # Errors
    /// The module's reason for rejecting the state.
    pub fn import_state(&self, exported: &str) -> Result<(), String> {
        self.with_engine(|engine, now| engine.import_state(now, exported))
    }

    /// Returns counts since the start and the current state of the server list.
    pub fn totals(&self) -> Totals {
        self.state.borrow().engine.totals()
    }

    // ---- Requests ----

    /// Submits a request. Returns None if a request with the same id has not ended.
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
        Some(Ticket { id, answer, driver: self.clone(), is_answered: false })
    }

    /// Records that the last byte of a streamed request body has arrived. The request's timeout counts from now.
    pub fn body_completed(self: &Rc<Self>, id: RequestId, timeout: Time) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if let Some(handles) = state.handles.get(&id) {
            handles.outgoing.completed_at.set(Some(now));
        }
        self.handle_or_warn(&mut state, now, Input::BodyCompleted { id, timeout }, InputContext::default());
        // The next due time has changed.
        self.wake.notify_one();
    }

    /// Records that the client no longer waits for the answer.
    fn client_left(self: &Rc<Self>, id: RequestId) {
        self.handle_or_warn(
            &mut self.state.borrow_mut(),
            Instant::now(),
            Input::ClientLeft { id },
            InputContext::default(),
        );
    }

    // ---- Outputs ----

    /// Passes an input to the engine and carries out its outputs. Returns whether the attempt may write its request.
    fn handle(
        self: &Rc<Self>,
        state: &mut DriverState,
        now: Instant,
        input: Input,
        context: &mut InputContext,
    ) -> Result<bool, Error> {
        let mut outputs = std::mem::take(&mut state.outputs);
        let result = state.engine.handle(self.clock.time(now), input, &mut outputs);
        let mut may_write = false;
        for output in outputs.drain(..) {
            match output {
                Output::Start { id, attempt, server, address, attempt_deadline } => {
                    let attempt_deadline = self.clock.instant(attempt_deadline);
                    if let Some(handles) = state.handles.get_mut(&id) {
                        let driver = self.clone();
                        let request = handles.outgoing.clone();
                        let run = Attempt { driver, id, number: attempt, sent: now, request, is_done: false };
                        handles.attempt = Some(run.start(server, address, attempt_deadline));
                    }
                }
                Output::Write { .. } => may_write = true,
                Output::Withhold { .. } => {}
                Output::Abort { id, .. } => {
                    state
                        .handles
                        .get(&id)
                        .and_then(|handles| handles.attempt.as_ref())
                        .inspect(|attempt| attempt.abort());
                }
                Output::Answer { id, answer } => {
                    let handles = state.handles.get_mut(&id);
                    let (client, failure) =
                        handles.map(|h| (h.client.take(), h.failure.take())).unwrap_or_default();
                    if let (Some(client), Some(answer)) = (client, context.answer(answer, failure)) {
                        // An error means that the client has left in the meantime.
                        let _ = client.send(answer);
                    }
                }
                Output::RequestEnded { id } => drop(state.handles.remove(&id)),
                Output::Report { planner, report } => context.reports.push((planner, report)),
                Output::Notice(Notice::DiscoveryLost) => {
                    let why = context.discovery_failure.as_deref().unwrap_or("lost");
                    warn!(cause = why, "discovery: {why}; the old list stands");
                }
                Output::Notice(notice) => warn!("{notice}"),
            }
        }
        state.outputs = outputs;
        if state.engine.wants_wake() {
            self.wake.notify_one();
        }
        result.map(|()| may_write)
    }

    /// Like [`Self::handle`], for inputs that only a bug in this program can make invalid.
    fn handle_or_warn(
        self: &Rc<Self>,
        state: &mut DriverState,
        now: Instant,
        input: Input,
        mut context: InputContext,
    ) -> bool {
        self.handle(state, now, input, &mut context).unwrap_or_else(|error| {
            warn!(cause = %error, "lifecycle: {error}");
            false
        })
    }

    // ---- Attempts ----

    /// Handles a stage reached by an attempt. Returns whether the attempt may continue.
    fn attempt_reached(self: &Rc<Self>, id: RequestId, attempt: u32, stage: AttemptStage) -> bool {
        let mut state = self.state.borrow_mut();
        let step = match stage {
            AttemptStage::Connected => {
                let input = Input::Connected { id, attempt };
                return self.handle_or_warn(&mut state, Instant::now(), input, InputContext::default());
            }
            AttemptStage::Written => Step::Written,
            AttemptStage::Answering => Step::Answering,
        };
        // This input has no outputs and needs no time.
        let DriverState { engine, outputs, .. } = &mut *state;
        if let Err(error) = engine.handle(0, Input::Progress { id, attempt, step }, outputs) {
            warn!(request = format!("{id:016x}"), attempt, cause = %error, "lifecycle: {error}");
        }
        true
    }

    /// Handles the start of a streamed response. Returns whether the client waits for it.
    fn answer_started(self: &Rc<Self>, run: &Attempt, outcome: Outcome) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let Outcome { served, settled, metered, load, .. } = outcome;
        let elapsed = run.elapsed(now);
        let facts = AttemptFacts { elapsed, settled, metered, load };
        let input = Input::AnswerStarted { id: run.id, attempt: run.number, facts };
        let mut context = InputContext { served, ..InputContext::default() };
        let result = self.handle(&mut state, now, input, &mut context);
        // `served` is still there if no client waits for it.
        result.is_ok() && context.served.is_none()
    }

    /// Handles the end of an attempt, whatever the reason.
    fn attempt_ended(self: &Rc<Self>, run: &Attempt, outcome: Outcome) {
        let (id, attempt) = (run.id, run.number);
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let reply = match (&outcome.served, outcome.rejected) {
            (Some(_), _) => Reply::Good,
            (None, Some(_)) => Reply::Rejected,
            (None, None) => Reply::None,
        };
        let Outcome { ending, served, failure, rejected, settled, metered, load } = outcome;
        if let Some(handles) = state.handles.get_mut(&id).filter(|_| failure.is_some()) {
            handles.failure = failure;
        }
        let elapsed = run.elapsed(now);
        let facts = AttemptFacts { elapsed, settled, metered, load };
        let input = Input::AttemptEnded { id, attempt, ending, reply, facts };
        let mut context = InputContext { served, rejected, ..InputContext::default() };
        if let Err(error) = self.handle(&mut state, now, input, &mut context) {
            warn!(request = format!("{id:016x}"), attempt, cause = %error, "lifecycle: {error}");
            // Ended as cancelled, so that the attempt does not stay in flight forever.
            let (ending, reply, facts) = (Ending::Cancelled, Reply::None, AttemptFacts::default());
            let cancelled = Input::AttemptEnded { id, attempt, ending, reply, facts };
            let _ = self.handle(&mut state, now, cancelled, &mut InputContext::default());
        }
    }

    // ---- The loop ----

    /// Calls the module with new events, at once or at the configured minimum interval.
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
            // Without recent batches there is nothing to wait for.
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
