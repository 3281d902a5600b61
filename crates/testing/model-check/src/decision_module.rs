//! The decision module of a model: an adversary, whose orders are transitions of the model, or the real module, which
//! queues events and acts on them in a transition of its own.

use crate::world::World;
use granitehub::Gateway;
use interface::{Action, AttemptEnd, Class, Event, Health, Node, Plan, Scope, Settings, Time};
use lifecycle::{Input, ListedServer, ModuleEvent};
use std::hash::{Hash, Hasher};

/// The decision module of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DecisionModule {
    Adversary,
    Real(Box<Real>),
}

/// The real decision module, with its queued events, timers and server list.
#[derive(Clone, Debug)]
pub struct Real {
    gateway: Gateway,
    events: Vec<Event>,
    timers: Vec<(Time, u64)>,
    server_list: Vec<Node>,
}

/// Equality and hash use the Debug text, because the module's state contains floating-point numbers.
impl Real {
    fn image(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for Real {
    fn eq(&self, other: &Self) -> bool {
        self.image() == other.image()
    }
}

impl Eq for Real {}

impl Hash for Real {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.image().hash(state);
    }
}

fn gateway(world: &World, now: Time) -> Gateway {
    let mut class =
        Class::new("class", world.time(1), world.time(crate::world::DEADLINE), world.effect, world.group);
    class.key_ttl = world.time(crate::world::KEY_TTL);
    let settings = Settings {
        classes: vec![class],
        plans: vec![Plan::new("basic", 1000.0, 1000.0)],
        cancelling: true,
        retry_after: true,
        max_retry_after: 2_000_000_000,
        max_attempts: world.attempt_limit,
        ..Settings::default()
    };
    Gateway::new(settings, 7, now).expect("settings in range")
}

impl DecisionModule {
    pub fn new(world: &World) -> Self {
        if !world.uses_real_module {
            return DecisionModule::Adversary;
        }
        let (events, timers, server_list) = Default::default();
        DecisionModule::Real(Box::new(Real { gateway: gateway(world, 0), events, timers, server_list }))
    }

    pub fn is_real(&self) -> bool {
        matches!(self, DecisionModule::Real(_))
    }

    pub fn push_event(&mut self, event: Event) {
        if let DecisionModule::Real(real) = self {
            real.events.push(event);
        }
    }

    /// Queues a report of the request table as an event of the real module.
    pub fn notify(&mut self, notification: ModuleEvent) {
        self.push_event(match notification {
            ModuleEvent::ClientLeft { id } => Event::ClientLeft { id },
            ModuleEvent::Ended { id, attempt, server, ending, last } => Event::AttemptEnd(AttemptEnd {
                id,
                attempt,
                server,
                ending,
                last,
                elapsed: 1_000_000,
                settled: 0.0,
                metered: None,
                load: None,
            }),
        });
    }

    pub fn update_servers(&mut self, scope: Scope, servers: &[ListedServer]) {
        let DecisionModule::Real(real) = self else { return };
        let node = |s: &ListedServer| {
            let health = match s.address {
                Some(_) => Health::Up,
                None if s.is_removed => Health::Removed,
                None => Health::Draining,
            };
            Node { cell: s.cell, ..Node::new(&s.name, health) }
        };
        let nodes: Vec<Node> = servers.iter().map(node).collect();
        real.server_list.retain(|n| nodes.iter().all(|m| m.name != n.name));
        real.server_list.extend(nodes.iter().cloned());
        real.events.push(Event::Fleet { seq: 1, scope, nodes });
    }

    /// Replaces the module by a new one that knows only the server list.
    pub fn restart(&mut self, world: &World, now: Time) {
        let DecisionModule::Real(real) = self else { return };
        real.gateway = gateway(world, now);
        real.timers.clear();
        real.events = vec![Event::Fleet { seq: 0, scope: Scope::Cached, nodes: real.server_list.clone() }];
    }

    pub fn has_pending_events(&self, now: Time) -> bool {
        match self {
            DecisionModule::Adversary => false,
            DecisionModule::Real(real) => {
                !real.events.is_empty() || real.timers.iter().any(|(expiry, _)| *expiry <= now)
            }
        }
    }

    /// Passes the queued events and due timers to the module and returns its actions as inputs of the request table.
    pub fn run_batch(&mut self, now: Time) -> Vec<Input> {
        let DecisionModule::Real(real) = self else { return Vec::new() };
        let due: Vec<u64> = real.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
        real.timers.retain(|t| t.0 > now);
        real.events.extend(due.into_iter().map(|token| Event::Timer { token }));
        let (events, mut actions) = (std::mem::take(&mut real.events), Vec::new());
        real.gateway.handle(now, events, &mut actions);
        let mut inputs = Vec::new();
        for action in actions {
            inputs.push(match action {
                Action::Send { id, server, attempt_deadline } => Input::Send { id, server, attempt_deadline },
                Action::Reject { id, advice } => Input::Refuse { id, advice },
                Action::Fail { id } => Input::Fail { id },
                Action::Cancel { id, attempt } => Input::Cancel { id, attempt },
                Action::Timer { token, at } => {
                    real.timers.push((at, token));
                    continue;
                }
                Action::Subscribe { .. } => continue,
            });
        }
        real.timers.sort_unstable();
        inputs
    }
}
