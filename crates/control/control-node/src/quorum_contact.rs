//! Proof of contact with a quorum, obtained from the leader: see [`change_log::QuorumContact`].

use crate::{ControlNode, Defect, Time, MS};
use messages::ControlMessage;

/// Interval between contact requests to the leader.
const REQUEST_INTERVAL: Time = 150 * MS;
/// After this long without quorum contact a node no longer acknowledges heartbeats or starts drains.
const CONTACT_TIMEOUT: Time = 1500 * MS;
/// After this long without quorum contact a node does not redirect operators to the leader it knows: another leader
/// may soon be elected.
const REDIRECT_TIMEOUT: Time = 800 * MS;

impl ControlNode {
    /// Returns the latest proven quorum contact: this node has applied everything committed before that time.
    pub fn last_quorum_contact(&mut self, now: Time) -> Option<Time> {
        self.now = now;
        if let Some(contact_at) = self.contact_as_leader() {
            self.quorum_contact.record_contact(contact_at);
        }
        self.quorum_contact.last_contact()
    }

    /// Returns the age of the latest proven quorum contact; [`Time::MAX`] if there was none.
    pub fn quorum_contact_age(&mut self, now: Time) -> Time {
        match self.last_quorum_contact(now) {
            Some(_) if self.has_defect(Defect::ClaimsQuorumContact) => 0,
            Some(contact_at) if self.has_defect(Defect::ClaimsNewerContact) => {
                now.saturating_sub(contact_at + 100 * MS)
            }
            contact => contact.map_or(Time::MAX, |contact_at| now.saturating_sub(contact_at)),
        }
    }

    /// Returns when a quorum last answered this node, if it leads and consensus reports the end of its leader lease.
    fn contact_as_leader(&self) -> Option<Time> {
        let leadership = &self.leadership;
        // Until the first entry of its term is committed, a leader may not have applied everything committed before.
        let is_established_leader = leadership.is_leader && leadership.lease_until.is_some();
        leadership.quorum_contact.filter(|_| is_established_leader).map(|contact_at| contact_at.min(self.now))
    }

    /// Sends a contact request to the leader if one is due.
    pub(crate) fn request_contact(&mut self) {
        if self.next_contact_request > self.now {
            return;
        }
        self.next_contact_request = self.now + REQUEST_INTERVAL;
        if self.has_defect(Defect::HeartbeatCountsAsContact) {
            if let Some(contact_at) = self.leadership.quorum_contact {
                self.quorum_contact.record_contact(contact_at);
            }
        }
        if let Some(leader) = self.leadership.leader.as_ref().filter(|_| !self.leadership.is_leader) {
            let to = leader.name.clone();
            let number = self.quorum_contact.request(self.now);
            self.send_to(&to, ControlMessage::ContactRequest { number });
        }
        // Records contact proven as leader, so that it still counts after leadership is lost.
        self.last_quorum_contact(self.now);
    }

    /// Handles another node's contact request. Only the leader responds.
    pub(crate) fn on_contact_request(&mut self, from: &str, number: u64) {
        let Some(contact_at) = self.contact_as_leader() else { return };
        let age = self.now.saturating_sub(contact_at);
        let commit_index = self.quorum_contact.applied_index();
        self.send_to(from, ControlMessage::ContactResponse { number, age_ns: age, commit_index });
    }

    /// Returns whether contact with a quorum is recent enough to acknowledge heartbeats and start drains.
    pub(crate) fn has_quorum_contact(&mut self) -> bool {
        self.quorum_contact_age(self.now) < CONTACT_TIMEOUT
    }

    /// Returns whether contact with a quorum is recent enough to redirect operators to the leader that this node knows,
    /// if it knows one.
    pub(crate) fn can_redirect(&mut self) -> bool {
        self.quorum_contact_age(self.now) < REDIRECT_TIMEOUT
    }
}
