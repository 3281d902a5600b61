//! The life of a request, from its last byte until it is answered and no attempt is out.
//!
//! | phase | the client | an attempt | left by |
//! | --- | --- | --- | --- |
//! | `Held` | waits | none out | `Send` (to `Out`), an answer, its leave (both: over) |
//! | `Out` | waits | out, at a [`Step`] | its end (to `Held`, or over), an answer (`Answered`), a leave (`Left`) |
//! | `Streaming` | gets its answer as it comes | out, and of no more concern to the module | its end (over) |
//! | `Answered` | has its answer | still to end | its end (over) |
//! | `Left` | is gone | still to end | its end (over) |

use crate::fleet::Fleet;
use crate::words::{Arrival, Final, Input, Limits, Order, Reply, Step, Told, Wrong};
use interface::{Effect, Ending, Group, Name, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An attempt that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// From 0.
    pub number: u32,
    pub server: Name,
    pub step: Step,
    /// Whether it has been told to stop.
    pub aborted: bool,
    /// Where it was sent, and who stood there then.
    place: SocketAddr,
    zone: u32,
    cell: u32,
    /// When it got the leave to write; till then when it began.
    since: Time,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.step >= Step::Written
    }

    fn ran(&self) -> Ran {
        Ran { since: self.since, zone: self.zone, cell: self.cell }
    }
}

/// The earliest attempt that may have run: no sooner than `since`, on a server of this zone and cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ran {
    pub since: Time,
    pub zone: u32,
    pub cell: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Held,
    Out(Attempt),
    Streaming(Attempt),
    Answered(Attempt),
    Left(Attempt),
}

/// A request's life so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Life {
    pub phase: Phase,
    /// Attempts made.
    pub attempts: u32,
    pub ran: Option<Ran>,
    /// Whether the latest attempt ended for want of an answer in time.
    late: bool,
    arrival: Arrival,
}

/// All requests in hand, and the server list as far as their attempts need it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lives {
    limits: Limits,
    live: BTreeMap<RequestId, Life>,
    /// When those that wait are overdue.
    due: BTreeSet<(Time, RequestId)>,
    fleet: Fleet,
}

type Done = Result<(), Wrong>;

