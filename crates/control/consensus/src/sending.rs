//! What a holder sends to another: entries as far as they go into a message, what does not in parts, and never more
//! unanswered than the other takes in a fifth of a second, so that a pulse behind it still comes in time.

use crate::log::{size, Log};
use crate::words::{Body, Place, Said, Snapshot, Time, Whole};
use crate::{MS, PATIENCE, PULSE};
use std::collections::VecDeque;
use std::sync::Arc;

/// The most bytes of entries or of a state in one message: 66 ms on a link of 2 Mbit/s.
pub(crate) const PART: usize = 16 << 10;
/// Unanswered bytes to one other: at first, and at most.
const WINDOW: usize = 4 * PART;
const MOST_WINDOW: usize = 64 * PART;
/// A link is taken to carry at least so many bytes a second, when it is judged whether an answer is overdue.
const SLOWEST: u64 = 64 << 10;
/// The most bytes of a state or a word that is taken in.
const MOST_WHOLE: u64 = 24 << 20;

/// What a holder knows of another.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Its log is known to be ours up to there.
    pub matched: Place,
    /// What is sent next.
    pub next: Place,
    /// What went before here is not counted as under way.
    floor: Place,
    /// The start of the latest round that it answered.
    pub heard: Time,
    window: usize,
    transfer: Option<Transfer>,
}

/// Something that is sent in parts.
#[derive(Clone, Debug)]
struct Transfer {
    whole: Whole,
    /// What is sent, if it is a state: kept until it is there, for the log may go on meanwhile.
    snapshot: Option<Arc<Snapshot>>,
    sent: u64,
    acknowledged: u64,
    /// The latest round that was answered with more than before.
    answered: u64,
    /// The latest answer, or the start.
    moved: Time,
    /// Where each part that is under way ends, and when it went.
    under_way: VecDeque<(u64, Time)>,
    /// The window was made smaller for what went before here.
    slowed: u64,
}

impl Peer {
    pub fn new(next: Place) -> Self {
        Peer { matched: 0, next, floor: next, heard: 0, window: WINDOW, transfer: None }
    }

    /// What is on its way to it in parts, if anything: the place, and how many bytes it has.
    #[cfg(feature = "defects")]
    pub fn transfer(&self) -> Option<(Place, u64)> {
        self.transfer.as_ref().map(|t| (t.whole.place(), t.acknowledged))
    }

    /// What it is to be sent now; with `pulse` something in any case.
    pub fn fill(&mut self, now: Time, log: &Log, agreed: Place, round: u64, pulse: bool) -> Vec<Body> {
        let mut bodies = Vec::new();
        self.look_again(now, log);
        loop {
            if self.transfer.is_some() {
                self.parts(now, log, round, &mut bodies);
                break;
            }
            let Some(before) = log.term(self.next - 1).filter(|_| self.next > log.start()) else {
                self.begin(now, log, None);
                continue;
            };
            let under_way = log.bytes(self.floor.max(self.matched + 1), self.next);
            let room = PART.min(self.window.saturating_sub(under_way));
            let mut entries = log.from(self.next, room);
            if entries.is_empty() && under_way == 0 {
                // Only words go in parts.
                let other = log.get(self.next).filter(|e| !matches!(e.said, Said::Word(_)));
                entries.extend(other.cloned());
            }
            let before = (self.next - 1, before);
            if entries.is_empty() {
                // One that does not go into a message, once all before it is there.
                let large = log.get(self.next).filter(|e| {
                    size(e) > PART && matches!(e.said, Said::Word(_)) && self.matched + 1 == self.next
                });
                if let Some(entry) = large {
                    self.begin(now, log, Some(Whole::Word { before, term: entry.term }));
                    continue;
                }
                if pulse && bodies.is_empty() {
                    bodies.push(Body::Append { before, entries, agreed, round });
                }
                break;
            }
            self.next += entries.len() as Place;
            bodies.push(Body::Append { before, entries, agreed, round });
        }
        if pulse && bodies.is_empty() {
            // It takes this as a sign of life and as nothing else.
            bodies.push(Body::Append { before: (0, 0), entries: Vec::new(), agreed: 0, round });
        }
        bodies
    }

    /// Its log is ours up to there.
    pub fn took(&mut self, up_to: Place, last: Place) {
        self.matched = self.matched.max(up_to.min(last));
        self.next = self.next.max(self.matched + 1);
    }

    /// Its log is not ours where we took it to be, or not on its disk; it may be up to there.
    pub fn missed(&mut self, hint: Place, last: Place) {
        if self.transfer.as_ref().is_some_and(|t| t.snapshot.is_some() && hint < t.whole.place()) {
            return;
        }
        self.transfer = None;
        self.next = (hint + 1).clamp(self.matched + 1, last + 1);
        self.floor = self.next;
    }

    /// Whether there is more for it than a pulse brings.
    pub fn lacks(&self, last: Place) -> bool {
        self.transfer.is_some() || self.next <= last
    }

