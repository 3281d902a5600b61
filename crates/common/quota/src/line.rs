//! A slowed tenant's requests at one gateway: they wait in the order in which they came, for turns that the keeper gives. Work
//! that would lose its aim by that order goes ahead of reads. `docs/design/trials.md` says what is promised and why it holds.

use crate::{from_micros, micros, nanos, Phase, Queue, Slow, Time, Turns, ALONE_AFTER, LEAD, LENT_FOR, MS};
use std::collections::VecDeque;

/// More do not wait at one gateway.
const MOST: usize = 1024;
/// An ask for turns that was not answered for so long was lost.
const UNANSWERED: Time = 150 * MS;
/// Who is alone refuses nobody for so long: the keeper may be changing.
const PATIENT: Time = 2000 * MS;
/// Weight of one more wait in what those waited that went lately.
const GAIN: f64 = 0.2;

/// A request that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    pub id: u64,
    pub since: Time,
    /// It does not wait for longer.
    pub until: Time,
    /// Work that loses its aim if it does not go by then; none: a read.
    pub by: Option<Time>,
}

/// What becomes of one who waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Go,
    /// Its turn would come too late: come back after so long.
    Refused {
        advice: Time,
    },
}

/// Whose turns these are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Nobody,
    Keeper(u64),
    /// The gateway's own, of its even part.
    Own,
}

/// How this gateway stands to the keeper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// It has heard nothing for too long, since then.
    pub alone_since: Option<Time>,
    /// How many share the pace if it is alone; 0: that is not known.
    pub gateways: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub slow: Slow,
    /// The configuration names no trial any more: the line stays until the keeper says that it goes at full speed.
    pub leaving: bool,
    /// Full speed from then, until then.
    from: Time,
    until: Time,
    /// When the last such time ended, here or, as far as can be known, elsewhere.
    ended: Time,
    /// When the ask was sent that was answered last.
    heard: Time,
    waiters: Vec<Waiter>,
    /// The soonest first; and those that were given for work that was pressing.
    turns: VecDeque<Time>,
    pressing: VecDeque<Time>,
    owner: Owner,
    /// Asks that are not answered: number, reads, pressing, when.
    asked: VecDeque<(u64, u32, u32, Time)>,
    back: u32,
    /// Alone: when the next turn is.
    next_own: Time,
    /// So many are to be told to come back after so long.
    refuse: (u32, Time),
    waited: f64,
}

impl Line {
    pub fn new(slow: Slow, leaving: bool) -> Self {
        Line {
            slow,
            leaving,
            from: 0,
            until: 0,
            ended: 0,
            heard: 0,
            waiters: Vec::new(),
            turns: VecDeque::new(),
            pressing: VecDeque::new(),
            owner: Owner::Nobody,
            asked: VecDeque::new(),
            back: 0,
            next_own: 0,
            refuse: (0, 0),
            waited: 0.0,
        }
    }

    /// Whether requests wait for a turn now.
    pub fn is_slow(&self, now: Time) -> bool {
        now < self.from || now >= self.until
    }

    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub fn len(&self) -> u32 {
        self.waiters.len() as u32
    }

    fn slow_since(&self, now: Time) -> Time {
        if now >= self.until {
            self.ended.max(self.until)
        } else {
            self.ended
        }
    }

    /// Whether somebody may be refused for the pace: nobody, anywhere, goes at full speed then.
    fn may_refuse(&self, now: Time, standing: Standing) -> bool {
        match standing.alone_since {
            Some(since) => now >= since + PATIENT,
            None => now >= self.slow_since(now) + LEAD && now >= self.from,
        }
    }

    /// One more waits. It can't, if too many do: whether it may.
    pub fn enter(&mut self, waiter: Waiter) -> bool {
        let room = self.waiters.len() < MOST;
        if room {
            self.waiters.push(waiter);
        }
        room
    }

    // ---- The keeper ----

