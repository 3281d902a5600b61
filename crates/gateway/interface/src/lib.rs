//! The decision module's interface: settings, events, actions, ids and times as plain values. No logic, no I/O.
#![forbid(unsafe_code)]

use std::sync::Arc;

/// A time or duration in nanoseconds, on the caller's clock.
pub type Time = u64;
/// Converts nanoseconds to seconds.
pub fn secs(time: Time) -> f64 {
    time as f64 / 1e9
}

/// Converts seconds to nanoseconds; negative values become 0.
pub fn nanos(seconds: f64) -> Time {
    (seconds.max(0.0) * 1e9) as Time
}

/// A request's id, never reused.
pub type RequestId = u64;
/// The opaque name of a server or a customer.
pub type Name = Arc<str>;

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// None: it may be repeated anywhere.
    Safe,
    /// Servers that know its idempotency key drop the repeat.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// The servers that share idempotency keys and drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    All,
    /// The servers of the zone in which it first ran.
    Zone,
    /// The servers of the cell in which it first ran.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// The latency within which an answer counts as on time.
    pub latency_target: Time,
    /// How long a client waits for its answer.
    pub deadline: Time,
    pub effect: Effect,
    pub group: Group,
    /// How long servers remember an idempotency key.
    pub key_ttl: Time,
    /// The value of an answer after the latency target.
    pub late_value: f64,
    /// The value of a served request, for each unit.
    pub points: f64,
    pub stream: bool,
}

impl Class {
    /// Creates a class without a key TTL, with defaults for the remaining fields.
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

/// A plan. Its quotas apply to each customer, summed over all gateways. A rate or limit of 0 means unlimited.
#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    /// The quota's token bucket: its refill rate in units per second, and its burst size in units.
    pub rate: f64,
    pub depth: f64,
    /// The maximum number of attempts in flight.
    pub parallel: u32,
    /// A second token bucket that first attempts never exceed.
    pub hard_limit_rate: f64,
    pub hard_limit_burst: f64,
    /// Multiplies the points of a class.
    pub value_factor: f64,
    /// The value and the cost of serving a request beyond the quota.
    pub over_quota_value: f64,
    pub over_quota_cost: f64,
}

impl Plan {
    /// Creates a plan with a quota and no other limit.
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

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's zone and index, and the number of gateways.
    pub zone: u32,
    pub gateway_index: u32,
    pub gateways: u32,
    /// The number of pools, 1 to 32.
    pub pools: usize,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// Whether the module must subscribe to discovery, and the maximum interval between requests to it while no
    /// subscription is active.
    pub subscribe: bool,
    pub max_poll_interval: Time,
    /// Whether clients mark their retries.
    pub marks_retries: bool,
    /// Whether attempts can be cancelled.
    pub cancelling: bool,
    /// Whether requests may be hedged with a second concurrent attempt.
    pub second_copies: bool,
    /// Whether refusals may carry a retry delay, and its maximum.
    pub retry_after: bool,
    pub max_retry_after: Time,
    pub max_attempts: u32,
    /// Whether answers report the true units of a request, which were only estimated; the maximum for one request.
    pub settles_cost: bool,
    pub max_units: f64,
    /// The metering period; 0 if there is no meter.
    pub meter_period: Time,
    /// Slow start: how long a server warms up, and its share of full speed at the start.
    pub warm_up_time: Time,
    pub initial_warmth: f64,
    /// A server that is warming up fails if the work sent to it within this window exceeds this multiple of its
    /// capacity.
    pub collapse_window: Time,
    pub collapse_multiple: f64,
    pub answer_slack: Time,
    pub cross_zone_price: f64,
    /// The minimum time between two calls of the module.
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

/// Whether a server accepts new requests.
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
    /// Bit mask of the pools that it belongs to; bit 0 is the first pool.
    pub pools: u32,
    pub zone: u32,
    pub cell: u32,
    pub health: Health,
    /// Its relative speed; 1 is usual.
    pub rating: f64,
    /// When it last started; 0 if that is long ago.
    pub since: Time,
}

impl Node {
    /// Creates a server of all pools, with defaults for the remaining fields.
    pub fn new(name: &str, health: Health) -> Self {
        Node { name: name.into(), pools: u32::MAX, zone: 0, cell: 0, health, rating: 1.0, since: 0 }
    }
}

