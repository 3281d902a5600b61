//! As of when a prompter holds all that was agreed on, as far as it can prove that. To have heard the leader proves little: the
//! word may have lain in a socket while this machine stood still, the log may lack what the word rests on, and a leader that
//! does not hear this machine gets no answer to that. Proof is a round trip: an ask of this prompter's, which the leader
//! answered with how long ago a majority had answered itself, and how far the log was agreed on then. No I/O.

use std::collections::VecDeque;

/// Nanoseconds on the own steady clock.
pub type Time = u64;

/// Asks, and answers that wait for the log, which are remembered at once: the oldest give way.
const MAX_OUTSTANDING: usize = 32;

#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    last_request: u64,
    /// Asks that have no answer yet: number and when it was sent.
    requests: VecDeque<(u64, Time)>,
    /// Answers that rest on a place of the log which is not applied here yet: the place, and what it will prove.
    unapplied_proofs: VecDeque<(u64, Time)>,
    applied_index: u64,
    proven_at: Option<Time>,
}

impl QuorumContact {
    /// An ask goes out now to whoever can prove it: its number.
    pub fn request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        push_bounded(&mut self.requests, (self.last_request, now));
        self.last_request
    }

    /// The leader's answer: a majority was in contact with it `age` before it answered, and all that was agreed on by then
    /// stands up to `agreed` in the log.
    pub fn on_response(&mut self, number: u64, age: Time, agreed: u64) {
        let Some(n) = self.requests.iter().position(|(asked, _)| *asked == number) else { return };
        let Some((_, sent)) = self.requests.remove(n) else { return };
        // It was answered after it was sent, so that the majority was in contact after this, too.
        let Some(at) = sent.checked_sub(age) else { return };
        if agreed <= self.applied_index {
            self.prove(at);
        } else {
            push_bounded(&mut self.unapplied_proofs, (agreed, at));
        }
    }

    /// The log is applied up to here.
    pub fn on_applied(&mut self, place: u64) {
        self.applied_index = self.applied_index.max(place);
        let applied = self.applied_index;
        let due =
            self.unapplied_proofs.iter().filter(|(agreed, _)| *agreed <= applied).map(|(_, at)| *at).max();
        self.unapplied_proofs.retain(|(agreed, _)| *agreed > applied);
        if let Some(at) = due {
            self.prove(at);
        }
    }

    /// This one leads, and a majority was in contact with it then.
    pub fn prove(&mut self, at: Time) {
        self.proven_at = self.proven_at.max(Some(at));
    }

    /// All that was agreed on before then is held here; none: nothing is known.
    pub fn proven_at(&self) -> Option<Time> {
        self.proven_at
    }

    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() == MAX_OUTSTANDING {
        queue.pop_front();
    }
    queue.push_back(item);
}
