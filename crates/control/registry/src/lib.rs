//! Which backends there are, by their beats: a life each, told apart by its id. Soft state: a prompter that starts anew
//! has it again within a beat's time. Who is leaving is not for this room to remember; it is agreed on elsewhere. No I/O.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Nanoseconds on the caller's steady clock.
pub type Time = u64;

/// What a backend says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// One life's.
    pub id: String,
    pub service: String,
    /// Where it takes requests.
    pub address: String,
    pub zone: String,
    /// Of its software.
    pub version: String,
    pub slots: u32,
    /// It wants no new work.
    pub draining: bool,
    /// How much longer it is slow from its start, in ms.
    pub cold_ms: u32,
    /// Grows with each call.
    pub sequence: u64,
}

/// What a beat has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A life that was not known.
    New,
    /// Its state, or what it says of itself.
    Changed,
    /// Nothing but when it was last heard.
    Same,
    /// Older than what is known.
    Late,
    /// There is no room for it.
    Full,
}

#[derive(Clone, Debug)]
struct Life {
    fact: Fact,
    /// Since when it has been silent.
    heard: Time,
    /// When it last beat, as far as that is known for certain.
    beat: Option<Time>,
}

/// A cell.
#[derive(Clone, Debug)]
pub struct Cell {
    lives: BTreeMap<String, Life>,
    /// After so long without a beat a life is over.
    patience: Time,
    born: Time,
}

/// More lives than any fleet has are a fault, or an attack.
const MOST: usize = 8192;

impl Cell {
    /// `beat`: how often backends are heard; `now`: since when beats can come.
    pub fn new(beat: Time, now: Time) -> Self {
        Cell { lives: BTreeMap::new(), patience: 3 * beat + beat / 2, born: now }
    }

