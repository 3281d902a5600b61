//! The one who lends: the holder of the duty, for as long as its term is beyond doubt.

use crate::{from_micros, micros, nanos, secs, Ask, Lent, Limit, Loan, Phase, Queue, Slow, Time, Turns};
use crate::{KEPT_BACK_AFTER, LEAD};
use std::collections::{BTreeMap, BTreeSet};

/// How long the meter remembers, in seconds.
const MEMORY: f64 = 0.7;
/// What a store holds that a new keeper begins with, as a part of the burst.
const BEGIN: f64 = 0.25;
/// The most turns that are taken back at once.
const AT_ONCE: u32 = 1024;
/// So many seconds' turns are given at once, and one at the least: who wants more asks again, 25 times a second, so that what
/// many gateways ask for at the same moment is dealt out in turn.
const DEALT: f64 = 0.06;

#[derive(Clone, Debug)]
struct Store {
    limit: Limit,
    level: f64,
    at: Time,
    /// What came past the chance, a second.
    metered: f64,
    pace: Option<Pace>,
}

/// A tenant with a trial: whether it is slowed, and its one queue over all gateways.
#[derive(Clone, Debug)]
struct Pace {
    slow: Slow,
    is_slow: bool,
    /// When that changes, once it is announced.
    changes: Option<Time>,
    /// When the next turn is free, and when the next for work that cannot wait is.
    next: Time,
    pressing: Time,
    /// What gateways said of it.
    nodes: BTreeMap<String, Node>,
}

/// What a gateway said last of a slowed tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    pub name: String,
    pub heard: Time,
    /// How many wait there, and how long those waited that went lately.
    pub waiting: u32,
    pub waited_us: u32,
}

/// How a trial stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub tenant: String,
    pub is_slow: bool,
    /// In how long that changes, if it is announced.
    pub changes_in: Option<Time>,
    pub nodes: Vec<Node>,
}

/// The keeper of all stores.
#[derive(Clone, Debug)]
pub struct Keeper {
    id: u64,
    /// Until then what the one before has lent may be out.
    settles: Time,
    stores: BTreeMap<String, Store>,
    /// Tenants whose trial is over, as agreed on.
    over: BTreeSet<String>,
    /// When each gateway was last heard.
    gateways: BTreeMap<String, Option<Time>>,
}

impl Keeper {
    /// A keeper that knows nothing of what the one before has lent in the last half second, nor of how full its stores
    /// were: they begin at a quarter of their burst, and all gateways count as silent until they are heard. A change of the
    /// keeper so adds a quarter of the burst to what may pass. `id`: no two keepers have the same.
    pub fn begin(
        now: Time,
        id: u64,
        limits: &BTreeMap<String, Limit>,
        over: &BTreeSet<String>,
        gateways: &BTreeSet<String>,
    ) -> Self {
        let store = |(name, limit): (&String, &Limit)| {
            // What the one before announced is not known: slow, and at full speed when that has been announced.
            let pace = limit.slow.map(|slow| Pace { is_slow: true, ..Pace::new(now, slow) });
            (name.clone(), Store { limit: *limit, level: BEGIN * limit.burst, at: now, metered: 0.0, pace })
        };
        let mut keeper = Keeper {
            id,
            settles: now + LEAD,
            stores: limits.iter().map(store).collect(),
            over: over.clone(),
            gateways: gateways.iter().map(|name| (name.clone(), None)).collect(),
        };
        keeper.change(now);
        keeper
    }

