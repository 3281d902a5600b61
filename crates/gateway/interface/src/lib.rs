//! What goes in and out of the decision module: settings, events, actions, ids and times. No logic, no I/O.
#![forbid(unsafe_code)]

use std::sync::Arc;

/// Nanoseconds on the caller's clock.
pub type Time = u64;
/// Seconds of a time.
pub fn secs(t: Time) -> f64 {
    t as f64 / 1e9
}

/// The time of so many seconds; none is less than nothing.
pub fn nanos(s: f64) -> Time {
    (s.max(0.0) * 1e9) as Time
}

/// A request's id, never reused.
pub type RequestId = u64;
/// A server's or a customer's name, opaque.
pub type Name = Arc<str>;

/// What a second run of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub latency_target: Time,
    pub deadline: Time,
    pub effect: Effect,
    pub group: Group,
    pub key_ttl: Time,
    pub late_value: f64,
    pub points: f64,
    pub stream: bool,
}

impl Class {
    /// A class without a key lifetime, with defaults for the rest.
    pub fn new(name: &str, latency_target: Time, deadline: Time, effect: Effect, group: Group) -> Self {
        let name = name.to_string();
        Class {
            name,
            latency_target,
            deadline,
            effect,
            group,
            key_ttl: 0,
            late_value: 0.0,
            points: 1.0,
            stream: false,
        }
    }
}

/// A plan; its quotas hold for each customer over all gateways together. A rate or limit of 0 means none.
#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    pub rate: f64,
    pub depth: f64,
    pub parallel: u32,
    pub hard_limit_rate: f64,
    pub hard_limit_burst: f64,
    pub value_factor: f64,
    pub over_quota_value: f64,
    pub over_quota_cost: f64,
}

impl Plan {
    /// A plan with a quota and no other limit.
    pub fn new(name: &str, rate: f64, depth: f64) -> Self {
        Plan {
            name: name.to_string(),
            rate,
            depth,
            parallel: 0,
            hard_limit_rate: 0.0,
            hard_limit_burst: 0.0,
            value_factor: 1.0,
            over_quota_value: 0.0,
            over_quota_cost: 0.0,
        }
    }
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's zone and number, and how many gateways there are.
    pub zone: u32,
    pub gateway_index: u32,
    pub gateways: u32,
    /// How many pools there are, 1 to 32.
    pub pools: usize,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// Whether discovery must be asked, and how often at least while no subscription stands.
    pub subscribe: bool,
    pub max_poll_interval: Time,
    pub marks_retries: bool,
    pub cancelling: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after: Time,
    pub max_attempts: u32,
    /// Whether answers settle the guessed units of a request; the most units of one request.
    pub settles_cost: bool,
    pub max_units: f64,
    /// The meter's period; 0 for no meter.
    pub meter_period: Time,
    pub warm_up_time: Time,
    pub initial_warmth: f64,
    pub collapse_window: Time,
    pub collapse_multiple: f64,
    pub answer_slack: Time,
    pub cross_zone_price: f64,
    /// The shortest time between two calls.
    pub tick: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zone: 0,
            gateway_index: 0,
            gateways: 1,
            pools: 1,
            classes: Vec::new(),
            plans: Vec::new(),
            subscribe: false,
            max_poll_interval: 10_000_000_000,
            marks_retries: false,
            cancelling: false,
            second_copies: false,
            retry_after: false,
            max_retry_after: 0,
            max_attempts: 3,
            settles_cost: false,
            max_units: 1.0,
            meter_period: 0,
            warm_up_time: 0,
            initial_warmth: 1.0,
            collapse_window: 1_000_000_000,
            collapse_multiple: 3.0,
            answer_slack: 0,
            cross_zone_price: 0.0,
            tick: 1_000_000,
        }
    }
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    Draining,
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: Name,
    /// Pools that it belongs to, a bit each from the lowest on.
    pub pools: u32,
    pub zone: u32,
    pub cell: u32,
    pub health: Health,
    pub rating: f64,
    /// The time of its latest start; 0 for long ago.
    pub since: Time,
}

impl Node {
    /// A server of all pools, with defaults for the rest.
    pub fn new(name: &str, health: Health) -> Self {
        Node { name: name.into(), pools: u32::MAX, zone: 0, cell: 0, health, rating: 1.0, since: 0 }
    }
}

/// What a server list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Changes,
    Full,
    /// The list last held, perhaps stale.
    Cached,
    /// A call to discovery failed, or the subscription broke.
    Failed,
}

