//! The decision module of a simulated gateway: the real one, optionally wrapped to inject arbitrary actions,
//! silence and panics, or to replace its choice of server. The engine's guarantees must hold regardless.

use fastrand::Rng;
use granitehub::Gateway;
use interface::{Action, Event, Health, Module, Name, RequestId, Scope, Time};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Number of recent requests that injected actions may refer to.
const MAX_RECENT_REQUESTS: usize = 24;

/// Decision module of a simulated gateway, with optional fault injection or choice of server.
pub struct SimulatedModule {
    gateway: Gateway,
    faults: Option<FaultInjection>,
    choice: Option<ServerChooser>,
}

/// Selects the server of an attempt: the module, or a simpler baseline that does not protect cold servers.
/// The module still decides when and whether to send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    #[default]
    Module,
    /// Any available server.
    Random,
    /// The better of two random servers by requests in flight from this gateway (Mitzenmacher 1996).
    Two,
    /// The server with the lowest load relative to its present speed, over all gateways.
    Least,
}

/// Load of each server, running and queued, divided by its present speed.
pub type TrueLoads = Rc<RefCell<Vec<f64>>>;

struct ServerChooser {
    choice: Choice,
    rng: Rng,
    true_loads: TrueLoads,
    available: BTreeMap<Name, usize>,
    in_flight: BTreeMap<Name, u32>,
}

impl ServerChooser {
    fn observe(&mut self, event: &Event) {
        match event {
            Event::Fleet { scope, nodes, .. } if *scope != Scope::Failed => {
                if *scope != Scope::Changes {
                    self.available.clear();
                }
                for n in nodes {
                    let number = n.name.trim_start_matches("s-").parse().unwrap_or(0);
                    if n.health == Health::Up {
                        self.available.insert(n.name.clone(), number);
                    } else {
                        self.available.remove(&n.name);
                    }
                }
            }
            Event::AttemptEnd(e) => {
                if let Some(in_flight) = self.in_flight.get_mut(&e.server) {
                    *in_flight = in_flight.saturating_sub(1);
                }
            }
            _ => {}
        }
    }

    fn choose(&mut self) -> Option<Name> {
        let all: Vec<(&Name, usize)> = self.available.iter().map(|(name, n)| (name, *n)).collect();
        if all.is_empty() {
            return None;
        }
        let mut draw = || all[self.rng.usize(..all.len())];
        let in_flight = |name: &Name| self.in_flight.get(name).copied().unwrap_or(0);
        let (name, _) = match self.choice {
            Choice::Module => return None,
            Choice::Random => draw(),
            Choice::Two => {
                let (a, b) = (draw(), draw());
                if in_flight(a.0) <= in_flight(b.0) {
                    a
                } else {
                    b
                }
            }
            Choice::Least => {
                let true_loads = self.true_loads.borrow();
                let load = |n: usize| true_loads.get(n).copied().unwrap_or(0.0);
                // Starts at a random position, so that ties are spread evenly.
                let from = self.rng.usize(..all.len());
                let rotated = all[from..].iter().chain(&all[..from]);
                *rotated.min_by(|a, b| load(a.1).total_cmp(&load(b.1)))?
            }
        };
        let name = name.clone();
        *self.in_flight.entry(name.clone()).or_default() += 1;
        Some(name)
    }
}

struct FaultInjection {
    rng: Rng,
    recent_requests: VecDeque<RequestId>,
    servers: usize,
}

impl SimulatedModule {
    /// Wraps the real module. `faults` is the seed and the number of servers for fault injection;
    /// `choice` replaces the choice of server.
    pub fn new(
        gateway: Gateway,
        faults: Option<(u64, usize)>,
        choice: Option<(Choice, u64, TrueLoads)>,
    ) -> Self {
        let faults = faults.map(|(seed, servers)| FaultInjection {
            rng: Rng::with_seed(seed),
            recent_requests: VecDeque::new(),
            servers,
        });
        let chooser = |(choice, seed, true_loads)| ServerChooser {
            choice,
            rng: Rng::with_seed(seed),
            true_loads,
            available: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        };
        SimulatedModule { gateway, faults, choice: choice.map(chooser) }
    }
}

impl Module for SimulatedModule {
    fn export_state(&self) -> String {
        self.gateway.export_state()
    }

    fn import_state(&mut self, now: Time, state: &str) -> Result<(), String> {
        self.gateway.import_state(now, state)
    }

    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        if let Some(c) = &mut self.choice {
            events.iter().for_each(|e| c.observe(e));
            self.gateway.handle(now, events, out);
            for action in out {
                if let Action::Send { server, .. } = action {
                    *server = c.choose().unwrap_or_else(|| server.clone());
                }
            }
            return;
        }
        let Some(m) = &mut self.faults else { return self.gateway.handle(now, events, out) };
        for event in &events {
            if let Event::Request(request) = event {
                m.recent_requests.push_back(request.id);
            }
        }
        while m.recent_requests.len() > MAX_RECENT_REQUESTS {
            m.recent_requests.pop_front();
        }
        self.gateway.handle(now, events, out);
        match m.rng.u32(0..2000) {
            // Bypasses the panic hook, which would fill the log.
            0 => std::panic::resume_unwind(Box::new("mischief")),
            1..=20 => out.clear(),
            21..=400 => m.inject(now, out),
            _ => {}
        }
    }
}

impl FaultInjection {
    fn inject(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(id) = self.recent_requests.get(self.rng.usize(0..MAX_RECENT_REQUESTS)).copied() else {
            return;
        };
        let attempt = self.rng.u32(0..3);
        let action = match self.rng.u32(0..8) {
            0 => Action::Reject { id, advice: 0 },
            1 => Action::Fail { id },
            2 | 3 => {
                // Sends another attempt at once, as if the cancelled one had already ended.
                out.push(Action::Cancel { id, attempt });
                self.send(now, id)
            }
            _ => self.send(now, id),
        };
        out.push(action);
    }

    fn send(&mut self, now: Time, id: RequestId) -> Action {
        let server = format!("s-{:04}", self.rng.usize(0..self.servers)).into();
        let attempt_deadline = if self.rng.bool() { 0 } else { now + self.rng.u64(1..500_000_000) };
        Action::Send { id, server, attempt_deadline }
    }
}