    /// The keeper's word, in answer to an ask that was sent then; none: it knows of no trial. If it has begun to keep of late,
    /// it did not announce that, and the one before may have told others that it is slow.
    pub fn phase(&mut self, now: Time, sent: Time, phase: Option<&Phase>, keeper_since: Time) {
        if now >= self.until {
            self.ended = self.ended.max(self.until);
        }
        // What is announced takes longer than that; who heard nothing for so long may have missed a time at full speed.
        if sent > self.heard + ALONE_AFTER {
            self.ended = self.ended.max(sent);
        }
        self.heard = sent;
        let valid = sent + ALONE_AFTER;
        match phase.map(|p| (p.slow, p.changes_us)) {
            // It counts from when it was sent, so that it is slow rather early.
            Some((false, Some(us))) => self.full(now, valid.min(sent + from_micros(us))),
            None if now < keeper_since + LEAD => self.slow(now, keeper_since + LEAD, valid),
            None | Some((false, None)) => self.full(now, valid),
            // And fast rather late.
            Some((true, Some(us))) => self.slow(now, now + from_micros(us), valid),
            Some((true, None)) => self.slow(now, 0, 0),
        }
    }

    /// At full speed until then, and others may be, if this word came too late.
    fn full(&mut self, now: Time, until: Time) {
        if until > now {
            (self.from, self.until) = (self.from.min(now), until);
        } else {
            self.ended = self.ended.max(until);
            (self.from, self.until) = (0, self.ended);
        }
    }

    /// Slow, and at full speed from then until then.
    fn slow(&mut self, now: Time, from: Time, until: Time) {
        if !self.is_slow(now) {
            self.ended = now;
        }
        (self.from, self.until) = (from, if from < until { until } else { self.ended });
    }

    /// What to ask for, if anything is to be said.
    pub fn queue(&mut self, now: Time, number: u64, tenant: &str) -> Option<Queue> {
        self.asked.retain(|(_, _, _, at)| now.saturating_sub(*at) < UNANSWERED);
        let pressed = self.waiters.iter().filter(|w| w.by.is_some()).count();
        while self.turns.len() + self.pressing.len() > self.waiters.len() {
            let surplus = if self.pressing.len() > pressed { &mut self.pressing } else { &mut self.turns };
            surplus.pop_back();
            self.back += u32::from(matches!(self.owner, Owner::Keeper(_)));
        }
        let plan = self.plan();
        // Who is pressed for time asks for a turn of its own, as long as one can still help it.
        let lacks = |(w, at): &(&Waiter, &Option<Time>)| match w.by {
            Some(by) => at.is_none_or(|at| at > by && now < by),
            None => at.is_none(),
        };
        let lack = self.waiters.iter().zip(&plan).filter(lacks).map(|(w, _)| w);
        let (pressing, reads): (Vec<&Waiter>, Vec<&Waiter>) = lack.partition(|w| w.by.is_some());
        let slack = pressing.iter().filter_map(|w| w.by).min().unwrap_or(now).saturating_sub(now);
        let pending = self.asked.iter().fold((0, 0), |sum, a| (sum.0 + a.1, sum.1 + a.2));
        let reads = (reads.len() as u32).saturating_sub(pending.0);
        let pressing = (pressing.len() as u32).saturating_sub(pending.1);
        let back = std::mem::take(&mut self.back);
        if reads + pressing > 0 {
            self.asked.push_back((number, reads, pressing, now));
        }
        let say = reads + pressing + back > 0 || !self.waiters.is_empty();
        say.then(|| Queue {
            tenant: tenant.into(),
            reads,
            pressing,
            slack_us: micros(slack),
            back,
            waiting: self.len(),
            waited_us: (self.waited * 1e6) as u32,
        })
    }

    /// Whether some who wait have yet to be asked for.
    pub fn lacks(&self) -> bool {
        let asked: u32 = self.asked.iter().map(|a| a.1 + a.2).sum();
        self.waiters.len() > self.turns.len() + self.pressing.len() + asked as usize
    }

