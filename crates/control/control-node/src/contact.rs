//! Contact with a majority, as far as it can be proven: [`change_log::Contact`].

use crate::{Defect, Prompter, Time, MS};
use messages::message::Peer;

/// The leader is asked for proof so often.
const ASKS: Time = 150 * MS;
/// Who has not been in contact with a majority for so long takes no backends in.
const TOUCH: Time = 1500 * MS;
/// Nor does it send operators on to the leader that it knows: another is about to be elected.
const SENDS_ON: Time = 800 * MS;

impl Prompter {
    /// All that was agreed on before then is held here, as far as can be proven.
    pub fn touch(&mut self, now: Time) -> Option<Time> {
        self.now = now;
        if let Some(at) = self.led() {
            self.contact.prove(at);
        }
        self.contact.proven()
    }

    /// How long ago that was; very long, if it never was.
    pub fn untouched_for(&mut self, now: Time) -> Time {
        match self.touch(now) {
            Some(_) if self.has(Defect::StaysInTouch) => 0,
            touch => touch.map_or(Time::MAX, |at| now.saturating_sub(at)),
        }
    }

    /// When a majority answered this one, if it leads beyond doubt.
    fn led(&self) -> Option<Time> {
        // Before its own first entry is agreed on it may lack what was agreed on before.
        let duty = &self.duty;
        duty.touch.filter(|_| duty.is_leader && duty.lease.is_some()).map(|at| at.min(self.now))
    }

    /// Asks the leader for proof, if it is time.
    pub(crate) fn ask_contact(&mut self) {
        if self.asks_at > self.now {
            return;
        }
        self.asks_at = self.now + ASKS;
        if let Some(at) = self.duty.touch.filter(|_| self.has(Defect::HearingIsTouch)) {
            self.contact.prove(at);
        }
        if let Some(leader) = self.duty.leader.as_ref().filter(|_| !self.duty.is_leader) {
            let (to, number) = (leader.name.clone(), self.contact.ask(self.now));
            self.tell(&to, Peer::Contact { number });
        }
        // What it has proven as the leader counts on when it is one no more.
        self.touch(self.now);
    }

    /// Another's ask: answered by the leader alone.
    pub(crate) fn contact_asked(&mut self, from: &str, number: u64) {
        let Some(at) = self.led() else { return };
        let (age, agreed) = (self.now.saturating_sub(at), self.contact.place());
        self.tell(from, Peer::Contacted { number, age, agreed });
    }

    /// Whether a majority was known of of late.
    pub(crate) fn in_touch(&mut self) -> bool {
        self.untouched_for(self.now) < TOUCH
    }

    /// Whether the leader that it knows still leads, most likely.
    pub(crate) fn sends_on(&mut self) -> bool {
        self.untouched_for(self.now) < SENDS_ON
    }
}
