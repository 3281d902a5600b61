//! A gateway's part: the chance, the units that it was lent, its even part when it hears nothing.

use crate::line::{Line, Standing, Waiter, Word};
use crate::{from_micros, secs, Ask, Lent, Limit, Slow, Time, Want};
use crate::{ALONE_AFTER, ASK_EVERY, GOES_ON, GOES_ON_AT, LENT_FOR, MS};
use std::collections::{BTreeMap, VecDeque};

/// A request waits so long for a unit at the most: a little longer than it takes to know that one is alone.
const PATIENCE: Time = 320 * MS;
/// Alone, a request that waits looks again so often.
const LOOK: Time = 40 * MS;
/// How long the pace of what was lent is remembered, in seconds.
const PACE: f64 = 2.0;
/// Asked for again after so long without an answer, while somebody waits.
const AGAIN: Time = 40 * MS;
/// Units are asked for ahead for so long, in seconds.
const AHEAD: f64 = 0.2;
/// How long the own demand is remembered, in seconds.
const MEMORY: f64 = 1.0;
/// The highest chance: somebody must come past it, or nothing is known of what is asked.
const HIGHEST: f64 = 0.98;
/// The store counts as empty with less than this part of the burst in it.
const EMPTY: f64 = 0.02;
/// Asks whose sending time is remembered.
const ASKS: usize = 64;

/// The word on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A unit is taken for it.
    Granted,
    /// One is asked for: look again when there is news, or at `until` at the latest.
    Wait { until: Time },
    /// Come back after so long.
    Refused { advice: Time },
    /// The tenant is slowed: it goes on by [`Desk::enter`], if it can wait for so long at the most.
    Slowed { wait: Time },
}

#[derive(Clone, Debug)]
struct Tenant {
    limit: Limit,
    /// Units lent, by when they end.
    stock: VecDeque<(Time, u32)>,
    /// The even part's store.
    even: f64,
    even_at: Time,
    chance: f64,
    /// Requests a second that come past the chance here.
    demand: f64,
    demand_at: Time,
    /// Lent units a second that passed here.
    pace: f64,
    pace_at: Time,
    waiting: u32,
    asked: u32,
    back: u32,
    /// Of a tenant with a trial.
    line: Option<Line>,
}

/// A gateway's desk.
#[derive(Clone, Debug)]
pub struct Desk {
    tenants: BTreeMap<String, Tenant>,
    /// Over how many gateways the even parts go; 0 while this one is none of them.
    gateways: u32,
    /// When the latest ask was sent that was answered.
    heard: Option<Time>,
    /// Who answered it, and when that one first did.
    keeper: (u64, Time),
    number: u64,
    sent: VecDeque<(u64, Time)>,
    next_ask: Time,
    urgent: bool,
}

impl Desk {
    pub fn new(now: Time) -> Self {
        Desk {
            tenants: BTreeMap::new(),
            gateways: 0,
            heard: None,
            keeper: (0, 0),
            number: 0,
            sent: VecDeque::new(),
            next_ask: now,
            urgent: false,
        }
    }