    /// The keeper's turns, in answer to the ask of this number.
    pub fn given(&mut self, now: Time, number: u64, keeper: u64, turns: &Turns) {
        let asked = self.asked.iter().position(|a| a.0 == number).and_then(|n| self.asked.remove(n));
        self.owned_by(Owner::Keeper(keeper));
        let Some((_, reads, pressing, _)) = asked else {
            // Nobody remembers: they are nobody's.
            self.back += (turns.after_us.len() + turns.pressing_us.len()) as u32;
            return;
        };
        for (held, given) in [(&mut self.turns, &turns.after_us), (&mut self.pressing, &turns.pressing_us)] {
            held.extend(given.iter().map(|us| now + from_micros(*us)));
            held.make_contiguous().sort_unstable();
        }
        if let Some(us) = turns.later_us {
            let given = turns.after_us.len() + turns.pressing_us.len();
            self.refuse = ((reads + pressing).saturating_sub(given as u32), from_micros(us));
        }
    }

    fn owned_by(&mut self, owner: Owner) {
        if std::mem::replace(&mut self.owner, owner) != owner {
            self.turns.clear();
            self.pressing.clear();
            self.asked.clear();
            self.back = 0;
            self.refuse = (0, 0);
        }
    }

    // ---- Turns ----

    /// Each one's turn, by the order in which they came: reads have theirs, work that is pressed for time its own. What one kind
    /// leaves over is the other's; work that would lose its aim so goes ahead of reads where that helps it.
    fn plan(&self) -> Vec<Option<Time>> {
        let mut plan = vec![None; self.waiters.len()];
        let is_pressed = |w: &usize| self.waiters[*w].by.is_some();
        let (pressed, mut left): (Vec<usize>, Vec<usize>) = (0..self.waiters.len()).partition(is_pressed);
        for (w, at) in pressed.iter().zip(&self.pressing) {
            plan[*w] = Some(*at);
        }
        let lack = pressed.iter().skip(self.pressing.len());
        let over = self.pressing.iter().skip(pressed.len());
        if self.owner == Owner::Own || left.len() < self.turns.len() {
            left.extend(lack);
            left.sort_unstable();
        }
        let mut turns: Vec<Time> = self.turns.iter().chain(over).copied().collect();
        turns.sort_unstable();
        // Mostly nobody goes ahead of anybody: a thousand who wait are looked at once.
        if !left.iter().any(is_pressed) {
            left.iter().zip(turns).for_each(|(w, at)| plan[*w] = Some(at));
            return plan;
        }
        for (n, at) in turns.iter().enumerate() {
            let late = |(place, w): (usize, &usize)| {
                let own = turns.get(n + place);
                self.waiters[*w].by.is_some_and(|by| *at <= by && own.is_none_or(|own| *own > by))
            };
            let next = left.iter().enumerate().position(late).unwrap_or(0);
            if next < left.len() {
                plan[left.remove(next)] = Some(*at);
            }
        }
        plan
    }

    /// Whose word it is now, if anybody's. While the tenant is slow.
    pub fn poll(&mut self, now: Time, standing: Standing) -> Option<(u64, Word)> {
        self.forget(now);
        match (standing.alone_since, self.owner) {
            // What was given is good for as long as a unit is: the keeper does not count on more from this gateway so soon.
            (Some(since), Owner::Keeper(_)) if now < since + LENT_FOR - ALONE_AFTER => {}
            (Some(since), owner) => {
                if owner != Owner::Own {
                    self.owned_by(Owner::Own);
                    self.next_own = since.max(now);
                }
                self.mint(now, standing.gateways);
            }
            (None, Owner::Own) => self.owned_by(Owner::Nobody),
            (None, _) => {}
        }
        let plan = self.plan();
        if self.may_refuse(now, standing) {
            if let Some(refused) = self.refuse(now, &plan, standing) {
                return Some(refused);
            }
        }
        let due = |turns: &VecDeque<Time>| turns.front().copied().filter(|at| *at <= now);
        for pressing in [true, false] {
            let held = if pressing { &mut self.pressing } else { &mut self.turns };
            let place = due(held).and_then(|at| plan.iter().position(|p| *p == Some(at)));
            if let Some(place) = place {
                held.pop_front();
                return Some((self.go(now, place), Word::Go));
            }
        }
        None
    }