/// The coverage of a server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only entries that changed.
    Changes,
    Full,
    /// The last known full list, possibly stale.
    Cached,
    /// No list: a call to discovery failed, or the subscription was lost.
    Failed,
}

/// The decision of a quota system outside the module on a request's quota, hard limit and concurrency cap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Allowance {
    /// No decision: the module uses its own token bucket and the meter.
    #[default]
    Unknown,
    /// Its units were taken from a lease.
    Granted,
    /// No units are available; `advice` is the delay after which there may be some.
    Refused { advice: Time },
    /// Not decided yet: the request waits in its queue until [`Event::AllowanceDecided`], but no longer than `until`.
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
    /// The number of gateways that the customer's requests may arrive at.
    pub spread: u32,
    /// Whether the client marked it as a retry.
    pub repeat: bool,
    /// The pool whose servers may execute it.
    pub pool: usize,
    pub allowance: Allowance,
}

impl Request {
    /// Creates a request for the first pool, with defaults for the remaining fields.
    pub fn new(id: RequestId, class: usize, plan: usize, customer: &str, deadline: Time, units: f64) -> Self {
        let (customer, allowance) = (customer.into(), Allowance::Unknown);
        Request { id, class, plan, customer, deadline, units, spread: 1, repeat: false, pool: 0, allowance }
    }
}

/// How an attempt ended. `Overloaded`, `Unreachable` and `Stale` prove that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Interrupted,
    /// The answer could not be parsed. The request may have run; the server's health is not affected.
    Unreadable,
    Cancelled,
    Stale,
}

/// A server's report of its load.
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
    /// Whether the request has ended with this attempt.
    pub last: bool,
    pub elapsed: Time,
    /// The true units, if the answer reported them.
    pub settled: f64,
    /// The customer's metered use over all gateways as a fraction of its rate, if the answer reported it.
    pub metered: Option<f64>,
    pub load: Option<Load>,
}

/// An input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The server list, or changes to it.
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
    /// The decision on an [`Allowance::Awaited`] request.
    AllowanceDecided {
        id: RequestId,
        allowance: Allowance,
    },
    Timer {
        token: u64,
    },
    /// An attempt's answer has started and is being streamed.
    Streaming {
        id: RequestId,
        attempt: u32,
    },
    /// The result of a health probe.
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
    /// A message from another gateway.
    Peer {
        from: u32,
        bytes: String,
    },
    /// This gateway's share of all work, 0 to 1, as set by a planner. It may use that share of each server's capacity.
    WorkShare {
        work_share: f64,
    },
    /// The number of gateways believed alive and this one's position among them; with 0 gateways the settings apply.
    /// It may only save work, by selecting the servers to keep connections to. No hard limit, cap or budget may depend
    /// on it, since it can be wrong.
    GatewayPosition {
        position: u32,
        gateways: u32,
    },
}

/// An output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; an `attempt_deadline` of 0 means the request's own deadline.
    Send {
        id: RequestId,
        server: Name,
        attempt_deadline: Time,
    },
    /// Refuse the request; `advice` is the delay after which the client may retry.
    Reject {
        id: RequestId,
        advice: Time,
    },
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: u32,
    },
    /// Deliver [`Event::Timer`] at this time.
    Timer {
        token: u64,
        at: Time,
    },
    Subscribe {
        on: bool,
    },
}

/// The decision module. Callers must tolerate any action at any time, and panics.
pub trait Module {
    /// Handles the events up to `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>);

    /// Applies new settings. They contain at least the old classes, plans and pools, at their indices.
    fn reconfigure(&mut self, _settings: &Settings) {}

    /// Returns the state for another process of this gateway to continue from; empty if there is none.
    fn export_state(&self) -> String {
        String::new()
    }

    /// Continues from the state that another process of this gateway exported.
    ///
    /// # Errors
    /// Returns the reason if the state cannot be used. Nothing has changed then.
    fn import_state(&mut self, _now: Time, _state: &str) -> Result<(), String> {
        Ok(())
    }

    /// Returns the servers that are up in the list but that the module currently avoids.
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

    fn import_state(&mut self, now: Time, state: &str) -> Result<(), String> {
        (**self).import_state(now, state)
    }

    fn avoided(&self) -> Vec<Name> {
        (**self).avoided()
    }
}