    /// The limits are these from now on.
    pub fn limits(&mut self, now: Time, limits: &BTreeMap<String, Limit>) {
        self.tenants.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let fresh = Tenant {
                limit: *limit,
                stock: VecDeque::new(),
                even: 0.0,
                even_at: now,
                chance: 0.0,
                demand: 0.0,
                demand_at: now,
                pace: 0.0,
                pace_at: now,
                waiting: 0,
                asked: 0,
                back: 0,
                line: None,
            };
            let t = self.tenants.entry(name.clone()).or_insert(fresh);
            t.limit = *limit;
            match (&mut t.line, limit.slow) {
                (Some(line), Some(slow)) => (line.slow, line.leaving) = (slow, false),
                (Some(line), None) => line.leaving = true,
                (line, Some(slow)) => *line = Some(Line::new(slow, false)),
                (None, None) => {}
            }
        }
    }

    /// How many gateways are agreed on, if this one is among them; else 0.
    pub fn gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Whether it has its even part alone.
    pub fn is_alone(&self, now: Time) -> bool {
        self.heard.is_none_or(|at| now.saturating_sub(at) >= ALONE_AFTER)
    }

    /// May this request pass? `draw`: 0 to 1, by chance; `since`: when it was first asked, if it waited.
    pub fn spend(&mut self, now: Time, name: &str, draw: f64, since: Option<Time>) -> Verdict {
        let alone = self.is_alone(now);
        let gateways = self.gateways;
        let Some(t) = self.tenants.get_mut(name) else { return Verdict::Granted };
        if since.is_some() {
            t.waiting = t.waiting.saturating_sub(1);
        }
        if let Some(line) = t.line.as_ref().filter(|line| line.is_slow(now)) {
            return Verdict::Slowed { wait: line.slow.wait };
        }
        if t.limit.rate <= 0.0 {
            return Verdict::Granted;
        }
        if since.is_none() {
            if draw < t.chance && !alone {
                // What comes past it tells what is asked; this one does not.
                return Verdict::Refused { advice: advice(&t.limit, t.chance) };
            }
            t.comes(now);
        }
        let alone_from = self.heard.map_or(0, |at| at + ALONE_AFTER);
        if t.take(now) || alone && t.alone(now, alone_from, gateways) {
            return Verdict::Granted;
        }
        let last = since.unwrap_or(now) + PATIENCE;
        if now >= last {
            return refused(&t.limit);
        }
        t.waiting += 1;
        self.urgent = !alone;
        let look = if alone { now + LOOK } else { alone_from.max(now + MS) };
        Verdict::Wait { until: look.min(last) }
    }

    /// A request that waited is not there any more.
    pub fn left(&mut self, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            t.waiting = t.waiting.saturating_sub(1);
        }
    }

    /// A request waits for its turn from now on; [`Desk::poll`] tells when that is.
    ///
    /// # Errors
    /// Too many do: come back after so long.
    pub fn enter(&mut self, name: &str, waiter: Waiter) -> Result<(), Time> {
        let Some(line) = self.tenants.get_mut(name).and_then(|t| t.line.as_mut()) else { return Err(0) };
        if !line.enter(waiter) {
            return Err(line.slow.wait);
        }
        self.urgent = true;
        Ok(())
    }

    /// Whose word it is now, one at a time: the tenant, the request, what becomes of it.
    pub fn poll(&mut self, now: Time) -> Option<(String, u64, Word)> {
        let standing = Standing { alone_since: self.alone_since(now), gateways: self.gateways };
        for (name, t) in &mut self.tenants {
            let Some(line) = t.line.as_mut().filter(|line| !line.is_empty()) else { continue };
            let said = if line.is_slow(now) {
                line.poll(now, standing)
            } else {
                // What waited for a turn goes at full speed, by units like any other.
                line.forget(now);
                let may = !line.is_empty() && (t.limit.rate <= 0.0 || t.take(now));
                let line = t.line.as_mut().filter(|_| may);
                line.and_then(|line| line.release(now)).map(|id| (id, Word::Go))
            };
            if let Some((id, word)) = said {
                return Some((name.clone(), id, word));
            }
        }
        None
    }

    /// The one that was to go is not there any more: its turn, or its unit, is another's.
    pub fn again(&mut self, now: Time, name: &str) {
        let Some(t) = self.tenants.get_mut(name) else { return };
        match &mut t.line {
            Some(line) if line.is_slow(now) => line.again(now),
            _ => t.back += 1,
        }
    }

    /// When [`Desk::poll`] has something new to say, if nothing is heard until then.
    pub fn next_poll(&self, now: Time) -> Option<Time> {
        let alone_at = self.heard.map_or(0, |at| at + ALONE_AFTER);
        self.tenants.values().filter_map(|t| t.line.as_ref()?.next_due(now, alone_at)).min()
    }

    fn alone_since(&self, now: Time) -> Option<Time> {
        self.is_alone(now).then(|| self.heard.map_or(0, |at| at + ALONE_AFTER))
    }

    /// The unit of a request that was not sent after all.
    pub fn give_back(&mut self, now: Time, name: &str) {
        if let Some(t) = self.tenants.get_mut(name) {
            // It may have ended meanwhile, so it is not spent here again; the keeper gets it back.
            let _ = now;
            t.back += 1;
        }
    }

    /// When [`Desk::ask`] is next wanted.
    pub fn next_due(&self) -> Time {
        if self.urgent {
            0
        } else {
            self.next_ask
        }
    }

    /// What is to be asked for now, if it is time.
    pub fn ask(&mut self, now: Time) -> Option<Ask> {
        if now < self.next_due() {
            return None;
        }
        let mut waits = false;
        let (mut wants, mut queues) = (Vec::new(), Vec::new());
        let number = self.number + 1;
        for (name, t) in &mut self.tenants {
            t.expire(now);
            let slow = t.line.as_ref().is_some_and(|line| line.is_slow(now));
            if let Some(line) = t.line.as_mut().filter(|_| slow) {
                queues.extend(line.queue(now, number, name));
                waits |= line.lacks();
            }
            let waiting = t.waiting + t.line.as_ref().filter(|_| !slow).map_or(0, Line::len);
            waits |= waiting > 0;
            let stock: u32 = t.stock.iter().map(|s| s.1).sum();
            let ahead = (t.demand(now) * AHEAD) as u32;
            let units = if waiting > 0 { (waiting + ahead).saturating_sub(stock) } else { 0 };
            if units > 0 || t.asked > 0 || t.back > 0 || t.chance > 0.0 {
                let (asked, back) = (std::mem::take(&mut t.asked), std::mem::take(&mut t.back));
                wants.push(Want { tenant: name.clone(), units, asked, back });
            }
        }
        self.number = number;
        self.sent.push_back((self.number, now));
        if self.sent.len() > ASKS {
            self.sent.pop_front();
        }
        self.urgent = false;
        self.next_ask = now + if waits { AGAIN } else { ASK_EVERY };
        Some(Ask { number, wants, queues })
    }

    /// The keeper's answer. Whether somebody who waits may go on.
    pub fn lent(&mut self, now: Time, lent: &Lent) -> bool {
        // An answer to what nobody remembers asking has ended.
        let Some((_, sent)) = self.sent.iter().find(|(n, _)| *n == lent.number).copied() else {
            return false;
        };
        self.sent.retain(|(n, _)| *n != lent.number);
        let newest = self.heard.is_none_or(|at| sent >= at);
        if newest && lent.keeper != self.keeper.0 {
            self.keeper = (lent.keeper, now);
        }
        let keeper_since = self.keeper.1;
        self.heard = self.heard.max(Some(sent));
        let ends = sent + LENT_FOR;
        let mut news = false;
        for (name, t) in &mut self.tenants {
            let phase = lent.phases.iter().find(|p| p.tenant == *name);
            if let (None, Some(p)) = (&t.line, phase) {
                // The configuration that puts it on trial has yet to come.
                let slow = Slow { pace: p.pace.max(0.001), wait: from_micros(p.wait_us) };
                t.line = Some(Line::new(slow, true));
            }
            let Some(line) = &mut t.line else { continue };
            if newest {
                line.phase(now, sent, phase, keeper_since);
                if phase.is_none() && line.leaving && line.is_empty() && !line.is_slow(now) {
                    t.line = None;
                    continue;
                }
            }
            if let Some(turns) = lent.turns.iter().find(|turns| turns.tenant == *name) {
                line.given(now, lent.number, lent.keeper, turns);
            }
            news |= !line.is_empty();
        }
        for loan in &lent.loans {
            let Some(t) = self.tenants.get_mut(&loan.tenant) else { continue };
            let rate = t.limit.rate.max(1e-9);
            // The design's chance: none while the store holds units.
            let asked = f64::from(loan.metered) / (1.0 - t.chance);
            let empty = f64::from(loan.left) < (EMPTY * t.limit.burst).max(1.0);
            let wanted = if empty { (1.0 - rate / asked.max(1e-9)).clamp(0.0, HIGHEST) } else { 0.0 };
            // The meter is late and smooth: the chance follows it by halves.
            t.chance = if wanted < 0.01 && t.chance < 0.02 { 0.0 } else { (t.chance + wanted) / 2.0 };
            if ends > now && loan.units > 0 {
                t.stock.push_back((ends, loan.units));
            }
            news |= t.waiting > 0 && loan.units > 0;
        }
        let lacks = |t: &Tenant| t.waiting > 0 || t.line.as_ref().is_some_and(Line::lacks);
        if self.tenants.values().any(lacks) {
            self.next_ask = self.next_ask.min(now + AGAIN);
        }
        news
    }
}