    /// The limits, and whose trials are over, are these from now on. Who was not limited before begins with a whole burst.
    pub fn limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>, over: &BTreeSet<String>) {
        self.advance(now);
        self.over = over.clone();
        self.stores.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let new = Store { limit: *limit, level: limit.burst, at: now, metered: 0.0, pace: None };
            let store = self.stores.entry(name.clone()).or_insert(new);
            store.limit = *limit;
            store.level = store.level.min(limit.burst);
            match (&mut store.pace, limit.slow) {
                (Some(pace), Some(slow)) => pace.slow = slow,
                (None, Some(slow)) => {
                    let is_slow = now < self.settles;
                    store.pace = Some(Pace { is_slow, ..Pace::new(now, slow) });
                }
                // One that is slow stays so until it has been announced that it is no more.
                _ => {}
            }
        }
        self.change(now);
    }

    /// These gateways are known.
    pub fn gateways(&mut self, all: &BTreeSet<String>) {
        for name in all {
            self.gateways.entry(name.clone()).or_insert(None);
        }
    }

    pub fn knows(&self, gateway: &str) -> bool {
        self.gateways.contains_key(gateway)
    }

    /// The part of all rates that is to be had: silent gateways may be using their even parts.
    fn open(&self, now: Time) -> f64 {
        let silent = |heard: &&Option<Time>| heard.is_none_or(|at| now.saturating_sub(at) >= KEPT_BACK_AFTER);
        let all = self.gateways.len().max(1);
        1.0 - self.gateways.values().filter(silent).count() as f64 / all as f64
    }

    fn advance(&mut self, now: Time) {
        let open = self.open(now);
        for s in self.stores.values_mut() {
            let dt = secs(now.saturating_sub(s.at));
            s.at = s.at.max(now);
            s.level = (s.level + dt * s.limit.rate * open).min(s.limit.burst);
            s.metered *= (-dt / MEMORY).exp();
        }
    }

    /// Changes that are due, by whose trial is over as it is known now.
    fn change(&mut self, now: Time) {
        // Where nobody has been told anything for so long, nobody goes by it.
        let silent = |at: &Option<Time>| at.is_none_or(|at| now.saturating_sub(at) >= LEAD);
        let unheard = now >= self.settles && self.gateways.values().all(silent);
        for (name, s) in &mut self.stores {
            if let Some(pace) = &mut s.pace {
                if unheard {
                    (pace.is_slow, pace.changes) = (s.limit.slow.is_some() && self.over.contains(name), None);
                }
                pace.advance(now, s.limit.slow.is_some() && self.over.contains(name));
                if s.limit.slow.is_none() && !pace.is_slow && pace.changes.is_none() {
                    s.pace = None;
                }
            }
        }
    }

    /// Lends. None to a gateway that is not known: its even part is not kept back yet.
    pub fn ask(&mut self, now: Time, gateway: &str, ask: &Ask) -> Option<Lent> {
        if !self.knows(gateway) {
            return None;
        }
        self.advance(now);
        self.change(now);
        self.gateways.insert(gateway.to_string(), Some(now));
        let mut loans = Vec::with_capacity(ask.wants.len());
        for want in &ask.wants {
            let Some(s) = self.stores.get_mut(&want.tenant) else { continue };
            s.metered += f64::from(want.asked) / MEMORY;
            s.level = (s.level + f64::from(want.back)).min(s.limit.burst);
            let slow = s.pace.as_ref().is_some_and(|p| p.is_slow);
            let units = if slow { 0 } else { want.units.min(s.level.max(0.0) as u32) };
            s.level -= f64::from(units);
            let (left, metered) = (s.level as f32, s.metered as f32);
            loans.push(Loan { tenant: want.tenant.clone(), units, left, metered });
        }
        let open = if now < self.settles { 0.0 } else { self.open(now) };
        let turns = ask.queues.iter().filter_map(|q| {
            let store = self.stores.get_mut(&q.tenant)?;
            store.pace.as_mut()?.hear(now, gateway, q);
            store.turns(now, q, open)
        });
        let turns = turns.collect();
        let phases = self.stores.iter().filter_map(|(name, s)| Some(s.pace.as_ref()?.phase(now, name)));
        let phases = phases.collect();
        Some(Lent { number: ask.number, keeper: self.id, loans, phases, turns })
    }

    /// How all trials stand.
    pub fn trials(&self, now: Time) -> Vec<Trial> {
        let trial = |(name, s): (&String, &Store)| {
            let pace = s.pace.as_ref()?;
            Some(Trial {
                tenant: name.clone(),
                is_slow: pace.is_slow,
                changes_in: pace.changes.map(|at| at.saturating_sub(now)),
                nodes: pace.nodes.values().cloned().collect(),
            })
        };
        self.stores.iter().filter_map(trial).collect()
    }
}

