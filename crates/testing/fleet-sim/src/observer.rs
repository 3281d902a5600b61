//! Checks every rule from outside: requests accepted, attempts sent and run, responses. It shares no code
//! with the engine. A violation stops the run. Each rule is quoted above the code that checks it.

use engine::FinalAnswer;
use interface::{Effect, Time};
use std::collections::BTreeMap;
use std::fmt;

/// Time after a gateway is told that a server drains or is gone, from which it must send that server no new
/// work.
pub const DRAIN_GRACE: Time = 500_000_000;
/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 3;
/// Time for which servers deduplicate repeats of an idempotency key.
pub const KEY_TTL: Time = 2_000_000_000;

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub at: Time,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} ms: {}: {}", self.at as f64 / 1e6, self.rule, self.what)
    }
}

/// State of an attempt that was written to a server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// Written, with no result yet.
    InFlight,
    /// Ended without proof that it did not run.
    MayHaveRun,
    /// Known not to have run.
    DidNotRun,
}

struct RequestState {
    gateway: usize,
    generation: u64,
    effect: Effect,
    /// Time until which the client waits.
    client_deadline: Time,
    client_left: bool,
    answered: bool,
    /// Attempts started and not ended at the gateway, and the state of those written.
    open_attempts: Vec<u32>,
    written: BTreeMap<u32, AttemptState>,
    first_written: Option<Time>,
    runs: u32,
}

/// Hard ceiling of a customer: a token bucket for the whole fleet, full at first, with the permitted slack.
struct Ceiling {
    level: f64,
    at: Time,
    rate: f64,
    depth: f64,
    slack: f64,
}

/// Checks the rules over one run.
#[derive(Default)]
pub struct Observer {
    requests: BTreeMap<u64, RequestState>,
    /// Time at which a gateway, since its last start, was told that a server takes no new work.
    drain_started: BTreeMap<(usize, usize), Time>,
    ceilings: BTreeMap<usize, Ceiling>,
    pub violation: Option<Violation>,
    /// Number of executions and of responses over the run.
    pub runs: u64,
    pub answers: u64,
    /// Largest overuse of any ceiling, in units; negative if none was exceeded.
    pub max_over_ceiling: f64,
}

impl Observer {
    fn record_violation(&mut self, at: Time, rule: &'static str, what: String) {
        self.violation.get_or_insert(Violation { rule, at, what });
    }

    /// Sets a customer's ceiling. All gateways together must keep it, within the slack.
    pub fn set_ceiling(&mut self, customer: usize, rate: f64, depth: f64, slack: f64) {
        self.ceilings.insert(customer, Ceiling { level: depth, at: 0, rate, depth, slack });
    }

    /// Records that a gateway accepted a request.
    pub fn taken(&mut self, id: u64, gateway: usize, generation: u64, effect: Effect, client_deadline: Time) {
        let request = RequestState {
            gateway,
            generation,
            effect,
            client_deadline,
            client_left: false,
            answered: false,
            open_attempts: Vec::new(),
            written: BTreeMap::new(),
            first_written: None,
            runs: 0,
        };
        self.requests.insert(id, request);
    }

