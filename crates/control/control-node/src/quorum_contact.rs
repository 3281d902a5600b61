//! Contact with a majority, as far as it can be proven: [`change_log::QuorumContact`].

use crate::{ControlNode, Defect, Time, MS};
use messages::ControlMessage;

/// The leader is asked for proof this often.
const REQUEST_INTERVAL: Time = 150 * MS;
/// A node that has not been in contact with a majority for so long takes no heartbeats.
const CONTACT_TIMEOUT: Time = 1500 * MS;
/// Nor does it redirect operators to the leader that it knows: another is about to be elected.
const REDIRECT_TIMEOUT: Time = 800 * MS;

impl ControlNode {
    /// All that was committed before then is held here, as far as can be proven.
    pub fn last_quorum_contact(&mut self, now: Time) -> Option<Time> {
        self.now = now;
        if let Some(at) = self.contact_as_leader() {
            self.quorum_contact.record_contact(at);
        }
        self.quorum_contact.last_contact()
    }

    /// How long ago that was; [`Time::MAX`] if it never was.
    pub fn quorum_contact_age(&mut self, now: Time) -> Time {
        match self.last_quorum_contact(now) {
            Some(_) if self.has_defect(Defect::ClaimsQuorumContact) => 0,
            contact => contact.map_or(Time::MAX, |at| now.saturating_sub(at)),
        }
    }

    /// When a majority answered this node, if it leads beyond doubt.
    fn contact_as_leader(&self) -> Option<Time> {
        let leadership = &self.leadership;
        // Before its own first entry is committed it may lack what was committed before.
        let leads = leadership.is_leader && leadership.lease_until.is_some();
        leadership.quorum_contact.filter(|_| leads).map(|at| at.min(self.now))
    }

    /// Asks the leader for proof, if it is time.
    pub(crate) fn request_contact(&mut self) {
        if self.next_contact_request > self.now {
            return;
        }
        self.next_contact_request = self.now + REQUEST_INTERVAL;
        if self.has_defect(Defect::HeartbeatCountsAsContact) {
            if let Some(at) = self.leadership.quorum_contact {
                self.quorum_contact.record_contact(at);
            }
        }
        if let Some(leader) = self.leadership.leader.as_ref().filter(|_| !self.leadership.is_leader) {
            let to = leader.name.clone();
            let number = self.quorum_contact.request(self.now);
            self.send_to(&to, ControlMessage::ContactRequest { number });
        }
        // What it has proven as the leader counts on when it is one no more.
        self.last_quorum_contact(self.now);
    }

    /// Another node asks: the leader alone answers.
    pub(crate) fn on_contact_request(&mut self, from: &str, number: u64) {
        let Some(at) = self.contact_as_leader() else { return };
        let age = self.now.saturating_sub(at);
        let commit_index = self.quorum_contact.applied_index();
        self.send_to(from, ControlMessage::ContactResponse { number, age_ns: age, commit_index });
    }

    /// Whether a majority was in contact lately.
    pub(crate) fn has_quorum_contact(&mut self) -> bool {
        self.quorum_contact_age(self.now) < CONTACT_TIMEOUT
    }

    /// Whether the leader that it knows still leads, most likely.
    pub(crate) fn can_redirect(&mut self) -> bool {
        self.quorum_contact_age(self.now) < REDIRECT_TIMEOUT
    }
}