impl Tenant {
    fn demand(&self, now: Time) -> f64 {
        self.demand * (-secs(now.saturating_sub(self.demand_at)) / MEMORY).exp()
    }

    fn comes(&mut self, now: Time) {
        self.demand = self.demand(now) + 1.0 / MEMORY;
        self.demand_at = now;
        self.asked += 1;
    }

    fn expire(&mut self, now: Time) {
        while self.stock.front().is_some_and(|(ends, _)| *ends <= now) {
            self.back += self.stock.pop_front().map_or(0, |s| s.1);
        }
    }

    fn take(&mut self, now: Time) -> bool {
        self.expire(now);
        let Some(first) = self.stock.front_mut() else { return false };
        first.1 -= 1;
        if first.1 == 0 {
            self.stock.pop_front();
        }
        let keep = (-secs(now.saturating_sub(self.pace_at)) / PACE).exp();
        (self.pace, self.pace_at) = (self.pace * keep + 1.0 / PACE, now);
        true
    }

    /// A unit of one's own, of what flows since this gateway has been alone.
    fn alone(&mut self, now: Time, since: Time, gateways: u32) -> bool {
        if gateways == 0 {
            return false;
        }
        let part = 1.0 / f64::from(gateways);
        let most = (0.5 * self.limit.burst * part).max(1.0);
        if self.even_at < since {
            (self.even, self.even_at) = (0.0, since);
        }
        let even = self.limit.rate * part;
        // While it is alone nothing is lent, so that its pace stays what it was.
        let goes_on = (GOES_ON_AT * self.pace).max(even);
        let turn = (since + GOES_ON).clamp(self.even_at, now);
        let gained = goes_on * secs(turn - self.even_at) + even * secs(now - turn);
        self.even = (self.even + gained).min(most.max(GOES_ON_AT * self.pace));
        self.even_at = now;
        let there = self.even >= 1.0;
        if there {
            self.even -= 1.0;
        }
        there
    }
}

