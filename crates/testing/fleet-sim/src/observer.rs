//! Sees everything and shares no code with the engine: what was taken, sent, run, answered. A rule that is broken
//! stops the run. Each rule stands beside its words.

use engine::FinalAnswer;
use interface::{Effect, Time};
use std::collections::BTreeMap;
use std::fmt;

/// Nothing new to a server so long after this gateway was told that it drains or is gone.
pub const DRAIN_GRACE: Time = 500_000_000;
/// The most attempts for a request.
pub const MOST_ATTEMPTS: u32 = 3;
/// For so long servers drop the repeats of a key.
pub const KEY_TTL: Time = 2_000_000_000;

/// A broken rule.
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

/// How an attempt that was written stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// Its bytes are out, and nothing has come back.
    Out,
    /// It has ended without proof that it did not run.
    MayHaveRun,
    /// It is known not to have run.
    Never,
}

struct Seen {
    gateway: usize,
    life: u64,
    effect: Effect,
    /// The client waits until then.
    until: Time,
    left: bool,
    answered: bool,
    /// Attempts by number: begun and not ended at the gateway, and how those written stand.
    out: Vec<u32>,
    written: BTreeMap<u32, Sent>,
    first_written: Option<Time>,
    runs: u32,
}

/// A customer's hard ceiling: a store of the whole, full at first, with the stated slack.
struct Store {
    level: f64,
    at: Time,
    rate: f64,
    depth: f64,
    slack: f64,
}

#[derive(Default)]
pub struct Observer {
    seen: BTreeMap<u64, Seen>,
    /// When a gateway's present life was told that a server takes nothing new.
    told: BTreeMap<(usize, usize), Time>,
    stores: BTreeMap<usize, Store>,
    pub broken: Option<Violation>,
    /// Effects of unsafe requests, and answers, over the run.
    pub runs: u64,
    pub answers: u64,
    /// How far the fullest ceiling was used beyond what it allows, in units; below nothing if none was.
    pub most_over: f64,
}

impl Observer {
    fn break_rule(&mut self, at: Time, rule: &'static str, what: String) {
        self.broken.get_or_insert(Violation { rule, at, what });
    }

    /// A customer has a ceiling of this rate and depth; all gateways together keep it but for the slack.
    pub fn ceiling(&mut self, customer: usize, rate: f64, depth: f64, slack: f64) {
        self.stores.insert(customer, Store { level: depth, at: 0, rate, depth, slack });
    }

    pub fn taken(&mut self, id: u64, gateway: usize, life: u64, effect: Effect, until: Time) {
        let seen = Seen {
            gateway,
            life,
            effect,
            until,
            left: false,
            answered: false,
            out: Vec::new(),
            written: BTreeMap::new(),
            first_written: None,
            runs: 0,
        };
        self.seen.insert(id, seen);
    }