    /// Records that the gateway was told that the client left.
    pub fn client_left(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.client_left = true;
        }
    }

    /// Checks "Any given request's attempts must not be out concurrently" and "after the answer nothing
    /// more goes out".
    pub fn started(&mut self, now: Time, id: u64, attempt: u32) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.record_violation(
                now,
                "nothing after the end",
                format!("{id:x} is over and is sent"),
            );
        };
        let (busy, over) = (!request.open_attempts.is_empty(), request.answered);
        request.open_attempts.push(attempt);
        if attempt >= MAX_ATTEMPTS {
            self.record_violation(now, "so many attempts at most", format!("{id:x}: attempt {attempt}"));
            return;
        }
        if busy {
            self.record_violation(
                now,
                "one attempt at a time",
                format!("{id:x}: attempt {attempt} beside another"),
            );
        } else if over {
            self.record_violation(
                now,
                "nothing after the end",
                format!("{id:x}: attempt {attempt} after its answer"),
            );
        }
    }

    /// Checks "A request that may have had its effect is sent again only as its class allows" and "once
    /// 500 ms has elapsed since the gateway was told a server is draining or gone, that server is sent no
    /// new work".
    pub fn written(&mut self, now: Time, id: u64, attempt: u32, server: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let gateway = request.gateway;
        let may_have_run = request.written.values().any(|s| *s != AttemptState::DidNotRun);
        let first = *request.first_written.get_or_insert(now);
        request.written.insert(attempt, AttemptState::InFlight);
        let (effect, over) = (request.effect, request.answered || request.client_left);
        if may_have_run {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    self.record_violation(now, "no unsafe repeat", format!("{id:x}: attempt {attempt}"));
                }
                Effect::Keyed if now >= first + KEY_TTL => {
                    self.record_violation(
                        now,
                        "keyed repeats in their window",
                        format!("{id:x}: attempt {attempt}"),
                    );
                }
                Effect::Keyed => {}
            }
        }
        if over {
            self.record_violation(
                now,
                "nothing after the end",
                format!("{id:x}: attempt {attempt} is written"),
            );
        }
        let drain_started = self.drain_started.get(&(gateway, server)).copied();
        if let Some(at) = drain_started.filter(|at| now > at + DRAIN_GRACE) {
            let late = (now - at) / 1_000_000;
            let what = format!("gateway {gateway} sends {id:x} to server {server}, told {late} ms before");
            self.record_violation(now, "drains are kept", what);
        }
    }

    /// Checks "Of `partner`, all gateways together do not send on beyond the hard ceiling". Only the
    /// first attempt of a request is charged.
    pub fn first_sent(&mut self, now: Time, customer: usize, units: f64) {
        let Some(ceiling) = self.ceilings.get_mut(&customer) else { return };
        let passed = (now - ceiling.at) as f64 / 1e9;
        ceiling.at = now;
        ceiling.level = (ceiling.level + ceiling.rate * passed).min(ceiling.depth) - units;
        let (over, slack) = (-ceiling.level, ceiling.slack);
        self.max_over_ceiling = self.max_over_ceiling.max(over);
        if over > slack + 1e-6 {
            let what = format!("customer {customer} is {over:.2} units past it, {slack} allowed");
            self.record_violation(now, "ceilings are kept", what);
        }
    }

    /// Records the end of an attempt at its gateway. `did_not_run`: there is proof that it did not run.
    pub fn ended(&mut self, id: u64, attempt: u32, did_not_run: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.open_attempts.retain(|a| *a != attempt);
        if let Some(state) = request.written.get_mut(&attempt) {
            *state = if did_not_run { AttemptState::DidNotRun } else { AttemptState::MayHaveRun };
        }
        self.remove_if_finished(id);
    }

    /// Checks "An effect happens once": unsafe requests never run twice, keyed ones not within the
    /// servers' window.
    pub fn ran(&mut self, now: Time, id: u64) {
        self.runs += 1;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        if request.runs > 1 && request.effect != Effect::Safe {
            self.record_violation(now, "no effect twice", format!("{id:x} ran {} times", 2));
        }
    }

    /// Checks "Exactly one final answer" and "a refusal only when nothing can have run".
    pub fn answered(&mut self, now: Time, id: u64, answer: FinalAnswer) {
        self.answers += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return self.record_violation(now, "one final answer", format!("{id:x} is over and is answered"));
        };
        let (again, gone) = (std::mem::replace(&mut request.answered, true), request.client_left);
        let may_have_run =
            request.runs > 0 || request.written.values().any(|s| *s != AttemptState::DidNotRun);
        if again {
            self.record_violation(now, "one final answer", format!("{id:x} is answered again: {answer:?}"));
        } else if gone {
            self.record_violation(now, "none after the client has left", format!("{id:x}: {answer:?}"));
        } else if matches!(answer, FinalAnswer::Refused { .. }) && may_have_run {
            self.record_violation(now, "a refusal only when nothing can have run", format!("{id:x}"));
        }
        self.remove_if_finished(id);
    }

    /// Checks that a response arrived in time. `gateway_ran`: the gateway ran throughout; otherwise it
    /// may still respond, since it does not know that the client has stopped waiting.
    pub fn time_is_up(&mut self, now: Time, id: u64, gateway_ran: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        if gateway_ran && !request.answered && !request.client_left && now >= request.client_deadline {
            self.record_violation(
                now,
                "an answer in time",
                format!("{id:x} at gateway {} has none", request.gateway),
            );
        }
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&mut self, id: u64) {
        // Requests are kept while an attempt may still reach a server.
        let over = |s: &RequestState| {
            (s.answered || s.client_left) && s.open_attempts.is_empty() && s.written.is_empty()
        };
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
        }
    }

    /// Removes requests that ended long ago, which bounds memory to the requests of the last seconds.
    pub fn sweep(&mut self, now: Time) {
        self.requests.retain(|_, s| s.client_deadline + 10_000_000_000 > now);
    }

    /// Records that a gateway's process stopped; its connections are gone with it.
    pub fn process_stopped(&mut self, gateway: usize, generation: u64) {
        for request in
            self.requests.values_mut().filter(|s| s.gateway == gateway && s.generation == generation)
        {
            (request.client_left, request.open_attempts) = (true, Vec::new());
        }
        self.drain_started.retain(|(g, _), _| *g != gateway);
    }

    /// Records the state of a server as listed to a gateway.
    pub fn server_listed(&mut self, now: Time, gateway: usize, server: usize, takes_new: bool) {
        if takes_new {
            self.drain_started.remove(&(gateway, server));
        } else {
            self.drain_started.entry((gateway, server)).or_insert(now);
        }
    }

    /// Reports a violation of "No cold server is pushed over."
    pub fn server_collapsed(&mut self, now: Time, server: usize) {
        self.record_violation(now, "no cold server is pushed over", format!("server {server}"));
    }

    /// Reports a violation of "Tables are empty when all is over."
    pub fn not_idle(&mut self, now: Time, gateway: usize, held: usize) {
        let what = format!("gateway {gateway} holds {held} requests, or what belonged to one");
        self.record_violation(now, "tables are empty at the end", what);
    }

    /// Reports a panic of a decision-making part that no injected fault caused.
    pub fn panicked(&mut self, now: Time, who: String) {
        self.record_violation(now, "no panic", who);
    }
}
