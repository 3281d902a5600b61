//! As of when a prompter holds all that was agreed on, as far as it can prove that. To have heard the leader proves little: the
//! word may have lain in a socket while this machine stood still, the log may lack what the word rests on, and a leader that
//! does not hear this machine gets no answer to that. Proof is a round trip: an ask of this prompter's, which the leader
//! answered with how long ago a majority had answered itself, and how far the log was agreed on then. No I/O.

use std::collections::VecDeque;

/// Nanoseconds on the own steady clock.
pub type Time = u64;

/// Asks, and answers that wait for the log, which are remembered at once: the oldest give way.
const MOST: usize = 32;

#[derive(Clone, Debug, Default)]
pub struct Contact {
    number: u64,
    /// Asks that have no answer yet: number and when it was sent.
    asked: VecDeque<(u64, Time)>,
    /// Answers that rest on a place of the log which is not applied here yet: the place, and what it will prove.
    waiting: VecDeque<(u64, Time)>,
    applied: u64,
    proven: Option<Time>,
}

impl Contact {
    /// An ask goes out now to whoever can prove it: its number.
    pub fn ask(&mut self, now: Time) -> u64 {
        self.number += 1;
        keep(&mut self.asked, (self.number, now));
        self.number
    }

    /// The leader's answer: a majority was in contact with it `age` before it answered, and all that was agreed on by then
    /// stands up to `agreed` in the log.
    pub fn told(&mut self, number: u64, age: Time, agreed: u64) {
        let Some(n) = self.asked.iter().position(|(asked, _)| *asked == number) else { return };
        let Some((_, sent)) = self.asked.remove(n) else { return };
        // It was answered after it was sent, so that the majority was in contact after this, too.
        let Some(at) = sent.checked_sub(age) else { return };
        if agreed <= self.applied {
            self.prove(at);
        } else {
            keep(&mut self.waiting, (agreed, at));
        }
    }

    /// The log is applied up to here.
    pub fn applied(&mut self, place: u64) {
        self.applied = self.applied.max(place);
        let applied = self.applied;
        let due = self.waiting.iter().filter(|(agreed, _)| *agreed <= applied).map(|(_, at)| *at).max();
        self.waiting.retain(|(agreed, _)| *agreed > applied);
        if let Some(at) = due {
            self.prove(at);
        }
    }

    /// This one leads, and a majority was in contact with it then.
    pub fn prove(&mut self, at: Time) {
        self.proven = self.proven.max(Some(at));
    }

    /// All that was agreed on before then is held here; none: nothing is known.
    pub fn proven(&self) -> Option<Time> {
        self.proven
    }

    pub fn place(&self) -> u64 {
        self.applied
    }
}

fn keep<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() == MOST {
        queue.pop_front();
    }
    queue.push_back(item);
}
