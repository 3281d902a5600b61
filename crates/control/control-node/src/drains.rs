//! Drains of backends: requested from any node, and committed before they are acknowledged.

use crate::configuration_changes::{CALL_TIMEOUT, MAX_PENDING_CALLS};
use crate::effect::{Effect, Reply};
use crate::{ControlNode, Defect, Time, MS};
use consensus::Input;
use control_state::Command;
use messages::ControlMessage;

/// Interval at which an uncommitted drain is proposed again.
const RETRY_INTERVAL: Time = 150 * MS;

/// A call that waits for the drain of its backend to be committed.
#[derive(Debug)]
pub(crate) struct PendingDrain {
    call: u64,
    instance: String,
    /// Whether the backend is to be removed once its drain is committed.
    deregisters: bool,
    deadline: Time,
    next_attempt: Time,
}

impl ControlNode {
    /// Handles a backend's deregistration: drains it, then removes it.
    pub fn deregister(&mut self, now: Time, call: u64, instance: &str) {
        self.now = now;
        self.start_drain(call, instance, true);
    }

    /// Proposes the drain of a backend and replies once it is committed. Replies [`Reply::Unavailable`] when the call
    /// times out, or at once if this node has no quorum contact or too many drains are pending.
    pub(crate) fn start_drain(&mut self, call: u64, instance: &str, deregisters: bool) {
        let drain = PendingDrain {
            call,
            instance: instance.into(),
            deregisters,
            deadline: self.now + CALL_TIMEOUT,
            next_attempt: self.now,
        };
        if self.state.is_draining(instance) || self.has_defect(Defect::DrainForgotten) {
            return self.complete_drain(drain);
        }
        // An isolated node cannot get anything committed; an immediate reply lets the backend call another gateway.
        if !self.has_quorum_contact() || self.drains.len() >= MAX_PENDING_CALLS {
            return self.effects.push(Effect::Reply { call, reply: Reply::Unavailable });
        }
        self.drains.push(drain);
        self.retry_drains();
    }

    fn complete_drain(&mut self, drain: PendingDrain) {
        if drain.deregisters {
            self.remove_backend(&drain.instance);
            let message = ControlMessage::Deregistered { instance: drain.instance };
            self.effects.push(Effect::Broadcast { message });
        }
        self.effects.push(Effect::Reply { call: drain.call, reply: Reply::Acknowledged });
    }

    pub(crate) fn next_drain_due(&self) -> Time {
        let due = self.drains.iter().map(|drain| drain.deadline.min(drain.next_attempt));
        due.min().unwrap_or(Time::MAX)
    }

    /// Proposes the pending drains whose next attempt is due. Replies [`Reply::Unavailable`] to calls whose deadline
    /// has passed, and no longer proposes their drains.
    pub(crate) fn retry_drains(&mut self) {
        let now = self.now;
        let (overdue, mut drains): (Vec<PendingDrain>, Vec<PendingDrain>) =
            std::mem::take(&mut self.drains).into_iter().partition(|drain| drain.deadline <= now);
        for drain in overdue {
            self.effects.push(Effect::Reply { call: drain.call, reply: Reply::Unavailable });
        }
        for drain in drains.iter_mut().filter(|drain| drain.next_attempt <= now) {
            drain.next_attempt = now + RETRY_INTERVAL;
            self.propose_to_leader(&Command::Drain { instance: drain.instance.clone() });
        }
        self.drains = drains;
    }

    /// Completes the calls whose drains are committed.
    pub(crate) fn complete_committed_drains(&mut self) {
        let state = &self.state;
        let (committed, drains): (Vec<PendingDrain>, Vec<PendingDrain>) = std::mem::take(&mut self.drains)
            .into_iter()
            .partition(|drain| state.is_draining(&drain.instance));
        self.drains = drains;
        committed.into_iter().for_each(|drain| self.complete_drain(drain));
    }

    /// Proposes a command if this node leads, and otherwise forwards it to the leader. It may be lost.
    pub(crate) fn propose_to_leader(&mut self, command: &Command) {
        let command = command.encode();
        if self.leadership.is_leader {
            self.enqueue(Input::Propose { tag: 0, command });
        } else if let Some(leader) = self.leadership.leader.as_ref().map(|leader| leader.name.clone()) {
            self.send_to(&leader, ControlMessage::Propose { command });
        }
    }
}
