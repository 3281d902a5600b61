//! Agreement among those who hold the configuration: one holder of the duty by term, elected by a majority or named by
//! the holder before; a log that a majority has on disk before a word of it counts; reads that are newest. After Raft
//! (Ongaro and Ousterhout, 2014; Ongaro's thesis for trial votes, changes of members by joint consensus, and the
//! hand-over of the duty). No I/O and no clock.
//!
//! What it promises, whatever is lost, late, doubled or cut, and whoever dies, freezes or loses a disk, as long as no
//! more disks are lost at once than a minority of the voters:
//! - what was applied anywhere is applied everywhere at the same place, and never undone;
//! - [`Output::Newest`] comes only behind all that was agreed on before the read was asked for.
#![forbid(unsafe_code)]

mod defect;
mod founding;
mod log;
mod members;
mod sending;
mod words;

pub use defect::Defect;
pub use founding::{Ballot, Founding, Said as FoundingSaid};
pub use words::{
    Body, Entry, Id, Input, Members, Message, Output, Place, Said, Save, Snapshot, Stored, Term, Time, Whole,
};

use fastrand::Rng;
use log::Log;
use members::{better, Health};
use sending::{Come, Incoming, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Time = 1_000_000;
/// The holder is heard so often at the least.
pub const PULSE: Time = 100 * MS;
/// Nobody votes for another within so long of having heard the holder; somebody stands up after up to twice that.
pub const PATIENCE: Time = 500 * MS;
/// Lent rights of a holder rest on a majority heard within so long: less than [`PATIENCE`] by what clocks may differ.
pub const LEASE: Time = 400 * MS;
/// A voter that has not answered for so long has its place taken by another that waits for one.
pub const GONE: Time = 2_000 * MS;
/// Those who are told the log without a vote, at most.
const GUESTS: usize = 64;
/// Rounds whose start is remembered.
const ROUNDS: usize = 64;

#[derive(Clone, Debug)]
struct Holder {
    peers: BTreeMap<Id, Peer>,
    /// Rounds not answered by all yet: number and start.
    rounds: VecDeque<(u64, Time)>,
    round: u64,
    elected: Time,
    next_pulse: Time,
    /// Where its first entry stands.
    first: Place,
    reads: Vec<(u64, Time)>,
    /// Those who knock and are no voters: the disk's id, when, and whether they want a vote. They are replicated to; who
    /// wants a vote waits for one that is to be replaced, or for a second that waits.
    guests: BTreeMap<String, (u64, Time, bool)>,
    /// Voters that are told to end, and when they last said so.
    leaving: BTreeMap<Id, Time>,
    /// It has named another: it lends and takes nothing any more.
    named: bool,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate { trial: bool, given: BTreeSet<Id> },
    Holder(Box<Holder>),
}

/// One who takes part.
#[derive(Clone, Debug)]
pub struct Core {
    id: Id,
    term: Term,
    vote: Option<Id>,
    log: Log,
    agreed: Place,
    role: Role,
    holder: Option<Id>,
    /// When the holder was last heard.
    heard: Option<Time>,
    stands_up: Time,
    /// What it promised by its silence before it was started may hold until then: it votes for nobody.
    silent_until: Time,
    /// What comes in parts.
    incoming: Option<Incoming>,
    /// This process is told to end.
    ends: bool,
    /// What is to be saved comes to the disk.
    works: bool,
    rng: Rng,
    #[cfg(feature = "defects")]
    defect: Option<Defect>,
}

impl Core {
    /// Goes on from what is on the disk.
    pub fn new(id: Id, stored: Stored, seed: u64, now: Time) -> Self {
        let log = Log::new(stored.snapshot, stored.entries);
        // What was agreed on once is for good.
        let agreed = stored.agreed.clamp(log.start(), log.last().1);
        let mut core = Core {
            id,
            term: stored.term,
            vote: stored.vote,
            log,
            agreed,
            role: Role::Follower,
            holder: None,
            heard: None,
            stands_up: 0,
            silent_until: if stored.term > 0 { now + PATIENCE } else { 0 },
            incoming: None,
            ends: false,
            works: true,
            rng: Rng::with_seed(seed),
            #[cfg(feature = "defects")]
            defect: None,
        };
        core.sit_down(now);
        core
    }

    pub fn id(&self) -> &Id {
        &self.id
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// How far the log is agreed on, as far as is known here.
    pub fn agreed(&self) -> Place {
        self.agreed
    }

    /// The state at the start of the log.
    pub fn start(&self) -> (Place, &[u8]) {
        (self.log.start(), &self.log.snapshot().state)
    }

    /// What is agreed on behind the state at the start, as it was known when this one began.
    pub fn known(&self) -> Vec<Output> {
        let places = self.log.start() + 1..=self.agreed;
        let word = |place| match &self.log.get(place)?.said {
            Said::Word(word) => {
                Some(Output::Apply { place, term: self.log.term(place)?, word: word.clone() })
            }
            _ => None,
        };
        places.filter_map(word).collect()
    }

    /// All that is to be on the disk.
    pub fn stored(&self) -> Stored {
        let (snapshot, entries) = ((**self.log.snapshot()).clone(), self.log.entries().to_vec());
        Stored { term: self.term, vote: self.vote.clone(), snapshot, entries, agreed: self.agreed }
    }

    /// The places and sizes in bytes of the entries that are kept.
    pub fn sizes(&self) -> impl Iterator<Item = (Place, usize)> + '_ {
        self.log.sizes()
    }

    /// Entries that are kept.
    pub fn entries(&self) -> usize {
        self.log.len()
    }

    /// The voters, as this one knows them; empty before it knows any. While they change, those that are to be.
    pub fn members(&self) -> &Members {
        self.log.voters().members()
    }

    /// Whether a majority of the voters before is wanted as well, for a moment.
    pub fn is_changing(&self) -> bool {
        self.log.voters().are_changing()
    }

    /// Whether it is a voter, by all that it knows to be agreed on.
    pub fn is_member(&self) -> bool {
        self.log.voters_at() <= self.agreed && !self.is_changing() && self.votes()
    }

    /// Whether its vote counts, if what its log says comes to be agreed on.
    fn votes(&self) -> bool {
        self.log.voters().has(&self.id)
    }

    /// Who is believed to hold the duty.
    pub fn holder(&self) -> Option<&Id> {
        self.holder.as_ref()
    }

    pub fn is_holder(&self) -> bool {
        matches!(self.role, Role::Holder(_))
    }

    /// The holder alone: its term is its own beyond doubt until then, and nobody else's word counts before.
    pub fn lease(&self) -> Option<Time> {
        let Role::Holder(h) = &self.role else { return None };
        let sure = self.agreed >= h.first && !h.named;
        sure.then(|| self.majority(h).saturating_add(LEASE))
    }

    /// When it last knew of a majority: heard its holder, or was answered by one.
    pub fn in_touch(&self) -> Option<Time> {
        match &self.role {
            Role::Holder(h) => Some(self.majority(h)),
            _ => self.heard,
        }
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Holder(h) => h.next_pulse,
            _ if !self.votes() || !self.works => Time::MAX,
            _ => self.stands_up,
        }
    }

    /// Takes what happened by `now` and appends what to do about it, in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Message(m) => self.message(now, m, out),
            Input::Propose { tag, word } => self.propose(now, tag, word, out),
            Input::Read { tag } => self.read(now, tag, out),
            Input::Knock { id, votes } => self.knock(now, &id, votes),
            Input::Found { members } => self.found(now, members, out),
            Input::HandOver => self.end(out),
            Input::Disk { works } => self.disk(now, works, out),
            Input::Tick => self.tick(now, out),
        }
        self.advance(now, out);
    }

    /// The log up to `place`, which must be agreed on, is this state from now on.
    pub fn compact(&mut self, place: Place, state: Vec<u8>) -> Option<Save> {
        if place > self.agreed || !self.log.compact(place, state) {
            return None;
        }
        Some(Save::Snapshot { snapshot: (**self.log.snapshot()).clone(), whole: false })
    }

    // ---- Time ----

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Holder(h) = &self.role {
            if now.saturating_sub(self.majority(h).max(h.elected)) > PATIENCE {
                return self.step_down(now, out);
            }
            if now >= h.next_pulse {
                if self.ends && !h.named {
                    self.hand_over(self.log.last().1, out);
                }
                self.pulse(now, out);
            }
        } else if now >= self.stands_up && self.votes() && self.works {
            self.stand(now, true, false, out);
        }
    }

    fn sit_down(&mut self, now: Time) {
        self.stands_up = now + PATIENCE + self.rng.u64(..PATIENCE);
    }

    // ---- Founding ----

    /// Its term may be another's already, who founded before; what it has promised there stands.
    fn found(&mut self, now: Time, members: Members, out: &mut Vec<Output>) {
        let blank = self.log.last().1 == 0;
        if !blank || !self.works || members.get(&self.id.name) != Some(&self.id.disk) {
            return;
        }
        let snapshot = Snapshot { place: 1, term: 1, members, state: Vec::new() };
        self.term = self.term.max(1);
        self.log = Log::new(snapshot.clone(), Vec::new());
        self.agreed = 1;
        out.push(Output::Save(Save::Snapshot { snapshot, whole: true }));
        self.save_term(out);
        // All of them found at once: one stands first.
        if self.log.voters().ids().first() == Some(&self.id) {
            self.stand(now, true, false, out);
        } else {
            self.sit_down(now);
        }
    }

    // ---- Elections ----

    /// Stands up for the duty; on trial first, so that one who was cut off does not disturb those who were not.
    fn stand(&mut self, now: Time, trial: bool, named: bool, out: &mut Vec<Output>) {
        self.sit_down(now);
        let mut term = self.term + 1;
        if !trial {
            self.term = term;
            self.vote = Some(self.id.clone());
            self.save_term(out);
            self.holder = None;
            term = self.term;
        }
        let given = BTreeSet::from([self.id.clone()]);
        self.role = Role::Candidate { trial, given };
        let last = self.log.last();
        for to in self.others() {
            self.send(to, term, Body::Ask { trial, named, last }, out);
        }
        self.count(now, out);
    }

    fn count(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Candidate { trial, given } = &self.role else { return };
        let mut voters = self.log.voters();
        let new;
        if self.has(Defect::NewMajorityAlone) {
            new = members::Voters::of(voters.members().clone());
            voters = &new;
        }
        if !voters.is_majority(given) {
            return;
        }
        if *trial {
            self.stand(now, false, false, out);
        } else {
            self.take_the_duty(now, out);
        }
    }

    fn take_the_duty(&mut self, now: Time, out: &mut Vec<Output>) {
        let first = self.log.last().1 + 1;
        let peers = self.others().into_iter().map(|id| (id, Peer::new(first)));
        let holder = Holder {
            peers: peers.collect(),
            rounds: VecDeque::new(),
            round: 0,
            elected: now,
            next_pulse: now,
            first,
            reads: Vec::new(),
            guests: BTreeMap::new(),
            leaving: BTreeMap::new(),
            named: false,
        };
        self.role = Role::Holder(Box::new(holder));
        self.holder = Some(self.id.clone());
        self.append(Said::Nothing, out);
        self.pulse(now, out);
    }

    fn step_down(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Holder(h) = std::mem::replace(&mut self.role, Role::Follower) {
            out.extend(h.reads.iter().map(|(tag, _)| Output::NotHolder { tag: *tag }));
            self.holder = None;
        }
        self.role = Role::Follower;
        self.sit_down(now);
    }

    /// Told to end: its duty is for another at once, its vote as soon as one waits for it.
    fn end(&mut self, out: &mut Vec<Output>) {
        self.ends = true;
        match &self.role {
            Role::Holder(h) if !h.named => self.hand_over(self.log.last().1, out),
            Role::Holder(_) => {}
            _ => self.leave(out),
        }
    }

    fn leave(&self, out: &mut Vec<Output>) {
        let holder = self.holder.clone().filter(|_| self.ends && self.votes());
        if let Some(holder) = holder {
            self.send(holder, self.term, Body::Leave, out);
        }
    }

    /// The leader names the voter that is furthest, of those that have the log up to `least`.
    fn hand_over(&mut self, least: Place, out: &mut Vec<Output>) {
        let Role::Holder(h) = &mut self.role else { return };
        let voters = self.log.voters();
        let ready = h.peers.iter().filter(|(id, p)| p.matched >= least && voters.has(id));
        let Some((to, _)) = ready.max_by_key(|(_, p)| (p.matched, p.heard)) else { return };
        let to = to.clone();
        h.named = true;
        let term = self.term;
        self.send(to, term, Body::Named, out);
    }

    /// A leader whose disk does not save has its duty taken over by one that has all that is agreed on.
    fn disk(&mut self, now: Time, works: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.works, works) == works {
            return;
        }
        if works {
            return self.sit_down(now);
        }
        self.hand_over(self.agreed, out);
        if matches!(self.role, Role::Follower) {
            return;
        }
        self.step_down(now, out);
    }

    // ---- Messages ----

    fn message(&mut self, now: Time, m: Message, out: &mut Vec<Output>) {
        // What is meant for a disk that is gone is nobody's.
        if m.to != self.id {
            return;
        }
        let asks = matches!(m.body, Body::Ask { .. });
        let named = matches!(m.body, Body::Ask { named: true, .. });
        // One who hears its holder votes for nobody, and learns no term of it.
        let hears = self.heard.is_some_and(|at| now.saturating_sub(at) < PATIENCE);
        let content = self.is_holder() || hears || now < self.silent_until;
        if asks && content && !named && m.term > self.term {
            return;
        }
        let trial = matches!(m.body, Body::Ask { trial: true, .. } | Body::Vote { trial: true, given: true });
        if m.term > self.term && !trial {
            self.learn_term(now, m.term, out);
        }
        match m.body {
            Body::Ask { trial, last, .. } => self.asked(now, m.from, m.term, trial, last, out),
            Body::Vote { trial, given } => self.voted(now, &m.from, m.term, trial, given, out),
            Body::Append { .. } | Body::Part { .. } | Body::Named if m.term < self.term => {
                // So that it learns the term.
                let up_to = 0;
                self.send(m.from, self.term, Body::Missed { round: 0, hint: up_to }, out);
            }
            Body::Append { before, entries, agreed, round } => {
                self.hear(now, &m.from);
                self.appended(m.from, before, entries, agreed, round, out);
            }
            Body::Part { whole, size, at, bytes, round } => {
                self.hear(now, &m.from);
                self.part(m.from, whole, (size, at, bytes), round, out);
            }
            Body::Named => {
                if self.votes() && self.works {
                    self.stand(now, false, true, out);
                }
            }
            Body::Took { round, up_to } if m.term == self.term => {
                let last = self.log.last().1;
                self.answered(now, &m.from, round, |p| p.took(up_to, last), out);
            }
            Body::Missed { round, hint } if m.term == self.term => {
                let last = self.log.last().1;
                self.answered(now, &m.from, round, |p| p.missed(hint, last), out);
            }
            Body::Got { place, up_to, round } if m.term == self.term => {
                self.answered(now, &m.from, round, |p| p.got(now, place, up_to, round), out);
            }
            Body::Took { .. } | Body::Missed { .. } | Body::Got { .. } => {}
            Body::Leave => {
                let is_voter = self.log.voters().has(&m.from);
                if let Role::Holder(h) = &mut self.role {
                    h.leaving.extend(is_voter.then_some((m.from, now)));
                }
            }
        }
    }

    fn learn_term(&mut self, now: Time, term: Term, out: &mut Vec<Output>) {
        self.term = term;
        self.vote = None;
        self.save_term(out);
        self.step_down(now, out);
        self.holder = None;
    }

    fn hear(&mut self, now: Time, holder: &Id) {
        self.role = Role::Follower;
        self.holder = Some(holder.clone());
        self.heard = Some(now);
        self.sit_down(now);
    }

    fn asked(
        &mut self,
        now: Time,
        from: Id,
        term: Term,
        trial: bool,
        last: (Term, Place),
        out: &mut Vec<Output>,
    ) {
        if !self.works {
            return;
        }
        let free = if trial {
            term > self.term
        } else {
            term == self.term && self.vote.as_ref().is_none_or(|v| *v == from) && !self.is_holder()
        };
        let given = free && last >= self.log.last();
        if given && !trial {
            if self.vote.is_none() {
                self.vote = Some(from.clone());
                self.save_term(out);
            }
            self.sit_down(now);
        }
        let answer = if trial && given { term } else { self.term };
        self.send(from, answer, Body::Vote { trial, given }, out);
    }

    fn voted(&mut self, now: Time, from: &Id, term: Term, trial: bool, given: bool, out: &mut Vec<Output>) {
        let wanted = if trial { self.term + 1 } else { self.term };
        if !self.log.voters().has(from) {
            return;
        }
        if let Role::Candidate { trial: t, given: all } = &mut self.role {
            if *t == trial && given && term == wanted {
                all.insert(from.clone());
                self.count(now, out);
            }
        }
    }

    // ---- Following ----

    fn appended(
        &mut self,
        from: Id,
        before: (Place, Term),
        entries: Vec<Entry>,
        agreed: Place,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        if !self.log.has(before.0, before.1) {
            let hint = self.log.last().1.min(before.0.saturating_sub(1)).max(self.agreed);
            return self.send(from, self.term, Body::Missed { round, hint }, out);
        }
        let up_to = before.0 + entries.len() as Place;
        if let Some((from, entries)) = self.log.take(before.0, entries) {
            out.push(Output::Save(Save::Entries { from, entries }));
        }
        self.took_up_to(from, round, up_to, out);
        self.leave(out);
        self.agree(agreed.min(up_to), out);
    }

    fn part(
        &mut self,
        from: Id,
        whole: Whole,
        (size, at, bytes): (u64, u64, Vec<u8>),
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let place = whole.place();
        let here = match &whole {
            Whole::Snapshot { .. } => self.agreed >= place,
            Whole::Word { term, .. } => self.log.has(place, *term),
        };
        if here {
            let up_to = if self.agreed >= place { self.agreed } else { place };
            return self.took_up_to(from, round, up_to, out);
        }
        if let Whole::Word { before, .. } = &whole {
            if !self.log.has(before.0, before.1) {
                // It finds out which with the next pulse.
                return self.appended(from, *before, Vec::new(), 0, round, out);
            }
        }
        match Incoming::take(&mut self.incoming, self.term, whole, size, at, &bytes) {
            Come::Nonsense => {}
            Come::Some(up_to) => self.send(from, self.term, Body::Got { place, up_to, round }, out),
            Come::All(Whole::Snapshot { place, term, members }, state) => {
                self.install(from, Snapshot { place, term, members, state }, round, out);
            }
            Come::All(Whole::Word { before, term }, word) => {
                let entries = vec![Entry { term, said: Said::Word(word) }];
                self.appended(from, before, entries, 0, round, out);
            }
        }
    }

    /// Says so, if it is on the disk; else just that it goes on behind that place.
    fn took_up_to(&self, to: Id, round: u64, up_to: Place, out: &mut Vec<Output>) {
        // A sign of life says nothing of the log.
        let body = if self.works || up_to == 0 {
            Body::Took { round, up_to }
        } else {
            Body::Missed { round, hint: up_to }
        };
        self.send(to, self.term, body, out);
    }

    fn install(&mut self, from: Id, snapshot: Snapshot, round: u64, out: &mut Vec<Output>) {
        let place = snapshot.place;
        if place > self.agreed {
            let whole = !self.log.has(place, snapshot.term);
            let state = snapshot.state.clone();
            out.push(Output::Save(Save::Snapshot { snapshot: snapshot.clone(), whole }));
            self.log.install(snapshot, whole);
            self.agreed = place;
            out.push(Output::Install { place, state });
        }
        self.took_up_to(from, round, self.agreed.max(place), out);
    }

    /// All up to there is agreed on.
    fn agree(&mut self, up_to: Place, out: &mut Vec<Output>) {
        while self.agreed < up_to {
            self.agreed += 1;
            let Some(entry) = self.log.get(self.agreed) else { unreachable!("agreed on beyond the log") };
            if let Said::Word(word) = &entry.said {
                let (place, term, word) = (self.agreed, entry.term, word.clone());
                out.push(Output::Apply { place, term, word });
            }
        }
    }

    // ---- Holding ----

    fn propose(&mut self, now: Time, tag: u64, word: Vec<u8>, out: &mut Vec<Output>) {
        if !matches!(&self.role, Role::Holder(h) if !h.named) {
            return out.push(Output::NotHolder { tag });
        }
        let place = self.append(Said::Word(word), out);
        out.push(Output::Proposed { tag, place, term: self.term });
        self.pulse(now, out);
    }

    fn read(&mut self, now: Time, tag: u64, out: &mut Vec<Output>) {
        let Role::Holder(h) = &mut self.role else { return out.push(Output::NotHolder { tag }) };
        h.reads.push((tag, now));
        self.pulse(now, out);
    }

    fn append(&mut self, said: Said, out: &mut Vec<Output>) -> Place {
        let from = self.log.last().1 + 1;
        let entries = vec![Entry { term: self.term, said }];
        self.log.take(from - 1, entries.clone());
        out.push(Output::Save(Save::Entries { from, entries }));
        from
    }

    /// A round: each other gets what it lacks, as far as is known.
    fn pulse(&mut self, now: Time, out: &mut Vec<Output>) {
        let (id, term, agreed) = (self.id.clone(), self.term, self.agreed);
        let Role::Holder(h) = &mut self.role else { return };
        h.next_pulse = now + PULSE;
        h.round += 1;
        h.rounds.push_back((h.round, now));
        if h.rounds.len() > ROUNDS {
            h.rounds.pop_front();
        }
        let round = h.round;
        for (to, peer) in &mut h.peers {
            for body in peer.fill(now, &self.log, agreed, round, true) {
                out.push(Output::Send(Message { from: id.clone(), to: to.clone(), term, body }));
            }
        }
    }

    /// One has answered: it may be sent more.
    fn answered(
        &mut self,
        now: Time,
        from: &Id,
        round: u64,
        answer: impl FnOnce(&mut Peer),
        out: &mut Vec<Output>,
    ) {
        let (id, term, agreed, last) = (self.id.clone(), self.term, self.agreed, self.log.last().1);
        let Role::Holder(h) = &mut self.role else { return };
        let Some(peer) = h.peers.get_mut(from) else { return };
        let began = h.rounds.iter().find(|(n, _)| *n == round).map(|(_, at)| *at);
        peer.heard = began.unwrap_or(0).max(peer.heard);
        answer(peer);
        if peer.lacks(last) {
            for body in peer.fill(now, &self.log, agreed, h.round, false) {
                out.push(Output::Send(Message { from: id.clone(), to: from.clone(), term, body }));
            }
        }
    }

    /// The latest start of a round that a majority has answered; 0 before the first.
    fn majority(&self, h: &Holder) -> Time {
        self.log.voters().reached(|id| self.heard_of(h, id)).unwrap_or(0)
    }

    fn heard_of(&self, h: &Holder, id: &Id) -> Time {
        if *id == self.id {
            return Time::MAX;
        }
        h.peers.get(id).map_or(0, |p| p.heard)
    }

    /// What a majority has is agreed on; what waits for it goes on; who knocked and has caught up is taken in.
    fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Holder(h) = &self.role else { return };
        let matched = |id: &Id| match h.peers.get(id) {
            _ if *id == self.id => self.log.last().1,
            peer => peer.map_or(0, |p| p.matched),
        };
        let up_to = self.log.voters().reached(matched).unwrap_or(0);
        // Of an earlier term's only what stands before an entry of this one's is safe.
        if up_to > self.agreed && self.log.term(up_to) == Some(self.term) {
            self.agree(up_to, out);
            // Others hear of it at once.
            self.pulse(now, out);
        }
        let Role::Holder(h) = &self.role else { return };
        let (since, known) = (self.majority(h), self.agreed >= h.first);
        let Role::Holder(h) = &mut self.role else { return };
        if known {
            h.reads.retain(|(tag, at)| {
                let sure = since >= *at && *at > 0;
                if sure {
                    out.push(Output::Newest { tag: *tag });
                }
                !sure
            });
            self.members_due(now, out);
        }
    }

    // ---- Members ----

    fn knock(&mut self, now: Time, id: &Id, votes: bool) {
        let known = self.log.voters().has(id);
        let Role::Holder(h) = &mut self.role else { return };
        let room = h.guests.len() < GUESTS || h.guests.contains_key(&id.name);
        if !known && id.name != self.id.name && room {
            h.guests.insert(id.name.clone(), (id.disk, now, votes));
        }
    }

    /// Takes the next step of a change of voters, begins one if that is better, or leaves if it is no voter any more. Only
    /// once the step before is agreed on, and something of this term.
    fn members_due(&mut self, now: Time, out: &mut Vec<Output>) {
        let voters = self.log.voters();
        if self.log.voters_at() > self.agreed && !self.has(Defect::JointLeftEarly) {
            return;
        }
        if voters.are_changing() {
            let said = Said::Members(voters.members().clone());
            self.append(said, out);
            return self.pulse(now, out);
        }
        if !voters.has(&self.id) {
            self.hand_over(self.log.last().1, out);
            return self.step_down(now, out);
        }
        let (voters, next) = (voters.clone(), self.log.last().1 + 1);
        let Role::Holder(h) = &mut self.role else { return };
        h.guests.retain(|name, (disk, at, _)| {
            voters.members().get(name) != Some(disk) && now.saturating_sub(*at) < 10 * PATIENCE
        });
        h.leaving.retain(|id, at| voters.has(id) && now.saturating_sub(*at) < GONE);
        let is_guest = |id: &Id| h.guests.get(&id.name).is_some_and(|g| g.0 == id.disk);
        h.peers.retain(|id, _| voters.has(id) || is_guest(id));
        for (name, (disk, ..)) in &h.guests {
            let id = Id { name: name.clone(), disk: *disk };
            h.peers.entry(id).or_insert_with(|| Peer::new(next));
        }
        let Role::Holder(h) = &self.role else { return };
        let Some(new) = self.better(now, h).filter(|_| !h.named) else { return };
        let old = voters.members().clone();
        if self.has(Defect::NoJoint) {
            self.append(Said::Members(new), out);
        } else {
            self.append(Said::Joint { old, new }, out);
        }
        self.pulse(now, out);
    }

    /// The voters as they should be, if that is better.
    fn better(&self, now: Time, h: &Holder) -> Option<Members> {
        let caught_up = |id: &Id| {
            let peer = h.peers.get(id)?;
            let has_all = peer.matched >= self.agreed || self.has(Defect::NotCaughtUp);
            (has_all && now.saturating_sub(peer.heard) < PATIENCE).then_some(())
        };
        let waiting = h.guests.iter().filter(|(_, (.., votes))| *votes).filter_map(|(name, (disk, ..))| {
            let id = Id { name: name.clone(), disk: *disk };
            caught_up(&id).map(|()| (id.name, id.disk))
        });
        let health = |id: &Id| {
            if *id == self.id {
                return if self.ends { Health::Leaving } else { Health::There };
            }
            let unheard = now.saturating_sub(self.heard_of(h, id).max(h.elected));
            match () {
                () if unheard >= GONE => Health::Gone,
                () if h.leaving.contains_key(id) => Health::Leaving,
                () if unheard >= PATIENCE => Health::Silent,
                () if self.heard_of(h, id) == 0 => Health::New,
                () => Health::There,
            }
        };
        better(self.log.voters().members(), &waiting.collect(), health)
    }

    // ---- Helpers ----

    fn others(&self) -> BTreeSet<Id> {
        let mut others = self.log.voters().ids();
        others.remove(&self.id);
        others
    }

    /// Whether this defect was planted; never in what ships.
    fn has(&self, _defect: Defect) -> bool {
        #[cfg(feature = "defects")]
        return self.defect == Some(_defect);
        #[cfg(not(feature = "defects"))]
        false
    }

    fn save_term(&self, out: &mut Vec<Output>) {
        out.push(Output::Save(Save::Term { term: self.term, vote: self.vote.clone() }));
    }

    fn send(&self, to: Id, term: Term, body: Body, out: &mut Vec<Output>) {
        out.push(Output::Send(Message { from: self.id.clone(), to, term, body }));
    }
}