impl Lives {
    pub fn new(limits: Limits) -> Self {
        Lives { limits, live: BTreeMap::new(), due: BTreeSet::new(), fleet: Fleet::default() }
    }

    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.due.is_empty()
    }

    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// When `Tick` is next wanted.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    pub fn get(&self, id: RequestId) -> Option<&Life> {
        self.live.get(&id)
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes what happened by `now` and appends what to do about it, in order.
    ///
    /// # Errors
    /// [`Wrong`], if a front or an attempt tells what can't be; nothing has changed then. The module's words
    /// are never an error: what is not to be done is not done, and it hears so.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Order>) -> Done {
        match input {
            Input::Received(arrival) => return self.received(arrival),
            Input::Whole { id, deadline } => self.whole(id, deadline),
            Input::Left { id } => self.left(id, out),
            Input::Send { id, server, not_past } => self.send(now, id, server, not_past, out),
            Input::Refuse { id, advice } => self.finish(id, true, advice, false, out),
            Input::Fail { id } => self.finish(id, false, 0, false, out),
            Input::Cancel { id, attempt } => self.cancel(id, attempt, out),
            Input::Connected { id, attempt } => return self.connected(now, id, attempt, out),
            Input::Progress { id, attempt, step } => return self.progress(id, attempt, step),
            Input::Begun { id, attempt } => return self.begun(id, attempt, out),
            Input::Ended { id, attempt, ending, reply } => {
                return self.ended(id, attempt, ending, reply, out);
            }
            Input::Fleet { whole, servers } => self.fleet.update(whole, servers),
            Input::Tick => self.tick(now, out),
            Input::Panicked => self.panicked(out),
        }
        Ok(())
    }

    // ---- The client's side ----

    fn received(&mut self, arrival: Arrival) -> Done {
        let id = arrival.id;
        // Two attempts with one id must not be out at once.
        if self.live.contains_key(&id) && !planted!(IdReusedWhileHeld) {
            return Err(Wrong::Held(id));
        }
        self.due.insert((arrival.deadline + self.limits.grace, id));
        self.live.insert(id, Life { phase: Phase::Held, attempts: 0, ran: None, late: false, arrival });
        Ok(())
    }

    fn whole(&mut self, id: RequestId, deadline: Time) {
        // It may have been answered before it was whole.
        let Some(life) = self.live.get_mut(&id) else { return };
        let grace = self.limits.grace;
        if self.due.remove(&(life.arrival.deadline + grace, id)) {
            self.due.insert((deadline + grace, id));
        }
        life.arrival.deadline = deadline;
    }

    fn left(&mut self, id: RequestId, out: &mut Vec<Order>) {
        // It may have crossed the answer.
        let Some(life) = self.live.get_mut(&id) else { return };
        match std::mem::replace(&mut life.phase, Phase::Held) {
            Phase::Held => self.forget(id),
            Phase::Out(mut attempt) => {
                // What has not come whole to a server needs not come at all; what has, the module may stop.
                if !attempt.may_have_run() && !planted!(NoAbortOnLeave) {
                    abort(id, &mut attempt, out);
                }
                life.phase =
                    if planted!(LeftStillServed) { Phase::Out(attempt) } else { Phase::Left(attempt) };
                if !planted!(LeftStillServed) {
                    self.undue(id);
                }
            }
            Phase::Streaming(mut attempt) => {
                abort(id, &mut attempt, out);
                life.phase = Phase::Streaming(attempt);
                return;
            }
            over => {
                life.phase = over;
                return;
            }
        }
        out.push(Order::Tell(Told::ClientGone { id }));
    }

    // ---- The module's side ----

    fn send(&mut self, now: Time, id: RequestId, server: Name, not_past: Time, out: &mut Vec<Order>) {
        let never =
            |attempt, server, ending| Order::Tell(Told::Ended { id, attempt, server, ending, last: false });
        let limits = self.limits;
        let ready = self.fleet.ready(&server);
        let Some(life) = self.live.get_mut(&id) else {
            return out.push(Order::Tell(Told::Ended {
                id,
                attempt: 0,
                server,
                ending: Ending::Stale,
                last: true,
            }));
        };
        let idle = matches!(life.phase, Phase::Held)
            || planted!(SendWhileOut) && matches!(life.phase, Phase::Out(_));
        let more = life.attempts < limits.attempts
            || planted!(OneAttemptTooMany) && life.attempts == limits.attempts;
        if !idle || !more || now >= life.arrival.deadline {
            return out.push(never(life.attempts, server, Ending::Stale));
        }
        let Some((listed, place)) = ready else {
            // It counts, or a module that insists would be told so at every turn.
            life.attempts += 1;
            return out.push(never(life.attempts - 1, server, Ending::NoRoute));
        };
        if !life.may_repeat(now, listed.zone, listed.cell, limits) {
            return out.push(never(life.attempts, server, Ending::Stale));
        }
        let attempt = life.attempts;
        life.attempts += 1;
        let not_past =
            if not_past == 0 { life.arrival.deadline } else { not_past.min(life.arrival.deadline) };
        life.phase = Phase::Out(Attempt {
            number: attempt,
            server: server.clone(),
            step: Step::Connecting,
            aborted: false,
            place,
            zone: listed.zone,
            cell: listed.cell,
            since: now,
        });
        out.push(Order::Start { id, attempt, server, place, not_past });
    }

    fn cancel(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Order>) {
        let Some(life) = self.live.get_mut(&id) else { return };
        // What streams has passed: there is nothing to stop for the module's sake.
        if let Phase::Out(a) | Phase::Answered(a) | Phase::Left(a) = &mut life.phase {
            if a.number == attempt {
                abort(id, a, out);
                if planted!(CancelFreesAtOnce) && matches!(life.phase, Phase::Out(_)) {
                    life.phase = Phase::Held;
                }
            }
        }
    }

    /// The end without service.
    fn finish(&mut self, id: RequestId, refuse: bool, advice: Time, overdue: bool, out: &mut Vec<Order>) {
        let Some(life) = self.live.get_mut(&id) else { return };
        life.late |= overdue;
        match std::mem::replace(&mut life.phase, Phase::Held) {
            Phase::Held => {
                let (answer, class) = (life.give_up(refuse, advice), life.arrival.class);
                self.forget(id);
                out.push(Order::Answer { id, class, answer });
            }
            Phase::Out(mut attempt) => {
                if attempt.may_have_run() && !planted!(OutNotCounted) {
                    life.ran.get_or_insert(attempt.ran());
                }
                let (answer, class) = (life.give_up(refuse, advice), life.arrival.class);
                out.push(Order::Answer { id, class, answer });
                if !planted!(NoAbortOnAnswer) {
                    abort(id, &mut attempt, out);
                }
                life.phase = Phase::Answered(attempt);
                if !planted!(DeadlineOutlivesAnswer) {
                    self.undue(id);
                }
            }
            // The module's word and the answer have crossed.
            over => life.phase = over,
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Order>) {
        while let Some(&(at, id)) = self.due.first() {
            if at > now || planted!(OverdueByOne) && at == now {
                return;
            }
            self.due.pop_first();
            if planted!(OverdueSparesAttempts)
                && self.live.get(&id).is_some_and(|l| matches!(l.phase, Phase::Out(_)))
            {
                continue;
            }
            self.finish(id, true, 0, true, out);
            out.push(Order::Tell(Told::ClientGone { id }));
        }
    }

    fn panicked(&mut self, out: &mut Vec<Order>) {
        let ids: Vec<RequestId> = self.live.keys().copied().collect();
        for id in ids {
            self.finish(id, true, 0, false, out);
        }
        if planted!(PanicForgetsAttempts) {
            self.live.clear();
            self.due.clear();
        }
    }

    // ---- The attempts' side ----

    fn connected(&mut self, now: Time, id: RequestId, attempt: u32, out: &mut Vec<Order>) -> Done {
        let limits = self.limits;
        let a = find(&mut self.live, id, attempt)?;
        if a.step != Step::Connecting {
            return Err(Wrong::OutOfOrder { id, attempt, at: a.step });
        }
        // Behind an answer or a leave it has been told to stop, if nothing was written yet.
        let go_on = !a.aborted || planted!(WriteAfterAbort);
        // While it came up the server may have been told to drain, or another may have come at its place.
        let there = match self.fleet.ready(&a.server) {
            Some((_, place)) => place == a.place || planted!(WriteToNewOwner),
            None => planted!(WriteAfterDrain),
        };
        let (zone, cell) = (a.zone, a.cell);
        let life = self.live.get_mut(&id).expect("just seen");
        // A key's time may have run out meanwhile.
        if !go_on || !there || !life.may_repeat(now, zone, cell, limits) {
            out.push(Order::Withhold { id, attempt });
            return Ok(());
        }
        if let Phase::Out(a) | Phase::Answered(a) | Phase::Left(a) = &mut life.phase {
            (a.step, a.since) = (Step::Writing, now);
        }
        out.push(Order::Write { id, attempt });
        Ok(())
    }

    fn progress(&mut self, id: RequestId, attempt: u32, step: Step) -> Done {
        let a = find(&mut self.live, id, attempt)?;
        if a.step < Step::Writing || step <= a.step {
            return Err(Wrong::OutOfOrder { id, attempt, at: a.step });
        }
        a.step = step;
        Ok(())
    }

    fn begun(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Order>) -> Done {
        let a = find(&mut self.live, id, attempt)?;
        if a.step < Step::Writing {
            return Err(Wrong::OutOfOrder { id, attempt, at: a.step });
        }
        let life = self.live.get_mut(&id).expect("just seen");
        match std::mem::replace(&mut life.phase, Phase::Held) {
            Phase::Out(a) => {
                let (server, class) = (a.server.clone(), life.arrival.class);
                life.phase = Phase::Streaming(a);
                if !planted!(DeadlineOutlivesAnswer) {
                    self.undue(id);
                }
                out.push(Order::Answer { id, class, answer: Final::Served });
                let ending = Ending::Pass;
                out.push(Order::Tell(Told::Ended { id, attempt, server, ending, last: true }));
                Ok(())
            }
            // It crossed an answer or a leave, or has begun already: nobody wants it.
            other => {
                life.phase = other;
                Err(Wrong::NotOut { id, attempt })
            }
        }
    }

    fn ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        ending: Ending,
        reply: Reply,
        out: &mut Vec<Order>,
    ) -> Done {
        let a = find(&mut self.live, id, attempt)?;
        if reply != Reply::None && a.step < Step::Writing {
            return Err(Wrong::OutOfOrder { id, attempt, at: a.step });
        }
        // Given up before its last byte was out: nothing has run, and nobody is to blame.
        let unsent = ending == Ending::Undone && reply == Reply::None && !a.may_have_run();
        let ending = if unsent || planted!(UndoneTakenForProof) && ending == Ending::Undone {
            Ending::Stale
        } else {
            ending
        };
        let never = matches!(ending, Ending::Full | Ending::NoRoute | Ending::Stale)
            || planted!(LateTakenForProof) && ending == Ending::Late;
        let life = self.live.get_mut(&id).expect("just seen");
        let (a, awaited) = match std::mem::replace(&mut life.phase, Phase::Held) {
            Phase::Out(a) => (a, true),
            Phase::Answered(a) => (a, planted!(LateAnswerAccepted)),
            Phase::Left(a) => (a, false),
            Phase::Streaming(_) if planted!(StreamNeverForgotten) => return Ok(()),
            // All that it had to tell has been told.
            Phase::Streaming(_) => {
                let class = life.arrival.class;
                self.forget(id);
                out.push(Order::Streamed { id, class, whole: ending == Ending::Pass });
                return Ok(());
            }
            Phase::Held => return Err(Wrong::NotOut { id, attempt }),
        };
        if !never {
            life.ran.get_or_insert(a.ran());
        }
        life.late = ending == Ending::Late;
        let class = life.arrival.class;
        let spent = life.arrival.once && a.step >= Step::Writing && !planted!(OnceForgotten);
        let answer = match reply {
            // There is nothing left to send: this was its one attempt.
            Reply::None if spent && awaited => Some(life.give_up(true, 0)),
            Reply::None => None,
            Reply::Good => Some(Final::Served),
            Reply::Turned => Some(Final::Turned),
        };
        if let Some(answer) = answer.filter(|_| awaited) {
            out.push(Order::Answer { id, class, answer });
        }
        let last = !awaited || answer.is_some();
        if last && (awaited || !planted!(AnsweredNeverForgotten)) {
            self.forget(id);
        }
        out.push(Order::Tell(Told::Ended { id, attempt, server: a.server, ending, last }));
        Ok(())
    }

    fn undue(&mut self, id: RequestId) {
        if let Some(life) = self.live.get(&id) {
            self.due.remove(&(life.arrival.deadline + self.limits.grace, id));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if !planted!(DeadlineOutlivesLife) {
            self.undue(id);
        }
        self.live.remove(&id);
    }
}

