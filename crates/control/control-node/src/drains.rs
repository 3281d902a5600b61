//! Backends that leave: told to one prompter, agreed on by a majority before it is acknowledged.

use crate::orders::{CALL_TIMEOUT, MAX_PENDING_CALLS};
use crate::{ControlNode, Defect, Effect, Reply, Time, MS};
use consensus::Input;
use control_state::Command;
use messages::message::ControlMessage;

/// Something that was passed on to the leader is passed on again after so long.
const RETRY_INTERVAL: Time = 150 * MS;

/// A call that waits until it is agreed on that its backend leaves.
#[derive(Debug)]
pub(crate) struct PendingDrain {
    call: u64,
    instance: String,
    /// Its life is over with it.
    deregisters: bool,
    deadline: Time,
    next_attempt: Time,
}

impl ControlNode {
    /// A backend says that its life is over.
    pub fn deregister(&mut self, now: Time, call: u64, instance: &str) {
        self.now = now;
        self.start_drain(call, instance, true);
    }

    /// Has it agreed on that this backend leaves, and answers then, or in time that nobody can say.
    pub(crate) fn start_drain(&mut self, call: u64, instance: &str, ends: bool) {
        let again = self.now;
        let drain = PendingDrain {
            call,
            instance: instance.into(),
            deregisters: ends,
            deadline: self.now + CALL_TIMEOUT,
            next_attempt: again,
        };
        if self.state.is_draining(instance) || self.has(Defect::DrainForgotten) {
            return self.complete_drain(drain);
        }
        // Who is cut off has nobody to agree with: the next gateway is called at once.
        if !self.has_quorum_contact() || self.drains.len() >= MAX_PENDING_CALLS {
            return self.effects.push(Effect::Reply { call, reply: Reply::Unavailable });
        }
        self.drains.push(drain);
        self.retry_drains();
    }

    fn complete_drain(&mut self, drain: PendingDrain) {
        if drain.deregisters {
            self.remove_backend(&drain.instance);
            self.effects.push(Effect::Broadcast {
                message: ControlMessage::Deregistered { instance: drain.instance },
            });
        }
        self.effects.push(Effect::Reply { call: drain.call, reply: Reply::Acknowledged });
    }

    pub(crate) fn next_drain_due(&self) -> Time {
        self.drains.iter().map(|d| d.deadline.min(d.next_attempt)).min().unwrap_or(Time::MAX)
    }

    /// Passes them on, again and again; ends those that have waited for long enough.
    pub(crate) fn retry_drains(&mut self) {
        let now = self.now;
        let (late, mut drains): (Vec<PendingDrain>, Vec<PendingDrain>) =
            std::mem::take(&mut self.drains).into_iter().partition(|d| d.deadline <= now);
        for drain in late {
            self.effects.push(Effect::Reply { call: drain.call, reply: Reply::Unavailable });
        }
        for drain in drains.iter_mut().filter(|d| d.next_attempt <= now) {
            drain.next_attempt = now + RETRY_INTERVAL;
            self.propose_to_leader(Command::Drain { instance: drain.instance.clone() }.encode());
        }
        self.drains = drains;
    }

    /// What was waited for may have been agreed on.
    pub(crate) fn complete_committed_drains(&mut self) {
        let book = &self.state;
        let (done, drains): (Vec<PendingDrain>, Vec<PendingDrain>) =
            std::mem::take(&mut self.drains).into_iter().partition(|d| book.is_draining(&d.instance));
        self.drains = drains;
        done.into_iter().for_each(|drain| self.complete_drain(drain));
    }

    /// Has the leader propose something. It may be lost.
    pub(crate) fn propose_to_leader(&mut self, word: Vec<u8>) {
        if self.leadership.is_leader {
            self.enqueue(Input::Propose { tag: 0, command: word });
        } else if let Some(leader) = self.leadership.leader.as_ref().map(|l| l.name.clone()) {
            self.send_to(&leader, ControlMessage::Propose { command: word });
        }
    }
}