    fn begin(&mut self, now: Time, log: &Log, word: Option<Whole>) {
        let (whole, snapshot) = match word {
            Some(whole) => (whole, None),
            None => {
                let s = log.snapshot().clone();
                let (place, term, members) = (s.place, s.term, s.members.clone());
                (Whole::Snapshot { place, term, members }, Some(s))
            }
        };
        let under_way = VecDeque::new();
        let transfer = Transfer {
            whole,
            snapshot,
            sent: 0,
            acknowledged: 0,
            answered: 0,
            moved: now,
            under_way,
            slowed: 0,
        };
        self.transfer = Some(transfer);
    }

    /// Gives up what is not wanted any more, and goes back to where the other is if it has not answered for long.
    fn look_again(&mut self, now: Time, log: &Log) {
        let Some(t) = &mut self.transfer else { return };
        let place = t.whole.place();
        let gone = t.snapshot.is_none() && place <= log.start();
        if self.matched >= place || gone {
            self.next = self.matched + 1;
            self.transfer = None;
            return;
        }
        let most = PATIENCE + (t.sent - t.acknowledged) * 1000 * MS / SLOWEST;
        if !t.under_way.is_empty() && now.saturating_sub(t.moved) > most {
            (t.sent, t.moved) = (t.acknowledged, now);
            t.under_way.clear();
            self.window = (self.window / 2).max(PART);
        }
    }

    fn parts(&mut self, now: Time, log: &Log, round: u64, bodies: &mut Vec<Body>) {
        let Some(t) = &mut self.transfer else { return };
        let all: &[u8] = match (&t.snapshot, log.get(t.whole.place()).map(|e| &e.said)) {
            (Some(snapshot), _) => &snapshot.state,
            (None, Some(Said::Word(word))) => word,
            (None, _) => return,
        };
        let size = all.len() as u64;
        // An empty state goes in one part, too.
        while t.sent < size || (size == 0 && t.under_way.is_empty()) {
            if (t.sent - t.acknowledged) as usize + PART > self.window {
                break;
            }
            let at = t.sent;
            let bytes = all[at as usize..(at as usize + PART).min(all.len())].to_vec();
            t.sent += bytes.len() as u64;
            t.under_way.push_back((t.sent, now));
            bodies.push(Body::Part { whole: t.whole.clone(), size, at, bytes, round });
        }
    }

    /// It has so many bytes of what is sent in parts, as of this round.
    pub fn got(&mut self, now: Time, place: Place, up_to: u64, round: u64) {
        let Some(t) = self.transfer.as_mut().filter(|t| t.whole.place() == place) else { return };
        if up_to < t.acknowledged && round > t.answered {
            // It has begun anew meanwhile: what it had is gone.
            (t.sent, t.acknowledged, t.answered, t.moved, t.slowed) = (up_to, up_to, round, now, 0);
            t.under_way.clear();
            return;
        }
        if up_to <= t.acknowledged {
            return;
        }
        (t.acknowledged, t.answered, t.moved) = (up_to, t.answered.max(round), now);
        t.sent = t.sent.max(up_to);
        let mut sent_at = None;
        while let Some((end, at)) = t.under_way.front().copied().filter(|(end, _)| *end <= up_to) {
            sent_at = (end == up_to).then_some(at);
            t.under_way.pop_front();
        }
        let took = sent_at.map_or(PULSE, |at| now.saturating_sub(at));
        if took < PULSE {
            self.window = (self.window + PART).min(MOST_WINDOW);
        } else if took > 2 * PULSE && up_to > t.slowed {
            self.window = (self.window / 2).max(PART);
            t.slowed = t.sent;
        }
    }
}

/// What comes in parts.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    /// The holder's term: another may have written the same state otherwise.
    term: u64,
    whole: Whole,
    size: u64,
    bytes: Vec<u8>,
}

/// What has come of a part.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Come {
    /// So many bytes from the start on are here.
    Some(u64),
    All(Whole, Vec<u8>),
    /// It is nothing that could be taken in.
    Nonsense,
}

impl Incoming {
    /// Takes a part; what was there of something else goes.
    pub fn take(
        held: &mut Option<Incoming>,
        term: u64,
        whole: Whole,
        size: u64,
        at: u64,
        part: &[u8],
    ) -> Come {
        if size > MOST_WHOLE || at.saturating_add(part.len() as u64) > size {
            return Come::Nonsense;
        }
        let same = |i: &Incoming| i.term == term && i.whole == whole && i.size == size;
        if !held.as_ref().is_some_and(same) {
            *held = Some(Incoming { term, whole: whole.clone(), size, bytes: Vec::new() });
        }
        let Some(incoming) = held else { return Come::Nonsense };
        if at == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(part);
        }
        let have = incoming.bytes.len() as u64;
        if have < size {
            return Come::Some(have);
        }
        let bytes = held.take().map(|i| i.bytes).unwrap_or_default();
        Come::All(whole, bytes)
    }
}
