//! Outlier ejection: servers that fail far more than their pool does are left alone for a while, a stated share of
//! the pool at most; and where too few are left, all are used (panic), since then the failing is not theirs.

use interface::{Name, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Stated figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most of a pool that is ejected at a time, 0 to 1.
    pub share: f64,
    /// Below this share of healthy servers all are used, 0 to 1.
    pub panic: f64,
    /// A server is an outlier when it fails this many times as often as the pool, and at least `least` of its ends.
    pub times: f64,
    pub least: f64,
    /// Ends of a server that tell anything.
    pub ends: f64,
    /// The first ejection's length; each further one in a row is as long again, up to ten times.
    pub first: Time,
    /// For so long an end counts.
    pub memory: Time,
}

impl Default for Limits {
    fn default() -> Self {
        const S: Time = 1_000_000_000;
        Limits { share: 0.3, panic: 0.5, times: 3.0, least: 0.5, ends: 5.0, first: 2 * S, memory: 10 * S }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    ends: f64,
    bad: f64,
    at: Time,
    /// Left alone until then; and how often in a row.
    until: Time,
    times: u32,
}

/// Who is left alone.
#[derive(Clone, Debug)]
pub struct Ejector {
    limits: Limits,
    seen: BTreeMap<Name, Seen>,
    /// The pool's own sums.
    all: (f64, f64),
    at: Time,
    /// Who is left alone, by when that ends.
    out: BTreeSet<(Time, Name)>,
}

impl Ejector {
    pub fn new(limits: Limits) -> Self {
        Ejector { limits, seen: BTreeMap::new(), all: (0.0, 0.0), at: 0, out: BTreeSet::new() }
    }

    /// The pool's servers as they are now: who has gone is forgotten, and with it that it was left alone.
    pub fn list(&mut self, servers: &[Name]) {
        let known: BTreeSet<&Name> = servers.iter().collect();
        self.seen.retain(|name, _| known.contains(name));
        self.out.retain(|(_, name)| known.contains(name));
        for name in servers {
            self.seen.entry(name.clone()).or_default();
        }
    }

    /// An attempt at a server has ended, well or badly.
    pub fn ended(&mut self, now: Time, server: &Name, bad: bool) {
        let memory = self.limits.memory.max(1) as f64;
        let keep = |at: Time| (-(now.saturating_sub(at) as f64) / memory).exp();
        let whole = keep(self.at);
        self.all = (self.all.0 * whole + 1.0, self.all.1 * whole + f64::from(u8::from(bad)));
        self.at = now;
        let ejected = self.ejected(now);
        let n = self.seen.len();
        let Some(s) = self.seen.get_mut(server) else { return };
        let own = keep(s.at);
        (s.ends, s.bad, s.at) = (s.ends * own + 1.0, s.bad * own + f64::from(u8::from(bad)), now);
        if s.until > now {
            return;
        }
        if !bad && s.until > 0 && now > s.until + self.limits.memory {
            s.times = 0;
        }
        // Against the others: one of two servers that fails would hide in a mean that it makes.
        let others = ((self.all.1 - s.bad) / (self.all.0 - s.ends).max(1.0)).max(0.0);
        let rate = s.bad / s.ends;
        let outlier =
            s.ends >= self.limits.ends && rate >= self.limits.least && rate >= self.limits.times * others;
        // One at least may go where there is another.
        let most = ((n as f64 * self.limits.share) as usize).max(usize::from(n > 1));
        if bad && outlier && ejected < most {
            s.times = (s.times + 1).min(10);
            s.until = now + self.limits.first * Time::from(s.times);
            (s.ends, s.bad) = (0.0, 0.0);
            self.out.insert((s.until, server.clone()));
        }
    }

    /// How many are left alone; forgets those whose time is over.
    fn ejected(&mut self, now: Time) -> usize {
        while self.out.first().is_some_and(|(until, _)| *until <= now) {
            self.out.pop_first();
        }
        self.out.len()
    }

    /// Whether a server is left alone now. `healthy`: how many of the pool's servers can take work.
    pub fn left_alone(&mut self, now: Time, server: &Name, healthy: usize) -> bool {
        let whole = self.seen.len();
        let left = healthy.saturating_sub(self.ejected(now));
        if (left as f64) < self.limits.panic * whole as f64 {
            return false;
        }
        self.seen.get(server).is_some_and(|s| s.until > now)
    }
}