    /// Whether it has listened for long enough to know all that live.
    pub fn is_whole(&self, now: Time) -> bool {
        now.saturating_sub(self.born) >= self.patience
    }

    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.lives.values().map(|l| &l.fact)
    }

    pub fn get(&self, id: &str) -> Option<&Fact> {
        self.lives.get(id).map(|l| &l.fact)
    }

    /// A beat, first-hand or from another cell's prompter. A state never goes back: who drains drains.
    pub fn beat(&mut self, now: Time, mut fact: Fact) -> Heard {
        let Some(life) = self.lives.get_mut(&fact.id) else {
            if self.lives.len() >= MOST {
                return Heard::Full;
            }
            // Whoever stood at its address is over: ids of one address follow one another.
            self.lives.retain(|_, l| l.fact.address != fact.address);
            self.lives.insert(fact.id.clone(), Life { fact, heard: now, beat: None });
            return Heard::New;
        };
        if fact.sequence < life.fact.sequence {
            return Heard::Late;
        }
        life.heard = now;
        fact.draining |= life.fact.draining;
        let same = Fact { sequence: fact.sequence, cold_ms: fact.cold_ms, ..life.fact.clone() } == fact;
        life.fact = fact;
        if same {
            Heard::Same
        } else {
            Heard::Changed
        }
    }

    /// Its beat was its own, and no older word of another's on it.
    pub fn has_beat(&mut self, now: Time, id: &str) {
        if let Some(life) = self.lives.get_mut(id) {
            life.beat = Some(now);
        }
    }

    /// Those that have beat of late. Of others nobody is to be told as if they lived: another may stand at their address by now.
    pub fn living(&self, now: Time) -> impl Iterator<Item = &Fact> {
        let of_late = self.patience / 2;
        let lives = move |l: &&Life| l.beat.is_some_and(|at| now.saturating_sub(at) <= of_late);
        self.lives.values().filter(lives).map(|l| &l.fact)
    }

    /// Another cell's prompter has heard it since. Whether it is known here.
    pub fn again(&mut self, now: Time, id: &str, sequence: u64) -> bool {
        let Some(life) = self.lives.get_mut(id) else { return false };
        if sequence >= life.fact.sequence {
            (life.fact.sequence, life.heard, life.beat) = (sequence, now, Some(now));
        }
        true
    }

    /// Its life is over. Whether it was known.
    pub fn over(&mut self, id: &str) -> bool {
        self.lives.remove(id).is_some()
    }

    /// Nobody could be heard until now: what was silent so far says nothing, and who lives is not known whole.
    pub fn was_deaf(&mut self, now: Time) {
        self.born = now;
        self.lives.values_mut().for_each(|l| l.heard = now);
    }

    /// Those who have not been heard for too long: their lives are over.
    pub fn sweep(&mut self, now: Time) -> Vec<String> {
        let late = self.lives.iter().filter(|(_, l)| now.saturating_sub(l.heard) >= self.patience);
        let late: Vec<String> = late.map(|(id, _)| id.clone()).collect();
        late.iter().for_each(|id| drop(self.lives.remove(id)));
        late
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn fact(id: &str, address: &str, sequence: u64) -> Fact {
        Fact { id: id.into(), address: address.into(), sequence, ..Fact::default() }
    }

    #[test]
    fn a_late_beat_changes_nothing_and_who_drains_drains() {
        let mut cell = Cell::new(S, 0);
        assert_eq!(cell.beat(0, fact("a", "x", 1)), Heard::New);
        let draining = Fact { draining: true, ..fact("a", "x", 4) };
        assert_eq!(cell.beat(S, draining), Heard::Changed);
        assert_eq!(cell.beat(S, fact("a", "x", 3)), Heard::Late);
        assert_eq!(cell.beat(S, fact("a", "x", 5)), Heard::Same);
        assert!(cell.get("a").unwrap().draining);
    }

    #[test]
    fn whoever_stood_at_an_address_is_over_when_another_comes_there() {
        let mut cell = Cell::new(S, 0);
        cell.beat(0, fact("a", "x", 9));
        assert_eq!(cell.beat(S, fact("b", "x", 1)), Heard::New);
        assert_eq!(cell.facts().map(|f| f.id.as_str()).collect::<Vec<_>>(), ["b"]);
    }

    /// `rehearsal`, seed 4119: a prompter told another of a life that it had not heard for long, and the one that stood at that address
    /// by then was taken for over.
    #[test]
    fn nobody_is_told_of_who_has_not_beat_of_late() {
        let mut cell = Cell::new(S, 0);
        cell.beat(0, fact("a", "x", 1));
        cell.beat(0, fact("b", "y", 1));
        cell.has_beat(0, "a");
        let living = |cell: &Cell, at| cell.living(at).map(|f| f.id.clone()).collect::<Vec<_>>();
        assert_eq!(living(&cell, S), ["a"], "of the other there was only another's word");
        cell.was_deaf(2 * S);
        assert!(living(&cell, 2 * S).is_empty(), "its time begins anew, and yet it may have ended");
        cell.again(2 * S, "b", 2);
        assert_eq!(living(&cell, 2 * S), ["b"]);
    }

    #[test]
    fn who_is_silent_is_over_and_a_young_cell_says_that_it_is() {
        let mut cell = Cell::new(S, 10 * S);
        cell.beat(10 * S, fact("a", "x", 1));
        cell.beat(10 * S, fact("b", "y", 1));
        assert!(!cell.is_whole(12 * S) && cell.is_whole(14 * S));
        assert!(cell.again(13 * S, "b", 2) && !cell.again(13 * S, "c", 2));
        assert_eq!(cell.sweep(14 * S), ["a"]);
        assert_eq!(cell.facts().count(), 1);
    }

    #[test]
    fn who_was_silent_while_nobody_could_be_heard_is_not_over() {
        let mut cell = Cell::new(S, 0);
        cell.beat(0, fact("a", "x", 1));
        // Cut off, or standing still, for twenty seconds.
        cell.was_deaf(20 * S);
        assert_eq!(cell.sweep(20 * S), Vec::<String>::new());
        assert!(!cell.is_whole(20 * S), "what others heard meanwhile is not known here");
        assert_eq!(cell.sweep(23 * S), Vec::<String>::new());
        assert_eq!(cell.sweep(24 * S), ["a"], "its time begins anew");
        assert!(cell.is_whole(24 * S));
    }
}