    /// Its gateway hears that the client has left.
    pub fn left(&mut self, id: u64) {
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.left = true;
        }
    }

    /// "Any given request's attempts must not be out concurrently"; "after the answer nothing more goes out".
    pub fn started(&mut self, now: Time, id: u64, attempt: u32) {
        let Some(seen) = self.seen.get_mut(&id) else {
            return self.break_rule(now, "nothing after the end", format!("{id:x} is over and is sent"));
        };
        let (busy, over) = (!seen.out.is_empty(), seen.answered);
        seen.out.push(attempt);
        if attempt >= MOST_ATTEMPTS {
            self.break_rule(now, "so many attempts at most", format!("{id:x}: attempt {attempt}"));
            return;
        }
        if busy {
            self.break_rule(
                now,
                "one attempt at a time",
                format!("{id:x}: attempt {attempt} beside another"),
            );
        } else if over {
            self.break_rule(
                now,
                "nothing after the end",
                format!("{id:x}: attempt {attempt} after its answer"),
            );
        }
    }

    /// "A request that may have had its effect is sent again only as its class allows"; "once 500 ms has elapsed
    /// since the gateway was told a server is draining or gone, that server is sent no new work".
    pub fn written(&mut self, now: Time, id: u64, attempt: u32, server: usize) {
        let Some(seen) = self.seen.get_mut(&id) else { return };
        let gateway = seen.gateway;
        let may_have_run = seen.written.values().any(|s| *s != Sent::Never);
        let first = *seen.first_written.get_or_insert(now);
        seen.written.insert(attempt, Sent::Out);
        let (effect, over) = (seen.effect, seen.answered || seen.left);
        if may_have_run {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    self.break_rule(now, "no unsafe repeat", format!("{id:x}: attempt {attempt}"));
                }
                Effect::Keyed if now >= first + KEY_TTL => {
                    self.break_rule(
                        now,
                        "keyed repeats in their window",
                        format!("{id:x}: attempt {attempt}"),
                    );
                }
                Effect::Keyed => {}
            }
        }
        if over {
            self.break_rule(now, "nothing after the end", format!("{id:x}: attempt {attempt} is written"));
        }
        let told = self.told.get(&(gateway, server)).copied();
        if let Some(at) = told.filter(|at| now > at + DRAIN_GRACE) {
            let late = (now - at) / 1_000_000;
            let what = format!("gateway {gateway} sends {id:x} to server {server}, told {late} ms before");
            self.break_rule(now, "drains are kept", what);
        }
    }

    /// "Of `partner`, all gateways together do not send on beyond the hard ceiling": the first attempt takes.
    pub fn first_sent(&mut self, now: Time, customer: usize, units: f64) {
        let Some(store) = self.stores.get_mut(&customer) else { return };
        let passed = (now - store.at) as f64 / 1e9;
        store.at = now;
        store.level = (store.level + store.rate * passed).min(store.depth) - units;
        let (over, slack) = (-store.level, store.slack);
        self.most_over = self.most_over.max(over);
        if over > slack + 1e-6 {
            let what = format!("customer {customer} is {over:.2} units past it, {slack} allowed");
            self.break_rule(now, "ceilings are kept", what);
        }
    }

    /// An attempt has ended at its gateway. `never`: with proof that it did not run.
    pub fn ended(&mut self, id: u64, attempt: u32, never: bool) {
        let Some(seen) = self.seen.get_mut(&id) else { return };
        seen.out.retain(|a| *a != attempt);
        if let Some(sent) = seen.written.get_mut(&attempt) {
            *sent = if never { Sent::Never } else { Sent::MayHaveRun };
        }
        self.settle(id);
    }

    /// "An effect happens once": unsafe never twice; keyed not within the servers' window.
    pub fn ran(&mut self, now: Time, id: u64) {
        self.runs += 1;
        let Some(seen) = self.seen.get_mut(&id) else { return };
        seen.runs += 1;
        if seen.runs > 1 && seen.effect != Effect::Safe {
            self.break_rule(now, "no effect twice", format!("{id:x} ran {} times", 2));
        }
    }

    /// "Exactly one final answer"; "a refusal only when nothing can have run".
    pub fn answered(&mut self, now: Time, id: u64, answer: FinalAnswer) {
        self.answers += 1;
        let Some(seen) = self.seen.get_mut(&id) else {
            return self.break_rule(now, "one final answer", format!("{id:x} is over and is answered"));
        };
        let (again, gone) = (std::mem::replace(&mut seen.answered, true), seen.left);
        let may_have_run = seen.runs > 0 || seen.written.values().any(|s| *s != Sent::Never);
        if again {
            self.break_rule(now, "one final answer", format!("{id:x} is answered again: {answer:?}"));
        } else if gone {
            self.break_rule(now, "none after the client has left", format!("{id:x}: {answer:?}"));
        } else if matches!(answer, FinalAnswer::Refused { .. }) && may_have_run {
            self.break_rule(now, "a refusal only when nothing can have run", format!("{id:x}"));
        }
        self.settle(id);
    }

    /// The client's time is up. `lived`: its gateway ran all the while; else it may answer yet, since it does not
    /// know that nobody waits.
    pub fn time_is_up(&mut self, now: Time, id: u64, lived: bool) {
        let Some(seen) = self.seen.get(&id) else { return };
        if lived && !seen.answered && !seen.left && now >= seen.until {
            self.break_rule(now, "an answer in time", format!("{id:x} at gateway {} has none", seen.gateway));
        }
        self.settle(id);
    }

    fn settle(&mut self, id: u64) {
        // Kept while an attempt may still reach a server.
        let over = |s: &Seen| (s.answered || s.left) && s.out.is_empty() && s.written.is_empty();
        if self.seen.get(&id).is_some_and(over) {
            self.seen.remove(&id);
        }
    }

    /// Forgets what is long over, so that memory is bounded by what the last seconds held.
    pub fn sweep(&mut self, now: Time) {
        self.seen.retain(|_, s| s.until + 10_000_000_000 > now);
    }

    /// A gateway's process has gone: its connections with it.
    pub fn died(&mut self, gateway: usize, life: u64) {
        for seen in self.seen.values_mut().filter(|s| s.gateway == gateway && s.life == life) {
            (seen.left, seen.out) = (true, Vec::new());
        }
        self.told.retain(|(g, _), _| *g != gateway);
    }

    /// What a gateway is told of a server.
    pub fn told(&mut self, now: Time, gateway: usize, server: usize, takes_new: bool) {
        if takes_new {
            self.told.remove(&(gateway, server));
        } else {
            self.told.entry((gateway, server)).or_insert(now);
        }
    }

    /// "No cold server is pushed over."
    pub fn fell_over(&mut self, now: Time, server: usize) {
        self.break_rule(now, "no cold server is pushed over", format!("server {server}"));
    }

    /// "Tables are empty when all is over."
    pub fn not_idle(&mut self, now: Time, gateway: usize, held: usize) {
        let what = format!("gateway {gateway} holds {held} requests, or what belonged to one");
        self.break_rule(now, "tables are empty at the end", what);
    }

    /// A deciding part panicked though no defect of its own was wanted.
    pub fn panicked(&mut self, now: Time, who: String) {
        self.break_rule(now, "no panic", who);
    }
}
