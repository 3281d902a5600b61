//! When a node was last provably in contact with a quorum, and held all that was committed by then.
//!
//! To have heard the leader proves little: a message may have lain in a socket, and the log may be on its way. So a node
//! sends numbered requests; the answer says how long before it a majority had answered the leader, and how far the log was
//! committed then. It proves something once the log is applied up to there.

use std::collections::VecDeque;

/// Nanoseconds on the node's own steady clock.
pub type Time = u64;

/// Requests, and proofs that wait for the log, which are remembered at once; the oldest give way.
const MAX_OUTSTANDING: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    sent_at: Time,
}

/// A proof that holds once the log is applied far enough.
#[derive(Clone, Copy, Debug)]
struct UnappliedProof {
    index: u64,
    contact: Time,
}

/// What a node can prove of its contact with a quorum.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    last_request: u64,
    /// Requests without an answer.
    requests: VecDeque<Request>,
    unapplied_proofs: VecDeque<UnappliedProof>,
    applied_index: u64,
    last_contact: Option<Time>,
}

impl QuorumContact {
    /// A request goes out now: its number.
    pub fn request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        push_bounded(&mut self.requests, Request { number: self.last_request, sent_at: now });
        self.last_request
    }

    /// The answer to a request: a majority was in contact with the leader `age` before it, and all that was committed by
    /// then stands up to `commit_index`.
    pub fn on_response(&mut self, number: u64, age: Time, commit_index: u64) {
        let Some(n) = self.requests.iter().position(|request| request.number == number) else { return };
        let Some(request) = self.requests.remove(n) else { return };
        // It was answered after it was sent, so that the majority's contact is no older than this.
        let Some(contact) = request.sent_at.checked_sub(age) else { return };
        if commit_index <= self.applied_index {
            self.record_contact(contact);
        } else {
            push_bounded(&mut self.unapplied_proofs, UnappliedProof { index: commit_index, contact });
        }
    }

    /// The log is applied up to here.
    pub fn on_applied(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
        let applied_index = self.applied_index;
        let is_applied = |proof: &&UnappliedProof| proof.index <= applied_index;
        let contact = self.unapplied_proofs.iter().filter(is_applied).map(|proof| proof.contact).max();
        self.unapplied_proofs.retain(|proof| !is_applied(&proof));
        if let Some(contact) = contact {
            self.record_contact(contact);
        }
    }

    /// This node leads, and a majority was in contact with it then.
    pub fn record_contact(&mut self, contact: Time) {
        self.last_contact = self.last_contact.max(Some(contact));
    }

    /// All that was committed before then is held here; none: nothing is proven.
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }

    /// How far the log is applied.
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