    /// One at a time who cannot be served within its wait.
    fn refuse(&mut self, now: Time, plan: &[Option<Time>], standing: Standing) -> Option<(u64, Word)> {
        let late = |(w, at): (&Waiter, &Option<Time>)| at.is_some_and(|at| at > w.until);
        if let Some(place) = self.waiters.iter().zip(plan).position(late) {
            let waiter = self.waiters.remove(place);
            let advice = plan[place].map_or(0, |at| at - waiter.until);
            return Some((waiter.id, Word::Refused { advice }));
        }
        if standing.alone_since.is_some() {
            let turns = self.turns.len() + self.pressing.len();
            let lack = self.waiters.len().saturating_sub(turns) as u32;
            let advice = (self.next_own + 1).saturating_sub(now + self.slow.wait);
            self.refuse = (lack, advice.max(nanos(1.0 / self.slow.pace)));
        }
        let (count, advice) = self.refuse;
        if count == 0 {
            return None;
        }
        self.refuse.0 -= 1;
        // The youngest read without a turn, else whoever is the youngest without one.
        let lacks = |n: &usize| plan[*n].is_none();
        let reads = (0..plan.len()).rev().find(|n| lacks(n) && self.waiters[*n].by.is_none());
        let place = reads.or_else(|| (0..plan.len()).rev().find(lacks))?;
        Some((self.waiters.remove(place).id, Word::Refused { advice }))
    }

    /// The first who waits goes, without a turn. While the tenant is not slow.
    pub fn release(&mut self, now: Time) -> Option<u64> {
        self.forget(now);
        (!self.waiters.is_empty()).then(|| self.go(now, 0))
    }

    fn go(&mut self, now: Time, place: usize) -> u64 {
        let waiter = self.waiters.remove(place);
        let waited = now.saturating_sub(waiter.since) as f64 / 1e9;
        self.waited += (waited - self.waited) * GAIN;
        waiter.id
    }

    /// The one that was to go is not there any more: its turn is the next one's.
    pub fn again(&mut self, now: Time) {
        if self.owner != Owner::Nobody {
            self.turns.push_front(now);
        }
    }

    /// Whose time is up has been answered elsewhere.
    pub fn forget(&mut self, now: Time) {
        self.waiters.retain(|w| w.until > now);
    }

    /// Turns of one's own, of the even part of the pace.
    fn mint(&mut self, now: Time, gateways: u32) {
        let apart = nanos(f64::from(gateways) / self.slow.pace);
        while gateways > 0 && self.turns.len() + self.pressing.len() < self.waiters.len() {
            let at = self.next_own.max(now);
            if at > now + self.slow.wait {
                return;
            }
            self.next_own = at + apart;
            self.turns.push_back(at);
        }
    }

    /// When [`Line::poll`] has something new to say, if nothing is heard.
    pub fn next_due(&self, now: Time, alone_at: Time) -> Option<Time> {
        if self.waiters.is_empty() {
            return None;
        }
        // A turn that is nobody's goes back with the next ask.
        let turn = self.plan().into_iter().flatten().min();
        let void = alone_at + LENT_FOR - ALONE_AFTER;
        let change = [self.from, self.until, alone_at, void, alone_at + PATIENT, self.slow_since(now) + LEAD];
        let change = change.into_iter().filter(|at| *at > now);
        turn.into_iter().chain(change).min()
    }
}