/// What is known of a request's quota, ceiling and cap beside the module's own guess.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Allowance {
    /// Nothing: the module goes by its own store and the meter.
    #[default]
    Unknown,
    /// Its units are taken from a lease.
    Granted,
    /// None are to be had; more may be after so long.
    Refused { advice: Time },
    /// They are granted one after another: it waits in its queue until [`Event::AllowanceDecided`] says so, until then at the
    /// latest.
    Awaited { until: Time },
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub plan: usize,
    pub customer: Name,
    pub deadline: Time,
    pub units: f64,
    /// How many gateways the customer's requests may come through.
    pub spread: u32,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Which pool's servers may take it.
    pub pool: usize,
    pub allowance: Allowance,
}

impl Request {
    /// A request of the first pool, with defaults for the rest.
    pub fn new(id: RequestId, class: usize, plan: usize, customer: &str, deadline: Time, units: f64) -> Self {
        let (customer, allowance) = (customer.into(), Allowance::Unknown);
        Request { id, class, plan, customer, deadline, units, spread: 1, repeat: false, pool: 0, allowance }
    }
}

/// How an attempt ended. `Full`, `NoRoute` and `Stale` prove that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Interrupted,
    /// What came back can't be read. It may have run, and it tells nothing of the server's health.
    Unreadable,
    Cancelled,
    Stale,
}

/// What a server says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub inflight: Option<f64>,
    pub queue: Option<f64>,
    pub latency_ms: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub server: Name,
    pub ending: Ending,
    /// The request is finished.
    pub last: bool,
    pub elapsed: Time,
    /// True units, where answers settle them.
    pub settled: f64,
    /// The customer's metered use over all gateways as a share of its rate, where the answer tells.
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// What happened, for the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    Fleet {
        seq: u64,
        scope: Scope,
        nodes: Vec<Node>,
    },
    Request(Request),
    ClientLeft {
        id: RequestId,
    },
    AttemptEnd(AttemptEnd),
    /// What is known by now of a request's allowance that was awaited.
    AllowanceDecided {
        id: RequestId,
        allowance: Allowance,
    },
    Timer {
        token: u64,
    },
    Streaming {
        id: RequestId,
        attempt: u32,
    },
    Probed {
        server: Name,
        ending: Ending,
        load: Option<Load>,
    },
    Counted {
        name: u64,
        ending: Ending,
        level: f64,
    },
    Peer {
        from: u32,
        bytes: String,
    },
    /// This gateway's part of all work, 0 to 1, where a planner tells it: so much of each server's room is its.
    WorkShare {
        work_share: f64,
    },
    /// A belief: so many gateways live, and this is the `me`th of them; 0 gateways: what the settings say. It may make
    /// work cheaper, by which servers are kept connections to. No ceiling, cap or budget may rest on it.
    GatewayPosition {
        position: u32,
        gateways: u32,
    },
}

/// What the decision module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { id: RequestId, server: Name, attempt_deadline: Time },
    Reject { id: RequestId, advice: Time },
    Fail { id: RequestId },
    Cancel { id: RequestId, attempt: u32 },
    Timer { token: u64, at: Time },
    Subscribe { on: bool },
}

/// The decision module, as its caller sees it. It may say anything at any time, and it may panic.
pub trait Module {
    /// Takes what happened by `now` and appends what to do about it.
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>);

    /// Goes on by these settings, which name at least the classes, plans and pools that the old ones did, in their
    /// places.
    fn reconfigure(&mut self, _settings: &Settings) {}

    /// What another process of this gateway is to go on with; empty if there is nothing.
    fn export_state(&self) -> String {
        String::new()
    }

    /// Goes on with what another process of this gateway has left.
    ///
    /// # Errors
    /// What is wrong with it. Nothing has changed then.
    fn import_state(&mut self, _now: Time, _left: &str) -> Result<(), String> {
        Ok(())
    }

    /// Servers that take new work by the list and that it avoids now by its own choice.
    fn avoided(&self) -> Vec<Name> {
        Vec::new()
    }
}

impl Module for Box<dyn Module> {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        (**self).handle(now, events, out);
    }

    fn reconfigure(&mut self, settings: &Settings) {
        (**self).reconfigure(settings);
    }

    fn export_state(&self) -> String {
        (**self).export_state()
    }

    fn import_state(&mut self, now: Time, left: &str) -> Result<(), String> {
        (**self).import_state(now, left)
    }

    fn avoided(&self) -> Vec<Name> {
        (**self).avoided()
    }
}
