//! Tracks when a node was last provably in contact with a quorum and held everything committed by then.
//!
//! A message from the leader alone proves little: it may have been delayed in a socket buffer, and log entries may still be
//! in transit. A node therefore sends numbered requests. The response carries the age of the leader's last contact with a
//! majority and the commit index at that time, and counts as a proof once the log is applied up to that index.

use std::collections::VecDeque;

/// Nanoseconds on the node's own monotonic clock.
pub type Time = u64;

/// Maximum number of requests without a response, and of proofs that wait for the log. The oldest are dropped first.
const MAX_OUTSTANDING: usize = 32;

/// A request for a proof.
#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    sent_at: Time,
}

/// A proof of contact that becomes valid once the log is applied up to `commit_index`.
#[derive(Clone, Copy, Debug)]
struct UnappliedProof {
    commit_index: u64,
    contact_at: Time,
}

/// Proven contact of a node with a quorum.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    last_request: u64,
    /// Requests without a response.
    requests: VecDeque<Request>,
    unapplied_proofs: VecDeque<UnappliedProof>,
    applied_index: u64,
    last_contact: Option<Time>,
}

impl QuorumContact {
    /// Records that a request to the leader is sent now, and returns its number.
    pub fn request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        push_bounded(&mut self.requests, Request { number: self.last_request, sent_at: now });
        self.last_request
    }

    /// Handles the response to a request: the leader's last contact with a majority was `age` before the response, and
    /// everything committed by then is in the log up to `commit_index`.
    pub fn on_response(&mut self, number: u64, age: Time, commit_index: u64) {
        let Some(slot) = self.requests.iter().position(|request| request.number == number) else { return };
        let Some(request) = self.requests.remove(slot) else { return };
        // The response was sent after the request, so that the contact was no earlier than this.
        let Some(contact_at) = request.sent_at.checked_sub(age) else { return };
        if commit_index <= self.applied_index {
            self.record_contact(contact_at);
        } else {
            push_bounded(&mut self.unapplied_proofs, UnappliedProof { commit_index, contact_at });
        }
    }

    /// Records that the log has been applied up to `index`: the proofs that waited for this become valid.
    pub fn on_applied(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
        let applied_index = self.applied_index;
        let is_applied = |proof: &&UnappliedProof| proof.commit_index <= applied_index;
        let contact_at = self.unapplied_proofs.iter().filter(is_applied).map(|proof| proof.contact_at).max();
        self.unapplied_proofs.retain(|proof| !is_applied(&proof));
        if let Some(contact_at) = contact_at {
            self.record_contact(contact_at);
        }
    }

    /// Records a contact that needs no further proof, such as a leader's own contact with a majority.
    pub fn record_contact(&mut self, contact_at: Time) {
        self.last_contact = self.last_contact.max(Some(contact_at));
    }

    /// Time of the last proven contact: everything committed before it is held here. `None` if no contact is proven.
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }

    /// Index up to which the log has been applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }
}

/// Appends an item, and drops the oldest if the queue is full.
fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() == MAX_OUTSTANDING {
        queue.pop_front();
    }
    queue.push_back(item);
}