impl Life {
    pub fn class(&self) -> usize {
        self.arrival.class
    }

    /// Whether another attempt at this server keeps the rule on effects: nothing that must not run twice goes
    /// out where it may.
    fn may_repeat(&self, now: Time, zone: u32, cell: u32, limits: Limits) -> bool {
        let Some(ran) = self.ran else { return true };
        let arrival = &self.arrival;
        match arrival.effect {
            Effect::Safe => true,
            Effect::Unsafe => planted!(UnsafeRepeated),
            Effect::Keyed => {
                let same = match arrival.group {
                    Group::All => true,
                    Group::Zone => ran.zone == zone,
                    Group::Cell => ran.cell == cell,
                };
                let forgotten = ran.since + arrival.key_ttl;
                let in_time = now + limits.key_margin < forgotten
                    || planted!(KeyWindowByOne) && now + limits.key_margin == forgotten;
                (same || planted!(KeyOutsideGroup)) && in_time
            }
        }
    }

    /// A refusal only if nothing can have run.
    fn give_up(&self, refuse: bool, advice: Time) -> Final {
        if refuse && (self.ran.is_none() || planted!(RefusedThoughRun)) {
            Final::Refused { tried: self.attempts > 0, advice }
        } else {
            Final::Failed { late: self.late }
        }
    }
}

/// The attempt with this number, if it is out.
fn find(live: &mut BTreeMap<RequestId, Life>, id: RequestId, number: u32) -> Result<&mut Attempt, Wrong> {
    let wrong = Wrong::NotOut { id, attempt: number };
    match &mut live.get_mut(&id).ok_or(wrong)?.phase {
        Phase::Out(a) | Phase::Streaming(a) | Phase::Answered(a) | Phase::Left(a) if a.number == number => {
            Ok(a)
        }
        _ => Err(wrong),
    }
}

fn abort(id: RequestId, attempt: &mut Attempt, out: &mut Vec<Order>) {
    if !std::mem::replace(&mut attempt.aborted, true) {
        out.push(Order::Abort { id, attempt: attempt.number });
    }
}
