//! Contact with a majority, as far as it can be proven: [`change_log::Contact`].

use crate::{ControlNode, Defect, Time, MS};
use messages::message::ControlMessage;

/// The leader is asked for proof so often.
const REQUEST_INTERVAL: Time = 150 * MS;
/// Who has not been in contact with a majority for so long takes no backends in.
const CONTACT_TIMEOUT: Time = 1500 * MS;
/// Nor does it send operators on to the leader that it knows: another is about to be elected.
const REDIRECT_TIMEOUT: Time = 800 * MS;

impl ControlNode {
    /// All that was agreed on before then is held here, as far as can be proven.
    pub fn last_quorum_contact(&mut self, now: Time) -> Option<Time> {
        self.now = now;
        if let Some(at) = self.contact_as_leader() {
            self.quorum_contact.prove(at);
        }
        self.quorum_contact.proven_at()
    }

    /// How long ago that was; very long, if it never was.
    pub fn quorum_contact_age(&mut self, now: Time) -> Time {
        match self.last_quorum_contact(now) {
            Some(_) if self.has(Defect::ClaimsQuorumContact) => 0,
            touch => touch.map_or(Time::MAX, |at| now.saturating_sub(at)),
        }
    }

    /// When a majority answered this one, if it leads beyond doubt.
    fn contact_as_leader(&self) -> Option<Time> {
        // Before its own first entry is agreed on it may lack what was agreed on before.
        let duty = &self.leadership;
        duty.quorum_contact
            .filter(|_| duty.is_leader && duty.lease_until.is_some())
            .map(|at| at.min(self.now))
    }

    /// Asks the leader for proof, if it is time.
    pub(crate) fn request_contact(&mut self) {
        if self.next_contact_request > self.now {
            return;
        }
        self.next_contact_request = self.now + REQUEST_INTERVAL;
        if let Some(at) =
            self.leadership.quorum_contact.filter(|_| self.has(Defect::HeartbeatCountsAsContact))
        {
            self.quorum_contact.prove(at);
        }
        if let Some(leader) = self.leadership.leader.as_ref().filter(|_| !self.leadership.is_leader) {
            let (to, number) = (leader.name.clone(), self.quorum_contact.request(self.now));
            self.send_to(&to, ControlMessage::ContactRequest { number });
        }
        // What it has proven as the leader counts on when it is one no more.
        self.last_quorum_contact(self.now);
    }

    /// Another's ask: answered by the leader alone.
    pub(crate) fn on_contact_request(&mut self, from: &str, number: u64) {
        let Some(at) = self.contact_as_leader() else { return };
        let (age, agreed) = (self.now.saturating_sub(at), self.quorum_contact.applied_index());
        self.send_to(from, ControlMessage::ContactResponse { number, age, commit_index: agreed });
    }

    /// Whether a majority was known of of late.
    pub(crate) fn has_quorum_contact(&mut self) -> bool {
        self.quorum_contact_age(self.now) < CONTACT_TIMEOUT
    }

    /// Whether the leader that it knows still leads, most likely.
    pub(crate) fn can_redirect(&mut self) -> bool {
        self.quorum_contact_age(self.now) < REDIRECT_TIMEOUT
    }
}
