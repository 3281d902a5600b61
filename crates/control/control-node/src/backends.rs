//! The cell's backends: their beats, first-hand and passed on, and who is silent.

use crate::{Defect, Effect, Prompter, Time, MS};
use messages::message::{Change, Peer};
use registry::{Fact, Heard};

/// What was heard of beats is passed on so often.
const BEATS: Time = 400 * MS;
/// Without contact with a majority for so long, or looked at so late, the cell was deaf. A backend that was last heard of by others
/// shortly before may have been silent here for a beat and a half by then, and its life ends after three and a half.
const DEAF: Time = 1500 * MS;

impl Prompter {
    /// `first_hand`: from the backend itself, so that the others have yet to hear of it.
    pub(crate) fn beat(&mut self, fact: Fact, first_hand: bool) {
        let heard = self.cell.beat(self.now, fact.clone());
        if matches!(heard, Heard::New | Heard::Changed) {
            self.change(Change::Backend(fact.clone()));
        }
        if first_hand {
            self.cell.has_beat(self.now, &fact.id);
            match heard {
                Heard::New | Heard::Changed => self.fresh.0.push(fact),
                Heard::Same => self.fresh.1.push((fact.id, fact.sequence)),
                Heard::Late | Heard::Full => {}
            }
        }
    }

    /// A backend's life is over.
    pub(crate) fn over(&mut self, instance: &str) {
        if self.cell.over(instance) {
            self.change(Change::Over(instance.into()));
        }
    }

    /// Beats that another prompter passes on. Who is not known here, though it is there, is asked for: this prompter may have heard
    /// the last of it a little sooner than the others, and ended its life alone.
    pub(crate) fn beats(&mut self, from: &str, facts: Vec<Fact>, again: Vec<(String, u64)>) {
        facts.into_iter().for_each(|f| self.beat(f, false));
        let (now, cell) = (self.now, &mut self.cell);
        let unknown = again.into_iter().filter(|(id, sequence)| !cell.again(now, id, *sequence));
        let instances: Vec<String> = unknown.map(|(id, _)| id).collect();
        if !instances.is_empty() && !self.has(Defect::UnknownIgnored) {
            self.tell(from, Peer::Unknown { instances });
        }
    }

    /// Another prompter does not know these.
    pub(crate) fn beats_wanted(&mut self, from: &str, instances: &[String]) {
        let facts: Vec<Fact> = instances.iter().filter_map(|id| self.cell.get(id).cloned()).collect();
        if !facts.is_empty() {
            self.tell(from, Peer::Beats { facts, again: Vec::new() });
        }
    }

    /// All that live, for a prompter that a link has just been made to.
    pub fn all_beats(&self, now: Time) -> Peer {
        Peer::Beats { facts: self.cell.living(now).cloned().collect(), again: Vec::new() }
    }

    /// Which lives there are, and a number that changes with them.
    pub fn lives(&self) -> (u64, Vec<Fact>) {
        let lives = |f: &&Fact| !f.draining && !self.book.is_leaving(&f.id);
        (self.news.end().at.wrapping_add(1), self.cell.facts().filter(lives).cloned().collect())
    }

    /// Passes on what was heard, and ends the lives of those who are silent, a few times a second.
    pub(crate) fn pass_beats_on(&mut self) {
        if self.sweeps_at > self.now {
            return;
        }
        self.sweeps_at = self.now + BEATS;
        let (facts, again) = std::mem::take(&mut self.fresh);
        if !facts.is_empty() || !again.is_empty() {
            self.effects.push(Effect::TellAll { peer: Peer::Beats { facts, again } });
        }
        self.sweep();
    }

    /// While this prompter was cut off from the majority, or stood still, others may have heard them.
    fn sweep(&mut self) {
        let stood_still = self.now.saturating_sub(std::mem::replace(&mut self.swept, self.now)) > DEAF;
        if (stood_still || self.untouched_for(self.now) >= DEAF) && !self.has(Defect::DeafEndsLives) {
            return self.cell.was_deaf(self.now);
        }
        let over = self.cell.sweep(self.now);
        if !over.is_empty() {
            log::info!("backends: {} silent ones are over", over.len());
            over.into_iter().for_each(|id| self.change(Change::Over(id)));
        }
    }
}