impl Pace {
    fn new(now: Time, slow: Slow) -> Self {
        Pace { slow, is_slow: false, changes: None, next: now, pressing: now, nodes: BTreeMap::new() }
    }

    /// A change that was announced is made, whatever came since; the way back follows behind it. Both count from when they
    /// were due: where nobody has asked since, nobody has been told anything either.
    fn advance(&mut self, now: Time, over: bool) {
        while let Some(at) = self.changes.filter(|at| now >= *at) {
            self.is_slow = !self.is_slow;
            self.changes = (self.is_slow != over).then_some(at + LEAD);
        }
        if self.is_slow != over && self.changes.is_none() {
            self.changes = Some(now + LEAD);
        }
    }

    fn phase(&self, now: Time, tenant: &str) -> Phase {
        let changes_us = self.changes.map(|at| micros(at.saturating_sub(now)));
        let Slow { pace, wait } = self.slow;
        Phase { tenant: tenant.into(), slow: self.is_slow, changes_us, pace, wait_us: micros(wait) }
    }

    fn hear(&mut self, now: Time, gateway: &str, q: &Queue) {
        let (name, waiting, waited_us) = (gateway.to_string(), q.waiting, q.waited_us);
        self.nodes.insert(gateway.to_string(), Node { name, heard: now, waiting, waited_us });
    }
}

impl Store {
    /// The next turns, as many as are wanted and come within the wait, of the part of the pace that is to be had.
    fn turns(&mut self, now: Time, q: &Queue, open: f64) -> Option<Turns> {
        let pace = self.pace.as_mut().filter(|p| p.is_slow)?;
        let slow = pace.slow;
        let tenant = q.tenant.clone();
        let mut turns = Turns { tenant, after_us: Vec::new(), pressing_us: Vec::new(), later_us: None };
        if open <= 0.0 {
            return Some(turns);
        }
        let apart = nanos(1.0 / (slow.pace * open));
        pace.next = pace.next.saturating_sub(apart * Time::from(q.back.min(AT_ONCE)));
        self.level = (self.level + f64::from(q.back.min(AT_ONCE))).min(self.limit.burst);
        let most = (slow.pace * DEALT).ceil() as usize;
        // Whoever cannot wait first.
        let wanted = (0..q.pressing).map(|_| true).chain((0..q.reads).map(|_| false)).take(most);
        for pressing in wanted {
            let next = pace.next.max(now);
            let ahead = pressing && next - now > from_micros(q.slack_us);
            let mut at = if ahead { pace.pressing.max(now) } else { next };
            // A turn is charged to the store like a unit; one that is not there yet is waited for.
            if self.limit.rate > 0.0 && self.level < 1.0 {
                at = at.max(now + nanos((1.0 - self.level) / (self.limit.rate * open)));
            }
            let furthest = now + 2 * slow.wait;
            if at > now + slow.wait || next > furthest {
                let sooner = at.saturating_sub(now + slow.wait).max(next.saturating_sub(furthest));
                turns.later_us = Some(micros(sooner.max(apart)));
                break;
            }
            if ahead {
                pace.pressing = at + apart;
            }
            pace.next = next + apart;
            self.level -= 1.0;
            let given = if pressing { &mut turns.pressing_us } else { &mut turns.after_us };
            given.push(micros(at - now));
        }
        turns.pressing_us.sort_unstable();
        Some(turns)
    }
}
