//! The decision module as a world has it: the real one, and on request one that says anything at any time, falls
//! silent, or panics. What the engine guards must hold all the same.

use fastrand::Rng;
use granitehub::Gateway;
use interface::{Action, Event, Health, Module, Name, RequestId, Scope, Time};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Requests that mischief is made with: the last so many.
const KNOWN: usize = 24;

pub struct Mind {
    gateway: Gateway,
    mischief: Option<Mischief>,
    choice: Option<Chooser>,
}

/// Who chooses the server: the module, or for comparison something simpler in its place, which spares no cold
/// server. When and whether to send stays the module's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    #[default]
    Module,
    /// Any that takes work.
    Random,
    /// The better of two drawn, by what is in flight from here (Mitzenmacher 1996).
    Two,
    /// The least loaded for its present speed, by what is true over all gateways.
    Least,
}

/// What is in work and waiting at each server, over its present speed.
pub type Truth = Rc<RefCell<Vec<f64>>>;

struct Chooser {
    choice: Choice,
    rng: Rng,
    truth: Truth,
    up: BTreeMap<Name, usize>,
    own: BTreeMap<Name, u32>,
}

impl Chooser {
    fn hear(&mut self, event: &Event) {
        match event {
            Event::Fleet { scope, nodes, .. } if *scope != Scope::Failed => {
                if *scope != Scope::Changes {
                    self.up.clear();
                }
                for n in nodes {
                    let number = n.name.trim_start_matches("s-").parse().unwrap_or(0);
                    if n.health == Health::Up {
                        self.up.insert(n.name.clone(), number);
                    } else {
                        self.up.remove(&n.name);
                    }
                }
            }
            Event::AttemptEnd(e) => {
                if let Some(own) = self.own.get_mut(&e.server) {
                    *own = own.saturating_sub(1);
                }
            }
            _ => {}
        }
    }

    fn choose(&mut self) -> Option<Name> {
        let all: Vec<(&Name, usize)> = self.up.iter().map(|(name, n)| (name, *n)).collect();
        if all.is_empty() {
            return None;
        }
        let mut one = || all[self.rng.usize(..all.len())];
        let own = |name: &Name| self.own.get(name).copied().unwrap_or(0);
        let (name, _) = match self.choice {
            Choice::Module => return None,
            Choice::Random => one(),
            Choice::Two => {
                let (a, b) = (one(), one());
                if own(a.0) <= own(b.0) {
                    a
                } else {
                    b
                }
            }
            Choice::Least => {
                let truth = self.truth.borrow();
                let load = |n: usize| truth.get(n).copied().unwrap_or(0.0);
                // From a drawn place on, so that equals share.
                let from = self.rng.usize(..all.len());
                let turned = all[from..].iter().chain(&all[..from]);
                *turned.min_by(|a, b| load(a.1).total_cmp(&load(b.1)))?
            }
        };
        let name = name.clone();
        *self.own.entry(name.clone()).or_default() += 1;
        Some(name)
    }
}

struct Mischief {
    rng: Rng,
    known: VecDeque<RequestId>,
    servers: usize,
}

impl Mind {
    /// The real module; with a seed and a number of servers, one that makes mischief.
    pub fn new(
        gateway: Gateway,
        mischief: Option<(u64, usize)>,
        choice: Option<(Choice, u64, Truth)>,
    ) -> Self {
        let mischief = mischief.map(|(seed, servers)| Mischief {
            rng: Rng::with_seed(seed),
            known: VecDeque::new(),
            servers,
        });
        let chooser = |(choice, seed, truth)| Chooser {
            choice,
            rng: Rng::with_seed(seed),
            truth,
            up: BTreeMap::new(),
            own: BTreeMap::new(),
        };
        Mind { gateway, mischief, choice: choice.map(chooser) }
    }
}

impl Module for Mind {
    fn export_state(&self) -> String {
        self.gateway.export_state()
    }

    fn import_state(&mut self, now: Time, left: &str) -> Result<(), String> {
        self.gateway.import_state(now, left)
    }

    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        if let Some(c) = &mut self.choice {
            events.iter().for_each(|e| c.hear(e));
            self.gateway.handle(now, events, out);
            for action in out {
                if let Action::Send { server, .. } = action {
                    *server = c.choose().unwrap_or_else(|| server.clone());
                }
            }
            return;
        }
        let Some(m) = &mut self.mischief else { return self.gateway.handle(now, events, out) };
        for event in &events {
            if let Event::Request(request) = event {
                m.known.push_back(request.id);
            }
        }
        while m.known.len() > KNOWN {
            m.known.pop_front();
        }
        self.gateway.handle(now, events, out);
        match m.rng.u32(0..2000) {
            // Without the hook, which would fill the log.
            0 => std::panic::resume_unwind(Box::new("mischief")),
            1..=20 => out.clear(),
            21..=400 => m.add(now, out),
            _ => {}
        }
    }
}

impl Mischief {
    fn add(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(id) = self.known.get(self.rng.usize(0..KNOWN)).copied() else { return };
        let attempt = self.rng.u32(0..3);
        let action = match self.rng.u32(0..8) {
            0 => Action::Reject { id, advice: 0 },
            1 => Action::Fail { id },
            2 | 3 => {
                // And at once another, as if the first had ended with it.
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