fn refused(limit: &Limit) -> Verdict {
    Verdict::Refused { advice: advice(limit, 0.0) }
}

/// When a unit should be there: a few units' time, the longer the more are refused.
fn advice(limit: &Limit, chance: f64) -> Time {
    let seconds = (2.0 / limit.rate.max(1e-9)) / (1.0 - chance);
    (seconds.clamp(0.1, 1.0) * 1e9) as Time
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Keeper;
    use std::collections::BTreeSet;

    const S: Time = 1_000_000_000;

    fn limits(rate: f64, burst: f64) -> BTreeMap<String, Limit> {
        BTreeMap::from([("t".to_string(), Limit::new(rate, burst))])
    }

    fn names(n: usize) -> BTreeSet<String> {
        (0..n).map(|g| format!("g{g}")).collect()
    }

    /// A tenant's requests at several desks, some of them cut off from the keeper for a while; the keeper changes once.
    /// How many passed in each 10 ms, and how many were turned away.
    fn play(rate: f64, asked: f64, cut: std::ops::Range<u64>, new_keeper: u64) -> (Vec<u32>, u32) {
        let (all, limits) = (names(6), limits(rate, rate));
        let mut keeper = Keeper::begin(0, 1, &limits, &BTreeSet::new(), &all);
        let mut desks: Vec<Desk> = (0..6).map(|_| Desk::new(0)).collect();
        desks.iter_mut().for_each(|d| {
            d.limits(0, &limits);
            d.gateways(6);
        });
        let (mut passed, mut refused, mut x) = (Vec::new(), 0, 12345u64);
        let mut draw = move || {
            x = x.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (x >> 33) as f64 / (1u64 << 31) as f64
        };
        let mut waits: Vec<Vec<Time>> = vec![Vec::new(); 6];
        for step in 0..3000u64 {
            let now = step * 10 * MS;
            if step == new_keeper {
                keeper = Keeper::begin(now, step, &limits, &BTreeSet::new(), &all);
            }
            let mut through = 0;
            for (g, desk) in desks.iter_mut().enumerate() {
                let reached = !(cut.contains(&step) && g < 2);
                let mut tries: Vec<Option<Time>> = waits[g].drain(..).map(Some).collect();
                if draw() < asked * 0.01 / 6.0 {
                    tries.push(None);
                }
                for since in tries {
                    match desk.spend(now, "t", draw(), since) {
                        Verdict::Granted => through += 1,
                        Verdict::Refused { .. } => refused += 1,
                        Verdict::Wait { .. } => waits[g].push(since.unwrap_or(now)),
                        Verdict::Slowed { .. } => unreachable!("it has no trial"),
                    }
                }
                if let Some(ask) = desk.ask(now).filter(|_| reached) {
                    let lent = keeper.ask(now, &format!("g{g}"), &ask).expect("it is known");
                    desk.lent(now, &lent);
                }
            }
            passed.push(through);
        }
        (passed, refused)
    }

    fn most_in_five_seconds(passed: &[u32]) -> u32 {
        passed.windows(500).map(|w| w.iter().sum()).max().unwrap_or(0)
    }

    #[test]
    fn what_is_asked_beyond_the_limit_never_passes_whoever_is_cut_off_and_whoever_keeps() {
        for rate in [10.0, 60.0] {
            let (passed, refused) = play(rate, 5.0 * rate, 500..1500, 1200);
            let most = f64::from(most_in_five_seconds(&passed));
            assert!(most <= (5.0 * rate + rate) * 1.1 + 20.0, "{most} at {rate} a second");
            assert!(refused > 0);
            // And the limit is had.
            let whole: u32 = passed[1500..].iter().sum();
            assert!(f64::from(whole) >= 0.9 * 15.0 * rate, "{whole} in 15 s at {rate} a second");
        }
    }

    #[test]
    fn below_the_limit_nearly_all_pass() {
        let (passed, refused) = play(30.0, 30.0 / 1.6, 0..0, 9999);
        let passed: u32 = passed.iter().sum();
        assert!(f64::from(refused) <= 0.01 * f64::from(passed), "{refused} refused beside {passed}");
    }

    #[test]
    fn units_end_and_go_back() {
        let mut desk = Desk::new(0);
        desk.limits(0, &limits(10.0, 10.0));
        assert!(!matches!(desk.spend(0, "t", 0.5, None), Verdict::Granted), "nothing is known yet");
        let ask = desk.ask(0).expect("it is time");
        desk.lent(MS, &Lent { number: ask.number, ..Lent::default() });
        assert!(matches!(desk.spend(MS, "t", 0.5, None), Verdict::Wait { .. }));
        let ask = desk.ask(MS).expect("somebody waits");
        let loan = crate::Loan { tenant: "t".into(), units: 3, left: 5.0, metered: 1.0 };
        assert!(desk.lent(2 * MS, &Lent { number: ask.number, loans: vec![loan], ..Lent::default() }));
        assert_eq!(desk.spend(3 * MS, "t", 0.5, Some(MS)), Verdict::Granted);
        // Awake from a freeze: the two others have ended, whatever the desk thinks of the time between.
        assert!(!matches!(desk.spend(S, "t", 0.5, None), Verdict::Granted));
        let ask = desk.ask(S).expect("it is time");
        assert_eq!(ask.wants[0].back, 2);
    }
}
